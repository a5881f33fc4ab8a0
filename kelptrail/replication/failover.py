"""Failure detection for the journals replicated here: decides when to become their primary; free of I/O."""

from __future__ import annotations

from typing import NamedTuple

MIN_BACKOFF_MS, MAX_BACKOFF_MS = 2000.0, 60_000.0  # after a journal was rejected or released; doubles
APPEND_SILENCE_MS = 2500.0  # several digest checks of a primary


class ClaimBackoff(NamedTuple):
    """A pause in which a journal is not claimed: its end and its length, ms."""

    ends_at: float
    length_ms: float


class FailoverMonitor:
    """When each dispatcher and each stream was last heard, by this process's clock; its start counts as such."""

    def __init__(self, name: str, failover_after_ms: float, now: float) -> None:
        self._name, self._failover_after_ms, self._start = name, failover_after_ms, now
        self._last_heard: dict[str, float] = {}
        self._last_append: dict[str, float] = {}  # last message of the primary, by journal
        self._backoffs: dict[str, ClaimBackoff] = {}  # by journal
        self._last_tick = now
        self.claims: set[str] = set()

    def on_tick(self, now: float, interval_ms: float) -> None:
        """Called every `interval_ms`.  The delay of a late call is added to all times.

        Prevents a process that was suspended from treating all others as lost when it resumes.
        """
        late = now - self._last_tick - 2 * interval_ms
        if late > interval_ms:
            self._start += late
            self._last_heard = {name: when + late for name, when in self._last_heard.items()}
            self._last_append = {journal_id: when + late for journal_id, when in self._last_append.items()}
        self._last_tick = now

    def on_heard(self, name: str, when: float) -> None:
        """A message of a dispatcher arrived at `when`."""
        self._last_heard[name] = max(when, self._last_heard.get(name, self._start))

    def on_append(self, journal_id: str, now: float) -> None:
        """The primary of a journal has sent an append or a digest check, which it does continuously."""
        self._last_append[journal_id] = now

    def _append_silence_ms(self, now: float, journal_id: str) -> float:
        return now - self._last_append.get(journal_id, self._start)

    def silent_ms(self, now: float, name: str) -> int:
        """Time since the last message of a dispatcher, ms; 0 for this one."""
        return 0 if name == self._name else round(now - self._last_heard.get(name, self._start))

    def add_claim(self, journal_id: str) -> None:
        """This dispatcher requests the journal's lease from now on."""
        self.claims.add(journal_id)

    def remove_claim(self, journal_id: str) -> None:
        """This dispatcher no longer requests the lease."""
        self.claims.discard(journal_id)

    def back_off(self, now: float, journal_id: str) -> None:
        """Do not claim the journal for a growing time: prevents a loop of acquiring and rejecting it."""
        earlier = self._backoffs.get(journal_id)
        length_ms = MIN_BACKOFF_MS if earlier is None else min(MAX_BACKOFF_MS, 2 * earlier.length_ms)
        self._backoffs[journal_id] = ClaimBackoff(now + length_ms, length_ms)

    def clear_backoff(self, journal_id: str) -> None:
        """The journal may be claimed here again."""
        self._backoffs.pop(journal_id, None)

    def has_claim(self, journal_id: str) -> bool:
        """Whether this dispatcher requests the journal's lease."""
        return journal_id in self.claims

    def should_claim(self, now: float, journal_id: str, primary: str) -> bool:
        """Whether this dispatcher should request the lease of a journal that is replicated here.

        A journal whose last primary was this dispatcher is claimed at once.
        """
        backoff = self._backoffs.get(journal_id)
        if backoff is not None and now < backoff.ends_at:
            return False
        # A primary that is reachable and sends nothing may have released the journal without any replica noticing.
        return (
            primary == self._name
            or self.silent_ms(now, primary) >= self._failover_after_ms
            or self._append_silence_ms(now, journal_id) >= self._failover_after_ms + APPEND_SILENCE_MS
        )

    def primary_returned(self, now: float, journal_id: str, primary: str) -> bool:
        """Whether the primary is heard again and uses its stream before another dispatcher has the lease."""
        return (
            primary != self._name
            and self.silent_ms(now, primary) < self._failover_after_ms / 2
            and self._append_silence_ms(now, journal_id) < self._failover_after_ms
        )
