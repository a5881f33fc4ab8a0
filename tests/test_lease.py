"""Leases: model checking of acceptors and clients, correct and faulty, the acceptor store, settings, and history."""

from __future__ import annotations

import dataclasses
import sys
from pathlib import Path
from typing import Any

import apsw
import msgspec
import pytest

from kelptrail.history_checker.checker import check_history
from kelptrail.lease.acceptor import Acceptor
from kelptrail.lease.acceptor_state import DurableState, LeaseRecord, Stage, Write
from kelptrail.lease.acceptor_store import open_acceptor_store
from kelptrail.lease.client import LeaseClient
from kelptrail.lease.events import LeaseAcquired, LeaseLost, LossReason
from kelptrail.lease.lease_request import RequestState
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
    RefusalReason,
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
sys.path.insert(0, str(ROOT / "bench"))

from lease_measurements.models import (  # noqa: E402
    ALL_FAULTS,
    CONFIG_CHANGE,
    DELAYS,
    DISK_LOSS,
    NEXT_SETTINGS,
    SETTINGS,
    TIMES,
    WalkSetup,
    initial_state,
    walk,
)


@pytest.mark.parametrize(
    ("budget", "fault_share", "length", "options"),
    [
        (ALL_FAULTS, 0.12, 400, {}),
        (DELAYS, 0.3, 800, {}),
        (DISK_LOSS, 0.3, 600, {}),
        (CONFIG_CHANGE, 0.1, 500, {"next_settings": NEXT_SETTINGS}),
        (Budget(drops=5, delays=60, restarts=3, client_restarts=1), 0.1, 300, {"is_founded": False}),
        (ALL_FAULTS, 0.12, 400, {"with_notes": True}),
        (DISK_LOSS, 0.3, 600, {"with_notes": True}),
        (CONFIG_CHANGE, 0.1, 500, {"next_settings": NEXT_SETTINGS, "with_notes": True}),
    ],
    ids=["all", "delays", "disk-loss", "config-change", "founding", "notes", "notes-disk-loss", "notes-config-change"],
)
def test_random_walks_violate_no_property_and_recover(
    budget: Budget, fault_share: float, length: int, options: dict[str, Any]
) -> None:
    for seed in range(25):
        walk(seed, WalkSetup(budget, fault_share, length, options))


def test_states_near_the_start_violate_no_property() -> None:
    result = explore(initial_state(1, Budget(drops=1, delays=1, restarts=1, actions=1), {}), Model.check, 7, 5000)
    assert result.states > 3000 and result.depth >= 6


class GrantsHeldTask(Acceptor):
    def _refusal_reason(self, now: float, sender: str, request: AcquireRequest) -> RefusalReason | None:
        reason = super()._refusal_reason(now, sender, request)
        return None if reason is RefusalReason.HELD else reason


class RepliesBeforeSync(Acceptor):
    def _enqueue_write(
        self,
        rows: tuple[LeaseRow, ...],
        state: DurableState | None = None,
        reply_to: str = "",
        reply: Message | None = None,
    ) -> None:
        super()._enqueue_write(rows, state, reply_to)
        if reply is not None:
            self.outbox.append((reply_to, reply))


class ForgetsGrantsAtRestart(Acceptor):
    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        for record in self.records.values():
            record.expires_at = float("-inf")


class VotesWithoutState(Acceptor):
    def __init__(
        self,
        name: str,
        settings: LeaseSettings,
        now: float,
        state: DurableState | None,
        rows: tuple[LeaseRow, ...] = (),
    ) -> None:
        super().__init__(name, settings, now, state or DurableState(settings.config_number, Stage.VOTING, False), rows)


class GrantsOlderToken(Acceptor):
    def _refusal_reason(self, now: float, sender: str, request: AcquireRequest) -> RefusalReason | None:
        record = self.records.get(request.task, LeaseRecord())
        reason = super()._refusal_reason(now, sender, request)
        return None if reason is RefusalReason.OLDER_TOKEN and not record.is_held(now) else reason


