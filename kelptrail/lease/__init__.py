"""Leases on fleet-wide tasks: acceptors, clients and fencing tokens, all without I/O, and a driver that runs them."""
