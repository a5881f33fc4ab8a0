"""Recovery of a journal after a failover or a restart: reads its activations and passes them to the gateway."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from kelptrail.clock import now_ms
from kelptrail.lease.messages import FencingToken

from .context import ReplicationContext
from .primary_handle import PrimaryHandle
from .replica_store import ReadRequest

RECOVERY_BATCH = 200  # activations per step, so that a large journal does not block the event loop
RECOVERY_PAUSE_S = 0.001
DISK_FAILED = "disk_failed"  # reason for a transfer


class JournalRecovery:
    """Recoveries in progress.

    `is_active` returns whether this process is still the primary.  `on_recovered` gets the number of activations;
    `on_failed` gets a reason if the disk cannot be read.
    """

    def __init__(
        self,
        context: ReplicationContext,
        is_active: Callable[[PrimaryHandle], bool],
        on_recovered: Callable[[PrimaryHandle, int], None],
        on_failed: Callable[[PrimaryHandle, str], None],
    ) -> None:
        self._context, self._is_active = context, is_active
        self._on_recovered, self._on_failed = on_recovered, on_failed
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, handle: PrimaryHandle, token: FencingToken, previous_primary: str) -> None:
        """Read the journal's activations, then pass them to the gateway."""
        request = ReadRequest(handle.journal_id, wall_ms=self._context.wall_ms())
        self._context.stores.submit(request, partial(self._on_read, handle, token, previous_primary, request))

    def stop(self) -> None:
        """Cancel all recoveries."""
        for task in self._tasks:
            task.cancel()

    def _on_read(
        self, handle: PrimaryHandle, token: FencingToken, previous_primary: str, request: ReadRequest, succeeded: bool
    ) -> None:
        if not succeeded:
            self._on_failed(handle, DISK_FAILED)
            return
        task = self._loop.create_task(self._recover(handle, token, previous_primary, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _recover(
        self, handle: PrimaryHandle, token: FencingToken, previous_primary: str, request: ReadRequest
    ) -> None:
        """Pass the activations to the gateway in steps: unfinished calls first, each group ordered by start time."""
        started_at = now_ms()
        activations = sorted(
            request.activations, key=lambda activation: (activation.ended is not None, activation.accepted.start)
        )
        for first in range(0, len(activations), RECOVERY_BATCH):
            if not self._is_active(handle):
                return
            self._context.hooks.on_recovered(handle, activations[first : first + RECOVERY_BATCH])
            await asyncio.sleep(RECOVERY_PAUSE_S)
        handle.recovered = True
        self._on_recovered(handle, len(activations))
        self._context.log.info(
            "journal_recovered",
            journal=handle.journal_id,
            token=str(token),
            calls=len(activations),
            previous_primary=previous_primary,
            damaged=request.damaged,
            ms=round(now_ms() - started_at),
        )
        self._context.hooks.on_resumed(handle)
        self._context.flush()