class ChangesConfigAtOnce(Acceptor):
    def _next_stage(self, now: float) -> Stage | None:
        return Stage.VOTING if self.stage is Stage.CHANGING else super()._next_stage(now)

    def _start_voting(self, now: float) -> None:
        config_changed = self.stage is Stage.CHANGING
        super()._start_voting(now)
        if config_changed:
            for record in self.records.values():
                record.expires_at = now


class CountsLeaseFromReply(LeaseClient):
    def _on_grant(self, now: float, sender: str, request: Any, answer: Grant) -> None:
        if (ballot := request.ballots.get(answer.request_id)) is not None:
            ballot.sent_at = now
        super()._on_grant(now, sender, request, answer)


class IgnoresExpiry(LeaseClient):
    def held_token(self, now: float, task: str) -> FencingToken | None:
        request = self.requests.get(task)
        return request.token if request is not None and request.state is RequestState.HOLDING else None


class CountsNoteAfterOneAck(LeaseClient):
    def _on_note_written(self, sender: str, request: Any, answer: NoteWritten) -> None:
        request.note_acceptors |= {"b", "c"}
        super()._on_note_written(sender, request, answer)


class CountsAbsentAcceptor(LeaseClient):
    def _on_grant(self, now: float, sender: str, request: Any, answer: Grant) -> None:
        if (ballot := request.ballots.get(answer.request_id)) is not None:
            ballot.granted_by.add("c")
        super()._on_grant(now, sender, request, answer)


@dataclasses.dataclass(frozen=True)
class IdealClockSettings(LeaseSettings):
    def safe_hold_ms(self, length_ms: float) -> float:
        return length_ms


IDEAL_CLOCK_SETTINGS = IdealClockSettings(("a", "b", "c"), **TIMES)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("budget", "fault_share", "length", "options"),
    [
        (ALL_FAULTS, 0.12, 400, {"acceptor_type": GrantsHeldTask}),
        (ALL_FAULTS, 0.12, 400, {"acceptor_type": RepliesBeforeSync}),
        (ALL_FAULTS, 0.12, 400, {"acceptor_type": ForgetsGrantsAtRestart}),
        (DISK_LOSS, 0.3, 600, {"acceptor_type": VotesWithoutState}),
        (ALL_FAULTS, 0.12, 400, {"acceptor_type": GrantsOlderToken}),
        (
            Budget(drops=20, delays=100),
            0.2,
            500,
            {"acceptor_type": ChangesConfigAtOnce, "next_settings": NEXT_SETTINGS},
        ),
        (DELAYS, 0.3, 800, {"client_type": CountsLeaseFromReply}),
        (DELAYS, 0.3, 800, {"client_type": IgnoresExpiry}),
        (ALL_FAULTS, 0.12, 400, {"client_type": CountsAbsentAcceptor}),
        (DELAYS, 0.3, 800, {"settings": IDEAL_CLOCK_SETTINGS}),
        (Budget(releases=9, actions=40, delays=60), 0.1, 300, {"checks_tokens": False}),
        (ALL_FAULTS, 0.12, 400, {"client_type": CountsNoteAfterOneAck, "with_notes": True}),
    ],
    ids=[
        "held-task",
        "before-sync",
        "forgets",
        "no-state",
        "older-token",
        "config-change",
        "from-reply",
        "expiry",
        "absent-acceptor",
        "ideal-clocks",
        "no-fencing",
        "note-one-ack",
    ],
)
def test_faulty_acceptors_and_clients_are_found_by_random_walks(
    budget: Budget, fault_share: float, length: int, options: dict[str, Any]
) -> None:
    with pytest.raises(
        PropertyError,
        match=r"rely on the lease at the same time|acquired the lease under token|"
        r"was accepted after token|did not inherit the note",
    ):
        for seed in range(2000):
            walk(seed, WalkSetup(budget, fault_share, length, options))


