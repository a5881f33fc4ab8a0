"""The entities that decisions refer to: requests, attempts, workers, functions, instances, request classes.

They hold state and decide nothing: the other modules of this package read and write them.  Objects refer
to each other directly; ids are resolved by the program that embeds a dispatcher (`kelptrail/engine`, the
gateway).  All times are milliseconds on that program's clock.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from .sliding_window import Bucket, EventWindow

QUOTA_WINDOW_MS = 2000  # a tenant's share of the requests is measured over this time


class Idempotency(Enum):
    """Whether a request may be executed a second time."""

    IDEMPOTENT = "repeatable"  # a second execution has no further effect
    DEDUPLICATED = "deduplicated"  # within a scope and a time window, workers drop a repeated request
    AT_MOST_ONCE = "once-only"  # no further attempt is made after one that may have run


class AttemptStatus(Enum):
    """The outcome of an attempt, a load order or a readiness probe; the values appear in the log.

    `NEVER_RAN` lists the outcomes that prove that an attempt was not executed.
    """

    COMPLETED = "completed"
    ERROR = "error"
    OUT_OF_CAPACITY = "full"  # also the answer of a draining worker to a health check
    SILENT = "silent"  # no answer within the time limit
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "broken"
    CANCELLED = "revoked"
    NOT_SENT = "unsent"
    NOT_LOADED = "miss"


class FinalStatus(StrEnum):
    """The one final answer to a request."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # a retry by the client is safe: it cannot have a second effect
    FAILED = "aborted"  # a retry by the client could have a second effect, or a response has begun
    CLIENT_GONE = "left"  # the client no longer waits for an answer


class TerminationReason(Enum):
    """The reason why a request ended without a result."""

    OVERLOAD = "queue past its bound, or shed"
    TOO_MANY_FUNCTIONS = "too many functions in use that no worker is known to run"
    INSUFFICIENT_TIME = "too little time left"
    DEADLINE_EXCEEDED = "time is up"
    ATTEMPTS_EXHAUSTED = "no further attempt may be made"
    FUNCTION_NOT_LOADABLE = "function cannot be loaded"
    SHUTTING_DOWN = "the process ends"
    READINESS_UNKNOWN = "no worker is known to be ready"


NEVER = float("inf")
"""A time limit that never passes."""

LONG_AGO = -1e9
"""The time of an event that has not happened yet.  It is earlier than any time of the clock, so that every
interval counted from it has passed."""

NEVER_RAN = frozenset(
    {
        AttemptStatus.OUT_OF_CAPACITY,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.NOT_SENT,
        AttemptStatus.NOT_LOADED,
    }
)


class WorkerState(Enum):
    """The state of a worker in the endpoint list; the values appear in the log."""

    LIVE = "live"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True, eq=False, repr=False)
class RequestClass:
    """A class of requests with one latency objective, priority and idempotency."""

    name: str
    idempotency: Idempotency
    latency_objective_ms: float
    priority_weight: float
    late_value_share: float = 0.0  # has no effect
    # The workers that share deduplication: "all", or those of a "zone" or "cell".
    deduplication_scope: str = "all"
    deduplication_window_ms: float = 0.0  # time within which these workers drop a repeated request
    hedged: bool = False  # a second attempt may start while the first takes unusually long


@dataclass(slots=True, eq=False, repr=False)
class Tenant:
    """A tenant of the fleet, with a quota over all dispatchers.  Each dispatcher compares the tenant's share
    of the recent requests with its share of all quotas; requests beyond that are rejected sooner.
    """

    name: str
    quota_per_s: float
    recent_requests: EventWindow = field(default_factory=lambda: EventWindow(QUOTA_WINDOW_MS))


