"""Handling of the messages that a shard receives from other shards."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .remote import SharedEffectLog
from .shard import MessageKind, RemoteReply, Shard
from .worker_messages import AttemptMessage
from .workers import SimulatedWorker

if TYPE_CHECKING:
    from .cluster import SimulatedCluster


class ShardInbox:
    """Delivers messages to the workers, the store and the effect log of one shard's cluster."""

    def __init__(self, cluster: SimulatedCluster, shard: Shard) -> None:
        self._cluster, self._shard = cluster, shard

    def on_message(self, kind: MessageKind, arguments: tuple[Any, ...]) -> None:
        """Handle a message of another shard."""
        if kind is MessageKind.REPLY:
            self._shard.on_reply(*arguments)
        elif kind is MessageKind.EFFECT:
            assert isinstance(self._cluster.effect_log, SharedEffectLog)
            self._cluster.effect_log.on_remote_effect(*arguments)
        else:
            sender, request, *rest = arguments
            network_ms = self._cluster.settings.network_ms
            reply = RemoteReply(self._shard, self._cluster.event_queue, network_ms, sender, request)
            self._on_request(kind, reply, rest)

    def _on_request(self, kind: MessageKind, reply: RemoteReply, arguments: list[Any]) -> None:
        if kind is MessageKind.FETCH:
            (fetch_ms,) = arguments
            self._cluster.store.fetch(fetch_ms, reply)
            return
        worker = self._cluster.workers[arguments[0]]
        assert isinstance(worker, SimulatedWorker)
        if kind is MessageKind.LOAD_ORDER:
            model, instance_count, dispatcher = arguments[1:]
            worker.receive_order(self._cluster.actions_by_model[model], instance_count, dispatcher, reply)
        else:
            path, *fields = arguments[1:]
            worker.receive_attempt(AttemptMessage(self._cluster.deployment.actions[path], *fields), reply)
