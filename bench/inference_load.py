"""Load on the inference API for bench/inference.py; each part runs as a process and prints one line of JSON.

python bench/inference_load.py closed ADDRESS SECONDS [AUTHORITY]       unary calls, 32 at once
python bench/inference_load.py streams ADDRESS COUNT PARTS GAP_MS       streams through a gateway, one after the other
python bench/inference_load.py direct ADDRESS COUNT PARTS GAP_MS        the same streams, directly from a worker
python bench/inference_load.py held ADDRESS COUNT                       open streams, each waiting for its next part
python bench/inference_load.py handshakes ADDRESS SECONDS AUTHORITY     new TLS connections
"""

from __future__ import annotations

import asyncio
import base64
import collections
import json
import ssl
import sys
import time
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram
from pinned_processes import AUTH

from kelptrail.codec.http import ResponseReader, encode_request
from kelptrail.front.inference import inference_pb2 as pb
from kelptrail.front.inference.api import SERVICE
from kelptrail.net.grpc_client import CallResult, GrpcClient

UNARY_CONNECTIONS, CALLS_AT_ONCE = 4, 32
HANDSHAKES_AT_ONCE = 16
STREAMS_PER_CONNECTION = 500
UNARY_TIMEOUT_MS, STREAM_TIMEOUT_MS = 10_000.0, 60_000.0
MAX_LATENCY_US = 60_000_000
FEATURES = 16
HELD_GAP_MS, HELD_START_TIMEOUT_S, HELD_S = 8000.0, 60, 6
HELD_LINE = "held"  # printed once all streams have started


def metadata() -> dict[str, str]:
    """Return the credentials of a call."""
    return {"authorization": "Basic " + base64.b64encode(AUTH.encode()).decode()}


def encode_infer_request(parts: int = 0, gap_ms: float = 0.0) -> bytes:
    """Encode a small request; if `parts` is not 0, it requests a stream of that number of parts."""
    request = pb.ModelInferRequest(model_name="f", id="1")
    tensor = request.inputs.add(name="x", datatype="FP32", shape=[FEATURES])
    tensor.contents.fp32_contents.extend([0.5] * FEATURES)
    if parts:
        request.parameters["parts"].int64_param = parts
        request.parameters["gap_ms"].double_param = gap_ms
    return request.SerializeToString()


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def record_since(histogram: HdrHistogram, start: float, end: float) -> None:
    """Record the time between two readings of `time.perf_counter`."""
    histogram.record_value(max(1, int((end - start) * 1e6)))


class UnaryLoad:
    """A closed loop of unary calls over several connections."""

    def __init__(self, clients: list[GrpcClient], seconds: float) -> None:
        self.latencies = new_histogram()
        self.codes: collections.Counter[str] = collections.Counter()
        self._clients = clients
        self._loop = asyncio.get_running_loop()
        self._end = self._loop.time() + seconds
        self._finished = self._loop.create_future()
        self._request = encode_infer_request()
        self._active = 0

    async def run(self, at_once: int) -> None:
        """Keep `at_once` calls in flight until the time is over, and wait until all have ended."""
        self._active = at_once
        for n in range(at_once):
            self._call(self._clients[n % len(self._clients)])
        await self._finished

    def _call(self, client: GrpcClient) -> None:
        if self._loop.time() >= self._end:
            self._active -= 1
            if not self._active:
                self._finished.set_result(None)
            return
        start = time.perf_counter()

        def on_result(result: CallResult) -> None:
            record_since(self.latencies, start, time.perf_counter())
            self.codes[result.code.name if result.code is not None else result.text] += 1
            self._call(client)

        client.call(SERVICE + "ModelInfer", self._request, metadata(), lambda _: None, on_result, UNARY_TIMEOUT_MS)


async def measure_unary(address: str, seconds: float, tls: ssl.SSLContext | None) -> dict[str, Any]:
    """Measure unary calls over 4 connections, 32 at once."""
    clients = [GrpcClient(address, tls=(lambda: tls) if tls else None) for _ in range(UNARY_CONNECTIONS)]
    load = UnaryLoad(clients, seconds)
    await load.run(CALLS_AT_ONCE)
    for client in clients:
        client.close()
    calls = load.codes.total()
    return {
        "calls": calls,
        "per_s": calls / seconds,
        "p50_us": load.latencies.get_value_at_percentile(50),
        "p99_us": load.latencies.get_value_at_percentile(99),
        "codes": load.codes,
    }


