"""What the invoke API shows: activation records, actions and errors as their specification words them."""

from __future__ import annotations

from typing import Any

import msgspec

from kelptrail.gateway.records import STATUS_MESSAGES, Record
from kelptrail.settings.deployment import ActionSettings, Deployment

encode = msgspec.json.encode
VERSION = "0.0.1"


def error(text: str, code: str, **more: Any) -> bytes:
    """An error body: `{"error", "code"}` and what else is to be told."""
    return encode({"error": text, "code": code} | more)


def notes(record: Record) -> list[dict[str, Any]]:
    """The record's annotations; those under `kelptrail` say which of the three final answers it got."""
    out: list[dict[str, Any]] = [
        {"key": "path", "value": f"{record.namespace}/{record.path}"},
        {"key": "kind", "value": record.request_class},
        {"key": "limits", "value": {"timeout": record.timeout_ms}},
        {"key": "waitTime", "value": round(record.queued_ms)},
        {"key": "kelptrail", "value": answer(record)},
    ]
    return out


def answer(record: Record) -> dict[str, Any]:
    """The final answer in our words, with what may be done about it."""
    out: dict[str, Any] = {"answer": record.answer, "effect": record.idempotency, "sends": record.attempt_count}
    if record.trace:
        out["traceparent"] = record.trace
    if record.answer == "rejected":
        out["retry_after_ms"] = round(record.retry_after_ms, 3)
        if record.deduplicated_for_ms:
            out["repeat_within_ms"] = round(record.deduplicated_for_ms)
    elif record.answer == "aborted":
        out["promise"] = "none"
    return out


def activation(record: Record, logs: bool = True) -> dict[str, Any]:
    """A whole activation record."""
    return {
        "activationId": record.id,
        "namespace": record.namespace,
        "subject": record.namespace,
        "name": record.name,
        "version": VERSION,
        "publish": False,
        "start": round(record.start),
        "end": round(record.end),
        "duration": round(record.end - record.start),
        "response": {
            "status": STATUS_MESSAGES[record.code],
            "statusCode": record.code,
            "success": record.code == 0,
            "result": msgspec.Raw(record.result),
        },
        "annotations": notes(record),
        "logs": record.logs if logs else [],
    }


def summary(record: Record) -> dict[str, Any]:
    """A record as lists show it without `docs`."""
    return {
        "activationId": record.id,
        "namespace": record.namespace,
        "name": record.name,
        "version": VERSION,
        "publish": False,
        "start": round(record.start),
        "end": round(record.end),
        "duration": round(record.end - record.start),
        "statusCode": record.code,
        "annotations": notes(record),
    }


def result(record: Record) -> dict[str, Any]:
    """The `/result` of a record."""
    return {
        "status": STATUS_MESSAGES[record.code],
        "statusCode": record.code,
        "success": record.code == 0,
        "result": msgspec.Raw(record.result),
    }


def action(deployment: Deployment, namespace: str, item: ActionSettings) -> dict[str, Any]:
    """One action."""
    kind = deployment.types[item.type]
    return {
        "namespace": f"{namespace}/{item.package}" if item.package else namespace,
        "name": item.name,
        "version": VERSION,
        "publish": False,
        "updated": 0,
        "exec": {"kind": "model", "binary": True},
        "limits": {"timeout": kind.timeout_ms, "memory": item.memory_mb, "concurrency": item.concurrency},
        "parameters": [],
        "annotations": [
            {"key": "type", "value": kind.name},
            {"key": "effect", "value": kind.effect},
            {"key": "target_ms", "value": kind.latency_objective_ms},
            {"key": "model", "value": item.model},
            *(
                [{"key": "remembered_ms", "value": kind.deduplication_window_ms}]
                if kind.deduplication_window_ms
                else []
            ),
        ],
    }
