"""Errors of combinations of settings and command-line options."""

from __future__ import annotations


class StateFolderError(ValueError):
    """The settings need a state folder (`--state`), and none was given."""


class LeaseSettingsError(ValueError):
    """The settings lack a section that is needed to hold a lease."""
