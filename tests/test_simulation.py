"""Simulation: event queue, workers, model store, runs that the history checker checks, and experiments."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from helpers import decide_all, make_dispatcher, make_function, new_request

from kelptrail.dispatch.entities import AttemptStatus, LoadOrder
from kelptrail.dispatch.safety import LoadRation
from kelptrail.fault_scenario.scenario import load_scenario
from kelptrail.history_checker.checker import check_history
from kelptrail.load.plan import steady_load
from kelptrail.load.results import Result, Second, read, read_runs, read_seconds, recovery
from kelptrail.settings.deployment import Deployment, load
from kelptrail.settings.reader import SettingsError
from kelptrail.simulation.cluster import SimulatedCluster, play
from kelptrail.simulation.compare import compare, confidence_interval
from kelptrail.simulation.event_queue import EventQueue
from kelptrail.simulation.experiment import load as load_experiment
from kelptrail.simulation.experiment import run
from kelptrail.simulation.experiment_report import write_report
from kelptrail.simulation.model_store import SimulatedStore
from kelptrail.simulation.settings import SimulationSettings
from kelptrail.simulation.worker_messages import AttemptMessage, WorkerIdentity
from kelptrail.simulation.workers import SimulatedWorker

ROOT = Path(__file__).parent.parent


def test_events_run_in_order_of_time_and_insertion_and_can_be_cancelled() -> None:
    event_queue, seen = EventQueue(), list[Any]()
    event_queue.at(5, seen.append, "b")
    cancelled = event_queue.at(4, seen.append, "never")
    event_queue.at(5, seen.append, "c")
    event_queue.at(1, lambda: (seen.append("a"), event_queue.after(10, seen.append, "d"), cancelled.cancel()))
    event_queue.run(6)
    assert seen == ["a", "b", "c"] and event_queue.now == 6
    event_queue.run(20)
    assert seen[-1] == "d" and event_queue.events == 4


def test_the_store_slows_all_fetches_beyond_its_capacity_and_refuses_above_its_limit() -> None:
    deployment = load(ROOT / "examples" / "nursery.sexp")  # 8 fetches at the full rate, at most 32 at a time
    event_queue = EventQueue()
    store = SimulatedStore(event_queue, deployment.store)
    replies: list[tuple[float, bool]] = []
    for _ in range(40):
        store.fetch(100.0, lambda succeeded: replies.append((event_queue.now, succeeded)))
    event_queue.run(1000)
    assert [succeeded for _, succeeded in replies].count(False) == 8
    assert {round(t) for t, succeeded in replies if succeeded} == {400}, "32 fetches at a quarter of the rate"
    store.inject("slow", 5.0, 100.0)
    store.fetch(100.0, lambda succeeded: replies.append((event_queue.now, succeeded)))
    event_queue.run(3000)
    assert replies[-1] == (pytest.approx(1180.0), True), "a fifth of the rate for 100 ms, then the full rate"


def make_worker(
    event_queue: EventQueue, deployment: Deployment, recorded: list[tuple[str, dict[str, Any]]]
) -> SimulatedWorker:
    """Return a worker whose slow start is over, with its own store; its events are added to `recorded`."""
    return SimulatedWorker(
        event_queue,
        deployment,
        WorkerIdentity("w", "north", 0),
        SimulatedStore(event_queue, deployment.store),
        effect_log={},
        seed=1,
        record_event=lambda event, **fields: recorded.append((event, fields)),
    )


def test_a_worker_loads_queues_deduplicates_and_collapses_when_overloaded_in_slow_start() -> None:
    deployment = load(ROOT / "examples" / "nursery.sexp")
    event_queue = EventQueue()
    recorded: list[tuple[str, dict[str, Any]]] = []
    worker = make_worker(event_queue, deployment, recorded)
    action = deployment.actions["places/place-activate"]
    replies: list[Any] = []

    def start_attempt(key: str, activation: str, number: int = 0) -> None:
        attempt = AttemptMessage(action, key, activation, number, "d", 1000.0)
        worker.start_attempt(attempt, lambda status, _: replies.append(status))

    start_attempt("m", "a1")
    assert replies == [AttemptStatus.NOT_LOADED]
    worker.order_instances(action, 1, "d", lambda status, loaded: replies.append((status, loaded)))
    event_queue.run(1000)
    assert replies[-1] == (AttemptStatus.COMPLETED, 1)
    for number in range(2):
        start_attempt("m", f"a{number}", number)
    event_queue.run(1500)
    assert replies[-2:] == [AttemptStatus.COMPLETED] * 2
    assert sum(event == "effect" for event, _ in recorded) == 1, "the same idempotency key has one effect"
    event_queue.run(20_000)
    start_attempt("n", "a9")
    assert replies[-1] is AttemptStatus.NOT_LOADED, "the instance was unloaded after its keep-alive time"
    worker.start_process(warm=False)
    for number in range(400):
        start_attempt(f"x{number}", "b")
    assert worker.collapsed and any(event == "fell" for event, _ in recorded)


@pytest.mark.parametrize("name", ["kills", "second-sends", "first"])
def test_fault_scenarios_run_in_the_simulation_without_findings_of_the_history_checker(name: str) -> None:
    scenario = load_scenario(ROOT / "examples" / "bad-days" / f"{name}.sexp")
    cluster = SimulatedCluster(scenario, load(scenario.deployment), 3, capture=True)
    cluster.run()
    result = check_history(sorted(cluster.events, key=lambda event: event["t"]))
    assert not result.broken, result.details
    assert result.taken > 3000 and result.completed > 0.9 * result.taken and result.unanswered == 0
    assert result.completed == sum(s.completed for s in cluster.seconds)


def test_runs_with_the_same_seed_are_equal_and_runs_with_different_seeds_differ() -> None:
    scenario = load_scenario(ROOT / "examples" / "bad-days" / "kills.sexp")
    deployment = load(scenario.deployment)
    runs = [play(scenario, deployment, seed) for seed in (1, 1, 2)]
    assert runs[0].latency == runs[1].latency and runs[0].events == runs[1].events
    assert runs[0].latency != runs[2].latency


def test_an_overloaded_dispatcher_falls_behind_in_the_simulation() -> None:
    """Guards against results that are too favourable because simulated dispatchers take no CPU time."""
    scenario = load_scenario(ROOT / "examples" / "bad-days" / "second-sends.sexp")
    deployment = load(scenario.deployment)
    scenario = replace(scenario, seconds=5.0, workers=6, dispatchers=1, load=[steady_load(200.0, 5.0, 0.8)], faults=[])
    runs = [play(scenario, deployment, 1, SimulationSettings(cpu_ms=cpu)) for cpu in (0.1, 2.6)]
    medians = [float(np.median(run.latency["check"])) for run in runs]
    assert medians[1] > 4 * medians[0]


def test_the_instance_limit_grows_with_the_queue_at_most_twofold() -> None:
    """Guards against a slow start-up under load: a limit that grew by one each load time took 17 seconds."""
    dispatcher = make_dispatcher(60, load_ration=LoadRation(True, 999.0, 0.3, 5000.0))
    function = make_function(concurrency=2)
    function.load_ms = 1000.0
    now, limits, number = 0.0, [], 0
    while now < 4500:
        for _ in range(8):  # more than the function's instances can run
            number += 1
            dispatcher.on_request(now, new_request(function, now, number, 60_000.0))
        for decision in decide_all(dispatcher, now):
            if isinstance(decision, LoadOrder):
                dispatcher.on_load_report(now, decision, AttemptStatus.COMPLETED, decision.count)
        limits.append(function.instance_limit)
        now += 20
    steps = list(dict.fromkeys(limits))
    assert steps[0] == 4 and steps[-1] >= 16, steps
    assert all(b <= 2 * a for a, b in pairwise(steps)), "the limit at most doubles"
    assert len(steps) <= 5, "the limit grows at most once in a load time"
    other_dispatcher = make_dispatcher(60, load_ration=LoadRation(True, 999.0, 0.3, 5000.0))
    short_queue = make_function("g", concurrency=8)
    short_queue.load_ms, short_queue.queued_since, short_queue.instance_limit = 1000.0, 0.0, 4
    short_queue.queue.extend(new_request(short_queue, 0.0, n) for n in range(5))
    assert other_dispatcher.parts.queues.instance_limit(1500.0, short_queue, True) == 5, (
        "with a short queue the limit still grows by one"
    )


# Experiments.


EXPERIMENT = """(experiment small (script "{root}/examples/bad-days/kills.sexp") (seeds 1 2 3)
  (variant as-is (set script.seconds 12))
  (variant slower (set script.seconds 12) (set lab.network-ms 30))
  (sweep load.rate 30 60))
