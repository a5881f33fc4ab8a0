"""Error statuses of the inference API: gRPC code, text, `RetryInfo` and `ErrorInfo` with a reason and details."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from kelptrail.codec.grpc import Code, GrpcError
from kelptrail.dispatch.entities import FinalStatus, Idempotency
from kelptrail.gateway.records import Record

RETRY_AFTER_MS = 1000.0
SHOWN_RESULT_BYTES = 500  # Maximum length of a failed function's result in the status text
# Effect of a retry if an attempt may have run, by the idempotency of the request.  In the texts, a mark is an
# idempotency key, and its group and time are the deduplication scope and window.
RETRY_RISK = {
    Idempotency.IDEMPOTENT.value: "it may have run; running it again does no harm",
    Idempotency.DEDUPLICATED.value: (
        "it may have run; a repeat is dropped only with the same mark, in its group and time"
    ),
    Idempotency.AT_MOST_ONCE.value: "it may have run; a repeat may have a second effect",
}


class ErrorReason(StrEnum):
    """Values of `reason` in an `ErrorInfo`; they are part of the API."""

    NOT_TAKEN = "NOT_TAKEN"  # The request was not accepted; a retry is always safe
    REJECTED = "REJECTED"  # The request was accepted and ended without an effect that a retry would double
    MAY_HAVE_RUN = "MAY_HAVE_RUN"  # An attempt may have run
    NEVER_RAN = "NEVER_RAN"  # The request was accepted and failed before its first attempt
    MODEL_FAILED = "MODEL_FAILED"  # The function itself failed
    MODEL_ANSWER = "MODEL_ANSWER"  # The worker's answer is malformed
    TENSOR = "TENSOR"  # The request contains a malformed tensor
    IN_HAND = "IN_HAND"  # The activation has no result yet
    ELSEWHERE = "ELSEWHERE"  # Another dispatcher has the activation
    UNKNOWN_ID = "UNKNOWN_ID"  # No dispatcher has the activation
    NOT_YET = "NOT_YET"  # Not known yet which dispatcher has the activation


def invalid(text: str, reason: str = "") -> GrpcError:
    """Return the error for a malformed message, tensor or parameter."""
    return GrpcError(Code.INVALID_ARGUMENT, text, reason=reason)


def not_accepted(text: str) -> GrpcError:
    """Return the error for a request that was not accepted and may be retried soon."""
    return GrpcError(Code.UNAVAILABLE, text, RETRY_AFTER_MS, ErrorReason.NOT_TAKEN)


def over_limit(text: str, retry_after_ms: float) -> GrpcError:
    """Return the error for a request that was not accepted because it exceeds a limit."""
    return GrpcError(Code.RESOURCE_EXHAUSTED, text, retry_after_ms, ErrorReason.NOT_TAKEN)


def in_flight() -> GrpcError:
    """Return the error for an activation without a result."""
    text = "The activation is in hand and has no result yet."
    return GrpcError(Code.UNAVAILABLE, text, RETRY_AFTER_MS, ErrorReason.IN_HAND)


def deadline_exceeded(details: dict[str, str]) -> GrpcError:
    """Return the error for a client's deadline that expired before the final answer."""
    text = "The client's deadline has come."
    return GrpcError(Code.DEADLINE_EXCEEDED, text, None, ErrorReason.MAY_HAVE_RUN, details)


def lookup_error(address: str | None) -> GrpcError:
    """Return the error for a poll for an activation without a record here.

    `address` has the values that `ActivationLookup.find` passes to `on_result`.
    """
    if address:
        text = "Another dispatcher has the activation now."
        return GrpcError(Code.NOT_FOUND, text, reason=ErrorReason.ELSEWHERE, details={"asked_at": address})
    if address is None:
        text = "No dispatcher knows the activation: it never was, or is no longer kept, or all that held it are lost."
        return GrpcError(Code.NOT_FOUND, text, reason=ErrorReason.UNKNOWN_ID)
    text = "The activation is not known yet: whoever may have it is being taken over, or cannot be heard."
    return GrpcError(Code.UNAVAILABLE, text, RETRY_AFTER_MS, ErrorReason.NOT_YET)


def final_error(record: Record) -> GrpcError:
    """Return the error for a final answer that is not a successful result; its details help to decide on a retry."""
    details = {"activation": record.id, "effect": record.idempotency, "sends": str(record.attempt_count)}
    if record.answer == FinalStatus.REJECTED:
        return _rejected(record, details)
    if record.answer == FinalStatus.FAILED:
        return _failed(record, details)
    result = record.result[:SHOWN_RESULT_BYTES].decode("utf-8", "replace")
    return GrpcError(Code.UNKNOWN, f"The model failed: {result}", None, ErrorReason.MODEL_FAILED, details)


def _rejected(record: Record, details: dict[str, str]) -> GrpcError:
    if record.deduplicated_for_ms:
        details["repeat_within_ms"] = str(round(record.deduplicated_for_ms))
    text = "The call was rejected before it had any effect that a repeat would double; try again later."
    return GrpcError(Code.RESOURCE_EXHAUSTED, text, record.retry_after_ms, ErrorReason.REJECTED, details)


def _failed(record: Record, details: dict[str, str]) -> GrpcError:
    text = msgspec.json.decode(record.result).get("error", FinalStatus.FAILED.value)
    code = Code.DEADLINE_EXCEEDED if record.timed_out else Code.ABORTED
    if record.attempt_count > 0:
        details["retrying"], reason = RETRY_RISK[record.idempotency], ErrorReason.MAY_HAVE_RUN
    else:
        details["retrying"], reason = "nothing of it ran", ErrorReason.NEVER_RAN
    return GrpcError(code, text, None, reason, details)
