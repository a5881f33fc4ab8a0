"""The store: entries, group commit, the book on a disk that fails, recovery by effect, crashes of real processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import apsw
import pytest
from program import DEPLOYMENT, Dispatcher, ScriptedWorker, Silent, answer, final_answer, never_answer, run

from kelptrail.codec.http import Request
from kelptrail.dispatch.entities import AttemptStatus, Idempotency
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import CancelAttempt, FinalAnswer, StartAttempt, StartLoad
from kelptrail.membership.members import Endpoint as Listed
from kelptrail.membership.members import EndpointList
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import parse
from kelptrail.store.activation_journal import ActivationEntries, ActivationJournal, JournalError, open_journal
from kelptrail.store.driver import JournalDriver
from kelptrail.store.entries import Accepted, CorruptEntryError, Ended, MayRun, decode_entry, encode_entry
from kelptrail.store.faulty_disk import FaultyDisk
from kelptrail.store.group_commit import GroupCommit, UnexpectedBatchError
from kelptrail.store.recovery import EndRequest, RecoveryRule, ResumeQueue, ResumeRequest, decide_recovery

ROOT = Path(__file__).parent.parent
ACCEPTED = Accepted("a" * 32, "one", "grant", 1000.0, 900.0, b'{"a":1}', "k", "d")


def ended(id_: str = "a" * 32, result: bytes = b"{}") -> Ended:
    return Ended(id_, 1500.0, "completed", 0, result)


# Entries.


def test_entries_come_back_as_they_were_and_damage_is_seen() -> None:
    large = b'{"x":"' + b"abc" * 5000 + b'"}'
    for entry in (ACCEPTED, MayRun("a" * 32, 1100.0, "w"), ended(), ended(result=large)):
        data, crc = encode_entry(entry)
        assert decode_entry(data, crc) == entry
        for at in range(0, len(data), max(1, len(data) // 40)):
            flipped = bytearray(data)
            flipped[at] ^= 0x10
            with pytest.raises(CorruptEntryError):
                decode_entry(bytes(flipped), crc)
    assert len(encode_entry(ended(result=large))[0]) < len(large) / 10, "large results are compressed"


# Group commit.


def test_calls_that_come_together_share_a_sync_and_are_told_in_order() -> None:
    journal, told = GroupCommit(), list[tuple[int, bool]]()
    for n in range(5):
        journal.write(MayRun(str(n), 0.0, "w"), lambda safe, n=n: told.append((n, safe)))
    first = journal.next_batch(0.0)
    assert first is not None and len(first.entries) == 5 and journal.next_batch(0.0) is None
    journal.write(MayRun("5", 0.0, "w"), lambda safe: told.append((5, safe)))
    assert not told, "nothing is said before it is safe"
    with pytest.raises(UnexpectedBatchError):
        journal.on_batch_durable(first.number + 1)
    journal.on_batch_durable(first.number)
    assert told == [(n, True) for n in range(5)] and journal.commits == 1
    second = journal.next_batch(1.0)
    assert second is not None and [e.id for e in second.entries] == ["5"]


def test_a_failing_sync_promises_nothing_and_final_answers_are_kept_for_later() -> None:
    journal, told = GroupCommit(retry_ms=500.0), list[tuple[str, bool]]()
    journal.write(ACCEPTED, lambda safe: told.append(("accepted", safe)))
    journal.write(ended(), lambda safe: told.append(("ended", safe)), keep=True)
    batch = journal.next_batch(0.0)
    assert batch is not None
    journal.write(MayRun("b", 0.0, "w"), lambda safe: told.append(("may-run", safe)))
    journal.on_batch_failed(10.0, batch.number, "full")
    assert told == [("accepted", False), ("may-run", False)] and not journal.is_accepting() and journal.waiting == 1
    journal.write(ACCEPTED, lambda safe: told.append(("again", safe)))
    assert told[-1] == ("again", False) and journal.next_batch(400.0) is None
    trial = journal.next_batch(510.0)
    assert trial is not None and [type(e) for e in trial.entries] == [Ended]
    journal.on_batch_failed(520.0, trial.number, "full")
    trial = journal.next_batch(1030.0)
    assert trial is not None
    journal.on_batch_durable(trial.number)
    assert told[-1] == ("ended", True) and journal.is_accepting() and journal.waiting == 0


# The book.


def test_lives_by_start_retention_and_writing_twice(tmp_path: Path) -> None:
    book = ActivationJournal(tmp_path / "b")
    book.commit([Accepted(f"{n:032x}", "one", "grant", 100.0 - n, 900.0, b"{}") for n in range(5)])
    book.commit([MayRun(f"{1:032x}", 120.0, "w"), MayRun(f"{1:032x}", 999.0, "v"), ended(f"{2:032x}")])
    lives = list(book.activations())
    assert [life.accepted.start for life in lives] == [96, 97, 98, 99, 100]
    assert lives[3].may_run == MayRun(f"{1:032x}", 120.0, "w"), "the first time counts"
    assert lives[2].ended == ended(f"{2:032x}")
    book.forget([f"{n:032x}" for n in range(3)])
    book.close()
    assert ActivationJournal(tmp_path / "b").count() == 2


def test_flipped_bytes_in_a_row_count_against_running_again(tmp_path: Path) -> None:
    book = ActivationJournal(tmp_path / "b")
    book.commit([ACCEPTED, ended()])
    book._database.run("UPDATE entries SET body = zeroblob(length(body)) WHERE kind = 2")
    (life,) = book.activations()
    assert book.damaged == 1 and life.ended is None and life.may_run is not None, "it may have run"


def test_torn_tails_lose_only_what_was_not_said(tmp_path: Path) -> None:
    file = tmp_path / "b"
    book = ActivationJournal(file)
    book._database.run("PRAGMA wal_autocheckpoint=0")
    for n in range(20):
        book.commit([Accepted(f"{n:032x}", "one", "grant", float(n), 900.0, b"{}" * 200)])
    wal, base = (tmp_path / "b-wal").read_bytes(), file.read_bytes()
    chance = random.Random(1)
    for n in range(12):
        place = tmp_path / f"torn-{n}"
        place.mkdir()
        (place / "b").write_bytes(base)
        (place / "b-wal").write_bytes(wal[: chance.randrange(len(wal))])
        torn, aside = open_journal(place / "b")
        lives = [life.accepted.start for life in torn.activations()]
        assert aside is None and lives == [float(i) for i in range(len(lives))], "a prefix, whole"
    assert len([1 for _ in book.activations()]) == 20


def test_a_book_that_cannot_be_read_is_set_aside_and_a_newer_one_left_alone(tmp_path: Path) -> None:
    file = tmp_path / "b"
    file.write_bytes(os.urandom(8192))
    book, aside = open_journal(file)
    assert aside is not None and aside.stat().st_size == 8192 and book.count() == 0
    book._database.run("PRAGMA user_version=99")
    book.close()
    with pytest.raises(JournalError, match="newer"):
        open_journal(file)


def test_format_1_is_read(tmp_path: Path) -> None:
    old = apsw.Connection(str(tmp_path / "b"))
    old.execute(
        "CREATE TABLE rows (id TEXT NOT NULL, kind INTEGER NOT NULL, start REAL NOT NULL, crc INTEGER NOT NULL,"
        " body BLOB NOT NULL, PRIMARY KEY (id, kind)) WITHOUT ROWID; PRAGMA user_version=1"
    )
    data, crc = encode_entry(ACCEPTED)
    old.execute("INSERT INTO rows VALUES (?, 0, ?, ?, ?)", (ACCEPTED.id, ACCEPTED.start, crc, data))
    old.close()
    book, aside = open_journal(tmp_path / "b")
    assert aside is None and [life.accepted for life in book.activations()] == [ACCEPTED]


def test_failing_syncs_a_full_disk_and_a_read_only_folder(tmp_path: Path) -> None:
    disk = FaultyDisk()
    book = ActivationJournal(tmp_path / "b", vfs="harmed")
    book.commit([ACCEPTED])
    assert disk.syncs > 0, "a commit syncs"
    disk.fault = {"fails": True}
    with pytest.raises(JournalError, match="IOError"):
        book.commit([ended()])
    disk.fault = {}
    book.commit([ended()])
    assert next(book.activations()).ended == ended()
    small = ActivationJournal(tmp_path / "small", max_bytes=100_000)
    with pytest.raises(JournalError, match="Full"):
        for n in range(200):
            small.commit([Accepted(f"{n:032x}", "one", "grant", float(n), 900.0, os.urandom(4000))])
    kept = small.count()
    assert 0 < kept < 200
    small.forget([life.accepted.id for life in small.activations()][: kept // 2])
    small.commit([ACCEPTED])  # there is room again
    with pytest.raises(JournalError):
        ActivationJournal(tmp_path / "no-such-folder" / "b")
    book.close()


@pytest.mark.parametrize("before", [0, 1, 7])
@pytest.mark.parametrize("fault", ["fails", "full"])
def test_a_commit_that_failed_is_not_there_after_a_kill(tmp_path: Path, fault: str, before: int) -> None:
    """Its caller was refused and tries elsewhere: the next start must not find it and run it."""
    disk = FaultyDisk()
    book = ActivationJournal(tmp_path / "b", vfs="harmed")
    accepted = [Accepted(f"{n:032x}", "one", "grant", float(n), 900.0, b"{}") for n in range(before + 2)]
    for entry in accepted[:before]:
        book.commit([entry])
    try:
        disk.fault = {fault: True}
        for _ in range(2):
            with pytest.raises(JournalError):
                book.commit([accepted[before]])
        found = found_after_a_kill(tmp_path)
    finally:
        disk.fault = {}
    assert found == accepted[:before]
    book.commit([accepted[before + 1]])
    assert found_after_a_kill(tmp_path) == [*accepted[:before], accepted[before + 1]]
    book.close()


def found_after_a_kill(folder: Path) -> list[Accepted]:
    """What a start finds if the process were killed now: the kernel keeps what was written, synced or not."""
    left = folder / "left"
    shutil.rmtree(left, ignore_errors=True)
    left.mkdir()
    for file in folder.glob("b*"):
        shutil.copy(file, left / file.name)
    book, aside = open_journal(left / "b")
    assert aside is None
    found = [life.accepted for life in book.activations()]
    book.close()
    return found


# Recovery.


RULES = {
    "repeatable": RecoveryRule(Idempotency.IDEMPOTENT, "all", 0, 2),
    "deduplicated": RecoveryRule(Idempotency.DEDUPLICATED, "all", 2000, 5),
    "zone": RecoveryRule(Idempotency.DEDUPLICATED, "zone", 2000, 5),
    "once-only": RecoveryRule(Idempotency.AT_MOST_ONCE, "all", 0, 6),
}


@pytest.mark.parametrize(
    ("effect", "ran", "later", "what"),
    [
        ("repeatable", False, 100, "resume"),
        ("repeatable", True, 100, "resume"),
        ("repeatable", True, 5000, "rejected"),
        ("deduplicated", False, 100, "resume"),
        ("deduplicated", True, 100, "resume"),
        ("deduplicated", True, 1950, "aborted"),
        ("zone", True, 100, "aborted"),
        ("zone", False, 100, "resume"),
        ("once-only", False, 100, "resume"),
        ("once-only", True, 100, "aborted"),
        ("once-only", False, 5000, "rejected"),
        ("once-only", False, -50, "rejected"),
        ("once-only", True, -50, "aborted"),
    ],
)
def test_what_becomes_of_one_by_effect_sends_and_time(effect: str, ran: bool, later: float, what: str) -> None:
    accepted = Accepted("x", "one", "p", 1000.0, 2500.0, b"{}")
    life = ActivationEntries(accepted, MayRun("x", 1000.0, "w") if ran else None)
    found = decide_recovery(life, RULES[effect], 1000.0 + later, 100.0)
    assert (found.answer if isinstance(found, EndRequest) else "resume") == what
    if isinstance(found, ResumeRequest):
        assert found.remaining_ms == 2500 - later


def test_the_pace_takes_the_most_useful_first_only_so_many_at_once() -> None:
    found = [
        ResumeRequest(ActivationEntries(Accepted(str(n), "one", "p", 0, 1000, b"")), 1000.0, None, float(n))
        for n in range(10)
    ]
    pace = ResumeQueue(found, 3, 100.0)
    taken = [pace.next(10.0 * n) for n in range(5)]
    assert [t.entries.accepted.id for t in taken if t] == ["9", "8", "7"] and taken[3:] == [None, None]
    pace.on_finished()
    again = pace.next(60.0)
    assert isinstance(again, ResumeRequest) and again.entries.accepted.id == "6" and pace.next(70.0) is None
    late = [pace.next(950.0) for _ in range(len(pace))]
    assert all(isinstance(e, EndRequest) and e.answer == "rejected" for e in late) and len(late) == 6


# The core with a disk that forgets what was not synced.


class Run:
    """A core, a journal and a model of the disk; crashes lose whatever was not acknowledged."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.deployment = parse(DEPLOYMENT, "t")
        self.now, self.wall = 1000.0, 5e12
        self.disk: list[Any] = []  # entries that are safe
        self.promised: set[str] = set()  # ids that clients hold
        self.shown: dict[str, str] = {}  # final answers that clients saw
        self.effects: dict[str, int] = {}
        self.kinds: dict[str, str] = {}
        self.boots = 0
        self.start()

    def start(self) -> None:
        self.boots += 1
        self.journal = GroupCommit(retry_ms=20.0)
        self.gateway = Gateway(DispatcherParts(self.deployment, "a", self.boots), f"{self.boots:016x}", self.journal)
        self.gateway.on_endpoints(
            self.now, EndpointList(1, [Listed(f"w{n}", f"h:{n}", incarnation="1") for n in range(3)], "x")
        )
        lives: dict[str, ActivationEntries] = {}
        for entry in self.disk:
            if entry.id not in lives and not isinstance(entry, Accepted):
                continue  # the book passes it over, too
            if isinstance(entry, Accepted):
                lives.setdefault(entry.id, ActivationEntries(entry))
            elif isinstance(entry, MayRun) and lives[entry.id].may_run is None:
                lives[entry.id].may_run = entry
            elif isinstance(entry, Ended) and lives[entry.id].ended is None:
                lives[entry.id].ended = entry
        self.gateway.recover(self.now, self.wall, lives.values(), 50.0, 4)
        self.out: list[tuple[float, Any]] = []
        for id_ in self.promised:
            assert self.gateway.records.get("one", id_) is not None, "what was acknowledged is found"
        self.poll()

    def poll(self) -> None:
        for id_ in self.promised:
            record = self.gateway.records.get("one", id_)
            if record is not None and record.visible:
                assert self.shown.setdefault(id_, record.answer) == record.answer, "one answer, also after a crash"

    def step(self) -> None:
        chance, gateway = self.chance, self.gateway
        passed = chance.uniform(0.5, 6.0)
        self.now, self.wall = self.now + passed, self.wall + passed
        if chance.random() < 0.4 and self.journal.is_accepting():  # else the API refuses
            action = chance.choice(list(self.deployment.actions.values()))
            ivk = gateway.submit(self.now, self.wall, Submission("one", action, b"{}", deferred=True))
            self.kinds[ivk.record.id] = ivk.record.idempotency
            self.pull()
            if not ivk.record.final:
                gateway.when_durable(
                    ivk,
                    lambda safe: self.promised.add(ivk.record.id) if safe else gateway.on_client_gone(self.now, ivk),
                )
        for due, send in [e for e in self.out if e[0] <= self.now]:
            self.out.remove((due, send))
            if send.status is None:
                ends = [
                    AttemptStatus.COMPLETED,
                    AttemptStatus.ERROR,
                    AttemptStatus.CONNECTION_LOST,
                    AttemptStatus.OUT_OF_CAPACITY,
                ]
                outcome = chance.choices(ends, [6, 1, 1, 1])[0]
                if outcome is not AttemptStatus.OUT_OF_CAPACITY:
                    self.effects[send.request.id] = self.effects.get(send.request.id, 0) + 1
                gateway.on_attempt_finished(self.now, send, outcome)
        if chance.random() < 0.5 and (batch := self.journal.next_batch(self.now)) is not None:
            if chance.random() < 0.06:
                self.journal.on_batch_failed(self.now, batch.number, "full")
            else:
                self.disk += batch.entries
                self.journal.on_batch_durable(batch.number)
        self.pull()
        self.poll()
        if chance.random() < 0.015:  # whatever went out may have run, whatever was not synced is gone
            for _, send in self.out:
                if chance.random() < 0.5:
                    self.effects[send.request.id] = self.effects.get(send.request.id, 0) + 1
            passed = chance.uniform(5, 400)
            self.now, self.wall = self.now + passed, self.wall + passed
            self.start()

    def pull(self) -> None:
        while (effect := self.gateway.next_effect(self.now)) is not None:
            if isinstance(effect, StartAttempt):
                id_, kind = effect.attempt.request.id, effect.invocation.record.idempotency
                if kind != "repeatable":
                    assert any(isinstance(e, MayRun) and e.id == id_ for e in self.disk), "may run is safe before"
                self.out.append((self.now + self.chance.uniform(5, 200), effect.attempt))
            elif isinstance(effect, CancelAttempt) and effect.attempt.status is None:
                self.out = [e for e in self.out if e[1] is not effect.attempt]
                self.gateway.on_attempt_finished(self.now, effect.attempt, AttemptStatus.CANCELLED)
            elif isinstance(effect, StartLoad):
                self.gateway.on_load_report(self.now, effect.order, AttemptStatus.COMPLETED, effect.order.count)
            elif isinstance(effect, FinalAnswer):
                assert effect.invocation.record.visible


