"""One simulation run over several processes, in windows that no message from another shard can reach into.

A shard has a part of the dispatchers with their clients, a part of the workers (a cell stays whole) and, the first
one, the store.  A message between shards takes at least `network_ms`, so every shard may run up to the earliest event
of all shards plus that time before it needs the others' messages (conservative windows, after Chandy, Misra and Bryant;
considered: optimistic time warp, which would have to undo decisions of the real cores).  Faults apply to all shards
alike: each draws the same victims, and keeps the state of workers of other shards.

Differences from a run in one process: a client retries among its shard's dispatchers only, the store is one network
delay away from workers of other shards, and an effect is known in other shards one network delay later.
"""

from __future__ import annotations

import traceback
import zlib
from collections.abc import Callable
from multiprocessing import get_context
from multiprocessing.connection import Connection
from typing import TYPE_CHECKING, Any, NamedTuple

from kelptrail.fault_scenario.scenario import FaultScenario
from kelptrail.load.results import Result, Second
from kelptrail.membership.members import Endpoint
from kelptrail.settings.deployment import Deployment

from .event_queue import EventQueue

if TYPE_CHECKING:
    from .settings import SimulationSettings

WINDOW_FRACTION = 0.999  # of the network delay: a window ends before its own events can reach another shard
Message = tuple[float, int, str, tuple[Any, ...]]  # arrival time in ms, target shard, kind, arguments


class Shard:
    """This process's part of the run, and its outgoing messages."""

    def __init__(self, number: int, shard_count: int) -> None:
        self.number, self.shard_count = number, shard_count
        self.out: list[Message] = []
        self._replies: dict[int, Callable[..., None]] = {}
        self._last_request = 0

    def has_dispatcher(self, dispatcher: int) -> bool:
        """Whether a dispatcher, by number, is in this shard."""
        return dispatcher % self.shard_count == self.number

    def shard_of_worker(self, worker: int) -> int:
        """The number of the shard that has a worker; both workers of a cell are in one shard."""
        return worker // 2 % self.shard_count

    def post(self, when: float, target: int, kind: str, *arguments: Any) -> None:
        """Send a message that arrives at another shard at time `when` in ms."""
        self.out.append((when, target, kind, arguments))

    def request(self, when: float, target: int, kind: str, on_reply: Callable[..., None], *arguments: Any) -> None:
        """Send a message whose first reply calls `on_reply`."""
        self._last_request += 1
        self._replies[self._last_request] = on_reply
        self.post(when, target, kind, self.number, self._last_request, *arguments)

    def on_reply(self, number: int, arguments: tuple[Any, ...]) -> None:
        """Deliver a reply to a request; a second reply is ignored."""
        on_reply = self._replies.pop(number, None)
        if on_reply is not None:
            on_reply(*arguments)


class RemoteWorker:
    """A worker of another shard: its state as faults change it, and the connection to it."""

    def __init__(
        self,
        shard: Shard,
        shard_of_worker: int,
        worker_id: str,
        zone: str,
        cell: int,
        event_queue: EventQueue,
        settings: SimulationSettings,
        cold_ms: float,
    ) -> None:
        self.id, self._zone, self._cell, self._cold_ms = worker_id, zone, cell, cold_ms
        self._shard, self._home_shard, self._event_queue, self._settings = shard, shard_of_worker, event_queue, settings
        self.up, self.state, self.draining, self._starts = True, "live", False, 0
        self.faults: dict[str, Any] = {}
        self.start_process(True)

    def start_process(self, warm: bool) -> None:
        """Start the process anew, as the worker's own shard does."""
        self._starts += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._starts}"
        self.started = self._event_queue.now - (self._cold_ms + 1 if warm else 0.0)

    @property
    def endpoint(self) -> Endpoint:
        """The worker as the endpoint list shows it."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._event_queue.now - self.started, self._zone, self._cell
        )

    def close_connections(self) -> None:
        """Nothing to do: the worker's own shard reports the lost connections."""

    def inject(self, kind: str, fault: Any) -> None:
        """The fault acts in the worker's own shard; here only a restart matters."""
        if kind == "restart-cold":
            self.start_process(False)

    def request(self, kind: str, on_reply: Callable[..., None], *arguments: Any) -> None:
        """Send the worker a request; `on_reply` gets the reply one network delay after it was given."""
        self._shard.request(
            self._event_queue.now + self._settings.network_ms, self._home_shard, kind, on_reply, self.id, *arguments
        )


