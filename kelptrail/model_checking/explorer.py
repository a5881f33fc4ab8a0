"""Model checker: searches the states of a model for one that violates a property, exhaustively or by random walks."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar


class PropertyError(Exception):
    """A property is violated; the message names it and the steps that lead to the state."""


class State(Protocol):
    """One state of a model.  States with equal keys have the same future."""

    trail: tuple[str, ...]

    def key(self) -> Hashable:
        """What the future depends on."""

    def steps(self) -> Iterator[Step[Self]]:
        """Every step that can follow."""


W = TypeVar("W")


@dataclass(frozen=True, slots=True)
class Step(Generic[W]):
    """A named step; `apply` returns the next state.  `is_fault`: it uses up fault budget."""

    name: str
    apply: Callable[[], W]
    is_fault: bool = False


S = TypeVar("S", bound=State)


@dataclass(slots=True)
class SearchResult:
    """Size of a search."""

    states: int = 0
    transitions: int = 0
    depth: int = 0
    complete: bool = False  # all states within the depth were visited


def explore(first: S, check: Callable[[S], None], depth: int, most_states: int) -> SearchResult:
    """Search breadth first to `depth` steps or `most_states` states.

    `check` raises `PropertyError` for a bad state; this raises it again with the steps that lead there.
    """
    result, seen = SearchResult(), {first.key()}
    queue: deque[tuple[int, S]] = deque([(0, first)])
    while queue:
        at, state = queue.popleft()
        result.states += 1
        result.depth = at
        _check(check, state)
        if at >= depth or result.states + len(queue) >= most_states:
            continue
        for step in state.steps():
            result.transitions += 1
            after = step.apply()
            key = after.key()
            if key not in seen:
                seen.add(key)
                after.trail = (*state.trail, step.name)
                queue.append((at + 1, after))
    result.complete = len(seen) < most_states
    return result


def random_walk(first: S, check: Callable[[S], None], seed: int, length: int, faults: float = 0.1) -> SearchResult:
    """Walk `length` random steps, a fault with probability `faults`; reaches depths beyond exhaustive search.

    Raises `PropertyError` with the steps of the walk.
    """
    chance, result, state = random.Random(seed), SearchResult(), first
    for _ in range(length):
        _check(check, state)
        steps = list(state.steps())
        result.states, result.transitions = result.states + 1, result.transitions + len(steps)
        wrong = chance.random() < faults
        drawn = [step for step in steps if step.is_fault is wrong] or steps
        if not drawn:
            break
        step = chance.choice(drawn)
        after = step.apply()
        after.trail = (*state.trail, step.name)
        state, result.depth = after, result.depth + 1
    _check(check, state)
    return result


def _check(check: Callable[[S], None], state: S) -> None:
    try:
        check(state)
    except PropertyError as cause:
        raise PropertyError(f"{cause}; by: {', '.join(state.trail)}") from None
