"""VRRP version 3 over UDP: packets, state machine, tracking, driver, front address.

The specification is RFC 9568, which replaced RFC 5798.  RFC 9568 calls the state of the router that holds the address
Active; this package calls it Master, as RFC 5798 does.
"""
