"""The program that `run` starts: one dispatcher that serves the users' own protocol.

It parses client requests, follows the endpoint list and executes the decisions of `kelptrail.engine`.  This package
makes no dispatch decisions.
"""
