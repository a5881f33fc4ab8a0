"""Instances of models at a simulated worker: memory, loads from the store, and unloads of idle instances."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.settings.deployment import ActionSettings, Deployment, TypeSettings

from .event_queue import EventQueue
from .model_store import SimulatedStore
from .worker_messages import AttemptReply, OrderReply

if TYPE_CHECKING:
    from .remote import RemoteStore
    from .workers import SimulatedWorker

IDLE_CHECK_INTERVAL_MS = 250.0  # minimum time between two checks whether a model's keep-alive time has passed
MAX_QUEUED_LOADS_FACTOR = 2  # limit of queued loads, as a multiple of the limit of concurrent loads


class PendingOrder(NamedTuple):
    """A load order whose loads have not finished yet."""

    instance_count: int
    reply: OrderReply


@dataclass(slots=True, eq=False)
class QueuedAttempt:
    """An attempt that waits for a core and an instance."""

    model: ModelState
    deduplication_id: str
    activation: str
    number: int
    reply: AttemptReply
    other_attempts: int  # other attempts at the model when this one was queued
    was_loaded: bool  # an instance of the model was loaded when this one was queued
    deadline: float  # simulated time in ms


@dataclass(slots=True, eq=False)
class ModelState:
    """State of an action's model at one worker."""

    action: ActionSettings
    type: TypeSettings
    loaded: int = 0  # number of loaded instances
    loading: int = 0  # number of instances with a running or queued load
    busy: int = 0  # number of running attempts
    last_used: float = 0.0
    waiting: deque[QueuedAttempt] = field(default_factory=deque)
    pending_orders: list[PendingOrder] = field(default_factory=list)

    @property
    def instances_needed(self) -> int:
        """Instances that the running attempts need."""
        return -(-self.busy // self.action.concurrency)

    @property
    def instances_in_use(self) -> int:
        """Loaded instances on which attempts run."""
        return min(self.loaded, self.instances_needed)

    @property
    def is_absent(self) -> bool:
        """True if no instance is loaded or loading."""
        return not self.loaded and not self.loading


class WorkerInstances:
    """All models of one worker process; each start of the process creates a new object."""

    def __init__(
        self,
        worker: SimulatedWorker,
        event_queue: EventQueue,
        deployment: Deployment,
        store: SimulatedStore | RemoteStore,
    ) -> None:
        self._worker, self._event_queue, self._store = worker, event_queue, store
        self._deployment, self._fleet = deployment, deployment.fleet
        self._models: dict[str, ModelState] = {}
        self._resident: dict[str, ModelState] = {}  # models with instances that are loaded or loading
        self._memory_mb = 0.0
        self._running_loads = 0
        self._load_queue: deque[ModelState] = deque()

    def model(self, action: ActionSettings) -> ModelState:
        """Return the state of an action's model, which is created on first use."""
        model = self._models.get(action.model)
        if model is None:
            model = self._models[action.model] = ModelState(action, self._deployment.types[action.type])
        return model

    @property
    def idle_mb(self) -> float:
        """Memory in MB of loaded instances without running attempts."""
        return sum((m.loaded - m.instances_in_use) * m.action.memory_mb for m in self._resident.values())

    @property
    def busy_mb(self) -> float:
        """Memory in MB of instances with running attempts and of instances that are loading."""
        return sum((m.instances_in_use + m.loading) * m.action.memory_mb for m in self._resident.values())

    @property
    def open_loads(self) -> int:
        """Number of running and queued loads."""
        return self._running_loads + len(self._load_queue)

    def keep_loaded(self, model: ModelState, instance_count: int, reply: OrderReply) -> None:
        """Carry out an order to keep `instance_count` instances of a model loaded, and answer it through `reply`."""
        model.last_used = self._event_queue.now
        while model.loaded + model.loading < instance_count:
            if len(self._load_queue) >= MAX_QUEUED_LOADS_FACTOR * self._fleet.loads or not self._free_memory_for(model):
                reply(AttemptStatus.OUT_OF_CAPACITY, model.loaded)
                return
            model.loading += 1
            self._memory_mb += model.action.memory_mb
            self._resident[model.action.model] = model
            self._load_queue.append(model)
            self._start_loads()
        if model.loaded >= instance_count:
            reply(AttemptStatus.COMPLETED, model.loaded)
        else:
            model.pending_orders.append(PendingOrder(instance_count, reply))

    def loaded_models(self) -> list[ModelState]:
        """Return the models with loaded instances."""
        return [model for model in self._resident.values() if model.loaded]

    def unload(self, model: ModelState, instance_count: int) -> None:
        """Unload `instance_count` instances of a model."""
        self._memory_mb -= instance_count * model.action.memory_mb
        model.loaded -= instance_count
        self._remove_if_absent(model)

    def _remove_if_absent(self, model: ModelState) -> None:
        if model.is_absent:
            self._resident.pop(model.action.model, None)

    def _free_memory_for(self, model: ModelState) -> bool:
        """Unload idle models until another instance of `model` fits in memory; return whether it does.

        All models whose keep-alive time has passed are unloaded first, then the least recently used ones.
        """
        needed_mb, limit_mb = model.action.memory_mb, self._fleet.memory_mb
        if self._memory_mb + needed_mb <= limit_mb:
            return True
        now = self._event_queue.now
        expired = [m for m in self.loaded_models() if not m.busy and now - m.last_used > self._fleet.keep_alive_ms]
        for other in expired:
            self.unload(other, other.loaded)
        idle = deque(
            sorted(
                (m for m in self.loaded_models() if not m.busy and m is not model and not m.waiting),
                key=lambda m: m.last_used,
            )
        )
        while self._memory_mb + needed_mb > limit_mb:
            if not idle:
                return False
            least_recently_used = idle.popleft()
            self.unload(least_recently_used, least_recently_used.loaded)
        return True

    def _start_loads(self) -> None:
        while self._load_queue and self._running_loads < self._fleet.loads:
            self._running_loads += 1
            model = self._load_queue.popleft()
            fetch_ms = model.action.load_ms * self._deployment.store.fetch_share
            self._store.fetch(fetch_ms, partial(self._on_fetched, model, fetch_ms))

    @property
    def _process_ended(self) -> bool:
        return self._worker.instances is not self or not self._worker.up

    def _on_fetched(self, model: ModelState, fetch_ms: float, succeeded: bool) -> None:
        if self._process_ended:
            return
        remaining_ms = (model.action.load_ms - fetch_ms) / self._worker.slow_start_capacity if succeeded else 0.0
        self._event_queue.after(remaining_ms, self._on_loaded, model, succeeded)

    def _on_loaded(self, model: ModelState, succeeded: bool) -> None:
        if self._event_queue.now < self._worker.paused_until:
            self._event_queue.at(self._worker.paused_until, self._on_loaded, model, succeeded)
            return
        if self._process_ended:
            return
        self._running_loads -= 1
        model.loading -= 1
        model.loaded += succeeded
        model.last_used = self._event_queue.now
        if succeeded:
            first_check_ms = self._fleet.keep_alive_ms + IDLE_CHECK_INTERVAL_MS
            self._event_queue.after(first_check_ms, self._unload_if_idle, model)
        else:
            self._memory_mb -= model.action.memory_mb
            self._remove_if_absent(model)
        self._answer_orders(model, succeeded)
        if model.is_absent:
            self._worker.executor.fail_waiting(model)
        self._start_loads()
        self._worker.executor.start_queued()

    def _answer_orders(self, model: ModelState, load_succeeded: bool) -> None:
        """Answer the orders that are fulfilled, and after a failed load all others with an error."""
        pending_orders, model.pending_orders = model.pending_orders, []
        for order in pending_orders:
            if model.loaded >= order.instance_count:
                order.reply(AttemptStatus.COMPLETED, model.loaded)
            elif not load_succeeded:
                order.reply(AttemptStatus.ERROR, model.loaded)
            else:
                model.pending_orders.append(order)

    def _unload_if_idle(self, model: ModelState) -> None:
        """Unload a model's instances if they have been idle for the keep-alive time; otherwise check again later."""
        if self._process_ended or not model.loaded:
            return
        remaining_ms = model.last_used + self._fleet.keep_alive_ms - self._event_queue.now
        if model.busy or model.waiting or remaining_ms > 0:
            self._event_queue.after(max(IDLE_CHECK_INTERVAL_MS, remaining_ms), self._unload_if_idle, model)
        else:
            self.unload(model, model.loaded)
