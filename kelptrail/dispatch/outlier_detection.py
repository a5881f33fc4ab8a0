"""Judges workers by silence and failures, and ejects them for a time.  Times are milliseconds."""

from __future__ import annotations

from .entities import Effect, Send, View, Worker
from .entities import NamespaceType as Type


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
