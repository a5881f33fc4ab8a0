"""The life of one activation from taken to forgotten, and what must be safe before it may go on; free of I/O.

In the manner of a replicated log's ready loop: an event may leave needs (`next_need`) that the host writes to its
journal, and the host says what became of each (`told`).  What is not safe yet holds back exactly three things: the
promise of a deferred call (`promised`), the first byte of a send whose repeat could double an effect (`go`), and the
showing of a final answer that was promised to last (`show`).  A step out of order is an `IllegalStepError`.
"""

from __future__ import annotations

from enum import Enum


class RequestStage(Enum):
    """Where an activation stands."""

    ACCEPTED = "accepted"  # taken; the decisions have not been told yet
    QUEUED = "queued"  # the decisions have it
    HELD = "held"  # a send was decided and waits until "may run" is safe
    SENT = "sent"  # at least one send is out
    ANSWERED = "answered"  # every send has ended, and none of them brought the final answer
    FINAL = "final"  # the one final answer is decided
    PUBLISHED = "shown"  # it is as durable as it was promised to be, and may be told
    FORGOTTEN = "forgotten"


NEXT_STAGES: dict[RequestStage, frozenset[RequestStage]] = {
    RequestStage.ACCEPTED: frozenset({RequestStage.QUEUED}),
    RequestStage.QUEUED: frozenset({RequestStage.HELD, RequestStage.SENT, RequestStage.FINAL}),
    RequestStage.HELD: frozenset({RequestStage.SENT, RequestStage.QUEUED, RequestStage.ANSWERED, RequestStage.FINAL}),
    RequestStage.SENT: frozenset({RequestStage.HELD, RequestStage.ANSWERED, RequestStage.FINAL}),
    RequestStage.ANSWERED: frozenset({RequestStage.HELD, RequestStage.SENT, RequestStage.FINAL}),
    RequestStage.FINAL: frozenset({RequestStage.PUBLISHED}),
    RequestStage.PUBLISHED: frozenset({RequestStage.FORGOTTEN}),
    RequestStage.FORGOTTEN: frozenset(),
}


class EntryKind(Enum):
    """What is to be made safe."""

    ACCEPTED = "record"
    MAY_RUN = "may-run"
    ENDED = "end"


class WriteState(Enum):
    """How far that is."""

    NOT_REQUESTED = "no"
    PENDING = "asked"
    DURABLE = "yes"
    FAILED = "failed"


class IllegalStepError(Exception):
    """A step that the life of an activation does not have, or one before what it needs is safe."""


