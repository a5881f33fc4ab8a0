"""What the decisions are about: activations, sends, workers, copies, namespace types.

Plain state without a decision: the modules beside this one read and write it to decide.  Objects point to
each other; ids are used only at the door, by whoever hosts a dispatcher.  Times are milliseconds.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum


class Idempotency(Enum):
    """What a second run of an activation does."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "once-only"


class AttemptStatus(Enum):
    """How a send ended; `NEVER_RAN` lists the ends that prove that it never ran."""

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
    """The one final answer of a request."""

    COMPLETED = "completed"
    REJECTED = "rejected"  # no effect: trying again is harmless
    FAILED = "aborted"  # it may have run
    CLIENT_GONE = "left"  # nobody waits for an answer any more


class TerminationReason(Enum):
    """Why the decisions gave a request up."""

    OVERLOAD = "queue past its bound, or shed"
    INSUFFICIENT_TIME = "too little time left"
    DEADLINE_EXCEEDED = "time is up"
    ATTEMPTS_EXHAUSTED = "no further attempt may be made"
    FUNCTION_NOT_LOADABLE = "function cannot be loaded"
    SHUTTING_DOWN = "the process ends"


NEVER_RAN = frozenset(
    {
        AttemptStatus.OUT_OF_CAPACITY,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.NOT_SENT,
        AttemptStatus.NOT_LOADED,
    }
)


class WorkerState(Enum):
    """What the worker list says of a worker."""

    LIVE = "live"
    DRAINING = "draining"
    REMOVED = "gone"


@dataclass(slots=True, eq=False, repr=False)
class RequestClass:
    """One of the kinds of activation that a deployment serves."""

    name: str
    idempotency: Idempotency
    latency_objective_ms: float
    priority_weight: float
    late_value_share: float = 0.0
    deduplication_scope: str = (
        "all"  # who drops repeats of a deduplicated activation: "all", "zone" or "cell"
    )
    deduplication_window_ms: float = 0.0  # for how long they do
    hedged: bool = False  # a second send may go beside one that is out unusually long


@dataclass(slots=True, eq=False, repr=False)
class Tenant:
    """Who shares the fleet; beyond `allowed_per_s` over all dispatchers an activation is worth little."""

    name: str
    quota_per_s: float
    request_times: deque[float] = field(default_factory=deque)


