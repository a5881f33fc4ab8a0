"""The same scripts on sockets and in the lab, side by side: `python bench/side_by_side.py OUT [SCRIPT ...]`."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
SCRIPTS = ("first", "kills", "second-sends", "outage", "storm")
COUNTS = ("taken", "completed", "rejected", "aborted", "lost_with_dispatcher", "sends", "loads")


def sockets(name: str, out: Path) -> dict[str, Any]:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "kelptrail",
            "fault-scenario",
            f"examples/bad-days/{name}.sexp",
            "--out",
            str(out / name),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return dict(json.loads(done.stdout))


def lab(name: str) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, "-m", "kelptrail", "simulate", "play", f"examples/bad-days/{name}.sexp"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return dict(json.loads(done.stdout))


def row(name: str, where: str, found: dict[str, Any]) -> str:
    kind = next(iter(found["latency_ms"]))
    times = found["latency_ms"][kind]
    return (
        f"| {name}, {where} | "
        + " | ".join(f"{found[c]:,}" for c in COUNTS)
        + f" | {kind} {times['p50']:.0f}, {times['p90']:.0f}, {times['p99']:.0f} | {found['broken']} |"
    )


def main(out: Path, names: list[str]) -> None:
    print("| script | " + " | ".join(COUNTS) + " | p50, p90, p99 ms | broken |")
    print("|" + " --- |" * (len(COUNTS) + 3))
    for name in names or SCRIPTS:
        print(row(name, "sockets", sockets(name, out)), flush=True)
        print(row(name, "lab", lab(name)), flush=True)


if __name__ == "__main__":
    main(Path(sys.argv[1]), sys.argv[2:])
