"""The invoke API on sockets, as its specification has it, with clients that behave and clients that do not."""

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


def failing(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
    """The function itself fails: it ran, and its error is the answer."""
    infer, _ = read_infer(request.body)
    exchange.reply(200, infer_answer("m", infer.id, '{"error":"no such family"}', False))


def test_blocking_deferred_result_and_records() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, (worker,)):
            status, headers, record = await dispatcher.call("p/check", body={"family": 7})
            assert status == 200 and record["response"]["result"] == {"family": 7}
            assert record["response"]["status"] == "success" and record["namespace"] == "one"
            assert record["end"] >= record["start"] and record["logs"] == []
            assert headers["x-openwhisk-activation-id"] == record["activationId"]
            assert final_answer(record)["answer"] == "completed"
            status, _, bare = await dispatcher.call("p/check", body={"a": [1]}, query="&result=true")
            assert (status, bare) == (200, {"a": [1]})
            status, _, told = await dispatcher.call("grant", blocking=False, body={})
            assert status == 202 and set(told) == {"activationId"}
            done = await dispatcher.wait_for_record(told["activationId"])
            assert done["name"] == "grant"
            id_ = told["activationId"]
            _, _, result = await dispatcher.request("GET", f"{BASE}/activations/{id_}/result")
            assert result == {"status": "success", "statusCode": 0, "success": True, "result": {}}
            assert (await dispatcher.request("GET", f"{BASE}/activations/{id_}/logs"))[2] == {"logs": []}
            assert [p["dispatcher"] for _, p in worker.attempts] == ["d/" + "b" * 16] * 3

    run(main())


def test_lists_page_by_name_and_time() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            for n in range(5):
                await dispatcher.call("grant" if n % 2 else "p/check", body={"n": n})
            ask = dispatcher.request
            _, _, whole = await ask("GET", f"{BASE}/activations")
            assert [a["name"] for a in whole] == ["check", "grant", "check", "grant", "check"]
            assert "response" not in whole[0] and whole[0]["statusCode"] == 0
            _, _, some = await ask("GET", f"{BASE}/activations?name=check&limit=1&skip=1&docs=true")
            assert [a["response"]["result"] for a in some] == [{"n": 2}]
            _, _, named = await ask("GET", f"{BASE}/activations?name=p%2Fcheck")
            assert len(named) == 3
            since = whole[2]["start"]
            _, _, later = await ask("GET", f"{BASE}/activations?since={since}&upto={since + 60_000}")
            assert {a["activationId"] for a in later} >= {whole[0]["activationId"], whole[1]["activationId"]}
            assert (await ask("GET", f"{BASE}/activations?count=true"))[2] == {"activations": 5}
            for bad in ("limit=-1", "limit=201", "skip=x", "docs=maybe", "since=1e3"):
                assert (await ask("GET", f"{BASE}/activations?{bad}"))[0] == 400

    run(main())


def test_actions_namespaces_and_errors_as_specified() -> None:
    async def main() -> None:
        async with running_dispatcher(failing) as (dispatcher, _):
            ask = dispatcher.request
            assert (await ask("GET", "/api/v1/namespaces"))[2] == ["one"]
            _, _, actions = await ask("GET", f"{BASE}/actions")
            assert [(a["namespace"], a["name"]) for a in actions] == [
                ("one/p", "check"),
                ("one", "activate"),
                ("one", "grant"),
            ]
            assert (await ask("GET", f"{BASE}/actions?limit=1&skip=1"))[2][0]["name"] == "activate"
            assert (await ask("GET", f"{BASE}/actions/p/check"))[2]["limits"]["timeout"] == 900
            for method, target, status in (
                ("GET", f"{BASE}/actions/none", 404),
                ("POST", f"{BASE}/actions/check", 404),
                ("GET", "/api/v1/namespaces/two/actions", 403),
                ("GET", f"{BASE}/activations/nothing", 404),
                ("DELETE", f"{BASE}/actions/grant", 405),
                ("GET", "/elsewhere", 404),
            ):
                got, _, body = await ask(method, target)
                assert got == status and set(body) == {"error", "code"}, (method, target, got, body)
            for headers in (
                {"authorization": "Basic !!"},
                authorization(key="wrong"),
                authorization(uuid="no"),
                {"authorization": ""},
            ):
                got, told, body = await ask("GET", f"{BASE}/actions", headers=headers)
                assert got == 401 and "www-authenticate" in told and body["code"]
            status, _, record = await dispatcher.call("grant", body={})
            assert status == 502 and record["response"]["status"] == "application error"
            assert record["response"]["result"] == {"error": "no such family"}
            other = authorization("00000000-0000-0000-0000-000000000002", "k2")
            id_ = record["activationId"]
            assert (await ask("GET", f"{BASE}/activations/{id_}", headers=other))[0] == 404
            for raw in (b"[1]", b"{", b'{"a":"\xff"}', b"[" * 3000):
                assert (await dispatcher.call("grant", raw=raw))[0] == 400
            for query in ("&timeout=0", "&timeout=99999999", "&result=yes"):
                assert (await dispatcher.call("grant", query=query))[0] == 400

    run(main())