class RequestLifecycle:
    """One activation's way.  `repeatable`: running it twice does no harm; `kept`: it outlives this process."""

    __slots__ = (
        "_entries",
        "accepted_write",
        "attempt_count",
        "deferred",
        "durable",
        "ended_write",
        "held",
        "idempotent",
        "in_flight",
        "may_run_write",
        "stage",
    )

    def __init__(self, repeatable: bool, kept: bool, owed: bool = False) -> None:
        self.idempotent, self.durable = repeatable, kept
        self.deferred = owed  # its client was given, or will be given, an id in place of the answer
        self.stage = RequestStage.ACCEPTED
        self.accepted_write = self.may_run_write = self.ended_write = WriteState.NOT_REQUESTED
        self.held = self.in_flight = self.attempt_count = 0
        self._entries: list[EntryKind] = []

    @classmethod
    def resumed(cls, repeatable: bool, ran: bool) -> RequestLifecycle:
        """One that a restart found on disk; `ran`: "may run" stands there, too."""
        passage = cls(repeatable, True, True)
        passage.accepted_write = WriteState.DURABLE
        passage.may_run_write = WriteState.DURABLE if ran else WriteState.NOT_REQUESTED
        return passage

    def _to(self, stage: RequestStage) -> None:
        if stage is self.stage:
            return
        if stage not in NEXT_STAGES[self.stage]:
            raise IllegalStepError(f"from {self.stage.value} to {stage.value}")
        self.stage = stage

    def _settled(self) -> None:
        """Where it stands by what is out and held."""
        if self.final:
            return
        if self.in_flight:
            self._to(RequestStage.SENT)
        elif self.held:
            self._to(RequestStage.HELD)
        else:
            self._to(RequestStage.ANSWERED if self.attempt_count else RequestStage.QUEUED)

    @property
    def final(self) -> bool:
        """Whether the one final answer is decided."""
        return self.stage in (RequestStage.FINAL, RequestStage.PUBLISHED, RequestStage.FORGOTTEN)

    # What is to be made safe.

    def next_entry(self) -> EntryKind | None:
        """The next thing to write; each is handed out once."""
        return self._entries.pop(0) if self._entries else None

    def _ask(self, need: EntryKind) -> None:
        if need is EntryKind.ACCEPTED:
            self.accepted_write = WriteState.PENDING
        elif need is EntryKind.MAY_RUN:
            self.may_run_write = WriteState.PENDING
        else:
            self.ended_write = WriteState.PENDING
        self._entries.append(need)

    def request_accepted_entry(self) -> None:
        """Have its record written, if it is kept and this was not asked for yet."""
        if self.durable and self.accepted_write is WriteState.NOT_REQUESTED and not self.final:
            self._ask(EntryKind.ACCEPTED)

    def on_written(self, need: EntryKind, safe: bool) -> None:
        """What became of a need.  Raises `IllegalStepError` where it was not asked for."""
        now = {
            EntryKind.ACCEPTED: self.accepted_write,
            EntryKind.MAY_RUN: self.may_run_write,
            EntryKind.ENDED: self.ended_write,
        }[need]
        if now is not WriteState.PENDING:
            raise IllegalStepError(f"{need.value} was told of and not asked for")
        became = WriteState.DURABLE if safe else WriteState.FAILED
        if need is EntryKind.ACCEPTED:
            self.accepted_write = became
        elif need is EntryKind.MAY_RUN:
            self.may_run_write = became if safe else WriteState.NOT_REQUESTED  # another send may ask again
        else:
            self.ended_write = became

    @property
    def durable_result(self) -> bool | None:
        """Whether its client may be told that it lasts; None while that is not known."""
        if not self.durable:
            return False
        return {WriteState.DURABLE: True, WriteState.FAILED: False}.get(self.accepted_write)

    # Events.

    def queue(self) -> None:
        """The decisions have been told of it."""
        self._to(RequestStage.QUEUED)

    def on_attempt_decided(self) -> bool:
        """A send was decided; True if it may go now, else it is held and `may_run` is asked for."""
        if self.final:
            raise IllegalStepError("a send of what has its final answer")
        if self.stage is RequestStage.ACCEPTED:
            raise IllegalStepError("a send before the decisions were told")
        self.request_accepted_entry()
        self.held += 1
        clear = self.may_start
        if not clear and self.may_run_write is WriteState.NOT_REQUESTED:
            self._ask(EntryKind.MAY_RUN)
        self._settled()
        return clear

    @property
    def may_start(self) -> bool:
        """Whether the first byte of a send may go out."""
        return self.idempotent or not self.durable or self.may_run_write is WriteState.DURABLE

    def start_attempt(self) -> None:
        """A decided send goes out.  Raises `IllegalStepError` where "may run" is not safe."""
        if not self.held:
            raise IllegalStepError("a send that was not decided")
        if not self.may_start:
            raise IllegalStepError('a send before "may run" is safe')
        if self.final:
            raise IllegalStepError("a send after the final answer")
        self.held, self.in_flight, self.attempt_count = self.held - 1, self.in_flight + 1, self.attempt_count + 1
        self._settled()

    def drop_held(self) -> None:
        """A held send was given up: nothing of it was written to a worker."""
        if not self.held:
            raise IllegalStepError("nothing is held")
        self.held -= 1
        self._settled()

    def on_attempt_finished(self) -> None:
        """A send has ended, however."""
        if not self.in_flight:
            raise IllegalStepError("no send is out")
        self.in_flight -= 1
        self._settled()

    def make_durable(self, moved: bool = False) -> None:
        """Its client goes on with the id, so from here on it is kept; what may have run is written, too.  `moved`: what
        was kept of it is written anew, elsewhere."""
        if self.final:
            raise IllegalStepError("it has its final answer")
        self.deferred = True
        if self.durable and not moved:
            return
        self.durable = True
        self.accepted_write = self.may_run_write = WriteState.NOT_REQUESTED
        self.request_accepted_entry()
        if (self.attempt_count or self.in_flight or self.held) and not self.idempotent:
            self._ask(EntryKind.MAY_RUN)

    def release(self) -> None:
        """Another dispatcher goes on with it: nothing more is written, answered or shown here."""
        self._entries.clear()
        self.stage = RequestStage.PUBLISHED

    def finish(self) -> bool:
        """The one final answer is decided; True if it may be shown at once, else `end` is asked for."""
        if self.final:
            raise IllegalStepError("a second final answer")
        self._to(RequestStage.FINAL)
        if self.accepted_write in (WriteState.NOT_REQUESTED, WriteState.FAILED):
            return True  # nothing of it was promised to last
        self._ask(EntryKind.ENDED)
        return False

    def publish(self, late: bool = False) -> None:
        """The final answer is shown.  One that was promised to last must be safe; whoever waits on a connection was
        promised none, so it may be shown when its journal failed, or is late (`late`)."""
        if self.stage is not RequestStage.FINAL:
            raise IllegalStepError(f"nothing to show while {self.stage.value}")
        open_ = self.ended_write is WriteState.DURABLE or self.accepted_write in (
            WriteState.NOT_REQUESTED,
            WriteState.FAILED,
        )
        if not open_ and (self.deferred or not (late or self.ended_write is WriteState.FAILED)):
            raise IllegalStepError("an answer before it is safe")
        self._to(RequestStage.PUBLISHED)

    def forget(self) -> None:
        """Nothing of it is out any more.  Raises `IllegalStepError` where something is, or nothing was shown."""
        if self.in_flight or self.held:
            raise IllegalStepError("a send is out")
        self._to(RequestStage.FORGOTTEN)
