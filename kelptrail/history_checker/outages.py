"""Periods in which dispatchers were down, paused or cut off from the others, which excuse missing or late answers."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from .history import SLACK_MS, Event, History

# A process that reports ready still has to read the messages that arrived while it started.
STARTUP_MS = 250.0


class Period(NamedTuple):
    """A period of time in ms; `end` is infinite if the period did not end."""

    start: float
    end: float


class Outages:
    """Periods in which each dispatcher was down (or paused) or cut off, by its number."""

    def __init__(self, history: History) -> None:
        self._down = _down_periods(history)
        self._cut_off = _cut_off_periods(history)

    def was_down(self, call: Event, end: float) -> bool:
        """Return whether a dispatcher that may have accepted the call was down between the call and `end`."""
        if call.get("front"):  # The dispatchers share the address, so any of them may have accepted the call.
            periods = [period for dispatcher_periods in self._down.values() for period in dispatcher_periods]
        else:
            periods = self._down.get(call["dispatcher"], [])
        return any(call["t"] <= up_at + STARTUP_MS and down_at <= end + SLACK_MS for down_at, up_at in periods)

    def was_cut_off(self, call: Event, end: float) -> bool:
        """Return whether the call's dispatcher was cut off from the others between the call and `end`."""
        periods = self._cut_off.get(call["dispatcher"], [])
        return any(call["t"] <= restored_at and cut_at <= end for cut_at, restored_at in periods)


def _down_periods(history: History) -> dict[int, list[Period]]:
    """Return the periods from each kill or pause until the dispatcher runs again, by its number."""
    periods: dict[int, list[Period]] = defaultdict(list)
    resumptions = history.events_of("restarted", "woken")
    for event in history.events_of("kill", "stopped"):
        dispatcher, down_at = event["dispatcher"], event["t"]
        resumption_times = (e["t"] for e in resumptions if e["dispatcher"] == dispatcher and e["t"] > down_at)
        periods[dispatcher].append(Period(down_at, min(resumption_times, default=float("inf"))))
    return periods


def _cut_off_periods(history: History) -> dict[int, list[Period]]:
    periods: dict[int, list[Period]] = defaultdict(list)
    numbers = history.dispatcher_numbers()
    for event in history.events_of("trouble"):
        if event["kind"] == "cut-peers":
            for name in event.get("of", []):
                period = Period(event["t"], event["t"] + event["seconds"] * 1000)
                periods[numbers.get(name, -1)].append(period)
    return periods
