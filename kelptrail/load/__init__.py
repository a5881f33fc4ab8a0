"""Load: when clients come, how they behave, and a tool that drives the real program with them."""
