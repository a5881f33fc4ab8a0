"""The life of an activation: every order of events to a depth, and the steps that must not be."""

from __future__ import annotations

from collections import deque
from itertools import product

import pytest

from kelptrail.gateway.lifecycle import LEGAL, IllegalStepError, Need, RequestLifecycle, Safe, Stage

EVENTS = (
    "queue",
    "decide",
    "go",
    "drop",
    "back",
    "ask_record",
    "lasts",
    "finish",
    "show",
    "show-late",
    "forget",
    *(f"{need.value}:{word}" for need, word in product(Need, ("safe", "failed"))),
)
FIELDS = ("repeatable", "kept", "owed", "stage", "record", "may_run", "end", "held", "out", "sends")
DEPTH, MOST_SENDS = 12, 2


class Seen:
    """A passage beside what the outside has seen of it, judged by the promises' own words."""

    def __init__(self, repeatable: bool, kept: bool, owed: bool) -> None:
        self.passage = RequestLifecycle(repeatable, kept, owed)
        self.asked: list[Need] = []
        self.safe: set[Need] = set()
        self.finals = self.shown = 0

    def key(self) -> tuple[object, ...]:
        state = tuple(getattr(self.passage, name) for name in FIELDS)
        return (*state, tuple(self.asked), frozenset(self.safe), self.finals, self.shown)

    def copy(self) -> Seen:
        twin = Seen(False, False, False)
        for name in FIELDS:
            setattr(twin.passage, name, getattr(self.passage, name))
        twin.asked, twin.safe, twin.finals, twin.shown = list(self.asked), set(self.safe), self.finals, self.shown
        return twin

    def do(self, event: str) -> bool:
        """Try an event; False where the machine refuses it, by name."""
        passage, (name, _, word) = self.passage, event.partition(":")
        try:
            if word:
                need = Need(name)
                passage.told(need, word == "safe")
                assert need in self.asked, "nothing is told of that was not asked for"
                self.asked.remove(need)
                self.safe |= {need} if word == "safe" else set()
            elif name == "decide":
                passage.decide()
            elif name.startswith("show"):
                passage.show(name == "show-late")
                self.shown += 1
                if passage.owed and passage.record is Safe.YES:
                    assert Need.END in self.safe, "what was promised to last is shown only once it is safe"
            elif name == "go":
                passage.go()
                assert not self.finals, "nothing is sent after the final answer"
                if passage.kept and not passage.repeatable:
                    assert Need.MAY_RUN in self.safe, "may run is safe before the first byte"
            else:
                getattr(passage, name)()
                self.finals += name == "finish"
        except IllegalStepError:
            return False
        while (need_ := passage.next_need()) is not None:
            assert need_ not in self.asked, "each need is asked for once at a time"
            self.asked.append(need_)
        assert self.finals <= 1 and self.shown <= self.finals
        assert passage.promised is not True or Need.RECORD in self.safe, "a promise rests on a safe record"
        return True


@pytest.mark.parametrize(("repeatable", "kept", "owed"), list(product((True, False), repeat=3)))
def test_every_order_of_events_keeps_the_promises(repeatable: bool, kept: bool, owed: bool) -> None:
    start = Seen(repeatable, kept, owed)
    reached, stages, refused = {start.key()}, set[Stage](), 0
    edge = deque([(start, 0)])
    while edge:
        seen, depth = edge.popleft()
        stages.add(seen.passage.stage)
        if depth == DEPTH:
            continue
        for event in EVENTS:
            if event == "decide" and seen.passage.sends + seen.passage.held >= MOST_SENDS:
                continue
            after = seen.copy()
            before = after.passage.stage
            if not after.do(event):
                refused += 1
                assert after.passage.stage is before, "a refused step changes nothing"
                continue
            assert after.passage.stage is before or after.passage.stage in LEGAL[before]
            if after.key() not in reached:
                reached.add(after.key())
                edge.append((after, depth + 1))
    assert stages == set(Stage)
    assert len(reached) > 60 and refused > 500


def test_named_errors_for_steps_out_of_order() -> None:
    passage = RequestLifecycle(False, True, True)
    with pytest.raises(IllegalStepError, match="before the decisions"):
        passage.decide()
    passage.queue()
    assert passage.decide() is False and passage.stage is Stage.HELD
    assert [passage.next_need(), passage.next_need(), passage.next_need()] == [Need.RECORD, Need.MAY_RUN, None]
    with pytest.raises(IllegalStepError, match="may run"):
        passage.go()
    with pytest.raises(IllegalStepError, match="not asked for"):
        passage.told(Need.END, True)
    passage.told(Need.RECORD, True)
    passage.told(Need.MAY_RUN, True)
    passage.go()
    with pytest.raises(IllegalStepError, match="sent to forgotten"):
        passage.out = 0
        passage.forget()
    passage.out = 1
    assert passage.finish() is False
    with pytest.raises(IllegalStepError, match="second final"):
        passage.finish()
    with pytest.raises(IllegalStepError, match="before it is safe"):
        passage.show(late=True)
    passage.told(Need.END, True)
    passage.show()
    with pytest.raises(IllegalStepError, match="out"):
        passage.forget()
    passage.back()
    passage.forget()
    assert passage.stage is Stage.FORGOTTEN


def test_what_failed_to_be_written_is_held_back_and_may_be_asked_for_again() -> None:
    passage = RequestLifecycle(False, True, False)
    passage.queue()
    passage.decide()
    while passage.next_need():
        pass
    passage.told(Need.RECORD, True)
    passage.told(Need.MAY_RUN, False)
    passage.drop()
    assert passage.stage is Stage.QUEUED and passage.decide() is False
    assert passage.next_need() is Need.MAY_RUN
