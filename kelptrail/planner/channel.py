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

from .plan import Order, Plan, PlanError, Wants, pack, unpack
from .plan_follower import PlanState


class Report(msgspec.Struct, frozen=True, tag="report", array_like=True):
    """An edge's counts since its last report, and changes in the copies that it believes in (`whole`: all of them)."""

    order: Order
    quiet_ms: float
    tallies: dict[str, FunctionCounters]
    standing: Wants
    whole: bool


class Offer(msgspec.Struct, frozen=True, tag="offer", array_like=True):
    """A plan, packed."""

    data: bytes


class Reply(msgspec.Struct, frozen=True, tag="reply", array_like=True):
    """What became of a plan: `reason` empty where it was taken."""

    order: Order
    reason: str = ""
    text: str = ""


Message = Hello | Heartbeat | Report | Offer | Reply
READ = decoder(Report, Offer, Reply)


class EdgeLink:
    """An edge's end of one connection to a planner; several links share one follower and one `Led`."""

    def __init__(
        self, who: str, lineage: str, follower: PlanState, led: Led, now: float, report_ms: float = 1000.0
    ) -> None:
        self._follower, self._led, self._report_ms = follower, led, report_ms
        self.out: list[bytes] = [encode_frame(Hello(VERSION, who, lineage, follower.fence))]
        self._counts: dict[str, FunctionCounters] = {}  # since the last report on this connection
        self._told: Wants | None = None  # copies as the planner knows them; None: nothing yet
        self._next = now
        self.heard = now
        self.planner = ""
        self.writing = False  # by the host: some of the output is on its way

    def received(self, now: float, message: Message, live: Collection[str], roster: tuple[str, int]) -> str:
        """A message from the planner: "" or "taken", "refused"."""
        self.heard = now
        if isinstance(message, Hello):
            self.planner = message.name
        elif isinstance(message, Heartbeat):
            if message.is_active and (message.epoch, self.planner) >= self._follower.fence[:2]:
                self._led.at = now
        elif isinstance(message, Offer):
            return self._offered(now, message.data, live, roster)
        else:
            raise ChannelError(f"{type(message).__name__} is not for an edge")
        return ""

    def _offered(self, now: float, data: bytes, live: Collection[str], roster: tuple[str, int]) -> str:
        try:
            packet = unpack(data)
        except PlanError as cause:
            self.out.append(encode_frame(Reply(self._follower.fence, "digest", str(cause))))
            return "refused"
        report = self._follower.offer(now, packet, live, roster)
        if report is None:
            self._led.at = now
            self.out.append(encode_frame(Reply(packet.head.order)))
            return "taken"
        self.out.append(encode_frame(Reply(self._follower.fence, report.reason.value, report.text)))
        return "refused"

    def due(self, now: float) -> bool:
        """Whether a report may go."""
        return now >= self._next

    def counted(self, tallies: dict[str, FunctionCounters]) -> None:
        """What was asked of functions; it goes with the next report.  Each link counts for itself: planners that are
        told at different moments must each hear all of it."""
        for model, tally in tallies.items():
            self._counts[model] = self._counts.get(model, FunctionCounters()).plus(tally)

    def report(self, now: float, standing: Wants) -> None:
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
        self.out.append(
            encode_frame(Report(self._follower.fence, self._led.quiet_ms(now), counts, moved, before is None))
        )


def _moved(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    return {w: after.get(w, 0) for w in before.keys() | after.keys() if before.get(w) != after.get(w)}


class Led:
    """When an edge last heard from a planner that acts."""

    def __init__(self, now: float) -> None:
        self.at = now

    def quiet_ms(self, now: float) -> float:
        """Since then."""
        return now - self.at


class PlannerLink:
    """A planner's end of one connection to an edge."""

    def __init__(self, who: str, lineage: str) -> None:
        self._lineage = lineage
        self.out: list[bytes] = [encode_frame(Hello(VERSION, who, lineage))]
        self.edge = ""
        self.standing: Wants = {}  # of the edge, joined from its changes
        self._waiting: tuple[Plan, float] | None = None  # and when it was made
        self._sent: Plan | None = None  # the last that the edge took
        self._under_way: Plan | None = None

    def received(self, message: Message) -> Message:
        """A message from the edge, checked; of a report the copies are joined into `standing`."""
        if isinstance(message, Hello):
            if message.lineage != self._lineage:
                raise ChannelError(f"lineage {message.lineage!r}, not {self._lineage!r}")
            if not message.name or len(message.name) > 200:
                raise ChannelError("an edge says who it is")
            self.edge = message.name
        elif isinstance(message, Report):
            if message.whole:
                self.standing = {}
            for model, at in message.standing.items():
                mine = self.standing.setdefault(model, {})
                mine |= at
        elif isinstance(message, Reply):
            if self._under_way is not None and not message.reason and message.order == self._under_way.head.order:
                self._sent = self._under_way
            else:
                self._sent = None  # the next one goes whole
            self._under_way = None
        elif not isinstance(message, Heartbeat):
            raise ChannelError(f"{type(message).__name__} is not for a planner")
        return message

    def offer(self, plan: Plan, made: float) -> None:
        """A plan for this edge; it takes the place of one that still waits."""
        self._waiting = plan, made

    def pump(self, now: float) -> bool:
        """Put what waits into the output, if nothing is under way."""
        if self._waiting is None or self._under_way is not None:
            return False
        (plan, made), self._waiting = self._waiting, None
        self.out.append(encode_frame(Offer(pack(plan, now - made, self._sent))))
        self._under_way = plan
        return True
