"""Which instances of functions are believed to be loaded where.  Times are milliseconds."""

from __future__ import annotations

from .entities import Function, Instance, Worker
from .timer_queue import TimerQueue


class InstanceTable:
    """What is believed to stand where: holding, renewing, expiring."""

    def __init__(
        self, timers: TimerQueue, keep_ms: float, loads: bool = False, idle_ms: float = 10_000
    ) -> None:
        self._agenda, self._keep_ms, self._idle_stop_ms, self._loads = timers, keep_ms, idle_ms, loads
        self.shared_ratio = (
            0.5 + loads
        )  # the recent share of copies that stood where first asked for, or load

    def observe_first_use(self, stood: bool) -> None:
        self.shared_ratio += 0.1 * ((stood or self._loads) - self.shared_ratio)

    def get_or_add(self, function: Function, worker: Worker) -> Instance:
        if worker not in function.instances:
            function.instances[worker] = worker.instances[function] = Instance(function, worker)
        return function.instances[worker]

    def set_loaded(self, now: float, instance: Instance, count: int) -> None:
        if count and not instance.loaded:
            self._agenda.add(now + 0.8 * self._keep_ms, instance)
        instance.loaded, instance.idle_since = count, now

    def needs_renewal(self, now: float, instance: Instance) -> bool:
        """Whether the copy should be renewed now; a copy past its keep-alive is forgotten."""
        if instance.function.instances.get(instance.worker) is not instance:
            return False
        if instance.in_flight:
            instance.idle_since = now
        if now >= instance.idle_since + self._keep_ms or not instance.loaded:
            instance.loaded = 0
            if instance.load_order is None and not instance.in_flight and now >= instance.unavailable_until:
                self.remove(instance)
            return False
        near = now >= instance.idle_since + 0.8 * self._keep_ms - 1
        self._agenda.add(instance.idle_since + (1.0 if near else 0.8) * self._keep_ms, instance)
        used = now - instance.last_used_at < self._idle_stop_ms and not instance.function.planned
        return (
            near and instance.load_order is None and (used or instance.planned_count > 0)
        )  # a plan says which idle ones stay

    def remove(self, instance: Instance) -> None:
        instance.function.instances.pop(instance.worker, None)
        instance.worker.instances.pop(instance.function, None)
