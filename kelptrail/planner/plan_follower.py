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
    header: PlanHeader
    text: str


class PlanState:
    """One edge's plan.  Times in milliseconds of the edge's own clock."""

    def __init__(self, lineage: str) -> None:
        self._lineage = lineage
        self.plan: Plan | None = None
        self.fence: PlanOrder = BEFORE_ALL_PLANS  # the latest seen
        self._valid_until = 0.0
        self._waiting_for_list: tuple[float, Plan] | None = None  # made from a later list than ours
        self.accepted = 0
        self.refusals: dict[RefusalReason, int] = dict.fromkeys(RefusalReason, 0)

    def on_plan(
        self, now: float, packet: PlanPacket, live: Collection[str], endpoints_version: tuple[str, int]
    ) -> PlanRefusal | None:
        """A plan has come.  None: it is in force, or waits for the list that it was made from."""
        header = packet.header
        if header.lineage != self._lineage:
            return self._refuse(RefusalReason.LINEAGE, header, f"lineage {header.lineage!r}, not {self._lineage!r}")
        if header.order <= self.fence:
            return self._refuse(RefusalReason.OLDER, header, f"{header.order} after {self.fence}")
        if packet.age_ms >= header.valid_ms:
            text = f"made {packet.age_ms:.0f} ms ago, valid for {header.valid_ms:.0f}"
            return self._refuse(RefusalReason.EXPIRED, header, text)
        instances = packet.instances
        if packet.base_number:
            if self.plan is None or self.plan.header.order != (header.epoch, header.owner, packet.base_number):
                return self._refuse(RefusalReason.BASE, header, f"a delta from number {packet.base_number}")
            instances = apply_difference(self.plan.instances, instances)
        if digest_of(header, instances) != header.digest:
            return self._refuse(RefusalReason.DIGEST, header, "it says something else than its digest")
        plan, until = Plan(header, instances), now + header.valid_ms - packet.age_ms
        missing = self._missing_workers(plan, live)
        if missing and _is_later(header.endpoints_version, endpoints_version):
            self._waiting_for_list = until, plan  # our list is behind: looked at again with the next one
            return None
        if missing:
            return self._refuse(
                RefusalReason.WORKERS, header, f"{len(missing)} workers that are not live, {missing[0]} first"
            )
        self._accept(plan, until)
        return None

    def on_endpoints(self, now: float, live: Collection[str], endpoints_version: tuple[str, int]) -> PlanRefusal | None:
        """The list has changed: a plan that waited for it is looked at again."""
        if self._waiting_for_list is None:
            return None
        if _is_later(self._waiting_for_list[1].header.endpoints_version, endpoints_version):
            return None
        (until, plan), self._waiting_for_list = self._waiting_for_list, None
        if plan.header.order <= self.fence or now >= until:
            return None
        if missing := self._missing_workers(plan, live):
            return self._refuse(RefusalReason.WORKERS, plan.header, f"{len(missing)} workers that are not live")
        self._accept(plan, until)
        return None

    def target(self, now: float) -> InstanceCounts | None:
        """What the plan in force asks for; None where there is none, or it has run out."""
        return self.plan.instances if self.plan is not None and now < self._valid_until else None

    def remaining_ms(self, now: float) -> float:
        """How long the plan in force is valid, at least 0."""
        return max(0.0, self._valid_until - now) if self.plan is not None else 0.0

    def restore(self, now: float, plan: Plan, left_ms: float, live: Collection[str]) -> bool:
        """Take up what was kept; False where it has run out, is not sound or names workers that are not live.  Its
        epoch fences all the same."""
        if plan.header.lineage != self._lineage or digest_of(plan.header, plan.instances) != plan.header.digest:
            return False
        self.fence = max(self.fence, plan.header.order)
        if left_ms <= 0 or self._missing_workers(plan, live):
            return False
        self.plan, self._valid_until = plan, now + min(left_ms, plan.header.valid_ms)
        return True

    def _accept(self, plan: Plan, until: float) -> None:
        self.plan, self._valid_until, self.fence, self._waiting_for_list = plan, until, plan.header.order, None
        self.accepted += 1

    @staticmethod
    def _missing_workers(plan: Plan, live: Collection[str]) -> list[str]:
        return sorted({worker for at in plan.instances.values() for worker in at if worker not in live})

    def _refuse(self, reason: RefusalReason, header: PlanHeader, text: str) -> PlanRefusal:
        self.refusals[reason] += 1
        return PlanRefusal(reason, header, text)


def _is_later(version: tuple[str, int], than: tuple[str, int]) -> bool:
    """Whether a version of the endpoint list follows another of the same lineage."""
    return version[0] == than[0] and version[1] > than[1]
