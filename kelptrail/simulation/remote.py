"""Proxies for workers, dispatchers and the store of other shards, and the effect log that all shards share."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from kelptrail.fault_scenario.scenario import Fault, FaultKind
from kelptrail.membership.members import Endpoint

from .event_queue import EventQueue
from .settings import SimulationSettings
from .shard import MessageKind, Shard
from .worker_messages import WorkerIdentity

if TYPE_CHECKING:
    from kelptrail.membership.members import EndpointList


class RemoteWorker:
    """A worker of another shard: the state that faults change, and the connection to it."""

    def __init__(
        self,
        shard: Shard,
        home_shard: int,
        identity: WorkerIdentity,
        event_queue: EventQueue,
        settings: SimulationSettings,
        slow_start_ms: float,
    ) -> None:
        self.id, self._zone, self._cell = identity
        self._slow_start_ms = slow_start_ms
        self._shard, self._home_shard, self._event_queue, self._settings = shard, home_shard, event_queue, settings
        self.up, self.state, self.draining, self._start_number = True, "live", False, 0
        self.start_process(True)

    def start_process(self, warm: bool) -> None:
        """Start a new process, as the worker's own shard does; with `warm` its slow start is over."""
        self._start_number += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._start_number}"
        self.started = self._event_queue.now - (self._slow_start_ms + 1 if warm else 0.0)

    @property
    def endpoint(self) -> Endpoint:
        """Entry of the worker in the endpoint list."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._event_queue.now - self.started, self._zone, self._cell
        )

    def close_connections(self) -> None:
        """Do nothing: the worker's own shard reports the lost connections."""

    def inject(self, kind: str, fault: Fault) -> None:
        """Apply a restart; all other effects of faults take place in the worker's own shard."""
        if kind == FaultKind.RESTART_COLD:
            self.start_process(False)

    def request(self, kind: MessageKind, on_reply: Callable[..., None], *arguments: Any) -> None:
        """Send the worker a request; `on_reply` gets the reply one network delay after the worker sent it."""
        self._shard.request(
            self._event_queue.now + self._settings.network_ms, self._home_shard, kind, on_reply, self.id, *arguments
        )


class RemoteDispatcher:
    """A dispatcher of another shard; this shard only tracks whether it is up."""

    def __init__(self, number: int) -> None:
        self.number, self.name, self.up = number, f"dispatcher-{number}", True
        self.sync_ms, self.disk_fails = 0.0, False  # set by faults, without effect in this shard

    def kill(self) -> None:
        """Mark the dispatcher as down."""
        self.up = False

    def start_process(self) -> None:
        """Mark the dispatcher as up."""
        self.up = True

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """Do nothing: the dispatcher's own shard delivers the list."""


class RemoteStore:
    """Proxy for the model store, which is in the first shard."""

    def __init__(self, shard: Shard, event_queue: EventQueue, settings: SimulationSettings) -> None:
        self._shard, self._event_queue, self._settings = shard, event_queue, settings
        self.fetches = 0  # the first shard counts the fetches of all shards

    def fetch(self, fetch_ms: float, on_done: Callable[[bool], None]) -> None:
        """Start a fetch that takes `fetch_ms` at the full rate; `on_done` gets whether it succeeded."""
        arrives_at = self._event_queue.now + self._settings.network_ms
        self._shard.request(arrives_at, 0, MessageKind.FETCH, on_done, fetch_ms)

    def inject(self, kind: str, factor: float, duration_ms: float) -> None:
        """Do nothing: the fault takes effect in the first shard."""


class SharedEffectLog(dict[tuple[str, str], float]):
    """The log of effects for deduplication; sends this shard's entries to all others, unless their scope is a cell."""

    def __init__(self, shard: Shard, event_queue: EventQueue, settings: SimulationSettings) -> None:
        super().__init__()
        self._shard, self._event_queue, self._settings = shard, event_queue, settings

    def __setitem__(self, key: tuple[str, str], when: float) -> None:
        super().__setitem__(key, when)
        if key[0].startswith("cell-"):  # both workers of a cell are in one shard
            return
        arrives_at = self._event_queue.now + self._settings.network_ms
        for target in range(self._shard.shard_count):
            if target != self._shard.number:
                self._shard.post(arrives_at, target, MessageKind.EFFECT, key, when)

    def on_remote_effect(self, key: tuple[str, str], when: float) -> None:
        """Add an effect of another shard without sending it to other shards."""
        super().__setitem__(key, when)
