"""State of the lease model: acceptors, clients and one protected resource.  Performs no I/O.

A state contains the acceptors with their disks and unsynced writes, the clients, the messages and actions in flight,
and the budget of faults that may still happen.  The clock of each process runs at its own rate.
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
    """Number of faults of each kind that may still happen, and of `actions` under a token that may still start."""

    drops: int = 0
    duplicates: int = 0
    delays: int = 0  # time steps while messages or writes are in flight
    restarts: int = 0  # restarts of acceptors with their disks
    disk_losses: int = 0
    sync_failures: int = 0
    client_restarts: int = 0  # restarts of clients under a new client id
    pauses: int = 0
    releases: int = 0
    actions: int = 0


@dataclass(slots=True)
class Disk:
    """The durable state of an acceptor."""

    state: DurableState | None = None
    rows: dict[str, LeaseRow] = field(default_factory=dict)

    def sync(self, write: Write) -> None:
        """Apply a write, which is durable from now on."""
        self.state = write.state or self.state
        for row in write.rows:
            self.rows[row.task] = row

    def clone(self) -> Disk:
        """Return an independent copy."""
        return Disk(self.state, dict(self.rows))


@dataclass(frozen=True, slots=True)
class InFlight:
    """A message in flight, or, if `message` is None, an action under a token that is in flight to the resource."""

    sender: str
    to: str
    message: Message | None
    token: FencingToken = NO_TOKEN


@dataclass(frozen=True, slots=True)
class ModelSetup:
    """Initial conditions of a model.

    Tests replace the classes of acceptors and clients with faulty ones.  `clock_rates` are the rates by process
    name.  `is_founded` means that the acceptors have voted before, and `checks_tokens` that the resource checks tokens.
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
    clocks_in_bound: bool = True  # if true, at most one client may rely on the lease at a time
    disk_type: Callable[[], Disk] = Disk
    with_notes: bool = False  # each client writes a note after each acquisition
    # Settings with the next acceptor set, adopted by one process after another.
    next_settings: LeaseSettings | None = None

    def clock_rate(self, name: str) -> float:
        """Return the clock rate of a process, relative to true time."""
        return dict(self.clock_rates).get(name, 1.0)


class ModelState:
    """One state: acceptors, clients, disks, messages and writes in flight, time, and the remaining budget."""

    __slots__ = (
        "acceptors",
        "budget",
        "client_runs",
        "clients",
        "disks",
        "highest_accepted",
        "highest_acquired",
        "in_flight",
        "now",
        "paused",
        "reconfigured",
        "setup",
        "stored_note",
        "trail",
        "violation",
    )

    def __init__(self, setup: ModelSetup) -> None:
        self.setup, self.budget, self.now = setup, setup.budget, 0.0
        settings = setup.settings
        names = dict.fromkeys((*settings.acceptors, *(setup.next_settings.acceptors if setup.next_settings else ())))
        self.disks = {name: setup.disk_type() for name in names}
        self.reconfigured: frozenset[str] = frozenset()  # processes that use the next acceptor set
        if setup.is_founded:
            for name in settings.acceptors:
                self.disks[name].state = DurableState(settings.config_number, Stage.VOTING, False)
        self.acceptors = {
            name: setup.acceptor_type(name, settings, 0.0, self.disks[name].state) for name in settings.acceptors
        }
        self.client_runs = dict.fromkeys(setup.clients, 1)
        self.clients = {name: setup.client_type(name, f"{name}/1", settings) for name in setup.clients}
        self.in_flight: tuple[InFlight, ...] = ()
        self.paused: frozenset[str] = frozenset()
        # Highest token that the resource has accepted, and highest token that a client has acquired.
        self.highest_accepted = self.highest_acquired = NO_TOKEN
        self.stored_note = NO_NOTE  # latest note that was acknowledged to its holder
        self.violation = ""
        self.trail: tuple[str, ...] = ()
        for name, client in self.clients.items():
            client.acquire(self.local_time(name), TASK, setup.length_ms)

    def local_time(self, name: str) -> float:
        """Return the time on the clock of a process, in ms."""
        return self.now * self.setup.clock_rate(name)

    def settings_of(self, name: str) -> LeaseSettings:
        """Return the settings that a process reads at its next start."""
        return (
            self.setup.next_settings
            if self.setup.next_settings is not None and name in self.reconfigured
            else self.setup.settings
        )

    def clone(self) -> Self:
        """Return an independent copy."""
        clone = type(self).__new__(type(self))
        clone.setup, clone.budget, clone.now, clone.in_flight = self.setup, self.budget, self.now, self.in_flight
        clone.disks = {name: disk.clone() for name, disk in self.disks.items()}
        clone.acceptors = {name: acceptor.clone() for name, acceptor in self.acceptors.items()}
        clone.clients = {name: client.clone() for name, client in self.clients.items()}
        clone.client_runs, clone.paused, clone.trail = dict(self.client_runs), self.paused, self.trail
        clone.highest_accepted, clone.highest_acquired, clone.violation, clone.reconfigured = (
            self.highest_accepted,
            self.highest_acquired,
            self.violation,
            self.reconfigured,
        )
        clone.stored_note = self.stored_note
        return clone

    def key(self) -> Hashable:
        """Return everything on which the following states depend, with times relative to now."""
        parts: list[Hashable] = [
            self.budget,
            tuple(sorted(self.in_flight, key=repr)),
            self.paused,
            self.highest_accepted,
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
            _time_until(acceptor.recovery.wait_started_at, now),
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
            request.only_first_contacted,
            request.failed_attempts,
            frozenset(request.refusals),
            frozenset(request.contacted_acceptors),
            tuple(
                (request_id, _time_until(ballot.sent_at, now), frozenset(ballot.granted_by))
                for request_id, ballot in request.ballots.items()
            ),
        )


def _time_until(when: float | None, now: float) -> float | None:
    """Return the time left until `when`, or None if `when` is None or has passed."""
    return None if when is None or when <= now else round(when - now, 3)
