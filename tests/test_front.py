"""Tests of the invoke API over sockets: its specification, and clients that are slow, malformed or disconnected."""

from __future__ import annotations

import asyncio
import socket

import pytest
from program import (
    DEPLOYMENT,
    Dispatcher,
    ScriptedWorker,
    answer,
    authorization,
    connect,
    final_answer,
    never_answer,
    read_reply,
    reject_with,
    run,
    running_dispatcher,
    send_request,
)

from kelptrail.codec.http import Request, encode_request, encode_response
from kelptrail.codec.infer import infer_answer, read_infer
from kelptrail.dispatch.entities import AttemptStatus
from kelptrail.membership.members import EndpointList, Peer, id_prefix
from kelptrail.net.server import Exchange, HttpServer, Limits
from kelptrail.settings.deployment import parse

BASE = "/api/v1/namespaces/_"


def answer_with_error(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
    """Answer with an error of the function itself: it ran, and its error is the result."""
    infer, _ = read_infer(request.body)
    exchange.reply(200, infer_answer("m", infer.id, '{"error":"no such family"}', False))


def test_blocking_and_deferred_requests_and_their_records() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, (worker,)):
            status, headers, record = await dispatcher.call("p/check", body={"family": 7})
            assert status == 200 and record["response"]["result"] == {"family": 7}
            assert record["response"]["status"] == "success" and record["namespace"] == "one"
            assert record["end"] >= record["start"] and record["logs"] == []
            assert headers["x-openwhisk-activation-id"] == record["activationId"]
            assert final_answer(record)["answer"] == "completed"
            status, _, result = await dispatcher.call("p/check", body={"a": [1]}, query="&result=true")
            assert (status, result) == (200, {"a": [1]})
            status, _, accepted = await dispatcher.call("grant", blocking=False, body={})
            assert status == 202 and set(accepted) == {"activationId"}
            id_ = accepted["activationId"]
            record = await dispatcher.wait_for_record(id_)
            assert record["name"] == "grant"
            _, _, result = await dispatcher.request("GET", f"{BASE}/activations/{id_}/result")
            assert result == {"status": "success", "statusCode": 0, "success": True, "result": {}}
            assert (await dispatcher.request("GET", f"{BASE}/activations/{id_}/logs"))[2] == {"logs": []}
            assert [p["dispatcher"] for _, p in worker.attempts] == ["d/" + "b" * 16] * 3

    run(main())


def test_lists_are_filtered_by_name_and_time_and_paged() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            for n in range(5):
                await dispatcher.call("grant" if n % 2 else "p/check", body={"n": n})
            request = dispatcher.request
            _, _, records = await request("GET", f"{BASE}/activations")
            assert [a["name"] for a in records] == ["check", "grant", "check", "grant", "check"]
            assert "response" not in records[0] and records[0]["statusCode"] == 0
            _, _, page = await request("GET", f"{BASE}/activations?name=check&limit=1&skip=1&docs=true")
            assert [a["response"]["result"] for a in page] == [{"n": 2}]
            _, _, of_action = await request("GET", f"{BASE}/activations?name=p%2Fcheck")
            assert len(of_action) == 3
            since = records[2]["start"]
            _, _, later = await request("GET", f"{BASE}/activations?since={since}&upto={since + 60_000}")
            assert {a["activationId"] for a in later} >= {records[0]["activationId"], records[1]["activationId"]}
            assert (await request("GET", f"{BASE}/activations?count=true"))[2] == {"activations": 5}
            for invalid_query in ("limit=-1", "limit=201", "skip=x", "docs=maybe", "since=1e3"):
                assert (await request("GET", f"{BASE}/activations?{invalid_query}"))[0] == 400

    run(main())


