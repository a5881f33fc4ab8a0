"""Plays a script through real processes: a place, a fleet of clients, troubles at their times."""

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
from kelptrail.emulator.cluster import Child, Cluster, ask, memory_kb
from kelptrail.settings.deployment import Deployment

from .report import world_of
from .scenario import ON_DISKS, ON_PEERS, ON_PLANNERS, ON_STORE, ON_WORKERS, Fault, FaultScenario

READY_S = 20.0  # for voters to found themselves and books to be won


class ScenarioRunner:
    """One run.  The seed settles arrivals, victims and the stand-ins' chance.  Raises `ValueError` for troubles that
    the deployment has no place for."""

    def __init__(
        self,
        day: FaultScenario,
        deployment: Deployment,
        seed: int,
        out: Path,
        log_level: str = "info",
        script: str = "",
    ) -> None:
        if len(deployment.halls) < 2 and any(t.kind in ON_PEERS for t in day.trouble):
            raise ValueError(
                f"{day.name}: troubles between dispatchers need dispatchers in different halls, "
                f"{deployment.name} has one"
            )
        self._script = script
        self._day, self._deployment, self._out = day, deployment, out
        self._chance = np.random.default_rng([seed, 11])
        logs, captures = out / "logs", out / "captures"
        for folder in (out, logs, captures):
            folder.mkdir(parents=True, exist_ok=True)
        for old in captures.glob("*.jsonl"):
            old.unlink()
        self._capture = Capture(captures / "player.jsonl", "player")
        self._place = Cluster(deployment, day.deployment, captures, seed, log_level, logs)
        self._seed = seed
        self._tasks: set[asyncio.Task[None]] = set()
        self.memory: list[tuple[float, list[int]]] = []
        self.states: list[dict[str, Any]] = []  # what each dispatcher's control port said at the end
        self.start = 0.0
        self._cut: Counter[tuple[str, str]] = Counter()  # between dispatchers, by how many troubles
        self._slow: list[tuple[float, float]] = []
        self._down: set[Child] = set()  # dispatchers that a trouble has killed and will start again

    async def play(self) -> bool:
        """Play it whole; True if the dispatchers that ran at the end drained cleanly."""
        day, deployment = self._day, self._deployment
        await self._place.start(day.workers, day.dispatchers, self._out / "state", day.planners, day.solver, day.tasks)
        self._capture.note("world", **world_of(deployment, [d.name for d in self._place.dispatchers], day.workers))
        if deployment.peers is not None and deployment.peers.copies:
            await self._promising(READY_S)
        addresses = [d.said["address"] for d in self._place.dispatchers]
        second = [d.said["grpc"] for d in self._place.dispatchers]
        clients: ClientEmulator | None = None
        arrivals: list[tuple[float, Callable[[], None]]] = []
        if day.client_processes == 1:
            clients = ClientEmulator(
                deployment,
                addresses,
                Capture(self._out / "captures" / "clients.jsonl", "clients"),
                self._seed,
                second=second,
            )
            arrivals = clients.plan(day.load, day.seconds)
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1_000_000)  # the clients' own pauses must not look like late answers
        self.start = now_ms() + (200 if clients is not None else 3000)
        self._capture.note("begin", start=self.start, seconds=day.seconds)
        timers = [asyncio.create_task(self._at(trouble)) for trouble in day.trouble]
        watch = asyncio.create_task(self._watch())
        longest = max(t.timeout_ms for t in deployment.types.values())
        if clients is not None:
            await clients.play(arrivals, self.start)
            quiet = now_ms() + longest + 5000
            await asyncio.sleep(max(0.0, self.start / 1000 + day.seconds - now_ms() / 1000))
            await clients.settled(quiet)
        else:
            await self._place.clients(self._script, day.client_processes, self.start, addresses, second)
        await asyncio.sleep(0.5)
        watch.cancel()
        for timer in timers:
            timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        if clients is not None:
            clients.close()
        for dispatcher in self._place.dispatchers:
            with contextlib.suppress(OSError, HttpError):
                self.states.append(await ask(dispatcher.said["asked_at"], "GET", "/state"))
        return await self._place.stop()

    async def _promising(self, within_s: float) -> None:
        """Wait until all dispatchers have their copies, as whoever starts a place would before letting clients in."""
        end = now_ms() + within_s * 1000
        for dispatcher in self._place.dispatchers:
            while now_ms() < end and not (await ask(dispatcher.said["asked_at"], "GET", "/copies"))["promising"]:
                await asyncio.sleep(0.1)

    async def _watch(self) -> None:
        while True:
            pids = [d.process.pid for d in self._place.dispatchers if d.running and d.process is not None]
            with contextlib.suppress(OSError):
                self.memory.append(((now_ms() - self.start) / 1000, [memory_kb(pid) for pid in pids]))
            await asyncio.sleep(1)

    async def _at(self, trouble: Fault) -> None:
        await asyncio.sleep(max(0.0, (self.start - now_ms()) / 1000 + trouble.at))
        names: list[Child] = []
        if trouble.kind in ON_WORKERS:
            names = self._some([w for w in self._place.workers if w.running], trouble.part)
        elif trouble.kind == "kill-dispatchers" or trouble.kind in (*ON_DISKS, *ON_PEERS):
            names = (
                self._some(self._place.dispatchers, trouble.part)
                if not trouble.hall
                else [
                    d
                    for n, d in enumerate(self._place.dispatchers)
                    if self._deployment.halls[n % len(self._deployment.halls)] == trouble.hall
                ]
            )
        elif trouble.kind in ON_PLANNERS and self._place.planners:
            names = self._some(self._place.planners, trouble.part)
        self._capture.note(
            "trouble", kind=trouble.kind, seconds=trouble.last, factor=trouble.factor, of=[c.name for c in names]
        )
        try:
            await self._befall(trouble, names)
        except (OSError, RuntimeError) as cause:  # a victim that is down already
            self._capture.note("trouble-failed", kind=trouble.kind, reason=str(cause))

    def _some(self, children: list[Child], part: float) -> list[Child]:
        count = max(1, round(part * len(children)))
        return [children[int(n)] for n in self._chance.choice(len(children), count, replace=False)]

    async def _befall(self, trouble: Fault, victims: list[Child]) -> None:
        place, kind, ms = self._place, trouble.kind, trouble.last * 1000
        if kind in ON_STORE:
            await place.fault(place.store, kind=kind.removeprefix("store-"), for_ms=ms, factor=trouble.factor)
        elif kind == "list-late":
            await place.fault(place.roster, kind="late", for_ms=ms, late_ms=trouble.ms)
        elif kind == "list-names-nobody":
            await self._nobody(trouble)
        elif kind in ("idle-connections", "slow-readers"):
            await self._connections(trouble)
        elif kind in ON_PLANNERS:
            await asyncio.gather(*(self._planner(victim, trouble) for victim in victims))
        elif kind == "kill-dispatchers":
            await asyncio.gather(*(self._kill(victim, trouble.last) for victim in victims))
        elif kind in ON_PEERS:
            await self._peers(trouble, victims)
        elif kind in ON_DISKS:
            fault: dict[str, dict[str, Any]] = {
                "disk-slow": {"sync_ms": trouble.ms},
                "disk-fails": {"fails": True},
                "disk-full": {"full": True},
            }
            for victim in victims:
                place.harm_disk(victim, **fault[kind])
            await asyncio.sleep(trouble.last)
            for victim in victims:
                place.harm_disk(victim)
        elif kind == "crash":
            await asyncio.gather(*(self._crash(victim, trouble.last) for victim in victims))
        elif kind in ("rolling-deploy", "drain"):
            pause = trouble.last / max(1, len(victims))
            for victim in victims:
                await self._deploy(victim, again=kind == "rolling-deploy")
                await asyncio.sleep(pause)
        else:
            extra: dict[str, Any] = {"share": trouble.share, "factor": trouble.factor, "ms": trouble.ms}
            if trouble.type:
                extra["type"] = trouble.type
            await asyncio.gather(*(place.fault(v, kind=kind, for_ms=ms, **extra) for v in victims))

    async def _peers(self, trouble: Fault, victims: list[Child]) -> None:
        """What befalls dispatchers and what is between them."""
        place, kind = self._place, trouble.kind
        if kind == "cut-peers":
            await self._cut_off(trouble, victims)
        elif kind == "slow-peers":
            self._slow.append((trouble.ms, trouble.share))
            await self._tell_links()
            await asyncio.sleep(trouble.last)
            self._slow.remove((trouble.ms, trouble.share))
            await self._tell_links()
        elif kind == "reset-peers":
            await place.harm_links(reset=trouble.share)
        elif kind == "pause-dispatchers":
            if trouble.type == "looked":
                victims = await self._holders() or victims
            await asyncio.gather(*(self._pause(victim, trouble.last, trouble.type == "looked") for victim in victims))
        elif kind == "lose-machines":
            ends = trouble.at + trouble.last > self._day.seconds
            await asyncio.gather(*(self._kill(victim, None if ends else trouble.last, True) for victim in victims))
        else:
            fault = {"rate": trouble.factor} if kind == "clock-rate" else {"step_ms": trouble.ms}
            for victim in victims:
                place.harm_clock(victim, **fault)
            await asyncio.sleep(trouble.last)
            for victim in victims:
                place.harm_clock(victim)

    async def _cut_off(self, trouble: Fault, victims: list[Child]) -> None:
        """Between the victims and all others; one way: what they say, or what they are told, drawn for each."""
        names = {child.name for child in victims}
        others = [c.name for c in (*self._place.dispatchers, *self._place.planners) if c.name not in names]
        pairs = []
        for name in sorted(names):
            out, back = (
                (True, True) if not trouble.one_way else (False, True) if self._chance.random() < 0.5 else (True, False)
            )
            pairs += [(name, other) for other in others if out] + [(other, name) for other in others if back]
        self._cut.update(pairs)
        await self._tell_links()
        await asyncio.sleep(trouble.last)
        self._cut.subtract(pairs)
        await self._tell_links()

    async def _tell_links(self) -> None:
        ms, share = max(self._slow, default=(0.0, 0.0))
        await self._place.harm_links(
            cut=[pair for pair, count in self._cut.items() if count > 0], slow={"ms": ms, "share": share}
        )

    async def _holders(self) -> list[Child]:
        """Dispatchers that hold a task."""
        found = []
        for dispatcher in self._place.dispatchers:
            with contextlib.suppress(OSError, HttpError, TimeoutError):
                async with asyncio.timeout(0.3):  # one that is stopped says nothing
                    if dispatcher.running and (await ask(dispatcher.said["asked_at"], "GET", "/leases"))["holds"]:
                        found.append(dispatcher)
        return found

    async def _pause(self, victim: Child, for_s: float, looked: bool) -> None:
        """Stopped and continued: at any instant, or (`looked`) between its next look at a lease and the act."""
        number = self._place.dispatchers.index(victim)
        self._capture.note("stopped", dispatcher=number)
        self._place.signal(victim, signal.SIGUSR1 if looked else signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if looked:
            self._place.signal(victim, signal.SIGUSR2)
        self._place.signal(victim, signal.SIGCONT)
        self._capture.note("woken", dispatcher=number)

    async def _kill(self, victim: Child, down_s: float | None, disk: bool = False) -> None:
        """Killed outright, its disk lost too where told; started again after a time, or never.  One that is down for
        another trouble stays that one's: guards against two processes of one name, the first of which nobody minds."""
        if victim in self._down:
            return
        self._down.add(victim)
        try:
            await self._killed(victim, down_s, disk)
        finally:
            self._down.discard(victim)

    async def _killed(self, victim: Child, down_s: float | None, disk: bool) -> None:
        number = self._place.dispatchers.index(victim)
        self._capture.note("kill", dispatcher=number)
        self._place.kill(victim)
        if disk:
            if victim.process is not None:
                await victim.process.wait()
            self._place.lose_disk(victim)
            self._capture.note("disk-lost", dispatcher=number)
        if down_s is None:
            return
        await asyncio.sleep(down_s)
        await self._place.launch(victim)
        self._capture.note("restarted", dispatcher=number)

    async def _planner(self, victim: Child, trouble: Fault) -> None:
        """A planner that is slow, or killed and started again, with what it kept or with nothing."""
        if trouble.kind in ("planners-slow", "planners-wrong"):
            fault = {"ms": trouble.ms} if trouble.kind == "planners-slow" else {"factor": trouble.factor}
            await ask(victim.said["control"], "POST", "/fault", fault | {"for_ms": trouble.last * 1000})
            return
        if trouble.kind == "pause-planners":
            self._place.signal(victim, signal.SIGSTOP)
            await asyncio.sleep(trouble.last)
            self._place.signal(victim, signal.SIGCONT)
            return
        if trouble.kind == "cut-planners":
            await self._cut_off(trouble, [victim])
            return
        self._place.kill(victim)
        if trouble.kind == "planners-forget":
            (self._out / "state" / victim.name / "planner.bin").unlink(missing_ok=True)
        await asyncio.sleep(trouble.last)
        await self._place.launch(victim)

    async def _crash(self, victim: Child, down_s: float) -> None:
        await self._place.fault(victim, kind="crash")
        await asyncio.sleep(down_s)
        await self._place.launch(victim)

    async def _deploy(self, victim: Child, again: bool) -> None:
        """Drain, tell the worker, let its work end, stop it, start it anew."""
        await self._place.tell_list(victim, "draining")
        await asyncio.sleep(self._deployment.rules.drain_grace_ms / 1000)
        await ask(victim.said["control"], "POST", "/drain", {})
        await asyncio.sleep(1.0)
        await self._place.end(victim, 5)
        if again:
            await self._place.launch(victim)

    async def _nobody(self, trouble: Fault) -> None:
        """A worker in the list that nobody listens for."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        roster = self._place.roster.said["address"]
        await ask(
            roster,
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
        await asyncio.sleep(trouble.last)
        await ask(roster, "POST", "/state", {"id": "worker-nobody", "state": "gone"})

    async def _connections(self, trouble: Fault) -> None:
        """Clients that hold connections: idle ones, or ones that read a byte a second."""
        loop = asyncio.get_running_loop()
        socks = []
        for n in range(trouble.count):
            host, _, port = self._place.dispatchers[n % len(self._place.dispatchers)].said["address"].rpartition(":")
            sock = socket.socket()
            sock.setblocking(False)
            socks.append(sock)
            with contextlib.suppress(OSError):
                await loop.sock_connect(sock, (host, int(port)))
                if trouble.kind == "slow-readers":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                    await loop.sock_sendall(sock, b"GET /api/v1 HTTP/1.1\r\nhost: x\r\n\r\n" * 50)
        end = now_ms() + trouble.last * 1000
        while now_ms() < end:
            await asyncio.sleep(1)
            if trouble.kind == "slow-readers":
                for sock in socks:
                    with contextlib.suppress(OSError):
                        sock.recv(1)
        for sock in socks:
            sock.close()
