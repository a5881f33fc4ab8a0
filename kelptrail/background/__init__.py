"""Background jobs that must not slow down requests: a scheduler with priorities and CPU budgets."""
