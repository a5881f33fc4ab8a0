"""Clients that send requests over their own connections and behave at random.

They write slowly, send floods, leave early, reset the connection, send noise, close one direction only or ignore
GO_AWAY.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Sequence
from enum import Enum, auto
from typing import NamedTuple

from fault_injection.processes import PlatformProcesses
from fault_injection.run_state import Answer, RunState, SentRequest
from fault_injection.settings import TENANT, RequestKind
from kelptrail.codec import frames

MAX_OPEN_REQUESTS = 30  # per connection
# The dispatcher may read a request up to this time after it was sent, and consider the connection idle until then.
MAX_READ_DELAY_S = 0.05
ANSWERS_TIMEOUT_S = 2.5
READ_END_TIMEOUT_S = 1.0  # limit of the wait for the reader of a connection that has ended
RECEIVE_BYTES = 65_536  # limit of one read
# Batches of a client that ignores GO_AWAY.  With their mean pause of 0.03 s (`_send_batches`) they take about 4 s,
# longer than from SIGTERM to the earliest SIGKILL (`MAX_SHUTDOWN_S` in soak_processes.py).
MAX_BATCHES_UNTIL_CLOSED = 130
SLOW_WRITE_BYTES = 60
SLOW_WRITE_PAUSE_S = 0.01
FUNCTIONS = 9
REQUEST_KINDS = [RequestKind.IDEMPOTENT, RequestKind.IDEMPOTENT, RequestKind.DEDUPLICATED, RequestKind.AT_MOST_ONCE]
PADDING_BYTES = (0, 40, 40, 2000, 16_000)


class ClientBehavior(Enum):
    """How a client uses one connection."""

    NORMAL = auto()
    SLOW_WRITER = auto()
    FLOOD = auto()
    CLOSES_EARLY = auto()
    RESETS = auto()
    NOISE = auto()
    HALF_CLOSES = auto()
    IGNORES_GO_AWAY = auto()  # keeps sending while the connection is open


BEHAVIORS = [ClientBehavior.NORMAL] * 6 + [
    ClientBehavior.SLOW_WRITER,
    ClientBehavior.FLOOD,
    ClientBehavior.CLOSES_EARLY,
    ClientBehavior.RESETS,
    ClientBehavior.NOISE,
    ClientBehavior.HALF_CLOSES,
    ClientBehavior.IGNORES_GO_AWAY,
    ClientBehavior.IGNORES_GO_AWAY,
]
LEAVES_EARLY = frozenset(
    {ClientBehavior.CLOSES_EARLY, ClientBehavior.RESETS, ClientBehavior.HALF_CLOSES, ClientBehavior.NOISE}
)


class EncodedRequest(NamedTuple):
    """A request and its bytes on the wire."""

    request: SentRequest
    data: bytes


class Clients:
    """Clients of all processes of a run.

    `limits_ms` are the time limits from which the clients choose.  Between two connections a client pauses for at most
    `max_pause_s`."""

    def __init__(
        self, run: RunState, processes: PlatformProcesses, limits_ms: Sequence[int], max_pause_s: float
    ) -> None:
        self._run = run
        self._processes = processes
        self._limits_ms = limits_ms
        self.max_pause_s = max_pause_s

    async def run_one(self) -> None:
        """Run one client, which connects to one random process after another while the run lasts."""
        while self._run.running:
            process = self._run.rng.randrange(len(self._processes))
            with contextlib.suppress(OSError, RuntimeError):  # the connection was refused or has ended
                reader, writer = await asyncio.open_connection(*self._processes.addresses[process])
                await ClientConnection(self._run, process, self._limits_ms, reader, writer).serve()
            await asyncio.sleep(self._run.rng.random() * self.max_pause_s)


class ClientConnection:
    """One connection of a client, which sends and ends at random and records what it reads."""

    def __init__(
        self,
        run: RunState,
        process: int,
        limits_ms: Sequence[int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._run = run
        self._rng = run.rng
        self._process = process
        self._limits_ms = limits_ms
        self._reader = reader
        self._writer = writer
        # A connection that fails closes the writer's descriptor, although the socket may have received answers before.
        self._socket = _duplicate_socket(writer)
        self._sent: dict[int, SentRequest] = {}  # requests by stream number
        self._behavior = ClientBehavior.NORMAL
        self._go_away_received = False

    async def serve(self) -> None:
        """Send requests in batches, then leave or wait for the answers, according to the behavior."""
        self._read_task = asyncio.create_task(self._read_answers())
        self._behavior = self._rng.choice(BEHAVIORS)
        try:
            if not await self._send_batches():
                # The connection has ended.  `_read_answers` may be pausing: let it record the answers and the end.
                await asyncio.wait((self._read_task,), timeout=READ_END_TIMEOUT_S)
                return
            if self._behavior in LEAVES_EARLY:
                await self._leave()
            else:
                await self._wait_for_answers()
        finally:
            self._mark_cancelled_by_close()
            await asyncio.sleep(0.01)
            self._read_task.cancel()
            self._writer.close()
            self._socket.close()

    async def _send_batches(self) -> bool:
        """Send batches of requests with pauses; return False if the connection is found closed on sending one."""
        ignores_go_away = self._behavior is ClientBehavior.IGNORES_GO_AWAY
        for _ in range(MAX_BATCHES_UNTIL_CLOSED if ignores_go_away else self._rng.randrange(1, 12)):
            if not self._run.running or (self._go_away_received and not ignores_go_away) or self._read_task.done():
                break
            for _ in range(self._batch_size()):
                if sum(each.is_open for each in self._sent.values()) >= MAX_OPEN_REQUESTS:
                    break
                if not await self._send_request(len(self._sent) + 1):
                    return False
            await asyncio.sleep(self._rng.random() * 0.06)
            if self._behavior in LEAVES_EARLY and self._rng.random() < 0.4:
                break
        return True

    def _batch_size(self) -> int:
        if self._behavior is ClientBehavior.FLOOD:
            return self._rng.randrange(8, 24)
        return self._rng.choice((1, 1, 3))

    async def _send_request(self, stream: int) -> bool:
        """Send one request and cancel it at random; return False if the connection has closed."""
        request, data = self._new_request(stream)
        request.after_idle = self._is_idle()
        self._sent[stream] = request
        is_slow = self._behavior is ClientBehavior.SLOW_WRITER
        if is_slow:
            for at in range(0, len(data), SLOW_WRITE_BYTES):
                self._writer.write(data[at : at + SLOW_WRITE_BYTES])
                await asyncio.sleep(SLOW_WRITE_PAUSE_S)
        if self._read_task.done() or self._writer.is_closing():
            return False
        self._run.requests[request.id] = request
        if not is_slow:
            self._writer.write(data)
        now = time.monotonic()
        request.written_at, request.deadline = now, now + request.limit_s
        if self._rng.random() < (0.5 if self._behavior is ClientBehavior.FLOOD else 0.05):
            self._writer.write(frames.encode_frame(frames.CANCEL, stream))
            request.client_left_at = time.monotonic()
        return True

    def _is_idle(self) -> bool:
        """Return whether the dispatcher may consider the connection idle and close it as the next request is sent."""
        now = time.monotonic()
        return all(
            not each.is_open or (each.after_idle and now - each.written_at < MAX_READ_DELAY_S)
            for each in self._sent.values()
        )

    def _new_request(self, stream: int) -> EncodedRequest:
        """Return a random request, and record its id as started."""
        kind = self._rng.choice(REQUEST_KINDS)
        limit_ms = self._rng.choice(self._limits_ms)
        id_ = self._rng.randbytes(8).hex()
        fields = {
            "verb": kind.value,
            "txn": id_,
            "limit": str(limit_ms),
            "team": TENANT,
            "info": "memory_mb:300;lanes:4",
            "item": f"{self._rng.randrange(FUNCTIONS):016x}",
        }
        if kind is RequestKind.DEDUPLICATED:
            fields["unique"] = f"u{id_}"
        self._run.started_ids.add(id_)
        payload = frames.encode_fields(fields) + id_.encode() + bytes(self._rng.choice(PADDING_BYTES))
        data = frames.encode_frame(frames.REQUEST, stream, payload)
        return EncodedRequest(SentRequest(id_, kind, self._process, limit_ms / 1000), data)

    async def _leave(self) -> None:
        """Record that the client abandons its open requests; send noise, half-close or prepare a reset, by behavior.

        `serve` then closes the connection."""
        now = time.monotonic()
        for request in self._sent.values():
            if request.is_open:
                request.client_left_at = now
        if self._behavior is ClientBehavior.NOISE:
            # The dispatcher answers noise with an error and closes the connection.
            self._writer.write(self._rng.randbytes(40))
            await asyncio.sleep(0.1)
        elif self._behavior is ClientBehavior.HALF_CLOSES:
            self._writer.write_eof()
            await asyncio.sleep(0.1)
        elif self._behavior is ClientBehavior.RESETS:
            # The writer has no descriptor any more if the connection has ended.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    async def _wait_for_answers(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWERS_TIMEOUT_S):
                while not self._read_task.done() and any(each.is_open for each in self._sent.values()):
                    await asyncio.sleep(0.01)

    def _mark_cancelled_by_close(self) -> None:
        """Record that the client cancels its open requests by closing the connection before their deadlines.

        Closing a connection that the dispatcher has already closed cancels none."""
        now = time.monotonic()
        for request in self._sent.values():
            if request.is_open and not self._read_task.done() and now < request.deadline:
                request.client_left_at = now

    async def _read_answers(self) -> None:
        reader = frames.FrameReader(1 << 20)
        with contextlib.suppress(OSError):
            while data := await self._reader.read(RECEIVE_BYTES):
                self._record_frames(reader, data)
                if self._rng.random() < 0.02:
                    await asyncio.sleep(0.05)  # a slow reader
        # After a reset, the stream raises but keeps in its buffer what it received before.
        self._record_frames(reader, bytes(self._reader._buffer))  # type: ignore[attr-defined]
        # After a write that failed, the socket keeps what it received before and the stream did not read.
        self._record_frames(reader, _receive_available(self._socket))
        now = time.monotonic()
        for request in self._sent.values():
            request.closed_at = now

    def _record_frames(self, reader: frames.FrameReader, data: bytes) -> None:
        now = time.monotonic()
        reader.feed(data)
        while (frame := reader.next()) is not None:
            kind, stream, payload = frame
            if kind == frames.GO_AWAY:
                self._go_away_received = True
            elif kind == frames.ANSWER and stream in self._sent:
                _, end = frames.read_fields(payload[1:])
                self._sent[stream].answers.append(Answer(now, payload[0], payload[1 + end :]))


def _duplicate_socket(writer: asyncio.StreamWriter) -> socket.socket:
    """Return a further descriptor of a writer's socket.  Raises `OSError` if the connection has ended."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        raise ConnectionResetError("the connection has ended")
    duplicate: socket.socket = sock.dup()
    return duplicate


def _receive_available(sock: socket.socket) -> bytes:
    """Return the bytes that a socket has received, without waiting for further ones."""
    received = b""
    with contextlib.suppress(OSError):  # nothing is left, or the connection was reset after these bytes
        while data := sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT):
            received += data
    return received
