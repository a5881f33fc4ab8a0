"""Why a connection is closed and why a request or an attempt ends: the typed words of the log and its counts."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why the dispatcher closes a client's connection."""

    SILENT = "said nothing in time"
    IDLE = "idle"
    MADE_ROOM = "made room for a new connection"
    NO_ROOM = "came when there was no room"
    UNREADABLE = "unreadable"
    ENDING = "the process ends"


class WithdrawReason(Enum):
    """Why an attempt that had not begun to leave was taken back."""

    CLIENT_GONE = "client gone"
    TOO_LATE_TO_BEGIN = "may begin no more"
    DRAINING = "worker drains"
    FINISHED = "request finished"


class RequestRefusal(Enum):
    """Why a request was refused or failed before the decisions saw it."""

    UNUSABLE = "unusable"
    NO_ROOM = "no room for the connection"
    NO_MEMORY = "no memory for its body"
    ENDING = "the process ends"