@pytest.mark.parametrize("seed", range(12))
def test_a_disk_that_forgets_what_was_not_synced_breaks_no_promise(seed: int) -> None:
    life = Run(seed)
    for _ in range(1500):
        life.step()
    assert life.boots > 5 and len(life.promised) > 100 and len(life.shown) > 80
    for id_, count in life.effects.items():
        assert count <= 1 or life.kinds[id_] != "once-only", "once-only never twice"


def test_what_is_resumed_earns_no_load_orders() -> None:
    deployment = parse(DEPLOYMENT, "t")
    world = DispatcherParts(deployment, "a", 1)
    gateway = Gateway(world, "b" * 16, GroupCommit())
    lives = [ActivationEntries(Accepted(f"{n:032x}", "one", "p/check", 1000.0, 900.0, b"{}")) for n in range(5)]
    assert gateway.recover(0.0, 1100.0, lives, 100.0, 16)["resumed"] == 5
    while gateway.next_effect(1.0) is not None:
        pass
    assert gateway.counts.received == 5 and not world.safety.request_times, (
        "they were counted by the run that took them"
    )


def test_a_deferred_call_earns_load_orders_only_once_it_is_certain_that_it_is_taken() -> None:
    """Found in ten minutes of faults: calls turned away by a failing disk had earned an order each."""
    world = DispatcherParts(parse(DEPLOYMENT, "t"), "a", 1)
    journal = GroupCommit()
    gateway = Gateway(world, "b" * 16, journal)
    action = world.deployment.actions["p/check"]
    for number, safe in enumerate((True, False)):
        ivk = gateway.submit(float(number), 1000.0, Submission("one", action, b"{}", deferred=True))
        gateway.when_durable(ivk, lambda _safe: None)
        batch = journal.next_batch(0.0)
        assert batch is not None and len(world.safety.request_times) == number
        if safe:
            journal.on_batch_durable(batch.number)
        else:
            journal.on_batch_failed(0.0, batch.number, "full")
        while gateway.next_effect(float(number)) is not None:
            pass
    assert len(world.safety.request_times) == 1
    gateway.submit(3.0, 1000.0, Submission("one", action, b"{}"))
    assert len(world.safety.request_times) == 2, "a blocking call gets an answer in any case"


