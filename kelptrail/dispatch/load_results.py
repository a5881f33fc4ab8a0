"""Updates the state of a dispatcher with the result of each load order.  Times are milliseconds."""

from __future__ import annotations

from .components import Components, DispatchState
from .entities import AttemptStatus, Function, Instance, LoadOrder, TerminationReason
from .request_lifecycle import RequestLifecycle

# An order answered within this share of the load time found the instances already loaded.
ALREADY_LOADED_SHARE = 0.25
LOAD_TIME_WEIGHT = 0.3  # weight of one load in the moving average of the load time


class LoadResults:
    """Records the results of load orders, and ends requests of functions that cannot be loaded."""

    def __init__(self, parts: Components, state: DispatchState, lifecycle: RequestLifecycle) -> None:
        self._safety, self._outliers = parts.safety, parts.outliers
        self._instances, self._timers = parts.instances, parts.timers
        self._state, self._lifecycle = state, lifecycle

    def on_load_report(self, now: float, order: LoadOrder, status: AttemptStatus, loaded_count: int) -> None:
        """Record the result of a load order; `loaded_count` instances are now loaded at its worker.  A worker
        out of capacity ranks behind others with a similar load for one load time, which prevents a burst of
        orders to workers without capacity.
        """
        instance, order.instance.load_order = order.instance, None
        instance.worker.pending_loads -= 1
        self._safety.readiness.on_answer(order, status)
        if status is AttemptStatus.OUT_OF_CAPACITY:
            instance.worker.out_of_capacity_until = now + instance.function.load_ms
        self._observe_load(now, order, instance, status)
        if status in (AttemptStatus.COMPLETED, AttemptStatus.OUT_OF_CAPACITY, AttemptStatus.ERROR):
            self._instances.set_loaded(now, instance, loaded_count)
        else:
            # The order got no answer or was not sent, which counts as a lost connection.  Instances that were
            # recorded as loaded still count as loaded.
            self._outliers.record(now, instance.worker.outlier_state, True, True)
        if not loaded_count and status not in (AttemptStatus.CONNECTION_LOST, AttemptStatus.NOT_SENT):
            instance.unavailable_until = now + instance.function.load_ms
            self._timers.add(instance.unavailable_until, instance)
            if status is AttemptStatus.ERROR and not instance.function.has_loaded:
                self.on_load_failed(now, instance.function)
        instance.function.has_loaded = instance.function.has_loaded or loaded_count > 0
        self._state.runnable[instance.function] = None

    def _observe_load(self, now: float, order: LoadOrder, instance: Instance, status: AttemptStatus) -> None:
        """Update the load time, and the share of instances that were already loaded at their first use."""
        function, duration_ms = instance.function, now - order.placed_at
        had_to_load = (
            status is not AttemptStatus.COMPLETED or duration_ms > ALREADY_LOADED_SHARE * function.load_ms
        )
        if not instance.loaded and order.placed_at >= instance.not_loaded_at + function.load_ms:
            self._instances.observe_first_use(not had_to_load)
        if had_to_load and status is AttemptStatus.COMPLETED:
            function.load_ms += LOAD_TIME_WEIGHT * (duration_ms - function.load_ms)

    def on_load_failed(self, now: float, function: Function) -> None:
        """Record a failed load or attempt of a function that was never loaded.  Its waiting requests no
        longer count for the load ration; after a second failure those without an attempt in flight end at
        once.  This guards against calls of functions that do not exist.
        """
        function.failed_loads += 1
        for request in [*function.arrivals, *function.queue, *function.late_queue]:
            self._safety.uncount_request(request)
            if (
                function.failed_loads > 1
                and request.final_status is None
                and all(attempt.status for attempt in request.attempts)
            ):
                ended = self._lifecycle.finish(now, request, TerminationReason.FUNCTION_NOT_LOADABLE)
                self._state.decisions.append(ended)
