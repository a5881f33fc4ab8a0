"""Campaigns: drawn scenarios are valid, identical for the same seed, and different for different seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from kelptrail.fault_scenario.campaign import REPLICATION_DISPATCHERS, SCENARIO_GENERATORS, summarize
from kelptrail.fault_scenario.scenario import FaultKind, FaultScenario, load_scenario
from kelptrail.settings.deployment import load

ROOT = Path(__file__).parent.parent
# By the kind of the campaign; "copies" is the one with replication.
DEPLOYMENT_FILES = {"leases": "fleet.sexp", "copies": "copies.sexp"}
SEEDS = range(1, 21)


def draw_and_load(kind: str, seed: int, folder: Path) -> FaultScenario:
    """Draw a scenario, write its files and load them, as a campaign does."""
    drawn = SCENARIO_GENERATORS[kind](seed, (ROOT / "examples" / DEPLOYMENT_FILES[kind]).read_text())
    (folder / f"fleet-{seed}.sexp").write_text(drawn.deployment)
    (folder / "day.sexp").write_text(drawn.script)
    return load_scenario(folder / "day.sexp")


@pytest.mark.parametrize("kind", sorted(SCENARIO_GENERATORS))
def test_drawn_scenarios_are_valid_and_depend_on_the_seed_alone(kind: str, tmp_path: Path) -> None:
    deployment_text = (ROOT / "examples" / DEPLOYMENT_FILES[kind]).read_text()
    scripts = set()
    for seed in SEEDS:
        assert SCENARIO_GENERATORS[kind](seed, deployment_text) == SCENARIO_GENERATORS[kind](seed, deployment_text)
        scenario = draw_and_load(kind, seed, tmp_path)
        scripts.add(SCENARIO_GENERATORS[kind](seed, deployment_text).script)
        assert all(fault.at < scenario.seconds and fault.part > 0 for fault in scenario.faults)
    assert len(scripts) == len(SEEDS)


def test_a_lease_scenario_has_its_acceptors_among_its_dispatchers(tmp_path: Path) -> None:
    for seed in SEEDS:
        scenario = draw_and_load("leases", seed, tmp_path)
        leases = load(scenario.deployment).leases
        assert leases is not None and len(leases.acceptors) in (3, 5)
        assert set(leases.acceptors) <= {f"dispatcher-{n}" for n in range(scenario.dispatchers)}
        assert 5 <= scenario.dispatchers <= 7 and 5 <= len(scenario.faults) <= 7


def test_a_replication_scenario_never_loses_more_machines_at_once_than_its_replicas_cover(tmp_path: Path) -> None:
    for seed in SEEDS:
        scenario = draw_and_load("copies", seed, tmp_path)
        peers = load(scenario.deployment).peers
        assert peers is not None and peers.replicas in (1, 2)
        losses = [fault for fault in scenario.faults if fault.kind == FaultKind.LOSE_MACHINES]
        assert len(losses) == 2 and losses[0].at + losses[0].duration < losses[1].at
        # `part` is the share of the dispatchers that lose their machines.
        assert all(round(loss.part * REPLICATION_DISPATCHERS) <= peers.replicas for loss in losses)


def test_a_summary_adds_up_the_counts_and_lists_the_seeds_that_failed_or_broke_a_rule() -> None:
    # The counts of a report; campaign.py and history_checker/result.py say what they count.
    counts = dict.fromkeys(
        (
            "taken",
            "acts",
            "holders",
            "old_tokens_refused",
            "holders_two_by_clocks",
            "lost_with_disk",
            "lost_with_dispatcher",
            "completed",
            "rejected",
            "aborted",
        ),
        2,
    )
    # `longest_without_s` is the longest time without a lease holder.
    passed = {"seed": 1, "broken": {}, "longest_without_s": 0.5, **counts}
    with_breach = {"seed": 2, "broken": {"unanswered": 3}, "longest_without_s": 1.5, **counts}
    summary = summarize([passed, with_breach, {"seed": 3, "failed": "no report"}])
    assert (summary["seeds"], summary["failed"], summary["broken"]) == (3, [3], [2])
    assert summary["breaches"] == {"unanswered": 3} and summary["longest_without_s"] == 1.5
    assert {name: summary[name] for name in counts} == dict.fromkeys(counts, 4)
