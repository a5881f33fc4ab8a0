"""A cluster on loopback: emulators and dispatchers as supervised processes.

Each process has a session of its own, ends when its standard input ends, and prints `{"ready": true, ...}` once.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from kelptrail.net.http_client import HttpClient
from kelptrail.settings.deployment import Deployment

ALL_PAIRS_LIMIT = (
    12  # up to so many dispatchers all pairs go through the proxy; beyond, links to acceptors and planners
)


@dataclass(slots=True, eq=False)
class Process:
    """One child process; `said` is its ready line."""

    name: str
    words: list[str]
    process: asyncio.subprocess.Process | None = None
    said: dict[str, Any] = field(default_factory=dict)
    starts: int = 0
    ending: bool = False  # its end was requested

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None


class Cluster:
    """Starts, supervises and ends the processes of one deployment."""

    def __init__(
        self,
        deployment: Deployment,
        file: str,
        out: Path | None,
        seed: int = 1,
        log_level: str = "info",
        logs: Path | None = None,
        quiet: bool = False,
    ) -> None:
        self.deployment, self._file, self._out, self._seed = deployment, file, out, seed
        self._level, self._logs, self._quiet = log_level, logs, quiet
        self.store = self.endpoint_service = Process("", [])
        self.datagram_proxy: Process | None = None
        self.workers: list[Process] = []
        self.dispatchers: list[Process] = []
        self.planners: list[Process] = []
        self.channel_proxy: Process | None = None
        self.side_effect_log: Process | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(
        self,
        workers: int,
        dispatchers: int,
        state: Path | None,
        planners: int = 0,
        solver: str = "program",
        tasks: tuple[str, ...] = (),
    ) -> None:
        """Start all processes, each after those it depends on.  With planners the dispatchers are edges of theirs;
        where the settings have peers, their channels go through a proxy; all dispatchers acquire `tasks` as leases."""
        self.store = await self._start_process("store", ["emulate", "model-store", self._file])
        self.endpoint_service = await self._start_process("roster", ["emulate", "endpoint-service"])
        halls = self.deployment.zones
        vrrp = self.deployment.vrrp
        if vrrp is not None and any(i.via for i in vrrp.instance):
            self.datagram_proxy = await self._start_process(
                "relay", ["emulate", "datagram-proxy", self._file, "--seed", str(self._seed)]
            )
        self.workers = list(
            await asyncio.gather(
                *(
                    self._start_process(
                        f"worker-{n}",
                        [
                            "emulate",
                            "worker",
                            self._file,
                            "--id",
                            f"worker-{n}",
                            "--hall",
                            halls[n % len(halls)],
                            "--cell",
                            str(n // 2),
                            "--store",
                            self.store.said["address"],
                            "--roster",
                            self.endpoint_service.said["address"],
                            "--seed",
                            str(self._seed),
                            "--warm",
                        ],
                    )
                    for n in range(workers)
                )
            )
        )
        names = [f"dispatcher-{n}" for n in range(dispatchers)]
        if self.deployment.peers is not None:
            plans, leases = [f"planner-{n}" for n in range(planners)], self.deployment.leases
            every = leases is None or len(names) <= ALL_PAIRS_LIMIT
            to = (
                names
                if every or leases is None
                else list(dict.fromkeys((*leases.acceptors, *leases.previous_acceptors)))
            )
            self.channel_proxy = await self._start_process(
                "links",
                [
                    "emulate",
                    "channel-proxy",
                    "--seed",
                    str(self._seed),
                    *(w for n in (*names, *plans) for w in ("--from", n)),
                    *(w for name in (*to, *plans) for w in ("--to", name)),
                ],
            )
        if tasks:
            self.side_effect_log = await self._start_process("witness", ["emulate", "side-effect-log"])
        logs = ["--log-level", self._level, "--log-form", "json" if self._logs else "auto"]
        self.planners = list(
            await asyncio.gather(
                *(
                    self._start_process(
                        f"planner-{n}",
                        [
                            *logs,
                            "planner",
                            self._file,
                            "--name",
                            f"planner-{n}",
                            "--roster",
                            self.endpoint_service.said["address"],
                            "--control",
                            "127.0.0.1:0",
                            "--solver",
                            solver,
                            *self.peer_options(f"planner-{n}"),
                            *(["--state", str(state / f"planner-{n}")] if state else []),
                        ],
                    )
                    for n in range(planners)
                )
            )
        )
        for planner in self.planners:
            await self._announce_address(planner, planner.said["address"])
        self.dispatchers = list(
            await asyncio.gather(
                *(
                    self._start_process(
                        name,
                        [
                            *logs,
                            *(
                                ["edge", self._file, *self._planner_options(name)]
                                if self.planners
                                else ["serve", self._file]
                            ),
                            "--name",
                            name,
                            "--hall",
                            halls[n % len(halls)],
                            "--roster",
                            self.endpoint_service.said["address"],
                            "--control",
                            "127.0.0.1:0",
                            *self.peer_options(name),
                            *self._task_options(tasks),
                            *(
                                [
                                    "--state",
                                    str(state / name),
                                    "--harmed-disk",
                                    str(state / f"disk-{n}.json"),
                                    "--harmed-clock",
                                    str(state / f"clock-{n}.json"),
                                ]
                                if state
                                else []
                            ),
                        ],
                    )
                    for n, name in enumerate(names)
                )
            )
        )

    def peer_options(self, name: str) -> list[str]:
        """The options by which a process reaches its peers: through the proxy."""
        routes = self.channel_proxy.said["routes"] if self.channel_proxy is not None else {}
        return [
            word
            for pair, at in routes.items()
            if pair.startswith(f"{name}>") and ">planner" not in pair
            for word in ("--peer", f"{pair.partition('>')[2]}={at}")
        ]

    def _planner_options(self, name: str) -> list[str]:
        """The options by which an edge reaches the planners: through the proxy, where there is one."""
        routes = self.channel_proxy.said["routes"] if self.channel_proxy is not None else {}
        return [
            word for p in self.planners for word in ("--planner", routes.get(f"{name}>{p.name}", p.said["address"]))
        ]

    async def _announce_address(self, child: Process, address: str) -> None:
        """Tell the proxy where a process listens."""
        if self.channel_proxy is not None:
            await http_json(self.channel_proxy.said["address"], "POST", "/", {"at": {child.name: address}})

    def _task_options(self, tasks: tuple[str, ...]) -> list[str]:
        if self.side_effect_log is None:
            return []
        return ["--witness", self.side_effect_log.said["address"], *(w for task in tasks for w in ("--task", task))]

    async def _start_process(self, name: str, words: list[str]) -> Process:
        if self._out is not None and words[0] == "emulate":
            words += ["--capture", str(self._out / f"{name}.jsonl")]
        child = Process(name, words)
        await self.launch(child)
        return child

    async def launch(self, child: Process) -> None:
        """Start a process, on the ports it had before, and wait for its ready line."""
        words = list(child.words)
        if child.said:
            words += ["--port", child.said["address"].rpartition(":")[2]]
            if child.said.get("grpc"):
                words += ["--grpc-port", child.said["grpc"].rpartition(":")[2]]
            if child.said.get("peers"):
                words += ["--peers-port", child.said["peers"].rpartition(":")[2]]
            if "control" in child.said:
                words += ["--control-port", child.said["control"].rpartition(":")[2]]
            words = [w for w in words if w != "--warm"]
        child.starts, child.ending = child.starts + 1, False
        if self._logs is not None:
            err: Any = open(self._logs / f"{child.name}.log", "ab")  # noqa: SIM115
        else:
            silent = self._quiet or words[0] == "emulate"
            err = subprocess.DEVNULL if silent else None
        child.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kelptrail",
            *words,
            "--with-stdin",
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=err,
            start_new_session=True,
        )
        if self._logs is not None:
            err.close()
        assert child.process.stdout is not None
        try:
            line = await asyncio.wait_for(child.process.stdout.readline(), 30)
            child.said = msgspec.json.decode(line)
        except (TimeoutError, msgspec.DecodeError):
            raise RuntimeError(f"{child.name} did not start") from None
        if child.said.get("peers"):
            await self._announce_address(child, child.said["peers"])
        task = asyncio.get_running_loop().create_task(self._supervise(child, child.process))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _supervise(self, child: Process, process: asyncio.subprocess.Process) -> None:
        """Report the end of a worker to the endpoint service, as a process supervisor would."""
        await process.wait()
        if child in self.workers and self.endpoint_service.running:
            with contextlib.suppress(OSError):
                await self.set_listed_state(child, "gone")

    async def run_clients(self, script: str, count: int, start: float, addresses: list[str], second: list[str]) -> None:
        """Run the clients of a script in processes of their own, until all of them have their answers."""
        words = ["emulate", "clients", script, "--start", str(start), "--seed", str(self._seed), "--of", str(count)]
        for address in addresses:
            words += ["--at", address]
        for address in second:
            words += ["--second", address]
        capture = ["--capture", str(self._out)] if self._out is not None else []
        children = [
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "kelptrail", *words, "--number", str(n), *capture, start_new_session=True
            )
            for n in range(count)
        ]
        try:
            codes = [await child.wait() for child in children]
        finally:
            for child in children:
                if child.returncode is None:
                    child.kill()
        if any(codes):
            raise RuntimeError(f"clients ended with {codes}")

    async def set_listed_state(self, worker: Process, state: str) -> None:
        """Set the state of a worker in the endpoint list."""
        await http_json(
            self.endpoint_service.said["address"],
            "POST",
            "/state",
            {"id": worker.name, "state": state, "incarnation": worker.said["incarnation"]}
            if state == "gone"
            else {"id": worker.name, "state": state},
        )

    async def fault(self, child: Process, **body: Any) -> None:
        """Inject a fault at a process's control port."""
        await http_json(child.said.get("control") or child.said["address"], "POST", "/fault", body)

    def set_disk_fault(self, child: Process, **fault: Any) -> None:
        """Set a dispatcher's disk fault; without arguments the fault ends."""
        self._write_fault(child, "--harmed-disk", fault)

    def set_clock_fault(self, child: Process, **fault: Any) -> None:
        """Set a dispatcher's clock fault; without arguments the fault ends."""
        self._write_fault(child, "--harmed-clock", fault)

    @staticmethod
    def _write_fault(child: Process, option: str, fault: dict[str, Any]) -> None:
        file = Path(child.words[child.words.index(option) + 1])
        draft = file.with_suffix(".new")
        draft.write_bytes(msgspec.json.encode(fault))
        draft.replace(file)

    def lose_disk(self, child: Process) -> None:
        """Delete a dispatcher's state, as if its disk were lost."""
        shutil.rmtree(child.words[child.words.index("--state") + 1], ignore_errors=True)

    async def set_link_fault(self, **body: Any) -> None:
        """Change the faults of the proxy between dispatchers."""
        assert self.channel_proxy is not None
        await http_json(self.channel_proxy.said["address"], "POST", "/", body)

    def signal(self, child: Process, number: signal.Signals) -> None:
        """Send a signal, to children started here only."""
        if child.running and child.process is not None:
            child.process.send_signal(number)

    def kill(self, child: Process) -> None:
        """SIGKILL, for children started here only."""
        child.ending = True
        if child.running and child.process is not None:
            child.process.kill()

    async def terminate(self, child: Process, within_s: float = 20.0) -> int | None:
        """SIGTERM and wait; kill what does not end in time."""
        child.ending = True
        if child.process is None:
            return None
        if child.running:
            with contextlib.suppress(ProcessLookupError):
                child.process.send_signal(signal.SIGCONT)  # one that is stopped hears nothing else
                child.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(child.process.wait(), within_s)
            except TimeoutError:
                child.process.kill()
                await child.process.wait()
        return child.process.returncode

    async def stop(self) -> bool:
        """End everything, dispatchers first so that what was taken is answered; True if all drained."""
        codes = await asyncio.gather(*(self.terminate(d) for d in self.dispatchers))
        rest = [
            *self.planners,
            *self.workers,
            self.endpoint_service,
            self.store,
            *(c for c in (self.datagram_proxy, self.channel_proxy, self.side_effect_log) if c is not None),
        ]
        await asyncio.gather(*(self.terminate(c, 3) for c in rest))
        if self._tasks:
            await asyncio.gather(*list(self._tasks), return_exceptions=True)
        return all(code == 0 for code in codes)


async def http_json(address: str, method: str, target: str, body: Any = None) -> Any:
    """One errand on a connection of its own."""
    errand = HttpClient(address)
    try:
        return await errand.json(method, target, body)
    finally:
        errand.close()


def memory_kb(pid: int) -> int:
    """Resident memory of a process, in KiB (proc(5), /proc/PID/statm)."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
