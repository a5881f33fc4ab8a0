"""The life of one activation from taken to forgotten, and what must be safe before it may go on; free of I/O.

In the manner of a replicated log's ready loop: an event may leave needs (`next_need`) that the host writes to its
journal, and the host says what became of each (`told`).  What is not safe yet holds back exactly three things: the
promise of a deferred call (`promised`), the first byte of a send whose repeat could double an effect (`go`), and the
showing of a final answer that was promised to last (`show`).  A step out of order is an `IllegalStepError`.
"""

from __future__ import annotations

from enum import Enum


class Stage(Enum):
    """Where an activation stands."""

    ACCEPTED = "accepted"  # taken; the decisions have not been told yet
    QUEUED = "queued"  # the decisions have it
    HELD = "held"  # a send was decided and waits until "may run" is safe
    SENT = "sent"  # at least one send is out
    ANSWERED = "answered"  # every send has ended, and none of them brought the final answer
    FINAL = "final"  # the one final answer is decided
    SHOWN = "shown"  # it is as durable as it was promised to be, and may be told
    FORGOTTEN = "forgotten"


LEGAL: dict[Stage, frozenset[Stage]] = {
    Stage.ACCEPTED: frozenset({Stage.QUEUED}),
    Stage.QUEUED: frozenset({Stage.HELD, Stage.SENT, Stage.FINAL}),
    Stage.HELD: frozenset({Stage.SENT, Stage.QUEUED, Stage.ANSWERED, Stage.FINAL}),
    Stage.SENT: frozenset({Stage.HELD, Stage.ANSWERED, Stage.FINAL}),
    Stage.ANSWERED: frozenset({Stage.HELD, Stage.SENT, Stage.FINAL}),
    Stage.FINAL: frozenset({Stage.SHOWN}),
    Stage.SHOWN: frozenset({Stage.FORGOTTEN}),
    Stage.FORGOTTEN: frozenset(),
}


class Need(Enum):
    """What is to be made safe."""

    RECORD = "record"
    MAY_RUN = "may-run"
    END = "end"


class Safe(Enum):
    """How far that is."""

    NO = "no"
    ASKED = "asked"
    YES = "yes"
    FAILED = "failed"


class IllegalStepError(Exception):
    """A step that the life of an activation does not have, or one before what it needs is safe."""


