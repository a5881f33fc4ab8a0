"""Emulated workers and the store they load through: the stand-in worker's rules, in simulated time.

Cores, lanes, a bounded queue, copies that load and leave, cold starts, group memory against repeats, and the faults of
the bad days.  What is left out is in `docs/lab.md`.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import numpy as np

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.membership.members import Endpoint
from kelptrail.settings.deployment import ActionSettings, Deployment, StoreSettings, TypeSettings

from .event_queue import EventQueue

Reply = Callable[[AttemptStatus, WorkerAnswer | None], None]
Note = Callable[..., None]


class SimulatedStore:
    """The model store: more fetches than it serves at once slow all of them; past a limit it refuses."""

    def __init__(self, engine: EventQueue, settings: StoreSettings) -> None:
        self._engine, self._settings = engine, settings
        self._left: dict[int, tuple[float, Callable[[bool], None]]] = {}  # ms of work left of each fetch
        self._number, self._seen = 0, 0.0
        self._wake: Any = None
        self.slow, self.refuse, self.stopped = 1.0, False, False
        self.fetches = self.refused = 0

    def _pace(self) -> float:
        if self.stopped or not self._left:
            return 0.0
        return min(1.0, self._settings.fetches / len(self._left)) / self.slow

    def _pass(self) -> None:
        """Work off what time has passed."""
        done = (self._engine.now - self._seen) * self._pace()
        self._seen = self._engine.now
        if done:
            self._left = {n: (left - done, tell) for n, (left, tell) in self._left.items()}

    def _next(self) -> None:
        if self._wake is not None:
            self._wake.cancel()
        pace = self._pace()
        if pace:
            least = min(left for left, _ in self._left.values())
            self._wake = self._engine.after(max(0.0, least) / pace, self._end)

    def _end(self) -> None:
        self._wake = None
        self._pass()
        ended = [n for n, (left, _) in self._left.items() if left <= 1e-6]
        tells = [self._left.pop(n)[1] for n in ended]
        self._next()
        for tell in tells:
            tell(True)

    def fetch(self, ms: float, tell: Callable[[bool], None]) -> None:
        """Fetch what takes so many ms at full pace."""
        self._pass()
        if self.refuse or len(self._left) >= self._settings.most:
            self.refused += 1
            self._engine.after(0.2, tell, False)
            return
        self.fetches += 1
        self._number += 1
        self._left[self._number] = (ms, tell)
        self._next()

    def fault(self, kind: str, factor: float, for_ms: float) -> None:
        """`slow`, `refuse` or `stopped`, for a time."""
        self._pass()
        if kind == "slow":
            self.slow = factor
        elif kind == "refuse":
            self.refuse = True
        else:
            self.stopped = True
        self._next()
        self._engine.after(for_ms, self._heal, kind)

    def _heal(self, kind: str) -> None:
        self._pass()
        if kind == "slow":
            self.slow = 1.0
        elif kind == "refuse":
            self.refuse = False
        else:
            self.stopped = False
        self._next()


@dataclass(slots=True, eq=False)
class _Model:
    action: ActionSettings
    type: TypeSettings
    standing: int = 0
    loading: int = 0
    busy: int = 0
    used: float = 0.0
    waiting: deque[_Job] = field(default_factory=deque)
    asked: list[tuple[int, Callable[[AttemptStatus, int], None]]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Job:
    model: _Model
    mark: str
    activation: str
    send: int
    reply: Reply
    company: int
    found: bool
    until: float


class SimulatedWorker:
    """One worker; `note` takes what the audit wants to know, or is None."""

    def __init__(
        self,
        engine: EventQueue,
        deployment: Deployment,
        id_: str,
        hall: str,
        cell: int,
        store: SimulatedStore,
        ledger: dict[tuple[str, str], float],
        seed: int,
        warm: bool,
        note: Note | None,
    ) -> None:
        self._engine, self._deployment, self.id, self.hall, self.cell = engine, deployment, id_, hall, cell
        self._fleet, self._rules, self._store, self._ledger = deployment.fleet, deployment.rules, store, ledger
        self._chance = np.random.default_rng([seed, zlib.crc32(id_.encode())])
        self._works = np.empty(0)
        self._note = note
        self.faults: dict[str, Any] = {}
        self.up, self._starts, self._paused = True, 0, 0.0
        self.state = "live"
        self.begin(warm)

    def begin(self, warm: bool) -> None:
        """A new start of the process."""
        self._starts += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._starts}"
        self.started = self._engine.now - (self._rules.cold_ms + 1 if warm else 0.0)
        self._models: dict[str, _Model] = {}
        self._held: dict[str, _Model] = {}  # models that stand or load
        self.running = self._loads = 0
        self._memory = 0.0
        self._queue: deque[_Model] = deque()
        self._load_queue: deque[_Model] = deque()
        self._pushed: deque[tuple[float, float]] = deque()
        self._pushed_sum = 0.0
        self.draining = self.fallen = False
        self._busy_ms, self._since, self._util, self._shown = 0.0, self._engine.now, 0.0, (0.0, 0.0, 0.0)
        self._shown_at = -1e9
        if self._note is not None:
            self._note(
                "start",
                worker=self.id,
                incarnation=self.incarnation,
                started=self.started,
                cores=self._fleet.cores,
                cold_ms=self._rules.cold_ms,
                cold_share=self._rules.cold_share,
            )

    @property
    def entry(self) -> Endpoint:
        """As the list tells of it."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._engine.now - self.started, self.hall, self.cell
        )

    def model(self, action: ActionSettings) -> _Model:
        """The worker's view of a model."""
        found = self._models.get(action.model)
        if found is None:
            found = self._models[action.model] = _Model(action, self._deployment.types[action.type])
        return found

    @property
    def warmth(self) -> float:
        """The share of its capacity that it has by its age."""
        age = self._engine.now - self.started
        if age >= self._rules.cold_ms:
            return 1.0
        return self._rules.cold_share + (1 - self._rules.cold_share) * age / self._rules.cold_ms

    @property
    def idle_mb(self) -> float:
        """Memory of copies that stand and on which nothing runs."""
        return sum(
            (m.standing - min(m.standing, -(-m.busy // m.action.concurrency))) * m.action.memory_mb
            for m in self._held.values()
        )

    # Sends.

    def send(
        self,
        action: ActionSettings,
        mark: str,
        activation: str,
        number: int,
        dispatcher: str,
        limit_ms: float,
        reply: Reply,
        lag: float = 0.0,
    ) -> None:
        """A send is read, `lag` ms after it arrived."""
        if self._engine.now < self._paused:  # it waits in the socket
            wait = self._paused - self._engine.now
            self._engine.at(
                self._paused,
                self.send,
                action,
                mark,
                activation,
                number,
                dispatcher,
                limit_ms - wait,
                reply,
                lag + wait,
            )
            return
        now, model = self._engine.now, self.model(action)
        if self._note is not None:
            self._note(
                "send",
                worker=self.id,
                model=action.model,
                mark=mark,
                lag=lag,
                dispatcher=dispatcher,
                activation=activation,
                send=number,
                incarnation=self.incarnation,
                work=action.work_ms,
            )
        if self._push(now, action.work_ms) or "hang" in self.faults:
            return
        fast = self.faults.get("fail-fast")
        kind = self.faults.get("fail-type")
        if (fast and self._chance.random() < fast.share) or (kind and model.type.name == kind.type):
            reply(AttemptStatus.ERROR, WorkerAnswer("error"))
        elif not model.standing and not model.loading:
            reply(AttemptStatus.NOT_LOADED, WorkerAnswer("miss", report=self._report()))
        elif self.draining or len(self._queue) >= self._fleet.queue:
            reply(AttemptStatus.OUT_OF_CAPACITY, WorkerAnswer("full", report=self._report()))
        else:
            company = min(30, model.busy + len(model.waiting))
            model.waiting.append(
                _Job(model, mark, activation, number, reply, company, bool(model.standing), now + limit_ms)
            )
            self._queue.append(model)
            self._pump()

    def _push(self, now: float, work: float) -> bool:
        warmth = self.warmth
        if warmth >= 1 or self.fallen:
            return self.fallen
        self._pushed.append((now, work))
        self._pushed_sum += work
        while self._pushed[0][0] < now - self._rules.tip_ms:
            self._pushed_sum -= self._pushed.popleft()[1]
        if self._pushed_sum > self._rules.overload_multiple * warmth * self._fleet.cores * self._rules.tip_ms:
            self.fallen = True
            if self._note is not None:
                self._note("fell", worker=self.id, incarnation=self.incarnation)
        return self.fallen

    def _pump(self) -> None:
        for _ in range(len(self._queue)):
            if self.running >= self._fleet.cores:
                return
            model = self._queue.popleft()
            if not model.waiting:
                continue
            if model.busy >= model.standing * model.action.concurrency:
                self._queue.append(model)
                continue
            job = model.waiting.popleft()
            if self._engine.now < job.until:
                self._account()
                self.running += 1
                model.busy += 1
                self._engine.after(self._work(model), self._worked, job, self._starts)
            else:
                job.reply(AttemptStatus.ERROR, WorkerAnswer("error"))

    def _work(self, model: _Model) -> float:
        if not len(self._works):
            self._works = self._chance.lognormal(0.0, 0.2, 512)
        factor, self._works = float(self._works[-1]), self._works[:-1]
        heavy = self.faults.get("heavy-work")
        if heavy and self._chance.random() < heavy.share:
            factor *= heavy.factor
        return model.action.work_ms * factor / self.warmth

    def _account(self) -> None:
        now = self._engine.now
        passed = now - self._since
        if passed > 0:  # the average over some 250 ms that the stand-in keeps
            part = min(1.0, passed / 250)
            self._util += part * (self.running / self._fleet.cores - self._util)
            self._since = now

    def _worked(self, job: _Job, start: int) -> None:
        if self._engine.now < self._paused:
            self._engine.at(self._paused, self._worked, job, start)
            return
        if start != self._starts or not self.up:
            return
        model, now = job.model, self._engine.now
        self._account()
        self.running -= 1
        model.busy -= 1
        model.used = now
        known = False
        if model.type.effect == "deduplicated":
            group = {"all": "all", "zone": self.hall, "cell": f"cell-{self.cell}"}[model.type.deduplication_scope]
            known = now - self._ledger.get((group, job.mark), -1e18) <= model.type.deduplication_window_ms
            if not known:
                self._ledger[group, job.mark] = now
        if not known and self._note is not None:
            self._note(
                "effect", worker=self.id, mark=job.mark, type=model.type.name, activation=job.activation, send=job.send
            )
        lost = self.faults.get("answers-lost")
        if "silent" not in self.faults and not (lost and self._chance.random() < lost.share):
            answer = WorkerAnswer("completed", b"{}", True, False, job.found, job.company, self._report())
            late = self.faults.get("answers-late")
            self._engine.after(late.ms if late else 0.0, job.reply, AttemptStatus.COMPLETED, answer)
        self._pump()

    def _report(self) -> dict[str, float]:
        if self._engine.now - self._shown_at > 200:
            self._shown_at = self._engine.now
            self._account()
            busy = sum(
                (min(m.standing, -(-m.busy // m.action.concurrency)) + m.loading) * m.action.memory_mb
                for m in self._held.values()
            )
            self._shown = (self._util, self._loads + len(self._load_queue), busy / self._fleet.memory_mb)
        util, loads, memory = self._shown
        return {"util": util, "x1": loads, "x0": memory}

    # Copies.

    def order(
        self,
        action: ActionSettings,
        copies: int,
        dispatcher: str,
        tell: Callable[[AttemptStatus, int], None],
        lag: float = 0.0,
    ) -> None:
        """A hold order is read, `lag` ms after it arrived."""
        if self._engine.now < self._paused:
            wait = self._paused - self._engine.now
            self._engine.at(self._paused, self.order, action, copies, dispatcher, tell, lag + wait)
            return
        model = self.model(action)
        if self._note is not None:
            self._note("order", worker=self.id, model=action.model, copies=copies, dispatcher=dispatcher, lag=lag)
        if "hang" in self.faults or "silent" in self.faults:
            return
        if self.draining:
            tell(AttemptStatus.OUT_OF_CAPACITY, model.standing)
            return
        model.used = self._engine.now
        while model.standing + model.loading < copies:
            if len(self._load_queue) >= 2 * self._fleet.loads or not self._room(model):
                tell(AttemptStatus.OUT_OF_CAPACITY, model.standing)
                return
            model.loading += 1
            self._memory += action.memory_mb
            self._held[action.model] = model
            self._load_queue.append(model)
            self._start_loads()
        if model.standing >= copies:
            tell(AttemptStatus.COMPLETED, model.standing)
        else:
            model.asked.append((copies, tell))

    def _drop(self, model: _Model, copies: int) -> None:
        self._memory -= copies * model.action.memory_mb
        model.standing -= copies
        if not model.standing and not model.loading:
            self._held.pop(model.action.model, None)

    def _room(self, model: _Model) -> bool:
        need, most = model.action.memory_mb, self._fleet.memory_mb
        if self._memory + need <= most:
            return True
        now = self._engine.now
        for other in [
            m
            for m in self._held.values()  # idle beyond its keep-alive: gone already
            if m.standing and not m.busy and now - m.used > self._fleet.keep_alive_ms
        ]:
            self._drop(other, other.standing)
        idle = sorted(
            (m for m in self._held.values() if m.standing and not m.busy and m is not model and not m.waiting),
            key=lambda m: m.used,
        )
        while self._memory + need > most:
            if not idle:
                return False
            first = idle.pop(0)
            self._drop(first, first.standing)
        return True

    def _start_loads(self) -> None:
        while self._load_queue and self._loads < self._fleet.loads:
            self._loads += 1
            model = self._load_queue.popleft()
            fetch = model.action.load_ms * self._deployment.store.fetch_share
            self._store.fetch(fetch, partial(self._fetched, model, fetch, self._starts))

    def _fetched(self, model: _Model, fetch: float, start: int, good: bool) -> None:
        if start != self._starts or not self.up:
            return
        rest = (model.action.load_ms - fetch) / self.warmth if good else 0.0
        self._engine.after(rest, self._brought, model, start, good)

    def _brought(self, model: _Model, start: int, good: bool) -> None:
        if self._engine.now < self._paused:
            self._engine.at(self._paused, self._brought, model, start, good)
            return
        if start != self._starts or not self.up:
            return
        self._loads -= 1
        model.loading -= 1
        model.standing += good
        model.used = self._engine.now
        if not good:
            self._memory -= model.action.memory_mb
            if not model.standing and not model.loading:
                self._held.pop(model.action.model, None)
        else:
            self._engine.after(self._fleet.keep_alive_ms + 250, self._idle, model, start)
        asked, model.asked = model.asked, []
        for copies, tell in asked:
            if model.standing >= copies:
                tell(AttemptStatus.COMPLETED, model.standing)
            elif not good:
                tell(AttemptStatus.ERROR, model.standing)
            else:
                model.asked.append((copies, tell))
        if not model.standing and not model.loading:
            while model.waiting:
                model.waiting.popleft().reply(
                    AttemptStatus.NOT_LOADED, WorkerAnswer("miss", load_failed=True, report=self._report())
                )
        self._start_loads()
        self._pump()

    def _idle(self, model: _Model, start: int) -> None:
        """A copy leaves once it has been idle for its keep-alive."""
        if start != self._starts or not self.up or not model.standing:
            return
        left = model.used + self._fleet.keep_alive_ms - self._engine.now
        if model.busy or model.waiting or left > 0:
            self._engine.after(max(250.0, left), self._idle, model, start)
        else:
            self._drop(model, model.standing)

    # Faults.

    def fault(self, kind: str, fault: Any) -> None:
        """Inject a fault for its duration."""
        if kind == "models-voided":
            for model in list(self._held.values()):
                if model.standing and self._chance.random() < fault.share:
                    self._drop(model, model.standing - -(-model.busy // model.action.concurrency))
        elif kind == "restart-cold":
            self.begin(warm=False)
        elif kind == "pause":  # the whole process stands still; then it goes on with what came meanwhile
            self._paused = self._engine.now + fault.duration * 1000
        else:
            self.faults[kind] = fault
            self._engine.after(fault.duration * 1000, self.faults.pop, kind, None)