class StreamTimes:
    """Histograms of the time to the first part of a stream and between its parts."""

    def __init__(self) -> None:
        self._first, self._between = new_histogram(), new_histogram()
        self._last_at = 0.0
        self._is_first = True

    def start(self) -> None:
        """Record the start of a stream."""
        self._last_at, self._is_first = time.perf_counter(), True

    def on_part(self) -> None:
        """Record the arrival of a part of the stream."""
        now = time.perf_counter()
        record_since(self._first if self._is_first else self._between, self._last_at, now)
        self._last_at, self._is_first = now, False

    def percentiles(self) -> dict[str, float]:
        """Return the percentiles by their names in the report."""
        return {
            "first_p50_us": self._first.get_value_at_percentile(50),
            "first_p99_us": self._first.get_value_at_percentile(99),
            "between_p50_us": self._between.get_value_at_percentile(50),
            "between_p99_us": self._between.get_value_at_percentile(99),
        }


async def measure_streams(address: str, count: int, parts: int, gap_ms: float) -> dict[str, Any]:
    """Measure streams through a gateway, one after the other: the times to the first part and between parts."""
    client, times, request = GrpcClient(address), StreamTimes(), encode_infer_request(parts, gap_ms)
    for _ in range(count):
        finished: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        times.start()
        client.call(
            SERVICE + "ModelStreamInfer",
            request,
            metadata(),
            lambda _data: times.on_part(),
            finished.set_result,
            STREAM_TIMEOUT_MS,
        )
        result = await finished
        assert result.code is not None and result.code == 0, result
    client.close()
    return {"streams": count, "parts": parts, "gap_ms": gap_ms} | times.percentiles()


async def measure_direct_streams(address: str, count: int, parts: int, gap_ms: float) -> dict[str, Any]:
    """Measure the same streams, directly from the worker."""
    times = StreamTimes()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    tensor = {"name": "x", "datatype": "FP32", "shape": [FEATURES], "data": [0.5] * FEATURES}
    parameters = {"stream": True, "form": "tensors", "parts": parts, "gap_ms": gap_ms}
    body = json.dumps({"id": "m", "inputs": [tensor], "parameters": parameters}).encode()

    def on_chunk(data: bytes) -> None:
        for _ in range(data.count(b"\n\n")):
            times.on_part()

    for _ in range(count):
        times.start()
        parser = ResponseReader(1 << 20)
        parser.on_chunk = on_chunk
        writer.write(encode_request("POST", "/v2/models/f/infer", "x", body))
        while parser.feed(await reader.read(65536)) is None:
            pass
    writer.close()
    return times.percentiles()


async def hold_streams(address: str, count: int) -> dict[str, Any]:
    """Hold `count` streams open, each waiting for its next part; print a line once all have started."""
    clients = [GrpcClient(address) for _ in range(max(1, count // STREAMS_PER_CONNECTION))]
    request, all_started = encode_infer_request(2, HELD_GAP_MS), asyncio.get_running_loop().create_future()
    started = 0

    def on_part(_data: bytes) -> None:
        nonlocal started
        started += 1
        if started == count and not all_started.done():
            all_started.set_result(None)

    for n in range(count):
        clients[n % len(clients)].call(
            SERVICE + "ModelStreamInfer", request, metadata(), on_part, lambda _result: None, STREAM_TIMEOUT_MS
        )
    await asyncio.wait_for(all_started, HELD_START_TIMEOUT_S)
    print(HELD_LINE, flush=True)
    await asyncio.sleep(HELD_S)
    return {"begun": started}


async def measure_handshakes(address: str, seconds: float, context: ssl.SSLContext) -> dict[str, Any]:
    """Measure new connections, 16 at once, each with a full handshake and one small request."""
    loop = asyncio.get_running_loop()
    end, count = loop.time() + seconds, 0
    host, _, port = address.rpartition(":")

    async def connect_repeatedly() -> None:
        nonlocal count
        while loop.time() < end:
            reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
            writer.write(encode_request("GET", "/api/v1", "x"))
            await reader.read(4096)
            writer.close()
            count += 1

    await asyncio.gather(*(connect_repeatedly() for _ in range(HANDSHAKES_AT_ONCE)))
    return {"per_s": count / seconds}


def main(part: str, address: str, *arguments: str) -> None:
    match part, arguments:
        case "closed", (seconds, *authority):
            context = ssl.create_default_context(cafile=authority[0]) if authority else None
            if context:
                context.set_alpn_protocols(["h2"])
            result = uvloop.run(measure_unary(address, float(seconds), context))
        case "streams", (count, parts, gap_ms):
            result = uvloop.run(measure_streams(address, int(count), int(parts), float(gap_ms)))
        case "direct", (count, parts, gap_ms):
            result = uvloop.run(measure_direct_streams(address, int(count), int(parts), float(gap_ms)))
        case "held", (count,):
            result = uvloop.run(hold_streams(address, int(count)))
        case "handshakes", (seconds, authority):
            context = ssl.create_default_context(cafile=authority)
            result = uvloop.run(measure_handshakes(address, float(seconds), context))
        case _:
            sys.exit(__doc__)
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
