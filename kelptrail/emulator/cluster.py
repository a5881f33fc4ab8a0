"""A cluster on the loopback interface: emulators and dispatchers as supervised processes."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

import msgspec

from kelptrail.net.http_client import HttpClient
from kelptrail.settings.deployment import Deployment

from .child_process import Process, memory_kb, read_ready_line, spawn
from .cluster_commands import ClusterCommands, repeated

__all__ = ["ClientsFailedError", "Cluster", "Process", "http_json", "memory_kb"]

STOP_TIMEOUT_S = 3  # for emulators and planners; dispatchers have longer to answer the calls they accepted


class ClientsFailedError(RuntimeError):
    """A client process exited with an error."""


class Cluster:
    """Starts, supervises and stops the processes of one deployment."""

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
        """`file` is the deployment file, `out` the folder for captures, `logs` the folder for log files.

        Without `out`, nothing is captured.  Without `logs`, dispatchers and planners log to standard error unless
        `quiet`.
        """
        self.deployment, self._out, self._logs, self._quiet = deployment, out, logs, quiet
        self._commands = ClusterCommands(deployment, file, seed, log_level, json_logs=logs is not None)
        self.store = self.endpoint_service = Process("", [])  # placeholders until `start`
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
        """Start all processes, each after those it depends on.

        With planners, the dispatchers are edges of the planners; `solver` is the planners' option `--solver`.  If
        the deployment has a `peers` section, the channels among dispatchers, and between dispatchers and planners, go
        through a proxy.  All dispatchers try to acquire leases for `tasks`.

        The names of the processes are also those of their captures and log files.  Some differ from the names in the
        code: `roster` is the endpoint service, `relay` the datagram proxy, `links` the channel proxy and `witness` the
        side-effect log.
        """
        self.store = await self.start_process("store", self._commands.model_store())
        self.endpoint_service = await self.start_process("roster", ["emulate", "endpoint-service"])
        vrrp = self.deployment.vrrp
        if vrrp is not None and any(instance.via for instance in vrrp.instance):
            self.datagram_proxy = await self.start_process("relay", self._commands.datagram_proxy())
        await self._start_workers(workers)
        planner_names = [f"planner-{n}" for n in range(planners)]
        if self.deployment.peers is not None:
            dispatcher_names = [f"dispatcher-{n}" for n in range(dispatchers)]
            self.channel_proxy = await self.start_process(
                "links", self._commands.channel_proxy(dispatcher_names, planner_names)
            )
        if tasks:
            self.side_effect_log = await self.start_process("witness", ["emulate", "side-effect-log"])
        await self._start_planners(planner_names, solver, state)
        await self._start_dispatchers(dispatchers, tasks, state)

    async def _start_workers(self, count: int) -> None:
        store, endpoint_service = self.store.ready_info["address"], self.endpoint_service.ready_info["address"]
        starts = (
            self.start_process(f"worker-{n}", self._commands.worker(n, store, endpoint_service)) for n in range(count)
        )
        self.workers = list(await asyncio.gather(*starts))

    async def _start_planners(self, names: list[str], solver: str, state: Path | None) -> None:
        endpoint_service = self.endpoint_service.ready_info["address"]
        starts = (
            self.start_process(
                name, self._commands.planner(name, endpoint_service, solver, self.peer_options(name), state)
            )
            for name in names
        )
        self.planners = list(await asyncio.gather(*starts))
        for planner in self.planners:
            await self._announce_address(planner, planner.ready_info["address"])

    async def _start_dispatchers(self, count: int, tasks: tuple[str, ...], state: Path | None) -> None:
        endpoint_service = self.endpoint_service.ready_info["address"]
        starts = []
        for number in range(count):
            name = f"dispatcher-{number}"
            peer_options = [*self.peer_options(name), *self._task_options(tasks)]
            command = self._commands.dispatcher(
                number, endpoint_service, self._planner_options(name), peer_options, state
            )
            starts.append(self.start_process(name, command))
        self.dispatchers = list(await asyncio.gather(*starts))

    def peer_options(self, name: str) -> list[str]:
        """Return the options with the proxy addresses at which a process reaches its peers."""
        return repeated(
            "--peer",
            (
                f"{link.partition('>')[2]}={address}"
                for link, address in self._proxy_routes().items()
                if link.startswith(f"{name}>") and ">planner" not in link
            ),
        )

    def _planner_options(self, name: str) -> list[str]:
        """Return the options with the addresses of the planners, which are those of the proxy if there is one."""
        routes = self._proxy_routes()
        return repeated("--planner", (routes.get(f"{name}>{p.name}", p.ready_info["address"]) for p in self.planners))

    def _proxy_routes(self) -> dict[str, str]:
        """Return the addresses of the proxy by link, "source>target"."""
        routes: dict[str, str] = self.channel_proxy.ready_info["routes"] if self.channel_proxy is not None else {}
        return routes

    async def _announce_address(self, child: Process, address: str) -> None:
        """Send the proxy the address at which a process listens."""
        if self.channel_proxy is not None:
            await http_json(self.channel_proxy.ready_info["address"], "POST", "/", {"at": {child.name: address}})

    def _task_options(self, tasks: tuple[str, ...]) -> list[str]:
        if self.side_effect_log is None:
            return []
        return ["--witness", self.side_effect_log.ready_info["address"], *repeated("--task", tasks)]

    async def start_process(self, name: str, arguments: list[str]) -> Process:
        """Start a new process with this command line; emulators write a capture if there is a folder for captures."""
        if self._out is not None and arguments[0] == "emulate":
            arguments = [*arguments, "--capture", str(self._out / f"{name}.jsonl")]
        child = Process(name, arguments)
        await self.launch(child)
        return child

    async def launch(self, child: Process) -> None:
        """Start a process, or restart it on the same ports, and wait for its ready line.

        Raises `ProcessStartError`.
        """
        process = await spawn(child, self._logs, self._quiet)
        await read_ready_line(child, process)
        if child.ready_info.get("peers"):
            await self._announce_address(child, child.ready_info["peers"])
        task = asyncio.get_running_loop().create_task(self._supervise(child, process))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _supervise(self, child: Process, process: asyncio.subprocess.Process) -> None:
        """Report the exit of a worker to the endpoint service, as a process supervisor would."""
        await process.wait()
        if child in self.workers and self.endpoint_service.running:
            with contextlib.suppress(OSError):
                await self.set_listed_state(child, "gone")

    async def run_clients(
        self, script: str, count: int, start: float, addresses: list[str], inference_addresses: list[str]
    ) -> None:
        """Run the clients of a scenario file in `count` processes until these exit.

        `start` is the start of the load in ms of the monotonic clock.  Raises `ClientsFailedError` if a process exits
        with an error.
        """
        arguments = self._commands.clients(script, start, count, addresses, inference_addresses)
        capture = ["--capture", str(self._out)] if self._out is not None else []
        children = [
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "kelptrail", *arguments, "--number", str(n), *capture, start_new_session=True
            )
            for n in range(count)
        ]
        try:
            exit_codes = [await child.wait() for child in children]
        finally:
            for child in children:
                if child.returncode is None:
                    child.kill()
        if any(exit_codes):
            raise ClientsFailedError(f"client processes exited with codes {exit_codes}")

    async def set_listed_state(self, worker: Process, state: str) -> None:
        """Set the state of a worker in the endpoint list."""
        body = {"id": worker.name, "state": state}
        if state == "gone":
            body["incarnation"] = worker.ready_info["incarnation"]
        await http_json(self.endpoint_service.ready_info["address"], "POST", "/state", body)

    async def fault(self, child: Process, **body: Any) -> None:
        """Inject a fault at a process's control port, or at its address if it has no control port."""
        await http_json(child.ready_info.get("control") or child.ready_info["address"], "POST", "/fault", body)

    def set_disk_fault(self, child: Process, **fault: Any) -> None:
        """Set a dispatcher's disk fault; without settings the fault ends."""
        self._write_fault(child, "--harmed-disk", fault)

    def set_clock_fault(self, child: Process, **fault: Any) -> None:
        """Set a dispatcher's clock fault; without settings the fault ends."""
        self._write_fault(child, "--harmed-clock", fault)

    @staticmethod
    def _write_fault(child: Process, option: str, fault: dict[str, Any]) -> None:
        file = Path(child.option(option))
        temporary_file = file.with_suffix(".new")
        temporary_file.write_bytes(msgspec.json.encode(fault))
        temporary_file.replace(file)

    def lose_disk(self, child: Process) -> None:
        """Delete a dispatcher's state, as if its disk were lost."""
        shutil.rmtree(child.option("--state"), ignore_errors=True)

    async def set_link_fault(self, **body: Any) -> None:
        """Change the faults of the channel proxy."""
        assert self.channel_proxy is not None
        await http_json(self.channel_proxy.ready_info["address"], "POST", "/", body)

    def signal(self, child: Process, number: signal.Signals) -> None:
        """Send a signal to a child process if it is running."""
        if child.running and child.process is not None:
            child.process.send_signal(number)

    def kill(self, child: Process) -> None:
        """Send SIGKILL to a child process if it is running."""
        child.stop_requested = True
        if child.running and child.process is not None:
            child.process.kill()

    async def terminate(self, child: Process, within_s: float = 20.0) -> int | None:
        """Send SIGTERM to a process, and kill it if it does not exit in time.

        Return its exit code, or None if it was never started.
        """
        child.stop_requested = True
        if child.process is None:
            return None
        if child.running:
            with contextlib.suppress(ProcessLookupError):
                child.process.send_signal(signal.SIGCONT)  # a stopped process handles SIGTERM only after it continues
                child.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(child.process.wait(), within_s)
            except TimeoutError:
                child.process.kill()
                await child.process.wait()
        return child.process.returncode

    async def stop(self) -> bool:
        """Stop all processes, dispatchers first so that accepted calls are answered.

        Return whether all dispatchers drained, that is, exited with code 0.
        """
        exit_codes = await asyncio.gather(*(self.terminate(d) for d in self.dispatchers))
        other_processes = [
            *self.planners,
            *self.workers,
            self.endpoint_service,
            self.store,
            *(child for child in (self.datagram_proxy, self.channel_proxy, self.side_effect_log) if child is not None),
        ]
        await asyncio.gather(*(self.terminate(child, STOP_TIMEOUT_S) for child in other_processes))
        if self._tasks:
            await asyncio.gather(*list(self._tasks), return_exceptions=True)
        return all(code == 0 for code in exit_codes)


async def http_json(address: str, method: str, target: str, body: Any = None) -> Any:
    """Send one request with a JSON body on a new connection, and return the decoded answer."""
    client = HttpClient(address)
    try:
        return await client.json(method, target, body)
    finally:
        client.close()
