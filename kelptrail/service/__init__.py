"""Builds the processes of a deployment (dispatcher, edge, planner) from the other packages."""
