"""One process of the load generator: sends its share of a scenario's load to the dispatchers over the network."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

import numpy as np

from kelptrail.clock import now_ms
from kelptrail.settings.deployment import ActionSettings, Deployment

from .arrivals import Arrivals
from .choices import ActionChoice, NamespaceChoice
from .client_behavior import behavior_of
from .generator_clients import POLL_FOR_MS, GeneratedCall, GeneratorClients
from .generator_counters import GeneratorCounters, new_counters
from .generator_settings import GeneratorSettings
from .plan import Load, Script

RANDOM_STREAM = 29  # separates these random numbers from others of the same seed
DRAW_SPAN_S = 0.25  # length of the time span for which arrivals are drawn at once
MIN_SLEEP_MS = 0.3  # a call that is due sooner is started at once
OPEN_CALLS_CHECK_S = 0.05
GC_THRESHOLD = (50_000, 20, 1_000_000)  # rare garbage collections, as they delay calls that are due


class LoadGenerator:
    """Generates one process's share of a scenario's load, from `start` (in ms of the monotonic clock)."""

    def __init__(self, script: Script, deployment: Deployment, settings: GeneratorSettings, start: float) -> None:
        self._script, self._deployment, self._settings, self._start = script, deployment, settings, start
        self._random = np.random.default_rng([settings.seed, RANDOM_STREAM, settings.index])
        self._loop = asyncio.get_running_loop()
        self.counters = new_counters(start, script.seconds, deployment.types)
        self._clients = GeneratorClients(deployment, settings, self.counters, self._random)
        self._namespaces = NamespaceChoice(deployment.namespaces)
        self._ticket_count = 0

    async def run(self) -> GeneratorCounters:
        """Run all loads, wait until all calls have ended or timed out, and return the counters."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLD)
        await asyncio.gather(*(self._run_load(load) for load in self._script.load))
        longest_timeout_ms = max(type_.timeout_ms for type_ in self._deployment.types.values())
        end_ms = now_ms() + longest_timeout_ms + POLL_FOR_MS
        while self._clients.open_calls and now_ms() < end_ms:
            await asyncio.sleep(OPEN_CALLS_CHECK_S)
        self.counters.connections = self._clients.connections_made
        self._clients.close()
        return self.counters

    async def _run_load(self, load: Load) -> None:
        end_s = min(self._script.seconds, load.at + load.duration)
        if load.shape == "closed":
            await self._run_closed_loop(load, end_s)
        else:
            await self._run_open_loop(load, end_s)

    def _action_choice(self, load: Load) -> ActionChoice:
        return ActionChoice(list(self._deployment.actions.values()), load)

    async def _run_open_loop(self, load: Load, end_s: float) -> None:
        """Start each call when it is due, regardless of the state of earlier calls."""
        by_path = {action.path: action for action in self._deployment.actions.values()}
        choice = self._action_choice(load)
        arrivals = Arrivals(load, self._random, (self._settings.index, self._settings.process_count))
        span_start = load.at
        while span_start < end_s:
            span = min(DRAW_SPAN_S, end_s - span_start)
            for arrival_s, recorded_action in arrivals.draw(span_start, span):
                due = self._start + arrival_s * 1000
                wait_ms = due - now_ms()
                if wait_ms > MIN_SLEEP_MS:
                    await asyncio.sleep(wait_ms / 1000)
                self._start_call(by_path.get(recorded_action) or choice.draw_one(self._random), load, due)
            span_start += span

    async def _run_closed_loop(self, load: Load, end_s: float) -> None:
        """Run clients that each start the next call after a think time that follows the last answer."""
        choice = self._action_choice(load)
        client_count = len(range(self._settings.index, load.clients, self._settings.process_count))
        end_ms = self._start + end_s * 1000

        def think() -> None:
            """Schedule the next call after a think time."""
            self._loop.call_later(float(self._random.exponential(load.think)), call)

        def call() -> None:
            """Start a call, unless the load has ended."""
            if now_ms() < end_ms:
                self._start_call(choice.draw_one(self._random), load, now_ms(), think)

        await asyncio.sleep(max(0.0, self._start / 1000 + load.at - now_ms() / 1000))
        for _ in range(client_count):
            think()
        await asyncio.sleep(max(0.0, (end_ms - now_ms()) / 1000))

    def _start_call(
        self, action: ActionSettings, load: Load, due: float, on_finished: Callable[[], None] | None = None
    ) -> None:
        self._ticket_count += 1
        random, settings = self._random, self._settings
        call = GeneratedCall(
            # Ticket, the id of the call; "l" stands for the load generator.
            f"l{settings.seed}-{settings.index}-{self._ticket_count}",
            action,
            self._deployment.types[action.type],
            self._namespaces.draw(random, load),
            load,
            bool(random.random() < load.deferred),
            behavior_of(float(random.random()), load.retry_after_share, load.half_retry_after_share),
            1 + load.retries,
            due,
            due,
            int(random.integers(len(settings.addresses))),
            on_finished=on_finished,
        )
        self._clients.attempt(call)
