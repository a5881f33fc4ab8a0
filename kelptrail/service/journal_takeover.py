"""Connects the replicated journals of a process to its gateway, which runs their activations."""

from __future__ import annotations

from kelptrail.clock import now_ms
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.membership.members import ID_PREFIX_DIGITS, id_prefix
from kelptrail.replication.driver import ReplicationDriver
from kelptrail.replication.primary_handle import PrimaryHandle
from kelptrail.store.activation_journal import ActivationEntries


def take_over_journal(
    replication: ReplicationDriver | None,
    gateway: Gateway,
    driver: GatewayDriver,
    max_resumed: int,
    min_run_ms: float,
) -> None:
    """Connect replication and the gateway.

    The gateway then records new deferred calls in the replicated journal, and receives the activations of journals
    that this dispatcher takes over.  `max_resumed` and `min_run_ms` are passed to `Gateway.recover`.  Without
    replication, no deferred call is accepted.
    """
    if replication is None:
        gateway.durability.replicated_journal = lambda: None
        return

    def on_recovered(handle: PrimaryHandle, activations: list[ActivationEntries]) -> None:
        """End or resume the activations of a journal that was taken over."""
        gateway.recover(now_ms(), replication.wall_ms(), activations, min_run_ms, max_resumed, handle)
        driver.schedule_decisions()

    def on_resumed(handle: PrimaryHandle) -> None:
        """Continue a journal of which this dispatcher is the primary again."""
        gateway.on_became_primary(handle)
        driver.schedule_decisions()

    def on_released(handle: PrimaryHandle) -> int:
        """Release a journal that another dispatcher took over, and return its number of activations."""
        count = gateway.release(handle)
        driver.schedule_decisions()
        return count

    gateway.durability.replicated_journal = replication.journal_for_new_requests
    driver.start_replication = replication.flush
    hooks = replication.hooks
    hooks.on_recovered, hooks.on_resumed, hooks.on_released = on_recovered, on_resumed, on_released
    hooks.on_progress = driver.schedule_decisions
    hooks.has_activation = gateway.has_record
    hooks.has_in_flight = lambda handle: any(not record.final for record in gateway.records.kept_by(handle))
    hooks.is_issued_by = lambda name, id_: id_prefix(name) == id_[:ID_PREFIX_DIGITS]
