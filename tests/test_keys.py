"""TLS on both fronts and towards workers, certificates renewed under load, keys kept as digests and out of logs."""

from __future__ import annotations

import asyncio
import json
import socket
import ssl
import stat
import subprocess
import sys
import time
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import grpc
import pytest
from program import (
    DEPLOYMENT,
    Dispatcher,
    RecordingLog,
    ScriptedWorker,
    answer,
    authorization,
    never_answer,
    reject_with,
    run,
    running_dispatcher,
    stream_parts,
)
from test_inference import Client, tensor

from kelptrail.certificates.authority import Authority, AuthorityError, new_api_key
from kelptrail.codec.events import EventReader, TooLongError, encode_event
from kelptrail.codec.http import ResponseReader, encode_request
from kelptrail.front.authentication import Authenticator
from kelptrail.front.inference import inference_pb2 as pb
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.server import HttpServer
from kelptrail.net.tls import CertificateReloader, ExpiryWarning, TlsFiles
from kelptrail.service.build import certificate_reloader, grpc_limits
from kelptrail.settings.deployment import parse
from kelptrail.settings.reader import SettingsError

NOW = datetime.now(UTC)
BASE = "/api/v1/namespaces/_"
TLS = """ (tls front (certificate "front.pem") (authority "authority.pem") (peers asked) (least tls-1.3))
          (tls to-workers (certificate "dispatcher.pem") (authority "authority.pem"))
          (tls runners (certificate "worker.pem") (authority "authority.pem") (peers required)))"""


def authority(folder: Path) -> Authority:
    made = Authority.create(folder, "test-authority", 30, NOW)
    made.issue("front", ["127.0.0.1"], True, False, 20, NOW)
    made.issue("worker", ["127.0.0.1"], True, False, 20, NOW)
    made.issue("dispatcher", [], False, True, 20, NOW)
    made.issue("caller-one", [], False, True, 20, NOW)
    return made


def secure(folder: Path) -> Any:
    text = DEPLOYMENT.replace('(key "k1")', '(key "k1") (certificate "caller-one")')
    text = text.replace("(connect-ms 150)", "(connect-ms 3000)").rstrip().removesuffix(")") + TLS
    return parse(text, str(folder / "place.sexp"))


def test_an_authority_issues_rotates_and_shows_and_is_never_written_over(tmp_path: Path) -> None:
    made = authority(tmp_path)
    with pytest.raises(AuthorityError, match="already"):
        Authority.create(tmp_path, "again", 30, NOW)
    with pytest.raises(AuthorityError, match="already"):
        made.issue("front", [], True, False, 20, NOW)
    for name in ("", "../x", "authority", "a b", "x" * 70):
        with pytest.raises(AuthorityError, match="no name"):
            made.issue(name, [], True, False, 20, NOW)
    with pytest.raises(AuthorityError, match="a server, a client"):
        made.issue("nothing", [], False, False, 20, NOW)
    for file in ("authority.key", "front.pem"):
        assert stat.S_IMODE((tmp_path / file).stat().st_mode) == 0o600
    before = {one.name: one for one in made.list_issued()}
    assert list(before) == ["authority", "caller-one", "dispatcher", "front", "worker"]
    assert before["front"].names == ["front", "127.0.0.1"] and before["front"].usage == "server"
    assert 19 < before["front"].days_left(NOW) <= 20
    after = made.rotate("front", 200, NOW)
    assert after.serial != before["front"].serial and after.names == before["front"].names
    assert after.valid_until <= before["authority"].valid_until, "not longer than the authority"
    assert (tmp_path / "front.pem.old").exists()
    (tmp_path / "broken.pem").write_text("no certificate")
    with pytest.raises(AuthorityError, match=r"broken\.pem"):
        made.list_issued()
    with pytest.raises(AuthorityError, match="keys init"):
        Authority(tmp_path / "nowhere")
    (tmp_path / "authority.key").write_bytes((tmp_path / "front.pem").read_bytes())
    with pytest.raises(AuthorityError, match="does not belong"):
        Authority(tmp_path)


