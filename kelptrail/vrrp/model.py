"""Model checking of two or three virtual routers under loss, delay, duplication, pauses and crashes; free of I/O.

A state consists of the routers, the advertisements in flight and the remaining fault budget.  From each state every
possible step is taken: deliver, drop or duplicate an advertisement, let time pass to the next timer, crash, restart,
pause or resume a process.  States that differ only in the time at which they are reached count as one.

Checked in every state: each running Master holds the address, and no other running router does.

Checked from every state, with all faults ended: within a given time exactly one Master remains; it has the highest
priority, if the router of highest priority preempts; and the routers do not exchange advertisements endlessly without
time passing.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, replace
from functools import partial

from kelptrail.model_checking import explorer
from kelptrail.model_checking.explorer import PropertyError, Step

from .packet import Advertisement
from .state_machine import AcquireAddress, ReleaseAddress, SendAdvertisement, State, VirtualRouter

# More advertisements than this without time passing count as an endless exchange; enough for three routers.
MAX_EXCHANGED_WITHOUT_TIME = 60


@dataclass(frozen=True, slots=True)
class InFlight:
    """An advertisement that is not yet delivered.

    `age`: number of time steps by which it has been delayed, at most `FaultBudget.delay`.
    """

    advert: Advertisement
    sender: int
    to: int
    age: int = 0


@dataclass(frozen=True, slots=True)
class FaultBudget:
    """Number of faults of each kind that may still happen, and the limit on delays, which is never used up."""

    drops: int = 2
    duplicates: int = 1
    crashes: int = 1
    pauses: int = 1
    delay: int = 1  # largest number of time steps by which an advertisement may be delayed


class Model:
    """A single state of the model: the routers and the network between them."""

    __slots__ = ("alive", "budget", "holds_address", "in_flight", "now", "paused", "routers", "trail")

    def __init__(self, routers: list[VirtualRouter], budget: FaultBudget) -> None:
        self.routers, self.budget, self.now = routers, budget, 0.0
        self.in_flight: tuple[InFlight, ...] = ()
        self.holds_address = [False] * len(routers)
        self.alive = [True] * len(routers)
        self.paused = [False] * len(routers)
        self.trail: tuple[str, ...] = ()  # names of the steps that led to this state, set by the explorer

    def copy(self) -> Model:
        """Return an independent copy."""
        clone = Model.__new__(Model)
        clone.routers = [r.copy() for r in self.routers]
        clone.budget, clone.now, clone.in_flight, clone.trail = self.budget, self.now, self.in_flight, self.trail
        clone.holds_address, clone.alive, clone.paused = list(self.holds_address), list(self.alive), list(self.paused)
        return clone

    def key(self) -> Hashable:
        """Return everything that later states depend on."""
        in_flight = sorted((f.advert.priority, f.sender, f.to, f.age) for f in self.in_flight)
        return (
            tuple(r.snapshot(self.now) for r in self.routers),
            tuple(in_flight),
            tuple(self.alive),
            tuple(self.paused),
            self.budget,
        )

    def steps(self) -> Iterator[Step[Model]]:
        """Yield every step that is possible from this state."""
        for name, after in _next_states(self):
            after.apply_outputs()
            yield Step(name, partial(_identity, after))  # the next state is already computed

    def apply_outputs(self) -> int:
        """Apply the outputs of the routers and return how many advertisements were sent."""
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
        """Raise `PropertyError` unless each running router holds the address exactly if it is Master."""
        for number, router in enumerate(self.routers):
            if self.alive[number] and self.holds_address[number] is not (router.state is State.MASTER):
                raise PropertyError(
                    f"router {number} is {router.state.value} and "
                    f"{'holds' if self.holds_address[number] else 'does not hold'} the address"
                )

    def deliver(self, advertisement: InFlight) -> None:
        """Deliver an advertisement to its receiver; a crashed receiver loses it."""
        router = self.routers[advertisement.to]
        if self.alive[advertisement.to]:
            router.on_advertisement(self.now, advertisement.advert, self.routers[advertisement.sender].primary)

    def next_due(self) -> float | None:
        """Return when the next timer of a running router is due, or None if no timer runs."""
        dues = [
            due
            for n, r in enumerate(self.routers)
            if self.alive[n] and not self.paused[n] and (due := r.next_due()) is not None
        ]
        return min(dues, default=None)

    def pass_time(self) -> bool:
        """Advance the time to the next timer and fire it; return False if no timer runs."""
        due = self.next_due()
        if due is None:
            return False
        self.now = max(self.now, due)
        for number, router in enumerate(self.routers):
            if self.alive[number] and not self.paused[number]:
                router.tick(self.now)
        return True


def _identity(model: Model) -> Model:
    return model


RouterFactory = Callable[[], list[VirtualRouter]]


def initial_model(make_routers: RouterFactory, budget: FaultBudget) -> Model:
    """Return the initial state: all routers started, in order of number, without time passing."""
    model = Model(make_routers(), budget)
    for router in model.routers:
        router.startup(model.now)
    model.apply_outputs()
    return model


def _next_states(model: Model) -> Iterator[tuple[str, Model]]:
    """Yield the name of every possible step and the state after it."""
    for position in range(len(model.in_flight)):
        yield from _delivery_steps(model, position)
    yield from _time_steps(model)
    for number in range(len(model.routers)):
        yield from _process_steps(model, number)


def _delivery_steps(model: Model, position: int) -> Iterator[tuple[str, Model]]:
    """Yield the states after one advertisement in flight is delivered, dropped or duplicated."""
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
    """Yield the state after time passes to the next timer.

    Yield nothing if no timer runs, or if an advertisement has already been delayed for as long as the budget allows;
    advertisements to paused routers do not count.
    """
    max_delay = model.budget.delay
    if not all(a.age < max_delay or model.paused[a.to] for a in model.in_flight):
        return
    after = model.copy()
    after.in_flight = tuple(replace(a, age=min(a.age + 1, max_delay)) for a in after.in_flight)
    if after.pass_time():
        yield f"time {after.now - model.now:g}", after


def _process_steps(model: Model, number: int) -> Iterator[tuple[str, Model]]:
    """Yield the states after one router's process crashes, restarts, pauses or resumes."""
    after, budget = model.copy(), model.budget
    if model.paused[number]:
        # Worst case (the driver reads first): timers fire before the unread advertisements, which stay in flight.
        after.paused[number] = False
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


