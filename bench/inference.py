"""The second front beside the first and beside bare echoes; streams; TLS: `python bench/inference.py`.

Each process on a core of its own, echo workers.  Prints one JSON line a part: rates and CPU of unary calls, what
streams add, handshakes a second and what TLS costs a call, memory a stream.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import ssl
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram
from overhead import AUTH, STARTED, List, Process, load

from kelptrail.codec.http import ResponseReader, encode_request
from kelptrail.front.inference import inference_pb2 as pb
from kelptrail.front.inference.api import SERVICE
from kelptrail.net.grpc_client import CallResult, GrpcClient

HERE = Path(__file__).parent
PLACE = """(deployment bench
  (type t (effect repeatable) (target-ms 5000) (timeout-ms 10000))
  (namespace n (uuid "00000000-0000-0000-0000-000000000001") (key "k"))
  (action f (type t) (memory-mb 1) (lanes 4000))
  (rules (cold-ms 0) (free-loads 1000))
  (pool (connections 2000) (connect-ms 3000))
  (dispatcher (records 5000)) {tls})
"""


def metadata() -> dict[str, str]:
    import base64

    return {"authorization": "Basic " + base64.b64encode(AUTH.encode()).decode()}


def message(parts: int = 0, gap_ms: float = 0.0) -> bytes:
    request = pb.ModelInferRequest(model_name="f", id="1")
    request.inputs.add(name="x", datatype="FP32", shape=[16]).contents.fp32_contents.extend([0.5] * 16)
    if parts:
        request.parameters["parts"].int64_param = parts
        request.parameters["gap_ms"].double_param = gap_ms
    return request.SerializeToString()


async def closed_loop(address: str, at_once: int, seconds: float, tls: ssl.SSLContext | None) -> dict[str, Any]:
    """Unary calls over 4 connections, so many at once."""
    loop = asyncio.get_running_loop()
    clients = [GrpcClient(address, tls=(lambda: tls) if tls else None) for _ in range(4)]
    times, codes = HdrHistogram(1, 60_000_000, 3), dict[str, int]()
    end, data, done, calls = loop.time() + seconds, message(), loop.create_future(), 0
    running = at_once

    def one(client: GrpcClient) -> None:
        nonlocal running
        if loop.time() >= end:
            running -= 1
            if not running:
                done.set_result(None)
            return
        began = time.perf_counter()

        def over(ended: CallResult) -> None:
            nonlocal calls
            times.record_value(max(1, int((time.perf_counter() - began) * 1e6)))
            name = ended.code.name if ended.code is not None else ended.text
            codes[name] = codes.get(name, 0) + 1
            calls += 1
            one(client)

        client.call(SERVICE + "ModelInfer", data, metadata(), lambda _: None, over, 10_000.0)

    for n in range(at_once):
        one(clients[n % 4])
    await done
    for client in clients:
        client.close()
    return {
        "calls": calls,
        "per_s": calls / seconds,
        "p50_us": times.get_value_at_percentile(50),
        "p99_us": times.get_value_at_percentile(99),
        "codes": codes,
    }


async def streams(address: str, count: int, parts: int, gap_ms: float) -> dict[str, Any]:
    """Streams one after the other, or at once; when parts come."""
    loop = asyncio.get_running_loop()
    client = GrpcClient(address)
    first, between = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
    data = message(parts, gap_ms)

    async def one() -> None:
        began, last, done = time.perf_counter(), 0.0, loop.create_future()

        def part(_data: bytes) -> None:
            nonlocal last
            now = time.perf_counter()
            (between if last else first).record_value(max(1, int((now - (last or began)) * 1e6)))
            last = now

        client.call(SERVICE + "ModelStreamInfer", data, metadata(), part, done.set_result, 60_000.0)
        ended = await done
        assert ended.code is not None and ended.code == 0, ended

    for _ in range(count):
        await one()
    client.close()
    return {
        "streams": count,
        "parts": parts,
        "gap_ms": gap_ms,
        "first_p50_us": first.get_value_at_percentile(50),
        "first_p99_us": first.get_value_at_percentile(99),
        "between_p50_us": between.get_value_at_percentile(50),
        "between_p99_us": between.get_value_at_percentile(99),
    }


async def direct(address: str, count: int, parts: int, gap_ms: float) -> dict[str, Any]:
    """The same streams, straight from the worker."""
    first, between = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    body = json.dumps(
        {
            "id": "m",
            "inputs": [{"name": "x", "datatype": "FP32", "shape": [16], "data": [0.5] * 16}],
            "parameters": {"stream": True, "form": "tensors", "parts": parts, "gap_ms": gap_ms},
        }
    ).encode()
    for _ in range(count):
        began, last = time.perf_counter(), 0.0
        parser = ResponseReader(1 << 20)

        def piece(data: bytes) -> None:
            nonlocal last
            for _ in range(data.count(b"\n\n")):
                now = time.perf_counter()
                (between if last else first).record_value(max(1, int((now - (last or began)) * 1e6)))  # noqa: B023
                last = now

        parser.on_chunk = piece
        writer.write(encode_request("POST", "/v2/models/f/infer", "x", body))
        while parser.feed(await reader.read(65536)) is None:
            pass
    writer.close()
    return {
        "first_p50_us": first.get_value_at_percentile(50),
        "first_p99_us": first.get_value_at_percentile(99),
        "between_p50_us": between.get_value_at_percentile(50),
        "between_p99_us": between.get_value_at_percentile(99),
    }


async def held(address: str, count: int) -> int:
    """So many streams at once, each waiting for its next part; returns once all have begun."""
    clients = [GrpcClient(address) for _ in range(max(1, count // 500))]
    begun, ready = 0, asyncio.get_running_loop().create_future()

    def part(_data: bytes) -> None:
        nonlocal begun
        begun += 1
        if begun == count and not ready.done():
            ready.set_result(None)

    for n in range(count):
        clients[n % len(clients)].call(
            SERVICE + "ModelStreamInfer", message(2, 8000.0), metadata(), part, lambda _ended: None, 60_000.0
        )
    await asyncio.wait_for(ready, 60)
    print("held", flush=True)
    await asyncio.sleep(6)
    return begun


async def handshakes(address: str, seconds: float, context: ssl.SSLContext) -> dict[str, Any]:
    """New connections, 16 at once, each with a full handshake and one small request."""
    loop = asyncio.get_running_loop()
    end, count = loop.time() + seconds, 0
    host, _, port = address.rpartition(":")

    async def one() -> None:
        nonlocal count
        while loop.time() < end:
            reader, writer = await asyncio.open_connection(host, int(port), ssl=context)
            writer.write(encode_request("GET", "/api/v1", "x"))
            await reader.read(4096)
            writer.close()
            count += 1

    await asyncio.gather(*(one() for _ in range(16)))
    return {"per_s": count / seconds}


def pinned(core: int, *words: str) -> dict[str, Any]:
    """A part of this file as a process on a core."""
    done = subprocess.run(
        [sys.executable, __file__, *words],
        capture_output=True,
        text=True,
        check=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )
    return json.loads(done.stdout.strip().splitlines()[-1])


def middle(rows: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        key: round(statistics.median(r[key] for r in rows), 1)
        for key in rows[0]
        if isinstance(rows[0][key], int | float)
    } | {"codes": rows[-1].get("codes", rows[-1].get("statuses"))}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="*")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    if options.part:
        name, address, *rest = options.part
        if name == "closed":
            context = ssl.create_default_context(cafile=rest[1]) if len(rest) > 1 else None
            if context:
                context.set_alpn_protocols(["h2"])
            out: Any = uvloop.run(closed_loop(address, 32, float(rest[0]), context))
        elif name == "streams":
            out = uvloop.run(streams(address, int(rest[0]), int(rest[1]), float(rest[2])))
        elif name == "direct":
            out = uvloop.run(direct(address, int(rest[0]), int(rest[1]), float(rest[2])))
        elif name == "held":
            out = {"begun": uvloop.run(held(address, int(rest[0])))}
        else:
            context = ssl.create_default_context(cafile=rest[1])
            out = uvloop.run(handshakes(address, float(rest[0]), context))
        print(json.dumps(out), flush=True)
        return
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        keys = [sys.executable, "-m", "kelptrail", "keys"]
        for words in (["init", name], ["issue", name, "front", "--server", "--also", "127.0.0.1"]):
            subprocess.run([*keys, *words], check=True, capture_output=True)
        (folder / "plain.sexp").write_text(PLACE.format(tls=""))
        (folder / "tls.sexp").write_text(PLACE.format(tls='(tls front (certificate "front.pem"))'))
        echo = Process(0, sys.executable, str(HERE / "echo_worker.py"))
        roster = List([echo.address], 1)
        words = [sys.executable, "-m", "kelptrail", "--log-level", "error", "serve"]
        plain = Process(2, *words, str(folder / "plain.sexp"), "--roster", roster.process.address)
        secure = Process(3, *words, str(folder / "tls.sexp"), "--roster", roster.process.address)
        bares = {
            kind: Process(5, sys.executable, str(HERE / "grpc_echo.py"), kind)
            for kind in ("h2", "ours", "grpcio", "grpcio-uvloop")
        }
        authority, seconds = str(folder / "authority.pem"), str(options.seconds)
        cases: dict[str, tuple[Process, str, list[str]]] = {
            "gateway, gRPC": (plain, plain.said["grpc"], []),
            "gateway, gRPC under TLS": (secure, secure.said["grpc"], [authority]),
            **{f"echo, {kind}": (process, process.address, []) for kind, process in bares.items()},
        }
        rows: dict[str, list[dict[str, Any]]] = {}
        target = "/api/v1/namespaces/_/actions/f?blocking=true&result=true"
        for _ in range(options.runs):
            for case, (process, address, more) in cases.items():
                before = process.cpu_s()
                run = pinned(4, "closed", address, seconds, *more)
                run["cpu_us"] = (process.cpu_s() - before) / run["calls"] * 1e6
                rows.setdefault(case, []).append(run)
            before = plain.cpu_s()
            run = load(4, plain.address, target, 32, options.seconds)
            run["cpu_us"] = (plain.cpu_s() - before) / run["calls"] * 1e6
            rows.setdefault("gateway, invoke API", []).append(run)
        for case, found in rows.items():
            print(json.dumps({"case": case} | middle(found)), flush=True)
        shake = [pinned(4, "handshakes", secure.address, seconds, authority) for _ in range(options.runs)]
        print(json.dumps({"case": "TLS handshakes"} | middle(shake)), flush=True)
        store = Process(1, sys.executable, "-m", "kelptrail", "emulate", "model-store", str(folder / "plain.sexp"))
        roster = List([], 1)
        runner = Process(
            0,
            sys.executable,
            "-m",
            "kelptrail",
            "emulate",
            "worker",
            str(folder / "plain.sexp"),
            "--id",
            "w",
            "--store",
            store.address,
            "--roster",
            roster.process.address,
            "--warm",
        )
        flows = Process(2, *words, str(folder / "plain.sexp"), "--roster", roster.process.address)
        time.sleep(1)
        pinned(4, "streams", flows.said["grpc"], "5", "3", "1")
        for parts, gap in ((20, 5.0),):
            print(
                json.dumps(
                    {"case": "streams through the gateway"}
                    | pinned(4, "streams", flows.said["grpc"], "60", str(parts), str(gap))
                ),
                flush=True,
            )
            print(
                json.dumps(
                    {"case": "streams straight from the worker"}
                    | pinned(4, "direct", runner.address, "60", str(parts), str(gap))
                ),
                flush=True,
            )
        before_mb, count = flows.memory_mb(), 1000
        child = subprocess.Popen(
            [sys.executable, __file__, "held", flows.said["grpc"], str(count)], stdout=subprocess.PIPE, text=True
        )
        assert child.stdout is not None and child.stdout.readline().strip() == "held"
        print(
            json.dumps(
                {
                    "case": "memory a stream",
                    "streams": count,
                    "kb": round((flows.memory_mb() - before_mb) * 1000 / count, 1),
                }
            ),
            flush=True,
        )
        child.wait()


if __name__ == "__main__":
    try:
        main()
    finally:
        for child in STARTED:
            child.end()
