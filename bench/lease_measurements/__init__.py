"""The measurements of bench/leases.py, one module each, and the models that it shares with tests/test_lease.py."""
