"""Takes one guard at a time out of a scratch copy and plays the soak on it: each has to turn the soak red.

    python bench/soak_mutants.py --seeds 4

Prints for each mutant the first seed that found it and what was found.  Exit code 1 where one was never found.
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


@dataclass(frozen=True, slots=True)
class Edit:
    """One place of a guard, and what stands there without it."""

    file: str
    old: str
    new: str


class Mutant:
    """A guard, and how it is taken out: in all its places, where it has more than one."""

    def __init__(self, name: str, file: str, old: str, new: str, *further: Edit) -> None:
        self.name = name
        self.edits = (Edit(file, old, new), *further)


MUTANTS = (
    Mutant(
        "an attempt begins whatever came after its decision",
        "kelptrail/dispatch/safety.py",
        "        if not (item.instance.worker.live and now < item.latest_start):\n            return False\n"
        "        if isinstance(item, LoadOrder):\n            return item.instance.load_order is item\n"
        "        return item.status is None and not item.cancelled and item.request.final_status is None\n",
        "        return True\n",
        Edit(
            "kelptrail/platform/worker_connections.py",
            "        if piece is not None and self.link is not None and not self.link.cancel_unsent(piece):\n",
            "        if True:\n",
        ),
    ),
    Mutant(
        "what waits for a client that went is not taken back",
        "kelptrail/platform/service.py",
        "        if request.act is not None and self._requests.pop(request.act, None) is not None:\n",
        "        if False:\n",
    ),
    Mutant(
        "a once-only request is repeated",
        "kelptrail/dispatch/safety.py",
        "else 0.0\n",
        'else float("inf")\n',
    ),
    Mutant(
        "a deduplicated request is repeated past its window",
        "kelptrail/dispatch/safety.py",
        "first.sent + act.type.remembered_ms - 20",
        'float("inf")',
    ),
    Mutant(
        "the limit is that of the decision",
        "kelptrail/platform/service.py",
        "limit_ms = int(act.deadline - now)",
        "limit_ms = int(act.deadline - act.taken)",
    ),
    Mutant(
        "a worker in slow start gets what a warm one gets",
        "kelptrail/dispatch/slow_start.py",
        "        if (warmth := self.warmth(now, worker)) >= 1:\n            return True\n        budget",
        "        return True\n        warmth = 1.0\n        budget",
    ),
    Mutant(
        "a momentary failure of send ends the connection",
        "kelptrail/net/errors.py",
        "    return cause.errno in TRANSIENT\n",
        "    return False\n",
    ),
    Mutant(
        "connections are closed whatever stands in them",
        "kelptrail/platform/client_server.py",
        "        if client.open or self._under_way(client):\n            return False\n",
        "",
    ),
    Mutant(
        "the end does not wait for what is in hand, and leaves it unanswered",
        "kelptrail/platform/service.py",
        "if unfinished and now < plan.end:",
        "if False:",
        Edit(
            "kelptrail/platform/service.py",
            "            self._final(self._host.stopped(now, act))\n",
            "            pass\n",
        ),
    ),
    Mutant(
        "an aborted client ends the queue",
        "kelptrail/net/errors.py",
        "    return cause.errno in CLIENT_GONE\n",
        "    return False\n",
    ),
    Mutant(
        "a start gives up at the first failure",
        "kelptrail/platform/__main__.py",
        "            if not is_local_shortage(cause) or",
        "            if True or",
    ),
    Mutant(
        "workers that drain are sent to",
        "kelptrail/dispatch/entities.py",
        "        return self.state is State.LIVE\n",
        "        return self.state is not State.GONE\n",
    ),
    Mutant(
        "an answer is given twice",
        "kelptrail/platform/client_server.py",
        "            client.link.write(frames.answer(request.stream, code, body, later_ms))\n",
        "            client.link.write(frames.answer(request.stream, code, body, later_ms) * 2)\n",
    ),
)


def play(mutant: Mutant, seeds: int, first: int, folder: Path) -> str | None:
    """What the soak says of a copy without the guard: the line of the first seed that finds it, or None."""
    copy = folder / "copy"
    shutil.rmtree(copy, ignore_errors=True)
    for part in ("kelptrail", "bench"):
        shutil.copytree(ROOT / part, copy / part, ignore=shutil.ignore_patterns("tmp*", "__pycache__"))
    for edit in mutant.edits:
        file = copy / edit.file
        text = file.read_text()
        if text.count(edit.old) != 1:
            return f"NOT PLAYED: its text stands {text.count(edit.old)} times in {edit.file}"
        file.write_text(text.replace(edit.old, edit.new))
    for seed in range(first, first + seeds):
        command = [sys.executable, "bench/soak.py", "--seeds", "1", "--first", str(seed)]
        done = subprocess.run(command, cwd=copy, capture_output=True, text=True, timeout=300)
        if done.returncode:
            found = [line.strip() for line in done.stdout.splitlines() if line.startswith("    ")]
            return f"seed {seed}: {found[0] if found else done.stderr[-300:]}"
    return None


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=4, help="seeds until a mutant counts as never found")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--only", help="mutants whose name holds this")
    asks = parser.parse_args()
    missed = 0
    with tempfile.TemporaryDirectory() as folder:
        for mutant in MUTANTS:
            if asks.only and asks.only not in mutant.name:
                continue
            found = play(mutant, asks.seeds, asks.first, Path(folder))
            missed += found is None or found.startswith("NOT PLAYED")
            print(f"{mutant.name}: {found or 'NEVER FOUND'}", flush=True)
    print(f"{missed} mutants were not found")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
