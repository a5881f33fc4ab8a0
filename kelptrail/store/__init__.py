"""Crash-safe records of activations: journal entries, group commit, the activation journal on disk, recovery."""
