"""Sockets on the event loop: listeners, HTTP and gRPC servers and clients, connection pools, TLS."""
