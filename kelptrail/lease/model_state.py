"""State of the lease model: acceptors, clients and one protected resource; free of I/O.

A state holds the cores, each acceptor's disk and its unsynced writes, messages and actions in flight, and the budget of
faults that may still happen.  Each process's clock runs at its own rate.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field
from typing import Self

from .acceptor import Acceptor
from .acceptor_state import DurableState, Stage, Write
from .client import LeaseClient
from .messages import NO_NOTE, NO_TOKEN, FencingToken, LeaseRow, LeaseSettings, Message

TASK = "task"


@dataclass(frozen=True, slots=True)
class Budget:
    """How many faults of each kind may still happen, and how many `actions` under a token may still begin."""

    drops: int = 0
    duplicates: int = 0
    delays: int = 0  # of time steps while messages or writes are in flight
    restarts: int = 0  # of acceptors, from their disks
    disk_losses: int = 0
    sync_failures: int = 0
    client_restarts: int = 0  # new runs of clients
    pauses: int = 0
    releases: int = 0
    actions: int = 0


@dataclass(slots=True)
class Disk:
    """The durable state of an acceptor."""

    state: DurableState | None = None
    rows: dict[str, LeaseRow] = field(default_factory=dict)

    def sync(self, write: Write) -> None:
        """Make a write durable."""
        self.state = write.state or self.state
        for row in write.rows:
            self.rows[row.task] = row

    def clone(self) -> Disk:
        """An independent copy."""
        return Disk(self.state, dict(self.rows))


@dataclass(frozen=True, slots=True)
class InFlight:
    """A message in flight, or an action under a token (`message` None) on its way to the protected resource."""

    sender: str
    to: str
    message: Message | None
    token: FencingToken = NO_TOKEN


@dataclass(frozen=True, slots=True)
class ModelSetup:
    """Initial conditions: settings, clients, budget, classes of the cores (tests replace them by broken ones), clock
    rates by name; `is_founded`: the acceptors have voted before; `checks_tokens`: the resource checks tokens.
    """

    settings: LeaseSettings
    clients: tuple[str, ...]
    budget: Budget
    length_ms: float = 100.0
    acceptor_type: type[Acceptor] = Acceptor
    client_type: type[LeaseClient] = LeaseClient
    clock_rates: tuple[tuple[str, float], ...] = ()
    is_founded: bool = True
    checks_tokens: bool = True
    clocks_in_bound: bool = True  # so at most one client may rely on the lease
    disk_type: Callable[[], Disk] = Disk
    with_notes: bool = False  # a client writes a note on each acquisition
    next_settings: LeaseSettings | None = None  # next acceptor set, adopted process by process

    def clock_rate(self, name: str) -> float:
        """The rate of a process's clock."""
        return dict(self.clock_rates).get(name, 1.0)