@dataclass(slots=True, eq=False, repr=False)
class OutlierState:
    """Failures of a worker that this dispatcher observed, in one request class or over all of them."""

    failure_rate: float = 0.0  # share of failures among recent responses
    ejected_until: float = 0.0
    ejection_ms: float = 0.0  # duration of the latest ejection; 0 after a recovery


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """A worker: its entry in the endpoint list, and the state that this dispatcher has observed."""

    id: str
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0  # capacity relative to other workers
    state: WorkerState = WorkerState.LIVE
    started_at: float | None = None  # None: a long time ago
    attempts: dict[Attempt, None] = field(default_factory=dict)  # attempts in flight, oldest first
    instances: dict[Function, Instance] = field(default_factory=dict)
    load_report: dict[str, float] = field(default_factory=dict)
    load_reported_at: float = 0.0
    # In slow start the start times of recent attempts, afterwards their completion times.
    recent_times: deque[float] = field(default_factory=deque)
    pending_loads: int = 0  # load orders in flight
    mean_in_flight: float = 0.0  # number of attempts in flight, moving average
    concurrency_limit: float = 0.0  # estimated number of attempts that the worker can run at once
    # Time of the last response or first part of one, or of the first attempt after an idle period.
    silent_since: float = 0.0
    # Moving average of the time between responses while attempts are in flight.
    mean_response_gap: float = 0.0
    response_gap_deviation: float = 0.0
    outlier_state: OutlierState = field(default_factory=OutlierState)
    outlier_state_by_class: dict[RequestClass, OutlierState] = field(
        default_factory=lambda: defaultdict(OutlierState)
    )
    # Time until which the worker counts as having no capacity for another instance.
    out_of_capacity_until: float = 0.0
    foreign_in_flight: float = 0.0  # number of attempts of other dispatchers, moving average
    foreign_observed_at: float = 0.0
    suspect: bool = False  # an attempt at the worker is overdue
    relative_latency: float = 1.0  # latency divided by the function's mean latency, moving average
    # Send time of the latest item whose answer proved that the worker was not draining.
    ready_proven_at: float = LONG_AGO
    readiness_question: ReadinessQuestion | None = None  # the latest question, while it is in flight
    # Earliest time of the next readiness question; set after a question that did not prove readiness.
    next_question_at: float = 0.0
    # Time of the latest lost connection after which the worker may have restarted unreported by the endpoint
    # list.
    assumed_started_at: float | None = None

    @property
    def latest_possible_start(self) -> float | None:
        """The latest time at which the worker may have started; None for a long time ago."""
        if self.assumed_started_at is None or self.started_at is None:
            return self.started_at if self.assumed_started_at is None else self.assumed_started_at
        return max(self.started_at, self.assumed_started_at)

    @property
    def live(self) -> bool:
        """Whether new attempts and load orders may start at the worker."""
        return self.state is WorkerState.LIVE

    @property
    def removed(self) -> bool:
        """Whether the endpoint list no longer contains the worker."""
        return self.state is WorkerState.REMOVED


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """A function (a model) and its queue at this dispatcher."""

    id: str
    request_class: RequestClass
    memory_mb: float
    concurrency: int
    load_ms: float = 0.0  # usual duration of a load; 0: unknown
    # Requests received and not yet admitted, oldest first; an ordered set.
    arrivals: dict[Request, None] = field(default_factory=dict)
    queue: deque[Request] = field(default_factory=deque)
    # Requests that would probably miss their latency objective, served last.
    late_queue: deque[Request] = field(default_factory=deque)
    instances: dict[Worker, Instance] = field(default_factory=dict)
    instance_limit: int = 0
    target_worker_count: float = 1.0  # the number of preferred workers that share its load
    # Time at which queued requests first needed another instance, or the later time at which `instance_limit`
    # was last raised.
    queued_since: float | None = None
    ranked_workers: list[Worker] | None = None  # the worker list that `preferred_workers` was computed from
    preferred_workers: list[Worker] = field(default_factory=list)  # workers in order of preference
    searched_at: float = LONG_AGO  # time of the last search for a worker that can load another instance
    last_request_at: float = 0.0
    mean_latency_ms: float = 0.0  # moving average of the latency of an attempt
    latency_deviation_ms: float = 0.0
    planned: bool = False  # the current plan places its instances
    has_loaded: bool = False  # a worker has run the function, or reported a loaded instance
    failed_loads: int = 0  # loads and attempts that failed before the function was ever loaded

    @property
    def queue_depth(self) -> int:
        """The number of queued requests, late ones included."""
        return len(self.queue) + len(self.late_queue)

    @property
    def in_use(self) -> bool:
        """Whether a request is queued, or an attempt or load order is in flight."""
        in_flight = any(instance.load_order or instance.in_flight for instance in self.instances.values())
        return in_flight or bool(self.arrivals or self.queue_depth)


