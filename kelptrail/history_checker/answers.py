"""Rule 1: each accepted call gets exactly one final answer in time, and no attempt starts after that answer."""

from __future__ import annotations

from collections import defaultdict

from .history import SLACK_MS, Event, History, earliest_arrival
from .outages import Outages
from .result import Breach, CheckResult


class AnswerCheck:
    """Checks rule 1 at the clients: each accepted call gets exactly one final answer in time."""

    def __init__(self, history: History, result: CheckResult) -> None:
        self._history, self._result = history, result
        self._outages = Outages(history)
        deployment = history.deployment
        self._replicated = bool(deployment.get("copies", 0))
        # With a journal ("kept"), an acknowledged activation must remain known whatever happens to its dispatcher.
        self._acknowledged = {e["call"] for e in history.events_of("accepted")} if deployment.get("kept") else set()
        self._dispatchers_without_disk = (
            set() if self._replicated else {event["dispatcher"] for event in history.events_of("disk-lost")}
        )
        self._gave_up_at: dict[str, float] = {event["call"]: event["t"] for event in history.events_of("no-answer")}

    def run(self) -> None:
        """Check all calls and add the breaches to the result."""
        not_accepted = {event["call"] for event in self._history.events_of("not-taken")}
        self._result.not_taken = len(not_accepted)
        self._check_denied_activations()
        self._check_conflicting_finals()
        finals_of_call: dict[str, list[Event]] = defaultdict(list)
        for event in self._history.events_of("final"):
            finals_of_call[event["call"]].append(event)
        for call_id, call in self._history.calls.items():
            if call_id in not_accepted:
                continue
            self._result.taken += 1
            finals = finals_of_call.get(call_id)
            if finals:
                self._check_finals(call_id, call, finals)
            else:
                self._check_unanswered(call_id, call)

    def _check_denied_activations(self) -> None:
        for event in self._history.events_of("denied"):
            if event["call"] in self._acknowledged:
                self._result.add_breach(Breach.PROMISES_DENIED, f"{event['activation']} at {event['at']}")

    def _check_conflicting_finals(self) -> None:
        """Check that no activation has two different final answers."""
        for event in self._history.events_of("final"):
            first = self._history.finals.get(event["activation"], event)
            if first["answer"] != event["answer"]:
                detail = f"{event['activation']} {first['answer']}, {event['answer']}"
                self._result.add_breach(Breach.FINALS_TWICE, detail)

    def _check_unanswered(self, call_id: str, call: Event) -> None:
        result = self._result
        acknowledged = call_id in self._acknowledged
        if acknowledged and call["dispatcher"] in self._dispatchers_without_disk:
            result.lost_with_disk += 1  # Without replicas, the activation was stored on the lost disk only.
        elif acknowledged and call_id in self._gave_up_at:
            result.add_breach(Breach.ACCEPTED_LOST, f"{call_id} {call['action']} was acknowledged and is not known")
        elif self._outages.was_down(call, self._gave_up_at.get(call_id, float("inf"))):
            result.lost_with_dispatcher += 1
        else:
            result.add_breach(Breach.UNANSWERED, f"{call_id} {call['action']} by {call['dispatcher']}")

    def _check_finals(self, call_id: str, call: Event, finals: list[Event]) -> None:
        result, final = self._result, finals[0]
        if len(finals) > 1:
            result.add_breach(Breach.FINALS_TWICE, call_id)
        answer = final["answer"]
        if answer == "completed":
            result.completed += 1
        elif answer == "rejected":
            result.rejected += 1
        elif answer == "aborted":
            result.aborted += 1
        else:
            result.other_answers += 1
        took_ms = final["took"] if final.get("took") is not None else earliest_arrival(final) - call["t"]
        if took_ms > call["limit_ms"] + SLACK_MS and not self._was_delayed_by_outage(call_id, call, final):
            result.add_breach(Breach.LATE_FINALS, f"{call_id} took {took_ms:.0f} of {call['limit_ms']:.0f} ms")

    def _was_delayed_by_outage(self, call_id: str, call: Event, final: Event) -> bool:
        if self._outages.was_down(call, final["t"]):
            return True
        # With replicas, a deferred call is answered only after they have confirmed its record; a cut link delays that.
        needs_replicas = self._replicated and call_id in self._acknowledged
        return needs_replicas and self._outages.was_cut_off(call, final["t"])


def check_attempts_after_final(history: History, result: CheckResult) -> None:
    """Check rule 1 at the workers: no attempt starts after the client has received its answer."""
    for event in history.events_of("send"):
        final = history.finals.get(event["activation"])
        if final is not None and earliest_arrival(event) > final["t"] + SLACK_MS:
            delay_ms = event["t"] - final["t"]
            result.add_breach(
                Breach.ATTEMPTS_AFTER_FINAL, f"{event['activation']} at {event['worker']}, {delay_ms:.0f} ms later"
            )


def check_attempts_after_part(history: History, result: CheckResult) -> None:
    """Check rule 1 for streamed answers: no attempt starts after the client has received a part of the answer."""
    first_part_at = {event["activation"]: event["t"] for event in reversed(history.events_of("part"))}
    for event in history.events_of("send"):
        part_at = first_part_at.get(event["activation"])
        if part_at is not None and earliest_arrival(event) > part_at + SLACK_MS:
            delay_ms = event["t"] - part_at
            result.add_breach(
                Breach.ATTEMPTS_AFTER_PART, f"{event['activation']} at {event['worker']}, {delay_ms:.0f} ms later"
            )
