"""Race conditions of the platform's program, forced on real sockets: a shutdown, a leaving client, a lost connection or
a second answer that comes between two steps.  One side is held at a known point; nothing depends on chance."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from test_platform import CLASS, SETTINGS, PlatformFixture, WorkerStub, configuration, echo, event, run

from kelptrail.codec import frames
from kelptrail.codec.lines import encode_call
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.net.connection import connect
from kelptrail.platform import graceful_shutdown, worker_connection
from kelptrail.platform.client_server import MAX_OPEN_REQUESTS
from kelptrail.platform.worker_connection import WorkerConnectionLimits
from kelptrail.platform.worker_connections import WorkerConnections

SMALL = 4096  # bytes of a socket's buffer, where it shall be full soon


def silent(*_: Any, **__: Any) -> None:
    """A worker that never answers."""


async def until(true: Callable[[], Any], within: float = 3.0) -> None:
    async with asyncio.timeout(within):
        while not true():
            await asyncio.sleep(0.005)


def raw(port: int, receive: int | None = None) -> socket.socket:
    """A client's socket; its buffer is bound before it connects."""
    sock = socket.socket()
    if receive is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
    sock.connect(("127.0.0.1", port))
    return sock


def request(stream: int, body: bytes = b"hello", **other: str) -> bytes:
    """A request's bytes."""
    told = {
        "verb": "t",
        "txn": f"{stream:016x}",
        "limit": "1500",
        "team": "acme",
        "item": f"{stream:016x}",
        "info": "memory_mb:512;lanes:2",
    } | other
    return frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(told) + body)


def read_all(sock: socket.socket, within: float = 3.0) -> list[tuple[int, int, bytes]]:
    """All frames until the connection ends."""
    sock.settimeout(within)
    reader, found = frames.FrameReader(1 << 20), []
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65536):
            reader.feed(data)
            while (frame := reader.next()) is not None:
                found.append(frame)
    return found


def answers(found: list[tuple[int, int, bytes]]) -> dict[int, int]:
    """The code that each stream was answered."""
    told = [(stream, payload[0]) for kind, stream, payload in found if kind == frames.ANSWER]
    assert len(dict(told)) == len(told), "one answer each"
    return dict(told)


class HeldConnect:
    """Replaces `connect` of a module: connects to come wait until `gate` is set."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, module: Any = worker_connection, port: int | None = None
    ) -> None:
        self.gate, self.waiting, self._port = asyncio.Event(), 0, port
        monkeypatch.setattr(module, "connect", self._connect)

    async def _connect(self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], within: float) -> socket.socket:
        if self._port in (None, address[1]):
            self.waiting += 1
            await self.gate.wait()
        return await connect(loop, address, within)


# The planned end.


def test_a_request_in_the_moment_of_shutdown_is_answered_or_sees_the_close_and_ran_nowhere() -> None:
    async def main() -> None:
        def slowly(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.2, echo, runner, id_, body, writer)

        async with PlatformFixture(WorkerStub(slowly)) as platform:
            client = await platform.client()
            client.ask(1)
            assert await client.code() == frames.SERVED
            loop, asked = asyncio.get_running_loop(), []
            later = loop.call_later

            def crossing(delay: float, back: Callable[..., Any], *args: Any, **more: Any) -> Any:
                ends = getattr(back, "__name__", "") in ("set_result", "_finish")
                if ends and not asked:  # the last look has found nothing: now a request comes
                    asked.append(2)
                    client.ask(2)
                return later(delay, back, *args, **more)

            platform.service._shutdown._loop = Crossing(loop, crossing)
            platform.service.shut_down()
            assert await client.next() == (frames.GO_AWAY, 0, b"")
            await asyncio.wait_for(platform.service.finished, 3.0)
            assert asked
            platform.service.close()
            code = await client.code()
            assert code == frames.SERVED or (code is None and len(platform.workers[0].calls) == 1)

    run(main())


class Crossing:
    """The loop with another `call_later`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, later: Callable[..., Any]) -> None:
        self._loop, self.call_later = loop, later

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


