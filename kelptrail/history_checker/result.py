"""The result of a check: counts of outcomes and of breaches of each rule, and the details of breaches."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from enum import StrEnum

MAX_DETAILS = 200
# Keys of `report.json` that differ from the field names of `CheckResult`.
REPORT_KEYS = {
    "attempts_after_final": "sends_after_final",
    "attempts_after_part": "sends_after_part",
    "attempts": "sends",
    "lease_uses": "acts",
}


class Breach(StrEnum):
    """Ways to break a rule.  Each value names the field of `CheckResult` that counts the breaches of that kind."""

    # Rule 1.
    UNANSWERED = "unanswered"
    ACCEPTED_LOST = "accepted_lost"
    LATE_FINALS = "late_finals"
    FINALS_TWICE = "finals_twice"
    ATTEMPTS_AFTER_FINAL = "attempts_after_final"
    ATTEMPTS_AFTER_PART = "attempts_after_part"
    # Rule 2.
    EFFECTS_TWICE = "effects_twice"
    FALSE_REJECTIONS = "false_rejections"
    # Rules 3 to 5.
    DRAIN_BREACHES = "drain_breaches"
    COLD_BREACHES = "cold_breaches"
    RATION_BREACHES = "ration_breaches"
    # Rules of leases.
    HOLDERS_TWO = "holders_two"
    OLD_TOKENS_TAKEN = "old_tokens_taken"
    # Rule 1 for acknowledged activations.
    PROMISES_DENIED = "promises_denied"

    @property
    def report_key(self) -> str:
        """The key of this breach's count in `report.json`."""
        return REPORT_KEYS.get(self, str(self))


@dataclass(slots=True)
class CheckResult:
    """Counts of outcomes and of breaches of each rule, and the details of breaches."""

    taken: int = 0  # All calls except those that no dispatcher accepted
    completed: int = 0
    rejected: int = 0
    aborted: int = 0
    unanswered: int = 0
    accepted_lost: int = 0  # Acknowledged calls whose client gave up polling for the answer
    late_finals: int = 0
    finals_twice: int = 0
    attempts_after_final: int = 0
    attempts_after_part: int = 0
    effects_twice: int = 0
    false_rejections: int = 0  # Once-only calls that were rejected and ran
    drain_breaches: int = 0
    cold_breaches: int = 0  # Workers that were overloaded during their slow start
    ration_breaches: int = 0
    holders_two: int = 0  # Uses of a lease after a check that passed while a newer token was already in use
    old_tokens_taken: int = 0
    promises_denied: int = 0  # Polls of an acknowledged activation that were answered as unknown
    holders_two_by_clocks: int = 0  # Second holders while a clock ran at a rate outside its bound
    old_tokens_refused: int = 0  # Uses that the side-effect log rejected
    lease_uses: int = 0
    lost_with_disk: int = 0  # Acknowledged calls without an answer that were stored only on a lost disk
    lost_with_dispatcher: int = 0  # Other calls without an answer whose dispatcher was down
    not_taken: int = 0  # Calls that no dispatcher accepted
    other_answers: int = 0
    attempts: int = 0
    loads: int = 0  # Load orders
    effects: int = 0
    details: list[str] = field(default_factory=list)

    @property
    def broken(self) -> bool:
        """True if any rule was broken."""
        return any(getattr(self, breach) for breach in Breach)

    def add_breach(self, breach: Breach, detail: str) -> None:
        """Count a breach and store its detail, unless `MAX_DETAILS` are stored already."""
        setattr(self, breach, getattr(self, breach) + 1)
        if len(self.details) < MAX_DETAILS:
            self.details.append(f"{breach.report_key}: {detail}")

    def counts(self) -> dict[str, int]:
        """Return all counts by their keys in `report.json`."""
        return {
            REPORT_KEYS.get(count.name, count.name): getattr(self, count.name)
            for count in fields(self)
            if count.name != "details"
        }
