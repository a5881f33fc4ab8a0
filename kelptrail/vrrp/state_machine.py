"""The VRRP state machine of one virtual router, free of I/O (RFC 9568 section 6).

Callers pass in the time in milliseconds and received advertisements, and take advertisements to send and changes of
the address from `outputs`.  Numbers in parentheses are the step numbers of section 6.4.  The RFC does not cover a
priority that changes at run time or a process that was suspended; docstrings describe what is done there and why.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

from .packet import OWNER_PRIORITY, RELEASE_PRIORITY, Address, Advertisement


class PriorityError(ValueError):
    """The priority is not in 1 to 255."""


class State(Enum):
    """States of a virtual router (section 6.3).

    RFC 9568 renamed Master to Active; the `/vrrp` status keeps the older name "master".
    """

    INITIALIZE = "initialize"
    BACKUP = "backup"
    MASTER = "master"


@dataclass(frozen=True, slots=True)
class SendAdvertisement:
    """Output: send this advertisement to the peers."""

    advert: Advertisement


@dataclass(frozen=True, slots=True)
class AcquireAddress:
    """Output: acquire the addresses, because this router became Master.

    Stands for the gratuitous ARP and neighbor advertisements within steps 110 to 140 and 375 to 395.
    """

    vrid: int


@dataclass(frozen=True, slots=True)
class ReleaseAddress:
    """Output: release the addresses, because this router is no longer Master."""

    vrid: int


@dataclass(frozen=True, slots=True)
class StateChange:
    """Output: a state transition and its cause, for the log and the status."""

    vrid: int
    before: State
    after: State
    cause: str
    at: float  # time of the transition, in ms


Output = SendAdvertisement | AcquireAddress | ReleaseAddress | StateChange


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Parameters of one virtual router (section 6.1)."""

    vrid: int
    priority: int  # 1 to 255; 255 means that this router owns the addresses
    addresses: tuple[Address, ...]
    interval_cs: int = 100  # Advertisement_Interval in centiseconds
    preempt: bool = True
    accept: bool = True  # Accept_Mode; only reported, because a front listening on the address accepts its packets


