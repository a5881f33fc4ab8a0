"""The APIs that clients use: they authenticate and check requests and render responses; the gateway does the work."""
