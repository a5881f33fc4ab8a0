"""Recovery of activations that a crash left without a final answer: which are resumed, in which order; free of I/O.

The decision depends on the request class and on the journal's entries about attempts.  Requests that were never
attempted and idempotent ones run within their timeout; deduplicated ones only as long as all workers still drop a
repeat; at-most-once requests that may have run fail.  After a restart only the wall clock is usable; if it shows a time
before the request's acceptance, the request's timeout counts as expired.
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
    """The properties of a request class that recovery depends on."""

    idempotency: Idempotency
    scope: str  # deduplication scope: "all", "zone" or "cell"
    deduplication_window_ms: float
    priority_weight: float


@dataclass(frozen=True, slots=True)
class EndRequest:
    """Give the request its final answer now."""

    entries: ActivationEntries
    answer: FinalStatus  # REJECTED or FAILED
    reason: str


@dataclass(frozen=True, slots=True)
class ResumeRequest:
    """Run the request, with `remaining_ms` left of its timeout.

    `deduplicated_for_ms` is how much longer the workers drop a repeat, or None where the request is idempotent or was
    never attempted.
    """

    entries: ActivationEntries
    remaining_ms: float
    deduplicated_for_ms: float | None
    priority: float  # priority weight divided by `remaining_ms`


def decide_recovery(
    entries: ActivationEntries, rule: RecoveryRule, wall: float, min_run_ms: float
) -> EndRequest | ResumeRequest:
    """Decide how to recover one activation.

    A request is not run if `min_run_ms` or less is left of its timeout, or of the deduplication window that it needs.
    """
    accepted, may_run = entries.accepted, entries.may_run
    elapsed = wall - accepted.start
    if elapsed < 0:  # the wall clock was set back, so the time since acceptance is unknown
        elapsed = accepted.timeout_ms
    remaining_ms = accepted.timeout_ms - elapsed
    if may_run is not None and rule.idempotency is Idempotency.AT_MOST_ONCE:
        return EndRequest(
            entries, FinalStatus.FAILED, "It may have run when its dispatcher failed, and must not run twice"
        )
    if may_run is not None and rule.idempotency is Idempotency.DEDUPLICATED:
        deduplicated_for_ms = rule.deduplication_window_ms - max(0.0, wall - may_run.sent)
        if rule.scope != "all":
            return EndRequest(
                entries,
                FinalStatus.FAILED,
                "It may have run when its dispatcher failed, at a group that is not known now",
            )
        if deduplicated_for_ms <= min_run_ms:
            return EndRequest(
                entries,
                FinalStatus.FAILED,
                "It may have run when its dispatcher failed; a repeat would not be dropped now",
            )
        if remaining_ms <= min_run_ms:
            return EndRequest(entries, FinalStatus.FAILED, WAS_DOWN + "; it may have run")
        return ResumeRequest(entries, remaining_ms, deduplicated_for_ms, rule.priority_weight / remaining_ms)
    if remaining_ms <= min_run_ms:
        return EndRequest(entries, FinalStatus.REJECTED, WAS_DOWN)
    return ResumeRequest(entries, remaining_ms, None, rule.priority_weight / remaining_ms)


def _with_earlier_origin(resume: ResumeRequest, ms: float) -> ResumeRequest:
    """Return the request with its remaining times counted from `ms` before now instead of from now."""
    window = resume.deduplicated_for_ms
    return replace(
        resume,
        remaining_ms=resume.remaining_ms + ms,
        deduplicated_for_ms=None if window is None else window + ms,
    )


class ResumeQueue:
    """Requests to resume: the highest priority first, at most `max_concurrent` at once.

    The limit prevents a restart from overloading the workers.
    """

    def __init__(self, resumable: list[ResumeRequest], max_concurrent: int, min_run_ms: float) -> None:
        self._waiting = deque(sorted(resumable, key=lambda resume: -resume.priority))
        self._max_concurrent, self._min_run_ms, self._resumed = max_concurrent, min_run_ms, 0

    def __len__(self) -> int:
        return len(self._waiting)

    def next(self, since_ms: float) -> ResumeRequest | EndRequest | None:
        """Return the next request to resume, or to end if its time ran out in the queue; None if there is none now.

        `since_ms` is the time since the queue was created, from which the remaining times of its requests count.
        """
        if not self._waiting:
            return None
        first = self._waiting[0]
        if first.remaining_ms - since_ms <= self._min_run_ms:
            self._waiting.popleft()
            may_run = first.entries.may_run is not None and first.deduplicated_for_ms is not None
            return EndRequest(first.entries, FinalStatus.FAILED if may_run else FinalStatus.REJECTED, WAS_DOWN)
        if self._resumed >= self._max_concurrent:
            return None
        self._waiting.popleft()
        self._resumed += 1
        return first

    def add(self, resumable: list[ResumeRequest], since_ms: float) -> None:
        """Add requests whose remaining times count from now, `since_ms` after the queue was created."""
        added = [_with_earlier_origin(resume, since_ms) for resume in resumable]
        self._waiting = deque(sorted([*self._waiting, *added], key=lambda resume: -resume.priority))

    def remove(self, ids: Iterable[str]) -> None:
        """Remove requests that other dispatchers have taken over."""
        taken_over = set(ids)
        self._waiting = deque(resume for resume in self._waiting if resume.entries.accepted.id not in taken_over)

    def on_finished(self) -> None:
        """Record that a resumed request has its final answer or was taken over by another dispatcher."""
        self._resumed -= 1
