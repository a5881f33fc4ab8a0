"""Usage of the fleet: the dispatcher that holds the lease collects all dispatchers' counts and sends them the totals.

The lease ensures that there is one collector: each turn costs a message to every dispatcher, and two collectors would
publish two different totals.  Counts are sums since the start of a run, so a turn that is lost or collected twice does
no harm; rates are the differences between two turns.  A receiver rejects messages with an older fencing token, and
totals of a turn that is not newer.  Losing this state at a restart is harmless, as the next turn sends the totals
again.
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
# By namespace: calls completed, rejected and aborted; counts since the start of a run, and rates per second.
NamespaceCounts = dict[str, tuple[int, int, int]]
NamespaceRates = dict[str, tuple[float, float, float]]


class UsageRequest(msgspec.Struct, frozen=True, tag="collect", array_like=True):
    """Request of the collector for a dispatcher's counts."""

    token: FencingToken
    turn: int


class UsageCounts(msgspec.Struct, frozen=True, tag="used", array_like=True):
    """A dispatcher's counts since the start of its run."""

    turn: int
    run: str
    counts: NamespaceCounts


class UsageTotal(msgspec.Struct, frozen=True, tag="total", array_like=True):
    """Calls per second over the fleet.

    `dispatchers`: number of dispatchers that answered both this turn and an earlier one; only these are included.
    """

    token: FencingToken
    turn: int
    dispatchers: int
    rates: NamespaceRates


class _Answer(NamedTuple):
    requested_at: float
    run: str
    counts: NamespaceCounts


class UsageCollector:
    """The lease holder's side of the protocol, without I/O or clocks."""

    def __init__(self, token: FencingToken) -> None:
        self.token, self.turn = token, 0
        self._turn_started_at = 0.0
        self._earlier_answers: dict[str, _Answer] = {}  # last answer before this turn, by dispatcher
        self._turn_answers: dict[str, _Answer] = {}  # answer to this turn, by dispatcher

    def start_turn(self, now: float) -> UsageRequest:
        """Start a turn and return the request to send to all dispatchers."""
        self.turn += 1
        self._earlier_answers, self._turn_answers, self._turn_started_at = (
            self._earlier_answers | self._turn_answers,
            {},
            now,
        )
        return UsageRequest(self.token, self.turn)

    def on_counts(self, name: str, answer: UsageCounts) -> None:
        """Record a dispatcher's counts; an answer to an earlier turn is dropped."""
        if answer.turn == self.turn:
            self._turn_answers[name] = _Answer(self._turn_started_at, answer.run, answer.counts)

    def total(self) -> UsageTotal:
        """Return the rates of the dispatchers that answered both this turn and an earlier one."""
        rates: dict[str, list[float]] = {}
        dispatchers = 0
        for name, answer in self._turn_answers.items():
            previous = self._earlier_answers.get(name)
            if previous is None or answer.requested_at <= previous.requested_at:
                continue
            dispatchers += 1
            # A new run counts from 0; calls of the earlier run since its last answer are missing in the rates.
            old_counts = previous.counts if previous.run == answer.run else {}
            elapsed_ms = answer.requested_at - previous.requested_at
            for namespace, counts in answer.counts.items():
                sums = rates.setdefault(namespace, [0.0, 0.0, 0.0])
                for position, count in enumerate(counts):
                    sums[position] += (count - old_counts.get(namespace, (0, 0, 0))[position]) * 1000 / elapsed_ms
        return UsageTotal(self.token, self.turn, dispatchers, {n: (r[0], r[1], r[2]) for n, r in sorted(rates.items())})


class UsageView:
    """The newest total and the newest fencing token that a dispatcher has received, without I/O or clocks."""

    def __init__(self) -> None:
        self.token, self.total = NO_TOKEN, UsageTotal(NO_TOKEN, 0, 0, {})
        self.refused = 0

    def accepts(self, token: FencingToken) -> bool:
        """Record the token of a message and return True; count a message with an older token and return False."""
        if token < self.token:
            self.refused += 1
            return False
        self.token = token
        return True

    def on_total(self, total: UsageTotal) -> bool:
        """Record a received total; return False if its token is older or it is not newer than the recorded total."""
        if not self.accepts(total.token) or (total.token, total.turn) <= (self.total.token, self.total.turn):
            return False
        self.total = total
        return True


class UsageSettings(NamedTuple):
    """Interval between two turns and length of the collector's lease, both in ms."""

    interval_ms: float
    lease_length_ms: float


class UsageDriver:
    """Usage collection in one dispatcher.

    `counts` returns the dispatcher's own counts, `names` the names of the known dispatchers.
    """

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
        """Stop collecting; the lease is not released here."""
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
        """Send the total of the last turn and start the next one, if this dispatcher still holds the lease."""
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
        """Return the response of the control port to `/usage` and its section in `/state`; rates are per second."""
        total = self.view.total
        return {
            "collected_by": total.token.client_id.partition("/")[0],
            "token": str(total.token),
            "turn": total.turn,
            "dispatchers": total.dispatchers,
            "refused": self.view.refused,
            "namespaces": {
                namespace: {"completed": round(r[0], 2), "rejected": round(r[1], 2), "aborted": round(r[2], 2)}
                for namespace, r in total.rates.items()
            },
        }
