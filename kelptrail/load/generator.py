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
from .client_behavior import ClientBehavior, ClientOutcome, behavior_of, retry_delay_ms
from .plan import Load, Script
from .results import Second

POLL_EVERY_MS, ANSWER_SLACK_MS, POLL_FOR_MS = 150.0, 500.0, 3000.0
MAX_LATENCY_US, SIGNIFICANT_DIGITS = 3_600_000_000, 3
Answers = Callable[[Call, CallOutcome, Response | None], None]


@dataclass(frozen=True, slots=True)
class GeneratorSettings:
    """What differs from one process to the next.  `churn`: the share of calls that close their connection."""

    addresses: tuple[str, ...]
    index: int
    process_count: int
    seed: int
    close_share: float = 0.0
    connections: int = 2000
    connect_timeout_ms: float = 2000.0


@dataclass(slots=True)
class GeneratorCounters:
    """What one process saw.  `late`: how far behind its own plan the tool sent, in microseconds."""

    seconds: list[Second]
    latencies: dict[str, HdrHistogram]
    send_lag: HdrHistogram
    give_ups: dict[str, int] = field(default_factory=dict)
    connections: int = 0  # connections


@dataclass(slots=True, eq=False)
class _ClientCall:
    ticket: str
    action: ActionSettings
    namespace: NamespaceSettings
    load: Load
    deferred: bool
    behavior: ClientBehavior
    attempts_left: int
    due: float  # of this try
    first_due: float
    dispatcher: int = 0
    activation: str = ""
    on_finished: Callable[[], None] | None = None


