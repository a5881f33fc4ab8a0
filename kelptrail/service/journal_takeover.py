"""Joins books with copies to the gateway that acts on what is in them."""

from __future__ import annotations

from kelptrail.clock import now_ms
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.membership.members import ID_PREFIX_DIGITS, id_prefix
from kelptrail.replication.driver import PrimaryHandle, ReplicationDriver
from kelptrail.store.activation_journal import ActivationEntries


def take_over_journal(
    copies: ReplicationDriver | None, gateway: Gateway, driver: GatewayDriver, at_once: int, least_ms: float
) -> None:
    """New deferred calls go to this process's book, what is taken over to the gateway; `at_once`, `least_ms`: as after
    a restart.  None: there is nowhere to keep copies, and nothing is promised."""
    if copies is None:
        gateway.promising = lambda: None
        return

    def taken(held: PrimaryHandle, lives: list[ActivationEntries]) -> None:
        gateway.recover(now_ms(), copies.wall_ms(), lives, least_ms, at_once, held)
        driver.schedule_decisions()

    def acts(held: PrimaryHandle) -> None:
        gateway.is_primary(held)
        driver.schedule_decisions()

    def lost(held: PrimaryHandle) -> int:
        count = gateway.release(held)
        driver.schedule_decisions()
        return count

    gateway.promising, driver.replication = copies.journal_for_new_requests, copies.flush
    copies.on_recovered, copies.on_resumed, copies.on_released, copies.has_activation = taken, acts, lost, gateway.has
    copies.on_progress = driver.schedule_decisions
    copies.has_in_flight = lambda held: any(not record.final for record in gateway.records.of(held))
    copies.is_issued_by = lambda name, id_: id_prefix(name) == id_[:ID_PREFIX_DIGITS]
