"""A seeded fuzz of the platform's program: its processes between clients, workers and an endpoint list that behave at
random, and signals.  What passed over the sockets is checked against the five rules and two further terms.

    python bench/door_fuzz.py --days 20 --seed 1

A run (`day`) takes some seconds.  The random choices are the seed's, their times the machine's.  Exit code 1 where a
rule is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from kelptrail.codec import frames

SLACK_S = 0.25  # for a machine that is busy otherwise: the fuzz looks for faults, not for milliseconds
LEFT_S = 0.1  # an attempt may begin so long after its client left
GRACE_S = 0.5
WINDOW_S = 0.7
LIMITS_MS = (300, 700, 1500)
EFFECTS = {"t": "free", "k": "guarded", "o": "single_shot"}
NEVER_RAN = {"MISS", "BUSY", "VOID"}


def settings() -> dict[str, Any]:
    """The settings object, with names and figures of no deployment."""
    classes = [
        {
            "name": name,
            "effect": effect,
            "aim_us": 200_000,
            "gain": 1.0,
            "late_worth": 0.2,
            "give_up_us": 2_000_000,
            "key_scope": "all",
            "window_us": int(WINDOW_S * 1e6),
        }
        for name, effect in EFFECTS.items()
    ]
    return {
        "my_zone": 0,
        "failure_domains": ["p", "q"],
        "models": ["m"],
        "classes": classes,
        "customers": [{"name": "acme", "allowance_per_s": 100.0}],
        "report": {"fields": ["cpu", "x1", "x0"]},
        "rules": {
            "tip_multiple": 3.0,
            "fall_us": 2_000_000,
            "start_capacity": 0.3,
            "cold_us": 5_000_000,
            "stop_sending_within_us": int(GRACE_S * 1e6),
        },
        "bounds": {
            "parallel_tries": True,
            "may_cancel": True,
            "max_attempts": 6,
            "retry_after": True,
            "max_retry_after_us": 500_000,
            "connect_timeout_us": 200_000,
            "idle_close_us": 10_000_000,
            "multiplex": 100,
        },
        "specifics": {
            "says_warm": True,
            "idle_life_us": 5_000_000,
            "load_control": True,
            "free_loads": 20.0,
            "load_share": 0.5,
            "load_span_us": 5_000_000,
            "answer_within_us": 3_000_000,
            "machine_mb": [50_000.0],
        },
    }


@dataclass(slots=True)
class SentRequest:
    """A request as its client sees it.  Times are seconds of the monotonic clock."""

    id: str
    kind: str
    process: int
    written_at: float  # its last byte
    limit_s: float
    deadline: float
    client_left_at: float | None = None  # cancelled, or its connection closed by the client
    closed_at: float | None = None  # its connection was closed by the dispatcher
    after_idle: bool = False  # its connection was idle for a while before it
    answers: list[tuple[float, int, bytes]] = field(default_factory=list)


class Day:
    """One run of one seed."""

    limits_ms = LIMITS_MS

    def __init__(self, seed: int, seconds: float, folder: Path, processes: int) -> None:
        self.rng, self.seconds, self.folder = random.Random(seed), seconds, folder
        self.requests: dict[str, SentRequest] = {}
        self.calls: dict[str, list[tuple[float, str, int]]] = collections.defaultdict(list)  # begun, end, worker
        self.bodies: set[bytes] = set()
        self.drained_at: dict[int, float] = {}  # workers that drain or went, and when the list's event was written
        self.worker_attempts: list[tuple[float, int]] = []
        self.events: list[bytes] = []
        self.entries: list[dict[str, Any]] = []
        self.kill_times: list[tuple[int, float]] = []
        self.problems: list[str] = []
        self.signal_counts: collections.Counter[str] = collections.Counter()
        self.ports: list[int] = []
        self.processes: list[asyncio.subprocess.Process | None] = [None] * processes
        self.addresses = [(f"127.0.{7 + seed % 200}.{n + 1}", 0) for n in range(processes)]
        self.running = True
        self.started_ids: set[str] = set()  # requests of which something was written

    # The workers.

    async def worker(self, number: int) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, RuntimeError, asyncio.IncompleteReadError, ValueError):
                while line := await reader.readline():
                    word, id_, *rest = line.decode().split()
                    if word == "LOAD":
                        await asyncio.sleep(self.rng.random() * 0.05)
                        says = self.rng.choice(["OK units=1"] * 9 + ["BUSY units=0"])
                        writer.write(f"{id_} {says} 0\r\n\r\n".encode())
                    elif word == "CALL":
                        body = (await reader.readexactly(int(rest[-1]) + 2))[:-2]
                        self._answer_call(number, id_, body, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.ports.append(server.sockets[0].getsockname()[1])

    def _answer_call(self, number: int, id_: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        now, loop = time.monotonic(), asyncio.get_running_loop()
        behavior = self.rng.choice(
            ["OK"] * 60
            + ["MISS", "MISS", "MISSES", "BUSY", "ERR", "noise", "break", "silent", "half", "twice", "late", "VOID"]
        )
        self.calls[id_].append((now, behavior, number))
        self.worker_attempts.append((now, number))
        made = b"%d %s" % (number, body)
        self.bodies.add(made)
        good = b"%s OK tell=up,ahead=0 %d\r\n%s\r\n" % (id_.encode(), len(made), made)
        plain = b"%s %s - 0\r\n\r\n" % (id_.encode(), behavior[:4].encode())
        says = {
            "OK": good,
            "late": good,
            "twice": good + good,
            "noise": b"\0\xffno line\r\n",
            "half": good[:-5],
            "silent": b"",
            "break": b"",
        }.get(behavior, plain)

        def say() -> None:
            with contextlib.suppress(RuntimeError, OSError):
                writer.write(says)
                if behavior in ("break", "half"):
                    writer.close()
                if behavior == "MISSES":  # a second answer some milliseconds later
                    loop.call_later(0.02 * self.rng.random(), writer.write, says)

        loop.call_later(1.0 if behavior == "late" else self.rng.random() * 0.04, say)

    # The endpoint list.

    async def list(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, RuntimeError, asyncio.IncompleteReadError):
                at = int.from_bytes(await reader.readexactly(8), "big")
                behavior = self.rng.choice(["tell"] * 6 + ["break", "twice"])
                while self.running:
                    for data in self.events[at - 1 :]:
                        if behavior == "break" and self.rng.random() < 0.2:
                            writer.write(data[:9])
                            return
                        writer.write(data * (2 if behavior == "twice" else 1))
                        at += 1
                    writer.write(struct.pack(">IQB", 9, at, 0))
                    await asyncio.sleep(0.1)
            writer.close()

        self.lists = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(2)]
        self.list_addresses = [f"127.0.0.1:{each.sockets[0].getsockname()[1]}" for each in self.lists]

    def publish_event(self, *changes: tuple[int, int, int]) -> None:
        """An event: ids, the workers behind them, states."""
        number = 2 + len(self.events)
        records = b"".join(
            struct.pack(">I4sHBBBHIQ", id_, bytes((127, 0, 0, 1)), self.ports[worker], state, 0, 0, 0, 1000, 0)
            for id_, worker, state in changes
        )
        self.events.append(struct.pack(">IQB", 9 + len(records), number, 2) + records)
        states = ("in_service", "terminating", "terminated")
        targets = [self._target(id_, worker, states[state]) for id_, worker, state in changes]
        self.entries.append({"pos": number, "hosts": {"rev": number, "all": False, "targets": targets}})

    def _target(self, id_: int, worker: int, state: str) -> dict[str, Any]:
        return {
            "uid": f"s-{id_:08x}",
            "endpoint": f"127.0.0.1:{self.ports[worker]}",
            "az": "p",
            "model": "m",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": 0,
        }

    # The processes.

    def configuration(self, n: int) -> str:
        host, port = self.addresses[n]
        return json.dumps(
            {
                "name": f"n{n}",
                "listen": f"{host}:{port}",
                "seed": f"{self.rng.getrandbits(60):x}",
                "limits": {"cores": 1, "memory_mb": 64, "sockets": 128},
                "journal": self.rng.choice(self.list_addresses),
                "known": {"pos": self.entries[-1]["pos"], "entries": self.entries},
                "settings": settings(),
            }
        )

    async def start(self, n: int) -> None:
        file = self.folder / f"c{n}.json"
        if not self.addresses[n][1]:
            with socket.socket() as free:
                free.bind((self.addresses[n][0], 0))
                self.addresses[n] = free.getsockname()
        file.write_text(self.configuration(n))
        with open(self.folder / f"log{n}", "ab") as log:
            self.processes[n] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "kelptrail.platform",
                env=os.environ | {"LB_CONFIG": str(file)},
                stdout=log,
                stderr=log,
            )
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.addresses[n])
                writer.close()
                return
            await asyncio.sleep(0.02)
        self.problems.append(f"process {n} did not start")

    async def send_signals(self, n: int) -> None:
        """Signals to one process, for as long as the run lasts."""
        while self.running:
            await asyncio.sleep(0.2 + self.rng.random() * 1.2)
            process, behavior = self.processes[n], self.rng.choice(["HUP", "HUP", "half", "TERM", "KILL"])
            if process is None or not self.running:
                continue
            self.signal_counts[behavior] += 1
            if behavior in ("HUP", "half"):
                whole, file = self.configuration(n), self.folder / f"c{n}.json"
                file.write_text(whole[: self.rng.randrange(len(whole))] if behavior == "half" else whole)
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.08)
                file.write_text(whole)
            else:
                await self.stop(n, behavior)
                await self.start(n)

    async def stop(self, n: int, behavior: str) -> None:
        process = self.processes[n]
        assert process is not None
        if process.returncode is not None:
            self.problems.append(f"process {n} ended by itself with {process.returncode}")
            return
        if behavior == "KILL":
            self.kill_times.append((n, time.monotonic()))
            process.kill()
            await process.wait()
            return
        process.send_signal(signal.SIGTERM)
        if self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.random() * 0.8)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(self.rng.choice([signal.SIGTERM, signal.SIGHUP]))
        try:
            code = await asyncio.wait_for(process.wait(), 5.0)
        except TimeoutError:
            self.problems.append(f"process {n} did not end")
            process.kill()
            return
        if code:
            self.problems.append(f"process {n} ended with {code}")

    # The clients.

    async def client(self) -> None:
        while self.running:
            n = self.rng.randrange(len(self.addresses))
            with contextlib.suppress(OSError, RuntimeError):  # the connection has ended
                await self._connection(n)
            await asyncio.sleep(self.rng.random() * 0.05)

    async def _connection(self, n: int) -> None:
        reader, writer = await asyncio.open_connection(*self.addresses[n])
        sent: dict[int, SentRequest] = {}
        state = {"away": False}
        reader_task = asyncio.create_task(self._read_answers(reader, sent, state))
        how = self.rng.choice(["usual"] * 6 + ["slow", "flood", "leaves", "resets", "garbage", "half"])
        stream = 0
        try:
            for _ in range(self.rng.randrange(1, 12)):
                if not self.running or state["away"] or reader_task.done():
                    break
                for _ in range(self.rng.randrange(8, 24) if how == "flood" else self.rng.choice((1, 1, 3))):
                    if sum(not each.answers and each.client_left_at is None for each in sent.values()) >= 30:
                        break  # as many as a connection may have open
                    stream += 1
                    request, data = self._request(n, stream)
                    request.after_idle = all(
                        each.answers
                        or each.client_left_at is not None
                        or (each.after_idle and time.monotonic() - each.written_at < 0.05)
                        for each in sent.values()
                    )
                    sent[stream] = request
                    if how == "slow":
                        for at in range(0, len(data), 60):
                            writer.write(data[at : at + 60])
                            await asyncio.sleep(0.01)
                    if reader_task.done() or writer.is_closing():
                        return
                    self.requests[request.id] = request
                    if how != "slow":
                        writer.write(data)
                    now = time.monotonic()
                    request.written_at, request.deadline = now, now + request.limit_s
                    if self.rng.random() < (0.5 if how == "flood" else 0.05):
                        writer.write(frames.encode_frame(frames.CANCEL, stream))
                        request.client_left_at = time.monotonic()
                await asyncio.sleep(self.rng.random() * 0.06)
                if how in ("leaves", "resets", "half", "garbage") and self.rng.random() < 0.4:
                    break
            if how in ("leaves", "resets", "half", "garbage"):
                now = time.monotonic()
                for request in sent.values():
                    if not request.answers and request.client_left_at is None:
                        request.client_left_at = now
                if how == "garbage":  # it is answered with an error and closed; its open requests have no client
                    writer.write(self.rng.randbytes(40))
                    await asyncio.sleep(0.1)
                elif how == "half":
                    writer.write_eof()
                    await asyncio.sleep(0.1)
                elif how == "resets" and (sock := writer.transport.get_extra_info("socket")) is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
            async with asyncio.timeout(2.5):
                while not reader_task.done() and any(
                    not each.answers and each.client_left_at is None for each in sent.values()
                ):
                    await asyncio.sleep(0.01)
        except TimeoutError:
            pass
        finally:
            now = time.monotonic()
            for request in sent.values():
                if (
                    not request.answers
                    and request.client_left_at is None
                    and not reader_task.done()
                    and now < request.deadline
                ):
                    request.client_left_at = now
            await asyncio.sleep(0.01)
            reader_task.cancel()
            writer.close()

    def _request(self, n: int, stream: int) -> tuple[SentRequest, bytes]:
        kind, limit, id_ = (
            self.rng.choice("ttko"),
            self.rng.choice(self.limits_ms),
            self.rng.randbytes(8).hex(),
        )
        told = {
            "verb": kind,
            "txn": id_,
            "limit": str(limit),
            "team": "acme",
            "info": "memory_mb:300;lanes:4",
            "item": f"{self.rng.randrange(9):016x}",
        } | ({"unique": f"u{id_}"} if kind == "k" else {})
        self.started_ids.add(id_)
        size = self.rng.choice((0, 40, 40, 2000, 16_000))
        data = frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(told) + id_.encode() + bytes(size))
        return SentRequest(id_, kind, n, 0.0, limit / 1000, 0.0), data

    async def _read_answers(
        self, reader: asyncio.StreamReader, sent: dict[int, SentRequest], state: dict[str, bool]
    ) -> None:
        found = frames.FrameReader(1 << 20)
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                now = time.monotonic()
                found.feed(data)
                while (frame := found.next()) is not None:
                    kind, stream, payload = frame
                    if kind == frames.GO_AWAY:
                        state["away"] = True
                    elif kind == frames.ANSWER and stream in sent:
                        _, end = frames.read_fields(payload[1:])
                        sent[stream].answers.append((now, payload[0], payload[1 + end :]))
                if self.rng.random() < 0.02:
                    await asyncio.sleep(0.05)  # it reads slowly
        now = time.monotonic()
        for request in sent.values():
            request.closed_at = now

    # The run and its checks.

    async def play(self) -> None:
        for n in range(4):
            await self.worker(n)
        await self.list()
        first = [self._target(n, n, "in_service") for n in range(3)]
        self.entries.append({"pos": 1, "hosts": {"rev": 1, "all": True, "targets": first}})
        await asyncio.gather(*(self.start(n) for n in range(len(self.addresses))))
        tasks = [asyncio.create_task(self.client()) for _ in range(10)]
        tasks += [asyncio.create_task(self.send_signals(n)) for n in range(len(self.addresses))]
        step = self.seconds / 4
        await asyncio.sleep(step)
        self.publish_event((0, 0, 1))  # the first drains; a new one comes
        self.drained_at[0] = time.monotonic()
        self.publish_event((9, 3, 0))
        await asyncio.sleep(step)
        self.publish_event((0, 0, 2))
        await asyncio.sleep(2 * step)
        self.running = False
        await asyncio.gather(*tasks)
        for n in range(len(self.addresses)):
            await self.stop(n, "TERM")
        await asyncio.sleep(0.2)  # the lists' connections end
        self.judge()

    def judge(self) -> None:
        for request in self.requests.values():
            for problem in self._problems_of(request):
                self.problems.append(f"{request.id} ({request.kind}, process {request.process}): {problem}")
        if 0 in self.drained_at and (
            late := [
                at
                for at, number in self.worker_attempts
                if number == 0 and (at > self.drained_at[0] + GRACE_S + 1.0 + SLACK_S)
            ]
        ):  # a list that breaks may tell a second late
            self.problems.append(
                f"{len(late)} sends to one that drains, the last {late[-1] - self.drained_at[0]:.2f} s on"
            )
        made = collections.Counter(id_ for id_ in self.calls)
        if unknown := [id_ for id_ in made if id_ not in self.requests and id_ not in self.started_ids]:
            self.problems.append(f"attempts for unknown requests: {unknown[:3]}")

    def _problems_of(self, request: SentRequest) -> list[str]:
        calls, out = self.calls.get(request.id, []), []
        ran = [call for call in calls if call[1][:4] not in NEVER_RAN]
        codes = [code for _, code, _ in request.answers]
        if len(codes) > 1:
            out.append(f"{len(codes)} answers: {codes}")
        if request.client_left_at is not None:
            if begun := [
                at - request.client_left_at for at, _, _ in calls if at > request.client_left_at + LEFT_S + SLACK_S / 2
            ]:
                out.append(f"an attempt began {begun[-1]:.3f} s after its client left")
        elif not codes:
            killed = any(
                n == request.process and request.written_at - 0.05 <= at <= request.deadline + 0.05
                for n, at in self.kill_times
            )
            crossed = (
                not calls and request.closed_at is not None and request.closed_at - request.written_at < 0.05 + SLACK_S
            )
            if not killed and not crossed:
                out.append(
                    f"no answer; calls {[c[1] for c in calls]}, ended "
                    f"{None if request.closed_at is None else round(request.closed_at - request.written_at, 3)} s on"
                )
        elif request.answers[0][0] > request.deadline + SLACK_S:
            out.append(f"answered {request.answers[0][0] - request.deadline:.3f} s late")
        for _, code, body in request.answers:
            if code == frames.SERVED and (body not in self.bodies or request.id.encode() not in body):
                out.append("served what no worker made")
        if request.kind == "o" and len(ran) > 1:
            out.append(f"once-only ran {len(ran)} times: {[c[1] for c in calls]}")
        if request.kind == "o" and ran and frames.REFUSED in codes:
            out.append("once-only refused though it may have run")
        if request.kind == "k" and ran and calls[-1][0] > ran[0][0] + WINDOW_S + 0.05 + SLACK_S / 2:
            out.append(f"a repeat {calls[-1][0] - ran[0][0]:.3f} s after the first")
        if out:
            out.append(f"calls {[(round(at - request.written_at, 3), behavior, n) for at, behavior, n in calls]}")
        return out


def play(seed: int, seconds: float = 6.0, processes: int = 3) -> Day:
    """One run; what was found is in `problems`."""
    with tempfile.TemporaryDirectory() as folder:
        day = Day(seed, seconds, Path(folder), processes)
        uvloop.run(day.play())
        for n in range(processes):
            for line in (day.folder / f"log{n}").read_text(errors="replace").splitlines():
                if "failed problem" in line or "Traceback" in line:
                    day.problems.append(f"log {n}: {line}")
    return day


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--days", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    broken = requests = 0
    for seed in range(options.seed, options.seed + options.days):
        day = play(seed, options.seconds)
        codes = collections.Counter(a.answers[0][1] if a.answers else None for a in day.requests.values())
        requests += len(day.requests)
        broken += bool(day.problems)
        print(
            f"seed {seed}: {len(day.requests)} requests, answers {dict(codes)}, signals {dict(day.signal_counts)}, "
            f"{len(day.problems)} problems",
            flush=True,
        )
        for problem in day.problems[:20]:
            print("   ", problem)
    print(f"{requests} requests on {options.days} days, {broken} days with a problem")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
