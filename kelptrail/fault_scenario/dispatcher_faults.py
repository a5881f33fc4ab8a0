"""Faults of dispatcher processes: kills, lost machines, pauses, disk faults, clock faults and faults of peer links."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import Any

from kelptrail.codec.http import HttpError
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.cluster import Cluster, Process, http_json

from .peer_links import PeerLinks
from .scenario import Fault, FaultKind

LEASE_QUERY_TIMEOUT_S = 0.3  # A paused dispatcher does not answer
# Fault type of a pause between a check of a lease and the use of the lease.
PAUSE_AFTER_LEASE_CHECK = "looked"


class DispatcherFaults:
    """Injects faults into the dispatchers of a cluster.  Each method returns when its fault is over."""

    def __init__(self, cluster: Cluster, capture: Capture, links: PeerLinks, scenario_seconds: float) -> None:
        self._cluster, self._capture, self._links = cluster, capture, links
        self._scenario_seconds = scenario_seconds
        # Targets of the calls of `kill` in progress: until the restart, or only until the kill if no restart follows.
        self._killed: set[Process] = set()

    async def inject_peer_fault(self, fault: Fault, targets: list[Process]) -> None:
        """Inject a fault of `PEER_FAULTS`: of dispatchers that have peers, or of the links between them."""
        kind = fault.kind
        if kind == FaultKind.CUT_PEERS:
            await self._links.cut_off(fault, targets)
        elif kind == FaultKind.SLOW_PEERS:
            await self._links.slow(fault)
        elif kind == FaultKind.RESET_PEERS:
            await self._links.reset(fault.share)
        elif kind == FaultKind.PAUSE_DISPATCHERS:
            await self._pause_all(fault, targets)
        elif kind == FaultKind.LOSE_MACHINES:
            lost_for_good = fault.at + fault.duration > self._scenario_seconds
            down_s = None if lost_for_good else fault.duration
            await asyncio.gather(*(self.kill(target, down_s, lose_disk=True) for target in targets))
        else:
            await self._inject_clock_fault(fault, targets)

    async def inject_disk_fault(self, fault: Fault, targets: list[Process]) -> None:
        """Inject a fault of `DISK_FAULTS`: slow, failing or full disks of dispatchers."""
        settings: dict[str, dict[str, Any]] = {
            FaultKind.DISK_SLOW: {"sync_ms": fault.ms},
            FaultKind.DISK_FAILS: {"fails": True},
            FaultKind.DISK_FULL: {"full": True},
        }
        for target in targets:
            self._cluster.set_disk_fault(target, **settings[fault.kind])
        await asyncio.sleep(fault.duration)
        for target in targets:
            self._cluster.set_disk_fault(target)

    async def _inject_clock_fault(self, fault: Fault, targets: list[Process]) -> None:
        settings = {"rate": fault.factor} if fault.kind == FaultKind.CLOCK_RATE else {"step_ms": fault.ms}
        for target in targets:
            self._cluster.set_clock_fault(target, **settings)
        await asyncio.sleep(fault.duration)
        for target in targets:
            self._cluster.set_clock_fault(target)

    async def _pause_all(self, fault: Fault, targets: list[Process]) -> None:
        """Pause the targets.  A pause after a lease check affects the lease holders instead, if there are any."""
        after_lease_check = fault.type == PAUSE_AFTER_LEASE_CHECK
        if after_lease_check:
            targets = await self._lease_holders() or targets
        await asyncio.gather(*(self._pause(target, fault.duration, after_lease_check) for target in targets))

    async def _lease_holders(self) -> list[Process]:
        """Return the dispatchers that hold the lease of a task.

        `asked_at` in a dispatcher's ready line is the address of its control port.
        """
        holders = []
        for dispatcher in self._cluster.dispatchers:
            with contextlib.suppress(OSError, HttpError, TimeoutError):
                async with asyncio.timeout(LEASE_QUERY_TIMEOUT_S):
                    if (
                        dispatcher.running
                        and (await http_json(dispatcher.ready_info["asked_at"], "GET", "/leases"))["holds"]
                    ):
                        holders.append(dispatcher)
        return holders

    async def _pause(self, target: Process, duration_s: float, after_lease_check: bool) -> None:
        """Suspend the process, and resume it after `duration_s`.

        With `after_lease_check`, SIGUSR1 makes the process suspend itself between its next check of a lease and the use
        of the lease.  At the end of the pause, SIGUSR2 cancels this if it has not happened.
        """
        number = self._cluster.dispatchers.index(target)
        self._capture.write("stopped", dispatcher=number)
        self._cluster.signal(target, signal.SIGUSR1 if after_lease_check else signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if after_lease_check:
            self._cluster.signal(target, signal.SIGUSR2)
        self._cluster.signal(target, signal.SIGCONT)
        self._capture.write("woken", dispatcher=number)

    async def kill(self, target: Process, down_s: float | None, lose_disk: bool = False) -> None:
        """Kill a dispatcher, and restart it after `down_s` seconds unless that is None.

        With `lose_disk`, its disk is removed as well.  A dispatcher that another fault has killed and will restart is
        skipped: two faults would start two processes of the same name, the first of which could no longer be signalled
        or stopped.
        """
        if target in self._killed:
            return
        self._killed.add(target)
        try:
            await self._kill_and_restart(target, down_s, lose_disk)
        finally:
            self._killed.discard(target)

    async def _kill_and_restart(self, target: Process, down_s: float | None, lose_disk: bool) -> None:
        number = self._cluster.dispatchers.index(target)
        self._capture.write("kill", dispatcher=number)
        self._cluster.kill(target)
        if lose_disk:
            if target.process is not None:
                await target.process.wait()
            self._cluster.lose_disk(target)
            self._capture.write("disk-lost", dispatcher=number)
        if down_s is None:
            return
        await asyncio.sleep(down_s)
        await self._cluster.launch(target)
        self._capture.write("restarted", dispatcher=number)
