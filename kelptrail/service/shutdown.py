"""Graceful shutdown of a dispatcher: drain what was accepted, then stop its parts in a fixed order."""

from __future__ import annotations

import asyncio

from kelptrail.clock import now_ms
from kelptrail.replication.messages import LEASE_PREFIX as JOURNAL_LEASES

from .dispatcher import Dispatcher

POLL_S = 0.05  # between checks for deferred results that no client has fetched
MIN_STORE_MS = 500.0  # stores and the HTTP front may take so long even when the drain time is over
MIN_GRPC_MS, MAX_GRPC_MS = 100.0, 1000.0


class _Deadline:
    """The end of the drain time."""

    def __init__(self, drain_ms: float) -> None:
        self._end = now_ms() + drain_ms

    def remaining_ms(self, at_least: float = float("-inf")) -> float:
        """What is left of the drain time, or `at_least`."""
        return max(at_least, self._end - now_ms())

    @property
    def passed(self) -> bool:
        """Whether the drain time is over."""
        return now_ms() >= self._end


async def shut_down(dispatcher: Dispatcher) -> bool:
    """Drain and stop.  True if every accepted request got its final answer and every connection closed in time."""
    gateway, fronts = dispatcher.gateway, dispatcher.fronts
    dispatcher.log.info("draining", in_flight=gateway.in_flight, connections=fronts.http.connections)
    fronts.invoke.context.draining = fronts.inference.context.draining = True
    fronts.grpc.start_draining()
    deadline = _Deadline(dispatcher.deployment.front.drain_ms)
    await _release_duties(dispatcher)
    answered = await dispatcher.driver.drain(deadline.remaining_ms())
    await _wait_for_fetches(dispatcher, deadline)
    answered = await _close_stores(dispatcher, deadline) and answered
    closed = await _close_fronts(dispatcher, deadline)
    await _stop_parts(dispatcher)
    _log_end(dispatcher, answered and closed)
    return answered and closed


async def _release_duties(dispatcher: Dispatcher) -> None:
    """Hand over what other dispatchers can do at once: fleet-wide tasks and front addresses."""
    if dispatcher.lease_trial is not None:
        dispatcher.lease_trial.stop()
    if dispatcher.usage is not None:
        dispatcher.usage.stop()
    if dispatcher.fleet is not None and dispatcher.fleet.leases is not None:
        dispatcher.fleet.leases.release_except(JOURNAL_LEASES)  # those are held until their activations have ended
    if dispatcher.front_addresses is not None:
        await dispatcher.front_addresses.stop()


async def _wait_for_fetches(dispatcher: Dispatcher, deadline: _Deadline) -> None:
    """Clients that were given an id may still fetch the result, at this dispatcher's own address."""
    records, drain_ms = dispatcher.gateway.records, dispatcher.deployment.front.drain_ms
    while records.unfetched_since(now_ms() - drain_ms) and not deadline.passed:
        await asyncio.sleep(POLL_S)


async def _close_stores(dispatcher: Dispatcher, deadline: _Deadline) -> bool:
    """Close the replicated and the local journal and release the leases; True if both were completely written."""
    written, fleet = True, dispatcher.fleet
    if fleet is not None and fleet.replication is not None:
        written = await fleet.replication.stop(deadline.remaining_ms(MIN_STORE_MS)) and written
    if fleet is not None and fleet.leases is not None:
        await fleet.leases.stop()
    if dispatcher.driver.journal is not None:
        written = await dispatcher.driver.journal.close(deadline.remaining_ms(MIN_STORE_MS)) and written
    return written


async def _close_fronts(dispatcher: Dispatcher, deadline: _Deadline) -> bool:
    """Close client connections; True if all closed in time.  The HTTP front is drained only if the gRPC one was."""
    grpc_ms = max(MIN_GRPC_MS, min(MAX_GRPC_MS, deadline.remaining_ms()))
    if not await dispatcher.fronts.grpc.drain(grpc_ms):
        return False
    linger_ms = dispatcher.deployment.front.linger_ms
    return await dispatcher.fronts.http.drain(deadline.remaining_ms(MIN_STORE_MS), linger_ms)


async def _stop_parts(dispatcher: Dispatcher) -> None:
    """End what no client sees."""
    dispatcher.background.stop()
    if dispatcher.plan_follower is not None:
        await dispatcher.plan_follower.stop()
    if dispatcher.planner is not None:
        await dispatcher.planner.stop()
    if dispatcher.fleet is not None:
        await dispatcher.fleet.peers.stop()
    if dispatcher.faulty_clock is not None:
        dispatcher.faulty_clock.stop()
    if dispatcher.control is not None:
        dispatcher.control.stop_listening()
        dispatcher.control.abort_all()
    if dispatcher.endpoint_task is not None:
        dispatcher.endpoint_task.cancel()


def _log_end(dispatcher: Dispatcher, clean: bool) -> None:
    counts = dispatcher.gateway.counts
    dispatcher.log.info(
        "shutdown-finished",
        clean=clean,
        received=counts.received,
        completed=counts.completed,
        rejected=counts.rejected,
        failed=counts.failed,
        attempts=counts.attempts,
        load_orders=counts.load_orders,
    )