@dataclass(slots=True, eq=False, repr=False)
class Instance:
    """The instances of one function at one worker, as recorded by this dispatcher."""

    function: Function
    worker: Worker
    loaded: int = 0  # number of instances that count as loaded
    load_order: LoadOrder | None = None  # the load order in flight
    # Attempt sent without a load order, to find out whether an instance is loaded.
    trial_attempt: Attempt | None = None
    in_flight: int = 0  # number of attempts in flight
    last_used_at: float = 0.0  # last start or completion of an attempt
    idle_since: float = 0.0  # earliest time from which the worker may count the instance as idle
    unavailable_until: float = 0.0  # until then attempts and loads of the function go to other workers
    not_loaded_at: float = LONG_AGO  # time at which an attempt last found no loaded instance
    planned_count: int = 0  # number of instances that the current plan places at the worker


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """A request that this dispatcher has accepted; it gets exactly one final answer."""

    id: str
    request_class: RequestClass
    function: Function
    tenant: Tenant | None
    received_at: float
    deadline: float
    work_ms: float | None = None
    has_idempotency_key: bool = True  # a retry by the client carries the same key
    client: object | None = None  # the connection of the client; None: not known
    holds_unproven_function: bool = False  # counted by `FunctionTable` for its client
    ration_bucket: Bucket | None = None  # where the load ration counts the request
    attempts: list[Attempt] = field(default_factory=list)
    queued: bool = False
    final_status: FinalStatus | None = None  # never changes once set
    reason: TerminationReason | None = None  # set if the request was rejected or failed
    retry_after_ms: float = 0.0  # time after which a rejected client may retry; 0: none given
    held_for_readiness: bool = False  # the request has waited for a worker that is known to be ready
    # The attempt whose response has begun; no other attempt can complete the request.
    streaming_attempt: Attempt | None = None


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt to run a request at a worker."""

    request: Request
    instance: Instance
    number: int
    started_at: float
    status: AttemptStatus | None = None
    cancelled: bool = False
    overdue: bool = False  # in flight for an unusually long time
    first_part_at: float | None = None  # arrival time of the first part of a streamed response
    # Latest time to send the first byte.  For a retry the deduplication window limits it.  For a worker in
    # slow start the maximum delivery time limits it, as the budget counts the attempt from its decision on.
    latest_start: float = NEVER
    write_started_at: float | None = None  # time just before the first byte was sent

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt may have been executed: always while it is in flight, later according to its
        status.
        """
        return self.status not in NEVER_RAN


@dataclass(slots=True, eq=False, repr=False)
class LoadOrder:
    """An order to keep at least `count` instances loaded at a worker."""

    instance: Instance
    count: int
    placed_at: float
    # Latest time to send the first byte.  It is limited because the load ration counts the order from its
    # decision on.
    latest_start: float = NEVER
    write_started_at: float | None = None  # time just before the first byte was sent


class ProbeKind(Enum):
    """The kind of a readiness probe."""

    HEALTH_CHECK = "health check"
    LOAD_QUERY = "load query"  # a load order with count 0, which loads nothing


@dataclass(slots=True, eq=False, repr=False)
class ReadinessProbe:
    """One probe of a readiness question; `status` is its outcome, None while it is in flight."""

    question: ReadinessQuestion
    kind: ProbeKind
    status: AttemptStatus | None = None


@dataclass(slots=True, eq=False, repr=False)
class ReadinessQuestion:
    """Probes, sent together, that ask a worker whether it accepts new work.  They start no work."""

    instance: Instance  # the queried worker, and the function that needs it
    asked_at: float  # time of the decision to send the probes
    probes: list[ReadinessProbe] = field(default_factory=list)
    write_started_at: float | None = None  # time just before the first byte was sent
    loaded_count: int | None = None  # number of instances that the load query found


class LogMessage(str):
    """A line for the operators' log."""

    __slots__ = ()


Decision = Attempt | LoadOrder | ReadinessQuestion | Request | LogMessage
"""A decision of a dispatcher: an attempt to start (or, if `cancelled`, to cancel), a load order to send, a
readiness question to send, a request with its final answer, or a line to log."""
