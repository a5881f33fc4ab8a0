"""The storm core: stages with hysteresis, return times in a row, and what must not be damped."""

from __future__ import annotations

import random
from heapq import heappop, heappush

from kelptrail.gateway.overload import OverloadController, OverloadSettings, OverloadStage


def rush(
    storm: OverloadController,
    start: float,
    seconds: float,
    per_s: float,
    turned: float,
    done: float,
    seed: int = 1,
    again: float = 0.0,
) -> tuple[float, list[float]]:
    """Comers at a rate, of whom a part is turned away and a part completed; `again`: the share that comes again at
    once.  Returns when it ends, and the return times told."""
    chance, now, told, waiting = random.Random(seed), start, list[float](), list[str]()
    number = 0
    while now < start + seconds * 1000:
        now += chance.expovariate(per_s / 1000)
        number += 1
        who = waiting.pop(0) if waiting and chance.random() < again else f"{seed}-{start}-{number}"
        back = storm.on_request(now, who)
        if back is not None:
            told.append(back)
            waiting.append(who)
        elif chance.random() < turned:
            told.append(storm.on_rejected(now, who, 1000.0))
            waiting.append(who)
        elif chance.random() < done:
            storm.on_completed(now, who)
    return now, told


def test_a_storm_is_seen_as_it_starts_and_ends_in_steps() -> None:
    storm = OverloadController(OverloadSettings(), 1)
    now, told = rush(storm, 0.0, 10, 400, 0.0, 1.0)
    assert storm.stage is OverloadStage.CALM and not told
    began = now
    now, told = rush(storm, now, 6, 1600, 0.8, 1.0, 2, again=0.6)
    assert storm.stage is OverloadStage.STORM
    seen = dict(reversed([(stage, when) for when, stage in storm.stage_history]))
    assert seen[OverloadStage.RISING] - began < 1000 and seen[OverloadStage.STORM] - began < 2500
    now, _ = rush(storm, now, 2, 420, 0.02, 1.0, 3)
    assert storm.stage is OverloadStage.RECOVERING
    now, _ = rush(storm, now, 6, 400, 0.0, 1.0, 4)
    assert storm.stage is OverloadStage.CALM
    order = [stage for _, stage in storm.stage_history]
    assert order[:2] == [OverloadStage.RISING, OverloadStage.STORM] and order[-2:] == [
        OverloadStage.RECOVERING,
        OverloadStage.CALM,
    ]
    assert len(order) <= 8, "it does not flap"


def test_a_rush_that_is_served_and_a_few_refusals_are_no_storm() -> None:
    for turned, per_s in ((0.0, 2000.0), (0.1, 400.0), (0.1, 1200.0)):
        storm = OverloadController(OverloadSettings(), 1)
        now, _ = rush(storm, 0.0, 10, 400, 0.0, 1.0)
        _, told = rush(storm, now, 8, per_s, turned, 1.0, 2)
        assert storm.stage is OverloadStage.CALM, (turned, per_s)
        assert set(told) <= {1000.0}, "the decisions' own return time"


def test_return_times_stand_in_a_row_that_fits_what_can_be_taken() -> None:
    storm = OverloadController(OverloadSettings(max_retry_after_ms=600_000.0), 1)
    now, _ = rush(storm, 0.0, 10, 400, 0.0, 1.0)
    now, _ = rush(storm, now, 4, 1600, 0.7, 1.0, 2)
    assert storm.stage is OverloadStage.STORM
    spare = max(storm.completed_per_s - storm.first_tries_per_s, 0.1 * storm.completed_per_s, 1.0)
    before = storm._next_retry_at
    times = sorted(now + storm.on_rejected(now, f"x{n}", 0.0) for n in range(200))
    assert storm._next_retry_at - before > 0.9 * 200 * 1000 / spare, "each has a place of its own"
    assert len({round(t) for t in times}) > 190, "not all at one moment"
    bounded = OverloadController(OverloadSettings(max_retry_after_ms=3000.0), 1)
    now, _ = rush(bounded, 0.0, 10, 400, 0.0, 1.0)
    now, told = rush(bounded, now, 6, 4000, 0.95, 1.0, 2)
    assert max(told) <= 3000 and len({round(t) for t in told[-200:]}) > 100, "spread also at the bound"
    assert bounded._next_retry_at <= now + 3000


def test_whoever_comes_early_is_refused_at_the_door_and_told_longer_but_not_without_end() -> None:
    storm = OverloadController(OverloadSettings(), 1)
    now, _ = rush(storm, 0.0, 10, 400, 0.0, 1.0)
    now, _ = rush(storm, now, 6, 1600, 0.8, 1.0, 2, again=0.6)
    assert storm.stage is OverloadStage.STORM
    first = storm.on_rejected(now, "me", 4000.0)
    slot = storm._next_retry_at
    backs = [storm.on_request(now + 10 + n, "me") for n in range(8)]
    assert all(b is not None and b <= 12_000 for b in backs)
    assert storm._next_retry_at == slot, "it takes nobody else's place"
    assert backs[0] is not None and backs[0] > 0.74 * min(12_000.0, 1.5 * (first - 10)), "longer, not shorter"
    last = backs[-1]
    assert last is not None and storm.on_request(now + 20 + last + 100, "me") is None, "at its time it is let in"
    storm.on_completed(now + 30_000, "me")
    assert "me" not in storm._clients


