"""The plot of a report: results and work of each second, lease holders, and faults."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .timeline import Timeline

SHORTEST_BAR_S = 0.3  # Minimum length of a fault's bar


def draw_timeline(file: Path, name: str, timeline: Timeline, leases: dict[str, Any]) -> None:
    """Plot, from top to bottom, the results and the work of each second, the lease holders, and the faults."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    lease_height = 0.5 * len(leases)
    figure, (results_axis, work_axis, lease_axis, fault_axis) = pyplot.subplots(
        4,
        1,
        figsize=(11, 8 + lease_height),
        sharex=True,
        # Without leases, 0.01 keeps the ratio of their plot above zero.
        height_ratios=[3, 1.5, lease_height + 0.01, max(1.0, 0.16 * len(timeline.faults))],
    )
    _draw_leases(lease_axis, leases)
    _draw_results(results_axis, timeline.seconds)
    results_axis.set_title(name)
    _draw_work(work_axis, timeline.seconds)
    _draw_faults(fault_axis, timeline.faults)
    figure.tight_layout()
    figure.savefig(file, dpi=110)
    pyplot.close(figure)


def _draw_results(axis: Any, rows: list[dict[str, Any]]) -> None:
    """Plot the final answers of each second, stacked by kind, and the calls."""
    seconds = [row["second"] for row in rows]
    late = [row["completed"] - row["in_time"] for row in rows]
    axis.stackplot(
        seconds,
        [row["in_time"] for row in rows],
        late,
        [row["rejected"] for row in rows],
        [row["aborted"] for row in rows],
        labels=["in time", "late", "rejected", "aborted"],
        colors=["#3a7d44", "#d9b44a", "#4a6fa5", "#a63d40"],
    )
    axis.plot(seconds, [row["calls"] for row in rows], color="black", linewidth=0.8, label="calls")
    axis.set_ylabel("per second")
    axis.legend(loc="upper right", ncols=5, fontsize=8)


def _draw_work(axis: Any, rows: list[dict[str, Any]]) -> None:
    """Plot the attempts and the load orders of each second."""
    seconds = [row["second"] for row in rows]
    axis.plot(seconds, [row["sends"] for row in rows], label="attempts", color="#555555")
    axis.plot(seconds, [row["orders"] for row in rows], label="load orders", color="#c06014")
    axis.legend(loc="upper right", fontsize=8)


def _draw_faults(axis: Any, faults: list[dict[str, Any]]) -> None:
    """Plot a bar for the duration of each fault, labelled with its kind."""
    for number, fault in enumerate(faults):
        length_s = max(SHORTEST_BAR_S, fault["for"])
        axis.barh(number, length_s, left=fault["at"], color="#8a5a83")
        axis.text(fault["at"] + length_s + 0.2, number, fault["kind"], fontsize=7, va="center")
    axis.set_yticks([])
    axis.set_xlabel("seconds")
    axis.set_ylabel("faults")


def _draw_leases(axis: Any, leases: dict[str, Any]) -> None:
    """Plot the spans of leases, with a row for each task and a colour for each holder."""
    names = sorted({span["by"] for task in leases.values() for span in task["spans"]})
    colors = {name: f"C{number}" for number, name in enumerate(names)}
    for row, task in enumerate(leases.values()):
        for span in task["spans"]:
            axis.barh(row, span["until"] - span["from"], left=span["from"], color=colors[span["by"]], height=0.7)
    axis.set_yticks(range(len(leases)), list(leases), fontsize=8)
    if not leases:
        axis.set_axis_off()
    for name in names:  # bars without length, which only add each holder to the legend
        axis.barh(0, 0, color=colors[name], label=name)
    if names:
        axis.legend(loc="lower right", bbox_to_anchor=(1, 1), ncols=len(names), fontsize=6)
