"""The lifecycle of one request, and which journal entries must be durable before each step; free of I/O.

An event may request entries (`next_entry`).  The caller writes them to a journal and reports the result of each write
(`on_written`).  Exactly three steps wait for a durable entry: the acknowledgement of a deferred request
(`durable_result`), the first byte of an attempt whose repetition could double an effect (`start_attempt`), and the
final answer (`publish`), which a blocking client gets without a durable entry if the write fails or the request's time
is up.  A step out of order raises `IllegalStepError`.
"""

from __future__ import annotations

from enum import Enum


class RequestStage(Enum):
    """The stage of a request."""

    ACCEPTED = "accepted"  # the dispatcher has not been notified yet
    QUEUED = "queued"  # the dispatcher has been notified, and no attempt has started
    HELD = "held"  # no attempt is in flight, and at least one that was decided has not started yet
    SENT = "sent"  # at least one attempt is in flight
    ANSWERED = "answered"  # all started attempts have ended, and the final answer is not decided
    FINAL = "final"  # the one final answer is decided
    PUBLISHED = "published"  # the answer may be shown, or another dispatcher has taken the request over
    FORGOTTEN = "forgotten"


# `RequestLifecycle.release` may also enter PUBLISHED from any stage.
NEXT_STAGES: dict[RequestStage, frozenset[RequestStage]] = {
    RequestStage.ACCEPTED: frozenset({RequestStage.QUEUED}),
    RequestStage.QUEUED: frozenset({RequestStage.HELD, RequestStage.SENT, RequestStage.FINAL}),
    RequestStage.HELD: frozenset({RequestStage.SENT, RequestStage.QUEUED, RequestStage.ANSWERED, RequestStage.FINAL}),
    RequestStage.SENT: frozenset({RequestStage.HELD, RequestStage.ANSWERED, RequestStage.FINAL}),
    RequestStage.ANSWERED: frozenset({RequestStage.HELD, RequestStage.SENT, RequestStage.FINAL}),
    RequestStage.FINAL: frozenset({RequestStage.PUBLISHED}),
    RequestStage.PUBLISHED: frozenset({RequestStage.FORGOTTEN}),
    RequestStage.FORGOTTEN: frozenset(),
}


class EntryKind(Enum):
    """The kind of a journal entry."""

    ACCEPTED = "record"
    MAY_RUN = "may-run"
    ENDED = "end"


class WriteState(Enum):
    """The state of the write of one entry."""

    NOT_REQUESTED = "no"
    PENDING = "asked"
    DURABLE = "yes"
    FAILED = "failed"


class IllegalStepError(Exception):
    """A step is not allowed in the current state of the request and its entries."""


