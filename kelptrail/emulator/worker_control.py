"""Control port of the emulated worker: reports its state, starts draining and injects faults."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import Any

import msgspec
import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange, HttpServer

from .capture import Capture
from .worker_faults import ActiveFaults, WorkerFault
from .worker_state import WorkerState

CRASH_EXIT_CODE = 70
INJECTION_DELAY_S = 0.02  # lets the worker answer the request before the fault begins
DEFAULT_HANDSHAKE_MS = 200


class WorkerControl:
    """Answers requests to the control port; `restart` begins a new incarnation with a slow start."""

    def __init__(
        self,
        worker_id: str,
        state: WorkerState,
        faults: ActiveFaults,
        random: np.random.Generator,
        server: HttpServer,
        capture: Capture,
        restart: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._worker_id, self._state, self._faults, self._random = worker_id, state, faults, random
        self._server, self._capture, self._restart = server, capture, restart

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Answer a request for `/state`, `/drain` or `/fault`."""
        if request.segments == ["state"]:
            exchange.reply(200, msgspec.json.encode(self._describe_state()))
            return
        if request.segments == ["drain"]:
            self._state.draining = True
        elif request.segments == ["fault"]:
            settings = msgspec.json.decode(request.body)
            duration_ms = settings.get("for_ms", 0)
            self._capture.write("fault", worker=self._worker_id, kind=settings["kind"], for_ms=duration_ms)
            self._loop.call_later(INJECTION_DELAY_S, self._inject, settings)
        exchange.reply(200, b"{}")

    def _describe_state(self) -> dict[str, Any]:
        state = self._state
        return {
            "running": state.running_jobs,
            "waiting": len(state.job_queue),
            "fallen": state.slow_start.overloaded,
            "copies": {name: model.loaded for name, model in state.models.items() if model.loaded},
            "loads": state.active_loads,
            "draining": state.draining,
            "connections": self._server.connections,
        }

    def _inject(self, settings: dict[str, Any]) -> None:
        kind, duration_s = settings["kind"], float(settings.get("for_ms", 0)) / 1000
        if kind == WorkerFault.CRASH:
            os._exit(CRASH_EXIT_CODE)
        elif kind == WorkerFault.PAUSE:
            pause_start = now_ms()
            time.sleep(duration_s)
            self._capture.write("paused", worker=self._worker_id, began=pause_start)
        elif kind == WorkerFault.MODELS_VOIDED:
            self._lose_idle_instances(settings.get("share", 1))
        elif kind == WorkerFault.RESTART_COLD:
            self._restart()
        elif kind == WorkerFault.HANDSHAKES_SLOW:
            self._server.accept_delay_ms = float(settings.get("ms", DEFAULT_HANDSHAKE_MS))
            self._loop.call_later(duration_s, setattr, self._server, "accept_delay_ms", 0.0)
        else:
            self._faults.start(kind, settings)
            if duration_s:
                self._loop.call_later(duration_s, self._faults.end, kind)

    def _lose_idle_instances(self, share: float) -> None:
        """Remove the idle instances of each model with probability `share`."""
        for model in self._state.models.values():
            if self._random.random() < share:
                model.loaded = model.busy_instances
