"""Races of attempts on real sockets with cancels, disconnects, lost connections, duplicate answers and list changes.

In most tests one side is blocked at a known point, so that the order of events does not depend on timing.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest
from platform_fixture import CLASS, SETTINGS, PlatformFixture, WorkerStub, echo, event, run
from raw_sockets import (
    BlockedConnects,
    connect_raw,
    request,
    until,
)
from worker_connections_fixture import ConnectionsOverSmallBuffers, read_commands

from kelptrail.codec import frames
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.platform.client_server import MAX_OPEN_REQUESTS


def test_a_queued_attempt_is_cancelled_and_a_partly_sent_one_is_completed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        fixture = ConnectionsOverSmallBuffers(monkeypatch)
        sock, (partly_sent, second, third, _) = await fixture.fill_socket()
        assert fixture.connections.cancel(partly_sent) is True, (
            "an attempt that will reach the worker was reported as unsent"
        )
        assert fixture.connections.cancel(third) is False and fixture.connections.cancel_unsent(second)
        assert not fixture.connections.cancel_unsent(second) and fixture.connections.cancel(third) is None
        found = await asyncio.to_thread(read_commands, sock)
        assert found == [b"CALL %016d" % 0, b"CALL %016d" % 3, b"CANCEL %016d" % 0]
        fixture.connections.close()
        sock.close()

    run(main())


def test_a_closed_connection_reports_which_attempts_were_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        fixture = ConnectionsOverSmallBuffers(monkeypatch)
        sock, items = await fixture.fill_socket()
        sock.close()  # causes a reset, because the socket has unread bytes
        await until(lambda: len(fixture.ended) == 4)
        statuses = dict(fixture.ended)
        assert [statuses[item] for item in items][1:] == [AttemptStatus.NOT_SENT] * 3
        assert not len(fixture.connections) and not fixture.connections.limits.open_count

    run(main())


def test_no_cancel_is_sent_if_the_settings_forbid_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        fixture = ConnectionsOverSmallBuffers(monkeypatch, may_cancel=False)
        item = fixture.send("a" * 16, 10)
        sock = await fixture.accept()
        await asyncio.sleep(0.05)
        assert fixture.connections.cancel(item) is True
        assert await asyncio.to_thread(read_commands, sock) == [b"CALL " + b"a" * 16]
        fixture.connections.close()

    run(main())


def test_a_cancel_is_sent_before_the_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection of the retry may have been written to earlier in the same iteration of the loop.

    Without an immediate flush of the cancel, the retry would then be sent first.
    """

    async def main() -> None:
        first, second = (
            ConnectionsOverSmallBuffers(monkeypatch, parallel_attempts=False),
            ConnectionsOverSmallBuffers(monkeypatch, parallel_attempts=False),
        )
        item, _ = first.send("a" * 16, 10), second.send("b" * 16, 10)
        worker_sockets = [await first.accept(), await second.accept()]
        await asyncio.sleep(0.05)
        worker_sockets[0].setblocking(False)
        assert worker_sockets[0].recv(1000).startswith(b"CALL")
        second.send("c" * 16, 10)  # schedules the flush of the second connection before that of the CANCEL
        assert first.connections.cancel(item) is True
        second.send("a" * 16, 10)
        assert worker_sockets[0].recv(1000) == b"CANCEL " + b"a" * 16 + b"\r\n", "the CANCEL was not sent immediately"
        for fixture in (first, second):
            fixture.connections.close()

    run(main())


