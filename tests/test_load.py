"""Load models, habits of clients, and the load tool against a dispatcher in this process."""

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
from kelptrail.fault_scenario.scenario import FaultScenario
from kelptrail.fault_scenario.scenario import load_scenario as load_script
from kelptrail.load.arrivals import Arrivals, read_trace
from kelptrail.load.client_behavior import ClientBehavior, ClientOutcome, behavior_of, retry_delay_ms
from kelptrail.load.coordinator import merge_counters, write_results
from kelptrail.load.generator import GeneratorSettings, LoadGenerator, pack_counters
from kelptrail.load.plan import LOAD, Load, steady_load
from kelptrail.load.results import read
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import load
from kelptrail.settings.reader import SettingsError
from kelptrail.simulation.cluster import SimulatedCluster

ROOT = Path(__file__).parent.parent


def shaped(shape: str, rate: float = 200.0, **rest: Any) -> Load:
    made = steady_load(rate, 1e6, 1.0)
    for name, value in (rest | {"shape": shape}).items():
        assert name in {k.replace("-", "_") for k in LOAD.fields}
        object.__setattr__(made, name, value)
    return made


def drawn(load: Load, seconds: int, seed: int = 3, span: float = 1.0, part: tuple[int, int] = (0, 1)) -> np.ndarray:
    arrivals = Arrivals(load, np.random.default_rng(seed), part)
    out: list[float] = []
    for n in range(int(seconds / span)):
        found = [t for t, _ in arrivals.draw(n * span, span)]
        assert found == sorted(found) and all(n * span <= t < (n + 1) * span + 1e-9 for t in found)
        out += found
    return np.array(out)


@pytest.mark.parametrize("span", [0.25, 1.0, 7.0])
def test_shapes_keep_their_rate_and_have_their_shape(span: float) -> None:
    def counts(times: np.ndarray) -> np.ndarray:
        return np.histogram(times, np.arange(0, 2101))[0]

    plain = counts(drawn(shaped("poisson"), 2100, span=span))
    assert plain.mean() == pytest.approx(200, rel=0.02) and 0.85 < plain.var() / plain.mean() < 1.15
    wave = counts(drawn(shaped("diurnal", period=60.0, swing=0.8), 2100, span=span)).reshape(-1, 60).mean(axis=0)
    assert wave.mean() == pytest.approx(200, rel=0.02)
    assert wave[:3].mean() == pytest.approx(40, rel=0.25) and wave[28:32].mean() == pytest.approx(360, rel=0.05)
    crowds = counts(drawn(shaped("bursts", burst=2.0, quiet=8.0, factor=5.0), 2100, span=span))
    assert crowds.mean() == pytest.approx(200, rel=0.15) and crowds.var() / crowds.mean() > 10
    gaps = np.diff(drawn(shaped("heavy", tail=2.5), 2100, span=span))
    assert 1 / gaps.mean() == pytest.approx(200, rel=0.05)
    assert gaps.std() / gaps.mean() > 1.5, "an exponential has 1"


def test_parts_of_a_load_make_up_the_whole(tmp_path: Path) -> None:
    each = [len(drawn(shaped("poisson"), 300, seed=n, part=(n, 4))) for n in range(4)]
    assert sum(each) / 300 == pytest.approx(200, rel=0.03) and max(each) < 1.1 * min(each)
    file = tmp_path / "day.csv"
    file.write_text("# a recording\n0.5,p/a\n1.0\n2.5,p/b\n")
    whole = shaped("trace", file=str(file))
    trace = read_trace(file)
    assert trace.actions == ["p/a", "", "p/b"] and trace.length_s > 2.5
    every = drawn(whole, 30, span=0.25)
    assert len(every) == 27 and np.allclose(every[3:6] - every[:3], trace.length_s), "it begins anew"
    parts = np.sort(np.concatenate([drawn(whole, 30, part=(n, 2)) for n in range(2)]))
    assert np.allclose(parts, every)
    for text, word in (("x", "no time"), ("2\n1", "before"), ("", "no arrivals"), ("nan", "before")):
        file.write_text(text)
        with pytest.raises(ValueError, match=word):
            read_trace(file)


