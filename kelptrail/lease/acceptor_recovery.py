"""Recovery of an acceptor that does not vote yet: a wait, and queries of the state of the other acceptors.

The acceptor may have lost the records of leases that it granted; at the end of the wait, these leases have expired.
Only replies to queries sent after the wait are used, because the others may have granted leases during the wait.
"""

from __future__ import annotations

from .acceptor_state import Stage
from .messages import LeaseSettings, StateReply, majority


class AcceptorRecovery:
    """Wait, queries and replies of the recovering acceptor `name`.  Times are in ms on its own clock."""

    def __init__(self, name: str, settings: LeaseSettings, now: float) -> None:
        self.name, self.settings = name, settings
        # Start of the wait; any grant without a record here was made earlier.  None: the wait has not started.
        self.wait_started_at: float | None = now
        self.replies: dict[str, StateReply] = {}  # replies to the last query, by acceptor
        self.nonce = 0  # identifies the last query
        self.next_query_at = now

    def start_query(self, now: float) -> int:
        """Start a new query, discard the replies to the previous one, and return the new nonce."""
        self.next_query_at = now + self.settings.request_timeout_ms
        self.nonce += 1
        self.replies = {}
        return self.nonce

    def next_stage(self, now: float, stage: Stage) -> Stage | None:
        """Return the stage that an acceptor in `stage` may enter after the replies so far, or None if there is none."""
        if stage is Stage.CHANGING:
            return self._stage_after_config_change(now)
        return self._stage_after_state_loss(now, stage)

    def _stage_after_config_change(self, now: float) -> Stage | None:
        """Return the stage after a change of the acceptor set, or None if the acceptor must still wait.

        A majority of the previous set must have entered the new set, which seals the previous set.  Then all leases
        of the previous set must expire.  An acceptor that was not in the previous set waits forever.
        """
        previous = self.settings.previous_acceptors
        # This acceptor itself has sealed the previous set by entering the new one.
        sealed = 1 + sum(self.replies[name].sealed_previous for name in previous if name in self.replies)
        if self.name not in previous or sealed < majority(previous):
            return None
        return Stage.VOTING if self._is_wait_over(now) else None

    def _stage_after_state_loss(self, now: float, stage: Stage) -> Stage | None:
        """Return the next stage of an acceptor without durable state, or None if it must still wait.

        Once all leases that it may have granted have expired, it votes if voting acceptors that form a majority have
        replied.  It enters FOUNDING if all others report no state, and votes from FOUNDING if all others are in
        FOUNDING or one of them votes.
        """
        if not self._is_wait_over(now):
            return None
        others = [name for name in self.settings.acceptors if name != self.name]
        stages = [self.replies[name].stage for name in others if name in self.replies]
        if stage is Stage.FOUNDING:
            all_founding = len(stages) == len(others) and set(stages) <= {Stage.FOUNDING.value}
            return Stage.VOTING if Stage.VOTING.value in stages or all_founding else None
        if stages.count(Stage.VOTING.value) >= majority(self.settings.acceptors):
            return Stage.VOTING
        all_others = {*others, *self.settings.previous_acceptors} - {self.name}
        return Stage.FOUNDING if all(self._reports_no_state(name) for name in all_others) else None

    def _reports_no_state(self, name: str) -> bool:
        """Return whether another acceptor has replied that it has no state from which it could vote."""
        reply = self.replies.get(name)
        return reply is not None and reply.stage in (Stage.EMPTY.value, Stage.FOUNDING.value)

    def _is_wait_over(self, now: float) -> bool:
        """Return whether the wait is over and the last query was sent after its end.

        The first call starts the wait if it has not started yet.
        """
        if self.wait_started_at is None:
            self.wait_started_at = now
        queried_at = self.next_query_at - self.settings.request_timeout_ms
        wait_ms = self.settings.recovery_wait_ms
        return now - self.wait_started_at >= wait_ms and queried_at - self.wait_started_at >= wait_ms

    def clone(self) -> AcceptorRecovery:
        """Return an independent copy, for the model checker."""
        clone = AcceptorRecovery.__new__(type(self))
        clone.__dict__.update(self.__dict__)
        clone.replies = dict(self.replies)
        return clone
