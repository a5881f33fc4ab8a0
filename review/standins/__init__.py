"""Stand-ins for the parties around one dispatcher: clients, runners, the journal service and the network.

They follow the users' protocol page and use only the standard library.  All addresses are loopback addresses.
"""
