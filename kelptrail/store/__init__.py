"""Crash-safe storage of activations: journal entries, group commit, the activation journal on disk, recovery."""
