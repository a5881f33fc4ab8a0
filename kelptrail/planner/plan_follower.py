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

from .plan import BEFORE_ALL_PLANS, InstanceCounts, Plan, PlanHeader, PlanOrder, PlanPacket, apply_difference, digest_of


class RefusalReason(Enum):
    """Why a plan was not taken."""

    OLDER = "older"  # than the one in force, or of a fenced epoch
    LINEAGE = "lineage"
    EXPIRED = "expired"
    DIGEST = "digest"
    WORKERS = "workers"  # it names one that drains, is gone or is not known
    BASE = "base"  # a delta from a plan that is not the one in force: a whole one is wanted


@dataclass(frozen=True, slots=True)
class PlanRefusal:
    """A refusal with what it was about."""

    reason: RefusalReason
    head: PlanHeader
    text: str


class PlanState:
    """One edge's plan.  Times in milliseconds of the edge's own clock."""

    def __init__(self, lineage: str) -> None:
        self._lineage = lineage
        self.plan: Plan | None = None
        self.fence: PlanOrder = BEFORE_ALL_PLANS  # the latest seen
        self._until = 0.0
        self._ahead: tuple[float, Plan] | None = None  # made from a later list than ours
        self.accepted = 0
        self.refusals: dict[RefusalReason, int] = dict.fromkeys(RefusalReason, 0)

    def on_plan(
        self, now: float, packet: PlanPacket, live: Collection[str], roster: tuple[str, int]
    ) -> PlanRefusal | None:
        """A plan has come.  None: it is in force, or waits for the list that it was made from."""
        head = packet.header
        if head.lineage != self._lineage:
            return self._refuse(RefusalReason.LINEAGE, head, f"lineage {head.lineage!r}, not {self._lineage!r}")
        if head.order <= self.fence:
            return self._refuse(RefusalReason.OLDER, head, f"{head.order} after {self.fence}")
        if packet.age_ms >= head.valid_ms:
            text = f"made {packet.age_ms:.0f} ms ago, valid for {head.valid_ms:.0f}"
            return self._refuse(RefusalReason.EXPIRED, head, text)
        wants = packet.instances
        if packet.base_number:
            if self.plan is None or self.plan.header.order != (head.epoch, head.owner, packet.base_number):
                return self._refuse(RefusalReason.BASE, head, f"a delta from number {packet.base_number}")
            wants = apply_difference(self.plan.instances, wants)
        if digest_of(head, wants) != head.digest:
            return self._refuse(RefusalReason.DIGEST, head, "it says something else than its digest")
        plan, until = Plan(head, wants), now + head.valid_ms - packet.age_ms
        missing = self._missing(plan, live)
        if missing and head.endpoints_version[0] == roster[0] and head.endpoints_version[1] > roster[1]:
            self._ahead = until, plan  # our list is behind: looked at again with the next one
            return None
        if missing:
            return self._refuse(
                RefusalReason.WORKERS, head, f"{len(missing)} workers that are not live, {missing[0]} first"
            )
        self._take(plan, until)
        return None

    def on_endpoints(self, now: float, live: Collection[str], roster: tuple[str, int]) -> PlanRefusal | None:
        """The list has changed: a plan that waited for it is looked at again."""
        if self._ahead is None or (
            self._ahead[1].header.endpoints_version[0] == roster[0]
            and self._ahead[1].header.endpoints_version[1] > roster[1]
        ):
            return None
        (until, plan), self._ahead = self._ahead, None
        if plan.header.order <= self.fence or now >= until:
            return None
        if missing := self._missing(plan, live):
            return self._refuse(RefusalReason.WORKERS, plan.header, f"{len(missing)} workers that are not live")
        self._take(plan, until)
        return None

    def target(self, now: float) -> InstanceCounts | None:
        """What the plan in force asks for; None where there is none, or it has run out."""
        return self.plan.instances if self.plan is not None and now < self._until else None

    def remaining_ms(self, now: float) -> float:
        """How long the plan in force is valid, at least 0."""
        return max(0.0, self._until - now) if self.plan is not None else 0.0

    def restore(self, now: float, plan: Plan, left_ms: float, live: Collection[str]) -> bool:
        """Take up what was kept; False where it has run out, is not sound or names workers that are not live.  Its
        epoch fences all the same."""
        if plan.header.lineage != self._lineage or digest_of(plan.header, plan.instances) != plan.header.digest:
            return False
        self.fence = max(self.fence, plan.header.order)
        if left_ms <= 0 or self._missing(plan, live):
            return False
        self.plan, self._until = plan, now + min(left_ms, plan.header.valid_ms)
        return True

    def _take(self, plan: Plan, until: float) -> None:
        self.plan, self._until, self.fence, self._ahead = plan, until, plan.header.order, None
        self.accepted += 1

    @staticmethod
    def _missing(plan: Plan, live: Collection[str]) -> list[str]:
        return sorted({worker for at in plan.instances.values() for worker in at if worker not in live})

    def _refuse(self, reason: RefusalReason, head: PlanHeader, text: str) -> PlanRefusal:
        self.refusals[reason] += 1
        return PlanRefusal(reason, head, text)
