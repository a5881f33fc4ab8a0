"""Answers of the emulated worker: bodies of unary answers, and parts of streamed answers."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

import msgspec

from kelptrail.codec.events import encode_event
from kelptrail.codec.infer import infer_answer, tensors_answer

from .worker_state import InferenceJob, WorkerState

WRITE_CHECK_S = 0.005  # interval between checks whether a client that reads slowly can be written to
STREAM_PARAMETERS = ("parts", "gap_ms", "pad")  # parameters of a stream that the payload of a call may set


def takes_tensors(job: InferenceJob) -> bool:
    """Return whether the call contains tensors instead of a JSON payload."""
    return job.request.parameters.get("form") == "tensors"


def encode_answer(job: InferenceJob, result: str, **parameters: str | int | float | bool) -> bytes:
    """Encode an answer.

    The answer to a call with tensors echoes its inputs.  Any other contains the result, except for the final part of a
    stream, which has no outputs.  `parameters` are sent only with tensors and in the final part of a stream.
    """
    request, model = job.request, job.model.action.model
    if takes_tensors(job):
        return tensors_answer(model, request.id, request.inputs, success=True, **parameters)
    if parameters.get("final"):
        return tensors_answer(model, request.id, [], success=True, **parameters)
    return infer_answer(model, request.id, result, True)


@dataclass(frozen=True, slots=True)
class StreamShape:
    """Shape of a streamed answer, as its caller requests it."""

    part_count: int
    gap_ms: float  # interval between parts
    padding: int  # number of extra bytes in each part


def read_stream_shape(job: InferenceJob) -> StreamShape:
    """Read the shape of a job's streamed answer from its parameters and its payload, which has precedence."""
    parameters = dict(job.request.parameters)
    with contextlib.suppress(msgspec.DecodeError):
        body = msgspec.json.decode(job.payload or b"{}")
        if isinstance(body, dict):
            parameters |= {name: value for name, value in body.items() if name in STREAM_PARAMETERS}
    return StreamShape(
        int(parameters.get("parts", 3)), float(parameters.get("gap_ms", 5.0)), int(parameters.get("pad", 0))
    )


async def write_parts(
    job: InferenceJob, shape: StreamShape, part_count: int, state: WorkerState, worker_id: str
) -> None:
    """Write the first `part_count` parts; after a fault, fewer than `shape.part_count`.

    Stop if the client disconnects or the worker restarts.
    """
    exchange = job.exchange
    for number in range(part_count):
        while not exchange.client_gone and not exchange.can_write:
            await asyncio.sleep(WRITE_CHECK_S)
        if exchange.client_gone or not state.is_current(job):
            break
        part = msgspec.json.encode({"part": number, "by": worker_id, "pad": "x" * shape.padding}).decode()
        exchange.write_chunk(encode_event(encode_answer(job, part, part=number)))
        await asyncio.sleep(shape.gap_ms / 1000)
