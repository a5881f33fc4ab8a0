"""What edges and planners say to each other on the channel between peers; free of I/O.

An edge reports at a bounded rate; what could not be sent adds up and goes with the next report.  A planner has one plan
out at an edge at a time: what is newer waits and takes the place of what waited, so a slow edge costs one plan of
memory.  Heartbeats both ways tell a dead connection, and the edge which planner acts.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from kelptrail.gateway.counters import FunctionCounters
from kelptrail.peers.messages import VERSION, ChannelError, Heartbeat, Hello, decoder, encode_frame

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
        self, who: str, lineage: str, follower: PlanState, led: LeaderContact, now: float, report_ms: float = 1000.0
    ) -> None:
        self._follower, self._led, self._report_ms = follower, led, report_ms
        self.output: list[bytes] = [encode_frame(Hello(VERSION, who, lineage, follower.fence))]
        self._counts: dict[str, FunctionCounters] = {}  # since the last report on this connection
        self._told: InstanceCounts | None = None  # copies as the planner knows them; None: nothing yet
        self._next = now
        self.last_heard = now
        self.planner = ""
        self.writing = False  # by the host: some of the output is on its way

    def on_message(self, now: float, message: Message, live: Collection[str], roster: tuple[str, int]) -> str:
        """A message from the planner: "" or "taken", "refused"."""
        self.last_heard = now
        if isinstance(message, Hello):
            self.planner = message.name
        elif isinstance(message, Heartbeat):
            if message.is_active and (message.epoch, self.planner) >= self._follower.fence[:2]:
                self._led.last_ms = now
        elif isinstance(message, PlanOffer):
            return self._offered(now, message.data, live, roster)
        else:
            raise ChannelError(f"{type(message).__name__} is not for an edge")
        return ""

    def _offered(self, now: float, data: bytes, live: Collection[str], roster: tuple[str, int]) -> str:
        try:
            packet = decode_plan(data)
        except PlanError as cause:
            self.output.append(encode_frame(PlanReply(self._follower.fence, "digest", str(cause))))
            return "refused"
        report = self._follower.on_plan(now, packet, live, roster)
        if report is None:
            self._led.last_ms = now
            self.output.append(encode_frame(PlanReply(packet.header.order)))
            return "taken"
        self.output.append(encode_frame(PlanReply(self._follower.fence, report.reason.value, report.text)))
        return "refused"

    def report_due(self, now: float) -> bool:
        """Whether a report may go."""
        return now >= self._next

    def add_counters(self, tallies: dict[str, FunctionCounters]) -> None:
        """What was asked of functions; it goes with the next report.  Each link counts for itself: planners that are
        told at different moments must each hear all of it."""
        for model, tally in tallies.items():
            self._counts[model] = self._counts.get(model, FunctionCounters()).plus(tally)

    def queue_report(self, now: float, standing: InstanceCounts) -> None:
        """Put a report into the output."""
        self._next = now + self._report_ms
        before = self._told
        moved = (
            standing
            if before is None
            else {
                m: changes
                for m in before.keys() | standing.keys()
                if (changes := _moved(before.get(m, {}), standing.get(m, {})))
            }
        )
        self._told = standing
        counts, self._counts = self._counts, {}
        self.output.append(
            encode_frame(UsageReport(self._follower.fence, self._led.silent_ms(now), counts, moved, before is None))
        )


def _moved(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
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

    def __init__(self, who: str, lineage: str) -> None:
        self._lineage = lineage
        self.output: list[bytes] = [encode_frame(Hello(VERSION, who, lineage))]
        self.edge = ""
        self.loaded: InstanceCounts = {}  # of the edge, joined from its changes
        self._waiting: tuple[Plan, float] | None = None  # and when it was made
        self._sent: Plan | None = None  # the last that the edge took
        self._under_way: Plan | None = None

    def on_message(self, message: Message) -> Message:
        """A message from the edge, checked; of a report the copies are joined into `standing`."""
        if isinstance(message, Hello):
            if message.lineage != self._lineage:
                raise ChannelError(f"lineage {message.lineage!r}, not {self._lineage!r}")
            if not message.name or len(message.name) > 200:
                raise ChannelError("an edge says who it is")
            self.edge = message.name
        elif isinstance(message, UsageReport):
            if message.complete:
                self.loaded = {}
            for model, at in message.loaded.items():
                mine = self.loaded.setdefault(model, {})
                mine |= at
        elif isinstance(message, PlanReply):
            if self._under_way is not None and not message.reason and message.order == self._under_way.header.order:
                self._sent = self._under_way
            else:
                self._sent = None  # the next one goes whole
            self._under_way = None
        elif not isinstance(message, Heartbeat):
            raise ChannelError(f"{type(message).__name__} is not for a planner")
        return message

    def offer_plan(self, plan: Plan, made: float) -> None:
        """A plan for this edge; it takes the place of one that still waits."""
        self._waiting = plan, made

    def queue_next_plan(self, now: float) -> bool:
        """Put what waits into the output, if nothing is under way."""
        if self._waiting is None or self._under_way is not None:
            return False
        (plan, made), self._waiting = self._waiting, None
        self.output.append(encode_frame(PlanOffer(encode_plan(plan, now - made, self._sent))))
        self._under_way = plan
        return True
