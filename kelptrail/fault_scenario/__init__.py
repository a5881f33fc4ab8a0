"""Fault scenarios: load and faults run through real processes, checked by the history checker."""
