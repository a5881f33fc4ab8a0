"""Which books of others a holder wants to own: those whose owner has not been heard for a stated time; free of I/O."""

from __future__ import annotations

MIN_BACKOFF_MS, MAX_BACKOFF_MS = 2000.0, 60_000.0  # after a book was refused or let go, twice as long each time
APPEND_SILENCE_MS = 2500.0  # some looks of an owner at a holder's disk


class FailoverMonitor:
    """Who was heard when, by this process's clock; all count as heard at its start."""

    def __init__(self, name: str, failover_after_ms: float, now: float) -> None:
        self._name, self._failover_after_ms, self._start = name, failover_after_ms, now
        self._last_heard: dict[str, float] = {}
        self._last_append: dict[str, float] = {}  # when an owner last wrote to a book
        self._backoffs: dict[str, tuple[float, float]] = {}  # until when, and for how long that was
        self._last_tick = now
        self.claims: set[str] = set()

    def on_tick(self, now: float, interval_ms: float) -> None:
        """A look at what is due, one each `every_ms`.  One that comes late counts as if it were in time: guards against
        a process that was stopped, and takes all others for lost when it goes on."""
        late = now - self._last_tick - 2 * interval_ms
        if late > interval_ms:
            self._start += late
            self._last_heard = {name: when + late for name, when in self._last_heard.items()}
            self._last_append = {journal_id: when + late for journal_id, when in self._last_append.items()}
        self._last_tick = now

    def on_heard(self, name: str, when: float) -> None:
        """A dispatcher was heard then."""
        self._last_heard[name] = max(when, self._last_heard.get(name, self._start))

    def on_append(self, journal_id: str, now: float) -> None:
        """Its owner has written to a book that is held here, or looked at it, as owners do all the time."""
        self._last_append[journal_id] = now

    def _append_silence_ms(self, now: float, journal_id: str) -> float:
        return now - self._last_append.get(journal_id, self._start)

    def silent_ms(self, now: float, name: str) -> int:
        """For how long one was not heard, ms."""
        return 0 if name == self._name else round(now - self._last_heard.get(name, self._start))

    def add_claim(self, journal_id: str) -> None:
        """The book's lease is asked for from now on."""
        self.claims.add(journal_id)

    def remove_claim(self, journal_id: str) -> None:
        """It is not, any more."""
        self.claims.discard(journal_id)

    def back_off(self, now: float, journal_id: str) -> None:
        """Not again for a while: guards against a book that is refused and won in turn."""
        _, before = self._backoffs.get(journal_id, (0.0, MIN_BACKOFF_MS / 2))
        pause = min(MAX_BACKOFF_MS, 2 * before)
        self._backoffs[journal_id] = now + pause, pause

    def clear_backoff(self, journal_id: str) -> None:
        """It may be had here."""
        self._backoffs.pop(journal_id, None)

    def has_claim(self, journal_id: str) -> bool:
        """Whether its lease is asked for."""
        return journal_id in self.claims

    def should_claim(self, now: float, journal_id: str, primary: str) -> bool:
        """Whether a book that is held here should be owned here.  One whose last owner was this dispatcher is asked for
        at once."""
        if now < self._backoffs.get(journal_id, (0.0, 0.0))[0]:
            return False
        # An owner that is heard and does not look at its book may have let it go, and nobody else may know.
        return (
            primary == self._name
            or self.silent_ms(now, primary) >= self._failover_after_ms
            or self._append_silence_ms(now, journal_id) >= self._failover_after_ms + APPEND_SILENCE_MS
        )

    def primary_returned(self, now: float, journal_id: str, primary: str) -> bool:
        """Whether its owner is heard again, and looks at it, before anybody else has it."""
        return (
            primary != self._name
            and self.silent_ms(now, primary) < self._failover_after_ms / 2
            and self._append_silence_ms(now, journal_id) < self._failover_after_ms
        )
