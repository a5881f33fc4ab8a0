"""The gateway core free of I/O: seeded lives with every kind of outcome, one final answer for each call."""

from __future__ import annotations

import random

import pytest
from program import DEPLOYMENT

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import NEVER_RAN, Attempt, AttemptStatus, FinalStatus, Idempotency, WorkerState
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import CancelAttempt, FinalAnswer, StartAttempt, StartLoad
from kelptrail.gateway.invocation import Invocation
from kelptrail.gateway.limits import InFlightLimits, NothingInFlightError
from kelptrail.gateway.records import AlreadyFinalError, Record, Records
from kelptrail.membership.members import Endpoint, EndpointList, WorkerRegistry
from kelptrail.settings.deployment import parse


def entries(count: int, **states: str) -> list[Endpoint]:
    return [Endpoint(f"w{n}", f"127.0.0.1:{9000 + n}", states.get(f"w{n}", "live"), "1") for n in range(count)]


class Life:
    """A core whose sends end by chance; every rule is checked at each step."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        deployment = parse(DEPLOYMENT.replace("(cold-ms 0)", "(cold-ms 500)"), "t")
        self.gateway = Gateway(DispatcherParts(deployment, "a", seed), f"{seed:016x}")
        self.actions = list(deployment.actions.values())
        self.now, self.version = 1000.0, 0
        self.out: list[tuple[float, Attempt, AttemptStatus]] = []
        self.orders: list[tuple[float, StartLoad]] = []
        self.finals: dict[str, float] = {}
        self.taken: list[Invocation] = []
        self.told: list[tuple[float, str]] = []
        self.list()

    def list(self, **states: str) -> None:
        self.version += 1
        self.gateway.on_endpoints(self.now, EndpointList(self.version, entries(4, **states), "x"))

    def step(self, load: bool) -> None:
        chance, gateway = self.chance, self.gateway
        self.now += chance.uniform(0.5, 8.0)
        now = self.now
        if load and chance.random() < 0.6:
            action, key = chance.choice(self.actions), chance.choice([None, f"k{chance.randrange(10**9)}"])
            before = len(self.told)
            ivk = gateway.submit(
                now,
                5e12 + now,
                Submission("one", action, b"{}", key),
                lambda r: self.told.append((now, r.id)),
            )
            assert len(self.told) == before, "answers come as effects only"
            self.taken.append(ivk)
        for entry in [e for e in self.out if e[0] <= now]:
            self.out.remove(entry)
            _, send, outcome = entry
            if send.status is None:
                answer = (
                    WorkerAnswer("completed", b"{}", chance.random() < 0.9)
                    if outcome is AttemptStatus.COMPLETED
                    else None
                )
                gateway.on_attempt_finished(now, send, outcome, answer)
        for due, order in [o for o in self.orders if o[0] <= now]:
            self.orders.remove((due, order))
            good = chance.random() < 0.8
            gateway.on_load_report(
                now,
                order.order,
                AttemptStatus.COMPLETED
                if good
                else chance.choice([AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.SILENT]),
                order.order.count if good else 0,
            )
        if chance.random() < 0.02 and self.taken:
            gateway.on_client_gone(now, chance.choice(self.taken))
        if chance.random() < 0.01:
            self.list(w0=chance.choice(["live", "draining", "gone"]), w1=chance.choice(["live", "draining"]))
        self.pull()

    def pull(self) -> None:
        now, chance = self.now, self.chance
        while (effect := self.gateway.next_effect(now)) is not None:
            if isinstance(effect, StartAttempt):
                act, worker = effect.invocation.request, effect.attempt.instance.worker
                assert not effect.invocation.record.final and act.id not in self.finals, "nothing is sent after the end"
                assert worker.state is WorkerState.LIVE and now < effect.invocation.record.received_at + 900
                if act.request_class.idempotency is Idempotency.AT_MOST_ONCE:
                    assert all(s.status in NEVER_RAN for s in act.attempts[:-1]), "once-only goes out once"
                outcome = chance.choices(list(AttemptStatus), [60, 8, 6, 8, 3, 4, 0, 2, 6])[0]
                wait = 3000.0 if outcome is AttemptStatus.SILENT else chance.uniform(5, 300)
                self.out.append((now + wait, effect.attempt, outcome))
            elif isinstance(effect, CancelAttempt) and effect.attempt.status is None:
                self.out = [e for e in self.out if e[1] is not effect.attempt]
                self.out.append(
                    (
                        now,
                        effect.attempt,
                        AttemptStatus.SILENT if effect.reason == "silent" else AttemptStatus.CANCELLED,
                    )
                )
            elif isinstance(effect, StartLoad):
                assert effect.order.instance.worker.state is WorkerState.LIVE
                self.orders.append((now + chance.uniform(1, 200), effect))
            elif isinstance(effect, FinalAnswer):
                record = effect.invocation.record
                assert record.id not in self.finals and record.final, "one final answer"
                self.finals[record.id] = now
                if record.answer == "rejected" and record.idempotency == "once-only":
                    assert all(s.status in NEVER_RAN for s in effect.invocation.request.attempts)
                for waiter in effect.invocation.waiters:
                    waiter(record)


@pytest.mark.parametrize("seed", range(15))
def test_seeded_lives_give_each_call_one_final_answer_in_time(seed: int) -> None:
    life = Life(seed)
    for n in range(1500):
        life.step(load=n < 1200)
    while life.now < max(i.record.received_at for i in life.taken) + 4000:
        life.step(load=False)
    assert len(life.taken) > 500
    assert set(life.finals) == {i.record.id for i in life.taken}
    for ivk in life.taken:
        assert life.finals[ivk.record.id] <= ivk.record.received_at + 900, "before its client gives up"
    counts = life.gateway.counts
    assert counts.completed and counts.rejected and counts.failed
    assert counts.received == counts.completed + counts.rejected + counts.failed == len(life.told)
    assert life.gateway.in_flight == 0 and not life.gateway.state.invocations, "nothing is left behind"
    assert life.gateway.limits.requests == life.gateway.limits.bytes == 0


def record(id_: str, start: float, namespace: str = "one") -> Record:
    return Record(id_, namespace, "p/f", "t", "repeatable", start, start, 900, "")


def test_records_drop_the_oldest_ended_ones_by_number_size_and_time() -> None:
    records = Records(3, 1e6, 1000.0)
    for n in range(6):
        records.add(record(f"r{n}", float(n)))
    for n in (0, 1, 2, 4, 5):
        records.end(10.0 + n, records.get("one", f"r{n}"), FinalStatus.COMPLETED, 0, b"{}")  # type: ignore[arg-type]
    assert [r.id for r in records.newest("one")] == ["r5", "r4", "r2"] and records.in_flight() == 1
    assert records.get("two", "r5") is None and records.get("one", "r3") is not None
    with pytest.raises(AlreadyFinalError):
        records.end(20.0, records.get("one", "r5"), FinalStatus.FAILED, 3, b"{}")  # type: ignore[arg-type]
    records.trim(1014.5)
    assert [r.id for r in records.newest("one")] == ["r5"]
    small = Records(100, 3000.0, 1e9)
    for n in range(5):
        small.add(record(f"s{n}", 0.0))
        small.end(1.0, small.get("one", f"s{n}"), FinalStatus.COMPLETED, 0, b"x" * 500)  # type: ignore[arg-type]
    assert [r.id for r in small.newest("one")] == ["s4", "s3"] and small.dropped == 3


def test_members_by_list_restart_and_age() -> None:
    members = WorkerRegistry({"a": 0, "b": 1})
    first, _ = members.apply(1000.0, EndpointList(5, [Endpoint("w", "h:1", "live", "i1", 400.0, "b")], "x"))
    assert first[0].started_at == 600.0 and first[0].zone == 1
    same, restarted = members.apply(1100.0, EndpointList(4, [], "x"))
    assert same == first and first[0].live, "an older list changes nothing"
    _, restarted = members.apply(1200.0, EndpointList(6, [Endpoint("w", "h:1", "live", "i1", 700.0, "b")], "x"))
    assert not restarted and first[0].started_at == 600.0, "ages drift; a start is told by its incarnation"
    _, restarted = members.apply(1300.0, EndpointList(7, [Endpoint("w", "h:1", "live", "i2", 10.0, "b")], "x"))
    assert restarted == first and first[0].started_at == 1290.0
    gone, _ = members.apply(1400.0, EndpointList(1, [], "y"))
    assert gone == first and first[0].removed
    members.remove_departed()
    assert len(members) == 0 and not members.addresses


def test_holdings_refuse_by_number_bytes_and_namespace_and_count_why() -> None:
    holdings = InFlightLimits(4, 100.0, 2)
    for space in ("one", "one", "two"):
        assert holdings.rejection_reason(space, 10) is None
        holdings.acquire(space, 10)
    assert holdings.rejection_reason("one", 10) == "namespace" and holdings.rejection_reason("two", 71) == "bytes"
    holdings.acquire("two", 10)
    assert holdings.rejection_reason("three", 1) == "held"
    assert dict(holdings.rejections) == {"namespace": 1, "bytes": 1, "held": 1}
    holdings.release("one", 10)
    assert holdings.rejection_reason("one", 10) is None and holdings.bytes == 30
    with pytest.raises(NothingInFlightError, match="three"):
        holdings.release("three", 1)


def test_calls_that_came_at_one_moment_are_given_up_in_time_to_answer_them_all() -> None:
    """Guards against a herd of deadlines: two thousand calls taken within 100 ms by a dispatcher that had just come
    back were answered up to 140 ms late."""
    gateway = Gateway(DispatcherParts(parse(DEPLOYMENT, "t"), "a", 1), "b" * 16)
    action = gateway.state.parts.deployment.actions["p/check"]
    plain = [gateway.submit(0.0, 0.0, Submission("one", action, b"{}")).request.deadline for _ in range(20)]
    assert set(plain) == {800.0}, "900 less the margin"
    gateway.state.answer_ms = 0.5
    herd = [gateway.submit(0.0, 0.0, Submission("one", action, b"{}")).request.deadline for _ in range(1000)]
    assert herd[0] == 790.0 and herd == sorted(herd, reverse=True)
    assert herd[200] == 900 - 100 - 0.5 * 220, "so much earlier that those before it can be answered"
    assert herd[-1] == 900 - 0.25 * 900, "at the most a quarter of its time"
