"""Bodies of the invoke API's replies: activation records, actions and errors in the form of its specification."""

from __future__ import annotations

from typing import Any

import msgspec

from kelptrail.dispatch.entities import FinalStatus
from kelptrail.gateway.records import STATUS_MESSAGES, Record
from kelptrail.settings.deployment import ActionSettings, Deployment

encode = msgspec.json.encode
VERSION = "0.0.1"


def error(message: str, code: str, **details: Any) -> bytes:
    """An error body: `{"error", "code"}` and further fields."""
    return encode({"error": message, "code": code} | details)


def activation_annotations(record: Record) -> list[dict[str, Any]]:
    """The record's annotations; the one under the key `kelptrail` says which of the three final answers it got."""
    return [
        {"key": "path", "value": f"{record.namespace}/{record.path}"},
        {"key": "kind", "value": record.request_class},
        {"key": "limits", "value": {"timeout": record.timeout_ms}},
        {"key": "waitTime", "value": round(record.queued_ms)},
        {"key": "kelptrail", "value": final_answer(record)},
    ]


def final_answer(record: Record) -> dict[str, Any]:
    """The final answer, with what its client needs to know before a retry."""
    shown: dict[str, Any] = {"answer": record.answer, "effect": record.idempotency, "sends": record.attempt_count}
    if record.trace:
        shown["traceparent"] = record.trace
    if record.answer == FinalStatus.REJECTED:
        shown["retry_after_ms"] = round(record.retry_after_ms, 3)
        if record.deduplicated_for_ms:
            shown["repeat_within_ms"] = round(record.deduplicated_for_ms)
    elif record.answer == FinalStatus.FAILED:
        shown["promise"] = "none"
    return shown


def activation(record: Record) -> dict[str, Any]:
    """A complete activation record."""
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
        "annotations": activation_annotations(record),
        "logs": record.logs,
    }


def summary(record: Record) -> dict[str, Any]:
    """A record in a list, unless the client asks for `docs`."""
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
        "annotations": activation_annotations(record),
    }


def result(record: Record) -> dict[str, Any]:
    """The `/result` of an activation."""
    return {
        "status": STATUS_MESSAGES[record.code],
        "statusCode": record.code,
        "success": record.code == 0,
        "result": msgspec.Raw(record.result),
    }


def logs(record: Record) -> dict[str, Any]:
    """The `/logs` of an activation."""
    return {"logs": record.logs}


def action(deployment: Deployment, namespace: str, item: ActionSettings) -> dict[str, Any]:
    """An action, with the settings of its request class."""
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