class RemoteDispatcher:
    """A dispatcher of another shard; only whether it is up is known here."""

    def __init__(self, number: int) -> None:
        self.number, self.name, self.up = number, f"dispatcher-{number}", True
        self.sync_ms, self.disk_fails = 0.0, False

    def kill(self) -> None:
        """Mark the dispatcher as down."""
        self.up = False

    def start_process(self) -> None:
        """Mark the dispatcher as up."""
        self.up = True

    def on_endpoints(self, endpoints: Any) -> None:
        """Nothing to do: its own shard delivers the list."""


class RemoteStore:
    """The model store, as the shards without it reach it."""

    def __init__(self, shard: Shard, event_queue: EventQueue, settings: SimulationSettings) -> None:
        self._shard, self._event_queue, self._settings = shard, event_queue, settings
        self.fetches = 0

    def fetch(self, ms: float, on_done: Callable[[bool], None]) -> None:
        """Fetch through the first shard."""
        self._shard.request(self._event_queue.now + self._settings.network_ms, 0, "fetch", on_done, ms)

    def inject(self, kind: str, factor: float, duration_ms: float) -> None:
        """Nothing to do: the fault acts in the first shard."""


class SharedEffectLog(dict[tuple[str, str], float]):
    """The log of effects against repeats; entries of this shard are sent to all others."""

    def __init__(self, shard: Shard, event_queue: EventQueue, settings: SimulationSettings) -> None:
        super().__init__()
        self._shard, self._event_queue, self._settings = shard, event_queue, settings

    def __setitem__(self, key: tuple[str, str], when: float) -> None:
        super().__setitem__(key, when)
        if not key[0].startswith("cell-"):
            for target in range(self._shard.shard_count):
                if target != self._shard.number:
                    self._shard.post(self._event_queue.now + self._settings.network_ms, target, "mark", key, when)

    def on_remote_effect(self, key: tuple[str, str], when: float) -> None:
        """Enter an effect of another shard, without sending it on."""
        super().__setitem__(key, when)


class ShardResult(NamedTuple):
    """What a shard's process returns at the end of the run."""

    seconds: list[Second]
    latency: dict[str, list[float]]
    give_ups: dict[str, int]
    events_run: int
    loads: int
    by_namespace: dict[str, list[int]]
    captured: list[dict[str, Any]]


def _run_shard(pipe: Connection, number: int, shard_count: int, arguments: tuple[Any, ...], capture: bool) -> None:
    """Run one shard's process: up to each window's end, then exchange messages with the coordinator."""
    try:
        from .cluster import SimulatedCluster

        scenario, deployment, seed, settings = arguments
        shard = Shard(number, shard_count)
        cluster = SimulatedCluster(scenario, deployment, seed, settings, capture, shard)
        pipe.send((cluster.event_queue.next_at(), shard.out))
        shard.out = []
        while (reported_at := pipe.recv()) is not None:
            until, inboxes = reported_at
            for when, kind, theirs in inboxes:
                cluster.event_queue.at(when, cluster.on_shard_message, kind, theirs)
            cluster.event_queue.run(until)
            out, shard.out = shard.out, []
            pipe.send((cluster.event_queue.next_at(), out))
        pipe.send(
            ShardResult(
                cluster.seconds,
                cluster.latency,
                cluster.give_ups,
                cluster.event_queue.events,
                cluster.store.fetches,
                cluster.by_namespace,
                cluster.events,
            )
        )
    except (KeyboardInterrupt, EOFError, BrokenPipeError):
        pass
    except BaseException:
        pipe.send(ShardError(traceback.format_exc()))
        raise


class ShardError(Exception):
    """A shard's process failed; the text is its traceback."""


