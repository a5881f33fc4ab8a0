"""Races of graceful shutdown and signals of the platform's program with other events.

In several tests one side is blocked at a known point, so that the order of events depends less on timing.  Where a
test needs a fixed pause for its order, a remark says what the pause waits for.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from platform_fixture import CLASS, SETTINGS, PlatformFixture, WorkerStub, configuration, echo, run
from raw_sockets import (
    SMALL_BUFFER_BYTES,
    answers,
    connect_raw,
    never_answer,
    read_all,
    read_until,
    request,
    until,
)

from kelptrail.codec import frames
from kelptrail.platform import graceful_shutdown, log_events

# The constants named here are in `kelptrail.dispatch.shutdown` and `kelptrail.platform.graceful_shutdown`.
# Latest end of a shutdown after its start: `ARRIVALS_MS` and the longest timeout of `SETTINGS` (2 s), less `MARGIN_MS`,
# plus `CLOSE_LINGER_MS`.
PLANNED_END_S = 2.5
EARLIEST_KILL_S = 3.7  # earliest time of SIGKILL after SIGTERM: `ARRIVALS_MS` plus `MAX_DEADLINE_WAIT_MS`


def test_a_request_that_arrives_as_shutdown_ends_is_answered_or_not_executed() -> None:
    async def main() -> None:
        def slowly(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.2, echo, worker, id_, body, writer)

        async with PlatformFixture(WorkerStub(slowly)) as platform:
            client = await platform.client()
            client.send_request(1)
            assert await client.answer_code() == frames.SERVED
            loop, late_streams = asyncio.get_running_loop(), []
            original_call_later = loop.call_later

            def call_later(delay: float, callback: Callable[..., Any], *args: Any, **options: Any) -> Any:
                is_end = getattr(callback, "__name__", "") in ("set_result", "_finish")
                # A request arrives after the last check found no open work and the connections began to close.
                if is_end and not late_streams:
                    late_streams.append(2)
                    client.send_request(2)
                return original_call_later(delay, callback, *args, **options)

            platform.service._shutdown._loop = LoopWithCallLater(loop, call_later)
            platform.service.shut_down()
            assert await client.next_frame() == (frames.GO_AWAY, 0, b"")
            await asyncio.wait_for(platform.service.finished, 3.0)
            assert late_streams
            platform.service.close()
            code = await client.answer_code()
            assert code == frames.SERVED or (code is None and len(platform.workers[0].calls) == 1)

    run(main())


class LoopWithCallLater:
    """An event loop whose `call_later` is replaced."""

    def __init__(self, loop: asyncio.AbstractEventLoop, call_later: Callable[..., Any]) -> None:
        self._loop, self.call_later = loop, call_later

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


@pytest.mark.parametrize("reads", [True, False])
def test_shutdown_waits_for_answers_only_while_their_client_reads(reads: bool) -> None:
    body = bytes(90_000)

    def large(worker: WorkerStub, id_: bytes, _: bytes, writer: asyncio.StreamWriter) -> None:
        echo(worker, id_, body, writer)

    async def main() -> None:
        async with PlatformFixture(worker := WorkerStub(large)) as platform:
            sock = connect_raw(platform.port, SMALL_BUFFER_BYTES)
            await until(lambda: len(platform.service.client_server.connections))
            (client,) = platform.service.client_server.connections.fresh
            client.connection.transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            sock.sendall(request(1))
            await until(lambda: len(worker.calls) and client.connection._writing)
            started_at = time.monotonic()
            platform.service.shut_down()
            if not reads:
                # The answer no longer delays the shutdown `READ_STALL_MS` after the client last read.
                await asyncio.wait_for(platform.service.finished, PLANNED_END_S)
                sock.close()
                return
            await asyncio.sleep(0.8)  # the first check for open work comes after 0.7 s
            assert not platform.service.finished.done()
            found = await asyncio.to_thread(read_all, sock)
            # Before the body come the status code SERVED and an empty list of fields.
            assert answers(found) == {1: frames.SERVED} and found[0][2] == b"\0\0" + body
            await asyncio.wait_for(platform.service.finished, 1.0)
            assert time.monotonic() - started_at < PLANNED_END_S
            sock.close()

    run(main())


def test_shutdown_waits_for_a_partial_frame_and_accepts_clients_in_the_accept_queue() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            partial, server = await platform.client(), platform.service.client_server
            data = request(1)
            partial.writer.write(data[:30])
            await until(lambda: any(each.partial_frame_since for each in server.connections.fresh))
            (listener,) = server._listener._sockets
            loop = asyncio.get_running_loop()
            loop.remove_reader(listener)  # new clients stay in the accept queue
            platform.service.shut_down()
            assert await partial.next_frame() == (frames.GO_AWAY, 0, b"")
            late = connect_raw(platform.port)
            late.sendall(request(2))
            await asyncio.sleep(0.75)  # past the first check for open work
            assert not platform.service.finished.done()
            partial.writer.write(data[30:])
            assert await partial.answer_code() == frames.SERVED
            await asyncio.wait_for(platform.service.finished, 2.0)
            platform.service.close()
            assert answers(await asyncio.to_thread(read_all, late)) == {2: frames.SERVED}
            late.close()

    run(main())


def test_a_client_that_keeps_sending_requests_does_not_delay_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_MS", 100.0)
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"give_up_us": 400_000}])

    async def main() -> None:
        def slowly(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.1, echo, worker, id_, body, writer)

        async with PlatformFixture(WorkerStub(slowly)) as platform:
            client, stream = await platform.client(), 0
            platform.service.shut_down()
            async with asyncio.timeout(1.0):
                while not platform.service.finished.done():
                    stream += 1
                    client.send_request(stream, limit="400")
                    await asyncio.sleep(0.02)
            with pytest.raises(ConnectionRefusedError):
                await platform.client()

    run(main())


def test_the_last_answer_is_not_lost_to_a_reset() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            sock = connect_raw(platform.port)
            sock.sendall(b"\0\0\0\2no" + bytes(3000))  # not a frame: answered with an error and closed
            await asyncio.sleep(0.2)  # time for the server to answer
            with contextlib.suppress(OSError):
                sock.sendall(bytes(1000))  # later bytes must not reset the connection
            await asyncio.sleep(0.05)  # time for the later bytes to arrive
            # `read_all` hides a reset, so only the missing answer shows it.  It blocks the server's event loop, but the
            # answer has been sent by now.
            assert answers(read_all(sock)) == {0: frames.FAILED}
            sock.close()
            await until(lambda: not len(platform.service.client_server.connections))

    run(main())


class ProcessReadingPipe:
    """A process whose configuration file is a pipe: the read blocks before the event loop handles signals."""

    def __init__(self, tmp_path: Path) -> None:
        self._pipe = tmp_path / "pipe.json"
        os.mkfifo(self._pipe)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "kelptrail.platform"],
            env=os.environ | {"LB_CONFIG": str(self._pipe)},
            stdout=subprocess.PIPE,
        )

    def open_writer(self) -> int:
        """Open the writing end of the pipe once the process reads from it."""
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                return os.open(self._pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:  # the process does not read yet
                time.sleep(0.005)
        raise AssertionError(f"the process does not read the pipe; exit code {self.process.poll()}")

    def replace(self, text: str) -> None:
        """Replace the pipe by a file; a reader that has opened the pipe continues to read from it."""
        file = self._pipe.with_suffix(".whole")
        file.write_text(text)
        file.replace(self._pipe)

    def __enter__(self) -> ProcessReadingPipe:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()


def write_and_close(descriptor: int, text: str) -> None:
    os.write(descriptor, text.encode())
    os.close(descriptor)


def configuration_text(port: int) -> str:
    return json.dumps(configuration() | {"listen": f"127.0.0.1:{port}"})


def test_signals_before_the_loop_handles_them_are_held(tmp_path: Path) -> None:
    with ProcessReadingPipe(tmp_path) as blocked:
        writer = blocked.open_writer()
        blocked.process.send_signal(signal.SIGHUP)
        time.sleep(0.05)  # the process receives the signal before its read ends
        blocked.replace(configuration_text(0))  # read because of the signal
        write_and_close(writer, configuration_text(0))
        # The log line of the reload; `journal` is the key of the endpoint list's address.
        read_until(blocked.process, "configuration journal")
        blocked.process.send_signal(signal.SIGTERM)
        blocked.process.send_signal(signal.SIGTERM)  # has no effect during the shutdown
        assert blocked.process.wait(5) == 0


def test_a_shutdown_before_the_listener_is_open_does_not_open_it(tmp_path: Path) -> None:
    with ProcessReadingPipe(tmp_path) as blocked:
        writer = blocked.open_writer()
        blocked.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)  # the process receives the signal before its read ends
        write_and_close(writer, configuration_text(0))
        # The log shows indirectly that the listener was not opened: after that, SIGTERM starts a graceful shutdown.
        assert blocked.process.wait(5) == 0 and blocked.process.stdout is not None
        assert log_events.SHUTTING_DOWN.encode() not in blocked.process.stdout.read(), (
            "a graceful shutdown started although no client could connect"
        )


def test_reloads_during_shutdown_do_not_crash_the_process(tmp_path: Path) -> None:
    file = tmp_path / "c.json"
    file.write_text(configuration_text(0))
    process = subprocess.Popen(
        [sys.executable, "-m", "kelptrail.platform"], env=os.environ | {"LB_CONFIG": str(file)}, stdout=subprocess.PIPE
    )
    try:
        read_until(process, "list number=1")
        time.sleep(0.2)  # the listener opens after the list is logged
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.0005)
        assert process.returncode == 0
    finally:
        process.kill()
        process.wait()


def test_a_configuration_file_that_is_incomplete_at_the_signal_is_read_again(tmp_path: Path) -> None:
    file = tmp_path / "c.json"
    file.write_text(configuration_text(0))
    process = subprocess.Popen(
        [sys.executable, "-m", "kelptrail.platform"], env=os.environ | {"LB_CONFIG": str(file)}, stdout=subprocess.PIPE
    )
    try:
        read_until(process, "list number=1")
        time.sleep(0.2)  # the signal handlers are installed after the list is logged
        text = json.dumps(configuration() | {"journal": "127.0.0.1:19"})  # another address of the endpoint list
        file.write_text(text[: len(text) // 2])
        process.send_signal(signal.SIGHUP)
        read_until(process, "configuration kept")
        file.write_text(text)  # without a further signal: the program reads again after `REREAD_BACKOFF_MS`
        assert "kept" not in read_until(process, "configuration journal=('127.0.0.1', 19)")
    finally:
        process.kill()
        process.wait()


def test_open_requests_are_answered_before_a_process_in_shutdown_is_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGKILL may come `EARLIEST_KILL_S` after SIGTERM: 0.7 s plus the longest timeout, of which at most 3 s count.

    The worker never answers, and the deadline of the request is later.
    """
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"give_up_us": 8_000_000}])

    async def main() -> None:
        async with PlatformFixture(WorkerStub(never_answer)) as platform:
            client = await platform.client()
            client.send_request(1, limit="8000")
            await until(lambda: platform.workers[0].calls)
            started_at = time.monotonic()
            platform.service.shut_down()
            assert await client.next_frame() == (frames.GO_AWAY, 0, b"")
            assert await client.answer_code(EARLIEST_KILL_S) == frames.REFUSED, (
                "not refused, so the client does not retry it elsewhere"
            )
            await asyncio.wait_for(platform.service.finished, EARLIEST_KILL_S - (time.monotonic() - started_at))

    run(main())
