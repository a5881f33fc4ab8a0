"""One run of the lab over several processes, in windows that no message from another shard can reach into.

A shard has a part of the dispatchers with their clients, a part of the workers (a cell stays whole) and, the first
one, the store.  What goes between shards takes `network_ms` at least, so every shard may play on to the earliest event
of all plus that time before it must hear from the others (conservative windows, in the manner of Chandy, Misra and
Bryant; weighed: optimistic time warp, which would have to undo what the real cores have decided).  Troubles fall on all
shards alike: each draws the same victims, and keeps the state of workers that are elsewhere.

Other than in one process: a client comes again within its shard's dispatchers, the store is a network's way off from
workers of other shards, and a mark against repeats is known there one way later.
"""

from __future__ import annotations

import traceback
import zlib
from collections.abc import Callable
from multiprocessing import get_context
from multiprocessing.connection import Connection
from typing import TYPE_CHECKING, Any

from kelptrail.fault_scenario.scenario import FaultScenario
from kelptrail.load.results import Result, Second
from kelptrail.membership.members import Endpoint
from kelptrail.settings.deployment import Deployment

from .event_queue import EventQueue

if TYPE_CHECKING:
    from .cluster import SimulationSettings

SPAN = 0.999  # of the least way: a window ends before what its own events cause elsewhere
Message = tuple[float, int, str, tuple[Any, ...]]  # when it arrives, at which shard, what, with which words


class Shard:
    """This process's part, and its mail."""

    def __init__(self, number: int, of: int) -> None:
        self.number, self.of = number, of
        self.out: list[Message] = []
        self._replies: dict[int, Callable[..., None]] = {}
        self._last = 0

    def has(self, dispatcher: int) -> bool:
        """Whether a dispatcher is here."""
        return dispatcher % self.of == self.number

    def home(self, worker: int) -> int:
        """The shard of a worker."""
        return worker // 2 % self.of

    def post(self, when: float, to: int, what: str, *words: Any) -> None:
        """Something that happens in another shard."""
        self.out.append((when, to, what, words))

    def ask(self, when: float, to: int, what: str, then: Callable[..., None], *words: Any) -> None:
        """The same, with a reply that calls `then`."""
        self._last += 1
        self._replies[self._last] = then
        self.post(when, to, what, self.number, self._last, *words)

    def replied(self, number: int, words: tuple[Any, ...]) -> None:
        """A reply has come."""
        then = self._replies.pop(number, None)
        if then is not None:
            then(*words)


class RemoteWorker:
    """A worker of another shard: its state as troubles change it, and the way there."""

    def __init__(
        self,
        shard: Shard,
        home: int,
        id_: str,
        hall: str,
        cell: int,
        engine: EventQueue,
        settings: SimulationSettings,
        cold_ms: float,
    ) -> None:
        self.id, self._hall, self._cell, self._cold_ms = id_, hall, cell, cold_ms
        self._shard, self._home, self._engine, self._settings = shard, home, engine, settings
        self.up, self.state, self.draining, self._starts = True, "live", False, 0
        self.faults: dict[str, Any] = {}
        self.begin(True)

    def begin(self, warm: bool) -> None:
        """A new start, as the other shard has it."""
        self._starts += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._starts}"
        self.started = self._engine.now - (self._cold_ms + 1 if warm else 0.0)

    @property
    def entry(self) -> Endpoint:
        """As the list tells of it."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._engine.now - self.started, self._hall, self._cell
        )

    def break_all(self) -> None:
        """The other shard tells those whose connections end."""

    def fault(self, kind: str, trouble: Any) -> None:
        """It acts in the other shard; here only a new start counts."""
        if kind == "restart-cold":
            self.begin(False)

    def go(self, what: str, then: Callable[..., None], *words: Any) -> None:
        """Send it something; `then` hears the reply, one way after it was given there."""
        self._shard.ask(self._engine.now + self._settings.network_ms, self._home, what, then, self.id, *words)


class RemoteDispatcher:
    """A dispatcher of another shard."""

    def __init__(self, number: int) -> None:
        self.number, self.name, self.up = number, f"dispatcher-{number}", True
        self.sync_ms, self.disk_fails = 0.0, False

    def kill(self) -> None:
        """Down, as it is in its own shard."""
        self.up = False

    def begin(self) -> None:
        """And up again."""
        self.up = True

    def listed(self, listing: Any) -> None:
        """Its own shard tells it."""


class RemoteStore:
    """The store, seen from another shard."""

    def __init__(self, shard: Shard, engine: EventQueue, settings: SimulationSettings) -> None:
        self._shard, self._engine, self._settings = shard, engine, settings
        self.fetches = 0

    def fetch(self, ms: float, tell: Callable[[bool], None]) -> None:
        """Fetch through the first shard."""
        self._shard.ask(self._engine.now + self._settings.network_ms, 0, "fetch", tell, ms)

    def fault(self, kind: str, factor: float, for_ms: float) -> None:
        """It acts in the first shard."""


class SharedEffectLog(dict[tuple[str, str], float]):
    """Marks against repeats; those set here are told to all shards."""

    def __init__(self, shard: Shard, engine: EventQueue, settings: SimulationSettings) -> None:
        super().__init__()
        self._shard, self._engine, self._settings = shard, engine, settings

    def __setitem__(self, key: tuple[str, str], when: float) -> None:
        super().__setitem__(key, when)
        if not key[0].startswith("cell-"):
            for to in range(self._shard.of):
                if to != self._shard.number:
                    self._shard.post(self._engine.now + self._settings.network_ms, to, "mark", key, when)

    def heard(self, key: tuple[str, str], when: float) -> None:
        """Set elsewhere."""
        super().__setitem__(key, when)


def _mind(pipe: Connection, number: int, of: int, words: tuple[Any, ...], capture: bool) -> None:
    """One shard's process: play up to where it is told, hand over the mail."""
    try:
        from .cluster import SimulatedCluster

        day, deployment, seed, settings = words
        shard = Shard(number, of)
        site = SimulatedCluster(day, deployment, seed, settings, capture, shard)
        pipe.send((site.engine.next_at(), shard.out))
        shard.out = []
        while (told := pipe.recv()) is not None:
            until, mail = told
            for when, what, its in mail:
                site.engine.at(when, site.mail, what, its)
            site.engine.run(until)
            out, shard.out = shard.out, []
            pipe.send((site.engine.next_at(), out))
        pipe.send(
            (
                site.seconds,
                site.latency,
                site.give_ups,
                site.engine.events,
                site.store.fetches,
                site.by_space,
                site.events,
            )
        )
    except (KeyboardInterrupt, EOFError, BrokenPipeError):
        pass
    except BaseException:
        pipe.send(RuntimeError(traceback.format_exc()))
        raise


