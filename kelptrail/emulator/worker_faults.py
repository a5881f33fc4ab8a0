"""Faults of the emulated worker, and the seeded random draws that decide which requests they affect."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import numpy as np

DEFAULT_STREAM_FAULT_SHARE = 0.2


class WorkerFault(StrEnum):
    """Kinds of faults; the values are their names on the control port."""

    HANG = "hang"  # requests are read but neither run nor answered
    SILENT = "silent"  # jobs run but are never answered; load orders are neither executed nor answered
    STALL = "stall"  # a stream stops halfway; its connection stays open
    CUT = "cut"  # the connection of a stream is aborted halfway
    FAIL_FAST = "fail-fast"  # a share of attempts fails immediately
    FAIL_TYPE = "fail-type"  # all attempts of one request class fail immediately
    ANSWERS_LOST = "answers-lost"  # a share of jobs runs and is not answered
    ANSWERS_TWICE = "answers-twice"  # unary answers are sent twice
    ANSWERS_LATE = "answers-late"  # unary answers are delayed
    HEAVY_WORK = "heavy-work"  # a share of jobs takes a multiple of the usual time
    # `WorkerControl` applies these faults itself, without `ActiveFaults`.
    PAUSE = "pause"  # the process does nothing for the duration
    CRASH = "crash"
    RESTART_COLD = "restart-cold"  # a new incarnation in the same process, with a slow start
    MODELS_VOIDED = "models-voided"  # idle instances are removed
    HANDSHAKES_SLOW = "handshakes-slow"  # connections are accepted late


class ActiveFaults:
    """Active faults, with the settings of their injection."""

    def __init__(self, random: np.random.Generator) -> None:
        self._random = random
        self._settings: dict[str, dict[str, Any]] = {}

    def __contains__(self, kind: WorkerFault) -> bool:
        return kind in self._settings

    def start(self, kind: str, settings: dict[str, Any]) -> None:
        """Activate a fault, or change its settings."""
        self._settings[kind] = settings

    def end(self, kind: str) -> None:
        """End a fault, if it is active."""
        self._settings.pop(kind, None)

    def setting(self, kind: WorkerFault, name: str, default: Any) -> Any:
        """Return a setting of an active fault, or `default` if the fault was injected without it."""
        return self._settings[kind].get(name, default)

    def draw(self, kind: WorkerFault, default_share: float) -> bool:
        """Return whether the fault is active and occurs; draws a random number only if the fault is active."""
        return kind in self and bool(self._random.random() < self.setting(kind, "share", default_share))

    def draw_stream_fault(self) -> WorkerFault | None:
        """Draw the fault that affects a stream, if any."""
        for kind in (WorkerFault.STALL, WorkerFault.CUT):
            if self.draw(kind, DEFAULT_STREAM_FAULT_SHARE):
                return kind
        return None
