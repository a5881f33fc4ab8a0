"""Who has an activation, or the call under a client's key: asked of all who can be heard; free of I/O and clocks.

An answer is where it is; or that it may come to be somewhere; or that nobody has it.  The last takes the word of all
that were asked, and of all who own a book that may have it, as its holders say: one that cannot be heard may have it,
and so may whoever takes up its book later.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

HERE, PENDING, NO = "here", "pending", "no"
LookupCallback = Callable[[str | None], None]


@dataclass(slots=True)
class PendingLookup:
    """One, while it is open.  `left`: who has not answered; `unsure`: somebody may come to have it."""

    deadline: float
    awaiting: set[str]
    inconclusive: bool
    primaries: set[str]  # who must have answered
    responders: set[str] = field(default_factory=set)
    on_result: list[LookupCallback] = field(default_factory=list)


class LookupService:
    """All that are open, by what is asked for."""

    def __init__(self, own_responder: str, timeout_ms: float) -> None:
        self._own_responder, self._timeout_ms = own_responder, timeout_ms
        self._pending: dict[str, PendingLookup] = {}

    def join(self, target: str, on_result: LookupCallback) -> bool:
        """Whether the question is open already: then `done` is told, too."""
        lookup = self._pending.get(target)
        if lookup is not None:
            lookup.on_result.append(on_result)
        return lookup is not None

    def start(
        self,
        now: float,
        target: str,
        asked: Iterable[str],
        primaries: Iterable[str],
        inconclusive: bool,
        on_result: LookupCallback,
    ) -> None:
        """It was sent to `whom`.  `done` is told where it is; "" where somebody may come to have it; None where nobody
        has it."""
        self._pending[target] = PendingLookup(
            now + self._timeout_ms, set(asked), inconclusive, set(primaries), on_result=[on_result]
        )
        self._check(target)

    def on_reply(
        self, sender: str, target: str, state: str, address: str, responder: str, primaries: Iterable[str]
    ) -> None:
        """Somebody's answer; `by`: name and run, as `owners` are: another run of a name has not what one before had."""
        lookup = self._pending.get(target)
        if lookup is None or sender not in lookup.awaiting:
            return
        lookup.awaiting.discard(sender)
        lookup.responders.add(responder)
        lookup.primaries |= set(primaries)
        lookup.inconclusive = lookup.inconclusive or state == PENDING
        if state == HERE and address:
            self._finish(target, address)
        else:
            self._check(target)

    def tick(self, now: float) -> None:
        """Whoever has not answered by now may have it."""
        for target, lookup in list(self._pending.items()):
            if now >= lookup.deadline:
                self._finish(target, "")

    def _check(self, target: str) -> None:
        lookup = self._pending[target]
        if not lookup.awaiting:
            missing = lookup.primaries - lookup.responders - {self._own_responder}
            self._finish(target, "" if lookup.inconclusive or missing else None)

    def _finish(self, target: str, result: str | None) -> None:
        for on_result in self._pending.pop(target).on_result:
            on_result(result)
