"""Leases on fleet-wide tasks: acceptors, clients and fencing tokens as pure cores, and a driver that runs them."""
