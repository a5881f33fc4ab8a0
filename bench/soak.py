"""A soak of many processes of `run` on loopback: its own workers, endpoint lists, clients and proxies, with signals,
failing system calls and stepped clocks, two or three faults at a time.  Checked are what passed over the sockets and
the processes' own counts of violations.

    python bench/soak.py --seeds 20 --first 1

Each seed is one run (`day`): a quiet half, in which faults come late, and a busy half.  The random choices are the
seed's, their times the machine's.  Exit code 1 where anything was found.  System calls fail and clocks are stepped by
a library that is built here (bench/soak_shim.c); where no C compiler is, the soak says so and runs the rest.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import errno
import json
import mmap
import os
import resource
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import door_fuzz
import uvloop
from door_fuzz import LEFT_S, NEVER_RAN, SLACK_S, WINDOW_S, Day, SentRequest
from soak_proxy import LinkFaults, Proxy

from kelptrail.codec import frames

DESCRIPTORS = 128
WORKERS = 6  # listed from the start; one more comes new
COLD_S, TIP_S, TIP, LEAST = 8.0, 2.0, 3.0, 0.05  # slow start; TIP_S and TIP as door_fuzz.settings() has them
LIMIT_SLACK_S = 0.15
READY_S = 10.0
LIMITS_MS = (1, 5, 20, 60, 300, 700, 1500)
KILLED_AFTER_S = 0.7 + 2.0  # the settings' longest deadline is 2 s
CALL_NAMES = ("send", "recv", "connect", "accept", "socket")
FAILURES = {
    "send": (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.ENOBUFS),
    "recv": (errno.EINTR, errno.ENOMEM, errno.EINTR, errno.ENOBUFS),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR, errno.ENOBUFS),
    "accept": (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED),
    "socket": (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE),
}
CONTROL = struct.Struct("<qII5I20I")


def settings() -> dict[str, Any]:
    """The settings of the fuzz, with a slow start that leaves a new worker little."""
    found = door_fuzz.settings()
    found["rules"] |= {"start_capacity": LEAST, "cold_us": int(COLD_S * 1e6)}
    return found


class Control:
    """What the preloaded library of one process reads: the step of its wall clock, and how often system calls fail."""

    def __init__(self, path: Path, seed: int) -> None:
        path.write_bytes(bytes(4096))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), 4096)
        self.step_s, self.shorten, self._seed = 0.0, 0.0, seed
        self.failing: dict[str, float] = {}
        self.write()

    def write(self) -> None:
        """Apply what was set."""
        shares = [int(self.failing.get(name, 0.0) * 1e6) for name in CALL_NAMES]
        codes = [code for name in CALL_NAMES for code in FAILURES[name]]
        data = CONTROL.pack(int(self.step_s * 1e9), int(self.shorten * 1e6), self._seed & 0xFFFFFFFF, *shares, *codes)
        self._map[: len(data)] = data

    def close(self) -> None:
        """Close the mapped file."""
        self._map.close()


@dataclass(slots=True)
class Attempt:
    """A call as a process sent it: `limit_s` is the limit passed to the worker; `timed` says that `at` is known."""

    at: float
    process: int
    worker: int
    limit_s: float
    timed: bool


class CommandReader:
    """Parses the commands of one connection."""

    def __init__(self) -> None:
        self._buffer, self._skip = b"", 0

    def feed(self, data: bytes) -> list[list[str]]:
        """The words of each command whose line is complete."""
        found = []
        self._buffer += data
        while True:
            passed = min(self._skip, len(self._buffer))
            self._buffer, self._skip = self._buffer[passed:], self._skip - passed
            line, end, rest = self._buffer.partition(b"\r\n")
            if self._skip or not end:
                return found
            self._buffer = rest
            words = line.decode(errors="replace").split()
            if words:
                found.append(words)
                if words[0] == "CALL":
                    self._skip = int(words[-1]) + 2


class Soak(Day):
    """One run of one seed."""

    limits_ms = LIMITS_MS

    def __init__(self, seed: int, seconds: float, folder: Path, processes: int, library: Path | None) -> None:
        super().__init__(seed, seconds, folder, processes)
        self.library = library
        self.controls = [Control(folder / f"control{n}", seed * 1000 + n) for n in range(processes)]
        self.attempts: dict[str, list[Attempt]] = collections.defaultdict(list)
        self.orders: dict[int, list[float]] = collections.defaultdict(list)
        self.proxies: list[list[Proxy]] = []  # of each process, one to each worker
        self.list_ports: list[list[int]] = []
        self.list_faults: list[str] = ["tell"] * processes
        self.process_events: list[list[bytes]] = [[] for _ in range(processes)]
        self.process_entries: list[list[dict[str, Any]]] = [[] for _ in range(processes)]
        self.list_failures: list[list[tuple[float, float]]] = [[] for _ in range(processes)]  # from, until
        self.hung_workers: set[int] = set()
        self.new_worker_started: dict[int, float] = {}  # workers added during the run
        self.stepped_at_start: set[int] = set()  # processes that were started under a stepped clock
        self.shutdown_times: dict[int, list[tuple[float, float]]] = collections.defaultdict(list)  # signalled, exited
        self.scheduling_delays: list[tuple[float, float]] = []  # of this program's loop: when, and by how much
        self.pace = 1.0
        self.fault_counts: collections.Counter[str] = collections.Counter()
        self.unanswered_at_close = 0

    # Workers and the proxies in front of them.

    async def open_worker(self) -> int:
        number = len(self.ports)
        await self.worker(number)
        for n in range(len(self.addresses)):
            if len(self.proxies) <= n:
                self.proxies.append([])
            proxy = Proxy(("127.0.0.1", self.ports[number]), LinkFaults(), self.rng, self._capture(n, number))
            await proxy.open()
            self.proxies[n].append(proxy)
        return number

    def _capture(self, process: int, worker: int) -> Callable[[int, bytes, bool], None]:
        readers: dict[int, CommandReader] = collections.defaultdict(CommandReader)

        def on_data(connection: int, data: bytes, timed: bool) -> None:
            now = time.monotonic()
            for words in readers[connection].feed(data):
                if words[0] == "CALL":
                    fields = dict(part.split("=", 1) for part in words[2].split(","))
                    attempt = Attempt(now, process, worker, int(fields["limit"]) / 1000, timed)
                    self.attempts[words[1]].append(attempt)
                elif words[0] == "LOAD":
                    self.orders[process].append(now)

        return on_data

    def _answer_call(self, number: int, id_: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        if number in self.hung_workers:
            self.calls[id_].append((time.monotonic(), "silent", number))
        else:
            super()._answer_call(number, id_, body, writer)

    # The endpoint lists: one for each process, at two addresses.

    async def open_lists(self) -> None:
        for n in range(len(self.addresses)):
            servers = [await asyncio.start_server(self._list(n), "127.0.0.1", 0) for _ in range(2)]
            self.list_ports.append([server.sockets[0].getsockname()[1] for server in servers])

    def _list(self, n: int) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, RuntimeError, asyncio.IncompleteReadError):
                await self._write_events(n, reader, writer)
            writer.close()

        return serve

    async def _write_events(self, n: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        at = int.from_bytes(await reader.readexactly(8), "big")
        if self.list_faults[n] == "slow":
            await asyncio.sleep(3.0)
        behavior = self.rng.choice(["tell"] * 6 + ["break", "twice"])
        while self.running and self.list_faults[n] != "down":
            if self.list_faults[n] == "silent":
                await asyncio.sleep(0.05)
                continue
            for data in self.process_events[n][at - 1 :]:
                if behavior == "break" and self.rng.random() < 0.2:
                    writer.write(data[:9])
                    return
                writer.write(data * (2 if behavior == "twice" else 1))
                at += 1
            writer.write(struct.pack(">IQB", 9, at, 0))
            await asyncio.sleep(0.1)

    def publish_event(self, *changes: tuple[int, int, int], started_ms: int = 0) -> None:
        """An event for each process: ids, the workers behind them, states."""
        number = 2 + len(self.process_events[0])
        states = ("in_service", "terminating", "terminated")
        for n in range(len(self.addresses)):
            records = b"".join(
                struct.pack(
                    ">I4sHBBBHIQ",
                    id_,
                    bytes((127, 0, 0, 1)),
                    self.proxies[n][worker].port,
                    state,
                    0,
                    0,
                    0,
                    1000,
                    started_ms,
                )
                for id_, worker, state in changes
            )
            self.process_events[n].append(struct.pack(">IQB", 9 + len(records), number, 2) + records)
            targets = [self._target_of(n, id_, worker, states[state], started_ms) for id_, worker, state in changes]
            entry = {"pos": number, "hosts": {"rev": number, "all": False, "targets": targets}}
            self.process_entries[n].append(entry)

    def _target_of(self, n: int, id_: int, worker: int, state: str, started_ms: int = 0) -> dict[str, Any]:
        endpoint = f"127.0.0.1:{self.proxies[n][worker].port}"
        return self._target(id_, worker, state) | {"endpoint": endpoint, "boot_ms": started_ms}

    # The processes.

    def configuration(self, n: int) -> str:
        host, port = self.addresses[n]
        entries = self.process_entries[n]
        return json.dumps(
            {
                "name": f"n{n}",
                "listen": f"{host}:{port}",
                "seed": f"{self.rng.getrandbits(60):x}",
                "limits": {"cores": 1, "memory_mb": 64, "sockets": DESCRIPTORS},
                "journal": f"127.0.0.1:{self.rng.choice(self.list_ports[n])}",
                "known": {"pos": entries[-1]["pos"], "entries": entries},
                "settings": settings(),
            }
        )

    async def start(self, n: int) -> None:
        file = self.folder / f"c{n}.json"
        if not self.addresses[n][1]:
            self.addresses[n] = (self.addresses[n][0], 20_000 + n)
        if self.controls[n].step_s:
            self.stepped_at_start.add(n)
        file.write_text(self.configuration(n))
        told = {"LB_CONFIG": str(file)}
        if self.library is not None:
            told |= {"LD_PRELOAD": str(self.library), "SOAK_CONTROL": str(self.folder / f"control{n}")}
        with open(self.folder / f"log{n}", "ab") as log:
            self.processes[n] = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", f"ulimit -n {DESCRIPTORS}; exec {sys.executable} -m kelptrail.platform",
                env=os.environ | told, stdout=log, stderr=log,
            )  # fmt: skip
        began = time.monotonic()
        while time.monotonic() < began + READY_S:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(*self.addresses[n])
                writer.close()
                return
            await asyncio.sleep(0.02)
        self.problems.append(f"process {n} was not ready within {READY_S} s")

    async def end(self, n: int, behavior: str) -> None:
        """Stop a process; its open requests are checked against the time of the signal."""
        began = time.monotonic()
        await self.stop(n, behavior)
        if behavior == "TERM":
            self.shutdown_times[n].append((began, time.monotonic()))
            if (took := time.monotonic() - began) > KILLED_AFTER_S + SLACK_S + self.max_delay(began, time.monotonic()):
                self.problems.append(f"process {n} took {took:.2f} s to end")

    # Faults.  Each takes its own time; several overlap.

    def some(self, share: float = 0.4) -> list[int]:
        count = max(1, round(share * len(self.addresses)))
        return self.rng.sample(range(len(self.addresses)), count)

    async def system_calls_fail(self) -> None:
        name, chosen = self.rng.choice(CALL_NAMES), self.some()
        share = {"send": 0.03, "recv": 0.03, "connect": 0.5, "accept": 0.5, "socket": 0.5}[name]
        for n in chosen:
            self.controls[n].failing[name] = share
            self.controls[n].shorten = self.rng.choice((0.0, 0.3))
            self.controls[n].write()
        await asyncio.sleep(0.5 + self.rng.random() * 2)
        for n in chosen:
            self.controls[n].failing.pop(name, None)
            self.controls[n].shorten = 0.0
            self.controls[n].write()

    async def clock_is_stepped(self) -> None:
        step, chosen = self.rng.choice((-3600.0, -3.0, 3.0, 3600.0)), self.some()
        for n in chosen:
            self.controls[n].step_s += step
            self.controls[n].write()
        await asyncio.sleep(1 + self.rng.random() * 2)

    async def configurations_in_a_row(self) -> None:
        for n in (chosen := self.some(0.3)):
            (self.folder / f"c{n}.json").write_text(self.configuration(n))
        for _ in range(self.rng.randrange(3, 25)):
            for n in chosen:
                self.send_signal(n, signal.SIGHUP)
            await asyncio.sleep(0.06)
            for n in chosen:
                whole, part = self.configuration(n), self.rng.random() < 0.2
                (self.folder / f"c{n}.json").write_text(whole[: len(whole) // 2] if part else whole)
        for n in chosen:
            (self.folder / f"c{n}.json").write_text(self.configuration(n))
            self.send_signal(n, signal.SIGHUP)

    def send_signal(self, n: int, number: int) -> None:
        process = self.processes[n]
        if process is not None and process.returncode is None and n not in self.stopping:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)

    async def restarts(self) -> None:
        async def again(n: int) -> None:
            if n in self.stopping:
                return
            self.stopping.add(n)
            try:
                await self.end(n, self.rng.choice(("TERM", "TERM", "TERM", "KILL")))
                await self.start(n)
            finally:
                self.stopping.discard(n)

        await asyncio.gather(*(again(n) for n in self.some(0.3)))

    async def lists_fail(self) -> None:
        chosen, how = self.some(0.5), self.rng.choice(("down", "slow", "silent"))
        began = time.monotonic()
        for n in chosen:
            self.list_faults[n] = how
        await asyncio.sleep(1 + self.rng.random() * 3)
        for n in chosen:
            self.list_faults[n] = "tell"
            self.list_failures[n].append((began, time.monotonic()))

    async def links_fail(self) -> None:
        kind = self.rng.choice(("late", "slow", "split", "stall", "cut"))
        worker = self.rng.randrange(WORKERS)
        chosen = [each[worker] for each in self.proxies]
        for proxy in chosen:
            setattr(proxy.faults, kind, 0.6)
        if kind in ("cut", "stall"):
            for proxy in chosen:
                for connection in list(proxy.connections):
                    connection.abort()
        await asyncio.sleep(0.5 + self.rng.random() * 2)
        for proxy in chosen:
            setattr(proxy.faults, kind, 0.0)

    async def worker_hangs(self) -> None:
        worker = self.rng.randrange(WORKERS)
        self.hung_workers.add(worker)
        await asyncio.sleep(1 + self.rng.random() * 3)
        self.hung_workers.discard(worker)

    async def idle_clients(self) -> None:
        writers = []
        n = self.rng.randrange(len(self.addresses))
        with contextlib.suppress(OSError):
            for _ in range(90):
                _, writer = await asyncio.open_connection(*self.addresses[n])
                writer.write(frames.encode_frame(frames.READY_QUERY, 1, b"\0"))
                writers.append(writer)
        await asyncio.sleep(1 + self.rng.random())
        for writer in writers:
            writer.close()

    async def worker_closes_connections(self) -> None:
        worker = self.rng.randrange(WORKERS)
        for each in self.proxies:
            for connection in list(each[worker].connections):
                if self.rng.random() < 0.5:
                    connection.abort()
        await asyncio.sleep(0.2)

    async def worker_is_replaced(self) -> None:
        """One drains, a new one starts under another id, the old one is removed."""
        if self.drained_at:
            return
        self.drained_at[0] = time.monotonic()
        self.publish_event((0, 0, 1))
        number = await self.open_worker()
        started = time.monotonic()
        self.new_worker_started[number] = started
        self.publish_event((90, number, 0), started_ms=int(time.time() * 1000))
        hung = set(self.rng.sample(range(1, WORKERS), 3)) - self.hung_workers  # so that the new one is wanted
        self.hung_workers |= hung
        await asyncio.sleep(1.5)
        self.hung_workers -= hung
        await asyncio.sleep(1.5)  # long enough to see attempts to the draining worker
        self.publish_event((0, 0, 2))

    async def inject_faults(self, seconds: float, at_once: int) -> None:
        """Inject random faults, `at_once` of them at any time."""
        kinds = [
            self.system_calls_fail, self.system_calls_fail, self.clock_is_stepped, self.configurations_in_a_row,
            self.restarts, self.restarts, self.lists_fail, self.links_fail, self.links_fail, self.worker_hangs,
            self.idle_clients, self.worker_closes_connections,
        ]  # fmt: skip
        ends = time.monotonic() + seconds

        async def row() -> None:
            while time.monotonic() < ends:
                kind = self.rng.choice(kinds)
                self.fault_counts[kind.__name__] += 1
                await kind()
                await asyncio.sleep(self.rng.random() * 0.3)

        await asyncio.gather(*(row() for _ in range(at_once)))

    # The day.

    async def client(self) -> None:
        while self.running:
            n = self.rng.randrange(len(self.addresses))
            with contextlib.suppress(OSError, RuntimeError):
                await self._connection(n)
            await asyncio.sleep(self.rng.random() * 0.1 / self.pace)

    async def watch_delay(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            if (late := time.monotonic() - before - 0.01) > 0.02:
                self.scheduling_delays.append((before, late))

    def max_delay(self, since: float, until: float) -> float:
        """How late this program itself was, at the most, between two moments."""
        return max((late for at, late in self.scheduling_delays if since - 0.5 <= at <= until + 0.5), default=0.0)

    async def play(self) -> None:
        self.stopping: set[int] = set()
        lag = asyncio.create_task(self.watch_delay())
        for _ in range(WORKERS):
            await self.open_worker()
        await self.open_lists()
        for n in range(len(self.addresses)):
            targets = [self._target_of(n, each, each, "in_service") for each in range(WORKERS)]
            self.process_entries[n].append({"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}})
        await asyncio.gather(*(self.start(n) for n in range(len(self.addresses))))
        half = self.seconds / 2
        self.pace = 0.3
        quiet = [asyncio.create_task(self.client()) for _ in range(6)]
        await asyncio.sleep(half * 0.4)
        await self.inject_faults(half * 0.6, 2)
        self.pace = 2.0
        crowd = [asyncio.create_task(self.client()) for _ in range(24)]
        await asyncio.gather(self.worker_is_replaced(), self.inject_faults(half, 3))
        self.running = False
        await asyncio.gather(*quiet, *crowd)
        for control in self.controls:
            control.failing, control.shorten = {}, 0.0
            control.write()
        await asyncio.gather(*(self.end(n, "TERM") for n in range(len(self.addresses))))
        await asyncio.sleep(0.2)
        lag.cancel()
        self.judge()

    # Checks.

    def judge(self) -> None:
        self.worker_attempts = [
            (attempt.at, attempt.worker)
            for attempts in self.attempts.values()
            for attempt in attempts
            if attempt.timed and not self._list_failed(attempt.process, attempt.at)
        ]
        super().judge()
        for n in range(len(self.addresses)):
            self._judge_log(n)
        self._judge_slow_start()

    def _list_failed(self, n: int, at: float) -> bool:
        """Whether a process may not know of the drain by then, as its list failed."""
        told = self.drained_at.get(0, at)
        return any(since < at and until + 4.0 > told for since, until in self.list_failures[n])

    def _judge_log(self, n: int) -> None:
        for line in (self.folder / f"log{n}").read_text(errors="replace").splitlines():
            if "invariant violated" in line or "failed problem" in line or "Traceback" in line:
                self.problems.append(f"log {n}: {line}")

    def _judge_slow_start(self) -> None:
        """Check the calls to a new worker in each window, from all processes that can know its start, against what the
        settings allow for what warm workers complete."""
        warm = WORKERS - 1
        for number, started in self.new_worker_started.items():
            times = sorted(
                attempt.at
                for attempts in self.attempts.values()
                for attempt in attempts
                if attempt.worker == number and attempt.process not in self.stepped_at_start
                and started <= attempt.at < started + COLD_S
            )  # fmt: skip
            served = sorted(
                at
                for calls in self.calls.values()
                for at, behavior, worker in calls
                if worker != number and behavior == "OK"
            )
            for at in times:
                span = sum(at - TIP_S < other <= at for other in times)
                rates = [sum(end - TIP_S < other <= end for other in served) for end in (at, at - 1.0, at + 1.0)]
                warmth = LEAST + (1 - LEAST) * min(1.0, (at - started) / COLD_S)
                allowed = TIP * warmth * max(rates) / warm
                margin = 3 * allowed**0.5 + 3 if allowed < 30 else 2 * allowed**0.5 + 2
                if span > allowed + margin:
                    self.problems.append(
                        f"slow start: worker {number} got {span} calls in {TIP_S} s, {at - started:.2f} s after its "
                        f"start; {allowed:.1f} allowed"
                    )
                    break

    def _problems_of(self, request: SentRequest) -> list[str]:
        calls, out = self.calls.get(request.id, []), []
        attempts = self.attempts.get(request.id, [])
        ran = [call for call in calls if call[1][:4] not in NEVER_RAN]
        codes = [code for _, code, _ in request.answers]
        # A connection that is accepted and then read may meet this program's lateness twice.
        slack = SLACK_S + 2 * self.max_delay(
            request.written_at, (request.answers[0][0] if request.answers else request.deadline)
        )
        if len(codes) > 1:
            out.append(f"{len(codes)} answers: {codes}")
        out += self._attempt_problems(request, attempts, slack)
        if request.client_left_at is None and not codes:
            out += self._unanswered_problems(request, attempts)
        elif request.client_left_at is None and request.answers[0][0] > request.deadline + slack:
            out.append(f"answered {request.answers[0][0] - request.deadline:.3f} s late")
        for _, code, body in request.answers:
            if code == frames.SERVED and (body not in self.bodies or request.id.encode() not in body):
                out.append("served what no worker made")
        if request.kind == "o" and len(ran) > 1:
            out.append(f"once-only ran {len(ran)} times: {[c[1] for c in calls]}")
        if request.kind == "o" and ran and frames.REFUSED in codes:
            out.append("once-only refused though it may have run")
        timed = [attempt.at for attempt in attempts if attempt.timed]
        if request.kind == "k" and ran and timed and max(timed) > ran[0][0] + WINDOW_S + slack:
            out.append(f"a repeat {max(timed) - ran[0][0]:.3f} s after the first that may have run")
        if out:
            out.append(
                f"attempts {[(round(a.at - request.written_at, 3), a.worker, a.limit_s, a.timed) for a in attempts]}"
            )
            out.append(
                f"ends {[(round(at - request.written_at, 3), behavior, n) for at, behavior, n in calls]}, "
                f"limit {request.limit_s}"
            )
        return out

    def _attempt_problems(self, request: SentRequest, attempts: list[Attempt], slack: float) -> list[str]:
        out = []
        for attempt in attempts:
            if not attempt.timed:
                continue
            if request.client_left_at is not None and attempt.at > request.client_left_at + LEFT_S + slack:
                out.append(f"an attempt began {attempt.at - request.client_left_at:.3f} s after its client left")
            if request.written_at and attempt.at + attempt.limit_s > request.deadline + LIMIT_SLACK_S + slack:
                out.append(
                    f"a limit {attempt.at + attempt.limit_s - request.deadline:.3f} s over what its client had left"
                )
            if request.answers and attempt.at > request.answers[0][0] + LEFT_S + slack:
                out.append(f"an attempt began {attempt.at - request.answers[0][0]:.3f} s after the answer")
        return out

    def _unanswered_problems(self, request: SentRequest, attempts: list[Attempt]) -> list[str]:
        lag = self.max_delay(
            request.written_at, request.deadline
        )  # by which its last byte may have been stamped too late
        killed = any(
            n == request.process and request.written_at - 0.05 - lag <= at <= request.deadline + 0.05
            for n, at in self.kill_times
        )
        after_end = any(
            request.written_at > told + 0.7
            for told, gone in self.shutdown_times[request.process]
            if request.written_at < gone
        )
        if killed:
            return []
        took = None if request.closed_at is None else request.closed_at - request.written_at
        if not attempts and took is not None and took < 0.05 + SLACK_S and (request.after_idle or after_end):
            self.unanswered_at_close += 1
            return []
        kills = [
            round(request.written_at - at, 3)
            for n, at in self.kill_times
            if n == request.process and at <= request.deadline + 1
        ]
        ends = [
            round(request.written_at - at, 3)
            for at, _ in self.shutdown_times[request.process]
            if at <= request.deadline + 1
        ]
        ended = None if took is None else round(took, 3)
        return [
            f"no answer; written at {request.written_at:.3f}, connection ended {ended} s on; its process was killed "
            f"{kills[-1:]} and told to end {ends[-1:]} s before; lag {lag:.2f} s"
        ]


def build_library(folder: Path) -> Path | None:
    """Build the library that fails system calls; None without a compiler."""
    compiler = shutil.which("cc") or shutil.which("gcc") or shutil.which("clang")
    if compiler is None:
        return None
    built = folder / "libsoak.so"
    source = Path(__file__).parent / "soak_shim.c"
    subprocess.run([compiler, "-shared", "-fPIC", "-O2", "-o", str(built), str(source), "-ldl"], check=True)
    return built


def play(seed: int, seconds: float, processes: int, keep: Path | None = None) -> Soak:
    """One run; what was found is in `problems`."""
    with tempfile.TemporaryDirectory() as made:
        folder = made if keep is None else str(keep / f"seed{seed}")
        if keep is not None:
            shutil.rmtree(folder, ignore_errors=True)
        Path(folder).mkdir(parents=True, exist_ok=True)
        day = Soak(seed, seconds, Path(folder), processes, build_library(Path(folder)))
        day.addresses = [(f"127.{seed // 200 % 200}.{20 + seed % 200}.{n + 1}", 0) for n in range(processes)]
        try:
            uvloop.run(day.play())
        finally:
            for process in day.processes:
                if process is not None and process.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
            for control in day.controls:
                control.close()
    return day


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=5, help="days to play")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=10.0, help="of each day")
    parser.add_argument("--processes", type=int, default=24)
    parser.add_argument("--keep", type=Path, help="keep the logs of the processes in this folder")
    options = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 16_384)), hard))
    if build_library_missing():
        print("no C compiler: system calls do not fail and clocks are not stepped in this run")
    found = requests = 0
    for seed in range(options.first, options.first + options.seeds):
        day = play(seed, options.seconds, options.processes, options.keep)
        codes = collections.Counter(a.answers[0][1] if a.answers else None for a in day.requests.values())
        requests += len(day.requests)
        found += bool(day.problems)
        lag = max((late for _, late in day.scheduling_delays), default=0.0)
        print(f"seed {seed}: {len(day.requests)} requests, answers {dict(codes)}, "
              f"{day.unanswered_at_close} crossings, faults "
              f"{dict(day.fault_counts)}, lag {lag:.2f} s, {len(day.problems)} problems", flush=True)  # fmt: skip
        for problem in day.problems[:20]:
            print("   ", problem, flush=True)
    print(f"{requests} requests on {options.seeds} days, {found} days with a problem")
    return 1 if found else 0


def build_library_missing() -> bool:
    """Whether there is no compiler."""
    return not any(shutil.which(name) for name in ("cc", "gcc", "clang"))


if __name__ == "__main__":
    sys.exit(main())
