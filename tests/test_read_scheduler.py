"""Connections read in turns: neither one nor many of them keep the others from being answered."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import Any

import pytest
from platform_fixture import PlatformFixture, WorkerStub, echo, run
from raw_sockets import connect_raw, request, until

from kelptrail.codec import frames
from kelptrail.net import read_scheduler
from kelptrail.net.connection import LONG_WAIT_MS, READ_BUFFER_BYTES
from kelptrail.net.fair_queue import MIN_COMPACTED_ENTRIES, FairQueue
from kelptrail.net.read_scheduler import MAX_READ_TIME_S, MAX_READS, ReadScheduler
from kelptrail.platform.client_connection import ClientConnection

FLOOD_CONNECTIONS = 40
BATCH = 32  # open requests of a connection
FLOOD_BATCHES = 20  # on each connection


class Flow:
    """A flow that needs service of `cost` for each of `left` pieces of work."""

    def __init__(self, cost: float, left: int) -> None:
        self.virtual_finish, self.cost, self.left, self.served = 0.0, cost, left, 0


def serve(queue: FairQueue[Flow]) -> Flow:
    flow = queue.take()
    queue.charge(flow, flow.cost)
    flow.left, flow.served = flow.left - 1, flow.served + 1
    if flow.left:
        queue.add(flow)
    return flow


@pytest.mark.parametrize("heavy_count", [1, 10, 400])
def test_a_flow_that_asks_for_little_is_served_next_beside_any_number_that_ask_for_much(heavy_count: int) -> None:
    queue, heavy = FairQueue[Flow](), [Flow(1.0, 10**6) for _ in range(heavy_count)]
    light = Flow(0.5, 0)
    for flow in heavy:
        queue.add(flow)
    waited = []
    for _ in range(50):
        for _ in range(3 * heavy_count):
            serve(queue)
        light.left = 1
        queue.add(light)
        steps = 1
        while serve(queue) is not light:
            steps += 1
        waited.append(steps)
    assert max(waited[1:]) <= 2, waited


@pytest.mark.parametrize("seed", range(10))
def test_flows_that_ask_for_much_share_the_service_by_its_cost(seed: int) -> None:
    draw, queue = random.Random(seed), FairQueue[Flow]()
    flows = [Flow(draw.choice([0.2, 1.0, 5.0]), 10**6) for _ in range(20)]
    for flow in flows:
        queue.add(flow)
    for _ in range(20_000):
        serve(queue)
    received = [flow.served * flow.cost for flow in flows]
    assert max(received) - min(received) <= 5.0 + 5.0, "they differ by one piece of work each"


def test_a_flow_that_rested_gets_no_credit_for_it() -> None:
    queue, resting, busy = FairQueue[Flow](), Flow(1.0, 10**6), Flow(1.0, 10**6)
    queue.add(busy)
    for _ in range(1000):
        serve(queue)
    queue.add(resting)
    before = busy.served
    for _ in range(100):
        serve(queue)
    assert abs(resting.served - (busy.served - before)) <= 1


def kept_flow(queue: FairQueue[Flow], cost: float) -> Flow:
    """Return a flow that was served before and is not ahead of others by more than one service."""
    flow = Flow(cost, 1)
    queue.add(flow)
    serve(queue)
    return flow


# Guards against clients that connect anew for each burst: no connection that was read before was read any more.
@pytest.mark.parametrize("pieces", [1, 2, 5])  # of work on each new connection
@pytest.mark.parametrize("new_count", [1, 40, 400])
def test_flows_that_are_new_without_end_do_not_keep_one_that_was_served_before_waiting(
    new_count: int, pieces: int
) -> None:
    queue = FairQueue[Flow]()
    kept = kept_flow(queue, 0.05)
    for _ in range(new_count):
        queue.add(Flow(1.0, pieces))
    waited = []
    for _ in range(200):
        kept.left, served = 1, kept.served
        queue.add(kept)
        steps = 0
        while kept.served == served and steps < 10_000:
            steps += 1
            flow = serve(queue)
            if flow is not kept and not flow.left:
                queue.add(Flow(1.0, pieces))
        waited.append(steps)
    # In the backlog only flows that began to wait before it may come first, and the backlog has one in four services.
    flows_before_it = 0 if pieces == 1 else new_count
    assert max(waited) <= 4 * (flows_before_it + 1) + 1


@pytest.mark.parametrize("kept_count", [1, 40, 400])
def test_a_new_flow_is_served_soon_beside_others_that_are_new_without_end_and_kept_ones(kept_count: int) -> None:
    queue, new_count = FairQueue[Flow](), 30
    for _ in range(kept_count):
        queue.add(Flow(1.0, 10**6))
    for _ in range(10 * kept_count):
        serve(queue)
    for _ in range(new_count):
        queue.add(Flow(1.0, 1))
    for _ in range(50):
        usual = Flow(0.05, 1)
        queue.add(usual)
        steps = 0
        while usual.left:
            steps += 1
            flow = serve(queue)
            if flow is not usual and not flow.left:
                queue.add(Flow(1.0, 1))
        assert steps <= new_count * 4 / 3 + 3, "those that came before it, and the share of the kept ones"


# Guards against closed connections that pile up in the queue: 16,000 of them in 20 s of a flood.
@pytest.mark.parametrize("is_kept", [False, True])
def test_removed_flows_are_never_served_and_leave_nothing_behind(is_kept: bool) -> None:
    queue, first = FairQueue[Flow](), Flow(1.0, 10**6)
    for _ in range(5):
        queue.add(first)
        serve(queue)
        queue.remove(first)
    for _ in range(5_000):
        flow = Flow(1.0, 10**6)
        flow.virtual_finish = 10.0 if is_kept else 0.0
        queue.add(flow)
        queue.remove(flow)
        queue.remove(flow)
    assert len(queue) == 0
    assert len(queue._arrivals_order) + len(queue._backlog_order) <= MIN_COMPACTED_ENTRIES
    queue.add(first)
    assert queue.take() is first


class LoopStub:
    """An event loop whose iterations the test runs one at a time."""

    def __init__(self) -> None:
        self._ready: list[Any] = []

    def call_soon(self, callback: Any) -> None:
        self._ready.append(callback)

    def run_once(self) -> None:
        ready, self._ready = self._ready, []
        for callback in ready:
            callback()


class ReaderStub:
    """A reader with `left` buffers of input; reading one of them takes `cost_s`."""

    def __init__(self, clock: list[float], left: int, cost_s: float) -> None:
        self.virtual_finish, self.left, self.finished = 0.0, left, 0
        self._clock, self._cost_s = clock, cost_s

    def read_once(self) -> bool:
        self._clock[0] += self._cost_s
        self.left -= 1
        return self.left > 0

    def on_read_finished(self) -> None:
        self.finished += 1


@pytest.mark.parametrize(("cost_s", "reads"), [(0.0, MAX_READS), (0.001, 5), (0.1, 1), (1e-5, MAX_READS)])
def test_one_iteration_reads_for_a_limited_time_and_a_limited_number_of_buffers(cost_s: float, reads: int) -> None:
    clock, loop = [0.0], LoopStub()
    scheduler = ReadScheduler(loop, lambda: clock[0])  # type: ignore[arg-type]
    readers = [ReaderStub(clock, 100, cost_s) for _ in range(200)]
    for reader in readers:
        scheduler.add(reader)
    loop.run_once()
    read = sum(100 - reader.left for reader in readers)
    assert abs(read - reads) <= 1 and read <= MAX_READS, "rounding of the time may allow one more"
    for _ in range(21_000):
        loop.run_once()
    assert all(reader.left == 0 and reader.finished == 1 for reader in readers) and len(scheduler) == 0


def test_the_connections_take_turns_if_the_clock_stands_still() -> None:
    loop = LoopStub()
    scheduler = ReadScheduler(loop, lambda: 0.0)  # type: ignore[arg-type]
    readers = [ReaderStub([0.0], 100, 0.0) for _ in range(4)]
    for reader in readers:
        scheduler.add(reader)
    loop.run_once()
    assert {reader.left for reader in readers} == {100 - MAX_READS // 4}


def fill(sock: socket.socket, first: int) -> int:
    """Write requests that are taken back at once, as many as the socket accepts; return the bytes written."""
    sock.setblocking(False)
    written = 0
    with contextlib.suppress(BlockingIOError):
        for batch in range(FLOOD_BATCHES):
            streams = range(first + batch * BATCH, first + (batch + 1) * BATCH)
            frame_bytes = b"".join(request(n, item="00000000000000aa") for n in streams)
            frame_bytes += b"".join(frames.encode_frame(frames.CANCEL, n) for n in streams)
            written += sock.send(frame_bytes)
    return written


# Guards against a dispatcher that is killed or answers nobody while many connections take requests back at full speed.
def test_a_flood_on_many_connections_bounds_each_iteration_and_a_usual_client_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), sockets=512) as fixture:
            usual = await fixture.client()
            usual.send_request(1)
            assert await usual.answer_code() == frames.SERVED
            flood = [connect_raw(fixture.port) for _ in range(FLOOD_CONNECTIONS)]
            await until(lambda: len(fixture.service.client_server.connections) == FLOOD_CONNECTIONS + 1)
            read_in_iteration, most_read, read_in_all = 0, 0, 0
            on_data = ClientConnection._on_data

            def count(client: ClientConnection, data: memoryview) -> None:
                nonlocal read_in_iteration, most_read, read_in_all
                read_in_iteration, read_in_all = read_in_iteration + len(data), read_in_all + len(data)
                most_read = max(most_read, read_in_iteration)
                on_data(client, data)

            for client in fixture.service.client_server.connections.active:
                client.connection._on_data = lambda data, client=client: count(client, data)
            loop = asyncio.get_running_loop()

            def next_iteration() -> None:
                nonlocal read_in_iteration
                read_in_iteration = 0
                if not fixture.service._closed:
                    loop.call_soon(next_iteration)

            next_iteration()
            written = sum(fill(sock, 10**6 * (n + 1)) for n, sock in enumerate(flood))
            assert written > 10 * MAX_READS * READ_BUFFER_BYTES, "far more than one iteration may read"
            usual.send_request(2)
            assert await usual.answer_code(10.0) == frames.SERVED
            assert read_in_all < written / 2, "the usual client did not wait for the flood"
            await until(lambda: read_in_all >= written, 15.0)
            assert most_read <= MAX_READS * READ_BUFFER_BYTES
            assert not any(function.arrivals for function in fixture.service.engine.functions.values())
            for sock in flood:
                sock.close()

    run(main())


# Guards against usual requests that are lost beside clients that connect anew for each burst.
def test_a_connection_that_was_read_before_is_read_beside_many_new_ones_with_bursts() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), sockets=512) as fixture:
            usual = await fixture.client()
            usual.send_request(1)
            assert await usual.answer_code() == frames.SERVED
            (usual_connection,) = fixture.service.client_server.connections.active
            read_before: list[ClientConnection] = []
            on_data = ClientConnection._on_data

            def record(client: ClientConnection, data: memoryview) -> None:
                read_before.append(client)
                on_data(client, data)

            burst = b"".join(request(n, item="00000000000000aa") for n in range(100, 140))
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(ClientConnection, "_on_data", record)
                usual_connection.connection._on_data = lambda data: record(usual_connection, data)
                new = [connect_raw(fixture.port) for _ in range(FLOOD_CONNECTIONS)]
                await until(lambda: len(fixture.service.client_server.connections) == FLOOD_CONNECTIONS + 1)
                for sock in new:
                    sock.send(burst)
                usual.send_request(2)
                assert await usual.answer_code(10.0) == frames.SERVED
                await until(lambda: len({*read_before}) == FLOOD_CONNECTIONS + 1, 10.0)
            assert read_before.index(usual_connection) <= FLOOD_CONNECTIONS / 2
            for sock in new:
                sock.close()

    run(main())


def delay_turns(monkeypatch: pytest.MonkeyPatch, wait_s: float) -> None:
    """Let each connection wait for each of its turns, as it does beside many others."""
    loop, add = asyncio.get_running_loop(), ReadScheduler.add
    monkeypatch.setattr(ReadScheduler, "add", lambda self, reader: loop.call_later(wait_s, add, self, reader))


# Guards against attempts for clients that closed their connection while it waited for its turn of reading.
def test_no_attempt_starts_for_a_client_that_closed_before_its_request_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as fixture:
            usual, connections = await fixture.client(), fixture.service.client_server.connections
            usual.send_request(1, item="00000000000000aa")
            assert await usual.answer_code() == frames.SERVED
            delay_turns(monkeypatch, 2 * LONG_WAIT_MS / 1000)
            for stream in range(2, 7):
                sock = connect_raw(fixture.port)
                await until(lambda: len(connections) == 2)
                sock.send(request(stream, item="00000000000000aa"))
                sock.close()
                await until(lambda: len(connections) == 1)
            usual.send_request(20, item="00000000000000aa")
            assert await usual.answer_code() == frames.SERVED
            assert len(fixture.workers[0].calls) == 2, "those of the usual client"

    run(main())


def test_no_retry_starts_for_a_client_whose_end_waits_for_its_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    def not_loaded_later(worker: WorkerStub, id_: bytes, _: bytes, writer: asyncio.StreamWriter) -> None:
        asyncio.get_running_loop().call_later(0.1, writer.write, b"%b MISS - 0\r\n\r\n" % id_)

    async def main() -> None:
        async with PlatformFixture(WorkerStub(not_loaded_later), WorkerStub(not_loaded_later)) as fixture:
            connections, workers = fixture.service.client_server.connections, fixture.workers
            sock = connect_raw(fixture.port)
            sock.send(request(2))
            await until(lambda: any(worker.calls for worker in workers))
            delay_turns(monkeypatch, 1.0)
            sock.close()
            await until(lambda: len(connections) == 0)
            assert sum(len(worker.calls) for worker in workers) == 1

    run(main())


def test_a_connection_that_closes_while_it_waits_for_its_turn_is_left_out() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as fixture:
            socks = [connect_raw(fixture.port) for _ in range(3)]
            connections = fixture.service.client_server.connections
            await until(lambda: len(connections) == 3)
            for n, sock in enumerate(socks):
                sock.send(request(n + 1))
            for client in connections.active:
                client.connection._on_readable()
            assert len(fixture.service.client_server.read_scheduler) == 3
            closed = connections.active[0]
            connections.remove(closed)
            closed.connection.close()
            assert len(fixture.service.client_server.read_scheduler) == 2
            await until(lambda: len(fixture.service.client_server.read_scheduler) == 0)
            assert len(connections) == 2 and len(fixture.workers[0].calls) <= 2
            for sock in socks:
                sock.close()

    run(main())


def test_the_time_limit_of_an_iteration_leaves_a_usual_turn_well_under_the_limit_of_late_attempts() -> None:
    """An attempt may begin 0.1 s after its client went; the end of a client must be read sooner."""
    assert MAX_READ_TIME_S <= 0.1 / 10
    assert read_scheduler.MIN_READ_COST_S * MAX_READS < MAX_READ_TIME_S
