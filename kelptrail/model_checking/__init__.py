"""Exhaustive and random search over the states of a model."""
