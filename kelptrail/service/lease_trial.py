"""For trials: tasks that many dispatchers want, and acts under them at a witness that sees who acts when.

An act looks at the lease, says so to the witness with its token, works a little, looks again and says that it is done.
The witness is whoever is acted on: it takes no act under a token older than one that it has seen.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable
from typing import Any

import msgspec

from kelptrail.clock import now_ms, set_skew, true_ms
from kelptrail.codec.http import HttpError
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import FencingToken
from kelptrail.net.http_client import HttpClient

EVERY_MS, WORK_MS, LOOK_MS = 50.0, 15.0, 50.0


class LeaseTrial:
    """One dispatcher's acts on some tasks.  After SIGUSR1 the process stops itself (SIGSTOP) once, between the next
    look at a lease and the act; SIGUSR2 calls that off.  Whoever plays the trial wakes it."""

    def __init__(self, leases: LeaseDriver, witness: str, tasks: tuple[str, ...], length_ms: float) -> None:
        self._leases, self._witness, self._tasks, self._length_ms = leases, witness, tasks, length_ms
        self._stops = False
        self._loop = asyncio.get_running_loop()
        self._acting: dict[str, asyncio.Task[None]] = {}
        self.acts = self.refused = 0

    def start(self) -> None:
        """Want all tasks."""
        self._loop.add_signal_handler(signal.SIGUSR1, setattr, self, "_stops", True)
        self._loop.add_signal_handler(signal.SIGUSR2, setattr, self, "_stops", False)
        for task in self._tasks:
            self._leases.acquire(task, self._length_ms, self._won(task), self._lost(task))

    def stop(self) -> None:
        """Act no more."""
        for task in self._acting.values():
            task.cancel()

    def _won(self, task: str) -> Callable[[FencingToken], None]:
        def won(token: FencingToken) -> None:
            self._acting[task] = self._loop.create_task(self._act(task, token))

        return won

    def _lost(self, task: str) -> Callable[[FencingToken, str], None]:
        def lost(token: FencingToken, reason: str) -> None:
            self._acting.pop(task).cancel()

        return lost

    async def _act(self, task: str, token: FencingToken) -> None:
        errand = HttpClient(self._witness)
        try:
            while True:
                with contextlib.suppress(OSError, HttpError, TimeoutError):
                    if self._leases.held_token(task) == token and not await self._once(errand, task, token):
                        self.refused += 1
                await asyncio.sleep(EVERY_MS / 1000)
        finally:
            errand.close()

    async def _once(self, errand: HttpClient, task: str, token: FencingToken) -> bool:
        looked, said = true_ms(), {"task": task, "token": [token.round, token.client_id], "who": self._leases.name}
        if self._stops:
            self._stops = False
            os.kill(os.getpid(), signal.SIGSTOP)
        self.acts += 1
        if not (await errand.json("POST", "/act", said | {"looked": looked}))["taken"]:
            return False
        await asyncio.sleep(WORK_MS / 1000)
        if self._leases.held_token(task) != token:
            return True
        return bool((await errand.json("POST", "/done", said | {"looked": true_ms()}))["taken"])


class FaultyClock:
    """Looks at a file that says what ails this process's clock: `{"rate": 1.01, "step_ms": 0}`; none: it is sound."""

    def __init__(self, file: Any, log: Any) -> None:
        self._file, self._log, self._said = file, log, (1.0, 0.0)
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            fault: dict[str, float] = {}
            with contextlib.suppress(OSError, msgspec.DecodeError):
                fault = msgspec.json.decode(self._file.read_bytes())
            said = float(fault.get("rate", 1.0)), float(fault.get("step_ms", 0.0))
            if said != self._said:
                self._said = said
                set_skew(*said)
                self._log.info("clock-harmed", rate=said[0], step_ms=said[1], now=now_ms())
            await asyncio.sleep(LOOK_MS / 1000)

    def stop(self) -> None:
        """Look no more."""
        self._task.cancel()
