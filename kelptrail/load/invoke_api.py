"""The invoke API as its clients use it: requests to call and to poll, and the final answer in a response.  Pure."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Any

import msgspec

from kelptrail.codec.http import encode_request
from kelptrail.settings.deployment import NamespaceSettings

ANNOTATION = "kelptrail"  # of an activation record, with the final answer


def authorization_of(namespace: NamespaceSettings) -> str:
    """The `authorization` header of a namespace's clients (basic authentication, RFC 7617)."""
    return "Basic " + base64.b64encode(f"{namespace.uuid}:{namespace.key}".encode()).decode()


def encode_call(address: str, action: str, ticket: str, deferred: bool, headers: dict[str, str]) -> bytes:
    """The request that calls an action; the function is given the ticket."""
    blocking = str(not deferred).lower()
    target = f"/api/v1/namespaces/_/actions/{action}?blocking={blocking}"
    return encode_request("POST", target, address, msgspec.json.encode({"ticket": ticket}), headers)


def encode_poll(address: str, activation: str, authorization: str) -> bytes:
    """The request for the record of a deferred call."""
    target = f"/api/v1/namespaces/_/activations/{activation}"
    return encode_request("GET", target, address, b"", {"authorization": authorization})


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The final answer of a call, and what it says on retries."""

    answer: str  # "completed", "rejected" or "aborted"; "status-..." without an answer of the gateway
    retry_after_ms: float = 0.0
    repeat_within_ms: float | None = None  # how long a retry is harmless, None for ever


def read_final_answer(status: int, body: Any) -> FinalAnswer:
    """The final answer in a decoded body: in the annotations of an activation record, or of an error itself."""
    annotations = {note["key"]: note["value"] for note in body.get("annotations", [])} if isinstance(body, dict) else {}
    fields = annotations.get(ANNOTATION, body)
    return FinalAnswer(
        fields.get("answer", f"status-{status}"),
        float(fields.get("retry_after_ms", 0.0)),
        fields.get("repeat_within_ms"),
    )
