"""All decisions of kelptrail, joined.  Build the parts and a `Dispatcher` from them, tell it what happens
(`taken`, `answered`, `told`, `left`, `listed`, `beat`), then pull `decide(now)` until it returns None.  Its
interface is in `terms.py`, due times in `agenda.py`, its host in `kelptrail/engine`, the design in
`docs/design.md`.  Times are milliseconds.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable

from .entities import Activation, Copy, Effect, EndReason, Function, Order, Outcome, Send, View, Worker
from .instance_table import Copies
from .outlier_detection import Health
from .placement import Placement
from .queues import Queues
from .retries import Attempts
from .safety import Gate
from .timer_queue import Agenda

Decision = Send | Order | Activation | str


class Dispatcher:
    """Joins the parts: inputs update what is known, `decide` hands out one decision after the other."""

    beat_ms = 100.0

    def __init__(
        self,
        gate: Gate,
        health: Health,
        placement: Placement,
        copies: Copies,
        queues: Queues,
        agenda: Agenda,
        cancels: bool,
        longest_return_ms: float,
        attempts: Attempts | None = None,
    ) -> None:
        self._gate, self._health, self._placement = gate, health, placement
        self._attempts, self._parked = attempts or Attempts(), deque[Send]()
        self._copies, self._queues, self.agenda, self.workers = copies, queues, agenda, list[Worker]()
        self._cancels, self._longest_return_ms = cancels, longest_return_ms
        self._owed, self._at_work = deque[Decision](), dict[Worker, None]()
        self._stirred, self._lagging, self._known = (dict[Function, None]() for _ in range(3))
        self._wanted, self._ahead = dict[Copy, None](), deque[Copy]()  # by the plan; those yet to look at

    def taken(self, now: float, act: Activation, anew: bool = True) -> None:
        """`anew` is False for one that a run before counted, or that is `counted` once it is certain."""
        if anew:
            self.counted(now, act)
        act.function.last_taken, act.function.load_ms = now, act.function.load_ms or 1000.0  # told, else 1 s
        self._known[act.function] = self._known.pop(act.function, None)  # the longest not asked for is first
        act.function.arrivals.append(act)
        self._stirred[act.function] = None

    def counted(self, now: float, act: Activation) -> None:
        """It counts as taken, for the ration and its customer's share."""
        self._gate.taken.append(now)
        if act.customer is not None:
            act.customer.taken.append(now)

    def left(self, act: Activation) -> None:
        act.verdict = act.verdict or "left"
        if not act.sends:
            self._gate.uncount(act)
        self._revoke(act)

    def began(self, now: float, send: Send, deadline: float) -> None:
        """The first part of a streamed answer binds it to this send, whatever its effect, till `deadline`."""
        act = send.act
        if act.verdict or act.bound or send.outcome:
            return
        act.bound, send.first, act.deadline = send, now, deadline
        send.copy.worker.quiet_since = now
        self.agenda.add(deadline - 5, act)
        self._revoke(act, send)

    def answered(
        self,
        now: float,
        send: Send,
        outcome: Outcome,
        over: bool,
        load_failed: bool,
        warm: bool | None,
        company: int,
        report: dict[str, float] | None,
    ) -> None:
        """How a send ended; `company`: others of the function there; `warm`: None where it is not told."""
        send.outcome = outcome
        act, copy, worker, function = send.act, send.copy, send.copy.worker, send.copy.function
        worker.sends.pop(send, None)
        copy.sends, worker.report = copy.sends - 1, report or worker.report
        cut = outcome in (Outcome.BROKEN, Outcome.UNREACHABLE)  # maybe the link: it voids no copy
        if cut or outcome in (Outcome.COMPLETED, Outcome.ERROR, Outcome.FULL, Outcome.MISS):
            function.stood = function.stood or outcome is Outcome.COMPLETED
            failed = cut or (outcome is Outcome.ERROR and not load_failed and function.stood)
            if outcome is Outcome.ERROR and not function.stood:  # guards against calls that nobody can use
                self._unloadable(now, function)
            if self._health.judge(now, worker, act.type, failed, cut):
                self._owed.append(f"worker {worker.id} fails often, last {outcome.value}")
        if outcome is Outcome.COMPLETED:
            self._gate.completed(now, worker)
            copy.used = copy.touched = now
            took = (now if send.first is None else send.first) - send.sent  # of a stream, to its first part
            self._attempts.took(function, worker, took)
            self._attempts.earn()
            crowd = warm if warm is not None else 2 * len(worker.sends) >= worker.window - 1
            if crowd and took > act.type.target_ms / 2:
                worker.window = max(2.0, worker.window * 0.9)
            elif len(worker.sends) >= worker.window / 2:
                worker.window += 1 / worker.window
        elif outcome in (Outcome.FULL, Outcome.MISS):
            worker.window = max(2.0, worker.window * (0.9 if company else 1.0))
            copy.standing *= company > 0  # where none of the function runs no copy stands and none fits
            if outcome is Outcome.FULL:
                copy.barred_until = now + function.load_ms
            else:
                copy.missed = now
        if send is copy.trial and outcome in (Outcome.COMPLETED, Outcome.MISS):
            self._copies.met(outcome is Outcome.COMPLETED and warm is not False)
            function.looked = -1e9
        if outcome in (Outcome.COMPLETED, Outcome.FULL):
            if worker.busy < 0.3:  # else own windows see to it
                self._queues.felt(function, outcome is Outcome.FULL or took > act.type.target_ms)
            self._placement.met(now, copy, max(company, worker.window * (outcome is Outcome.FULL)))
        if over:
            act.verdict = act.verdict or "completed"
            self._revoke(act)
        elif act.verdict is None:
            self._again(now, act)
        lagging = [f for f in worker.copies if f.lag]
        self._stirred.update(dict.fromkeys(sorted(lagging, key=lambda f: -f.type.utility)))
        self._stirred[function] = None

    def told(self, now: float, order: Order, outcome: Outcome, standing: int) -> None:
        copy, order.copy.order = order.copy, None
        copy.worker.loading -= 1
        if outcome is Outcome.FULL:  # guards against a storm of orders at workers without room
            copy.worker.crammed_until = now + copy.function.load_ms
        took = now - order.placed  # less than a part: copies that stood already, for others
        loaded = outcome is not Outcome.COMPLETED or took > 0.25 * copy.function.load_ms
        if not copy.standing and order.placed >= copy.missed + copy.function.load_ms:
            self._copies.met(not loaded)
        if loaded and outcome is Outcome.COMPLETED:
            copy.function.load_ms += 0.3 * (took - copy.function.load_ms)
        if outcome in (Outcome.COMPLETED, Outcome.FULL, Outcome.ERROR):
            self._copies.stands(now, copy, standing)
        else:  # its connection was lost: it may have arrived, and what stood still stands as far as is known
            self._health.note(now, copy.worker.whole, True, True)
        if not standing and outcome not in (Outcome.BROKEN, Outcome.UNSENT):
            copy.barred_until = now + copy.function.load_ms
            self.agenda.add(copy.barred_until, copy)
            if outcome is Outcome.ERROR and not copy.function.stood:
                self._unloadable(now, copy.function)
        copy.function.stood = copy.function.stood or standing > 0
        self._stirred[copy.function] = None

    def _unloadable(self, now: float, function: Function) -> None:
        """It failed to load and never stood: its calls earn no orders, and after a second failure they
        are given up at once.  Guards against functions that do not exist."""
        function.refused += 1
        for act in [*function.arrivals, *function.waiting, *function.late]:
            self._gate.uncount(act)
            if function.refused > 1 and act.verdict is None and all(send.outcome for send in act.sends):
                self._owed.append(self._end(now, act, EndReason.UNLOADABLE))

    def listed(self, now: float, workers: list[Worker], restarted: Iterable[Worker]) -> None:
        for worker in restarted:
            worker.whole, worker.views = View(), defaultdict(View)
            for copy in worker.copies.values():
                copy.standing = 0
        for worker in self.workers:
            if not worker.live:
                for copy in list(worker.copies.values()):
                    self._stirred[copy.function] = None
                    self._copies.forget(copy)
                if worker.gone:
                    self._rescue(now, worker.sends)
        self.workers = [worker for worker in workers if not worker.gone]
        for worker in workers:
            worker.window = worker.window or 6.0
        self._gate.listed(self.workers)

    def planned(self, wants: dict[Function, dict[Worker, int]]) -> None:
        """A plan: where copies are wanted ahead, in place of the one before; empty: none.  A hint only: what
        lag asks for goes first and goes further, and each order passes the gate as ever."""
        for copy in self._wanted:
            copy.wanted, copy.function.planned = 0, False
        self._wanted = {}
        for function, at in wants.items():
            function.planned = True
            for worker, count in at.items():
                if worker.live and count:
                    copy = self._copies.at(function, worker)
                    copy.wanted, self._wanted[copy] = count, None
        self._ahead = deque(self._wanted)

    def _plan(self, now: float) -> Order | None:
        """A hold order ahead: half of the ration is left for lag; cold, barred, full workers are left out."""
        for _ in range(min(16, len(self._ahead))):  # CPU: a plan of thousands is looked over in turns
            copy, worker = self._ahead[0], self._ahead[0].worker
            self._ahead.rotate(-1)
            if (
                copy.standing >= copy.wanted
                or copy.order
                or copy.function not in self._known
                or (now < max(copy.barred_until, worker.crammed_until))
            ):
                continue
            if self._gate.warmth(now, worker) < 1 or not self._health.usable(now, worker, copy.function.type):
                continue
            if copy.function.copies.get(worker) is not copy:  # it was forgotten since
                copy.function.copies[worker] = worker.copies[copy.function] = copy
            return self._order(now, copy, copy.wanted, 0.5)
        return None

    def stopped(self, now: float, act: Activation) -> Activation:
        """The process ends and can wait for it no longer: its final answer."""
        return self._end(now, act, EndReason.PROCESS_ENDS)

    def may_begin(self, now: float, item: Send | Order) -> bool:
        """Whether what was decided may still begin to leave."""
        return self._gate.may_begin(now, item)

    def beat(self, now: float) -> Function | None:
        """The periodic work; returns a function to forget."""
        while self._ahead and (ahead := self._plan(now)):
            self._owed.append(ahead)
        for worker in list(self._at_work):  # CPU: most workers of a large fleet have nothing from here
            worker.busy += 0.06 * (len(worker.sends) - worker.busy)
            if not worker.sends and worker.busy < 0.05:
                del self._at_work[worker]
            elif lost := self._health.overdue(now, worker):
                self._owed.append(f"worker {worker.id} unusually silent, {len(lost)} out")
                self._rescue(now, lost)
                self._stirred.update(dict.fromkeys(worker.copies))
            worker.doubted = any(send.lost for send in worker.sends)
        parked, self._parked = self._parked, deque()
        self._rescue(now, reversed(parked))
        self._stirred.update(self._lagging)
        self._lagging = {function: None for function in self._lagging if function.lag}
        stale = next(iter(self._known), None)
        if stale is None or now - stale.last_taken < 60_000 or stale.busy:
            return None
        for copy in list(stale.copies.values()):
            self._copies.forget(copy)
        del self._known[stale]
        return stale

    def decide(self, now: float) -> Decision | None:
        """The next: a send (or a revoked one to call off), an order, a final answer or a log line."""
        while (item := self.agenda.pop_due(now)) is not None:
            if isinstance(item, Copy):
                if self._copies.due(now, item) and (order := self._order(now, item, item.standing, 0.5)):
                    return order
            elif isinstance(item, Send):
                if hedge := self._hedge(now, item):
                    return hedge
            elif item.verdict is None and (ended := self._watch(now, item)):
                return ended
        if self._owed:
            return self._owed.popleft()
        while self._stirred:
            function = next(iter(self._stirred))
            if (decision := self._serve(now, function)) is not None:
                return decision
            del self._stirred[function]
        return None

    def _serve(self, now: float, function: Function) -> Decision | None:
        if not (function.arrivals or function.lag) and (
            function.spread < 2 or now < function.looked + function.load_ms
        ):
            function.lag_since = None  # CPU: most answers leave nothing to decide
            return None
        held = loading = count = homes = 0  # lanes held or loading; copies that stand or load, and where
        for copy in function.copies.values():
            worker, extra = copy.worker, max(0, copy.order.count - copy.standing) if copy.order else 0
            usable = not (worker.whole.bar_ms or worker.views[function.type].bar_ms or worker.doubted)
            usable = usable and self._gate.spare(now, worker)
            room = max(0, int(worker.window) - len(worker.sends))
            held += min(copy.standing * function.lanes, copy.sends + room) * usable
            if usable and copy.order and now - copy.order.placed < 1.5 * function.load_ms:
                loading += extra * function.lanes
            count += copy.standing * usable + extra
            homes += copy.standing + extra > 0
        while function.arrivals:
            if (act := function.arrivals.popleft()).verdict:
                continue
            if self._queues.beyond(now, act, held + loading):
                return self._end(now, act, EndReason.OVERLOAD)
            if now >= self._queues.last(act):
                return self._end(now, act, EndReason.TOO_LITTLE_TIME)
            function.waiting.append(act)
            act.queued = True
            self._watch(now, act)
        while queue := function.waiting or function.late:
            act = queue[0]
            if act.verdict or not self._gate.open(now, act) or now >= self._queues.last(act):
                queue.popleft()
                act.queued = False
                if not act.verdict and all(send.outcome for send in act.sends):
                    in_time = now < self._queues.last(act)
                    reason = EndReason.NO_ATTEMPT_LEFT if in_time else EndReason.TOO_LITTLE_TIME
                    return self._end(now, act, reason)
                continue
            if queue is function.waiting and now + 0.5 * function.usual_ms > act.taken + act.type.target_ms:
                function.late.append(queue.popleft())
                continue
            if (copy := self._placement.lane(now, act, queue is function.late)) is None:
                break
            return self._send(now, act, copy)
        if function.lag:
            self._lagging[function] = None
            wanted, pause = function.lag > held + loading, 25.0
        else:  # crowded copies count as lag
            function.lag_since = None
            wanted, pause = 0 < homes < int(function.spread), function.load_ms
        if not wanted or now < function.looked + pause:  # CPU: it looks for a worker only so often
            return None
        function.looked = now
        return self._grow(now, function, count)

    def _grow(self, now: float, function: Function, count: int) -> Decision | None:
        worker, room = self._planned_host(now, function) or self._placement.host(now, function, self.workers)
        if (
            worker is None
            or count >= self._queues.limit(now, function, room)
            or ((copy := self._copies.at(function, worker)).order)
        ):
            return None
        new = bool(function.lag and not copy.standing and (function.stood or not function.refused))
        new = new and now >= copy.missed + function.load_ms
        if new and self._copies.shared > 0.5 and (send := self._unordered(now, copy)):
            return send
        if (order := self._order(now, copy, copy.standing + 1)) is None:
            missed = sum(now < other.barred_until for other in function.copies.values())
            if now < copy.missed + function.load_ms:
                copy.barred_until = copy.missed + function.load_ms
            elif new and missed < function.spread and (send := self._unordered(now, copy)):
                return send
            if not copy.standing and not copy.sends and now >= copy.barred_until:
                self._copies.forget(copy)
        return order

    def _unordered(self, now: float, copy: Copy) -> Send | None:
        """The first that waits goes to a copy that mostly stands for others; a miss has it ordered.  Guards
        against spending a small ration on asking for what stands, and starving behind it."""
        self._copies.stands(now, copy, 1)
        copy.trial = self._send(now, (copy.function.waiting or copy.function.late)[0], copy)
        copy.standing = int(copy.trial is not None)
        return copy.trial

    def _planned_host(self, now: float, function: Function) -> tuple[Worker, bool] | None:
        """Where a plan has places left.  Guards against every dispatcher loading its own after a release."""
        if function.planned:
            for copy in function.copies.values():
                if (
                    copy.standing < copy.wanted
                    and not copy.order
                    and now >= max(copy.barred_until, copy.worker.crammed_until)
                    and (self._health.usable(now, copy.worker, function.type))
                ):
                    return copy.worker, True
        return None

    def _order(self, now: float, copy: Copy, count: int, spare: float = 0.0) -> Order | None:
        copy.order = self._gate.order(now, copy, count, spare)
        copy.worker.loading += copy.order is not None
        return copy.order

    def _send(self, now: float, act: Activation, copy: Copy) -> Send | None:
        if send := self._gate.send(now, act, copy):
            (act.function.waiting or act.function.late).popleft()
            act.queued = False
            copy.worker.quiet_since = copy.worker.quiet_since if copy.worker.sends else now
            copy.worker.sends[send] = self._at_work[copy.worker] = None
            copy.sends, copy.used = copy.sends + 1, now
            if act.type.hedged and act.function.usual_ms:
                self.agenda.add(now + self._attempts.wait(act.function, copy.worker), send)
        return send

    def _hedge(self, now: float, first: Send) -> Send | None:
        """A second send beside one that is out unusually long: only to a free lane, so it adds no lag."""
        act = first.act
        if (
            first.outcome
            or first.lost
            or act.queued
            or act.function.lag
            or not self._gate.open(now, act)
            or (now >= self._queues.last(act) or (copy := self._placement.lane(now, act, True)) is None)
            or (not self._attempts.spend())
        ):
            return None
        act.queued = True
        act.function.waiting.append(act)
        return self._send(now, act, copy)

    def _end(self, now: float, act: Activation, reason: EndReason) -> Activation:
        """Given up: at once, and a rejection names when what it lacked may stand."""
        act.reason = reason
        return_ms = min(self._longest_return_ms, act.function.load_ms)
        again = self._gate.end(now, act, return_ms).verdict == "rejected"
        act.return_ms = return_ms if again else 0.0
        return act

    def _watch(self, now: float, act: Activation) -> Activation | None:
        """Looks again when its time is up.  Guards against holding what can be sent no more behind others."""
        until = min(self._queues.last(act), self._gate.shuts(act)) if act.queued else now
        if now >= act.deadline - 5 or (act.queued and now >= until and all(s.outcome for s in act.sends)):
            return self._end(now, act, EndReason.TIME_UP)
        self.agenda.add(until if until > now else act.deadline - 5, act)
        return None

    def _again(self, now: float, act: Activation) -> None:
        if act.queued:
            return
        if self._gate.open(now, act) and now < self._queues.last(act):
            act.queued = True
            act.function.waiting.appendleft(act)
            self._watch(now, act)
            self._stirred[act.function] = None
        elif all(send.outcome for send in act.sends):
            self._owed.append(self._end(now, act, EndReason.NO_ATTEMPT_LEFT))

    def _rescue(self, now: float, sends: Iterable[Send]) -> None:
        for send in reversed(list(sends)):
            if send.outcome or send.act.verdict or send.revoked or send.act.type.effect is Effect.ONCE_ONLY:
                continue
            if self._gate.open(now, send.act):
                if send.act.queued or self._attempts.spend():
                    self._again(now, send.act)
                else:
                    self._parked.append(send)  # until the budget has room again
            elif sum(s.outcome is None for s in send.act.sends) == 1:
                self._revoke(send.act)  # only one send at a time: its end makes the way free

    def _revoke(self, act: Activation, but: Send | None = None) -> None:
        for send in act.sends:
            if self._cancels and send is not but and send.outcome is None and not send.revoked:
                send.revoked = True
                self._owed.append(send)
