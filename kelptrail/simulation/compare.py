"""Comparison of an experiment's variants: paired differences with confidence intervals."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any, NamedTuple

import numpy as np
from scipy import stats

# The figures that are compared, and whether a larger value is better.
LARGER_IS_BETTER = {
    "served_share": True,
    "recovery_s": False,
    "p99_ms": False,
    "p50_ms": False,
    "rejected": False,
    "lost": False,
    "sends": False,
    "loads": False,
}
CONFIDENCE = 0.95


class NoCommonRunsError(ValueError):
    """Two variants have no run with the same point and seed."""


@dataclass(frozen=True, slots=True)
class Difference:
    """One figure of two variants over their paired runs, with the 95% confidence interval of the mean difference."""

    figure: str
    point: str
    pairs: int
    first: float  # mean of the first variant
    second: float  # mean of the second variant
    low: float  # bounds of the confidence interval of second - first
    high: float
    verdict: str  # verdict on the second variant: "better", "worse" or "not told apart"


class PairedRuns(NamedTuple):
    """Runs of two variants with the same point and seed."""

    first: dict[str, Any]
    second: dict[str, Any]


class Interval(NamedTuple):
    """Bounds of a confidence interval."""

    low: float
    high: float


def confidence_interval(differences: np.ndarray, confidence: float = CONFIDENCE) -> Interval:
    """Return the confidence interval of the mean of paired differences (Student's t).

    It is unbounded for fewer than two pairs.
    """
    if len(differences) < 2:
        return Interval(float("-inf"), float("inf"))
    mean, error = float(np.mean(differences)), float(stats.sem(differences))
    if error == 0:
        return Interval(mean, mean)
    low, high = stats.t.interval(confidence, len(differences) - 1, loc=mean, scale=error)
    return Interval(float(low), float(high))


def compare(first: list[dict[str, Any]], second: list[dict[str, Any]]) -> list[Difference]:
    """Compare two variants' runs, paired by point and seed.  Raises `NoCommonRunsError` if no runs can be paired."""
    first_runs = {(run["point"], run["seed"]): run for run in first}
    pairs: dict[str, list[PairedRuns]] = defaultdict(list)  # by point
    for run in second:
        if (partner := first_runs.get((run["point"], run["seed"]))) is not None:
            pairs[run["point"]].append(PairedRuns(partner, run))
    if not pairs:
        raise NoCommonRunsError("the two variants have no runs with the same point and seed")
    return [
        _difference(figure, point, paired_runs) for point, paired_runs in pairs.items() for figure in LARGER_IS_BETTER
    ]


def _difference(figure: str, point: str, pairs: list[PairedRuns]) -> Difference:
    first = np.array([pair.first[figure] for pair in pairs], dtype=float)
    second = np.array([pair.second[figure] for pair in pairs], dtype=float)
    low, high = confidence_interval(second - first)
    verdict = "not told apart"
    if low > 0 or high < 0:
        verdict = "better" if (low > 0) is LARGER_IS_BETTER[figure] else "worse"
    return Difference(figure, point, len(pairs), float(first.mean()), float(second.mean()), low, high, verdict)