def test_actions_namespaces_and_errors_as_specified() -> None:
    async def main() -> None:
        async with running_dispatcher(answer_with_error) as (dispatcher, _):
            request = dispatcher.request
            assert (await request("GET", "/api/v1/namespaces"))[2] == ["one"]
            _, _, actions = await request("GET", f"{BASE}/actions")
            assert [(a["namespace"], a["name"]) for a in actions] == [
                ("one/p", "check"),
                ("one", "activate"),
                ("one", "grant"),
            ]
            assert (await request("GET", f"{BASE}/actions?limit=1&skip=1"))[2][0]["name"] == "activate"
            assert (await request("GET", f"{BASE}/actions/p/check"))[2]["limits"]["timeout"] == 900
            for method, target, status in (
                ("GET", f"{BASE}/actions/none", 404),
                ("POST", f"{BASE}/actions/check", 404),
                ("GET", "/api/v1/namespaces/two/actions", 403),
                ("GET", f"{BASE}/activations/nothing", 404),
                ("DELETE", f"{BASE}/actions/grant", 405),
                ("GET", "/elsewhere", 404),
            ):
                got_status, _, body = await request(method, target)
                assert got_status == status and set(body) == {"error", "code"}, (method, target, got_status, body)
            for headers in (
                {"authorization": "Basic !!"},
                authorization(key="wrong"),
                authorization(uuid="no"),
                {"authorization": ""},
            ):
                status, reply_headers, body = await request("GET", f"{BASE}/actions", headers=headers)
                assert status == 401 and "www-authenticate" in reply_headers and body["code"]
            status, _, record = await dispatcher.call("grant", body={})
            assert status == 502 and record["response"]["status"] == "application error"
            assert record["response"]["result"] == {"error": "no such family"}
            other_namespace = authorization("00000000-0000-0000-0000-000000000002", "k2")
            id_ = record["activationId"]
            assert (await request("GET", f"{BASE}/activations/{id_}", headers=other_namespace))[0] == 404
            for raw in (b"[1]", b"{", b'{"a":"\xff"}', b"[" * 3000):
                assert (await dispatcher.call("grant", raw=raw))[0] == 400
            for query in ("&timeout=0", "&timeout=99999999", "&result=yes"):
                assert (await dispatcher.call("grant", query=query))[0] == 400

    run(main())


def test_a_blocking_request_gets_its_activation_id_after_its_maximum_wait() -> None:
    async def main() -> None:
        async with running_dispatcher(never_answer) as (dispatcher, _):
            status, _, accepted = await dispatcher.call("grant", query="&timeout=100")
            assert status == 202
            status, _, body = await dispatcher.request("GET", f"{BASE}/activations/{accepted['activationId']}")
            assert status == 404 and "in hand" in body["error"]
            record = await dispatcher.wait_for_record(accepted["activationId"])
            assert final_answer(record)["answer"] == "aborted" and record["end"] - record["start"] <= 900
            assert "may have run" in record["response"]["result"]["error"]

    run(main())


