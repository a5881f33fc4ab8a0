"""Storms of clients that come again: seen as they start, damped by when each is told to come back; free of I/O.

What one dispatcher sees is enough: who was turned away here and comes again, and whether before the time it was told;
how many come beside the usual, and how many of them the decisions turn away (clients mostly come again elsewhere); how
many the workers complete.  In a storm each one that is turned away is told a time of its own, so that the sum of the
comers fits what is completed beyond what comes new; whoever comes before its time is refused at the door, at no cost,
and told a longer one.  All others go on to the decisions: a rush that they can serve is not damped.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from zlib import crc32


class Stage(Enum):
    """What is going on."""

    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    RECOVERING = "recovering"


@dataclass(frozen=True, slots=True)
class StormSettings:
    """`damp`: no, nothing but the decisions' own return times.  Shares of repeats among the comers of a window decide
    the stage; `longest_ms` bounds a return time; `most_known` how many turned-away ones are remembered."""

    damp: bool = True
    window_ms: float = 250.0
    least: int = 20  # comers of a window, below which nothing is concluded
    high: float = 0.35
    beyond: float = 1.3  # times the usual comers, from which those turned away count as a sign
    low: float = 0.15
    steady: int = 4  # windows that a stage lasts before it may end
    longest_ms: float = 12_000.0
    spare_share: float = 0.1  # of what is completed: at least so much is left for repeats
    most_known: int = 200_000
    known_ms: float = 30_000.0  # past its time, one that has not come is forgotten


@dataclass(slots=True)
class _Turned:
    """One that was told to come back."""

    until: float
    early: int = 0  # how often it came before the time


class Storm:
    """One dispatcher's view.  Times in milliseconds; `seed` spreads return times."""

    def __init__(self, settings: StormSettings, seed: int) -> None:
        self._settings, self._seed, self._draws = settings, seed, 0
        self.stage = Stage.CALM
        self._since = 0  # windows in this stage
        self._known: OrderedDict[str, _Turned] = OrderedDict()
        self._window = 0.0
        self._comers = self._repeats = self._done = self._turns = 0
        self.usual_per_s = 0.0  # comers while it is calm, on a slow average
        self.fresh_per_s = self.done_per_s = 0.0  # on the recent average
        self.share = 0.0  # of repeats among the comers, on the recent average
        self._slot = 0.0  # until when return times are given out
        self.early = self.turned = 0
        self.stages: list[tuple[float, Stage]] = []

    # Inputs.

    def came(self, now: float, who: str) -> float | None:
        """Somebody comes.  None: on to the decisions; else it is refused at the door and told this return time."""
        self._pass(now)
        self._comers += 1
        known = self._known.get(who)
        if known is None:
            return None
        self._repeats += 1
        if now >= known.until - 20 or not self._settings.damp or self.stage is Stage.CALM:
            return None
        self.early += 1
        known.early += 1
        return self._tell(now, who, 0.0)

    def turn(self, now: float, who: str, return_ms: float) -> float:
        """The decisions turn somebody away: the return time that it is told, not below theirs."""
        self._pass(now)
        self._turns += 1
        if self.stage is Stage.CALM or not self._settings.damp:
            self._keep(who, now + return_ms)
            return return_ms
        return self._tell(now, who, return_ms)

    def completed(self, now: float, who: str) -> None:
        """Somebody has its answer."""
        self._pass(now)
        self._done += 1
        self._known.pop(who, None)

    # Decisions.

    def _tell(self, now: float, who: str, least: float) -> float:
        """A time of its own: the next place in a row that goes at the pace of what can be taken beyond new calls;
        longer, but never out of bounds, for those who come early again and again.  Guards against everybody's coming
        at one moment, and against the pace of the heedless."""
        self.turned += 1
        known = self._known.get(who)
        spare = max(self.done_per_s - self.fresh_per_s, self._settings.spare_share * self.done_per_s, 1.0)
        if known is None or now >= known.until - 20:  # whoever comes early keeps its place in the row
            self._slot = max(self._slot, now) + 1000 / spare
            wait = self._slot - now
        else:
            wait = known.until - now
        wait *= 1 + min(3, known.early) / 2 if known is not None else 1.0
        self._draws += 1
        spread = 0.75 + 0.25 * crc32(f"{self._seed} back {self._draws}".encode()) / 2**32  # also past the bound
        wait = max(least, min(self._settings.longest_ms, wait) * spread)
        self._slot = min(self._slot, now + self._settings.longest_ms)
        self._keep(who, now + wait)
        return wait

    def _keep(self, who: str, until: float) -> None:
        known = self._known.pop(who, None)
        if known is None:
            known = _Turned(until)
        known.until = until
        self._known[who] = known
        while len(self._known) > self._settings.most_known:
            self._known.popitem(last=False)

    # What is going on.

    def _pass(self, now: float) -> None:
        """Close the windows that have passed."""
        window = self._settings.window_ms
        if now < self._window + window:
            return
        if now > self._window + 40 * window:  # long quiet: nothing is known of it
            self._window = now - window
        while now >= self._window + window:
            self._window += window
            self._close()

    def _close(self) -> None:
        settings, comers, repeats = self._settings, self._comers, self._repeats
        seconds = settings.window_ms / 1000
        fresh = (comers - repeats) / seconds
        self.fresh_per_s += 0.1 * (fresh - self.fresh_per_s)
        self.done_per_s += 0.1 * (self._done / seconds - self.done_per_s)
        if self.stage is Stage.CALM and not self._turns:
            self.usual_per_s += (0.02 if self.usual_per_s else 1.0) * (comers / seconds - self.usual_per_s)
        sign = 0.0
        if comers >= settings.least:
            sign = repeats / comers
            if comers / seconds > settings.beyond * self.usual_per_s:
                sign = max(sign, self._turns / comers)
        self.share += 0.5 * (sign - self.share)
        self._comers = self._repeats = self._done = self._turns = 0
        self._since += 1
        while self._known:
            who, oldest = next(iter(self._known.items()))
            if self._window < oldest.until + settings.known_ms:
                break
            del self._known[who]
        high, low, ripe = self.share >= settings.high, self.share <= settings.low, self._since >= settings.steady
        if self.stage is Stage.CALM:
            if high:
                self._to(Stage.RISING)
        elif self.stage is Stage.RISING:
            if high and ripe:
                self._to(Stage.STORM)
            elif not high and ripe:
                self._to(Stage.CALM)
        elif self.stage is Stage.STORM:
            if low and ripe:
                self._to(Stage.RECOVERING)
        elif high:
            self._to(Stage.STORM)
        elif low and self._since >= 2 * settings.steady:
            self._to(Stage.CALM)
            self._slot = 0.0

    def _to(self, stage: Stage) -> None:
        self.stage, self._since = stage, 0
        self.stages.append((self._window, stage))
        del self.stages[:-100]

    def status(self) -> dict[str, object]:
        """What operators are shown."""
        return {"stage": self.stage.value, "repeats": round(self.share, 3), "fresh_per_s": round(self.fresh_per_s, 1),
                "done_per_s": round(self.done_per_s, 1), "told_to_return": self.turned, "came_early": self.early,
                "known": len(self._known)}
