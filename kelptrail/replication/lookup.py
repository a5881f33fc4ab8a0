"""Finds the dispatcher that has an activation or an idempotency key by querying all reachable ones; free of I/O.

The result is an address, "may exist" or "does not exist".  "Does not exist" requires a negative reply from every
dispatcher that was queried, and from the primary of every journal that may contain the target, as reported by the
journal's replicas: an unreachable dispatcher may have the target, and so may the next primary of its journal.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum


class LookupState(StrEnum):
    """State of a target at the dispatcher that replies; the values are sent in messages."""

    HERE = "here"
    PENDING = "pending"  # the target may appear there after a recovery
    NO = "no"


LookupCallback = Callable[[str | None], None]


@dataclass(slots=True)
class PendingLookup:
    """A lookup in progress.

    `awaiting` contains the dispatchers that have not replied.  `inconclusive` is set if the target may appear later,
    or if a dispatcher that may have it could not be queried.
    `primaries` and `responders` are names and runs; "does not exist" requires a reply of each primary.
    """

    deadline: float
    awaiting: set[str]
    inconclusive: bool
    primaries: set[str]
    responders: set[str] = field(default_factory=set)
    on_result: list[LookupCallback] = field(default_factory=list)


class LookupService:
    """All lookups in progress, by target.

    `own_responder` is name and run of this dispatcher.  A callback gets the result: an address, "" if the target may
    exist, or None if it does not exist.
    """

    def __init__(self, own_responder: str, timeout_ms: float) -> None:
        self._own_responder, self._timeout_ms = own_responder, timeout_ms
        self._pending: dict[str, PendingLookup] = {}

    def join(self, target: str, on_result: LookupCallback) -> bool:
        """Add a callback to the lookup of this target; return False if none is in progress."""
        lookup = self._pending.get(target)
        if lookup is not None:
            lookup.on_result.append(on_result)
        return lookup is not None

    def start(
        self,
        now: float,
        target: str,
        queried: Iterable[str],
        primaries: Iterable[str],
        inconclusive: bool,
        on_result: LookupCallback,
    ) -> None:
        """Start a lookup that was sent to the dispatchers `queried`; if there are none, it finishes at once."""
        self._pending[target] = PendingLookup(
            now + self._timeout_ms, set(queried), inconclusive, set(primaries), on_result=[on_result]
        )
        self._check(target)

    def on_reply(
        self, sender: str, target: str, state: str, address: str, responder: str, primaries: Iterable[str]
    ) -> None:
        """Handle a reply.

        `responder` and `primaries` are name and run, because a new run does not have what an earlier run had.
        """
        lookup = self._pending.get(target)
        if lookup is None or sender not in lookup.awaiting:
            return
        lookup.awaiting.discard(sender)
        lookup.responders.add(responder)
        lookup.primaries |= set(primaries)
        lookup.inconclusive = lookup.inconclusive or state == LookupState.PENDING
        if state == LookupState.HERE and address:
            self._finish(target, address)
        else:
            self._check(target)

    def tick(self, now: float) -> None:
        """Finish lookups that have timed out, as "may exist": a dispatcher that has not replied may have the target."""
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
