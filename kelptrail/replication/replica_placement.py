"""Which dispatchers hold copies of whose book: the same answer for all who know the same members; free of I/O.

Each owner ranks all others by a hash of both names (rendezvous hashing, Thaler and Ravishankar 1998), so a member that
comes or goes moves only what it held or now wins.  Other halls go first.  What one holds for others is bounded
(Mirrokni, Thorup and Zadimoghaddam 2016): an owner whose first choice is full takes its next, so no member carries many
books because its name happens to hash well.

Weighed: a ring with virtual nodes (a table, and neighbours that fail together), jump hashing (only the last member may
go), ranges of ids instead of whole books (evener still, but each batch of an owner goes to all members instead of to
`count` of them).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

LOAD_SLACK = 1.25  # what a member may hold, of its even share


@dataclass(frozen=True, slots=True)
class Member:
    """A dispatcher and the hall that it stands in."""

    name: str
    zone: str = ""


def _rank(primary: str, name: str) -> bytes:
    return blake2b(f"{primary}\0{name}".encode(), digest_size=8).digest()


def assign_replicas(members: Iterable[Member], count: int) -> dict[str, tuple[str, ...]]:
    """Of each member the `count` others that hold its book, fewer only where there are fewer others.

    Halls: first those that have none of this book yet, the owner's own last.
    """
    by_name = {m.name: m for m in members}
    everyone = [by_name[name] for name in sorted(by_name)]
    max_load = max(count, ceil(count * LOAD_SLACK))
    load: Counter[str] = Counter()
    out: dict[str, tuple[str, ...]] = {}
    # Whoever chooses first has free choice: the order is drawn by hash, not by name.
    for primary in sorted(everyone, key=lambda m: _rank("", m.name)):
        ranked = sorted(
            (m for m in everyone if m is not primary), key=lambda m: _rank(primary.name, m.name), reverse=True
        )
        replicas: list[Member] = []
        while len(replicas) < min(count, len(ranked)):
            zones = Counter(m.zone for m in replicas)
            left = [m for m in ranked if m not in replicas]
            with_capacity = [m for m in left if load[m.name] < max_load] or left
            best = min(with_capacity, key=lambda m: (m.zone == primary.zone, zones[m.zone]))
            replicas.append(best)
            load[best.name] += 1
        out[primary.name] = tuple(m.name for m in replicas)
    return out


def rank_replicas(members: Iterable[Member], primary: str, count: int) -> tuple[str, ...]:
    """Whom an owner's books go to, the best first: its holders by `spread`, then the others by hash, other halls
    first."""
    every = {m.name: m for m in members}
    first = assign_replicas(every.values(), count).get(primary, ())
    zone = every[primary].zone if primary in every else ""
    rest = sorted(
        (m for m in every.values() if m.name not in first and m.name != primary),
        key=lambda m: (m.zone == zone, _rank(primary, m.name)),
    )
    return (*first, *(m.name for m in rest))


def count_moves(before: dict[str, tuple[str, ...]], after: dict[str, tuple[str, ...]]) -> int:
    """Books that are to be copied anew: holders after that were none before."""
    return sum(len(set(names) - set(before.get(primary, ()))) for primary, names in after.items())