def test_acceptor_rejects_note_under_older_token_and_learns_notes_of_others() -> None:
    """Random walks do not find violations of these two rules within seconds, because both need rare schedules."""
    old, new = FencingToken(1, "x/1"), FencingToken(2, "y/1")
    acceptor = Acceptor(
        "a",
        SETTINGS,
        0.0,
        DurableState(1, Stage.VOTING, False),
        (LeaseRow("t", new, 10.0, False, LeaseNote(old, 3, b"first")),),
    )
    acceptor.on_message(1.0, "x", WriteNote("t", LeaseNote(old, 4, b"late"), 1))
    acceptor.on_message(1.0, "y", WriteNote("t", LeaseNote(new, 1, b"next"), 2))
    assert not acceptor.pending_writes and not acceptor.outbox, (
        "a note under an older token and a note for another acceptor set are not stored"
    )
    acceptor.on_message(1.0, "y", WriteNote("t", LeaseNote(new, 1, b"next"), 1))
    acceptor.on_written(acceptor.pending_writes.popleft(), True)
    acceptor.on_message(1.0, "y", WriteNote("t", LeaseNote(new, 0, b"before"), 1))
    assert [m for _, m in acceptor.outbox] == [NoteWritten("t", new, 1)] and acceptor.records["t"].note.text == b"next"
    empty = Acceptor("c", SETTINGS, 0.0, None)
    empty.stage, empty._stage_durable = Stage.EMPTY, True
    empty.recovery.replies = {
        "a": StateReply(1, 0, "voting", False, (LeaseRow("t", old, 10.0, True, LeaseNote(new, 1, b"next")),))
    }
    empty._start_voting(200.0)
    assert empty.records["t"].note.text == b"next"


def test_resource_accepts_no_older_token_whatever_the_clock_rates() -> None:
    """With clock rates at ten times the bound, two clients may rely on the lease at the same time.

    Even then, the resource must not accept a token older than one that it has accepted.
    """
    rates = (("a", 1.2), ("b", 1.2), ("c", 1.2), ("x", 0.8), ("y", 0.8))
    two_holder_states = 0
    for seed in range(150):
        state = Model(ModelSetup(SETTINGS, ("x", "y"), DELAYS, clock_rates=rates, clocks_in_bound=False))

        def check_and_count(model: Model) -> None:
            nonlocal two_holder_states
            model.check()
            two_holder_states += (
                sum(c.held_token(model.local_time(n), TASK) is not None for n, c in model.clients.items()) > 1
            )

        random_walk(state, check_and_count, seed, 400, 0.3)
    assert two_holder_states > 0, "the clock rates must be wrong enough for two clients to rely on the lease"


# The client.


def take_requests(client: LeaseClient) -> list[tuple[str, AcquireRequest]]:
    requests = [(to, m) for to, m in client.outbox if isinstance(m, AcquireRequest)]
    client.outbox.clear()
    return requests


def acquire_lease(client: LeaseClient, now: float = 0.0) -> FencingToken:
    client.acquire(now, "t", 100.0)
    client.tick(now)
    while requests := take_requests(client):
        for to, request in requests:
            client.on_message(now, to, Grant("t", request.token, request.request_id))
    event = client.events.popleft()
    assert isinstance(event, LeaseAcquired)
    return event.token


def test_renewal_needs_a_majority_for_one_request_and_counts_from_its_sending() -> None:
    client = LeaseClient("x", "x/1", SETTINGS)
    token = acquire_lease(client)
    hold_ms = SETTINGS.safe_hold_ms(100.0)
    assert client.held_token(hold_ms - 0.01, "t") == token and client.held_token(hold_ms, "t") is None
    client.tick(40.0)
    first = take_requests(client)
    client.tick(75.0)
    second = take_requests(client)
    client.on_message(76.0, "a", Grant("t", token, first[0][1].request_id))
    client.on_message(76.0, "b", Grant("t", token, second[0][1].request_id))
    assert client.remaining_ms(76.0, "t") == pytest.approx(hold_ms - 76.0), (
        "grants of two different requests do not form a majority"
    )
    client.on_message(77.0, "c", Grant("t", token, first[0][1].request_id))
    assert client.remaining_ms(77.0, "t") == pytest.approx(40.0 + hold_ms - 77.0)
    client.on_message(78.0, "c", Grant("t", token, first[0][1].request_id))
    client.on_message(78.0, "stranger", Grant("t", token, second[0][1].request_id))
    assert client.remaining_ms(78.0, "t") == pytest.approx(40.0 + hold_ms - 78.0)
    client.tick(200.0)
    assert (
        client.events.popleft() == LeaseLost("t", token, LossReason.EXPIRED) and client.held_token(200.0, "t") is None
    )


