"""Side effects of the emulated worker: deduplication within its group through the shared store, and capture records."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import msgspec

from kelptrail.codec.http import Response, encode_request
from kelptrail.net.pool import Call, CallOutcome, WorkerPool

from .capture import Capture
from .worker_state import InferenceJob


class StoredEffect(msgspec.Struct):
    """Answer of the store: whether it had a valid entry for the key before this request, and the entry's result."""

    known: bool
    result: str  # empty without an entry


OnStoredEffect = Callable[[StoredEffect | None], None]  # receives None if the store did not answer


class SideEffects:
    """Looks up and stores the results of one worker's jobs, and records their side effects."""

    def __init__(self, worker_id: str, zone: str, cell: int, store: WorkerPool, capture: Capture) -> None:
        self._worker_id, self._store, self._capture = worker_id, store, capture
        # Deduplication scope of a request class -> name of the group of workers that deduplicate together.
        self._groups = {"all": "all", "zone": zone, "cell": f"cell-{cell}"}

    def find(self, job: InferenceJob, on_answer: OnStoredEffect) -> None:
        """Query the store for the result of an earlier run with the job's idempotency key."""
        self._query_store("known", job, "", on_answer)

    def commit(self, job: InferenceJob, result: str, on_answer: OnStoredEffect) -> None:
        """Store the job's result, unless the store has the result of another run."""
        self._query_store("commit", job, result, on_answer)

    def record(self, job: InferenceJob) -> None:
        """Record in the capture that the job had its side effect."""
        parameters = job.request.parameters
        self._capture.write(
            "effect",
            worker=self._worker_id,
            mark=job.request.id,  # idempotency key, or the activation of a call without a key
            type=job.model.type.name,
            activation=parameters.get("activation"),
            send=parameters.get("send"),
        )

    def _query_store(self, operation: str, job: InferenceJob, result: str, on_answer: OnStoredEffect) -> None:
        body = {
            "mark": job.request.id,
            "group": self._groups[job.model.type.deduplication_scope],
            "result": result,
            "remembered_ms": job.model.type.deduplication_window_ms,  # an older entry does not count
        }
        data = encode_request("POST", f"/effects/{operation}", self._store.address, msgspec.json.encode(body))
        self._store.start(data, partial(self._on_store_answer, on_answer))

    @staticmethod
    def _on_store_answer(
        on_answer: OnStoredEffect, _call: Call, outcome: CallOutcome, response: Response | None
    ) -> None:
        if outcome is CallOutcome.ANSWERED and response is not None:
            on_answer(msgspec.json.decode(response.body, type=StoredEffect))
        else:
            on_answer(None)
