"""Faults that the soak injects.  They last for random times, and several overlap."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import time
from collections.abc import Awaitable, Callable, Sequence

from fault_injection.endpoint_list import EndpointChange, EndpointList, EndpointState, ListFault
from fault_injection.proxied_workers import ProxiedWorkers
from fault_injection.proxy import ConnectionFault
from fault_injection.request_checks import DRAINED_WORKER
from fault_injection.run_state import RunState, TimeInterval
from fault_injection.soak_processes import SoakProcesses
from fault_injection.system_calls import SystemCall
from kelptrail.codec import frames

LISTED_WORKERS = 6  # initially; one more is added during the run
NEW_ENDPOINT_ID = 90
WORKER_DRAINED_IN_OUTAGE = 1
OUTAGE_FAULTS = (ListFault.DOWN, ListFault.SILENT)
OUTAGE_S = 7.0  # longer than the time after which a process counts as notified although its list is unavailable
MAX_DRAIN_DELAY_S = 4.0  # from the start of the outage
FAILURE_SHARES = {
    SystemCall.SEND: 0.03,
    SystemCall.RECV: 0.03,
    SystemCall.CONNECT: 0.5,
    SystemCall.ACCEPT: 0.5,
    SystemCall.SOCKET: 0.5,
}
SHORT_TRANSFER_SHARES = (0.0, 0.3)
CLOCK_STEPS_S = (-3600.0, -3.0, 3.0, 3600.0)
CONNECTION_FAULTS = (
    ConnectionFault.LATE,
    ConnectionFault.SLOW,
    ConnectionFault.SPLIT,
    ConnectionFault.STALL,
    ConnectionFault.CUT,
)
CONNECTION_FAULT_SHARE = 0.6
LIST_FAULTS = (ListFault.DOWN, ListFault.SLOW, ListFault.SILENT)
IDLE_CLIENTS = 90
RELOAD_INTERVAL_S = 0.06


class SoakFaults:
    """Injects faults into the processes of a run, their workers, lists and clients, and counts them by kind."""

    def __init__(
        self, run: RunState, processes: SoakProcesses, workers: ProxiedWorkers, lists: Sequence[EndpointList]
    ) -> None:
        self._run = run
        self._rng = run.rng
        self._processes = processes
        self._workers = workers
        self._lists = lists
        self.counts: collections.Counter[str] = collections.Counter()
        self.list_outages: list[list[TimeInterval]] = [[] for _ in lists]  # outages by process
        self.new_worker_starts: dict[int, float] = {}  # start times of workers added during the run
        # The names of these methods are the kinds in `counts`, which the soak prints.
        self._injectors: list[Callable[[], Awaitable[None]]] = [
            self._fail_system_calls,
            self._fail_system_calls,
            self._step_clocks,
            self._reload_in_a_row,
            self._restart_processes,
            self._restart_processes,
            self._fail_lists,
            self._fail_connections,
            self._fail_connections,
            self._hang_worker,
            self._open_idle_clients,
            self._reset_worker_connections,
        ]

    async def inject(self, seconds: float, at_once: int) -> None:
        """Inject random faults for `seconds`, up to `at_once` of them at the same time."""
        end = time.monotonic() + seconds

        async def inject_one_by_one() -> None:
            while time.monotonic() < end:
                inject_fault = self._rng.choice(self._injectors)
                self.counts[inject_fault.__name__.lstrip("_")] += 1
                await inject_fault()
                await asyncio.sleep(self._rng.random() * 0.3)

        await asyncio.gather(*(inject_one_by_one() for _ in range(at_once)))

    def _choose_processes(self, share: float = 0.4) -> list[int]:
        count = max(1, round(share * len(self._processes)))
        return self._rng.sample(range(len(self._processes)), count)

    async def _fail_system_calls(self) -> None:
        call = self._rng.choice(list(SystemCall))
        controls = [self._processes.controls[n] for n in self._choose_processes()]
        for control in controls:
            control.failure_shares[call] = FAILURE_SHARES[call]
            control.short_transfer_share = self._rng.choice(SHORT_TRANSFER_SHARES)
            control.write()
        await asyncio.sleep(0.5 + self._rng.random() * 2)
        for control in controls:
            control.failure_shares.pop(call, None)
            control.short_transfer_share = 0.0
            control.write()

    async def _step_clocks(self) -> None:
        step_s = self._rng.choice(CLOCK_STEPS_S)
        for n in self._choose_processes():
            self._processes.controls[n].clock_step_s += step_s
            self._processes.controls[n].write()
        await asyncio.sleep(1 + self._rng.random() * 2)

    async def _reload_in_a_row(self) -> None:
        """Reload the configurations of some processes many times; some files are half written, the last is complete."""
        chosen = self._choose_processes(0.3)
        for n in chosen:
            self._write_configuration(n)
        for _ in range(self._rng.randrange(3, 25)):
            for n in chosen:
                self._processes.reload(n)
            await asyncio.sleep(RELOAD_INTERVAL_S)
            for n in chosen:
                text = self._processes.configuration(n)
                half_written = self._rng.random() < 0.2
                self._processes.configuration_file(n).write_text(text[: len(text) // 2] if half_written else text)
        for n in chosen:
            self._write_configuration(n)
            self._processes.reload(n)

    def _write_configuration(self, n: int) -> None:
        self._processes.configuration_file(n).write_text(self._processes.configuration(n))

    async def _restart_processes(self) -> None:
        await asyncio.gather(*(self._processes.restart(n) for n in self._choose_processes(0.3)))

    async def _fail_lists(self) -> None:
        chosen = self._choose_processes(0.5)
        fault = self._rng.choice(LIST_FAULTS)
        start = time.monotonic()
        for n in chosen:
            self._lists[n].fault = fault
        await asyncio.sleep(1 + self._rng.random() * 3)
        for n in chosen:
            self._lists[n].fault = ListFault.NONE
            self.list_outages[n].append(TimeInterval(start, time.monotonic()))

    async def _fail_connections(self) -> None:
        fault = self._rng.choice(CONNECTION_FAULTS)
        proxies = self._workers.proxies_of(self._rng.randrange(LISTED_WORKERS))
        for proxy in proxies:
            proxy.fault_shares[fault] = CONNECTION_FAULT_SHARE
        # Whether a connection is cut or stalled is drawn when it is opened, so the open ones are reset.
        if fault in (ConnectionFault.CUT, ConnectionFault.STALL):
            for proxy in proxies:
                proxy.reset_connections()
        await asyncio.sleep(0.5 + self._rng.random() * 2)
        for proxy in proxies:
            proxy.fault_shares[fault] = 0.0

    async def _hang_worker(self) -> None:
        worker = self._rng.randrange(LISTED_WORKERS)
        self._workers.hung.add(worker)
        await asyncio.sleep(1 + self._rng.random() * 3)
        self._workers.hung.discard(worker)

    async def _open_idle_clients(self) -> None:
        """Open many client connections to one process, so that it runs short of descriptors."""
        writers = []
        n = self._rng.randrange(len(self._processes))
        with contextlib.suppress(OSError):
            for _ in range(IDLE_CLIENTS):
                _, writer = await asyncio.open_connection(*self._processes.addresses[n])
                writer.write(frames.encode_frame(frames.READY_QUERY, 1, b"\0"))
                writers.append(writer)
        await asyncio.sleep(1 + self._rng.random())
        for writer in writers:
            writer.close()

    async def _reset_worker_connections(self) -> None:
        worker = self._rng.randrange(LISTED_WORKERS)
        for proxy in self._workers.proxies_of(worker):
            for connection in list(proxy.connections):
                if self._rng.random() < 0.5:
                    connection.abort()
        await asyncio.sleep(0.2)

    async def drain_in_outage(self) -> None:
        """Drain a worker during a long outage of the endpoint lists of half of the processes."""
        chosen, fault, start = self._choose_processes(0.5), self._rng.choice(OUTAGE_FAULTS), time.monotonic()
        for n in chosen:
            self._lists[n].outage = fault
            self.list_outages[n].append(TimeInterval(start, start + OUTAGE_S))
        await asyncio.sleep(self._rng.random() * MAX_DRAIN_DELAY_S)
        self._workers.draining.add(WORKER_DRAINED_IN_OUTAGE)
        self._run.drained_at[WORKER_DRAINED_IN_OUTAGE] = time.monotonic()
        change = EndpointChange(WORKER_DRAINED_IN_OUTAGE, WORKER_DRAINED_IN_OUTAGE, EndpointState.DRAINING)
        self._publish(change)
        await asyncio.sleep(max(0.0, start + OUTAGE_S - time.monotonic()))
        for n in chosen:
            self._lists[n].outage = ListFault.NONE

    async def replace_worker(self) -> None:
        """Drain one worker, start a new one under another id and remove the old one.

        Does nothing if the worker has already been drained in this run."""
        if DRAINED_WORKER in self._run.drained_at:
            return
        self._workers.draining.add(DRAINED_WORKER)
        self._run.drained_at[DRAINED_WORKER] = time.monotonic()
        self._publish(EndpointChange(DRAINED_WORKER, DRAINED_WORKER, EndpointState.DRAINING))
        worker = await self._workers.open()
        self.new_worker_starts[worker] = time.monotonic()
        change = EndpointChange(NEW_ENDPOINT_ID, worker, EndpointState.LIVE)
        self._publish(change, started_ms=int(time.time() * 1000))
        sample = self._rng.sample(range(WORKER_DRAINED_IN_OUTAGE + 1, LISTED_WORKERS), 3)
        # Other workers hang for a while, so that the new worker is needed.
        hung = set(sample) - self._workers.hung
        self._workers.hung |= hung
        await asyncio.sleep(1.5)
        self._workers.hung -= hung
        await asyncio.sleep(1.5)  # time for late attempts at the draining worker
        self._publish(EndpointChange(DRAINED_WORKER, DRAINED_WORKER, EndpointState.REMOVED))

    def _publish(self, change: EndpointChange, started_ms: int = 0) -> None:
        for endpoint_list in self._lists:
            endpoint_list.publish(change, started_ms=started_ms)
