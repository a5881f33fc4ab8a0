"""What the gateway hears of its workers' readiness, from the source of the endpoint list and from the workers."""

from __future__ import annotations

from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import Attempt, AttemptStatus, ReadinessProbe


class WorkerReadiness:
    """Passes it on to the dispatcher.  Times are milliseconds."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def on_initial_list(self, now: float) -> None:
        """The endpoint list that was applied comes from the disk, of unknown age."""
        self._dispatcher.on_initial_list(now)

    def on_list_confirmed(self, now: float) -> None:
        """The source of the endpoint list has answered: the list is complete as of now."""
        self._dispatcher.on_list_confirmed(now)

    def on_probe_finished(self, now: float, probe: ReadinessProbe, status: AttemptStatus, loaded: int) -> None:
        """A probe of a readiness question has ended; a load query found `loaded` instances."""
        self._dispatcher.on_probe_finished(now, probe, status, loaded)

    def may_start(self, now: float, attempt: Attempt) -> bool:
        """Whether a decided attempt may still be sent: it may have waited for the journal since."""
        return self._dispatcher.may_start(now, attempt)