class RequestLifecycle:
    """The state of one request.  `idempotent`: a second run is harmless; `journaled`: it survives a restart."""

    __slots__ = (
        "_requested_entries",
        "accepted_write",
        "attempt_count",
        "deferred",
        "ended_write",
        "held",
        "idempotent",
        "in_flight",
        "journaled",
        "may_run_write",
        "stage",
    )

    def __init__(self, idempotent: bool, journaled: bool, deferred: bool = False) -> None:
        self.idempotent, self.journaled = idempotent, journaled
        self.deferred = deferred  # the client gets the activation id instead of the answer
        self.stage = RequestStage.ACCEPTED
        self.accepted_write = self.may_run_write = self.ended_write = WriteState.NOT_REQUESTED
        self.held = self.in_flight = self.attempt_count = 0
        self._requested_entries: list[EntryKind] = []  # entries not yet returned by `next_entry`

    @classmethod
    def resumed(cls, idempotent: bool, may_have_run: bool) -> RequestLifecycle:
        """Create the lifecycle of a request found in a journal; `may_have_run`: its may-run entry was found, too."""
        lifecycle = cls(idempotent, True, True)
        lifecycle.accepted_write = WriteState.DURABLE
        lifecycle.may_run_write = WriteState.DURABLE if may_have_run else WriteState.NOT_REQUESTED
        return lifecycle

    def _enter(self, stage: RequestStage) -> None:
        if stage is self.stage:
            return
        if stage not in NEXT_STAGES[self.stage]:
            raise IllegalStepError(f"a request cannot go from {self.stage.value} to {stage.value}")
        self.stage = stage

    def _update_stage(self) -> None:
        """Enter the stage that follows from the numbers of attempts in flight, held and started so far."""
        if self.final:
            return
        if self.in_flight:
            self._enter(RequestStage.SENT)
        elif self.held:
            self._enter(RequestStage.HELD)
        else:
            self._enter(RequestStage.ANSWERED if self.attempt_count else RequestStage.QUEUED)

    @property
    def final(self) -> bool:
        """Whether the one final answer is decided."""
        return self.stage in (RequestStage.FINAL, RequestStage.PUBLISHED, RequestStage.FORGOTTEN)

    # Journal entries.

    def next_entry(self) -> EntryKind | None:
        """Return the next entry to write, or None; each is returned once."""
        return self._requested_entries.pop(0) if self._requested_entries else None

    def _request_entry(self, kind: EntryKind) -> None:
        if kind is EntryKind.ACCEPTED:
            self.accepted_write = WriteState.PENDING
        elif kind is EntryKind.MAY_RUN:
            self.may_run_write = WriteState.PENDING
        else:
            self.ended_write = WriteState.PENDING
        self._requested_entries.append(kind)

    def request_accepted_entry(self) -> None:
        """Request the accepted entry if the request is journaled, not final, and the entry was not requested before."""
        if self.journaled and self.accepted_write is WriteState.NOT_REQUESTED and not self.final:
            self._request_entry(EntryKind.ACCEPTED)

    def on_written(self, kind: EntryKind, durable: bool) -> None:
        """Process the result of a write.  Raises `IllegalStepError` where no such write is pending."""
        current = {
            EntryKind.ACCEPTED: self.accepted_write,
            EntryKind.MAY_RUN: self.may_run_write,
            EntryKind.ENDED: self.ended_write,
        }[kind]
        if current is not WriteState.PENDING:
            raise IllegalStepError(f"{kind.value}: the result of an entry was reported that was not requested")
        state = WriteState.DURABLE if durable else WriteState.FAILED
        if kind is EntryKind.ACCEPTED:
            self.accepted_write = state
        elif kind is EntryKind.MAY_RUN:
            self.may_run_write = state if durable else WriteState.NOT_REQUESTED  # another attempt may request it again
        else:
            self.ended_write = state

    @property
    def durable_result(self) -> bool | None:
        """Whether the accepted entry is durable, so that the client may get the id; None while that is unknown.

        False for a request that is not journaled.
        """
        if not self.journaled:
            return False
        return {WriteState.DURABLE: True, WriteState.FAILED: False}.get(self.accepted_write)

    # Events.

    def queue(self) -> None:
        """Record that the dispatcher has been notified of the request."""
        self._enter(RequestStage.QUEUED)

    def on_attempt_decided(self) -> bool:
        """Record an attempt that was decided, as held until `start_attempt`, and return whether it may start now.

        For a journaled request, request the accepted entry and, if the attempt may not start now, the may-run entry,
        unless they were requested before.  Raises `IllegalStepError` before `queue` and after the final answer.
        """
        if self.final:
            raise IllegalStepError("an attempt was decided after the final answer")
        if self.stage is RequestStage.ACCEPTED:
            raise IllegalStepError("an attempt was decided before the dispatcher was notified")
        self.request_accepted_entry()
        self.held += 1
        may_start = self.may_start
        if not may_start and self.may_run_write is WriteState.NOT_REQUESTED:
            self._request_entry(EntryKind.MAY_RUN)
        self._update_stage()
        return may_start

    @property
    def may_start(self) -> bool:
        """Whether the entries that must be durable before the first byte of an attempt are durable."""
        return self.idempotent or not self.journaled or self.may_run_write is WriteState.DURABLE

    def start_attempt(self) -> None:
        """Start a held attempt.

        Raises `IllegalStepError` if no attempt is held, if a required may-run entry is not durable, or after the final
        answer.
        """
        if not self.held:
            raise IllegalStepError("no decided attempt waits to start")
        if not self.may_start:
            raise IllegalStepError("an attempt cannot start before its may-run entry is durable")
        if self.final:
            raise IllegalStepError("an attempt cannot start after the final answer")
        self.held, self.in_flight, self.attempt_count = self.held - 1, self.in_flight + 1, self.attempt_count + 1
        self._update_stage()

    def drop_held(self) -> None:
        """Drop a held attempt: nothing of it was written to a worker."""
        if not self.held:
            raise IllegalStepError("no attempt is held")
        self.held -= 1
        self._update_stage()

    def on_attempt_finished(self) -> None:
        """Record the end of an attempt in flight."""
        if not self.in_flight:
            raise IllegalStepError("no attempt is in flight")
        self.in_flight -= 1
        self._update_stage()

    def make_durable(self, moved: bool = False) -> None:
        """Make the request deferred and journal it, as its client will poll with the activation id.

        The accepted entry is requested, and the may-run entry as well if the request is not idempotent and has had an
        attempt, even a held one.  If the request is journaled already, no entry is requested unless it has `moved` from
        another journal.  Raises `IllegalStepError` after the final answer.
        """
        if self.final:
            raise IllegalStepError("a request with a final answer cannot be made durable")
        self.deferred = True
        if self.journaled and not moved:
            return
        self.journaled = True
        self.accepted_write = self.may_run_write = WriteState.NOT_REQUESTED
        self.request_accepted_entry()
        if (self.attempt_count or self.in_flight or self.held) and not self.idempotent:
            self._request_entry(EntryKind.MAY_RUN)

    def release(self) -> None:
        """Give up the request, as another dispatcher has taken it over: nothing more is written or shown here."""
        self._requested_entries.clear()
        self.stage = RequestStage.PUBLISHED

    def finish(self) -> bool:
        """Record that the one final answer is decided; return whether it may be shown at once.

        Otherwise the ended entry is requested.
        """
        if self.final:
            raise IllegalStepError("a request cannot have a second final answer")
        self._enter(RequestStage.FINAL)
        if self.accepted_write in (WriteState.NOT_REQUESTED, WriteState.FAILED):
            return True  # its client was not promised a durable answer
        self._request_entry(EntryKind.ENDED)
        return False

    def publish(self, late: bool = False) -> None:
        """Publish the final answer.

        If the accepted entry was requested and its write has not failed, the answer must be durable.  A blocking client
        was promised no durable answer, so its answer may also be published if the write of the answer has failed, or is
        pending when the request's time is up (`late`).  Raises `IllegalStepError` otherwise, and outside `FINAL`.
        """
        if self.stage is not RequestStage.FINAL:
            raise IllegalStepError(f"there is no answer to publish in stage {self.stage.value}")
        may_show = self.ended_write is WriteState.DURABLE or self.accepted_write in (
            WriteState.NOT_REQUESTED,
            WriteState.FAILED,
        )
        if not may_show and (self.deferred or not (late or self.ended_write is WriteState.FAILED)):
            raise IllegalStepError("an answer cannot be published before it is durable")
        self._enter(RequestStage.PUBLISHED)

    def forget(self) -> None:
        """End the lifecycle.  Raises `IllegalStepError` with an attempt in flight or held, or an unpublished answer."""
        if self.in_flight or self.held:
            raise IllegalStepError("an attempt is in flight or held")
        self._enter(RequestStage.FORGOTTEN)
