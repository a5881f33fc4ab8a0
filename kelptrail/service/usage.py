"""Usage over the whole fleet: one dispatcher collects under a lease what all of them count, and sends all the totals.

It needs a lease, as usage is summed once for the fleet, each turn costs a message to every dispatcher, and two
collectors would publish two different totals.  Counts are sums since a run's start, so a turn that is lost or collected
twice changes nothing; rates are the differences between two turns.  A receiver accepts nothing under an older fencing
token or of an older turn; forgetting that at a restart is harmless, as the next turn sends the totals again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from kelptrail.clock import now_ms
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import NO_TOKEN, FencingToken
from kelptrail.peers.driver import Peers

LEASE_NAME, CHANNEL = "usage", "usage"
NamespaceCounts = dict[str, tuple[int, int, int]]  # by namespace: completed, rejected, aborted
NamespaceRates = dict[str, tuple[float, float, float]]  # the same a second


class UsageRequest(msgspec.Struct, frozen=True, tag="collect", array_like=True):
    """The collector asks for a dispatcher's counts."""

    token: FencingToken
    turn: int


class UsageCounts(msgspec.Struct, frozen=True, tag="used", array_like=True):
    """A dispatcher's counts since the start of its run."""

    turn: int
    run: str
    counts: NamespaceCounts


class UsageTotal(msgspec.Struct, frozen=True, tag="total", array_like=True):
    """Calls a second over the fleet, from `dispatchers` that answered both this turn and the one before."""

    token: FencingToken
    turn: int
    dispatchers: int
    rates: NamespaceRates


class _Answer(NamedTuple):
    requested_ms: float
    run: str
    counts: NamespaceCounts


class UsageCollector:
    """The lease holder's side; free of I/O and clocks."""

    def __init__(self, token: FencingToken) -> None:
        self.token, self.turn = token, 0
        self._turn_started = 0.0
        self._previous_turn: dict[str, _Answer] = {}  # by dispatcher
        self._this_turn: dict[str, _Answer] = {}

    def start_turn(self, now: float) -> UsageRequest:
        """Start a turn; returns the request to send to all."""
        self.turn += 1
        self._previous_turn, self._this_turn, self._turn_started = self._previous_turn | self._this_turn, {}, now
        return UsageRequest(self.token, self.turn)

    def on_counts(self, name: str, used: UsageCounts) -> None:
        """A dispatcher's counts; an answer to an earlier turn is dropped."""
        if used.turn == self.turn:
            self._this_turn[name] = _Answer(self._turn_started, used.run, used.counts)

    def total(self) -> UsageTotal:
        """The rates of this turn, from the dispatchers that answered it and the one before."""
        rates: dict[str, list[float]] = {}
        known = 0
        for name, answer in self._this_turn.items():
            before = self._previous_turn.get(name)
            if before is None or answer.requested_ms <= before.requested_ms:
                continue
            known += 1
            # A new run counts from 0: what the earlier run did since the last turn is lost.
            old = before.counts if before.run == answer.run else {}
            elapsed_ms = answer.requested_ms - before.requested_ms
            for namespace, counts in answer.counts.items():
                sums = rates.setdefault(namespace, [0.0, 0.0, 0.0])
                for position, count in enumerate(counts):
                    sums[position] += (count - old.get(namespace, (0, 0, 0))[position]) * 1000 / elapsed_ms
        return UsageTotal(self.token, self.turn, known, {s: (r[0], r[1], r[2]) for s, r in sorted(rates.items())})


class UsageView:
    """Every dispatcher's side: the newest total, and which requests are answered; free of I/O and clocks."""

    def __init__(self) -> None:
        self.token, self.total = NO_TOKEN, UsageTotal(NO_TOKEN, 0, 0, {})
        self.refused = 0

    def accepts(self, token: FencingToken) -> bool:
        """Whether a message under this token is accepted; one under an older token is not."""
        if token < self.token:
            self.refused += 1
            return False
        self.token = token
        return True

    def on_total(self, total: UsageTotal) -> bool:
        """A total has come; False where it is older than the newest."""
        if not self.accepts(total.token) or (total.token, total.turn) <= (self.total.token, self.total.turn):
            return False
        self.total = total
        return True


class UsageSettings(NamedTuple):
    """How often usage is collected, and for how long the lease on collecting it is granted; milliseconds."""

    interval_ms: float
    lease_length_ms: float


class UsageDriver:
    """One dispatcher's part.  `counts` returns what it has counted, `names` the dispatchers that it knows."""

    def __init__(
        self,
        leases: LeaseDriver,
        peers: Peers,
        run: str,
        settings: UsageSettings,
        counts: Callable[[], NamespaceCounts],
        names: Callable[[], set[str]],
        log: Any,
    ) -> None:
        self._leases, self._peers, self._run_id, self._settings = leases, peers, run, settings
        self._counts, self._names, self._log = counts, names, log
        self._loop = asyncio.get_running_loop()
        self.view = UsageView()
        self._collector: UsageCollector | None = None
        self._timer: asyncio.TimerHandle | None = None
        peers.register(CHANNEL, self._on_message, UsageRequest, UsageCounts, UsageTotal)

    def start(self) -> None:
        """Request the lease."""
        self._leases.acquire(LEASE_NAME, self._settings.lease_length_ms, self._on_lease_acquired, self._on_lease_lost)

    def stop(self) -> None:
        """Stop collecting."""
        self._on_lease_lost(NO_TOKEN, "")

    def _on_lease_acquired(self, token: FencingToken) -> None:
        self._collector = UsageCollector(token)
        self._next_turn()

    def _on_lease_lost(self, _token: FencingToken, _reason: str) -> None:
        self._collector = None
        if self._timer is not None:
            self._timer.cancel()
        self._leases.keep_connected(set(), CHANNEL)

    def _next_turn(self) -> None:
        """Send the last turn's total and start the next; the lease is checked right before."""
        collector = self._collector
        if collector is None or self._leases.held_token(LEASE_NAME) != collector.token:
            return
        names = self._names() - {self._leases.name}
        self._leases.keep_connected(names, CHANNEL)
        if collector.turn:
            total = collector.total()
            for name in names:
                self._peers.send(name, total)
            self.view.on_total(total)
        request = collector.start_turn(now_ms())
        for name in names:
            self._peers.send(name, request)
        if self.view.accepts(collector.token):
            collector.on_counts(self._leases.name, UsageCounts(collector.turn, self._run_id, self._counts()))
        self._timer = self._loop.call_later(self._settings.interval_ms / 1000, self._next_turn)

    def _on_message(self, sender: str, message: UsageRequest | UsageCounts | UsageTotal) -> None:
        if isinstance(message, UsageTotal):
            self.view.on_total(message)
        elif isinstance(message, UsageCounts):
            if self._collector is not None:
                self._collector.on_counts(sender, message)
        elif self.view.accepts(message.token):
            self._peers.send(sender, UsageCounts(message.turn, self._run_id, self._counts()))

    def status(self) -> dict[str, Any]:
        """The `/usage` answer of the control port; rates are calls a second."""
        total = self.view.total
        return {
            "collected_by": total.token.client_id.partition("/")[0],
            "token": str(total.token),
            "turn": total.turn,
            "dispatchers": total.dispatchers,
            "refused": self.view.refused,
            "namespaces": {
                space: {"completed": round(r[0], 2), "rejected": round(r[1], 2), "aborted": round(r[2], 2)}
                for space, r in total.rates.items()
            },
        }
