"""What becomes of an activation that a crash left without its final answer, and in which order; free of I/O.

It goes by the effect and by what is written of its sends: never sent ones run again inside their time, repeatable ones
may run again, deduplicated ones only while the group remembers the mark, once-only ones that may have run are aborted.
The wall clock is all that a restart leaves; where it went back, the time left is taken as the shorter.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from kelptrail.dispatch.entities import FinalStatus, Idempotency

from .activation_journal import ActivationEntries

WAS_DOWN = "Its dispatcher was down until its time was up"


@dataclass(frozen=True, slots=True)
class RecoveryRule:
    """What must be known of a namespace type."""

    idempotency: Idempotency
    scope: str  # of deduplication: "all", "zone" or "cell"
    deduplication_window_ms: float
    utility: float


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Give it its final answer now."""

    entries: ActivationEntries
    answer: FinalStatus  # REJECTED or FAILED
    reason: str


@dataclass(frozen=True, slots=True)
class ResumeRequest:
    """Take it up again, with so much time left; `again_ms`: for how much longer a repeat is dropped, None: any time."""

    entries: ActivationEntries
    remaining_ms: float
    deduplicated_for_ms: float | None
    priority: float


def decide_recovery(
    life: ActivationEntries, rule: RecoveryRule, wall: float, least_ms: float
) -> EndRequest | ResumeRequest:
    """What becomes of one; `least_ms` is the least time in which a run is worth beginning."""
    accepted, ran = life.accepted, life.may_run
    gone = wall - accepted.start
    if gone < 0:  # the clock went back: nobody knows for how long it was down
        gone = accepted.timeout_ms
    left = accepted.timeout_ms - gone
    if ran is not None and rule.idempotency is Idempotency.AT_MOST_ONCE:
        return EndRequest(
            life, FinalStatus.FAILED, "It may have run when its dispatcher failed, and must not run twice"
        )
    if ran is not None and rule.idempotency is Idempotency.DEDUPLICATED:
        again = rule.deduplication_window_ms - max(0.0, wall - ran.sent)
        if rule.scope != "all":
            return EndRequest(
                life, FinalStatus.FAILED, "It may have run when its dispatcher failed, at a group that is not known now"
            )
        if again <= least_ms:
            return EndRequest(
                life,
                FinalStatus.FAILED,
                "It may have run when its dispatcher failed; a repeat would not be dropped now",
            )
        if left <= least_ms:
            return EndRequest(life, FinalStatus.FAILED, WAS_DOWN + "; it may have run")
        return ResumeRequest(life, left, again, rule.utility / left)
    if left <= least_ms:
        return EndRequest(life, FinalStatus.REJECTED, WAS_DOWN)
    return ResumeRequest(life, left, None, rule.utility / left)


class ResumeQueue:
    """Which to resume next: the most utility for the time left first, only so many at once, so that a restart is no
    storm of its own; what new calls leave undone comes first to its end."""

    def __init__(self, found: list[ResumeRequest], at_once: int, least_ms: float) -> None:
        self._left = deque(sorted(found, key=lambda r: -r.priority))
        self._at_once, self._least_ms, self._out = at_once, least_ms, 0

    def __len__(self) -> int:
        return len(self._left)

    def next(self, since_ms: float) -> ResumeRequest | EndRequest | None:
        """The next to take up, or to end as its time ran out while it waited; None: not now.  `since_ms`: how long
        after `judge`."""
        if not self._left:
            return None
        first = self._left[0]
        if first.remaining_ms - since_ms <= self._least_ms:
            self._left.popleft()
            ran = first.entries.may_run is not None and first.deduplicated_for_ms is not None
            return EndRequest(first.entries, FinalStatus.FAILED if ran else FinalStatus.REJECTED, WAS_DOWN)
        if self._out >= self._at_once:
            return None
        self._left.popleft()
        self._out += 1
        return first

    def add(self, found: list[ResumeRequest], since_ms: float) -> None:
        """More that was found, so long after `judge` was asked about the first."""
        later = [
            replace(
                r,
                remaining_ms=r.remaining_ms + since_ms,
                deduplicated_for_ms=None if r.deduplicated_for_ms is None else r.deduplicated_for_ms + since_ms,
            )
            for r in found
        ]
        self._left = deque(sorted([*self._left, *later], key=lambda r: -r.priority))

    def remove(self, ids: Iterable[str]) -> None:
        """Others go on with these."""
        gone = set(ids)
        self._left = deque(r for r in self._left if r.entries.accepted.id not in gone)

    def on_finished(self) -> None:
        """One that was resumed has its final answer."""
        self._out -= 1
