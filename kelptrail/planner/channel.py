"""The messages between edges and planners, and both ends' protocol state; free of I/O.

An edge reports at a bounded rate; counters that could not be sent are added to the next report.  A planner has one plan
in flight to an edge at a time: a newer plan replaces the one that waits, so a slow edge costs the memory of one plan.
Heartbeats in both directions detect a dead connection, and tell the edge which planner leads.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

import msgspec

from kelptrail.gateway.counters import FunctionCounters
from kelptrail.peers.messages import VERSION, ChannelError, Heartbeat, Hello, decoder, encode_frame

from .plan import EndpointsVersion, InstanceCounts, Plan, PlanError, PlanOrder, decode_plan, encode_plan
from .plan_follower import PlanState, RefusalReason


class UsageReport(msgspec.Struct, frozen=True, tag="report", array_like=True):
    """An edge's counters since its last report, and changes of the loaded instances (`complete`: all of them)."""

    order: PlanOrder
    leader_silent_ms: float
    counters: dict[str, FunctionCounters]
    loaded: InstanceCounts
    complete: bool


class PlanOffer(msgspec.Struct, frozen=True, tag="offer", array_like=True):
    """A plan, packed."""

    data: bytes


class PlanReply(msgspec.Struct, frozen=True, tag="reply", array_like=True):
    """The answer to a plan: `reason` is empty if it was accepted, else a `RefusalReason` value."""

    order: PlanOrder
    reason: str = ""
    text: str = ""


Message = Hello | Heartbeat | UsageReport | PlanOffer | PlanReply
READ = decoder(UsageReport, PlanOffer, PlanReply)
MAX_NAME = 200  # characters of an edge's name


