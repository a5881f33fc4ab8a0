"""Messages between edges and planners, and the protocol state of both ends; free of I/O.

An edge reports at a bounded rate; counters that could not be sent are added to the next report.  A planner has at most
one plan in flight to an edge, and a newer plan replaces one not sent yet, so at most one plan waits for a slow edge.
Heartbeats in both directions detect a dead connection; those of a planner also say whether it leads.
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
    """An edge's counters since its last report, and its loaded instances.

    `order`: order of the latest plan accepted or read from disk (`PlanState.fence`); `leader_silent_ms`: time since the
    last contact with the leading planner (`LeaderContact`).  `loaded` has all instances if `complete`, else only the
    counts that changed.
    """

    order: PlanOrder
    leader_silent_ms: float
    counters: dict[str, FunctionCounters]
    loaded: InstanceCounts
    complete: bool


class PlanOffer(msgspec.Struct, frozen=True, tag="offer", array_like=True):
    """A plan as encoded by `encode_plan`."""

    data: bytes


class PlanReply(msgspec.Struct, frozen=True, tag="reply", array_like=True):
    """An edge's reply to a plan: `reason` is empty if it was accepted, else a `RefusalReason` value.

    `order`: order of the accepted plan or, after a refusal, of the latest plan accepted or read from disk.
    """

    order: PlanOrder
    reason: str = ""
    text: str = ""


Message = Hello | Heartbeat | UsageReport | PlanOffer | PlanReply
MESSAGE_DECODER = decoder(UsageReport, PlanOffer, PlanReply)
MAX_NAME_LENGTH = 200  # longest name of an edge, in characters


class PlanResult(Enum):
    """Whether an edge accepted or refused a plan; a plan that waits for its endpoint list counts as accepted."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


class EdgeChannel:
    """An edge's end of one connection to a planner.

    All channels of an edge share one `PlanState` and one `LeaderContact`.
    """

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
        self._counters: dict[str, FunctionCounters] = {}  # sums since the last report on this connection
        self._reported: InstanceCounts | None = None  # loaded instances as of the last report; None before the first
        self._next_report_ms = now
        self.last_received_ms = now
        self.planner = ""  # name of the planner; empty until its `Hello` arrives
        self.writing = False  # set by the driver while it sends output

    def on_message(
        self, now: float, message: Message, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanResult | None:
        """Process a message, and return the result if it was a plan.

        Raises `ChannelError` for a message that only edges send.
        """
        self.last_received_ms = now
        if isinstance(message, Hello):
            self.planner = message.name
        elif isinstance(message, Heartbeat):
            if message.is_active and (message.epoch, self.planner) >= self._plan_state.fence[:2]:
                self._leader_contact.last_ms = now
        elif isinstance(message, PlanOffer):
            return self._on_plan(now, message.data, live, endpoints_version)
        else:
            raise ChannelError(f"{type(message).__name__} messages are not accepted by an edge")
        return None

    def _on_plan(
        self, now: float, data: bytes, live: Collection[str], endpoints_version: EndpointsVersion
    ) -> PlanResult:
        try:
            packet = decode_plan(data)
        except PlanError as cause:
            # DIGEST also stands for data that cannot be decoded: the protocol has no reason of its own for it.
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
        """Return whether the report interval has passed since the last report; True before the first one."""
        return now >= self._next_report_ms

    def add_counters(self, counters: dict[str, FunctionCounters]) -> None:
        """Add counters to the next report.

        Each connection has its own sums, because every planner must receive the counts of all requests, although the
        planners receive their reports at different times.
        """
        for model, counted in counters.items():
            self._counters[model] = self._counters.get(model, FunctionCounters()).plus(counted)

    def queue_report(self, now: float, loaded: InstanceCounts) -> None:
        """Queue a report: the counters and the instances changed since the last one; the first has all instances."""
        self._next_report_ms = now + self._report_ms
        reported = self._reported
        changed = loaded if reported is None else _changed_instances(reported, loaded)
        self._reported = loaded
        counters, self._counters = self._counters, {}
        silent_ms = self._leader_contact.silent_ms(now)
        self.output.append(
            encode_frame(UsageReport(self._plan_state.fence, silent_ms, counters, changed, reported is None))
        )


def _changed_instances(before: InstanceCounts, after: InstanceCounts) -> InstanceCounts:
    return {
        model: changed
        for model in before.keys() | after.keys()
        if (changed := _changed_counts(before.get(model, {}), after.get(model, {})))
    }


def _changed_counts(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    """Return the counts that differ; unlike in `plan.difference`, a count of 0 differs from a missing one."""
    return {
        worker: after.get(worker, 0)
        for worker in before.keys() | after.keys()
        if before.get(worker) != after.get(worker)
    }


class LeaderContact:
    """Time of the last heartbeat or accepted plan that an edge received from the leading planner.

    Before the first one it is the time of creation.
    """

    def __init__(self, now: float) -> None:
        self.last_ms = now

    def silent_ms(self, now: float) -> float:
        """Return the time since `last_ms`, in ms."""
        return now - self.last_ms


class OfferedPlan(NamedTuple):
    """A plan for an edge, and the time in ms at which it was made."""

    plan: Plan
    made_at: float


class PlannerChannel:
    """A planner's end of one connection to an edge."""

    def __init__(self, name: str, lineage: str) -> None:
        self._lineage = lineage
        self.output: list[bytes] = [encode_frame(Hello(VERSION, name, lineage))]
        self.edge = ""  # name of the edge; empty until its `Hello` arrives
        self.loaded: InstanceCounts = {}  # instances loaded according to the edge, accumulated from its reports
        self._next_plan: OfferedPlan | None = None
        self._last_accepted: Plan | None = None  # possible base of a difference; None: the next plan is sent complete
        self._in_flight: Plan | None = None

    def on_message(self, message: Message) -> Message:
        """Process and return a message from the edge; a report updates `loaded`.

        Raises `ChannelError` for an invalid `Hello` or a message that only planners send.
        """
        if isinstance(message, Hello):
            if message.lineage != self._lineage:
                raise ChannelError(f"lineage {message.lineage!r} does not match {self._lineage!r}")
            if not message.name or len(message.name) > MAX_NAME_LENGTH:
                raise ChannelError(f"an edge must send a name of at most {MAX_NAME_LENGTH} characters")
            self.edge = message.name
        elif isinstance(message, UsageReport):
            if message.complete:
                self.loaded = {}
            for model, changed in message.loaded.items():
                by_worker = self.loaded.setdefault(model, {})
                by_worker |= changed
        elif isinstance(message, PlanReply):
            if self._in_flight is not None and not message.reason and message.order == self._in_flight.header.order:
                self._last_accepted = self._in_flight
            else:
                self._last_accepted = None
            self._in_flight = None
        elif not isinstance(message, Heartbeat):
            raise ChannelError(f"{type(message).__name__} messages are not accepted by a planner")
        return message

    def offer_plan(self, plan: Plan, made_at: float) -> None:
        """Set the next plan for this edge; it replaces one that was not sent yet."""
        self._next_plan = OfferedPlan(plan, made_at)

    def queue_next_plan(self, now: float) -> bool:
        """Move the next plan to the output unless a plan is in flight; return whether one was moved."""
        if self._next_plan is None or self._in_flight is not None:
            return False
        (plan, made_at), self._next_plan = self._next_plan, None
        self.output.append(encode_frame(PlanOffer(encode_plan(plan, now - made_at, self._last_accepted))))
        self._in_flight = plan
        return True
