"""Reasons in the log for closed client connections, cancelled work, and refused or failed requests."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why the dispatcher closes a client's connection."""

    SILENT = "no frame in time"
    IDLE = "idle"
    EVICTED = "made room for a new connection"
    OVER_LIMIT = "over the connection limit"
    UNREADABLE = "unreadable"


class CancelReason(Enum):
    """Why an attempt, load order or probe was cancelled before its first byte was sent."""

    CLIENT_GONE = "client gone"
    TOO_LATE_TO_START = "too late to start"
    DRAINING = "worker drains"
    FINISHED = "request finished"


class RequestRefusal(Enum):
    """Why a request was refused or failed before it reached the engine."""

    UNUSABLE = "unusable"
    OVER_LIMIT = "over the connection limit"
    NO_MEMORY = "no memory for its body"
    SHUTTING_DOWN = "the process ends"
