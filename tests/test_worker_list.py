"""The endpoint watch under rare conditions: silence, slow or failing events, address changes, lack of descriptors.

Also the load orders for new versions of functions.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from platform_fixture import PlatformFixture, WorkerStub, configuration, echo, event, run
from raw_sockets import BlockedConnects, connect_raw, read_until, until

from kelptrail.codec import frames
from kelptrail.codec.feed import FeedReader
from kelptrail.net.connecting import connect
from kelptrail.platform import config, endpoint_watch

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class EndpointListStub:
    """An endpoint service.  It adds the event number of each poll to `requested_after`; `serve` does the rest."""

    def __init__(self, serve: Serve) -> None:
        self._serve, self.requested_after = serve, list[int]()

    async def open(self, port: int = 0) -> int:
        self.server = await asyncio.start_server(self._on_connect, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def _on_connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self.requested_after.append(int.from_bytes(await reader.readexactly(8), "big"))
            await self._serve(reader, writer)
        writer.close()


async def watch_list_at(platform: PlatformFixture, port: int) -> None:
    platform.service.endpoints.watch.set_address(("127.0.0.1", port))


def test_event_that_could_not_be_applied_is_requested_again() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            engine, on_endpoints, failures_left = platform.service.engine, platform.service.engine.on_endpoints, [True]

            def fail_once(*args: Any) -> Any:
                if failures_left:
                    failures_left.pop()
                    raise RuntimeError("injected fault")
                return on_endpoints(*args)

            engine.on_endpoints = fail_once  # type: ignore[method-assign]
            platform.events = [event(2, 2, (1, 9, 1))]
            platform.service.reload(platform.service.config)
            await until(lambda: platform.service.last_event_number == 2)
            assert not failures_left and not engine.workers["s-00000001"].live

    run(main())


@pytest.mark.parametrize("behavior", ["bytes of a frame that never ends", "nothing", "empty events, then nothing"])
def test_service_without_a_complete_event_is_polled_again(behavior: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_MS", 200.0)

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if behavior.startswith("empty"):
                writer.write(event(1, 0))
            for byte in event(2, 2, (1, 9, 1)):
                if behavior.startswith("bytes"):
                    writer.write(bytes((byte,)))
                await asyncio.sleep(0.05)
            await reader.read()

        endpoint_service = EndpointListStub(serve)
        port = await endpoint_service.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            await watch_list_at(platform, port)
            await until(lambda: len(endpoint_service.requested_after) >= 3, 1.5)
            assert set(endpoint_service.requested_after) == {1}

    run(main())


def test_connection_too_slow_for_one_event_gets_more_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_MS", 100.0)
    monkeypatch.setattr(endpoint_watch, "BACKOFF_MS", 5.0)  # short, so that no backoff delays the test
    monkeypatch.setattr(endpoint_watch, "MAX_BACKOFF_MS", 10.0)

    async def main() -> None:
        async def serve_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for byte in event(2, 2, (1, 9, 1)):
                writer.write(bytes((byte,)))
                await asyncio.sleep(0.01)  # about 0.4 s for the event
            await reader.read()

        endpoint_service = EndpointListStub(serve_slowly)
        port = await endpoint_service.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            await watch_list_at(platform, port)
            await until(lambda: platform.service.last_event_number == 2)
            assert len(endpoint_service.requested_after) > 1, (
                "the event arrived on the first connection, before the silence timeout"
            )

    run(main())


def test_endpoint_service_that_always_disconnects_is_polled_with_backoff() -> None:
    async def main() -> None:
        async def serve_with_gap(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(event(1, 0) + event(5, 2, (1, 9, 1)))  # a gap: events 2 to 4 are missing

        endpoint_service = EndpointListStub(serve_with_gap)
        port = await endpoint_service.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            await watch_list_at(platform, port)
            await asyncio.sleep(0.5)
            assert 2 <= len(endpoint_service.requested_after) <= 8

    run(main())


def test_new_address_during_a_connect_is_used_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(event(2, 2, (1, 9, 1)))
            await reader.read()

        endpoint_service = EndpointListStub(serve)
        port = await endpoint_service.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            # A connect to the old address never ends.
            blocked_connect = BlockedConnects(monkeypatch, endpoint_watch, port=9)
            await watch_list_at(platform, 9)
            await until(lambda: blocked_connect.waiting)
            platform.configuration["journal"] = f"127.0.0.1:{port}"
            platform.service.reload(current_config(platform))
            await until(lambda: platform.service.last_event_number == 2, 0.5)

    run(main())


def current_config(platform: PlatformFixture) -> config.Config:
    return config.parse(json.dumps(platform.configuration), platform.service.config)


def test_new_address_during_a_backoff_is_used_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "BACKOFF_MS", 60_000.0)
    monkeypatch.setattr(endpoint_watch, "MAX_BACKOFF_MS", 60_000.0)

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(event(2, 2, (1, 9, 1)))
            await reader.read()

        endpoint_service = EndpointListStub(serve)
        port = await endpoint_service.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            logged: list[str] = []
            platform.service.endpoints.watch.log = lambda event, **_: logged.append(event)
            await watch_list_at(platform, 9)  # no service listens there
            await until(lambda: logged)
            await watch_list_at(platform, port)
            await until(lambda: platform.service.last_event_number == 2, 0.5)

    run(main())


def test_events_of_the_old_address_are_applied_until_the_new_one_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def old(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await reader.read()

        async def new(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(event(2, 2, (1, 9, 1)) + event(3, 2, (1, 9, 2)))
            await reader.read()

        first, second = EndpointListStub(old), EndpointListStub(new)
        ports = await first.open(), await second.open()
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            await watch_list_at(platform, ports[0])
            await until(lambda: writers)
            blocked_connect = BlockedConnects(monkeypatch, endpoint_watch, port=ports[1])
            await watch_list_at(platform, ports[1])
            await until(lambda: blocked_connect.waiting)
            writers[0].write(event(2, 2, (1, 9, 1))[:30])
            await asyncio.sleep(0.02)
            writers[0].write(event(2, 2, (1, 9, 1))[30:])
            await until(lambda: platform.service.last_event_number == 2)
            blocked_connect.gate.set()
            await until(lambda: platform.service.last_event_number == 3)
            assert second.requested_after == [2], "event 2 was requested again"

    run(main())


def test_descriptor_is_reserved_for_the_endpoint_watch_while_clients_use_the_rest(tmp_path: Path) -> None:
    """The process has fewer descriptors than configured; clients use all of them before the endpoint service starts."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    listen = socket.socket()
    listen.bind(("127.0.0.1", 0))
    listen_port = listen.getsockname()[1]
    listen.close()
    file = tmp_path / "c.json"
    file.write_text(
        json.dumps(
            configuration()
            | {
                "listen": f"127.0.0.1:{listen_port}",
                "journal": f"127.0.0.1:{port}",
                "limits": {"cores": 1, "memory_mb": 64, "sockets": 400},
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "kelptrail.platform"],
        env=os.environ | {"LB_CONFIG": str(file)},
        stdout=subprocess.PIPE,
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40)),
    )
    clients: list[socket.socket] = []
    try:
        read_until(process, "feed unreachable")
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            with contextlib.suppress(ConnectionRefusedError):
                clients.append(connect_raw(listen_port))
                break
            time.sleep(0.02)
        while len(os.listdir(f"/proc/{process.pid}/fd")) < 40 and len(clients) < 100:
            clients.append(connect_raw(listen_port))
            clients[-1].sendall(frames.encode_frame(frames.READY_QUERY, 1, b"\0"))
        read_until(process, "accept-failed")

        async def main() -> None:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                for _ in range(100):
                    writer.write(event(1, 0))
                    await asyncio.sleep(0.1)

            endpoint_service = EndpointListStub(serve)
            await endpoint_service.open(port)
            await until(lambda: endpoint_service.requested_after, 3.0)
            assert endpoint_service.requested_after == [1]

        run(main())
    finally:
        process.kill()
        process.wait()
        for sock in clients:
            sock.close()


