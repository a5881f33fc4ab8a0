"""Plots of an experiment, each written to a PNG file in its folder."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

matplotlib.use("Agg")
from matplotlib import pyplot


def draw_service(folder: Path, seconds: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot the number of calls completed in time per new call, in each second of the run, for each point."""
    figure, axes = pyplot.subplots(len(points), 1, figsize=(10, 2.6 * len(points) + 0.6), squeeze=False, sharex=True)
    for axis, point in zip(axes[:, 0], points, strict=True):
        for variant in variants:
            shares: dict[int, list[float]] = defaultdict(list)  # by second
            for row in seconds:
                if row["variant"] == variant and row["point"] == point:
                    new_calls = row["calls"] - row["repeats"]
                    shares[row["second"]].append(row["in_time"] / new_calls if new_calls else 1.0)
            _plot_means(axis, shares, variant)
        axis.set_ylabel("in time / new")
        axis.set_ylim(0, 1.5)
        axis.set_title(point or "as scripted", fontsize=9)
    axes[0, 0].legend(fontsize=8)
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(folder / "service.png", dpi=100)
    pyplot.close(figure)


def _plot_means(axis: Any, values: dict[int, list[float]], label: str) -> None:
    """Plot the mean of all runs' values in each second."""
    seconds = sorted(values)
    axis.plot(seconds, [float(np.mean(values[second])) for second in seconds], label=label)


def draw_recovery(folder: Path, runs: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot the mean recovery time at each point."""
    figure, axis = pyplot.subplots(figsize=(7, 4))
    for variant in variants:
        variant_runs = [run for run in runs if run["variant"] == variant]
        means = [
            float(np.mean([run["recovery_s"] for run in variant_runs if run["point"] == point])) for point in points
        ]
        axis.plot(points, means, marker="o", label=variant)
    axis.set_ylabel("recovery, s")
    axis.legend(fontsize=8)
    figure.autofmt_xdate()
    figure.tight_layout()
    figure.savefig(folder / "recovery.png", dpi=100)
    pyplot.close(figure)


def draw_latency(folder: Path, spread: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot the latency distribution of each variant and type, at the first point."""
    figure, axis = pyplot.subplots(figsize=(8, 4))
    rows = [row for row in spread if row["what"] == "latency_ms" and row["point"] == points[0]]
    types = dict.fromkeys(row["name"] for row in spread if row["what"] == "latency_ms")
    for variant in variants:
        for type_ in types:
            latencies: dict[float, list[float]] = defaultdict(list)  # by percentile
            for row in rows:
                if row["variant"] == variant and row["name"] == type_:
                    latencies[row["part"]].append(row["value"])
            percentiles = sorted(percentile for percentile in latencies if percentile < 100)
            axis.plot(
                [1 / (1 - percentile / 100) for percentile in percentiles],
                [float(np.mean(latencies[percentile])) for percentile in percentiles],
                marker=".",
                label=f"{variant} {type_}",
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


def draw_give_ups(folder: Path, spread: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot the mean number of attempts per run that were rejected, aborted or not answered, by cause."""
    rows = [row for row in spread if row["what"] == "give_ups"]
    causes = list(dict.fromkeys(row["name"] for row in rows))
    figure, axis = pyplot.subplots(figsize=(8, 4))
    bars = [(variant, point) for variant in variants for point in points]
    counts: dict[tuple[str, str, str], list[float]] = defaultdict(list)  # by cause, variant and point
    for row in rows:
        counts[row["name"], row["variant"], row["point"]].append(row["value"])
    bottom = np.zeros(len(bars))
    for cause in causes:
        counts_of_bars = [counts.get((cause, variant, point), [0.0]) for variant, point in bars]
        heights = np.array([float(np.mean(counts_of_bar)) for counts_of_bar in counts_of_bars])
        axis.bar([f"{variant}\n{point}" for variant, point in bars], heights, bottom=bottom, label=cause)
        bottom += heights
    axis.set_ylabel("tries given up, a run")
    if causes:
        axis.legend(fontsize=7)
    axis.tick_params(axis="x", labelsize=7)
    figure.tight_layout()
    figure.savefig(folder / "give-ups.png", dpi=100)
    pyplot.close(figure)


def draw_work(folder: Path, seconds: list[dict[str, Any]], variants: list[str], points: list[str]) -> None:
    """Plot loads, load orders, calls in flight and dispatchers under overload control over time, at the first point."""
    labels = {"loads": "loads / s", "orders": "orders / s", "in_hand": "calls in hand", "storming": "not calm"}
    figure, axes = pyplot.subplots(len(labels), 1, figsize=(10, 7), sharex=True)
    for axis, (column, label) in zip(axes, labels.items(), strict=True):
        for variant in variants:
            values: dict[int, list[float]] = defaultdict(list)  # by second
            for row in seconds:
                if row["variant"] == variant and row["point"] == points[0]:
                    values[row["second"]].append(row[column])
            _plot_means(axis, values, variant)
        axis.set_ylabel(label, fontsize=8)
    axes[0].set_title(points[0] or "as scripted", fontsize=9)
    axes[0].legend(fontsize=8)
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(folder / "work.png", dpi=100)
    pyplot.close(figure)
