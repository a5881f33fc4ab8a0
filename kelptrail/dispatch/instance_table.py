"""Which instances of functions are believed to be loaded where.  Times are milliseconds."""

from __future__ import annotations

from .entities import Function, Instance, Worker
from .timer_queue import TimerQueue

RENEWAL_SHARE = 0.8  # of the keep-alive: a renewal has the rest of it to arrive
RENEWAL_TOLERANCE_MS = 1.0  # a timer may fire a fraction of a millisecond before the computed time
FIRST_USE_WEIGHT = 0.1  # of one observation in the moving average `shared_ratio`


class InstanceTable:
    """Records which instances are loaded, when each is renewed, and when it expires."""

    def __init__(
        self,
        timers: TimerQueue,
        keep_alive_ms: float,
        loads_on_demand: bool = False,
        idle_limit_ms: float = 10_000,
    ) -> None:
        """`keep_alive_ms`: a worker keeps an idle instance for so long; `idle_limit_ms`: an instance unused
        for so long is not renewed; `loads_on_demand`: a worker without the function loads it for an
        attempt.
        """
        self._timers = timers
        self._keep_alive_ms, self._idle_limit_ms = keep_alive_ms, idle_limit_ms
        self._loads_on_demand = loads_on_demand
        # The recent share of instances that were already loaded, or loaded on demand, at their first use.
        self.shared_ratio = 0.5 + loads_on_demand

    def observe_first_use(self, was_loaded: bool) -> None:
        """Record whether an instance was already loaded when this dispatcher first used it."""
        self.shared_ratio += FIRST_USE_WEIGHT * ((was_loaded or self._loads_on_demand) - self.shared_ratio)

    def get_or_add(self, function: Function, worker: Worker) -> Instance:
        """The instance of a function at a worker; a new one is not loaded."""
        if worker not in function.instances:
            function.instances[worker] = worker.instances[function] = Instance(function, worker)
        return function.instances[worker]

    def set_loaded(self, now: float, instance: Instance, count: int) -> None:
        """Record that `count` instances are loaded there, idle as of now."""
        if count and not instance.loaded:
            self._timers.add(now + RENEWAL_SHARE * self._keep_alive_ms, instance)
        instance.loaded, instance.idle_since = count, now

    def needs_renewal(self, now: float, instance: Instance) -> bool:
        """Whether to renew the instance now; an instance past its keep-alive is removed."""
        if instance.function.instances.get(instance.worker) is not instance:
            return False
        if instance.in_flight:
            instance.idle_since = now
        if now >= instance.idle_since + self._keep_alive_ms or not instance.loaded:
            instance.loaded = 0
            if instance.load_order is None and not instance.in_flight and now >= instance.unavailable_until:
                self.remove(instance)
            return False
        due = now >= instance.idle_since + RENEWAL_SHARE * self._keep_alive_ms - RENEWAL_TOLERANCE_MS
        self._timers.add(
            instance.idle_since + (1.0 if due else RENEWAL_SHARE) * self._keep_alive_ms, instance
        )
        # Of a planned function the plan says which idle instances are kept.
        used = now - instance.last_used_at < self._idle_limit_ms and not instance.function.planned
        return due and instance.load_order is None and (used or instance.planned_count > 0)

    def remove(self, instance: Instance) -> None:
        """Forget the instance."""
        instance.function.instances.pop(instance.worker, None)
        instance.worker.instances.pop(instance.function, None)
