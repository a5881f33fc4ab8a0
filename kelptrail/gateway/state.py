"""The state that the parts of a gateway share: requests in flight, pending effects, records, limits and counters."""

from __future__ import annotations

from collections import deque
from zlib import crc32

from kelptrail.dispatch.entities import Attempt, Request
from kelptrail.dispatch.timer_queue import TimerQueue
from kelptrail.membership.members import WorkerRegistry

from .build import DispatcherParts
from .counters import FunctionCounters, GatewayCounters
from .effects import Effect
from .idempotency_keys import IdempotencyKeys
from .invocation import Invocation
from .lifecycle import RequestStage
from .limits import InFlightLimits
from .overload import OverloadController
from .overload_settings import OverloadSettings
from .records import Records


def is_repeat(attempt: Attempt) -> bool:
    """Return whether an earlier attempt of the same request may have run.

    This is the case for a hedge, and for a retry unless it is known of each earlier attempt that it did not run.
    """
    return any(other.may_have_run for other in attempt.request.attempts[: attempt.number])


class GatewayState:
    """The state of one gateway, changed by one thread only.

    Only the gateway and its parts change it, except that the host (the program that runs the gateway) updates
    `answer_ms`.  `boot` identifies the run of the process; it seeds the random draws of overload control.
    """

    def __init__(self, parts: DispatcherParts, boot: str) -> None:
        settings = parts.deployment.dispatcher
        overload = parts.deployment.overload
        self.parts = parts
        self.dispatcher = parts.dispatcher
        self.margin_ms = settings.answer_margin_ms  # smallest time from a request's deadline to the client's timeout
        self.answer_ms = 0.0  # time to write one answer; the host averages it over its rounds of effects
        self.invocations: dict[Request, Invocation] = {}
        self.invocations_by_id: dict[str, Invocation] = {}
        self.effects: deque[Effect] = deque()  # effects not yet returned to the host
        # Requests by the time at which their attempts are cancelled, unless `Invocation.expires_at` is later by then.
        self.expiry_timers = TimerQueue()
        self.keys = IdempotencyKeys()
        self.limits = InFlightLimits(
            settings.max_in_flight, settings.max_in_flight_mb * 1e6, settings.max_in_flight_per_namespace
        )
        self.overload = OverloadController(
            OverloadSettings(
                overload.enabled, max_retry_after_ms=overload.max_retry_after_ms, max_clients=overload.max_clients
            ),
            crc32(boot.encode()),
            {namespace.name: namespace.quota_per_s for namespace in parts.deployment.namespaces.values()},
        )
        self.members = WorkerRegistry(parts.zones)
        self.records = Records(settings.max_records, settings.max_records_mb * 1e6, settings.max_record_age_ms)
        self.counts = GatewayCounters()
        self.counters_by_model: dict[str, FunctionCounters] = {}  # counters since the last report to a planner

    def counters_of(self, path: str) -> FunctionCounters:
        """Return the counters of the model that the action at this path calls."""
        model = self.parts.deployment.actions[path].model
        counters = self.counters_by_model.get(model)
        if counters is None:
            counters = self.counters_by_model[model] = FunctionCounters()
        return counters

    def take_counters(self) -> dict[str, FunctionCounters]:
        """Return the counters by model since the last call, and reset them."""
        taken, self.counters_by_model = self.counters_by_model, {}
        for model, counters in taken.items():
            counters.queue_depth = self.parts.function(self.parts.paths[model]).queue_depth
        return taken

    def start_attempt(self, invocation: Invocation, attempt: Attempt) -> None:
        """Start a decided attempt in the lifecycle of its request, and count it.

        Raises `IllegalStepError` if no decided attempt waits to start, if the may-run entry is required and not
        durable, or if the final answer is decided.
        """
        invocation.lifecycle.start_attempt()
        self.counts.repeat_attempts += is_repeat(attempt)
        invocation.record.attempt_count += 1
        self.counts.attempts += 1

    def forget_if_done(self, request: Request) -> None:
        """Forget the request if its stage is `PUBLISHED` and none of its attempts is in flight.

        In this stage the final answer may be shown, or another dispatcher has taken the request over.
        """
        invocation = self.invocations.get(request)
        if (
            invocation is not None
            and invocation.lifecycle.stage is RequestStage.PUBLISHED
            and all(attempt.status for attempt in request.attempts)
        ):
            invocation.lifecycle.forget()
            del self.invocations[request]
            self.invocations_by_id.pop(invocation.record.id, None)
            request.attempts = []  # breaks the reference cycle, so that no garbage collection is needed
