"""Model of the lease protocol for exhaustive and random search: its steps and properties.  Performs no I/O.

Steps: messages are delivered in any order, dropped or duplicated; time advances, also while messages are in flight;
processes restart, disks are lost, syncs fail; clients pause, release the lease and use their tokens at the resource;
processes adopt the next acceptor set one by one.

Properties: in every state at most one client relies on the lease, if the clock rates are within the bound.  Acquired
tokens only increase.  A client that acquires the lease inherits the latest note that was acknowledged.  The resource
accepts no token older than one that it has accepted before.  Once the faults have ended, some client holds the lease
within a given time.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial

from kelptrail.model_checking.explorer import PropertyError, Step

from .model_state import TASK, Budget, Disk, ModelSetup
from .model_transitions import ROUNDING_MS, ModelTransitions

__all__ = ["TASK", "Budget", "Disk", "Model", "ModelSetup"]


class Model(ModelTransitions):
    """A state of the lease protocol with its steps and properties; see `model_checking.explorer.State`."""

    __slots__ = ()

    def __init__(self, setup: ModelSetup) -> None:
        super().__init__(setup)
        self._tick_participants()

    # Steps.

    def steps(self) -> Iterator[Step[Model]]:
        """Yield every step that can follow, or none after a violation."""
        if self.violation:
            return
        yield from self._message_steps()
        yield from self._acceptor_steps()
        yield from self._time_steps()
        yield from self._reconfiguration_steps()
        for name in self.clients:
            yield from self._client_steps(name)

    def _message_steps(self) -> Iterator[Step[Model]]:
        for index, item in enumerate(self.in_flight):
            name = f"{item.sender}>{item.to} {type(item.message).__name__ if item.message else 'action'}"
            if item.to not in self.paused:
                yield Step(f"deliver {name}", partial(self._deliver_step, index))
            if self.budget.drops and item.message is not None:
                yield Step(f"drop {name}", partial(self._drop_step, index), True)
            if self.budget.duplicates:
                yield Step(f"duplicate {name}", partial(self._duplicate_step, index), True)

    def _acceptor_steps(self) -> Iterator[Step[Model]]:
        for name, acceptor in self.acceptors.items():
            if acceptor.pending_writes:
                yield Step(f"sync {name}", partial(self._sync_step, name, True))
                if self.budget.sync_failures:
                    yield Step(f"fail sync {name}", partial(self._sync_step, name, False), True)
            if self.budget.restarts:
                yield Step(f"restart {name}", partial(self._restart_step, name, False), True)
            if self.budget.disk_losses:
                yield Step(f"lose disk {name}", partial(self._restart_step, name, True), True)

    def _time_steps(self) -> Iterator[Step[Model]]:
        is_busy = bool(self.in_flight) or any(acceptor.pending_writes for acceptor in self.acceptors.values())
        if (not is_busy or self.budget.delays) and self._next_event_at() is not None:
            yield Step("time", partial(self._advance_time_step, is_busy), is_busy)

    def _reconfiguration_steps(self) -> Iterator[Step[Model]]:
        for name in (*self.disks, *self.clients) if self.setup.next_settings is not None else ():
            if name not in self.reconfigured and name not in self.paused:
                yield Step(f"reconfigure {name}", partial(self._reconfigure_step, name), True)

    def _client_steps(self, name: str) -> Iterator[Step[Model]]:
        budget = self.budget
        if name in self.paused:
            yield Step(f"resume {name}", partial(self._set_paused_step, name, False), True)
            return
        if budget.pauses:
            yield Step(f"pause {name}", partial(self._set_paused_step, name, True), True)
        if budget.client_restarts:
            yield Step(f"restart {name}", partial(self._restart_client_step, name), True)
        if self.clients[name].held_token(self.local_time(name), TASK) is not None:
            if budget.actions:
                yield Step(f"use token {name}", partial(self._use_token_step, name))
            if budget.releases:
                yield Step(f"release {name}", partial(self._release_step, name))

    # Properties.

    def check(self) -> None:
        """Check the properties that hold in every state.  Raises `PropertyError` if one is violated."""
        if self.violation:
            raise PropertyError(self.violation)
        holders = [
            name for name, client in self.clients.items() if client.held_token(self.local_time(name), TASK) is not None
        ]
        if len(holders) > 1 and self.setup.clocks_in_bound:
            raise PropertyError(f"{' and '.join(holders)} rely on the lease at the same time")

    def check_recovery(self, within_ms: float) -> None:
        """Check that some client holds the lease within `within_ms` after the last fault.

        Raises `PropertyError` if none does.
        """
        state, end = self.clone(), self.now + within_ms
        state.paused = frozenset()
        if state.setup.next_settings is not None:
            for name in (*state.disks, *state.clients):
                if name not in state.reconfigured:
                    state = state._reconfigure_step(name)
        while not state.violation:
            state._deliver_everything()
            state.check()
            if any(
                client.held_token(state.local_time(name), TASK) is not None for name, client in state.clients.items()
            ):
                return
            next_event_at = state._next_event_at()
            if next_event_at is None or next_event_at > end:
                raise PropertyError(f"no client holds the lease {within_ms:g} ms after the last fault")
            state.now = next_event_at + ROUNDING_MS
            state._tick_participants()
        state.check()