@pytest.mark.parametrize("reads", [True, False])
def test_shutdown_waits_for_answers_that_a_client_reads_and_for_none_that_it_does_not(reads: bool) -> None:
    body = bytes(90_000)

    def large(runner: WorkerStub, id_: bytes, _: bytes, writer: asyncio.StreamWriter) -> None:
        echo(runner, id_, body, writer)

    async def main() -> None:
        async with PlatformFixture(runner := WorkerStub(large)) as platform:
            sock = raw(platform.port, SMALL)
            await until(lambda: len(platform.service.client_server.connections))
            (client,) = platform.service.client_server.connections.fresh
            client.connection.transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
            sock.sendall(request(1))
            await until(lambda: len(runner.calls) and client.connection._writing)
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
            late = raw(platform.port)
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
        def slowly(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(0.1, echo, runner, id_, body, writer)

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
            sock = raw(platform.port)
            sock.sendall(b"\0\0\0\2no" + bytes(3000))  # no frame: told, and closed
            await asyncio.sleep(0.2)
            with contextlib.suppress(OSError):
                sock.sendall(bytes(1000))  # what comes after that must not reset the connection
            await asyncio.sleep(0.05)
            assert answers(read_all(sock)) == {0: frames.FAILED}
            sock.close()
            await until(lambda: not len(platform.service.client_server.connections))

    run(main())


# Signals of a process.


class HeldProcess:
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

    def __enter__(self) -> HeldProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()


def let_go(end: int, text: str) -> None:
    os.write(end, text.encode())
    os.close(end)


def read_until(process: subprocess.Popen[bytes], text: str, within: float = 4.0) -> str:
    """What the process says up to and with `text`."""
    assert process.stdout is not None
    said, deadline = "", time.monotonic() + within
    while text not in said:
        left = deadline - time.monotonic()
        assert left > 0 and select.select([process.stdout], [], [], left)[0], f"{text!r} not said: {said}"
        data = os.read(process.stdout.fileno(), 65536)
        assert data, f"ended: {said}"
        said += data.decode()
    return said


def told(port: int) -> str:
    return json.dumps(configuration() | {"listen": f"127.0.0.1:{port}"})


def test_signals_before_the_loop_handles_them_are_held(tmp_path: Path) -> None:
    with HeldProcess(tmp_path) as held:
        end = held.reading()
        held.process.send_signal(signal.SIGHUP)
        time.sleep(0.05)
        held.replace(told(0))  # what is read again, for the signal
        let_go(end, told(0))
        read_until(held.process, "configuration journal")
        held.process.send_signal(signal.SIGTERM)
        held.process.send_signal(signal.SIGTERM)
        assert held.process.wait(5) == 0


def test_a_shutdown_before_the_listener_is_open_opens_none(tmp_path: Path) -> None:
    with HeldProcess(tmp_path) as held:
        end = held.reading()
        held.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        let_go(end, told(0))
        assert held.process.wait(5) == 0 and held.process.stdout is not None
        assert b"ending" not in held.process.stdout.read(), "nobody has come, nobody is waited for"


def test_a_reload_at_any_moment_of_shutdown_is_no_crash(tmp_path: Path) -> None:
    file = tmp_path / "c.json"
    file.write_text(told(0))
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
    file.write_text(told(0))
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


# Clients that left.


class StubItem:
    """An attempt, as far as the connections know of it."""

    def __init__(self, id_: str) -> None:
        self.id, self.request = id_, self


class BareConnections:
    """Connections to one worker that reads when the test does, over small buffers."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        most: int = 1,
        in_all: int = 8,
        cancels: bool = True,
        parallel: bool = True,
    ) -> None:
        async def small(loop: asyncio.AbstractEventLoop, address: tuple[str, int], within: float) -> socket.socket:
            sock = await connect(loop, address, within)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
            return sock

        monkeypatch.setattr(worker_connection, "connect", small)
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()
        self.ended: list[tuple[Any, AttemptStatus]] = []
        limits = WorkerConnectionLimits(
            connect_ms=150.0,
            idle_ms=15_000.0,
            streams=100,
            max_in_all=in_all,
            answer_bytes=1 << 17,
            may_cancel=cancels,
            parallel_attempts=parallel,
            max_timeout_ms=2000.0,
            close_longest_idle=lambda: False,
            max_per_worker=most,
        )
        self.connections = WorkerConnections(
            asyncio.get_running_loop(),
            "w",
            self.listening.getsockname(),
            limits,
            lambda item, outcome, _: self.ended.append((item, outcome)),
            silent,
        )

    def send(self, id_: str, size: int = 16_000) -> Any:
        thing = StubItem(id_)
        data = encode_call(id_, "t", "a" * 16, 1000, "", bytes(size))
        self.connections.start_attempt(thing, lambda: data, len(data))  # type: ignore[arg-type]
        return thing

    async def take(self) -> socket.socket:
        """The worker's end of the connection, once it is up."""
        sock, _ = await asyncio.to_thread(self.listening.accept)
        await until(lambda: all(each.connection for each in self.connections._connections))
        return sock

    async def full(self, count: int = 4) -> tuple[socket.socket, list[Any]]:
        """Attempts behind a socket that accepts no more of the first."""
        things = [self.send(f"{n:016x}") for n in range(count)]
        sock = await self.take()
        (connection,) = self.connections._connections
        await until(lambda: connection.connection is not None and connection.connection._awaits_writable)
        return sock, things


def commands(sock: socket.socket, within: float = 0.3) -> list[bytes]:
    """The lines that the worker reads, bodies passed over; fails where the framing does not hold."""
    sock.settimeout(within)
    data, found = b"", []
    with contextlib.suppress(TimeoutError):
        while more := sock.recv(65536):
            data += more
    while data:
        line, _, data = data.partition(b"\r\n")
        words = line.split(b" ")
        assert words[0] in (b"CALL", b"CANCEL", b"LOAD"), line
        if words[0] == b"CALL":
            size = int(words[-1])
            assert data[size : size + 2] == b"\r\n"
            data = data[size + 2 :]
        found.append(b" ".join(words[:2]))
    return found


def test_an_attempt_behind_a_full_socket_is_cancelled_and_a_started_one_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        bare = BareConnections(monkeypatch)
        sock, (begun, second, third, _) = await bare.full()
        assert bare.connections.cancel(begun) is True, "it will arrive: nobody may take it for unsent"
        assert bare.connections.cancel(third) is False and bare.connections.cancel_unsent(second)
        assert not bare.connections.cancel_unsent(second) and bare.connections.cancel(third) is None
        found = await asyncio.to_thread(commands, sock)
        assert found == [b"CALL %016d" % 0, b"CALL %016d" % 3, b"CANCEL %016d" % 0]
        bare.connections.close()
        sock.close()

    run(main())


def test_a_connection_that_ends_proves_which_attempts_were_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        bare = BareConnections(monkeypatch)
        sock, things = await bare.full()
        sock.close()  # a reset, as bytes wait there
        await until(lambda: len(bare.ended) == 4)
        told = dict(bare.ended)
        assert [told[thing] for thing in things][1:] == [AttemptStatus.NOT_SENT] * 3
        assert not len(bare.connections) and not bare.connections.limits.open_count

    run(main())


def test_no_cancel_is_sent_where_the_settings_forbid_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        bare = BareConnections(monkeypatch, cancels=False)
        thing = bare.send("a" * 16, 10)
        sock = await bare.take()
        await asyncio.sleep(0.05)
        assert bare.connections.cancel(thing) is True
        assert await asyncio.to_thread(commands, sock) == [b"CALL " + b"a" * 16]
        bare.connections.close()

    run(main())


def test_a_cancel_is_sent_before_a_retry_can_be(monkeypatch: pytest.MonkeyPatch) -> None:
    """The further send's link may have been written to earlier in the turn: it would leave first."""

    async def main() -> None:
        first, second = BareConnections(monkeypatch, parallel=False), BareConnections(monkeypatch, parallel=False)
        thing, _ = first.send("a" * 16, 10), second.send("b" * 16, 10)
        ends = [await first.take(), await second.take()]
        await asyncio.sleep(0.05)
        ends[0].setblocking(False)
        assert ends[0].recv(1000).startswith(b"CALL")
        second.send("c" * 16, 10)  # its link is about to write
        assert first.connections.cancel(thing) is True
        second.send("a" * 16, 10)
        assert ends[0].recv(1000) == b"CANCEL " + b"a" * 16 + b"\r\n", "in the same turn, before any link's flush"
        for bare in (first, second):
            bare.connections.close()

    run(main())


@pytest.mark.parametrize("parallel", [True, False])
def test_a_cancel_that_cannot_be_sent_closes_its_connection_without_parallel_attempts(
    parallel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        bare = BareConnections(monkeypatch, parallel=parallel)
        sock, (begun, *others) = await bare.full()
        assert bare.connections.cancel(begun) is True
        assert bool(len(bare.connections)) is parallel, "what it was sent is given up by the end of its connection"
        assert [outcome for _, outcome in bare.ended] == ([] if parallel else [AttemptStatus.NOT_SENT] * len(others))
        bare.connections.close()
        sock.close()

    run(main())


@pytest.mark.parametrize("cancels", [True, False])
@pytest.mark.parametrize("leaves", ["close", "reset", "half", "cancel"])
def test_no_attempt_starts_for_a_client_that_left_during_the_connect(
    leaves: str, cancels: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(SETTINGS, "bounds", SETTINGS["bounds"] | {"may_cancel": cancels, "connect_timeout_us": 10**6})

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            stays = await platform.client()
            stays.ask(1)
            assert await stays.code() == frames.SERVED  # a copy stands
            for links in platform.service.executor.workers.connections.values():
                links.close()
            held = HeldConnect(monkeypatch)
            sock = raw(platform.port)
            sock.sendall(request(2, item=f"{0x7F3A9C21E0B4D655:016x}"))
            await until(lambda: held.waiting)
            if leaves == "cancel":
                sock.sendall(frames.encode_frame(frames.CANCEL, 2))
            elif leaves == "half":
                sock.shutdown(socket.SHUT_WR)
            else:
                if leaves == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()
            await until(lambda: not platform.service.executor.client_requests)
            held.gate.set()
            await asyncio.sleep(0.15)
            assert platform.workers[0].calls == [b"%016x" % 1]
            sock.close()

    run(main())


def test_a_close_behind_many_requests_is_seen_before_they_go_on() -> None:
    async def main() -> None:
        began: list[float] = []

        def late(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            began.append(time.monotonic())
            echo(runner, id_, body, writer)

        async with PlatformFixture(WorkerStub(late)) as platform:
            loop, busy = asyncio.get_running_loop(), True

            def work() -> None:  # each turn of the loop takes 10 ms
                time.sleep(0.01)
                if busy:
                    loop.call_soon(work)

            sock = raw(platform.port)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            data = b"".join(request(n, bytes(15_000), item="7f3a9c21e0b4d655") for n in range(1, MAX_OPEN_REQUESTS + 1))
            await until(lambda: len(platform.service.client_server.connections))
            work()
            await asyncio.to_thread(sock.sendall, data)
            closed = time.monotonic()
            sock.close()
            await until(lambda: not len(platform.service.client_server.connections))
            await asyncio.sleep(0.1)
            busy = False
            assert not [at - closed for at in began if at > closed + 0.1]

    run(main())


def test_an_attempt_for_a_finished_request_does_not_end_the_round_of_decisions() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client, taken = await platform.client(), platform.service.engine.on_request

            def forget_the_first(*args: Any) -> Any:
                accepted = taken(*args)
                if accepted.id == f"{1:016x}":
                    platform.service._loop.call_soon(platform.service.executor.client_requests.pop, accepted)
                return accepted

            platform.service.engine.on_request = forget_the_first  # type: ignore[method-assign]
            decide = platform.service._decide
            platform.service.executor._schedule_decisions = lambda: asyncio.get_running_loop().call_soon(
                asyncio.get_running_loop().call_soon, decide
            )
            failed: list[Any] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: failed.append(context))
            client.ask(1)
            client.ask(2, item="1" * 16)
            assert await client.next() is not None and not failed

    run(main())


# Workers' connections.


def test_a_duplicate_answer_is_never_mistaken_for_that_of_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"effect": "single_shot", "give_up_us": 2000000}])

    async def main() -> None:
        writers: list[asyncio.StreamWriter] = []

        def script(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            if len(writers) == 1:
                writer.write(b"%b MISS - 0\r\n\r\n" % id_)
                return
            if len(writers) == 2:  # the first answer's copy comes while the further send runs
                writers[0].write(b"%b MISS - 0\r\n\r\n" % id_)
            asyncio.get_running_loop().call_later(0.1, echo, runner, id_, body, writer)

        async with PlatformFixture(WorkerStub(script)) as platform:
            client = await platform.client()
            client.ask(1)
            assert await client.code() == frames.SERVED
            await asyncio.sleep(0.1)
            assert len(platform.workers[0].calls) == 2, "once-only ran once"

    run(main())


def test_an_address_that_passes_to_another_worker_during_a_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            platform.service.executor.workers.limits.connect_ms = 5000.0
            held, client = HeldConnect(monkeypatch), await platform.client()
            client.ask(1)
            await until(lambda: held.waiting)
            (port,) = {
                int(t["endpoint"].rpartition(":")[2]) for t in platform.told["known"]["entries"][0]["hosts"]["targets"]
            }
            (old,) = platform.service.executor.workers.connections.values()
            connecting = list(old._connections)
            platform.events = [event(2, 2, (0, port, 2)), event(3, 2, (7, port, 0))]
            platform.service.reload(platform.service.config)
            await until(lambda: platform.service.last_event_number == 3)
            assert not any(each in old._connections for each in connecting), "who answers there is not certain"
            held.gate.set()
            assert await client.code() == frames.SERVED
            assert len(platform.workers[0].calls) == 1

    run(main())


def test_no_attempt_starts_at_a_draining_worker_once_the_list_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            platform.service.executor.workers.limits.connect_ms = 5000.0
            ports = [
                int(t["endpoint"].rpartition(":")[2]) for t in platform.told["known"]["entries"][0]["hosts"]["targets"]
            ]
            held, client = HeldConnect(monkeypatch), await platform.client()
            client.ask(1)
            await until(lambda: held.waiting)
            ((first, links),) = platform.service.executor.workers.connections.items()
            number = int(first.id[2:], 16)
            assert links.open_items
            platform.events = [event(2, 2, (number, ports[number], 1))]  # it drains
            platform.service.reload(platform.service.config)
            await until(lambda: platform.service.last_event_number == 2)
            assert not links.open_items
            held.gate.set()
            assert await client.code() == frames.SERVED
            assert not platform.workers[number].calls and len(platform.workers[1 - number].calls) == 1

    run(main())


def test_a_retry_that_waits_past_the_deduplication_window_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(
        SETTINGS,
        "classes",
        [CLASS | {"name": "k", "effect": "guarded", "key_scope": "all", "window_us": 300_000, "give_up_us": 2_000_000}],
    )
    monkeypatch.setitem(SETTINGS, "bounds", SETTINGS["bounds"] | {"connect_timeout_us": 1_500_000})

    async def main() -> None:
        held: list[HeldConnect] = []

        def breaks(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            held.append(HeldConnect(monkeypatch))  # the repeat's connection comes up late
            writer.transport.abort()

        async with PlatformFixture(WorkerStub(breaks), WorkerStub(breaks)) as platform:
            client = await platform.client()
            client.ask(1, verb="k", unique="u" * 32)
            await until(lambda: held and held[0].waiting)
            await asyncio.sleep(0.35)
            held[0].gate.set()
            assert await client.code() in (frames.FAILED, frames.REFUSED)
            await asyncio.sleep(0.05)
            assert sum(len(runner.calls) for runner in platform.workers) == 1

    run(main())


def test_connections_to_workers_stay_within_the_descriptors_and_idle_ones_are_closed() -> None:
    async def main() -> None:
        async with PlatformFixture(*(WorkerStub(echo) for _ in range(24)), sockets=32) as platform:
            most = platform.service.executor.workers.limits.max_in_all
            assert most < 24
            client = await platform.client()
            for n in range(1, 30):
                client.ask(n, item=f"{n:016x}")
                assert await client.code() == frames.SERVED
                held = sum(len(links) for links in platform.service.executor.workers.connections.values())
                assert held == platform.service.executor.workers.limits.open_count <= most

    run(main())


def test_a_lack_of_descriptors_says_nothing_about_a_worker(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async def none(*_: Any) -> socket.socket:
            raise OSError(24, "Too many open files")

        bare = BareConnections(monkeypatch)
        monkeypatch.setattr(worker_connection, "connect", none)
        thing = bare.send("a" * 16, 10)
        await until(lambda: bare.ended)
        assert bare.ended == [(thing, AttemptStatus.NOT_SENT)]

    run(main())


# Slow and hostile clients.


def test_a_slow_frame_is_waited_for_and_a_stalled_one_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"give_up_us": 5_000_000}])

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            slow, stuck, front = await platform.client(), await platform.client(), platform.service.client_server
            for client in (slow, stuck):
                client.ask(1, txn=f"{id(client) % 2**32:016x}")
                assert await client.code() == frames.SERVED
            data = request(2, item="7f3a9c21e0b4d655")
            slow.writer.write(data[:20])
            stuck.writer.write(request(3)[:20])
            await until(lambda: all(each.partial_frame_since for each in front.connections.idle))
            mine, other = front.connections.idle
            for each in (mine, other):  # it began so long ago
                each.partial_frame_since -= 2.5
                each.idle_since -= 7.0
            other.last_received_at -= 2.5
            front.connections.sweep()
            slow.writer.write(data[20:])
            assert await slow.code() == frames.SERVED
            assert await stuck.code() == frames.FAILED and await stuck.next() is None

    run(main())


