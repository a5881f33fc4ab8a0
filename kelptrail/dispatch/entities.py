"""What the decisions are about: activations, sends, workers, copies, namespace types.

Plain state without a decision: the modules beside this one read and write it to decide.  Objects point to
each other; ids are used only at the door, by whoever hosts a dispatcher.  Times are milliseconds.
"""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a second run of an activation does."""

    REPEATABLE = "repeatable"
    DEDUPLICATED = "deduplicated"
    ONCE_ONLY = "once-only"


class Outcome(Enum):
    """How a send ended; `NEVER_RAN` lists the ends that prove that it never ran."""

    COMPLETED = "completed"
    ERROR = "error"
    FULL = "full"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    REVOKED = "revoked"
    UNSENT = "unsent"
    MISS = "miss"


class EndReason(Enum):
    """Why the decisions gave a request up."""

    OVERLOAD = "queue past its bound, or shed"
    TOO_LITTLE_TIME = "too little time left"
    TIME_UP = "time is up"
    NO_ATTEMPT_LEFT = "no further attempt may be made"
    UNLOADABLE = "function cannot be loaded"
    PROCESS_ENDS = "the process ends"


NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT, Outcome.MISS})


class State(Enum):
    """What the worker list says of a worker."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True, eq=False, repr=False)
class NamespaceType:
    """One of the kinds of activation that a deployment serves."""

    name: str
    effect: Effect
    target_ms: float
    utility: float
    late_share: float = 0.0
    scope: str = "all"  # who drops repeats of a deduplicated activation: "all", "zone" or "cell"
    remembered_ms: float = 0.0  # for how long they do
    hedged: bool = False  # a second send may go beside one that is out unusually long


@dataclass(slots=True, eq=False, repr=False)
class Customer:
    """Who shares the fleet; beyond `allowed_per_s` over all dispatchers an activation is worth little."""

    name: str
    allowed_per_s: float
    taken: deque[float] = field(default_factory=deque)


@dataclass(slots=True, eq=False, repr=False)
class View:
    """What this dispatcher has seen of a worker, in one namespace type or as a whole."""

    fails: float = 0.0  # recent share of answers that were failures
    barred_until: float = 0.0
    bar_ms: float = 0.0


@dataclass(slots=True, eq=False, repr=False)
class Worker:
    """A worker as the list tells of it, and what this dispatcher has seen of it."""

    id: str
    zone: int = 0
    cell: int = 0
    kind: int = 0
    size: float = 1.0
    state: State = State.LIVE
    started: float | None = None  # None: long ago
    sends: dict[Send, None] = field(default_factory=dict)  # still out, oldest first
    copies: dict[Function, Copy] = field(default_factory=dict)
    report: dict[str, float] = field(default_factory=dict)
    recent: deque[float] = field(default_factory=deque)  # sends while it is cold, completed ones once warm
    loading: int = 0  # hold orders out
    busy: float = 0.0  # sends out, on the recent average
    window: float = 0.0  # sends that it is believed to bear at once
    quiet_since: float = 0.0
    gap: float = 0.0  # usual silence while something is out, and how far it strays
    stray: float = 0.0
    whole: View = field(default_factory=View)
    views: dict[NamespaceType, View] = field(default_factory=lambda: defaultdict(View))
    crammed_until: float = 0.0  # told of no room for another copy
    others: float = 0.0  # sends of others met there, on the recent average
    met: float = 0.0
    doubted: bool = False  # an answer from it is missing
    pace: float = 1.0  # its times beside the usual ones, on the recent average

    @property
    def live(self) -> bool:
        """Whether it may be sent anything new."""
        return self.state is State.LIVE

    @property
    def gone(self) -> bool:
        """Whether the list has removed it."""
        return self.state is State.GONE


@dataclass(slots=True, eq=False, repr=False)
class Function:
    """A function (a model) and its queue at this dispatcher."""

    id: str
    type: NamespaceType
    memory_mb: float
    lanes: int
    load_ms: float = 0.0  # usual time of a load; 0: not told
    arrivals: deque[Activation] = field(default_factory=deque)  # taken, not yet looked at
    waiting: deque[Activation] = field(default_factory=deque)
    late: deque[Activation] = field(default_factory=deque)  # those that can only be late, served after
    copies: dict[Worker, Copy] = field(default_factory=dict)
    limit: int = 0
    spread: float = 1.0  # over how many of its preferred workers it goes
    lag_since: float | None = None
    listed: list[Worker] | None = None  # the list that `homes` was made from
    homes: list[Worker] = field(default_factory=list)  # workers by preference
    looked: float = -1e9  # when a worker for another copy was last looked for
    last_taken: float = 0.0
    usual_ms: float = 0.0  # usual time from a send to its answer, and how far it strays
    stray_ms: float = 0.0
    planned: bool = False  # a plan says where its copies are wanted
    stood: bool = False  # a worker has told of a copy of it
    refused: int = 0  # loads that failed before one stood

    @property
    def lag(self) -> int:
        """How many wait, in time or late."""
        return len(self.waiting) + len(self.late)

    @property
    def busy(self) -> bool:
        """Whether anything of it waits or is out."""
        out = any(copy.order or copy.sends for copy in self.copies.values())
        return out or bool(self.arrivals or self.lag)


@dataclass(slots=True, eq=False, repr=False)
class Copy:
    """The copies of one function at one worker, as far as this dispatcher believes in them."""

    function: Function
    worker: Worker
    standing: int = 0
    order: Order | None = None  # a hold order that is out
    trial: Send | None = None  # sent without an order: its end tells whether one stands
    sends: int = 0
    used: float = 0.0  # last send or answer
    touched: float = 0.0  # since when it idles at the worker, at the earliest
    barred_until: float = 0.0
    missed: float = -1e9  # when it was last found not to stand
    wanted: int = 0  # copies that a plan wants there


@dataclass(slots=True, eq=False, repr=False)
class Activation:
    """A piece of work that a running dispatcher has taken and owes one final answer."""

    id: str
    type: NamespaceType
    function: Function
    customer: Customer | None
    taken: float
    deadline: float
    effort_ms: float | None = None
    marked: bool = True  # its client's repeat would carry the same mark
    sends: list[Send] = field(default_factory=list)
    queued: bool = False
    verdict: str | None = None  # "completed", "rejected", "aborted"; once set it stays
    reason: EndReason | None = None  # with "rejected" and "aborted"
    return_ms: float = 0.0  # with a rejection: when to come back
    bound: Send | None = None  # of a streamed answer a part was given: it goes on there or not at all


@dataclass(slots=True, eq=False, repr=False)
class Send:
    """One send of an activation to a worker."""

    act: Activation
    copy: Copy
    number: int
    sent: float
    outcome: Outcome | None = None
    revoked: bool = False
    lost: bool = False  # out for unusually long
    first: float | None = None  # when the first part of a streamed answer came
    until: float = float(
        "inf"
    )  # it may not begin to leave later: repeats are dropped for a time only, a cold
    # worker's budget counts it as of now
    begun: float | None = None  # when its first byte was about to leave

    @property
    def may_have_run(self) -> bool:
        """Unless its end proves that it never ran; one still out may have run."""
        return self.outcome not in NEVER_RAN


@dataclass(slots=True, eq=False, repr=False)
class Order:
    """A hold order: keep at least `count` copies there; 0 only asks."""

    copy: Copy
    count: int
    placed: float
    until: float = float("inf")  # it may not begin to leave later: the ration counts it as of now
