"""Simulated links between lease nodes: delays, and cuts that hold messages until they are healed."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from kelptrail.lease.messages import Message

from .event_queue import EventQueue


class Link(NamedTuple):
    """The link from one node to another."""

    sender: str
    receiver: str


class SlowLinks(NamedTuple):
    """A delay in ms that this share of all messages has."""

    delay_ms: float
    share: float


class SimulatedLinks:
    """All links; `deliver` gets each message one delay after it was sent.  A link that is cut holds its messages until
    it is healed; once it was silent for `silent_ms`, it drops them.
    """

    def __init__(
        self,
        event_queue: EventQueue,
        seed: int,
        network_ms: float,
        silent_ms: float,
        deliver: Callable[[Link, Message], None],
    ) -> None:
        self._event_queue, self._seed, self._deliver = event_queue, seed, deliver
        self._network_ms, self._silent_ms = network_ms, silent_ms
        self._cuts: Counter[Link] = Counter()  # the number of faults that cut each
        self._cut_since: dict[Link, float] = {}
        self._held_messages: dict[Link, list[Message]] = {}
        self._slow_links: list[SlowLinks] = []
        self._draws = 0  # of delays

    def send(self, link: Link, message: Message) -> None:
        """Send a message over a link."""
        if self._cuts[link] > 0:
            if self._event_queue.now - self._cut_since[link] < self._silent_ms:
                self._held_messages.setdefault(link, []).append(message)
            return
        delay_ms = self._network_ms
        for slow_links in self._slow_links:
            if self._draw_share() < slow_links.share:
                delay_ms += slow_links.delay_ms
        self._event_queue.after(delay_ms, self._deliver, link, message)

    def _draw_share(self) -> float:
        """A number from 0 to 1 that depends on the seed and on how many were drawn."""
        self._draws += 1
        return zlib.crc32(f"{self._seed} slow {self._draws}".encode()) / 2**32

    def slow(self, slow_links: SlowLinks, duration_ms: float) -> None:
        """Delay a share of the messages for a time."""
        self._slow_links.append(slow_links)
        self._event_queue.after(duration_ms, self._slow_links.remove, slow_links)

    def cut(self, links: list[Link]) -> None:
        """Cut these links."""
        for link in links:
            self._cut_since.setdefault(link, self._event_queue.now)
        self._cuts.update(links)

    def heal(self, links: list[Link]) -> None:
        """Heal these links; held messages are delivered only within the silence timeout."""
        self._cuts.subtract(links)
        for link in links:
            if self._cuts[link] > 0:
                continue
            held, cut_since = self._held_messages.pop(link, []), self._cut_since.pop(link, 0.0)
            if self._event_queue.now - cut_since < self._silent_ms:
                for message in held:
                    self.send(link, message)
