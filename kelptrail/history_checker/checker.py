"""Checks the rules against captured traffic: clients' calls and answers, work at the workers, endpoint lists, leases.

Rule 1 is about answers, rule 2 about side effects, rule 3 about draining, rule 4 about slow start and rule 5 about the
load ration.  Leases have rules of their own.

This package imports nothing else from kelptrail.  Where the time of an event is uncertain, the checker assumes the time
that is in the dispatcher's favour.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path

from .answers import AnswerCheck, check_attempts_after_final, check_attempts_after_part
from .effects import check_effects
from .history import Event, History
from .lease_rules import check_leases
from .result import CheckResult
from .worker_rules import check_draining, check_load_ration, check_slow_start


class CaptureError(ValueError):
    """Raised for a line of a capture that is not valid JSON."""


def read_captures(folder: Path) -> list[Event]:
    """Return the events of all captures in a folder, in order of time.

    A process that is killed may leave an incomplete last line, so that an invalid last line is skipped.  Raises
    `CaptureError` for the first other line that is not valid JSON.
    """
    events: list[Event] = []
    for file in sorted(folder.glob("*.jsonl")):
        lines = file.read_text(encoding="utf-8").split("\n")
        for number, line in enumerate(lines):
            if not line:
                continue
            try:
                events.append(json.loads(line))
            except ValueError:
                if number < len(lines) - 2:
                    raise CaptureError(f"{file.name}:{number + 1} is not a valid capture line") from None
    events.sort(key=lambda event: event["t"])
    return events


def check_history(events: Iterable[Event]) -> CheckResult:
    """Check all rules against the events of one run."""
    history, result = History(events), CheckResult()
    AnswerCheck(history, result).run()
    check_effects(history, result)
    check_attempts_after_final(history, result)
    check_attempts_after_part(history, result)
    check_draining(history, result)
    check_slow_start(history, result)
    check_load_ration(history, result)
    check_leases(history, result)
    result.attempts = len(history.events_of("send"))
    result.loads = len(history.load_orders())
    result.effects = len(history.events_of("effect"))
    return result
