"""Joins books with copies to the gateway that acts on what is in them."""

from __future__ import annotations

from kelptrail.clock import now_ms
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.driver import Driver
from kelptrail.membership.members import PREFIX, id_prefix
from kelptrail.replication.driver import Copies, Held
from kelptrail.store.activation_journal import Life


def carry_on(copies: Copies | None, gateway: Gateway, driver: Driver, at_once: int, least_ms: float) -> None:
    """New deferred calls go to this process's book, what is taken over to the gateway; `at_once`, `least_ms`: as after
    a restart.  None: there is nowhere to keep copies, and nothing is promised."""
    if copies is None:
        gateway.promising = lambda: None
        return

    def taken(held: Held, lives: list[Life]) -> None:
        gateway.recover(now_ms(), copies.wall_ms(), lives, least_ms, at_once, held)
        driver.stir_soon()

    def acts(held: Held) -> None:
        gateway.acts(held)
        driver.stir_soon()

    def lost(held: Held) -> int:
        count = gateway.let_go(held)
        driver.stir_soon()
        return count

    gateway.promising, driver.copies = copies.promising, copies.carry
    copies.on_taken, copies.on_acts, copies.on_lost, copies.has = taken, acts, lost, gateway.has
    copies.progress = driver.stir_soon
    copies.busy = lambda held: any(not record.final for record in gateway.records.of(held))
    copies.born = lambda name, id_: id_prefix(name) == id_[:PREFIX]
