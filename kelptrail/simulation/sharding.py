"""One simulation run over several processes, which exchange messages between windows of simulated time.

A shard contains a part of the dispatchers with their clients, and a part of the workers; the workers of a cell are in
the same shard.  The first shard also contains the store.  A message between shards takes at least `network_ms`, so
every shard can run up to the earliest event of all shards plus that time before it needs messages of the others.  These
are conservative windows, after Chandy, Misra and Bryant.  Optimistic time warp, the alternative, would have to undo
decisions of the real cores.  Faults apply to all shards alike: each shard draws the same targets, and tracks the state
of workers of other shards.

Differences from a run in one process: a client calls its shard's dispatchers only, the store is one network delay away
from workers of other shards, an effect is recorded in other shards one network delay later, and there are no leases, so
that planners send no plans.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from multiprocessing import get_context
from multiprocessing.connection import Connection
from typing import Any, NamedTuple

from kelptrail.fault_scenario.scenario import FaultScenario
from kelptrail.load.results import Result, Second, empty_seconds
from kelptrail.settings.deployment import Deployment

from .cluster import LAST_ANSWERS_MS, LOAD_START_MS, SimulatedCluster
from .settings import SimulationSettings
from .shard import MessageKind, Shard, ShardMessage
from .shard_inbox import ShardInbox

WINDOW_FRACTION = 0.999  # share of the network delay; a window ends before its events can reach another shard
PROGRESS_INTERVAL_MS = 1000.0  # minimum simulated time between two calls of `progress`
PROCESS_EXIT_TIMEOUT_S = 5


class ShardError(Exception):
    """A shard's process failed; the text is its traceback, if it sent one."""


class ShardedRun(NamedTuple):
    """Merged results of all shards, and their events in order of time."""

    result: Result
    events: list[dict[str, Any]]


class ShardRunArguments(NamedTuple):
    """Inputs of the run, the same for every shard's process."""

    scenario: FaultScenario
    deployment: Deployment
    seed: int
    settings: SimulationSettings
    capture: bool


class InboxMessage(NamedTuple):
    """A message as its target shard receives it, at time `at` in ms."""

    at: float
    kind: MessageKind
    arguments: tuple[Any, ...]


class Window(NamedTuple):
    """The next window of a shard: its end in ms, and the messages that other shards sent in the last window."""

    until: float
    inbox: list[InboxMessage]


class WindowReport(NamedTuple):
    """Report of a shard at the end of a window: the time of its next event in ms, and its outgoing messages."""

    next_at: float
    outgoing: list[ShardMessage]


class ShardResult(NamedTuple):
    """Results of a shard's process at the end of the run."""

    seconds: list[Second]
    latency: dict[str, list[float]]
    give_ups: dict[str, int]
    events_run: int
    loads: int
    calls_by_namespace: dict[str, list[int]]
    captured: list[dict[str, Any]]


def _run_shard(pipe: Connection, shard: Shard, arguments: ShardRunArguments) -> None:
    """Run one shard's process window by window, and exchange messages with the coordinator in between."""
    try:
        scenario, deployment, seed, settings, capture = arguments
        cluster = SimulatedCluster(scenario, deployment, seed, settings, capture, shard)
        inbox = ShardInbox(cluster, shard)
        pipe.send(WindowReport(cluster.event_queue.next_at(), shard.take_outgoing()))
        while (window := pipe.recv()) is not None:
            for message in window.inbox:
                cluster.event_queue.at(message.at, inbox.on_message, message.kind, message.arguments)
            cluster.event_queue.run(window.until)
            pipe.send(WindowReport(cluster.event_queue.next_at(), shard.take_outgoing()))
        pipe.send(
            ShardResult(
                cluster.seconds,
                cluster.latency,
                cluster.give_ups,
                cluster.event_queue.events,
                cluster.store.fetches,
                cluster.calls_by_namespace,
                cluster.events,
            )
        )
    except (KeyboardInterrupt, EOFError, BrokenPipeError):
        pass
    except BaseException:
        pipe.send(ShardError(traceback.format_exc()))
        raise


