"""Arrival processes, retry behaviour of clients, and the load generator with a dispatcher in the test process."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from program import Dispatcher, ScriptedWorker, answer, run

from kelptrail.clock import now_ms
from kelptrail.codec.http import Request
from kelptrail.fault_scenario.scenario import FaultScenario, load_scenario
from kelptrail.load.arrivals import Arrivals, TraceError, read_trace
from kelptrail.load.choices import NamespaceChoice
from kelptrail.load.client_behavior import ClientBehavior, ClientOutcome, behavior_of, has_attempts_left, retry_delay_ms
from kelptrail.load.coordinator import GeneratorOutput, merge_counters, write_results
from kelptrail.load.generator import LoadGenerator
from kelptrail.load.generator_counters import GeneratorCounters, PackedCounters
from kelptrail.load.generator_settings import GeneratorSettings
from kelptrail.load.plan import LOAD, Load, steady_load
from kelptrail.load.results import read
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import load as load_deployment
from kelptrail.settings.reader import SettingsError
from kelptrail.simulation.cluster import SimulatedCluster

ROOT = Path(__file__).parent.parent


def make_load(shape: str, rate: float = 200.0, **settings: Any) -> Load:
    load = steady_load(rate, 1e6, 1.0)
    for name, value in (settings | {"shape": shape}).items():
        assert name in {key.replace("-", "_") for key in LOAD.fields}
        object.__setattr__(load, name, value)
    return load


def draw_times(
    load: Load, seconds: int, seed: int = 3, span: float = 1.0, part: tuple[int, int] = (0, 1)
) -> np.ndarray:
    arrivals = Arrivals(load, np.random.default_rng(seed), part)
    all_times: list[float] = []
    for n in range(int(seconds / span)):
        times = [arrival.time for arrival in arrivals.draw(n * span, span)]
        assert times == sorted(times) and all(n * span <= t < (n + 1) * span + 1e-9 for t in times)
        all_times += times
    return np.array(all_times)


@pytest.mark.parametrize("span", [0.25, 1.0, 7.0])
def test_arrival_shapes_have_the_expected_rate_and_variation(span: float) -> None:
    def counts(times: np.ndarray) -> np.ndarray:
        return np.histogram(times, np.arange(0, 2101))[0]

    steady = counts(draw_times(make_load("poisson"), 2100, span=span))
    assert steady.mean() == pytest.approx(200, rel=0.02) and 0.85 < steady.var() / steady.mean() < 1.15
    diurnal = (
        counts(draw_times(make_load("diurnal", period=60.0, swing=0.8), 2100, span=span)).reshape(-1, 60).mean(axis=0)
    )
    assert diurnal.mean() == pytest.approx(200, rel=0.02)
    assert diurnal[:3].mean() == pytest.approx(40, rel=0.25) and diurnal[28:32].mean() == pytest.approx(360, rel=0.05)
    bursts = counts(draw_times(make_load("bursts", burst=2.0, quiet=8.0, factor=5.0), 2100, span=span))
    assert bursts.mean() == pytest.approx(200, rel=0.15) and bursts.var() / bursts.mean() > 10
    gaps = np.diff(draw_times(make_load("heavy", tail=2.5), 2100, span=span))
    assert 1 / gaps.mean() == pytest.approx(200, rel=0.05)
    assert gaps.std() / gaps.mean() > 1.5, "the gaps vary more than exponential ones, whose ratio is 1"


def test_the_parts_of_a_load_add_up_to_the_complete_load(tmp_path: Path) -> None:
    counts = [len(draw_times(make_load("poisson"), 300, seed=n, part=(n, 4))) for n in range(4)]
    assert sum(counts) / 300 == pytest.approx(200, rel=0.03) and max(counts) < 1.1 * min(counts)
    file = tmp_path / "day.csv"
    file.write_text("# a trace\n0.5,p/a\n1.0\n2.5,p/b\n")
    load = make_load("trace", file=str(file))
    trace = read_trace(file)
    assert trace.actions == ["p/a", "", "p/b"] and trace.length_s > 2.5
    times = draw_times(load, 30, span=0.25)
    assert len(times) == 27 and np.allclose(times[3:6] - times[:3], trace.length_s), "the trace repeats"
    parts = np.sort(np.concatenate([draw_times(load, 30, part=(n, 2)) for n in range(2)]))
    assert np.allclose(parts, times)


@pytest.mark.parametrize(
    ("text", "message"), [("x", "is not a time in seconds"), ("2\n1", "before"), ("", "no arrivals"), ("nan", "before")]
)
def test_malformed_traces_are_reported(text: str, message: str, tmp_path: Path) -> None:
    file = tmp_path / "day.csv"
    file.write_text(text)
    with pytest.raises(TraceError, match=message):
        read_trace(file)


def test_clients_retry_only_when_it_is_safe_and_wait_for_their_share_of_retry_after() -> None:
    full, half, none = (behavior_of(draw, 0.5, 0.3) for draw in (0.49, 0.79, 0.81))
    assert (full.retry_after_share, half.retry_after_share, none.retry_after_share) == (1.0, 0.5, 0.0)
    rejected, not_taken = ClientOutcome.REJECTED, ClientOutcome.NOT_TAKEN
    delays = [retry_delay_ms(behavior, rejected, "once-only", 900, 400) for behavior in (full, half, none)]
    assert delays == [400, 200, 0]
    assert retry_delay_ms(full, rejected, "deduplicated", 900, 400, 1000) is None, (
        "the deduplication window would have ended"
    )
    assert retry_delay_ms(full, rejected, "deduplicated", 900, 400, 1400) == 400
    for effect, outcome, delay_ms in (
        ("repeatable", ClientOutcome.ABORTED, 100),
        ("deduplicated", ClientOutcome.ABORTED, None),
        ("once-only", ClientOutcome.LOST, None),
        ("repeatable", ClientOutcome.LOST, 200),
        ("once-only", not_taken, 50),
        ("repeatable", ClientOutcome.COMPLETED, None),
    ):
        assert retry_delay_ms(ClientBehavior(), outcome, effect, 900) == delay_ms
    assert retry_delay_ms(full, not_taken, "repeatable", 900, 700) == 700
    assert retry_delay_ms(full, not_taken, "repeatable", 900, 700, elapsed_ms=3000) is None


def test_a_named_namespace_needs_no_random_draw_and_others_are_drawn_by_quota() -> None:
    namespaces = load_deployment(str(ROOT / "examples" / "nursery.sexp")).namespaces
    choice, random = NamespaceChoice(namespaces), np.random.default_rng(1)
    before = random.bit_generator.state
    assert choice.draw(random, make_load("poisson", namespace="desks")).name == "desks"
    assert random.bit_generator.state == before
    names = [choice.draw(random, make_load("poisson")).name for _ in range(3000)]
    quota_share = namespaces["desks"].quota_per_s / sum(n.quota_per_s for n in namespaces.values())
    assert names.count("desks") / 3000 == pytest.approx(quota_share, abs=0.03)


def test_calls_that_no_dispatcher_accepts_get_extra_attempts() -> None:
    assert has_attempts_left(ClientOutcome.REJECTED, 1) and not has_attempts_left(ClientOutcome.REJECTED, 0)
    assert has_attempts_left(ClientOutcome.NOT_TAKEN, -19) and not has_attempts_left(ClientOutcome.NOT_TAKEN, -20)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("(shape sawtooth)", "one of poisson"),
        ("(heed 0.8) (half-heed 0.3)", "1 at most"),
        ("(shape trace)", "a readable trace file"),
        ("(shape heavy) (tail 1)", "from 1.05"),
        ("(clients 0)", "from 1"),
    ],
)
def test_malformed_loads_are_reported(text: str, message: str, tmp_path: Path) -> None:
    file = tmp_path / "x.sexp"
    file.write_text(f'(bad-day x (deployment "{ROOT}/examples/nursery.sexp") (seconds 5) (load (rate 5) {text}))')
    with pytest.raises(SettingsError, match=message):
        load_scenario(file)


def test_clients_of_a_closed_loop_wait_for_their_answers_in_the_simulation() -> None:
    scenario = load_scenario(ROOT / "examples" / "bad-days" / "steady.sexp")
    closed = make_load("closed", clients=30, think=0.2, deferred=0.0)
    scenario = replace(scenario, load=[closed], faults=[])
    cluster = SimulatedCluster(scenario, load_deployment(scenario.deployment), 1)
    cluster.run()
    calls = sum(second.calls for second in cluster.seconds)
    # Each of the 30 clients calls for 20 s; a cycle is the mean think time and the time for an answer.
    cycle_s = 0.2 + 0.05
    assert 0.6 * 30 * 20 / cycle_s < calls < 30 * 20 / 0.2
    assert max(second.calls_in_flight for second in cluster.seconds) <= 30


def test_latency_includes_a_stall_for_every_call_that_became_due_during_it(tmp_path: Path) -> None:
    """Guards against coordinated omission.

    With one connection and a worker that stalls once, latencies that are measured from the time of sending would show a
    single slow call.
    """

    async def main() -> None:
        stalls_s = [0.5]

        def script(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            if len(worker.attempts) == 20 and stalls_s:
                asyncio.get_running_loop().call_later(stalls_s.pop(), answer, worker, request, exchange)
            else:
                answer(worker, request, exchange)

        dispatcher = Dispatcher([ScriptedWorker("w", script)])
        load = make_load("poisson", 60.0, action="p/check", deferred=0.2)
        scenario = FaultScenario("x", "", 1.5, 1, 1, 1, 0, "program", [load], [])
        settings = GeneratorSettings((dispatcher.server.address,), 0, 1, 5, 0.3, 1)
        counters = await LoadGenerator(scenario, dispatcher.deployment, settings, now_ms() + 50).run()
        slow = sum(
            1
            for item in counters.latencies["check"].get_recorded_iterator()
            for _ in range(item.count_at_value_iterated_to)
            if item.value_iterated_to > 100_000
        )
        assert slow >= 10, "some 30 calls became due during the stall"
        assert counters.connections > 5, "some calls close their connection"
        check_tables(scenario, counters, tmp_path)
        await dispatcher.server.drain(500)
        await dispatcher.driver.drain(500)

    run(main())


def check_tables(scenario: FaultScenario, counters: GeneratorCounters, folder: Path) -> None:
    """Merge the counters as if two processes had sent them, with the states of a dispatcher, and check the tables."""
    packed = [msgspec.json.decode(msgspec.json.encode(counters.pack()), type=PackedCounters) for _ in range(2)]
    state = {"sends": 5, "orders": 1, "in_hand": 2, "storm": {"stage": "storm"}}
    output = GeneratorOutput(packed, [[state], [state], [state | {"sends": 9}], [{}]])
    merged = merge_counters(scenario, output)
    seconds = merged.result.seconds
    assert merged.latencies["check"].get_total_count() == 2 * counters.latencies["check"].get_total_count()
    assert seconds[0].calls == 2 * counters.seconds[0].calls and seconds[1].attempts == 4
    assert seconds[0].overloaded_dispatchers == 1 and seconds[0].calls_in_flight == 2
    key_columns = {"experiment": "x", "variant": "v", "point": "", "value": 0.0, "seed": 1}
    row = write_results(folder, key_columns, scenario, output)
    assert read(folder, "runs") == [row] and row["completed"] == sum(s.completed for s in seconds[:1])
    assert {r["name"] for r in read(folder, "spread")} >= {"check"}