class ShardError(Exception):
    """A shard's process failed; the text is its traceback."""


def play_sharded(
    day: FaultScenario,
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
            target=_mind, daemon=True, args=(theirs, number, processes, (day, deployment, seed, settings), capture)
        )
        child.start()
        theirs.close()
        pipes.append(mine)
        children.append(child)
    try:
        return _conduct(pipes, day, deployment, settings, progress)
    finally:
        for pipe in pipes:
            pipe.close()
        for child in children:
            child.join(5)
            if child.is_alive():
                child.kill()


def _hear(pipe: Connection) -> Any:
    try:
        said = pipe.recv()
    except EOFError:
        raise ShardError("a shard's process ended") from None
    if isinstance(said, RuntimeError):
        raise ShardError(str(said))
    return said


def _conduct(
    pipes: list[Connection],
    day: FaultScenario,
    deployment: Deployment,
    settings: SimulationSettings,
    progress: Callable[[float], None] | None,
) -> tuple[Result, list[dict[str, Any]]]:
    longest = max(t.timeout_ms for t in deployment.types.values())
    end = 200 + day.seconds * 1000 + longest + 5000
    mail: list[list[tuple[float, str, tuple[Any, ...]]]] = [[] for _ in pipes]
    until, told = 0.0, 0.0

    def gather() -> float:
        least = float("inf")
        for pipe in pipes:
            first, out = _hear(pipe)
            least = min(least, first)
            for when, to, what, words in out:
                mail[to].append((when, what, words))
                least = min(least, when)
        return least

    least = gather()
    while until < end:
        until = min(end, max(until, least) + settings.network_ms * SPAN)
        for number, pipe in enumerate(pipes):
            letters, mail[number] = mail[number], []
            pipe.send((until, letters))
        least = gather()
        if progress is not None and until - told >= 1000:
            told = until
            progress(until)
    for pipe in pipes:
        pipe.send(None)
    whole = Result([Second() for _ in range(int(day.seconds) + 60)], {}, {}, 0, 0)
    spaces: dict[str, list[int]] = {}
    events: list[dict[str, Any]] = []
    for pipe in pipes:
        seconds, latency, give_ups, count, loads, by_space, noted = _hear(pipe)
        for mine, its in zip(whole.seconds, seconds, strict=True):
            for name in Second.__slots__:
                setattr(mine, name, getattr(mine, name) + getattr(its, name))
        for name, found in latency.items():
            whole.latency.setdefault(name, []).extend(found)
        for cause, times in give_ups.items():
            whole.give_ups[cause] = whole.give_ups.get(cause, 0) + times
        for name, (wanted, good) in by_space.items():
            before = spaces.setdefault(name, [0, 0])
            before[0], before[1] = before[0] + wanted, before[1] + good
        whole.events += count
        whole.loads += loads
        events += noted
    whole.extra = {f"served_{name}": good / wanted for name, (wanted, good) in spaces.items() if wanted}
    return whole, sorted(events, key=lambda event: event["t"])


def answer_remote(shard: Shard, engine: EventQueue, network_ms: float, to: int, number: int) -> Callable[..., None]:
    """What a worker or the store is given to reply with, for an asker in another shard; the first reply counts."""

    def reply(*words: Any) -> None:
        shard.post(engine.now + network_ms, to, "reply", number, words)

    return reply