def test_the_command_line_shows_no_key(tmp_path: Path) -> None:
    def go(*words: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "kelptrail", "keys", *words], capture_output=True, text=True, check=False
        )
        return done.returncode, done.stdout + done.stderr

    folder = str(tmp_path / "a")
    assert go("init", folder)[0] == 0 and go("init", folder)[0] == 1
    assert go("issue", folder, "front", "--server", "--also", "127.0.0.1")[0] == 0
    code, text = go("show", folder)
    assert code == 0 and [json.loads(line)["name"] for line in text.splitlines()] == ["authority", "front"]
    assert "PRIVATE" not in text and go("rotate", folder, "nobody")[0] == 1
    said = json.loads(go("api")[1])
    assert len(said["key"]) == 64 and said["key_hash"].startswith("sha256:") and said["key"] not in said["key_hash"]


def test_keys_as_digests_two_live_at_once_and_faults_named() -> None:
    (old, old_hash), (new, new_hash) = new_api_key(), new_api_key()
    text = DEPLOYMENT.replace('(key "k1")', f'(key-hash "{old_hash}") (key-hash "{new_hash}")')
    authenticator = Authenticator(parse(text, "t"))
    one = "00000000-0000-0000-0000-000000000001"
    for key, good in ((old, True), (new, True), ("k1", False), ("", False), (old_hash, False)):
        assert (authenticator.by_header(authorization(one, key)["authorization"]) is not None) is good
    assert authenticator.by_header(authorization(one, "k2")["authorization"]) is None, "another namespace's key"
    for header in ("", "Basic", "Basic !!!", "Bearer x", "Basic " + "//8="):
        assert authenticator.by_header(header) is None
    three = f'(key-hash "{old_hash}") ' * 3
    for bad, word in ((three, "third"), ('(key-hash "md5:1")', "64 hex"), ("", "credentials")):
        with pytest.raises(SettingsError, match=word):
            parse(DEPLOYMENT.replace('(key "k1")', bad), "t")
    for bad, word in (
        ('(tls back (certificate "x"))', "one of"),
        ("(tls front)", "without a certificate"),
        ('(tls front (certificate "x") (peers required))', "authority"),
        ("(tls to-workers)", "without an authority"),
        ('(tls front (certificate "x")) (tls front (certificate "x"))', "again"),
    ):
        with pytest.raises(SettingsError, match=word):
            parse(DEPLOYMENT.rstrip().removesuffix(")") + bad + ")", "t")


class Secure:
    """A dispatcher, its fronts and its worker under TLS."""

    def __init__(self, folder: Path, script: Any = answer) -> None:
        self.deployment, self.log = secure(folder), RecordingLog()
        keep = {
            side: certificate_reloader(self.deployment, side, alpn, self.log)
            for side, alpn in (("front", ["http/1.1"]), ("to-workers", ["http/1.1"]), ("runners", ["http/1.1"]))
        }
        self.h2 = certificate_reloader(self.deployment, "front", ["h2"], self.log)
        self.keep = keep
        self.worker = ScriptedWorker("w0", script)
        self.worker.server._tls = keep["runners"].context  # type: ignore[union-attr]
        self.dispatcher = Dispatcher([], self.deployment)
        self.dispatcher.driver.worker_calls.tls = keep["to-workers"].context  # type: ignore[union-attr]
        self.dispatcher.set_workers([self.worker])
        authenticator = Authenticator(self.deployment)
        self.http = HttpServer(
            self.dispatcher.api.handle,
            None,
            self.log.warning,
            keep["front"].context,  # type: ignore[union-attr]
            authenticator.namespace_of_certificate,
        )
        self.http.listen("127.0.0.1", 0)
        self.grpc = GrpcServer(
            self.dispatcher.inference.handle,
            grpc_limits(self.deployment.inference),
            self.log.warning,
            self.h2.context,
            authenticator.namespace_of_certificate,
        )  # type: ignore[union-attr]
        self.grpc.listen("127.0.0.1", 0)

    async def end(self) -> None:
        await self.grpc.drain(0)
        for server in (self.http, self.dispatcher.server, self.dispatcher.grpc, self.worker.server):
            await server.drain(0)
        await self.dispatcher.driver.drain(0)


