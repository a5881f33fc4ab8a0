"""Mutation test of the soak: removes one guard at a time from a copy of the sources; the soak must fail each time.

    python bench/soak_mutants.py --seeds 4

Prints for each mutant the first seed that found it and the problem.  The exit code is 1 if a mutant was not found.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
RUN_TIMEOUT_S = 300


@dataclass(frozen=True, slots=True)
class Edit:
    """The replacement of a text in a source file, which removes a guard."""

    file: str
    old: str
    new: str


class EditMismatchError(ValueError):
    """The text that an edit replaces does not occur exactly once in its file."""


class Mutant:
    """The removal of one guard, named after the fault that it causes, with the edits that remove it."""

    def __init__(self, name: str, file: str, old: str, new: str, *further: Edit) -> None:
        self.name = name
        self.edits = (Edit(file, old, new), *further)

    def apply(self, sources: Path) -> None:
        """Edit a copy of the sources.  Raises `EditMismatchError`."""
        for edit in self.edits:
            file = sources / edit.file
            text = file.read_text()
            if text.count(edit.old) != 1:
                raise EditMismatchError(f"its text occurs {text.count(edit.old)} times in {edit.file}")
            file.write_text(text.replace(edit.old, edit.new))


MUTANTS = (
    Mutant(
        "an attempt starts whatever has changed since its decision",
        "kelptrail/dispatch/safety.py",
        "        worker = item.instance.worker\n"
        "        if not (worker.live and now < item.latest_start):\n            return False\n"
        "        if not self.readiness.is_known(now, worker):\n            return False\n"
        "        if isinstance(item, LoadOrder):\n            return item.instance.load_order is item\n"
        "        return item.status is None and not item.cancelled and item.request.final_status is None\n",
        "        return True\n",
        Edit(
            "kelptrail/platform/worker_connection.py",
            "        if write is not None and self.connection is not None "
            "and not self.connection.cancel_unsent(write):\n",
            "        if True:\n",
        ),
    ),
    Mutant(
        "an attempt that waits for a disconnected client is not cancelled",
        "kelptrail/platform/decision_executor.py",
        "        if request is not None and self.client_requests.pop(request, None) is not None:\n",
        "        if False:\n",
    ),
    Mutant(
        "an at-most-once request is retried",
        "kelptrail/dispatch/safety.py",
        "else 0.0\n",
        'else float("inf")\n',
    ),
    Mutant(
        "a deduplicated request is retried past its window",
        "kelptrail/dispatch/safety.py",
        "first.started_at + request.request_class.deduplication_window_ms - DEDUPLICATION_MARGIN_MS",
        'float("inf")',
    ),
    Mutant(
        "the time limit passed to a worker ignores the time already spent",
        "kelptrail/platform/decision_executor.py",
        "limit_ms = int(request.deadline - now)",
        "limit_ms = int(request.deadline - request.received_at)",
    ),
    Mutant(
        "a worker in slow start gets as many calls as a warm worker",
        "kelptrail/dispatch/slow_start.py",
        "        if (capacity := self.capacity_factor(now, worker)) >= 1:\n            return True\n        budget",
        "        return True\n        capacity = 1.0\n        budget",
    ),
    Mutant(
        "a transient failure of a send ends the connection",
        "kelptrail/net/errors.py",
        "    return cause.errno in TRANSIENT\n",
        "    return False\n",
    ),
    Mutant(
        "connections are closed with requests or output pending",
        "kelptrail/platform/client_connections.py",
        "        if client.open_requests or client.has_pending_io(within_frame):\n            return False\n",
        "",
    ),
    Mutant(
        "shutdown does not wait for open requests, and leaves them unanswered",
        "kelptrail/platform/graceful_shutdown.py",
        "if self._has_open_work() and now < plan.finish_by:",
        "if self._has_open_work() and False:",
        Edit(
            "kelptrail/platform/graceful_shutdown.py",
            "            self._executor.answer_final(self._engine.terminate(now, request))\n",
            "            pass\n",
        ),
    ),
    Mutant(
        "a process that shuts down drops one answer",
        "kelptrail/platform/client_server.py",
        "            client.connection.write(frames.encode_answer(request.stream, code, body, retry_after_ms))\n",
        "            if self.ready or hasattr(self, 'dropped'):\n"
        "                client.connection.write(frames.encode_answer(request.stream, code, body, retry_after_ms))\n"
        "            else:\n"
        "                self.dropped = request.id\n",
    ),
    Mutant(
        "a disconnected client in the accept queue stops the accepting of further clients",
        "kelptrail/net/errors.py",
        "    return cause.errno in ACCEPT_RETRYABLE\n",
        "    return False\n",
    ),
    Mutant(
        "a start fails at the first shortage of local resources",
        "kelptrail/platform/__main__.py",
        "            if not is_local_shortage(cause) or",
        "            if True or",
    ),
    Mutant(
        "draining workers get attempts",
        "kelptrail/dispatch/entities.py",
        "        return self.state is WorkerState.LIVE\n",
        "        return self.state is not WorkerState.REMOVED\n",
    ),
    Mutant(
        "information from the endpoint list never becomes too old",
        "kelptrail/dispatch/readiness.py",
        "        return now < max(self._notified_at, worker.ready_proven_at) + self._limits.drain_grace_ms\n",
        "        return True\n",
    ),
    Mutant(
        "an answer is written twice",
        "kelptrail/platform/client_server.py",
        "            client.connection.write(frames.encode_answer(request.stream, code, body, retry_after_ms))\n",
        "            client.connection.write(frames.encode_answer(request.stream, code, body, retry_after_ms) * 2)\n",
    ),
)


def run_soak(mutant: Mutant, seeds: int, first: int, folder: Path) -> str | None:
    """Return the first seed at which the soak fails on a copy without the guard, and its first problem.

    Returns None if the soak passes with all seeds.  Raises `EditMismatchError`."""
    sources = folder / "sources"
    shutil.rmtree(sources, ignore_errors=True)
    for part in ("kelptrail", "bench"):
        shutil.copytree(ROOT / part, sources / part, ignore=shutil.ignore_patterns("tmp*", "__pycache__"))
    mutant.apply(sources)
    for seed in range(first, first + seeds):
        command = [sys.executable, "bench/soak.py", "--seeds", "1", "--first", str(seed)]
        done = subprocess.run(command, cwd=sources, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
        if done.returncode:
            found = [line.strip() for line in done.stdout.splitlines() if line.startswith("    ")]
            return f"seed {seed}: {found[0] if found else done.stderr[-300:]}"
    return None


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=4, help="number of seeds to try on each mutant")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--only", help="only mutants whose name contains this")
    options = parser.parse_args()
    missed = 0
    with tempfile.TemporaryDirectory() as folder:
        for mutant in MUTANTS:
            if options.only and options.only not in mutant.name:
                continue
            try:
                found = run_soak(mutant, options.seeds, options.first, Path(folder))
                missed += found is None
            except EditMismatchError as mismatch:
                found = f"NOT RUN: {mismatch}"
                missed += 1
            print(f"{mutant.name}: {found or 'NEVER FOUND'}", flush=True)
    print(f"{missed} mutants were not found")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
