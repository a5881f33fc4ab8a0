"""Tests of bench/platform_fuzz.py, which runs the platform's program under random faults, and of its fake workers."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import uvloop

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "bench"))

from fault_injection import workers  # noqa: E402
from fault_injection.run_state import RunState, WorkerBehavior  # noqa: E402


def test_a_second_answer_on_a_closed_connection_is_dropped(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A fake worker sends the second answer up to 20 ms after the first one, so the connection may have ended before.

    Here the test is the client, and aborts the connection after the first answer.  No error may reach the event loop.
    """
    monkeypatch.setattr(workers, "CALL_BEHAVIORS", [WorkerBehavior.NOT_LOADED_TWICE])
    errors: list[dict[str, Any]] = []

    async def call_and_reset() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        fake_workers = workers.FakeWorkers(RunState(1, tmp_path))
        await fake_workers.open()
        for _ in range(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", fake_workers.ports[0])
            writer.write(b"CALL a cls=t,limit=5 1\r\nx\r\n")
            assert await reader.readline() == b"a MISS - 0\r\n"
            writer.transport.abort()
        await asyncio.sleep(0.1)

    uvloop.run(call_and_reset())
    assert errors == []


@pytest.mark.scenarios
def test_no_rule_is_violated_under_random_signals_closes_and_answers() -> None:
    """Short run: processes get random signals, connections close at random, and workers answer at random.

    The run checks the five rules (kelptrail/dispatch/safety.py) and two further conditions.
    """
    done = subprocess.run(
        [sys.executable, "bench/platform_fuzz.py", "--days", "1", "--seconds", "5"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "0 runs with a problem" in done.stdout
