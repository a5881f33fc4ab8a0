"""The life of an activation: every order of events to a depth, and the steps that must not be."""

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
    *(f"{need.value}:{word}" for need, word in product(EntryKind, ("safe", "failed"))),
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
DEPTH, MOST_SENDS = 12, 2


class Seen:
    """A lifecycle beside what the outside has seen of it, judged by the promises' own words."""

    def __init__(self, idempotent: bool, journaled: bool, deferred: bool) -> None:
        self.lifecycle = RequestLifecycle(idempotent, journaled, deferred)
        self.asked: list[EntryKind] = []
        self.safe: set[EntryKind] = set()
        self.finals = self.shown = 0

    def key(self) -> tuple[object, ...]:
        state = tuple(getattr(self.lifecycle, name) for name in FIELDS)
        return (*state, tuple(self.asked), frozenset(self.safe), self.finals, self.shown)

    def copy(self) -> Seen:
        twin = Seen(False, False, False)
        for name in FIELDS:
            setattr(twin.lifecycle, name, getattr(self.lifecycle, name))
        twin.asked, twin.safe, twin.finals, twin.shown = list(self.asked), set(self.safe), self.finals, self.shown
        return twin

    def do(self, event: str) -> bool:
        """Try an event; False where the machine refuses it, by name."""
        lifecycle, (name, _, word) = self.lifecycle, event.partition(":")
        try:
            if word:
                need = EntryKind(name)
                lifecycle.on_written(need, word == "safe")
                assert need in self.asked, "nothing is told of that was not asked for"
                self.asked.remove(need)
                self.safe |= {need} if word == "safe" else set()
            elif name == "on_attempt_decided":
                lifecycle.on_attempt_decided()
            elif name.startswith("publish"):
                lifecycle.publish(name == "publish-late")
                self.shown += 1
                if lifecycle.deferred and lifecycle.accepted_write is WriteState.DURABLE:
                    assert EntryKind.ENDED in self.safe, "what was promised to last is shown only once it is safe"
            elif name == "start_attempt":
                lifecycle.start_attempt()
                assert not self.finals, "nothing is sent after the final answer"
                if lifecycle.journaled and not lifecycle.idempotent:
                    assert EntryKind.MAY_RUN in self.safe, "may run is safe before the first byte"
            else:
                getattr(lifecycle, name)()
                self.finals += name == "finish"
        except IllegalStepError:
            return False
        while (entry_ := lifecycle.next_entry()) is not None:
            assert entry_ not in self.asked, "each need is asked for once at a time"
            self.asked.append(entry_)
        assert self.finals <= 1 and self.shown <= self.finals
        assert lifecycle.durable_result is not True or EntryKind.ACCEPTED in self.safe, (
            "a promise rests on a safe record"
        )
        return True


@pytest.mark.parametrize(("idempotent", "journaled", "deferred"), list(product((True, False), repeat=3)))
def test_every_order_of_events_keeps_the_promises(idempotent: bool, journaled: bool, deferred: bool) -> None:
    start = Seen(idempotent, journaled, deferred)
    reached, stages, refused = {start.key()}, set[RequestStage](), 0
    edge = deque([(start, 0)])
    while edge:
        seen, depth = edge.popleft()
        stages.add(seen.lifecycle.stage)
        if depth == DEPTH:
            continue
        for event in EVENTS:
            if event == "on_attempt_decided" and seen.lifecycle.attempt_count + seen.lifecycle.held >= MOST_SENDS:
                continue
            after = seen.copy()
            before = after.lifecycle.stage
            if not after.do(event):
                refused += 1
                assert after.lifecycle.stage is before, "a refused step changes nothing"
                continue
            assert after.lifecycle.stage is before or after.lifecycle.stage in NEXT_STAGES[before]
            if after.key() not in reached:
                reached.add(after.key())
                edge.append((after, depth + 1))
    assert stages == set(RequestStage)
    assert len(reached) > 60 and refused > 500


def test_named_errors_for_steps_out_of_order() -> None:
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
    with pytest.raises(IllegalStepError, match="may run"):
        lifecycle.start_attempt()
    with pytest.raises(IllegalStepError, match="not asked for"):
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


def test_what_failed_to_be_written_is_held_back_and_may_be_asked_for_again() -> None:
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
