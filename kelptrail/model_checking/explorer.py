"""Model checker: searches a model for a state that violates a property, exhaustively or by random walks."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, Self, TypeVar


class PropertyError(Exception):
    """Raised when a property is violated; the message names the property and the steps that lead to the state."""


class State(Protocol):
    """A state of a model.  `trail`: names of the steps that lead to it.

    States with equal keys are equivalent: the same steps can follow and lead to equivalent states.
    """

    trail: tuple[str, ...]

    def key(self) -> Hashable:
        """Return everything on which the following steps and states depend."""

    def steps(self) -> Iterator[Step[Self]]:
        """Yield every step that can follow."""


NextStateT = TypeVar("NextStateT")


@dataclass(frozen=True, slots=True)
class Step(Generic[NextStateT]):
    """A named step; `apply` returns the next state.  `is_fault`: the step uses some of the fault budget."""

    name: str
    apply: Callable[[], NextStateT]
    is_fault: bool = False


StateT = TypeVar("StateT", bound=State)


@dataclass(slots=True)
class SearchResult:
    """Size of a search, and whether it was exhaustive."""

    states: int = 0
    transitions: int = 0
    depth: int = 0
    complete: bool = False  # all states within the depth limit were visited


def explore(initial: StateT, check: Callable[[StateT], None], depth: int, max_states: int) -> SearchResult:
    """Search breadth first up to `depth` steps or `max_states` states.

    `check` raises `PropertyError` for a state that violates a property; the error is raised again with the steps that
    lead to the state.
    """
    result, seen = SearchResult(), {initial.key()}
    queue: deque[tuple[int, StateT]] = deque([(0, initial)])
    while queue:
        steps_taken, state = queue.popleft()
        result.states += 1
        result.depth = steps_taken
        _check(check, state)
        if steps_taken >= depth or result.states + len(queue) >= max_states:
            continue
        for step in state.steps():
            result.transitions += 1
            next_state = step.apply()
            key = next_state.key()
            if key not in seen:
                seen.add(key)
                next_state.trail = (*state.trail, step.name)
                queue.append((steps_taken + 1, next_state))
    result.complete = len(seen) < max_states
    return result


def random_walk(
    initial: StateT, check: Callable[[StateT], None], seed: int, length: int, fault_probability: float = 0.1
) -> SearchResult:
    """Take up to `length` random steps, to reach greater depths than an exhaustive search.

    If both faults and other steps are possible, a fault is taken with probability `fault_probability`.  Raises
    `PropertyError` with the steps of the walk.
    """
    rng, result, state = random.Random(seed), SearchResult(), initial
    for _ in range(length):
        _check(check, state)
        steps = list(state.steps())
        result.states, result.transitions = result.states + 1, result.transitions + len(steps)
        take_fault = rng.random() < fault_probability
        candidates = [step for step in steps if step.is_fault is take_fault] or steps
        if not candidates:
            break
        step = rng.choice(candidates)
        next_state = step.apply()
        next_state.trail = (*state.trail, step.name)
        state, result.depth = next_state, result.depth + 1
    _check(check, state)
    return result


def _check(check: Callable[[StateT], None], state: StateT) -> None:
    try:
        check(state)
    except PropertyError as cause:
        raise PropertyError(f"{cause}; steps: {', '.join(state.trail)}") from None
