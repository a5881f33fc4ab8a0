"""Tests of the store: entries, group commit, the journal on a failing disk, recovery, crashes of real processes."""

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
from program import DEPLOYMENT, Dispatcher, RecordingLog, ScriptedWorker, answer, final_answer, never_answer, run

from kelptrail.codec.http import Request
from kelptrail.dispatch.entities import AttemptStatus, Idempotency
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import CancelAttempt, FinalAnswer, StartAttempt, StartLoad
from kelptrail.membership.members import Endpoint as ListedEndpoint
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
# Id, namespace, path, start, timeout in ms, payload, idempotency key and digest of the payload.
ACCEPTED = Accepted("a" * 32, "one", "grant", 1000.0, 900.0, b'{"a":1}', "k", "d")


def ended(id_: str = "a" * 32, result: bytes = b"{}") -> Ended:
    return Ended(id_, 1500.0, "completed", 0, result)


# Entries.


def test_entries_are_decoded_unchanged_and_corruption_is_detected() -> None:
    large = b'{"x":"' + b"abc" * 5000 + b'"}'
    for entry in (ACCEPTED, MayRun("a" * 32, 1100.0, "w"), ended(), ended(result=large)):
        data, crc = encode_entry(entry)
        assert decode_entry(data, crc) == entry
        for position in range(0, len(data), max(1, len(data) // 40)):
            corrupt = bytearray(data)
            corrupt[position] ^= 0x10
            with pytest.raises(CorruptEntryError):
                decode_entry(bytes(corrupt), crc)
    assert len(encode_entry(ended(result=large))[0]) < len(large) / 10, "large results are compressed"


# Group commit.


def test_entries_that_arrive_together_share_a_batch_and_are_reported_in_order() -> None:
    group_commit, results = GroupCommit(), list[tuple[int, bool]]()
    for n in range(5):
        group_commit.write(MayRun(str(n), 0.0, "w"), lambda durable, n=n: results.append((n, durable)))
    first = group_commit.next_batch(0.0)
    assert first is not None and len(first.entries) == 5 and group_commit.next_batch(0.0) is None
    group_commit.write(MayRun("5", 0.0, "w"), lambda durable: results.append((5, durable)))
    assert not results, "no entry is reported before its batch is durable"
    with pytest.raises(UnexpectedBatchError):
        group_commit.on_batch_durable(first.number + 1)
    group_commit.on_batch_durable(first.number)
    assert results == [(n, True) for n in range(5)] and group_commit.commits == 1
    second = group_commit.next_batch(1.0)
    assert second is not None and [e.id for e in second.entries] == ["5"]


def test_failed_sync_reports_failure_and_retries_final_answers() -> None:
    group_commit, results = GroupCommit(retry_ms=500.0), list[tuple[str, bool]]()
    group_commit.write(ACCEPTED, lambda durable: results.append(("accepted", durable)))
    group_commit.write(ended(), lambda durable: results.append(("ended", durable)), keep=True)
    batch = group_commit.next_batch(0.0)
    assert batch is not None
    group_commit.write(MayRun("b", 0.0, "w"), lambda durable: results.append(("may-run", durable)))
    group_commit.on_batch_failed(10.0, batch.number, "full")
    assert (
        results == [("accepted", False), ("may-run", False)]
        and not group_commit.is_accepting()
        and group_commit.waiting == 1
    )
    group_commit.write(ACCEPTED, lambda durable: results.append(("again", durable)))
    assert results[-1] == ("again", False) and group_commit.next_batch(400.0) is None
    trial = group_commit.next_batch(510.0)
    assert trial is not None and [type(e) for e in trial.entries] == [Ended]
    group_commit.on_batch_failed(520.0, trial.number, "full")
    trial = group_commit.next_batch(1030.0)
    assert trial is not None
    group_commit.on_batch_durable(trial.number)
    assert results[-1] == ("ended", True) and group_commit.is_accepting() and group_commit.waiting == 0


# The activation journal.


def test_activations_are_ordered_deduplicated_and_deleted(tmp_path: Path) -> None:
    journal = ActivationJournal(tmp_path / "b")
    journal.commit([Accepted(f"{n:032x}", "one", "grant", 100.0 - n, 900.0, b"{}") for n in range(5)])
    journal.commit([MayRun(f"{1:032x}", 120.0, "w"), MayRun(f"{1:032x}", 999.0, "v"), ended(f"{2:032x}")])
    activations = list(journal.activations())
    assert [activation.accepted.start for activation in activations] == [96, 97, 98, 99, 100]
    assert activations[3].may_run == MayRun(f"{1:032x}", 120.0, "w"), "the first may-run entry is kept"
    assert activations[2].ended == ended(f"{2:032x}")
    journal.forget([f"{n:032x}" for n in range(3)])
    journal.close()
    assert ActivationJournal(tmp_path / "b").count() == 2


def test_corrupt_row_counts_as_may_have_run(tmp_path: Path) -> None:
    journal = ActivationJournal(tmp_path / "b")
    journal.commit([ACCEPTED, ended()])
    # Kind 2 is the ended entry.
    journal._database.run("UPDATE entries SET body = zeroblob(length(body)) WHERE kind = 2")
    (activation,) = journal.activations()
    assert journal.damaged == 1 and activation.ended is None and activation.may_run is not None, (
        "the damaged entry may have been the may-run entry"
    )


def test_truncated_wal_loses_only_the_last_commits(tmp_path: Path) -> None:
    file = tmp_path / "b"
    journal = ActivationJournal(file)
    journal._database.run("PRAGMA wal_autocheckpoint=0")
    for n in range(20):
        journal.commit([Accepted(f"{n:032x}", "one", "grant", float(n), 900.0, b"{}" * 200)])
    wal, database = (tmp_path / "b-wal").read_bytes(), file.read_bytes()
    rng = random.Random(1)
    for n in range(12):
        folder = tmp_path / f"truncated-{n}"
        folder.mkdir()
        (folder / "b").write_bytes(database)
        (folder / "b-wal").write_bytes(wal[: rng.randrange(len(wal))])
        truncated, set_aside = open_journal(folder / "b")
        starts = [activation.accepted.start for activation in truncated.activations()]
        assert set_aside is None and starts == [float(i) for i in range(len(starts))], "a prefix of the commits is left"
    assert len([1 for _ in journal.activations()]) == 20


def test_unreadable_journal_is_moved_aside_and_newer_format_is_rejected(tmp_path: Path) -> None:
    file = tmp_path / "b"
    file.write_bytes(os.urandom(8192))
    journal, set_aside = open_journal(file)
    assert set_aside is not None and set_aside.stat().st_size == 8192 and journal.count() == 0
    journal._database.run("PRAGMA user_version=99")
    journal.close()
    with pytest.raises(JournalError, match="newer"):
        open_journal(file)


def test_journal_of_format_1_is_read(tmp_path: Path) -> None:
    old = apsw.Connection(str(tmp_path / "b"))
    old.execute(
        "CREATE TABLE rows (id TEXT NOT NULL, kind INTEGER NOT NULL, start REAL NOT NULL, crc INTEGER NOT NULL,"
        " body BLOB NOT NULL, PRIMARY KEY (id, kind)) WITHOUT ROWID; PRAGMA user_version=1"
    )
    data, crc = encode_entry(ACCEPTED)
    old.execute("INSERT INTO rows VALUES (?, 0, ?, ?, ?)", (ACCEPTED.id, ACCEPTED.start, crc, data))
    old.close()
    journal, set_aside = open_journal(tmp_path / "b")
    assert set_aside is None and [activation.accepted for activation in journal.activations()] == [ACCEPTED]


def test_journal_reports_failing_sync_full_disk_and_missing_folder(tmp_path: Path) -> None:
    disk = FaultyDisk()  # registers the VFS "harmed"
    journal = ActivationJournal(tmp_path / "b", vfs="harmed")
    journal.commit([ACCEPTED])
    assert disk.syncs > 0, "a commit syncs"
    disk.fault = {"fails": True}
    with pytest.raises(JournalError, match="IOError"):
        journal.commit([ended()])
    disk.fault = {}
    journal.commit([ended()])
    assert next(journal.activations()).ended == ended()
    small = ActivationJournal(tmp_path / "small", max_bytes=100_000)
    with pytest.raises(JournalError, match="Full"):
        for n in range(200):
            small.commit([Accepted(f"{n:032x}", "one", "grant", float(n), 900.0, os.urandom(4000))])
    stored = small.count()
    assert 0 < stored < 200
    small.forget([activation.accepted.id for activation in small.activations()][: stored // 2])
    small.commit([ACCEPTED])  # the deletion has freed space
    with pytest.raises(JournalError):
        ActivationJournal(tmp_path / "no-such-folder" / "b")
    journal.close()


@pytest.mark.parametrize("earlier_commits", [0, 1, 7])
@pytest.mark.parametrize("fault", ["fails", "full"])
def test_failed_commit_is_absent_after_a_kill(tmp_path: Path, fault: str, earlier_commits: int) -> None:
    """Guards against a second run of a request whose commit failed.

    Its client was rejected and retries at another dispatcher, so the next start must not find and run it.
    """
    disk = FaultyDisk()  # registers the VFS "harmed"
    journal = ActivationJournal(tmp_path / "b", vfs="harmed")
    accepted = [Accepted(f"{n:032x}", "one", "grant", float(n), 900.0, b"{}") for n in range(earlier_commits + 2)]
    for entry in accepted[:earlier_commits]:
        journal.commit([entry])
    try:
        disk.fault = {fault: True}
        for _ in range(2):  # a second failure must not leave the entry either
            with pytest.raises(JournalError):
                journal.commit([accepted[earlier_commits]])
        found = accepted_after_kill(tmp_path)
    finally:
        disk.fault = {}
    assert found == accepted[:earlier_commits]
    journal.commit([accepted[earlier_commits + 1]])
    assert accepted_after_kill(tmp_path) == [*accepted[:earlier_commits], accepted[earlier_commits + 1]]
    journal.close()


def accepted_after_kill(folder: Path) -> list[Accepted]:
    """Return the accepted entries left if the process is killed now: the kernel keeps all writes, synced or not."""
    copied = folder / "left"
    shutil.rmtree(copied, ignore_errors=True)
    copied.mkdir()
    for file in folder.glob("b*"):
        shutil.copy(file, copied / file.name)
    journal, set_aside = open_journal(copied / "b")
    assert set_aside is None
    found = [activation.accepted for activation in journal.activations()]
    journal.close()
    return found


# Recovery.


# By the name of the idempotency in the settings; "zone" stands for deduplication within the zone only.  The numbers are
# the deduplication window in ms and the priority weight.
RULES = {
    "repeatable": RecoveryRule(Idempotency.IDEMPOTENT, "all", 0, 2),
    "deduplicated": RecoveryRule(Idempotency.DEDUPLICATED, "all", 2000, 5),
    "zone": RecoveryRule(Idempotency.DEDUPLICATED, "zone", 2000, 5),
    "once-only": RecoveryRule(Idempotency.AT_MOST_ONCE, "all", 0, 6),
}


@pytest.mark.parametrize(
    ("rule", "may_have_run", "elapsed_ms", "expected"),
    [
        ("repeatable", False, 100, "resume"),
        ("repeatable", True, 100, "resume"),
        ("repeatable", True, 5000, "rejected"),
        ("deduplicated", False, 100, "resume"),
        ("deduplicated", True, 100, "resume"),
        ("deduplicated", True, 1950, "aborted"),  # 50 ms of the window are left, less than the 100 ms of a run
        ("zone", True, 100, "aborted"),
        ("zone", False, 100, "resume"),
        ("once-only", False, 100, "resume"),
        ("once-only", True, 100, "aborted"),
        ("once-only", False, 5000, "rejected"),
        ("once-only", False, -50, "rejected"),  # the wall clock was set back
        ("once-only", True, -50, "aborted"),
    ],
)
def test_recovery_decision_by_idempotency_attempts_and_time(
    rule: str, may_have_run: bool, elapsed_ms: float, expected: str
) -> None:
    accepted = Accepted("x", "one", "p", 1000.0, 2500.0, b"{}")
    activation = ActivationEntries(accepted, MayRun("x", 1000.0, "w") if may_have_run else None)
    decision = decide_recovery(activation, RULES[rule], 1000.0 + elapsed_ms, 100.0)
    assert (decision.answer if isinstance(decision, EndRequest) else "resume") == expected
    if isinstance(decision, ResumeRequest):
        assert decision.remaining_ms == 2500 - elapsed_ms


def test_resume_queue_orders_by_priority_bounds_concurrency_and_ends_expired_requests() -> None:
    found = [
        ResumeRequest(ActivationEntries(Accepted(str(n), "one", "p", 0, 1000, b"")), 1000.0, None, float(n))
        for n in range(10)
    ]
    queue = ResumeQueue(found, 3, 100.0)  # at most 3 at once, each with more than 100 ms left
    resumed = [queue.next(10.0 * n) for n in range(5)]
    assert [r.entries.accepted.id for r in resumed if r] == ["9", "8", "7"] and resumed[3:] == [None, None]
    queue.on_finished()
    fourth = queue.next(60.0)
    assert isinstance(fourth, ResumeRequest) and fourth.entries.accepted.id == "6" and queue.next(70.0) is None
    expired = [queue.next(950.0) for _ in range(len(queue))]
    assert all(isinstance(e, EndRequest) and e.answer == "rejected" for e in expired) and len(expired) == 6


# The gateway core with a disk that loses unsynced entries.


class CrashModel:
    """A gateway core, a journal and a model of the disk; a crash loses all entries that were not synced."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.deployment = parse(DEPLOYMENT, "t")
        self.now, self.wall = 1000.0, 5e12
        self.disk: list[Any] = []  # durable entries
        self.acknowledged: set[str] = set()  # ids that were acknowledged to clients
        self.shown: dict[str, str] = {}  # final answers that clients have read, by id
        self.effect_counts: dict[str, int] = {}  # number of runs that had an effect, by id
        self.idempotency: dict[str, str] = {}
        self.boots = 0
        self.start()

    def start(self) -> None:
        self.boots += 1
        self.group_commit = GroupCommit(retry_ms=20.0)
        self.gateway = Gateway(
            DispatcherParts(self.deployment, "a", self.boots), f"{self.boots:016x}", self.group_commit
        )
        self.gateway.on_endpoints(
            self.now, EndpointList(1, [ListedEndpoint(f"w{n}", f"h:{n}", incarnation="1") for n in range(3)], "x")
        )
        activations: dict[str, ActivationEntries] = {}
        for entry in self.disk:
            if entry.id not in activations and not isinstance(entry, Accepted):
                continue  # the journal also skips entries without an accepted entry
            if isinstance(entry, Accepted):
                activations.setdefault(entry.id, ActivationEntries(entry))
            elif isinstance(entry, MayRun) and activations[entry.id].may_run is None:
                activations[entry.id].may_run = entry
            elif isinstance(entry, Ended) and activations[entry.id].ended is None:
                activations[entry.id].ended = entry
        self.gateway.recover(self.now, self.wall, activations.values(), 50.0, 4)
        self.open_attempts: list[tuple[float, Any]] = []  # end time, attempt
        for id_ in self.acknowledged:
            assert self.gateway.records.get("one", id_) is not None, "an acknowledged call was not recovered"
        self.poll()

    def poll(self) -> None:
        for id_ in self.acknowledged:
            record = self.gateway.records.get("one", id_)
            if record is not None and record.visible:
                assert self.shown.setdefault(id_, record.answer) == record.answer, "a shown answer changed"

    def step(self) -> None:
        rng, gateway = self.rng, self.gateway
        elapsed = rng.uniform(0.5, 6.0)
        self.now, self.wall = self.now + elapsed, self.wall + elapsed
        if rng.random() < 0.4 and self.group_commit.is_accepting():  # otherwise the API rejects the call
            action = rng.choice(list(self.deployment.actions.values()))
            invocation = gateway.submit(self.now, self.wall, Submission("one", action, b"{}", deferred=True))
            self.idempotency[invocation.record.id] = invocation.record.idempotency
            self.run_effects()
            if not invocation.record.final:
                gateway.when_durable(
                    invocation,
                    lambda durable: (
                        self.acknowledged.add(invocation.record.id)
                        if durable
                        else gateway.on_client_gone(self.now, invocation)  # the API answers with an error then
                    ),
                )
        for due, attempt in [e for e in self.open_attempts if e[0] <= self.now]:
            self.open_attempts.remove((due, attempt))
            if attempt.status is None:
                statuses = [
                    AttemptStatus.COMPLETED,
                    AttemptStatus.ERROR,
                    AttemptStatus.CONNECTION_LOST,
                    AttemptStatus.OUT_OF_CAPACITY,
                ]
                status = rng.choices(statuses, [6, 1, 1, 1])[0]
                if status is not AttemptStatus.OUT_OF_CAPACITY:
                    self.effect_counts[attempt.request.id] = self.effect_counts.get(attempt.request.id, 0) + 1
                gateway.on_attempt_finished(self.now, attempt, status)
        if rng.random() < 0.5 and (batch := self.group_commit.next_batch(self.now)) is not None:
            if rng.random() < 0.06:
                self.group_commit.on_batch_failed(self.now, batch.number, "full")
            else:
                self.disk += batch.entries
                self.group_commit.on_batch_durable(batch.number)
        self.run_effects()
        self.poll()
        if rng.random() < 0.015:  # a crash: attempts in flight may have run, and unsynced entries are lost
            for _, attempt in self.open_attempts:
                if rng.random() < 0.5:
                    self.effect_counts[attempt.request.id] = self.effect_counts.get(attempt.request.id, 0) + 1
            elapsed = rng.uniform(5, 400)
            self.now, self.wall = self.now + elapsed, self.wall + elapsed
            self.start()

    def run_effects(self) -> None:
        while (effect := self.gateway.next_effect(self.now)) is not None:
            if isinstance(effect, StartAttempt):
                id_, idempotency = effect.attempt.request.id, effect.invocation.record.idempotency
                if idempotency != "repeatable":
                    assert any(isinstance(e, MayRun) and e.id == id_ for e in self.disk), (
                        "the may-run entry must be durable before the attempt starts"
                    )
                self.open_attempts.append((self.now + self.rng.uniform(5, 200), effect.attempt))
            elif isinstance(effect, CancelAttempt) and effect.attempt.status is None:
                self.open_attempts = [e for e in self.open_attempts if e[1] is not effect.attempt]
                self.gateway.on_attempt_finished(self.now, effect.attempt, AttemptStatus.CANCELLED)
            elif isinstance(effect, StartLoad):
                self.gateway.on_load_report(self.now, effect.order, AttemptStatus.COMPLETED, effect.order.count)
            elif isinstance(effect, FinalAnswer):
                assert effect.invocation.record.visible, "a final answer is given only when it may be shown"


@pytest.mark.parametrize("seed", range(12))
def test_crashes_that_lose_unsynced_entries_lose_no_acknowledged_call(seed: int) -> None:
    model = CrashModel(seed)
    for _ in range(1500):
        model.step()
    assert model.boots > 5 and len(model.acknowledged) > 100 and len(model.shown) > 80
    for id_, count in model.effect_counts.items():
        assert count <= 1 or model.idempotency[id_] != "once-only", "at-most-once calls run at most once"


def test_resumed_requests_add_nothing_to_the_load_ration() -> None:
    deployment = parse(DEPLOYMENT, "t")
    parts = DispatcherParts(deployment, "a", 1)
    gateway = Gateway(parts, "b" * 16, GroupCommit())
    activations = [ActivationEntries(Accepted(f"{n:032x}", "one", "p/check", 1000.0, 900.0, b"{}")) for n in range(5)]
    assert gateway.recover(0.0, 1100.0, activations, 100.0, 16)["resumed"] == 5
    while gateway.next_effect(1.0) is not None:
        pass
    assert gateway.counts.received == 5 and not parts.safety.counted_requests, (
        "they count in the load ration of the dispatcher that accepted them"
    )


def test_deferred_call_adds_to_the_load_ration_once_it_is_durable() -> None:
    """Guards against load orders for calls that were never accepted.

    In a run of ten minutes with faults, each call that was rejected because of a failing disk allowed a load order.
    """
    parts = DispatcherParts(parse(DEPLOYMENT, "t"), "a", 1)
    group_commit = GroupCommit()
    gateway = Gateway(parts, "b" * 16, group_commit)
    action = parts.deployment.actions["p/check"]
    for number, durable in enumerate((True, False)):
        invocation = gateway.submit(float(number), 1000.0, Submission("one", action, b"{}", deferred=True))
        gateway.when_durable(invocation, lambda _durable: None)
        batch = group_commit.next_batch(0.0)
        assert batch is not None and len(parts.safety.counted_requests) == number
        if durable:
            group_commit.on_batch_durable(batch.number)
        else:
            group_commit.on_batch_failed(0.0, batch.number, "full")
        while gateway.next_effect(float(number)) is not None:
            pass
    assert len(parts.safety.counted_requests) == 1
    gateway.submit(3.0, 1000.0, Submission("one", action, b"{}"))
    assert len(parts.safety.counted_requests) == 2, "a blocking call counts at once, as it needs no durable record"


# The API with a journal.


class JournaledDispatcher(Dispatcher):
    """A dispatcher with an activation journal."""

    def __init__(self, workers: list[ScriptedWorker], file: Path, boot: str = "b" * 16, vfs: str | None = None) -> None:
        deployment = parse(DEPLOYMENT, "t")
        super().__init__([], deployment, boot)
        journal, _ = open_journal(file, vfs=vfs)
        self.gateway.durability.journal = GroupCommit(retry_ms=100.0)
        self.driver.journal = JournalDriver(
            self.gateway.durability.journal, journal, self.driver.schedule_decisions, self.log
        )
        self.recovery_counts = self.gateway.recover(*monotonic_and_wall_ms(), journal.activations(), 100.0, 16)
        self.set_workers(workers)

    async def end(self) -> None:
        await self.driver.drain(0)
        assert self.driver.journal is not None
        await self.driver.journal.close(500)
        await self.server.drain(0)


def monotonic_and_wall_ms() -> tuple[float, float]:
    return time.monotonic() * 1000, time.time() * 1000


def test_idempotency_keys_join_calls_in_flight_and_return_recorded_answers(tmp_path: Path) -> None:
    in_flight: list[tuple[Request, Exchange]] = []

    def hold(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
        in_flight.append((request, exchange))

    async def main() -> None:
        worker = ScriptedWorker("w", hold)
        first = JournaledDispatcher([worker], tmp_path / "b")
        calls = [asyncio.create_task(first.call("grant", body={"a": 1}, key="k")) for _ in range(3)]
        while not in_flight:
            await asyncio.sleep(0.01)
        assert (await first.call("grant", body={"a": 2}, key="k"))[0] == 409
        status, _, body = await first.call("grant", blocking=False, body={"a": 1}, key="k")
        assert status == 202
        target = f"/api/v1/namespaces/_/activations/{body['activationId']}?wait=800"
        poll = asyncio.create_task(first.request("GET", target))
        await asyncio.sleep(0.05)
        answer(worker, *in_flight[0])
        answers = await asyncio.gather(*calls)
        assert [a[0] for a in answers] == [200] * 3 and len({a[2]["activationId"] for a in answers}) == 1
        assert len(in_flight) == 1, "all calls with the same key share one run"
        assert (await poll)[0] == 200, "a long poll ends with the answer"
        assert (await first.call("grant", body={"a": 1}, key="k"))[0] == 200 and len(in_flight) == 1
        await first.end()
        second = JournaledDispatcher([worker], tmp_path / "b", "c" * 16)
        status, _, repeated = await second.call("grant", body={"a": 1}, key="k")
        assert status == 200 and repeated["activationId"] == body["activationId"] and len(in_flight) == 1, (
            "the recorded answer is returned after a restart"
        )
        assert (await second.call("grant", body={}, key="k"))[0] == 409
        (listed,) = (await second.request("GET", "/api/v1/namespaces/_/activations"))[2]
        assert listed["activationId"] == body["activationId"]
        await second.end()
        await worker.server.drain(0)

    run(main())


def test_failing_disk_rejects_deferred_calls_and_serves_blocking_ones(tmp_path: Path) -> None:
    async def main() -> None:
        disk = FaultyDisk()  # registers the VFS "harmed"
        worker = ScriptedWorker("w", answer)
        dispatcher = JournaledDispatcher([worker], tmp_path / "b", vfs="harmed")
        assert (await dispatcher.call("grant", blocking=False, body={}))[0] == 202
        disk.fault = {"fails": True}
        statuses = [(await dispatcher.call("grant", blocking=False, body={}))[0] for _ in range(3)]
        assert statuses == [503] * 3
        assert (await dispatcher.call("grant", body={}))[0] == 200
        assert (await dispatcher.call("grant", body={}, key="k"))[0] == 200, "blocking calls with a key are served, too"
        sent = len(worker.attempts)
        disk.fault = {}
        await asyncio.sleep(0.4)
        assert (await dispatcher.call("grant", blocking=False, body={}))[0] == 202
        await asyncio.sleep(0.1)
        assert len(worker.attempts) == sent + 1, "a rejected call never ran"
        # A slow disk delays acknowledgements and attempts that wait for a durable entry, but no other calls.
        disk.fault = {"sync_ms": 400}
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        slow_call = asyncio.create_task(dispatcher.call("grant", blocking=False, body={}))
        assert (await dispatcher.call("grant", body={}))[0] == 200 and loop.time() - started_at < 0.3
        assert (await slow_call)[0] == 202 and loop.time() - started_at > 0.35
        disk.fault = {}
        await dispatcher.end()
        await worker.server.drain(0)

    run(main())


def test_activation_can_be_cancelled_only_where_idempotency_allows_it(tmp_path: Path) -> None:
    async def main() -> None:
        worker = ScriptedWorker("w", never_answer)
        dispatcher = JournaledDispatcher([worker], tmp_path / "b")
        for action, expected in (("p/check", 202), ("grant", 409)):
            _, _, body = await dispatcher.call(action, blocking=False, body={})
            while len(worker.attempts) == 0 or worker.attempts[-1][1]["activation"] != body["activationId"]:
                await asyncio.sleep(0.01)
            status, _, _ = await dispatcher.request(
                "DELETE", f"/api/v1/namespaces/_/activations/{body['activationId']}"
            )
            assert status == expected
            record = await dispatcher.wait_for_record(body["activationId"])
            # Cancelled, or ended by its timeout after the cancellation was refused.
            assert final_answer(record)["answer"] == "aborted"
        await dispatcher.end()
        await worker.server.drain(0)

    run(main())


@pytest.mark.scenarios
def test_dispatcher_killed_at_a_step_keeps_acknowledged_calls() -> None:
    """Guards against the loss of acknowledged calls when a dispatcher process is killed at a step of a request.

    Runs two of the steps of bench/crash_points.py, with each idempotency, deferred and with a key, in real processes:
    `cleared` (the may-run entry is durable) and `ended` (the final answer is about to be shown).
    """
    process = subprocess.run(
        [sys.executable, "bench/crash_points.py", "--steps", "cleared,ended"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    cases = [json.loads(line) for line in process.stdout.splitlines()]
    assert process.returncode == 0, process.stdout + process.stderr[-1500:]
    assert len(cases) == 10 and not any(case["broken"] for case in cases)
    # A case has no answer if a deferred call was lost before its 202 was sent: it was not acknowledged, and no client
    # polls it.  `effect` holds the idempotency.
    assert {
        case["answer"]
        for case in cases
        if case["step"] == "cleared" and case["effect"] == "once-only" and "answer" in case
    } == {"aborted"}


def test_stale_activations_are_deleted_in_batches_with_commits_between(tmp_path: Path) -> None:
    async def main() -> None:
        journal, results = ActivationJournal(tmp_path / "b"), list[bool]()
        ids = [f"{n:032x}" for n in range(1700)]
        journal.commit([Accepted(id_, "one", "grant", 100.0, 900.0, b"{}") for id_ in ids])
        driver = JournalDriver(GroupCommit(100), journal, lambda: None, RecordingLog())  # at most 100 entries wait
        for id_ in ids:
            driver.forget(id_)
        assert not driver._busy, "no activation is deleted before background work runs"
        # The first call starts to delete a batch, and the second one finds the thread busy.
        assert driver.compact() and driver.compact(), "a full batch remains"
        driver.group_commit.write(Accepted("f" * 32, "one", "grant", 100.0, 900.0, b"{}"), results.append)
        while not results:
            await asyncio.sleep(0.002)
        assert results == [True] and journal.count() > 600, "the commit must not wait for all batches"
        while driver._stale or driver._busy:
            driver.compact()
            await asyncio.sleep(0.002)
        assert journal.count() == 1
        await driver.close(1000)

    run(main())
