"""What edges and planners say to each other on the channel between peers; free of I/O.

An edge reports at a bounded rate; what could not be sent adds up and goes with the next report.  A planner has one plan
out at an edge at a time: what is newer waits and takes the place of what waited, so a slow edge costs one plan of
memory.  Heartbeats both ways tell a dead connection, and the edge which planner acts.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from kelptrail.gateway.counters import FunctionCounters
from kelptrail.peers.messages import VERSION, ChannelError, Heartbeat, Hello, decoder, frame

from .plan import InstanceCounts, Plan, PlanError, PlanOrder, decode_plan, encode_plan
from .plan_follower import PlanState


class UsageReport(msgspec.Struct, frozen=True, tag="report", array_like=True):
    """An edge's counts since its last report, and changes in the copies that it believes in (`whole`: all of them)."""

    order: PlanOrder
    leader_silent_ms: float
    counters: dict[str, FunctionCounters]
    loaded: InstanceCounts
    complete: bool


class PlanOffer(msgspec.Struct, frozen=True, tag="offer", array_like=True):
    """A plan, packed."""

    data: bytes


class PlanReply(msgspec.Struct, frozen=True, tag="reply", array_like=True):
    """What became of a plan: `reason` empty where it was taken."""

    order: PlanOrder
    reason: str = ""
    text: str = ""


Message = Hello | Heartbeat | UsageReport | PlanOffer | PlanReply
READ = decoder(UsageReport, PlanOffer, PlanReply)


class EdgeChannel:
    """An edge's end of one connection to a planner; several links share one follower and one `Led`."""

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
        self.output: list[bytes] = [frame(Hello(VERSION, name, lineage, plan_state.fence))]
        self._counters: dict[str, FunctionCounters] = {}  # since the last report on this connection
        self._reported: InstanceCounts | None = None  # copies as the planner knows them; None: nothing yet
        self._next_report_ms = now
        self.last_heard = now
        self.planner = ""
        self.writing = False  # by the host: some of the output is on its way

    def on_message(
        self, now: float, message: Message, live: Collection[str], endpoints_version: tuple[str, int]
    ) -> str:
        """A message from the planner: "" or "taken", "refused"."""
        self.last_heard = now
        if isinstance(message, Hello):
            self.planner = message.who
        elif isinstance(message, Heartbeat):
            if message.acting and (message.epoch, self.planner) >= self._plan_state.fence[:2]:
                self._leader_contact.last_ms = now
        elif isinstance(message, PlanOffer):
            return self._on_plan(now, message.data, live, endpoints_version)
        else:
            raise ChannelError(f"{type(message).__name__} is not for an edge")
        return ""

    def _on_plan(self, now: float, data: bytes, live: Collection[str], endpoints_version: tuple[str, int]) -> str:
        try:
            packet = decode_plan(data)
        except PlanError as cause:
            self.output.append(frame(PlanReply(self._plan_state.fence, "digest", str(cause))))
            return "refused"
        report = self._plan_state.on_plan(now, packet, live, endpoints_version)
        if report is None:
            self._leader_contact.last_ms = now
            self.output.append(frame(PlanReply(packet.header.order)))
            return "taken"
        self.output.append(frame(PlanReply(self._plan_state.fence, report.reason.value, report.text)))
        return "refused"

    def report_due(self, now: float) -> bool:
        """Whether a report may go."""
        return now >= self._next_report_ms

    def add_counters(self, counters: dict[str, FunctionCounters]) -> None:
        """What was asked of functions; it goes with the next report.  Each link counts for itself: planners that are
        told at different moments must each hear all of it."""
        for model, tally in counters.items():
            self._counters[model] = self._counters.get(model, FunctionCounters()).plus(tally)

    def queue_report(self, now: float, loaded: InstanceCounts) -> None:
        """Put a report into the output."""
        self._next_report_ms = now + self._report_ms
        before = self._reported
        moved = (
            loaded
            if before is None
            else {
                m: changes
                for m in before.keys() | loaded.keys()
                if (changes := _changed_counts(before.get(m, {}), loaded.get(m, {})))
            }
        )
        self._reported = loaded
        counts, self._counters = self._counters, {}
        self.output.append(
            frame(
                UsageReport(self._plan_state.fence, self._leader_contact.silent_ms(now), counts, moved, before is None)
            )
        )


def _changed_counts(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    return {w: after.get(w, 0) for w in before.keys() | after.keys() if before.get(w) != after.get(w)}


class LeaderContact:
    """When an edge last heard from a planner that acts."""

    def __init__(self, now: float) -> None:
        self.last_ms = now

    def silent_ms(self, now: float) -> float:
        """Since then."""
        return now - self.last_ms


class PlannerChannel:
    """A planner's end of one connection to an edge."""

    def __init__(self, name: str, lineage: str) -> None:
        self._lineage = lineage
        self.output: list[bytes] = [frame(Hello(VERSION, name, lineage))]
        self.edge = ""
        self.loaded: InstanceCounts = {}  # of the edge, joined from its changes
        self._waiting: tuple[Plan, float] | None = None  # and when it was made
        self._last_accepted: Plan | None = None  # the last that the edge took
        self._in_flight: Plan | None = None

    def on_message(self, message: Message) -> Message:
        """A message from the edge, checked; of a report the copies are joined into `standing`."""
        if isinstance(message, Hello):
            if message.lineage != self._lineage:
                raise ChannelError(f"lineage {message.lineage!r}, not {self._lineage!r}")
            if not message.who or len(message.who) > 200:
                raise ChannelError("an edge says who it is")
            self.edge = message.who
        elif isinstance(message, UsageReport):
            if message.complete:
                self.loaded = {}
            for model, at in message.loaded.items():
                mine = self.loaded.setdefault(model, {})
                mine |= at
        elif isinstance(message, PlanReply):
            if self._in_flight is not None and not message.reason and message.order == self._in_flight.header.order:
                self._last_accepted = self._in_flight
            else:
                self._last_accepted = None  # the next one goes whole
            self._in_flight = None
        elif not isinstance(message, Heartbeat):
            raise ChannelError(f"{type(message).__name__} is not for a planner")
        return message

    def offer_plan(self, plan: Plan, made: float) -> None:
        """A plan for this edge; it takes the place of one that still waits."""
        self._waiting = plan, made

    def queue_next_plan(self, now: float) -> bool:
        """Put what waits into the output, if nothing is under way."""
        if self._waiting is None or self._in_flight is not None:
            return False
        (plan, made), self._waiting = self._waiting, None
        self.output.append(frame(PlanOffer(encode_plan(plan, now - made, self._last_accepted))))
        self._in_flight = plan
        return True