def play_sharded(
    scenario: FaultScenario,
    deployment: Deployment,
    seed: int,
    settings: SimulationSettings,
    processes: int,
    capture: bool = False,
    progress: Callable[[float], None] | None = None,
) -> ShardedRun:
    """Run a scenario over several processes; return its results and, with `capture`, its events in order of time.

    Runs with the same seed and number of processes are the same.  `progress` gets the simulated time in ms.  Raises
    `ShardError` if a shard's process fails.
    """
    context = get_context("forkserver")
    arguments = ShardRunArguments(scenario, deployment, seed, settings, capture)
    pipes, children = list[Connection](), []
    for number in range(processes):
        coordinator_end, shard_end = context.Pipe()
        child = context.Process(target=_run_shard, daemon=True, args=(shard_end, Shard(number, processes), arguments))
        child.start()
        shard_end.close()
        pipes.append(coordinator_end)
        children.append(child)
    try:
        results = Coordinator(pipes, settings, progress).run(_end_ms(scenario, deployment))
        return _merge_results(results, scenario)
    finally:
        for pipe in pipes:
            pipe.close()
        for child in children:
            child.join(PROCESS_EXIT_TIMEOUT_S)
            if child.is_alive():
                child.kill()


def _end_ms(scenario: FaultScenario, deployment: Deployment) -> float:
    """Return the time in ms by which the last answers have arrived, as in `SimulatedCluster.run`."""
    longest_timeout_ms = max(t.timeout_ms for t in deployment.types.values())
    return LOAD_START_MS + scenario.seconds * 1000 + longest_timeout_ms + LAST_ANSWERS_MS


class Coordinator:
    """Runs all shards window by window, and forwards their messages."""

    def __init__(
        self, pipes: list[Connection], settings: SimulationSettings, progress: Callable[[float], None] | None
    ) -> None:
        self._pipes, self._settings, self._progress = pipes, settings, progress
        self._inboxes: list[list[InboxMessage]] = [[] for _ in pipes]

    def run(self, end: float) -> list[ShardResult]:
        """Run all shards up to the time `end` in ms, and return their results."""
        until = progress_at = 0.0
        earliest = self._gather_reports()
        while until < end:
            until = min(end, max(until, earliest) + self._settings.network_ms * WINDOW_FRACTION)
            for number, pipe in enumerate(self._pipes):
                inbox, self._inboxes[number] = self._inboxes[number], []
                pipe.send(Window(until, inbox))
            earliest = self._gather_reports()
            if self._progress is not None and until - progress_at >= PROGRESS_INTERVAL_MS:
                progress_at = until
                self._progress(until)
        for pipe in self._pipes:
            pipe.send(None)
        return [_receive(pipe) for pipe in self._pipes]

    def _gather_reports(self) -> float:
        """Receive all shards' reports and sort their messages into inboxes; return the earliest event's time in ms."""
        earliest = float("inf")
        for pipe in self._pipes:
            report: WindowReport = _receive(pipe)
            earliest = min(earliest, report.next_at)
            for message in report.outgoing:
                self._inboxes[message.target].append(InboxMessage(message.at, message.kind, message.arguments))
                earliest = min(earliest, message.at)
        return earliest


def _receive(pipe: Connection) -> Any:
    try:
        received = pipe.recv()
    except EOFError:
        raise ShardError("a shard's process ended without a result") from None
    if isinstance(received, ShardError):
        raise received
    return received


def _merge_results(results: list[ShardResult], scenario: FaultScenario) -> ShardedRun:
    """Merge the results of all shards, and sort their events by time."""
    total = Result(empty_seconds(scenario.seconds), {}, {}, 0, 0)
    namespaces: dict[str, list[int]] = {}
    events: list[dict[str, Any]] = []
    for result in results:
        for total_second, shard_second in zip(total.seconds, result.seconds, strict=True):
            total_second.add(shard_second)
        for name, latencies in result.latency.items():
            total.latency.setdefault(name, []).extend(latencies)
        for cause, occurrences in result.give_ups.items():
            total.give_ups[cause] = total.give_ups.get(cause, 0) + occurrences
        for name, (calls, in_time) in result.calls_by_namespace.items():
            counts = namespaces.setdefault(name, [0, 0])
            counts[0], counts[1] = counts[0] + calls, counts[1] + in_time
        total.events += result.events_run
        total.loads += result.loads
        events += result.captured
    total.extra = {f"served_{name}": in_time / calls for name, (calls, in_time) in namespaces.items() if calls}
    return ShardedRun(total, sorted(events, key=lambda event: event["t"]))