class ModelState:
    """One state: cores, disks, messages and writes in flight, clocks, and the remaining budget."""

    __slots__ = (
        "acceptors",
        "budget",
        "client_runs",
        "clients",
        "disks",
        "highest_acquired",
        "highest_used",
        "in_flight",
        "now",
        "paused",
        "reconfigured",
        "setup",
        "stored_note",
        "trail",
        "violation",
    )

    def __init__(self, make: ModelSetup) -> None:
        self.setup, self.budget, self.now = make, make.budget, 0.0
        settings = make.settings
        every = dict.fromkeys((*settings.acceptors, *(make.next_settings.acceptors if make.next_settings else ())))
        self.disks = {name: make.disk_type() for name in every}
        self.reconfigured: frozenset[str] = frozenset()  # processes that use the next acceptor set
        if make.is_founded:
            for name in settings.acceptors:
                self.disks[name].state = DurableState(settings.config_number, Stage.VOTING, False)
        self.acceptors = {
            name: make.acceptor_type(name, settings, 0.0, self.disks[name].state) for name in settings.acceptors
        }
        self.client_runs = dict.fromkeys(make.clients, 1)
        self.clients = {name: make.client_type(name, f"{name}/1", settings) for name in make.clients}
        self.in_flight: tuple[InFlight, ...] = ()
        self.paused: frozenset[str] = frozenset()
        self.highest_used = self.highest_acquired = NO_TOKEN  # highest tokens used in an action, and acquired
        self.stored_note = NO_NOTE  # the latest note acknowledged to its holder
        self.violation = ""
        self.trail: tuple[str, ...] = ()
        for name, client in self.clients.items():
            client.acquire(self.local_time(name), TASK, make.length_ms)

    def local_time(self, name: str) -> float:
        """The reading of a process's clock, ms."""
        return self.now * self.setup.clock_rate(name)

    def settings_of(self, name: str) -> LeaseSettings:
        """The settings that a process reads at its next start."""
        return (
            self.setup.next_settings
            if self.setup.next_settings is not None and name in self.reconfigured
            else self.setup.settings
        )

    def clone(self) -> Self:
        """An independent copy."""
        after = type(self).__new__(type(self))
        after.setup, after.budget, after.now, after.in_flight = self.setup, self.budget, self.now, self.in_flight
        after.disks = {name: disk.clone() for name, disk in self.disks.items()}
        after.acceptors = {name: acceptor.clone() for name, acceptor in self.acceptors.items()}
        after.clients = {name: client.clone() for name, client in self.clients.items()}
        after.client_runs, after.paused, after.trail = dict(self.client_runs), self.paused, self.trail
        after.highest_used, after.highest_acquired, after.violation, after.reconfigured = (
            self.highest_used,
            self.highest_acquired,
            self.violation,
            self.reconfigured,
        )
        after.stored_note = self.stored_note
        return after

    def key(self) -> Hashable:
        """Everything that the future depends on, with times relative to now."""
        parts: list[Hashable] = [
            self.budget,
            tuple(sorted(self.in_flight, key=repr)),
            self.paused,
            self.highest_used,
            self.highest_acquired,
            self.reconfigured,
            self.stored_note,
        ]
        for name in self.acceptors:
            parts += self._acceptor_key(name)
        for name in self.clients:
            parts += self._client_key(name)
        return tuple(parts)

    def _acceptor_key(self, name: str) -> Iterator[Hashable]:
        acceptor, now = self.acceptors[name], self.local_time(name)
        yield (
            acceptor.stage,
            acceptor.sealed_previous,
            _time_until(acceptor.recovery.quiet_since, now),
            _time_until(acceptor.next_tick_at(), now),
            acceptor.recovery.nonce,
            frozenset(acceptor.recovery.replies.items()),
            tuple(acceptor.pending_writes),
            self.disks[name].state,
            self.disks[name].rows.get(TASK),
        )
        record = acceptor.records.get(TASK)
        if record is not None:
            yield (
                record.highest_token,
                record.durable_token,
                record.released,
                _time_until(record.expires_at, now),
                record.reserved_for,
                _time_until(record.reserved_until, now),
                record.note,
            )

    def _client_key(self, name: str) -> Iterator[Hashable]:
        client, now = self.clients[name], self.local_time(name)
        highest_round = client.highest_rounds.get(TASK, 0)
        yield name, client.client_id, client._last_request_id, client.backoff.draws, highest_round
        request = client.requests.get(TASK)
        if request is None:
            return
        yield request.inherited_note, request.pending_note, frozenset(request.note_acceptors)
        yield (
            request.state,
            request.token,
            _time_until(request.next_step_at, now),
            _time_until(request.expires_at, now),
            request.is_probing,
            request.failed_attempts,
            frozenset(request.refusals),
            frozenset(request.acceptors_asked),
            tuple(
                (request_id, _time_until(ballot.sent_at, now), frozenset(ballot.granted_by))
                for request_id, ballot in request.ballots.items()
            ),
        )


def _time_until(when: float | None, now: float) -> float | None:
    """The time left until `when`; None for all times in the past."""
    return None if when is None or when <= now else round(when - now, 3)