def test_whoever_never_comes_back_is_forgotten() -> None:
    storm = OverloadController(OverloadSettings(forget_after_ms=2000.0), 1)
    now, _ = rush(storm, 0.0, 5, 400, 0.3, 1.0)
    assert len(storm._clients) > 300
    rush(storm, now, 5, 200, 0.0, 1.0, 2)
    assert not storm._clients


def test_undamped_it_only_watches_and_memory_is_bounded() -> None:
    storm = OverloadController(OverloadSettings(enabled=False, max_clients=500), 1)
    now, _ = rush(storm, 0.0, 5, 400, 0.0, 1.0)
    _, told = rush(storm, now, 6, 1600, 0.8, 1.0, 2, again=0.6)
    assert storm.stage is OverloadStage.STORM and set(told) == {1000.0} and len(storm._clients) <= 500
    assert storm.status()["stage"] == "storm"


def test_connects_and_misses_raise_an_alarm_but_no_storm() -> None:
    storm = OverloadController(OverloadSettings(), 1)
    now = 0.0
    while now < 10_000:
        now += 5
        storm.on_connection(now) if now % 50 == 0 else storm.on_attempt_answered(now, False)
    assert storm.stage is OverloadStage.CALM
    while now < 12_000:  # everybody connects anew
        now += 2
        storm.on_connection(now)
    assert storm.stage is OverloadStage.RISING and [s for _, s in storm.stage_history] == [OverloadStage.RISING]
    while now < 15_000:
        now += 50
        storm.on_connection(now)
    assert storm.stage is OverloadStage.CALM
    storm.cold_share = 0.1
    for share, stage in ((0.1, OverloadStage.CALM), (0.6, OverloadStage.RISING)):
        storm.cold_share = share
        for _ in range(600):
            now += 3
            storm.on_attempt_answered(now, True)
        assert storm.stage is stage, "misses alone are no sign, misses while workers are cold are"


def test_repeats_of_a_customer_over_its_share_take_what_is_left() -> None:
    """One customer storms, the other asks for what it always does: its first tries and its repeats go on."""
    storm, chance, now = OverloadController(OverloadSettings(), 1, {"quiet": 1.0, "loud": 1.0}), random.Random(3), 0.0
    held, passed, number, told = {"quiet": 0, "loud": 0}, {"quiet": 0, "loud": 0}, 0, list[tuple[float, str, str]]()
    while now < 30_000:
        now += 1
        comers = [
            (space, f"{space}-{number}-{n}")
            for space, odds in (("quiet", 0.2), ("loud", 0.2 + (now > 8000)))
            for n in range(1)
            if chance.random() < odds
        ]
        while told and told[0][0] <= now:
            comers.append(heappop(told)[1:])
        for space, who in comers:
            number += 1
            back = storm.on_request(now, who, space, 1.0)
            late = now > 12_000 and storm.stage is OverloadStage.STORM
            if back is not None:
                held[space] += late
                heappush(told, (now + back, space, who))
            elif chance.random() < (0.0 if now < 8000 else 0.7):
                passed[space] += late
                heappush(told, (now + storm.on_rejected(now, who, 100.0), space, who))
            else:
                passed[space] += late
                storm.on_completed(now, who)
    assert storm.held_back > 100 and held["loud"] > 100 and held["quiet"] == 0 and passed["quiet"] > 1000


def test_one_customer_over_its_share_is_held_back_while_the_others_are_hurt_and_no_longer() -> None:
    storm, chance, now = OverloadController(OverloadSettings(), 1, {"quiet": 2.0, "loud": 1.0}), random.Random(5), 0.0
    let_in: dict[float, list[int]] = {}
    while now < 30_000:
        now += 1
        loud = 10_000 < now < 20_000
        for space, odds in (("quiet", 0.4), ("loud", 1.0 if loud else 0.2)):
            if chance.random() >= odds:
                continue
            who = f"{space} {now}"
            back = storm.on_request(now, who, space)
            second = let_in.setdefault(now // 1000, [0, 0])
            if space == "loud":
                second[0] += 1
                second[1] += back is None
            else:
                assert back is None, "whoever keeps to its share is not held back"
            if back is None:
                crowded = loud and storm.admitted_share > 0.4  # what is let in is more than can be carried
                storm.on_completed(now, who, space, late=crowded and chance.random() < 0.5)
    share = {second: good / came for second, (came, good) in let_in.items() if came}
    assert all(share[n] == 1.0 for n in range(10)) and all(share[n] < 0.6 for n in range(13, 20))
    assert all(share[n] == 1.0 for n in range(24, 30)), "and no longer"
    other = OverloadController(OverloadSettings(), 1, {"quiet": 2.0, "loud": 1.0})
    for step in range(20_000):  # over its share, and nobody is the worse for it
        space = "loud" if step % 2 else "quiet"
        assert other.on_request(step, f"{space} {step}", space) is None
        other.on_completed(step, f"{space} {step}", space)
    assert other.admitted_share == 1.0
