"""The entities that decisions are about: requests, attempts, workers, functions, instances, request classes.

Plain state without a decision: the other modules of this package read and write it to decide.  Objects refer
to each other directly; ids are resolved by the program that embeds a dispatcher (`kelptrail/engine`, the
gateway). All times are milliseconds on that program's clock.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum


class Idempotency(Enum):
    """What a second execution of a request does."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "once-only"


class AttemptStatus(Enum):
    """How an attempt ended; `NEVER_RAN` lists the statuses that prove that it was not executed."""

    COMPLETED = "completed"
    ERROR = "error"
    OUT_OF_CAPACITY = "full"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "broken"
    CANCELLED = "revoked"
    NOT_SENT = "unsent"
    NOT_LOADED = "miss"


class FinalStatus(StrEnum):
    """The one final answer to a request."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # no effect: a client may retry it safely
    FAILED = "aborted"  # it may have been executed
    CLIENT_GONE = "left"  # the client no longer waits for an answer


class TerminationReason(Enum):
    """Why a request was ended without a result."""

    OVERLOAD = "queue past its bound, or shed"
    INSUFFICIENT_TIME = "too little time left"
    DEADLINE_EXCEEDED = "time is up"
    ATTEMPTS_EXHAUSTED = "no further attempt may be made"
    FUNCTION_NOT_LOADABLE = "function cannot be loaded"
    SHUTTING_DOWN = "the process ends"
    READINESS_UNKNOWN = "no worker is known to be ready"


NEVER = float("inf")
"""A time limit that never passes."""

LONG_AGO = -1e9
"""The time of an event that has not happened yet: earlier than any time of the clock, so no pause runs from
it."""

NEVER_RAN = frozenset(
    {
        AttemptStatus.OUT_OF_CAPACITY,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.NOT_SENT,
        AttemptStatus.NOT_LOADED,
    }
)


class WorkerState(Enum):
    """The state of a worker in the endpoint list."""

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
    late_value_share: float = 0.0
    deduplication_scope: str = "all"  # which workers drop a repeat between them: "all", "zone" or "cell"
    deduplication_window_ms: float = 0.0  # for how long they drop it
    hedged: bool = False  # a second attempt may start while the first takes unusually long


@dataclass(slots=True, eq=False, repr=False)
class Tenant:
    """A tenant of the fleet; requests beyond `quota_per_s`, over all dispatchers, have a low priority."""

    name: str
    quota_per_s: float
    request_times: deque[float] = field(default_factory=deque)


@dataclass(slots=True, eq=False, repr=False)
class OutlierState:
    """Failures of a worker as seen by this dispatcher, in one request class or over all of them."""

    failure_rate: float = 0.0  # share of failures among recent responses
    ejected_until: float = 0.0
    ejection_ms: float = 0.0


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """A worker as the endpoint list describes it, and what this dispatcher has observed of it."""

    id: str
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    state: WorkerState = WorkerState.LIVE
    started_at: float | None = None  # None: a long time ago
    attempts: dict[Attempt, None] = field(default_factory=dict)  # in flight, oldest first
    instances: dict[Function, Instance] = field(default_factory=dict)
    load_report: dict[str, float] = field(default_factory=dict)
    load_reported_at: float = 0.0
    recent_times: deque[float] = field(
        default_factory=deque
    )  # starts of attempts in slow start, else completions
    pending_loads: int = 0  # load orders in flight
    mean_in_flight: float = 0.0  # attempts in flight, moving average
    concurrency_limit: float = 0.0  # estimated number of attempts that it can run at once
    silent_since: float = 0.0  # time of the last response, or of the first attempt after an idle period
    # Moving average of the time between responses while attempts are in flight.
    mean_response_gap: float = 0.0
    response_gap_deviation: float = 0.0
    outlier_state: OutlierState = field(default_factory=OutlierState)
    outlier_state_by_class: dict[RequestClass, OutlierState] = field(
        default_factory=lambda: defaultdict(OutlierState)
    )
    out_of_capacity_until: float = 0.0  # it reported no capacity for another instance
    foreign_in_flight: float = 0.0  # attempts of other dispatchers observed there, moving average
    foreign_observed_at: float = 0.0
    suspect: bool = False  # one of its attempts is overdue
    relative_latency: float = 1.0  # its latency divided by the usual latency, moving average
    ready_proven_at: float = (
        LONG_AGO  # when it was asked what it last answered as a worker that does not drain
    )
    readiness_question: ReadinessQuestion | None = None  # the last one, in flight
    ask_again_at: float = 0.0  # after a question that proved nothing
    # It may be a new process since then, without the endpoint list having said so.
    assumed_started_at: float | None = None

    @property
    def presumed_start(self) -> float | None:
        """The latest time at which it may have started; None for a long time ago."""
        if self.assumed_started_at is None or self.started_at is None:
            return self.started_at if self.assumed_started_at is None else self.assumed_started_at
        return max(self.started_at, self.assumed_started_at)

    @property
    def live(self) -> bool:
        """Whether new attempts and load orders may start there."""
        return self.state is WorkerState.LIVE

    @property
    def removed(self) -> bool:
        """Whether the endpoint list no longer contains it."""
        return self.state is WorkerState.REMOVED


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """A function (a model) and its queue at this dispatcher."""

    id: str
    request_class: RequestClass
    memory_mb: float
    concurrency: int
    load_ms: float = 0.0  # usual duration of a load; 0: unknown
    arrivals: deque[Request] = field(default_factory=deque)  # received, not yet admitted
    queue: deque[Request] = field(default_factory=deque)
    late_queue: deque[Request] = field(default_factory=deque)  # requests past their objective, served last
    instances: dict[Worker, Instance] = field(default_factory=dict)
    instance_limit: int = 0
    target_worker_count: float = 1.0  # the number of preferred workers over which it spreads
    queued_since: float | None = None
    ranked_workers: list[Worker] | None = None  # the list from which `preferred_workers` was computed
    preferred_workers: list[Worker] = field(default_factory=list)  # workers in order of preference
    examined_at: float = LONG_AGO  # when a worker for another instance was last searched
    last_request_at: float = 0.0
    mean_latency_ms: float = 0.0  # moving average of the latency of an attempt
    latency_deviation_ms: float = 0.0
    planned: bool = False  # the current plan places its instances
    has_loaded: bool = False  # a worker has run it, or reported an instance of it
    failed_loads: int = 0  # loads that failed before the first instance was loaded

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
    """The loaded instances of one function at one worker, as far as this dispatcher knows."""

    function: Function
    worker: Worker
    loaded: int = 0
    load_order: LoadOrder | None = None  # a load order in flight
    # Sent without a load order, to find out whether an instance is loaded.
    trial_attempt: Attempt | None = None
    in_flight: int = 0
    last_used_at: float = 0.0  # last start or completion of an attempt
    idle_since: float = 0.0  # the earliest time since which it may be idle at the worker
    unavailable_until: float = 0.0
    not_loaded_at: float = LONG_AGO  # when an attempt last found it not loaded
    planned_count: int = 0  # instances that the current plan places there


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
    has_idempotency_key: bool = True  # a retry by its client carries the same key
    attempts: list[Attempt] = field(default_factory=list)
    queued: bool = False
    final_status: FinalStatus | None = None  # never changes once set
    reason: TerminationReason | None = None  # why it was rejected or failed
    retry_after_ms: float = 0.0  # with a rejection: when the client may retry
    held_for_readiness: bool = False  # it has waited for a worker whose readiness was not known
    # Its response has begun: no other attempt can complete the request.
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
    first_part_at: float | None = None  # when the first part of a streamed response arrived
    # Its first byte may not leave later: the deduplication window ends, and a slow-start budget counts it as
    # of now.
    latest_start: float = NEVER
    write_started_at: float | None = None  # when its first byte was about to leave

    @property
    def may_have_run(self) -> bool:
        """True unless its status proves that it was not executed; one in flight may have been executed."""
        return self.status not in NEVER_RAN


@dataclass(slots=True, eq=False, repr=False)
class LoadOrder:
    """An order to keep at least `count` instances loaded at a worker; 0 only asks how many are loaded."""

    instance: Instance
    count: int
    placed_at: float
    latest_start: float = NEVER  # its first byte may not leave later: the load ration counts it as of now
    write_started_at: float | None = None  # when its first byte was about to leave


class ProbeKind(Enum):
    """What a worker is asked."""

    HEALTH_CHECK = "health check"
    LOAD_QUERY = "load query"  # a load order with count 0, which only asks


@dataclass(slots=True, eq=False, repr=False)
class ReadinessProbe:
    """One question on the wire; `status` is how it ended."""

    question: ReadinessQuestion
    kind: ProbeKind
    status: AttemptStatus | None = None


@dataclass(slots=True, eq=False, repr=False)
class ReadinessQuestion:
    """Asks a worker whether it takes new work, without starting any.  Its probes are sent together."""

    instance: Instance  # the function that the question is asked for, and the worker
    asked_at: float
    probes: list[ReadinessProbe] = field(default_factory=list)
    write_started_at: float | None = None  # when its first byte was about to leave
    loaded_count: int | None = None  # instances that the load query found


class LogMessage(str):
    """A line for the operators' log."""

    __slots__ = ()


Decision = Attempt | LoadOrder | ReadinessQuestion | Request | LogMessage
"""What a dispatcher decides: an attempt to start (or, if `cancelled`, to cancel), a load order to send, a
question to ask, a request with its final answer, or a line to log."""
