"""A cluster in simulated time around the real cores, and experiments over variants and seeds of it."""