@pytest.mark.parametrize("parallel_attempts", [True, False])
def test_a_cancel_that_cannot_be_sent_closes_its_connection_without_parallel_attempts(
    parallel_attempts: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        fixture = ConnectionsOverSmallBuffers(monkeypatch, parallel_attempts=parallel_attempts)
        sock, (partly_sent, *others) = await fixture.fill_socket()
        assert fixture.connections.cancel(partly_sent) is True
        assert bool(len(fixture.connections)) is parallel_attempts, (
            "closed with parallel attempts, or open without them"
        )
        assert [status for _, status in fixture.ended] == (
            [] if parallel_attempts else [AttemptStatus.NOT_SENT] * len(others)
        )
        fixture.connections.close()
        sock.close()

    run(main())


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("disconnect", ["close", "reset", "half", "cancel"])
def test_no_attempt_starts_for_a_client_that_disconnected_during_the_connect(
    disconnect: str, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(
        SETTINGS, "bounds", SETTINGS["bounds"] | {"may_cancel": may_cancel, "connect_timeout_us": 10**6}
    )

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client = await platform.client()
            client.send_request(1)
            assert await client.answer_code() == frames.SERVED  # an instance is loaded
            for connections in platform.service.executor.workers.connections.values():
                connections.close()
            blocked = BlockedConnects(monkeypatch)
            sock = connect_raw(platform.port)
            sock.sendall(request(2, item=f"{0x7F3A9C21E0B4D655:016x}"))
            await until(lambda: blocked.waiting)
            if disconnect == "cancel":
                sock.sendall(frames.encode_frame(frames.CANCEL, 2))
            elif disconnect == "half":
                sock.shutdown(socket.SHUT_WR)
            else:
                if disconnect == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()
            await until(lambda: not platform.service.executor.client_requests)
            blocked.gate.set()
            await asyncio.sleep(0.15)
            assert platform.workers[0].calls == [b"%016x" % 1]
            sock.close()

    run(main())


def test_a_close_after_many_requests_is_detected_before_more_attempts_start() -> None:
    async def main() -> None:
        started_at: list[float] = []

        def record_start(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            started_at.append(time.monotonic())
            echo(worker, id_, body, writer)

        async with PlatformFixture(WorkerStub(record_start)) as platform:
            loop, busy = asyncio.get_running_loop(), True

            def work() -> None:  # each iteration of the loop takes 10 ms
                time.sleep(0.01)
                if busy:
                    loop.call_soon(work)

            sock = connect_raw(platform.port)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            data = b"".join(request(n, bytes(15_000), item="7f3a9c21e0b4d655") for n in range(1, MAX_OPEN_REQUESTS + 1))
            await until(lambda: len(platform.service.client_server.connections))
            work()
            await asyncio.to_thread(sock.sendall, data)
            closed_at = time.monotonic()
            sock.close()
            await until(lambda: not len(platform.service.client_server.connections))
            await asyncio.sleep(0.1)
            busy = False
            assert not [at - closed_at for at in started_at if at > closed_at + 0.1]

    run(main())


def test_an_attempt_for_a_finished_request_does_not_stop_other_decisions() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client, on_request = await platform.client(), platform.service.engine.on_request

            def drop_first_request(*args: Any) -> Any:
                accepted = on_request(*args)
                if accepted.id == f"{1:016x}":
                    platform.service._loop.call_soon(platform.service.executor.client_requests.pop, accepted)
                return accepted

            platform.service.engine.on_request = drop_first_request  # type: ignore[method-assign]
            decide = platform.service._decide
            platform.service.executor._schedule_decisions = lambda: asyncio.get_running_loop().call_soon(
                asyncio.get_running_loop().call_soon, decide
            )
            errors: list[Any] = []
            asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
            client.send_request(1)
            client.send_request(2, item="1" * 16)
            assert await client.next_frame() is not None and not errors

    run(main())


def test_a_duplicate_answer_is_not_taken_for_the_answer_to_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"effect": "single_shot", "give_up_us": 2000000}])

    async def main() -> None:
        writers: list[asyncio.StreamWriter] = []

        def script(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            if len(writers) == 1:
                writer.write(b"%b MISS - 0\r\n\r\n" % id_)
                return
            if len(writers) == 2:  # a duplicate of the first answer arrives while the retry runs
                writers[0].write(b"%b MISS - 0\r\n\r\n" % id_)
            asyncio.get_running_loop().call_later(0.1, echo, worker, id_, body, writer)

        async with PlatformFixture(WorkerStub(script)) as platform:
            client = await platform.client()
            client.send_request(1)
            assert await client.answer_code() == frames.SERVED
            await asyncio.sleep(0.1)
            assert len(platform.workers[0].calls) == 2, "the at-most-once request was not executed exactly once"

    run(main())


def test_an_address_is_reassigned_to_another_worker_during_a_connect(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            platform.service.executor.workers.limits.connect_ms = 5000.0
            blocked, client = BlockedConnects(monkeypatch), await platform.client()
            client.send_request(1)
            await until(lambda: blocked.waiting)
            (port,) = {
                int(t["endpoint"].rpartition(":")[2])
                for t in platform.configuration["known"]["entries"][0]["hosts"]["targets"]
            }
            (connections,) = platform.service.executor.workers.connections.values()
            connecting = list(connections._connections)
            platform.events = [event(2, 2, (0, port, 2)), event(3, 2, (7, port, 0))]
            platform.service.reload(platform.service.config)
            await until(lambda: platform.service.last_event_number == 3)
            assert not any(each in connections._connections for each in connecting), (
                "a connect to the reassigned address was not cancelled"
            )
            blocked.gate.set()
            assert await client.answer_code() == frames.SERVED
            assert len(platform.workers[0].calls) == 1

    run(main())


def test_no_attempt_starts_at_a_draining_worker_once_the_list_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            platform.service.executor.workers.limits.connect_ms = 5000.0
            ports = [
                int(t["endpoint"].rpartition(":")[2])
                for t in platform.configuration["known"]["entries"][0]["hosts"]["targets"]
            ]
            blocked, client = BlockedConnects(monkeypatch), await platform.client()
            client.send_request(1)
            await until(lambda: blocked.waiting)
            ((worker, connections),) = platform.service.executor.workers.connections.items()
            number = int(worker.id[2:], 16)
            assert connections.open_item_count
            platform.events = [event(2, 2, (number, ports[number], 1))]  # the worker drains
            platform.service.reload(platform.service.config)
            await until(lambda: platform.service.last_event_number == 2)
            assert not connections.open_item_count
            blocked.gate.set()
            assert await client.answer_code() == frames.SERVED
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
        blocked: list[BlockedConnects] = []

        def abort(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            blocked.append(BlockedConnects(monkeypatch))  # the connection for the retry is established late
            writer.transport.abort()

        async with PlatformFixture(WorkerStub(abort), WorkerStub(abort)) as platform:
            client = await platform.client()
            client.send_request(1, verb="k", unique="u" * 32)
            await until(lambda: blocked and blocked[0].waiting)
            await asyncio.sleep(0.35)
            blocked[0].gate.set()
            assert await client.answer_code() in (frames.FAILED, frames.REFUSED)
            await asyncio.sleep(0.05)
            assert sum(len(worker.calls) for worker in platform.workers) == 1

    run(main())
