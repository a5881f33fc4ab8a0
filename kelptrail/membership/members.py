"""Applies endpoint lists to the worker entities that dispatch decisions use.  Performs no I/O.

A list contains the address, state, incarnation (new at each start of its process) and age of every worker.  A worker
that is missing from a list is removed.  A list with a lower version in the same lineage is ignored.
"""

from __future__ import annotations

from collections.abc import Iterator
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from kelptrail.dispatch.entities import Worker, WorkerState

ID_PREFIX_DIGITS = 6  # number of leading hex digits of an activation id that derive from its dispatcher's name
STATE_BY_NAME = {"live": WorkerState.LIVE, "draining": WorkerState.DRAINING, "gone": WorkerState.REMOVED}


class Endpoint(msgspec.Struct, frozen=True):
    """One worker of an endpoint list.  `age_ms` is the time since the start of its process."""

    id: str
    address: str
    state: str = "live"
    incarnation: str = ""
    age_ms: float = 1e12  # the default means a start long ago, so that slow start is over
    zone: str = msgspec.field(default="", name="hall")  # `hall` in the encoded list
    cell: int = 0
    kind: int = 0  # copied to `Worker.kind`; dispatch decisions do not use it
    size: float = 1.0  # capacity relative to that of a worker of size 1


class Peer(msgspec.Struct, frozen=True):
    """A dispatcher that follows the endpoint list.

    `address` is where it serves its activations, and `channel` the address of its peer listener.
    """

    name: str
    address: str
    channel: str = ""
    zone: str = msgspec.field(default="", name="hall")  # `hall` in the encoded list


class EndpointList(msgspec.Struct, frozen=True):
    """A complete endpoint list.  `lineage` identifies the run of its source; versions increase within a lineage."""

    version: int
    workers: list[Endpoint]
    lineage: str = ""
    dispatchers: list[Peer] = []


def id_prefix(name: str) -> str:
    """Return the first hex digits of every activation id that a dispatcher of this name issues, in any run."""
    return blake2b(name.encode(), digest_size=ID_PREFIX_DIGITS // 2).hexdigest()


class WorkerChanges(NamedTuple):
    """Result of applying a list: all workers, and those of them that have restarted.

    `workers` includes workers that the list has removed.
    """

    workers: list[Worker]
    restarted: list[Worker]


class WorkerRegistry:
    """All known workers: live and draining ones, and removed ones until `delete_removed` deletes them.

    `zones` contains the number of each zone by name, which becomes `Worker.zone`; the number of an unknown zone is 0.
    """

    def __init__(self, zones: dict[str, int]) -> None:
        self._zones = zones
        self._workers: dict[str, Worker] = {}
        self._incarnations: dict[str, str] = {}
        self.addresses: dict[Worker, str] = {}
        self.dispatchers_by_prefix: dict[str, Peer] = {}  # keyed by the prefix of the ids that each dispatcher issues
        self.version, self.lineage = -1, ""

    def __len__(self) -> int:
        return len(self._workers)

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def apply(self, now: float, endpoints: EndpointList) -> WorkerChanges:
        """Apply a list and return the resulting workers.  A lower version in the same lineage changes nothing."""
        if endpoints.lineage == self.lineage and endpoints.version < self.version:
            return WorkerChanges(list(self._workers.values()), [])
        self.version, self.lineage = endpoints.version, endpoints.lineage
        self.dispatchers_by_prefix = {id_prefix(peer.name): peer for peer in endpoints.dispatchers}
        listed_ids, restarted = set(), []
        for endpoint in endpoints.workers:
            listed_ids.add(endpoint.id)
            worker = self._workers.get(endpoint.id)
            known_incarnation = self._incarnations.get(endpoint.id)
            if worker is None:
                if STATE_BY_NAME.get(endpoint.state, WorkerState.LIVE) is WorkerState.REMOVED:
                    continue
                worker = self._workers[endpoint.id] = Worker(endpoint.id)
            elif endpoint.incarnation != known_incarnation:
                restarted.append(worker)
            if endpoint.incarnation != known_incarnation:
                worker.started_at = now - endpoint.age_ms
                self._incarnations[endpoint.id] = endpoint.incarnation
            worker.zone, worker.cell, worker.kind = self._zones.get(endpoint.zone, 0), endpoint.cell, endpoint.kind
            worker.size, worker.state = endpoint.size, STATE_BY_NAME.get(endpoint.state, WorkerState.LIVE)
            self.addresses[worker] = endpoint.address
        for id_, worker in self._workers.items():
            if id_ not in listed_ids:
                worker.state = WorkerState.REMOVED
        return WorkerChanges(list(self._workers.values()), restarted)

    def issuer_of(self, id_: str) -> Peer | None:
        """Return the listed dispatcher that issued an activation id, or None if none matches."""
        return self.dispatchers_by_prefix.get(id_[:ID_PREFIX_DIGITS])

    def delete_removed(self) -> None:
        """Delete removed workers that have no attempts in flight."""
        for id_ in [id_ for id_, w in self._workers.items() if w.removed and not w.attempts]:
            self.addresses.pop(self._workers.pop(id_), None)
            self._incarnations.pop(id_, None)