@dataclass(slots=True, eq=False, repr=False)
class OutlierState:
    """What this dispatcher has seen of a worker, in one namespace type or as a whole."""

    failure_rate: float = 0.0  # recent share of answers that were failures
    ejected_until: float = 0.0
    ejection_ms: float = 0.0


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """A worker as the list tells of it, and what this dispatcher has seen of it."""

    id: str
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    state: WorkerState = WorkerState.LIVE
    started_at: float | None = None  # None: long ago
    attempts: dict[Attempt, None] = field(default_factory=dict)  # still out, oldest first
    instances: dict[Function, Instance] = field(default_factory=dict)
    load_report: dict[str, float] = field(default_factory=dict)
    recent_times: deque[float] = field(
        default_factory=deque
    )  # sends while it is cold, completed ones once warm
    pending_loads: int = 0  # hold orders out
    mean_in_flight: float = 0.0  # sends out, on the recent average
    concurrency_limit: float = 0.0  # sends that it is believed to bear at once
    silent_since: float = 0.0
    mean_response_gap: float = 0.0  # usual silence while something is out, and how far it strays
    response_gap_deviation: float = 0.0
    outlier_state: OutlierState = field(default_factory=OutlierState)
    outlier_state_by_class: dict[RequestClass, OutlierState] = field(
        default_factory=lambda: defaultdict(OutlierState)
    )
    out_of_capacity_until: float = 0.0  # told of no room for another copy
    foreign_in_flight: float = 0.0  # sends of others met there, on the recent average
    foreign_observed_at: float = 0.0
    suspect: bool = False  # an answer from it is missing
    relative_latency: float = 1.0  # its times beside the usual ones, on the recent average

    @property
    def live(self) -> bool:
        """Whether it may be sent anything new."""
        return self.state is WorkerState.LIVE

    @property
    def removed(self) -> bool:
        """Whether the list has removed it."""
        return self.state is WorkerState.REMOVED


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """A function (a model) and its queue at this dispatcher."""

    id: str
    request_class: RequestClass
    memory_mb: float
    concurrency: int
    load_ms: float = 0.0  # usual time of a load; 0: not told
    arrivals: deque[Request] = field(default_factory=deque)  # taken, not yet looked at
    queue: deque[Request] = field(default_factory=deque)
    late_queue: deque[Request] = field(default_factory=deque)  # those that can only be late, served after
    instances: dict[Worker, Instance] = field(default_factory=dict)
    instance_limit: int = 0
    target_worker_count: float = 1.0  # over how many of its preferred workers it goes
    queued_since: float | None = None
    ranked_workers: list[Worker] | None = None  # the list that `homes` was made from
    preferred_workers: list[Worker] = field(default_factory=list)  # workers by preference
    examined_at: float = -1e9  # when a worker for another copy was last looked for
    last_request_at: float = 0.0
    mean_latency_ms: float = 0.0  # usual time from a send to its answer, and how far it strays
    latency_deviation_ms: float = 0.0
    planned: bool = False  # a plan says where its copies are wanted
    has_loaded: bool = False  # a worker has told of a copy of it
    failed_loads: int = 0  # loads that failed before one stood

    @property
    def queue_depth(self) -> int:
        """How many wait, in time or late."""
        return len(self.queue) + len(self.late_queue)

    @property
    def in_use(self) -> bool:
        """Whether anything of it waits or is out."""
        out = any(instance.load_order or instance.in_flight for instance in self.instances.values())
        return out or bool(self.arrivals or self.queue_depth)


@dataclass(slots=True, eq=False, repr=False)
class Instance:
    """The copies of one function at one worker, as far as this dispatcher believes in them."""

    function: Function
    worker: Worker
    loaded: int = 0
    load_order: LoadOrder | None = None  # a hold order that is out
    trial_attempt: Attempt | None = None  # sent without an order: its end tells whether one stands
    in_flight: int = 0
    last_used_at: float = 0.0  # last send or answer
    idle_since: float = 0.0  # since when it idles at the worker, at the earliest
    unavailable_until: float = 0.0
    not_loaded_at: float = -1e9  # when it was last found not to stand
    planned_count: int = 0  # copies that a plan wants there


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """A piece of work that a running dispatcher has taken and owes one final answer."""

    id: str
    request_class: RequestClass
    function: Function
    tenant: Tenant | None
    received_at: float
    deadline: float
    work_ms: float | None = None
    has_idempotency_key: bool = True  # its client's repeat would carry the same mark
    attempts: list[Attempt] = field(default_factory=list)
    queued: bool = False
    final_status: FinalStatus | None = None  # once set it stays
    reason: TerminationReason | None = None  # of a request that was rejected or failed
    retry_after_ms: float = 0.0  # with a rejection: when to come back
    streaming_attempt: Attempt | None = (
        None  # of a streamed answer a part was given: it goes on there or not at all
    )


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One send of an activation to a worker."""

    request: Request
    instance: Instance
    number: int
    started_at: float
    status: AttemptStatus | None = None
    cancelled: bool = False
    overdue: bool = False  # out for unusually long
    first_part_at: float | None = None  # when the first part of a streamed answer came
    latest_start: float = float(
        "inf"
    )  # it may not begin to leave later: repeats are dropped for a time only, a cold
    # worker's budget counts it as of now
    write_started_at: float | None = None  # when its first byte was about to leave

    @property
    def may_have_run(self) -> bool:
        """Unless its end proves that it never ran; one still out may have run."""
        return self.status not in NEVER_RAN


@dataclass(slots=True, eq=False, repr=False)
class LoadOrder:
    """A hold order: keep at least `count` copies there; 0 only asks."""

    instance: Instance
    count: int
    placed_at: float
    latest_start: float = float("inf")  # it may not begin to leave later: the ration counts it as of now
