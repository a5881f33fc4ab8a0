"""The `kelptrail` command line."""
