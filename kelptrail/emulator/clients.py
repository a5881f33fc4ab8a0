"""Client emulator: open-loop load on the invoke and inference APIs, with polling, timeouts and retries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import numpy as np

from kelptrail.clock import now_ms
from kelptrail.load.arrivals import Arrivals, popularity
from kelptrail.load.client_behavior import behavior_of
from kelptrail.load.plan import Load
from kelptrail.settings.deployment import ActionSettings, Deployment, NamespaceSettings

from .capture import Capture
from .client_calls import CallTracker, ClientCall
from .inference_client import InferenceClient, timeout_ms_of
from .invoke_client import InvokeClient

RANDOM_STREAM = 7  # separates these random numbers from others of the same seed
OPEN_CALLS_CHECK_S = 0.05


class ClientEmulator:
    """Emulates all clients of one cluster, or one process's share of them."""

    def __init__(
        self,
        deployment: Deployment,
        addresses: list[str],
        capture: Capture,
        seed: int,
        shared_address: bool = False,
        inference_addresses: list[str] | None = None,
        part: tuple[int, int] = (0, 1),
    ) -> None:
        """`addresses` are those of the invoke API.

        `shared_address` is True if dispatchers share the addresses, so that clients cannot choose the one that answers.
        `part` is (index, count) if several client processes share the load.
        """
        self._part, self._id_prefix = part, f"{part[0]}-" if part[1] > 1 else ""
        self._deployment, self._dispatcher_count, self._shared_address = deployment, len(addresses), shared_address
        seeds = [seed, RANDOM_STREAM, *part] if part[1] > 1 else [seed, RANDOM_STREAM]
        self._random = np.random.default_rng(seeds)
        self._tracker = CallTracker(capture, self._random, self._attempt)
        self._invoke_client = InvokeClient(deployment, addresses, self._tracker, self._random)
        self._inference_client = (
            InferenceClient(deployment, inference_addresses, addresses, self._tracker, self._invoke_client)
            if inference_addresses
            else None
        )
        self._ticket_count = self._attempt_count = 0

    @property
    def open_requests(self) -> int:
        """Number of requests that were sent and have not ended."""
        inference_requests = self._inference_client.open_requests if self._inference_client is not None else 0
        return self._invoke_client.open_requests + inference_requests

    @property
    def polling(self) -> int:
        """Number of deferred calls without a final answer."""
        return self._invoke_client.polling

    def arrivals(self, load: Load, end: float) -> list[tuple[float, ActionSettings]]:
        """Return the time and the action of each arrival of a load until `end`, in order of time; times in seconds."""
        actions = list(self._deployment.actions.values())
        by_path = {a.path: a for a in actions}
        arrivals = Arrivals(load, self._random, self._part).draw(load.at, max(0.0, end - load.at))
        action_indices = self._random.choice(len(actions), len(arrivals), p=popularity(list(by_path), load))
        return [
            (time, by_path.get(path) or actions[int(index)])
            for (time, path), index in zip(arrivals, action_indices, strict=True)
        ]

    def start_call(self, action: ActionSettings, load: Load) -> None:
        """Send the first attempt of a new call of a load."""
        self._ticket_count += 1
        random = self._random
        call = ClientCall(
            f"t{self._id_prefix}{self._ticket_count}",
            action,
            self._deployment.types[action.type],
            self._deployment.namespaces.get(load.namespace) or self._draw_namespace(),
            bool(random.random() < load.deferred),
            behavior_of(float(random.random()), load.retry_after_share, load.half_retry_after_share),
            1 + load.retries,
        )
        if load.grpc:
            call.grpc = bool(random.random() < load.grpc)
            call.streamed = call.grpc and bool(random.random() < load.streams)
            call.deferred = call.deferred and not call.streamed
        self._attempt(call, None)

    def _draw_namespace(self) -> NamespaceSettings:
        """Draw a namespace, with the quotas as weights."""
        namespaces = list(self._deployment.namespaces.values())
        quotas = np.array([namespace.quota_per_s for namespace in namespaces])
        return namespaces[int(self._random.choice(len(namespaces), p=quotas / quotas.sum()))]

    def _attempt(self, call: ClientCall, last_dispatcher: int | None) -> None:
        """Start an attempt at a random dispatcher, or at the one after `last_dispatcher` if it is given."""
        call.attempts_left -= 1
        self._attempt_count += 1
        if last_dispatcher is None:
            call.dispatcher = int(self._random.integers(self._dispatcher_count))
        else:
            call.dispatcher = (last_dispatcher + 1) % self._dispatcher_count
        call.attempt_id = f"c{self._id_prefix}{self._attempt_count}"
        call.attempt_started, call.activation = now_ms(), ""
        if call.grpc and self._inference_client is not None:
            self._tracker.on_attempt(call, timeout_ms_of(call), self._shared_address, grpc=True, streamed=call.streamed)
            self._inference_client.send(call)
        else:
            self._tracker.on_attempt(call, call.type.timeout_ms, self._shared_address)
            self._invoke_client.send(call)

    def plan(self, loads: list[Load], seconds: float) -> list[tuple[float, Callable[[], None]]]:
        """Return the start time in seconds of each call, and a function that starts the call, in order of time.

        A load with a closed loop has none: only the load generator and the simulation support closed loops.
        """
        planned: list[tuple[float, Callable[[], None]]] = []
        for load in loads:
            end = min(seconds, load.at + load.duration)
            planned += [(when, partial(self.start_call, action, load)) for when, action in self.arrivals(load, end)]
        planned.sort(key=lambda pair: pair[0])
        return planned

    async def wait_until_answered(self, until: float) -> None:
        """Wait until no request and no deferred call is open, at most until `until` (in ms of the monotonic clock)."""
        while (self.open_requests or self.polling) and now_ms() < until:
            await asyncio.sleep(OPEN_CALLS_CHECK_S)

    async def run(self, planned: list[tuple[float, Callable[[], None]]], start: float) -> None:
        """Start the planned calls at their times, in seconds after `start` (in ms of the monotonic clock)."""
        for when, start_call in planned:
            wait_s = start / 1000 + when - now_ms() / 1000
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            start_call()

    def close(self) -> None:
        """Close all connections."""
        self._tracker.close()
        self._invoke_client.close()
        if self._inference_client is not None:
            self._inference_client.close()