def test_grants_of_the_previous_acceptor_set_do_not_count() -> None:
    client = LeaseClient("x", "x/1", SETTINGS)
    client.acquire(0.0, "t", 100.0)
    client.tick(0.0)
    [(first, request)] = take_requests(client)
    client.on_message(1.0, first, Grant("t", request.token, request.request_id))
    rest = take_requests(client)
    client.on_message(
        2.0,
        rest[0][0],
        Refusal("t", request.token, request.request_id, RefusalReason.OTHER_CONFIG, NO_TOKEN, 0.0, 2, ("a", "b", "d")),
    )
    client.on_message(3.0, rest[1][0], Grant("t", request.token, request.request_id))
    assert client.config_number == 2 and not client.events and client.requests["t"].state is RequestState.WAITING
    with pytest.raises(ValueError, match="at most"):
        client.acquire(0.0, "u", 101.0)


def test_transferred_lease_is_acquired_at_once_by_the_successor() -> None:
    acceptors = {
        name: Acceptor(name, SETTINGS, 0.0, DurableState(1, Stage.VOTING, False)) for name in SETTINGS.acceptors
    }
    clients = {name: LeaseClient(name, f"{name}/1", SETTINGS) for name in ("x", "y", "z")}
    transfer_recipients: list[str] = []

    def deliver_all(now: float) -> None:
        any_message = True
        while any_message:
            any_message = False
            for name, participant in [*acceptors.items(), *clients.items()]:
                while isinstance(participant, Acceptor) and participant.pending_writes:
                    participant.on_written(participant.pending_writes.popleft(), True)
                while participant.outbox:
                    to, message = participant.outbox.popleft()
                    any_message = True
                    transfer_recipients.append(to) if isinstance(message, Transferred) else None
                    (acceptors.get(to) or clients[to]).on_message(now, name, message)

    holder = clients["x"]
    for name in ("x", "y", "z"):
        clients[name].acquire(0.0, "t", 100.0)
        clients[name].tick(0.0)
        deliver_all(0.0)
    first = holder.held_token(1.0, "t")
    assert first is not None
    holder.release(10.0, "t", "z")
    deliver_all(10.0)
    clients["z"].tick(10.0)
    deliver_all(10.0)
    second = clients["z"].held_token(10.0, "t")
    assert second is not None and second > first and transfer_recipients.count("z") == 3
    assert clients["y"].held_token(10.0, "t") is None and holder.events.pop() == LeaseLost(
        "t", first, LossReason.RELEASED
    )


def test_waiting_clients_get_spaced_retry_times() -> None:
    settings = dataclasses.replace(SETTINGS, queue_spacing_ms=20.0)
    acceptor = Acceptor("a", settings, 0.0, DurableState(1, Stage.VOTING, False))
    acceptor.on_message(0.0, "x", AcquireRequest("t", FencingToken(1, "x/1"), 100.0, 1, 1))
    acceptor.on_written(acceptor.pending_writes.popleft(), True)
    acceptor.outbox.clear()
    for number in range(200):
        acceptor.on_message(1.0, f"y{number}", AcquireRequest("t", FencingToken(2, f"y{number}/1"), 100.0, 1, 1))
    delays_ms = [message.retry_after_ms for _, message in acceptor.outbox if isinstance(message, Refusal)]
    assert delays_ms == pytest.approx([99.0 + 20.0 * n for n in range(200)])
    acceptor.outbox.clear()
    acceptor.on_message(2.0, "x", Release("t", FencingToken(1, "x/1")))
    assert list(acceptor.outbox) == [("y0", Transferred("t"))], "the first waiting client is notified of the release"


