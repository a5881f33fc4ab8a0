"""Reads a capture of the bench (`--tap FILE`): requests, results, endpoint lists, starts and exits of dispatchers.

The captured messages are those of the simulator's protocol; `kelptrail/simulator_adapter/instance.py` explains their
field names.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

# Values of a result's remark, modulo 8, which show that the attempt found a loaded instance.
LOADED_REMARKS = (0, 1)
# A load order that is answered sooner found its instances already loaded.
SHORTEST_LOAD_US = 50_000


class CaptureError(ValueError):
    """Raised for a file that is not a valid capture; names the file, and the line if one is malformed."""


class CapturedBatch(NamedTuple):
    """A batch sent to a dispatcher, or the reply to a batch."""

    is_reply: bool
    body: dict[str, Any]


class CapturedRequest(NamedTuple):
    """A client's request; `at` in seconds, `request_class` as an index of the classes in `CapturedRun.env`."""

    at: float
    request_class: int
    function: str


class CapturedFunction(NamedTuple):
    """The properties of a function that its requests state."""

    request_class: int
    memory_mb: float
    concurrency: int


class CapturedLoad(NamedTuple):
    """A completed load order; `at` in seconds."""

    at: float
    duration_ms: float


class ProcessEvent(NamedTuple):
    """The start or the exit of a dispatcher; `at` in seconds."""

    at: float
    dispatcher: str


class StateChange(NamedTuple):
    """A change of a worker's state in the endpoint list, or a restart (state `restarted`); `at` in seconds."""

    at: float
    worker: str
    state: str


class AttemptResult(NamedTuple):
    """The result of an attempt, and the class of its request."""

    ending: str  # Result code, such as S for completed, E for error, F for no capacity, M for not loaded
    request_class: int


@dataclass(slots=True)
class CapturedRun:
    """The contents of a capture.  Seconds count from the first request; `start` is its time on the capture's clock."""

    env: dict[str, Any] = field(default_factory=dict)  # Settings that the dispatchers were started with
    start: float = -1.0
    requests: list[CapturedRequest] = field(default_factory=list)
    functions: dict[str, CapturedFunction] = field(default_factory=dict)
    results: dict[tuple[str, int], Counter[AttemptResult]] = field(
        default_factory=lambda: defaultdict(Counter)
    )  # By worker and second
    latency_ms: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))  # By request class
    loads: list[CapturedLoad] = field(default_factory=list)
    dispatchers: set[str] = field(default_factory=set)
    exits: list[ProcessEvent] = field(default_factory=list)
    restarts: list[ProcessEvent] = field(default_factory=list)
    state_changes: list[StateChange] = field(default_factory=list)
    workers: set[str] = field(default_factory=set)

    @property
    def has_started(self) -> bool:
        """True once the first request has been read."""
        return self.start >= 0

    @property
    def length(self) -> float:
        """Seconds from the first request to the last."""
        return max(request.at for request in self.requests)


def read_batches(file: Path) -> Iterator[CapturedBatch]:
    """Yield the batches and replies of a capture.  Raises `CaptureError` for a line that is neither."""
    is_reply = False
    with open(file, encoding="utf-8") as source:
        for number, line in enumerate(source, 1):
            if line.startswith((">> ", "<< ")):
                is_reply = line.startswith("<<")
            elif line.strip():
                try:
                    yield CapturedBatch(is_reply, json.loads(line))
                except ValueError:
                    raise CaptureError(f"{file}:{number}: line is neither a batch nor a reply") from None


def read_capture(file: Path) -> CapturedRun:
    """Read a capture.  Raises `CaptureError` if it is malformed or contains no request."""
    reader = _CaptureReader()
    for is_reply, batch in read_batches(file):
        if not is_reply:
            reader.read_batch(batch)
    if not reader.captured.requests:
        raise CaptureError(f"{file}: capture contains no requests")
    return reader.captured


class _CaptureReader:
    """Adds the events of batches to a `CapturedRun`, and holds the state to which later events refer."""

    def __init__(self) -> None:
        self.captured = CapturedRun()
        self._endpoint_lists: dict[int, list[dict[str, Any]]] = {}  # Endpoint lists by number
        self._worker_starts: dict[str, float] = {}
        self._worker_states: dict[str, str] = {}
        self._request_classes: dict[str, int] = {}  # By request id
        self._now_s = 0.0

    def read_batch(self, batch: dict[str, Any]) -> None:
        """Add all events of a batch to the captured run."""
        self._now_s = batch["now_us"] / 1e6
        for event in batch["arrivals"]:
            ((kind, body),) = event.items()
            at = self._now_s - self.captured.start if self.captured.has_started else 0.0
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
            self._endpoint_lists[body["table"]] = body["records"]
        elif kind == "Membership" and body["how"] != "X":  # X reports the loss of the list
            for entry in self._endpoint_lists.get(body["table"], []):
                self._on_endpoint(entry, at)

    def _on_dispatcher_started(self, body: dict[str, Any], at: float) -> None:
        captured = self.captured
        captured.env = captured.env or body["env"]
        captured.dispatchers.add(body["i"])
        if captured.has_started:
            captured.restarts.append(ProcessEvent(at, body["i"]))

    def _on_request(self, body: dict[str, Any]) -> None:
        captured = self.captured
        if not captured.has_started:
            captured.start = self._now_s
        # Requests marked as clients' retries are left out: the clients of the imported scenario make their own.
        if not body["again_by_client"]:
            captured.requests.append(CapturedRequest(self._now_s - captured.start, body["class"], body["fn"]))
        concurrency = max(1, int(body["parallel"]))
        captured.functions[body["fn"]] = CapturedFunction(body["class"], body["memory_mb"], concurrency)
        self._request_classes[body["handle"]] = body["class"]

    def _on_attempt_result(self, body: dict[str, Any], at: float) -> None:
        request_class = self._request_classes.get(body["handle"], 0)
        self.captured.results[body["runner"], int(at)][AttemptResult(body["ending"], request_class)] += 1
        if body["ending"] == "S" and (body["remark"] or 0) % 8 in LOADED_REMARKS:
            self.captured.latency_ms[request_class].append(body["latency_us"] / 1000)

    def _on_endpoint(self, entry: dict[str, Any], at: float) -> None:
        """Record a change of a worker in an endpoint list.  Lists before the first request give its initial state."""
        captured, worker, state = self.captured, entry["runner"], entry["readiness"]
        started = entry["last_start_us"] or 0
        captured.workers.add(worker)
        if captured.has_started and state != self._worker_states.get(worker, "live"):
            captured.state_changes.append(StateChange(at, worker, state))
        elif captured.has_started and started > self._worker_starts.get(worker, started):
            captured.state_changes.append(StateChange(at, worker, "restarted"))
        self._worker_states[worker], self._worker_starts[worker] = state, started
