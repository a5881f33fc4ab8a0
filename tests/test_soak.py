"""The short twin of bench/soak.py, and the parts of it that judge."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "bench"))

from soak import CommandReader  # noqa: E402


@pytest.mark.rigs
def test_the_invariants_hold_through_troubles_that_overlap() -> None:
    command = [sys.executable, "bench/soak.py", "--seeds", "1", "--seconds", "8", "--processes", "12"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "0 days with a problem" in done.stdout


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_commands_are_read_from_any_split(size: int) -> None:
    data = b"CALL a cls=t,limit=5 12\r\nCANCEL b\r\nx!\r\nLOAD o1 item=1,units=2\r\nCALL b cls=t 0\r\n\r\nCANCEL a\r\n"
    reader, found = CommandReader(), []
    for at in range(0, len(data), size):
        found += reader.feed(data[at : at + size])
    assert [words[0] for words in found] == ["CALL", "LOAD", "CALL", "CANCEL"]
