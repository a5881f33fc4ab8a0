"""One dispatcher in the simulator: translates events to calls of an engine, and decisions to actions.

The protocol's field names: `i` is the dispatcher, `handle` the request id, `shot` the number of the attempt, `ending`
the status of an attempt, load or health check, `runner` the worker, `fn` the function, `copies` the number of
instances, `project` the tenant, `parallel` the number of slots of one instance, `grace_us` the timeout and
`cost_guess_us` the estimated work.  In the answer to an attempt `done_flag` tells whether the request needs no other
attempt, and `stats` is the load report.  In an endpoint list `az` is the zone, `shape` the kind, `stripe` the cell,
`readiness` the worker's state and `capacity_hint` the size.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    FinalStatus,
    LoadOrder,
    LogMessage,
    ProbeKind,
    ReadinessProbe,
    ReadinessQuestion,
    Request,
    WorkerState,
)
from kelptrail.engine.engine import PUSHED_LIST, Endpoint, EndpointListTiming, Engine
from kelptrail.engine.events import RequestArrival
from kelptrail.engine.settings import MalformedError

Fields = dict[str, Any]

WORKER_STATES = {"live": WorkerState.LIVE, "quiescing": WorkerState.DRAINING, "dead": WorkerState.REMOVED}
ATTEMPT_STATUSES = {
    "S": AttemptStatus.COMPLETED,
    "E": AttemptStatus.ERROR,
    "F": AttemptStatus.OUT_OF_CAPACITY,
    "T": AttemptStatus.SILENT,
    "C": AttemptStatus.UNREACHABLE,
    "R": AttemptStatus.CONNECTION_LOST,
    "X": AttemptStatus.CANCELLED,
    "N": AttemptStatus.NOT_SENT,
    "M": AttemptStatus.NOT_LOADED,
}
DISCOVERY_BY_SUBSCRIPTION = "ask"  # changes of the endpoint list are sent only after a `Track` action
SUBSCRIBE_PAUSE_MS = 1_000.0  # minimum time between two subscriptions to the endpoint list that ticks start
TICK_TOKEN, DUE_TOKEN = "beat", "due"  # the simulator returns the token of an alarm unchanged

# The `remark` of an answer has the reason of its status in the lowest three bits, and the number of attempts of other
# dispatchers in the higher bits.
REMARK_REASONS = 8
REMARK_WARM = 1
REMARK_LOAD_FAILED = 4


def _list_timing(settings: Fields) -> EndpointListTiming:
    """Return the notification times of the endpoint list, which apply only if it has to be subscribed to.

    `ask_within_us` is used for both times.  Without it the list is treated as one that is pushed.
    """
    within_us = settings.get("rules", {}).get("ask_within_us")
    if settings.get("discovery") != DISCOVERY_BY_SUBSCRIPTION or not within_us:
        return PUSHED_LIST
    return EndpointListTiming(within_us / 1000, within_us / 1000)


class DispatcherInstance:
    """One dispatcher, independent of all others of this process."""

    def __init__(self, name: str, seed: int, settings: Fields) -> None:
        self._subscribes_to_list = settings.get("discovery") == DISCOVERY_BY_SUBSCRIPTION
        self._name, self._engine = name, Engine(seed, settings, _list_timing(settings))
        # Load orders and load queries in flight, by worker id and function id, oldest first.
        self._orders: dict[tuple[str, str], deque[LoadOrder | ReadinessProbe]] = {}
        self._health_checks: dict[str, deque[ReadinessProbe]] = {}  # in flight, by worker id, oldest first
        self._subscription: list[Fields] = []  # the pending `Track` action, if there is one
        self._is_subscribed, self._subscribe_at = False, 0.0  # the latter: earliest time at which a tick subscribes
        self._next_alarm: float | None = None  # time of the last alarm set for a due time; None after one fired
        self._tick_set = False

    # Events.

    def on_request(self, now: float, event: Fields) -> None:
        """Handle the arrival of a request."""
        engine, work_us = self._engine, event["cost_guess_us"]
        arrival = RequestArrival(
            event["handle"],
            engine.request_classes[event["class"]],
            engine.tenants[event["project"] or 0] if engine.tenants else None,  # no `project`: the first tenant
            event["fn"],
            event["grace_us"] / 1000,
            event["memory_mb"],
            int(event["parallel"]),
            event["load_time_ms"],
            None if work_us is None else work_us / 1000,
        )
        engine.on_request(now, arrival)

    def on_attempt_finished(self, now: float, event: Fields) -> None:
        """Record the result of an attempt; a report of an ended attempt or a removed request is ignored."""
        request = self._engine.requests.get(event["handle"])
        if request is None:
            return
        attempt = request.attempts[event["shot"]]
        if attempt.status is not None:
            return
        remark = event["remark"] or 0
        reason, foreign_in_flight = remark % REMARK_REASONS, remark // REMARK_REASONS
        result = AttemptResult(
            ATTEMPT_STATUSES[event["ending"]],
            event["done_flag"],
            reason == REMARK_LOAD_FAILED,
            reason == REMARK_WARM,
            foreign_in_flight,
        )
        self._engine.on_attempt_finished(now, attempt, result, event["stats"])

    def on_client_gone(self, now: float, event: Fields) -> None:
        """Cancel a request whose client no longer waits for an answer."""
        request = self._engine.requests.get(event["handle"])
        if request is not None:
            self._engine.on_client_gone(request)

    def on_response_started(self, now: float, event: Fields) -> None:
        """Record that the first part of a response reached the client, so that no other final answer may be sent."""
        request = self._engine.requests.get(event["handle"])
        if request is not None:
            request.final_status = request.final_status or FinalStatus.COMPLETED

    def on_load_report(self, now: float, event: Fields) -> None:
        """Record the result of a load order or load query (not the load report in `stats`).

        The results for one function and worker arrive in the order in which the orders and queries were sent.
        """
        orders = self._orders.get((event["runner"], event["fn"]))
        if orders:
            item, status = orders.popleft(), ATTEMPT_STATUSES[event["ending"]]
            if isinstance(item, ReadinessProbe):
                self._engine.on_probe_finished(now, item, status, event["copies"])
            else:
                self._engine.on_load_report(now, item, status, event["copies"])
            if not orders:
                del self._orders[event["runner"], event["fn"]]

    def on_endpoints(self, now: float, event: Fields, entries: list[Fields] | None) -> None:
        """Apply an endpoint list (`how` is C), its changes (D) or its loss (X).  Raises `MalformedError`."""
        if event["how"] == "X":
            self._is_subscribed = False  # a later tick subscribes again
            self._engine.on_list_lost(now)
            return
        if entries is None:
            raise MalformedError(f"Membership refers to a table that was not received: {event['table']}")
        self._engine.on_endpoints(
            now,
            event["how"] != "D",
            [
                Endpoint(
                    entry["runner"],
                    entry["az"],
                    entry["shape"],
                    entry["stripe"],
                    WORKER_STATES[entry["readiness"]],
                    entry["capacity_hint"],
                    entry["last_start_us"] / 1000 if entry["last_start_us"] else None,
                )
                for entry in entries
            ],
        )
        if self._subscribes_to_list:
            self._on_list(now, event)

    def _on_list(self, now: float, event: Fields) -> None:
        """Handle a list that has to be subscribed to.

        A complete list (C) has an unknown age, so that a subscription follows.  Changes (D) confirm it as of now.
        """
        if event["how"] == "C":
            self._engine.on_initial_list(now)
            self._subscribe()
        else:
            self._is_subscribed = True
            self._engine.on_list_confirmed(now)

    def _subscribe(self) -> None:
        self._subscription = [{"Track": {"i": self._name, "on": True}}]

    def on_timer(self, now: float, event: Fields) -> None:
        """Handle an alarm: the periodic tick, or the engine's due time, whose decisions `actions` then returns."""
        if event["token"] == TICK_TOKEN:
            self._tick_set = False
            self._engine.on_tick(now)
            if self._is_subscribed:  # changes are pushed, so that no event means no change
                self._engine.on_list_confirmed(now)
            elif self._subscribes_to_list and now >= self._subscribe_at:
                self._subscribe_at = now + SUBSCRIBE_PAUSE_MS
                self._subscribe()
        else:
            self._next_alarm = None

    def on_health_check(self, now: float, event: Fields) -> None:
        """Record the result of a health check; the checks of one worker end in the order in which they were sent."""
        if not self._health_checks:
            return
        checks = self._health_checks.get(event["runner"])
        if checks:
            self._engine.on_probe_finished(now, checks.popleft(), ATTEMPT_STATUSES[event["ending"]])
            if not checks:
                del self._health_checks[event["runner"]]

    def ignore(self, now: float, event: Fields) -> None:
        """Ignore an event; messages between dispatchers are not used."""

    # Actions.

    def actions(self, now: float) -> list[Fields]:
        """Return as actions: a pending subscription, all decisions that are due now, and the alarms to set."""
        actions, self._subscription = self._subscription, []
        while (decision := self._engine.decide(now)) is not None:
            if isinstance(decision, ReadinessQuestion):
                actions += [self._encode_probe(probe) for probe in decision.probes]
            else:
                actions.append(self._encode(decision))
        if not self._tick_set:
            self._tick_set = True
            actions.append(self._alarm(self._engine.tick_ms, TICK_TOKEN))
        due = self._engine.next_due()
        if due is not None and (self._next_alarm is None or due < self._next_alarm):
            self._next_alarm = due
            actions.append(self._alarm(due - now, DUE_TOKEN))
        return actions

    def _encode_probe(self, probe: ReadinessProbe) -> Fields:
        worker, function = probe.question.instance.worker, probe.question.instance.function
        if probe.kind is ProbeKind.HEALTH_CHECK:
            self._health_checks.setdefault(worker.id, deque()).append(probe)
            return {"Poll": {"i": self._name, "runner": worker.id}}
        self._orders.setdefault((worker.id, function.id), deque()).append(probe)
        return {"StartCopy": {"i": self._name, "runner": worker.id, "fn": function.id, "copies": 0}}  # a load query

    def _encode(self, decision: Attempt | LoadOrder | Request | LogMessage) -> Fields:
        if isinstance(decision, str):
            return {"Record": {"i": self._name, "message": decision}}
        if isinstance(decision, LoadOrder):
            worker, function = decision.instance.worker, decision.instance.function
            self._orders.setdefault((worker.id, function.id), deque()).append(decision)
            return {
                "StartCopy": {
                    "i": self._name,
                    "runner": worker.id,
                    "fn": function.id,
                    "copies": decision.count,
                }
            }
        if isinstance(decision, Request):
            if decision.final_status is FinalStatus.REJECTED:
                return {
                    "Refuse": {
                        "i": self._name,
                        "handle": decision.id,
                        "stay_away_us": round(decision.retry_after_ms * 1000) or None,
                    }
                }
            return {"DropRequest": {"i": self._name, "handle": decision.id}}
        if decision.cancelled:
            return {"Revoke": {"i": self._name, "handle": decision.request.id, "shot": decision.number}}
        return {"Try": {"i": self._name, "handle": decision.request.id, "runner": decision.instance.worker.id}}

    def _alarm(self, delay_ms: float, token: str) -> Fields:
        return {"SetAlarm": {"i": self._name, "delay_us": max(0, math.ceil(delay_ms * 1000)), "token": token}}
