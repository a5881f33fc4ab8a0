"""Who has an activation, or the call under a client's key: asked of all who can be heard; free of I/O and clocks.

An answer is where it is; or that it may come to be somewhere; or that nobody has it.  The last takes the word of all
that were asked, and of all who own a book that may have it, as its holders say: one that cannot be heard may have it,
and so may whoever takes up its book later.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

HERE, PENDING, NO = "here", "pending", "no"
Done = Callable[[str | None], None]


@dataclass(slots=True)
class PendingLookup:
    """One, while it is open.  `left`: who has not answered; `unsure`: somebody may come to have it."""

    until: float
    left: set[str]
    unsure: bool
    owners: set[str]  # who must have answered
    said: set[str] = field(default_factory=set)
    done: list[Done] = field(default_factory=list)


class LookupService:
    """All that are open, by what is asked for."""

    def __init__(self, who: str, within_ms: float) -> None:
        self._who, self._within_ms = who, within_ms
        self._open: dict[str, PendingLookup] = {}

    def join(self, what: str, done: Done) -> bool:
        """Whether the question is open already: then `done` is told, too."""
        question = self._open.get(what)
        if question is not None:
            question.done.append(done)
        return question is not None

    def start(
        self, now: float, what: str, whom: Iterable[str], owners: Iterable[str], unsure: bool, done: Done
    ) -> None:
        """It was sent to `whom`.  `done` is told where it is; "" where somebody may come to have it; None where nobody
        has it."""
        self._open[what] = PendingLookup(now + self._within_ms, set(whom), unsure, set(owners), done=[done])
        self._look(what)

    def on_reply(self, sender: str, what: str, state: str, at: str, by: str, owners: Iterable[str]) -> None:
        """Somebody's answer; `by`: name and run, as `owners` are: another run of a name has not what one before had."""
        question = self._open.get(what)
        if question is None or sender not in question.left:
            return
        question.left.discard(sender)
        question.said.add(by)
        question.owners |= set(owners)
        question.unsure = question.unsure or state == PENDING
        if state == HERE and at:
            self._end(what, at)
        else:
            self._look(what)

    def tick(self, now: float) -> None:
        """Whoever has not answered by now may have it."""
        for what, question in list(self._open.items()):
            if now >= question.until:
                self._end(what, "")

    def _look(self, what: str) -> None:
        question = self._open[what]
        if not question.left:
            missing = question.owners - question.said - {self._who}
            self._end(what, "" if question.unsure or missing else None)

    def _end(self, what: str, answer: str | None) -> None:
        for done in self._open.pop(what).done:
            done(answer)
