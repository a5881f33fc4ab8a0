"""The report of an experiment: a table of figures, comparisons with the first variant, and plots."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import numpy as np

from .compare import compare
from .experiment_plots import draw_give_ups, draw_latency, draw_recovery, draw_service, draw_work

# Number formats of the columns of the report's table.
TABLE_FORMATS = {
    "served_share": ".3f",
    "recovery_s": ".1f",
    "p50_ms": ".0f",
    "p99_ms": ".0f",
    "rejected": ".0f",
    "lost": ".0f",
    "sends": ".0f",
    "loads": ".0f",
}


def write_report(
    folder: Path, runs: list[dict[str, Any]], seconds: list[dict[str, Any]], spread: list[dict[str, Any]]
) -> Path:
    """Write `report.md` and its plots to the folder of an experiment's tables; return the path of the report."""
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
    draw_service(folder, seconds, variants, points)
    if len(points) > 1:
        draw_recovery(folder, runs, variants, points)
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
    draw_latency(folder, spread, variants, points)
    draw_give_ups(folder, spread, variants, points)
    draw_work(folder, seconds, variants, points)
    file = folder / "report.md"
    file.write_text("\n".join(lines))
    return file


def _figure_rows(runs: list[dict[str, Any]], variants: list[str], points: list[str]) -> list[str]:
    """Return table rows with the mean figures of each variant at each point."""
    rows = []
    for variant in variants:
        for point in points:
            runs_at_point = [r for r in runs if r["variant"] == variant and r["point"] == point]
            if runs_at_point:
                rows.append(f"| {variant} | {point or '-'} | {_mean_figures(runs_at_point)} |")
    return rows


def _mean_figures(runs: list[dict[str, Any]]) -> str:
    """Return the cells of a table row with the mean figures of these runs."""
    return " | ".join(
        format(float(np.mean([run[figure] for run in runs])), number_format)
        for figure, number_format in TABLE_FORMATS.items()
    )


def _comparison(runs: list[dict[str, Any]], first: str, second: str) -> list[str]:
    """Return a section of the report with the differences of two variants."""
    lines = [
        "",
        f"## {second} beside {first}",
        "",
        "| figure | point | pairs | difference (95%) | verdict |",
        "| --- | --- | --- | --- | --- |",
    ]
    runs_of_variants = [[r for r in runs if r["variant"] == v] for v in (first, second)]
    return lines + [
        f"| {d.figure} | {d.point or '-'} | {d.pairs} | {d.low:.3g} to {d.high:.3g} | {d.verdict} |"
        for d in compare(*runs_of_variants)
    ]
