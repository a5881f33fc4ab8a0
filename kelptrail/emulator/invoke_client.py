"""Client of the invoke API: calls over HTTP, and polling for the final answers of deferred calls."""

from __future__ import annotations

import asyncio

import msgspec
import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.http import Response
from kelptrail.load.invoke_api import authorization_of, encode_call, encode_poll
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.settings.deployment import Deployment

from .client_calls import CallTracker, ClientCall, answer_of_response

POLL_EVERY_MS = 150.0  # time between two polls of a deferred call
POLL_FOR_MS = 3000.0  # a polling client gives up this long after the call's timeout
FAILOVER_POLL_FOR_MS = 20_000.0  # the same with replicas: another dispatcher may have to take over a failed one
POLL_TIMEOUT_S = 2.0  # for a single poll
ANSWER_MARGIN_MS = 500  # time that a client waits beyond the call's timeout
CONNECTIONS, CONNECT_TIMEOUT_MS, IDLE_MS, MAX_ANSWER_BYTES = 2000, 500.0, 10_000.0, 1 << 22


def _address_in(response: Response) -> str:
    """Return the address in the `location` header of a response."""
    return response.headers["location"].removeprefix("http://").partition("/")[0]


class InvokeClient:
    """Sends calls to dispatchers, and polls for the answers of deferred calls."""

    def __init__(
        self, deployment: Deployment, addresses: list[str], tracker: CallTracker, random: np.random.Generator
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._addresses, self._tracker, self._random = addresses, tracker, random
        self._has_replicas = deployment.peers is not None and bool(deployment.peers.replicas)
        self._authorization = {n.name: authorization_of(n) for n in deployment.namespaces.values()}
        self._pools = [_open_pool(address) for address in addresses]
        self._poll_pools: dict[str, WorkerPool] = {}  # pools for polls, by address
        self.open_requests = 0
        self.polling = 0  # number of deferred calls without a final answer

    def send(self, call: ClientCall) -> None:
        """Send an attempt to the dispatcher chosen for it."""
        self._send(call, self._pools[call.dispatcher], self._addresses[call.dispatcher])

    def _send(self, call: ClientCall, pool: WorkerPool, address: str) -> None:
        headers = {"authorization": self._authorization[call.namespace.name]}
        if call.type.effect == "deduplicated":
            headers["idempotency-key"] = call.ticket
        data = encode_call(address, call.action.path, call.ticket, call.deferred, headers)
        self.open_requests += 1
        request = pool.start(data, self._on_response, call)
        self._loop.call_later((call.type.timeout_ms + ANSWER_MARGIN_MS) / 1000, request.cancel, "patience")

    def _on_response(self, request: Call, outcome: CallOutcome, response: Response | None) -> None:
        call: ClientCall = request.tag
        self.open_requests -= 1
        if outcome in (CallOutcome.UNREACHABLE, CallOutcome.UNSENT):
            self._tracker.on_not_taken(call, 0.0)
        elif response is None:
            self._tracker.on_lost(call, outcome.value)
        elif response.status == 503:
            self._tracker.on_not_taken(call, float(response.headers.get("retry-after-ms", "0")))
        elif response.status == 307:  # another dispatcher has the call with this idempotency key
            call.poll_address = _address_in(response)
            self._send(call, self._poll_pool(call.poll_address), call.poll_address)
        elif response.status == 202:
            activation = msgspec.json.decode(response.body)["activationId"]
            self.poll_from(call, activation, _address_in(response))
        else:
            body = msgspec.json.decode(response.body)
            self._tracker.on_final(call, answer_of_response(call, response.status, body))

    def poll_from(self, call: ClientCall, activation: str, address: str) -> None:
        """Start polling an address for the final answer of a deferred call that was accepted there."""
        call.activation, call.poll_address = activation, address
        self._tracker.on_accepted(call)
        self.polling += 1
        self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, call)

    def _poll_pool(self, address: str) -> WorkerPool:
        if address not in self._poll_pools:
            self._poll_pools[address] = _open_pool(address)
        return self._poll_pools[address]

    def _poll(self, call: ClientCall) -> None:
        poll_for_ms = FAILOVER_POLL_FOR_MS if self._has_replicas else POLL_FOR_MS
        if now_ms() - call.attempt_started > call.type.timeout_ms + poll_for_ms:
            self._tracker.on_poll_timeout(call)
            self.polling -= 1
            return
        data = encode_poll(call.poll_address, call.activation, self._authorization[call.namespace.name])
        self.open_requests += 1
        poll = self._poll_pool(call.poll_address).start(data, self._on_poll_response, call)
        self._loop.call_later(POLL_TIMEOUT_S, poll.cancel, "patience")

    def _on_poll_response(self, poll: Call, _outcome: CallOutcome, response: Response | None) -> None:
        self.open_requests -= 1
        call: ClientCall = poll.tag
        if response is not None and response.status == 200:
            self.polling -= 1
            self._tracker.on_final(call, answer_of_response(call, 200, msgspec.json.decode(response.body)))
            return
        if response is None:  # the dispatcher does not answer: another one may have taken the call over
            call.poll_address = self._addresses[int(self._random.integers(len(self._addresses)))]
        elif response.status == 307:
            call.poll_address = _address_in(response)
        elif response.status == 404 and "No dispatcher knows" in response.body.decode(errors="replace"):
            self._tracker.on_unknown(call)
        self._loop.call_later(POLL_EVERY_MS / 1000, self._poll, call)

    def close(self) -> None:
        """Close all connections."""
        for pool in [*self._pools, *self._poll_pools.values()]:
            pool.close()


def _open_pool(address: str) -> WorkerPool:
    return WorkerPool(address, CONNECTIONS, CONNECT_TIMEOUT_MS, IDLE_MS, MAX_ANSWER_BYTES)