"""


def test_an_experiment_runs_in_parallel_writes_its_tables_and_compares_variants(tmp_path: Path) -> None:
    file, out = tmp_path / "small.sexp", tmp_path / "out"
    file.write_text(EXPERIMENT.format(root=ROOT))
    seen: list[Any] = []
    runs = run(str(file), out, 3, seen.append)
    assert len(runs) == len(seen) == 12 and read_runs(out) == runs
    seconds = read_seconds(out)
    assert len(seconds) == 12 * 12 and {s["point"] for s in seconds} == {"load.rate=30.0", "load.rate=60.0"}
    assert [r["calls"] for r in runs if r["value"] == 60.0] > [r["calls"] for r in runs if r["value"] == 30.0]
    as_is, slower = ([r for r in runs if r["variant"] == v] for v in ("as-is", "slower"))
    verdicts = {(d.figure, d.point): d.verdict for d in compare(as_is, slower)}
    assert verdicts["p50_ms", "load.rate=60.0"] == "worse" and verdicts["lost", "load.rate=60.0"] != "better"
    same = compare(as_is, as_is)
    assert {d.verdict for d in same} == {"not told apart"}, "a variant does not differ from itself"
    reversed_verdicts = {(d.figure, d.point): d.verdict for d in compare(slower, as_is)}
    assert reversed_verdicts["p50_ms", "load.rate=60.0"] == "better"
    with pytest.raises(ValueError, match="same point"):
        compare(as_is, [])
    text = write_report(out, runs, seconds, read(out, "spread")).read_text()
    assert "slower beside as-is" in text and (out / "service.png").stat().st_size > 5000
    for name in ("recovery", "latency", "give-ups", "work"):
        assert (out / f"{name}.png").stat().st_size > 5000 and f"{name}.png" in text


def test_confidence_intervals_cover_the_mean_as_often_as_stated() -> None:
    random = np.random.default_rng(4)
    covered = 0
    for _ in range(400):
        low, high = confidence_interval(random.normal(1.0, 2.0, 8))
        covered += low <= 1.0 <= high
    assert 0.91 < covered / 400 < 0.99
    assert confidence_interval(np.array([3.0])) == (float("-inf"), float("inf"))


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("(experiment x)", "no script"),
        ('(experiment x (script "{d}") (variant v (set dispatcher.nothing 1)))', "a key"),
        ('(experiment x (script "{d}") (variant v (set nothing.at-all 1)))', "a section"),
        ('(experiment x (script "{d}") (variant v (set dispatcher.hall 1)))', "a value like"),
        ('(experiment x (script "{d}") (variant v (seconds 1)))', "SECTION.KEY"),
        ('(experiment x (script "{d}") (sweep load 1))', "SECTION.KEY"),
        ('(experiment x (script "{d}") (seeds a))', "whole numbers"),
        ('(experiment x (script "{d}") (hop 1))', "one of script"),
        ("(trial x)", "one \\(experiment"),
    ],
)
def test_errors_in_experiments_are_reported(text: str, word: str, tmp_path: Path) -> None:
    file = tmp_path / "x.sexp"
    file.write_text(text.replace("{d}", str(ROOT / "examples" / "bad-days" / "kills.sexp")))
    with pytest.raises(SettingsError, match=word):
        load_experiment(file)


def test_recovery_time_starts_at_the_end_of_the_last_fault() -> None:
    scenario = load_scenario(ROOT / "examples" / "bad-days" / "kills.sexp")
    end = max(fault.at + fault.duration for fault in scenario.faults)
    seconds = [Second(calls=10, in_time=10 if n < 5 or n >= end + 3 else 2) for n in range(int(scenario.seconds) + 60)]
    assert recovery(scenario.seconds, scenario.last_fault_ends, Result(seconds, {}, {}, 0, 0)) == 3.0
    never = [Second(calls=10, in_time=1)] * 100
    assert recovery(scenario.seconds, scenario.last_fault_ends, Result(never, {}, {}, 0, 0)) == scenario.seconds - end


def test_a_paused_worker_reads_its_messages_later_and_heavy_work_hits_its_share_of_attempts() -> None:
    """Guards against results that are too favourable.

    The simulation once dropped messages to a paused worker, and made only 2% of the work heavy where the scenario said
    all of it.  Its 99th percentile of latency was 759 ms, compared with 2,640 ms of real processes over sockets.
    """
    deployment = load(ROOT / "examples" / "nursery.sexp")
    event_queue, recorded, replies = EventQueue(), list[tuple[str, dict[str, Any]]](), list[tuple[float, Any]]()
    worker = make_worker(event_queue, deployment, recorded)
    action = deployment.actions["places/place-check"]
    worker.order_instances(action, 1, "d", lambda status, loaded: None)
    event_queue.run(1000)
    scenario = load_scenario(ROOT / "examples" / "bad-days" / "first.sexp")
    pause = next(fault for fault in scenario.faults if fault.kind == "pause")  # 2 s

    def start_attempt(number: int) -> None:
        attempt = AttemptMessage(action, f"m{number}", f"a{number}", 0, "d", 5000.0)
        worker.start_attempt(attempt, lambda status, _: replies.append((event_queue.now, status)))

    start_attempt(0)
    worker.inject("pause", pause)
    start_attempt(1)
    event_queue.run(2500)
    assert not replies
    event_queue.run(4000)
    assert [status for _, status in replies] == [AttemptStatus.COMPLETED] * 2 and all(
        3000 <= t < 3400 for t, _ in replies
    )
    assert [fields["lag"] for event, fields in recorded if event == "send"] == [0.0, 2000.0], (
        "the lag is the same as in captures of real workers"
    )
    # 3% of attempts take 20 times as long.
    heavy = next(fault for fault in scenario.faults if fault.kind == "heavy-work")
    worker.faults["heavy-work"] = heavy
    model_state = worker.instances.model(action)
    work_durations = np.array([worker.executor.draw_duration_ms(model_state) for _ in range(4000)])
    assert 0.02 < np.mean(work_durations > 8 * action.work_ms) < 0.04
