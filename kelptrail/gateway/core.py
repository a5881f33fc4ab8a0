"""The gateway core: activations from taken to their one final answer, free of I/O and clocks.

Inputs (`take`, `answered`, `told`, `left`, `listed`) update what is known and tell the decisions; the host then
pulls `effect(now)` until it returns None and carries each out.  Whatever is said to a client passes `Final`
exactly once.  Nothing is chosen here: sends, orders and refusals come from `kelptrail.dispatch`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial
from zlib import crc32

import msgspec

from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.entities import (
    Attempt,
    AttemptStatus,
    FinalStatus,
    Idempotency,
    Instance,
    LoadOrder,
    Request,
    Worker,
)
from kelptrail.dispatch.timer_queue import TimerQueue
from kelptrail.membership.members import EndpointList, WorkerRegistry
from kelptrail.settings.deployment import ActionSettings
from kelptrail.store.activation_journal import ActivationEntries
from kelptrail.store.entries import Accepted, Ended, MayRun
from kelptrail.store.group_commit import GroupCommit
from kelptrail.store.recovery import End, Pace, Resume, Rule, judge

from .build import DispatcherParts
from .counters import FunctionCounters
from .lifecycle import Need, RequestLifecycle, Stage
from .limits import EARLY, RETURN_MS, Holdings
from .overload import OverloadController, OverloadSettings
from .records import Record, RecordKeeper, Records

OUTCOMES = {
    "completed": AttemptStatus.COMPLETED,
    "error": AttemptStatus.ERROR,
    "full": AttemptStatus.OUT_OF_CAPACITY,
    "miss": AttemptStatus.NOT_LOADED,
}
MAY_HAVE_RUN = b'{"error":"The activation was aborted: it may have run, so trying again may repeat its effect."}'
MOST_MARGIN = 0.25  # of a call's time: at the most so much earlier it is given up
CUT_OFF = b'{"error":"The activation was aborted in the middle of its stream; what was given stands."}'
NEVER_RAN = b'{"error":"The activation was aborted before any run of it began."}'


@dataclass(slots=True, eq=False)
class Invocation:
    """One call in hand: the decisions' activation, its record, and what a send carries."""

    request: Request
    record: Record
    action: ActionSettings
    payload: bytes
    mark: str  # by which workers know a repeat
    lifecycle: RequestLifecycle
    waiters: list[Callable[[Record], None]] = field(default_factory=list)  # told the final answer, by the host
    answer: WorkerAnswer | None = None
    form: str = "json"  # of the payload and the result: "json", or "tensors" as the inference protocol has them
    deferred: bool = False  # from the start: its client waits for the id only
    streamed: bool = False  # its client takes the answer in parts
    until: float = 0.0  # when it is given up, unless something comes
    who: str = ""  # by which its client's coming again is known
    parts: int = 0
    stream_limit_ms: float = float("inf")  # what the client allows for the whole
    on_part: Callable[[bytes], None] | None = None  # told each part, by the host
    promises: list[Callable[[bool | None], None]] = field(default_factory=list)  # see `promise`
    refused: bool = False  # too few have its record: its end is written before its client is told
    moved: bool = False  # from this dispatcher's disk alone to a book with copies
    held: list[Attempt] = field(default_factory=list)  # sends that wait until "may run" is safe


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the call to its worker."""

    invocation: Invocation
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for a send; `reason` is "revoked" or "silent"."""

    attempt: Attempt
    reason: str


@dataclass(frozen=True, slots=True)
class StartLoad:
    """Give a worker a hold order."""

    order: LoadOrder


@dataclass(frozen=True, slots=True)
class ResponsePart:
    """A part of a streamed answer, to be passed on at once."""

    invocation: Invocation
    data: bytes


