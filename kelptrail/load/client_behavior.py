"""Retry behaviour of clients: whether and when a client retries, and how much of a retry-after time it waits.  No I/O.

Clients retry only if the outcome of the last attempt and the function's effect make a retry safe.  Times are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

ABORTED_RETRY_DELAY_MS = 100.0  # after an idempotent call that was aborted
LOST_RETRY_DELAY_MS = 200.0  # after an idempotent call without an answer
# Retries of calls that no dispatcher accepted:
MIN_NOT_TAKEN_DELAY_MS = 50.0
MAX_NOT_TAKEN_AGE_MS = 2000.0  # an attempt of this age is no longer retried
MAX_NOT_TAKEN_RETRIES = 20  # extra attempts after those that the load allows


class ClientOutcome(Enum):
    """Outcome of an attempt from the client's point of view."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # a retry is safe; with `repeat_within_ms` in the answer, only for that time
    ABORTED = "aborted"  # failed; a client assumes that it may have run
    NOT_TAKEN = "not-taken"  # not accepted by a dispatcher: shed at the listener, or no connection
    LOST = "lost"  # no answer


# Answers after which a client may retry.
RETRYABLE_ANSWERS = (ClientOutcome.REJECTED.value, ClientOutcome.ABORTED.value)


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """Retry behaviour of one client."""

    retry_after_share: float = 1.0  # share of a retry-after time that the client waits
    # Range of the random factor on a delay; after NOT_TAKEN, only the load generator applies it.
    jitter: tuple[float, float] = (1.0, 1.2)


def behavior_of(draw: float, full_share: float, half_share: float) -> ClientBehavior:
    """Return the behaviour of a client for a uniform random number between 0 and 1.

    The share `full_share` of clients waits the whole of a retry-after time, `half_share` waits half of it, and the
    others ignore it.
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

    `retry_after_ms` is the retry-after time of the answer, or 0.  `repeat_within_ms` is the time after the answer
    within which a retry, with its timeout, must end to be safe; None: no limit.  `elapsed_ms` is the time since this
    attempt began.
    """
    wait_ms = retry_after_ms * behavior.retry_after_share
    if outcome is ClientOutcome.REJECTED:
        safe = repeat_within_ms is None or wait_ms + timeout_ms < repeat_within_ms
        return wait_ms if safe else None
    if outcome is ClientOutcome.NOT_TAKEN:
        return max(MIN_NOT_TAKEN_DELAY_MS, wait_ms) if elapsed_ms < MAX_NOT_TAKEN_AGE_MS else None
    if effect != "repeatable":
        return None
    return {ClientOutcome.ABORTED: ABORTED_RETRY_DELAY_MS, ClientOutcome.LOST: LOST_RETRY_DELAY_MS}.get(outcome)


def has_attempts_left(outcome: ClientOutcome, attempts_left: int) -> bool:
    """Return whether a call may be attempted again.

    `attempts_left` may be negative: a call that no dispatcher accepted has `MAX_NOT_TAKEN_RETRIES` extra attempts.
    """
    return attempts_left > (-MAX_NOT_TAKEN_RETRIES if outcome is ClientOutcome.NOT_TAKEN else 0)
