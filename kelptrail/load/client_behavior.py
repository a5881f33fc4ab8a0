"""Retry behaviour of clients: whether and when a client retries, and how far it honours a retry-after time.  No I/O.

Clients retry only where the outcome of the last attempt makes a retry safe.  Times are in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

IDEMPOTENT_RETRY_MS = 100.0  # delay after an idempotent call that was aborted
LOST_RETRY_MS = 200.0  # delay after an idempotent call without an answer
# Calls that no dispatcher accepted are retried at another dispatcher.
NOT_TAKEN_RETRY_MS = 50.0  # minimum delay
NOT_TAKEN_RETRY_FOR_MS = 2000.0  # maximum age of an attempt that is retried
MAX_NOT_TAKEN_RETRIES = 20  # maximum number of retries beyond the attempts that the load allows


class ClientOutcome(Enum):
    """Outcome of an attempt from the client's point of view."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # did not run: a retry is safe
    ABORTED = "aborted"  # failed, and may have run
    NOT_TAKEN = "not-taken"  # not accepted by a dispatcher: shed at the listener, or no connection
    LOST = "lost"  # no answer


RETRIED_ANSWERS = (ClientOutcome.REJECTED.value, ClientOutcome.ABORTED.value)  # answers that a client may retry


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """Retry behaviour of one client."""

    retry_after_share: float = 1.0  # share of a retry-after time that the client waits; 0 retries at once
    jitter: tuple[float, float] = (1.0, 1.2)  # range of the random factor that multiplies the delay


def behavior_of(draw: float, full_share: float, half_share: float) -> ClientBehavior:
    """Return the behaviour of a client for a uniform random number between 0 and 1.

    The share `full_share` of clients honours a retry-after time, `half_share` waits half of it, and the others retry at
    once.
    """
    if draw < full_share:
        return ClientBehavior(1.0)
    return ClientBehavior(0.5 if draw < full_share + half_share else 0.0)


def retry_delay_ms(
    behavior: ClientBehavior,
    outcome: ClientOutcome,
    effect: str,
    timeout_ms: float,
    retry_after_ms: float = 0.0,
    repeat_within_ms: float | None = None,
    elapsed_ms: float = 0.0,
) -> float | None:
    """Return the delay before a client retries, without jitter, in ms, or None if it does not retry.

    `retry_after_ms` is the retry-after time of the answer, or 0; `repeat_within_ms` the time for which a retry is safe,
    None if it always is; `elapsed_ms` the time since this attempt began.
    """
    wait_ms = retry_after_ms * behavior.retry_after_share
    if outcome is ClientOutcome.REJECTED:
        safe = repeat_within_ms is None or wait_ms + timeout_ms < repeat_within_ms
        return wait_ms if safe else None
    if outcome is ClientOutcome.NOT_TAKEN:
        return max(NOT_TAKEN_RETRY_MS, wait_ms) if elapsed_ms < NOT_TAKEN_RETRY_FOR_MS else None
    if effect != "repeatable":
        return None
    return {ClientOutcome.ABORTED: IDEMPOTENT_RETRY_MS, ClientOutcome.LOST: LOST_RETRY_MS}.get(outcome)


def has_attempts_left(outcome: ClientOutcome, attempts_left: int) -> bool:
    """Return whether a call may be attempted again.

    `attempts_left` falls below 0 while no dispatcher accepts the call, which allows more retries.
    """
    return attempts_left > (-MAX_NOT_TAKEN_RETRIES if outcome is ClientOutcome.NOT_TAKEN else 0)
