"""The listener: the pace of accepting, rejections of clients over the pace, and no client lost while it closes."""

from __future__ import annotations

import asyncio
import random
import socket

import pytest
from program import RecordingLog, connect, read_reply, run, send_request

from kelptrail.codec.http import Request, encode_request
from kelptrail.net.listener import ConnectPace, PaceSettings
from kelptrail.net.server import Exchange, HttpServer, Limits

CALL = encode_request("GET", "/", "x", b"", {})


@pytest.mark.parametrize("seed", range(20))
def test_accepted_connections_and_assigned_retry_times_stay_within_the_pace(seed: int) -> None:
    rng = random.Random(seed)
    settings = PaceSettings(rng.randint(1, 200), rng.uniform(5, 500), 20_000.0)
    pace, now, accepted, retry_times = ConnectPace(settings, seed), 0.0, 0, list[float]()
    for _ in range(3000):
        now += rng.expovariate(1 / 0.5)
        delay_ms = pace.admit(now)
        accepted += delay_ms is None
        assert accepted <= settings.burst + settings.per_s * now / 1000 + 1
        if delay_ms is not None:
            assert 50 <= delay_ms <= settings.max_delay_ms
            retry_times.append(now + delay_ms)
    retry_times.sort()
    # Retry times use half of the pace; they cluster only at the maximum delay.
    for earlier, later in zip(retry_times, retry_times[100:], strict=False):
        if later < now + settings.max_delay_ms * 0.7:
            assert 100 / max(1.0, later - earlier) * 1000 <= 0.8 * settings.per_s + 100
    assert ConnectPace(PaceSettings(1, 0), 1).admit(0) is None


def test_a_client_over_the_pace_is_rejected_with_a_retry_time() -> None:
    async def main() -> None:
        def handle(request: Request, exchange: Exchange) -> None:
            exchange.reply(200, b"{}")

        server = HttpServer(
            handle, Limits(), RecordingLog().warning, pace=ConnectPace(PaceSettings(10, 10.0, 3000.0), 1)
        )
        server.listen("127.0.0.1", 0)
        replies = await asyncio.gather(*(send_request(server.address, CALL) for _ in range(40)))
        rejections = [r for r in replies if r.status == 503]
        assert 25 <= len(rejections) == server.rejected_by_pace <= 30 and all(not r.keep_alive for r in rejections)
        delays = [float(r.headers["retry-after-ms"]) for r in rejections]
        assert len(set(delays)) == len(delays) and max(delays) <= 3000, "each client gets its own retry time"
        await asyncio.sleep(0.35)
        assert (await send_request(server.address, CALL)).status == 200, "clients are accepted again later"
        await server.drain(100)

    run(main())


def test_no_connected_client_is_lost_while_the_listener_closes() -> None:
    """Guards against a connection that `sock_accept` had accepted, and that was lost when its task was cancelled."""

    async def main() -> None:
        def handle(request: Request, exchange: Exchange) -> None:
            exchange.reply(200, b"{}")

        for round_number in range(40):
            server = HttpServer(handle, Limits())
            server.listen("127.0.0.1", 0)
            for _ in range(round_number % 4):
                await asyncio.sleep(0)
            socks: list[socket.socket] = [await connect(server.address) for _ in range(3)]
            for _ in range(round_number // 4 % 4):
                await asyncio.sleep(0)
            for sock in socks:
                sock.send(CALL)
            drained = asyncio.create_task(server.drain(2000))
            assert [(await read_reply(sock)).status for sock in socks] == [200] * 3
            assert await drained
            for sock in socks:
                sock.close()

    run(main())
