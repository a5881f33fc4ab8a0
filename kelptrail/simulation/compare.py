"""Comparison of an experiment's variants: paired differences with confidence intervals, plots and a report."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
from scipy import stats

# By figure: whether a larger value is better.
BETTER = {
    "served_share": True,
    "recovery_s": False,
    "p99_ms": False,
    "p50_ms": False,
    "rejected": False,
    "lost": False,
    "sends": False,
    "loads": False,
}


class NoCommonRunsError(ValueError):
    """Two variants have no run with the same point and seed."""


@dataclass(frozen=True, slots=True)
class Difference:
    """One figure of two variants over their common runs, with the 95% interval of the mean difference."""

    figure: str
    point: str
    pairs: int
    first: float
    second: float
    low: float
    high: float
    verdict: str  # "better", "worse" or "not told apart": the second beside the first


class Interval(NamedTuple):
    """Bounds of a confidence interval."""

    low: float
    high: float


def interval(differences: np.ndarray, confidence: float = 0.95) -> Interval:
    """Where the mean of paired differences lies (Student's t); without bounds for fewer than two pairs."""
    if len(differences) < 2:
        return Interval(float("-inf"), float("inf"))
    mean, error = float(np.mean(differences)), float(stats.sem(differences))
    if error == 0:
        return Interval(mean, mean)
    low, high = stats.t.interval(confidence, len(differences) - 1, loc=mean, scale=error)
    return Interval(float(low), float(high))


def compare(first: list[dict[str, Any]], second: list[dict[str, Any]]) -> list[Difference]:
    """Two variants' runs, paired by point and seed.  Raises `NoCommonRunsError` where they have none in common."""
    mine = {(r["point"], r["seed"]): r for r in first}
    pairs: dict[str, list[tuple[dict[str, Any], dict[str, Any]]]] = defaultdict(list)
    for row in second:
        if (other := mine.get((row["point"], row["seed"]))) is not None:
            pairs[row["point"]].append((other, row))
    if not pairs:
        raise NoCommonRunsError("no run of both has the same point and seed")
    out = []
    for point, found in pairs.items():
        for figure, more in BETTER.items():
            a, b = (np.array([pair[n][figure] for pair in found], dtype=float) for n in (0, 1))
            low, high = interval(b - a)
            verdict = "not told apart"
            if low > 0 or high < 0:
                verdict = "better" if (low > 0) is more else "worse"
            out.append(Difference(figure, point, len(found), float(a.mean()), float(b.mean()), low, high, verdict))
    return out


def report(
    folder: Path, runs: list[dict[str, Any]], seconds: list[dict[str, Any]], spread: list[dict[str, Any]]
) -> Path:
    """Write `report.md` and its plots beside the tables of an experiment; its path."""
    name = runs[0]["experiment"]
    variants = list(dict.fromkeys(r["variant"] for r in runs))
    points = list(dict.fromkeys(r["point"] for r in runs))
    lines = [
        f"# Experiment {name}",
        "",
        f"{len(runs)} runs: {len(variants)} variants, {len(points)} points, "
        f"{len({r['seed'] for r in runs})} seeds.  All figures are emulated.",
        "",
        "| variant | point | served in time | recovery s | p50 ms | p99 ms | rejected | lost | sends | loads |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += _figure_rows(runs, variants, points)
    for other in variants[1:]:
        lines += _comparison(runs, variants[0], other)
    _draw(folder, runs, seconds, variants, points)
    lines += ["", "![service over time](service.png)", ""]
    if len(points) > 1:
        lines += ["![recovery by point](recovery.png)", ""]
    lines += [
        "![latency](latency.png)",
        "",
        "![give-ups by cause](give-ups.png)",
        "",
        "![loads, orders, calls in hand, dispatchers that are not calm](work.png)",
        "",
    ]
    _draw_latency(folder, spread, variants, points)
    _draw_give_ups(folder, spread, variants, points)
    _draw_work(folder, seconds, variants, points)
    file = folder / "report.md"
    file.write_text("\n".join(lines))
    return file


def _figure_rows(runs: list[dict[str, Any]], variants: list[str], points: list[str]) -> list[str]:
    """Table rows: the mean figures of each variant at each point."""
    rows = []
    for variant in variants:
        for point in points:
            mine = [r for r in runs if r["variant"] == variant and r["point"] == point]
            if mine:

                def mean(key: str, of: list[dict[str, Any]] = mine) -> float:
                    return float(np.mean([r[key] for r in of]))

                rows.append(
                    f"| {variant} | {point or '-'} | {mean('served_share'):.3f} | {mean('recovery_s'):.1f} | "
                    f"{mean('p50_ms'):.0f} | {mean('p99_ms'):.0f} | {mean('rejected'):.0f} | "
                    f"{mean('lost'):.0f} | {mean('sends'):.0f} | {mean('loads'):.0f} |"
                )
    return rows


def _comparison(runs: list[dict[str, Any]], first: str, second: str) -> list[str]:
    """A section of the report: the differences of two variants."""
    lines = [
        "",
        f"## {second} beside {first}",
        "",
        "| figure | point | pairs | difference (95%) | verdict |",
        "| --- | --- | --- | --- | --- |",
    ]
    both = [[r for r in runs if r["variant"] == v] for v in (first, second)]
    for d in compare(*both):
        lines.append(f"| {d.figure} | {d.point or '-'} | {d.pairs} | {d.low:.3g} to {d.high:.3g} | {d.verdict} |")
    return lines


def _draw(
    folder: Path, runs: list[dict[str, Any]], seconds: list[dict[str, Any]], variants: list[str], points: list[str]
) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(points), 1, figsize=(10, 2.6 * len(points) + 0.6), squeeze=False, sharex=True)
    for axis, point in zip(axes[:, 0], points, strict=True):
        for variant in variants:
            by: dict[int, list[float]] = defaultdict(list)
            for row in seconds:
                if row["variant"] == variant and row["point"] == point:
                    fresh = row["calls"] - row["repeats"]
                    by[row["second"]].append(row["in_time"] / fresh if fresh else 1.0)
            axis.plot(sorted(by), [float(np.mean(by[s])) for s in sorted(by)], label=variant)
        axis.set_ylabel("in time / new")
        axis.set_ylim(0, 1.5)
        axis.set_title(point or "as scripted", fontsize=9)
    axes[0, 0].legend(fontsize=8)
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(folder / "service.png", dpi=100)
    pyplot.close(figure)
    if len(points) > 1:
        figure, axis = pyplot.subplots(figsize=(7, 4))
        for variant in variants:
            values = [
                float(np.mean([r["recovery_s"] for r in runs if r["variant"] == variant and r["point"] == p]))
                for p in points
            ]
            axis.plot(points, values, marker="o", label=variant)
        axis.set_ylabel("recovery, s")
        axis.legend(fontsize=8)
        figure.autofmt_xdate()
        figure.tight_layout()
        figure.savefig(folder / "recovery.png", dpi=100)
        pyplot.close(figure)


def _draw_latency(folder: Path, spread: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot the latency distribution by type, at the first point."""
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(8, 4))
    found = [r for r in spread if r["what"] == "latency_ms"]
    for variant in variants:
        for kind in dict.fromkeys(r["name"] for r in found):
            by: dict[float, list[float]] = defaultdict(list)
            for row in found:
                if row["variant"] == variant and row["name"] == kind and row["point"] == points[0]:
                    by[row["part"]].append(row["value"])
            parts = sorted(p for p in by if p < 100)
            axis.plot(
                [1 / (1 - p / 100) for p in parts],
                [float(np.mean(by[p])) for p in parts],
                marker=".",
                label=f"{variant} {kind}",
            )
    axis.set_xscale("log")
    axis.set_yscale("log")
    axis.set_xlabel("one call in so many takes longer")
    axis.set_ylabel("ms")
    axis.set_title(points[0] or "as scripted", fontsize=9)
    axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(folder / "latency.png", dpi=100)
    pyplot.close(figure)


def _draw_give_ups(folder: Path, spread: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot the calls given up by cause."""
    from matplotlib import pyplot

    causes = list(dict.fromkeys(r["name"] for r in spread if r["what"] == "give_ups"))
    figure, axis = pyplot.subplots(figsize=(8, 4))
    bars = [(variant, point) for variant in variants for point in points]
    bottom = np.zeros(len(bars))
    for cause in causes:
        mine = [
            [
                r["value"]
                for r in spread
                if r["what"] == "give_ups" and r["name"] == cause and r["variant"] == v and r["point"] == p
            ]
            for v, p in bars
        ]
        heights = np.array([float(np.mean(values)) if values else 0.0 for values in mine])
        axis.bar([f"{v}\n{p}" for v, p in bars], heights, bottom=bottom, label=cause)
        bottom += heights
    axis.set_ylabel("tries given up, a run")
    if causes:
        axis.legend(fontsize=7)
    axis.tick_params(axis="x", labelsize=7)
    figure.tight_layout()
    figure.savefig(folder / "give-ups.png", dpi=100)
    pyplot.close(figure)


def _draw_work(folder: Path, seconds: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot loads, orders, calls in flight and dispatchers under overload control over time, at the first point."""
    from matplotlib import pyplot

    names = {"loads": "loads / s", "orders": "orders / s", "in_hand": "calls in hand", "storming": "not calm"}
    figure, axes = pyplot.subplots(len(names), 1, figsize=(10, 7), sharex=True)
    for axis, (name, label) in zip(axes, names.items(), strict=True):
        for variant in variants:
            by: dict[int, list[float]] = defaultdict(list)
            for row in seconds:
                if row["variant"] == variant and row["point"] == points[0]:
                    by[row["second"]].append(row[name])
            axis.plot(sorted(by), [float(np.mean(by[s])) for s in sorted(by)], label=variant)
        axis.set_ylabel(label, fontsize=8)
    axes[0].set_title(points[0] or "as scripted", fontsize=9)
    axes[0].legend(fontsize=8)
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(folder / "work.png", dpi=100)
    pyplot.close(figure)
