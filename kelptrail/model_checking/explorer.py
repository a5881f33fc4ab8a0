"""Looks through the states of a model, breadth first or by seeded walks, for one in which a property does not hold."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar


class PropertyError(Exception):
    """A property does not hold; the message tells which and how it came."""


class State(Protocol):
    """One state of a model.  States with one key have the same future."""

    trail: tuple[str, ...]

    def key(self) -> Hashable:
        """What the future depends on."""

    def steps(self) -> Iterator[Step[Self]]:
        """Every step that can follow."""


W = TypeVar("W")


@dataclass(frozen=True, slots=True)
class Step(Generic[W]):
    """A step by its name; `take` makes the state that follows.  `fault`: it spends of what may go wrong."""

    name: str
    apply: Callable[[], W]
    is_fault: bool = False


S = TypeVar("S", bound=State)


@dataclass(slots=True)
class SearchResult:
    """What was looked through."""

    states: int = 0
    transitions: int = 0
    depth: int = 0
    complete: bool = False  # nothing left within the depth


def explore(first: S, look: Callable[[S], None], depth: int, most_states: int) -> SearchResult:
    """Breadth first to `depth` steps or `most_states` states.  `look` raises `PropertyError`; so does this, with the
    way to the state."""
    found, seen = SearchResult(), {first.key()}
    line: deque[tuple[int, S]] = deque([(0, first)])
    while line:
        at, world = line.popleft()
        found.states += 1
        found.depth = at
        _look(look, world)
        if at >= depth or found.states + len(line) >= most_states:
            continue
        for step in world.steps():
            found.transitions += 1
            after = step.apply()
            key = after.key()
            if key not in seen:
                seen.add(key)
                after.trail = (*world.trail, step.name)
                line.append((at + 1, after))
    found.complete = len(seen) < most_states
    return found


def random_walk(first: S, look: Callable[[S], None], seed: int, length: int, faults: float = 0.1) -> SearchResult:
    """One walk of `length` steps, each drawn from those that can follow, a fault at a share of `faults`; it goes deeper
    than all states can be followed.  Raises `PropertyError` with the way."""
    chance, found, world = random.Random(seed), SearchResult(), first
    for _ in range(length):
        _look(look, world)
        steps = list(world.steps())
        found.states, found.transitions = found.states + 1, found.transitions + len(steps)
        wrong = chance.random() < faults
        drawn = [step for step in steps if step.is_fault is wrong] or steps
        if not drawn:
            break
        step = chance.choice(drawn)
        after = step.apply()
        after.trail = (*world.trail, step.name)
        world, found.depth = after, found.depth + 1
    _look(look, world)
    return found


def _look(look: Callable[[S], None], world: S) -> None:
    try:
        look(world)
    except PropertyError as cause:
        raise PropertyError(f"{cause}; by: {', '.join(world.trail)}") from None
