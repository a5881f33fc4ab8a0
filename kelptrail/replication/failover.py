"""Which books of others a holder wants to own: those whose owner has not been heard for a stated time; free of I/O."""

from __future__ import annotations

SHUN_MS, MOST_SHUN_MS = 2000.0, 60_000.0  # after a book was refused or let go, twice as long each time
QUIET_MS = 2500.0  # some looks of an owner at a holder's disk


class FailoverMonitor:
    """Who was heard when, by this process's clock; all count as heard at its start."""

    def __init__(self, name: str, take_ms: float, now: float) -> None:
        self._name, self._take_ms, self._start = name, take_ms, now
        self._heard: dict[str, float] = {}
        self._put: dict[str, float] = {}  # when an owner last wrote to a book
        self._shunned: dict[str, tuple[float, float]] = {}  # until when, and for how long that was
        self._last = now
        self.claims: set[str] = set()

    def on_tick(self, now: float, every_ms: float) -> None:
        """A look at what is due, one each `every_ms`.  One that comes late counts as if it were in time: guards against
        a process that was stopped, and takes all others for lost when it goes on."""
        late = now - self._last - 2 * every_ms
        if late > every_ms:
            self._start += late
            self._heard = {name: when + late for name, when in self._heard.items()}
            self._put = {book: when + late for book, when in self._put.items()}
        self._last = now

    def on_heard(self, name: str, when: float) -> None:
        """A dispatcher was heard then."""
        self._heard[name] = max(when, self._heard.get(name, self._start))

    def on_append(self, book: str, now: float) -> None:
        """Its owner has written to a book that is held here, or looked at it, as owners do all the time."""
        self._put[book] = now

    def _quiet(self, now: float, book: str) -> float:
        return now - self._put.get(book, self._start)

    def silent_ms(self, now: float, name: str) -> int:
        """For how long one was not heard, ms."""
        return 0 if name == self._name else round(now - self._heard.get(name, self._start))

    def add_claim(self, book: str) -> None:
        """The book's lease is asked for from now on."""
        self.claims.add(book)

    def remove_claim(self, book: str) -> None:
        """It is not, any more."""
        self.claims.discard(book)

    def back_off(self, now: float, book: str) -> None:
        """Not again for a while: guards against a book that is refused and won in turn."""
        _, before = self._shunned.get(book, (0.0, SHUN_MS / 2))
        pause = min(MOST_SHUN_MS, 2 * before)
        self._shunned[book] = now + pause, pause

    def clear_backoff(self, book: str) -> None:
        """It may be had here."""
        self._shunned.pop(book, None)

    def has_claim(self, book: str) -> bool:
        """Whether its lease is asked for."""
        return book in self.claims

    def should_claim(self, now: float, book: str, owner: str) -> bool:
        """Whether a book that is held here should be owned here.  One whose last owner was this dispatcher is asked for
        at once."""
        if now < self._shunned.get(book, (0.0, 0.0))[0]:
            return False
        # An owner that is heard and does not look at its book may have let it go, and nobody else may know.
        return (
            owner == self._name
            or self.silent_ms(now, owner) >= self._take_ms
            or self._quiet(now, book) >= self._take_ms + QUIET_MS
        )

    def primary_returned(self, now: float, book: str, owner: str) -> bool:
        """Whether its owner is heard again, and looks at it, before anybody else has it."""
        return (
            owner != self._name
            and self.silent_ms(now, owner) < self._take_ms / 2
            and self._quiet(now, book) < self._take_ms
        )
