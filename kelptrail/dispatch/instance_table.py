"""Which instances of functions are believed to be loaded where.  Times are milliseconds."""

from __future__ import annotations

from .entities import Copy, Function, Worker
from .timer_queue import Agenda


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