def test_a_new_client_among_busy_ones_is_refused_with_an_answer() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(silent), sockets=32) as platform:
            front, busy = platform.service.client_server, []
            for n in range(front.connections._max_connections):
                busy.append(await platform.client())
                busy[-1].ask(1, txn=f"{n:016x}", item=f"{n:016x}")
            await until(lambda: len(front.connections.busy) == front.connections._max_connections)
            late = await platform.client()
            late.ask(1, txn="f" * 16)
            assert await late.code() == frames.REFUSED and await late.next() is None
            assert len(front.connections.busy) == front.connections._max_connections, "nobody lost anything for it"

    run(main())


def test_a_connection_with_an_unread_request_is_not_closed_for_others() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), sockets=32) as platform:
            front, loop = platform.service.client_server, asyncio.get_running_loop()
            (listening,) = front._listener._sockets
            loop.remove_reader(listening)
            asked = [raw(platform.port) for _ in range(front.connections._max_connections + 4)]
            for n, sock in enumerate(asked):
                sock.sendall(request(n + 1))
            loop.add_reader(listening, front._listener._ready, listening)  # all are let in in one turn
            found = [await asyncio.to_thread(lambda sock=sock: answers(read_some(sock))) for sock in asked]
            assert [list(each) for each in found] == [[n + 1] for n in range(len(asked))], "each is answered"
            for sock in asked:
                sock.close()

    run(main())


