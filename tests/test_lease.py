"""Leases: the cores looked through, rules broken on purpose, the ledger, settings, and what the audit sees."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

import apsw
import pytest

from kelptrail.history_checker.checker import check_history
from kelptrail.lease.acceptor import Acceptor, DurableState, LeaseRecord, Stage, Write
from kelptrail.lease.acceptor_store import open_acceptor_store
from kelptrail.lease.client import LeaseAcquired, LeaseClient, LeaseLost, RequestState
from kelptrail.lease.messages import (
    NO_TOKEN,
    AcquireRequest,
    FencingToken,
    Grant,
    LeaseNote,
    LeaseRow,
    LeaseSettings,
    Message,
    NoteWritten,
    Refusal,
    Release,
    StateReply,
    Transferred,
    WriteNote,
)
from kelptrail.lease.model import TASK, Budget, Model, ModelSetup
from kelptrail.model_checking.explorer import PropertyError, explore, random_walk
from kelptrail.settings.deployment import load, parse
from kelptrail.settings.reader import SettingsError

ROOT = Path(__file__).parent.parent
FIGURES = {
    "max_lease_ms": 100.0,
    "request_timeout_ms": 8.0,
    "retry_pause_ms": 5.0,
    "queue_spacing_ms": 0.0,
    "transfer_reservation_ms": 20.0,
    "clock_rate_bound": 0.02,
}
SET = LeaseSettings(("a", "b", "c"), **FIGURES)  # type: ignore[arg-type]
NEXT = LeaseSettings(("a", "b", "d"), 2, ("a", "b", "c"), **FIGURES)  # type: ignore[arg-type]
RATES = (("a", 1.02), ("b", 1.02), ("c", 1.02), ("x", 0.98), ("y", 0.98), ("z", 0.98))
FULL = Budget(
    drops=9,
    duplicates=9,
    delays=60,
    restarts=3,
    disk_losses=1,
    sync_failures=3,
    client_restarts=3,
    pauses=3,
    releases=3,
    actions=9,
)
LATE = Budget(drops=30, duplicates=9, delays=200, pauses=9, actions=20)
LOST = Budget(drops=10, duplicates=2, delays=200, disk_losses=1, client_restarts=1)
CHANGE = Budget(drops=5, duplicates=3, delays=100, restarts=3, client_restarts=2)


def world(seed: int, budget: Budget, **how: Any) -> Model:
    askers = ("x", "y") if seed % 2 else ("x", "y", "z")
    return Model(ModelSetup(how.pop("settings", SET), askers, budget, clock_rates=RATES, **how))


def walk(seed: int, budget: Budget, faults: float, length: int, **how: Any) -> None:
    last = [world(seed, budget, **how)]

    def look(state: Model) -> None:
        state.check()
        last[0] = state

    random_walk(last[0], look, seed, length, faults)
    last[0].check_recovery(3000.0)


@pytest.mark.parametrize(
    ("budget", "faults", "length", "how"),
    [
        (FULL, 0.12, 400, {}),
        (LATE, 0.3, 800, {}),
        (LOST, 0.3, 600, {}),
        (CHANGE, 0.1, 500, {"next_settings": NEXT}),
        (Budget(drops=5, delays=60, restarts=3, client_restarts=1), 0.1, 300, {"is_founded": False}),
        (FULL, 0.12, 400, {"with_notes": True}),
        (LOST, 0.3, 600, {"with_notes": True}),
        (CHANGE, 0.1, 500, {"next_settings": NEXT, "with_notes": True}),
    ],
    ids=["all", "late", "disk-lost", "set-changed", "founding", "notes", "notes-disk-lost", "notes-set-changed"],
)
def test_walks_break_nothing_and_it_heals(budget: Budget, faults: float, length: int, how: dict[str, Any]) -> None:
    for seed in range(25):
        walk(seed, budget, faults, length, **how)


def test_near_states_break_nothing() -> None:
    found = explore(world(1, Budget(drops=1, delays=1, restarts=1, actions=1)), Model.check, 7, 5000)
    assert found.states > 3000 and found.depth >= 6


class GrantsWhatIsHeld(Acceptor):
    def _refusal_reason(self, now: float, sender: str, ask: AcquireRequest) -> str:
        return "" if (reason := super()._refusal_reason(now, sender, ask)) == "held" else reason


class SaysBeforeDisk(Acceptor):
    def _enqueue_write(
        self, rows: tuple[LeaseRow, ...], memory: DurableState | None = None, to: str = "", reply: Message | None = None
    ) -> None:
        super()._enqueue_write(rows, memory, to)
        if reply is not None:
            self.outbox.append((to, reply))


class ForgetsGrants(Acceptor):
    def __init__(self, *words: Any) -> None:
        super().__init__(*words)
        for seat in self.records.values():
            seat.expires_at = float("-inf")


class VotesWithoutMemory(Acceptor):
    def __init__(
        self,
        name: str,
        settings: LeaseSettings,
        now: float,
        memory: DurableState | None,
        rows: tuple[LeaseRow, ...] = (),
    ) -> None:
        super().__init__(name, settings, now, memory or DurableState(settings.config_number, Stage.VOTING, False), rows)


class GrantsOlder(Acceptor):
    def _refusal_reason(self, now: float, sender: str, ask: AcquireRequest) -> str:
        seat, reason = self.records.get(ask.task, LeaseRecord()), super()._refusal_reason(now, sender, ask)
        return "" if reason == "older" and (now >= seat.expires_at or seat.released) else reason


class ChangesAtOnce(Acceptor):
    def _try_finish_config_change(self, now: float) -> None:
        self._start_voting(now)
        for seat in self.records.values():
            seat.expires_at = now


class CountsFromTheAnswer(LeaseClient):
    def _on_grant(self, now: float, sender: str, wish: Any, answer: Grant) -> None:
        if (question := wish.ballots.get(answer.request_id)) is not None:
            question.sent_at = now
        super()._on_grant(now, sender, wish, answer)


class BelievesItsState(LeaseClient):
    def held_token(self, now: float, task: str) -> FencingToken | None:
        wish = self.requests.get(task)
        return wish.token if wish is not None and wish.state is RequestState.HOLDING else None


class TakesOneForKept(LeaseClient):
    def _on_note_written(self, sender: str, wish: Any, answer: NoteWritten) -> None:
        wish.note_acceptors |= {"b", "c"}
        super()._on_note_written(sender, wish, answer)


class CountsOneVoterTwice(LeaseClient):
    def _on_grant(self, now: float, sender: str, wish: Any, answer: Grant) -> None:
        if (question := wish.ballots.get(answer.request_id)) is not None:
            question.granted_by.add("c")
        super()._on_grant(now, sender, wish, answer)


@dataclasses.dataclass(frozen=True)
class ClocksAgree(LeaseSettings):
    def safe_hold_ms(self, length_ms: float) -> float:
        return length_ms


AGREE = ClocksAgree(("a", "b", "c"), **FIGURES)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("budget", "faults", "length", "how"),
    [
        (FULL, 0.12, 400, {"acceptor_type": GrantsWhatIsHeld}),
        (FULL, 0.12, 400, {"acceptor_type": SaysBeforeDisk}),
        (FULL, 0.12, 400, {"acceptor_type": ForgetsGrants}),
        (LOST, 0.3, 600, {"acceptor_type": VotesWithoutMemory}),
        (FULL, 0.12, 400, {"acceptor_type": GrantsOlder}),
        (Budget(drops=20, delays=100), 0.2, 500, {"acceptor_type": ChangesAtOnce, "next_settings": NEXT}),
        (LATE, 0.3, 800, {"client_type": CountsFromTheAnswer}),
        (LATE, 0.3, 800, {"client_type": BelievesItsState}),
        (FULL, 0.12, 400, {"client_type": CountsOneVoterTwice}),
        (LATE, 0.3, 800, {"settings": AGREE}),
        (Budget(releases=9, actions=40, delays=60), 0.1, 300, {"checks_tokens": False}),
        (FULL, 0.12, 400, {"client_type": TakesOneForKept, "with_notes": True}),
    ],
    ids=[
        "held",
        "before-disk",
        "forgets",
        "no-memory",
        "older",
        "change",
        "from-answer",
        "state",
        "twice",
        "clocks",
        "fence",
        "notes-one",
    ],
)
def test_rules_broken_on_purpose_are_found(budget: Budget, faults: float, length: int, how: dict[str, Any]) -> None:
    with pytest.raises(PropertyError, match=r"believe that they hold it|won under|was taken after|not told"):
        for seed in range(2000):
            walk(seed, budget, faults, length, **how)


def test_a_voter_keeps_no_note_under_an_older_token_and_learns_what_others_keep() -> None:
    """Both are too rare for walks to break within seconds."""
    old, new = FencingToken(1, "x/1"), FencingToken(2, "y/1")
    voter = Acceptor(
        "a",
        SET,
        0.0,
        DurableState(1, Stage.VOTING, False),
        (LeaseRow("t", new, 10.0, False, LeaseNote(old, 3, b"first")),),
    )
    voter.on_message(1.0, "x", WriteNote("t", LeaseNote(old, 4, b"late"), 1))
    voter.on_message(1.0, "y", WriteNote("t", LeaseNote(new, 1, b"next"), 2))
    assert not voter.pending_writes and not voter.outbox, "neither under an older token nor for another set"
    voter.on_message(1.0, "y", WriteNote("t", LeaseNote(new, 1, b"next"), 1))
    voter.on_written(voter.pending_writes.popleft(), True)
    voter.on_message(1.0, "y", WriteNote("t", LeaseNote(new, 0, b"before"), 1))
    assert [m for _, m in voter.outbox] == [NoteWritten("t", new, 1)] and voter.records["t"].note.text == b"next"
    empty = Acceptor("c", SET, 0.0, None)
    empty.stage, empty._stage_durable = Stage.EMPTY, True
    empty._state_replies = {
        "a": StateReply(1, 0, "voting", False, (LeaseRow("t", old, 10.0, True, LeaseNote(new, 1, b"next")),))
    }
    empty._start_voting(200.0)
    assert empty.records["t"].note.text == b"next"


def test_an_old_token_is_never_acted_under_whatever_the_clocks() -> None:
    """Ten times the bound: two may believe, but what is acted on takes no older token."""
    rates = (("a", 1.2), ("b", 1.2), ("c", 1.2), ("x", 0.8), ("y", 0.8))
    both = 0
    for seed in range(150):
        state = Model(ModelSetup(SET, ("x", "y"), LATE, clock_rates=rates, clocks_in_bound=False))

        def look(one: Model) -> None:
            nonlocal both
            one.check()
            both += sum(a.held_token(one.local_time(n), TASK) is not None for n, a in one.clients.items()) > 1

        random_walk(state, look, seed, 400, 0.3)
    assert both > 0, "the clocks were wrong enough to matter"


# Askers.


def asked(asker: LeaseClient) -> list[tuple[str, AcquireRequest]]:
    found = [(to, m) for to, m in asker.outbox if isinstance(m, AcquireRequest)]
    asker.outbox.clear()
    return found


def held(asker: LeaseClient, now: float = 0.0) -> FencingToken:
    asker.acquire(now, "t", 100.0)
    asker.tick(now)
    while questions := asked(asker):
        for to, ask in questions:
            asker.on_message(now, to, Grant("t", ask.token, ask.request_id))
    won = asker.events.popleft()
    assert isinstance(won, LeaseAcquired)
    return won.token


def test_renewals_count_only_answers_to_one_question_and_from_when_it_was_asked() -> None:
    asker = LeaseClient("x", "x/1", SET)
    token = held(asker)
    until = SET.safe_hold_ms(100.0)
    assert asker.held_token(until - 0.01, "t") == token and asker.held_token(until, "t") is None
    asker.tick(40.0)
    first = asked(asker)
    asker.tick(75.0)
    second = asked(asker)
    asker.on_message(76.0, "a", Grant("t", token, first[0][1].request_id))
    asker.on_message(76.0, "b", Grant("t", token, second[0][1].request_id))
    assert asker.remaining_ms(76.0, "t") == pytest.approx(until - 76.0), "two halves are no majority"
    asker.on_message(77.0, "c", Grant("t", token, first[0][1].request_id))
    assert asker.remaining_ms(77.0, "t") == pytest.approx(40.0 + until - 77.0)
    asker.on_message(78.0, "c", Grant("t", token, first[0][1].request_id))
    asker.on_message(78.0, "stranger", Grant("t", token, second[0][1].request_id))
    assert asker.remaining_ms(78.0, "t") == pytest.approx(40.0 + until - 78.0)
    asker.tick(200.0)
    assert asker.events.popleft() == LeaseLost("t", token, "expired") and asker.held_token(200.0, "t") is None


def test_answers_of_the_set_before_do_not_count_for_the_next() -> None:
    asker = LeaseClient("x", "x/1", SET)
    asker.acquire(0.0, "t", 100.0)
    asker.tick(0.0)
    [(first, ask)] = asked(asker)
    asker.on_message(1.0, first, Grant("t", ask.token, ask.request_id))
    rest = asked(asker)
    asker.on_message(2.0, rest[0][0], Refusal("t", ask.token, ask.request_id, "set", NO_TOKEN, 0.0, 2, ("a", "b", "d")))
    asker.on_message(3.0, rest[1][0], Grant("t", ask.token, ask.request_id))
    assert asker.config_number == 2 and not asker.events and asker.requests["t"].state is RequestState.WAITING
    with pytest.raises(ValueError, match="at most"):
        asker.acquire(0.0, "u", 101.0)


def test_what_is_handed_over_is_had_at_once_by_whom_it_was_meant_for() -> None:
    voters = {name: Acceptor(name, SET, 0.0, DurableState(1, Stage.VOTING, False)) for name in SET.acceptors}
    askers = {name: LeaseClient(name, f"{name}/1", SET) for name in ("x", "y", "z")}
    told: list[str] = []

    def pump(now: float) -> None:
        busy = True
        while busy:
            busy = False
            for name, core in [*voters.items(), *askers.items()]:
                while isinstance(core, Acceptor) and core.pending_writes:
                    core.on_written(core.pending_writes.popleft(), True)
                while core.outbox:
                    to, message = core.outbox.popleft()
                    busy = True
                    told.append(to) if isinstance(message, Transferred) else None
                    (voters.get(to) or askers[to]).on_message(now, name, message)

    held_by = askers["x"]
    for name in ("x", "y", "z"):
        askers[name].acquire(0.0, "t", 100.0)
        askers[name].tick(0.0)
        pump(0.0)
    first = held_by.held_token(1.0, "t")
    assert first is not None
    held_by.release(10.0, "t", "z")
    pump(10.0)
    askers["z"].tick(10.0)
    pump(10.0)
    second = askers["z"].held_token(10.0, "t")
    assert second is not None and second > first and told.count("z") == 3
    assert askers["y"].held_token(10.0, "t") is None and held_by.events.pop() == LeaseLost("t", first, "released")


def test_a_fleet_that_waits_is_given_places_one_after_another() -> None:
    settings = dataclasses.replace(SET, queue_spacing_ms=20.0)
    voter = Acceptor("a", settings, 0.0, DurableState(1, Stage.VOTING, False))
    voter.on_message(0.0, "x", AcquireRequest("t", FencingToken(1, "x/1"), 100.0, 1, 1))
    voter.on_written(voter.pending_writes.popleft(), True)
    voter.outbox.clear()
    for number in range(200):
        voter.on_message(1.0, f"y{number}", AcquireRequest("t", FencingToken(2, f"y{number}/1"), 100.0, 1, 1))
    left = [message.retry_after_ms for _, message in voter.outbox if isinstance(message, Refusal)]
    assert left == pytest.approx([99.0 + 20.0 * n for n in range(200)])
    voter.outbox.clear()
    voter.on_message(2.0, "x", Release("t", FencingToken(1, "x/1")))
    assert list(voter.outbox) == [("y0", Transferred("t"))], "the first in line need not wait for an end that has come"


# A voter's memory.


def test_a_voter_goes_on_from_its_ledger_and_without_one_does_not_vote(tmp_path: Path) -> None:
    file = tmp_path / "leases.sqlite"
    ledger, memory, rows, reason = open_acceptor_store(file)
    assert memory is None and not rows and not reason
    kept = LeaseRow("t", FencingToken(7, "x/1"), 100.0, False)
    ledger.commit(
        [Write(1, (kept,), DurableState(1, Stage.VOTING, False)), Write(2, (LeaseRow("u", NO_TOKEN, 0.0, True),))]
    )
    ledger.close()
    ledger, memory, rows, _ = open_acceptor_store(file)
    assert memory == DurableState(1, Stage.VOTING, False) and rows == (kept, LeaseRow("u", NO_TOKEN, 0.0, True))
    ledger.close()
    voter = Acceptor("a", SET, 50.0, memory, rows)
    voter.on_message(60.0, "y", AcquireRequest("t", FencingToken(8, "y/1"), 100.0, 1, 1))
    assert isinstance(refused := voter.outbox.popleft()[1], Refusal) and refused.retry_after_ms == pytest.approx(90.0)
    voter.on_message(151.0, "y", AcquireRequest("t", FencingToken(8, "y/1"), 100.0, 2, 1))
    assert not voter.outbox, "not before it is on disk"
    voter.on_written(voter.pending_writes.popleft(), False)
    assert not voter.outbox, "nor where it cannot be"
    database = apsw.Connection(str(file))
    database.execute("UPDATE kept SET body = zeroblob(length(body)) WHERE name = 't'")
    database.close()
    ledger, memory, rows, reason = open_acceptor_store(file)
    assert memory is None and not rows and "Corrupt" in reason and (tmp_path / "leases.sqlite.damaged-1").exists()
    ledger.close()
    empty = Acceptor("a", SET, 0.0, memory, rows)
    empty.on_message(1.0, "y", AcquireRequest("t", FencingToken(9, "y/1"), 100.0, 1, 1))
    assert isinstance(refused := empty.outbox.popleft()[1], Refusal) and refused.reason == "empty"


def test_a_voter_without_memory_learns_after_the_longest_lease_from_a_majority_that_votes() -> None:
    voter = Acceptor("a", SET, 0.0, None)

    def answered(now: float, stages: dict[str, str]) -> Stage:
        voter.tick(now)
        nonce = voter.outbox[-1][1].nonce  # type: ignore[union-attr]
        voter.outbox.clear()
        for name, stage in stages.items():
            voter.on_message(
                now, name, StateReply(1, nonce, stage, False, (LeaseRow("t", FencingToken(5, "x/1"), 100.0, False),))
            )
        while voter.pending_writes:
            voter.on_written(voter.pending_writes.popleft(), True)
        return voter.stage

    assert answered(1.0, {"b": "voting", "c": "voting"}) is Stage.EMPTY
    assert answered(SET.recovery_wait_ms + 1, {"b": "voting", "c": "empty"}) is Stage.EMPTY, "one is no majority"
    assert answered(SET.recovery_wait_ms + 20, {"b": "voting", "c": "voting"}) is Stage.VOTING
    voter.on_message(130.0, "y", AcquireRequest("t", FencingToken(5, "a/1"), 100.0, 1, 1))
    voter.on_message(130.0, "x", AcquireRequest("t", FencingToken(5, "x/1"), 100.0, 1, 1))
    (_, old), (_, renewed) = voter.outbox
    assert isinstance(old, Refusal) and old.reason == "older" and isinstance(renewed, Grant)


# Settings and the audit.

FLEET = (ROOT / "examples" / "fleet.sexp").read_text()


LAST = "dispatcher-3 dispatcher-4)\n"


@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        (LAST, "dispatcher-3)\n", "three or five"),
        (LAST, "dispatcher-3 dispatcher-9)\n", "a peer of this"),
        (LAST, "dispatcher-3 dispatcher-3)\n", "different names"),
        ("(longest-ms 2000)", "(longest-ms 1500)", "at least the length-ms"),
        ("(length-ms 2000) (longest-ms 2000)", "(length-ms 500)", "four times the ask-ms"),
        ("(ask-ms 150)", "(ask-ms 150) (number 2)", "(before NAME ...)"),
        (
            "(ask-ms 150)",
            "(ask-ms 150) (number 2) (before dispatcher-0 dispatcher-1 dispatcher-2 other-3 other-4)",
            "one voter replaced",
        ),
        ("(clock-bound 0.01)", "(clock-bound 0.5)", "from 0 to 0.2"),
    ],
)
def test_settings_that_cannot_be_are_refused_with_their_line(old: str, new: str, word: str) -> None:
    assert old in FLEET
    with pytest.raises(SettingsError) as caught:
        parse(FLEET.replace(old, new), "fleet.sexp")
    assert any(word in str(f) and str(f).startswith("fleet.sexp:") for f in caught.value.faults)


def test_one_voter_may_be_replaced_and_two_may_come_or_go() -> None:
    for before in (
        "dispatcher-0 dispatcher-1 dispatcher-2 dispatcher-3 dispatcher-9",
        "dispatcher-0 dispatcher-1 dispatcher-2",
    ):
        made = parse(FLEET.replace("(ask-ms 150)", f"(ask-ms 150) (number 2) (before {before})"), "fleet.sexp")
        assert made.leases is not None and made.leases.config_number == 2
    assert load(ROOT / "examples" / "season.sexp").leases is not None


def act(t: float, token: int, looked: float, by: str = "d", taken: bool = True, what: str = "act") -> dict[str, Any]:
    return {
        "t": t,
        "who": "witness",
        "what": what,
        "task": "t",
        "token": [token, by],
        "by": by,
        "looked": looked,
        "taken": taken,
    }


def test_the_audit_sees_two_holders_and_old_tokens_in_captures_alone() -> None:
    world = {
        "t": 0.0,
        "who": "player",
        "what": "world",
        "types": [],
        "kept": True,
        "names": [],
        "clock_bound": 0.01,
        "rules": {"drain_grace_ms": 1, "tip": 1, "tip_ms": 1, "load_span_ms": 0},
    }
    good = [act(10, 1, 9), act(20, 1, 19, what="done"), act(30, 2, 29, "e"), act(40, 1, 19, taken=False)]
    verdict = check_history([world, *good])
    assert not verdict.broken and verdict.old_tokens_refused == 1 and verdict.acts == 3
    two = check_history([world, *good, act(50, 1, 45, taken=False)])
    assert two.holders_two == 1 and two.broken and not two.old_tokens_taken
    taken = check_history([world, *good, act(50, 1, 19)])
    assert taken.old_tokens_taken == 1 and not taken.holders_two
    clock = {"t": 25.0, "who": "player", "what": "trouble", "kind": "clock-rate", "seconds": 1.0, "factor": 1.1}
    beyond = check_history([world, clock, *good, act(50, 1, 45, taken=False)])
    assert beyond.holders_two_by_clocks == 1 and not beyond.broken
    within = check_history([world, clock | {"factor": 1.01}, *good, act(50, 1, 45, taken=False)])
    assert within.holders_two == 1
