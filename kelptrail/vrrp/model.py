"""Model checking of two or three virtual routers under loss, delay, duplication, pauses and crashes; free of I/O.

A state has the routers, the advertisements in flight and the rest of the fault budget.  From each state every step is
taken: deliver, drop or duplicate an advertisement, let time pass to the next timer, crash, restart, pause, resume.
States that differ only in the time they are reached at are one.  In every state the address is held by Masters only;
and from every state, once the network heals, exactly one Master remains within a stated time, the best one where
routers preempt, without an endless exchange at one moment.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from functools import partial

from kelptrail.model_checking import explorer
from kelptrail.model_checking.explorer import PropertyError, Step

from .packet import Advertisement
from .state_machine import AcquireAddress, ReleaseAddress, SendAdvertisement, State, VirtualRouter

MAX_SENT_AT_ONCE = 60  # advertisements sent without time passing, in a healed network of three


@dataclass(frozen=True, slots=True)
class InFlight:
    """An advertisement on its way; `age` in steps of time it has been held up."""

    advert: Advertisement
    sender: int
    to: int
    age: int = 0


@dataclass(frozen=True, slots=True)
class FaultBudget:
    """Faults that are left to happen."""

    drops: int = 2
    duplicates: int = 1
    crashes: int = 1
    pauses: int = 1
    delay: int = 1  # steps of time that an advertisement may be held up


class Model:
    """One state."""

    __slots__ = ("alive", "budget", "holds_address", "in_flight", "now", "paused", "routers", "trail")

    def __init__(self, routers: list[VirtualRouter], budget: FaultBudget) -> None:
        self.routers, self.budget, self.now = routers, budget, 0.0
        self.in_flight: tuple[InFlight, ...] = ()
        self.holds_address = [False] * len(routers)
        self.alive = [True] * len(routers)
        self.paused = [False] * len(routers)
        self.trail: tuple[str, ...] = ()

    def copy(self) -> Model:
        """An independent copy."""
        twin = Model.__new__(Model)
        twin.routers = [r.copy() for r in self.routers]
        twin.budget, twin.now, twin.in_flight, twin.trail = self.budget, self.now, self.in_flight, self.trail
        twin.holds_address, twin.alive, twin.paused = list(self.holds_address), list(self.alive), list(self.paused)
        return twin

    def key(self) -> Hashable:
        """All that later states depend on."""
        advertisement = sorted((f.advert.priority, f.sender, f.to, f.age) for f in self.in_flight)
        return (
            tuple(r.snapshot(self.now) for r in self.routers),
            tuple(advertisement),
            tuple(self.alive),
            tuple(self.paused),
            self.budget,
        )

    def steps(self) -> Iterator[Step[Model]]:
        """Every step that can follow."""
        for name, after in _fault_steps(self):
            after.collect()
            yield Step(name, partial(_made, after))

    def collect(self) -> int:
        """Apply the outputs of the routers; returns how many advertisements were sent."""
        sent = 0
        for number, router in enumerate(self.routers):
            while router.outputs:
                output = router.outputs.popleft()
                if isinstance(output, SendAdvertisement):
                    sent += 1
                    self.in_flight += tuple(
                        InFlight(output.advert, number, to) for to in range(len(self.routers)) if to != number
                    )
                elif isinstance(output, AcquireAddress):
                    self.holds_address[number] = True
                elif isinstance(output, ReleaseAddress):
                    self.holds_address[number] = False
        return sent

    def check(self) -> None:
        """Raise `PropertyError` unless exactly the Masters hold the address."""
        for number, router in enumerate(self.routers):
            if self.alive[number] and self.holds_address[number] is not (router.state is State.MASTER):
                raise PropertyError(
                    f"router {number} is {router.state.value} and "
                    f"{'holds' if self.holds_address[number] else 'does not hold'} the address"
                )

    def deliver(self, advertisement: InFlight) -> None:
        """An advertisement arrives, or waits unread at a paused or dead one."""
        router = self.routers[advertisement.to]
        if self.alive[advertisement.to]:
            router.on_advertisement(self.now, advertisement.advert, self.routers[advertisement.sender].primary)

    def next_due(self) -> float | None:
        """When the next timer of a running router is due."""
        dues = [
            due
            for n, r in enumerate(self.routers)
            if self.alive[n] and not self.paused[n] and (due := r.next_due()) is not None
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


def _made(model: Model) -> Model:
    return model


Make = Callable[[], list[VirtualRouter]]


def start(make: Make, budget: FaultBudget) -> Model:
    """The first state: all routers started, one after the other at one moment."""
    model = Model(make(), budget)
    for router in model.routers:
        router.startup(model.now)
    model.collect()
    return model


def _fault_steps(model: Model) -> Iterator[tuple[str, Model]]:
    """Every state that can follow, by the name of the step."""
    for position in range(len(model.in_flight)):
        yield from _delivery_steps(model, position)
    yield from _time_steps(model)
    for number in range(len(model.routers)):
        yield from _process_steps(model, number)


def _delivery_steps(model: Model, position: int) -> Iterator[tuple[str, Model]]:
    """One advertisement in flight is delivered, dropped or duplicated."""
    advertisement, budget = model.in_flight[position], model.budget
    others = model.in_flight[:position] + model.in_flight[position + 1 :]
    name = f"{advertisement.sender}>{advertisement.to} p{advertisement.advert.priority}"
    if not model.paused[advertisement.to]:
        after = model.copy()
        after.in_flight = others
        after.deliver(advertisement)
        yield f"deliver {name}", after
    if budget.drops:
        after = model.copy()
        after.in_flight, after.budget = others, replace(budget, drops=budget.drops - 1)
        yield f"drop {name}", after
    if budget.duplicates:
        after = model.copy()
        after.in_flight = (*model.in_flight, advertisement)
        after.budget = replace(budget, duplicates=budget.duplicates - 1)
        yield f"copy {name}", after


def _time_steps(model: Model) -> Iterator[tuple[str, Model]]:
    """Time passes to the next timer, unless an advertisement has been delayed for as long as the budget allows."""
    most_delay = model.budget.delay
    if not all(a.age < most_delay or model.paused[a.to] for a in model.in_flight):
        return
    after = model.copy()
    after.in_flight = tuple(replace(a, age=min(a.age + 1, most_delay)) for a in after.in_flight)
    if after.pass_time():
        yield f"time {after.now - model.now:g}", after


def _process_steps(model: Model, number: int) -> Iterator[tuple[str, Model]]:
    """One router's process crashes or pauses, or comes back."""
    after, budget = model.copy(), model.budget
    if model.paused[number]:
        after.paused[number] = False  # what lay unread is still in flight: it is read before or after the tick
        after.routers[number].tick(after.now)
        yield f"wake {number}", after
    elif not model.alive[number]:
        _restart(after, number)
        yield f"restart {number}", after
    else:
        if budget.crashes:
            after.alive[number], after.holds_address[number] = False, False
            after.budget = replace(budget, crashes=budget.crashes - 1)
            yield f"crash {number}", after
        if budget.pauses:
            after = model.copy()
            after.paused[number] = True
            after.budget = replace(budget, pauses=budget.pauses - 1)
            yield f"pause {number}", after


