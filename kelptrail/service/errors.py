"""What can be wrong with a process's settings and options together."""

from __future__ import annotations


class StateFolderError(ValueError):
    """The settings need a folder for the process's state, and none was given."""


class LeaseSettingsError(ValueError):
    """The settings lack the sections without which a process cannot hold a lease."""
