"""Placement of replicas: the same result at all dispatchers that know the same members; free of I/O.

Each primary ranks all others by a hash of both names (rendezvous hashing, Thaler and Ravishankar 1998), so a member
that joins or leaves moves only the journals that it gets or had.  Other zones come first.  The load of a member is
bounded (Mirrokni, Thorup and Zadimoghaddam 2016): a primary whose first choice is full takes the next one.

Rejected: a ring with virtual nodes (needs a table, and neighbours fail together), jump hashing (only the last member
can leave), ranges of ids in place of whole journals (more even, but each batch of a primary goes to all members).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

LOAD_SLACK = 1.25  # most journals of a member, as a multiple of the even share


@dataclass(frozen=True, slots=True)
class Member:
    """A dispatcher and its zone."""

    name: str
    zone: str = ""


def _rank(primary: str, name: str) -> bytes:
    return blake2b(f"{primary}\0{name}".encode(), digest_size=8).digest()


def assign_replicas(members: Iterable[Member], count: int) -> dict[str, tuple[str, ...]]:
    """For each member the `count` replicas of its journal; fewer only if there are fewer other members.

    Zones without a replica of this journal come first, the primary's own zone last.
    """
    by_name = {m.name: m for m in members}
    everyone = [by_name[name] for name in sorted(by_name)]
    max_load = max(count, ceil(count * LOAD_SLACK))
    load: Counter[str] = Counter()
    out: dict[str, tuple[str, ...]] = {}
    # The first primary to choose has free choice, so the order is by hash and not by name.
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
    """All candidates for a primary's replicas, best first: those of `assign_replicas`, then others by zone and hash."""
    every = {m.name: m for m in members}
    first = assign_replicas(every.values(), count).get(primary, ())
    zone = every[primary].zone if primary in every else ""
    rest = sorted(
        (m for m in every.values() if m.name not in first and m.name != primary),
        key=lambda m: (m.zone == zone, _rank(primary, m.name)),
    )
    return (*first, *(m.name for m in rest))


def count_moves(before: dict[str, tuple[str, ...]], after: dict[str, tuple[str, ...]]) -> int:
    """Number of replicas that must be copied: those in `after` that are not in `before`."""
    return sum(len(set(names) - set(before.get(primary, ()))) for primary, names in after.items())
