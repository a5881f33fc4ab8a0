"""Simulation of instances on a network that loses, delays, duplicates and reorders datagrams; free of I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from ipaddress import IPv4Address
from itertools import pairwise
from typing import NamedTuple

from .authentication import Key, Signer, Verifier
from .instance import Datagram, Instance
from .packet import Address
from .state_machine import AcquireAddress, ReleaseAddress, RouterSettings, StateChange
from .tracking import Tracking, TrackSettings

KEY = Key(1, b"simulated")
PRIORITIES = (200, 150, 100)
SETTLING_INTERVALS = 6  # advertisement intervals after which exactly one Master is expected
TRACKING_STEP_MS = 50.0  # interval between ticks, if there are tracked objects


class AddressChange(Enum):
    """Whether an instance acquired or released the address."""

    ACQUIRED = "acquired"
    RELEASED = "released"


class AddressMove(NamedTuple):
    """An instance acquired or released the address; `at`: time in milliseconds."""

    at: float
    address: Address
    change: AddressChange


class HolderSpan(NamedTuple):
    """A span of time from `since`, in milliseconds, in which `holders` instances held the address."""

    since: float
    holders: int


@dataclass(slots=True)
class NetworkFaults:
    """Faults of the network."""

    loss: float = 0.0  # share of datagrams lost
    duplication: float = 0.0  # share of datagrams duplicated
    delay: tuple[float, float] = (0.1, 2.0)  # range of delays in ms
    blocked_links: set[tuple[Address, Address]] = field(default_factory=set)  # pairs of sender and receiver


class SimulatedNetwork:
    """A network and the instances of one virtual router on it; `members` are (primary address, priority)."""

    def __init__(
        self,
        seed: int,
        members: list[tuple[Address, int]],
        interval_cs: int = 100,
        preempt: bool = True,
        tracks: list[TrackSettings] | None = None,
    ) -> None:
        self._random = random.Random(seed)
        self._members, self._interval_cs, self.preempt = members, interval_cs, preempt
        self._tracks = tracks or []
        self.faults, self.now = NetworkFaults(), 0.0
        # Number of starts of each instance.  A restarted instance signs with a higher epoch, because its packet count
        # begins again and its packets would otherwise be rejected as replays.
        self._epochs = dict.fromkeys((a for a, _ in members), 0)
        # Heap of datagrams in flight: time of arrival, sequence number, datagram, sender.
        self._in_flight: list[tuple[float, int, Datagram, Address]] = []
        self._sequence_number = 0  # keeps datagrams that arrive at the same time in order of sending
        self.instances: dict[Address, Instance] = {}
        self.paused: set[Address] = set()
        self._unread_datagrams: dict[Address, list[tuple[bytes, Address]]] = {}
        self._held: dict[Address, bool] = {}
        self.moves: list[AddressMove] = []
        self.spans: list[HolderSpan] = [HolderSpan(0.0, 0)]
        for address, _ in members:
            self.start(address)

    def start(self, address: Address) -> None:
        """Start the process of an instance."""
        priority = dict(self._members)[address]
        self._epochs[address] += 1
        others = tuple(a for a, _ in self._members if a != address)
        # The virtual address, here the first member's, only has to be the same on all instances.
        settings = RouterSettings(1, priority, (self._members[0][0],), self._interval_cs, self.preempt)
        self.instances[address] = Instance(
            address,
            others,
            [settings],
            Tracking(list(self._tracks)),
            Signer(KEY, self._epochs[address], address),
            Verifier((KEY,)),
        )
        self._held[address] = False
        self.instances[address].startup(self.now)
        self._apply_outputs(address)

    def kill(self, address: Address) -> None:
        """Kill the process of an instance, so that it sends nothing more."""
        del self.instances[address]
        self._set_held(address, False)

    def stop(self, address: Address) -> None:
        """Shut the process of an instance down gracefully, so that it releases the address."""
        self.instances[address].shutdown(self.now)
        self._apply_outputs(address)
        del self.instances[address]

    def pause(self, address: Address) -> None:
        """Suspend the process of an instance; it still holds the address if it held it before."""
        self.paused.add(address)
        self._unread_datagrams[address] = []

    def resume(self, address: Address) -> None:
        """Resume the process of an instance: it first reads the waiting datagrams, then fires its timers."""
        self.paused.discard(address)
        for data, sender in self._unread_datagrams.pop(address):
            self.instances[address].on_datagram(self.now, data, sender)
        self.instances[address].tick(self.now)
        self._apply_outputs(address)

    def holders(self) -> list[Address]:
        """Return the instances that hold the address."""
        return [address for address, held in self._held.items() if held]

    def _set_held(self, address: Address, held: bool) -> None:
        if self._held.get(address) is not held:
            self._held[address] = held
            change = AddressChange.ACQUIRED if held else AddressChange.RELEASED
            self.moves.append(AddressMove(self.now, address, change))
            self.spans.append(HolderSpan(self.now, len(self.holders())))

    def _apply_outputs(self, address: Address) -> None:
        """Apply the address changes of an instance, and send its datagrams with the faults of the network."""
        outputs, faults = self.instances[address].outputs, self.faults
        while outputs:
            output = outputs.popleft()
            if isinstance(output, AcquireAddress):
                self._set_held(address, True)
            elif isinstance(output, ReleaseAddress):
                self._set_held(address, False)
            elif not isinstance(output, StateChange):
                deliveries = 2 if self._random.random() < faults.duplication else 1
                if (address, output.to) in faults.blocked_links or self._random.random() < faults.loss:
                    deliveries = 0
                for _ in range(deliveries):
                    self._sequence_number += 1
                    heappush(
                        self._in_flight,
                        (self.now + self._random.uniform(*faults.delay), self._sequence_number, output, address),
                    )

    def run(self, ms: float) -> None:
        """Let `ms` milliseconds pass."""
        end = self.now + ms
        while True:
            timer_dues = [
                due for a, i in self.instances.items() if a not in self.paused and (due := i.next_due()) is not None
            ]
            # Tracked objects need regular ticks, because their hysteresis is applied at ticks only.
            tracking_due = [self.now + TRACKING_STEP_MS] if self._tracks else []
            due = min([*timer_dues, *tracking_due, *(f[0] for f in self._in_flight[:1]), end])
            self.now = max(self.now, due)
            if self._in_flight and self._in_flight[0][0] <= self.now:
                _, _, datagram, sender = heappop(self._in_flight)
                if datagram.to in self.paused:
                    self._unread_datagrams[datagram.to].append((datagram.data, sender))
                elif datagram.to in self.instances:
                    self.instances[datagram.to].on_datagram(self.now, datagram.data, sender)
                    self._apply_outputs(datagram.to)
                continue
            for address, instance in list(self.instances.items()):
                if address not in self.paused:
                    instance.tick(self.now)
                    self._apply_outputs(address)
            if self.now >= end:
                return


@dataclass(slots=True)
class FailoverStatistics:
    """Results of a number of simulated failovers; times in milliseconds."""

    failovers: int = 0
    take_over_times_ms: list[float] = field(default_factory=list)
    worst_ratio: float = 0.0  # largest ratio of a take-over time to its bound
    none_ms: float = 0.0  # time in which no instance held the address
    one_ms: float = 0.0  # time in which exactly one instance held it
    more_ms: float = 0.0  # time in which several instances held it
    violations: list[str] = field(default_factory=list)

    def add_holding_times(self, network: SimulatedNetwork, since: float) -> None:
        """Add the times in which no, one or several instances held the address.

        Spans that begin before `since` are not counted.
        """
        spans = [*network.spans, HolderSpan(network.now, 0)]
        for (began, holders), (ended, _) in pairwise(spans):
            if began < since:
                continue
            if holders == 0:
                self.none_ms = self.none_ms + ended - began
            elif holders == 1:
                self.one_ms = self.one_ms + ended - began
            else:
                self.more_ms = self.more_ms + ended - began


class Failure(Enum):
    """The way in which the Master fails."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"


