"""State shared by the parts of the replication driver: settings, connections, leases, stores, hooks of the gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kelptrail.clock import now_ms, wall_ms
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import FencingToken
from kelptrail.peers.driver import Peers
from kelptrail.store.activation_journal import ActivationEntries

from .failover import FailoverMonitor
from .journal_stores import JournalStores
from .messages import LEASE_PREFIX, ReplicationSettings
from .primary_handle import PrimaryHandle
from .replica import Replica


def dispatcher_of(client_id: str) -> str:
    """Return the dispatcher's name from the id of a lease client, which consists of name and run."""
    return client_id.partition("/")[0]


@dataclass(slots=True)
class GatewayHooks:
    """Callbacks of the gateway; `service/journal_takeover.py` sets them.

    `on_recovered` gets activations of a journal that this dispatcher has acquired.  `on_resumed` is called once the
    gateway may act on the journal.  `on_released` is called when this dispatcher stops acting on a journal, and returns
    the number of calls that the gateway gives up.  `on_progress` is called when batches may have been committed.
    `has_activation` returns whether the gateway has a record for the target of a lookup, which is an activation id or
    an idempotency key.  `is_issued_by` returns whether the named dispatcher issued an activation id, and
    `has_in_flight` whether a journal has calls in flight.
    """

    on_recovered: Callable[[PrimaryHandle, list[ActivationEntries]], None] = lambda handle, activations: None
    on_resumed: Callable[[PrimaryHandle], None] = lambda handle: None
    on_released: Callable[[PrimaryHandle], int] = lambda handle: 0
    on_progress: Callable[[], None] = lambda: None
    has_activation: Callable[[str], bool] = lambda id_: False
    is_issued_by: Callable[[str, str], bool] = lambda name, id_: False
    has_in_flight: Callable[[PrimaryHandle], bool] = lambda handle: False


@dataclass(slots=True)
class ReplicationContext:
    """Settings, stores and state that `ReplicationDriver` shares with the objects that it creates.

    `flush` carries out everything that they have queued; see `ReplicationDriver.flush`.
    """

    name: str
    settings: ReplicationSettings
    lease_ms: float
    peers: Peers
    leases: LeaseDriver
    stores: JournalStores
    replica: Replica
    failover: FailoverMonitor
    flush: Callable[[], None]
    log: Any
    hooks: GatewayHooks = field(default_factory=GatewayHooks)
    wall_offset_ms: float = field(default_factory=lambda: wall_ms() - now_ms())

    def wall_ms(self) -> float:
        """Return the time of day at the start of this run plus the time since then, in ms.

        Later changes of the system's wall clock have no effect.  They would otherwise shorten or extend the recorded
        duration of a call.
        """
        return self.wall_offset_ms + now_ms()

    def is_own(self, journal_id: str) -> bool:
        """Return whether a run of this dispatcher created the journal."""
        return self.stores.is_own(journal_id)

    def lease_token(self, journal_id: str) -> FencingToken | None:
        """Return the token under which this process holds the journal's lease now, or None."""
        return self.leases.held_token(LEASE_PREFIX + journal_id)

    def reported_holder(self, journal_id: str) -> str:
        """Return name and run of the last reported holder of the journal's lease.

        Raises `KeyError` if none was reported.
        """
        return self.leases.client.known_holders[LEASE_PREFIX + journal_id].token.client_id
