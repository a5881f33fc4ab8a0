"""One instance at the simulator's door: wire events become calls of its host, decisions become wire actions."""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from kelptrail.dispatch.entities import AttemptStatus, Decision, FinalStatus, LoadOrder, Request, WorkerState
from kelptrail.engine.engine import Endpoint, Engine
from kelptrail.engine.settings import MalformedError

Fields = dict[str, Any]

STATES = {"live": WorkerState.LIVE, "quiescing": WorkerState.DRAINING, "dead": WorkerState.REMOVED}
OUTCOMES = {
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
BEAT, DUE = "beat", "due"


class Instance:
    """One instance of the dispatcher, apart from all others."""

    def __init__(self, name: str, seed: int, env: Fields) -> None:
        self._name, self._host = name, Engine(seed, env)
        self._orders: dict[tuple[str, str], deque[LoadOrder]] = {}
        self._armed: float | None = None
        self._beats = False

    # Events.

    def taken(self, now: float, e: Fields) -> None:
        host, hint = self._host, e["cost_guess_us"]
        host.on_request(
            now,
            e["handle"],
            host.request_classes[e["class"]],
            host.tenants[e["project"] or 0] if host.tenants else None,
            e["fn"],
            e["grace_us"] / 1000,
            e["memory_mb"],
            int(e["parallel"]),
            e["load_time_ms"],
            None if hint is None else hint / 1000,
        )

    def answered(self, now: float, e: Fields) -> None:
        request = self._host.requests.get(e["handle"])
        if request is None:
            return
        attempt = request.attempts[e["shot"]]
        if attempt.status is not None:
            return
        note = e["remark"] or 0
        self._host.on_attempt_finished(
            now, attempt, OUTCOMES[e["ending"]], e["done_flag"], note % 8 == 4, note % 8 == 1, note // 8, e["stats"]
        )

    def left(self, now: float, e: Fields) -> None:
        request = self._host.requests.get(e["handle"])
        if request is not None:
            self._host.on_client_gone(request)

    def begun(self, now: float, e: Fields) -> None:
        request = self._host.requests.get(e["handle"])
        if request is not None:
            request.final_status = request.final_status or FinalStatus.COMPLETED

    def told(self, now: float, e: Fields) -> None:
        out = self._orders.get((e["runner"], e["fn"]))
        if out:
            self._host.on_load_report(now, out.popleft(), OUTCOMES[e["ending"]], e["copies"])
            if not out:
                del self._orders[e["runner"], e["fn"]]

    def listed(self, now: float, e: Fields, entries: list[Fields] | None) -> None:
        if e["how"] == "X":
            return
        if entries is None:
            raise MalformedError(f"Membership names a table that never came: {e['table']}")
        self._host.on_endpoints(
            now,
            e["how"] != "D",
            [
                Endpoint(
                    entry["runner"],
                    entry["az"],
                    entry["shape"],
                    entry["stripe"],
                    STATES[entry["readiness"]],
                    entry["capacity_hint"],
                    entry["last_start_us"] / 1000 if entry["last_start_us"] else None,
                )
                for entry in entries
            ],
        )

    def timer(self, now: float, e: Fields) -> None:
        if e["token"] == BEAT:
            self._beats = False
            self._host.on_tick(now)
        else:
            self._armed = None

    def probed(self, now: float, e: Fields) -> None:
        """Neither probes nor messages between dispatchers are used."""

    # Actions.

    def actions(self, now: float) -> list[Fields]:
        """Pull decisions until there is none, then see to the timers."""
        out: list[Fields] = []
        while (decision := self._host.decide(now)) is not None:
            out.append(self._encode(decision))
        if not self._beats:
            self._beats = True
            out.append(self._alarm(self._host.tick_ms, BEAT))
        due = self._host.next_due()
        if due is not None and (self._armed is None or due < self._armed):
            self._armed = due
            out.append(self._alarm(due - now, DUE))
        return out

    def _encode(self, decision: Decision) -> Fields:
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
