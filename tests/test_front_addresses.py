"""Tests of VRRP in running dispatchers: UDP on loopback, front addresses that move without lost requests, failovers."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from program import (
    Dispatcher,
    RecordingLog,
    ScriptedWorker,
    answer,
    authorization,
    connect,
    never_answer,
    read_reply,
    run,
)
from test_inference import Client, tensor

from kelptrail.codec.http import Request, encode_request
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.gateway.connection_health import ConnectionHealth
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.server import Exchange, HttpServer, Limits
from kelptrail.service.front_addresses import FrontAddresses
from kelptrail.settings.deployment import parse
from kelptrail.vrrp.address import FrontAddress, FrontService
from kelptrail.vrrp.driver import next_epoch

ROOT = Path(__file__).parent.parent
TARGET = "/api/v1/namespaces/_/actions/grant?blocking=true&result=true"
CALL = encode_request("POST", TARGET, "x", b'{"a":1}', authorization())


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def front_service(
    dispatcher: Dispatcher, drain_ms: float = 0.0, linger_ms: float = 0.0, grpc: bool = False
) -> FrontService:
    return FrontService(
        dispatcher.api.handle,
        lambda handler: HttpServer(handler, Limits(), dispatcher.log.warning),
        (lambda: GrpcServer(dispatcher.inference.handle)) if grpc else None,
        drain_ms,
        linger_ms,
    )


def test_a_released_address_answers_accepted_requests_and_rejects_later_ones() -> None:
    async def main() -> None:
        in_flight: list[tuple[Request, Exchange]] = []

        def hold_request(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            in_flight.append((request, exchange))

        worker = ScriptedWorker("w", hold_request)
        dispatcher, other = Dispatcher([worker]), Dispatcher([ScriptedWorker("v", answer)])
        port = free_port()
        service = front_service(dispatcher, drain_ms=2000.0, linger_ms=150.0)
        old = FrontAddress("127.0.0.1", port, service, RecordingLog())
        new = FrontAddress("127.0.0.1", port, front_service(other), RecordingLog())
        old.acquire()
        loop = asyncio.get_running_loop()
        idle, busy = await connect(f"127.0.0.1:{port}"), await connect(f"127.0.0.1:{port}")
        await loop.sock_sendall(busy, CALL)
        while not in_flight:
            await asyncio.sleep(0.01)
        new.acquire()  # Two masters for a short time: both listen
        assert old.held and new.held
        old.release()
        assert not old.held
        late = await connect(f"127.0.0.1:{port}")
        await loop.sock_sendall(late, CALL)
        assert (await read_reply(late)).status == 200, "the new holder of the address serves immediately"
        await loop.sock_sendall(busy, CALL)  # Another request on the old connection
        answer(worker, *in_flight[0])
        received, buffer = b"", bytearray(4096)
        while count := await loop.sock_recv_into(busy, buffer):
            received += bytes(buffer[:count])
        assert received.index(b" 200 ") < received.index(b" 503 ") < received.index(b"connection: close"), received
        await loop.sock_sendall(idle, CALL)  # Sent after the address moved: answered with 503, not reset
        reply = await read_reply(idle)
        assert reply.status == 503 and reply.headers["retry-after"] == "1" and not reply.keep_alive
        await old.wait_closed()
        assert dispatcher.gateway.counts.received == 1 and dispatcher.gateway.in_flight == 0
        new.release()
        await new.wait_closed()
        for sock in (idle, busy, late):
            sock.close()
        for d in (dispatcher, other):
            await d.server.drain(0)

    run(main())


def test_a_request_that_was_incomplete_when_the_address_moved_gets_503_with_retry_after() -> None:
    async def main() -> None:
        dispatcher = Dispatcher([ScriptedWorker("w", never_answer)])
        front = FrontAddress("127.0.0.1", free_port(), front_service(dispatcher), RecordingLog())
        front.acquire()
        assert front.server is not None
        server, address = front.server, front.server.address
        sock = await connect(address)
        # An incomplete request keeps the connection busy.
        await asyncio.get_running_loop().sock_sendall(sock, CALL[:40])
        await asyncio.sleep(0.05)
        server.handle = front._reject_moved  # as `release` does, which also starts to drain
        await asyncio.get_running_loop().sock_sendall(sock, CALL[40:])
        reply = await read_reply(sock)
        assert reply.status == 503 and reply.headers["retry-after"] == "1" and not reply.keep_alive
        assert dispatcher.gateway.counts.received == 0
        front.release()
        await front.wait_closed()
        sock.close()
        await dispatcher.server.drain(0)

    run(main())


VRRP_SECTION = """(vrrp (key 1 "s")
  (instance a (udp "127.0.31.1:{udp}")) (instance b (udp "127.0.31.2:{udp}"))
  (router 7 (address "127.0.32.7") (port {port}) (interval-cs 5) (member a (priority 200)) (member b (priority 100)))
  (track workers (weight 150) (fall-ms 100) (rise-ms 300)) (track front (weight 10)))
