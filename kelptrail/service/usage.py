"""Usage over the whole fleet: one dispatcher collects under a lease what all of them count, and tells all of them.

Why this task: compaction concerns one disk and nobody else, so it needs no lease; usage is wanted once for the fleet,
costs a message to each dispatcher a turn, and two collectors would tell two truths.  Counts are sums since a run's
start, so a turn that is lost or collected twice changes nothing; rates are the differences between two turns.  Whoever
is told takes nothing under an older token, or of an older turn; forgetting that at a restart does no harm, as the next
turn says all of it anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from kelptrail.clock import now_ms
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import NO_TOKEN, FencingToken
from kelptrail.peers.driver import Peers

TASK, SPEAKS = "usage", "usage"
Counts = dict[str, tuple[int, int, int]]  # by namespace: completed, rejected, aborted
Rates = dict[str, tuple[float, float, float]]  # the same a second


class UsageRequest(msgspec.Struct, frozen=True, tag="collect", array_like=True):
    """What have you counted?"""

    token: FencingToken
    turn: int


class UsageCounts(msgspec.Struct, frozen=True, tag="used", array_like=True):
    """So much since the start of this run."""

    turn: int
    run: str
    counts: Counts


class UsageTotal(msgspec.Struct, frozen=True, tag="total", array_like=True):
    """Calls a second over the fleet, from `dispatchers` that answered both this turn and the one before."""

    token: FencingToken
    turn: int
    dispatchers: int
    rates: Rates


class UsageCollector:
    """The holder's side; free of I/O and clocks."""

    def __init__(self, token: FencingToken) -> None:
        self.token, self.turn = token, 0
        self._asked = 0.0
        self._last: dict[str, tuple[float, str, Counts]] = {}  # by name: when asked, run, counts
        self._now: dict[str, tuple[float, str, Counts]] = {}

    def start_turn(self, now: float) -> UsageRequest:
        """A new turn."""
        self.turn += 1
        self._last, self._now, self._asked = self._last | self._now, {}, now
        return UsageRequest(self.token, self.turn)

    def on_counts(self, name: str, used: UsageCounts) -> None:
        """An answer; one to an earlier turn is dropped."""
        if used.turn == self.turn:
            self._now[name] = self._asked, used.run, used.counts

    def total(self) -> UsageTotal:
        """What the turn came to."""
        rates: dict[str, list[float]] = {}
        known = 0
        for name, (asked, run, counts) in self._now.items():
            before = self._last.get(name)
            if before is None or asked <= before[0]:
                continue
            known += 1
            # A new run counts from nothing: what the one before did since the last turn is not known any more.
            old = before[2] if before[1] == run else {}
            for space, three in counts.items():
                sums = rates.setdefault(space, [0.0, 0.0, 0.0])
                for n, count in enumerate(three):
                    sums[n] += (count - old.get(space, (0, 0, 0))[n]) * 1000 / (asked - before[0])
        return UsageTotal(self.token, self.turn, known, {s: (r[0], r[1], r[2]) for s, r in sorted(rates.items())})


class UsageView:
    """Every dispatcher's side: the newest total, and which questions are answered; free of I/O and clocks."""

    def __init__(self) -> None:
        self.token, self.total = NO_TOKEN, UsageTotal(NO_TOKEN, 0, 0, {})
        self.refused = 0

    def accepts(self, token: FencingToken) -> bool:
        """Whether an act under this token is taken; an older one is not."""
        if token < self.token:
            self.refused += 1
            return False
        self.token = token
        return True

    def on_total(self, total: UsageTotal) -> bool:
        """A total; an older one is refused."""
        if not self.accepts(total.token) or (total.token, total.turn) <= (self.total.token, self.total.turn):
            return False
        self.total = total
        return True


class UsageDriver:
    """One dispatcher's part.  `counts` tells what it has counted, `names` whom it knows."""

    def __init__(
        self,
        leases: LeaseDriver,
        peers: Peers,
        run: str,
        every_ms: float,
        length_ms: float,
        counts: Callable[[], Counts],
        names: Callable[[], set[str]],
        log: Any,
    ) -> None:
        self._leases, self._peers, self._run, self._every_ms = leases, peers, run, every_ms
        self._length_ms, self._counts, self._names, self._log = length_ms, counts, names, log
        self._loop = asyncio.get_running_loop()
        self.view = UsageView()
        self._collector: UsageCollector | None = None
        self._timer: asyncio.TimerHandle | None = None
        peers.register(SPEAKS, self._came, UsageRequest, UsageCounts, UsageTotal)

    def start(self) -> None:
        """Want the lease."""
        self._leases.acquire(TASK, self._length_ms, self._won, self._lost)

    def stop(self) -> None:
        """Collect no more."""
        self._lost(NO_TOKEN, "")

    def _won(self, token: FencingToken) -> None:
        self._collector = UsageCollector(token)
        self._turn()

    def _lost(self, _token: FencingToken, _reason: str) -> None:
        self._collector = None
        if self._timer is not None:
            self._timer.cancel()
        self._leases.keep_connected(set(), SPEAKS)

    def _turn(self) -> None:
        """Tell what the last turn came to, begin the next; the lease is looked at right before."""
        collector = self._collector
        if collector is None or self._leases.held_token(TASK) != collector.token:
            return
        names = self._names() - {self._leases.name}
        self._leases.keep_connected(names, SPEAKS)
        if collector.turn:
            total = collector.total()
            for name in names:
                self._peers.send(name, total)
            self.view.on_total(total)
        question = collector.start_turn(now_ms())
        for name in names:
            self._peers.send(name, question)
        if self.view.accepts(collector.token):
            collector.on_counts(self._leases.name, UsageCounts(collector.turn, self._run, self._counts()))
        self._timer = self._loop.call_later(self._every_ms / 1000, self._turn)

    def _came(self, sender: str, message: UsageRequest | UsageCounts | UsageTotal) -> None:
        if isinstance(message, UsageTotal):
            self.view.on_total(message)
        elif isinstance(message, UsageCounts):
            if self._collector is not None:
                self._collector.on_counts(sender, message)
        elif self.view.accepts(message.token):
            self._peers.send(sender, UsageCounts(message.turn, self._run, self._counts()))

    def status(self) -> dict[str, Any]:
        """What operators are shown; rates are calls a second."""
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
