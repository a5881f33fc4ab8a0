"""An explorer of two or three cores under loss, delay, duplication, pauses and crashes; free of I/O.

A state holds the routers, the advertisements in flight and what is left of the fault budget.  From each state every
step is taken: deliver, drop or copy an advertisement, let time pass to the next timer, crash, start again, pause,
wake.  States that differ only by the time they are reached at are one.  In every state the address is held by Masters
only; and from every state, once the network heals, exactly one Master remains within a stated time, the best one where
it preempts, without an endless exchange at one moment.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial

from kelptrail.model_checking import explorer
from kelptrail.model_checking.explorer import PropertyError, Step

from .packet import Advertisement
from .state_machine import GiveUp, Router, State, Take, Transmit

MOST_AT_ONCE = 60  # advertisements sent without time passing, in a healed network of three


@dataclass(frozen=True, slots=True)
class Flying:
    """An advertisement on its way; `age` in steps of time it has been held up."""

    advert: Advertisement
    sender: int
    to: int
    age: int = 0


@dataclass(frozen=True, slots=True)
class Budget:
    """Faults that are left to happen."""

    drops: int = 2
    copies: int = 1
    crashes: int = 1
    pauses: int = 1
    delay: int = 1  # steps of time that an advertisement may be held up


class Model:
    """One state."""

    __slots__ = ("alive", "budget", "flying", "holds", "now", "paused", "routers", "trail")

    def __init__(self, routers: list[Router], budget: Budget) -> None:
        self.routers, self.budget, self.now = routers, budget, 0.0
        self.flying: tuple[Flying, ...] = ()
        self.holds = [False] * len(routers)
        self.alive = [True] * len(routers)
        self.paused = [False] * len(routers)
        self.trail: tuple[str, ...] = ()

    def copy(self) -> Model:
        """A copy that goes its own way."""
        twin = Model.__new__(Model)
        twin.routers = [r.copy() for r in self.routers]
        twin.budget, twin.now, twin.flying, twin.trail = self.budget, self.now, self.flying, self.trail
        twin.holds, twin.alive, twin.paused = list(self.holds), list(self.alive), list(self.paused)
        return twin

    def key(self) -> tuple[object, ...]:
        """What the future depends on."""
        flying = sorted((f.advert.priority, f.sender, f.to, f.age) for f in self.flying)
        return (
            tuple(r.snapshot(self.now) for r in self.routers),
            tuple(flying),
            tuple(self.alive),
            tuple(self.paused),
            self.budget,
        )

    def steps(self) -> Iterator[Step[Model]]:
        """Every step that can follow."""
        for name, after in steps(self):
            after.collect()
            yield Step(name, partial(_made, after))

    def collect(self) -> int:
        """Take what the routers put out; returns how many advertisements were sent."""
        sent = 0
        for number, router in enumerate(self.routers):
            while router.outputs:
                output = router.outputs.popleft()
                if isinstance(output, Transmit):
                    sent += 1
                    self.flying += tuple(
                        Flying(output.advert, number, to) for to in range(len(self.routers)) if to != number
                    )
                elif isinstance(output, Take):
                    self.holds[number] = True
                elif isinstance(output, GiveUp):
                    self.holds[number] = False
        return sent

    def check(self) -> None:
        """What must hold in every state."""
        for number, router in enumerate(self.routers):
            if self.alive[number] and self.holds[number] is not (router.state is State.MASTER):
                raise PropertyError(
                    f"router {number} is {router.state.value} and "
                    f"{'holds' if self.holds[number] else 'does not hold'} the address"
                )

    def deliver(self, flying: Flying) -> None:
        """An advertisement arrives, or waits unread at a paused or dead one."""
        router = self.routers[flying.to]
        if self.alive[flying.to]:
            router.received(self.now, flying.advert, self.routers[flying.sender].primary)

    def next_due(self) -> float | None:
        """When the next timer of a running router is due."""
        dues = [
            due
            for n, r in enumerate(self.routers)
            if self.alive[n] and not self.paused[n] and (due := r.due()) is not None
        ]
        return min(dues, default=None)

    def pass_time(self) -> bool:
        """Let time pass to the next timer and let it fire; False where none is due."""
        due = self.next_due()
        if due is None:
            return False
        self.now = max(self.now, due)
        for number, router in enumerate(self.routers):
            if self.alive[number] and not self.paused[number]:
                router.tick(self.now)
        return True


def _made(world: Model) -> Model:
    return world


Make = Callable[[], list[Router]]


def start(make: Make, budget: Budget) -> Model:
    """The first state: all routers started, one after the other at one moment."""
    world = Model(make(), budget)
    for router in world.routers:
        router.startup(world.now)
    world.collect()
    return world


def steps(world: Model) -> Iterator[tuple[str, Model]]:
    """Every state that can follow."""
    budget = world.budget
    for number, flying in enumerate(world.flying):
        rest = world.flying[:number] + world.flying[number + 1 :]
        name = f"{flying.sender}>{flying.to} p{flying.advert.priority}"
        if not world.paused[flying.to]:
            twin = world.copy()
            twin.flying = rest
            twin.deliver(flying)
            yield f"deliver {name}", twin
        if budget.drops:
            twin = world.copy()
            twin.flying, twin.budget = rest, replace(budget, drops=budget.drops - 1)
            yield f"drop {name}", twin
        if budget.copies:
            twin = world.copy()
            twin.flying = (*world.flying, flying)
            twin.budget = replace(budget, copies=budget.copies - 1)
            yield f"copy {name}", twin
    if all(f.age < budget.delay or world.paused[f.to] for f in world.flying):
        twin = world.copy()
        twin.flying = tuple(replace(f, age=min(f.age + 1, budget.delay)) for f in twin.flying)
        if twin.pass_time():
            yield f"time {twin.now - world.now:g}", twin
    for number in range(len(world.routers)):
        if world.alive[number] and not world.paused[number]:
            if budget.crashes:
                twin = world.copy()
                twin.alive[number], twin.holds[number] = False, False
                twin.budget = replace(budget, crashes=budget.crashes - 1)
                yield f"crash {number}", twin
            if budget.pauses:
                twin = world.copy()
                twin.paused[number] = True
                twin.budget = replace(budget, pauses=budget.pauses - 1)
                yield f"pause {number}", twin
        elif world.paused[number]:
            twin = world.copy()
            twin.paused[number] = False  # what lay unread is still in flight: either comes first
            twin.routers[number].tick(twin.now)
            yield f"wake {number}", twin
        elif not world.alive[number]:
            twin = world.copy()
            _restart(twin, number)
            yield f"restart {number}", twin


def _restart(world: Model, number: int) -> None:
    old = world.routers[number]
    world.routers[number] = Router(old.settings, old.primary)
    world.alive[number], world.holds[number] = True, False
    world.routers[number].startup(world.now)


def heal(world: Model, within_ms: float) -> Model:
    """All faults end, paused ones wake, the dead stay dead; play on for `within_ms` and check what must come."""
    world = world.copy()
    for number, paused in enumerate(world.paused):
        if paused:
            world.paused[number] = False
            world.routers[number].tick(world.now)
    world.collect()
    _settle(world)
    end = world.now + within_ms
    while (due := world.next_due()) is not None and due <= end:
        world.pass_time()
        world.collect()
        world.check()
        _settle(world)
    masters = [n for n, r in enumerate(world.routers) if world.alive[n] and r.state is State.MASTER]
    alive = [n for n in range(len(world.routers)) if world.alive[n]]
    if alive and len(masters) != 1:
        raise PropertyError(f"{len(masters)} masters {within_ms:g} ms after the network healed")
    best = max(alive, key=lambda n: (world.routers[n].priority, int(world.routers[n].primary)), default=None)
    if (
        best is not None
        and world.routers[best].settings.preempt
        and (world.routers[masters[0]].priority < world.routers[best].priority)
    ):
        raise PropertyError(f"router {masters[0]} is Master, {best} has the higher priority and preempts")
    return world


def _settle(world: Model) -> None:
    """Deliver all that flies, until nothing does."""
    sent = 0
    while world.flying:
        first, world.flying = world.flying[0], world.flying[1:]
        world.deliver(first)
        sent += world.collect()
        world.check()
        if sent > MOST_AT_ONCE:
            raise PropertyError("an endless exchange at one moment")


@dataclass(slots=True)
class Found(explorer.SearchResult):
    """What was explored."""

    most_masters: int = 0
    two_masters: int = 0  # states with more than one
    no_master: int = 0


def explore(make: Make, budget: Budget, depth: int, most_states: int, heal_ms: float) -> Found:
    """Breadth first to `depth` steps or `most_states` states.  Raises `PropertyError` with the way to it."""
    found = Found()

    def look(world: Model) -> None:
        masters = sum(a and r.state is State.MASTER for a, r in zip(world.alive, world.routers, strict=True))
        found.most_masters = max(found.most_masters, masters)
        found.two_masters += masters > 1
        found.no_master += masters == 0
        world.check()
        heal(world, heal_ms)

    looked = explorer.explore(start(make, budget), look, depth, most_states)
    found.states, found.transitions, found.depth, found.complete = (
        looked.states,
        looked.transitions,
        looked.depth,
        looked.complete,
    )
    return found
