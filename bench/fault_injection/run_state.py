"""State shared by the parts of one run: its random generator, its clients' requests and the calls at its workers."""

from __future__ import annotations

import collections
import random
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from fault_injection.settings import RequestKind


class WorkerBehavior(StrEnum):
    """How a fake worker answers one call.

    An answer without a result has one of the status words MISS, BUSY, ERR and VOID: the first four characters of the
    value.  The other values only name the behavior."""

    COMPLETED = "OK"
    NOT_LOADED = "MISS"
    NOT_LOADED_TWICE = "MISSES"  # followed by a second answer some milliseconds later
    OUT_OF_CAPACITY = "BUSY"
    ERROR = "ERR"
    NOT_SENT = "VOID"  # the dispatcher treats the call as one that was never sent
    NOISE = "noise"
    CONNECTION_CLOSED = "break"  # closed without an answer
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
    """An answer as the client read it."""

    at: float
    code: int
    body: bytes


class WorkerCall(NamedTuple):
    """A call that a worker read, and how the worker answers it."""

    at: float
    behavior: WorkerBehavior
    worker: int

    @property
    def may_have_run(self) -> bool:
        """Whether the call may have run, according to the worker's behavior."""
        return self.behavior not in NOT_RUN


class WorkerAttempt(NamedTuple):
    """The start of an attempt at a worker."""

    at: float
    worker: int


class ProcessKill(NamedTuple):
    """A SIGKILL of a process that was not shutting down."""

    process: int
    at: float


class TimeInterval(NamedTuple):
    """An interval of the monotonic clock, in seconds."""

    start: float
    end: float


@dataclass(slots=True)
class SentRequest:
    """A request and its outcome, as its client records them.  Times are seconds of the monotonic clock."""

    id: str
    kind: RequestKind
    process: int
    limit_s: float  # time limit that the client sends to the dispatcher; `deadline` is `written_at` plus this
    written_at: float = 0.0  # time of its last byte
    deadline: float = 0.0
    client_left_at: float | None = None  # time at which the client cancelled it or closed the connection
    closed_at: float | None = None  # time at which the dispatcher closed the connection
    after_idle: bool = False  # sent on a connection that the dispatcher may have considered idle
    answers: list[Answer] = field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether the client still waits for an answer."""
        return not self.answers and self.client_left_at is None

    def may_be_lost_by_kill(self, kills: list[ProcessKill], slack_s: float = 0.0) -> bool:
        """Return whether its process was killed between its writing and its deadline, give or take 0.05 s.

        `written_at` may be late by up to `slack_s`."""
        return any(
            kill.process == self.process and self.written_at - 0.05 - slack_s <= kill.at <= self.deadline + 0.05
            for kill in kills
        )


class RunState:
    """The random generator of one run, whether the run is in progress, and what was observed in it."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.folder = folder
        self.running = True
        self.requests: dict[str, SentRequest] = {}
        self.started_ids: set[str] = set()  # ids of the requests whose sending has begun
        self.calls: dict[str, list[WorkerCall]] = collections.defaultdict(list)  # by request id
        self.result_bodies: set[bytes] = set()  # bodies of the results that workers may return
        self.drained_at: dict[int, float] = {}  # by worker, when the endpoint list reported it as draining
        self.kills: list[ProcessKill] = []
        self.problems: list[str] = []

    def answer_counts(self) -> dict[int | None, int]:
        """Return the number of requests by the code of their first answer; None is for those without one."""
        codes = (each.answers[0].code if each.answers else None for each in self.requests.values())
        return dict(collections.Counter(codes))

    def log_file(self, process: int) -> Path:
        """Return the file that the output of a process is written to."""
        return self.folder / f"log{process}"