class RequestLifecycle:
    """One activation's way.  `repeatable`: running it twice does no harm; `kept`: it outlives this process."""

    __slots__ = ("_needs", "end", "held", "kept", "may_run", "out", "owed", "record", "repeatable", "sends", "stage")

    def __init__(self, repeatable: bool, kept: bool, owed: bool = False) -> None:
        self.repeatable, self.kept = repeatable, kept
        self.owed = owed  # its client was given, or will be given, an id in place of the answer
        self.stage = Stage.ACCEPTED
        self.record = self.may_run = self.end = Safe.NO
        self.held = self.out = self.sends = 0
        self._needs: list[Need] = []

    @classmethod
    def resumed(cls, repeatable: bool, ran: bool) -> RequestLifecycle:
        """One that a restart found on disk; `ran`: "may run" stands there, too."""
        passage = cls(repeatable, True, True)
        passage.record = Safe.YES
        passage.may_run = Safe.YES if ran else Safe.NO
        return passage

    def _to(self, stage: Stage) -> None:
        if stage is self.stage:
            return
        if stage not in LEGAL[self.stage]:
            raise IllegalStepError(f"from {self.stage.value} to {stage.value}")
        self.stage = stage

    def _settled(self) -> None:
        """Where it stands by what is out and held."""
        if self.final:
            return
        if self.out:
            self._to(Stage.SENT)
        elif self.held:
            self._to(Stage.HELD)
        else:
            self._to(Stage.ANSWERED if self.sends else Stage.QUEUED)

    @property
    def final(self) -> bool:
        """Whether the one final answer is decided."""
        return self.stage in (Stage.FINAL, Stage.SHOWN, Stage.FORGOTTEN)

    # What is to be made safe.

    def next_need(self) -> Need | None:
        """The next thing to write; each is handed out once."""
        return self._needs.pop(0) if self._needs else None

    def _ask(self, need: Need) -> None:
        if need is Need.RECORD:
            self.record = Safe.ASKED
        elif need is Need.MAY_RUN:
            self.may_run = Safe.ASKED
        else:
            self.end = Safe.ASKED
        self._needs.append(need)

    def ask_record(self) -> None:
        """Have its record written, if it is kept and this was not asked for yet."""
        if self.kept and self.record is Safe.NO and not self.final:
            self._ask(Need.RECORD)

    def told(self, need: Need, safe: bool) -> None:
        """What became of a need.  Raises `IllegalStepError` where it was not asked for."""
        now = {Need.RECORD: self.record, Need.MAY_RUN: self.may_run, Need.END: self.end}[need]
        if now is not Safe.ASKED:
            raise IllegalStepError(f"{need.value} was told of and not asked for")
        became = Safe.YES if safe else Safe.FAILED
        if need is Need.RECORD:
            self.record = became
        elif need is Need.MAY_RUN:
            self.may_run = became if safe else Safe.NO  # another send may ask again
        else:
            self.end = became

    @property
    def promised(self) -> bool | None:
        """Whether its client may be told that it lasts; None while that is not known."""
        if not self.kept:
            return False
        return {Safe.YES: True, Safe.FAILED: False}.get(self.record)

    # Events.

    def queue(self) -> None:
        """The decisions have been told of it."""
        self._to(Stage.QUEUED)

    def decide(self) -> bool:
        """A send was decided; True if it may go now, else it is held and `may_run` is asked for."""
        if self.final:
            raise IllegalStepError("a send of what has its final answer")
        if self.stage is Stage.ACCEPTED:
            raise IllegalStepError("a send before the decisions were told")
        self.ask_record()
        self.held += 1
        clear = self.clear
        if not clear and self.may_run is Safe.NO:
            self._ask(Need.MAY_RUN)
        self._settled()
        return clear

    @property
    def clear(self) -> bool:
        """Whether the first byte of a send may go out."""
        return self.repeatable or not self.kept or self.may_run is Safe.YES

    def go(self) -> None:
        """A decided send goes out.  Raises `IllegalStepError` where "may run" is not safe."""
        if not self.held:
            raise IllegalStepError("a send that was not decided")
        if not self.clear:
            raise IllegalStepError('a send before "may run" is safe')
        if self.final:
            raise IllegalStepError("a send after the final answer")
        self.held, self.out, self.sends = self.held - 1, self.out + 1, self.sends + 1
        self._settled()

    def drop(self) -> None:
        """A held send was given up: nothing of it was written to a worker."""
        if not self.held:
            raise IllegalStepError("nothing is held")
        self.held -= 1
        self._settled()

    def back(self) -> None:
        """A send has ended, however."""
        if not self.out:
            raise IllegalStepError("no send is out")
        self.out -= 1
        self._settled()

    def lasts(self, moved: bool = False) -> None:
        """Its client goes on with the id, so from here on it is kept; what may have run is written, too.  `moved`: what
        was kept of it is written anew, elsewhere."""
        if self.final:
            raise IllegalStepError("it has its final answer")
        self.owed = True
        if self.kept and not moved:
            return
        self.kept = True
        self.record = self.may_run = Safe.NO
        self.ask_record()
        if (self.sends or self.out or self.held) and not self.repeatable:
            self._ask(Need.MAY_RUN)

    def let_go(self) -> None:
        """Another dispatcher goes on with it: nothing more is written, answered or shown here."""
        self._needs.clear()
        self.stage = Stage.SHOWN

    def finish(self) -> bool:
        """The one final answer is decided; True if it may be shown at once, else `end` is asked for."""
        if self.final:
            raise IllegalStepError("a second final answer")
        self._to(Stage.FINAL)
        if self.record in (Safe.NO, Safe.FAILED):
            return True  # nothing of it was promised to last
        self._ask(Need.END)
        return False

    def show(self, late: bool = False) -> None:
        """The final answer is shown.  One that was promised to last must be safe; whoever waits on a connection was
        promised none, so it may be shown when its journal failed, or is late (`late`)."""
        if self.stage is not Stage.FINAL:
            raise IllegalStepError(f"nothing to show while {self.stage.value}")
        open_ = self.end is Safe.YES or self.record in (Safe.NO, Safe.FAILED)
        if not open_ and (self.owed or not (late or self.end is Safe.FAILED)):
            raise IllegalStepError("an answer before it is safe")
        self._to(Stage.SHOWN)

    def forget(self) -> None:
        """Nothing of it is out any more.  Raises `IllegalStepError` where something is, or nothing was shown."""
        if self.out or self.held:
            raise IllegalStepError("a send is out")
        self._to(Stage.FORGOTTEN)