# The API with a journal.


class Kept(Dispatcher):
    """A dispatcher with a book."""

    def __init__(self, workers: list[ScriptedWorker], file: Path, boot: str = "b" * 16, vfs: str | None = None) -> None:
        deployment = parse(DEPLOYMENT, "t")
        super().__init__([], deployment, boot)
        book, _ = open_journal(file, vfs=vfs)
        self.gateway.durability.journal = GroupCommit(retry_ms=100.0)
        self.driver.journal = JournalDriver(
            self.gateway.durability.journal, book, self.driver.schedule_decisions, self.log
        )
        self.found = self.gateway.recover(*now(), book.activations(), 100.0, 16)
        self.set_workers(workers)

    async def end(self) -> None:
        await self.driver.drain(0)
        assert self.driver.journal is not None
        await self.driver.journal.close(500)
        await self.server.drain(0)


def now() -> tuple[float, float]:
    return time.monotonic() * 1000, time.time() * 1000


def test_keys_join_what_is_in_hand_get_what_is_recorded_and_conflict_on_another_body(tmp_path: Path) -> None:
    held: list[tuple[Request, Exchange]] = []

    def later(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
        held.append((request, exchange))

    async def main() -> None:
        worker = ScriptedWorker("w", later)
        first = Kept([worker], tmp_path / "b")
        calls = [asyncio.create_task(first.call("grant", body={"a": 1}, key="k")) for _ in range(3)]
        while not held:
            await asyncio.sleep(0.01)
        assert (await first.call("grant", body={"a": 2}, key="k"))[0] == 409
        status, _, told = await first.call("grant", blocking=False, body={"a": 1}, key="k")
        assert status == 202
        target = f"/api/v1/namespaces/_/activations/{told['activationId']}?wait=800"
        poll = asyncio.create_task(first.request("GET", target))
        await asyncio.sleep(0.05)
        answer(worker, *held[0])
        answers = await asyncio.gather(*calls)
        assert [a[0] for a in answers] == [200] * 3 and len({a[2]["activationId"] for a in answers}) == 1
        assert len(held) == 1, "one run for all of them"
        assert (await poll)[0] == 200, "a long poll ends with the answer"
        assert (await first.call("grant", body={"a": 1}, key="k"))[0] == 200 and len(held) == 1
        await first.end()
        second = Kept([worker], tmp_path / "b", "c" * 16)
        status, _, again = await second.call("grant", body={"a": 1}, key="k")
        assert status == 200 and again["activationId"] == told["activationId"] and len(held) == 1, "across a restart"
        assert (await second.call("grant", body={}, key="k"))[0] == 409
        (listed,) = (await second.request("GET", "/api/v1/namespaces/_/activations"))[2]
        assert listed["activationId"] == told["activationId"]
        await second.end()
        await worker.server.drain(0)

    run(main())


def test_a_failing_disk_refuses_deferred_calls_and_keeps_blocking_ones(tmp_path: Path) -> None:
    async def main() -> None:
        disk = FaultyDisk()
        worker = ScriptedWorker("w", answer)
        one = Kept([worker], tmp_path / "b", vfs="harmed")
        assert (await one.call("grant", blocking=False, body={}))[0] == 202
        disk.fault = {"fails": True}
        statuses = [(await one.call("grant", blocking=False, body={}))[0] for _ in range(3)]
        assert statuses == [503] * 3
        assert (await one.call("grant", body={}))[0] == 200
        assert (await one.call("grant", body={}, key="k"))[0] == 200, "also with a key"
        sent = len(worker.attempts)
        disk.fault = {}
        await asyncio.sleep(0.4)
        assert (await one.call("grant", blocking=False, body={}))[0] == 202
        await asyncio.sleep(0.1)
        assert len(worker.attempts) == sent + 1, "what was refused never ran"
        disk.fault = {"sync_ms": 400}  # a slow disk delays promises and the sends that need one, not other calls
        loop = asyncio.get_running_loop()
        began = loop.time()
        slow = asyncio.create_task(one.call("grant", blocking=False, body={}))
        assert (await one.call("grant", body={}))[0] == 200 and loop.time() - began < 0.3
        assert (await slow)[0] == 202 and loop.time() - began > 0.35
        disk.fault = {}
        await one.end()
        await worker.server.drain(0)

    run(main())


def test_cancelling_where_the_effect_allows_it(tmp_path: Path) -> None:
    async def main() -> None:
        worker = ScriptedWorker("w", never_answer)
        one = Kept([worker], tmp_path / "b")
        for action, status in (("p/check", 202), ("grant", 409)):
            _, _, told = await one.call(action, blocking=False, body={})
            while len(worker.attempts) == 0 or worker.attempts[-1][1]["activation"] != told["activationId"]:
                await asyncio.sleep(0.01)
            got, _, _ = await one.request("DELETE", f"/api/v1/namespaces/_/activations/{told['activationId']}")
            assert got == status
            record = await one.wait_for_record(told["activationId"])
            assert final_answer(record)["answer"] == "aborted"
        await one.end()
        await worker.server.drain(0)

    run(main())


@pytest.mark.rigs
def test_a_dispatcher_killed_at_a_step_keeps_what_it_had_promised() -> None:
    """Two steps of the matrix of bench/crash_points.py, every effect, deferred and keyed, with real processes."""
    done = subprocess.run(
        [sys.executable, "bench/crash_points.py", "--steps", "cleared,ended"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    found = [json.loads(line) for line in done.stdout.splitlines()]
    assert done.returncode == 0, done.stdout + done.stderr[-1500:]
    assert len(found) == 10 and not any(case["broken"] for case in found)
    # A deferred one may die before its 202 has left: then nothing was promised, and nobody asks.
    assert {
        case["answer"]
        for case in found
        if case["step"] == "cleared" and case["effect"] == "once-only" and "answer" in case
    } == {"aborted"}


def test_compaction_goes_in_slices_and_commits_go_between_them(tmp_path: Path) -> None:
    async def main() -> None:
        book, told = ActivationJournal(tmp_path / "b"), list[bool]()
        ids = [f"{n:032x}" for n in range(1700)]
        book.commit([Accepted(id_, "one", "grant", 100.0, 900.0, b"{}") for id_ in ids])
        driver = JournalDriver(GroupCommit(100), book, lambda: None, Silent())
        for id_ in ids:
            driver.forget(id_)
        assert not driver._busy, "nothing before background work has its turn"
        assert driver.compact() and driver.compact(), "one slice at a time"
        driver.group_commit.write(Accepted("f" * 32, "one", "grant", 100.0, 900.0, b"{}"), told.append)
        while not told:
            await asyncio.sleep(0.002)
        assert told == [True] and book.count() > 600, "the commit did not wait for all slices"
        while driver._stale or driver._busy:
            driver.compact()
            await asyncio.sleep(0.002)
        assert book.count() == 1
        await driver.close(1000)

    run(main())
