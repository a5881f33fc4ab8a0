"""Model checking: exhaustive and random search of the states of a model."""
