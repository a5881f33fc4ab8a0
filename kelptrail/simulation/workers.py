"""Simulated workers and their model store: the rules of the emulated worker, in simulated time.

A worker has cores, a bounded queue, instances that are loaded and unloaded, a slow start after a restart, a log of
effects shared by its group against repeats, and the faults of fault scenarios.  `docs/lab.md` says what is left out.
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
EventRecorder = Callable[..., None]


class SimulatedStore:
    """The model store: concurrent fetches beyond its capacity share its rate; past a limit it refuses them."""

    def __init__(self, event_queue: EventQueue, settings: StoreSettings) -> None:
        self._event_queue, self._settings = event_queue, settings
        self._remaining: dict[
            int, tuple[float, Callable[[bool], None]]
        ] = {}  # ms of work left of each fetch, and its callback
        self._last_fetch, self._updated_at = 0, 0.0
        self._completion_timer: Any = None
        self.slow_factor, self.refusing, self.stopped = 1.0, False, False
        self.fetches = self.refused = 0

    def _service_rate(self) -> float:
        if self.stopped or not self._remaining:
            return 0.0
        return min(1.0, self._settings.fetches / len(self._remaining)) / self.slow_factor

    def _advance(self) -> None:
        """Subtract the work done since the last update from every open fetch."""
        done = (self._event_queue.now - self._updated_at) * self._service_rate()
        self._updated_at = self._event_queue.now
        if done:
            self._remaining = {n: (left - done, on_done) for n, (left, on_done) in self._remaining.items()}

    def _schedule_completion(self) -> None:
        if self._completion_timer is not None:
            self._completion_timer.cancel()
        service_rate = self._service_rate()
        if service_rate:
            smallest = min(left for left, _ in self._remaining.values())
            self._completion_timer = self._event_queue.after(max(0.0, smallest) / service_rate, self._complete_fetches)

    def _complete_fetches(self) -> None:
        self._completion_timer = None
        self._advance()
        ended = [n for n, (left, _) in self._remaining.items() if left <= 1e-6]
        callbacks = [self._remaining.pop(n)[1] for n in ended]
        self._schedule_completion()
        for on_done in callbacks:
            on_done(True)

    def fetch(self, ms: float, on_done: Callable[[bool], None]) -> None:
        """Fetch what takes `ms` at the full rate; `on_done` gets whether it succeeded."""
        self._advance()
        if self.refusing or len(self._remaining) >= self._settings.most:
            self.refused += 1
            self._event_queue.after(0.2, on_done, False)
            return
        self.fetches += 1
        self._last_fetch += 1
        self._remaining[self._last_fetch] = (ms, on_done)
        self._schedule_completion()

    def inject(self, kind: str, factor: float, duration_ms: float) -> None:
        """Inject `slow`, `refuse` or `stopped` for `duration_ms`."""
        self._advance()
        if kind == "slow":
            self.slow_factor = factor
        elif kind == "refuse":
            self.refusing = True
        else:
            self.stopped = True
        self._schedule_completion()
        self._event_queue.after(duration_ms, self._end_fault, kind)

    def _end_fault(self, kind: str) -> None:
        self._advance()
        if kind == "slow":
            self.slow_factor = 1.0
        elif kind == "refuse":
            self.refusing = False
        else:
            self.stopped = False
        self._schedule_completion()


@dataclass(slots=True, eq=False)
class _FunctionState:
    action: ActionSettings
    type: TypeSettings
    loaded: int = 0
    loading: int = 0
    busy: int = 0
    last_used: float = 0.0
    waiting: deque[_QueuedAttempt] = field(default_factory=deque)
    pending_orders: list[tuple[int, Callable[[AttemptStatus, int], None]]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _QueuedAttempt:
    model: _FunctionState
    mark: str
    activation: str
    attempt_number: int
    reply: Reply
    foreign_in_flight: int
    was_loaded: bool
    deadline: float


class SimulatedWorker:
    """One worker process; `record_event` records what the history checker reads, None without a capture."""

    def __init__(
        self,
        event_queue: EventQueue,
        deployment: Deployment,
        worker_id: str,
        zone: str,
        cell: int,
        store: SimulatedStore,
        effect_log: dict[tuple[str, str], float],
        seed: int,
        warm: bool,
        record_event: EventRecorder | None,
    ) -> None:
        self._event_queue, self._deployment, self.id, self.zone, self.cell = (
            event_queue,
            deployment,
            worker_id,
            zone,
            cell,
        )
        self._fleet, self._rules, self._store, self._effect_log = deployment.fleet, deployment.rules, store, effect_log
        self._random = np.random.default_rng([seed, zlib.crc32(worker_id.encode())])
        self._work_factors = np.empty(0)
        self._record_event = record_event
        self.faults: dict[str, Any] = {}
        self.up, self._starts, self._paused_until = True, 0, 0.0
        self.state = "live"
        self.start_process(warm)

    def start_process(self, warm: bool) -> None:
        """Start the process anew, empty; `warm`: past its slow start already."""
        self._starts += 1
        self.incarnation = f"{zlib.crc32(self.id.encode()):08x}-{self._starts}"
        self.started = self._event_queue.now - (self._rules.cold_ms + 1 if warm else 0.0)
        self._models: dict[str, _FunctionState] = {}
        self._resident: dict[str, _FunctionState] = {}  # models with instances that are loaded or loading
        self.running = self._loads = 0
        self._memory = 0.0
        self._queue: deque[_FunctionState] = deque()
        self._load_queue: deque[_FunctionState] = deque()
        self._cold_arrivals: deque[tuple[float, float]] = deque()
        self._cold_work_ms = 0.0
        self.draining = self.collapsed = False
        self._utilization_at, self._utilization = self._event_queue.now, 0.0
        self._last_report = (0.0, 0.0, 0.0)
        self._reported_at = -1e9
        if self._record_event is not None:
            self._record_event(
                "start",
                worker=self.id,
                incarnation=self.incarnation,
                started=self.started,
                cores=self._fleet.cores,
                cold_ms=self._rules.cold_ms,
                cold_share=self._rules.cold_share,
            )

    @property
    def endpoint(self) -> Endpoint:
        """The worker as the endpoint list shows it."""
        return Endpoint(
            self.id, self.id, self.state, self.incarnation, self._event_queue.now - self.started, self.zone, self.cell
        )

    def model(self, action: ActionSettings) -> _FunctionState:
        """The worker's state of an action's model, made on first use."""
        was_loaded = self._models.get(action.model)
        if was_loaded is None:
            was_loaded = self._models[action.model] = _FunctionState(action, self._deployment.types[action.type])
        return was_loaded

    @property
    def slow_start_capacity(self) -> float:
        """The share of its capacity, 0 to 1, that the worker has at its age."""
        age = self._event_queue.now - self.started
        if age >= self._rules.cold_ms:
            return 1.0
        return self._rules.cold_share + (1 - self._rules.cold_share) * age / self._rules.cold_ms

    @property
    def idle_mb(self) -> float:
        """Memory in MB of loaded instances on which nothing runs."""
        return sum(
            (m.loaded - min(m.loaded, -(-m.busy // m.action.concurrency))) * m.action.memory_mb
            for m in self._resident.values()
        )

    # Attempts.

    def start_attempt(
        self,
        action: ActionSettings,
        mark: str,
        activation: str,
        number: int,
        dispatcher: str,
        limit_ms: float,
        reply: Reply,
        read_delay_ms: float = 0.0,
    ) -> None:
        """Read an attempt, `read_delay_ms` after it arrived, and answer it through `reply`."""
        if self._event_queue.now < self._paused_until:  # unread in the socket
            wait = self._paused_until - self._event_queue.now
            self._event_queue.at(
                self._paused_until,
                self.start_attempt,
                action,
                mark,
                activation,
                number,
                dispatcher,
                limit_ms - wait,
                reply,
                read_delay_ms + wait,
            )
            return
        now, model = self._event_queue.now, self.model(action)
        if self._record_event is not None:
            self._record_event(
                "send",
                worker=self.id,
                model=action.model,
                mark=mark,
                lag=read_delay_ms,
                dispatcher=dispatcher,
                activation=activation,
                send=number,
                incarnation=self.incarnation,
                work=action.work_ms,
            )
        if self._overloads_cold_worker(now, action.work_ms) or "hang" in self.faults:
            return
        was_loaded, foreign_in_flight = bool(model.loaded), min(30, model.busy + len(model.waiting))
        self._fail_or_queue(
            _QueuedAttempt(model, mark, activation, number, reply, foreign_in_flight, was_loaded, now + limit_ms)
        )

    def _fail_or_queue(self, attempt: _QueuedAttempt) -> None:
        """Answer an attempt at once by a fault, a model that is not loaded or a full queue; else queue it."""
        model, reply = attempt.model, attempt.reply
        fast = self.faults.get("fail-fast")
        kind = self.faults.get("fail-type")
        if (fast and self._random.random() < fast.share) or (kind and model.type.name == kind.type):
            reply(AttemptStatus.ERROR, WorkerAnswer("error"))
        elif not model.loaded and not model.loading:
            reply(AttemptStatus.NOT_LOADED, WorkerAnswer("miss", report=self._report()))
        elif self.draining or len(self._queue) >= self._fleet.queue:
            reply(AttemptStatus.OUT_OF_CAPACITY, WorkerAnswer("full", report=self._report()))
        else:
            model.waiting.append(attempt)
            self._queue.append(model)
            self._start_queued()

    def _overloads_cold_worker(self, now: float, work: float) -> bool:
        slow_start_capacity = self.slow_start_capacity
        if slow_start_capacity >= 1 or self.collapsed:
            return self.collapsed
        self._cold_arrivals.append((now, work))
        self._cold_work_ms += work
        while self._cold_arrivals[0][0] < now - self._rules.overload_window_ms:
            self._cold_work_ms -= self._cold_arrivals.popleft()[1]
        if (
            self._cold_work_ms
            > self._rules.overload_multiple * slow_start_capacity * self._fleet.cores * self._rules.overload_window_ms
        ):
            self.collapsed = True
            if self._record_event is not None:
                self._record_event("fell", worker=self.id, incarnation=self.incarnation)
        return self.collapsed

    def _start_queued(self) -> None:
        for _ in range(len(self._queue)):
            if self.running >= self._fleet.cores:
                return
            model = self._queue.popleft()
            if not model.waiting:
                continue
            if model.busy >= model.loaded * model.action.concurrency:
                self._queue.append(model)
                continue
            attempt = model.waiting.popleft()
            if self._event_queue.now < attempt.deadline:
                self._update_utilization()
                self.running += 1
                model.busy += 1
                self._event_queue.after(self._work_duration_ms(model), self._on_work_done, attempt, self._starts)
            else:
                attempt.reply(AttemptStatus.ERROR, WorkerAnswer("error"))

    def _work_duration_ms(self, model: _FunctionState) -> float:
        if not len(self._work_factors):
            self._work_factors = self._random.lognormal(0.0, 0.2, 512)
        factor, self._work_factors = float(self._work_factors[-1]), self._work_factors[:-1]
        heavy_work = self.faults.get("heavy-work")
        if heavy_work and self._random.random() < heavy_work.share:
            factor *= heavy_work.factor
        return model.action.work_ms * factor / self.slow_start_capacity

    def _update_utilization(self) -> None:
        now = self._event_queue.now
        elapsed_ms = now - self._utilization_at
        if elapsed_ms > 0:  # moving average over some 250 ms, as the emulated worker reports it
            weight = min(1.0, elapsed_ms / 250)
            self._utilization += weight * (self.running / self._fleet.cores - self._utilization)
            self._utilization_at = now

    def _on_work_done(self, attempt: _QueuedAttempt, start: int) -> None:
        if self._event_queue.now < self._paused_until:
            self._event_queue.at(self._paused_until, self._on_work_done, attempt, start)
            return
        if start != self._starts or not self.up:
            return
        model, now = attempt.model, self._event_queue.now
        self._update_utilization()
        self.running -= 1
        model.busy -= 1
        model.last_used = now
        is_repeat = False
        if model.type.effect == "deduplicated":
            group = {"all": "all", "zone": self.zone, "cell": f"cell-{self.cell}"}[model.type.deduplication_scope]
            is_repeat = now - self._effect_log.get((group, attempt.mark), -1e18) <= model.type.deduplication_window_ms
            if not is_repeat:
                self._effect_log[group, attempt.mark] = now
        if not is_repeat and self._record_event is not None:
            self._record_event(
                "effect",
                worker=self.id,
                mark=attempt.mark,
                type=model.type.name,
                activation=attempt.activation,
                send=attempt.attempt_number,
            )
        lost_answers = self.faults.get("answers-lost")
        if "silent" not in self.faults and not (lost_answers and self._random.random() < lost_answers.share):
            answer = WorkerAnswer(
                "completed", b"{}", True, False, attempt.was_loaded, attempt.foreign_in_flight, self._report()
            )
            delayed_answers = self.faults.get("answers-late")
            self._event_queue.after(
                delayed_answers.ms if delayed_answers else 0.0, attempt.reply, AttemptStatus.COMPLETED, answer
            )
        self._start_queued()

    def _report(self) -> dict[str, float]:
        if self._event_queue.now - self._reported_at > 200:
            self._reported_at = self._event_queue.now
            self._update_utilization()
            busy = sum(
                (min(m.loaded, -(-m.busy // m.action.concurrency)) + m.loading) * m.action.memory_mb
                for m in self._resident.values()
            )
            self._last_report = (self._utilization, self._loads + len(self._load_queue), busy / self._fleet.memory_mb)
        utilization, loads, memory = self._last_report
        return {"util": utilization, "x1": loads, "x0": memory}

    # Instances.

    def order_instances(
        self,
        action: ActionSettings,
        instances: int,
        dispatcher: str,
        on_done: Callable[[AttemptStatus, int], None],
        read_delay_ms: float = 0.0,
    ) -> None:
        """Read an order to keep `instances` loaded, `read_delay_ms` after it arrived."""
        if self._event_queue.now < self._paused_until:
            wait = self._paused_until - self._event_queue.now
            self._event_queue.at(
                self._paused_until, self.order_instances, action, instances, dispatcher, on_done, read_delay_ms + wait
            )
            return
        model = self.model(action)
        if self._record_event is not None:
            self._record_event(
                "order", worker=self.id, model=action.model, copies=instances, dispatcher=dispatcher, lag=read_delay_ms
            )
        if "hang" in self.faults or "silent" in self.faults:
            return
        if self.draining:
            on_done(AttemptStatus.OUT_OF_CAPACITY, model.loaded)
            return
        model.last_used = self._event_queue.now
        while model.loaded + model.loading < instances:
            if len(self._load_queue) >= 2 * self._fleet.loads or not self._make_room(model):
                on_done(AttemptStatus.OUT_OF_CAPACITY, model.loaded)
                return
            model.loading += 1
            self._memory += action.memory_mb
            self._resident[action.model] = model
            self._load_queue.append(model)
            self._start_loads()
        if model.loaded >= instances:
            on_done(AttemptStatus.COMPLETED, model.loaded)
        else:
            model.pending_orders.append((instances, on_done))

    def _unload(self, model: _FunctionState, instances: int) -> None:
        self._memory -= instances * model.action.memory_mb
        model.loaded -= instances
        if not model.loaded and not model.loading:
            self._resident.pop(model.action.model, None)

    def _make_room(self, model: _FunctionState) -> bool:
        need, most = model.action.memory_mb, self._fleet.memory_mb
        if self._memory + need <= most:
            return True
        now = self._event_queue.now
        for other in [
            m
            for m in self._resident.values()  # idle beyond their keep-alive
            if m.loaded and not m.busy and now - m.last_used > self._fleet.keep_alive_ms
        ]:
            self._unload(other, other.loaded)
        idle = sorted(
            (m for m in self._resident.values() if m.loaded and not m.busy and m is not model and not m.waiting),
            key=lambda m: m.last_used,
        )
        while self._memory + need > most:
            if not idle:
                return False
            first = idle.pop(0)
            self._unload(first, first.loaded)
        return True

    def _start_loads(self) -> None:
        while self._load_queue and self._loads < self._fleet.loads:
            self._loads += 1
            model = self._load_queue.popleft()
            fetch = model.action.load_ms * self._deployment.store.fetch_share
            self._store.fetch(fetch, partial(self._on_fetched, model, fetch, self._starts))

    def _on_fetched(self, model: _FunctionState, fetch: float, start: int, succeeded: bool) -> None:
        if start != self._starts or not self.up:
            return
        rest = (model.action.load_ms - fetch) / self.slow_start_capacity if succeeded else 0.0
        self._event_queue.after(rest, self._on_loaded, model, start, succeeded)

    def _on_loaded(self, model: _FunctionState, start: int, succeeded: bool) -> None:
        if self._event_queue.now < self._paused_until:
            self._event_queue.at(self._paused_until, self._on_loaded, model, start, succeeded)
            return
        if start != self._starts or not self.up:
            return
        self._loads -= 1
        model.loading -= 1
        model.loaded += succeeded
        model.last_used = self._event_queue.now
        if not succeeded:
            self._memory -= model.action.memory_mb
            if not model.loaded and not model.loading:
                self._resident.pop(model.action.model, None)
        else:
            self._event_queue.after(self._fleet.keep_alive_ms + 250, self._unload_if_idle, model, start)
        pending_orders, model.pending_orders = model.pending_orders, []
        for instances, on_done in pending_orders:
            if model.loaded >= instances:
                on_done(AttemptStatus.COMPLETED, model.loaded)
            elif not succeeded:
                on_done(AttemptStatus.ERROR, model.loaded)
            else:
                model.pending_orders.append((instances, on_done))
        if not model.loaded and not model.loading:
            while model.waiting:
                model.waiting.popleft().reply(
                    AttemptStatus.NOT_LOADED, WorkerAnswer("miss", load_failed=True, report=self._report())
                )
        self._start_loads()
        self._start_queued()

    def _unload_if_idle(self, model: _FunctionState, start: int) -> None:
        """Unload the instances once they have been idle for their keep-alive."""
        if start != self._starts or not self.up or not model.loaded:
            return
        left = model.last_used + self._fleet.keep_alive_ms - self._event_queue.now
        if model.busy or model.waiting or left > 0:
            self._event_queue.after(max(250.0, left), self._unload_if_idle, model, start)
        else:
            self._unload(model, model.loaded)

    # Faults.

    def inject(self, kind: str, fault: Any) -> None:
        """Inject a fault for its duration."""
        if kind == "models-voided":
            for model in list(self._resident.values()):
                if model.loaded and self._random.random() < fault.share:
                    self._unload(model, model.loaded - -(-model.busy // model.action.concurrency))
        elif kind == "restart-cold":
            self.start_process(warm=False)
        elif kind == "pause":  # the process stops; later it reads what arrived meanwhile
            self._paused_until = self._event_queue.now + fault.duration * 1000
        else:
            self.faults[kind] = fault
            self._event_queue.after(fault.duration * 1000, self.faults.pop, kind, None)


class ConnectedWorker(SimulatedWorker):
    """A worker with its open connections."""

    def __init__(self, *arguments: Any) -> None:
        self.open_replies: dict[Callable[[AttemptStatus, WorkerAnswer | None], None], None] = {}
        super().__init__(*arguments)

    def close_connections(self) -> None:
        """Fail all open attempts: their connections are lost."""
        open_replies, self.open_replies = self.open_replies, {}
        for send_back in open_replies:
            send_back(AttemptStatus.CONNECTION_LOST, None)
