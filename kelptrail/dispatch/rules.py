"""All decisions of kelptrail.  Build the parts and a `Dispatcher` from them, tell it what happens (`taken`,
`answered`, `told`, `left`, `listed`, `beat`), then pull `decide(now)` until it returns None.  Its interface
is in `terms.py`, due times in `agenda.py`, its host in `kelptrail/host`, the design in `docs/design.md`.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from contextlib import suppress
from zlib import crc32

from .agenda import Agenda
from .terms import Activation, Copy, Customer, Effect, Function, Order, Outcome, Send, View, Worker
from .terms import NamespaceType as Type

Decision = Send | Order | Activation | str


class Gate:
    """The five rules, enforced where every send, order and final answer passes."""

    def __init__(
        self,
        seed: int,
        parallel: bool,
        most_sends: int,
        tip: float,
        tip_ms: float,
        cold_share: float,
        cold_ms: float,
        ration: tuple[bool, float, float, float],
        connect_ms: float = 0.0,
    ) -> None:
        self._seed, self._parallel, self._most_sends = seed, parallel, most_sends
        self._tip, self._tip_ms, self._cold_share, self._cold_ms = tip, tip_ms, cold_share, cold_ms
        self._loads, self._free, self._share, self._span = ration  # any orders; free ones, a share, a time
        self._late = connect_ms  # an order may arrive so much after it was given
        self._orders, self.taken = deque[float](), deque[float]()
        self.listed([])

    def listed(self, workers: list[Worker]) -> None:
        self._fleet, self._sized, self._usual = workers, -1e9, 0.0

    def usual(self, now: float) -> float:
        """What a warm worker of size 1 completes from here in the time of the budget."""
        if now >= self._sized + 50:
            self._sized = now
            warm = [w for w in self._fleet if w.live and self.warmth(now, w) >= 1]
            done = sum(len(_shed(w.recent, now - self._tip_ms)) for w in warm)
            self._usual = done / (sum(w.size for w in warm) or 1.0)
        return self._usual

    def warmth(self, now: float, worker: Worker) -> float:
        """The share of its capacity that a worker has at least, by its age."""
        if worker.started is None or (age := now - worker.started) >= self._cold_ms:
            return 1.0
        return 1 - min(1.0, 1 - age / self._cold_ms) * (1 - self._cold_share)

    def open(self, now: float, act: Activation) -> bool:
        """Rules 1 and 2, as far as they do not depend on the worker."""
        out = sum(send.outcome is None for send in act.sends)
        if act.verdict or act.bound or len(act.sends) >= self._most_sends or out > self._parallel:
            return False
        return now < min(act.deadline, self.shuts(act))

    def shuts(self, act: Activation) -> float:
        """When another run has a second effect, where the group that drops repeats is kept to."""
        if (
            act.type.effect is Effect.REPEATABLE
            or (first := next((send for send in act.sends if send.may_have_run), None)) is None
        ):
            return float("inf")
        return first.sent + act.type.remembered_ms - 20 if act.type.effect is Effect.DEDUPLICATED else 0.0

    def may_send(self, now: float, act: Activation, worker: Worker) -> bool:
        if not worker.live or not self.open(now, act):
            return False
        if act.type.effect is Effect.DEDUPLICATED and act.type.scope != "all":
            first = next((s.copy.worker for s in act.sends if s.may_have_run), worker)
            if getattr(first, act.type.scope) != getattr(worker, act.type.scope):
                return False
        return self.spare(now, worker)

    def spare(self, now: float, worker: Worker) -> bool:
        """A cold one may be sent a part of what warm ones of its size carry: so all together stay under."""
        if (warmth := self.warmth(now, worker)) >= 1:
            return True
        budget, span = 0.5 * self._tip * warmth * self.usual(now) * worker.size, self._tip_ms + self._late
        sent = _shed(worker.recent, now - 2 * span)
        if budget >= 1:
            return sum(at > now - span for at in sent) < budget
        turn = (now - (worker.started or 0.0)) / span + crc32(f"{self._seed} {worker.id}".encode()) / 2**32
        return not (sent and sent[-1] >= now - turn % 1 * span) and (
            crc32(f"{self._seed} {worker.id} {int(turn)}".encode()) < 0.8 * budget * 2**32
        )  # two spans meet

    def send(self, now: float, act: Activation, copy: Copy) -> Send | None:
        if not self.may_send(now, act, copy.worker):
            return None
        until = self.shuts(act)
        if self.warmth(now, copy.worker) < 1:
            copy.worker.recent.append(now)
            until = min(until, now + (self._late or float("inf")))
        send = Send(act, copy, len(act.sends), now, until=until)
        act.sends.append(send)
        return send

    def order(self, now: float, copy: Copy, count: int, spare: float = 0.0) -> Order | None:
        """A hold order within the ration; `spare` of the ration is left for others.  Count 0 only asks.
        Guards against orders that wait for a connection and arrive among those of the time after."""
        if count and self._loads:
            ration = self._free + self._share * len(_shed(self.taken, now - self._span + self._late + 1))
            orders = len(_shed(self._orders, now - self._span - self._late)) + 1
            if not copy.worker.live or (self._span and orders > ration * (1 - spare)):
                return None
            self._orders.append(now)
        if not self._loads:
            return None
        until = now + self._late if count and self._late else float("inf")
        return Order(copy, min(count, 16), now, until)  # the most that an order may name

    def may_begin(self, now: float, item: Send | Order) -> bool:
        """Whether a send or an order that was decided may begin to leave now.  Guards against what came
        between the decision and a connection that takes it: a client that went, an answer, a drain, time."""
        if not (item.copy.worker.live and now < item.until):
            return False
        if isinstance(item, Order):
            return item.copy.order is item
        return item.outcome is None and not item.revoked and item.act.verdict is None

    def uncount(self, act: Activation) -> None:
        """It earns no orders.  Guards against calls that are no work: taken back unsent, nowhere loadable."""
        with suppress(ValueError):
            self.taken.remove(act.taken)

    def completed(self, now: float, worker: Worker) -> None:
        if self.warmth(now, worker) >= 1:  # in overload it is sent far more than it can carry
            _shed(worker.recent, now - self._tip_ms).append(now)

    def end(self, now: float, act: Activation) -> Activation:
        """The one final answer: rejected where that promises the truth, else aborted.  Guards against clients
        that come again without the mark, or when nobody remembers it, and have a second effect."""
        free = act.type.effect is not Effect.DEDUPLICATED or (act.marked and act.type.scope == "all")
        again = (free and now < self.shuts(act)) or not any(s.may_have_run for s in act.sends)
        again = again and act.bound is None  # its client has seen a part of a streamed answer
        act.verdict = "rejected" if again else "aborted"
        return act


class Health:
    """Judges workers, for each namespace type, by how unusual their silence is and by failures."""

    def __init__(self, bar_ms: float = 500.0, longest_ms: float = 8000.0) -> None:
        self._bar_ms, self._longest_ms = bar_ms, longest_ms

    def usable(self, now: float, worker: Worker, type_: Type, effect: Effect | None = None) -> bool:
        """A worker whose bar has run out is tried with one send at a time, of what may run again."""
        for view in (worker.whole, worker.views[type_]):
            if now < view.barred_until or (
                view.bar_ms
                and (effect is Effect.ONCE_ONLY or any(s.sent >= view.barred_until for s in worker.sends))
            ):
                return False
        return worker.live

    def judge(self, now: float, worker: Worker, type_: Type, failed: bool, cut: bool = False) -> bool:
        """An answer; True if it bars, as one that fails fast must not look least loaded.  Guards against
        workers that fail one namespace type and serve the rest: to bar the whole, a second must fail."""
        gap, worker.quiet_since = now - worker.quiet_since, now
        worker.stray += 0.05 * (abs(gap - worker.gap) - worker.stray) if worker.gap else gap
        worker.gap += 0.05 * (gap - worker.gap) if worker.gap else gap
        view = worker.views[type_]
        whole = failed and (cut or any(v.fails > 0.1 for v in worker.views.values() if v is not view))
        return self.note(now, view, failed, cut) | self.note(now, worker.whole, whole, cut)

    def note(self, now: float, view: View, failed: bool, cut: bool = False) -> bool:
        """One more good or bad sign; True if it bars.  Guards against links that lose connections, where the
        worker answers on others: those bar past a half (four in a row), the rest as the second of two."""
        view.fails += 0.2 * (failed - view.fails)
        if not failed and view.fails < 0.3:
            view.bar_ms = 0.0
        return failed and view.fails > (0.5 if cut else 0.3) and self.bar(now, view)

    def bar(self, now: float, view: View) -> bool:
        if now < view.barred_until:
            return False
        view.bar_ms = min(self._longest_ms, max(self._bar_ms, 2 * view.bar_ms))
        view.barred_until = now + view.bar_ms
        return True

    def overdue(self, now: float, worker: Worker) -> list[Send]:
        """All there, if the silence is unusual for the worker's gaps; else one by one: answers get lost."""
        usual = {
            s: s.act.function.usual_ms or s.act.type.target_ms
            for s in worker.sends
            if not s.lost and not s.act.bound
        }
        if not (late := [send for send, ms in usual.items() if now - send.sent > 4 * ms]):
            return late
        silence = now - max(worker.quiet_since, worker.whole.barred_until)
        # Guards against barring a worker, and all that stands there, for one answer that is late or lost.
        lost = sum(send.lost and send.sent >= worker.quiet_since for send in worker.sends)
        if len(late) + lost > 1 and worker.gap and silence > 50 + worker.gap + 10 * worker.stray:
            self.bar(now, worker.whole)
            late = list(usual)
        else:
            late = [send for send in late if now - send.sent > 8 * usual[send]]
        for send in late:
            send.lost = True
            self.note(now, worker.views[send.act.type], True)
        return late


