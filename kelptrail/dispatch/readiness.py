"""Decides how long a worker counts as ready according to the endpoint list or its own answers.

The endpoint list reports which workers drain.  A change of the list counts as notified a fixed time after the
list was last confirmed, whether its source is reachable or not.  After that time and the grace time for new
work, only the worker itself can prove that it does not drain.  The proof is an answer that a draining worker
would not have given; it is dated from the time at which the answered item was sent.  Times are milliseconds.
Source: the platform's protocol pages, rule on draining workers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from zlib import crc32

from .entities import LONG_AGO, NEVER, Attempt, AttemptStatus, Idempotency, LoadOrder, ProbeKind, Worker

# Each process shortens the notification time by a part that its seed selects, of at most this share, so that
# not all processes stop relying on their lists at once.
EARLY_SHARE = 0.1
# The source of the list counts as possibly unreachable if the list was not confirmed for this share of the
# notification time.
ASSUMED_OUTAGE_SHARE = 0.5
ANSWER_TIMEOUT_MS = 100.0  # a worker that has not answered a question within this time is skipped
CRC_RANGE = 2**32


@dataclass(frozen=True, slots=True)
class ReadinessLimits:
    """Time limits on the use of an endpoint list that is no longer confirmed."""

    # A change counts as notified when this time has passed since the list was last confirmed.
    notification_ms: float = NEVER
    # A change counts as notified when this time has passed since the connection to the list broke.
    broken_notification_ms: float = NEVER
    drain_grace_ms: float = 0.0  # time after a notification during which new work may still start
    # Probes that may be sent to a worker; they start no work, and a ready worker answers all of them.
    probe_kinds: Sequence[ProbeKind] = ()


class Readiness:
    """Decides whether the readiness of a worker is known, so that new work may start there."""

    def __init__(self, limits: ReadinessLimits, seed: int = 0) -> None:
        self._limits = limits
        early_share = EARLY_SHARE * crc32(f"{seed} readiness".encode()) / CRC_RANGE
        self._notification_ms = limits.notification_ms * (1 - early_share)
        self._confirmed_at = LONG_AGO
        # Whether a worker lost its connection since the list was last confirmed and may have restarted.
        self.assumes_restarts = False
        self._notified_at = NEVER  # time from which on an unreported change counts as notified

    @property
    def probe_kinds(self) -> Sequence[ProbeKind]:
        """The probes that may be sent to a worker."""
        return self._limits.probe_kinds

    @property
    def proof_lifetime_ms(self) -> float:
        """The time for which a proof of readiness is valid, counted from the sending of the answered item."""
        return self._limits.drain_grace_ms

    @property
    def list_expires_at(self) -> float:
        """The time from which on new work needs a proof of readiness from the worker."""
        return self._notified_at + self._limits.drain_grace_ms

    def on_list_confirmed(self, now: float) -> None:
        """Record that the endpoint list is complete as of now."""
        self._confirmed_at, self._notified_at = now, now + self._notification_ms
        self.assumes_restarts = False

    def on_list_lost(self, now: float) -> None:
        """Record that the connection to the endpoint list broke, or could not be made."""
        self._notified_at = min(self._notified_at, now + self._limits.broken_notification_ms)

    def on_initial_list(self, now: float) -> None:
        """Record that a list of unknown age was applied, as one from the configuration or the disk.  A change
        that it does not contain counts as notified now.
        """
        if self._limits.notification_ms < NEVER:
            self._confirmed_at, self._notified_at = LONG_AGO, now

    def list_is_stale(self, now: float) -> bool:
        """Return whether new work needs a proof of readiness, because the list is too old."""
        return now >= self.list_expires_at

    def is_known(self, now: float, worker: Worker) -> bool:
        """Return whether the list or a proof of readiness allows new work at a worker that is live in the
        list.
        """
        return now < max(self._notified_at, worker.ready_proven_at) + self._limits.drain_grace_ms

    def may_become_known(self, now: float, worker: Worker) -> bool:
        """Return whether the worker's readiness is known or can soon be: through the answer to a question in
        flight, or by sending one.  A worker that does not answer is excluded, so that requests do not wait
        for it while others would answer.
        """
        if self.is_known(now, worker):
            return True
        question = worker.readiness_question
        hangs = question is not None and now >= question.asked_at + ANSWER_TIMEOUT_MS
        return bool(self.probe_kinds) and not hangs and now >= worker.next_question_at

    def on_answer(self, item: Attempt | LoadOrder, status: AttemptStatus) -> bool:
        """Record an answer; return whether it proves that the worker was ready when the item was sent.  A
        draining worker refuses new work, so that a completed attempt or load order is a proof.  The answer to
        a deduplicated request is no proof, as a draining worker may repeat an earlier answer.  A missing
        instance, an error or a rejection is no proof either, as any worker may return it.
        """
        if status is not AttemptStatus.COMPLETED:
            return False
        if isinstance(item, Attempt) and item.request.request_class.idempotency is Idempotency.DEDUPLICATED:
            return False
        decided_at = item.started_at if isinstance(item, Attempt) else item.placed_at
        sent_at = decided_at if item.write_started_at is None else item.write_started_at
        worker = item.instance.worker
        worker.ready_proven_at = max(worker.ready_proven_at, sent_at)
        return True

    def on_connection_lost(self, now: float, worker: Worker) -> bool:
        """Record that a connection to the worker could not be established, or was lost with an attempt or
        probe in flight.  Return whether the worker may have restarted without a report of the list; it then
        counts as started now, and has to prove its readiness again.
        """
        if (
            self._notified_at == NEVER
            or now < self._confirmed_at + ASSUMED_OUTAGE_SHARE * self._notification_ms
        ):
            return False
        worker.ready_proven_at, worker.assumed_started_at = LONG_AGO, now
        self.assumes_restarts = True
        return True
