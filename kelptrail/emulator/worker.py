"""Worker emulator: a process that serves the inference protocol with instances of several models.

It has cores, memory, a concurrency limit per instance and a bounded queue.  It loads models through the shared store,
has a slow start, deduplicates calls within its group, and sends load reports in answers.  The control port injects the
faults of `worker_faults.py`.
"""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import dataclass

import msgspec
import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.http import Request, encode_response
from kelptrail.codec.infer import (
    NEVER_RAN,
    InferRequest,
    MalformedError,
    error_response,
    read_infer,
    read_load,
)
from kelptrail.net.http_client import HttpClient
from kelptrail.net.pool import WorkerPool
from kelptrail.net.server import Exchange, HttpServer, Limits
from kelptrail.service.build import certificate_reloader
from kelptrail.settings.deployment import Deployment

from .capture import Capture, ReadLag
from .worker_control import WorkerControl
from .worker_effects import SideEffects
from .worker_faults import ActiveFaults, WorkerFault
from .worker_instances import InstanceLoader
from .worker_jobs import JobRunner
from .worker_load_report import LoadReporter
from .worker_state import HostedModel, InferenceJob, WorkerState

TICK_S = 0.005
MEASURE_INTERVAL_MS = 200  # interval at which the metrics of load reports are measured
UNLOAD_INTERVAL_MS = 250  # interval at which unused models are unloaded
MAX_REPORTED_REQUESTS = 30  # largest number of a model's other requests in a load report
IDLE_CONNECTION_MS = 120_000.0
STORE_CONNECTIONS, STORE_CONNECT_MS, STORE_ANSWER_BYTES = 256, 2000.0, 1 << 20


@dataclass(frozen=True, slots=True)
class WorkerIdentity:
    """Name, zone and cell of a worker."""

    id: str
    zone: str
    cell: int


