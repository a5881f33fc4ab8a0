"""Load: when calls arrive, how their clients behave, and a generator that drives the real program with them."""
