"""Deferred calls with a book beside without, and beside blocking ones; recovery times: `python bench/deferred.py`."""

from __future__ import annotations

import argparse
import gc
import json
import os
import statistics
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any

from overhead import DEPLOYMENT, STARTED, List, Process, load

from kelptrail.gateway.admission import Submission
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.settings.deployment import parse
from kelptrail.store.activation_journal import open_journal
from kelptrail.store.entries import Accepted, Ended
from kelptrail.store.group_commit import GroupCommit


def rates(runs: int, seconds: float) -> dict[str, Any]:
    """Calls a second and latency of the 202, or of the answer; 32 connections, closed loop."""
    echo = str(Path(__file__).parent / "echo_worker.py")
    with tempfile.TemporaryDirectory(dir=".") as folder:
        file = Path(folder) / "bench.sexp"
        file.write_text(DEPLOYMENT.format(functions=2))
        worker = Process(0, sys.executable, echo)
        roster = List([worker.address], 1)
        words = [
            sys.executable,
            "-m",
            "kelptrail",
            "--log-level",
            "error",
            "serve",
            str(file),
            "--roster",
            roster.process.address,
        ]
        kept = Process(2, *words, "--state", str(Path(folder) / "state"), "--control", "127.0.0.1:0")
        bare = Process(3, *words)
        target = "/api/v1/namespaces/_/actions/f-0?result=true&blocking="
        cases = {
            "deferred, with a book": (kept, "false"),
            "deferred, without": (bare, "false"),
            "blocking, with a book": (kept, "true"),
        }
        found: dict[str, list[dict[str, Any]]] = {name: [] for name in cases}
        for _ in range(runs):
            for name, (process, blocking) in cases.items():
                before = journal(kept)
                found[name].append(load(4, process.address, target + blocking, 32, seconds))
                after = journal(kept)
                if name == "deferred, with a book":
                    commits = after["commits"] - before["commits"]
                    found[name][-1]["entries_a_sync"] = (after["entries"] - before["entries"]) / max(1, commits)
                    found[name][-1]["commits_a_second"] = commits / seconds
    return {
        name: {key: statistics.median(r[key] for r in rows) for key in rows[0] if key != "statuses"}
        | {"statuses": rows[-1]["statuses"]}
        for name, rows in found.items()
    }


def journal(process: Process) -> dict[str, Any]:
    """What the control port says of the journal."""
    with urllib.request.urlopen(f"http://{process.said['asked_at']}/state", timeout=5) as answer:
        return json.loads(answer.read())["journal"]


def in_hand(count: int, body: bytes) -> dict[str, Any]:
    """Memory that so many activations in hand take, without their connections; measured in this process."""
    settings = DEPLOYMENT.format(functions=2).replace("(records 5000)", "(records 1000000) (held 1000000)")
    deployment = parse(settings, "bench")
    gateway = Gateway(DispatcherParts(deployment, "hall", 1), "b" * 16, GroupCommit())
    action = deployment.actions["f-0"]
    gc.collect()
    before = memory()
    for n in range(count):
        submission = Submission("n", action, bytes(body) + b" ", f"key-{n}", "0" * 55, deferred=True)
        gateway.submit(0.0, 1e12, submission)
    gc.collect()
    return {"in_hand": gateway.in_flight, "body_bytes": len(body), "bytes_each": round((memory() - before) / count)}


def memory() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def recovery(count: int) -> dict[str, Any]:
    """Time to open a book of so many activations, a tenth of them without an answer, and take it up."""
    deployment = parse(DEPLOYMENT.format(functions=2).replace("(records 5000)", "(records 1000000)"), "bench")
    wall = time.time() * 1000
    with tempfile.TemporaryDirectory(dir=".") as folder:
        book, _ = open_journal(Path(folder) / "book.sqlite")
        entries: list[Any] = []
        for n in range(count):
            id_ = f"{n:032x}"
            entries.append(Accepted(id_, "n", "f-0", wall - 5000 + n / count, 60_000.0, b'{"family":7}' * 20))
            if n % 10:
                entries.append(Ended(id_, wall, "completed", 0, b'{"family":7}' * 20))
        book.commit(entries)
        book.close()
        began = time.monotonic()
        book, _ = open_journal(Path(folder) / "book.sqlite")
        gateway = Gateway(DispatcherParts(deployment, "hall", 1), "b" * 16, GroupCommit())
        counts = gateway.recover(0.0, wall, book.activations(), 200.0, 64)
        took = time.monotonic() - began
        size = (Path(folder) / "book.sqlite").stat().st_size
        book.close()
    return {"activations": count, "seconds": round(took, 3), "mb": round(size / 1e6, 1), **counts}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    print(json.dumps(rates(options.runs, options.seconds), indent=1))
    for size in (100, 4000):
        print(json.dumps(in_hand(50_000, b"x" * size)), flush=True)
    for count in (1_000, 10_000, 100_000):
        print(json.dumps(recovery(count)), flush=True)


if __name__ == "__main__":
    try:
        main()
    finally:
        for child in STARTED:
            child.end()
