"""Measurements of bench/leases.py, one per module, and models that they share with tests/test_lease.py."""
