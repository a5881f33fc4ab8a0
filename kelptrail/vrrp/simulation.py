"""Instances in simulated time on a network that loses, delays, copies and reorders datagrams; free of I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import pairwise

from .authentication import Key, Opener, Sealer
from .instance import Datagram, Instance
from .packet import Address
from .state_machine import GiveUp, Moved, RouterSettings, Take
from .tracking import Tracking, TrackSettings

KEY = Key(1, b"simulated")


@dataclass(slots=True)
class NetworkFaults:
    """What the network does to a datagram: shares, and a pair of milliseconds."""

    loss: float = 0.0
    copies: float = 0.0
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
        self._chance = random.Random(seed)
        self._members, self._interval, self._preempt = members, interval_cs, preempt
        self._tracks = tracks or []
        self.weather, self.now = NetworkFaults(), 0.0
        self._epochs = dict.fromkeys((a for a, _ in members), 0)
        self._flying: list[tuple[float, int, Datagram, Address]] = []
        self._number = 0
        self.instances: dict[Address, Instance] = {}
        self.paused: set[Address] = set()
        self._unread: dict[Address, list[tuple[bytes, Address]]] = {}
        self._held: dict[Address, bool] = {}
        self.moves: list[tuple[float, Address, str]] = []  # when an address was taken or given up, by whom
        self.spans: list[tuple[float, int]] = [(0.0, 0)]  # from when how many held it
        for address, _ in members:
            self.start(address)

    def start(self, address: Address) -> None:
        """An instance's process starts."""
        priority = dict(self._members)[address]
        self._epochs[address] += 1
        others = tuple(a for a, _ in self._members if a != address)
        settings = RouterSettings(1, priority, (self._members[0][0],), self._interval, self._preempt)
        self.instances[address] = Instance(
            address,
            others,
            [settings],
            Tracking(list(self._tracks)),
            Sealer(KEY, self._epochs[address], address),
            Opener((KEY,)),
        )
        self._held[address] = False
        self.instances[address].startup(self.now)
        self._collect(address)

    def kill(self, address: Address) -> None:
        """It ends without a word."""
        del self.instances[address]
        self._hold(address, False)

    def stop(self, address: Address) -> None:
        """It ends and releases what it holds."""
        self.instances[address].shutdown(self.now)
        self._collect(address)
        del self.instances[address]

    def pause(self, address: Address) -> None:
        """It does nothing for a while; what it holds it goes on to hold."""
        self.paused.add(address)
        self._unread[address] = []

    def wake(self, address: Address) -> None:
        """It goes on: first it reads what lay there, then its timers fire."""
        self.paused.discard(address)
        for data, sender in self._unread.pop(address):
            self.instances[address].received(self.now, data, sender)
        self.instances[address].tick(self.now)
        self._collect(address)

    def holders(self) -> list[Address]:
        """Who holds the address."""
        return [address for address, held in self._held.items() if held]

    def _hold(self, address: Address, held: bool) -> None:
        if self._held.get(address) is not held:
            self._held[address] = held
            self.moves.append((self.now, address, "take" if held else "give up"))
            self.spans.append((self.now, len(self.holders())))

    def _collect(self, address: Address) -> None:
        outputs, weather = self.instances[address].outputs, self.weather
        while outputs:
            output = outputs.popleft()
            if isinstance(output, Take):
                self._hold(address, True)
            elif isinstance(output, GiveUp):
                self._hold(address, False)
            elif not isinstance(output, Moved):
                copies = 2 if self._chance.random() < weather.copies else 1
                if (address, output.to) in weather.cut or self._chance.random() < weather.loss:
                    copies = 0
                for _ in range(copies):
                    self._number += 1
                    heappush(
                        self._flying, (self.now + self._chance.uniform(*weather.delay), self._number, output, address)
                    )

    def run(self, ms: float) -> None:
        """Let time pass."""
        end = self.now + ms
        while True:
            dues = [due for a, i in self.instances.items() if a not in self.paused and (due := i.due()) is not None]
            tracked = [self.now + 50.0] if self._tracks else []  # hysteresis settles at ticks
            due = min([*dues, *tracked, *(f[0] for f in self._flying[:1]), end])
            self.now = max(self.now, due)
            if self._flying and self._flying[0][0] <= self.now:
                _, _, datagram, sender = heappop(self._flying)
                if datagram.to in self.paused:
                    self._unread[datagram.to].append((datagram.data, sender))
                elif datagram.to in self.instances:
                    self.instances[datagram.to].received(self.now, datagram.data, sender)
                    self._collect(datagram.to)
                continue
            for address, instance in list(self.instances.items()):
                if address not in self.paused:
                    instance.tick(self.now)
                    self._collect(address)
            if self.now >= end:
                return


@dataclass(slots=True)
class Found:
    """What many failovers came to; times in milliseconds."""

    failovers: int = 0
    took: list[float] = field(default_factory=list)
    worst_ratio: float = 0.0  # of a take-over to the bound: master-down interval, network, and what was lost
    none_ms: float = 0.0
    one_ms: float = 0.0
    more_ms: float = 0.0
    broken: list[str] = field(default_factory=list)


KINDS = ("kill", "stop", "pause")


def failovers(seeds: Iterable[int], interval_cs: int = 100) -> Found:
    """One failover a seed: three instances, a network that harms, the master killed, stopped or paused.

    The bound of a take-over is the RFC's Master_Down_Interval of the next in line, one interval more for each
    advertisement in a row that the network may have lost before, and the network's delay.
    """
    found = Found()
    for seed in seeds:
        chance = random.Random(seed)
        members = [(_address(n), p) for n, p in enumerate((200, 150, 100))]
        sea = SimulatedNetwork(seed, members, interval_cs, preempt=chance.random() < 0.7)
        sea.weather.delay = (0.1, chance.uniform(1.0, 30.0))
        sea.weather.loss, sea.weather.copies = chance.uniform(0.0, 0.1), chance.uniform(0.0, 0.2)
        interval = interval_cs * 10.0
        sea.run(6 * interval + chance.uniform(0, interval))
        holders = sea.holders()
        if len(holders) != 1:
            found.broken.append(f"{seed}: {len(holders)} holders before")
            continue
        old, kind = holders[0], KINDS[seed % len(KINDS)]
        sea.weather.loss = 0.0  # the bound is that of a network that heals with the failure
        began = sea.now
        getattr(sea, kind)(old)
        sea.run(4 * interval + 1)
        taken = [when for when, who, what in sea.moves if what == "take" and when >= began and who != old]
        if not taken:
            found.broken.append(f"{seed}: nobody took over from a {kind}")
            continue
        took = taken[0] - began
        best = max(p for a, p in members if a != old)
        bound = (3 + (256 - best) / 256) * interval + 2 * sea.weather.delay[1]
        found.took.append(took)
        found.worst_ratio = max(found.worst_ratio, took / bound)
        if kind == "pause":
            sea.wake(old)
        else:
            sea.start(old)
        sea.run(12 * interval)
        holders = sea.holders()
        if len(holders) != 1 or (sea._preempt and holders != [members[0][0]]):
            found.broken.append(f"{seed}: held by {holders} in the end")
        found.failovers += 1
        spans = [*sea.spans, (sea.now, 0)]
        for (since, count), (until, _) in pairwise(spans):
            if since >= 6 * interval:
                name = "none_ms" if count == 0 else "one_ms" if count == 1 else "more_ms"
                setattr(found, name, getattr(found, name) + until - since)
    return found


def _address(number: int) -> Address:
    from ipaddress import IPv4Address

    return IPv4Address(f"127.0.1.{number + 1}")