def latency_histogram() -> HdrHistogram:
    """Microseconds up to an hour, to three digits."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class LoadGenerator:
    """Plays its share of a script's load from `start` (ms of the clock)."""

    def __init__(self, script: Script, deployment: Deployment, settings: GeneratorSettings, start: float) -> None:
        self._script, self._deployment, self._settings, self._start = script, deployment, settings, start
        self._random = np.random.default_rng([settings.seed, 29, settings.index])
        self._loop = asyncio.get_running_loop()
        self._pools = [
            WorkerPool(a, settings.connections, settings.connect_timeout_ms, 10_000.0, 1 << 22)
            for a in settings.addresses
        ]
        self._auth = {
            n.name: "Basic " + base64.b64encode(f"{n.uuid}:{n.key}".encode()).decode()
            for n in deployment.namespaces.values()
        }
        self.counters = GeneratorCounters(
            [Second() for _ in range(int(script.seconds) + 60)],
            {name: latency_histogram() for name in deployment.types},
            latency_histogram(),
        )
        spaces = list(deployment.namespaces.values())
        shares = np.array([s.allowed_per_s for s in spaces])
        self._namespaces, self._namespace_odds = spaces, np.cumsum(shares / shares.sum())
        self._tickets = self._open_requests = 0

    async def run(self) -> GeneratorCounters:
        """All of it, and then until the last client has its answer."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1_000_000)
        await asyncio.gather(*(self._open_loop(load) for load in self._script.load))
        longest = max(t.timeout_ms for t in self._deployment.types.values())
        end = now_ms() + longest + POLL_FOR_MS
        while self._open_requests and now_ms() < end:
            await asyncio.sleep(0.05)
        self.counters.connections = sum(pool.connections_made for pool in self._pools)
        for pool in self._pools:
            pool.close()
        return self.counters

    # Arrivals.

    async def _open_loop(self, load: Load) -> None:
        end = min(self._script.seconds, load.at + load.duration)
        actions = list(self._deployment.actions.values())
        by_path = {a.path: a for a in actions}
        odds = np.cumsum(popularity(list(by_path), load))

        def pick() -> ActionSettings:
            return actions[int(np.searchsorted(odds, self._random.random()))]

        if load.shape == "closed":
            await self._closed_loop(load, end, pick)
            return
        drawn = Arrivals(load, self._random, (self._settings.index, self._settings.process_count))
        at = load.at
        while at < end:
            span = min(0.25, end - at)
            for when, named in drawn.draw(at, span):
                due = self._start + when * 1000
                if (wait := due - now_ms()) > 0.3:
                    await asyncio.sleep(wait / 1000)
                self._start_call(by_path.get(named) or pick(), load, due)
            at += span

    async def _closed_loop(self, load: Load, end: float, pick: Callable[[], ActionSettings]) -> None:
        mine = len(range(self._settings.index, load.clients, self._settings.process_count))
        stop = self._start + end * 1000

        def think() -> None:
            self._loop.call_later(float(self._random.exponential(load.think)), come)

        def come() -> None:
            if now_ms() < stop:
                self._start_call(pick(), load, now_ms(), think)

        await asyncio.sleep(max(0.0, self._start / 1000 + load.at - now_ms() / 1000))
        for _ in range(mine):
            think()
        await asyncio.sleep(max(0.0, (stop - now_ms()) / 1000))

    def _start_call(
        self, action: ActionSettings, load: Load, due: float, on_finished: Callable[[], None] | None = None
    ) -> None:
        self._tickets += 1
        random, settings = self._random, self._settings
        namespace = (
            self._deployment.namespaces.get(load.namespace)
            or (self._namespaces[int(np.searchsorted(self._namespace_odds, random.random()))])
        )
        client_call = _ClientCall(
            f"l{settings.seed}-{settings.index}-{self._tickets}",
            action,
            namespace,
            load,
            bool(random.random() < load.deferred),
            behavior_of(float(random.random()), load.retry_after_share, load.half_retry_after_share),
            1 + load.retries,
            due,
            due,
            int(random.integers(len(self._pools))),
            on_finished=on_finished,
        )
        self._attempt(client_call)

    # Tries.

    def _current_second(self) -> Second:
        seconds = self.counters.seconds
        return seconds[max(0, min(len(seconds) - 1, int((now_ms() - self._start) / 1000)))]

    def _attempt(self, client_call: _ClientCall) -> None:
        request_class, now = self._deployment.types[client_call.action.type], now_ms()
        client_call.attempts_left -= 1
        second = self._current_second()
        second.calls += 1
        second.repeats += client_call.due > client_call.first_due
        self.counters.send_lag.record_value(max(1, int((now - client_call.due) * 1000)))
        headers = {"authorization": self._auth[client_call.namespace.name]}
        if request_class.effect == "deduplicated":
            headers["idempotency-key"] = client_call.ticket
        if self._settings.close_share and self._random.random() < self._settings.close_share:
            headers["connection"] = "close"
        target = (
            f"/api/v1/namespaces/_/actions/{client_call.action.path}?blocking={str(not client_call.deferred).lower()}"
        )
        self._request(
            "POST",
            target,
            msgspec.json.encode({"ticket": client_call.ticket}),
            headers,
            client_call,
            self._on_response,
            request_class.timeout_ms + ANSWER_SLACK_MS,
        )

    def _request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: dict[str, str],
        client_call: _ClientCall,
        done: Answers,
        patience: float,
    ) -> None:
        self._open_requests += 1
        data = encode_request(method, target, self._settings.addresses[client_call.dispatcher], body, headers)
        call = self._pools[client_call.dispatcher].start(data, done, client_call)
        call.tag = (client_call, self._loop.call_later(patience / 1000, call.cancel, "patience"))

    def _on_response(self, call: Call, outcome: CallOutcome, response: Response | None) -> None:
        client_call, timer = call.tag
        timer.cancel()
        self._open_requests -= 1
        if outcome in (CallOutcome.UNREACHABLE, CallOutcome.UNSENT) or (
            response is not None and response.status == 503
        ):
            answer_fields = response.headers.get("retry-after-ms", "0") if response is not None else "0"
            self._finish_attempt(client_call, ClientOutcome.NOT_TAKEN, "not-taken", float(answer_fields))
        elif response is None:
            self._finish_attempt(client_call, ClientOutcome.LOST, outcome.value)
        elif response.status == 202:
            client_call.activation = msgspec.json.decode(response.body)["activationId"]
            self._open_requests += 1
            self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, client_call)
        else:
            self._on_final_answer(client_call, response, None)

    def _poll(self, client_call: _ClientCall) -> None:
        self._open_requests -= 1
        request_class = self._deployment.types[client_call.action.type]
        if now_ms() - client_call.due > request_class.timeout_ms + POLL_FOR_MS:
            self._finish_attempt(client_call, ClientOutcome.LOST, "polled")
            return
        self._request(
            "GET",
            f"/api/v1/namespaces/_/activations/{client_call.activation}",
            b"",
            {"authorization": self._auth[client_call.namespace.name]},
            client_call,
            self._on_poll_response,
            2000.0,
        )

    def _on_poll_response(self, call: Call, outcome: CallOutcome, response: Response | None) -> None:
        client_call, timer = call.tag
        timer.cancel()
        self._open_requests -= 1
        if response is not None and response.status == 200:
            self._on_final_answer(client_call, response, msgspec.json.decode(response.body).get("duration"))
        else:
            self._open_requests += 1
            self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, client_call)

    def _on_final_answer(self, client_call: _ClientCall, response: Response, duration: float | None) -> None:
        body = msgspec.json.decode(response.body)
        notes = {n["key"]: n["value"] for n in body.get("annotations", [])} if isinstance(body, dict) else {}
        answer_fields = notes.get("kelptrail", body)
        answer = answer_fields.get("answer", f"status-{response.status}")
        if answer == "completed":
            request_class, second = self._deployment.types[client_call.action.type], self._current_second()
            latency_ms = now_ms() - client_call.due if duration is None else float(duration)
            second.completed += 1
            second.in_time += latency_ms <= request_class.target_ms
            record = self.counters.latencies[client_call.action.type]
            if client_call.load.shape == "closed":
                record.record_corrected_value(max(1, int(latency_ms * 1000)), max(1, int(client_call.load.think * 1e6)))
            else:
                record.record_value(max(1, int(latency_ms * 1000)))
            self._finish_attempt(client_call, ClientOutcome.COMPLETED, "")
        elif answer in ("rejected", "aborted"):
            self._finish_attempt(
                client_call,
                ClientOutcome(answer),
                answer,
                float(answer_fields.get("retry_after_ms", 0.0)),
                answer_fields.get("repeat_within_ms"),
            )
        else:
            self._finish_attempt(
                client_call, ClientOutcome.COMPLETED, answer
            )  # an error of the client's own, such as 401: no repeat mends it

    def _finish_attempt(
        self,
        client_call: _ClientCall,
        outcome: ClientOutcome,
        cause: str,
        retry_after_ms: float = 0.0,
        repeat_within_ms: float | None = None,
    ) -> None:
        """A try has ended: count it, and let the client do as it does."""
        request_class, second = self._deployment.types[client_call.action.type], self._current_second()
        if cause:
            self.counters.give_ups[cause] = self.counters.give_ups.get(cause, 0) + 1
        name = {
            ClientOutcome.REJECTED: "rejected",
            ClientOutcome.ABORTED: "aborted",
            ClientOutcome.LOST: "lost",
            ClientOutcome.NOT_TAKEN: "not_taken",
        }.get(outcome)
        if name is not None:
            setattr(second, name, getattr(second, name) + 1)
        wait = retry_delay_ms(
            client_call.behavior,
            outcome,
            request_class.effect,
            request_class.timeout_ms,
            retry_after_ms,
            repeat_within_ms,
            now_ms() - client_call.due,
        )
        if wait is not None and (
            client_call.attempts_left > 0 or (outcome is ClientOutcome.NOT_TAKEN and client_call.attempts_left > -20)
        ):
            wait *= float(self._random.uniform(*client_call.behavior.jitter))
            client_call.due = now_ms() + wait
            client_call.dispatcher = (client_call.dispatcher + 1) % len(self._pools)
            client_call.activation = ""
            self._open_requests += 1
            self._loop.call_later(wait / 1000, self._retry, client_call)
        elif client_call.on_finished is not None:
            client_call.on_finished()

    def _retry(self, client_call: _ClientCall) -> None:
        self._open_requests -= 1
        self._attempt(client_call)


def pack_counters(counters: GeneratorCounters) -> dict[str, Any]:
    """A tally as it goes from process to process."""
    return {
        "seconds": [msgspec.to_builtins(s) for s in counters.seconds],
        "give_ups": counters.give_ups,
        "made": counters.connections,
        "took": {name: h.encode().decode() for name, h in counters.latencies.items()},
        "late": counters.send_lag.encode().decode(),
    }