class WorkerEmulator:
    """One worker process."""

    def __init__(
        self,
        deployment: Deployment,
        identity: WorkerIdentity,
        store_address: str,
        endpoint_service_address: str,
        capture: Capture,
        seed: int,
        warm: bool,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._deployment, self._identity, self._capture = deployment, identity, capture
        self._fleet = deployment.fleet
        self._endpoint_service = HttpClient(endpoint_service_address)
        limits = Limits(self._fleet.connections, idle_ms=IDLE_CONNECTION_MS)
        tls = certificate_reloader(deployment, "runners", ["http/1.1"], None)
        self.server = HttpServer(self._handle, limits, tls=tls.context if tls else None)
        self._read_lag = ReadLag()
        self._address = ""
        self._state = WorkerState(deployment, warm)
        self._create_components(store_address, np.random.default_rng([seed, zlib.crc32(identity.id.encode())]))
        self._loop.create_task(self._tick())

    def _create_components(self, store_address: str, random: np.random.Generator) -> None:
        """Create the components that run jobs, load instances and inject faults."""
        deployment, identity, state = self._deployment, self._identity, self._state
        store = WorkerPool(
            store_address, STORE_CONNECTIONS, STORE_CONNECT_MS, deployment.pool.idle_ms, STORE_ANSWER_BYTES
        )
        effects = SideEffects(identity.id, identity.zone, identity.cell, store, self._capture)
        self._faults = ActiveFaults(random)
        self._reporter = LoadReporter(state)
        self._jobs = JobRunner(identity.id, state, effects, self._faults, self._reporter, random)
        self._instances = InstanceLoader(
            state, store, deployment.store.fetch_share, self._reporter, self._jobs.start_jobs
        )
        control = WorkerControl(identity.id, state, self._faults, random, self.server, self._capture, self._restart)
        self.control = HttpServer(control.handle)

    @property
    def incarnation(self) -> str:
        """Current incarnation; a cold restart begins a new one."""
        return self._state.incarnation

    async def announce(self, address: str) -> None:
        """Register with the endpoint service."""
        self._address = address
        identity, rules, started = self._identity, self._deployment.rules, self._state.slow_start.started
        self._capture.write(
            "start",
            worker=identity.id,
            incarnation=self.incarnation,
            started=started,
            cores=self._fleet.cores,
            cold_ms=rules.slow_start_ms,
            cold_share=rules.slow_start_share,
        )
        await self._endpoint_service.json(
            "POST",
            "/register",
            {
                "id": identity.id,
                "address": address,
                "incarnation": self.incarnation,
                "hall": identity.zone,
                "cell": identity.cell,
                "age_ms": now_ms() - started,
            },
        )

    def _restart(self) -> None:
        self.server.abort_all()
        self._state.restart(warm=False)
        self._loop.create_task(self.announce(self._address))

    async def _tick(self) -> None:
        last_unload = last_measurement = now_ms()
        while True:
            await asyncio.sleep(TICK_S)
            now = now_ms()
            self._reporter.sample_utilization()
            if now - last_measurement > MEASURE_INTERVAL_MS:
                last_measurement = now
                self._reporter.measure()
            if now - last_unload > UNLOAD_INTERVAL_MS:
                last_unload = now
                self._instances.unload_unused(now)

    def _handle(self, request: Request, exchange: Exchange) -> None:
        parts = request.segments
        if self._state.slow_start.overloaded:  # until its restart the worker answers nothing
            return
        if parts[0] != "v2":
            exchange.reply_encoded(error_response(404, "no such thing"))
        elif parts[1:2] == ["models"] and parts[3:] == ["infer"]:
            self._handle_infer(parts[2], request, exchange)
        elif parts[1:3] == ["repository", "models"] and len(parts) == 5 and parts[4] in ("load", "unload"):
            self._handle_repository(parts[3], parts[4], request, exchange)
        elif parts[1:] == ["repository", "index"]:
            exchange.reply_encoded(encode_response(200, self._encode_index()))
        elif parts[1:] in (["health", "live"], ["health", "ready"]):
            exchange.reply_encoded(encode_response(200, b"{}"))
        else:
            exchange.reply_encoded(error_response(404, "no such thing"))

    def _encode_index(self) -> bytes:
        index = [
            {"name": name, "state": "READY" if model.loaded else "LOADING"}
            for name, model in self._state.models.items()
            if model.loaded or model.loading
        ]
        return msgspec.json.encode(index)

    def _handle_infer(self, name: str, request: Request, exchange: Exchange) -> None:
        try:
            infer, payload = read_infer(request.body)
        except MalformedError as cause:
            exchange.reply_encoded(error_response(400, str(cause)))
            return
        model, now = self._state.models.get(name), now_ms()
        self._record_attempt(name, model, infer)
        if self._add_work(model, now) or WorkerFault.HANG in self._faults:
            return
        if self._fails_immediately(model):
            exchange.reply_encoded(error_response(500, "failed"))
        elif model is None or not (model.loaded or model.loading):
            self._reject(exchange, 404, "miss", "not loaded")
        elif self._state.draining or len(self._state.job_queue) >= self._fleet.queue:
            self._reject(exchange, 503, "full", "no place")
        else:
            self._jobs.submit(self._make_job(model, infer, payload, exchange, now))

    def _record_attempt(self, name: str, model: HostedModel | None, infer: InferRequest) -> None:
        parameters = infer.parameters
        self._capture.write(
            "send",
            worker=self._identity.id,
            model=name,
            mark=infer.id,
            lag=self._arrival_lag_ms(),
            dispatcher=parameters.get("dispatcher"),
            activation=parameters.get("activation"),
            send=parameters.get("send"),
            incarnation=self.incarnation,
            work=self._state.work_ms(model),
        )

    def _arrival_lag_ms(self) -> float:
        """Return how much earlier the data that is read now may have arrived, in ms.

        With slow handshakes, a connection may wait for the delay before it is accepted, and again before it is read.
        """
        return self._read_lag.current_ms() + 2 * self.server.accept_delay_ms

    def _add_work(self, model: HostedModel | None, now: float) -> bool:
        """Count the work of an attempt; return whether it overloads the worker, which the capture records."""
        if not self._state.slow_start.add_work(now, self._state.work_ms(model)):
            return False
        self._capture.write("fell", worker=self._identity.id, incarnation=self.incarnation)
        return True

    def _fails_immediately(self, model: HostedModel | None) -> bool:
        if self._faults.draw(WorkerFault.FAIL_FAST, 1):
            return True
        if model is None or WorkerFault.FAIL_TYPE not in self._faults:
            return False
        return bool(model.type.name == self._faults.setting(WorkerFault.FAIL_TYPE, "type", None))

    def _reject(self, exchange: Exchange, status: int, proof: str, text: str) -> None:
        """Reject an attempt; `proof` is the header value that proves that it never ran."""
        headers = {NEVER_RAN: proof} | self._reporter.header(False, 0)
        exchange.reply_encoded(error_response(status, text, headers))

    def _make_job(
        self, model: HostedModel, infer: InferRequest, payload: str, exchange: Exchange, now: float
    ) -> InferenceJob:
        timeout_ms = infer.parameters.get("limit_ms")
        return InferenceJob(
            model,
            infer,
            payload,
            exchange,
            other_requests=min(MAX_REPORTED_REQUESTS, model.running + len(model.queue)),
            instance_loaded=bool(model.loaded),
            incarnation=self.incarnation,
            latest_start=now + timeout_ms if isinstance(timeout_ms, int | float) else float("inf"),
        )

    def _handle_repository(self, name: str, operation: str, request: Request, exchange: Exchange) -> None:
        model = self._state.models.get(name)
        if model is None:
            exchange.reply_encoded(error_response(404, "no such model"))
        elif operation == "unload":
            self._instances.unload(model, exchange)
        else:
            self._handle_load_order(name, model, request, exchange)

    def _handle_load_order(self, name: str, model: HostedModel, request: Request, exchange: Exchange) -> None:
        try:
            instance_count, dispatcher = read_load(request.body)
        except MalformedError as cause:
            exchange.reply_encoded(error_response(400, str(cause)))
            return
        self._capture.write(
            "order",
            worker=self._identity.id,
            model=name,
            copies=instance_count,
            dispatcher=dispatcher,
            lag=self._arrival_lag_ms(),
        )
        if WorkerFault.HANG not in self._faults and WorkerFault.SILENT not in self._faults:
            self._instances.handle_order(model, instance_count, exchange)