@dataclass(frozen=True, slots=True)
class FinalAnswer:
    """The one final answer stands in the record; tell whoever waits."""

    invocation: Invocation


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Something unusual, for the log."""

    text: str


def _ended(record: Record) -> Ended:
    return Ended(
        record.id,
        record.end,
        record.answer,
        record.code,
        record.result,
        record.return_ms,
        record.repeat_within_ms,
        record.sends,
    )


def _second(send: Attempt) -> bool:
    """Whether it went out beside, or after, one that may have run."""
    return any(other.may_have_run for other in send.request.attempts[: send.number])


EffectOut = StartAttempt | CancelAttempt | StartLoad | ResponsePart | FinalAnswer | LogEvent


@dataclass(slots=True)
class GatewayCounters:
    """What has happened since the start."""

    taken: int = 0
    completed: int = 0
    rejected: int = 0
    aborted: int = 0
    sends: int = 0
    orders: int = 0
    second_sends: int = 0  # sent while an earlier send of the same activation may have run
    second_saved: int = 0  # of these, those that brought the final answer; the rest was wasted
    outcomes: dict[AttemptStatus, int] = field(default_factory=dict)


class KeyConflictError(Exception):
    """A key that was used with another body."""


class Gateway:
    """Everything that one dispatcher has in hand.

    Calls that outlive the process (deferred ones, and those with a client's key) go through the journal.  What must be
    safe before it is said or done stands in each one's `Passage`; here its needs are written, and told of.
    """

    def __init__(self, world: DispatcherParts, boot: str, journal: GroupCommit | None = None) -> None:
        place = world.deployment.dispatcher
        self._world, self._boot, self._number = world, boot, 0
        self._margin_ms = place.answer_margin_ms
        self.answer_ms = 0.0  # what answering one call takes the host; kept by it
        self._dispatcher = world.dispatcher
        self._ivks: dict[Request, Invocation] = {}
        self._owed: deque[EffectOut] = deque()
        self._due = TimerQueue()  # activations whose sends are given up on
        self._next_beat = -1e18
        self.journal = journal
        self.holdings = Holdings(place.held, place.held_mb * 1e6, place.held_each)
        self.promising: Callable[[], RecordKeeper | None] | None = None  # the book with copies that new calls go to
        self._short: deque[Invocation] = deque()  # those whose record too few have
        self._unsafe: deque[Attempt] = deque()  # sends that will not be: the journal failed
        self._keys: dict[tuple[str, str, str], Record] = {}
        self._joined: dict[str, Invocation] = {}  # calls in hand by id
        self._certain: deque[Request] = deque()  # deferred calls whose records have become safe
        damping = world.deployment.storm
        self.overload = OverloadController(
            OverloadSettings(damping.damp, longest_ms=damping.longest_return_ms, most_known=damping.most_known),
            crc32(boot.encode()),
            {space.name: space.allowed_per_s for space in world.deployment.namespaces.values()},
        )
        self._most_useful = max(kind.priority_weight for kind in world.deployment.types.values())
        self._cold_ms, self._next_count = world.deployment.rules.cold_ms, -1e18
        self._pace: Pace | None = None  # what a restart found, and since when it is resumed
        self._paced = 0.0
        self._resumed: dict[str, None] = {}
        self.members = WorkerRegistry(world.zones)
        self.records = Records(place.records, place.records_mb * 1e6, place.record_ms)
        self.records.on_drop = self._dropped
        self.passes: Callable[[str], None] = lambda _step: None  # told each step towards durability; for crash tests
        self.on_forget: Callable[[str], None] | None = None  # told of ended activations that are no longer kept
        self.counts = GatewayCounters()
        self._tallies: dict[str, FunctionCounters] = {}  # for a planner

    @property
    def in_flight(self) -> int:
        """Activations without a final answer."""
        return self.records.in_hand()

    # Inputs.

    def submit(
        self,
        now: float,
        wall: float,
        namespace: str,
        action: ActionSettings,
        payload: bytes,
        key: str | None = None,
        trace: str = "",
        waiter: Callable[[Record], None] | None = None,
        deferred: bool = False,
        digest: str = "",
        limit_ms: float = float("inf"),
        form: str = "json",
        streamed: bool = False,
        who: str = "",
    ) -> Invocation:
        """Take a call; `key` is the client's own mark against repeats.  `now`, `wall`: milliseconds.  `limit_ms`: what
        the client itself allows, where that is less than its type's time."""
        settings = self._world.deployment.types[action.type]
        self._number += 1
        id_ = f"{self._boot}{self._number:016x}"
        record = Record(
            id_,
            namespace,
            action.path,
            action.type,
            settings.effect,
            wall,
            now,
            min(settings.timeout_ms, limit_ms),
            trace,
        )
        # Guards against a herd of calls that came at one moment and must all be answered at one: so many answers take
        # their time, and the last of them would be late.
        margin = min(MOST_MARGIN * record.timeout_ms, self._margin_ms + self.answer_ms * len(self._ivks))
        act = Request(
            id_,
            self._world.request_classes[action.type],
            self._world.function(action.path),
            self._world.tenants[namespace],
            now,
            now + record.timeout_ms - max(self._margin_ms, margin),
            has_idempotency_key=key is not None,
        )
        mark = f"{namespace}/{action.path}/{key}" if key is not None else id_
        if deferred and self.promising is not None:
            book = self.promising()
            kept = book is not None and book.takes()
            record.book = book if kept else None
        else:
            kept = self.journal is not None and self.journal.takes() and (deferred or key is not None)
        passage = RequestLifecycle(settings.effect == Idempotency.IDEMPOTENT.value, kept, deferred)
        ivk = Invocation(act, record, action, payload, mark, passage, [waiter] if waiter is not None else [])
        ivk.form, ivk.streamed, ivk.until, ivk.deferred = form, streamed, act.deadline, deferred
        ivk.who = f"{namespace}/{action.path}/{who or key or id_}"
        record.form = form
        record.key, record.digest, record.deferred = key or "", digest, deferred
        if key is not None:
            self._keys[namespace, action.path, key] = record
        self.records.add(record)
        self._ivks[act] = self._joined[id_] = ivk
        self._due.add(act.deadline, act)
        self.counts.taken += 1
        self._tally(action.path).taken += 1
        self.holdings.take(namespace, len(payload))
        ivk.lifecycle.queue()
        # Guards against load orders earned by calls that a failing disk turns away: they were not taken.
        self._dispatcher.on_request(now, act, count=not (kept and deferred))
        return ivk

    def on_connect(self, now: float, namespace: str, path: str, size: int, mark: str) -> tuple[str, float] | None:
        """Why a call is refused before anything is done for it, and when to come back; None: it may be taken.  `mark`
        is the client's own, or what else tells its repeat: both only count as one that was turned away before."""
        reason = self.holdings.refusal(namespace, size)
        if reason is not None:
            return reason, RETURN_MS
        kind = self._world.deployment.types[self._world.deployment.actions[path].type]
        back = self.overload.came(
            now, f"{namespace}/{path}/{mark}", namespace, kind.priority_weight / self._most_useful
        )
        if back is not None:
            self.holdings.refused[EARLY] += 1
            return EARLY, back
        return None

    def known(self, namespace: str, path: str, key: str, digest: str) -> Record | None:
        """The activation that a client's repeat joins, or None where it is to be taken anew.

        Rejected ones promised that trying again is harmless; repeatable ones that were aborted may run again.  Raises
        `KeyConflictError` where the key came with another body.
        """
        record = self._keys.get((namespace, path, key))
        if (
            record is None
            or record.answer == "rejected"
            or (record.answer == "aborted" and record.effect == Idempotency.IDEMPOTENT.value)
        ):
            return None
        if record.digest != digest:
            raise KeyConflictError(f"the key belongs to activation {record.id}, which has another body")
        return record

    def has(self, what: str) -> bool:
        """Whether a record is here, by its id, or as `key:NAMESPACE/ACTION/KEY` by its client's key."""
        if not what.startswith("key:"):
            return self.records.has(what)
        namespace, _, rest = what.removeprefix("key:").partition("/")
        return any(
            (namespace, path, rest.removeprefix(f"{path}/")) in self._keys
            for path in self._world.deployment.actions
            if rest.startswith(f"{path}/")
        )

    def on_response_part(self, record: Record, waiter: Callable[[Record], None]) -> None:
        """Be told no more."""
        ivk = self._joined.get(record.id)
        if ivk is not None and waiter in ivk.waiters:
            ivk.waiters.remove(waiter)

    def in_flight_of(self, id_: str) -> Invocation | None:
        """The call in hand with this id."""
        return self._joined.get(id_)

    def promises(self) -> bool:
        """Whether a deferred call could be promised now."""
        if self.promising is not None:
            book = self.promising()
            return book is not None and book.takes()
        return self.journal is None or self.journal.takes()

    def promise(self, ivk: Invocation, done: Callable[[bool | None], None]) -> None:
        """Call `done` once it is known whether the call's record is safe; without a journal at once.  None: nobody here
        knows, as another has its book."""
        passage = ivk.lifecycle
        if not passage.kept:
            done(self.journal is None)
        elif passage.promised is not None:
            done(passage.promised)
        else:
            ivk.promises.append(done)
            passage.ask_record()
            self._write(ivk)

    def _write(self, ivk: Invocation) -> None:
        """Hand to the journal what the call's way needs."""
        record = ivk.record
        while (need := ivk.lifecycle.next_need()) is not None:
            journal = self._kept_by(record)
            if need is Need.RECORD:
                self.passes("accepted")
                journal.write(
                    Accepted(
                        record.id,
                        record.namespace,
                        record.path,
                        record.start,
                        record.timeout_ms,
                        ivk.payload,
                        record.key or None,
                        record.digest,
                        record.trace,
                        record.deferred,
                        record.form,
                    ),
                    partial(self._recorded, ivk, journal),
                )
            elif need is Need.MAY_RUN:
                first = next(send for send in ivk.request.attempts if send.may_have_run)
                sent = record.start + (first.started_at - record.taken)
                journal.write(MayRun(record.id, sent, first.instance.worker.id), partial(self._cleared, ivk, journal))
            else:
                self.passes("answered")
                if ivk.lifecycle.owed:
                    journal.write(_ended(record), lambda safe: self._ended(ivk, safe), keep=True)
                else:  # whoever waits on a connection was promised no record: a failing journal keeps no answer back
                    journal.write(_ended(record), lambda safe: self._blocking_ended(ivk, safe))

    def _kept_by(self, record: Record) -> GroupCommit | RecordKeeper:
        kept = record.book or self.journal
        assert kept is not None, "only what a journal keeps has needs"
        return kept

    def _recorded(self, ivk: Invocation, journal: GroupCommit | RecordKeeper, safe: bool) -> None:
        if journal is not self._kept_by(ivk.record):
            return  # it has moved on meanwhile
        if not safe and ivk.record.book is not None:
            # It is in the book all the same, so whoever takes that up would run what its client was told to try again.
            ivk.lifecycle.told(Need.RECORD, True)
            ivk.refused = True
            self._short.append(ivk)
            return
        if ivk.moved and self.on_forget is not None:
            self.on_forget(ivk.record.id)
        ivk.lifecycle.told(Need.RECORD, safe)
        if safe and ivk.deferred:
            self._certain.append(ivk.request)
        self.passes("journalled")
        promises, ivk.promises = ivk.promises, []
        for done in promises:
            done(safe)

    def _cleared(self, ivk: Invocation, journal: GroupCommit | RecordKeeper, safe: bool) -> None:
        """What was held goes out, or ends unsent."""
        if journal is not self._kept_by(ivk.record):
            return
        ivk.lifecycle.told(Need.MAY_RUN, safe)
        self.passes("cleared")
        self._release(ivk, safe)

    def _release(self, ivk: Invocation, safe: bool) -> None:
        held, ivk.held = ivk.held, []
        for send in held:
            if safe and not ivk.lifecycle.final and not ivk.refused:
                self._go(ivk, send)
                self._owed.append(StartAttempt(ivk, send))
            else:
                ivk.lifecycle.drop()
                self._unsafe.append(send)

    def is_primary(self, book: RecordKeeper) -> None:
        """A book may be acted on, again: what was held for that alone goes out."""
        for ivk in list(self._ivks.values()):
            if ivk.record.book is book and ivk.held and ivk.lifecycle.clear:
                self._release(ivk, True)

    def release(self, book: RecordKeeper) -> int:
        """Another has a book: nothing of it is sent, answered or promised here any more.  How many calls it had."""
        gone = self.records.of(book)
        for record in gone:
            at = (record.namespace, record.path, record.key)
            if record.key and self._keys.get(at) is record:
                del self._keys[at]
            if self._resumed.pop(record.id, "") is None and self._pace is not None:
                self._pace.ended()
            ivk = self._joined.pop(record.id, None)
            if ivk is None:
                continue
            if not ivk.lifecycle.final:
                self._dispatcher.on_client_gone(ivk.request)
                self.holdings.give(record.namespace, len(ivk.payload))
                self._release(ivk, False)
            ivk.lifecycle.let_go()
            promises, ivk.promises, ivk.waiters = ivk.promises, [], []
            for done in promises:
                done(None)
            self._settle(ivk.request)
        if self._pace is not None:
            self._pace.drop(record.id for record in gone)
        self.records.take_out(gone)
        return len(gone)

    def _go(self, ivk: Invocation, send: Attempt) -> None:
        ivk.lifecycle.go()
        self.counts.second_sends += _second(send)
        ivk.record.sends += 1
        self.counts.sends += 1

    def on_attempt_finished(
        self, now: float, send: Attempt, outcome: AttemptStatus, answer: WorkerAnswer | None = None, went: bool = True
    ) -> None:
        """How a send ended, as seen on its socket; `went` is False for one that was held and never went out."""
        if send.status is not None:
            raise ValueError(f"send {send.number} of {send.request.id} has ended already")
        self.counts.outcomes[outcome] = self.counts.outcomes.get(outcome, 0) + 1
        act, ivk = send.request, self._ivks.get(send.request)
        if ivk is not None and went:
            ivk.lifecycle.back()
        over = act.final_status is not None or outcome is AttemptStatus.COMPLETED
        if ivk is not None and act.final_status is None and outcome is AttemptStatus.COMPLETED:
            ivk.answer = answer
            self.counts.second_saved += _second(send)
        heard = answer or WorkerAnswer("none")
        if ivk is not None and outcome in (AttemptStatus.COMPLETED, AttemptStatus.NOT_LOADED):
            self.overload.met(now, outcome is AttemptStatus.NOT_LOADED)
            tally = self._tally(ivk.record.path)
            tally.missed += outcome is AttemptStatus.NOT_LOADED
            if outcome is AttemptStatus.COMPLETED:
                tally.completed += 1
                tally.work_ms += now - send.started_at
                tally.late += now - act.received_at > act.request_class.latency_objective_ms
        result = AttemptResult(
            outcome, over, heard.load_failed, heard.instance_loaded, heard.other_requests, heard.report
        )
        self._dispatcher.on_attempt_finished(now, send, result)
        if ivk is not None and not ivk.record.final and act.final_status is FinalStatus.COMPLETED:
            self._finish(now, ivk, "completed")
        self._settle(act)

    def piece(self, now: float, send: Attempt, data: bytes) -> None:
        """A part of a streamed answer has come.  The first binds the call to its send; others are not heard."""
        ivk = self._ivks.get(send.request)
        if ivk is None or ivk.lifecycle.final or not ivk.streamed:
            return
        if send.request.streaming_attempt is None:
            kind = self._world.deployment.types[ivk.record.kind]
            whole = send.request.received_at + min(kind.stream_ms, ivk.stream_limit_ms) - self._margin_ms
            self._dispatcher.on_response_started(now, send, max(now, whole))
        if send.request.streaming_attempt is not send:
            return
        ivk.parts += 1
        self.flow(now, ivk, True)
        self._owed.append(ResponsePart(ivk, data))

    def flow(self, now: float, ivk: Invocation, goes: bool) -> None:
        """Whether parts of a stream are read on; while a slow client holds them back no stall is counted."""
        if ivk.request.streaming_attempt is not None and not ivk.lifecycle.final:
            stall = self._world.deployment.types[ivk.record.kind].stall_ms if goes else float("inf")
            before, ivk.until = ivk.until, min(ivk.request.deadline, now + stall)
            if ivk.until < before or ivk.parts == 1:
                self._due.add(ivk.until, ivk.request)

    def on_load_report(self, now: float, order: LoadOrder, outcome: AttemptStatus, standing: int) -> None:
        """How a hold order ended."""
        self._dispatcher.on_load_report(now, order, outcome, standing)

    def on_client_gone(self, now: float, ivk: Invocation) -> None:
        """The client of a call has gone away before its final answer."""
        if ivk.record.final:
            return
        self._dispatcher.on_client_gone(ivk.request)
        self._finish(now, ivk, "aborted", b'{"error":"The client went away before the answer."}')
        self._settle(ivk.request)

    def on_endpoints(self, now: float, listing: EndpointList) -> None:
        """The worker list has changed."""
        workers, restarted = self.members.apply(now, listing)
        self._dispatcher.on_endpoints(now, workers, restarted)
        self.members.remove_departed()

    def on_plan(self, wants: Mapping[str, Mapping[str, int]] | None) -> None:
        """A plan's wishes by model and worker, in place of those before; None: there is no plan."""
        by_id = {worker.id: worker for worker in self.members}
        found = {}
        for model, at in (wants or {}).items():
            if (path := self._world.paths.get(model)) is not None:
                found[self._world.function(path)] = {by_id[w]: count for w, count in at.items() if w in by_id}
        self._dispatcher.on_plan(found)

    def counters(self) -> dict[str, FunctionCounters]:
        """What was asked of each function since the last time."""
        out, self._tallies = self._tallies, {}
        for model, tally in out.items():
            tally.queue_depth = self._world.function(self._world.paths[model]).queue_depth
        return out

    def loaded_instances(self) -> dict[str, dict[str, int]]:
        """Copies as the decisions believe in them: model, worker, how many."""
        out: dict[str, dict[str, int]] = {}
        for worker in self.members:
            for function, copy in worker.instances.items():
                if copy.loaded:
                    out.setdefault(function.id, {})[worker.id] = copy.loaded
        return out

    def _tally(self, path: str) -> FunctionCounters:
        model = self._world.deployment.actions[path].model
        found = self._tallies.get(model)
        if found is None:
            found = self._tallies[model] = FunctionCounters()
        return found

    # Effects.

    def on_decision_done(self, now: float) -> EffectOut | None:
        """The next thing to carry out, or None."""
        if now >= self._next_beat:
            self._next_beat = now + self._dispatcher.tick_ms
            stale = self._dispatcher.on_tick(now)
            if stale is not None:
                self._world.forget(stale)
            self.records.trim(now)
            if now >= self._next_count:  # CPU: a large fleet is not counted at each beat
                self._next_count = now + 1000
                cold = [w.started_at is not None and now - w.started_at < self._cold_ms for w in self.members if w.live]
                self.overload.cold_share = sum(cold) / len(cold) if cold else 0.0
        while (act := self._due.pop_due(now)) is not None:
            flowing = self._ivks.get(act)
            if flowing is not None and flowing.until > now:  # something has come meanwhile
                self._due.add(flowing.until, act)
                continue
            for send in act.attempts:
                if send.status is None:
                    self._give_up(now, send, "silent")
            late = self._ivks.get(act)
            if late is not None and late.lifecycle.stage is Stage.FINAL and not late.lifecycle.owed:
                self._show(late, True)  # a slow disk does not make a waiting client's answer late
        while self._certain:
            self._dispatcher.count_request(now, self._certain.popleft())
        while self._short:
            short = self._short.popleft()
            if not short.lifecycle.final:
                short.request.retry_after_ms, short.promises = RETURN_MS, []
                self._dispatcher.on_client_gone(short.request)
                self._finish(now, short, "rejected")
        while self._unsafe:  # nothing of it was written to a worker
            send = self._unsafe.popleft()
            if send.status is None:
                self.on_attempt_finished(now, send, AttemptStatus.NOT_SENT, None, False)
        if self._pace is not None:
            self._resume(now)
        while True:
            if self._owed:
                return self._owed.popleft()
            decision = self._dispatcher.decide(now)
            if decision is None:
                return None
            if (effect := self._follow(now, decision)) is not None:
                return effect

    def _follow(self, now: float, decision: Attempt | LoadOrder | Request | str) -> EffectOut | None:
        """One decision as an effect; None where its effect waits for the disk or was owed."""
        if isinstance(decision, str):
            return LogEvent(decision)
        if isinstance(decision, LoadOrder):
            self.counts.orders += 1
            return StartLoad(decision)
        if isinstance(decision, Request):
            self._finish(now, self._ivks[decision], decision.final_status or FinalStatus.FAILED)
            self._settle(decision)
            return None
        if decision.cancelled:
            self._give_up(now, decision, "revoked")
            return None
        ivk = self._ivks[decision.request]
        if decision.number == 0:
            ivk.record.waited_ms = now - ivk.record.taken
        book = ivk.record.book
        clear = ivk.lifecycle.decide() and (book is None or book.acting(now))
        if not clear:
            ivk.held.append(decision)
        self._write(ivk)
        if not clear:
            return None
        self._go(ivk, decision)
        return StartAttempt(ivk, decision)

    def _give_up(self, now: float, send: Attempt, reason: str) -> None:
        ivk = self._ivks.get(send.request)
        if ivk is not None and send in ivk.held:  # it never went out
            ivk.held.remove(send)
            ivk.lifecycle.drop()
            self.on_attempt_finished(now, send, AttemptStatus.NOT_SENT, None, False)
        else:
            self._owed.append(CancelAttempt(send, reason))

    def next_due(self) -> float:
        """When `effect` should be pulled again at the latest."""
        dues = (self._next_beat, self._due.next_due(), self._dispatcher.timers.next_due())
        return min(due for due in dues if due is not None)

    def _finish(self, now: float, ivk: Invocation, verdict: str, result: bytes | None = None) -> None:
        record, act = ivk.record, ivk.request
        ran = [send for send in act.attempts if send.may_have_run]
        if verdict == "completed" and ivk.answer is not None:
            self.counts.completed += 1
            self.overload.completed(
                now, ivk.who, record.namespace, now - act.received_at > act.request_class.latency_objective_ms
            )
            self.records.end(now, record, verdict, 0 if ivk.answer.success else 1, ivk.answer.result)
        elif verdict == "rejected":
            self.counts.rejected += 1
            self._tally(record.path).rejected += 1
            record.return_ms = act.retry_after_ms
            if not ran:
                record.return_ms = self.overload.turn(now, ivk.who, act.retry_after_ms, record.namespace)
            if ran and act.request_class.idempotency is Idempotency.DEDUPLICATED:
                record.repeat_within_ms = max(0.0, ran[0].started_at + act.request_class.deduplication_window_ms - now)
            self.records.end(
                now, record, verdict, 3, b'{"error":"The activation was rejected; trying again is harmless."}'
            )
        else:
            self.counts.aborted += 1
            record.timed_out = now >= act.deadline - self._margin_ms
            why = CUT_OFF if act.streaming_attempt else MAY_HAVE_RUN if ran else NEVER_RAN
            self.records.end(now, record, "aborted", 3, result or why)
        self.holdings.give(record.namespace, len(ivk.payload))
        ivk.payload = b""
        if self._resumed.pop(record.id, "") is None and self._pace is not None:
            self._pace.ended()
        if ivk.lifecycle.finish():
            self._show(ivk)
            return
        record.safe = False
        self._write(ivk)

    def _blocking_ended(self, ivk: Invocation, safe: bool) -> None:
        if not safe:
            self._kept_by(ivk.record).write(_ended(ivk.record), None, keep=True)
        self._ended(ivk, safe)

    def _ended(self, ivk: Invocation, safe: bool) -> None:
        ivk.lifecycle.told(Need.END, safe)
        self._show(ivk)

    def _show(self, ivk: Invocation, late: bool = False) -> None:
        if ivk.lifecycle.stage is not Stage.FINAL:
            return  # it was late, and has been shown
        ivk.lifecycle.show(late)
        if not ivk.record.safe:
            self.passes("ended")
            ivk.record.safe = True
        self._owed.append(FinalAnswer(ivk))
        self._settle(ivk.request)

    def make_durable(self, now: float, ivk: Invocation) -> None:
        """A blocking call whose client goes on with the id: from here on it outlives this process, too."""
        if ivk.lifecycle.final or self.journal is None or not self.promises():
            return
        ivk.record.deferred = True
        if self.promising is not None and ivk.record.book is None:
            ivk.record.book, ivk.moved = self.promising(), ivk.lifecycle.kept
        ivk.lifecycle.lasts(ivk.moved)
        self._write(ivk)

    def _dropped(self, record: Record) -> None:
        """A record is no longer kept."""
        at = (record.namespace, record.path, record.key)
        if record.key and self._keys.get(at) is record:
            del self._keys[at]
        if record.book is not None:
            record.book.forget(record.id)
        elif self.on_forget is not None:
            self.on_forget(record.id)

    # After a restart.

    def recover(
        self,
        now: float,
        wall: float,
        lives: Iterable[ActivationEntries],
        least_ms: float,
        at_once: int,
        book: RecordKeeper | None = None,
    ) -> dict[str, int]:
        """Take up what a book tells: ended ones can be asked for, others are ended or resumed in time.  `book`: that of
        another run, or of another dispatcher; None: what this one's disk alone has."""
        found: list[Resume] = []
        counts = {"ended": 0, "aborted": 0, "rejected": 0, "resumed": 0, "unknown": 0}
        for life in lives:
            action = self._world.deployment.actions.get(life.accepted.path)
            if action is None or life.accepted.namespace not in self._world.tenants:
                counts["unknown"] += 1  # the settings changed: it is kept on disk
                continue
            kind = self._world.deployment.types[action.type]
            if self.records.has(life.accepted.id):
                continue
            if life.ended is not None:
                self._restore(now, wall, life, life.ended, book)
                counts["ended"] += 1
                continue
            what = judge(
                life,
                Rule(kind.effect, kind.deduplication_scope, kind.deduplication_window_ms, kind.priority_weight),
                wall,
                least_ms,
            )
            if isinstance(what, Resume):
                found.append(what)
                counts["resumed"] += 1
                self._record(now, wall, life, book)
            else:
                counts[what.answer] += 1
                self._record(now, wall, life, book)
                self._end_lost(now, what)
        if self._pace is None:
            self._pace, self._paced = Pace([], at_once, least_ms), now
        self._pace.add(found, now - self._paced)
        self.records.trim(now)
        return counts

    def _record(self, now: float, wall: float, life: ActivationEntries, book: RecordKeeper | None) -> Record:
        """The record of one that had no final answer; its time goes on from where it was."""
        a = life.accepted
        kind = self._world.deployment.types[self._world.deployment.actions[a.path].type]
        record = Record(
            a.id,
            a.namespace,
            a.path,
            kind.name,
            kind.effect,
            a.start,
            now - max(0.0, wall - a.start),
            a.timeout_ms,
            a.trace,
        )
        record.key, record.digest, record.deferred, record.form = a.key or "", a.digest, a.deferred, a.form
        record.book = book
        self.records.add(record)
        if a.key:
            self._keys[a.namespace, a.path, a.key] = record
        return record

    def _restore(
        self, now: float, wall: float, life: ActivationEntries, ended: Ended, book: RecordKeeper | None
    ) -> None:
        record = self._record(now, wall, life, book)
        record.end, record.answer, record.code, record.result = ended.end, ended.answer, ended.code, ended.result
        record.return_ms, record.repeat_within_ms, record.sends = (ended.return_ms, ended.repeat_within_ms, ended.sends)
        self.records.restore(now, record)

    def _end_lost(self, now: float, end: End) -> None:
        record = self.records.get(end.life.accepted.namespace, end.life.accepted.id)
        if record is None or (record.book is None and self.journal is None):
            return
        result = msgspec.json.encode({"error": f"The activation was {end.answer}: {end.reason}."})
        self.records.end(now, record, end.answer, 3, result)
        if end.answer == "rejected":
            self.counts.rejected += 1
        else:
            self.counts.aborted += 1
        record.safe = False

        def shown(_safe: bool, record: Record = record) -> None:
            record.safe = True

        self._kept_by(record).write(_ended(record), shown, keep=True)

    def _resume(self, now: float) -> None:
        """Take up again what the pace allows."""
        while self._pace is not None:
            what = self._pace.next(now - self._paced)
            if what is None:
                if not len(self._pace) and not self._resumed:
                    self._pace = None
                return
            if isinstance(what, End):
                self._end_lost(now, what)
                continue
            self._take_up(now, what)

    def _take_up(self, now: float, what: Resume) -> None:
        a, ran = what.life.accepted, what.life.may_run
        record = self.records.get(a.namespace, a.id)
        assert record is not None
        action = self._world.deployment.actions[a.path]
        kind, function = self._world.request_classes[action.type], self._world.function(a.path)
        left = what.left_ms - (now - self._paced)
        act = Request(
            a.id,
            kind,
            function,
            self._world.tenants[a.namespace],
            now,
            now + left - self._margin_ms,
            has_idempotency_key=a.key is not None,
        )
        if ran is not None and what.again_ms is not None:  # an earlier send that may have run, at a lost worker
            sent = now + what.again_ms - (now - self._paced) - kind.deduplication_window_ms
            act.attempts.append(Attempt(act, Instance(function, Worker(ran.worker)), 0, sent, AttemptStatus.SILENT))
        mark = f"{a.namespace}/{a.path}/{a.key}" if a.key is not None else a.id
        ivk = Invocation(
            act,
            record,
            action,
            a.payload,
            mark,
            RequestLifecycle.resumed(kind.idempotency is Idempotency.IDEMPOTENT, ran is not None),
            form=a.form,
            until=act.deadline,
        )
        ivk.lifecycle.queue()
        self._ivks[act] = self._joined[a.id] = ivk
        self._resumed[a.id] = None
        self._due.add(act.deadline, act)
        self.counts.taken += 1
        self.holdings.take(a.namespace, len(a.payload))
        self._dispatcher.on_request(now, act, count=False)

    def _settle(self, act: Request) -> None:
        """Forget an activation once its final answer stands in its record and nothing of it is out."""
        ivk = self._ivks.get(act)
        if ivk is not None and ivk.lifecycle.stage is Stage.SHOWN and all(send.status for send in act.attempts):
            ivk.lifecycle.forget()
            del self._ivks[act]
            self._joined.pop(ivk.record.id, None)
            act.attempts = []  # sends point back at it: let go of them without a collector
