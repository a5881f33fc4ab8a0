"""Bodies of the invoke API's replies: activation records, actions and errors in the format of its specification."""

from __future__ import annotations

from typing import Any

import msgspec

from kelptrail.dispatch.entities import FinalStatus
from kelptrail.gateway.records import STATUS_MESSAGES, Record
from kelptrail.settings.deployment import ActionSettings, Deployment

encode = msgspec.json.encode
VERSION = "0.0.1"  # Version of all actions


def error(message: str, code: str, **details: Any) -> bytes:
    """Return an error body: `error`, `code` and the fields of `details`."""
    return encode({"error": message, "code": code} | details)


def activation_annotations(record: Record) -> list[dict[str, Any]]:
    """Return the record's annotations; the one with key `kelptrail` contains the kind of its final answer."""
    return [
        {"key": "path", "value": f"{record.namespace}/{record.path}"},
        {"key": "kind", "value": record.request_class},
        {"key": "limits", "value": {"timeout": record.timeout_ms}},
        {"key": "waitTime", "value": round(record.queued_ms)},
        {"key": "kelptrail", "value": final_answer(record)},
    ]


def final_answer(record: Record) -> dict[str, Any]:
    """Return the kind of the final answer and the details that a client needs before a retry.

    The keys are part of the API: `effect` is the idempotency, `sends` the number of attempts, and `repeat_within_ms`
    the time for which repeats are still dropped.
    """
    fields: dict[str, Any] = {"answer": record.answer, "effect": record.idempotency, "sends": record.attempt_count}
    if record.trace:
        fields["traceparent"] = record.trace
    if record.answer == FinalStatus.REJECTED:
        fields["retry_after_ms"] = round(record.retry_after_ms, 3)
        if record.deduplicated_for_ms:
            fields["repeat_within_ms"] = round(record.deduplicated_for_ms)
    elif record.answer == FinalStatus.FAILED:
        fields["promise"] = "none"
    return fields


def activation(record: Record) -> dict[str, Any]:
    """Return a complete activation record."""
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
    """Return the short form of a record, used in lists unless the client sets `docs`."""
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
    """Return the body for the `/result` of an activation."""
    return {
        "status": STATUS_MESSAGES[record.code],
        "statusCode": record.code,
        "success": record.code == 0,
        "result": msgspec.Raw(record.result),
    }


def logs(record: Record) -> dict[str, Any]:
    """Return the body for the `/logs` of an activation."""
    return {"logs": record.logs}


def action(deployment: Deployment, namespace: str, settings: ActionSettings) -> dict[str, Any]:
    """Return an action with the settings of its request class."""
    request_class = deployment.types[settings.type]
    return {
        "namespace": f"{namespace}/{settings.package}" if settings.package else namespace,
        "name": settings.name,
        "version": VERSION,
        "publish": False,
        "updated": 0,
        "exec": {"kind": "model", "binary": True},
        "limits": {
            "timeout": request_class.timeout_ms,
            "memory": settings.memory_mb,
            "concurrency": settings.concurrency,
        },
        "parameters": [],
        "annotations": [
            {"key": "type", "value": request_class.name},
            {"key": "effect", "value": request_class.effect},
            {"key": "target_ms", "value": request_class.latency_objective_ms},
            {"key": "model", "value": settings.model},
            *(
                [{"key": "remembered_ms", "value": request_class.deduplication_window_ms}]
                if request_class.deduplication_window_ms
                else []
            ),
        ],
    }
