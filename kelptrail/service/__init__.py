"""Joins the rooms to a process: a dispatcher, an edge, a planner.  The only room that knows all of them."""