def read_some(sock: socket.socket) -> list[tuple[int, int, bytes]]:
    """Frames until an answer or the end."""
    sock.settimeout(3.0)
    reader, found = frames.FrameReader(1 << 20), []
    while not found and (data := sock.recv(65536)):
        reader.feed(data)
        while (frame := reader.next()) is not None:
            found.append(frame)
    return found


def test_a_client_that_never_reads_its_answer_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            sock = raw(platform.port, SMALL)
            await until(lambda: len(platform.service.client_server.connections))
            (client,) = platform.service.client_server.connections.fresh
            client.connection.transport.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
            sock.sendall(frames.encode_frame(frames.READY_QUERY, 7, b"\0") * 3000)
            await until(lambda: client.connection._writing)
            sock.sendall(b"\0\0\0\2no")
            await until(lambda: client.connection.closed, 2.5)
            assert not len(platform.service.client_server.connections)
            sock.close()

    run(main())


def test_open_requests_are_answered_before_a_process_in_shutdown_is_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGKILL comes 0.7 s and at most 3 s after SIGTERM; a worker hangs through all of it and the client would wait
    longer."""
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"give_up_us": 8_000_000}])

    async def main() -> None:
        async with PlatformFixture(WorkerStub(silent)) as platform:
            client = await platform.client()
            client.ask(1, limit="8000")
            await until(lambda: platform.workers[0].calls)
            began = time.monotonic()
            platform.service.shut_down()
            assert await client.next() == (frames.GO_AWAY, 0, b"")
            assert await client.code(3.7) == frames.REFUSED, "it may run again, and does so elsewhere"
            await asyncio.wait_for(platform.service.finished, 3.7 - (time.monotonic() - began))

    run(main())
