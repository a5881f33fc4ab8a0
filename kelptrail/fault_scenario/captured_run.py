"""Reads a capture of the bench (`--tap FILE`): requests, results, endpoint lists, starts and ends of dispatchers."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

LOADED_REMARKS = (0, 1)  # of a result, modulo 8: the attempt found a loaded instance
SHORTEST_LOAD_US = 50_000  # an order that is answered sooner found its instances loaded


class CaptureError(ValueError):
    """A file that is no capture, with the line at fault."""


class CapturedBatch(NamedTuple):
    """One batch to a dispatcher, or the reply to one."""

    is_reply: bool
    body: dict[str, Any]


class CapturedRequest(NamedTuple):
    """A client's request; `at` in seconds."""

    at: float
    request_class: int
    function: str


class CapturedFunction(NamedTuple):
    """What requests say of a function."""

    request_class: int
    memory_mb: float
    concurrency: int


class CapturedLoad(NamedTuple):
    """A load order that was carried out; `at` in seconds."""

    at: float
    duration_ms: float


class ProcessEvent(NamedTuple):
    """The start or the end of a dispatcher; `at` in seconds."""

    at: float
    dispatcher: str


class StateChange(NamedTuple):
    """A worker's new state in the endpoint list, or `restarted`; `at` in seconds."""

    at: float
    worker: str
    state: str


class AttemptResult(NamedTuple):
    """How an attempt ended, and the class of its request."""

    ending: str
    request_class: int


@dataclass(slots=True)
class CapturedRun:
    """What a capture showed.  Seconds count from the first request."""

    env: dict[str, Any] = field(default_factory=dict)
    start: float = -1.0
    requests: list[CapturedRequest] = field(default_factory=list)
    functions: dict[str, CapturedFunction] = field(default_factory=dict)
    results: dict[tuple[str, int], Counter[AttemptResult]] = field(
        default_factory=lambda: defaultdict(Counter)
    )  # by worker and second
    latency_ms: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))  # by class
    loads: list[CapturedLoad] = field(default_factory=list)
    dispatchers: set[str] = field(default_factory=set)
    exits: list[ProcessEvent] = field(default_factory=list)
    restarts: list[ProcessEvent] = field(default_factory=list)
    state_changes: list[StateChange] = field(default_factory=list)
    workers: set[str] = field(default_factory=set)

    @property
    def begun(self) -> bool:
        """Whether the first request has come."""
        return self.start >= 0

    @property
    def length(self) -> float:
        """Seconds from the first request to the last."""
        return max(request.at for request in self.requests)


def read_batches(file: Path) -> Iterator[CapturedBatch]:
    """Batches and replies of a capture.  Raises `CaptureError` with the line that is neither."""
    is_reply = False
    with open(file, encoding="utf-8") as source:
        for number, line in enumerate(source, 1):
            if line.startswith((">> ", "<< ")):
                is_reply = line.startswith("<<")
            elif line.strip():
                try:
                    yield CapturedBatch(is_reply, json.loads(line))
                except ValueError:
                    raise CaptureError(f"{file}:{number}: neither a batch nor a reply") from None


def read_capture(file: Path) -> CapturedRun:
    """Read a capture.  Raises `CaptureError` where it has no request."""
    reader = _CaptureReader()
    for is_reply, batch in read_batches(file):
        if not is_reply:
            reader.read_batch(batch)
    if not reader.captured.requests:
        raise CaptureError(f"{file}: no request in it")
    return reader.captured


class _CaptureReader:
    """Enters the events of batches in a `CapturedRun`; what later events refer to is kept here."""

    def __init__(self) -> None:
        self.captured = CapturedRun()
        self._tables: dict[int, list[dict[str, Any]]] = {}  # endpoint lists by number
        self._worker_starts: dict[str, float] = {}
        self._worker_states: dict[str, str] = {}
        self._request_classes: dict[str, int] = {}  # by request id
        self._now = 0.0

    def read_batch(self, batch: dict[str, Any]) -> None:
        """Enter all events of a batch."""
        self._now = batch["now_us"] / 1e6
        for event in batch["arrivals"]:
            ((kind, body),) = event.items()
            at = self._now - self.captured.start if self.captured.begun else 0.0
            self._read_event(kind, body, at)

    def _read_event(self, kind: str, body: dict[str, Any], at: float) -> None:
        captured = self.captured
        if kind == "Hello":
            self._on_dispatcher_started(body, at)
        elif kind == "Exit":
            captured.exits.append(ProcessEvent(at, body["i"]))
        elif kind == "Req":
            self._on_request(body)
        elif kind == "Answer":
            self._on_attempt_result(body, at)
        elif kind == "ReadyThere" and body["ending"] == "S" and body["latency_us"] > SHORTEST_LOAD_US:
            captured.loads.append(CapturedLoad(at, body["latency_us"] / 1000))
        elif kind == "Manifest":
            self._tables[body["table"]] = body["records"]
        elif kind == "Membership" and body["how"] != "X":
            for entry in self._tables.get(body["table"], []):
                self._on_endpoint(entry, at)

    def _on_dispatcher_started(self, body: dict[str, Any], at: float) -> None:
        captured = self.captured
        captured.env = captured.env or body["env"]
        captured.dispatchers.add(body["i"])
        if captured.begun:
            captured.restarts.append(ProcessEvent(at, body["i"]))

    def _on_request(self, body: dict[str, Any]) -> None:
        captured = self.captured
        if not captured.begun:
            captured.start = self._now
        if not body["again_by_client"]:  # retries come from the script's own clients, where they are marked
            captured.requests.append(CapturedRequest(self._now - captured.start, body["class"], body["fn"]))
        concurrency = max(1, int(body["parallel"]))
        captured.functions[body["fn"]] = CapturedFunction(body["class"], body["memory_mb"], concurrency)
        self._request_classes[body["handle"]] = body["class"]

    def _on_attempt_result(self, body: dict[str, Any], at: float) -> None:
        request_class = self._request_classes.get(body["handle"], 0)
        self.captured.results[body["runner"], int(at)][AttemptResult(body["ending"], request_class)] += 1
        if body["ending"] == "S" and (body["remark"] or 0) % 8 in LOADED_REMARKS:
            self.captured.latency_ms[request_class].append(body["latency_us"] / 1000)

    def _on_endpoint(self, entry: dict[str, Any], at: float) -> None:
        """A worker in an endpoint list; the first list shows its state before the run."""
        captured, worker, state = self.captured, entry["runner"], entry["readiness"]
        started = entry["last_start_us"] or 0
        captured.workers.add(worker)
        if captured.begun and state != self._worker_states.get(worker, "live"):
            captured.state_changes.append(StateChange(at, worker, state))
        elif captured.begun and started > self._worker_starts.get(worker, started):
            captured.state_changes.append(StateChange(at, worker, "restarted"))
        self._worker_states[worker], self._worker_starts[worker] = state, started
