"""Attempts on real sockets, met by a cancel, a leaving client, a lost connection, a duplicate answer or a change of the
endpoint list between two steps.  One side is held at a known point; nothing depends on chance."""

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
from worker_connections_fixture import ConnectionsOverSmallBuffers, commands

from kelptrail.codec import frames
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.platform.client_server import MAX_OPEN_REQUESTS


def test_an_attempt_behind_a_full_socket_is_cancelled_and_a_started_one_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        bare = ConnectionsOverSmallBuffers(monkeypatch)
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
        bare = ConnectionsOverSmallBuffers(monkeypatch)
        sock, items = await bare.full()
        sock.close()  # a reset, as bytes wait there
        await until(lambda: len(bare.ended) == 4)
        statuses = dict(bare.ended)
        assert [statuses[item] for item in items][1:] == [AttemptStatus.NOT_SENT] * 3
        assert not len(bare.connections) and not bare.connections.limits.open_count

    run(main())


def test_no_cancel_is_sent_where_the_settings_forbid_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        bare = ConnectionsOverSmallBuffers(monkeypatch, cancels=False)
        item = bare.send("a" * 16, 10)
        sock = await bare.take()
        await asyncio.sleep(0.05)
        assert bare.connections.cancel(item) is True
        assert await asyncio.to_thread(commands, sock) == [b"CALL " + b"a" * 16]
        bare.connections.close()

    run(main())


def test_a_cancel_is_sent_before_a_retry_can_be(monkeypatch: pytest.MonkeyPatch) -> None:
    """The further send's link may have been written to earlier in the turn: it would leave first."""

    async def main() -> None:
        first, second = (
            ConnectionsOverSmallBuffers(monkeypatch, parallel=False),
            ConnectionsOverSmallBuffers(monkeypatch, parallel=False),
        )
        item, _ = first.send("a" * 16, 10), second.send("b" * 16, 10)
        ends = [await first.take(), await second.take()]
        await asyncio.sleep(0.05)
        ends[0].setblocking(False)
        assert ends[0].recv(1000).startswith(b"CALL")
        second.send("c" * 16, 10)  # its link is about to write
        assert first.connections.cancel(item) is True
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
        bare = ConnectionsOverSmallBuffers(monkeypatch, parallel=parallel)
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
            held = BlockedConnects(monkeypatch)
            sock = connect_raw(platform.port)
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

        def late(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            began.append(time.monotonic())
            echo(worker, id_, body, writer)

        async with PlatformFixture(WorkerStub(late)) as platform:
            loop, busy = asyncio.get_running_loop(), True

            def work() -> None:  # each turn of the loop takes 10 ms
                time.sleep(0.01)
                if busy:
                    loop.call_soon(work)

            sock = connect_raw(platform.port)
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
            client, on_request = await platform.client(), platform.service.engine.on_request

            def forget_the_first(*args: Any) -> Any:
                accepted = on_request(*args)
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


def test_a_duplicate_answer_is_never_mistaken_for_that_of_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(SETTINGS, "classes", [CLASS | {"effect": "single_shot", "give_up_us": 2000000}])

    async def main() -> None:
        writers: list[asyncio.StreamWriter] = []

        def script(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            if len(writers) == 1:
                writer.write(b"%b MISS - 0\r\n\r\n" % id_)
                return
            if len(writers) == 2:  # the first answer's copy comes while the further send runs
                writers[0].write(b"%b MISS - 0\r\n\r\n" % id_)
            asyncio.get_running_loop().call_later(0.1, echo, worker, id_, body, writer)

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
            held, client = BlockedConnects(monkeypatch), await platform.client()
            client.ask(1)
            await until(lambda: held.waiting)
            (port,) = {
                int(t["endpoint"].rpartition(":")[2])
                for t in platform.configuration["known"]["entries"][0]["hosts"]["targets"]
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
                int(t["endpoint"].rpartition(":")[2])
                for t in platform.configuration["known"]["entries"][0]["hosts"]["targets"]
            ]
            held, client = BlockedConnects(monkeypatch), await platform.client()
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
        held: list[BlockedConnects] = []

        def breaks(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            held.append(BlockedConnects(monkeypatch))  # the repeat's connection comes up late
            writer.transport.abort()

        async with PlatformFixture(WorkerStub(breaks), WorkerStub(breaks)) as platform:
            client = await platform.client()
            client.ask(1, verb="k", unique="u" * 32)
            await until(lambda: held and held[0].waiting)
            await asyncio.sleep(0.35)
            held[0].gate.set()
            assert await client.code() in (frames.FAILED, frames.REFUSED)
            await asyncio.sleep(0.05)
            assert sum(len(worker.calls) for worker in platform.workers) == 1

    run(main())
