"""One process of the load tool: its share of the clients, on sockets against the real program.

Latencies are taken from the moment at which a call was due, not from when it could be sent (coordinated omission: a
stall of the program, or of the tool, must not hide the calls that came due in it).  A closed loop's are corrected by
its think time, as HdrHistogram does.
"""

from __future__ import annotations

import asyncio
import base64
import gc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from kelptrail.clock import now_ms
from kelptrail.codec.http import Response, encode_request
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.settings.deployment import ActionSettings, Deployment, NamespaceSettings

from .arrivals import Arrivals, popularity
from .client_behavior import ClientBehavior, Heard, again, behavior_of
from .plan import Load, Script
from .results import Second

POLL_MS, PATIENCE_MS, POLL_FOR_MS = 150.0, 500.0, 3000.0
LONGEST_US, DIGITS = 3_600_000_000, 3
Answers = Callable[[Call, CallOutcome, Response | None], None]


@dataclass(frozen=True, slots=True)
class GeneratorSettings:
    """What differs from one process to the next.  `churn`: the share of calls that close their connection."""

    addresses: tuple[str, ...]
    number: int
    of: int
    seed: int
    churn: float = 0.0
    connections: int = 2000
    connect_ms: float = 2000.0


@dataclass(slots=True)
class Tally:
    """What one process saw.  `late`: how far behind its own plan the tool sent, in microseconds."""

    seconds: list[Second]
    took: dict[str, HdrHistogram]
    late: HdrHistogram
    give_ups: dict[str, int] = field(default_factory=dict)
    made: int = 0  # connections


@dataclass(slots=True, eq=False)
class _Wish:
    ticket: str
    action: ActionSettings
    space: NamespaceSettings
    load: Load
    deferred: bool
    habits: ClientBehavior
    tries: int
    due: float  # of this try
    first: float
    dispatcher: int = 0
    activation: str = ""
    after: Callable[[], None] | None = None


def histogram() -> HdrHistogram:
    """Microseconds up to an hour, to three digits."""
    return HdrHistogram(1, LONGEST_US, DIGITS)


