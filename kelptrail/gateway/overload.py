"""Storms of clients that come again: seen as they start, damped by when each is told to come back; free of I/O.

What one dispatcher sees is enough: who was turned away here and comes again, and whether before the time it was told;
how many come beside the usual, and how many of them the decisions turn away (clients mostly come again elsewhere); how
many the workers complete.  Three signs raise no more than an alarm: many more connects than usual, sends that miss
their copies while workers are cold, and customers within their share who are turned away or late while another is
over its own.  In a storm each one that is turned away is told a time of its own,
so that the sum of the comers fits what is completed beyond what comes new; whoever comes before its time is refused at
the door, at no cost, and told a longer one.  Of a customer that is over its share, repeats are let in by a budget that
follows what is completed, the most useful first, and first tries before them.  All others go on to the decisions: a
rush that they can serve is not damped.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from zlib import crc32


class OverloadStage(Enum):
    """What is going on."""

    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    RECOVERING = "recovering"


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """`damp`: no, nothing but the decisions' own return times.  Shares of repeats among the comers of a window decide
    the stage; `longest_ms` bounds a return time; `most_known` how many turned-away ones are remembered."""

    enabled: bool = True
    window_ms: float = 250.0
    min_samples: int = 20  # comers of a window, below which nothing is concluded
    high_share: float = 0.35
    surge_factor: float = 1.3  # times the usual comers, from which those turned away count as a sign
    low_share: float = 0.15
    min_stage_windows: int = 4  # windows that a stage lasts before it may end
    max_retry_after_ms: float = 12_000.0
    min_retry_share: float = 0.1  # of what is completed: at least so much is left for repeats
    connection_surge_factor: float = 4.0  # times the usual connects, from which they raise an alarm
    cold_share: float = 0.3  # share of cold workers, from which misses raise an alarm
    over_quota_factor: float = 1.25  # times its share of the comers, from which a customer is over it
    harmed_share: float = (
        0.1  # share of the others' calls turned away or late, from which those over theirs are held back
    )
    max_clients: int = 200_000
    forget_after_ms: float = 30_000.0  # past its time, one that has not come is forgotten


@dataclass(slots=True)
class _Turned:
    """One that was told to come back."""

    until: float
    early: int = 0  # how often it came before the time


class OverloadController:
    """One dispatcher's view.  Times in milliseconds; `seed` spreads return times."""

    def __init__(self, settings: OverloadSettings, seed: int, shares: Mapping[str, float] | None = None) -> None:
        """`shares`: of each customer, what it may ask for beside the others'."""
        self._settings, self._seed, self._draws = settings, seed, 0
        whole = sum((shares or {}).values()) or 1.0
        self._shares = {name: share / whole for name, share in (shares or {}).items()}
        self._by_space, self._rates = dict[str, int](), dict[str, float]()  # comers of this window, on the average
        self._overs = set[str]()  # those over their share
        self._others = self._hurt = 0  # calls of customers within their share, and those turned away or late
        self.admitted_share = 1.0  # of what comes from those over their share
        self._room = 0.0  # of the budget for repeats of those over their share
        self._connects = self._misses = self._answers = 0
        self.baseline_connections = 0.0  # a window, while it is calm
        self.cold_share = 0.0  # of the workers; kept by whoever knows them
        self.alarm = 0.0  # how strong the early signs are, on the recent average
        self.held_back = 0  # repeats of customers over their share that found no room
        self.stage = OverloadStage.CALM
        self._since = 0  # windows in this stage
        self._known: OrderedDict[str, _Turned] = OrderedDict()
        self._window = 0.0
        self._comers = self._repeats = self._done = self._turns = 0
        self.baseline_per_s = 0.0  # comers while it is calm, on a slow average
        self.first_tries_per_s = self.completed_per_s = 0.0  # on the recent average
        self.retry_share = 0.0  # of repeats among the comers, on the recent average
        self._slot = 0.0  # until when return times are given out
        self.early_retries = self.delayed = 0
        self.stage_history: list[tuple[float, OverloadStage]] = []

    # Inputs.

    def on_connection(self, now: float) -> None:
        """Somebody connects."""
        self._pass(now)
        self._connects += 1

    def on_attempt_answered(self, now: float, missed: bool) -> None:
        """A send was answered; `missed`: its copy was not there."""
        self._pass(now)
        self._answers += 1
        self._misses += missed

    def on_request(self, now: float, who: str, space: str = "", worth: float = 1.0) -> float | None:
        """Somebody comes, of a customer, for what is worth a share of the most useful.  None: on to the decisions; else
        it is refused at the door and told this return time."""
        self._pass(now)
        self._comers += 1
        self._by_space[space] = self._by_space.get(space, 0) + 1
        over = self._over(space)
        self._others += not over
        known = self._known.get(who)
        if known is None:
            if over and not self._let_in(self.admitted_share):
                self.held_back += 1
                return self._tell(now, who, 0.0)
            self._room -= over  # first tries go before repeats
            return None
        self._repeats += 1
        if not self._settings.enabled or self.stage is OverloadStage.CALM:
            return None
        if now >= known.until - 20:
            if over and not (
                self._let_in(self.admitted_share**2) and (self.stage is not OverloadStage.STORM or self._spend(worth))
            ):
                self.held_back += 1
                return self._tell(now, who, 0.0)
            return None
        self.early_retries += 1
        known.early += 1
        return self._tell(now, who, 0.0)

    def on_rejected(self, now: float, who: str, return_ms: float, space: str = "") -> float:
        """The decisions turn somebody away: the return time that it is told, not below theirs."""
        self._pass(now)
        self._turns += 1
        self._hurt += not self._over(space)
        if self.stage is OverloadStage.CALM or not self._settings.enabled:
            self._keep(who, now + return_ms)
            return return_ms
        return self._tell(now, who, return_ms)

    def on_completed(self, now: float, who: str, space: str = "", late: bool = False) -> None:
        """Somebody has its answer, past its target latency or within."""
        self._pass(now)
        self._done += 1
        self._hurt += late and not self._over(space)
        self._room += 1
        self._known.pop(who, None)

    # Decisions.

    def _over(self, space: str) -> bool:
        """Whether a customer is over its share.  Guards against one customer's storm that others would feel."""
        return space in self._overs

    def _let_in(self, part: float) -> bool:
        """Whether one of so many is let in, by chance.  Guards against one customer's storm that the others feel: of
        those over their share ever fewer go on to the decisions while the others are turned away or late."""
        if part >= 1 or not self._settings.enabled:
            return True
        self._draws += 1
        return crc32(f"{self._seed} in {self._draws}".encode()) < part * 2**32

    def _spend(self, worth: float) -> bool:
        """Whether the budget has room for one repeat; the less useful only where there is more of it."""
        if self._room < 1 + 0.5 * (1 - worth) * self._most_room():
            return False
        self._room -= 1
        return True

    def _most_room(self) -> float:
        return max(1.0, self.completed_per_s * self._settings.window_ms / 1000)

    def _tell(self, now: float, who: str, least: float) -> float:
        """A time of its own: the next place in a row that goes at the pace of what can be taken beyond new calls;
        longer, but never out of bounds, for those who come early again and again.  Guards against everybody's coming
        at one moment, and against the pace of the heedless."""
        self.delayed += 1
        known = self._known.get(who)
        spare = max(
            self.completed_per_s - self.first_tries_per_s, self._settings.min_retry_share * self.completed_per_s, 1.0
        )
        if known is None or now >= known.until - 20:  # whoever comes early keeps its place in the row
            self._slot = max(self._slot, now) + 1000 / spare
            wait = self._slot - now
        else:
            wait = known.until - now
        wait *= 1 + min(3, known.early) / 2 if known is not None else 1.0
        self._draws += 1
        spread = 0.75 + 0.25 * crc32(f"{self._seed} back {self._draws}".encode()) / 2**32  # also past the bound
        wait = max(least, min(self._settings.max_retry_after_ms, wait) * spread)
        self._slot = min(self._slot, now + self._settings.max_retry_after_ms)
        self._keep(who, now + wait)
        return wait

    def _keep(self, who: str, until: float) -> None:
        known = self._known.pop(who, None)
        if known is None:
            known = _Turned(until)
        known.until = until
        self._known[who] = known
        while len(self._known) > self._settings.max_clients:
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
        self.first_tries_per_s += 0.1 * (fresh - self.first_tries_per_s)
        self.completed_per_s += 0.1 * (self._done / seconds - self.completed_per_s)
        if self.stage is OverloadStage.CALM and not self._turns:
            self.baseline_per_s += (0.02 if self.baseline_per_s else 1.0) * (comers / seconds - self.baseline_per_s)
        sign = 0.0
        if comers >= settings.min_samples:
            sign = repeats / comers
            if comers / seconds > settings.surge_factor * self.baseline_per_s:
                sign = max(sign, self._turns / comers)
        self.retry_share += 0.5 * (sign - self.retry_share)
        harmed = self._hurt > settings.harmed_share * max(self._others, settings.min_samples)
        self.alarm += 0.5 * (max(self._signs(), float(bool(self._overs) and harmed)) - self.alarm)
        for space in set(self._rates) | set(self._by_space):
            before = self._rates.get(space, 0.0)
            self._rates[space] = before + 0.2 * (self._by_space.get(space, 0) - before)
        whole = sum(self._rates.values())
        self._overs = {
            space
            for space, rate in self._rates.items()
            if rate > settings.over_quota_factor * self._shares.get(space, 1.0) * whole
        }
        if self._overs and harmed:
            self.admitted_share = max(0.05, 0.85 * self.admitted_share)
        else:
            self.admitted_share = min(1.0, self.admitted_share + (0.08 if self.stage is OverloadStage.CALM else 0.01))
        self._others = self._hurt = 0
        most = self._most_room()
        self._room = max(-most, min(most, self._room))
        self._comers = self._repeats = self._done = self._turns = 0
        self._connects = self._misses = self._answers = 0
        self._by_space.clear()
        self._since += 1
        while self._known:
            who, oldest = next(iter(self._known.items()))
            if self._window < oldest.until + settings.forget_after_ms:
                break
            del self._known[who]
        high, low, ripe = (
            self.retry_share >= settings.high_share,
            self.retry_share <= settings.low_share,
            self._since >= settings.min_stage_windows,
        )
        alarmed = self.alarm >= settings.high_share
        if self.stage is OverloadStage.CALM:
            if high or alarmed:
                self._to(OverloadStage.RISING)
        elif self.stage is OverloadStage.RISING:
            if high and ripe:
                self._to(OverloadStage.STORM)
            elif not high and not alarmed and ripe:
                self._to(OverloadStage.CALM)
        elif self.stage is OverloadStage.STORM:
            if low and ripe:
                self._to(OverloadStage.RECOVERING)
        elif high:
            self._to(OverloadStage.STORM)
        elif low and self._since >= 2 * settings.min_stage_windows:
            self._to(OverloadStage.CALM)
            self._slot = 0.0

    def _signs(self) -> float:
        """The early signs of the window, from 0 to 1: connects beyond the usual, and misses while workers are cold."""
        settings, sign = self._settings, 0.0
        if (
            self._connects >= settings.min_samples
            and self.baseline_connections
            and (self._connects > settings.connection_surge_factor * self.baseline_connections)
        ):
            sign = 1 - self.baseline_connections / self._connects
        if self._answers >= settings.min_samples and self.cold_share >= settings.cold_share:
            sign = max(sign, self._misses / self._answers)
        if self.stage is OverloadStage.CALM:
            self.baseline_connections += (0.02 if self.baseline_connections else 1.0) * (
                self._connects - self.baseline_connections
            )
        return sign

    def _to(self, stage: OverloadStage) -> None:
        self.stage, self._since = stage, 0
        self.stage_history.append((self._window, stage))
        del self.stage_history[:-100]

    def status(self) -> dict[str, object]:
        """What operators are shown."""
        return {
            "stage": self.stage.value,
            "repeats": round(self.retry_share, 3),
            "fresh_per_s": round(self.first_tries_per_s, 1),
            "done_per_s": round(self.completed_per_s, 1),
            "told_to_return": self.delayed,
            "came_early": self.early_retries,
            "known": len(self._known),
            "alarm": round(self.alarm, 3),
            "held_back": self.held_back,
            "over_share": sorted(self._overs),
            "allowed_of_those": round(self.admitted_share, 3),
        }
