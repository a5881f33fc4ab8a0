"""A journal of which this process is the primary, as the gateway writes to it."""

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

    `lease_token` finds the token under which this process holds a journal's lease at this instant.
    """

    def __init__(self, lease_token: Callable[[str], FencingToken | None], primary: Primary) -> None:
        self._lease_token, self.primary, self.journal_id = lease_token, primary, primary.journal_id
        self.recovered = False  # the gateway has all activations of the journal
        self.note_number = 0  # of the last in-sync set that was submitted to the lease
        self.token = NO_TOKEN  # under which the lease was acquired last
        self.next_probe_at = 0.0  # when replicas may be asked again whether there is another primary

    def is_accepting(self) -> bool:
        """Whether a new deferred call can be accepted."""
        return self.recovered and self.primary.accepts_requests() and self.is_primary(now_ms())

    def is_primary(self, now: float) -> bool:
        """Whether this dispatcher is the journal's primary at this instant; checks the lease."""
        return (
            self.primary.ready
            and not self.primary.fenced_by
            and self._lease_token(self.journal_id) == self.primary.token
        )

    def write(self, entry: Entry, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        """Append an entry; `waiter` is called once it is committed.  `keep` has no effect here.

        For an accepted call it gets False if the journal is under-replicated, for other entries always True.
        """
        data = encode_entry(entry).data
        if isinstance(entry, Ended) and len(data) > self.primary.settings.max_entry_bytes:
            data = encode_entry(msgspec.structs.replace(entry, result=RESULT_TOO_LARGE)).data
        accepted = isinstance(entry, Accepted)
        age_ms = max(0.0, wall_ms() - entry.start) if isinstance(entry, Accepted) else 0.0
        on_commit = waiter if accepted or waiter is None else (lambda _fully_replicated: waiter(True))
        self.primary.append([ReplicaEntry(entry.id, KINDS[type(entry)], age_ms, data)], on_commit)

    def forget(self, id_: str) -> None:
        """Delete the entries of an activation whose record is no longer kept."""
        self.primary.append((), None, (id_,))
