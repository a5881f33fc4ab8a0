"""Rare conditions of the platform's sockets, clocks and configuration.

Transient failures of system calls as Linux documents them, clock steps, full limits, restarts and reloads.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from platform_fixture import PlatformFixture, WorkerStub, configuration, echo, event, run
from raw_sockets import (
    SMALL_BUFFER_BYTES,
    BlockedConnects,
    answers,
    connect_raw,
    never_answer,
    read_all,
    read_until,
    request,
    until,
)
from test_worker_list import EndpointListStub, watch_list_at

from kelptrail.codec import feed, frames
from kelptrail.engine.wall_clock import WallClockReader

ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.EINTR,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
)
TRANSIENT_SEND_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR)


class Failing:
    """Wraps an object; calls of one method fail with the errors of a list, then work as usual."""

    def __init__(self, wrapped: Any, method: str, codes: list[int]) -> None:
        self._wrapped, self._method, self._codes = wrapped, method, codes

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self._wrapped, name)
        return self._fail_first(attribute) if name == self._method else attribute

    def _fail_first(self, method: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            if self._codes:
                code = self._codes.pop(0)
                raise OSError(code, os.strerror(code))
            return method(*arguments)

        return call


@pytest.mark.parametrize("code", TRANSIENT_SEND_ERRORS)
def test_a_transient_send_failure_closes_no_connection(code: int) -> None:
    """The connections to the client and to the worker stay open, and the next request is answered."""

    async def main() -> None:
        async with PlatformFixture(worker := WorkerStub(echo)) as platform:
            client = await platform.client()
            client.send_request(1)
            assert await client.answer_code() == frames.SERVED
            (worker_connections,) = platform.service.executor.workers.connections.values()
            (connection,) = worker_connections._connections
            (client_connection,) = platform.service.client_server.connections.idle
            for wrapped in (connection.connection, client_connection.connection):
                assert wrapped is not None
                wrapped.transport.sock = Failing(wrapped.transport.sock, "send", [code, code])  # type: ignore[assignment]
            client.send_request(2)
            assert await client.answer_code() == frames.SERVED
            assert worker.connections == 1 and connection in worker_connections._connections

    run(main())


@pytest.mark.parametrize("step_ms", [3_600_000.0, -3_600_000.0, 3_000.0, -3_000.0])
def test_a_worker_that_starts_after_a_step_of_the_wall_clock_is_in_slow_start(
    step_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The worker's age is measured on the monotonic clock, in whichever direction the wall clock was stepped."""

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            now_ms = platform.service._now
            real_time = time.time
            monkeypatch.setattr("time.time", lambda: real_time() + step_ms / 1000)
            await asyncio.sleep(0.25)  # the periodic work detects the step
            started = int(real_time() * 1000 + step_ms) - 100
            platform.service.endpoints.on_event(worker_event(2, 7, started))
            worker = platform.service.engine.workers["s-00000007"]
            assert worker.started_at is not None
            assert 90.0 <= now_ms() - worker.started_at <= 400.0

    run(main())


def worker_event(number: int, id_: int, started: int) -> Any:
    """Return an event with one running worker, as the reader of the endpoint list returns it."""
    record = feed.EndpointRecord(f"s-{id_:08x}", "127.0.0.1", 9, feed.READY, 0, 0, 0, 1.0, started)
    return feed.EndpointEvent(number, False, [record])


def test_an_attempt_is_sent_with_the_time_that_remains_after_a_slow_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    """The time limit is encoded when the attempt is sent, not when it is queued."""
    limits: list[int] = []

    class LimitRecorder(WorkerStub):
        async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while line := await reader.readline():
                command, id_, *rest = line.split()
                if command == b"CALL":
                    await reader.readexactly(int(rest[-1]) + 2)
                    limits.append(int(rest[0].partition(b"limit=")[2].partition(b",")[0]))
                    writer.write(id_ + b" OK - 0\r\n\r\n")
                elif command == b"LOAD":
                    writer.write(id_ + b" OK units=1 0\r\n\r\n")

    async def main() -> None:
        async with PlatformFixture(LimitRecorder(echo)) as platform:
            client = await platform.client()
            client.send_request(1)
            assert await client.answer_code() == frames.SERVED  # an instance is loaded
            for worker in platform.service.executor.workers.connections.values():
                worker.close()
            connects = BlockedConnects(monkeypatch)
            client.send_request(2, limit="1500")
            await until(lambda: connects.waiting)
            await asyncio.sleep(0.4)
            connects.gate.set()
            assert await client.answer_code() == frames.SERVED
            assert limits and limits[-1] <= 1500 - 400 + 20

    run(main())


