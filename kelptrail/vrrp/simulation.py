"""Instances in simulated time on a network that loses, delays, duplicates and reorders datagrams; free of I/O."""

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
SETTLING_INTERVALS = 6  # advertisement intervals after which one master is expected
TRACKING_STEP_MS = 50.0


class AddressChange(Enum):
    """What an instance did with the address."""

    ACQUIRED = "acquired"
    RELEASED = "released"


class AddressMove(NamedTuple):
    """An instance acquired or released the address; `at` in milliseconds."""

    at: float
    address: Address
    change: AddressChange


class HolderSpan(NamedTuple):
    """From `since` on so many instances held the address."""

    since: float
    holders: int


@dataclass(slots=True)
class NetworkFaults:
    """What the network does to a datagram: shares, and a pair of milliseconds."""

    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.1, 2.0)
    cut: set[tuple[Address, Address]] = field(default_factory=set)  # one way each


class SimulatedNetwork:
    """Instances of one virtual router, as (primary address, priority), on a network."""

    def __init__(
        self,
        seed: int,
        members: list[tuple[Address, int]],
        interval_cs: int = 100,
        preempt: bool = True,
        tracks: list[TrackSettings] | None = None,
    ) -> None:
        self._random = random.Random(seed)
        self._members, self._interval, self.preempt = members, interval_cs, preempt
        self._tracks = tracks or []
        self.faults, self.now = NetworkFaults(), 0.0
        self._epochs = dict.fromkeys((a for a, _ in members), 0)
        self._in_flight: list[tuple[float, int, Datagram, Address]] = []
        self._number = 0
        self.instances: dict[Address, Instance] = {}
        self.paused: set[Address] = set()
        self._unread: dict[Address, list[tuple[bytes, Address]]] = {}
        self._held: dict[Address, bool] = {}
        self.moves: list[AddressMove] = []
        self.spans: list[HolderSpan] = [HolderSpan(0.0, 0)]
        for address, _ in members:
            self.start(address)

    def start(self, address: Address) -> None:
        """An instance's process starts."""
        priority = dict(self._members)[address]
        self._epochs[address] += 1
        others = tuple(a for a, _ in self._members if a != address)
        settings = RouterSettings(1, priority, (self._members[0][0],), self._interval, self.preempt)
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
        self._collect(address)

    def kill(self, address: Address) -> None:
        """Its process ends and sends nothing."""
        del self.instances[address]
        self._hold(address, False)

    def stop(self, address: Address) -> None:
        """Its process ends gracefully and releases the address."""
        self.instances[address].shutdown(self.now)
        self._collect(address)
        del self.instances[address]

    def pause(self, address: Address) -> None:
        """Its process is suspended; it continues to hold the address if it has it."""
        self.paused.add(address)
        self._unread[address] = []

    def wake(self, address: Address) -> None:
        """Its process resumes: first it reads the waiting datagrams, then its timers fire."""
        self.paused.discard(address)
        for data, sender in self._unread.pop(address):
            self.instances[address].on_datagram(self.now, data, sender)
        self.instances[address].tick(self.now)
        self._collect(address)

    def holders(self) -> list[Address]:
        """The instances that hold the address."""
        return [address for address, held in self._held.items() if held]

    def _hold(self, address: Address, held: bool) -> None:
        if self._held.get(address) is not held:
            self._held[address] = held
            change = AddressChange.ACQUIRED if held else AddressChange.RELEASED
            self.moves.append(AddressMove(self.now, address, change))
            self.spans.append(HolderSpan(self.now, len(self.holders())))

    def _collect(self, address: Address) -> None:
        outputs, faults = self.instances[address].outputs, self.faults
        while outputs:
            output = outputs.popleft()
            if isinstance(output, AcquireAddress):
                self._hold(address, True)
            elif isinstance(output, ReleaseAddress):
                self._hold(address, False)
            elif not isinstance(output, StateChange):
                deliveries = 2 if self._random.random() < faults.duplication else 1
                if (address, output.to) in faults.cut or self._random.random() < faults.loss:
                    deliveries = 0
                for _ in range(deliveries):
                    self._number += 1
                    heappush(
                        self._in_flight,
                        (self.now + self._random.uniform(*faults.delay), self._number, output, address),
                    )

    def run(self, ms: float) -> None:
        """Let `ms` milliseconds pass."""
        end = self.now + ms
        while True:
            dues = [
                due for a, i in self.instances.items() if a not in self.paused and (due := i.next_due()) is not None
            ]
            tracked = [self.now + TRACKING_STEP_MS] if self._tracks else []  # hysteresis settles at ticks
            due = min([*dues, *tracked, *(f[0] for f in self._in_flight[:1]), end])
            self.now = max(self.now, due)
            if self._in_flight and self._in_flight[0][0] <= self.now:
                _, _, datagram, sender = heappop(self._in_flight)
                if datagram.to in self.paused:
                    self._unread[datagram.to].append((datagram.data, sender))
                elif datagram.to in self.instances:
                    self.instances[datagram.to].on_datagram(self.now, datagram.data, sender)
                    self._collect(datagram.to)
                continue
            for address, instance in list(self.instances.items()):
                if address not in self.paused:
                    instance.tick(self.now)
                    self._collect(address)
            if self.now >= end:
                return


