"""How a client behaves: whether it retries after an answer, when, and how far it honours a retry-after time.  Pure.

Clients retry only what is harmless by the answer they got.  Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

IDEMPOTENT_RETRY_MS = 100.0  # after a failed idempotent call
LOST_RETRY_MS = 200.0  # after an idempotent call without an answer
UNREACHED_RETRY_MS = 50.0  # after a call that no dispatcher accepted, at another dispatcher
UNREACHED_RETRY_FOR_MS = 2000.0  # such calls are retried for so long
MAX_UNREACHED_RETRIES = 20  # of such calls, beyond the attempts that their load allows


class ClientOutcome(Enum):
    """How an attempt ended, as its client sees it."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # a retry is harmless
    ABORTED = "aborted"  # it may have run
    NOT_TAKEN = "not-taken"  # no dispatcher accepted it: shed at the listener, or no connection
    LOST = "lost"  # no answer


RETRIED_ANSWERS = (ClientOutcome.REJECTED.value, ClientOutcome.ABORTED.value)  # after which a client may retry


@dataclass(frozen=True, slots=True)
class ClientBehavior:
    """How one client retries."""

    retry_after_share: float = 1.0  # of a retry-after time that it waits: 1 honours it, 0 retries at once
    jitter: tuple[float, float] = (1.0, 1.2)  # the wait is multiplied by a factor drawn from this range


def behavior_of(draw: float, full_share: float, half_share: float) -> ClientBehavior:
    """A client's behaviour by a draw from 0 to 1: `full_share` of clients honour a retry-after time, `half_share` wait
    half of it, and the rest retries at once.
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
    """How long a client waits before it retries, in ms; None: it does not retry.

    `retry_after_ms`: the retry-after time of the answer, 0 for none; `repeat_within_ms`: how long a retry is harmless,
    None for ever; `elapsed_ms`: since this attempt began.
    """
    wait = retry_after_ms * behavior.retry_after_share
    if outcome is ClientOutcome.REJECTED:
        harmless = repeat_within_ms is None or wait + timeout_ms < repeat_within_ms
        return wait if harmless else None
    if outcome is ClientOutcome.NOT_TAKEN:
        return max(UNREACHED_RETRY_MS, wait) if elapsed_ms < UNREACHED_RETRY_FOR_MS else None
    if effect != "repeatable":
        return None
    return {ClientOutcome.ABORTED: IDEMPOTENT_RETRY_MS, ClientOutcome.LOST: LOST_RETRY_MS}.get(outcome)


def has_attempts_left(outcome: ClientOutcome, attempts_left: int) -> bool:
    """Whether a call may be attempted again; `attempts_left` falls below 0 while no dispatcher accepts the call."""
    return attempts_left > (-MAX_UNREACHED_RETRIES if outcome is ClientOutcome.NOT_TAKEN else 0)
