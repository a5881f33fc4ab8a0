"""Keeps the functions that a dispatcher knows, and bounds how many there are.

Anybody can name a function that does not exist, so that the number of functions must not grow with the
number of ids that clients send.  A function is *proven* once a worker has run it or reported a loaded
instance.  Functions that are not proven have a bound of their own, so that they never displace proven ones.
At its bound the least recently requested function that is not in use makes way.  One in use cannot, so that
a client may keep only so many of them in use: each client has a small share of its own, whatever others ask
for, and all clients compete for the other half.
Times are milliseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from itertools import islice

from .entities import Function, Request

FUNCTION_BYTES = 4096  # memory of one function with its queues, a few instances and one request
BYTES_PER_WORKER = 8  # memory of one entry in the list of preferred workers of a function
UNPROVEN_MEMORY_SHARE = 1 / 16  # share of the process's memory for functions that are not proven
PROVEN_MEMORY_SHARE = 1 / 8  # share of the process's memory for proven functions
RESERVED_SHARE = 1 / 2  # share of the unproven functions that is divided equally between the clients
# Of the others, a client may keep as many in use as this share of those that are still free.
COMPETED_SHARE = 1 / 8
MAX_EXAMINED = 16  # number of functions that are examined to find one that is not in use
FUNCTION_LIFETIME_MS = 60_000  # a function without requests is removed after this time
MAX_REMOVALS_PER_TICK = 64  # limits the work of one tick
BYTES_PER_MB = 1 << 20


@dataclass(frozen=True, slots=True)
class FunctionLimits:
    """The memory for functions, in bytes, and the number of clients that may be connected."""

    unproven_bytes: float = float("inf")
    proven_bytes: float = float("inf")
    max_clients: int = 1


def limits_for_memory(memory_mb: float, max_clients: int) -> FunctionLimits:
    """Return the limits for a process that may use `memory_mb` and serves up to `max_clients`."""
    memory = memory_mb * BYTES_PER_MB
    return FunctionLimits(memory * UNPROVEN_MEMORY_SHARE, memory * PROVEN_MEMORY_SHARE, max_clients)


class FunctionTable:
    """The functions that a dispatcher knows.

    The caller must remove each function that a method returns from its own state.
    """

    def __init__(self, limits: FunctionLimits) -> None:
        self._limits = limits
        # Both are ordered sets, least recently requested first.
        self._unproven: dict[Function, None] = {}
        self._proven: dict[Function, None] = {}
        # Number of open requests, by client, that brought an unproven function into use.  Requests without a
        # client are not counted.
        self._held_by_client: Counter[object] = Counter()
        self._held_count = 0  # sum of `_held_by_client`

    def __len__(self) -> int:
        return len(self._unproven) + len(self._proven)

    def __contains__(self, function: Function) -> bool:
        return function in self._unproven or function in self._proven

    @property
    def unproven_count(self) -> int:
        """The number of known functions that are not proven."""
        return len(self._unproven)

    def accepts(self, request: Request, worker_count: int) -> bool:
        """Return whether the function of a request that arrived may come into use; `add` must follow then."""
        function = request.function
        if function.has_loaded or function.in_use:
            return True
        if request.client is None:
            return True
        capacity = _capacity(self._limits.unproven_bytes, worker_count)
        reserved = max(1, int(RESERVED_SHARE * capacity / self._limits.max_clients))
        competed = COMPETED_SHARE * ((1 - RESERVED_SHARE) * capacity - self._held_count)
        return self._held_by_client[request.client] < max(reserved, competed)

    def add(self, request: Request, worker_count: int) -> list[Function]:
        """Record that the function of an accepted request is in use; return the functions that made way."""
        function = request.function
        is_held = not (function.has_loaded or function.in_use) and request.client is not None
        self._unproven.pop(function, None)
        self._proven.pop(function, None)
        table = self._proven if function.has_loaded else self._unproven
        memory = self._limits.proven_bytes if function.has_loaded else self._limits.unproven_bytes
        removed = self._make_room(table, _capacity(memory, worker_count))
        table[function] = None
        if is_held:
            request.holds_unproven_function = True
            self._held_by_client[request.client] += 1
            self._held_count += 1
        return removed

    def on_request_ended(self, request: Request) -> None:
        """Record that a request has its final status."""
        if not request.holds_unproven_function:
            return
        request.holds_unproven_function = False
        self._held_count -= 1
        self._held_by_client[request.client] -= 1
        if not self._held_by_client[request.client]:
            del self._held_by_client[request.client]

    def remove_expired(self, now: float) -> list[Function]:
        """Remove functions past their lifetime, and return them."""
        removed = []
        for table in (self._unproven, self._proven):
            for function in list(islice(table, MAX_REMOVALS_PER_TICK)):
                if now - function.last_request_at < FUNCTION_LIFETIME_MS:
                    break
                if not function.in_use:
                    del table[function]
                    removed.append(function)
        return removed

    def _make_room(self, table: dict[Function, None], capacity: int) -> list[Function]:
        removed = []
        while len(table) >= capacity and (unused := self._first_unused(table)) is not None:
            del table[unused]
            removed.append(unused)
        return removed

    def _first_unused(self, table: dict[Function, None]) -> Function | None:
        """Return one of the least recently requested functions that is not in use, or None.

        A function that is in use, or belongs to the other table by now, moves to the end of its table.
        """
        for function in list(islice(table, MAX_EXAMINED)):
            if table is self._unproven and function.has_loaded:
                del table[function]
                self._proven[function] = None
            elif function.in_use:
                table[function] = table.pop(function)
            else:
                return function
        return None


def _capacity(memory_bytes: float, worker_count: int) -> int:
    """Return how many functions fit into the memory; at least one."""
    count = memory_bytes / (FUNCTION_BYTES + BYTES_PER_WORKER * worker_count)
    return max(1, int(min(count, 1e9)))
