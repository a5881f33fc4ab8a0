"""The history of one run: captured events by kind, and the lookups that all rules share.

The `what` of an event is its kind.  Kinds whose names do not explain them:

world             the deployment
call, final       a call of a client, and its final answer; a retry is a call of its own with the same `ticket`
not-taken         no dispatcher accepted a call
denied            a poll was answered with the error that no dispatcher knows the activation
list              an endpoint list was sent
send, order       an attempt or a load order of a dispatcher arrived at a worker
effect            an attempt had its side effect at a worker
fell              a worker in slow start became overloaded
act, done         a use of a lease began or ended; `taken` states whether the side-effect log accepted it
trouble           a fault was injected
stopped, woken    a dispatcher was paused or resumed

Times are in ms on the monotonic clock of one machine.  A process may record the time at which it read a message rather
than the time at which the message arrived; the event's `lag` is how much earlier it may have arrived.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]
# Delay that loopback, a loaded machine and the capturing process may add to a recorded time.
SLACK_MS = 60.0
ROUNDING_TOLERANCE = 1e-9


class History:
    """The events of one run, in order of time.  Raises `ValueError` unless exactly one describes the deployment."""

    def __init__(self, events: Iterable[Event]) -> None:
        self._by_kind: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            self._by_kind[event["what"]].append(event)
        (self.deployment,) = self._by_kind["world"]
        self.rules: dict[str, float] = self.deployment["rules"]
        self.calls: dict[str, Event] = {event["call"]: event for event in self.events_of("call")}
        self.finals: dict[str, Event] = {}  # First final answer of each activation
        for event in self.events_of("final"):
            if event["activation"]:
                self.finals.setdefault(event["activation"], event)

    def events_of(self, *kinds: str) -> list[Event]:
        """Return the events of the given kinds, kind by kind, each kind in order of time."""
        return [event for kind in kinds for event in self._by_kind[kind]]

    def load_orders(self) -> list[Event]:
        """Return the load orders for at least one instance; an order for 0 instances is only a query."""
        return [event for event in self.events_of("order") if event["copies"] > 0]

    def dispatcher_numbers(self) -> dict[str, int]:
        """Map the names of the dispatchers to the numbers under which calls refer to them."""
        return {name: number for number, name in enumerate(self.deployment.get("names", []))}


def earliest_arrival(event: Event) -> float:
    """Return the earliest time at which the message of an event may have arrived, in ms."""
    return float(event["t"] - event["lag"])
