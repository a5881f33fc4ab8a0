"""The edge's side of a plan: taken whole or not at all, kept until it has run out; free of I/O and clocks.

A plan is refused that is older than the one in force, of another lineage, run out, not what its digest says, or that
names a worker which the edge's own list does not have live.  Epochs fence: once a plan of a later epoch was seen, none
of an earlier one is taken, also after a restart, as the last plan's head is kept.  Without a plan, or with one that has
run out, the decisions are what they are without a planner.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from .plan import FIRST, Head, Order, Packet, Plan, Wants, changed, digest_of


class Refusal(Enum):
    """Why a plan was not taken."""

    OLDER = "older"  # than the one in force, or of a fenced epoch
    LINEAGE = "lineage"
    EXPIRED = "expired"
    DIGEST = "digest"
    WORKERS = "workers"  # it names one that drains, is gone or is not known
    BASE = "base"  # a delta from a plan that is not the one in force: a whole one is wanted


@dataclass(frozen=True, slots=True)
class Report:
    """A refusal with what it was about."""

    reason: Refusal
    head: Head
    text: str


class PlanState:
    """One edge's plan.  Times in milliseconds of the edge's own clock."""

    def __init__(self, lineage: str) -> None:
        self._lineage = lineage
        self.plan: Plan | None = None
        self.fence: Order = FIRST  # the latest seen
        self._until = 0.0
        self._ahead: tuple[float, Plan] | None = None  # made from a later list than ours
        self.taken = 0
        self.refused: dict[Refusal, int] = dict.fromkeys(Refusal, 0)

    def offer(self, now: float, packet: Packet, live: Collection[str], roster: tuple[str, int]) -> Report | None:
        """A plan has come.  None: it is in force, or waits for the list that it was made from."""
        head = packet.head
        if head.lineage != self._lineage:
            return self._refuse(Refusal.LINEAGE, head, f"lineage {head.lineage!r}, not {self._lineage!r}")
        if head.order <= self.fence:
            return self._refuse(Refusal.OLDER, head, f"{head.order} after {self.fence}")
        if packet.age_ms >= head.valid_ms:
            text = f"made {packet.age_ms:.0f} ms ago, valid for {head.valid_ms:.0f}"
            return self._refuse(Refusal.EXPIRED, head, text)
        wants = packet.wants
        if packet.base:
            if self.plan is None or self.plan.head.order != (head.epoch, head.owner, packet.base):
                return self._refuse(Refusal.BASE, head, f"a delta from number {packet.base}")
            wants = changed(self.plan.wants, wants)
        if digest_of(head, wants) != head.digest:
            return self._refuse(Refusal.DIGEST, head, "it says something else than its digest")
        plan, until = Plan(head, wants), now + head.valid_ms - packet.age_ms
        missing = self._missing(plan, live)
        if missing and head.roster[0] == roster[0] and head.roster[1] > roster[1]:
            self._ahead = until, plan  # our list is behind: looked at again with the next one
            return None
        if missing:
            return self._refuse(Refusal.WORKERS, head, f"{len(missing)} workers that are not live, {missing[0]} first")
        self._take(plan, until)
        return None

    def listed(self, now: float, live: Collection[str], roster: tuple[str, int]) -> Report | None:
        """The list has changed: a plan that waited for it is looked at again."""
        if self._ahead is None or (
            self._ahead[1].head.roster[0] == roster[0] and self._ahead[1].head.roster[1] > roster[1]
        ):
            return None
        (until, plan), self._ahead = self._ahead, None
        if plan.head.order <= self.fence or now >= until:
            return None
        if missing := self._missing(plan, live):
            return self._refuse(Refusal.WORKERS, plan.head, f"{len(missing)} workers that are not live")
        self._take(plan, until)
        return None

    def wants(self, now: float) -> Wants | None:
        """What the plan in force asks for; None where there is none, or it has run out."""
        return self.plan.wants if self.plan is not None and now < self._until else None

    def left_ms(self, now: float) -> float:
        """How long the plan in force is valid, at least 0."""
        return max(0.0, self._until - now) if self.plan is not None else 0.0

    def restore(self, now: float, plan: Plan, left_ms: float, live: Collection[str]) -> bool:
        """Take up what was kept; False where it has run out, is not sound or names workers that are not live.  Its
        epoch fences all the same."""
        if plan.head.lineage != self._lineage or digest_of(plan.head, plan.wants) != plan.head.digest:
            return False
        self.fence = max(self.fence, plan.head.order)
        if left_ms <= 0 or self._missing(plan, live):
            return False
        self.plan, self._until = plan, now + min(left_ms, plan.head.valid_ms)
        return True

    def _take(self, plan: Plan, until: float) -> None:
        self.plan, self._until, self.fence, self._ahead = plan, until, plan.head.order, None
        self.taken += 1

    @staticmethod
    def _missing(plan: Plan, live: Collection[str]) -> list[str]:
        return sorted({worker for at in plan.wants.values() for worker in at if worker not in live})

    def _refuse(self, reason: Refusal, head: Head, text: str) -> Report:
        self.refused[reason] += 1
        return Report(reason, head, text)
