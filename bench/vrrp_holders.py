"""The holders of a shared address over time, according to listening sockets and to VRRP advertisements."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any, NamedTuple

from kelptrail.clock import now_ms

SAMPLE_INTERVAL_MS = 5.0
LISTEN_STATE = "0A"  # state of a listening socket in /proc/net/tcp
COUNT_NAMES = ("none", "one", "two", "more")
ADVERTISEMENT_VALID_INTERVALS = 1.5


class HolderSample(NamedTuple):
    """The inodes of the sockets that listen on each address at one time."""

    at_ms: float
    sockets: tuple[frozenset[str], ...]


class HolderSampler:
    """Reads every few milliseconds which sockets listen on the addresses, from /proc/net/tcp (proc(5))."""

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self._router_numbers = {_proc_address(host, port): number for number, (host, port) in enumerate(addresses)}
        self.samples: list[HolderSample] = []

    async def run(self) -> None:
        """Sample until it is cancelled."""
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1000)

    def current_holders(self) -> frozenset[str]:
        """Return the inodes of the sockets that listen on the first address now."""
        self._sample()
        return self.samples[-1].sockets[0]

    def _sample(self) -> None:
        sockets: list[set[str]] = [set() for _ in self._router_numbers]
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                fields = line.split()
                address, state, inode = fields[1], fields[3], fields[9]
                if state == LISTEN_STATE and address in self._router_numbers:
                    sockets[self._router_numbers[address]].add(inode)
        self.samples.append(HolderSample(now_ms(), tuple(frozenset(each) for each in sockets)))


def _proc_address(host: str, port: int) -> str:
    return "".join(f"{int(part):02X}" for part in reversed(host.split("."))) + f":{port:04X}"


class CountChange(NamedTuple):
    """A change of the number of an address's holders, with its time in the run."""

    at_s: float
    holders: int


@dataclass(slots=True)
class HolderTimeline:
    """The time for which an address had no, one, two, or more than two holders, and the changes of their number."""

    seconds: dict[str, float] = field(default_factory=lambda: dict.fromkeys(COUNT_NAMES, 0.0))
    changes: list[CountChange] = field(default_factory=list)

    def add(self, at_s: float, count: int, duration_s: float) -> None:
        """Add `duration_s` seconds with `count` holders, from `at_s` on."""
        self.seconds[COUNT_NAMES[min(3, count)]] += duration_s
        if not self.changes or self.changes[-1].holders != count:
            self.changes.append(CountChange(at_s, count))

    def rounded_seconds(self) -> dict[str, float]:
        """Return the seconds by the number of holders, rounded for a report."""
        return {name: round(value, 3) for name, value in self.seconds.items()}


def listening_timeline(samples: list[HolderSample], router: int, start_ms: float) -> HolderTimeline:
    """Return the number of holders of a router's address since the start, according to their listening sockets."""
    timeline = HolderTimeline()
    for sample, following in pairwise(samples):
        if sample.at_ms >= start_ms:
            count, duration_s = len(sample.sockets[router]), (following.at_ms - sample.at_ms) / 1000
            timeline.add((sample.at_ms - start_ms) / 1000, count, duration_s)
    return timeline


def advertised_timeline(events: list[dict[str, Any]], vrid: int, interval_ms: float, start_ms: float) -> HolderTimeline:
    """Return the number of holders of a router's address since the start, according to datagrams alone.

    A router counts as a holder if it advertised within the last one and a half intervals and has not since sent
    priority 0, which releases the address."""
    adverts = [(e["t"], e["sender"], e["priority"]) for e in events if e["what"] == "advert" and e["vrid"] == vrid]
    timeline, last_advert_at = HolderTimeline(), dict[str, float]()
    if not adverts:
        return timeline
    at_ms, position = start_ms, 0
    while at_ms < adverts[-1][0]:
        while position < len(adverts) and adverts[position][0] <= at_ms:
            sent_at, sender, priority = adverts[position]
            last_advert_at[sender] = sent_at if priority else float("-inf")
            position += 1
        valid_ms = ADVERTISEMENT_VALID_INTERVALS * interval_ms
        count = sum(at_ms - sent_at <= valid_ms for sent_at in last_advert_at.values())
        timeline.add((at_ms - start_ms) / 1000, count, SAMPLE_INTERVAL_MS / 1000)
        at_ms += SAMPLE_INTERVAL_MS
    return timeline


def draw_timelines(file: Path, timelines: dict[str, HolderTimeline], faults: list[tuple[float, str]]) -> None:
    """Plot the number of holders over time, with the faults of the masters."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    count = len(timelines)
    figure, axes = pyplot.subplots(count, 1, figsize=(12, 2.2 * count), sharex=True, squeeze=False)
    for axis, (name, timeline) in zip(axes[:, 0], timelines.items(), strict=True):
        if timeline.changes:
            times, counts = zip(*timeline.changes, strict=True)
            axis.step(times, counts, where="post", linewidth=0.9)
        axis.set_ylabel(name, fontsize=8)
        axis.set_yticks([0, 1, 2, 3])
        for at_s, fault in faults:
            axis.axvline(at_s, color="#a63d40", linewidth=0.4)
            axis.text(at_s, 3.05, fault, fontsize=5, rotation=60)
        axis.set_ylim(-0.1, 3.6)
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(file, dpi=110)