def test_a_rejection_is_429_with_retry_after() -> None:
    async def main() -> None:
        async with running_dispatcher(never_answer, on_load=reject_with(None)) as (dispatcher, _):
            calls = [asyncio.create_task(dispatcher.call("p/check", body={})) for _ in range(60)]
            answers = await asyncio.gather(*calls)
            rejections = [(headers, body) for status, headers, body in answers if status == 429]
            assert rejections, [a[0] for a in answers]
            headers_with_delay = [headers for headers, body in rejections if body["retry_after_ms"]]
            assert headers_with_delay and all(int(headers["retry-after"]) >= 1 for headers in headers_with_delay)
            assert all(body["answer"] == "rejected" and body["code"] for _, body in rejections)
            assert (
                dispatcher.gateway.counts.received
                == 60
                == (dispatcher.gateway.counts.rejected + dispatcher.gateway.counts.failed)
            )

    run(main())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def main() -> None:
        pending: list[tuple[Request, Exchange]] = []

        def answer_later(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            pending.append((request, exchange))

        async with running_dispatcher(answer_later) as (dispatcher, (worker,)):
            sock = await connect(dispatcher.server.address)
            loop = asyncio.get_running_loop()
            data = b"".join(
                encode_request(
                    "POST", f"{BASE}/actions/p/check?blocking=true&result=true", "x", b'{"n":%d}' % n, authorization()
                )
                for n in range(3)
            )
            await loop.sock_sendall(sock, data + encode_request("GET", "/api/v1", "x"))
            while len(pending) < 3:
                await asyncio.sleep(0.01)
            for request, exchange in reversed(pending):
                answer(worker, request, exchange)
            received, buffer = b"", bytearray(65536)
            while received.count(b"HTTP/1.1 200") < 4:
                count = await loop.sock_recv_into(sock, buffer)
                received += bytes(buffer[:count])
            positions = [received.index(b'{"n":%d}' % n) for n in range(3)] + [received.index(b"invoke API")]
            assert positions == sorted(positions)
            sock.close()

    run(main())


def test_expect_continue_chunked_bodies_and_a_body_too_large() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            loop, head = asyncio.get_running_loop(), f"authorization: {authorization()['authorization']}\r\nhost: x\r\n"
            target = f"POST {BASE}/actions/grant?blocking=true&result=true HTTP/1.1\r\n{head}"
            sock = await connect(dispatcher.server.address)
            await loop.sock_sendall(sock, f"{target}expect: 100-continue\r\ncontent-length: 7\r\n\r\n".encode())
            assert (await loop.sock_recv(sock, 100)).startswith(b"HTTP/1.1 100 ")
            await loop.sock_sendall(sock, b'{"a":1}')
            assert (await read_reply(sock)).body == b'{"a":1}'
            await loop.sock_sendall(sock, f"{target}transfer-encoding: chunked\r\n\r\n".encode())
            for chunk in (b'3\r\n{"b\r\n', b'4\r\n":2}\r\n', b"0\r\n\r\n"):
                await asyncio.sleep(0.02)
                await loop.sock_sendall(sock, chunk)
            assert (await read_reply(sock)).body == b'{"b":2}'
            await loop.sock_sendall(sock, f"{target}expect: 100-continue\r\ncontent-length: 5000\r\n\r\n".encode())
            reply = await read_reply(sock)
            assert reply.status == 413 and not reply.keep_alive
            assert await loop.sock_recv(sock, 100) == b""
            sock.close()

    run(main())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01\x02\x03\r\n\r\n", 400),
        (b"GET / HTTP/9.9\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab", 408),  # The rest of the body never arrives
        (b"GET / HT", 408),
        (b"GET /" + b"a" * 5000 + b" HTTP/1.1\r\n\r\n", 431),
    ],
)
def test_malformed_and_slow_requests_are_answered_and_their_connections_closed(data: bytes, status: int) -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            loop = asyncio.get_running_loop()
            sock = await connect(dispatcher.server.address)
            await loop.sock_sendall(sock, data)
            reply = await read_reply(sock)
            assert reply.status == status and not reply.keep_alive
            assert await loop.sock_recv(sock, 100) == b""
            sock.close()
            assert (await dispatcher.call("grant"))[0] == 200

    run(main())


def test_a_truncated_request_is_answered_400_and_not_accepted() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            loop = asyncio.get_running_loop()
            sock = await connect(dispatcher.server.address)
            data = encode_request("POST", f"{BASE}/actions/grant?blocking=true", "x", b'{"a":1}', authorization())
            await loop.sock_sendall(sock, data[:-3])
            sock.shutdown(socket.SHUT_WR)
            assert (await read_reply(sock)).status == 400
            sock.close()
            assert dispatcher.gateway.counts.received == 0

    run(main())


