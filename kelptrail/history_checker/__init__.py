"""Checks the rules of dispatchers and leases against captured traffic, without using any code of the dispatchers."""
