"""Simulation of a cluster around the real cores, and experiments over variants and seeds of a scenario."""
