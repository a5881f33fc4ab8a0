"""Simulated links between lease nodes: delays, and cuts that hold messages until a link is restored."""

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


class MessageDelay(NamedTuple):
    """An additional delay in ms, and the share of all messages that it applies to."""

    delay_ms: float
    share: float


class SimulatedLinks:
    """All links between lease nodes; `deliver` gets each message after its delay.

    A cut link holds its messages until it is restored; once it has been cut for `silent_ms`, it drops them.
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
        self._cuts: Counter[Link] = Counter()  # number of active faults that cut a link
        self._cut_since: dict[Link, float] = {}
        self._held_messages: dict[Link, list[Message]] = {}
        self._message_delays: list[MessageDelay] = []
        self._draw_count = 0

    def send(self, link: Link, message: Message) -> None:
        """Send a message over a link."""
        if self._cuts[link] > 0:
            if self._event_queue.now - self._cut_since[link] < self._silent_ms:
                self._held_messages.setdefault(link, []).append(message)
            return
        delay_ms = self._network_ms
        for message_delay in self._message_delays:
            if self._draw_uniform() < message_delay.share:
                delay_ms += message_delay.delay_ms
        self._event_queue.after(delay_ms, self._deliver, link, message)

    def _draw_uniform(self) -> float:
        """Return a pseudo-random number from 0 to 1; it depends on the seed and the number of earlier draws."""
        self._draw_count += 1
        return zlib.crc32(f"{self._seed} slow {self._draw_count}".encode()) / 2**32

    def delay_messages(self, message_delay: MessageDelay, duration_ms: float) -> None:
        """Delay a share of all messages for `duration_ms`."""
        self._message_delays.append(message_delay)
        self._event_queue.after(duration_ms, self._message_delays.remove, message_delay)

    def cut(self, links: list[Link]) -> None:
        """Cut links; a link that was cut several times stays cut until it was restored as often."""
        for link in links:
            self._cut_since.setdefault(link, self._event_queue.now)
        self._cuts.update(links)

    def heal(self, links: list[Link]) -> None:
        """Restore links; their held messages are sent if the cut was shorter than `silent_ms`, else dropped."""
        self._cuts.subtract(links)
        for link in links:
            if self._cuts[link] > 0:
                continue
            held, cut_since = self._held_messages.pop(link, []), self._cut_since.pop(link, 0.0)
            if self._event_queue.now - cut_since < self._silent_ms:
                for message in held:
                    self.send(link, message)
