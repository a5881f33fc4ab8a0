"""One script with no second sends, with rescues only, with hedging, and with hedging and no budget.

`python bench/second_sends.py [--seeds 1,2,3]` plays `examples/bad-days/second-sends.sexp` through real processes and
prints one JSON line a run, then the medians; `--out` keeps a picture.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / "examples" / "bad-days" / "second-sends.sexp"
PLACE = ROOT / "examples" / "hedged.sexp"
VARIANTS = {
    "none": (" (hedge yes)", "", "(second-share 0) (second-most 0)"),
    "rescues": (" (hedge yes)", "", ""),
    "hedged": ("", "", ""),
    "hedged, no budget": ("", "", "(second-share 16) (second-most 1000000)"),
}


def play(name: str, seed: int, folder: Path) -> dict[str, Any]:
    """One run of one variant."""
    cut, by, more = VARIANTS[name]
    place = PLACE.read_text()
    place = place.replace(cut, by) if cut else place
    place = place.replace("(longest-return-ms 1000)", f"(longest-return-ms 1000) {more}")
    (folder / "place.sexp").write_text(place)
    (folder / "day.sexp").write_text(SCRIPT.read_text().replace("../hedged.sexp", str(folder / "place.sexp")))
    out = folder / "out"
    subprocess.run(
        [
            sys.executable,
            "-m",
            "kelptrail",
            "--log-level",
            "error",
            "fault-scenario",
            str(folder / "day.sexp"),
            "--seed",
            str(seed),
            "--out",
            str(out),
        ],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    report = json.loads((out / "report.json").read_text())
    quiet = [row for row in report["timeline"] if row["second"] < 33]
    return {
        "variant": name,
        "seed": seed,
        "broken": report["broken"],
        "taken": report["taken"],
        "completed": report["completed"],
        "rejected": report["rejected"],
        "aborted": report["aborted"],
        "in_time_before_overload": round(sum(r["in_time"] for r in quiet) / sum(r["calls"] for r in quiet), 4),
        "sends": report["sends"],
        "second_sends": report["second_sends"],
        "saved": report["second_saved"],
        "wasted": report["second_sends"] - report["second_saved"],
        "check_ms": report["latency_ms"].get("check"),
        "activate_ms": report["latency_ms"].get("activate"),
    }


def draw(file: Path, rows: list[dict[str, Any]]) -> None:
    """Saved and wasted second sends beside the 99th percentile, by variant."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(VARIANTS)

    def mid(name: str, of: Any) -> float:
        return statistics.median(of(r) for r in rows if r["variant"] == name)

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    saved, wasted = [mid(n, lambda r: r["saved"]) for n in names], [mid(n, lambda r: r["wasted"]) for n in names]
    left.bar(names, saved, label="saved", color="#3a7d44")
    left.bar(names, wasted, bottom=saved, label="wasted", color="#a63d40")
    left.set_ylabel("second sends a run")
    left.legend()
    for shift, key in ((-0.2, "p99"), (0.2, "p99.9")):
        right.bar(
            [n + shift for n in range(len(names))],
            [mid(name, lambda r, key=key: r["check_ms"][key]) for name in names],
            0.4,
            label=key,
        )
    right.set_xticks(range(len(names)), names)
    right.set_ylabel("ms, repeatable calls")
    right.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    rows = []
    for seed in options.seeds.split(","):
        for name in VARIANTS:
            with tempfile.TemporaryDirectory() as folder:
                rows.append(play(name, int(seed), Path(folder)))
            print(json.dumps(rows[-1]), flush=True)
    for name in VARIANTS:
        mine = [r for r in rows if r["variant"] == name]
        print(
            json.dumps(
                {"variant": name, "runs": len(mine)}
                | {
                    key: statistics.median(r[key] for r in mine)
                    for key in ("in_time_before_overload", "completed", "sends", "second_sends", "saved", "wasted")
                }
                | {
                    f"{kind} {p}": statistics.median(r[f"{kind}_ms"][p] for r in mine)
                    for kind in ("check", "activate")
                    for p in ("p50", "p99", "p99.9")
                }
            )
        )
    if options.out:
        draw(options.out, rows)


if __name__ == "__main__":
    main()
