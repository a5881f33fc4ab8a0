"""Failure detection for the journals replicated here: decides when to become their primary; free of I/O."""

from __future__ import annotations

from typing import NamedTuple

# Pause before a rejected or released journal is claimed again; it doubles each time.
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 2000.0, 60_000.0
# Added to the failover time if the primary is reachable; long enough for several of its digest checks.
APPEND_SILENCE_MS = 2500.0


class ClaimBackoff(NamedTuple):
    """A pause in which a journal is not claimed.  Times are milliseconds."""

    ends_at: float
    length_ms: float


class FailoverMonitor:
    """Records when each dispatcher and each journal's primary last sent a message, and decides when to claim a journal.

    Times are milliseconds of this process's clock.  Before the first message of a dispatcher or a primary, the start of
    this process counts as the time of its last one.
    """

    def __init__(self, name: str, failover_after_ms: float, now: float) -> None:
        self._name, self._failover_after_ms, self._start = name, failover_after_ms, now
        self._last_message_at: dict[str, float] = {}
        self._last_append_at: dict[str, float] = {}  # by journal; last message about the journal from its primary
        self._backoffs: dict[str, ClaimBackoff] = {}  # by journal
        self._last_tick = now
        self.claims: set[str] = set()

    def on_tick(self, now: float, interval_ms: float) -> None:
        """Shift the times of the last messages forward if the last call was more than `3 * interval_ms` ago.

        Calls are expected every `interval_ms`.  The shift prevents a process that was suspended from treating all other
        dispatchers as lost when it resumes.
        """
        late = now - self._last_tick - 2 * interval_ms
        if late > interval_ms:
            self._start += late
            self._last_message_at = {name: at + late for name, at in self._last_message_at.items()}
            self._last_append_at = {journal_id: at + late for journal_id, at in self._last_append_at.items()}
        self._last_tick = now

    def on_message(self, name: str, received_at: float) -> None:
        """Record that a message of a dispatcher arrived at `received_at`."""
        self._last_message_at[name] = max(received_at, self._last_message_at.get(name, self._start))

    def on_append(self, journal_id: str, now: float) -> None:
        """Record a message about the journal from its primary.

        An active primary sends appends and digest checks continuously; the opening or closing of a stream counts too.
        """
        self._last_append_at[journal_id] = now

    def _append_silence_ms(self, now: float, journal_id: str) -> float:
        return now - self._last_append_at.get(journal_id, self._start)

    def silent_ms(self, now: float, name: str) -> int:
        """Return the time since the last message of a dispatcher in ms; 0 for this dispatcher."""
        return 0 if name == self._name else round(now - self._last_message_at.get(name, self._start))

    def add_claim(self, journal_id: str) -> None:
        """Record that this dispatcher requests the journal's lease."""
        self.claims.add(journal_id)

    def remove_claim(self, journal_id: str) -> None:
        """Record that this dispatcher no longer requests the journal's lease."""
        self.claims.discard(journal_id)

    def back_off(self, now: float, journal_id: str) -> None:
        """Pause claims of the journal, each time for longer, to prevent a loop of acquiring and rejecting it."""
        earlier = self._backoffs.get(journal_id)
        length_ms = MIN_BACKOFF_MS if earlier is None else min(MAX_BACKOFF_MS, 2 * earlier.length_ms)
        self._backoffs[journal_id] = ClaimBackoff(now + length_ms, length_ms)

    def clear_backoff(self, journal_id: str) -> None:
        """Allow claims of the journal again."""
        self._backoffs.pop(journal_id, None)

    def has_claim(self, journal_id: str) -> bool:
        """Return whether this dispatcher requests the journal's lease."""
        return journal_id in self.claims

    def should_claim(self, now: float, journal_id: str, primary: str) -> bool:
        """Return whether this dispatcher should request the lease of a journal that is replicated here.

        No journal is claimed during its pause.  Otherwise one whose last primary was this dispatcher is claimed at
        once, and any other when its primary is silent or no longer sends messages about it.
        """
        backoff = self._backoffs.get(journal_id)
        if backoff is not None and now < backoff.ends_at:
            return False
        # A reachable primary that sends no appends may have released the journal without notifying any replica.
        return (
            primary == self._name
            or self.silent_ms(now, primary) >= self._failover_after_ms
            or self._append_silence_ms(now, journal_id) >= self._failover_after_ms + APPEND_SILENCE_MS
        )

    def primary_returned(self, now: float, journal_id: str, primary: str) -> bool:
        """Return whether messages and appends of the primary arrive again, so that the claim can be withdrawn."""
        return (
            primary != self._name
            and self.silent_ms(now, primary) < self._failover_after_ms / 2
            and self._append_silence_ms(now, journal_id) < self._failover_after_ms
        )