def test_refusal_reasons_are_strings_on_the_wire_and_an_unknown_one_is_decoded() -> None:
    refusal = Refusal("t", NO_TOKEN, 1, RefusalReason.OTHER_CONFIG, NO_TOKEN, 0.0, 2, ())
    data = msgspec.msgpack.encode(refusal)
    assert msgspec.msgpack.decode(data)[4] == "set"
    assert msgspec.msgpack.decode(data, type=Refusal) == refusal
    unknown_reason = msgspec.msgpack.decode(data.replace(b"\xa3set", b"\xa3new"), type=Refusal)
    assert unknown_reason.reason is RefusalReason.UNKNOWN
    assert {stage.value for stage in Stage} - {"voting"} <= {reason.value for reason in RefusalReason}


# The acceptor store.


def test_acceptor_continues_from_its_store_and_does_not_vote_without_one(tmp_path: Path) -> None:
    file = tmp_path / "leases.sqlite"
    store, state, rows, reason = open_acceptor_store(file)
    assert state is None and not rows and not reason
    row = LeaseRow("t", FencingToken(7, "x/1"), 100.0, False)
    store.commit(
        [Write(1, (row,), DurableState(1, Stage.VOTING, False)), Write(2, (LeaseRow("u", NO_TOKEN, 0.0, True),))]
    )
    store.close()
    store, state, rows, _ = open_acceptor_store(file)
    assert state == DurableState(1, Stage.VOTING, False) and rows == (row, LeaseRow("u", NO_TOKEN, 0.0, True))
    store.close()
    acceptor = Acceptor("a", SETTINGS, 50.0, state, rows)
    acceptor.on_message(60.0, "y", AcquireRequest("t", FencingToken(8, "y/1"), 100.0, 1, 1))
    assert isinstance(refused := acceptor.outbox.popleft()[1], Refusal) and refused.retry_after_ms == pytest.approx(
        90.0
    )
    acceptor.on_message(151.0, "y", AcquireRequest("t", FencingToken(8, "y/1"), 100.0, 2, 1))
    assert not acceptor.outbox, "no reply is sent before the write is durable"
    acceptor.on_written(acceptor.pending_writes.popleft(), False)
    assert not acceptor.outbox, "no reply is sent after the write failed"
    database = apsw.Connection(str(file))
    database.execute("UPDATE kept SET body = zeroblob(length(body)) WHERE name = 't'")
    database.close()
    store, state, rows, reason = open_acceptor_store(file)
    assert state is None and not rows and "Corrupt" in reason and (tmp_path / "leases.sqlite.damaged-1").exists()
    store.close()
    empty = Acceptor("a", SETTINGS, 0.0, state, rows)
    empty.on_message(1.0, "y", AcquireRequest("t", FencingToken(9, "y/1"), 100.0, 1, 1))
    assert isinstance(refused := empty.outbox.popleft()[1], Refusal) and refused.reason is RefusalReason.EMPTY


def test_acceptor_without_state_votes_after_longest_lease_and_replies_of_voting_majority() -> None:
    acceptor = Acceptor("a", SETTINGS, 0.0, None)

    def stage_after_replies(now: float, stages: dict[str, str]) -> Stage:
        acceptor.tick(now)
        nonce = acceptor.outbox[-1][1].nonce  # type: ignore[union-attr]
        acceptor.outbox.clear()
        for name, stage in stages.items():
            acceptor.on_message(
                now, name, StateReply(1, nonce, stage, False, (LeaseRow("t", FencingToken(5, "x/1"), 100.0, False),))
            )
        while acceptor.pending_writes:
            acceptor.on_written(acceptor.pending_writes.popleft(), True)
        return acceptor.stage

    assert stage_after_replies(1.0, {"b": "voting", "c": "voting"}) is Stage.EMPTY
    assert stage_after_replies(SETTINGS.recovery_wait_ms + 1, {"b": "voting", "c": "empty"}) is Stage.EMPTY, (
        "one voting acceptor is no majority"
    )
    assert stage_after_replies(SETTINGS.recovery_wait_ms + 20, {"b": "voting", "c": "voting"}) is Stage.VOTING
    acceptor.on_message(130.0, "y", AcquireRequest("t", FencingToken(5, "a/1"), 100.0, 1, 1))
    acceptor.on_message(130.0, "x", AcquireRequest("t", FencingToken(5, "x/1"), 100.0, 1, 1))
    (_, older), (_, renewal) = acceptor.outbox
    assert isinstance(older, Refusal) and older.reason is RefusalReason.OLDER_TOKEN and isinstance(renewal, Grant)


