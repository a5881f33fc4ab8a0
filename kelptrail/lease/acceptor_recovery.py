"""How an acceptor that does not vote yet finds out when it may: it collects the states of the others and waits.

The wait ensures that every lease which the acceptor may have granted before, unknown to it, has expired.  Only replies
to queries sent after the wait count, as the others may have granted leases meanwhile.
"""

from __future__ import annotations

from .acceptor_state import Stage
from .messages import LeaseSettings, StateReply, majority


class AcceptorRecovery:
    """Queries, replies and the wait of the acceptor `name`.  Times in ms of its own clock."""

    def __init__(self, name: str, settings: LeaseSettings, now: float) -> None:
        self.name, self.settings = name, settings
        self.quiet_since: float | None = now  # no unknown grant can be later; None: not known yet
        self.replies: dict[str, StateReply] = {}  # to the last query, by acceptor
        self.nonce = 0  # of the last query
        self.next_query_at = now

    def start_query(self, now: float) -> int:
        """Start a new query, which discards the replies to the last one; returns its nonce."""
        self.next_query_at = now + self.settings.request_timeout_ms
        self.nonce += 1
        self.replies = {}
        return self.nonce

    def next_stage(self, now: float, stage: Stage) -> Stage | None:
        """The stage that an acceptor in `stage` may enter after the replies so far; None: none yet."""
        if stage is Stage.CHANGING:
            return self._stage_after_config_change(now)
        return self._stage_after_state_loss(now, stage)

    def _stage_after_config_change(self, now: float) -> Stage | None:
        """The previous set is sealed once a majority of it has entered this one; then the longest lease must elapse."""
        previous = self.settings.previous_acceptors
        sealed = 1 + sum(self.replies[name].sealed_previous for name in previous if name in self.replies)
        if self.name not in previous or sealed < majority(previous):
            return None
        return Stage.VOTING if self._is_wait_over(now) else None

    def _stage_after_state_loss(self, now: float, stage: Stage) -> Stage | None:
        """Without durable state: vote once all leases granted here have expired and a majority of voting acceptors has
        sent its state, or once it is certain that all of the set is new.
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
        everyone_else = {*others, *self.settings.previous_acceptors} - {self.name}
        return Stage.FOUNDING if all(self._is_new(name) for name in everyone_else) else None

    def _is_new(self, name: str) -> bool:
        """Whether another acceptor has replied that it never granted anything."""
        reply = self.replies.get(name)
        return reply is not None and reply.stage in (Stage.EMPTY.value, Stage.FOUNDING.value)

    def _is_wait_over(self, now: float) -> bool:
        """Whether the longest lease has elapsed since `quiet_since`, and the replies were requested after that."""
        if self.quiet_since is None:
            self.quiet_since = now
        queried_at = self.next_query_at - self.settings.request_timeout_ms
        wait_ms = self.settings.recovery_wait_ms
        return now - self.quiet_since >= wait_ms and queried_at - self.quiet_since >= wait_ms

    def clone(self) -> AcceptorRecovery:
        """An independent copy, for the model checker."""
        clone = AcceptorRecovery.__new__(type(self))
        clone.__dict__.update(self.__dict__)
        clone.replies = dict(self.replies)
        return clone
