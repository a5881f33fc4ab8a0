"""The invoke API: OpenWhisk REST API v1 over HTTP/1.1."""