# Settings and the history checker.

FLEET = (ROOT / "examples" / "fleet.sexp").read_text()


END_OF_ACCEPTORS = "dispatcher-3 dispatcher-4)\n"


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        (END_OF_ACCEPTORS, "dispatcher-3)\n", "three or five"),
        (END_OF_ACCEPTORS, "dispatcher-3 dispatcher-9)\n", "a peer of this"),
        (END_OF_ACCEPTORS, "dispatcher-3 dispatcher-3)\n", "different names"),
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
def test_invalid_settings_are_reported_with_file_and_line(old: str, new: str, expected: str) -> None:
    assert old in FLEET
    with pytest.raises(SettingsError) as caught:
        parse(FLEET.replace(old, new), "fleet.sexp")
    assert any(expected in str(f) and str(f).startswith("fleet.sexp:") for f in caught.value.faults)


def test_one_acceptor_may_be_replaced_and_two_added_or_removed() -> None:
    for before in (
        "dispatcher-0 dispatcher-1 dispatcher-2 dispatcher-3 dispatcher-9",
        "dispatcher-0 dispatcher-1 dispatcher-2",
    ):
        deployment = parse(FLEET.replace("(ask-ms 150)", f"(ask-ms 150) (number 2) (before {before})"), "fleet.sexp")
        assert deployment.leases is not None and deployment.leases.config_number == 2
    assert load(ROOT / "examples" / "season.sexp").leases is not None


def token_use(
    at: float, round_: int, checked_at: float, client: str = "d", accepted: bool = True, event: str = "act"
) -> dict[str, Any]:
    """Return the record of an action that was sent to the resource under a token."""
    return {
        "t": at,
        "who": "witness",
        "what": event,
        "task": "t",
        "token": [round_, client],
        "by": client,
        "looked": checked_at,
        "taken": accepted,
    }


def test_history_checker_finds_two_holders_and_old_tokens() -> None:
    first_event = {
        "t": 0.0,
        "who": "player",
        "what": "world",
        "types": [],
        "kept": True,
        "names": [],
        "clock_bound": 0.01,
        "rules": {"drain_grace_ms": 1, "tip": 1, "tip_ms": 1, "load_span_ms": 0},
    }
    valid_uses = [
        token_use(10, 1, 9),
        token_use(20, 1, 19, event="done"),
        token_use(30, 2, 29, "e"),
        token_use(40, 1, 19, accepted=False),
    ]
    result = check_history([first_event, *valid_uses])
    assert not result.broken and result.old_tokens_refused == 1 and result.lease_uses == 3
    two_holders = check_history([first_event, *valid_uses, token_use(50, 1, 45, accepted=False)])
    assert two_holders.holders_two == 1 and two_holders.broken and not two_holders.old_tokens_taken
    old_token_accepted = check_history([first_event, *valid_uses, token_use(50, 1, 19)])
    assert old_token_accepted.old_tokens_taken == 1 and not old_token_accepted.holders_two
    clock_fault = {"t": 25.0, "who": "player", "what": "trouble", "kind": "clock-rate", "seconds": 1.0, "factor": 1.1}
    beyond_bound = check_history([first_event, clock_fault, *valid_uses, token_use(50, 1, 45, accepted=False)])
    assert beyond_bound.holders_two_by_clocks == 1 and not beyond_bound.broken
    within_bound = check_history(
        [first_event, clock_fault | {"factor": 1.01}, *valid_uses, token_use(50, 1, 45, accepted=False)]
    )
    assert within_bound.holders_two == 1