"""


def test_two_instances_on_loopback_move_the_address_and_drop_unauthenticated_datagrams(tmp_path: Path) -> None:
    async def main() -> None:
        from program import DEPLOYMENT

        text = DEPLOYMENT.rstrip()[:-1] + VRRP_SECTION.format(udp=free_port(socket.SOCK_DGRAM), port=free_port()) + ")"
        deployment = parse(text, "t")
        assert deployment.vrrp is not None
        workers = [ScriptedWorker("w", answer)]
        dispatchers, members = [Dispatcher(workers, deployment) for _ in range(2)], []
        for name, dispatcher in zip("ab", dispatchers, strict=True):
            (tmp_path / name).mkdir()
            members.append(
                FrontAddresses(
                    deployment.vrrp,
                    name,
                    tmp_path / name,
                    dispatcher.driver,
                    front_service(dispatcher, deployment.front.drain_ms, deployment.front.linger_ms),
                    dispatcher.log,
                )
            )
        for member in members:
            member.start()

        async def wait_for_holders(*expected: bool) -> None:
            async with asyncio.timeout(3):
                while [member.addresses[7].held for member in members] != list(expected):
                    await asyncio.sleep(0.005)

        await wait_for_holders(True, False)
        # Datagrams without authentication are counted and have no other effect.
        counts = members[1].vrrp.instance.counters
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind(("127.0.31.1", 0))
        address_parts = deployment.vrrp.instance[1].udp.rpartition(":")  # host, ":" and port of instance b
        for data in (b"junk", b"x" * 60):
            sender.sendto(data, (address_parts[0], int(address_parts[2])))
        sender.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, 4)  # no effect: authentication is checked first
        sender.sendto(b"y" * 60, (address_parts[0], int(address_parts[2])))
        await asyncio.sleep(0.05)
        assert counts["UnsealedError"] == 3  # no authentication trailer
        # The master has no workers: the address moves within the 3 s of `wait_for_holders`.  It moves back once the
        # connections to its workers have been healthy for `rise-ms`.
        dispatchers[0].set_workers([])  # Its endpoint list has no workers any more
        await wait_for_holders(False, True)
        dispatchers[0].set_workers(workers)
        await wait_for_holders(True, False)
        await members[0].stop()  # Releases the address: the other member takes over after its skew time
        await wait_for_holders(False, True)
        status = members[1].vrrp.status()
        (router,) = status["routers"]
        assert router["state"] == "master" and status["transitions"][-1]["cause"] == "master down"
        # `adver` is the time to the next advertisement (Adver_Timer), `well` the last observed health.
        assert "adver" in router["timers_ms"] and status["tracked"]["workers"]["well"]
        await members[1].stop()
        sender.close()
        for dispatcher in dispatchers:
            await dispatcher.server.drain(0)
        await workers[0].server.drain(0)

    run(main())


def test_attempts_of_two_masters_for_one_client_key_carry_one_deduplication_id() -> None:
    async def main() -> None:
        worker = ScriptedWorker("w", answer)
        dispatchers = [Dispatcher([worker], boot=letter * 16) for letter in "bc"]
        for dispatcher in dispatchers:  # The client retries through the other master
            assert (await dispatcher.call("activate", body={}, key="ticket-7"))[0] == 200
        assert [id_ for id_, _ in worker.attempts] == ["one/activate/ticket-7"] * 2, (
            "both attempts carry the id by which the deduplication scope drops the retry"
        )
        for dispatcher in dispatchers:
            assert (await dispatcher.call("activate", body={}))[0] == 200
        assert len({id_ for id_, _ in worker.attempts}) == 3, "requests without a key never share an id"
        for dispatcher in dispatchers:
            await dispatcher.server.drain(0)
        await worker.server.drain(0)

    run(main())


def test_epochs_increase_after_a_clock_step_and_follow_the_clock_after_file_damage(tmp_path: Path) -> None:
    file = tmp_path / "epoch"
    first = next_epoch(file)
    file.write_text(str(first + 10**9))  # The clock was set back after the file was written
    assert next_epoch(file) == first + 10**9 + 1
    file.write_text("torn")
    assert next_epoch(file) >= first
    file.unlink()
    assert next_epoch(file) >= first


def test_connection_health_counts_recent_results_only() -> None:
    health = ConnectionHealth(1000.0)
    assert health.is_healthy(0.0) is None
    health.on_attempt_finished(100.0, AttemptStatus.UNREACHABLE)
    assert health.is_healthy(200.0) is False
    health.on_attempt_finished(150.0, AttemptStatus.OUT_OF_CAPACITY)  # A rejection shows that a worker was reached
    assert health.is_healthy(1100.0) is True and health.is_healthy(1200.0) is None
    health.on_attempt_finished(1300.0, AttemptStatus.CANCELLED)
    assert health.is_healthy(1300.0) is None


@pytest.mark.scenarios
def test_two_failovers_of_real_processes_break_no_rule_of_the_history_checker(tmp_path: Path) -> None:
    text = (ROOT / "examples" / "shared-address.sexp").read_text()
    for port, kind in (("8112", socket.SOCK_DGRAM), ("8310", socket.SOCK_STREAM), ("8311", socket.SOCK_STREAM)):
        text = text.replace(port, str(free_port(kind)))
    settings = tmp_path / "shared.sexp"
    settings.write_text(text)
    process = subprocess.run(
        [
            sys.executable,
            "bench/vrrp_failover.py",
            "--failovers",
            "2",
            "--out",
            str(tmp_path),
            "--rate",
            "30",
            "--settings",
            str(settings),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=80,
        check=False,
    )
    assert process.returncode == 0, process.stdout[-2000:] + process.stderr[-2000:]
    report = json.loads((tmp_path / "report.json").read_text())
    # `broken`: a rule of the history checker was violated.
    assert report["taken_over"] == 2 and report["completed"] > 100 and not report["broken"]
    # No request had its effect twice, got no final answer, or got two.
    assert report["effects_twice"] == report["unanswered"] == report["finals_twice"] == 0
    assert (tmp_path / "masters.png").stat().st_size > 10_000


def test_a_front_address_serves_grpc_too_and_drains_it_with_goaway() -> None:
    async def main() -> None:
        in_flight: list[tuple[ScriptedWorker, Request, Exchange]] = []
        one, two = (
            Dispatcher([ScriptedWorker("w", lambda *call: in_flight.append(call))]),
            Dispatcher([ScriptedWorker("v", answer)]),
        )
        port, grpc_port = free_port(), free_port()

        def make_address(dispatcher: Dispatcher, drain_ms: float) -> FrontAddress:
            service = front_service(dispatcher, drain_ms, grpc=True)
            return FrontAddress("127.0.0.1", port, service, RecordingLog(), grpc_port)

        old, new = make_address(one, 3000.0), make_address(two, 0.0)
        old.acquire()
        client = Client(f"127.0.0.1:{grpc_port}")
        call = asyncio.create_task(client.infer("p/check", [tensor("INT8", [7])]))
        while not in_flight:
            await asyncio.sleep(0.01)
        new.acquire()
        old.release()
        await asyncio.sleep(0.2)  # The client reads GOAWAY
        # The old holder finishes the accepted call.  Once the client has read GOAWAY, its calls go to the new holder;
        # none fails.
        later_responses = [await client.infer("p/check", [tensor("INT8", [n])]) for n in range(3)]
        assert [list(r.outputs[0].contents.int_contents) for r in later_responses] == [[0], [1], [2]]
        assert two.gateway.counts.received >= 1 and one.gateway.counts.received + two.gateway.counts.received == 4
        answer(*in_flight[0])
        assert list((await call).outputs[0].contents.int_contents) == [7]
        await old.wait_closed()
        await client.channel.close()
        new.release()
        await new.wait_closed()
        for dispatcher in (one, two):
            await dispatcher.grpc.drain(0)
            await dispatcher.driver.drain(0)
            await dispatcher.server.drain(0)

    run(main())
