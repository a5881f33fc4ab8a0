"""One instance at the simulator's door: wire events become calls of its host, decisions become wire actions."""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from kelptrail.dispatch.dispatcher import Decision
from kelptrail.dispatch.entities import Activation, Order, Outcome, State
from kelptrail.engine.engine import Entry, Host
from kelptrail.engine.settings import MalformedError

Fields = dict[str, Any]

STATES = {"live": State.LIVE, "quiescing": State.DRAINING, "dead": State.GONE}
OUTCOMES = {
    "S": Outcome.COMPLETED,
    "E": Outcome.ERROR,
    "F": Outcome.FULL,
    "T": Outcome.SILENT,
    "C": Outcome.UNREACHABLE,
    "R": Outcome.BROKEN,
    "X": Outcome.REVOKED,
    "N": Outcome.UNSENT,
    "M": Outcome.MISS,
}
BEAT, DUE = "beat", "due"


class Instance:
    """One instance of the dispatcher, apart from all others."""

    def __init__(self, name: str, seed: int, env: Fields) -> None:
        self._name, self._host = name, Host(seed, env)
        self._orders: dict[tuple[str, str], deque[Order]] = {}
        self._armed: float | None = None
        self._beats = False

    # Events.

    def taken(self, now: float, e: Fields) -> None:
        host, hint = self._host, e["cost_guess_us"]
        host.taken(
            now,
            e["handle"],
            host.types[e["class"]],
            host.customers[e["project"] or 0] if host.customers else None,
            e["fn"],
            e["grace_us"] / 1000,
            e["memory_mb"],
            int(e["parallel"]),
            e["load_time_ms"],
            None if hint is None else hint / 1000,
        )

    def answered(self, now: float, e: Fields) -> None:
        act = self._host.acts.get(e["handle"])
        if act is None:
            return
        send = act.sends[e["shot"]]
        if send.outcome is not None:
            return
        note = e["remark"] or 0
        self._host.answered(
            now, send, OUTCOMES[e["ending"]], e["done_flag"], note % 8 == 4, note % 8 == 1, note // 8, e["stats"]
        )

    def left(self, now: float, e: Fields) -> None:
        act = self._host.acts.get(e["handle"])
        if act is not None:
            self._host.left(act)

    def begun(self, now: float, e: Fields) -> None:
        act = self._host.acts.get(e["handle"])
        if act is not None:
            act.verdict = act.verdict or "completed"

    def told(self, now: float, e: Fields) -> None:
        out = self._orders.get((e["runner"], e["fn"]))
        if out:
            self._host.told(now, out.popleft(), OUTCOMES[e["ending"]], e["copies"])
            if not out:
                del self._orders[e["runner"], e["fn"]]

    def listed(self, now: float, e: Fields, entries: list[Fields] | None) -> None:
        if e["how"] == "X":
            return
        if entries is None:
            raise MalformedError(f"Membership names a table that never came: {e['table']}")
        self._host.listed(
            now,
            e["how"] != "D",
            [
                Entry(
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
            self._host.beat(now)
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
            out.append(self._alarm(self._host.beat_ms, BEAT))
        due = self._host.next_due()
        if due is not None and (self._armed is None or due < self._armed):
            self._armed = due
            out.append(self._alarm(due - now, DUE))
        return out

    def _encode(self, decision: Decision) -> Fields:
        if isinstance(decision, str):
            return {"Record": {"i": self._name, "message": decision}}
        if isinstance(decision, Order):
            worker, function = decision.copy.worker, decision.copy.function
            self._orders.setdefault((worker.id, function.id), deque()).append(decision)
            return {
                "StartCopy": {
                    "i": self._name,
                    "runner": worker.id,
                    "fn": function.id,
                    "copies": decision.count,
                }
            }
        if isinstance(decision, Activation):
            if decision.verdict == "rejected":
                return {
                    "Refuse": {
                        "i": self._name,
                        "handle": decision.id,
                        "stay_away_us": round(decision.return_ms * 1000) or None,
                    }
                }
            return {"DropRequest": {"i": self._name, "handle": decision.id}}
        if decision.revoked:
            return {"Revoke": {"i": self._name, "handle": decision.act.id, "shot": decision.number}}
        return {"Try": {"i": self._name, "handle": decision.act.id, "runner": decision.copy.worker.id}}

    def _alarm(self, delay_ms: float, token: str) -> Fields:
        return {"SetAlarm": {"i": self._name, "delay_us": max(0, math.ceil(delay_ms * 1000)), "token": token}}
