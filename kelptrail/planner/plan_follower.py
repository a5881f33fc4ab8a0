"""The edge's rules for plans: accepted completely or not at all, followed until they expire; free of I/O and clocks.

A plan is refused if it is older than the one in force, of another lineage, expired, does not match its digest, or names
a worker that is not live in the edge's own endpoint list.  Epochs fence: once a plan of a later epoch was seen, none of
an earlier one is accepted, also after a restart, as the last plan's header is kept.  Without a plan, or with one that
has expired, an edge decides as it does without a planner.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from .plan import (
    BEFORE_ALL_PLANS,
    EndpointsVersion,
    InstanceCounts,
    Plan,
    PlanHeader,
    PlanOrder,
    PlanPacket,
    apply_difference,
    digest_of,
)


class RefusalReason(Enum):
    """Why a plan was refused; the values are on the wire."""

    OLDER = "older"  # than the one in force, or of a fenced epoch
    LINEAGE = "lineage"
    EXPIRED = "expired"
    DIGEST = "digest"
    WORKERS = "workers"  # it names one that drains, is removed or is not known
    BASE = "base"  # a difference from a plan that is not in force: a complete plan is needed


@dataclass(frozen=True, slots=True)
class PlanRefusal:
    """A refusal: the plan it concerns, and why."""

    reason: RefusalReason
    header: PlanHeader
    text: str


class WaitingPlan(NamedTuple):
    """A plan that waits for the endpoint list that it was made from, and until when it is valid (ms)."""

    plan: Plan
    valid_until: float


class PlanState:
    """The plan that one edge follows.  Times in milliseconds of the edge's own clock."""

    def __init__(self, lineage: str) -> None:
        self._lineage = lineage
        self.plan: Plan | None = None
        self.fence: PlanOrder = BEFORE_ALL_PLANS  # order of the latest plan accepted or read from disk
        self._valid_until = 0.0
        self._waiting_plan: WaitingPlan | None = None  # made from a later endpoint list than this edge has
        self.accepted = 0
        self.refusals: dict[RefusalReason, int] = dict.fromkeys(RefusalReason, 0)

    def on_plan(
        self, now: float, packet: PlanPacket, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanRefusal | None:
        """A plan arrived.  None: it is in force, or waits for the endpoint list that it was made from."""
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
            self._waiting_plan = WaitingPlan(plan, until)  # checked again with the next endpoint list
            return None
        if missing:
            return self._refuse(
                RefusalReason.WORKERS, header, f"{len(missing)} workers that are not live, {missing[0]} first"
            )
        self._accept(plan, until)
        return None

    def on_endpoints(
        self, now: float, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanRefusal | None:
        """The endpoint list has changed: a plan that waited for it is checked again."""
        if self._waiting_plan is None:
            return None
        if _is_later(self._waiting_plan.plan.header.endpoints_version, endpoints_version):
            return None
        (plan, until), self._waiting_plan = self._waiting_plan, None
        if plan.header.order <= self.fence or now >= until:
            return None
        if missing := self._missing_workers(plan, live):
            return self._refuse(RefusalReason.WORKERS, plan.header, f"{len(missing)} workers that are not live")
        self._accept(plan, until)
        return None

    def target(self, now: float) -> InstanceCounts | None:
        """The instances of the plan in force; None where there is none, or it has expired."""
        return self.plan.instances if self.plan is not None and now < self._valid_until else None

    def remaining_ms(self, now: float) -> float:
        """How long the plan in force is valid, at least 0."""
        return max(0.0, self._valid_until - now) if self.plan is not None else 0.0

    def restore(self, now: float, plan: Plan, left_ms: float, live: Collection[str]) -> bool:
        """Follow a plan from disk; False where it has expired, is damaged or names workers that are not live.  Its
        epoch fences in any case, unless it is damaged.
        """
        if plan.header.lineage != self._lineage or digest_of(plan.header, plan.instances) != plan.header.digest:
            return False
        self.fence = max(self.fence, plan.header.order)
        if left_ms <= 0 or self._missing_workers(plan, live):
            return False
        self.plan, self._valid_until = plan, now + min(left_ms, plan.header.valid_ms)
        return True

    def _accept(self, plan: Plan, until: float) -> None:
        self.plan, self._valid_until, self.fence, self._waiting_plan = plan, until, plan.header.order, None
        self.accepted += 1

    @staticmethod
    def _missing_workers(plan: Plan, live: Collection[str]) -> list[str]:
        return sorted({worker for at in plan.instances.values() for worker in at if worker not in live})

    def _refuse(self, reason: RefusalReason, header: PlanHeader, text: str) -> PlanRefusal:
        self.refusals[reason] += 1
        return PlanRefusal(reason, header, text)


def _is_later(version: EndpointsVersion, than: EndpointsVersion) -> bool:
    """Whether a version of the endpoint list follows another of the same lineage."""
    return version[0] == than[0] and version[1] > than[1]
