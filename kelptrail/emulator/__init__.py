"""Emulators of the processes around a gateway, with fault injection: workers, model store, endpoint list, clients."""
