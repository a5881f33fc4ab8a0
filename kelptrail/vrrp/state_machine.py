"""The VRRP state machine of one virtual router, free of I/O (RFC 9568 section 6).

Times in milliseconds and received advertisements go in; advertisements to send, and acquiring or releasing the address,
come out of `outputs`.  Numbers in brackets are the step numbers of section 6.4.  Where the RFC is silent (changed
priorities, a process that slept) the comment says what is done and why.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

from .packet import OWNER_PRIORITY, RELEASE_PRIORITY, Address, Advertisement


class PriorityError(ValueError):
    """A priority outside 1 to 255."""


class State(Enum):
    """Section 6.3.  The RFC's newer text calls Master Active; operators' answers say master."""

    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


@dataclass(frozen=True, slots=True)
class SendAdvertisement:
    """Send this advertisement to the peers."""

    advert: Advertisement


@dataclass(frozen=True, slots=True)
class AcquireAddress:
    """Acquire the addresses: this router is Master from now on (steps 110 to 140, 375 to 395)."""

    vrid: int


@dataclass(frozen=True, slots=True)
class ReleaseAddress:
    """Release the addresses: this router is no longer Master."""

    vrid: int


@dataclass(frozen=True, slots=True)
class StateChange:
    """A transition and why, for the log."""

    vrid: int
    before: State
    after: State
    cause: str
    at: float


Output = SendAdvertisement | AcquireAddress | ReleaseAddress | StateChange


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Parameters of one virtual router (section 6.1)."""

    vrid: int
    priority: int  # 1 to 255; 255: this router owns the addresses
    addresses: tuple[Address, ...]
    interval_cs: int = 100
    preempt: bool = True
    accept: bool = True  # noted: a front that listens on the address accepts for it