def test_a_unix_time_is_converted_to_the_latest_possible_time_that_is_not_in_the_future() -> None:
    hour = 3_600_000.0
    reader = WallClockReader(1_000_000.0, 0.0)
    assert reader.monotonic_ms(1_000_500.0, 1000.0) == 500.0
    assert not reader.observe(1_002_000.0 + 40.0, 2000.0), "a small difference is drift, not a step"
    assert reader.observe(1_003_000.0 + hour, 3000.0)
    assert reader.monotonic_ms(1_002_900.0, 3100.0) == 2860.0, "a time written before the step"
    assert reader.monotonic_ms(1_003_050.0 + hour, 3100.0) == 3050.0, "a time written after the step"
    assert reader.observe(1_004_000.0, 4000.0)
    assert reader.monotonic_ms(1_004_020.0, 4100.0) == 4020.0
    assert reader.monotonic_ms(1_004_000.0 + 9 * hour, 4100.0) == 4100.0, (
        "a time in the future at each known offset counts as now"
    )
    assert reader.steps == 2


@pytest.mark.parametrize("codes", [[code] for code in ACCEPT_ERRORS] + [[errno.ECONNABORTED, errno.EMFILE] * 3])
def test_clients_in_the_accept_queue_are_answered_at_shutdown_though_accepts_fail(codes: list[int]) -> None:
    """Each client that connected before the shutdown is accepted, also after accepts that fail."""

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            listener = platform.service.client_server._listener
            (listening,) = listener._sockets
            asyncio.get_running_loop().remove_reader(listening)  # new clients stay in the accept queue
            clients = [connect_raw(platform.port) for _ in range(3)]
            for number, client in enumerate(clients, 1):
                client.sendall(request(number))
            listener._sockets = {Failing(listening, "accept", list(codes)): None}  # type: ignore[dict-item]
            platform.service.shut_down()
            await asyncio.wait_for(platform.service.finished, 3.0)
            platform.service.close()
            for number, client in enumerate(clients, 1):
                assert answers(await asyncio.to_thread(read_all, client)) == {number: frames.SERVED}
                client.close()

    run(main())


def test_new_clients_beyond_the_connection_limit_are_all_answered() -> None:
    """No connection is closed while an unread request is in its receive buffer."""

    async def main() -> None:
        # Of 48 descriptors, 20 are for clients: the busy clients use up the limit.
        async with PlatformFixture(WorkerStub(never_answer), sockets=48) as platform:
            busy = [connect_raw(platform.port) for _ in range(20)]
            for number, client in enumerate(busy, 1):
                client.sendall(request(number))
            await until(lambda: len(platform.service.executor.client_requests) == 20)
            new_clients = [connect_raw(platform.port) for _ in range(30)]
            for number, client in enumerate(new_clients, 100):
                client.sendall(request(number))
            for number, client in enumerate(new_clients, 100):
                assert set(answers(await asyncio.to_thread(read_all, client, 4.0))) == {number}
            for client in busy + new_clients:
                client.close()

    run(main())


def test_repeated_reloads_do_not_reconnect_often_to_an_endpoint_list_that_answers() -> None:
    """Setting the same list address again opens a new connection at most once in `MAX_BACKOFF_MS` (1 s)."""

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                writer.write(event(1, 0))
                await asyncio.sleep(0.1)

        endpoint_list = EndpointListStub(serve)
        port = await endpoint_list.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            await watch_list_at(platform, port)
            await until(lambda: endpoint_list.requested_after)
            for _ in range(25):
                await asyncio.sleep(0.04)
                await watch_list_at(platform, port)
            assert len(endpoint_list.requested_after) <= 3

    run(main())


