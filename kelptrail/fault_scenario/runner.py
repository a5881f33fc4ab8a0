"""Runs a fault scenario through real processes: a cluster, its clients, and faults at their times."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import socket
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from kelptrail.clock import now_ms
from kelptrail.codec.http import HttpError
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.clients import ClientEmulator
from kelptrail.emulator.cluster import Cluster, Process, http_json, memory_kb
from kelptrail.settings.deployment import Deployment

from .report import describe_deployment
from .scenario import (
    DISK_FAULTS,
    PEER_FAULTS,
    PLANNER_FAULTS,
    STORE_FAULTS,
    WORKER_FAULTS,
    Fault,
    FaultScenario,
    ScenarioError,
)

READY_S = 20.0  # for acceptors to form a quorum and journals to be acquired


class ScenarioRunner:
    """One run.  The seed determines arrivals, fault targets and the emulators' random draws.  Raises `ScenarioError`
    for faults that the deployment cannot have."""

    def __init__(
        self,
        scenario: FaultScenario,
        deployment: Deployment,
        seed: int,
        out: Path,
        log_level: str = "info",
        script: str = "",
    ) -> None:
        if len(deployment.zones) < 2 and any(t.kind in PEER_FAULTS for t in scenario.faults):
            raise ScenarioError(
                f"{scenario.name}: faults between dispatchers need dispatchers in different zones, "
                f"{deployment.name} has one"
            )
        self._script = script
        self._scenario, self._deployment, self._out = scenario, deployment, out
        self._random = np.random.default_rng([seed, 11])
        logs, captures = out / "logs", out / "captures"
        for folder in (out, logs, captures):
            folder.mkdir(parents=True, exist_ok=True)
        for old in captures.glob("*.jsonl"):
            old.unlink()
        self._capture = Capture(captures / "player.jsonl", "player")
        self._cluster = Cluster(deployment, scenario.deployment, captures, seed, log_level, logs)
        self._seed = seed
        self._tasks: set[asyncio.Task[None]] = set()
        self.memory: list[tuple[float, list[int]]] = []
        self.states: list[dict[str, Any]] = []  # what each dispatcher's control port said at the end
        self.start = 0.0
        self._cut_links: Counter[tuple[str, str]] = Counter()  # between dispatchers, by the number of faults
        self._slow_links: list[tuple[float, float]] = []
        self._killed_dispatchers: set[Process] = set()  # dispatchers that a fault has killed and will restart

    async def run(self) -> bool:
        """Run all of it; True if the dispatchers that were up at the end drained cleanly."""
        scenario, deployment = self._scenario, self._deployment
        await self._cluster.start(
            scenario.workers,
            scenario.dispatchers,
            self._out / "state",
            scenario.planners,
            scenario.solver,
            scenario.tasks,
        )
        self._capture.write(
            "world", **describe_deployment(deployment, [d.name for d in self._cluster.dispatchers], scenario.workers)
        )
        if deployment.peers is not None and deployment.peers.replicas:
            await self._wait_until_replicated(READY_S)
        addresses = [d.said["address"] for d in self._cluster.dispatchers]
        second = [d.said["grpc"] for d in self._cluster.dispatchers]
        clients: ClientEmulator | None = None
        arrivals: list[tuple[float, Callable[[], None]]] = []
        if scenario.client_processes == 1:
            clients = ClientEmulator(
                deployment,
                addresses,
                Capture(self._out / "captures" / "clients.jsonl", "clients"),
                self._seed,
                second=second,
            )
            arrivals = clients.plan(scenario.load, scenario.seconds)
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1_000_000)  # the clients' own pauses must not look like late answers
        self.start = now_ms() + (200 if clients is not None else 3000)
        self._capture.write("begin", start=self.start, seconds=scenario.seconds)
        timers = [asyncio.create_task(self._inject_at_time(fault)) for fault in scenario.faults]
        watch = asyncio.create_task(self._sample_memory())
        longest = max(t.timeout_ms for t in deployment.types.values())
        if clients is not None:
            await clients.run(arrivals, self.start)
            quiet = now_ms() + longest + 5000
            await asyncio.sleep(max(0.0, self.start / 1000 + scenario.seconds - now_ms() / 1000))
            await clients.wait_until_answered(quiet)
        else:
            await self._cluster.run_clients(self._script, scenario.client_processes, self.start, addresses, second)
        await asyncio.sleep(0.5)
        watch.cancel()
        for timer in timers:
            timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        if clients is not None:
            clients.close()
        for dispatcher in self._cluster.dispatchers:
            with contextlib.suppress(OSError, HttpError):
                self.states.append(await http_json(dispatcher.said["asked_at"], "GET", "/state"))
        return await self._cluster.stop()

    async def _wait_until_replicated(self, within_s: float) -> None:
        """Wait until all dispatchers have their replicas, as an operator would before admitting clients."""
        end = now_ms() + within_s * 1000
        for dispatcher in self._cluster.dispatchers:
            while now_ms() < end and not (await http_json(dispatcher.said["asked_at"], "GET", "/copies"))["promising"]:
                await asyncio.sleep(0.1)

    async def _sample_memory(self) -> None:
        while True:
            pids = [d.process.pid for d in self._cluster.dispatchers if d.running and d.process is not None]
            with contextlib.suppress(OSError):
                self.memory.append(((now_ms() - self.start) / 1000, [memory_kb(pid) for pid in pids]))
            await asyncio.sleep(1)

    async def _inject_at_time(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, (self.start - now_ms()) / 1000 + fault.at))
        names: list[Process] = []
        if fault.kind in WORKER_FAULTS:
            names = self._draw_targets([w for w in self._cluster.workers if w.running], fault.part)
        elif fault.kind == "kill-dispatchers" or fault.kind in (*DISK_FAULTS, *PEER_FAULTS):
            names = (
                self._draw_targets(self._cluster.dispatchers, fault.part)
                if not fault.zone
                else [
                    d
                    for n, d in enumerate(self._cluster.dispatchers)
                    if self._deployment.zones[n % len(self._deployment.zones)] == fault.zone
                ]
            )
        elif fault.kind in PLANNER_FAULTS and self._cluster.planners:
            names = self._draw_targets(self._cluster.planners, fault.part)
        self._capture.write(
            "trouble", kind=fault.kind, seconds=fault.duration, factor=fault.factor, of=[c.name for c in names]
        )
        try:
            await self._inject(fault, names)
        except (OSError, RuntimeError) as cause:  # a target that is down already
            self._capture.write("trouble-failed", kind=fault.kind, reason=str(cause))

    def _draw_targets(self, children: list[Process], part: float) -> list[Process]:
        count = max(1, round(part * len(children)))
        return [children[int(n)] for n in self._random.choice(len(children), count, replace=False)]

    async def _inject(self, fault: Fault, targets: list[Process]) -> None:
        cluster, kind, ms = self._cluster, fault.kind, fault.duration * 1000
        if kind in STORE_FAULTS:
            await cluster.fault(cluster.store, kind=kind.removeprefix("store-"), for_ms=ms, factor=fault.factor)
        elif kind == "list-late":
            await cluster.fault(cluster.endpoint_service, kind="late", for_ms=ms, late_ms=fault.ms)
        elif kind == "list-names-nobody":
            await self._list_unreachable_worker(fault)
        elif kind in ("idle-connections", "slow-readers"):
            await self._hold_connections(fault)
        elif kind in PLANNER_FAULTS:
            await asyncio.gather(*(self._inject_planner_fault(target, fault) for target in targets))
        elif kind == "kill-dispatchers":
            await asyncio.gather(*(self._kill_dispatcher(target, fault.duration) for target in targets))
        elif kind in PEER_FAULTS:
            await self._inject_peer_fault(fault, targets)
        elif kind in DISK_FAULTS:
            await self._inject_disk_fault(fault, targets)
        elif kind == "crash":
            await asyncio.gather(*(self._crash_worker(target, fault.duration) for target in targets))
        elif kind in ("rolling-deploy", "drain"):
            pause = fault.duration / max(1, len(targets))
            for target in targets:
                await self._replace_worker(target, again=kind == "rolling-deploy")
                await asyncio.sleep(pause)
        else:
            extra: dict[str, Any] = {"share": fault.share, "factor": fault.factor, "ms": fault.ms}
            if fault.type:
                extra["type"] = fault.type
            await asyncio.gather(*(cluster.fault(v, kind=kind, for_ms=ms, **extra) for v in targets))

    async def _inject_disk_fault(self, fault: Fault, targets: list[Process]) -> None:
        settings: dict[str, dict[str, Any]] = {
            "disk-slow": {"sync_ms": fault.ms},
            "disk-fails": {"fails": True},
            "disk-full": {"full": True},
        }
        for target in targets:
            self._cluster.set_disk_fault(target, **settings[fault.kind])
        await asyncio.sleep(fault.duration)
        for target in targets:
            self._cluster.set_disk_fault(target)

    async def _inject_peer_fault(self, fault: Fault, targets: list[Process]) -> None:
        """What befalls dispatchers and what is between them."""
        cluster, kind = self._cluster, fault.kind
        if kind == "cut-peers":
            await self._cut_off(fault, targets)
        elif kind == "slow-peers":
            self._slow_links.append((fault.ms, fault.share))
            await self._tell_links()
            await asyncio.sleep(fault.duration)
            self._slow_links.remove((fault.ms, fault.share))
            await self._tell_links()
        elif kind == "reset-peers":
            await cluster.set_link_fault(reset=fault.share)
        elif kind == "pause-dispatchers":
            if fault.type == "looked":
                targets = await self._holders() or targets
            await asyncio.gather(*(self._pause(target, fault.duration, fault.type == "looked") for target in targets))
        elif kind == "lose-machines":
            ends = fault.at + fault.duration > self._scenario.seconds
            await asyncio.gather(
                *(self._kill_dispatcher(target, None if ends else fault.duration, True) for target in targets)
            )
        else:
            settings = {"rate": fault.factor} if kind == "clock-rate" else {"step_ms": fault.ms}
            for target in targets:
                cluster.set_clock_fault(target, **settings)
            await asyncio.sleep(fault.duration)
            for target in targets:
                cluster.set_clock_fault(target)

    async def _cut_off(self, fault: Fault, targets: list[Process]) -> None:
        """Cut the links between the targets and all others; one way: either direction, drawn for each."""
        names = {child.name for child in targets}
        others = [c.name for c in (*self._cluster.dispatchers, *self._cluster.planners) if c.name not in names]
        pairs = []
        for name in sorted(names):
            out, back = (
                (True, True) if not fault.one_way else (False, True) if self._random.random() < 0.5 else (True, False)
            )
            pairs += [(name, other) for other in others if out] + [(other, name) for other in others if back]
        self._cut_links.update(pairs)
        await self._tell_links()
        await asyncio.sleep(fault.duration)
        self._cut_links.subtract(pairs)
        await self._tell_links()

    async def _tell_links(self) -> None:
        ms, share = max(self._slow_links, default=(0.0, 0.0))
        await self._cluster.set_link_fault(
            cut=[pair for pair, count in self._cut_links.items() if count > 0], slow={"ms": ms, "share": share}
        )

    async def _holders(self) -> list[Process]:
        """Dispatchers that hold a task."""
        found = []
        for dispatcher in self._cluster.dispatchers:
            with contextlib.suppress(OSError, HttpError, TimeoutError):
                async with asyncio.timeout(0.3):  # one that is stopped says nothing
                    if dispatcher.running and (await http_json(dispatcher.said["asked_at"], "GET", "/leases"))["holds"]:
                        found.append(dispatcher)
        return found

    async def _pause(self, target: Process, for_s: float, after_lease_check: bool) -> None:
        """Stopped and continued: at any instant, or (`looked`) between its next look at a lease and the act."""
        number = self._cluster.dispatchers.index(target)
        self._capture.write("stopped", dispatcher=number)
        self._cluster.signal(target, signal.SIGUSR1 if after_lease_check else signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if after_lease_check:
            self._cluster.signal(target, signal.SIGUSR2)
        self._cluster.signal(target, signal.SIGCONT)
        self._capture.write("woken", dispatcher=number)

    async def _kill_dispatcher(self, target: Process, down_s: float | None, disk: bool = False) -> None:
        """Kill it, with its disk where asked; restart it after a time, or never.  One that another fault has killed is
        left to that fault: guards against two processes of one name, the first of which is not supervised."""
        if target in self._killed_dispatchers:
            return
        self._killed_dispatchers.add(target)
        try:
            await self._kill_and_restart(target, down_s, disk)
        finally:
            self._killed_dispatchers.discard(target)

    async def _kill_and_restart(self, target: Process, down_s: float | None, disk: bool) -> None:
        number = self._cluster.dispatchers.index(target)
        self._capture.write("kill", dispatcher=number)
        self._cluster.kill(target)
        if disk:
            if target.process is not None:
                await target.process.wait()
            self._cluster.lose_disk(target)
            self._capture.write("disk-lost", dispatcher=number)
        if down_s is None:
            return
        await asyncio.sleep(down_s)
        await self._cluster.launch(target)
        self._capture.write("restarted", dispatcher=number)

    async def _inject_planner_fault(self, target: Process, fault: Fault) -> None:
        """Slow a planner down, or kill and restart it, with its state or without."""
        if fault.kind in ("planners-slow", "planners-wrong"):
            settings = {"ms": fault.ms} if fault.kind == "planners-slow" else {"factor": fault.factor}
            await http_json(target.said["control"], "POST", "/fault", settings | {"for_ms": fault.duration * 1000})
            return
        if fault.kind == "pause-planners":
            self._cluster.signal(target, signal.SIGSTOP)
            await asyncio.sleep(fault.duration)
            self._cluster.signal(target, signal.SIGCONT)
            return
        if fault.kind == "cut-planners":
            await self._cut_off(fault, [target])
            return
        self._cluster.kill(target)
        if fault.kind == "planners-forget":
            (self._out / "state" / target.name / "planner.bin").unlink(missing_ok=True)
        await asyncio.sleep(fault.duration)
        await self._cluster.launch(target)

    async def _crash_worker(self, target: Process, down_s: float) -> None:
        await self._cluster.fault(target, kind="crash")
        await asyncio.sleep(down_s)
        await self._cluster.launch(target)

    async def _replace_worker(self, target: Process, again: bool) -> None:
        """Drain the worker, let its work end, stop it, and restart it where asked."""
        await self._cluster.set_listed_state(target, "draining")
        await asyncio.sleep(self._deployment.rules.drain_grace_ms / 1000)
        await http_json(target.said["control"], "POST", "/drain", {})
        await asyncio.sleep(1.0)
        await self._cluster.terminate(target, 5)
        if again:
            await self._cluster.launch(target)

    async def _list_unreachable_worker(self, fault: Fault) -> None:
        """List a worker at an address where no process listens."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        endpoint_service = self._cluster.endpoint_service.said["address"]
        await http_json(
            endpoint_service,
            "POST",
            "/register",
            {
                "id": "worker-nobody",
                "address": f"127.0.0.1:{port}",
                "incarnation": "nobody",
                "hall": "",
                "cell": 99,
                "age_ms": 1e9,
            },
        )
        await asyncio.sleep(fault.duration)
        await http_json(endpoint_service, "POST", "/state", {"id": "worker-nobody", "state": "gone"})

    async def _hold_connections(self, fault: Fault) -> None:
        """Hold connections open: idle ones, or ones that read a byte a second."""
        loop = asyncio.get_running_loop()
        socks = []
        for n in range(fault.count):
            host, _, port = (
                self._cluster.dispatchers[n % len(self._cluster.dispatchers)].said["address"].rpartition(":")
            )
            sock = socket.socket()
            sock.setblocking(False)
            socks.append(sock)
            with contextlib.suppress(OSError):
                await loop.sock_connect(sock, (host, int(port)))
                if fault.kind == "slow-readers":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                    await loop.sock_sendall(sock, b"GET /api/v1 HTTP/1.1\r\nhost: x\r\n\r\n" * 50)
        end = now_ms() + fault.duration * 1000
        while now_ms() < end:
            await asyncio.sleep(1)
            if fault.kind == "slow-readers":
                for sock in socks:
                    with contextlib.suppress(OSError):
                        sock.recv(1)
        for sock in socks:
            sock.close()