class VirtualRouter:
    """One virtual router at one instance; `primary` is the address that its advertisements come from."""

    __slots__ = (
        "_adver_due",
        "_down_due",
        "_last_now",
        "_master_interval_cs",
        "foreign_address_lists",
        "outputs",
        "primary",
        "priority",
        "settings",
        "since",
        "state",
    )

    def __init__(self, settings: RouterSettings, primary: Address) -> None:
        if not 1 <= settings.priority <= OWNER_PRIORITY:
            raise PriorityError(f"priority {settings.priority}; 1 to 255")
        self.settings, self.primary = settings, primary
        self.priority = settings.priority  # lowered by tracking
        self.state = State.INITIALIZE
        self.since = 0.0
        self.outputs: deque[Output] = deque()
        self.foreign_address_lists = 0  # advertisements whose addresses are not ours
        self._master_interval_cs = settings.interval_cs  # Master_Adver_Interval
        self._adver_due: float | None = None
        self._down_due: float | None = None
        self._last_now = float("-inf")  # the latest time passed in

    # Section 6.1, all in milliseconds.

    @property
    def interval_ms(self) -> float:
        """Advertisement_Interval."""
        return self.settings.interval_cs * 10.0

    @property
    def skew_ms(self) -> float:
        """Skew_Time: ((256 - priority) * Master_Adver_Interval) / 256."""
        return (256 - self.priority) * self._master_interval_cs * 10.0 / 256

    @property
    def master_down_ms(self) -> float:
        """Master_Down_Interval: 3 * Master_Adver_Interval + Skew_Time."""
        return 3 * self._master_interval_cs * 10.0 + self.skew_ms

    @property
    def master_interval_cs(self) -> int:
        """Master_Adver_Interval: the interval that the present master advertises."""
        return self._master_interval_cs

    def next_due(self) -> float | None:
        """When `tick` must be called at the latest, or None (Adver_Timer or Master_Down_Timer, section 6.2)."""
        return self._adver_due if self.state is State.MASTER else self._down_due

    def running_timers(self, now: float) -> dict[str, float]:
        """What the running timer has left, in milliseconds (section 6.2)."""
        if self.state is State.MASTER and self._adver_due is not None:
            return {"adver": self._adver_due - now}
        if self.state is State.BACKUP and self._down_due is not None:
            return {"master_down": self._down_due - now}
        return {}

    # Inputs.

    def startup(self, now: float) -> None:
        """The Startup event (section 6.4.1)."""
        now = self._advance(now)
        if self.state is not State.INITIALIZE:
            return
        if self.priority == OWNER_PRIORITY:  # (105)
            self._advertise(self.priority)  # (110)
            self._adver_due = now + self.interval_ms  # (140)
            self._change_state(now, State.MASTER, "startup as owner")  # (145)
        else:
            self._master_interval_cs = self.settings.interval_cs  # (155)
            self._down_due = now + self.master_down_ms  # (160)
            self._change_state(now, State.BACKUP, "startup")  # (165)

    def shutdown(self, now: float, cause: str = "shutdown") -> None:
        """The Shutdown event (steps 345 and 655)."""
        now = self._advance(now)
        if self.state is State.MASTER:
            self._adver_due = None  # (660)
            self._advertise(RELEASE_PRIORITY)  # (665)
            self._change_state(now, State.INITIALIZE, cause)  # (670)
        elif self.state is State.BACKUP:
            self._down_due = None  # (350)
            self._change_state(now, State.INITIALIZE, cause)  # (355)

    def tick(self, now: float) -> None:
        """Fire timers that are due (sections 6.4.2 and 6.4.3)."""
        now = self._advance(now)
        if self.state is State.BACKUP and self._down_due is not None and now >= self._down_due:  # (365)
            self._advertise(self.priority)  # (370)
            self._down_due, self._adver_due = None, now + self.interval_ms  # (400)
            self._change_state(now, State.MASTER, "master down")  # (405)
        elif self.state is State.MASTER and self._adver_due is not None and now >= self._adver_due:  # (680)
            self._advertise(self.priority)  # (685)
            self._adver_due = now + self.interval_ms  # (690)

    def on_advertisement(self, now: float, advert: Advertisement, sender: Address) -> None:
        """An advertisement for this router, valid by section 7.1."""
        now = self._advance(now)
        if self.state is State.INITIALIZE or sender == self.primary:
            return
        # 7.1: the owner of the addresses discards whatever comes for them.
        if self.settings.priority == OWNER_PRIORITY and self.priority == OWNER_PRIORITY:
            return
        if set(advert.addresses) != set(self.settings.addresses):
            self.foreign_address_lists += 1  # 7.1: may be checked; it is counted and no reason to discard
        if self.state is State.BACKUP:
            self._on_advertisement_as_backup(now, advert)
        else:
            self._on_advertisement_as_master(now, advert, sender)

    def _on_advertisement_as_backup(self, now: float, advert: Advertisement) -> None:  # (415)
        if advert.priority == RELEASE_PRIORITY:  # (420)
            self._down_due = now + self.skew_ms  # (425)
        elif not self.settings.preempt or advert.priority >= self.priority:  # (440)
            self._master_interval_cs = advert.interval_cs  # (445)
            self._down_due = now + self.master_down_ms  # (450, 455)

    def _on_advertisement_as_master(self, now: float, advert: Advertisement, sender: Address) -> None:  # (700)
        if advert.priority == RELEASE_PRIORITY:  # (705)
            self._advertise(self.priority)  # (710)
            self._adver_due = now + self.interval_ms  # (715)
        elif advert.priority > self.priority or (  # (730)
            advert.priority == self.priority and int(sender) > int(self.primary)
        ):  # (740)
            self._adver_due = None  # (745)
            self._master_interval_cs = advert.interval_cs  # (750)
            self._down_due = now + self.master_down_ms  # (755 to 765)
            self._change_state(now, State.BACKUP, f"heard {advert.priority} from {sender}")  # (770)
        else:  # (775): discarded, and asserted at once, so that the other gives up
            self._advertise(self.priority)
            self._adver_due = now + self.interval_ms

    def set_priority(self, now: float, priority: int) -> None:
        """A priority changed by tracking, 1 to 254; the RFC has fixed ones only.

        A master tells at once, so that better backups start their wait now and not at the next advertisement; a
        backup's running wait keeps the skew it began with, so that a change cannot put take-over off without end.
        """
        now = self._advance(now)
        if not 1 <= priority <= OWNER_PRIORITY:
            raise PriorityError(f"priority {priority}; 1 to 255")
        if priority == self.priority:
            return
        self.priority = priority
        if self.state is State.MASTER:
            self._advertise(priority)
            self._adver_due = now + self.interval_ms

    def _advance(self, now: float) -> float:
        """The time passed in, never backwards; notices that the process was suspended.

        Guards against a woken master that advertises an address which another holds by now, and a woken backup
        whose timer ran out while advertisements lay unread.  A master has slept once three intervals have passed
        since its last advertisement, the shortest Master_Down_Interval that a peer can have; a backup, once its
        timer is late by a whole one.  A router that was suspended starts to listen again.
        """
        if now <= self._last_now:
            return self._last_now
        self._last_now = now
        if (
            self.state is State.MASTER
            and self._adver_due is not None
            and (now - self._adver_due >= 2 * self.interval_ms)
        ):
            self._adver_due, self._down_due = None, now + self.master_down_ms
            self._change_state(now, State.BACKUP, "slept")
        elif self.state is State.BACKUP and self._down_due is not None and now - self._down_due > self.master_down_ms:
            self._down_due = now + self.master_down_ms
        return now

    # Outputs.

    def _advertise(self, priority: int) -> None:
        s = self.settings
        self.outputs.append(SendAdvertisement(Advertisement(s.vrid, priority, s.interval_cs, s.addresses)))

    def _change_state(self, now: float, after: State, cause: str) -> None:
        before, self.state, self.since = self.state, after, now
        if after is State.MASTER:
            self.outputs.append(AcquireAddress(self.settings.vrid))
        elif before is State.MASTER:
            self.outputs.append(ReleaseAddress(self.settings.vrid))
        self.outputs.append(StateChange(self.settings.vrid, before, after, cause, now))

    # For model checking.

    def snapshot(self, now: float) -> Hashable:
        """All that later states depend on, hashable, with times relative to `now`."""
        adver = None if self._adver_due is None else round(self._adver_due - now, 3)
        down = None if self._down_due is None else round(self._down_due - now, 3)
        return (self.state, self.priority, self._master_interval_cs, adver, down)

    def copy(self) -> VirtualRouter:
        """An independent copy without outputs."""
        twin = VirtualRouter.__new__(VirtualRouter)
        for name in self.__slots__:
            setattr(twin, name, getattr(self, name))
        twin.outputs = deque()
        return twin