class PlanResult(Enum):
    """What an edge did with a plan."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


class EdgeChannel:
    """An edge's end of one connection to a planner; all of an edge share one `PlanState` and one `LeaderContact`."""

    def __init__(
        self,
        name: str,
        lineage: str,
        plan_state: PlanState,
        leader_contact: LeaderContact,
        now: float,
        report_ms: float = 1000.0,
    ) -> None:
        self._plan_state, self._leader_contact, self._report_ms = plan_state, leader_contact, report_ms
        self.output: list[bytes] = [encode_frame(Hello(VERSION, name, lineage, plan_state.fence))]
        self._counters: dict[str, FunctionCounters] = {}  # since the last report on this connection
        self._reported: InstanceCounts | None = None  # what the planner knows; None: nothing yet
        self._next_report_ms = now
        self.last_heard = now
        self.planner = ""
        self.writing = False  # set by the driver: some of the output is being sent

    def on_message(
        self, now: float, message: Message, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanResult | None:
        """Process a message; returns the result if it was a plan.  Raises `ChannelError` for a planner's messages."""
        self.last_heard = now
        if isinstance(message, Hello):
            self.planner = message.name
        elif isinstance(message, Heartbeat):
            if message.is_active and (message.epoch, self.planner) >= self._plan_state.fence[:2]:
                self._leader_contact.last_ms = now
        elif isinstance(message, PlanOffer):
            return self._on_plan(now, message.data, live, endpoints_version)
        else:
            raise ChannelError(f"{type(message).__name__} is not for an edge")
        return None

    def _on_plan(
        self, now: float, data: bytes, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanResult:
        try:
            packet = decode_plan(data)
        except PlanError as cause:
            self.output.append(encode_frame(PlanReply(self._plan_state.fence, RefusalReason.DIGEST.value, str(cause))))
            return PlanResult.REFUSED
        refusal = self._plan_state.on_plan(now, packet, live, endpoints_version)
        if refusal is None:
            self._leader_contact.last_ms = now
            self.output.append(encode_frame(PlanReply(packet.header.order)))
            return PlanResult.ACCEPTED
        self.output.append(encode_frame(PlanReply(self._plan_state.fence, refusal.reason.value, refusal.text)))
        return PlanResult.REFUSED

    def report_due(self, now: float) -> bool:
        """Whether the report interval has passed."""
        return now >= self._next_report_ms

    def add_counters(self, counters: dict[str, FunctionCounters]) -> None:
        """Add to the next report.  Each connection counts for itself: every planner must get all requests, though they
        get their reports at different moments.
        """
        for model, counted in counters.items():
            self._counters[model] = self._counters.get(model, FunctionCounters()).plus(counted)

    def queue_report(self, now: float, loaded: InstanceCounts) -> None:
        """Queue a report; it has only what changed since the last one."""
        self._next_report_ms = now + self._report_ms
        before = self._reported
        changed = loaded if before is None else _changed_instances(before, loaded)
        self._reported = loaded
        counters, self._counters = self._counters, {}
        silent_ms = self._leader_contact.silent_ms(now)
        self.output.append(
            encode_frame(UsageReport(self._plan_state.fence, silent_ms, counters, changed, before is None))
        )


def _changed_instances(before: InstanceCounts, after: InstanceCounts) -> InstanceCounts:
    return {
        model: changed
        for model in before.keys() | after.keys()
        if (changed := _changed_counts(before.get(model, {}), after.get(model, {})))
    }


def _changed_counts(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    """Differs from `plan.difference` in that a worker which appears with 0 instances is a change."""
    return {
        worker: after.get(worker, 0)
        for worker in before.keys() | after.keys()
        if before.get(worker) != after.get(worker)
    }


class LeaderContact:
    """When an edge last heard from the planner that leads."""

    def __init__(self, now: float) -> None:
        self.last_ms = now

    def silent_ms(self, now: float) -> float:
        """Milliseconds since then."""
        return now - self.last_ms


class OfferedPlan(NamedTuple):
    """A plan for an edge, and when it was made (ms)."""

    plan: Plan
    made_at: float


class PlannerChannel:
    """A planner's end of one connection to an edge."""

    def __init__(self, name: str, lineage: str) -> None:
        self._lineage = lineage
        self.output: list[bytes] = [encode_frame(Hello(VERSION, name, lineage))]
        self.edge = ""
        self.loaded: InstanceCounts = {}  # by the edge, accumulated from its reports
        self._waiting: OfferedPlan | None = None
        self._last_accepted: Plan | None = None  # the base of the next difference; None: the next plan goes complete
        self._in_flight: Plan | None = None

    def on_message(self, message: Message) -> Message:
        """Check and process a message from the edge; a report updates `loaded`.  Raises `ChannelError`."""
        if isinstance(message, Hello):
            if message.lineage != self._lineage:
                raise ChannelError(f"lineage {message.lineage!r}, not {self._lineage!r}")
            if not message.name or len(message.name) > MAX_NAME:
                raise ChannelError(f"an edge gives its name, of at most {MAX_NAME} characters")
            self.edge = message.name
        elif isinstance(message, UsageReport):
            if message.complete:
                self.loaded = {}
            for model, at in message.loaded.items():
                by_worker = self.loaded.setdefault(model, {})
                by_worker |= at
        elif isinstance(message, PlanReply):
            if self._in_flight is not None and not message.reason and message.order == self._in_flight.header.order:
                self._last_accepted = self._in_flight
            else:
                self._last_accepted = None
            self._in_flight = None
        elif not isinstance(message, Heartbeat):
            raise ChannelError(f"{type(message).__name__} is not for a planner")
        return message

    def offer_plan(self, plan: Plan, made: float) -> None:
        """Queue a plan for this edge; it replaces one that still waits."""
        self._waiting = OfferedPlan(plan, made)

    def queue_next_plan(self, now: float) -> bool:
        """Move the waiting plan to the output unless one is in flight; True if it did."""
        if self._waiting is None or self._in_flight is not None:
            return False
        (plan, made), self._waiting = self._waiting, None
        self.output.append(encode_frame(PlanOffer(encode_plan(plan, now - made, self._last_accepted))))
        self._in_flight = plan
        return True
