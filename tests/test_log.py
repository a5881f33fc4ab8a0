"""The log of the platform's dispatcher: limited per event, never losing a count, never holding the process up."""

from __future__ import annotations

import os

import pytest

from kelptrail.platform import log
from kelptrail.platform.log import EventLog


@pytest.fixture
def pipe(monkeypatch: pytest.MonkeyPatch) -> tuple[int, int]:
    """A pipe in place of standard output: its reading end and its writing end."""
    reading, writing = os.pipe()
    monkeypatch.setattr(log, "STANDARD_OUTPUT", writing)
    os.set_blocking(reading, False)
    return reading, writing


def lines(reading: int) -> list[str]:
    return os.read(reading, 1 << 20).decode().splitlines()


def test_lines_are_limited_per_event_and_every_one_is_counted(
    pipe: tuple[int, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    seconds = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: seconds[0])
    note = EventLog(lines_per_s=3)
    for number in range(10):
        note("request refused", request=number)
    note("list", number=1)
    found = lines(pipe[0])
    assert [line.split(" ", 1)[1] for line in found] == [
        "request refused request=0",
        "request refused request=1",
        "request refused request=2",
        "list number=1",
    ]
    seconds[0] += 1
    note("request refused", request=10)
    assert lines(pipe[0])[0].endswith("request refused request=10 skipped=7")
    assert note.counts == {"request refused": 11, "list": 1}


def test_reasons_of_one_event_are_limited_and_counted_apart(pipe: tuple[int, int]) -> None:
    note = EventLog(lines_per_s=1)
    for reason in ("idle", "idle", "no room"):
        note("connection closed", reason=reason)
    assert len(lines(pipe[0])) == 2
    assert note.counts == {"connection closed: idle": 2, "connection closed: no room": 1}


def test_a_full_pipe_delays_nothing_and_its_lines_are_counted(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    os.set_blocking(writing, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(writing, b"x" * 4096)
    os.set_blocking(writing, True)  # as standard output is: a write would wait for its reader
    note = EventLog()
    note("list", number=1)
    assert note.counts["list"] == 1
    os.read(reading, 1 << 20)
    note("list", number=2)
    assert lines(reading)[-1].endswith("list number=2 skipped=1")


def test_a_reader_that_has_gone_ends_nothing(pipe: tuple[int, int]) -> None:
    os.close(pipe[0])
    EventLog()("list", number=1)
