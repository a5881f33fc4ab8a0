"""Assembles processes from the other packages: a dispatcher, an edge, a planner."""
