"""Placement of replicas; free of I/O.  All dispatchers with the same member list compute the same placement.

Each primary ranks all others by a hash of both names (rendezvous hashing, Thaler and Ravishankar 1998), so that a
member that joins or leaves moves few replicas besides those that it gets or had.  Members of other zones are preferred
to those of the primary's zone.  The load of a member is bounded (Mirrokni, Thorup and Zadimoghaddam 2016): a primary
whose first choice is full takes the next one.  The bound is exceeded only if all are full.

Rejected alternatives: a hash ring with virtual nodes needs a table, and neighbours on the ring fail together; with jump
hashing only the last member can leave; placing ranges of ids instead of complete journals is more even, but then each
batch of a primary goes to all members.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

MAX_LOAD_FACTOR = 1.25  # limit on the replicas at one member, as a multiple of `count`, the even share


@dataclass(frozen=True, slots=True)
class Member:
    """A dispatcher and its zone."""

    name: str
    zone: str = ""


def _hash(primary: str, name: str) -> bytes:
    return blake2b(f"{primary}\0{name}".encode(), digest_size=8).digest()


def assign_replicas(members: Iterable[Member], count: int) -> dict[str, tuple[str, ...]]:
    """Return the `count` replicas of each member's journal; fewer only if there are fewer other members.

    Among members with capacity, those outside the primary's zone come first, then those of the zones with the fewest
    replicas of the journal.
    """
    by_name = {m.name: m for m in members}
    all_members = [by_name[name] for name in sorted(by_name)]
    # At least `count` whatever the factor, or there would not be room for all replicas.
    max_load = max(count, ceil(count * MAX_LOAD_FACTOR))
    load: Counter[str] = Counter()
    replicas_of: dict[str, tuple[str, ...]] = {}
    # The first primaries have the widest choice.  They are ordered by a hash of the name, because in alphabetical order
    # names early in the alphabet would always be favoured.
    for primary in sorted(all_members, key=lambda m: _hash("", m.name)):
        ranked = sorted(
            (m for m in all_members if m is not primary), key=lambda m: _hash(primary.name, m.name), reverse=True
        )
        replicas: list[Member] = []
        while len(replicas) < min(count, len(ranked)):
            zones = Counter(m.zone for m in replicas)
            remaining = [m for m in ranked if m not in replicas]
            with_capacity = [m for m in remaining if load[m.name] < max_load] or remaining
            chosen = min(with_capacity, key=lambda m: (m.zone == primary.zone, zones[m.zone]))
            replicas.append(chosen)
            load[chosen.name] += 1
        replicas_of[primary.name] = tuple(m.name for m in replicas)
    return replicas_of


def rank_replicas(members: Iterable[Member], primary: str, count: int) -> tuple[str, ...]:
    """Return all candidates for a primary's replicas, the preferred ones first.

    These are the replicas of `assign_replicas`, then the other members in a fixed order, those of other zones first.
    """
    by_name = {m.name: m for m in members}
    assigned = assign_replicas(by_name.values(), count).get(primary, ())
    zone = by_name[primary].zone if primary in by_name else ""
    others = sorted(
        (m for m in by_name.values() if m.name not in assigned and m.name != primary),
        key=lambda m: (m.zone == zone, _hash(primary, m.name)),
    )
    return (*assigned, *(m.name for m in others))


def count_new_replicas(before: dict[str, tuple[str, ...]], after: dict[str, tuple[str, ...]]) -> int:
    """Return the number of replicas that must be copied: those in `after` that are not in `before`."""
    return sum(len(set(names) - set(before.get(primary, ()))) for primary, names in after.items())
