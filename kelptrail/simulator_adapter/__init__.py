"""Adapter between the simulator's protocol and the engine."""
