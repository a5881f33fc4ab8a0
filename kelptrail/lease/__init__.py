"""Leases on fleet-wide tasks: voters, askers and tokens as pure cores, and a driver that carries their messages."""