@dataclass(slots=True)
class FailoverStatistics:
    """Results of many failovers; times in milliseconds."""

    failovers: int = 0
    took: list[float] = field(default_factory=list)
    worst_ratio: float = 0.0  # of a takeover to its bound
    none_ms: float = 0.0  # how long no instance, one, or more held the address
    one_ms: float = 0.0
    more_ms: float = 0.0
    broken: list[str] = field(default_factory=list)

    def add_holding_times(self, network: SimulatedNetwork, since: float) -> None:
        """Count how long the address was held by how many, in spans that begin at `since` or later."""
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
    """What happens to the master."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"


FAILURES = tuple(Failure)


def simulate_failovers(seeds: Iterable[int], interval_cs: int = 100) -> FailoverStatistics:
    """One failover a seed: three instances on a faulty network, the master killed, stopped or paused.

    The bound of a takeover is the Master_Down_Interval (RFC 9568 section 6.1) of the next in line and twice the
    network's delay.
    """
    statistics = FailoverStatistics()
    for seed in seeds:
        _simulate_failover(statistics, seed, interval_cs)
    return statistics


def _simulate_failover(statistics: FailoverStatistics, seed: int, interval_cs: int) -> None:
    chance = random.Random(seed)
    members = [(_address(number), priority) for number, priority in enumerate(PRIORITIES)]
    network = SimulatedNetwork(seed, members, interval_cs, preempt=chance.random() < 0.7)
    network.faults.delay = (0.1, chance.uniform(1.0, 30.0))
    network.faults.loss, network.faults.duplication = chance.uniform(0.0, 0.1), chance.uniform(0.0, 0.2)
    interval_ms = interval_cs * 10.0
    network.run(SETTLING_INTERVALS * interval_ms + chance.uniform(0, interval_ms))
    holders = network.holders()
    if len(holders) != 1:
        statistics.broken.append(f"{seed}: {len(holders)} holders before")
        return
    old, failure = holders[0], FAILURES[seed % len(FAILURES)]
    takeover_ms = _takeover_ms(network, old, failure, interval_ms)
    if takeover_ms is None:
        statistics.broken.append(f"{seed}: nobody took over from a {failure.value}")
        return
    best = max(priority for address, priority in members if address != old)
    bound_ms = (3 + (256 - best) / 256) * interval_ms + 2 * network.faults.delay[1]
    statistics.took.append(takeover_ms)
    statistics.worst_ratio = max(statistics.worst_ratio, takeover_ms / bound_ms)
    if failure is Failure.PAUSE:
        network.wake(old)
    else:
        network.start(old)
    network.run(12 * interval_ms)
    holders = network.holders()
    if len(holders) != 1 or (network.preempt and holders != [members[0][0]]):
        statistics.broken.append(f"{seed}: held by {holders} in the end")
    statistics.failovers += 1
    statistics.add_holding_times(network, SETTLING_INTERVALS * interval_ms)


def _takeover_ms(network: SimulatedNetwork, master: Address, failure: Failure, interval_ms: float) -> float | None:
    """How long it takes until another instance has the address after the master failed; None: none took it."""
    network.faults.loss = 0.0  # the bound is that of a network that recovers with the failure
    began = network.now
    fail = {Failure.KILL: network.kill, Failure.STOP: network.stop, Failure.PAUSE: network.pause}[failure]
    fail(master)
    network.run(4 * interval_ms + 1)
    for when, address, change in network.moves:
        if change is AddressChange.ACQUIRED and when >= began and address != master:
            return when - began
    return None


def _address(number: int) -> Address:
    return IPv4Address(f"127.0.1.{number + 1}")
