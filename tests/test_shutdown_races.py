"""Graceful shutdown and signals of the platform's program, met by an event between any two steps.  One side is held at
a known point; nothing depends on chance."""

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
from kelptrail.platform import graceful_shutdown


def test_a_request_in_the_moment_of_shutdown_is_answered_or_sees_the_close_and_ran_nowhere() -> None:
    async def main() -> None:
        def slowly(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.2, echo, worker, id_, body, writer)

        async with PlatformFixture(WorkerStub(slowly)) as platform:
            client = await platform.client()
            client.ask(1)
            assert await client.code() == frames.SERVED
            loop, late_requests = asyncio.get_running_loop(), []
            later = loop.call_later

            def crossing(delay: float, back: Callable[..., Any], *args: Any, **more: Any) -> Any:
                ends = getattr(back, "__name__", "") in ("set_result", "_finish")
                if ends and not late_requests:  # the last check found nothing: now a request arrives
                    late_requests.append(2)
                    client.ask(2)
                return later(delay, back, *args, **more)

            platform.service._shutdown._loop = LoopWithCallLater(loop, crossing)
            platform.service.shut_down()
            assert await client.next() == (frames.GO_AWAY, 0, b"")
            await asyncio.wait_for(platform.service.finished, 3.0)
            assert late_requests
            platform.service.close()
            code = await client.code()
            assert code == frames.SERVED or (code is None and len(platform.workers[0].calls) == 1)

    run(main())


class LoopWithCallLater:
    """The loop with another `call_later`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, later: Callable[..., Any]) -> None:
        self._loop, self.call_later = loop, later

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


@pytest.mark.parametrize("reads", [True, False])
def test_shutdown_waits_for_answers_that_a_client_reads_and_for_none_that_it_does_not(reads: bool) -> None:
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
            began = time.monotonic()
            platform.service.shut_down()
            if not reads:
                await asyncio.wait_for(platform.service.finished, 2.5)
                sock.close()
                return
            await asyncio.sleep(0.8)  # the last look comes after 0.7 s
            assert not platform.service.finished.done()
            found = await asyncio.to_thread(read_all, sock)
            assert answers(found) == {1: frames.SERVED} and found[0][2] == b"\0\0" + body
            await asyncio.wait_for(platform.service.finished, 1.0)
            assert time.monotonic() - began < 2.5
            sock.close()

    run(main())


def test_shutdown_waits_for_a_partial_frame_and_accepts_clients_in_the_accept_queue() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            half, front = await platform.client(), platform.service.client_server
            data = request(1)
            half.writer.write(data[:30])
            await until(lambda: any(each.partial_frame_since for each in front.connections.fresh))
            (listening,) = front._listener._sockets
            loop = asyncio.get_running_loop()
            loop.remove_reader(listening)  # whoever comes stands in the queue of the kernel
            platform.service.shut_down()
            assert await half.next() == (frames.GO_AWAY, 0, b"")
            late = connect_raw(platform.port)
            late.sendall(request(2))
            await asyncio.sleep(0.75)
            assert not platform.service.finished.done()
            half.writer.write(data[30:])
            assert await half.code() == frames.SERVED
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
                    client.ask(stream, limit="400")
                    await asyncio.sleep(0.02)
            with pytest.raises(ConnectionRefusedError):
                await platform.client()

    run(main())


def test_the_last_answer_is_not_lost_to_a_reset() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            sock = connect_raw(platform.port)
            sock.sendall(b"\0\0\0\2no" + bytes(3000))  # no frame: configuration_text, and closed
            await asyncio.sleep(0.2)
            with contextlib.suppress(OSError):
                sock.sendall(bytes(1000))  # what comes after that must not reset the connection
            await asyncio.sleep(0.05)
            assert answers(read_all(sock)) == {0: frames.FAILED}
            sock.close()
            await until(lambda: not len(platform.service.client_server.connections))

    run(main())


class ProcessReadingPipe:
    """A process whose configuration is a pipe: it stands still in reading it, before its signals are the loop's."""

    def __init__(self, tmp_path: Path) -> None:
        self._pipe = tmp_path / "pipe.json"
        os.mkfifo(self._pipe)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "kelptrail.platform"],
            env=os.environ | {"LB_CONFIG": str(self._pipe)},
            stdout=subprocess.PIPE,
        )

    def reading(self) -> int:
        """The pipe's other end, once the process reads."""
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                return os.open(self._pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:  # nobody reads yet
                time.sleep(0.005)
        raise AssertionError(f"it reads nothing; exit code {self.process.poll()}")

    def replace(self, text: str) -> None:
        """A file in the pipe's place: what is read already stays."""
        whole = self._pipe.with_suffix(".whole")
        whole.write_text(text)
        whole.replace(self._pipe)

    def __enter__(self) -> ProcessReadingPipe:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()


def write_and_close(end: int, text: str) -> None:
    os.write(end, text.encode())
    os.close(end)


def configuration_text(port: int) -> str:
    return json.dumps(configuration() | {"listen": f"127.0.0.1:{port}"})


def test_signals_before_the_loop_handles_them_are_held(tmp_path: Path) -> None:
    with ProcessReadingPipe(tmp_path) as held:
        end = held.reading()
        held.process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        held.replace(configuration_text(0))  # what is read again, for the signal
        write_and_close(end, configuration_text(0))
        read_until(held.process, "configuration journal")
        held.process.send_signal(signal.SIGTERM)
        held.process.send_signal(signal.SIGTERM)
        assert held.process.wait(5) == 0


def test_a_shutdown_before_the_listener_is_open_opens_none(tmp_path: Path) -> None:
    with ProcessReadingPipe(tmp_path) as held:
        end = held.reading()
        held.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        write_and_close(end, configuration_text(0))
        assert held.process.wait(5) == 0 and held.process.stdout is not None
        assert b"ending" not in held.process.stdout.read(), "nobody has come, nobody is waited for"


def test_a_reload_at_any_moment_of_shutdown_is_no_crash(tmp_path: Path) -> None:
    file = tmp_path / "c.json"
    file.write_text(configuration_text(0))
    process = subprocess.Popen(
        [sys.executable, "-m", "kelptrail.platform"], env=os.environ | {"LB_CONFIG": str(file)}, stdout=subprocess.PIPE
    )
    try:
        read_until(process, "list number=1")
        time.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.0005)
        assert process.returncode == 0
    finally:
        process.kill()
        process.wait()