def test_new_version_of_loaded_functions_is_loaded_without_a_burst() -> None:
    """All instances become outdated at the same time and calls are rare.

    Each function is loaded again at its next call, with at most two more load orders, and the call is served.
    """

    async def main() -> None:
        versions: dict[bytes, int] = {}
        newest, orders = [1], list[float]()

        class VersionedWorker(WorkerStub):
            """Serves a function only if its newest version is loaded."""

            async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    while line := await reader.readline():
                        word, id_, *rest = line.split()
                        if word == b"LOAD":
                            versions[rest[0][5:21]] = newest[0]
                            orders.append(asyncio.get_running_loop().time())
                            writer.write(id_ + b" OK units=1 0\r\n\r\n")
                        elif word == b"CALL":
                            body = (await reader.readexactly(int(rest[-1]) + 2))[:-2]
                            item = rest[0].partition(b"item=")[2][:16]
                            if versions.get(item) == newest[0]:
                                echo(self, id_, body, writer)
                            else:
                                writer.write(id_ + b" MISS - 0\r\n\r\n")

        async with PlatformFixture(VersionedWorker(echo)) as platform:
            client, stream = await platform.client(), 0
            for newest[0] in (1, 2, 3):
                for n in range(6):
                    for _ in range(3):
                        stream += 1
                        client.send_request(stream, item=f"{n:016x}")
                        assert await client.answer_code() == frames.SERVED, (newest, n)
            assert len(orders) <= 3 * 6 + 2, "more than two load orders beyond one for each version and function"

    run(main())


