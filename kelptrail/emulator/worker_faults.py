"""Faults of the emulated worker that stay active for a time, and the seeded draws by which they hit."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import numpy as np

DEFAULT_STREAM_FAULT_SHARE = 0.2


class WorkerFault(StrEnum):
    """Faults by their names on the control port."""

    HANG = "hang"  # requests are read and never answered
    SILENT = "silent"  # work is done and never answered
    STALL = "stall"  # a stream stops in the middle
    CUT = "cut"  # a stream's connection breaks in the middle
    FAIL_FAST = "fail-fast"  # a share of attempts fails at once
    FAIL_TYPE = "fail-type"  # all attempts of one request class fail at once
    ANSWERS_LOST = "answers-lost"
    ANSWERS_TWICE = "answers-twice"
    ANSWERS_LATE = "answers-late"
    HEAVY_WORK = "heavy-work"  # a share of jobs takes a multiple of the usual time
    # These happen once, when they are injected.
    PAUSE = "pause"
    CRASH = "crash"
    RESTART_COLD = "restart-cold"
    MODELS_VOIDED = "models-voided"  # idle instances are lost
    HANDSHAKES_SLOW = "handshakes-slow"


class ActiveFaults:
    """The faults that are active, with the settings given at their injection."""

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
        """A setting of an active fault."""
        return self._settings[kind].get(name, default)

    def draw(self, kind: WorkerFault, default_share: float) -> bool:
        """Whether the fault is active and hits; draws a random number only where it is active."""
        return kind in self and bool(self._random.random() < self.setting(kind, "share", default_share))

    def draw_stream_fault(self) -> WorkerFault | None:
        """The fault that hits a stream, if any."""
        for kind in (WorkerFault.STALL, WorkerFault.CUT):
            if self.draw(kind, DEFAULT_STREAM_FAULT_SHARE):
                return kind
        return None
