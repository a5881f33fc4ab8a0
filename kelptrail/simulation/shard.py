"""Shards of a simulation run, one for each process, and the messages between them."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from .event_queue import EventQueue


class MessageKind(StrEnum):
    """Kind of a message between shards."""

    REPLY = "reply"  # to a message of one of the last three kinds
    EFFECT = "mark"  # entry for the receiver's log of effects, see `SharedEffectLog`
    FETCH = "fetch"  # request to the model store, which is in the first shard
    ATTEMPT = "send"
    LOAD_ORDER = "order"


class ShardMessage(NamedTuple):
    """A message that arrives at the shard `target` at time `at` in ms."""

    at: float
    target: int
    kind: MessageKind
    arguments: tuple[Any, ...]


class Shard:
    """This process's part of the run, with its outgoing messages and open requests."""

    def __init__(self, number: int, shard_count: int) -> None:
        self.number, self.shard_count = number, shard_count
        self.outgoing: list[ShardMessage] = []
        self._replies: dict[int, Callable[..., None]] = {}
        self._last_request = 0

    def has_dispatcher(self, dispatcher: int) -> bool:
        """Return whether the dispatcher of this number is in this shard."""
        return dispatcher % self.shard_count == self.number

    def shard_of_worker(self, worker: int) -> int:
        """Return the number of the shard that contains a worker; both workers of a cell are in one shard."""
        return worker // 2 % self.shard_count

    def post(self, when: float, target: int, kind: MessageKind, *arguments: Any) -> None:
        """Send a message that arrives at another shard at time `when` in ms."""
        self.outgoing.append(ShardMessage(when, target, kind, arguments))

    def take_outgoing(self) -> list[ShardMessage]:
        """Return the outgoing messages since the last call."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def request(
        self, when: float, target: int, kind: MessageKind, on_reply: Callable[..., None], *arguments: Any
    ) -> None:
        """Send a request that arrives at another shard at time `when` in ms; `on_reply` gets its first reply."""
        self._last_request += 1
        self._replies[self._last_request] = on_reply
        self.post(when, target, kind, self.number, self._last_request, *arguments)

    def on_reply(self, request: int, arguments: tuple[Any, ...]) -> None:
        """Deliver a reply to the request of this number; a second reply is ignored."""
        on_reply = self._replies.pop(request, None)
        if on_reply is not None:
            on_reply(*arguments)


class RemoteReply:
    """Callback through which a worker or the store replies to a request of another shard."""

    def __init__(self, shard: Shard, event_queue: EventQueue, network_ms: float, target: int, request: int) -> None:
        self._shard, self._event_queue, self._network_ms = shard, event_queue, network_ms
        self._target, self._request = target, request

    def __call__(self, *arguments: Any) -> None:
        """Send the reply, which arrives one network delay later; the requester ignores all replies but the first."""
        when = self._event_queue.now + self._network_ms
        self._shard.post(when, self._target, MessageKind.REPLY, self._request, arguments)
