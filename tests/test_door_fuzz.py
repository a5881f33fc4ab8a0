"""A short run of bench/door_fuzz.py: processes of the program under signals, closes and answers at random."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


@pytest.mark.rigs
def test_the_rules_hold_through_random_signals_closes_and_answers() -> None:
    done = subprocess.run(
        [sys.executable, "bench/door_fuzz.py", "--days", "1", "--seconds", "5"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "0 days with a problem" in done.stdout
