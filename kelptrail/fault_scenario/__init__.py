"""Fault scenarios: load and faults applied to real processes, and checked by the history checker."""