FAILURES = tuple(Failure)


def simulate_failovers(seeds: Iterable[int], interval_cs: int = 100) -> FailoverStatistics:
    """Simulate one failover per seed: the Master of three instances on a faulty network is killed, stopped or paused.

    Each take-over is compared with its bound: the Master_Down_Interval (RFC 9568 section 6.1) of the instance with the
    next highest priority, plus twice the largest delay of the network.
    """
    statistics = FailoverStatistics()
    for seed in seeds:
        _simulate_failover(statistics, seed, interval_cs)
    return statistics


def _simulate_failover(statistics: FailoverStatistics, seed: int, interval_cs: int) -> None:
    random_source = random.Random(seed)
    members = [(_address(number), priority) for number, priority in enumerate(PRIORITIES)]
    network = SimulatedNetwork(seed, members, interval_cs, preempt=random_source.random() < 0.7)
    network.faults.delay = (0.1, random_source.uniform(1.0, 30.0))
    network.faults.loss, network.faults.duplication = random_source.uniform(0.0, 0.1), random_source.uniform(0.0, 0.2)
    interval_ms = interval_cs * 10.0
    network.run(SETTLING_INTERVALS * interval_ms + random_source.uniform(0, interval_ms))
    holders = network.holders()
    if len(holders) != 1:
        statistics.violations.append(f"{seed}: {len(holders)} holders before the failure")
        return
    old_master, failure = holders[0], FAILURES[seed % len(FAILURES)]
    take_over_ms = _take_over_ms(network, old_master, failure, interval_ms)
    if take_over_ms is None:
        statistics.violations.append(f"{seed}: no instance took over after the failure {failure.value}")
        return
    next_priority = max(priority for address, priority in members if address != old_master)
    bound_ms = (3 + (256 - next_priority) / 256) * interval_ms + 2 * network.faults.delay[1]
    statistics.take_over_times_ms.append(take_over_ms)
    statistics.worst_ratio = max(statistics.worst_ratio, take_over_ms / bound_ms)
    if failure is Failure.PAUSE:
        network.resume(old_master)
    else:
        network.start(old_master)
    network.run(12 * interval_ms)  # enough for the old Master to take the address back, if it preempts
    holders = network.holders()
    if len(holders) != 1 or (network.preempt and holders != [members[0][0]]):
        statistics.violations.append(f"{seed}: held by {holders} after the old Master returned")
    statistics.failovers += 1
    statistics.add_holding_times(network, SETTLING_INTERVALS * interval_ms)


def _take_over_ms(network: SimulatedNetwork, master: Address, failure: Failure, interval_ms: float) -> float | None:
    """Fail the Master and return how long it takes until another instance acquires the address, or None if none does.

    Loss of datagrams ends with the failure, because the bound holds for a network without loss.
    """
    network.faults.loss = 0.0
    failed_at = network.now
    fail = {Failure.KILL: network.kill, Failure.STOP: network.stop, Failure.PAUSE: network.pause}[failure]
    fail(master)
    network.run(4 * interval_ms + 1)  # every Master_Down_Interval is shorter than four intervals
    for at, address, change in network.moves:
        if change is AddressChange.ACQUIRED and at >= failed_at and address != master:
            return at - failed_at
    return None


def _address(number: int) -> Address:
    return IPv4Address(f"127.0.1.{number + 1}")
