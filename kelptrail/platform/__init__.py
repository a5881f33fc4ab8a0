"""The program that `run` starts: one dispatcher on the users' own protocol.

It parses client requests, follows the endpoint list and carries out what `kelptrail.engine` decides.  No decision is
made in this package.
"""