def test_a_start_time_from_another_clock_is_replaced_by_the_time_of_the_previous_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The dispatcher's wall clock has been an hour ahead of the list's since the start, so no step was detected."""
    real_time = time.time
    monkeypatch.setattr("time.time", lambda: real_time() + 3600)

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            platform.service.endpoints.on_event(worker_event(2, 7, int(real_time() * 1000) - 100))
            worker = platform.service.engine.workers["s-00000007"]
            assert worker.started_at is not None
            assert platform.service._now() - worker.started_at <= 1000.0

    run(main())


def test_a_transient_receive_failure_is_not_taken_for_the_end_of_a_connection() -> None:
    """A failed check for input must not close an idle connection that has an unread request."""

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client, server = await platform.client(), platform.service.client_server
            client.send_request(1)
            assert await client.answer_code() == frames.SERVED
            (idle,) = server.connections.idle
            client.send_request(2)  # sent but not read yet
            idle.connection.transport.sock = Failing(idle.connection.transport.sock, "recv", [errno.ENOMEM])  # type: ignore[assignment]
            server.connections.evict_one()
            assert await client.answer_code() == frames.SERVED

    run(main())


def start_process(tmp_path: Path, text: str) -> subprocess.Popen[bytes]:
    """Start a platform dispatcher with `text` as its configuration file."""
    (tmp_path / "c.json").write_text(text)
    return subprocess.Popen(
        [sys.executable, "-m", "kelptrail.platform"],
        env=os.environ | {"LB_CONFIG": str(tmp_path / "c.json")},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )


def test_a_configuration_that_is_incomplete_at_the_start_is_read_again(tmp_path: Path) -> None:
    complete = json.dumps(configuration() | {"listen": "127.0.0.1:0"})
    process = start_process(tmp_path, complete[: len(complete) // 2])
    try:
        time.sleep(0.8)
        (tmp_path / "c.json").write_text(complete)
        read_until(process, "list number=")
        process.terminate()
        assert process.wait(3.0) == 0
    finally:
        process.kill()
        process.wait()


def test_listening_is_retried_while_the_address_is_in_use(tmp_path: Path) -> None:
    """The previous process may still be closing.  (A shortage of descriptors is handled alike, but not tested here.)"""
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        port = occupied.getsockname()[1]
        process = start_process(tmp_path, json.dumps(configuration() | {"listen": f"127.0.0.1:{port}"}))
        time.sleep(0.9)
    try:
        deadline = time.monotonic() + 3.0
        while True:
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", port)).close()
                break
            assert time.monotonic() < deadline and process.poll() is None
            time.sleep(0.02)
        process.terminate()
        assert process.wait(3.0) == 0
    finally:
        process.kill()
        process.wait()


def test_an_answer_that_its_client_still_reads_is_not_truncated_for_a_new_connection() -> None:
    """The connection has no open request, but its answer is not completely written."""
    body = bytes(100_000)

    def large(worker: WorkerStub, id_: bytes, _: bytes, writer: asyncio.StreamWriter) -> None:
        echo(worker, id_, body, writer)

    async def main() -> None:
        async with PlatformFixture(WorkerStub(large)) as platform:
            server, slow = platform.service.client_server, connect_raw(platform.port, SMALL_BUFFER_BYTES)
            await until(lambda: len(server.connections))
            (client,) = server.connections.fresh
            client.connection.transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            slow.sendall(request(1))
            await until(lambda: client in server.connections.idle and client.connection.has_pending_writes)
            server.connections.evict_one()
            slow.settimeout(3.0)
            frame = await asyncio.to_thread(read_frame, slow)
            assert frame[2] == b"\0\0" + body
            slow.close()

    run(main())


def read_frame(sock: socket.socket) -> tuple[int, int, bytes]:
    """Return the next complete frame."""
    reader = frames.FrameReader(1 << 20)
    while (frame := reader.next()) is None:
        data = sock.recv(65536)
        assert data, "the connection ended within an answer"
        reader.feed(data)
    return frame


def test_nothing_is_decided_once_the_process_has_closed_its_sockets() -> None:
    """Requests and attempts that end with the close must not lead to new attempts or load orders."""

    async def main() -> None:
        async with PlatformFixture(worker := WorkerStub(never_answer)) as platform:
            client = await platform.client()
            client.send_request(1)
            await until(lambda: worker.calls)
            platform.service.close()
            connections = worker.connections
            await asyncio.sleep(0.1)
            assert worker.connections == connections and len(worker.calls) == 1

    run(main())


@pytest.mark.parametrize("code", [errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_an_accept_that_fails_for_a_system_wide_shortage_closes_no_other_client(code: int) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            idle, server = await platform.client(), platform.service.client_server
            idle.send_request(1)
            assert await idle.answer_code() == frames.SERVED
            (listening,) = server._listener._sockets
            loop = asyncio.get_running_loop()
            loop.remove_reader(listening)
            failing = Failing(listening, "accept", [code] * 3)
            server._listener._sockets = {failing: None}  # type: ignore[dict-item]
            loop.add_reader(listening, server._listener._on_readable, failing)
            late = await platform.client()
            late.send_request(2)
            assert await late.answer_code() == frames.SERVED
            idle.send_request(3)
            assert await idle.answer_code() == frames.SERVED

    run(main())