def test_half_closed_clients_are_served_and_requests_of_closed_ones_cancelled() -> None:
    async def main() -> None:
        pending: list[tuple[Request, Exchange]] = []

        def answer_later(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            pending.append((request, exchange))

        async with running_dispatcher(answer_later) as (dispatcher, (worker,)):
            loop = asyncio.get_running_loop()
            data = encode_request(
                "POST", f"{BASE}/actions/grant?blocking=true&result=true", "x", b'{"a":1}', authorization()
            )
            half_closed = await connect(dispatcher.server.address)
            await loop.sock_sendall(half_closed, data)
            half_closed.shutdown(socket.SHUT_WR)
            closed = await connect(dispatcher.server.address)
            await loop.sock_sendall(closed, data)
            while len(pending) < 2:
                await asyncio.sleep(0.01)
            closed.close()  # Sends no reset: only a write shows that the connection is not half-closed
            await asyncio.sleep(0.15)
            assert dispatcher.gateway.counts.failed == 1 and dispatcher.gateway.in_flight == 1
            answer(worker, *pending[0])
            assert (await read_reply(half_closed)).body == b'{"a":1}'
            half_closed.close()

    run(main())


def test_a_thousand_idle_connections_and_one_slow_reader() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            loop = asyncio.get_running_loop()
            idle = [await connect(dispatcher.server.address) for _ in range(1000)]
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
            slow.setblocking(False)
            host, _, port = dispatcher.server.address.rpartition(":")
            await loop.sock_connect(slow, (host, int(port)))
            requests = encode_request("GET", f"{BASE}/actions", "x", b"", authorization()) * 4000
            sending = asyncio.create_task(loop.sock_sendall(slow, requests))
            await asyncio.sleep(0.2)
            started_at = loop.time()
            statuses = [(await dispatcher.call("grant"))[0] for _ in range(20)]
            assert statuses == [200] * 20 and loop.time() - started_at < 1.0
            deadline = loop.time() + 6  # The slow client reads nothing and is closed after the write timeout
            while dispatcher.server.connections > 1000 and loop.time() < deadline:
                await asyncio.sleep(0.1)
            assert dispatcher.server.connections == 1000
            assert any(event == "slow-reader" for event, _ in dispatcher.log.lines)
            sending.cancel()
            for sock in [*idle, slow]:
                sock.close()

    run(main())


def test_draining_answers_requests_in_flight_and_accepts_no_new_ones() -> None:
    async def main() -> None:
        pending: list[tuple[Request, Exchange]] = []

        def answer_later(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            pending.append((request, exchange))
            asyncio.get_running_loop().call_later(0.2, answer, worker, request, exchange)

        worker = ScriptedWorker("w", answer_later)
        dispatcher = Dispatcher([worker])
        calls = [asyncio.create_task(dispatcher.call("p/check", body={})) for _ in range(4)]
        idle = await connect(dispatcher.server.address)
        while len(pending) < 4:
            await asyncio.sleep(0.01)
        dispatcher.api.context.draining = True
        drains = asyncio.gather(dispatcher.driver.drain(2000), dispatcher.server.drain(2000))
        assert [(await call)[0] for call in calls] == [200] * 4
        assert await drains == [True, True]
        assert await asyncio.get_running_loop().sock_recv(idle, 10) == b""
        with pytest.raises(OSError):
            await connect(dispatcher.server.address)
        idle.close()
        await worker.server.drain(0)

    run(main())


def test_a_namespace_over_its_limit_is_rejected_on_arrival() -> None:
    async def main() -> None:
        settings = parse(DEPLOYMENT.replace("(records 1000)", "(records 1000) (held-each 3)"), "t")
        worker = ScriptedWorker("w", never_answer)
        dispatcher = Dispatcher([worker], settings)
        calls = [asyncio.create_task(dispatcher.call("p/check", body={})) for _ in range(3)]
        while dispatcher.gateway.in_flight < 3:
            await asyncio.sleep(0.01)
        status, headers, body = await dispatcher.call("p/check", body={})
        assert status == 429 and headers["retry-after"] == "1" and "in flight" in body["error"]
        other_namespace = authorization("00000000-0000-0000-0000-000000000002", "k2")
        status, _, _ = await dispatcher.request("POST", f"{BASE}/actions/p/check", {}, other_namespace)
        assert status == 202, "another namespace is accepted"
        assert dispatcher.gateway.counts.received == 4 and dispatcher.gateway.limits.rejections["namespace"] == 1
        assert all(status in (429, 502) for status, _, _ in await asyncio.gather(*calls))
        status, _, _ = await dispatcher.call("p/check", blocking=False, body={})
        assert status in (202, 429) and dispatcher.gateway.limits.rejections["namespace"] == 1, "below the limit again"
        await dispatcher.server.drain(0)
        await worker.server.drain(0)

    run(main())


def test_slow_readers_stay_within_the_memory_limit_and_others_are_served() -> None:
    async def main() -> None:
        loop, events = asyncio.get_running_loop(), []
        server = HttpServer(
            lambda request, exchange: exchange.reply(200, b"x" * 500_000) and None,
            Limits(unread_bytes=5e6),
            lambda event, **_: events.append(event),
        )
        server.listen("127.0.0.1", 0)
        requests, socks, peak_bytes = encode_request("GET", "/", "x", b"") * 30, [], 0
        for _ in range(20):  # Each requests 30 * 500 kB, 300 MB in total, and reads nothing; kernel buffers hold a part
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
            sock.setblocking(False)
            host, _, port = server.address.rpartition(":")
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, requests)
            socks.append(sock)
            await asyncio.sleep(0.02)
            peak_bytes = max(peak_bytes, server.unwritten_bytes)
        assert 3e6 < peak_bytes <= 5e6, "the buffers fill, but only up to the limit"
        assert server.slow_readers_closed > 0 and "slow-reader-closed" in events
        assert (await send_request(server.address, encode_request("GET", "/", "x", b""))).status == 200
        for sock in socks:
            sock.close()
        await asyncio.sleep(0.2)
        assert server.unwritten_bytes == 0, "no bytes of closed connections remain counted"
        await server.drain(0)

    run(main())


def test_a_poll_at_another_dispatcher_is_redirected_or_not_found() -> None:
    async def main() -> None:
        worker = ScriptedWorker("w", never_answer)
        one = Dispatcher([worker], boot=id_prefix("one") + "1" * 10)
        two = Dispatcher([worker], boot=id_prefix("two") + "2" * 10)
        peers = [Peer("one", one.server.address), Peer("two", two.server.address)]
        two.driver.on_endpoints(EndpointList(9, [worker.endpoint], "test", peers))
        status, _, accepted = await one.call("grant", blocking=False, body={})
        assert status == 202
        target = f"{BASE}/activations/{accepted['activationId']}"
        status, headers, body = await two.request("GET", target + "?wait=50")
        assert status == 307 and headers["location"] == f"http://{one.server.address}{target}?wait=50"
        assert "one" in body["error"]
        assert (await two.request("DELETE", target))[0] == 307
        status, _, body = await two.request("GET", f"{BASE}/activations/{id_prefix('three')}{'0' * 26}")
        assert status == 404 and "does not know" in body["error"], "no known dispatcher issued this id"
        status, _, body = await two.request("GET", f"{BASE}/activations/{id_prefix('two')}{'0' * 26}")
        assert status == 404 and "kept here" in body["error"]
        assert (await one.request("GET", target))[0] == 404, "in flight"
        for dispatcher in (one, two):
            await dispatcher.driver.drain(0)
            await dispatcher.server.drain(0)
        await worker.server.drain(0)

    run(main())


@pytest.mark.parametrize(
    ("action", "expected_answer", "attempts"),
    [("p/check", "completed", 2), ("activate", "completed", 2), ("grant", "aborted", 1)],
)
def test_a_request_with_a_truncated_answer_may_have_run(action: str, expected_answer: str, attempts: int) -> None:
    """A worker's connection ends within the body of its answer: at-most-once requests are not retried."""

    def answer_truncated(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
        infer, payload = read_infer(request.body)
        if sum(len(w.attempts) for w in workers) > 1:
            answer(worker, request, exchange)
            return
        reply = encode_response(200, infer_answer("m", infer.id, payload, True))
        exchange.keep_alive = False
        exchange._connection._out += reply[:-7]
        exchange._connection._close_when_written = True
        exchange._connection._wake_writer()

    workers: list[ScriptedWorker] = []

    async def main() -> None:
        async with running_dispatcher(answer_truncated, answer_truncated) as (dispatcher, running_workers):
            workers.extend(running_workers)
            status, _, record = await dispatcher.call(action, body={"a": 1}, key="k")
            assert final_answer(record)["answer"] == expected_answer and (status == 200) == (
                expected_answer == "completed"
            )
            assert sum(len(w.attempts) for w in running_workers) == attempts
            assert dispatcher.gateway.counts.attempt_statuses == {AttemptStatus.CONNECTION_LOST: 1} | (
                {AttemptStatus.COMPLETED: 1} if attempts == 2 else {}
            )

    run(main())


def test_an_answer_after_the_final_one_changes_nothing() -> None:
    pending: list[tuple[ScriptedWorker, Request, Exchange]] = []

    async def main() -> None:
        async with running_dispatcher(lambda *call: pending.append(call)) as (dispatcher, (worker,)):
            status, _, record = await dispatcher.call("grant", body={"a": 1})
            assert status == 502 and final_answer(record)["answer"] == "aborted"
            for call in pending:
                answer(*call)
            await asyncio.sleep(0.05)
            record_after = (await dispatcher.request("GET", f"{BASE}/activations/{record['activationId']}"))[2]
            assert record_after == record and len(worker.attempts) == 1 and not dispatcher.gateway.in_flight

    run(main())
