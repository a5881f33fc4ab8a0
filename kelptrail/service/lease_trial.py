"""Workload that tests leases in fault scenarios: several dispatchers request the same leases.

The holders write to a side-effect log.  To write, the holder checks the lease, sends its fencing token to the log,
waits `WORK_MS`, checks the lease again and, if the lease is still held, reports the end of the write.  The log
represents the protected resource: it rejects a write under a token older than one it has received, and records the
writer and time of each write.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from functools import partial
from typing import Any

import msgspec

from kelptrail.clock import now_ms, set_skew, true_ms
from kelptrail.codec.http import HttpError
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import FencingToken
from kelptrail.net.http_client import HttpClient

WRITE_PAUSE_MS = 50.0  # pause after a write
WORK_MS = 15.0  # duration of a write
CLOCK_POLL_MS = 50.0


class LeaseTrial:
    """One dispatcher's part of the workload: writes under the leases that it holds.

    Each lease is identified by the name of its task.

    After SIGUSR1 the process suspends itself (SIGSTOP) once, between the next check of a lease and the write; SIGUSR2
    cancels this if it has not happened yet.  The fault scenario resumes the process (SIGCONT).
    """

    def __init__(self, leases: LeaseDriver, side_effect_log: str, tasks: tuple[str, ...], length_ms: float) -> None:
        self._leases, self._log_address, self._tasks, self._length_ms = leases, side_effect_log, tasks, length_ms
        self._pause_next = False
        self._loop = asyncio.get_running_loop()
        self._write_loops: dict[str, asyncio.Task[None]] = {}
        self.write_count = self.rejected_write_count = 0

    def start(self) -> None:
        """Request all leases and install the signal handlers."""
        self._loop.add_signal_handler(signal.SIGUSR1, setattr, self, "_pause_next", True)
        self._loop.add_signal_handler(signal.SIGUSR2, setattr, self, "_pause_next", False)
        for task in self._tasks:
            self._leases.acquire(task, self._length_ms, partial(self._on_acquired, task), partial(self._on_lost, task))

    def stop(self) -> None:
        """Stop writing."""
        for write_loop in self._write_loops.values():
            write_loop.cancel()

    def _on_acquired(self, task: str, token: FencingToken) -> None:
        self._write_loops[task] = self._loop.create_task(self._write_repeatedly(task, token))

    def _on_lost(self, task: str, _token: FencingToken, _reason: str) -> None:
        self._write_loops.pop(task).cancel()

    async def _write_repeatedly(self, task: str, token: FencingToken) -> None:
        client = HttpClient(self._log_address)
        try:
            while True:
                with contextlib.suppress(OSError, HttpError, TimeoutError):
                    if self._leases.held_token(task) == token and not await self._write_once(client, task, token):
                        self.rejected_write_count += 1
                await asyncio.sleep(WRITE_PAUSE_MS / 1000)
        finally:
            client.close()

    async def _write_once(self, client: HttpClient, task: str, token: FencingToken) -> bool:
        """Write once; return False if the log rejected the write or its end.

        A write during which the lease was lost counts as accepted; its end is not reported.
        """
        # In messages to the log, `looked` is the time of the lease check; in its replies, `taken` is whether it
        # accepted the message.
        checked_at = true_ms()
        message = {"task": task, "token": [token.round, token.client_id], "who": self._leases.name}
        if self._pause_next:
            self._pause_next = False
            os.kill(os.getpid(), signal.SIGSTOP)
        self.write_count += 1
        if not (await client.json("POST", "/act", message | {"looked": checked_at}))["taken"]:
            return False
        await asyncio.sleep(WORK_MS / 1000)
        if self._leases.held_token(task) != token:
            return True
        return bool((await client.json("POST", "/done", message | {"looked": true_ms()}))["taken"])


class ClockFaultWatcher:
    """Applies the clock fault in a file, such as `{"rate": 1.01, "step_ms": 0}`.

    `rate`: rate of the monotonic clock; `step_ms`: offset of the wall clock.  Without a readable file there is no
    fault.
    """

    def __init__(self, file: Any, log: Any) -> None:
        self._file, self._log, self._applied = file, log, (1.0, 0.0)
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            fault: dict[str, float] = {}
            with contextlib.suppress(OSError, msgspec.DecodeError):
                fault = msgspec.json.decode(self._file.read_bytes())
            skew = float(fault.get("rate", 1.0)), float(fault.get("step_ms", 0.0))
            if skew != self._applied:
                self._applied = skew
                set_skew(*skew)
                self._log.info("clock-fault-applied", rate=skew[0], step_ms=skew[1], now=now_ms())
            await asyncio.sleep(CLOCK_POLL_MS / 1000)

    def stop(self) -> None:
        """Stop watching the file."""
        self._task.cancel()
