"""The gateway's interface to a journal of which this process is the primary."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kelptrail.clock import now_ms, wall_ms
from kelptrail.lease.messages import NO_TOKEN, FencingToken
from kelptrail.store.activation_journal import KINDS
from kelptrail.store.entries import Accepted, Ended, Entry, encode_entry

from .messages import ReplicaEntry
from .primary import Primary

RESULT_TOO_LARGE = b'{"error":"The result was too large to be held by others, and was lost with its dispatcher."}'


class PrimaryHandle:
    """Implements the gateway's `ReplicatedJournal` on a `Primary`.

    `lease_token` returns the token under which this process holds a journal's lease now, or None.
    """

    def __init__(self, lease_token: Callable[[str], FencingToken | None], primary: Primary) -> None:
        self._lease_token, self.primary, self.journal_id = lease_token, primary, primary.journal_id
        self.recovered = False  # set once the gateway has all activations of the journal
        self.note_number = 0  # number of the note with the last submitted in-sync set
        self.token = NO_TOKEN  # token under which the lease was last acquired
        self.next_probe_at = 0.0  # earliest time of the next query for another primary

    def is_accepting(self) -> bool:
        """Return whether a new deferred call can be accepted."""
        return self.recovered and self.primary.accepts_requests() and self.is_primary(now_ms())

    def is_primary(self, now: float) -> bool:
        """Return whether this dispatcher is the journal's primary and holds its lease now."""
        return (
            self.primary.ready
            and not self.primary.fenced_by
            and self._lease_token(self.journal_id) == self.primary.token
        )

    def write(self, entry: Entry, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        """Append an entry and call `waiter` once it is committed.

        For an accepted call `waiter` gets False if the journal is under-replicated; for other entries it always gets
        True.  `keep` has no effect on a replicated journal.
        """
        data = encode_entry(entry).data
        if isinstance(entry, Ended) and len(data) > self.primary.settings.max_entry_bytes:
            data = encode_entry(msgspec.structs.replace(entry, result=RESULT_TOO_LARGE)).data
        is_accepted = isinstance(entry, Accepted)
        age_ms = max(0.0, wall_ms() - entry.start) if isinstance(entry, Accepted) else 0.0
        on_commit = waiter if is_accepted or waiter is None else (lambda _fully_replicated: waiter(True))
        self.primary.append([ReplicaEntry(entry.id, KINDS[type(entry)], age_ms, data)], on_commit)

    def forget(self, id_: str) -> None:
        """Delete the entries of an activation whose record is no longer kept."""
        self.primary.append((), None, (id_,))
