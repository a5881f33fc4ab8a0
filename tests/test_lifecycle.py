"""Tests of the lifecycle of a request: every order of events up to a depth, and illegal steps."""

from __future__ import annotations

from collections import deque
from itertools import product

import pytest

from kelptrail.gateway.lifecycle import (
    NEXT_STAGES,
    EntryKind,
    IllegalStepError,
    RequestLifecycle,
    RequestStage,
    WriteState,
)

EVENTS = (
    "queue",
    "on_attempt_decided",
    "start_attempt",
    "drop_held",
    "on_attempt_finished",
    "request_accepted_entry",
    "make_durable",
    "finish",
    "publish",
    "publish-late",
    "forget",
    *(f"{kind.value}:{result}" for kind, result in product(EntryKind, ("durable", "failed"))),
)
FIELDS = (
    "idempotent",
    "journaled",
    "deferred",
    "stage",
    "accepted_write",
    "may_run_write",
    "ended_write",
    "held",
    "in_flight",
    "attempt_count",
)
DEPTH, MAX_ATTEMPTS = 12, 2


class ObservedLifecycle:
    """A lifecycle and its observable results for clients, workers and the journal, checked against the guarantees."""

    def __init__(self, idempotent: bool, journaled: bool, deferred: bool) -> None:
        self.lifecycle = RequestLifecycle(idempotent, journaled, deferred)
        self.pending_writes: list[EntryKind] = []
        self.durable: set[EntryKind] = set()
        self.finals = self.published = 0

    def state_key(self) -> tuple[object, ...]:
        state = tuple(getattr(self.lifecycle, name) for name in FIELDS)
        return (*state, tuple(self.pending_writes), frozenset(self.durable), self.finals, self.published)

    def copy(self) -> ObservedLifecycle:
        copied = ObservedLifecycle(False, False, False)
        for name in FIELDS:
            setattr(copied.lifecycle, name, getattr(self.lifecycle, name))
        copied.pending_writes, copied.durable = list(self.pending_writes), set(self.durable)
        copied.finals, copied.published = self.finals, self.published
        return copied

    def apply(self, event: str) -> bool:
        """Try an event; return False where the lifecycle raises `IllegalStepError`."""
        lifecycle, (name, _, result) = self.lifecycle, event.partition(":")
        try:
            if result:
                kind = EntryKind(name)
                lifecycle.on_written(kind, result == "durable")
                assert kind in self.pending_writes, "only results of pending writes are accepted"
                self.pending_writes.remove(kind)
                self.durable |= {kind} if result == "durable" else set()
            elif name == "on_attempt_decided":
                lifecycle.on_attempt_decided()
            elif name.startswith("publish"):
                lifecycle.publish(name == "publish-late")
                self.published += 1
                if lifecycle.deferred and lifecycle.accepted_write is WriteState.DURABLE:
                    assert EntryKind.ENDED in self.durable, (
                        "the answer to an accepted deferred request is durable before it is published"
                    )
            elif name == "start_attempt":
                lifecycle.start_attempt()
                assert not self.finals, "no attempt starts after the final answer"
                if lifecycle.journaled and not lifecycle.idempotent:
                    assert EntryKind.MAY_RUN in self.durable, "the may-run entry is durable before the first byte"
            else:
                getattr(lifecycle, name)()
                self.finals += name == "finish"
        except IllegalStepError:
            return False
        while (entry := lifecycle.next_entry()) is not None:
            assert entry not in self.pending_writes, "an entry is not requested while its write is pending"
            self.pending_writes.append(entry)
        assert self.finals <= 1 and self.published <= self.finals
        assert lifecycle.durable_result is not True or EntryKind.ACCEPTED in self.durable, (
            "only a durable record is reported as durable"
        )
        return True


@pytest.mark.parametrize(("idempotent", "journaled", "deferred"), list(product((True, False), repeat=3)))
def test_guarantees_hold_for_every_order_of_events(idempotent: bool, journaled: bool, deferred: bool) -> None:
    start = ObservedLifecycle(idempotent, journaled, deferred)
    reached, stages, rejected = {start.state_key()}, set[RequestStage](), 0
    frontier = deque([(start, 0)])
    while frontier:
        observed, depth = frontier.popleft()
        stages.add(observed.lifecycle.stage)
        if depth == DEPTH:
            continue
        for event in EVENTS:
            if (
                event == "on_attempt_decided"
                and observed.lifecycle.attempt_count + observed.lifecycle.held >= MAX_ATTEMPTS
            ):
                continue
            after = observed.copy()
            before = after.lifecycle.stage
            if not after.apply(event):
                rejected += 1
                assert after.lifecycle.stage is before, "an illegal step does not change the stage"
                continue
            assert after.lifecycle.stage is before or after.lifecycle.stage in NEXT_STAGES[before]
            if after.state_key() not in reached:
                reached.add(after.state_key())
                frontier.append((after, depth + 1))
    assert stages == set(RequestStage)
    assert len(reached) > 60 and rejected > 500


def test_steps_out_of_order_raise_illegal_step_error() -> None:
    lifecycle = RequestLifecycle(False, True, True)
    with pytest.raises(IllegalStepError, match="before the dispatcher"):
        lifecycle.on_attempt_decided()
    lifecycle.queue()
    assert lifecycle.on_attempt_decided() is False and lifecycle.stage is RequestStage.HELD
    assert [lifecycle.next_entry(), lifecycle.next_entry(), lifecycle.next_entry()] == [
        EntryKind.ACCEPTED,
        EntryKind.MAY_RUN,
        None,
    ]
    with pytest.raises(IllegalStepError, match="before its may-run entry is durable"):
        lifecycle.start_attempt()
    with pytest.raises(IllegalStepError, match="end: the result of an entry was reported that was not requested"):
        lifecycle.on_written(EntryKind.ENDED, True)
    lifecycle.on_written(EntryKind.ACCEPTED, True)
    lifecycle.on_written(EntryKind.MAY_RUN, True)
    lifecycle.start_attempt()
    with pytest.raises(IllegalStepError, match="sent to forgotten"):
        lifecycle.in_flight = 0
        lifecycle.forget()
    lifecycle.in_flight = 1
    assert lifecycle.finish() is False
    with pytest.raises(IllegalStepError, match="second final"):
        lifecycle.finish()
    with pytest.raises(IllegalStepError, match="before it is durable"):
        lifecycle.publish(late=True)
    lifecycle.on_written(EntryKind.ENDED, True)
    lifecycle.publish()
    with pytest.raises(IllegalStepError, match="an attempt is in flight"):
        lifecycle.forget()
    lifecycle.on_attempt_finished()
    lifecycle.forget()
    assert lifecycle.stage is RequestStage.FORGOTTEN


def test_attempt_after_a_failed_may_run_write_is_held_and_the_entry_is_written_again() -> None:
    lifecycle = RequestLifecycle(False, True, False)
    lifecycle.queue()
    lifecycle.on_attempt_decided()
    while lifecycle.next_entry():
        pass
    lifecycle.on_written(EntryKind.ACCEPTED, True)
    lifecycle.on_written(EntryKind.MAY_RUN, False)
    lifecycle.drop_held()
    assert lifecycle.stage is RequestStage.QUEUED and lifecycle.on_attempt_decided() is False
    assert lifecycle.next_entry() is EntryKind.MAY_RUN
