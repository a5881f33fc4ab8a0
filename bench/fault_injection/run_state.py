"""What one run shares and observes: its random generator, the requests of its clients and the calls of its workers."""

from __future__ import annotations

import collections
import random
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from fault_injection.settings import RequestKind


class WorkerBehavior(StrEnum):
    """How a fake worker answers one call.  The first four letters are the status word where it answers no result."""

    COMPLETED = "OK"
    NOT_LOADED = "MISS"
    NOT_LOADED_TWICE = "MISSES"  # a second answer some milliseconds later
    OUT_OF_CAPACITY = "BUSY"
    ERROR = "ERR"
    NOT_SENT = "VOID"
    NOISE = "noise"
    CLOSED = "break"
    SILENT = "silent"
    TRUNCATED = "half"
    ANSWERED_TWICE = "twice"
    LATE = "late"


NOT_RUN = frozenset(
    {
        WorkerBehavior.NOT_LOADED,
        WorkerBehavior.NOT_LOADED_TWICE,
        WorkerBehavior.OUT_OF_CAPACITY,
        WorkerBehavior.NOT_SENT,
    }
)


class Answer(NamedTuple):
    """An answer as its client read it."""

    at: float
    code: int
    body: bytes


class WorkerCall(NamedTuple):
    """A call that a worker read, and how it answers it."""

    at: float
    behavior: WorkerBehavior
    worker: int

    @property
    def may_have_run(self) -> bool:
        """Whether the answer leaves open that the call had its effect."""
        return self.behavior not in NOT_RUN


class WorkerAttempt(NamedTuple):
    """The start of an attempt at a worker."""

    at: float
    worker: int


class ProcessKill(NamedTuple):
    """A process that was killed without notice."""

    process: int
    at: float


class TimeInterval(NamedTuple):
    """Two moments of the monotonic clock."""

    start: float
    end: float


@dataclass(slots=True)
class SentRequest:
    """A request as its client sees it.  Times are seconds of the monotonic clock."""

    id: str
    kind: RequestKind
    process: int
    limit_s: float
    written_at: float = 0.0  # its last byte
    deadline: float = 0.0
    client_left_at: float | None = None  # cancelled, or its connection closed by the client
    closed_at: float | None = None  # its connection was closed by the dispatcher
    after_idle: bool = False  # its connection was idle for a while before it
    answers: list[Answer] = field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether its client still waits for an answer."""
        return not self.answers and self.client_left_at is None

    def was_killed_with(self, kills: list[ProcessKill], slack_s: float = 0.0) -> bool:
        """Whether its process was killed while it was open; `slack_s` is by how much its start may be stamped late."""
        return any(
            kill.process == self.process and self.written_at - 0.05 - slack_s <= kill.at <= self.deadline + 0.05
            for kill in kills
        )


class RunState:
    """The random generator of one run, whether it is still under way, and what was observed in it."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.folder = folder
        self.running = True
        self.requests: dict[str, SentRequest] = {}
        self.started_ids: set[str] = set()  # requests of which something was written
        self.calls: dict[str, list[WorkerCall]] = collections.defaultdict(list)  # by request
        self.result_bodies: set[bytes] = set()  # that workers answered
        self.drained_at: dict[int, float] = {}  # workers that drain or went, and when the list's event was written
        self.kills: list[ProcessKill] = []
        self.problems: list[str] = []

    def answer_counts(self) -> dict[int | None, int]:
        """Requests by the code of their first answer; None counts those without one."""
        codes = (each.answers[0].code if each.answers else None for each in self.requests.values())
        return dict(collections.Counter(codes))

    def log_file(self, process: int) -> Path:
        """Where a process's output goes."""
        return self.folder / f"log{process}"
