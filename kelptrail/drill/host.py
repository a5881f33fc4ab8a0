"""Hosts one dispatcher: turns wire events into its calls and its decisions into wire actions.

Nothing is chosen here.  Ids become objects on the way in and objects ids on the way out.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from kelptrail.dispatch.agenda import Agenda
from kelptrail.dispatch.rules import Copies, Dispatcher, Gate, Health, Placement, Queues
from kelptrail.dispatch.terms import (
    Activation,
    Customer,
    Effect,
    Function,
    NamespaceType,
    Order,
    Outcome,
    Send,
    State,
    Worker,
)

Fields = dict[str, Any]

EFFECTS = {"free": Effect.REPEATABLE, "guarded": Effect.DEDUPLICATED, "single_shot": Effect.ONCE_ONLY}
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
REPORTED = {"cpu": "util"}
BEAT, DUE = "beat", "due"


class MalformedError(Exception):
    """Input that is not the wire."""


class Host:
    """One instance of the dispatcher, apart from all others."""

    def __init__(self, name: str, seed: int, env: Fields) -> None:
        self._name = name
        rules, bounds, extras = env["rules"], env["bounds"], env["specifics"]
        self._types = [
            NamespaceType(
                c["name"],
                EFFECTS[c["effect"]],
                c["aim_us"] / 1000,
                c["gain"],
                c["late_worth"],
                c.get("key_scope") or "all",
                (c.get("window_us") or 0) / 1000,
            )
            for c in env["classes"]
        ]
        self._customers = [Customer(c["name"], c["allowance_per_s"]) for c in env.get("customers") or []]
        self._fields = env["report"]["fields"]
        self._tells_warm = extras["says_warm"]
        agenda = Agenda()
        gate = Gate(
            seed=seed,
            parallel=bounds["parallel_tries"],
            most_sends=bounds["max_attempts"],
            tip=rules["tip_multiple"],
            tip_ms=rules["fall_us"] / 1000,
            cold_share=rules["start_capacity"],
            cold_ms=rules["cold_us"] / 1000,
            ration=(
                extras["load_control"],
                extras["free_loads"],
                extras["load_share"],
                extras["load_span_us"] / 1000,
            ),
        )
        health = Health()
        self._dispatcher = Dispatcher(
            gate,
            health,
            Placement(gate, health, env["my_zone"], seed),
            Copies(agenda, extras["idle_life_us"] / 1000),
            Queues(seed, self._types, self._customers),
            agenda,
            bounds["may_cancel"],
            bounds["max_retry_after_us"] / 1000 if bounds["retry_after"] else 0.0,
        )
        self._workers: dict[str, Worker] = {}
        self._functions: dict[str, Function] = {}
        self._acts: dict[str, Activation] = {}
        self._orders: dict[tuple[str, str], deque[Order]] = {}
        self._armed: float | None = None
        self._beats = False

    # Events.

    def taken(self, now: float, e: Fields) -> None:
        function = self._functions.get(e["fn"])
        if function is None:
            function = self._functions[e["fn"]] = Function(
                e["fn"],
                self._types[e["class"]],
                e["memory_mb"],
                max(1, int(e["parallel"])),
                e["load_time_ms"] or 0.0,
            )
        hint = e["cost_guess_us"]
        act = Activation(
            e["handle"],
            self._types[e["class"]],
            function,
            self._customers[e["project"] or 0] if self._customers else None,
            now,
            now + e["grace_us"] / 1000,
            None if hint is None else hint / 1000,
        )
        self._acts[act.id] = act
        self._dispatcher.taken(now, act)

    def answered(self, now: float, e: Fields) -> None:
        act = self._acts.get(e["handle"])
        if act is None:
            return
        send = act.sends[e["shot"]]
        if send.outcome is not None:
            return
        stats = e["stats"]
        report = dict(zip((REPORTED.get(f, f) for f in self._fields), stats, strict=True)) if stats else None
        note = e["remark"] or 0
        warm = note % 8 == 1 if self._tells_warm else None
        self._dispatcher.answered(
            now, send, OUTCOMES[e["ending"]], e["done_flag"], note % 8 == 4, warm, note // 8, report
        )
        self._settle(act)

    def left(self, now: float, e: Fields) -> None:
        act = self._acts.get(e["handle"])
        if act is not None:
            self._dispatcher.left(act)
            self._settle(act)

    def begun(self, now: float, e: Fields) -> None:
        act = self._acts.get(e["handle"])
        if act is not None:
            act.verdict = act.verdict or "completed"

    def told(self, now: float, e: Fields) -> None:
        out = self._orders.get((e["runner"], e["fn"]))
        if out:
            self._dispatcher.told(now, out.popleft(), OUTCOMES[e["ending"]], e["copies"])
            if not out:
                del self._orders[e["runner"], e["fn"]]

    def listed(self, now: float, e: Fields, entries: list[Fields] | None) -> None:
        if e["how"] == "X":
            return
        if entries is None:
            raise MalformedError(f"Membership names a table that never came: {e['table']}")
        whole = e["how"] != "D"
        named = {entry["runner"] for entry in entries}
        restarted = []
        for id_, worker in self._workers.items():
            if whole and id_ not in named:
                worker.state = State.GONE
        for entry in entries:
            worker = self._workers.get(entry["runner"])
            if worker is None:
                worker = self._workers[entry["runner"]] = Worker(entry["runner"])
            started = entry["last_start_us"] / 1000 if entry["last_start_us"] else None
            if started != worker.started and started is not None:
                restarted.append(worker)
            worker.zone, worker.cell, worker.kind = entry["az"], entry["stripe"], entry["shape"]
            worker.size, worker.state, worker.started = (
                entry["capacity_hint"],
                STATES[entry["readiness"]],
                started,
            )
        self._dispatcher.listed(now, list(self._workers.values()), restarted)
        for id_ in [id_ for id_, w in self._workers.items() if w.state is State.GONE and not w.sends]:
            del self._workers[id_]

    def timer(self, now: float, e: Fields) -> None:
        if e["token"] == BEAT:
            self._beats = False
            stale = self._dispatcher.beat(now)
            if stale is not None:
                del self._functions[stale.id]
        else:
            self._armed = None

    def probed(self, now: float, e: Fields) -> None:
        """Neither probes nor messages between dispatchers are used."""

    # Actions.

    def actions(self, now: float) -> list[Fields]:
        """Pull decisions until there is none, then see to the timers."""
        out: list[Fields] = []
        while (decision := self._dispatcher.decide(now)) is not None:
            out.append(self._encode(decision))
        if not self._beats:
            self._beats = True
            out.append(self._alarm(self._dispatcher.beat_ms, BEAT))
        due = self._dispatcher.agenda.next_due()
        if due is not None and (self._armed is None or due < self._armed):
            self._armed = due
            out.append(self._alarm(due - now, DUE))
        return out

    def _encode(self, decision: Send | Order | Activation | str) -> Fields:
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
            self._settle(decision)
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

    def _settle(self, act: Activation) -> None:
        """Forget an activation once it is over and nothing of it is out."""
        if act.verdict is not None and all(send.outcome is not None for send in act.sends):
            self._acts.pop(act.id, None)
