"""Locates activations and idempotency keys across dispatchers, and replies to the lookups of other dispatchers."""

from __future__ import annotations

from collections.abc import Callable

from kelptrail.clock import now_ms

from .context import ReplicationContext
from .journal_manager import JournalManager
from .lookup import LookupService, LookupState
from .messages import Lookup, LookupReply
from .replica_placement import Member

LOOKUP_TIMEOUT_MS = 300.0
KEY_TARGET_PREFIX = "key:"


class ActivationLocator:
    """Lookups of one dispatcher.

    `members` returns the known dispatchers.  `address` is the address at which this dispatcher serves its activations.
    """

    def __init__(
        self, context: ReplicationContext, journals: JournalManager, members: Callable[[], list[Member]]
    ) -> None:
        self._context, self._journals, self._members = context, journals, members
        self._lookups = LookupService(context.leases.client.client_id, LOOKUP_TIMEOUT_MS)
        self.address = ""

    def find(self, target: str, on_result: Callable[[str | None], None]) -> None:
        """Look up an activation id or an idempotency key in the form of `messages.Lookup.target`.

        `on_result` gets the address of the dispatcher that has it, "" if it may exist, or None if no dispatcher has it.
        """
        if self._lookups.join(target, on_result):
            return
        connected = self._context.peers.ms_since_received().keys()
        # An unreachable dispatcher may have the activation, so the lookup of an activation id is then inconclusive.  A
        # key is only in journals: the replicas of its journal report the unreachable primary, whose reply is missing.
        unreachable = not target.startswith(KEY_TARGET_PREFIX) and any(
            member.name not in connected and member.name != self._context.name for member in self._members()
        )
        # Peers that do not support the message are not queried: they have no journals of other dispatchers.
        queried = [name for name in connected if self._context.peers.send(name, Lookup(target))]
        inconclusive = unreachable or self._may_appear(target)
        self._lookups.start(now_ms(), target, queried, self._primaries_of(target), inconclusive, on_result)

    def tick(self, now: float) -> None:
        """Finish the lookups that have timed out."""
        self._lookups.tick(now)

    def on_lookup(self, sender: str, message: Lookup) -> None:
        """Reply to a lookup of another dispatcher."""
        target, responder = message.target, self._context.leases.client.client_id
        if self._context.hooks.has_activation(target):
            reply = LookupReply(target, LookupState.HERE, responder, self.address)
        else:
            state = LookupState.PENDING if self._may_appear(target) else LookupState.NO
            reply = LookupReply(target, state, responder, primaries=self._primaries_of(target))
        self._context.peers.send(sender, reply)

    def on_reply(self, sender: str, message: LookupReply) -> None:
        """Handle a reply to a lookup of this dispatcher."""
        self._lookups.on_reply(
            sender, message.target, message.state, message.address, message.responder, message.primaries
        )

    def _candidates(self, target: str) -> list[str]:
        """Return the journals stored here that may contain the target.

        A key may be in any journal, an activation id only in those of the dispatcher that issued it.
        """
        return [
            journal_id
            for journal_id, log in self._context.replica.logs.items()
            if log.primary
            if target.startswith(KEY_TARGET_PREFIX)
            or self._context.hooks.is_issued_by(journal_id.rpartition(".")[0], target)
        ]

    def _may_appear(self, target: str) -> bool:
        """Return whether the target may be in a journal for which a negative reply of this run is not conclusive.

        Such a journal is not recovered here yet, or this dispatcher was its last primary and has not acquired it again,
        or it was released and no primary has sent a message about it since.
        """
        journals, logs = self._journals.handles, self._context.replica.logs
        return any(
            not journals[journal_id].recovered
            if journal_id in journals
            else logs[journal_id].primary == self._context.name or journal_id in self._journals.released
            for journal_id in self._candidates(target)
        )

    def _primaries_of(self, target: str) -> tuple[str, ...]:
        """Return name and run of the primaries of journals that are replicated here and may contain the target."""
        return tuple(
            sorted(
                {
                    self._journals.reported_primary.get(journal_id)
                    or self._context.replica.logs[journal_id].token.client_id
                    for journal_id in self._candidates(target)
                    if journal_id not in self._journals.handles
                }
            )
        )
