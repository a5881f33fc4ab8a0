"""Emulators of the processes around the dispatchers, with fault injection, and the cluster that runs all of them."""
