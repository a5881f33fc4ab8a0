"""Where a send and a new instance go.  Times are milliseconds."""

from __future__ import annotations

from zlib import crc32

from .entities import Activation, Copy, Function, Worker
from .entities import NamespaceType as Type
from .outlier_detection import Health
from .safety import Gate


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