def test_a_file_that_is_half_written_at_the_signal_is_read_again(tmp_path: Path) -> None:
    file = tmp_path / "c.json"
    file.write_text(configuration_text(0))
    process = subprocess.Popen(
        [sys.executable, "-m", "kelptrail.platform"], env=os.environ | {"LB_CONFIG": str(file)}, stdout=subprocess.PIPE
    )
    try:
        read_until(process, "list number=1")
        time.sleep(0.2)
        whole = json.dumps(configuration() | {"journal": "127.0.0.1:19"})
        file.write_text(whole[: len(whole) // 2])
        process.send_signal(signal.SIGHUP)
        read_until(process, "configuration kept")
        file.write_text(whole)
        assert "kept" not in read_until(process, "configuration journal=('127.0.0.1', 19)")
    finally:
        process.kill()
        process.wait()


def test_open_requests_are_answered_before_a_process_in_shutdown_is_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGKILL comes 0.7 s and at most 3 s after SIGTERM; a worker hangs through all of it and the client would wait
    longer."""
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"give_up_us": 8_000_000}])

    async def main() -> None:
        async with PlatformFixture(WorkerStub(never_answer)) as platform:
            client = await platform.client()
            client.ask(1, limit="8000")
            await until(lambda: platform.workers[0].calls)
            began = time.monotonic()
            platform.service.shut_down()
            assert await client.next() == (frames.GO_AWAY, 0, b"")
            assert await client.code(3.7) == frames.REFUSED, "it may run again, and does so elsewhere"
            await asyncio.wait_for(platform.service.finished, 3.7 - (time.monotonic() - began))

    run(main())
