"""One process's part of a simulation run over several processes, and the messages between these parts."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from .event_queue import EventQueue


class MessageKind(StrEnum):
    """What a message between shards is about."""

    REPLY = "reply"
    EFFECT = "mark"
    FETCH = "fetch"
    ATTEMPT = "send"
    LOAD_ORDER = "order"


class ShardMessage(NamedTuple):
    """A message that arrives at a shard at time `at` in ms."""

    at: float
    target: int
    kind: MessageKind
    arguments: tuple[Any, ...]


class Shard:
    """This process's part of the run, and its outgoing messages."""

    def __init__(self, number: int, shard_count: int) -> None:
        self.number, self.shard_count = number, shard_count
        self.out: list[ShardMessage] = []
        self._replies: dict[int, Callable[..., None]] = {}
        self._last_request = 0

    def has_dispatcher(self, dispatcher: int) -> bool:
        """Whether a dispatcher, by number, is in this shard."""
        return dispatcher % self.shard_count == self.number

    def shard_of_worker(self, worker: int) -> int:
        """The number of the shard that has a worker; both workers of a cell are in one shard."""
        return worker // 2 % self.shard_count

    def post(self, when: float, target: int, kind: MessageKind, *arguments: Any) -> None:
        """Send a message that arrives at another shard at time `when` in ms."""
        self.out.append(ShardMessage(when, target, kind, arguments))

    def take_out(self) -> list[ShardMessage]:
        """The outgoing messages since the last call."""
        out, self.out = self.out, []
        return out

    def request(
        self, when: float, target: int, kind: MessageKind, on_reply: Callable[..., None], *arguments: Any
    ) -> None:
        """Send a message whose first reply calls `on_reply`."""
        self._last_request += 1
        self._replies[self._last_request] = on_reply
        self.post(when, target, kind, self.number, self._last_request, *arguments)

    def on_reply(self, number: int, arguments: tuple[Any, ...]) -> None:
        """Deliver a reply to a request; a second reply is ignored."""
        on_reply = self._replies.pop(number, None)
        if on_reply is not None:
            on_reply(*arguments)


class RemoteReply:
    """The callback by which a worker or the store replies to a request of another shard; the first reply counts."""

    def __init__(self, shard: Shard, event_queue: EventQueue, network_ms: float, target: int, request: int) -> None:
        self._shard, self._event_queue, self._network_ms = shard, event_queue, network_ms
        self._target, self._request = target, request

    def __call__(self, *arguments: Any) -> None:
        """Post the reply, which arrives one network delay later."""
        when = self._event_queue.now + self._network_ms
        self._shard.post(when, self._target, MessageKind.REPLY, self._request, arguments)