def play_sharded(
    scenario: FaultScenario,
    deployment: Deployment,
    seed: int,
    settings: SimulationSettings,
    processes: int,
    capture: bool = False,
    progress: Callable[[float], None] | None = None,
) -> tuple[Result, list[dict[str, Any]]]:
    """One run over several processes, and its events in order where `capture` asks for them.  The same for the same
    seed and number of processes.  Raises `ShardError`."""
    context = get_context("forkserver")
    pipes, children = list[Connection](), []
    for number in range(processes):
        mine, theirs = context.Pipe()
        child = context.Process(
            target=_run_shard,
            daemon=True,
            args=(theirs, number, processes, (scenario, deployment, seed, settings), capture),
        )
        child.start()
        theirs.close()
        pipes.append(mine)
        children.append(child)
    try:
        return _coordinate(pipes, scenario, deployment, settings, progress)
    finally:
        for pipe in pipes:
            pipe.close()
        for child in children:
            child.join(5)
            if child.is_alive():
                child.kill()


def _receive(pipe: Connection) -> Any:
    try:
        received = pipe.recv()
    except EOFError:
        raise ShardError("a shard's process ended") from None
    if isinstance(received, ShardError):
        raise received
    return received


def _coordinate(
    pipes: list[Connection],
    scenario: FaultScenario,
    deployment: Deployment,
    settings: SimulationSettings,
    progress: Callable[[float], None] | None,
) -> tuple[Result, list[dict[str, Any]]]:
    longest_timeout_ms = max(t.timeout_ms for t in deployment.types.values())
    end = 200 + scenario.seconds * 1000 + longest_timeout_ms + 5000
    inboxes: list[list[tuple[float, str, tuple[Any, ...]]]] = [[] for _ in pipes]
    until, reported_at = 0.0, 0.0

    def gather() -> float:
        earliest = float("inf")
        for pipe in pipes:
            first, out = _receive(pipe)
            earliest = min(earliest, first)
            for when, target, kind, arguments in out:
                inboxes[target].append((when, kind, arguments))
                earliest = min(earliest, when)
        return earliest

    earliest = gather()
    while until < end:
        until = min(end, max(until, earliest) + settings.network_ms * WINDOW_FRACTION)
        for number, pipe in enumerate(pipes):
            inbox, inboxes[number] = inboxes[number], []
            pipe.send((until, inbox))
        earliest = gather()
        if progress is not None and until - reported_at >= 1000:
            reported_at = until
            progress(until)
    for pipe in pipes:
        pipe.send(None)
    return _merge_results([_receive(pipe) for pipe in pipes], scenario)


def _merge_results(results: list[ShardResult], scenario: FaultScenario) -> tuple[Result, list[dict[str, Any]]]:
    """The results of all shards as one, and their events in order of time."""
    total = Result([Second() for _ in range(int(scenario.seconds) + 60)], {}, {}, 0, 0)
    namespaces: dict[str, list[int]] = {}
    events: list[dict[str, Any]] = []
    for result in results:
        for mine, theirs in zip(total.seconds, result.seconds, strict=True):
            for name in Second.__slots__:
                setattr(mine, name, getattr(mine, name) + getattr(theirs, name))
        for name, latencies in result.latency.items():
            total.latency.setdefault(name, []).extend(latencies)
        for cause, occurrences in result.give_ups.items():
            total.give_ups[cause] = total.give_ups.get(cause, 0) + occurrences
        for name, (wanted, in_time) in result.by_namespace.items():
            before = namespaces.setdefault(name, [0, 0])
            before[0], before[1] = before[0] + wanted, before[1] + in_time
        total.events += result.events_run
        total.loads += result.loads
        events += result.captured
    total.extra = {f"served_{name}": in_time / wanted for name, (wanted, in_time) in namespaces.items() if wanted}
    return total, sorted(events, key=lambda event: event["t"])


def answer_remote(
    shard: Shard, event_queue: EventQueue, network_ms: float, target: int, number: int
) -> Callable[..., None]:
    """The callback by which a worker or the store replies to a request of another shard; the first reply counts."""

    def reply(*arguments: Any) -> None:
        shard.post(event_queue.now + network_ms, target, "reply", number, arguments)

    return reply
