"""How long what is known of a worker's readiness may be relied on, and where it comes from.

The endpoint list tells which workers drain.  What it would have told counts as notified some time after it
was last heard, whether it can be reached or not; past that, and the grace for new work, only the worker
itself can prove that it does not drain.  Proof is an answer that a draining worker would not have given, and
it is as old as its question.  Times are milliseconds.  Source: the platform's protocol pages, rule on
draining workers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

from .entities import LONG_AGO, NEVER, Attempt, AttemptStatus, Idempotency, LoadOrder, ProbeKind, Worker

EARLY_SHARE = (
    0.1  # of the notification time: each process stops relying on its list earlier by its own part of this
)
# Of the notification time without a word of the list: it may be out of reach.
PRESUMED_OUTAGE_SHARE = 0.5
ANSWER_PATIENCE_MS = 100.0  # a worker that did not answer a question by then is passed over
CRC_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class ReadinessLimits:
    """How old what the endpoint list said may become."""

    notification_ms: float = NEVER  # a change counts as notified so long after the list was last heard
    # The same after a connection to the list broke.
    broken_notification_ms: float = NEVER
    drain_grace_ms: float = 0.0  # new work may start so long after the notification
    # What may be asked of a worker without starting work; a ready worker answers all of it.
    probe_kinds: Sequence[ProbeKind] = ()


class Readiness:
    """Whether new work may still start at a worker, as far as its readiness is known."""

    def __init__(self, limits: ReadinessLimits, seed: int = 0) -> None:
        self._limits = limits
        early_share = EARLY_SHARE * crc32(f"{seed} readiness".encode()) / CRC_RANGE
        self._notification_ms = limits.notification_ms * (1 - early_share)
        self._heard_at = LONG_AGO
        self.presumes_restarts = False  # of workers whose connection was lost since the list was last heard
        self._notified_at = NEVER  # when a change that the list could not tell counts as notified

    @property
    def probe_kinds(self) -> Sequence[ProbeKind]:
        """What may be asked of a worker."""
        return self._limits.probe_kinds

    @property
    def proof_lifetime_ms(self) -> float:
        """How long a proof of readiness lasts, from its question on."""
        return self._limits.drain_grace_ms

    @property
    def list_expires_at(self) -> float:
        """From when on new work needs a worker's own proof."""
        return self._notified_at + self._limits.drain_grace_ms

    def on_list_heard(self, now: float) -> None:
        """The endpoint list is complete as of now."""
        self._heard_at, self._notified_at = now, now + self._notification_ms
        self.presumes_restarts = False

    def on_list_lost(self, now: float) -> None:
        """The connection to the endpoint list broke, or could not be made."""
        self._notified_at = min(self._notified_at, now + self._limits.broken_notification_ms)

    def on_initial_list(self, now: float) -> None:
        """A list from the configuration or the disk was applied.  Its age is unknown, so a change since then
        counts as notified already.
        """
        if self._limits.notification_ms < NEVER:
            self._heard_at, self._notified_at = LONG_AGO, now

    def list_is_stale(self, now: float) -> bool:
        """Whether the list alone allows no new work any more."""
        return now >= self.list_expires_at

    def is_known(self, now: float, worker: Worker) -> bool:
        """Whether new work may start at a worker that the list has as live."""
        return now < max(self._notified_at, worker.ready_proven_at) + self._limits.drain_grace_ms

    def may_become_known(self, now: float, worker: Worker) -> bool:
        """Whether the worker's readiness is known, or soon may be: by an answer that is due, or by asking.
        Guards against requests that wait for a worker that hangs while others would answer.
        """
        if self.is_known(now, worker):
            return True
        question = worker.readiness_question
        hangs = question is not None and now >= question.asked_at + ANSWER_PATIENCE_MS
        return bool(self.probe_kinds) and not hangs and now >= worker.ask_again_at

    def on_answer(self, item: Attempt | LoadOrder, status: AttemptStatus) -> bool:
        """Record what an answer proves; True if it proves that the worker was ready when it was asked.  A
        draining worker turns new work away; it may repeat the answer to a deduplicated request, and a missing
        instance, an error or a rejection may come from any worker.
        """
        if status is not AttemptStatus.COMPLETED:
            return False
        if isinstance(item, Attempt) and item.request.request_class.idempotency is Idempotency.DEDUPLICATED:
            return False
        decided_at = item.started_at if isinstance(item, Attempt) else item.placed_at
        asked_at = decided_at if item.write_started_at is None else item.write_started_at
        worker = item.instance.worker
        worker.ready_proven_at = max(worker.ready_proven_at, asked_at)
        return True

    def on_connection_lost(self, now: float, worker: Worker) -> bool:
        """A connection to the worker was refused, or ended under an item.  True if the list could not tell by
        now that the worker was started anew: it counts as started now, and has to prove its readiness again.
        """
        if self._notified_at == NEVER or now < self._heard_at + PRESUMED_OUTAGE_SHARE * self._notification_ms:
            return False
        worker.ready_proven_at, worker.assumed_started_at = LONG_AGO, now
        self.presumes_restarts = True
        return True
