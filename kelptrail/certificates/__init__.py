"""A private certificate authority for fronts, workers and clients, and API keys for namespaces."""
