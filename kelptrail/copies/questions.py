"""Who has an activation, or the call under a client's key: asked of all who can be heard; free of I/O and clocks.

An answer is where it is; or that it may come to be somewhere: whoever holds a book whose owner is silent cannot say yet
what is in it, and whoever does not answer may have it; or that nobody has it, which takes the word of all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

HERE, PENDING, NO = "here", "pending", "no"
Done = Callable[[str | None], None]


@dataclass(slots=True)
class Question:
    """One, while it is open.  `left`: who has not answered; `unsure`: somebody may come to have it."""

    until: float
    left: set[str]
    unsure: bool
    done: list[Done] = field(default_factory=list)


class Questions:
    """All that are open, by what is asked for."""

    def __init__(self, within_ms: float) -> None:
        self._within_ms = within_ms
        self._open: dict[str, Question] = {}

    def ask(self, now: float, what: str, whom: Iterable[str], unsure: bool, done: Done) -> bool:
        """`done` is told where it is; "" where somebody may come to have it; None where nobody has it.  Whether the
        question is to be sent: not where it is open already."""
        question = self._open.get(what)
        if question is not None:
            question.done.append(done)
            return False
        self._open[what] = Question(now + self._within_ms, set(whom), unsure, [done])
        self._look(what)
        return True

    def answered(self, sender: str, what: str, state: str, at: str) -> None:
        """Somebody's answer."""
        question = self._open.get(what)
        if question is None or sender not in question.left:
            return
        question.left.discard(sender)
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
            self._end(what, "" if question.unsure else None)

    def _end(self, what: str, answer: str | None) -> None:
        for done in self._open.pop(what).done:
            done(answer)