class VirtualRouter:
    """One virtual router on one instance; `primary` is the source address of its advertisements."""

    __slots__ = (
        "_adver_due",
        "_down_due",
        "_last_now",
        "_master_interval_cs",
        "mismatched_address_lists",
        "outputs",
        "primary",
        "priority",
        "settings",
        "since",
        "state",
    )

    def __init__(self, settings: RouterSettings, primary: Address) -> None:
        if not 1 <= settings.priority <= OWNER_PRIORITY:
            raise PriorityError(f"priority {settings.priority} is not in 1 to 255")
        self.settings, self.primary = settings, primary
        self.priority = settings.priority  # current priority, which tracking lowers
        self.state = State.INITIALIZE
        self.since = 0.0  # time of the last state change, in ms
        self.outputs: deque[Output] = deque()
        self.mismatched_address_lists = 0  # advertisements with other addresses than the configured ones
        self._master_interval_cs = settings.interval_cs  # Master_Adver_Interval
        self._adver_due: float | None = None
        self._down_due: float | None = None
        self._last_now = float("-inf")  # latest time passed in

    # Intervals of section 6.1, in milliseconds unless the name ends in `_cs`.

    @property
    def interval_ms(self) -> float:
        """Advertisement_Interval: the interval between this router's own advertisements."""
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
        """Master_Adver_Interval: the interval that the current Master advertises, in centiseconds."""
        return self._master_interval_cs

    def next_due(self) -> float | None:
        """Return when `tick` must be called at the latest, or None if no timer runs.

        This is the expiry of Adver_Timer in Master and of Master_Down_Timer in Backup (section 6.2).
        """
        return self._adver_due if self.state is State.MASTER else self._down_due

    def running_timers(self, now: float) -> dict[str, float]:
        """Return the running timer's name and remaining milliseconds (section 6.2); empty if none runs."""
        if self.state is State.MASTER and self._adver_due is not None:
            return {"adver": self._adver_due - now}
        if self.state is State.BACKUP and self._down_due is not None:
            return {"master_down": self._down_due - now}
        return {}

    # Inputs.

    def startup(self, now: float) -> None:
        """Handle the Startup event (section 6.4.1)."""
        now = self._advance(now)
        if self.state is not State.INITIALIZE:
            return
        if self.priority == OWNER_PRIORITY:  # (105) address owner
            self._advertise(self.priority)  # (110) send an advertisement
            self._adver_due = now + self.interval_ms  # (140) set Adver_Timer
            self._change_state(now, State.MASTER, "startup as owner")  # (145) become Master
        else:
            self._master_interval_cs = self.settings.interval_cs  # (155) set Master_Adver_Interval
            self._down_due = now + self.master_down_ms  # (160) set Master_Down_Timer
            self._change_state(now, State.BACKUP, "startup")  # (165) become Backup

    def shutdown(self, now: float, cause: str = "shutdown") -> None:
        """Handle the Shutdown event (step 345 as Backup, step 655 as Master)."""
        now = self._advance(now)
        if self.state is State.MASTER:
            self._adver_due = None  # (660) cancel Adver_Timer
            self._advertise(RELEASE_PRIORITY)  # (665) advertise priority 0
            self._change_state(now, State.INITIALIZE, cause)  # (670) return to Initialize
        elif self.state is State.BACKUP:
            self._down_due = None  # (350) cancel Master_Down_Timer
            self._change_state(now, State.INITIALIZE, cause)  # (355) return to Initialize

    def tick(self, now: float) -> None:
        """Fire timers that are due (sections 6.4.2 and 6.4.3)."""
        now = self._advance(now)
        # (365) Master_Down_Timer fires
        if self.state is State.BACKUP and self._down_due is not None and now >= self._down_due:
            self._advertise(self.priority)  # (370) send an advertisement
            self._down_due, self._adver_due = None, now + self.interval_ms  # (400) set Adver_Timer
            self._change_state(now, State.MASTER, "master down")  # (405) become Master
        # (680) Adver_Timer fires
        elif self.state is State.MASTER and self._adver_due is not None and now >= self._adver_due:
            self._advertise(self.priority)  # (685) send an advertisement
            self._adver_due = now + self.interval_ms  # (690) reset Adver_Timer

    def on_advertisement(self, now: float, advert: Advertisement, sender: Address) -> None:
        """Handle an advertisement for this virtual router that passed the checks of section 7.1."""
        now = self._advance(now)
        if self.state is State.INITIALIZE or sender == self.primary:
            return
        # Section 7.1: the address owner discards all advertisements for its virtual router.  Once tracking has lowered
        # its priority, it processes them, so that it can yield.
        if self.settings.priority == OWNER_PRIORITY and self.priority == OWNER_PRIORITY:
            return
        if set(advert.addresses) != set(self.settings.addresses):
            # Section 7.1 makes this check optional; a mismatch is counted and the advertisement still processed.
            self.mismatched_address_lists += 1
        if self.state is State.BACKUP:
            self._on_advertisement_as_backup(now, advert)
        else:
            self._on_advertisement_as_master(now, advert, sender)

    def _on_advertisement_as_backup(self, now: float, advert: Advertisement) -> None:
        """Handle an advertisement in state Backup (415)."""
        if advert.priority == RELEASE_PRIORITY:  # (420) the Master stops
            self._down_due = now + self.skew_ms  # (425) set Master_Down_Timer to Skew_Time
        elif not self.settings.preempt or advert.priority >= self.priority:  # (440) accept this Master
            self._master_interval_cs = advert.interval_cs  # (445) set Master_Adver_Interval
            self._down_due = now + self.master_down_ms  # (450, 455) recompute and reset Master_Down_Timer

    def _on_advertisement_as_master(self, now: float, advert: Advertisement, sender: Address) -> None:
        """Handle an advertisement in state Master (700)."""
        if advert.priority == RELEASE_PRIORITY:  # (705) another Master stops
            self._advertise(self.priority)  # (710) send an advertisement
            self._adver_due = now + self.interval_ms  # (715) reset Adver_Timer
        # (730, 740) higher priority, or equal priority and a larger primary address
        elif advert.priority > self.priority or (advert.priority == self.priority and int(sender) > int(self.primary)):
            self._adver_due = None  # (745) cancel Adver_Timer
            self._master_interval_cs = advert.interval_cs  # (750) set Master_Adver_Interval
            self._down_due = now + self.master_down_ms  # (755 to 765) recompute and set Master_Down_Timer
            self._change_state(now, State.BACKUP, f"heard {advert.priority} from {sender}")  # (770) become Backup
        else:  # (775) discard it and advertise immediately, so that the other Master yields
            self._advertise(self.priority)
            self._adver_due = now + self.interval_ms

    def set_priority(self, now: float, priority: int) -> None:
        """Set the priority that tracking computed; the RFC itself has fixed priorities only.

        A Master advertises the new priority immediately, so that Backups of higher priority begin to wait for
        take-over now and not at the next advertisement.  A Backup's running Master_Down_Timer keeps the Skew_Time it
        was set with, so that repeated changes cannot postpone take-over indefinitely.  Raises `PriorityError` for a
        value outside 1 to 255.
        """
        now = self._advance(now)
        if not 1 <= priority <= OWNER_PRIORITY:
            raise PriorityError(f"priority {priority} is not in 1 to 255")
        if priority == self.priority:
            return
        self.priority = priority
        if self.state is State.MASTER:
            self._advertise(priority)
            self._adver_due = now + self.interval_ms

    def _advance(self, now: float) -> float:
        """Return the time passed in, but never an earlier one than before, and detect that the process was suspended.

        After a suspension, a Master must not advertise an address that a peer may have acquired meanwhile, and a
        Backup must not become Master because its timer expired while advertisements were unread.  A Master counts as
        suspended once three intervals have passed since its last advertisement, which is the lower bound of a peer's
        Master_Down_Interval; a Backup, once its timer is late by a complete Master_Down_Interval.  Either one then
        waits as Backup for another Master_Down_Interval.
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
        """Return everything that later states depend on, in hashable form, with times relative to `now`."""
        adver = None if self._adver_due is None else round(self._adver_due - now, 3)
        down = None if self._down_due is None else round(self._down_due - now, 3)
        return (self.state, self.priority, self._master_interval_cs, adver, down)

    def copy(self) -> VirtualRouter:
        """Return an independent copy without outputs."""
        clone = VirtualRouter.__new__(VirtualRouter)
        for name in self.__slots__:
            setattr(clone, name, getattr(self, name))
        clone.outputs = deque()
        return clone
