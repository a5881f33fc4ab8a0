"""The lab: its engine, its emulated workers and store, whole runs judged by the audit, and the ramp of copies."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from helpers import activation, make, model, pull

from kelptrail.audit.judge import judge
from kelptrail.badday.script import Load, Trouble
from kelptrail.badday.script import load as load_script
from kelptrail.dispatch.terms import Order, Outcome
from kelptrail.lab.engine import Engine
from kelptrail.lab.fleet import LabStore, LabWorker
from kelptrail.lab.site import LabSettings, Site, play
from kelptrail.settings.deployment import load

ROOT = Path(__file__).parent.parent


def test_events_come_in_order_of_time_and_entry_and_can_be_called_off() -> None:
    engine, seen = Engine(), list[Any]()
    engine.at(5, seen.append, "b")
    off = engine.at(4, seen.append, "never")
    engine.at(5, seen.append, "c")
    engine.at(1, lambda: (seen.append("a"), engine.after(10, seen.append, "d"), off.cancel()))
    engine.run(6)
    assert seen == ["a", "b", "c"] and engine.now == 6
    engine.run(20)
    assert seen[-1] == "d" and engine.events == 4


def test_the_store_slows_all_fetches_beyond_its_number_and_refuses_past_its_most() -> None:
    deployment = load(ROOT / "examples" / "nursery.sexp")  # 8 at full pace, 32 at most
    engine = Engine()
    store = LabStore(engine, deployment.store)
    ends: list[tuple[float, bool]] = []
    for _ in range(40):
        store.fetch(100.0, lambda good: ends.append((engine.now, good)))
    engine.run(1000)
    assert [good for _, good in ends].count(False) == 8
    assert {round(t) for t, good in ends if good} == {400}, "32 fetches at a quarter of the pace"
    store.fault("slow", 5.0, 100.0)
    store.fetch(100.0, lambda good: ends.append((engine.now, good)))
    engine.run(3000)
    assert ends[-1] == (pytest.approx(1180.0), True), "a fifth of the pace for 100 ms, then all of it"


def test_a_worker_loads_queues_drops_repeats_and_falls_when_pushed_cold() -> None:
    deployment = load(ROOT / "examples" / "nursery.sexp")
    engine = Engine()
    noted: list[tuple[str, dict[str, Any]]] = []
    store, ledger = LabStore(engine, deployment.store), dict[tuple[str, str], float]()
    worker = LabWorker(engine, deployment, "w", "north", 0, store, ledger, 1, True,
                       lambda what, **fields: noted.append((what, fields)))
    action = deployment.actions["places/place-activate"]
    ends: list[Any] = []
    worker.send(action, "m", "a1", 0, "d", 1000.0, lambda outcome, _: ends.append(outcome))
    assert ends == [Outcome.MISS]
    worker.order(action, 1, "d", lambda outcome, standing: ends.append((outcome, standing)))
    engine.run(1000)
    assert ends[-1] == (Outcome.COMPLETED, 1)
    for number in range(2):
        worker.send(action, "m", f"a{number}", number, "d", 1000.0, lambda outcome, _: ends.append(outcome))
    engine.run(1500)
    assert ends[-2:] == [Outcome.COMPLETED] * 2
    assert sum(what == "effect" for what, _ in noted) == 1, "the same mark has one effect"
    engine.run(20_000)
    worker.send(action, "n", "a9", 0, "d", 1000.0, lambda outcome, _: ends.append(outcome))
    assert ends[-1] is Outcome.MISS, "idle past its keep-alive, the copy has gone"
    worker.begin(warm=False)
    for number in range(400):
        worker.send(action, f"x{number}", "b", 0, "d", 1000.0, lambda outcome, _: ends.append(outcome))
    assert worker.fallen and any(what == "fell" for what, _ in noted)


@pytest.mark.parametrize("name", ["kills", "second-sends", "first"])
def test_scripts_of_the_bad_days_play_in_the_lab_and_the_audit_finds_nothing(name: str) -> None:
    day = load_script(ROOT / "examples" / "bad-days" / f"{name}.sexp")
    site = Site(day, load(day.deployment), 3, capture=True)
    site.run()
    verdict = judge(sorted(site.events, key=lambda event: event["t"]))
    assert not verdict.broken, verdict.details
    assert verdict.taken > 3000 and verdict.completed > 0.9 * verdict.taken and verdict.unanswered == 0
    assert verdict.completed == sum(s.completed for s in site.seconds)


def test_a_run_is_the_same_for_the_same_seed_and_another_for_another() -> None:
    day = load_script(ROOT / "examples" / "bad-days" / "kills.sexp")
    deployment = load(day.deployment)
    runs = [play(day, deployment, seed) for seed in (1, 1, 2)]
    assert runs[0].latency == runs[1].latency and runs[0].events == runs[1].events
    assert runs[0].latency != runs[2].latency


def test_an_overloaded_dispatcher_falls_behind_in_the_lab_too() -> None:
    """A lab whose dispatchers cost nothing would flatter."""
    day = load_script(ROOT / "examples" / "bad-days" / "second-sends.sexp")
    deployment = load(day.deployment)
    rest = {"deferred": 0.0, "zipf": 0.8, "retries": 0, "heed": 1.0, "one_off": False, "action": "", "grpc": 0.0,
            "streams": 0.0}
    day = type(day)(day.name, day.deployment, 5.0, 6, 1, [Load(200.0, 0.0, **rest, **{"for": 5.0})], list[Trouble]())
    runs = [play(day, deployment, 1, LabSettings(cpu_ms=cpu)) for cpu in (0.1, 2.6)]
    medians = [float(np.median(run.latency["check"])) for run in runs]
    assert medians[1] > 4 * medians[0]


def test_the_copy_limit_grows_with_the_depth_of_lag_at_most_twofold() -> None:
    """Guards against a start with nothing under load: by one a load time it took seventeen seconds."""
    dispatcher = make(60, ration=(True, 999.0, 0.3, 5000.0))
    function = model(lanes=2)
    function.load_ms = 1000.0
    now, limits, number = 0.0, [], 0
    while now < 4500:
        for _ in range(8):  # more than any number of its copies bears
            number += 1
            dispatcher.taken(now, activation(function, now, number, 60_000.0))
        for decision in pull(dispatcher, now):
            if isinstance(decision, Order):
                dispatcher.told(now, decision, Outcome.COMPLETED, decision.count)
        limits.append(function.limit)
        now += 20
    seen = list(dict.fromkeys(limits))
    assert seen[0] == 4 and seen[-1] >= 16, seen
    assert all(b <= 2 * a for a, b in pairwise(seen)), "twofold at most"
    assert len(seen) <= 5, "once a load time"
    quiet = make(60, ration=(True, 999.0, 0.3, 5000.0))
    shallow = model("g", lanes=8)
    shallow.load_ms, shallow.lag_since, shallow.limit = 1000.0, 0.0, 4
    shallow.waiting.extend(activation(shallow, 0.0, n) for n in range(5))
    assert quiet._queues.limit(1500.0, shallow, True) == 5, "a shallow lag still adds one"