def test_endpoint_service_that_is_slow_to_its_first_byte_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first byte takes longer than the silence timeout; the connection must still be open when it arrives."""
    monkeypatch.setattr(endpoint_watch, "SILENCE_TIMEOUT_MS", 200.0)

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.5)
            writer.write(event(2, 2, (1, 9, 1)))
            await reader.read()

        endpoint_service = EndpointListStub(serve)
        port = await endpoint_service.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            await watch_list_at(platform, port)
            await until(lambda: platform.service.last_event_number == 2, 1.5)
            await until(lambda: len(platform.service.endpoints.watch._connections) == 1)

    run(main())


def test_endpoint_service_that_is_slow_to_accept_is_reached(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connect takes longer than the connect timeout of workers, and the configuration is reloaded repeatedly."""

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(event(2, 2, (1, 9, 1)))
            await reader.read()

        async def slow_connect(
            loop: asyncio.AbstractEventLoop, address: tuple[str, int], within: float
        ) -> socket.socket:
            async with asyncio.timeout(within / 1000):
                await asyncio.sleep(0.6)
                return await connect(loop, address, within)

        endpoint_service = EndpointListStub(serve)
        port = await endpoint_service.open()
        async with PlatformFixture(WorkerStub(echo)) as platform:
            monkeypatch.setattr(endpoint_watch, "connect", slow_connect)
            await watch_list_at(platform, port)
            for _ in range(20):
                await asyncio.sleep(0.05)
                await watch_list_at(platform, port)
            await until(lambda: platform.service.last_event_number == 2, 0.5)

    run(main())


def test_alternating_addresses_are_followed_despite_slow_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(event(2, 2, (1, 9, 1)))
            await reader.read()

        async def slow_connect(
            loop: asyncio.AbstractEventLoop, address: tuple[str, int], within: float
        ) -> socket.socket:
            await asyncio.sleep(0.2)
            return await connect(loop, address, within)

        services = [EndpointListStub(serve), EndpointListStub(serve)]
        ports = [await service.open() for service in services]
        async with PlatformFixture(WorkerStub(echo)) as platform:
            monkeypatch.setattr(endpoint_watch, "connect", slow_connect)
            for number in range(20):
                await watch_list_at(platform, ports[number % 2])
                await asyncio.sleep(0.05)
            assert platform.service.last_event_number == 2, "no service was reached while the address changed"
            assert sum(len(service.requested_after) for service in services) <= 4

    run(main())


async def confirmation_counts(serve: Serve, *others: Serve, interval_s: float = 0.3) -> list[int]:
    """Return how often the list was confirmed while the address of each service was set, in turn."""
    counts = [0]

    def on_confirmed() -> None:
        counts[-1] += 1

    services = [EndpointListStub(each) for each in (serve, *others)]
    ports = [await service.open() for service in services]
    listener = endpoint_watch.WatchListener(lambda event: None, on_confirmed)
    loop = asyncio.get_running_loop()
    watch = endpoint_watch.EndpointWatch(
        loop, ("127.0.0.1", ports[0]), 5, lambda: FeedReader(1, 1), listener, lambda event, **fields: None
    )
    for port in ports[1:]:
        await asyncio.sleep(interval_s)
        counts.append(0)
        watch.set_address(("127.0.0.1", port))
    await asyncio.sleep(interval_s)
    watch.close()
    return counts


def test_a_service_that_is_behind_or_catching_up_and_an_old_address_do_not_confirm_the_list() -> None:
    """A drain that such a service has not reported must still count as notified after the protocol's delay."""

    async def repeat(number: int, writer: asyncio.StreamWriter) -> None:
        for _ in range(100):
            writer.write(event(number, 0))
            await asyncio.sleep(0.02)

    async def current(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await repeat(5, writer)

    async def behind(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await repeat(4, writer)

    async def catching_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for number in range(6, 12):
            writer.write(event(number, 2, (1, 9, 1)))
            await asyncio.sleep(0.02)

    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def main() -> None:
        assert (await confirmation_counts(current))[0] > 5
        assert await confirmation_counts(catching_up) == [0], "confirmed although further changes may follow"
        assert await confirmation_counts(behind) == [0]
        before, after = await confirmation_counts(current, silent)
        assert before > 5 and after == 0, "not confirmed by the current address, or confirmed by the old one"

    run(main())
