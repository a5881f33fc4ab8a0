"""Compares repeated attempts in one fault scenario: none, retries only, hedging, and hedging without a budget.

`python bench/hedged_requests.py [--seeds 1,2,3]` runs `examples/bad-days/second-sends.sexp` with real processes and
prints one JSON line per run, then the medians; `--out` names a file for a plot.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).parent.parent
SCENARIO = ROOT / "examples" / "bad-days" / "second-sends.sexp"
DEPLOYMENT = ROOT / "examples" / "hedged.sexp"
BEFORE_OVERLOAD_S = 33  # from the start of a run; the scenario's overload starts at 34 s
HEDGING = " (hedge yes)"
RULE = "(longest-return-ms 1000)"  # further rules are inserted after this one
MEDIAN_KEYS = ("in_time_before_overload", "completed", "sends", "second_sends", "saved", "wasted")
# Keys copied from the scenario's report; sends are attempts, second sends are repeated attempts.
COPIED_KEYS = ("broken", "taken", "completed", "rejected", "aborted", "sends", "second_sends")
REQUEST_CLASSES, PERCENTILES = ("check", "activate"), ("p50", "p99", "p99.9")

Row = dict[str, Any]


class Variant(NamedTuple):
    """How a deployment differs from the example: whether it hedges, and its further rules."""

    hedging: bool
    rules: str = ""

    def deployment(self) -> str:
        """Return the text of the deployment."""
        text = DEPLOYMENT.read_text()
        if not self.hedging:
            text = text.replace(HEDGING, "")
        return text.replace(RULE, f"{RULE} {self.rules}")


VARIANTS = {
    "none": Variant(False, "(second-share 0) (second-most 0)"),  # no repeated attempts
    "rescues": Variant(False),  # retries only
    "hedged": Variant(True),
    "hedged, no budget": Variant(True, "(second-share 16) (second-most 1000000)"),
}


def run_variant(name: str, seed: int, folder: Path) -> Row:
    """Run one variant with one seed and return its figures."""
    deployment, scenario, out = folder / "place.sexp", folder / "day.sexp", folder / "out"
    deployment.write_text(VARIANTS[name].deployment())
    scenario.write_text(SCENARIO.read_text().replace("../hedged.sexp", str(deployment)))
    options = ["--seed", str(seed), "--out", str(out)]
    subprocess.run(
        [sys.executable, "-m", "kelptrail", "--log-level", "error", "fault-scenario", str(scenario), *options],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    report = json.loads((out / "report.json").read_text())
    before_overload = [second for second in report["timeline"] if second["second"] < BEFORE_OVERLOAD_S]
    in_time, calls = (sum(second[key] for second in before_overload) for key in ("in_time", "calls"))
    return {
        "variant": name,
        "seed": seed,
        **{key: report[key] for key in COPIED_KEYS},
        "in_time_before_overload": round(in_time / calls, 4),
        "saved": report["second_saved"],
        "wasted": report["second_sends"] - report["second_saved"],
        **{f"{each}_ms": report["latency_ms"].get(each) for each in REQUEST_CLASSES},
    }


def medians(name: str, rows: list[Row]) -> Row:
    """Return the medians of all runs of a variant."""
    figures = {key: statistics.median(row[key] for row in rows) for key in MEDIAN_KEYS}
    latencies = {
        f"{each} {percentile}": statistics.median(row[f"{each}_ms"][percentile] for row in rows)
        for each in REQUEST_CLASSES
        for percentile in PERCENTILES
    }
    return {"variant": name, "runs": len(rows)} | figures | latencies


def draw(file: Path, rows: list[Row]) -> None:
    """Plot useful and wasted repeated attempts and the high percentiles of latency, by variant."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(VARIANTS)

    def medians_by_variant(value_of: Callable[[Row], float]) -> list[float]:
        return [statistics.median(value_of(row) for row in rows if row["variant"] == name) for name in names]

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    saved, wasted = medians_by_variant(lambda row: row["saved"]), medians_by_variant(lambda row: row["wasted"])
    left.bar(names, saved, label="saved", color="#3a7d44")
    left.bar(names, wasted, bottom=saved, label="wasted", color="#a63d40")
    left.set_ylabel("repeated attempts a run")
    left.legend()
    for shift, percentile in ((-0.2, "p99"), (0.2, "p99.9")):
        latencies = medians_by_variant(
            lambda row, percentile=percentile: row["check_ms"][percentile]  # type: ignore[misc]
        )
        right.bar([n + shift for n in range(len(names))], latencies, 0.4, label=percentile)
    right.set_xticks(range(len(names)), names)
    right.set_ylabel("ms, idempotent calls")
    right.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    rows: list[Row] = []
    for seed in options.seeds.split(","):
        for name in VARIANTS:
            with tempfile.TemporaryDirectory() as folder:
                rows.append(run_variant(name, int(seed), Path(folder)))
            print(json.dumps(rows[-1]), flush=True)
    for name in VARIANTS:
        print(json.dumps(medians(name, [row for row in rows if row["variant"] == name])))
    if options.out:
        draw(options.out, rows)


if __name__ == "__main__":
    main()
