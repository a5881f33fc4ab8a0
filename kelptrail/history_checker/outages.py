"""When dispatchers were down, paused or cut off from the others: for calls of these times they answer less."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from .history import SLACK_MS, Event, History

STARTUP_MS = 250.0  # a process that reports ready still has to read what arrived while it started


class Period(NamedTuple):
    """A span of time in ms; `end` is infinite for what did not end."""

    start: float
    end: float


class Outages:
    """Periods in which dispatchers, by number, were down or cut off."""

    def __init__(self, history: History) -> None:
        self._down = _down_periods(history)
        self._cut_off = _cut_off_periods(history)

    def was_down(self, call: Event, end: float) -> bool:
        """Whether a dispatcher that may have accepted the call was down between the call and `end`."""
        if call.get("front"):  # any dispatcher may have accepted it
            periods = [period for of_dispatcher in self._down.values() for period in of_dispatcher]
        else:
            periods = self._down.get(call["dispatcher"], [])
        return any(call["t"] <= up_again + STARTUP_MS and since <= end + SLACK_MS for since, up_again in periods)

    def was_cut_off(self, call: Event, end: float) -> bool:
        """Whether the call's dispatcher was cut off from the others between the call and `end`."""
        periods = self._cut_off.get(call["dispatcher"], [])
        return any(call["t"] <= healed and since <= end for since, healed in periods)


def _down_periods(history: History) -> dict[int, list[Period]]:
    """From each kill or pause until the dispatcher runs again."""
    periods: dict[int, list[Period]] = defaultdict(list)
    resumptions = history.of("restarted", "woken")
    for event in history.of("kill", "stopped"):
        dispatcher, since = event["dispatcher"], event["t"]
        later = (e["t"] for e in resumptions if e["dispatcher"] == dispatcher and e["t"] > since)
        periods[dispatcher].append(Period(since, min(later, default=float("inf"))))
    return periods


def _cut_off_periods(history: History) -> dict[int, list[Period]]:
    periods: dict[int, list[Period]] = defaultdict(list)
    numbers = history.dispatcher_numbers()
    for event in history.of("trouble"):
        if event["kind"] == "cut-peers":
            for name in event.get("of", []):
                period = Period(event["t"], event["t"] + event["seconds"] * 1000)
                periods[numbers.get(name, -1)].append(period)
    return periods
