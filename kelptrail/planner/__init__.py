"""Placement ahead of demand: plans with epochs, the planner that makes them, and the edge side that follows them."""