def test_clients_repeat_only_what_is_harmless_and_heed_as_they_do() -> None:
    heeds, half, none = (behavior_of(d, 0.5, 0.3) for d in (0.49, 0.79, 0.81))
    assert (heeds.retry_after_share, half.retry_after_share, none.retry_after_share) == (1.0, 0.5, 0.0)
    assert [retry_delay_ms(h, ClientOutcome.REJECTED, "once-only", 900, 400) for h in (heeds, half, none)] == [
        400,
        200,
        0,
    ]
    assert retry_delay_ms(heeds, ClientOutcome.REJECTED, "deduplicated", 900, 400, 1000) is None, (
        "the mark would be forgotten"
    )
    assert retry_delay_ms(heeds, ClientOutcome.REJECTED, "deduplicated", 900, 400, 1400) == 400
    for effect, heard, wait in (
        ("repeatable", ClientOutcome.ABORTED, 100),
        ("deduplicated", ClientOutcome.ABORTED, None),
        ("once-only", ClientOutcome.LOST, None),
        ("repeatable", ClientOutcome.LOST, 200),
        ("once-only", ClientOutcome.NOT_TAKEN, 50),
        ("repeatable", ClientOutcome.COMPLETED, None),
    ):
        assert retry_delay_ms(ClientBehavior(), heard, effect, 900) == wait
    assert retry_delay_ms(heeds, ClientOutcome.NOT_TAKEN, "repeatable", 900, 700) == 700
    assert retry_delay_ms(heeds, ClientOutcome.NOT_TAKEN, "repeatable", 900, 700, elapsed_ms=3000) is None


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("(shape sawtooth)", "one of poisson"),
        ("(heed 0.8) (half-heed 0.3)", "1 at most"),
        ("(shape trace)", "a recording"),
        ("(shape heavy) (tail 1)", "from 1.05"),
        ("(clients 0)", "from 1"),
    ],
)
def test_faults_of_loads_are_named(text: str, word: str, tmp_path: Path) -> None:
    file = tmp_path / "x.sexp"
    file.write_text(f'(bad-day x (deployment "{ROOT}/examples/nursery.sexp") (seconds 5) (load (rate 5) {text}))')
    with pytest.raises(SettingsError, match=word):
        load_script(file)


def test_a_closed_loop_in_the_lab_waits_for_its_answers() -> None:
    day = load_script(ROOT / "examples" / "bad-days" / "steady.sexp")
    closed = shaped("closed", clients=30, think=0.2, deferred=0.0)
    made = replace(day, load=[closed], faults=[])
    site = SimulatedCluster(made, load(day.deployment), 1)
    site.run()
    calls = sum(s.calls for s in site.seconds)
    cycle = 0.2 + 0.05
    assert 0.6 * 30 * 20 / cycle < calls < 30 * 20 / 0.2
    assert max(s.in_hand for s in site.seconds) <= 30


def test_the_tool_counts_a_stall_against_every_call_that_came_due_in_it(tmp_path: Path) -> None:
    """Coordinated omission: one connection, a worker that stalls once; a tool that measured from the send would show
    a single slow call."""

    async def main() -> None:
        stalls = [0.5]

        def script(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            if len(worker.sends) == 20 and stalls:
                asyncio.get_running_loop().call_later(stalls.pop(), answer, worker, request, exchange)
            else:
                answer(worker, request, exchange)

        dispatcher = Dispatcher([ScriptedWorker("w", script)])
        day = FaultScenario(
            "x", "", 1.5, 1, 1, 1, 0, "program", [shaped("poisson", 60.0, action="p/check", deferred=0.2)], []
        )
        hand = LoadGenerator(
            day, dispatcher.deployment, GeneratorSettings((dispatcher.server.address,), 0, 1, 5, 0.3, 1), now_ms() + 50
        )
        tally = await hand.run()
        slow = sum(
            1
            for item in tally.latencies["check"].get_recorded_iterator()
            for _ in range(item.count_at_value_iterated_to)
            if item.value_iterated_to > 100_000
        )
        assert slow >= 10, "some 30 came due in the stall"
        assert tally.connections > 5, "calls that close their connection"
        found = [msgspec.json.decode(msgspec.json.encode(pack_counters(tally))) for _ in range(2)]
        state = {"sends": 5, "orders": 1, "in_hand": 2, "storm": {"stage": "storm"}}
        found.append({"states": [[state], [state], [state | {"sends": 9}], [{}]]})
        result, took, _ = merge_counters(day, found)
        assert took["check"].get_total_count() == 2 * tally.latencies["check"].get_total_count()
        assert result.seconds[0].calls == 2 * tally.seconds[0].calls and result.seconds[1].sends == 4
        assert result.seconds[0].storming == 1 and result.seconds[0].in_hand == 2
        row = write_results(
            tmp_path, {"experiment": "x", "variant": "v", "point": "", "value": 0.0, "seed": 1}, day, found
        )
        assert read(tmp_path, "runs") == [row] and row["completed"] == sum(s.completed for s in result.seconds[:1])
        assert {r["name"] for r in read(tmp_path, "spread")} >= {"check"}
        await dispatcher.server.drain(500)
        await dispatcher.driver.drain(500)

    run(main())
