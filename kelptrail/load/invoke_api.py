"""Client side of the invoke API: encodes calls and polls, and reads the final answer from a response.  No I/O."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Any

import msgspec

from kelptrail.codec.http import encode_request
from kelptrail.settings.deployment import NamespaceSettings

ANNOTATION = "kelptrail"  # key of the annotation that holds the final answer


def authorization_of(namespace: NamespaceSettings) -> str:
    """Return the `authorization` header for a namespace (basic authentication, RFC 7617)."""
    return "Basic " + base64.b64encode(f"{namespace.uuid}:{namespace.key}".encode()).decode()


def encode_call(address: str, action: str, ticket: str, deferred: bool, headers: dict[str, str]) -> bytes:
    """Encode the request that calls an action, with the ticket as the function's parameter."""
    blocking = str(not deferred).lower()
    target = f"/api/v1/namespaces/_/actions/{action}?blocking={blocking}"
    return encode_request("POST", target, address, msgspec.json.encode({"ticket": ticket}), headers)


def encode_poll(address: str, activation: str, authorization: str) -> bytes:
    """Encode the request for the activation record of a deferred call."""
    target = f"/api/v1/namespaces/_/activations/{activation}"
    return encode_request("GET", target, address, b"", {"authorization": authorization})


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """Final answer of a call, with its retry information."""

    answer: str  # "completed", "rejected" or "aborted"; "status-..." if the body has no answer
    retry_after_ms: float = 0.0
    repeat_within_ms: float | None = None  # time for which a retry is safe; None if it always is


def read_final_answer(status: int, body: Any) -> FinalAnswer:
    """Read the final answer from a decoded body.

    An activation record has it in its annotations, an error at its top level.
    """
    annotations = (
        {annotation["key"]: annotation["value"] for annotation in body.get("annotations", [])}
        if isinstance(body, dict)
        else {}
    )
    fields = annotations.get(ANNOTATION, body)
    return FinalAnswer(
        fields.get("answer", f"status-{status}"),
        float(fields.get("retry_after_ms", 0.0)),
        fields.get("repeat_within_ms"),
    )