class Attempts:
    """When a send is out for so long that a second is worth it, and what second sends may cost in all."""

    def __init__(self, share: float = 0.2, most: float = 60.0) -> None:
        self._share, self._most, self._left = share, most, most

    def took(self, function: Function, worker: Worker, ms: float) -> None:
        """An answer: usual time and spread (in the manner of RFC 6298, section 2), and the pace."""
        if usual := function.usual_ms:
            function.stray_ms += 0.25 * (abs(ms - usual) - function.stray_ms)
            worker.pace += 0.1 * (min(4.0, ms / usual) - worker.pace)
            function.usual_ms += 0.2 * (ms - usual)
        else:
            function.usual_ms, function.stray_ms = ms, ms / 2

    def wait(self, function: Function, worker: Worker) -> float:
        """Past that an answer is unusual for the function; a worker known to be slow gets up to twice it."""
        return max(1.0, min(2.0, worker.pace)) * (function.usual_ms + 4 * function.stray_ms)

    def earn(self) -> None:
        """Guards against second sends that feed an overload: the budget follows what workers complete."""
        self._left = min(self._most, self._left + self._share)

    def spend(self) -> bool:
        self._left -= (may := self._left >= 1)
        return may


class Placement:
    """Where a send and a new copy go.  Load is own sends out plus reports, for the size and the warmth."""

    def __init__(self, gate: Gate, health: Health, zone: int, seed: int) -> None:
        self._gate, self._health, self._zone, self._seed, self._draws = gate, health, zone, seed, 0
        self._mean, self._weighed = 1.0, -1e9  # average load, and when it was taken

    def load(self, now: float, worker: Worker, type_: Type | None = None) -> float:
        busy = 1 + len(worker.sends) + worker.busy + worker.loading + worker.report.get("x1", 0.0)
        busy = (busy + self.others(now, worker)) * (0.3 + worker.report.get("util", 0.7))
        well = max(0.1, 1 - max(worker.whole.fails, worker.views[type_].fails if type_ else 0.0))
        return busy / (worker.size * self._gate.warmth(now, worker) * well)

    def met(self, now: float, copy: Copy, company: float) -> None:
        """An answer told how many others were there.  Guards against dispatchers that cannot talk and crowd
        one worker with a hot function: it spreads over more workers until it meets a copy's room."""
        function, worker = copy.function, copy.worker
        part = company / min(worker.window, max(1, copy.standing) * function.lanes)
        function.spread *= min(4.0, max(part, 0.75 + 0.25 * part))
        function.spread = max(1.0, min(function.spread, len(function.homes)))
        worker.others, worker.met = self.others(now, worker) * 0.7 + 0.3 * company, now

    def others(self, now: float, worker: Worker) -> float:
        return worker.others * max(0.0, 1 - (now - worker.met) / 10_000)

    def lane(self, now: float, act: Activation, late: bool) -> Copy | None:
        """The least loaded believed free lane, own zone before others where loads are alike."""
        tried = {send.copy.worker for send in act.sends if send.outcome is None}
        best, best_load, part = None, 0.0, 0.5 if late else 1.0  # the late must not make others late too
        for copy in act.function.copies.values():
            worker = copy.worker
            if copy.sends >= copy.standing * act.function.lanes or len(worker.sends) >= worker.window * part:
                continue
            if (
                worker in tried
                or now < copy.barred_until
                or not self._gate.may_send(now, act, worker)
                or (not self._health.usable(now, worker, act.type, act.type.effect))
            ):
                continue
            load = self.load(now, worker, act.type) + 0.5 * (worker.zone != self._zone)
            if best is None or load < best_load:
                best, best_load = copy, load
        return best

    def host(self, now: float, function: Function, workers: list[Worker]) -> tuple[Worker | None, bool]:
        """The worker for a new copy, and whether it is below average.  Loads within one step are equal."""
        if function.listed != workers:  # so dispatchers that cannot talk share copies
            function.listed, begun = workers, crc32(f"{function.id} ".encode())
            function.homes = sorted(workers, key=lambda w: (crc32(w.id.encode(), begun), w.id))
        if now >= self._weighed + 200:  # CPU: a large fleet is not weighed for each order
            heard = [self.load(now, w) for w in workers if w.live and w.gap] or [1.0]
            self._mean, self._weighed = sum(heard) / len(heard), now
        best, best_key, best_load = None, (0, False, False, 0), 0.0
        self._draws, seen, spread = self._draws + 1, 0, int(function.spread + 0.5)
        first = crc32(f"{self._seed} {self._draws}".encode()) % spread
        for worker in function.homes:
            copy = function.copies.get(worker)
            if (
                (copy and now < copy.barred_until)
                or len(worker.sends) >= max(2, worker.window / 2)
                or not (self._health.usable(now, worker, function.type) and self._gate.spare(now, worker))
            ):
                continue
            load = self.load(now, worker, function.type) if worker.gap else self._mean
            held = bool(copy and (copy.standing or copy.order))
            rank = (seen - first) % spread if seen < spread else seen
            key = (int(load / (3.0 * self._mean)), held, now < worker.crammed_until, rank)
            if best is None or key < best_key:
                best, best_key, best_load = worker, key, load
            seen += 1
            if best_key[:3] == (0, False, False) and (seen >= spread or not best_key[3]):
                break
        return best, best is not None and (best_load < self._mean or not best.gap)


