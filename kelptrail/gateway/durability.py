"""Writes the journal entries that a request needs before its next step, and publishes durable final answers.

A request that must survive a restart (a deferred one, or one with an idempotency key) is journaled if its journal
accepts entries.  The entries of a deferred request are written to a replicated journal if the dispatcher uses one, all
others to the local journal.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from kelptrail.dispatch.entities import Attempt, Request
from kelptrail.store.entries import Accepted, Ended, MayRun
from kelptrail.store.group_commit import GroupCommit

from .effects import FinalAnswer, StartAttempt
from .invocation import Invocation
from .lifecycle import EntryKind, RequestStage
from .records import Record, ReplicatedJournal
from .state import GatewayState

Journal = GroupCommit | ReplicatedJournal


class NoJournalError(Exception):
    """An entry was requested for an activation that has no journal."""


def ended_entry(record: Record) -> Ended:
    """Return the journal entry of a record's final answer."""
    assert record.answer is not None
    return Ended(
        record.id,
        record.end,
        record.answer,
        record.code,
        record.result,
        record.retry_after_ms,
        record.deduplicated_for_ms,
        record.attempt_count,
    )


class DurabilityWriter:
    """Writes the entries that request lifecycles require.

    The callbacks of a journal decide nothing: they notify the waiters of `when_durable`, and queue effects and results
    for `Gateway.next_effect`.
    """

    def __init__(self, state: GatewayState, journal: GroupCommit | None) -> None:
        self._state = state
        self.journal = journal  # the local journal, on this dispatcher's disk only
        # Returns the replicated journal for new requests.
        self.replicated_journal: Callable[[], ReplicatedJournal | None] | None = None
        self.on_step: Callable[[str], None] = lambda _step: None  # called at each durability step, for crash tests
        self.on_forget: Callable[[str], None] | None = None  # called with each id to delete from the local journal
        self.under_replicated: deque[Invocation] = deque()  # requests whose record is on too few replicas
        self.unstartable_attempts: deque[Attempt] = deque()  # held attempts that are to be ended as not sent
        self.durable_deferred: deque[Request] = deque()  # deferred requests whose records have become durable

    # Choice of the journal.

    def choose_journal(self, record: Record, deferred: bool, has_key: bool) -> bool:
        """Choose the journal of a new request, and return whether it is journaled.

        A record that goes to a replicated journal refers to it in `replicated_journal`.
        """
        if deferred and self.replicated_journal is not None:
            journal = self.replicated_journal()
            journaled = journal is not None and journal.is_accepting()
            record.replicated_journal = journal if journaled else None
            return journaled
        return self.journal is not None and self.journal.is_accepting() and (deferred or has_key)

    def accepts_deferred(self) -> bool:
        """Return whether a deferred request may be accepted now: its journal accepts entries, or none is configured."""
        if self.replicated_journal is not None:
            journal = self.replicated_journal()
            return journal is not None and journal.is_accepting()
        return self.journal is None or self.journal.is_accepting()

    def journal_of(self, record: Record) -> Journal:
        """Return the record's replicated journal, or else the local one.  Raises `NoJournalError` if there is none."""
        journal = record.replicated_journal or self.journal
        if journal is None:
            raise NoJournalError(f"there is no journal for activation {record.id}")
        return journal

    def forget(self, record: Record) -> None:
        """Request the deletion of the journal entries of a dropped record."""
        if record.replicated_journal is not None:
            record.replicated_journal.forget(record.id)
        elif self.on_forget is not None:
            self.on_forget(record.id)

    # Writing.

    def when_durable(self, invocation: Invocation, done: Callable[[bool | None], None]) -> None:
        """Call `done` with whether the request's record is durable, once that is known.

        For a request that is not journaled, `done` is called at once, with True only if there is no local journal at
        all.  It is called with None where another dispatcher has taken over the journal, so that the result is unknown.
        It is not called if too few replicas have the record: the request is then rejected.
        """
        lifecycle = invocation.lifecycle
        if not lifecycle.journaled:
            done(self.journal is None)
        elif lifecycle.durable_result is not None:
            done(lifecycle.durable_result)
        else:
            invocation.durability_waiters.append(done)
            lifecycle.request_accepted_entry()
            self.write_entries(invocation)

    def make_durable(self, invocation: Invocation) -> None:
        """Journal a blocking request whose client will poll with the activation id instead.

        Do nothing if the request has its final answer, if there is no local journal, or while no entries are accepted.
        """
        if invocation.lifecycle.final or self.journal is None or not self.accepts_deferred():
            return
        record = invocation.record
        record.deferred = True
        if self.replicated_journal is not None and record.replicated_journal is None:
            record.replicated_journal = self.replicated_journal()
            invocation.moved_to_replicated = invocation.lifecycle.journaled
        invocation.lifecycle.make_durable(invocation.moved_to_replicated)
        self.write_entries(invocation)

    def write_entries(self, invocation: Invocation) -> None:
        """Write the entries that the request's lifecycle requires."""
        while (kind := invocation.lifecycle.next_entry()) is not None:
            journal = self.journal_of(invocation.record)
            if kind is EntryKind.ACCEPTED:
                self._write_accepted(invocation, journal)
            elif kind is EntryKind.MAY_RUN:
                self._write_may_run(invocation, journal)
            else:
                self._write_ended(invocation, journal)

    def _write_accepted(self, invocation: Invocation, journal: Journal) -> None:
        record = invocation.record
        self.on_step("accepted")
        entry = Accepted(
            record.id,
            record.namespace,
            record.path,
            record.start,
            record.timeout_ms,
            invocation.payload,
            record.key or None,
            record.digest,
            record.trace,
            record.deferred,
            record.payload_format,
        )
        journal.write(entry, partial(self._on_accepted_written, invocation, journal))

    def _write_may_run(self, invocation: Invocation, journal: Journal) -> None:
        record = invocation.record
        first = next(attempt for attempt in invocation.request.attempts if attempt.may_have_run)
        started_wall_ms = record.start + (first.started_at - record.received_at)
        journal.write(
            MayRun(record.id, started_wall_ms, first.instance.worker.id),
            partial(self._on_may_run_written, invocation, journal),
        )

    def _write_ended(self, invocation: Invocation, journal: Journal) -> None:
        self.on_step("answered")
        entry = ended_entry(invocation.record)
        if invocation.lifecycle.deferred:
            journal.write(entry, partial(self._on_ended_written, invocation), keep=True)
        else:  # a blocking client was promised no record, so a failing journal must not delay its answer
            journal.write(entry, partial(self._on_blocking_ended_written, invocation))

    # Results of writes.

    def _on_accepted_written(self, invocation: Invocation, journal: Journal, durable: bool) -> None:
        if journal is not self.journal_of(invocation.record):
            return  # the request has moved to another journal
        if not durable and invocation.record.replicated_journal is not None:
            # The entry is in the journal nevertheless.  A dispatcher that takes over the journal would run this request
            # although its client was rejected and may retry, so the rejection is journaled before it is published.
            invocation.lifecycle.on_written(EntryKind.ACCEPTED, True)
            invocation.under_replicated = True
            self.under_replicated.append(invocation)
            return
        if invocation.moved_to_replicated and self.on_forget is not None:
            self.on_forget(invocation.record.id)
        invocation.lifecycle.on_written(EntryKind.ACCEPTED, durable)
        if durable and invocation.deferred:
            self.durable_deferred.append(invocation.request)
        self.on_step("journalled")
        waiters, invocation.durability_waiters = invocation.durability_waiters, []
        for waiter in waiters:
            waiter(durable)

    def _on_may_run_written(self, invocation: Invocation, journal: Journal, durable: bool) -> None:
        if journal is not self.journal_of(invocation.record):
            return
        invocation.lifecycle.on_written(EntryKind.MAY_RUN, durable)
        self.on_step("cleared")
        self.release_held(invocation, durable)

    def _on_ended_written(self, invocation: Invocation, durable: bool) -> None:
        invocation.lifecycle.on_written(EntryKind.ENDED, durable)
        self.publish(invocation)

    def _on_blocking_ended_written(self, invocation: Invocation, durable: bool) -> None:
        if not durable:
            self.journal_of(invocation.record).write(ended_entry(invocation.record), None, keep=True)
        self._on_ended_written(invocation, durable)

    # Steps that waited for a write.

    def release_held(self, invocation: Invocation, may_start: bool) -> None:
        """Start the held attempts, or queue them to be ended as not sent if they may not start.

        They may not start without `may_start`, after the final answer, or if too few replicas have the record.
        """
        held, invocation.held_attempts = invocation.held_attempts, []
        for attempt in held:
            if may_start and not invocation.lifecycle.final and not invocation.under_replicated:
                self._state.start_attempt(invocation, attempt)
                self._state.effects.append(StartAttempt(invocation, attempt))
            else:
                invocation.lifecycle.drop_held()
                self.unstartable_attempts.append(attempt)

    def on_became_primary(self, journal: ReplicatedJournal) -> None:
        """Start the attempts that were held only because this dispatcher was not the primary of their journal."""
        for invocation in list(self._state.invocations.values()):
            if (
                invocation.record.replicated_journal is journal
                and invocation.held_attempts
                and invocation.lifecycle.may_start
            ):
                self.release_held(invocation, True)

    def publish(self, invocation: Invocation, late: bool = False) -> None:
        """Publish a final answer, once; `late`: the client's time is up, and the answer may not be durable yet."""
        if invocation.lifecycle.stage is not RequestStage.FINAL:
            return  # it was published late or released before this write ended
        invocation.lifecycle.publish(late)
        if not invocation.record.durable:
            self.on_step("ended")
            invocation.record.durable = True
        self._state.effects.append(FinalAnswer(invocation))
        self._state.forget_if_done(invocation.request)
