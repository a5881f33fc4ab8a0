"""Records which instances of functions are assumed to be loaded at which workers.  Times are milliseconds."""

from __future__ import annotations

from .entities import Function, Instance, Worker
from .timer_queue import TimerQueue

# An instance is renewed after this share of the keep-alive time; the rest is left for the renewal to arrive.
RENEWAL_SHARE = 0.8
RENEWAL_TOLERANCE_MS = 1.0  # a renewal that is due within this time does not wait for another timer
FIRST_USE_WEIGHT = 0.1  # weight of one observation in the moving average `shared_ratio`


class InstanceTable:
    """Records which instances are loaded, when they are renewed, and when they expire.

    An `Instance` stands for all instances of a function at a worker, which are renewed together.
    """

    def __init__(
        self,
        timers: TimerQueue,
        keep_alive_ms: float,
        loads_on_demand: bool = False,
        idle_limit_ms: float = 10_000,
    ) -> None:
        """Create an empty table.

        A worker keeps an idle instance for `keep_alive_ms`.  An instance is renewed if it is planned, or if
        its function is not planned and it was used within `idle_limit_ms`.  With `loads_on_demand` a worker
        without the function loads it when an attempt arrives.
        """
        self._timers = timers
        self._keep_alive_ms, self._idle_limit_ms = keep_alive_ms, idle_limit_ms
        self._loads_on_demand = loads_on_demand
        # Moving average of the share of instances that were already loaded, or loaded on demand, at their
        # first use.  The initial value exceeds `TRIAL_RATIO` of `queue_service` only with loads on demand:
        # then it is 1.5, and each observation is 1.
        self.shared_ratio = 0.5 + loads_on_demand

    def observe_first_use(self, was_loaded: bool) -> None:
        """Record whether an instance was already loaded when this dispatcher first used it."""
        self.shared_ratio += FIRST_USE_WEIGHT * ((was_loaded or self._loads_on_demand) - self.shared_ratio)

    def get_or_add(self, function: Function, worker: Worker) -> Instance:
        """Return the instance of a function at a worker; add one that is not loaded if there is none."""
        if worker not in function.instances:
            function.instances[worker] = worker.instances[function] = Instance(function, worker)
        return function.instances[worker]

    def set_loaded(self, now: float, instance: Instance, count: int) -> None:
        """Record that `count` instances are loaded and idle as of now; set the renewal timer if none was
        loaded before.
        """
        if count and not instance.loaded:
            self._timers.add(now + RENEWAL_SHARE * self._keep_alive_ms, instance)
        instance.loaded, instance.idle_since = count, now

    def needs_renewal(self, now: float, instance: Instance) -> bool:
        """Update the instance at its due time, and return whether to renew it now.  An instance that was
        removed from the table is not renewed.  While it is loaded, the timer for its next check is set.  An
        instance past its keep-alive time counts as not loaded.  One that is not loaded is removed, unless it
        is in use or unavailable now or a load order is in flight.
        """
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
        # The check after a due renewal is at the end of the keep-alive time.
        self._timers.add(
            instance.idle_since + (1.0 if due else RENEWAL_SHARE) * self._keep_alive_ms, instance
        )
        # For a planned function the plan decides which idle instances are kept.
        kept_by_use = now - instance.last_used_at < self._idle_limit_ms and not instance.function.planned
        return due and instance.load_order is None and (kept_by_use or instance.planned_count > 0)

    def remove(self, instance: Instance) -> None:
        """Remove the instance from its function and its worker."""
        instance.function.instances.pop(instance.worker, None)
        instance.worker.instances.pop(instance.function, None)