class LoadGenerator:
    """Plays its share of a script's load from `start` (ms of the clock)."""

    def __init__(self, day: Script, deployment: Deployment, settings: GeneratorSettings, start: float) -> None:
        self._day, self._deployment, self._settings, self._start = day, deployment, settings, start
        self._chance = np.random.default_rng([settings.seed, 29, settings.number])
        self._loop = asyncio.get_running_loop()
        self._pools = [
            WorkerPool(a, settings.connections, settings.connect_ms, 10_000.0, 1 << 22) for a in settings.addresses
        ]
        self._auth = {
            n.name: "Basic " + base64.b64encode(f"{n.uuid}:{n.key}".encode()).decode()
            for n in deployment.namespaces.values()
        }
        self.tally = Tally(
            [Second() for _ in range(int(day.seconds) + 60)],
            {name: histogram() for name in deployment.types},
            histogram(),
        )
        spaces = list(deployment.namespaces.values())
        shares = np.array([s.allowed_per_s for s in spaces])
        self._spaces, self._shares = spaces, np.cumsum(shares / shares.sum())
        self._tickets = self._out = 0

    async def play(self) -> Tally:
        """All of it, and then until the last client has its answer."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1_000_000)
        await asyncio.gather(*(self._flow(load) for load in self._day.load))
        longest = max(t.timeout_ms for t in self._deployment.types.values())
        end = now_ms() + longest + POLL_FOR_MS
        while self._out and now_ms() < end:
            await asyncio.sleep(0.05)
        self.tally.made = sum(pool.connections_made for pool in self._pools)
        for pool in self._pools:
            pool.close()
        return self.tally

    # Arrivals.

    async def _flow(self, load: Load) -> None:
        end = min(self._day.seconds, load.at + load.last)
        actions = list(self._deployment.actions.values())
        by_path = {a.path: a for a in actions}
        odds = np.cumsum(popularity(list(by_path), load))

        def pick() -> ActionSettings:
            return actions[int(np.searchsorted(odds, self._chance.random()))]

        if load.shape == "closed":
            await self._closed(load, end, pick)
            return
        drawn = Arrivals(load, self._chance, (self._settings.number, self._settings.of))
        at = load.at
        while at < end:
            span = min(0.25, end - at)
            for when, named in drawn.draw(at, span):
                due = self._start + when * 1000
                if (wait := due - now_ms()) > 0.3:
                    await asyncio.sleep(wait / 1000)
                self._wish(by_path.get(named) or pick(), load, due)
            at += span

    async def _closed(self, load: Load, end: float, pick: Callable[[], ActionSettings]) -> None:
        mine = len(range(self._settings.number, load.clients, self._settings.of))
        stop = self._start + end * 1000

        def think() -> None:
            self._loop.call_later(float(self._chance.exponential(load.think)), come)

        def come() -> None:
            if now_ms() < stop:
                self._wish(pick(), load, now_ms(), think)

        await asyncio.sleep(max(0.0, self._start / 1000 + load.at - now_ms() / 1000))
        for _ in range(mine):
            think()
        await asyncio.sleep(max(0.0, (stop - now_ms()) / 1000))

    def _wish(self, action: ActionSettings, load: Load, due: float, after: Callable[[], None] | None = None) -> None:
        self._tickets += 1
        chance, settings = self._chance, self._settings
        space = (
            self._deployment.namespaces.get(load.namespace)
            or (self._spaces[int(np.searchsorted(self._shares, chance.random()))])
        )
        wish = _Wish(
            f"l{settings.seed}-{settings.number}-{self._tickets}",
            action,
            space,
            load,
            bool(chance.random() < load.deferred),
            behavior_of(float(chance.random()), load.heed, load.half_heed),
            1 + load.retries,
            due,
            due,
            int(chance.integers(len(self._pools))),
            after=after,
        )
        self._try(wish)

    # Tries.

    def _second(self) -> Second:
        seconds = self.tally.seconds
        return seconds[max(0, min(len(seconds) - 1, int((now_ms() - self._start) / 1000)))]

    def _try(self, wish: _Wish) -> None:
        kind, now = self._deployment.types[wish.action.type], now_ms()
        wish.tries -= 1
        second = self._second()
        second.calls += 1
        second.repeats += wish.due > wish.first
        self.tally.late.record_value(max(1, int((now - wish.due) * 1000)))
        headers = {"authorization": self._auth[wish.space.name]}
        if kind.effect == "deduplicated":
            headers["idempotency-key"] = wish.ticket
        if self._settings.churn and self._chance.random() < self._settings.churn:
            headers["connection"] = "close"
        target = f"/api/v1/namespaces/_/actions/{wish.action.path}?blocking={str(not wish.deferred).lower()}"
        self._ask(
            "POST",
            target,
            msgspec.json.encode({"ticket": wish.ticket}),
            headers,
            wish,
            self._answered,
            kind.timeout_ms + PATIENCE_MS,
        )

    def _ask(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str],
        wish: _Wish,
        done: Answers,
        patience: float,
    ) -> None:
        self._out += 1
        data = encode_request(method, target, self._settings.addresses[wish.dispatcher], body, headers)
        call = self._pools[wish.dispatcher].start(data, done, wish)
        call.tag = (wish, self._loop.call_later(patience / 1000, call.cancel, "patience"))

    def _answered(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        wish, timer = call.tag
        timer.cancel()
        self._out -= 1
        if ending in (CallOutcome.UNREACHABLE, CallOutcome.UNSENT) or (response is not None and response.status == 503):
            told = response.headers.get("retry-after-ms", "0") if response is not None else "0"
            self._over(wish, Heard.NOT_TAKEN, "not-taken", float(told))
        elif response is None:
            self._over(wish, Heard.LOST, ending.value)
        elif response.status == 202:
            wish.activation = msgspec.json.decode(response.body)["activationId"]
            self._out += 1
            self._loop.call_later(POLL_MS / 1000, self._poll, wish)
        else:
            self._final(wish, response, None)

    def _poll(self, wish: _Wish) -> None:
        self._out -= 1
        kind = self._deployment.types[wish.action.type]
        if now_ms() - wish.due > kind.timeout_ms + POLL_FOR_MS:
            self._over(wish, Heard.LOST, "polled")
            return
        self._ask(
            "GET",
            f"/api/v1/namespaces/_/activations/{wish.activation}",
            b"",
            {"authorization": self._auth[wish.space.name]},
            wish,
            self._polled,
            2000.0,
        )

    def _polled(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        wish, timer = call.tag
        timer.cancel()
        self._out -= 1
        if response is not None and response.status == 200:
            self._final(wish, response, msgspec.json.decode(response.body).get("duration"))
        else:
            self._out += 1
            self._loop.call_later(POLL_MS / 1000, self._poll, wish)

    def _final(self, wish: _Wish, response: Response, duration: float | None) -> None:
        body = msgspec.json.decode(response.body)
        notes = {n["key"]: n["value"] for n in body.get("annotations", [])} if isinstance(body, dict) else {}
        told = notes.get("kelptrail", body)
        answer = told.get("answer", f"status-{response.status}")
        if answer == "completed":
            kind, second = self._deployment.types[wish.action.type], self._second()
            took = now_ms() - wish.due if duration is None else float(duration)
            second.completed += 1
            second.in_time += took <= kind.target_ms
            record = self.tally.took[wish.action.type]
            if wish.load.shape == "closed":
                record.record_corrected_value(max(1, int(took * 1000)), max(1, int(wish.load.think * 1e6)))
            else:
                record.record_value(max(1, int(took * 1000)))
            self._over(wish, Heard.COMPLETED, "")
        elif answer in ("rejected", "aborted"):
            self._over(
                wish, Heard(answer), answer, float(told.get("retry_after_ms", 0.0)), told.get("repeat_within_ms")
            )
        else:
            self._over(wish, Heard.COMPLETED, answer)  # an error of the client's own, such as 401: no repeat mends it

    def _over(
        self, wish: _Wish, heard: Heard, cause: str, told_ms: float = 0.0, within_ms: float | None = None
    ) -> None:
        """A try has ended: count it, and let the client do as it does."""
        kind, second = self._deployment.types[wish.action.type], self._second()
        if cause:
            self.tally.give_ups[cause] = self.tally.give_ups.get(cause, 0) + 1
        name = {
            Heard.REJECTED: "rejected",
            Heard.ABORTED: "aborted",
            Heard.LOST: "lost",
            Heard.NOT_TAKEN: "not_taken",
        }.get(heard)
        if name is not None:
            setattr(second, name, getattr(second, name) + 1)
        wait = again(wish.habits, heard, kind.effect, kind.timeout_ms, told_ms, within_ms, now_ms() - wish.due)
        if wait is not None and (wish.tries > 0 or (heard is Heard.NOT_TAKEN and wish.tries > -20)):
            wait *= float(self._chance.uniform(*wish.habits.spread))
            wish.due = now_ms() + wait
            wish.dispatcher = (wish.dispatcher + 1) % len(self._pools)
            wish.activation = ""
            self._out += 1
            self._loop.call_later(wait / 1000, self._come_again, wish)
        elif wish.after is not None:
            wish.after()

    def _come_again(self, wish: _Wish) -> None:
        self._out -= 1
        self._try(wish)


def packed(tally: Tally) -> dict[str, Any]:
    """A tally as it goes from process to process."""
    return {
        "seconds": [msgspec.to_builtins(s) for s in tally.seconds],
        "give_ups": tally.give_ups,
        "made": tally.made,
        "took": {name: h.encode().decode() for name, h in tally.took.items()},
        "late": tally.late.encode().decode(),
    }
