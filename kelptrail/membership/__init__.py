"""The endpoint list of workers and dispatchers, and the worker entities that it defines."""