def _restart(model: Model, number: int) -> None:
    old = model.routers[number]
    model.routers[number] = VirtualRouter(old.settings, old.primary)
    model.alive[number], model.holds_address[number] = True, False
    model.routers[number].startup(model.now)


def heal(model: Model, within_ms: float) -> Model:
    """All faults end, paused ones wake, the dead stay dead; play on for `within_ms` and check what must come."""
    model = model.copy()
    for number, paused in enumerate(model.paused):
        if paused:
            model.paused[number] = False
            model.routers[number].tick(model.now)
    model.collect()
    _settle(model)
    end = model.now + within_ms
    while (due := model.next_due()) is not None and due <= end:
        model.pass_time()
        model.collect()
        model.check()
        _settle(model)
    masters = [n for n, r in enumerate(model.routers) if model.alive[n] and r.state is State.MASTER]
    alive = [n for n in range(len(model.routers)) if model.alive[n]]
    if alive and len(masters) != 1:
        raise PropertyError(f"{len(masters)} masters {within_ms:g} ms after the network healed")
    best = max(alive, key=lambda n: (model.routers[n].priority, int(model.routers[n].primary)), default=None)
    if (
        best is not None
        and model.routers[best].settings.preempt
        and (model.routers[masters[0]].priority < model.routers[best].priority)
    ):
        raise PropertyError(f"router {masters[0]} is Master, {best} has the higher priority and preempts")
    return model


def _settle(model: Model) -> None:
    """Deliver all advertisements in flight, until there is none."""
    sent = 0
    while model.in_flight:
        first, model.in_flight = model.in_flight[0], model.in_flight[1:]
        model.deliver(first)
        sent += model.collect()
        model.check()
        if sent > MAX_SENT_AT_ONCE:
            raise PropertyError("an endless exchange at one moment")


@dataclass(slots=True)
class VrrpSearchResult(explorer.SearchResult):
    """What was explored."""

    most_masters: int = 0
    two_masters: int = 0  # states with more than one
    no_master: int = 0


def explore(make: Make, budget: FaultBudget, depth: int, most_states: int, heal_ms: float) -> VrrpSearchResult:
    """Breadth first to `depth` steps or `most_states` states.  Raises `PropertyError` with the way to it."""
    found = VrrpSearchResult()

    def check_state(model: Model) -> None:
        """Count the masters of a state, and check it and what must follow once all faults end."""
        masters = sum(a and r.state is State.MASTER for a, r in zip(model.alive, model.routers, strict=True))
        found.most_masters = max(found.most_masters, masters)
        found.two_masters += masters > 1
        found.no_master += masters == 0
        model.check()
        heal(model, heal_ms)

    explored = explorer.explore(start(make, budget), check_state, depth, most_states)
    found.states, found.transitions, found.depth, found.complete = (
        explored.states,
        explored.transitions,
        explored.depth,
        explored.complete,
    )
    return found
