"""Fake workers with one proxy for each pair of process and worker, so that faults can be set for each pair."""

from __future__ import annotations

from fault_injection.captured_attempts import AttemptCapture
from fault_injection.proxy import Proxy
from fault_injection.run_state import RunState
from fault_injection.workers import FakeWorkers


class ProxiedWorkers(FakeWorkers):
    """Fake workers that processes reach through proxies, which capture attempts and load orders."""

    def __init__(self, run: RunState, processes: int, capture: AttemptCapture) -> None:
        super().__init__(run)
        self._capture = capture
        self._by_process: list[list[Proxy]] = [[] for _ in range(processes)]

    async def open(self) -> int:
        """Start one more worker and its proxies; return its number."""
        worker = await super().open()
        for process, proxies in enumerate(self._by_process):
            upstream = ("127.0.0.1", self.ports[worker])
            proxy = Proxy(upstream, self._run.rng, self._capture.listener(process, worker))
            await proxy.open()
            proxies.append(proxy)
        return worker

    def proxied_port(self, process: int, worker: int) -> int:
        """Return the port under which a process reaches a worker."""
        return self._by_process[process][worker].port

    def proxies_of(self, worker: int) -> list[Proxy]:
        """Return the proxies in front of a worker, in the order of the processes."""
        return [proxies[worker] for proxies in self._by_process]
