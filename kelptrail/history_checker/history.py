"""The history of one run: captured events by kind, and what all rules look up in them.

Times are milliseconds of one machine's monotonic clock.  Where a capture has only the time of a read, an event's `lag`
is how much earlier it may have arrived.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]
SLACK_MS = 60.0  # added to a time by loopback, a loaded machine and the capturing process
ROUNDING = 1e-9  # in sums of floating-point numbers


class History:
    """The events of one run.  Raises `ValueError` where they don't describe exactly one deployment."""

    def __init__(self, events: Iterable[Event]) -> None:
        self._by_kind: dict[str, list[Event]] = defaultdict(list)
        for event in events:
            self._by_kind[event["what"]].append(event)
        (self.deployment,) = self._by_kind["world"]
        self.rules: dict[str, float] = self.deployment["rules"]
        self.calls: dict[str, Event] = {event["call"]: event for event in self.of("call")}
        self.finals: dict[str, Event] = {}  # the first final answer of each activation
        for event in self.of("final"):
            if event["activation"]:
                self.finals.setdefault(event["activation"], event)

    def of(self, *kinds: str) -> list[Event]:
        """All events of these kinds, kind after kind, each in order of time."""
        return [event for kind in kinds for event in self._by_kind[kind]]

    def load_orders(self) -> list[Event]:
        """Orders to keep instances loaded; those of 0 instances only ask."""
        return [event for event in self.of("order") if event["copies"] > 0]

    def dispatcher_numbers(self) -> dict[str, int]:
        """Numbers of the dispatchers, as calls have them, by name."""
        return {name: number for number, name in enumerate(self.deployment.get("names", []))}


def arrived_by(event: Event) -> float:
    """The earliest time at which what was read may have arrived."""
    return float(event["t"] - event["lag"])
