"""Workers, dispatchers and the store of other shards, as a shard sees them, and the effect log that all share."""

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
    """A worker of another shard: its state as faults change it, and the connection to it."""

    def __init__(
        self,
        shard: Shard,
        shard_of_worker: int,
        identity: WorkerIdentity,
        event_queue: EventQueue,
        settings: SimulationSettings,
        cold_ms: float,
    ) -> None:
        self.id, self._zone, self._cell = identity
        self._cold_ms = cold_ms
        self._shard, self._home_shard, self._event_queue, self._settings = shard, shard_of_worker, event_queue, settings
        self.up, self.state, self.draining, self._starts = True, "live", False, 0
        self.start_process(True)

    def start_process(self, warm: bool) -> None:
        """Start the process anew, as the worker's own shard does."""
        self._starts += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._starts}"
        self.started = self._event_queue.now - (self._cold_ms + 1 if warm else 0.0)

    @property
    def endpoint(self) -> Endpoint:
        """The worker as the endpoint list shows it."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._event_queue.now - self.started, self._zone, self._cell
        )

    def close_connections(self) -> None:
        """Nothing to do: the worker's own shard reports the lost connections."""

    def inject(self, kind: str, fault: Fault) -> None:
        """The fault has its effects in the worker's own shard; here only a restart matters."""
        if kind == FaultKind.RESTART_COLD:
            self.start_process(False)

    def request(self, kind: MessageKind, on_reply: Callable[..., None], *arguments: Any) -> None:
        """Send the worker a request; `on_reply` gets the reply one network delay after it was given."""
        self._shard.request(
            self._event_queue.now + self._settings.network_ms, self._home_shard, kind, on_reply, self.id, *arguments
        )


class RemoteDispatcher:
    """A dispatcher of another shard; only whether it is up is known here."""

    def __init__(self, number: int) -> None:
        self.number, self.name, self.up = number, f"dispatcher-{number}", True
        self.sync_ms, self.disk_fails = 0.0, False

    def kill(self) -> None:
        """Mark the dispatcher as down."""
        self.up = False

    def start_process(self) -> None:
        """Mark the dispatcher as up."""
        self.up = True

    def on_endpoints(self, endpoints: EndpointList) -> None:
        """Nothing to do: its own shard delivers the list."""


class RemoteStore:
    """The model store, as the shards without it reach it."""

    def __init__(self, shard: Shard, event_queue: EventQueue, settings: SimulationSettings) -> None:
        self._shard, self._event_queue, self._settings = shard, event_queue, settings
        self.fetches = 0

    def fetch(self, ms: float, on_done: Callable[[bool], None]) -> None:
        """Fetch through the first shard."""
        when = self._event_queue.now + self._settings.network_ms
        self._shard.request(when, 0, MessageKind.FETCH, on_done, ms)

    def inject(self, kind: str, factor: float, duration_ms: float) -> None:
        """Nothing to do: the fault has its effects in the first shard."""


class SharedEffectLog(dict[tuple[str, str], float]):
    """The log of effects against repeats; entries of this shard are sent to all others."""

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
        """Enter an effect of another shard, without sending it on."""
        super().__setitem__(key, when)