def test_past_its_wait_a_blocking_call_gets_its_id_and_stays_answerable() -> None:
    async def main() -> None:
        async with running_dispatcher(never_answer) as (dispatcher, _):
            status, _, told = await dispatcher.call("grant", query="&timeout=100")
            assert status == 202
            status, _, body = await dispatcher.request("GET", f"{BASE}/activations/{told['activationId']}")
            assert status == 404 and "in hand" in body["error"]
            record = await dispatcher.wait_for_record(told["activationId"])
            assert final_answer(record)["answer"] == "aborted" and record["end"] - record["start"] <= 900
            assert "may have run" in record["response"]["result"]["error"]

    run(main())


def test_a_rejection_is_429_with_a_time_to_return() -> None:
    async def main() -> None:
        async with running_dispatcher(never_answer, on_load=reject_with(None)) as (dispatcher, _):
            calls = [asyncio.create_task(dispatcher.call("p/check", body={})) for _ in range(60)]
            answers = await asyncio.gather(*calls)
            told = [(h, b) for status, h, b in answers if status == 429]
            assert told, [a[0] for a in answers]
            timed = [h for h, b in told if b["retry_after_ms"]]
            assert timed and all(int(h["retry-after"]) >= 1 for h in timed)
            assert all(b["answer"] == "rejected" and b["code"] for _, b in told)
            assert (
                dispatcher.gateway.counts.received
                == 60
                == (dispatcher.gateway.counts.rejected + dispatcher.gateway.counts.failed)
            )

    run(main())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def main() -> None:
        held: list[tuple[Request, Exchange]] = []

        def later(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            held.append((request, exchange))

        async with running_dispatcher(later) as (dispatcher, (worker,)):
            sock = await connect(dispatcher.server.address)
            loop = asyncio.get_running_loop()
            data = b"".join(
                encode_request(
                    "POST", f"{BASE}/actions/p/check?blocking=true&result=true", "x", b'{"n":%d}' % n, authorization()
                )
                for n in range(3)
            )
            await loop.sock_sendall(sock, data + encode_request("GET", "/api/v1", "x"))
            while len(held) < 3:
                await asyncio.sleep(0.01)
            for request, exchange in reversed(held):
                answer(worker, request, exchange)
            got, buffer = b"", bytearray(65536)
            while got.count(b"HTTP/1.1 200") < 4:
                count = await loop.sock_recv_into(sock, buffer)
                got += bytes(buffer[:count])
            places = [got.index(b'{"n":%d}' % n) for n in range(3)] + [got.index(b"invoke API")]
            assert places == sorted(places)
            sock.close()

    run(main())


def test_expect_continue_chunks_and_a_body_too_large() -> None:
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
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab", 408),  # never the rest of it
        (b"GET / HT", 408),
        (b"GET /" + b"a" * 5000 + b" HTTP/1.1\r\n\r\n", 431),
    ],
)
def test_malformed_and_slow_requests_are_answered_and_closed(data: bytes, status: int) -> None:
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


def test_a_truncated_request_ends_in_400_and_nothing_is_taken() -> None:
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


