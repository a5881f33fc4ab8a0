"""Graceful shutdown of a dispatcher: drain the accepted requests, then stop the components in a fixed order."""

from __future__ import annotations

import asyncio

from kelptrail.clock import now_ms
from kelptrail.replication.messages import LEASE_PREFIX as JOURNAL_LEASE_PREFIX

from .dispatcher import Dispatcher

POLL_S = 0.05  # interval between checks for deferred results that no client has fetched yet
MIN_CLOSE_MS = 500.0  # minimum time to close each store and to drain the HTTP front, even if the drain time is over
MIN_GRPC_MS, MAX_GRPC_MS = 100.0, 1000.0  # range of the time to drain the gRPC front


class _Deadline:
    """The deadline of the drain."""

    def __init__(self, drain_ms: float) -> None:
        self._end = now_ms() + drain_ms

    def remaining_ms(self, at_least: float = float("-inf")) -> float:
        """Return the remaining drain time in ms, negative once it is over, or `at_least` if that is longer."""
        return max(at_least, self._end - now_ms())

    @property
    def passed(self) -> bool:
        """Whether the drain time is over."""
        return now_ms() >= self._end


async def shut_down(dispatcher: Dispatcher) -> bool:
    """Drain and stop; return whether the shutdown was clean.

    A shutdown is clean if in time all accepted requests got a final answer, the journals were completely written and
    all connections closed.
    """
    gateway, fronts = dispatcher.gateway, dispatcher.fronts
    dispatcher.log.info("draining", in_flight=gateway.in_flight, connections=fronts.http.connections)
    fronts.invoke.context.draining = fronts.inference.context.draining = True
    fronts.grpc.start_draining()
    deadline = _Deadline(dispatcher.deployment.front.drain_ms)
    await _release_tasks_and_addresses(dispatcher)
    answered = await dispatcher.driver.drain(deadline.remaining_ms())
    await _wait_for_fetches(dispatcher, deadline)
    answered = await _close_stores(dispatcher, deadline) and answered
    closed = await _close_fronts(dispatcher, deadline)
    await _stop_parts(dispatcher)
    _log_end(dispatcher, answered and closed)
    return answered and closed


async def _release_tasks_and_addresses(dispatcher: Dispatcher) -> None:
    """Release the fleet-wide tasks and front addresses to other dispatchers, and drain the servers of the addresses."""
    if dispatcher.lease_trial is not None:
        dispatcher.lease_trial.stop()
    if dispatcher.usage is not None:
        dispatcher.usage.stop()
    if dispatcher.fleet is not None and dispatcher.fleet.leases is not None:
        dispatcher.fleet.leases.release_except(JOURNAL_LEASE_PREFIX)  # journal leases are held until `_close_stores`
    if dispatcher.front_addresses is not None:
        await dispatcher.front_addresses.stop()


async def _wait_for_fetches(dispatcher: Dispatcher, deadline: _Deadline) -> None:
    """Wait until clients have fetched the deferred results of the last `drain_ms`, or the drain time is over.

    The front addresses are already released, so clients fetch results at this dispatcher's own address.
    """
    records, drain_ms = dispatcher.gateway.records, dispatcher.deployment.front.drain_ms
    while records.unfetched_since(now_ms() - drain_ms) and not deadline.passed:
        await asyncio.sleep(POLL_S)


async def _close_stores(dispatcher: Dispatcher, deadline: _Deadline) -> bool:
    """Close the replicated journals, then release the leases, then close the local journal.

    Return whether all journals were completely written.
    """
    written, fleet = True, dispatcher.fleet
    if fleet is not None and fleet.replication is not None:
        written = await fleet.replication.stop(deadline.remaining_ms(MIN_CLOSE_MS)) and written
    if fleet is not None and fleet.leases is not None:
        await fleet.leases.stop()
    if dispatcher.driver.journal is not None:
        written = await dispatcher.driver.journal.close(deadline.remaining_ms(MIN_CLOSE_MS)) and written
    return written


async def _close_fronts(dispatcher: Dispatcher, deadline: _Deadline) -> bool:
    """Close client connections; return whether all closed in time.

    The HTTP front is drained only if the gRPC front was drained in time.
    """
    grpc_ms = max(MIN_GRPC_MS, min(MAX_GRPC_MS, deadline.remaining_ms()))
    if not await dispatcher.fronts.grpc.drain(grpc_ms):
        return False
    linger_ms = dispatcher.deployment.front.linger_ms
    return await dispatcher.fronts.http.drain(deadline.remaining_ms(MIN_CLOSE_MS), linger_ms)


async def _stop_parts(dispatcher: Dispatcher) -> None:
    """Stop the components that are not visible to clients."""
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