def check_recovery(model: Model, within_ms: float) -> Model:
    """End all faults, run for `within_ms` and return the state reached.

    Paused processes resume, crashed ones stay down.  Raises `PropertyError` if a state on the way violates a property,
    if routers run but not exactly one of them is Master in the end, or if the router of highest priority preempts but
    the Master has a lower priority.
    """
    model = model.copy()
    for number, paused in enumerate(model.paused):
        if paused:
            model.paused[number] = False
            model.routers[number].tick(model.now)
    model.apply_outputs()
    _deliver_all(model)
    end = model.now + within_ms
    while (due := model.next_due()) is not None and due <= end:
        model.pass_time()
        model.apply_outputs()
        model.check()
        _deliver_all(model)
    masters = [n for n, r in enumerate(model.routers) if model.alive[n] and r.state is State.MASTER]
    alive = [n for n in range(len(model.routers)) if model.alive[n]]
    if alive and len(masters) != 1:
        raise PropertyError(f"{len(masters)} masters {within_ms:g} ms after all faults ended")
    highest = max(alive, key=lambda n: (model.routers[n].priority, int(model.routers[n].primary)), default=None)
    if (
        highest is not None
        and model.routers[highest].settings.preempt
        and (model.routers[masters[0]].priority < model.routers[highest].priority)
    ):
        raise PropertyError(
            f"router {masters[0]} is Master although router {highest}, which has a higher priority and is set to "
            "preempt, is alive"
        )
    return model


def _deliver_all(model: Model) -> None:
    """Deliver all advertisements in flight, and those sent in response, until none is left."""
    sent = 0
    while model.in_flight:
        first, model.in_flight = model.in_flight[0], model.in_flight[1:]
        model.deliver(first)
        sent += model.apply_outputs()
        model.check()
        if sent > MAX_EXCHANGED_WITHOUT_TIME:
            raise PropertyError("routers exchange advertisements endlessly without time passing")


@dataclass(slots=True)
class VrrpSearchResult(explorer.SearchResult):
    """Size of a search, and the numbers of Masters in its states."""

    most_masters: int = 0  # largest number of Masters in one state
    two_masters: int = 0  # states with two or more Masters
    no_master: int = 0  # states without a Master


def explore(
    make_routers: RouterFactory, budget: FaultBudget, depth: int, max_states: int, recovery_ms: float
) -> VrrpSearchResult:
    """Search breadth first to `depth` steps or `max_states` states, checking the properties in each state.

    Each state must recover within `recovery_ms` once all faults end.  Raises `PropertyError` with the steps that lead
    to a violation.
    """
    result = VrrpSearchResult()

    def check_state(model: Model) -> None:
        """Count the Masters of a state, and check the state and its recovery once all faults end."""
        masters = sum(a and r.state is State.MASTER for a, r in zip(model.alive, model.routers, strict=True))
        result.most_masters = max(result.most_masters, masters)
        result.two_masters += masters > 1
        result.no_master += masters == 0
        model.check()
        check_recovery(model, recovery_ms)

    explored = explorer.explore(initial_model(make_routers, budget), check_state, depth, max_states)
    result.states, result.transitions, result.depth, result.complete = (
        explored.states,
        explored.transitions,
        explored.depth,
        explored.complete,
    )
    return result
