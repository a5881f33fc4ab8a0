"""Faults of the links between dispatchers and planners, applied by the cluster's channel proxy."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import NamedTuple

import numpy as np

from kelptrail.emulator.cluster import Cluster, Process

from .scenario import Fault


class SlowLink(NamedTuple):
    """A delay in ms, and the share of the proxy's reads that are delayed."""

    ms: float
    share: float


NO_DELAY = SlowLink(0.0, 0.0)


class PeerLinks:
    """The links that active faults cut or slow down.  `random` draws the directions of one-way cuts."""

    def __init__(self, cluster: Cluster, random: np.random.Generator) -> None:
        self._cluster, self._random = cluster, random
        # Number of faults that cut a link, by (sender, receiver).
        self._cut_links: Counter[tuple[str, str]] = Counter()
        self._slow_links: list[SlowLink] = []

    async def cut_off(self, fault: Fault, targets: list[Process]) -> None:
        """Cut the links between the targets and all others for the duration of the fault.

        A one-way fault cuts one direction, which is drawn for each target.
        """
        links = self._links_to_cut(fault, {target.name for target in targets})
        self._cut_links.update(links)
        await self._apply()
        await asyncio.sleep(fault.duration)
        self._cut_links.subtract(links)
        await self._apply()

    def _links_to_cut(self, fault: Fault, names: set[str]) -> list[tuple[str, str]]:
        others = [c.name for c in (*self._cluster.dispatchers, *self._cluster.planners) if c.name not in names]
        links: list[tuple[str, str]] = []
        for name in sorted(names):
            outgoing = incoming = True
            if fault.one_way:
                incoming = bool(self._random.random() < 0.5)
                outgoing = not incoming
            if outgoing:
                links += [(name, other) for other in others]
            if incoming:
                links += [(other, name) for other in others]
        return links

    async def slow(self, fault: Fault) -> None:
        """Delay a share of the proxy's reads on all links for the duration of the fault."""
        slow_link = SlowLink(fault.ms, fault.share)
        self._slow_links.append(slow_link)
        await self._apply()
        await asyncio.sleep(fault.duration)
        self._slow_links.remove(slow_link)
        await self._apply()

    async def reset(self, share: float) -> None:
        """Reset the given share of the connections."""
        await self._cluster.set_link_fault(reset=share)

    async def _apply(self) -> None:
        slowest = max(self._slow_links, default=NO_DELAY)
        await self._cluster.set_link_fault(
            cut=[pair for pair, count in self._cut_links.items() if count > 0],
            slow={"ms": slowest.ms, "share": slowest.share},
        )