class Copies:
    """What is believed to stand where: holding, renewing, expiring."""

    def __init__(self, agenda: Agenda, keep_ms: float, loads: bool = False, idle_ms: float = 10_000) -> None:
        self._agenda, self._keep_ms, self._idle_stop_ms, self._loads = agenda, keep_ms, idle_ms, loads
        self.shared = 0.5 + loads  # the recent share of copies that stood where first asked for, or load

    def met(self, stood: bool) -> None:
        self.shared += 0.1 * ((stood or self._loads) - self.shared)

    def at(self, function: Function, worker: Worker) -> Copy:
        if worker not in function.copies:
            function.copies[worker] = worker.copies[function] = Copy(function, worker)
        return function.copies[worker]

    def stands(self, now: float, copy: Copy, count: int) -> None:
        if count and not copy.standing:
            self._agenda.add(now + 0.8 * self._keep_ms, copy)
        copy.standing, copy.touched = count, now

    def due(self, now: float, copy: Copy) -> bool:
        """Whether the copy should be renewed now; a copy past its keep-alive is forgotten."""
        if copy.function.copies.get(copy.worker) is not copy:
            return False
        if copy.sends:
            copy.touched = now
        if now >= copy.touched + self._keep_ms or not copy.standing:
            copy.standing = 0
            if copy.order is None and not copy.sends and now >= copy.barred_until:
                self.forget(copy)
            return False
        near = now >= copy.touched + 0.8 * self._keep_ms - 1
        self._agenda.add(copy.touched + (1.0 if near else 0.8) * self._keep_ms, copy)
        used = now - copy.used < self._idle_stop_ms and not copy.function.planned
        return near and copy.order is None and (used or copy.wanted > 0)  # a plan says which idle ones stay

    def forget(self, copy: Copy) -> None:
        copy.function.copies.pop(copy.worker, None)
        copy.worker.copies.pop(copy.function, None)


