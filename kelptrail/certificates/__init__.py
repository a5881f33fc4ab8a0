"""A private authority of one's own: certificates for fronts, workers and clients, and keys for namespaces."""