def context(folder: Path, certificate: str | None = None, alpn: str = "http/1.1") -> ssl.SSLContext:
    made = ssl.create_default_context(cafile=folder / "authority.pem")
    made.set_alpn_protocols([alpn])
    if certificate:
        made.load_cert_chain(folder / f"{certificate}.pem")
    return made


async def https(address: str, tls: ssl.SSLContext, headers: dict[str, str], times: int = 1) -> list[Any]:
    """Calls on one connection, through the library's own TLS client."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), ssl=tls)
    out = []
    try:
        for _ in range(times):
            writer.write(
                encode_request("POST", f"{BASE}/actions/p/check?blocking=true&result=true", "x", b'{"a":1}', headers)
            )
            parser = ResponseReader(1 << 20)
            while (response := parser.feed(await reader.read(65536))) is None:
                pass
            out.append(response)
    finally:
        writer.close()
    return out


def test_both_fronts_and_workers_under_tls_and_certificates_that_name_a_namespace(tmp_path: Path) -> None:
    authority(tmp_path)

    async def main() -> None:
        one = Secure(tmp_path)
        responses = await https(one.http.address, context(tmp_path), authorization(), 3)
        assert [r.status for r in responses] == [200] * 3 and responses[0].body == b'{"a":1}'
        assert one.worker.server.connections == 1 and len(one.worker.attempts) == 3, "one connection, used again"
        named = await https(one.http.address, context(tmp_path, "caller-one"), {})
        assert named[0].status == 200, "its certificate names the namespace"
        assert (await https(one.http.address, context(tmp_path), {}))[0].status == 401
        assert (await https(one.http.address, context(tmp_path, "dispatcher"), {}))[0].status == 401, "names nobody"
        root = (tmp_path / "authority.pem").read_bytes()
        pem = (tmp_path / "caller-one.pem").read_bytes()
        for creds, metadata, good in (
            (grpc.ssl_channel_credentials(root), list(authorization().items()), True),
            (grpc.ssl_channel_credentials(root, pem, pem), [], True),
            (grpc.ssl_channel_credentials(root), [], False),
        ):
            channel = grpc.aio.secure_channel(one.grpc.address, creds)
            call = channel.unary_unary(
                "/inference.GRPCInferenceService/ModelInfer",
                lambda m: m.SerializeToString(),
                pb.ModelInferResponse.FromString,
            )
            request = pb.ModelInferRequest(model_name="p/check", inputs=[tensor("INT8", [5])])
            if good:
                assert list((await call(request, metadata=metadata)).outputs[0].contents.int_contents) == [5]
            else:
                with pytest.raises(grpc.aio.AioRpcError) as cause:
                    await call(request, metadata=metadata)
                assert cause.value.code().name == "UNAUTHENTICATED"
            await channel.close()
        # Those who are not vouched for, speak too old a version, or no TLS at all.
        stranger = tmp_path / "other"
        Authority.create(stranger, "other", 30, NOW).issue("caller-one", [], False, True, 20, NOW)
        bad = context(tmp_path)
        bad.load_cert_chain(stranger / "caller-one.pem")
        old = context(tmp_path)
        old.maximum_version = ssl.TLSVersion.TLSv1_2
        for tls in (bad, old, context(stranger)):
            with pytest.raises((ssl.SSLError, ConnectionError, OSError)):
                await https(one.http.address, tls, authorization())
        host, _, port = one.http.address.rpartition(":")
        plain = socket.create_connection((host, int(port)))
        plain.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await asyncio.sleep(0.2)
        plain.close()
        assert sum(event == "handshake-failed" for event, _ in one.log.lines) >= 3
        assert (await https(one.http.address, context(tmp_path), authorization()))[0].status == 200
        await one.end()

    run(main())


def test_a_worker_that_nobody_vouches_for_is_sent_nothing(tmp_path: Path) -> None:
    authority(tmp_path)
    stranger = tmp_path / "other"
    Authority.create(stranger, "other", 30, NOW).issue("worker", ["127.0.0.1"], True, False, 20, NOW)

    async def main() -> None:
        one = Secure(tmp_path)
        files = TlsFiles(stranger / "worker.pem")
        one.worker.server._tls = CertificateReloader(files, True, [], one.log, lambda: time.time() * 1000).context
        response = (await https(one.http.address, context(tmp_path), authorization()))[0]
        assert response.status == 429 and not one.worker.attempts, "unreachable, so it never ran"
        await one.end()

    run(main())


@pytest.mark.timed
def test_certificates_are_renewed_under_load_without_a_lost_call(tmp_path: Path) -> None:
    made = authority(tmp_path)

    async def main() -> None:
        one = Secure(tmp_path)
        keeper = one.keep["front"]
        assert keeper is not None
        first = keeper.status()
        stop = asyncio.get_running_loop().time() + 1.5

        async def calls() -> list[int]:
            out = []
            while asyncio.get_running_loop().time() < stop:
                out += [r.status for r in await https(one.http.address, context(tmp_path), authorization(), 5)]
            return out

        tasks = [asyncio.create_task(calls()) for _ in range(4)]
        for n in range(6):
            await asyncio.sleep(0.2)
            if n == 3:  # a half-written file changes nothing
                kept = (tmp_path / "front.pem").read_bytes()
                (tmp_path / "front.pem").write_bytes(kept[:200])
                keeper.reload_if_changed()
                (tmp_path / "front.pem").write_bytes(kept)
            else:
                made.rotate("front", 20 + n, NOW)
            keeper.reload_if_changed()
        statuses = [s for task in tasks for s in await task]
        assert len(statuses) > 50 and set(statuses) == {200}
        assert keeper.loads >= 6 and keeper.failures == 1 and keeper.status()["ends"] != first["ends"]
        events = [event for event, _ in one.log.lines]
        assert "tls-reloaded" in events and "tls-unusable" in events
        assert not any("PRIVATE" in str(line) for line in one.log.lines)
        await one.end()

    run(main())


def test_ends_are_told_ahead_once_a_day(tmp_path: Path) -> None:
    day = 86_400_000.0
    expiry = ExpiryWarning(14.0)
    assert expiry.due(0.0, 15 * day) is None and expiry.due(1.5 * day, 15 * day) == 13.5
    assert expiry.due(2.0 * day, 15 * day) is None and expiry.due(2.6 * day, 15 * day) == pytest.approx(12.4)
    assert expiry.due(20 * day, 15 * day) == -5, "also once it is over"
    authority(tmp_path)
    log = RecordingLog()
    late = (NOW + timedelta(days=10)).timestamp() * 1000
    keeper = CertificateReloader(TlsFiles(tmp_path / "front.pem"), True, [], log, lambda: late)
    keeper.reload_if_changed()
    assert [event for event, _ in log.lines] == ["certificate-ends"] and keeper.status()["days_left"] < 11
    with pytest.raises(ValueError, match=r"nothing\.pem"):
        CertificateReloader(TlsFiles(tmp_path / "nothing.pem"), True, [], log, lambda: late)


def test_secrets_stay_out_of_logs_at_every_level(tmp_path: Path) -> None:
    key, hashed = new_api_key()
    text = DEPLOYMENT.replace('(key "k1")', f'(key-hash "{hashed}")')
    file = tmp_path / "place.sexp"
    file.write_text(text)
    program = [sys.executable, "-m", "kelptrail"]
    roster = subprocess.Popen([*program, "emulate", "endpoint-service"], stdout=subprocess.PIPE, text=True)
    try:
        assert roster.stdout is not None
        at = json.loads(roster.stdout.readline())["address"]
        words = [
            "--log-level",
            "debug",
            "--log-form",
            "json",
            "serve",
            str(file),
            "--roster",
            at,
            "--state",
            str(tmp_path / "s"),
        ]
        server = subprocess.Popen([*program, *words], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        assert server.stdout is not None
        said = json.loads(server.stdout.readline())

        async def calls() -> None:
            one = "00000000-0000-0000-0000-000000000001"
            for header in (authorization(one, key), authorization(one, key + "x"), {"authorization": f"Basic {key}"}):
                from program import send_request

                await send_request(
                    said["address"], encode_request("POST", f"{BASE}/actions/p/check", "x", b"{}", header)
                )
                with pytest.raises(grpc.aio.AioRpcError):
                    await Client(said["grpc"], header).infer("p/check", timeout=2)

        run(calls())
        server.terminate()
        _, log = server.communicate(timeout=20)
        assert len(log.splitlines()) > 4 and "serving" in log
        coded = authorization("00000000-0000-0000-0000-000000000001", key)["authorization"]
        for secret in (key, hashed.removeprefix("sha256:"), coded, coded.removeprefix("Basic ")):
            assert secret not in log
    finally:
        roster.terminate()
        roster.wait(10)


# Streams on the first front.


async def flow(
    dispatcher: Dispatcher, headers: dict[str, str] | None = None, action: str = "p/check", query: str = "blocking=true"
) -> tuple[int, list[tuple[str, Any]], dict[str, str]]:
    from program import connect

    sock = await connect(dispatcher.server.address)
    loop, buffer, seen = asyncio.get_running_loop(), bytearray(65536), bytearray()
    await loop.sock_sendall(
        sock,
        encode_request(
            "POST",
            f"{BASE}/actions/{action}?{query}",
            "x",
            b"{}",
            authorization() | {"accept": "text/event-stream"} | (headers or {}),
        ),
    )
    parser = ResponseReader(1 << 20)
    parser.on_chunk = seen.extend
    try:
        async with asyncio.timeout(5):
            while (response := parser.feed(bytes(buffer[: await loop.sock_recv_into(sock, buffer)]))) is None:
                pass
    finally:
        sock.close()
    events = []
    for block in bytes(seen).decode().split("\n\n")[:-1]:
        name, data = block.split("\n", 1)
        events.append((name.removeprefix("event: "), json.loads(data.removeprefix("data: "))))
    return response.status, events, response.headers


def test_the_first_front_streams_as_server_sent_events() -> None:
    async def main() -> None:
        async with running_dispatcher(stream_parts(4, 0.01)) as (dispatcher, (worker,)):
            status, events, headers = await flow(dispatcher)
            assert status == 200 and headers["content-type"] == "text/event-stream"
            assert events[:-1] == [("part", {"part": n}) for n in range(4)]
            name, record = events[-1]
            assert name == "final" and record["activationId"] == headers["x-openwhisk-activation-id"]
            assert record["response"]["success"]
            worker.on_attempt = stream_parts(2, 0.01, "cut")
            status, events, _ = await flow(dispatcher, action="grant")
            assert status == 200 and [e[0] for e in events] == ["part", "part", "final"]
            assert not events[-1][1]["response"]["success"], "the end tells that it broke off"
            worker.on_attempt = answer
            status, events, _ = await flow(dispatcher)
            assert status == 200 and events == [], "one whole answer is an answer like any other"
            worker.on_attempt = reject_with("full")
            assert (await flow(dispatcher))[0] == 429
            worker.on_attempt = never_answer
            assert (await flow(dispatcher, action="grant"))[0] == 502
            assert (await flow(dispatcher, {"idempotency-key": "k"}))[0] == 400
            assert (await flow(dispatcher, query="blocking=false"))[0] == 400

    run(main())


def test_a_client_that_leaves_a_stream_calls_its_worker_off() -> None:
    async def main() -> None:
        from program import connect

        async with running_dispatcher(stream_parts(1000, 0.01)) as (dispatcher, (worker,)):
            sock = await connect(dispatcher.server.address)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(
                sock,
                encode_request(
                    "POST",
                    f"{BASE}/actions/grant?blocking=true",
                    "x",
                    b"{}",
                    authorization() | {"accept": "text/event-stream"},
                ),
            )
            await asyncio.sleep(0.2)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.close()
            await asyncio.sleep(0.3)
            given = worker.chunks_written
            await asyncio.sleep(0.2)
            assert worker.chunks_written <= given + 1 and not dispatcher.gateway.in_flight

    run(main())


def test_events_are_read_in_any_pieces_and_bounded() -> None:
    data = encode_event(b'{"a":1}', "part") + encode_event(b"x\ny") + b": a comment\n\n" + b"data:z\r\n\r\n"
    reader = EventReader(100)
    assert [e for n in range(len(data)) for e in reader.feed(data[n : n + 1])] == [b'{"a":1}', b"x\ny", b"z"]
    assert not reader.partial
    with pytest.raises(TooLongError):
        reader.feed(b"data: " + b"x" * 200)
