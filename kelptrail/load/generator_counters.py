"""Counters of one process of the load generator: calls by second, latencies, reasons of failed attempts.

Latencies count from the moment at which a call was due, not from when it could be sent (coordinated omission: a stall
of the program, or of the generator, must not hide the calls that came due in it).  Those of a closed loop are corrected
by its think time, as HdrHistogram does.
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

# The counter of a second that an attempt's outcome adds to; completed calls are counted with their latency.
COUNTER_OF_OUTCOME = {
    ClientOutcome.REJECTED: "rejected",
    ClientOutcome.ABORTED: "aborted",
    ClientOutcome.LOST: "lost",
    ClientOutcome.NOT_TAKEN: "not_taken",
}


def latency_histogram() -> HdrHistogram:
    """Microseconds up to an hour, to three digits."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class PackedCounters(msgspec.Struct):
    """Counters as one process sends them to the coordinator, in JSON; histograms in HdrHistogram's own encoding."""

    seconds: list[Second]
    give_ups: dict[str, int]
    connections: int = msgspec.field(name="made")
    latencies: dict[str, str] = msgspec.field(name="took")
    send_lag: str = msgspec.field(name="late")


@dataclass(slots=True)
class GeneratorCounters:
    """What one process counted.  `send_lag`: how far behind its plan it sent, in microseconds."""

    start: float  # of the script, in ms of the clock
    seconds: list[Second]
    latencies: dict[str, HdrHistogram]  # by request class
    send_lag: HdrHistogram = field(default_factory=latency_histogram)
    give_ups: dict[str, int] = field(default_factory=dict)
    connections: int = 0

    def count_attempt(self, due: float, first_due: float) -> None:
        """Count an attempt that is sent now; `first_due`: when the call's first attempt was due."""
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
        """Count how an attempt ended, and the cause where it did not complete."""
        if cause:
            self.give_ups[cause] = self.give_ups.get(cause, 0) + 1
        counter = COUNTER_OF_OUTCOME.get(outcome)
        if counter is not None:
            second = self._current_second()
            setattr(second, counter, getattr(second, counter) + 1)

    def _current_second(self) -> Second:
        number = int((now_ms() - self.start) / 1000)
        return self.seconds[max(0, min(len(self.seconds) - 1, number))]

    def pack(self) -> PackedCounters:
        """The counters as they are sent to the coordinator."""
        return PackedCounters(
            self.seconds,
            self.give_ups,
            self.connections,
            {name: histogram.encode().decode() for name, histogram in self.latencies.items()},
            self.send_lag.encode().decode(),
        )


def new_counters(start: float, script_seconds: float, types: Iterable[str]) -> GeneratorCounters:
    """Counters that are all 0, for these request classes."""
    return GeneratorCounters(start, empty_seconds(script_seconds), {name: latency_histogram() for name in types})


def _microseconds(ms: float) -> int:
    """A time that a histogram can record."""
    return max(1, int(ms * 1000))
