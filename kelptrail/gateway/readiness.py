"""Information about the readiness of workers, from the source of the endpoint list and from the workers."""

from __future__ import annotations

from kelptrail.dispatch.dispatcher import Dispatcher
from kelptrail.dispatch.entities import Attempt, AttemptStatus, ReadinessProbe


class WorkerReadiness:
    """Passes information about readiness on to the dispatcher.  Times are in milliseconds."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher

    def on_initial_list(self, now: float) -> None:
        """Record that the applied endpoint list was read from the disk, so that its age is unknown."""
        self._dispatcher.on_initial_list(now)

    def on_list_confirmed(self, now: float) -> None:
        """Record that the source of the endpoint list has answered, so that the list is complete as of now."""
        self._dispatcher.on_list_confirmed(now)

    def on_probe_finished(self, now: float, probe: ReadinessProbe, status: AttemptStatus, loaded: int) -> None:
        """Process the end of a probe of a readiness question; a load query found `loaded` instances."""
        self._dispatcher.on_probe_finished(now, probe, status, loaded)

    def may_start(self, now: float, attempt: Attempt) -> bool:
        """Return whether a decided attempt may still be sent, as it may have waited for the journal in between."""
        return self._dispatcher.may_start(now, attempt)
