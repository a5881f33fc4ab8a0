"""Decides which connection is served next: start-time fair queueing (Goyal, Vin and Cheng, 1996); without I/O.

Each connection has a virtual time up to which its past service extends.  The one that starts earliest in virtual time
is served next.  A connection that asks for little is therefore served before those that always have more to do,
however many of these there are, and those share what is left equally.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic, Protocol, TypeVar


class Flow(Protocol):
    """Something that is served in turns."""

    virtual_finish: float  # virtual time at which its latest service ends; initially 0


FlowT = TypeVar("FlowT", bound=Flow)


class FairQueue(Generic[FlowT]):
    """The flows that wait for service.  A flow must not be added while it waits."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, FlowT]] = []
        self._virtual_time = 0.0  # start of the service of the flow that was taken last
        self._insertions = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, flow: FlowT) -> None:
        """Let a flow wait for service."""
        self._insertions += 1
        heappush(self._heap, (max(self._virtual_time, flow.virtual_finish), self._insertions, flow))

    def take(self) -> FlowT:
        """Remove and return the flow to serve next; `charge` must follow."""
        start, _, flow = heappop(self._heap)
        self._virtual_time = flow.virtual_finish = start
        return flow

    @staticmethod
    def charge(flow: FlowT, cost: float) -> None:
        """Record the cost of the service of a flow that was taken."""
        flow.virtual_finish += cost
