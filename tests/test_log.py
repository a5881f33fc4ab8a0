"""The log of the platform's dispatcher: rate limited per event, with complete counts, never blocking the process."""

from __future__ import annotations

import os

import pytest

from kelptrail.platform import log
from kelptrail.platform.log import EventLog


@pytest.fixture
def pipe(monkeypatch: pytest.MonkeyPatch) -> tuple[int, int]:
    """Replace standard output by a pipe; return its reading end and its writing end."""
    reading, writing = os.pipe()
    monkeypatch.setattr(log, "STANDARD_OUTPUT", writing)
    os.set_blocking(reading, False)
    return reading, writing


def lines(reading: int) -> list[str]:
    return os.read(reading, 1 << 20).decode().splitlines()


def test_lines_are_rate_limited_per_event_and_all_events_are_counted(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    seconds = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: seconds[0])
    log_event = EventLog(lines_per_s=3)
    for number in range(10):
        log_event("request refused", request=number)
    log_event("list", number=1)
    found = lines(pipe[0])
    assert [line.split(" ", 1)[1] for line in found] == [
        "request refused request=0",
        "request refused request=1",
        "request refused request=2",
        "list number=1",
    ]
    seconds[0] += 1
    log_event("request refused", request=10)
    assert lines(pipe[0])[0].endswith("request refused request=10 skipped=7")
    assert log_event.counts == {"request refused": 11, "list": 1}


def test_reasons_of_one_event_are_limited_and_counted_separately(pipe: tuple[int, int]) -> None:
    log_event = EventLog(lines_per_s=1)
    for reason in ("idle", "idle", "no room"):
        log_event("connection closed", reason=reason)
    assert len(lines(pipe[0])) == 2
    assert log_event.counts == {"connection closed: idle": 2, "connection closed: no room": 1}


def test_a_full_pipe_does_not_block_and_skipped_lines_are_counted(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    os.set_blocking(writing, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writing, b"x" * 4096)
    os.set_blocking(writing, True)  # like standard output: a write would block until the pipe is read
    log_event = EventLog()
    log_event("list", number=1)
    assert log_event.counts["list"] == 1
    os.read(reading, 1 << 20)
    log_event("list", number=2)
    assert lines(reading)[-1].endswith("list number=2 skipped=1")


def test_a_closed_log_pipe_raises_no_error(pipe: tuple[int, int]) -> None:
    os.close(pipe[0])
    EventLog()("list", number=1)
