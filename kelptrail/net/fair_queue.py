"""Decides which connection is served next: start-time fair queueing (Goyal, Vin and Cheng, 1996); without I/O.

Each connection has a virtual time up to which its past service extends.  The backlog holds the connections that have
more to do right after a service, or whose past service extends beyond the queue's virtual time.  They are served in
the order of their own virtual times, so that those with much to do share the service equally.  All others, among them
every new connection, are arrivals: they are served in the order in which they came.

Connections may be new without end, as clients can connect again for each burst, and the virtual time stands still
while only arrivals are served.  Therefore arrivals and backlog each have a share of the service while connections wait
in both: neither can keep the other waiting.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from typing import Generic, Protocol, TypeVar

# Shares of the service.  Arrivals have the larger one because each of them waits for all that came before it.
ARRIVALS_WEIGHT, BACKLOG_WEIGHT = 3.0, 1.0
MIN_COMPACTED_ENTRIES = 64  # with fewer entries, those of removed flows are not worth a search


class Flow(Protocol):
    """Something that is served in turns."""

    virtual_finish: float  # virtual time at which its latest service ends; initially 0


FlowT = TypeVar("FlowT", bound=Flow)


@dataclass(slots=True)
class _Group:
    """Arrivals or backlog: flows that together have a share of the service."""

    weight: float
    waiting: int = 0  # number of its flows that wait
    # Cost of its services, divided by the weight.  What it missed while none of its flows waited counts as received.
    service: float = 0.0


@dataclass(slots=True)  # not frozen: that makes the creation of one for each turn several times slower
class _Place:
    """Where a flow waits."""

    group: _Group
    insertion: int  # number of the insertion; entries of the flow with other numbers are stale
    start: float  # virtual time at which its service starts


class FairQueue(Generic[FlowT]):
    """The flows that wait for service.  A flow must not be added while it waits."""

    def __init__(self) -> None:
        self._virtual_time = 0.0  # start of the latest service in the backlog
        self._insertions = 0
        self._arrivals, self._backlog = _Group(ARRIVALS_WEIGHT), _Group(BACKLOG_WEIGHT)
        self._latest_group = self._arrivals  # of the flow that was taken last
        self._latest: FlowT | None = None
        self._places: dict[FlowT, _Place] = {}
        # The order of each group, with the numbers of the insertions.  Stale entries remain for a while.
        self._arrivals_order: deque[tuple[int, FlowT]] = deque()
        self._backlog_order: list[tuple[float, int, FlowT]] = []  # a heap by the start of the service

    def __len__(self) -> int:
        return len(self._places)

    def add(self, flow: FlowT) -> None:
        """Let a flow wait for service; one that is added right after its own service continues."""
        self._insertions += 1
        is_ahead = flow.virtual_finish > self._virtual_time
        start = flow.virtual_finish if is_ahead else self._virtual_time
        if is_ahead or flow is self._latest:
            group, other = self._backlog, self._arrivals
            heappush(self._backlog_order, (start, self._insertions, flow))
        else:
            group, other = self._arrivals, self._backlog
            self._arrivals_order.append((self._insertions, flow))
        if not group.waiting and group.service < other.service:
            group.service = other.service
        group.waiting += 1
        self._places[flow] = _Place(group, self._insertions, start)

    def take(self) -> FlowT:
        """Remove and return the flow to serve next; `charge` must follow."""
        group = self._latest_group = self._next_group()
        flow = self._latest = self._take_arrival() if group is self._arrivals else self._take_from_backlog()
        group.waiting -= 1
        flow.virtual_finish = self._places.pop(flow).start
        return flow

    def charge(self, flow: FlowT, cost: float) -> None:
        """Record the cost of the service of the flow that was taken last."""
        flow.virtual_finish += cost
        self._latest_group.service += cost / self._latest_group.weight

    def remove(self, flow: FlowT) -> None:
        """Remove a flow that needs no service any more; without effect if it does not wait."""
        place = self._places.pop(flow, None)
        if place is None:
            return
        place.group.waiting -= 1
        entries = len(self._arrivals_order) + len(self._backlog_order)
        if entries >= max(MIN_COMPACTED_ENTRIES, 2 * len(self)):
            self._compact()

    def _next_group(self) -> _Group:
        """Return the group to serve: of those with waiting flows, the one that received less of its share."""
        if not self._backlog.waiting:
            return self._arrivals
        if not self._arrivals.waiting or self._backlog.service < self._arrivals.service:
            return self._backlog
        return self._arrivals

    def _take_arrival(self) -> FlowT:
        while True:
            insertion, flow = self._arrivals_order.popleft()
            if self._waits(flow, insertion):
                return flow

    def _take_from_backlog(self) -> FlowT:
        while True:
            start, insertion, flow = heappop(self._backlog_order)
            if self._waits(flow, insertion):
                self._virtual_time = start
                return flow

    def _waits(self, flow: FlowT, insertion: int) -> bool:
        """Return whether the entry of a flow with this number is not stale."""
        place = self._places.get(flow)
        return place is not None and place.insertion == insertion

    def _compact(self) -> None:
        """Drop the stale entries."""
        self._arrivals_order = deque(entry for entry in self._arrivals_order if self._waits(entry[1], entry[0]))
        self._backlog_order = [entry for entry in self._backlog_order if self._waits(entry[2], entry[1])]
        heapify(self._backlog_order)
