"""The platform's program under load: with faulty workers and signals, and its use of memory and descriptors."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import gc
import json
import os
import random
import signal
import socket
import sys
import tracemalloc
from pathlib import Path
from typing import Any

import pytest
from platform_fixture import CLASS, SETTINGS, Client, PlatformFixture, WorkerStub, echo, event, run

from kelptrail.codec import frames

pytestmark = pytest.mark.timed  # these tests measure time and run one after another

REQUEST_CLASSES = [
    CLASS | {"give_up_us": 2000000, "aim_us": 300000},
    CLASS | {"name": "k", "effect": "guarded", "window_us": 700000, "give_up_us": 2000000},
    CLASS | {"name": "o", "effect": "single_shot", "give_up_us": 2000000},
]
SLACK_S = 0.25  # scheduling delay of a busy machine


class UnreliableWorker(WorkerStub):
    """Handles each call as a seeded generator chooses, after up to 30 ms, and records the behavior in `behaviors`.

    It returns the result once or twice, returns an error, reports that the function is not loaded or that it has no
    capacity, sends a malformed answer, resets the connection, or does not answer.
    """

    def __init__(self, rng: random.Random, behaviors: dict[bytes, list[str]]) -> None:
        super().__init__(self.answer_call)
        self.rng, self.behaviors, self.last_command_at = rng, behaviors, 0.0

    @property
    def load(self) -> bytes:
        """The answer to a load order, no capacity in one of ten cases; reading it records the time of the order."""
        self.last_command_at = asyncio.get_running_loop().time()
        return self.rng.choice([b"OK units=1 0"] * 9 + [b"BUSY units=0 0"])

    @load.setter
    def load(self, _: bytes) -> None:
        pass  # `WorkerStub` sets it, but the answer is drawn for each order

    def answer_call(self, _: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        self.last_command_at = loop.time()
        behavior = self.rng.choice(["good"] * 70 + ["twice", "MISS", "MISS", "BUSY", "ERR", "noise", "break", "silent"])
        self.behaviors[id_].append(behavior)
        good = b"%b OK tell=up,ahead=1 %d\r\n%b\r\n" % (id_, len(body), body)
        reply = {"good": good, "twice": good + good, "noise": b"\0\xff nonsense\r\n", "silent": b"", "break": b""}.get(
            behavior, b"%b %b - 0\r\n\r\n" % (id_, behavior.encode())
        )

        def send_reply() -> None:
            with contextlib.suppress(RuntimeError):
                writer.write(reply)
                if behavior == "break":
                    writer.transport.abort()

        loop.call_later(self.rng.random() * 0.03, send_reply)


class Caller:
    """One client that generates load: sends requests, and records each answer with its time, code and body."""

    def __init__(self, client: Client, base: int) -> None:
        self.client, self.base, self.sent, self.answers = client, base, dict[int, tuple[float, float, str]](), {}
        self.accepts_more = True  # False once the dispatcher has sent GOAWAY: the test sends no more requests here
        self.received: dict[int, list[tuple[float, int, bytes]]] = collections.defaultdict(list)
        self._reader = asyncio.create_task(self._read())

    def send_request(self, n: int, kind: str, limit_ms: int) -> None:
        now = asyncio.get_running_loop().time()
        self.sent[n] = now, now + limit_ms / 1000, kind
        self.client.send_request(
            n,
            b"%d" % (self.base + n),
            verb=kind,
            txn=f"{self.base + n:016x}",
            limit=str(limit_ms),
            item=f"{n % 7:016x}",
            unique=f"u{self.base + n}" if kind == "k" else None,
        )

    @property
    def unanswered_count(self) -> int:
        return len(self.sent) - len(self.received)

    async def _read(self) -> None:
        with contextlib.suppress(TimeoutError):
            while (frame := await self.client.next_frame(10)) is not None:
                kind, stream, payload = frame
                if kind == frames.GO_AWAY:
                    self.accepts_more = False
                elif kind == frames.ANSWER:
                    _, end = frames.read_fields(payload[1:])
                    self.received[stream].append((asyncio.get_running_loop().time(), payload[0], payload[1 + end :]))

    def close(self) -> None:
        self._reader.cancel()
        self.client.writer.close()


@pytest.mark.parametrize("seed", range(3))
def test_requests_under_faults_get_one_answer_each_and_no_second_effect(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(SETTINGS, "classes", REQUEST_CLASSES)

    async def main() -> None:
        rng, behaviors = random.Random(seed), collections.defaultdict[bytes, list[str]](list)
        workers = [UnreliableWorker(rng, behaviors) for _ in range(4)]
        async with PlatformFixture(*workers) as platform:
            loop = asyncio.get_running_loop()
            callers = [Caller(await platform.client(), 1000 * (n + 1)) for n in range(8)]
            drained_at = 0.0
            for n in range(1, 121):
                for caller in callers:
                    if caller.unanswered_count < 24:
                        caller.send_request(n, rng.choice("ttko"), rng.choice((400, 800, 1500)))
                if n == 60:  # one worker drains; a reload without changes at the same time must not lose the event
                    endpoint = platform.configuration["known"]["entries"][0]["hosts"]["targets"][3]["endpoint"]
                    port = int(endpoint.rpartition(":")[2])
                    platform.push(event(2, 2, (3, port, 1)))
                    platform.service.reload(platform.service.config)
                    drained_at = loop.time()
                await asyncio.sleep(0.03)
            async with asyncio.timeout(4):
                while any(caller.unanswered_count for caller in callers):
                    await asyncio.sleep(0.05)
            await asyncio.sleep(0.1)  # no second answer may arrive
            code_counts = collections.Counter[int]()
            for caller in callers:
                for n, (_, deadline, kind) in caller.sent.items():
                    ((at, code, body),) = caller.received[n]
                    code_counts[code] += 1
                    assert at <= deadline + SLACK_S, "answer after the deadline"
                    may_have_run = [
                        behavior
                        for behavior in behaviors[f"{caller.base + n:016x}".encode()]
                        if behavior not in ("MISS", "BUSY")
                    ]
                    assert (code == frames.SERVED) <= (body == b"%d" % (caller.base + n)), (
                        "served with a body that is not the worker's answer to this request"
                    )
                    if kind == "o":
                        assert len(may_have_run) <= 1, "at-most-once request may have run twice"
                        assert not (may_have_run and code == frames.REFUSED), "rejected request may have run"
                caller.close()
            assert code_counts[frames.SERVED] > 0.5 * sum(code_counts.values()) and sum(code_counts.values()) > 700
            assert platform.service.last_event_number == 2 and workers[3].last_command_at < drained_at + 0.5, (
                "drain event not applied, or the drained worker still received commands"
            )
            async with asyncio.timeout(4):
                while platform.service.engine.requests:  # until unanswered attempts have timed out
                    await asyncio.sleep(0.05)

    run(main())


def test_signals_under_load_lose_no_request(tmp_path: Path) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            file = tmp_path / "c.json"
            file.write_text(json.dumps(platform.configuration | {"listen": f"127.0.0.1:{port}"}))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "kelptrail.platform",
                env=os.environ | {"LB_CONFIG": str(file)},
                stdout=asyncio.subprocess.PIPE,
            )
            assert process.stdout is not None and b"list number=1" in await process.stdout.readline()
            callers: list[Caller] = []
            while len(callers) < 6:
                with contextlib.suppress(ConnectionRefusedError):
                    client = Client(*await asyncio.open_connection("127.0.0.1", port))
                    callers.append(Caller(client, 1000 * len(callers) + 1000))
                await asyncio.sleep(0.02)
            for n in range(1, 400):
                for caller in callers:
                    if caller.accepts_more and caller.unanswered_count < 20:
                        caller.send_request(n, "t", 1500)
                if n == 100:
                    process.send_signal(signal.SIGHUP)
                if n == 200:
                    process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.005)
            assert await process.wait() == 0
            assert all(len(caller.sent) > 100 and not caller.accepts_more for caller in callers), (
                "client sent at most 100 requests, or received no GOAWAY"
            )
            assert all(len(c.received[n]) == 1 for c in callers for n in c.sent), (
                "request without an answer, or with more than one"
            )
            codes = collections.Counter(code for c in callers for n in c.sent for _, code, _ in c.received[n])
            # A machine that stalls may cause rejections, but a signal must not cause failures.
            assert codes.keys() <= {frames.SERVED, frames.REFUSED} and codes[frames.SERVED] > codes[frames.REFUSED]

    run(main())


def test_memory_and_descriptors_do_not_grow_with_connections_and_request_ids() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            samples: list[tuple[int, int]] = []
            tracemalloc.start()
            for phase in range(5):
                for n in range(80):
                    callers: list[Any] = [Caller(await platform.client(), 10**6 * phase + 100 * n) for _ in range(3)]
                    for number, caller in enumerate(callers):
                        caller.base += 10 * number
                        caller.send_request(1, "t", 100)
                        caller.send_request(2, "t", 100)
                    async with asyncio.timeout(2):
                        while any(caller.unanswered_count for caller in callers):
                            await asyncio.sleep(0.002)
                    for caller in callers:
                        caller.close()
                await asyncio.sleep(0.3)
                gc.collect()
                samples.append((tracemalloc.get_traced_memory()[0], len(os.listdir("/proc/self/fd"))))
            tracemalloc.stop()
            assert not platform.service.engine.requests and not len(platform.service.client_server.connections)
            assert samples[-1][1] <= samples[1][1] + 4, "more than 4 further descriptors are open after three phases"
            assert samples[-1][0] - samples[2][0] < 150_000, "memory grew by 150 kB or more over 960 requests"

    run(main())