class Queues:
    """Lag, limit, bound and fairness of the queues, one for each function."""

    def __init__(self, seed: int, types: list[Type], customers: list[Customer]) -> None:
        self._seed, self._draws, self._most = seed, 0, max(type_.utility for type_ in types)
        self._open, self._hurt = 1.0, None  # the share admitted, and the last function late at a worker
        self._customers, self._limit, self._per_lane = customers, 4, 4  # copies at first; waiting a lane

    def felt(self, function: Function, bad: bool) -> None:
        """Lag at the workers is lag too: late and turned-away sends, of functions in turn."""
        if not bad:
            self._open = min(1.0, self._open + 0.02)
        elif function is not self._hurt:
            self._open, self._hurt = max(0.05, 0.96 * self._open), function

    def shed(self, part: float, act: Activation) -> bool:
        """Guards against overload that shows in no dispatcher's own queues: the least useful go first."""
        self._draws += self._open < 1
        part = self._open ** (self._most / act.type.utility / part)
        return self._open < 1 and crc32(f"{self._seed} shed {self._draws}".encode()) > part * 2**32

    def over_share(self, now: float, act: Activation) -> bool:
        if act.customer is None:  # guards against a customer's surge that crowds out the rest
            return False
        seen = sum(len(_shed(customer.taken, now - 2000)) for customer in self._customers)
        allowed = act.customer.allowed_per_s / sum(customer.allowed_per_s for customer in self._customers)
        return len(act.customer.taken) > 1.25 * allowed * seen

    def last(self, act: Activation) -> float:
        """Guards against runs that nobody waits for: impatient clients, late hours of a queue."""
        return act.deadline - max(5.0, 0.5 * act.function.usual_ms)

    def beyond(self, now: float, act: Activation, lanes: int) -> bool:
        """Whether the lag is past its bound, here or at the workers; beyond a share at half of it."""
        function, part = act.function, 0.5 if self.over_share(now, act) else 1.0
        return function.lag >= part * self._per_lane * max(lanes, function.lanes) or self.shed(part, act)

    def limit(self, now: float, function: Function, room: bool) -> int:
        """Lag that outlasts a load time raises it by what the lag would fill, at most twofold.  Guards
        against a start with nothing, where one by one took some twenty load times."""
        function.limit = function.limit or self._limit
        function.lag_since = now if function.lag_since is None else function.lag_since
        if room and now - function.lag_since > function.load_ms:
            deep = function.lag // (self._per_lane * function.lanes)
            function.limit, function.lag_since = function.limit + max(1, min(function.limit, deep)), now
        return max(function.limit, int(function.spread))


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
                self._owed.append(self._end(now, act))

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
        return self._end(now, act)

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
            if self._queues.beyond(now, act, held + loading) or now >= self._queues.last(act):
                return self._end(now, act)
            function.waiting.append(act)
            act.queued = True
            self._watch(now, act)
        while queue := function.waiting or function.late:
            act = queue[0]
            if act.verdict or not self._gate.open(now, act) or now >= self._queues.last(act):
                queue.popleft()
                act.queued = False
                if not act.verdict and all(send.outcome for send in act.sends):
                    return self._end(now, act)
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

    def _end(self, now: float, act: Activation) -> Activation:
        """Given up: at once, and a rejection names when what it lacked may stand."""
        again = self._gate.end(now, act).verdict == "rejected"
        act.return_ms = min(self._longest_return_ms, act.function.load_ms) if again else 0.0
        return act

    def _watch(self, now: float, act: Activation) -> Activation | None:
        """Looks again when its time is up.  Guards against holding what can be sent no more behind others."""
        until = min(self._queues.last(act), self._gate.shuts(act)) if act.queued else now
        if now >= act.deadline - 5 or (act.queued and now >= until and all(s.outcome for s in act.sends)):
            return self._end(now, act)
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
            self._owed.append(self._end(now, act))

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


def _shed(times: deque[float], before: float) -> deque[float]:
    while times and times[0] <= before:
        times.popleft()
    return times
