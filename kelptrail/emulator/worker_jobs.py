"""Jobs of the emulated worker: queueing, execution on its cores, and answers."""

from __future__ import annotations

import asyncio
from functools import partial

import msgspec
import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.events import CONTENT_TYPE, encode_event
from kelptrail.codec.http import encode_response
from kelptrail.codec.infer import error_response

from .worker_answers import encode_answer, read_stream_shape, takes_tensors, write_parts
from .worker_effects import SideEffects, StoredEffect
from .worker_faults import ActiveFaults, WorkerFault
from .worker_load_report import LoadReporter
from .worker_state import InferenceJob, WorkerState

WORK_SIGMA = 0.2  # sigma of the log-normal factor that varies the execution time
DEFAULT_HEAVY_SHARE, DEFAULT_HEAVY_FACTOR = 0.02, 20
DEFAULT_LOST_SHARE = 0.2
DEFAULT_ANSWER_DELAY_MS = 1000


class JobRunner:
    """Runs jobs, at most one per core, and per model at most as many as its instances allow."""

    def __init__(
        self,
        worker_id: str,
        state: WorkerState,
        effects: SideEffects,
        faults: ActiveFaults,
        reporter: LoadReporter,
        random: np.random.Generator,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._worker_id, self._state, self._effects = worker_id, state, effects
        self._faults, self._reporter, self._random = faults, reporter, random

    def submit(self, job: InferenceJob) -> None:
        """Queue a job, and start it if there is capacity."""
        job.model.queue.append(job)
        self._state.job_queue.append(job.model)
        self.start_jobs()

    def start_jobs(self) -> None:
        """Start queued jobs in order, as far as cores and loaded instances allow."""
        state = self._state
        for _ in range(len(state.job_queue)):
            if state.running_jobs >= state.fleet.cores:
                return
            model = state.job_queue.popleft()
            if not model.queue:
                continue
            if model.running >= model.loaded * model.action.concurrency:
                state.job_queue.append(model)
                continue
            job = model.queue.popleft()
            if now_ms() < job.latest_start:
                self._start(job)
            else:
                job.exchange.reply_encoded(error_response(504, "its time was up"))

    def _start(self, job: InferenceJob) -> None:
        self._state.running_jobs += 1
        job.model.running += 1
        if job.model.type.effect == "deduplicated":
            self._effects.find(job, partial(self._on_effect_found, job))
        else:
            self._execute(job)

    def _on_effect_found(self, job: InferenceJob, effect: StoredEffect | None) -> None:
        if effect is None:
            self._finish(job, None)
        elif effect.known:
            self._finish(job, effect.result)
        else:
            self._execute(job)

    def _execute(self, job: InferenceJob) -> None:
        variation = float(self._random.lognormal(0.0, WORK_SIGMA))
        work_ms = self._state.work_ms(job.model) * variation / self._state.slow_start.capacity_factor
        if self._faults.draw(WorkerFault.HEAVY_WORK, DEFAULT_HEAVY_SHARE):
            work_ms *= self._faults.setting(WorkerFault.HEAVY_WORK, "factor", DEFAULT_HEAVY_FACTOR)
        self._loop.call_later(work_ms / 1000, self._on_executed, job)

    def _on_executed(self, job: InferenceJob) -> None:
        if not self._state.is_current(job):
            return
        result = self._result_of(job)
        if job.model.type.effect == "deduplicated":
            self._effects.commit(job, result, partial(self._on_effect_committed, job, result))
        else:
            self._effects.record(job)
            self._finish(job, result)

    @staticmethod
    def _result_of(job: InferenceJob) -> str:
        if takes_tensors(job):  # the answer echoes the inputs and does not use the result
            return "{}"
        result = {"by": job.model.action.model, "echo": msgspec.Raw(job.payload.encode())}
        return msgspec.json.encode(result).decode()

    def _on_effect_committed(self, job: InferenceJob, result: str, effect: StoredEffect | None) -> None:
        if effect is None:
            self._finish(job, None)
            return
        if not effect.known:
            self._effects.record(job)
        self._finish(job, effect.result if effect.known else result)

    def _finish(self, job: InferenceJob, result: str | None) -> None:
        """End a job and answer it; without a result it has failed."""
        if not self._state.is_current(job):
            return
        if job.request.parameters.get("stream") and result is not None and WorkerFault.SILENT not in self._faults:
            self._loop.create_task(self._stream(job, result))
            return
        self._release(job)
        if not self._loses_answer():
            self._answer(job, result)
        self.start_jobs()

    def _release(self, job: InferenceJob) -> None:
        self._state.running_jobs -= 1
        job.model.running -= 1
        job.model.last_used = now_ms()

    def _loses_answer(self) -> bool:
        return WorkerFault.SILENT in self._faults or self._faults.draw(WorkerFault.ANSWERS_LOST, DEFAULT_LOST_SHARE)

    def _answer(self, job: InferenceJob, result: str | None) -> None:
        if result is None:
            job.exchange.reply_encoded(error_response(500, "failed"))
            return
        data = encode_response(200, encode_answer(job, result), self._load_report(job))
        if WorkerFault.ANSWERS_TWICE in self._faults:
            data += data
        if WorkerFault.ANSWERS_LATE in self._faults:
            delay_ms = self._faults.setting(WorkerFault.ANSWERS_LATE, "ms", DEFAULT_ANSWER_DELAY_MS)
            self._loop.call_later(delay_ms / 1000, job.exchange.reply_encoded, data)
        else:
            job.exchange.reply_encoded(data)

    def _load_report(self, job: InferenceJob) -> dict[str, str]:
        return self._reporter.header(job.instance_loaded, job.other_requests)

    async def _stream(self, job: InferenceJob, result: str) -> None:
        """Answer in parts; a stream that a fault affects stops after half of them, rounded up."""
        shape, exchange = read_stream_shape(job), job.exchange
        exchange.start_stream(200, self._load_report(job), CONTENT_TYPE)
        fault = self._faults.draw_stream_fault()
        part_count = shape.part_count if fault is None else (shape.part_count + 1) // 2
        await write_parts(job, shape, part_count, self._state, self._worker_id)
        if fault is WorkerFault.CUT:
            exchange.abort()
        elif fault is None and not exchange.client_gone:
            exchange.write_chunk(encode_event(encode_answer(job, result, final=True)))
            exchange.end_stream()
        if self._state.is_current(job):
            self._release(job)
            self.start_jobs()
