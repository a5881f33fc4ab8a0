"""Counters of one process of the load generator: calls per second, latencies, and causes of failed attempts.

To avoid coordinated omission, latency is measured from the time at which a call was due, not from the time at which it
was sent: a stall of the program or of the generator must not hide the calls that became due during it.  Latencies of a
closed loop are corrected with the think time as the expected interval (HdrHistogram's correction).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

from kelptrail.clock import now_ms
from kelptrail.settings.deployment import TypeSettings

from .client_behavior import ClientOutcome
from .plan import Load
from .results import Second, empty_seconds

MAX_LATENCY_US, SIGNIFICANT_DIGITS = 3_600_000_000, 3

# Field of `Second` that counts each outcome.  `count_completed` counts completed calls together with their latency.
COUNTER_OF_OUTCOME = {
    ClientOutcome.REJECTED: "rejected",
    ClientOutcome.ABORTED: "aborted",
    ClientOutcome.LOST: "lost",
    ClientOutcome.NOT_TAKEN: "not_taken",
}


def latency_histogram() -> HdrHistogram:
    """Return an empty histogram for up to one hour, in microseconds, with three significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class PackedCounters(msgspec.Struct):
    """Counters as a process sends them to the coordinator, in JSON; histograms are in HdrHistogram's encoding."""

    seconds: list[Second]
    give_ups: dict[str, int]
    connections: int = msgspec.field(name="made")
    latencies: dict[str, str] = msgspec.field(name="took")
    send_lag: str = msgspec.field(name="late")


@dataclass(slots=True)
class GeneratorCounters:
    """Counters of one process.  `send_lag` is the delay of attempts after the time they were due, in microseconds."""

    start: float  # start of the script, in ms of the monotonic clock
    seconds: list[Second]
    latencies: dict[str, HdrHistogram]  # by request class
    send_lag: HdrHistogram = field(default_factory=latency_histogram)
    give_ups: dict[str, int] = field(default_factory=dict)  # number of attempts that did not complete, by cause
    connections: int = 0

    def count_attempt(self, due: float, first_due: float) -> None:
        """Count an attempt that is sent now; `first_due` is the time at which the call's first attempt was due."""
        now = now_ms()
        second = self._current_second()
        second.calls += 1
        second.retries += due > first_due
        self.send_lag.record_value(_microseconds(now - due))

    def count_completed(self, type_: TypeSettings, load: Load, latency_ms: float) -> None:
        """Count a completed call and its latency."""
        second = self._current_second()
        second.completed += 1
        second.in_time += latency_ms <= type_.latency_objective_ms
        histogram = self.latencies[type_.name]
        if load.shape == "closed":
            histogram.record_corrected_value(_microseconds(latency_ms), max(1, int(load.think * 1_000_000)))
        else:
            histogram.record_value(_microseconds(latency_ms))

    def count_outcome(self, outcome: ClientOutcome, cause: str) -> None:
        """Count the outcome of an attempt, and the cause unless it is empty."""
        if cause:
            self.give_ups[cause] = self.give_ups.get(cause, 0) + 1
        counter = COUNTER_OF_OUTCOME.get(outcome)
        if counter is not None:
            second = self._current_second()
            setattr(second, counter, getattr(second, counter) + 1)

    def _current_second(self) -> Second:
        index = int((now_ms() - self.start) / 1000)
        return self.seconds[max(0, min(len(self.seconds) - 1, index))]

    def pack(self) -> PackedCounters:
        """Return the counters in the form that is sent to the coordinator."""
        return PackedCounters(
            self.seconds,
            self.give_ups,
            self.connections,
            {name: histogram.encode().decode() for name, histogram in self.latencies.items()},
            self.send_lag.encode().decode(),
        )


def new_counters(start: float, script_seconds: float, request_classes: Iterable[str]) -> GeneratorCounters:
    """Return empty counters for a script of this length and these request classes."""
    return GeneratorCounters(
        start, empty_seconds(script_seconds), {name: latency_histogram() for name in request_classes}
    )


def _microseconds(ms: float) -> int:
    """Convert ms to whole microseconds, at least 1, the smallest value of a histogram."""
    return max(1, int(ms * 1000))
