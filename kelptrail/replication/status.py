"""State of replication for operators, with the keys of `kelptrail copies --json`.  Times are milliseconds."""

from __future__ import annotations

from typing import Any

from .context import ReplicationContext
from .drain import DrainController
from .journal_manager import JournalManager
from .primary import Primary
from .replica import ReplicaLog
from .replica_stream import ReplicaStream


def replication_status(
    now: float, context: ReplicationContext, journals: JournalManager, drain: DrainController
) -> dict[str, Any]:
    """Return the state of the journals with a `PrimaryHandle` in this process, and of those replicated here."""
    return {
        "name": context.name,
        "copies": context.settings.replica_count,
        "disk": context.stores.own_disk_id,
        "retiring": drain.draining,
        "promising": journals.current is not None and journals.current.is_accepting(),
        "owned": {
            journal_id: primary_status(now, handle.primary)
            | {"current": handle is journals.current, "live": handle.recovered}
            for journal_id, handle in sorted(journals.handles.items())
        },
        "held": {
            journal_id: _replica_status(now, context, log)
            for journal_id, log in sorted(context.replica.logs.items())
            if journal_id not in journals.handles and log.primary
        },
        "refused": context.replica.fenced_messages,
        "taken_up": journals.activations_recovered,
        "let_go": journals.activations_released,
        "disk_failing": context.stores.failing,
    }


def primary_status(now: float, primary: Primary) -> dict[str, Any]:
    """Return the state of a journal at its primary."""
    since = primary.under_replication.since
    return {
        "token": str(primary.token),
        "members": sorted(primary.in_sync),
        "full": primary.is_fully_replicated,
        "ready": primary.ready,
        "waiting": primary.batches.uncommitted_entries,
        "at_risk_ms": round(now - since) if since is not None and primary.token.round else 0,
        "risk_ms": round(primary.under_replication.earlier_ms),
        "mended": primary.repaired_buckets,
        "batches": primary.batches.committed_batches,
        "entries": primary.batches.committed_entries,
        "bytes_out": primary.sender.sent_bytes,
        "holders": {stream.replica: _stream_status(stream) for stream in primary.streams.values()},
    }


def _stream_status(stream: ReplicaStream) -> dict[str, Any]:
    return {
        "stage": stream.state.value,
        "behind": stream.last_sequence - stream.acked_sequence,
        "bytes": stream.unacked_bytes,
        "filled": stream.repaired_bytes,
    }


def _replica_status(now: float, context: ReplicationContext, log: ReplicaLog) -> dict[str, Any]:
    return {
        "owner": log.primary,
        "token": str(log.token),
        "safe": log.durable_sequence,
        "heard_ms": context.failover.silent_ms(now, log.primary),
    }