def test_half_closed_clients_are_served_and_gone_ones_told_to_the_decisions() -> None:
    async def main() -> None:
        held: list[tuple[Request, Exchange]] = []

        def later(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            held.append((request, exchange))

        async with running_dispatcher(later) as (dispatcher, (worker,)):
            loop = asyncio.get_running_loop()
            data = encode_request(
                "POST", f"{BASE}/actions/grant?blocking=true&result=true", "x", b'{"a":1}', authorization()
            )
            half = await connect(dispatcher.server.address)
            await loop.sock_sendall(half, data)
            half.shutdown(socket.SHUT_WR)
            gone = await connect(dispatcher.server.address)
            await loop.sock_sendall(gone, data)
            while len(held) < 2:
                await asyncio.sleep(0.01)
            gone.close()  # a plain close: only writing to it can tell it from a half-closed one
            await asyncio.sleep(0.15)
            assert dispatcher.gateway.counts.failed == 1 and dispatcher.gateway.in_flight == 1
            answer(worker, *held[0])
            assert (await read_reply(half)).body == b'{"a":1}'
            half.close()

    run(main())


def test_a_thousand_idle_connections_and_one_that_reads_a_byte_a_second() -> None:
    async def main() -> None:
        async with running_dispatcher(answer) as (dispatcher, _):
            loop = asyncio.get_running_loop()
            idle = [await connect(dispatcher.server.address) for _ in range(1000)]
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
            slow.setblocking(False)
            host, _, port = dispatcher.server.address.rpartition(":")
            await loop.sock_connect(slow, (host, int(port)))
            many = encode_request("GET", f"{BASE}/actions", "x", b"", authorization()) * 4000
            sending = asyncio.create_task(loop.sock_sendall(slow, many))
            await asyncio.sleep(0.2)
            began = loop.time()
            statuses = [(await dispatcher.call("grant"))[0] for _ in range(20)]
            assert statuses == [200] * 20 and loop.time() - began < 1.0
            end = loop.time() + 6  # it takes nothing: past the write limit it is closed
            while dispatcher.server.connections > 1000 and loop.time() < end:
                await asyncio.sleep(0.1)
            assert dispatcher.server.connections == 1000
            assert any(event == "slow-reader" for event, _ in dispatcher.log.lines)
            sending.cancel()
            for sock in [*idle, slow]:
                sock.close()

    run(main())


def test_draining_answers_what_was_taken_and_takes_nothing_new() -> None:
    async def main() -> None:
        held: list[tuple[Request, Exchange]] = []

        def later(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
            held.append((request, exchange))
            asyncio.get_running_loop().call_later(0.2, answer, worker, request, exchange)

        worker = ScriptedWorker("w", later)
        dispatcher = Dispatcher([worker])
        calls = [asyncio.create_task(dispatcher.call("p/check", body={})) for _ in range(4)]
        kept = await connect(dispatcher.server.address)
        while len(held) < 4:
            await asyncio.sleep(0.01)
        dispatcher.api.leaving = True
        drains = asyncio.gather(dispatcher.driver.drain(2000), dispatcher.server.drain(2000))
        assert [(await call)[0] for call in calls] == [200] * 4
        assert await drains == [True, True]
        assert await asyncio.get_running_loop().sock_recv(kept, 10) == b""
        with pytest.raises(OSError):
            await connect(dispatcher.server.address)
        kept.close()
        await worker.server.drain(0)

    run(main())


def test_a_namespace_beyond_its_bound_is_refused_before_anything_is_taken() -> None:
    async def main() -> None:
        settings = parse(DEPLOYMENT.replace("(records 1000)", "(records 1000) (held-each 3)"), "t")
        worker = ScriptedWorker("w", never_answer)
        dispatcher = Dispatcher([worker], settings)
        calls = [asyncio.create_task(dispatcher.call("p/check", body={})) for _ in range(3)]
        while dispatcher.gateway.in_flight < 3:
            await asyncio.sleep(0.01)
        status, headers, body = await dispatcher.call("p/check", body={})
        assert status == 429 and headers["retry-after"] == "1" and "in flight" in body["error"]
        other = authorization("00000000-0000-0000-0000-000000000002", "k2")
        status, _, _ = await dispatcher.request("POST", f"{BASE}/actions/p/check", {}, other)
        assert status == 202, "another namespace is served"
        assert dispatcher.gateway.counts.received == 4 and dispatcher.gateway.limits.rejections["namespace"] == 1
        assert all(status in (429, 502) for status, _, _ in await asyncio.gather(*calls))
        status, _, _ = await dispatcher.call("p/check", blocking=False, body={})
        assert status in (202, 429) and dispatcher.gateway.limits.rejections["namespace"] == 1, "there is room again"
        await dispatcher.server.drain(0)
        await worker.server.drain(0)

    run(main())


def test_many_slow_readers_stay_within_the_bound_and_others_are_served() -> None:
    async def main() -> None:
        loop, noted = asyncio.get_running_loop(), []
        server = HttpServer(
            lambda request, exchange: exchange.reply(200, b"x" * 500_000) and None,
            Limits(unread_bytes=5e6),
            lambda event, **_: noted.append(event),
        )
        server.listen("127.0.0.1", 0)
        ask, socks, most = encode_request("GET", "/", "x", b"") * 30, [], 0
        for _ in range(20):  # 300 MB asked for and not read; the system's own buffers take a part
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
            sock.setblocking(False)
            host, _, port = server.address.rpartition(":")
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, ask)
            socks.append(sock)
            await asyncio.sleep(0.02)
            most = max(most, server.unwritten_bytes)
        assert 3e6 < most <= 5e6, "filled, and bounded"
        assert server.slow_readers_closed > 0 and "slow-reader-closed" in noted
        assert (await send_request(server.address, encode_request("GET", "/", "x", b""))).status == 200
        for sock in socks:
            sock.close()
        await asyncio.sleep(0.2)
        assert server.unwritten_bytes == 0, "nothing stays counted"
        await server.drain(0)

    run(main())


def test_a_poll_elsewhere_is_told_where_to_ask_or_that_it_is_not_known() -> None:
    async def main() -> None:
        worker = ScriptedWorker("w", never_answer)
        one = Dispatcher([worker], boot=id_prefix("one") + "1" * 10)
        two = Dispatcher([worker], boot=id_prefix("two") + "2" * 10)
        peers = [Peer("one", one.server.address), Peer("two", two.server.address)]
        two.driver.on_endpoints(EndpointList(9, [worker.endpoint], "test", peers))
        status, _, told = await one.call("grant", blocking=False, body={})
        assert status == 202
        target = f"{BASE}/activations/{told['activationId']}"
        status, headers, body = await two.request("GET", target + "?wait=50")
        assert status == 307 and headers["location"] == f"http://{one.server.address}{target}?wait=50"
        assert "one" in body["error"]
        assert (await two.request("DELETE", target))[0] == 307
        status, _, body = await two.request("GET", f"{BASE}/activations/{id_prefix('three')}{'0' * 26}")
        assert status == 404 and "does not know" in body["error"], "of what may be in hand elsewhere it says no more"
        status, _, body = await two.request("GET", f"{BASE}/activations/{id_prefix('two')}{'0' * 26}")
        assert status == 404 and "kept here" in body["error"]
        assert (await one.request("GET", target))[0] == 404, "in hand"
        for end in (one, two):
            await end.driver.drain(0)
            await end.server.drain(0)
        await worker.server.drain(0)

    run(main())


@pytest.mark.parametrize(
    ("action", "answered", "sends"),
    [("p/check", "completed", 2), ("activate", "completed", 2), ("grant", "aborted", 1)],
)
def test_half_an_answer_may_have_run(action: str, answered: str, sends: int) -> None:
    """The worker's connection ends in the middle of its answer's body: what may not run twice is not sent again."""

    def half(worker: ScriptedWorker, request: Request, exchange: Exchange) -> None:
        infer, payload = read_infer(request.body)
        if sum(len(w.attempts) for w in workers) > 1:
            answer(worker, request, exchange)
            return
        whole = encode_response(200, infer_answer("m", infer.id, payload, True))
        exchange.keep_alive = False
        exchange._connection._out += whole[:-7]
        exchange._connection._close_when_written = True
        exchange._connection._wake_writer()

    workers: list[ScriptedWorker] = []

    async def main() -> None:
        async with running_dispatcher(half, half) as (dispatcher, made):
            workers.extend(made)
            status, _, record = await dispatcher.call(action, body={"a": 1}, key="k")
            assert final_answer(record)["answer"] == answered and (status == 200) == (answered == "completed")
            assert sum(len(w.attempts) for w in made) == sends
            assert dispatcher.gateway.counts.attempt_statuses == {AttemptStatus.CONNECTION_LOST: 1} | (
                {AttemptStatus.COMPLETED: 1} if sends == 2 else {}
            )

    run(main())


def test_an_answer_after_the_final_one_changes_nothing() -> None:
    held: list[tuple[ScriptedWorker, Request, Exchange]] = []

    async def main() -> None:
        async with running_dispatcher(lambda *line: held.append(line)) as (dispatcher, (worker,)):
            status, _, record = await dispatcher.call("grant", body={"a": 1})
            assert status == 502 and final_answer(record)["answer"] == "aborted"
            for line in held:
                answer(*line)
            await asyncio.sleep(0.05)
            again = (await dispatcher.request("GET", f"{BASE}/activations/{record['activationId']}"))[2]
            assert again == record and len(worker.attempts) == 1 and not dispatcher.gateway.in_flight

    run(main())
