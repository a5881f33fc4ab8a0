"""The dispatcher's door on the platform's sockets; all choices are the module's, by way of `kelptrail.engine`."""
