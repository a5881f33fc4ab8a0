"""The edge's rules for plans: accept a plan completely or not at all, follow it to its expiry; free of I/O and clocks.

A plan is refused if it is not later than the last accepted one, is of another lineage, has expired, does not match its
digest, is a difference from a plan that the edge does not have, or uses a worker that is not live in the edge's own
endpoint list.  If that is the only fault, a plan made from a later list of the same source run waits for that list.

Epochs are fenced: once a plan of a later epoch has been accepted, plans of earlier epochs are refused, even after a
restart, because the last plan is stored on disk.  Without a plan, or with an expired one, an edge decides as it does
without a planner.
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
    """Reason for which a plan was refused; the values are on the wire."""

    OLDER = "older"  # not later than the latest plan accepted or read from disk
    LINEAGE = "lineage"
    EXPIRED = "expired"
    DIGEST = "digest"
    WORKERS = "workers"  # the plan uses a worker that is draining, removed or unknown
    BASE = "base"  # the plan is a difference from one that the edge does not have, so a complete plan is needed


@dataclass(frozen=True, slots=True)
class PlanRefusal:
    """Reason for refusing a plan, the header of that plan, and an explanation."""

    reason: RefusalReason
    header: PlanHeader
    text: str


class WaitingPlan(NamedTuple):
    """A plan that waits for the endpoint list that it was made from, and the time of its expiry in ms."""

    plan: Plan
    valid_until: float


class PlanState:
    """State of the plan that one edge follows.  Times are in milliseconds of the edge's own clock."""

    def __init__(self, lineage: str) -> None:
        self._lineage = lineage
        self.plan: Plan | None = None
        self.fence: PlanOrder = BEFORE_ALL_PLANS  # order of the latest plan accepted or read from disk
        self._valid_until = 0.0
        self._waiting_plan: WaitingPlan | None = None  # made from a later endpoint list than the edge has
        self.accepted = 0
        self.refusals: dict[RefusalReason, int] = dict.fromkeys(RefusalReason, 0)

    def on_plan(
        self, now: float, packet: PlanPacket, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanRefusal | None:
        """Accept or refuse a plan; return the refusal, if any.

        None means that the plan is in force, or that it waits for the endpoint list that it was made from.
        """
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
        plan, valid_until = Plan(header, instances), now + header.valid_ms - packet.age_ms
        missing = self._missing_workers(plan, live)
        if missing and _is_later(header.endpoints_version, endpoints_version):
            self._waiting_plan = WaitingPlan(plan, valid_until)  # checked again with the next endpoint list
            return None
        if missing:
            return self._refuse(
                RefusalReason.WORKERS, header, f"{len(missing)} workers that are not live, {missing[0]} first"
            )
        self._accept(plan, valid_until)
        return None

    def on_endpoints(
        self, now: float, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanRefusal | None:
        """Check the waiting plan, unless it was made from a still later endpoint list; return the refusal, if any.

        A plan that has expired or been superseded meanwhile is dropped.
        """
        if self._waiting_plan is None:
            return None
        if _is_later(self._waiting_plan.plan.header.endpoints_version, endpoints_version):
            return None
        (plan, valid_until), self._waiting_plan = self._waiting_plan, None
        if plan.header.order <= self.fence or now >= valid_until:
            return None
        if missing := self._missing_workers(plan, live):
            return self._refuse(RefusalReason.WORKERS, plan.header, f"{len(missing)} workers that are not live")
        self._accept(plan, valid_until)
        return None

    def target(self, now: float) -> InstanceCounts | None:
        """Return the instances of the plan in force; None if there is no plan or it has expired."""
        return self.plan.instances if self.plan is not None and now < self._valid_until else None

    def remaining_ms(self, now: float) -> float:
        """Return how long the plan in force is still valid, in ms; at least 0."""
        return max(0.0, self._valid_until - now) if self.plan is not None else 0.0

    def restore(self, now: float, plan: Plan, remaining_ms: float, live: Collection[str]) -> bool:
        """Follow a plan from disk, and return whether it is followed.

        A plan of another lineage or a damaged one is ignored.  One that has expired or uses workers that are not live
        is not followed, but still fences earlier plans.
        """
        if plan.header.lineage != self._lineage or digest_of(plan.header, plan.instances) != plan.header.digest:
            return False
        self.fence = max(self.fence, plan.header.order)
        if remaining_ms <= 0 or self._missing_workers(plan, live):
            return False
        self.plan, self._valid_until = plan, now + min(remaining_ms, plan.header.valid_ms)
        return True

    def _accept(self, plan: Plan, valid_until: float) -> None:
        self.plan, self._valid_until, self.fence, self._waiting_plan = plan, valid_until, plan.header.order, None
        self.accepted += 1

    @staticmethod
    def _missing_workers(plan: Plan, live: Collection[str]) -> list[str]:
        return sorted({worker for by_worker in plan.instances.values() for worker in by_worker if worker not in live})

    def _refuse(self, reason: RefusalReason, header: PlanHeader, text: str) -> PlanRefusal:
        self.refusals[reason] += 1
        return PlanRefusal(reason, header, text)


def _is_later(version: EndpointsVersion, other: EndpointsVersion) -> bool:
    """Return whether a version of the endpoint list is later than another one; False if their lineages differ."""
    return version[0] == other[0] and version[1] > other[1]
