"""Worker emulator: a process that speaks the inference protocol and holds instances of many models.

It has cores, memory, a concurrency limit per instance and a bounded queue; it loads through the shared store, warms up
after its start, deduplicates calls with its group, and reports its load in answers.  Its control port takes timed
faults:
hang, silent, stall and cut (of streams), fail-fast, fail-type, pause, answers-lost, handshakes-slow,
models-voided, heavy-work, answers-twice, answers-late, restart-cold, crash.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
import zlib
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.events import CONTENT_TYPE, encode_event
from kelptrail.codec.http import Request, Response, encode_request, encode_response
from kelptrail.codec.infer import (
    LOAD_REPORT,
    NEVER_RAN,
    InferRequest,
    LoadResponse,
    MalformedError,
    error_response,
    infer_answer,
    read_infer,
    read_load,
    tensors_answer,
    write_report,
)
from kelptrail.net.http_client import HttpClient
from kelptrail.net.pool import Call, CallOutcome, WorkerPool
from kelptrail.net.server import Exchange, HttpServer, Limits
from kelptrail.service.build import certificate_reloader
from kelptrail.settings.deployment import ActionSettings, Deployment, TypeSettings

from .capture import Capture, ReadLag


@dataclass(slots=True, eq=False)
class _Model:
    action: ActionSettings
    type: TypeSettings
    loaded: int = 0
    loading: int = 0
    running: int = 0
    last_used: float = 0.0
    queue: deque[_Job] = field(default_factory=deque)
    load_requests: list[tuple[int, Exchange]] = field(default_factory=list)  # that wait for a load


@dataclass(slots=True, eq=False)
class _Job:
    model: _Model
    request: InferRequest
    payload: str
    exchange: Exchange
    foreign_in_flight: int
    was_loaded: bool
    incarnation: str
    latest_start: float  # the client has gone after it, and a retry may no longer be deduplicated


class WorkerEmulator:
    """One worker process."""

    def __init__(
        self,
        deployment: Deployment,
        id_: str,
        zone: str,
        cell: int,
        store: str,
        endpoint_service: str,
        capture: Capture,
        seed: int,
        warm: bool,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._deployment, self.id, self._zone, self._cell = deployment, id_, zone, cell
        self._fleet, self._rules, self._capture = deployment.fleet, deployment.rules, capture
        self._random = np.random.default_rng([seed, zlib.crc32(id_.encode())])
        pool = deployment.pool
        self._store = WorkerPool(store, 256, 2000.0, pool.idle_ms, 1 << 20)
        self._endpoint_service = HttpClient(endpoint_service)
        limits = Limits(self._fleet.connections, idle_ms=120_000.0)
        tls = certificate_reloader(deployment, "runners", ["http/1.1"], None)
        self.server = HttpServer(self._handle, limits, tls=tls.context if tls else None)
        self.control = HttpServer(self._handle_control)
        self._faults: dict[str, dict[str, Any]] = {}
        self._read_lag, self._util = ReadLag(), 0.0
        self._address = ""
        self._begin(warm)
        self._loop.create_task(self._tick())

    def _begin(self, warm: bool) -> None:
        self.incarnation = os.urandom(4).hex()
        self._started = now_ms() - (self._rules.cold_ms + 1 if warm else 0.0)
        self._models: dict[str, _Model] = {
            a.model: _Model(a, self._deployment.types[a.type]) for a in self._deployment.actions.values()
        }
        self._running = self._loads = 0
        self._queue: deque[_Model] = deque()  # one entry for each job that waits
        self._load_queue: deque[_Model] = deque()
        self._recent_work: deque[tuple[float, float]] = deque()  # (time, ms) that arrived during slow start
        self.draining = self.overloaded = False

    async def announce(self, address: str) -> None:
        """Register with the endpoint service."""
        self._address = address
        rules = self._rules
        self._capture.write(
            "start",
            worker=self.id,
            incarnation=self.incarnation,
            started=self._started,
            cores=self._fleet.cores,
            cold_ms=rules.cold_ms,
            cold_share=rules.cold_share,
        )
        await self._endpoint_service.json(
            "POST",
            "/register",
            {
                "id": self.id,
                "address": address,
                "incarnation": self.incarnation,
                "hall": self._zone,
                "cell": self._cell,
                "age_ms": now_ms() - self._started,
            },
        )

    async def _tick(self) -> None:
        swept = reported = now_ms()
        while True:
            await asyncio.sleep(0.005)
            now = now_ms()
            self._util += 0.02 * (self._running / self._fleet.cores - self._util)
            if now - reported > 200:
                reported, self._load_metrics = now, self._measure_load()
            if now - swept > 250:
                swept = now
                for model in self._models.values():
                    if model.loaded and not model.running and now - model.last_used > self._fleet.keep_alive_ms:
                        model.loaded = 0

    # Requests.

    def _handle(self, request: Request, exchange: Exchange) -> None:
        parts = request.segments
        if parts[0] != "v2" or self.overloaded:
            if not self.overloaded:
                exchange.reply_encoded(error_response(404, "no such thing"))
            return
        if parts[1:2] == ["models"] and parts[3:] == ["infer"]:
            self._infer(parts[2], request, exchange)
        elif parts[1:3] == ["repository", "models"] and len(parts) == 5 and parts[4] in ("load", "unload"):
            self._handle_load(parts[3], parts[4], request, exchange)
        elif parts[1:] == ["repository", "index"]:
            index = [
                {"name": name, "state": "READY" if m.loaded else "LOADING"}
                for name, m in self._models.items()
                if m.loaded or m.loading
            ]
            exchange.reply_encoded(encode_response(200, msgspec.json.encode(index)))
        elif parts[1:] in (["health", "live"], ["health", "ready"]):
            exchange.reply_encoded(encode_response(200, b"{}"))
        else:
            exchange.reply_encoded(error_response(404, "no such thing"))

    def _infer(self, name: str, request: Request, exchange: Exchange) -> None:
        try:
            infer, payload = read_infer(request.body)
        except MalformedError as cause:
            exchange.reply_encoded(error_response(400, str(cause)))
            return
        model, said = self._models.get(name), infer.parameters
        now = now_ms()
        self._capture.write(
            "send",
            worker=self.id,
            model=name,
            mark=infer.id,
            lag=self._lag(),
            dispatcher=said.get("dispatcher"),
            activation=said.get("activation"),
            send=said.get("send"),
            incarnation=self.incarnation,
            work=self._work_ms(model),
        )
        if self._overloads(now, model):
            return
        if "hang" in self._faults:
            return
        if "fail-fast" in self._faults and self._random.random() < self._faults["fail-fast"].get("share", 1):
            exchange.reply_encoded(error_response(500, "failed"))
            return
        kind = self._faults.get("fail-type")
        if kind and model is not None and model.type.name == kind.get("type"):
            exchange.reply_encoded(error_response(500, "failed"))
            return
        if model is None or not (model.loaded or model.loading):
            self._reject(exchange, 404, "miss", "not loaded")
            return
        if self.draining or len(self._queue) >= self._fleet.queue:
            self._reject(exchange, 503, "full", "no place")
            return
        foreign_in_flight = min(30, model.running + len(model.queue))
        limit = said.get("limit_ms")
        job = _Job(
            model,
            infer,
            payload,
            exchange,
            foreign_in_flight,
            bool(model.loaded),
            self.incarnation,
            now + limit if isinstance(limit, int | float) else float("inf"),
        )
        model.queue.append(job)
        self._queue.append(model)
        self._start_jobs()

    def _lag(self) -> float:
        """How much earlier the data that is read now may have arrived."""
        return self._read_lag.now() + 2 * self.server.accept_delay_ms

    def _reject(self, exchange: Exchange, status: int, proof: str, text: str, foreign_in_flight: int = 0) -> None:
        exchange.reply_encoded(
            error_response(status, text, {NEVER_RAN: proof, LOAD_REPORT: self._report(0, foreign_in_flight)})
        )

    def _work_ms(self, model: _Model | None) -> float:
        return model.action.work_ms if model else 1.0

    @property
    def slow_start_capacity(self) -> float:
        """The share of its capacity that it has at its age."""
        age = now_ms() - self._started
        if age >= self._rules.cold_ms:
            return 1.0
        return self._rules.cold_share + (1 - self._rules.cold_share) * age / self._rules.cold_ms

    def _overloads(self, now: float, model: _Model | None) -> bool:
        """Whether this work overloads it: during slow start too much work makes it fail for good."""
        warmth = self.slow_start_capacity
        if warmth >= 1:
            return self.overloaded
        self._recent_work.append((now, self._work_ms(model)))
        while self._recent_work[0][0] < now - self._rules.overload_window_ms:
            self._recent_work.popleft()
        limit = self._rules.overload_multiple * warmth * self._fleet.cores * self._rules.overload_window_ms
        if sum(work for _, work in self._recent_work) > limit:
            self.overloaded = True
            self._capture.write("fell", worker=self.id, incarnation=self.incarnation)
        return self.overloaded

    # Work.

    def _start_jobs(self) -> None:
        for _ in range(len(self._queue)):
            if self._running >= self._fleet.cores:
                return
            model = self._queue.popleft()
            if not model.queue:
                continue
            if model.running >= model.loaded * model.action.concurrency:
                self._queue.append(model)
                continue
            job = model.queue.popleft()
            if now_ms() < job.latest_start:
                self._start_job(job)
            else:
                job.exchange.reply_encoded(error_response(504, "its time was up"))

    def _start_job(self, job: _Job) -> None:
        self._running += 1
        job.model.running += 1
        if job.model.type.effect == "deduplicated":
            self._ask_effect_store("known", job, "", self._on_known)
        else:
            self._execute(job)

    def _on_known(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        job: _Job = call.tag[0]
        if ending is CallOutcome.ANSWERED and response is not None:
            said = msgspec.json.decode(response.body)
            if said["known"]:
                self._finish_job(job, said["result"])
            else:
                self._execute(job)
        else:
            self._finish_job(job, None)

    def _execute(self, job: _Job) -> None:
        work = self._work_ms(job.model) * float(self._random.lognormal(0.0, 0.2)) / self.slow_start_capacity
        heavy = self._faults.get("heavy-work")
        if heavy and self._random.random() < heavy.get("share", 0.02):
            work *= heavy.get("factor", 20)
        self._loop.call_later(work / 1000, self._on_executed, job)

    def _on_executed(self, job: _Job) -> None:
        if job.incarnation != self.incarnation:
            return
        if job.request.parameters.get("form") == "tensors":  # its result is identified by its mark alone
            result = "{}"
        else:
            result = msgspec.json.encode(
                {"by": job.model.action.model, "echo": msgspec.Raw(job.payload.encode())}
            ).decode()
        if job.model.type.effect == "deduplicated":
            self._ask_effect_store("commit", job, result, self._on_committed)
        else:
            self._record_effect(job)
            self._finish_job(job, result)

    def _on_committed(self, call: Call, ending: CallOutcome, response: Response | None) -> None:
        job, result = call.tag
        if ending is not CallOutcome.ANSWERED or response is None:
            self._finish_job(job, None)
            return
        said = msgspec.json.decode(response.body)
        if not said["known"]:
            self._record_effect(job)
        self._finish_job(job, said["result"] if said["known"] else result)

    def _record_effect(self, job: _Job) -> None:
        said = job.request.parameters
        self._capture.write(
            "effect",
            worker=self.id,
            mark=job.request.id,
            type=job.model.type.name,
            activation=said.get("activation"),
            send=said.get("send"),
        )

    def _ask_effect_store(self, what: str, job: _Job, result: str, done: Any) -> None:
        group = {"all": "all", "zone": self._zone, "cell": f"cell-{self._cell}"}[job.model.type.deduplication_scope]
        body = msgspec.json.encode(
            {
                "mark": job.request.id,
                "group": group,
                "result": result,
                "remembered_ms": job.model.type.deduplication_window_ms,
            }
        )
        self._store.start(encode_request("POST", f"/effects/{what}", self._store.address, body), done, (job, result))

    def _finish_job(self, job: _Job, result: str | None) -> None:
        if job.incarnation != self.incarnation:
            return
        if job.request.parameters.get("stream") and result is not None and "silent" not in self._faults:
            self._loop.create_task(self._stream(job, result))
            return
        self._release(job)
        lost = self._faults.get("answers-lost")
        if "silent" in self._faults or (lost and self._random.random() < lost.get("share", 0.2)):
            pass
        elif result is None:
            job.exchange.reply_encoded(error_response(500, "failed"))
        else:
            body = self._answer_body(job, result)
            data = encode_response(
                200, body, {LOAD_REPORT: self._report(1 if job.was_loaded else 0, job.foreign_in_flight)}
            )
            if "answers-twice" in self._faults:
                data += data
            if late := self._faults.get("answers-late"):
                self._loop.call_later(late.get("ms", 1000) / 1000, job.exchange.reply_encoded, data)
            else:
                job.exchange.reply_encoded(data)
        self._start_jobs()

    def _release(self, job: _Job) -> None:
        self._running -= 1
        job.model.running -= 1
        job.model.last_used = now_ms()

    def _answer_body(self, job: _Job, result: str, **more: str | int | float | bool) -> bytes:
        """One answer of the protocol: the inputs for a call in tensors, else the result."""
        request = job.request
        if request.parameters.get("form") == "tensors":
            return tensors_answer(job.model.action.model, request.id, request.inputs, success=True, **more)
        if more.get("final"):
            return tensors_answer(job.model.action.model, request.id, [], success=True, **more)
        return infer_answer(job.model.action.model, request.id, result, True)

    async def _stream(self, job: _Job, result: str) -> None:
        """A streamed answer: `parts` parts, `gap_ms` apart, then the last one.  Faults: stall, cut."""
        said = dict(job.request.parameters)
        with contextlib.suppress(msgspec.DecodeError):
            body = msgspec.json.decode(job.payload or b"{}")
            said |= {k: v for k, v in body.items() if k in ("parts", "gap_ms", "pad")} if isinstance(body, dict) else {}
        parts, gap = int(said.get("parts", 3)), float(said.get("gap_ms", 5.0))
        exchange, pad = job.exchange, int(said.get("pad", 0))
        exchange.start_stream(
            200, {LOAD_REPORT: self._report(1 if job.was_loaded else 0, job.foreign_in_flight)}, CONTENT_TYPE
        )
        fault = next(
            (k for k in ("stall", "cut") if (f := self._faults.get(k)) and self._random.random() < f.get("share", 0.2)),
            "",
        )
        for number in range(parts):
            if fault and number == (parts + 1) // 2:
                break
            while not exchange.client_gone and not exchange.can_write:
                await asyncio.sleep(0.005)
            if exchange.client_gone or job.incarnation != self.incarnation:
                break
            text = msgspec.json.encode({"part": number, "by": self.id, "pad": "x" * pad}).decode()
            exchange.write_chunk(encode_event(self._answer_body(job, text, part=number)))
            await asyncio.sleep(gap / 1000)
        if fault == "cut":
            exchange.abort()
        elif not fault and not exchange.client_gone:
            exchange.write_chunk(encode_event(self._answer_body(job, result, final=True)))
            exchange.end_stream()
        if job.incarnation == self.incarnation:
            self._release(job)
            self._start_jobs()

    def _measure_load(self) -> tuple[float, float, float]:
        busy = sum(
            (min(m.loaded, -(-m.running // m.action.concurrency)) + m.loading) * m.action.memory_mb
            for m in self._models.values()
        )
        return self._util, self._loads + len(self._load_queue), busy / self._fleet.memory_mb

    _load_metrics = (0.0, 0.0, 0.0)

    def _report(self, found: int, foreign_in_flight: int) -> str:
        util, loads, memory = self._load_metrics
        return write_report(util, x1=loads, x0=round(memory, 3), found=found, company=foreign_in_flight)

    # Instances.

    def _handle_load(self, name: str, what: str, request: Request, exchange: Exchange) -> None:
        model = self._models.get(name)
        if model is None:
            exchange.reply_encoded(error_response(404, "no such model"))
            return
        if what == "unload":
            if not model.running:
                model.loaded = 0
            exchange.reply_encoded(encode_response(200, b"{}"))
            return
        try:
            count, dispatcher = read_load(request.body)
        except MalformedError as cause:
            exchange.reply_encoded(error_response(400, str(cause)))
            return
        self._capture.write("order", worker=self.id, model=name, copies=count, dispatcher=dispatcher, lag=self._lag())
        if "hang" in self._faults or "silent" in self._faults:
            return
        if self.draining:
            self._answer_load(model, exchange, 503)
            return
        model.last_used = now_ms()
        while model.loaded + model.loading < count:
            if len(self._load_queue) >= 2 * self._fleet.loads or not self._evict_for(model):
                self._answer_load(model, exchange, 503)
                return
            model.loading += 1
            self._load_queue.append(model)
            self._start_loads()
        if model.loaded >= count:
            self._answer_load(model, exchange, 200)
        else:
            model.load_requests.append((count, exchange))

    def _answer_load(self, model: _Model, exchange: Exchange, status: int) -> None:
        exchange.reply_encoded(encode_response(status, msgspec.json.encode(LoadResponse(model.loaded))))

    def _evict_for(self, model: _Model) -> bool:
        """Free memory for one more instance by unloading idle ones of other models, least recently used first."""
        held = sum((m.loaded + m.loading) * m.action.memory_mb for m in self._models.values())
        idle = sorted(
            (m for m in self._models.values() if m.loaded and not m.running and m is not model and not m.queue),
            key=lambda m: m.last_used,
        )
        while held + model.action.memory_mb > self._fleet.memory_mb:
            if not idle:
                return False
            first = idle.pop(0)
            held -= first.loaded * first.action.memory_mb
            first.loaded = 0
        return True

    def _start_loads(self) -> None:
        while self._load_queue and self._loads < self._fleet.loads:
            self._loads += 1
            self._loop.create_task(self._load_instance(self._load_queue.popleft(), self.incarnation))

    async def _load_instance(self, model: _Model, incarnation: str) -> None:
        fetched: asyncio.Future[Response | None] = self._loop.create_future()
        fetch_ms = model.action.load_ms * self._deployment.store.fetch_share
        call = self._store.start(
            encode_request("GET", f"/blobs/{model.action.model}?ms={fetch_ms:g}", self._store.address),
            lambda _call, _ending, answer: None if fetched.done() else fetched.set_result(answer),
        )
        timer = self._loop.call_later(30, call.cancel, "revoked")
        response = await fetched
        timer.cancel()
        good = response is not None and response.status == 200
        if good:
            await asyncio.sleep((model.action.load_ms - fetch_ms) / 1000 / self.slow_start_capacity)
        if incarnation != self.incarnation:
            return
        self._loads -= 1
        model.loading -= 1
        model.loaded += good
        model.last_used = now_ms()
        still = []
        for count, exchange in model.load_requests:
            if model.loaded >= count:
                self._answer_load(model, exchange, 200)
            elif not good:
                self._answer_load(model, exchange, 500)
            else:
                still.append((count, exchange))
        model.load_requests = still
        if not model.loaded and not model.loading:
            while model.queue:
                job = model.queue.popleft()
                job.exchange.reply_encoded(
                    error_response(
                        404, "the load failed", {NEVER_RAN: "miss", "load-failed": "1", LOAD_REPORT: self._report(0, 0)}
                    )
                )
        self._start_loads()
        self._start_jobs()

    # Control.

    def _handle_control(self, request: Request, exchange: Exchange) -> None:
        parts = request.segments
        if parts == ["state"]:
            held = {n: m.loaded for n, m in self._models.items() if m.loaded}
            exchange.reply(
                200,
                msgspec.json.encode(
                    {
                        "running": self._running,
                        "waiting": len(self._queue),
                        "fallen": self.overloaded,
                        "copies": held,
                        "loads": self._loads,
                        "draining": self.draining,
                        "connections": self.server.connections,
                    }
                ),
            )
            return
        if parts == ["drain"]:
            self.draining = True
        elif parts == ["fault"]:
            body = msgspec.json.decode(request.body)
            self._capture.write("fault", worker=self.id, kind=body["kind"], for_ms=body.get("for_ms", 0))
            self._loop.call_later(0.02, self._inject, body)  # after this request is answered
        exchange.reply(200, b"{}")

    def _inject(self, body: dict[str, Any]) -> None:
        kind, ms = body["kind"], float(body.get("for_ms", 0))
        if kind == "crash":
            os._exit(70)
        elif kind == "pause":
            began = now_ms()
            time.sleep(ms / 1000)
            self._capture.write("paused", worker=self.id, began=began)
        elif kind == "models-voided":
            for model in self._models.values():
                if self._random.random() < body.get("share", 1):
                    model.loaded = -(-model.running // model.action.concurrency)
        elif kind == "restart-cold":
            self.server.abort_all()
            self._begin(warm=False)
            self._loop.create_task(self.announce(self._address))
        elif kind == "handshakes-slow":
            self.server.accept_delay_ms = float(body.get("ms", 200))
            self._loop.call_later(ms / 1000, setattr, self.server, "accept_delay_ms", 0.0)
        else:
            self._faults[kind] = body
            if ms:
                self._loop.call_later(ms / 1000, self._faults.pop, kind, None)
