"""Fake endpoint service: one endpoint list, served at two addresses, whose events are repeated, truncated or late."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections.abc import Callable
from enum import Enum, StrEnum, auto
from typing import Any, NamedTuple

from fault_injection.run_state import RunState
from fault_injection.settings import MODEL, ZONE

ADDRESSES = 2
EVENT_INTERVAL_S = 0.1
WATCH_START_DELAY_S = 3.0
TRUNCATED_EVENT_SHARE = 0.2
TRUNCATED_EVENT_BYTES = 9
EVENT_HEADER = struct.Struct(">IQB")  # length of the rest of the event, position, kind
# Id, address, port, state, zone, model, cell, capacity in thousandths, start of the worker in ms.
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")
KEEP_ALIVE_EVENT, CHANGE_EVENT = 0, 2
LOOPBACK = bytes((127, 0, 0, 1))


class EndpointState(Enum):
    """The state of an endpoint, with its number in events and its name in the configuration."""

    LIVE = (0, "in_service")
    DRAINING = (1, "terminating")
    REMOVED = (2, "terminated")

    def __init__(self, number: int, config_name: str) -> None:
        self.number = number
        self.config_name = config_name


class EndpointChange(NamedTuple):
    """One endpoint of an event, with the number of its worker."""

    id: int
    worker: int
    state: EndpointState


class ListFault(StrEnum):
    """A fault of the endpoint service; NONE if there is none."""

    NONE = "none"
    DOWN = "down"  # watches are closed without an event
    SLOW = "slow"  # a new watch sends nothing for `WATCH_START_DELAY_S`
    SILENT = "silent"  # watches stay open but send nothing


class WatchBehavior(Enum):
    """How one watch of the list is served."""

    NORMAL = auto()
    TRUNCATES_EVENTS = auto()
    REPEATS_EVENTS = auto()


WATCH_BEHAVIORS = [WatchBehavior.NORMAL] * 6 + [WatchBehavior.TRUNCATES_EVENTS, WatchBehavior.REPEATS_EVENTS]


class EndpointList:
    """One endpoint list and the watches on it.  `worker_port` returns the port under which a worker is listed.

    With `stalls_after_truncated_event`, a watch that truncates an event sends nothing more but stays open; otherwise it
    is closed."""

    def __init__(
        self, run: RunState, worker_port: Callable[[int], int], stalls_after_truncated_event: bool = False
    ) -> None:
        self._run = run
        self._worker_port = worker_port
        self._stalls_after_truncated_event = stalls_after_truncated_event
        self._events: list[bytes] = []
        self.entries: list[dict[str, Any]] = []  # the initial list and all events, in the format of a configuration
        self.addresses: list[str] = []
        self._fault = ListFault.NONE
        self.outage = ListFault.NONE  # a long fault; while it lasts, it takes precedence over the fault that was set

    @property
    def fault(self) -> ListFault:
        """The current fault of the service."""
        return self._fault if self.outage is ListFault.NONE else self.outage

    @fault.setter
    def fault(self, fault: ListFault) -> None:
        self._fault = fault

    async def open(self) -> None:
        """Start to serve at both addresses."""
        self._servers = [await asyncio.start_server(self._serve, "127.0.0.1", 0) for _ in range(ADDRESSES)]
        self.addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in self._servers]

    def set_initial(self, workers: int) -> None:
        """List the first `workers` workers; the id of each endpoint is the number of its worker."""
        targets = [self._target(EndpointChange(n, n, EndpointState.LIVE), 0) for n in range(workers)]
        self.entries.append({"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}})

    def publish(self, *changes: EndpointChange, started_ms: int = 0) -> None:
        """Add an event; `started_ms` is the wall-clock time at which the workers started, 0 if unknown."""
        position = 2 + len(self._events)
        records = b"".join(self._record(change, started_ms) for change in changes)
        header = EVENT_HEADER.pack(EVENT_HEADER.size - 4 + len(records), position, CHANGE_EVENT)
        self._events.append(header + records)
        targets = [self._target(change, started_ms) for change in changes]
        self.entries.append({"pos": position, "hosts": {"rev": position, "all": False, "targets": targets}})

    def _record(self, change: EndpointChange, started_ms: int) -> bytes:
        port = self._worker_port(change.worker)
        return ENDPOINT_RECORD.pack(change.id, LOOPBACK, port, change.state.number, 0, 0, 0, 1000, started_ms)

    def _target(self, change: EndpointChange, started_ms: int) -> dict[str, Any]:
        return {
            "uid": f"s-{change.id:08x}",
            "endpoint": f"127.0.0.1:{self._worker_port(change.worker)}",
            "az": ZONE,
            "model": MODEL,
            "pod_group": 0,
            "state": change.state.config_name,
            "capacity_hint": 1,
            "boot_ms": started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, RuntimeError, asyncio.IncompleteReadError):
            truncated = await self._write_events(reader, writer)
            if truncated and self._stalls_after_truncated_event:
                return
        writer.close()

    async def _write_events(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Write the events after the position that the process requests; return whether one was truncated.

        Continues with later events while the run lasts and the service is not down."""
        position = int.from_bytes(await reader.readexactly(8), "big")
        if self.fault is ListFault.SLOW:
            await asyncio.sleep(WATCH_START_DELAY_S)
        behavior = self._run.rng.choice(WATCH_BEHAVIORS)
        while self._run.running and self.fault is not ListFault.DOWN:
            if self.fault is ListFault.SILENT:
                await asyncio.sleep(EVENT_INTERVAL_S / 2)
                continue
            for event in self._events[position - 1 :]:
                if behavior is WatchBehavior.TRUNCATES_EVENTS and self._run.rng.random() < TRUNCATED_EVENT_SHARE:
                    writer.write(event[:TRUNCATED_EVENT_BYTES])
                    return True
                writer.write(event * (2 if behavior is WatchBehavior.REPEATS_EVENTS else 1))
                position += 1
            writer.write(EVENT_HEADER.pack(EVENT_HEADER.size - 4, position, KEEP_ALIVE_EVENT))
            await asyncio.sleep(EVENT_INTERVAL_S)
        return False
