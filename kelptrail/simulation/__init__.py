"""The lab: what we balance, emulated in simulated time around the real cores, and experiments on it."""
