"""Simulation in several processes: deterministic, close to a run in one process, and valid for the history checker."""

from __future__ import annotations

from pathlib import Path

import pytest

from kelptrail.fault_scenario.scenario import Fault, FaultScenario
from kelptrail.history_checker.checker import check_history
from kelptrail.load.plan import steady_load
from kelptrail.load.results import figures
from kelptrail.settings.deployment import load
from kelptrail.simulation.cluster import SimulatedCluster, result_of
from kelptrail.simulation.event_queue import EventQueue
from kelptrail.simulation.remote import RemoteStore, SharedEffectLog
from kelptrail.simulation.settings import SimulationSettings
from kelptrail.simulation.shard import Shard
from kelptrail.simulation.sharding import ShardError, play_sharded

ROOT = Path(__file__).parent.parent
SETTINGS = SimulationSettings(network_ms=1.0)


def make_scenario(faults: list[Fault]) -> FaultScenario:
    file = str(ROOT / "examples" / "nursery.sexp")
    return FaultScenario(
        "sharded",
        file,
        seconds=8.0,
        workers=12,
        dispatchers=6,
        client_processes=1,
        planners=0,
        solver="program",
        load=[steady_load(180.0, 8.0, 1.0)],
        faults=faults,
    )


def make_fault(kind: str, at: float, seconds: float, part: float) -> Fault:
    return Fault(
        kind,
        at,
        duration=seconds,
        part=part,
        share=1.0,
        factor=4.0,
        ms=100.0,
        type="",
        count=1,
        zone="",
        one_way=False,
    )


def test_a_sharded_run_is_deterministic_and_close_to_a_run_in_one_process() -> None:
    scenario, deployment = make_scenario([]), load(ROOT / "examples" / "nursery.sexp")
    single = SimulatedCluster(scenario, deployment, 2, SETTINGS)
    single.run()
    expected = figures(8.0, 0.0, result_of(single))
    (first, _), (second, _) = (play_sharded(scenario, deployment, 2, SETTINGS, 3) for _ in range(2))
    assert first.latency == second.latency and first.seconds == second.seconds and first.events == second.events
    sharded = figures(8.0, 0.0, first)
    # "wishes" counts new calls, without retries.
    assert sharded["wishes"] == pytest.approx(expected["wishes"], rel=0.12)
    assert sharded["served_share"] == pytest.approx(expected["served_share"], abs=0.05)
    assert sharded["p50_ms"] == pytest.approx(expected["p50_ms"], rel=0.15)
    assert first.loads == pytest.approx(single.store.fetches, rel=0.25), (
        "all shards load from one store, about as often as one process"
    )


def test_faults_apply_to_all_shards_alike_and_break_no_rule_of_the_history_checker() -> None:
    """Guards against shards that disagree on the effect log or on the state of workers.

    A key or a call would then have two side effects, or an attempt would go to a worker that is draining or removed;
    the history checker reports both.
    """
    faults = [
        make_fault("crash", 2, 1.5, 0.2),
        make_fault("rolling-deploy", 3, 2, 0.2),
        make_fault("kill-dispatchers", 4, 0.5, 0.3),
        make_fault("hang", 5, 1.5, 0.2),
        make_fault("store-slow", 2, 2, 1),
        make_fault("restart-cold", 1, 0, 0.2),
    ]
    scenario, deployment = make_scenario(faults), load(ROOT / "examples" / "nursery.sexp")
    _, events = play_sharded(scenario, deployment, 5, SETTINGS, 3, capture=True)
    result = check_history(events)
    assert not result.broken, result.details
    # `taken` counts the calls that a dispatcher accepted.
    assert result.taken > 800 and result.unanswered == 0 and result.completed > 0.8 * result.taken
    assert [e["kind"] for e in events if e["what"] == "trouble"] == sorted(
        (f.kind for f in faults), key=lambda kind: next(f.at for f in faults if f.kind == kind)
    )
    # A dispatcher is captured as NAME/RUN.
    dispatcher_worker_pairs = {(e["dispatcher"].split("/")[0], e["worker"]) for e in events if e["what"] == "send"}
    # dispatcher-N is in shard N % 3, worker-N in shard N // 2 % 3 (see `Shard`).
    cross_shard_pairs = [(d, w) for d, w in dispatcher_worker_pairs if int(d[11:]) % 3 != int(w[7:]) // 2 % 3]
    assert len(cross_shard_pairs) > len(dispatcher_worker_pairs) / 2, "attempts go to workers of other shards"
    started_incarnations = {e["incarnation"] for e in events if e["what"] == "start"}
    listed_incarnations = {i for e in events if e["what"] == "list" for _, i in e["workers"].values()}
    assert listed_incarnations <= started_incarnations, "every shard lists only incarnations that started"


def test_messages_to_other_shards_arrive_one_network_delay_later_and_only_the_first_reply_counts() -> None:
    event_queue, shard = EventQueue(), Shard(1, 3)
    effect_log = SharedEffectLog(shard, event_queue, SETTINGS)
    effect_log["all", "m"] = 5.0
    effect_log["cell-2", "n"] = 6.0
    # "mark" is the value of `MessageKind.EFFECT`, "fetch" that of `MessageKind.FETCH`.
    assert shard.outgoing == [(1.0, to, "mark", (("all", "m"), 5.0)) for to in (0, 2)], (
        "effects of a cell stay in its shard"
    )
    effect_log.on_remote_effect(("all", "x"), 7.0)
    assert effect_log["all", "x"] == 7.0 and len(shard.outgoing) == 2
    replies: list[bool] = []
    RemoteStore(shard, event_queue, SETTINGS).fetch(30.0, replies.append)
    # Arguments: number of the requesting shard, number of the request, `fetch_ms`.
    assert shard.outgoing[-1] == (1.0, 0, "fetch", (1, 1, 30.0))
    shard.on_reply(1, (True,))
    shard.on_reply(1, (False,))
    assert replies == [True], "only the first reply is delivered"


def test_a_shard_that_fails_is_reported_with_its_cause() -> None:
    scenario, deployment = make_scenario([make_fault("nonsense", 1, 1, 0.2)]), load(ROOT / "examples" / "nursery.sexp")
    # The time is not a number, so that the shard's process fails to schedule the fault; its kind is never used.
    object.__setattr__(scenario.faults[0], "at", "soon")
    with pytest.raises(ShardError, match="TypeError"):
        play_sharded(scenario, deployment, 1, SETTINGS, 2)
