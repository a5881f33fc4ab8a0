"""TLS on both fronts and to workers, certificate rotation, API keys in settings and logs, server-sent events."""

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


def create_authority(folder: Path) -> Authority:
    authority = Authority.create(folder, "test-authority", 30, NOW)
    authority.issue("front", ["127.0.0.1"], True, False, 20, NOW)
    authority.issue("worker", ["127.0.0.1"], True, False, 20, NOW)
    authority.issue("dispatcher", [], False, True, 20, NOW)
    authority.issue("caller-one", [], False, True, 20, NOW)
    return authority


def tls_deployment(folder: Path) -> Any:
    text = DEPLOYMENT.replace('(key "k1")', '(key "k1") (certificate "caller-one")')
    text = text.replace("(connect-ms 150)", "(connect-ms 3000)").rstrip().removesuffix(")") + TLS
    return parse(text, str(folder / "place.sexp"))


def test_an_authority_issues_rotates_and_lists_certificates_and_is_never_overwritten(tmp_path: Path) -> None:
    authority = create_authority(tmp_path)
    with pytest.raises(AuthorityError, match="already"):
        Authority.create(tmp_path, "again", 30, NOW)
    with pytest.raises(AuthorityError, match="already"):
        authority.issue("front", [], True, False, 20, NOW)
    for name in ("", "../x", "authority", "a b", "x" * 70):
        with pytest.raises(AuthorityError, match="not a valid name"):
            authority.issue(name, [], True, False, 20, NOW)
    with pytest.raises(AuthorityError, match="a server, a client"):
        authority.issue("nothing", [], False, False, 20, NOW)
    for file in ("authority.key", "front.pem"):
        assert stat.S_IMODE((tmp_path / file).stat().st_mode) == 0o600
    before = {issued.name: issued for issued in authority.list_issued()}
    assert list(before) == ["authority", "caller-one", "dispatcher", "front", "worker"]
    assert before["front"].names == ["front", "127.0.0.1"] and before["front"].usage == "server"
    assert 19 < before["front"].days_left(NOW) <= 20
    after = authority.rotate("front", 200, NOW)
    assert after.serial != before["front"].serial and after.names == before["front"].names
    assert after.valid_until <= before["authority"].valid_until, "it expires no later than the authority"
    assert (tmp_path / "front.pem.old").exists()
    (tmp_path / "broken.pem").write_text("no certificate")
    with pytest.raises(AuthorityError, match=r"broken\.pem"):
        authority.list_issued()
    with pytest.raises(AuthorityError, match="keys init"):
        Authority(tmp_path / "nowhere")
    (tmp_path / "authority.key").write_bytes((tmp_path / "front.pem").read_bytes())
    with pytest.raises(AuthorityError, match="does not belong"):
        Authority(tmp_path)


def test_the_keys_commands_do_not_show_private_keys(tmp_path: Path) -> None:
    def run_keys(*arguments: str) -> tuple[int, str]:
        completed = subprocess.run(
            [sys.executable, "-m", "kelptrail", "keys", *arguments], capture_output=True, text=True, check=False
        )
        return completed.returncode, completed.stdout + completed.stderr

    folder = str(tmp_path / "a")
    assert run_keys("init", folder)[0] == 0 and run_keys("init", folder)[0] == 1
    assert run_keys("issue", folder, "front", "--server", "--also", "127.0.0.1")[0] == 0
    code, text = run_keys("show", folder)
    assert code == 0 and [json.loads(line)["name"] for line in text.splitlines()] == ["authority", "front"]
    assert "PRIVATE" not in text and run_keys("rotate", folder, "nobody")[0] == 1
    output = json.loads(run_keys("api")[1])
    assert (
        len(output["key"]) == 64
        and output["key_hash"].startswith("sha256:")
        and output["key"] not in output["key_hash"]
    )


def test_a_namespace_has_up_to_two_key_digests_and_settings_errors_name_the_fault() -> None:
    (old, old_hash), (new, new_hash) = new_api_key(), new_api_key()
    text = DEPLOYMENT.replace('(key "k1")', f'(key-hash "{old_hash}") (key-hash "{new_hash}")')
    authenticator = Authenticator(parse(text, "t"))
    user = "00000000-0000-0000-0000-000000000001"
    for key, accepted in ((old, True), (new, True), ("k1", False), ("", False), (old_hash, False)):
        assert (authenticator.by_header(authorization(user, key)["authorization"]) is not None) is accepted
    assert authenticator.by_header(authorization(user, "k2")["authorization"]) is None, "another namespace's key"
    for header in ("", "Basic", "Basic !!!", "Bearer x", "Basic " + "//8="):
        assert authenticator.by_header(header) is None
    three = f'(key-hash "{old_hash}") ' * 3
    for invalid, message in ((three, "third"), ('(key-hash "md5:1")', "64 hex"), ("", "credentials")):
        with pytest.raises(SettingsError, match=message):
            parse(DEPLOYMENT.replace('(key "k1")', invalid), "t")
    for invalid, message in (
        ('(tls back (certificate "x"))', "one of"),
        ("(tls front)", "without a certificate"),
        ('(tls front (certificate "x") (peers required))', "authority"),
        ("(tls to-workers)", "without an authority"),
        ('(tls front (certificate "x")) (tls front (certificate "x"))', "again"),
    ):
        with pytest.raises(SettingsError, match=message):
            parse(DEPLOYMENT.rstrip().removesuffix(")") + invalid + ")", "t")


class TlsDispatcher:
    """A dispatcher whose fronts and worker use TLS."""

    def __init__(self, folder: Path, script: Any = answer) -> None:
        self.deployment, self.log = tls_deployment(folder), RecordingLog()
        reloaders = {
            side: certificate_reloader(self.deployment, side, alpn, self.log)
            for side, alpn in (("front", ["http/1.1"]), ("to-workers", ["http/1.1"]), ("runners", ["http/1.1"]))
        }
        self.h2_reloader = certificate_reloader(self.deployment, "front", ["h2"], self.log)
        self.reloaders = reloaders
        self.worker = ScriptedWorker("w0", script)
        self.worker.server._tls = reloaders["runners"].context  # type: ignore[union-attr]
        self.dispatcher = Dispatcher([], self.deployment)
        self.dispatcher.driver.worker_calls.tls = reloaders["to-workers"].context  # type: ignore[union-attr]
        self.dispatcher.set_workers([self.worker])
        authenticator = Authenticator(self.deployment)
        self.http = HttpServer(
            self.dispatcher.api.handle,
            None,
            self.log.warning,
            reloaders["front"].context,  # type: ignore[union-attr]
            authenticator.namespace_of_certificate,
        )
        self.http.listen("127.0.0.1", 0)
        self.grpc = GrpcServer(
            self.dispatcher.inference.handle,
            grpc_limits(self.deployment.inference),
            self.log.warning,
            self.h2_reloader.context,
            authenticator.namespace_of_certificate,
        )  # type: ignore[union-attr]
        self.grpc.listen("127.0.0.1", 0)

    async def stop(self) -> None:
        await self.grpc.drain(0)
        for server in (self.http, self.dispatcher.server, self.dispatcher.grpc, self.worker.server):
            await server.drain(0)
        await self.dispatcher.driver.drain(0)


def client_context(folder: Path, certificate: str | None = None, alpn: str = "http/1.1") -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=folder / "authority.pem")
    context.set_alpn_protocols([alpn])
    if certificate:
        context.load_cert_chain(folder / f"{certificate}.pem")
    return context


async def post_over_tls(address: str, tls: ssl.SSLContext, headers: dict[str, str], times: int = 1) -> list[Any]:
    """Send requests on one connection of asyncio's own TLS client and return the responses."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), ssl=tls)
    responses = []
    try:
        for _ in range(times):
            writer.write(
                encode_request("POST", f"{BASE}/actions/p/check?blocking=true&result=true", "x", b'{"a":1}', headers)
            )
            parser = ResponseReader(1 << 20)
            while (response := parser.feed(await reader.read(65536))) is None:
                pass
            responses.append(response)
    finally:
        writer.close()
    return responses


def test_both_fronts_and_workers_use_tls_and_a_client_certificate_names_a_namespace(tmp_path: Path) -> None:
    create_authority(tmp_path)

    async def main() -> None:
        dispatcher = TlsDispatcher(tmp_path)
        responses = await post_over_tls(dispatcher.http.address, client_context(tmp_path), authorization(), 3)
        assert [r.status for r in responses] == [200] * 3 and responses[0].body == b'{"a":1}'
        assert dispatcher.worker.server.connections == 1 and len(dispatcher.worker.attempts) == 3, (
            "the connection is reused"
        )
        identified = await post_over_tls(dispatcher.http.address, client_context(tmp_path, "caller-one"), {})
        assert identified[0].status == 200, "the certificate names the namespace"
        assert (await post_over_tls(dispatcher.http.address, client_context(tmp_path), {}))[0].status == 401
        assert (await post_over_tls(dispatcher.http.address, client_context(tmp_path, "dispatcher"), {}))[
            0
        ].status == 401, "its certificate names no namespace"
        root = (tmp_path / "authority.pem").read_bytes()
        pem = (tmp_path / "caller-one.pem").read_bytes()
        for credentials, metadata, accepted in (
            (grpc.ssl_channel_credentials(root), list(authorization().items()), True),
            (grpc.ssl_channel_credentials(root, pem, pem), [], True),
            (grpc.ssl_channel_credentials(root), [], False),
        ):
            channel = grpc.aio.secure_channel(dispatcher.grpc.address, credentials)
            call = channel.unary_unary(
                "/inference.GRPCInferenceService/ModelInfer",
                lambda m: m.SerializeToString(),
                pb.ModelInferResponse.FromString,
            )
            request = pb.ModelInferRequest(model_name="p/check", inputs=[tensor("INT8", [5])])
            if accepted:
                assert list((await call(request, metadata=metadata)).outputs[0].contents.int_contents) == [5]
            else:
                with pytest.raises(grpc.aio.AioRpcError) as cause:
                    await call(request, metadata=metadata)
                assert cause.value.code().name == "UNAUTHENTICATED"
            await channel.close()
        # Rejected: a certificate of another authority, an old TLS version, a client that trusts another authority.
        other_folder = tmp_path / "other"
        Authority.create(other_folder, "other", 30, NOW).issue("caller-one", [], False, True, 20, NOW)
        foreign_certificate = client_context(tmp_path)
        foreign_certificate.load_cert_chain(other_folder / "caller-one.pem")
        old_version = client_context(tmp_path)
        old_version.maximum_version = ssl.TLSVersion.TLSv1_2
        for tls in (foreign_certificate, old_version, client_context(other_folder)):
            with pytest.raises((ssl.SSLError, ConnectionError, OSError)):
                await post_over_tls(dispatcher.http.address, tls, authorization())
        # A client that sends plain HTTP does not disturb the server.
        host, _, port = dispatcher.http.address.rpartition(":")
        plain = socket.create_connection((host, int(port)))
        plain.sendall(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        await asyncio.sleep(0.2)
        plain.close()
        assert sum(event == "handshake-failed" for event, _ in dispatcher.log.lines) >= 3
        afterwards = await post_over_tls(dispatcher.http.address, client_context(tmp_path), authorization())
        assert afterwards[0].status == 200
        await dispatcher.stop()

    run(main())


def test_a_worker_with_a_certificate_of_another_authority_gets_no_requests(tmp_path: Path) -> None:
    create_authority(tmp_path)
    other_folder = tmp_path / "other"
    Authority.create(other_folder, "other", 30, NOW).issue("worker", ["127.0.0.1"], True, False, 20, NOW)

    async def main() -> None:
        dispatcher = TlsDispatcher(tmp_path)
        files = TlsFiles(other_folder / "worker.pem")
        dispatcher.worker.server._tls = CertificateReloader(
            files, True, [], dispatcher.log, lambda: time.time() * 1000
        ).context
        response = (await post_over_tls(dispatcher.http.address, client_context(tmp_path), authorization()))[0]
        assert response.status == 429 and not dispatcher.worker.attempts, (
            "the worker counts as unreachable, so nothing ran"
        )
        await dispatcher.stop()

    run(main())


@pytest.mark.timed
def test_certificates_are_renewed_under_load_without_a_failed_call(tmp_path: Path) -> None:
    authority = create_authority(tmp_path)

    async def main() -> None:
        dispatcher = TlsDispatcher(tmp_path)
        reloader = dispatcher.reloaders["front"]
        assert reloader is not None
        first = reloader.status()
        stop_at = asyncio.get_running_loop().time() + 1.5

        async def call_repeatedly() -> list[int]:
            statuses = []
            while asyncio.get_running_loop().time() < stop_at:
                statuses += [
                    r.status
                    for r in await post_over_tls(dispatcher.http.address, client_context(tmp_path), authorization(), 5)
                ]
            return statuses

        tasks = [asyncio.create_task(call_repeatedly()) for _ in range(4)]
        for n in range(6):
            await asyncio.sleep(0.2)
            if n == 3:  # a partially written file leaves the certificate in use unchanged
                complete_pem = (tmp_path / "front.pem").read_bytes()
                (tmp_path / "front.pem").write_bytes(complete_pem[:200])
                reloader.reload_if_changed()
                (tmp_path / "front.pem").write_bytes(complete_pem)
            else:
                authority.rotate("front", 20 + n, NOW)
            reloader.reload_if_changed()
        statuses = [s for task in tasks for s in await task]
        assert len(statuses) > 50 and set(statuses) == {200}
        assert reloader.loads >= 6 and reloader.failures == 1 and reloader.status()["ends"] != first["ends"]
        events = [event for event, _ in dispatcher.log.lines]
        assert "tls-reloaded" in events and "tls-unusable" in events
        assert not any("PRIVATE" in str(line) for line in dispatcher.log.lines)
        await dispatcher.stop()

    run(main())


def test_the_expiry_of_a_certificate_is_logged_in_advance_once_a_day(tmp_path: Path) -> None:
    day = 86_400_000.0
    expiry = ExpiryWarning(14.0)
    assert expiry.due(0.0, 15 * day) is None and expiry.due(1.5 * day, 15 * day) == 13.5
    assert expiry.due(2.0 * day, 15 * day) is None and expiry.due(2.6 * day, 15 * day) == pytest.approx(12.4)
    assert expiry.due(20 * day, 15 * day) == -5, "a warning also after the expiry"
    create_authority(tmp_path)
    log = RecordingLog()
    ten_days_later_ms = (NOW + timedelta(days=10)).timestamp() * 1000
    reloader = CertificateReloader(TlsFiles(tmp_path / "front.pem"), True, [], log, lambda: ten_days_later_ms)
    reloader.reload_if_changed()
    assert [event for event, _ in log.lines] == ["certificate-ends"] and reloader.status()["days_left"] < 11
    with pytest.raises(ValueError, match=r"nothing\.pem"):
        CertificateReloader(TlsFiles(tmp_path / "nothing.pem"), True, [], log, lambda: ten_days_later_ms)


def test_keys_and_their_digests_are_not_logged_at_level_debug(tmp_path: Path) -> None:
    key, digest = new_api_key()
    text = DEPLOYMENT.replace('(key "k1")', f'(key-hash "{digest}")')
    file = tmp_path / "place.sexp"
    file.write_text(text)
    program = [sys.executable, "-m", "kelptrail"]
    endpoint_service = subprocess.Popen([*program, "emulate", "endpoint-service"], stdout=subprocess.PIPE, text=True)
    try:
        assert endpoint_service.stdout is not None
        endpoint_service_address = json.loads(endpoint_service.stdout.readline())["address"]
        arguments = [
            "--log-level",
            "debug",
            "--log-form",
            "json",
            "serve",
            str(file),
            "--roster",
            endpoint_service_address,
            "--state",
            str(tmp_path / "s"),
        ]
        server = subprocess.Popen([*program, *arguments], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        assert server.stdout is not None
        listening = json.loads(server.stdout.readline())

        async def send_calls() -> None:
            user = "00000000-0000-0000-0000-000000000001"
            for header in (authorization(user, key), authorization(user, key + "x"), {"authorization": f"Basic {key}"}):
                from program import send_request

                await send_request(
                    listening["address"], encode_request("POST", f"{BASE}/actions/p/check", "x", b"{}", header)
                )
                with pytest.raises(grpc.aio.AioRpcError):
                    await Client(listening["grpc"], header).infer("p/check", timeout=2)

        run(send_calls())
        server.terminate()
        _, log = server.communicate(timeout=20)
        assert len(log.splitlines()) > 4 and "serving" in log
        encoded = authorization("00000000-0000-0000-0000-000000000001", key)["authorization"]
        for secret in (key, digest.removeprefix("sha256:"), encoded, encoded.removeprefix("Basic ")):
            assert secret not in log
    finally:
        endpoint_service.terminate()
        endpoint_service.wait(10)


# Streams of server-sent events on the HTTP front.


async def read_stream(
    dispatcher: Dispatcher, headers: dict[str, str] | None = None, action: str = "p/check", query: str = "blocking=true"
) -> tuple[int, list[tuple[str, Any]], dict[str, str]]:
    """Call an action and accept an event stream; return the status, the events (name, data) and the headers."""
    from program import connect

    sock = await connect(dispatcher.server.address)
    loop, buffer, body = asyncio.get_running_loop(), bytearray(65536), bytearray()
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
    parser.on_chunk = body.extend
    try:
        async with asyncio.timeout(5):
            while (response := parser.feed(bytes(buffer[: await loop.sock_recv_into(sock, buffer)]))) is None:
                pass
    finally:
        sock.close()
    events = []
    for block in bytes(body).decode().split("\n\n")[:-1]:
        name, data = block.split("\n", 1)
        events.append((name.removeprefix("event: "), json.loads(data.removeprefix("data: "))))
    return response.status, events, response.headers


def test_the_http_front_streams_server_sent_events() -> None:
    async def main() -> None:
        async with running_dispatcher(stream_parts(4, 0.01)) as (dispatcher, (worker,)):
            status, events, headers = await read_stream(dispatcher)
            assert status == 200 and headers["content-type"] == "text/event-stream"
            assert events[:-1] == [("part", {"part": n}) for n in range(4)]
            name, record = events[-1]
            assert name == "final" and record["activationId"] == headers["x-openwhisk-activation-id"]
            assert record["response"]["success"]
            worker.on_attempt = stream_parts(2, 0.01, "cut")
            status, events, _ = await read_stream(dispatcher, action="grant")
            assert status == 200 and [e[0] for e in events] == ["part", "part", "final"]
            assert not events[-1][1]["response"]["success"], "the final event reports that the stream was interrupted"
            worker.on_attempt = answer
            status, events, _ = await read_stream(dispatcher)
            assert status == 200 and events == [], "an answer that is not streamed is an ordinary response"
            worker.on_attempt = reject_with("full")
            assert (await read_stream(dispatcher))[0] == 429
            worker.on_attempt = never_answer
            assert (await read_stream(dispatcher, action="grant"))[0] == 502
            # A streamed call is blocking and takes no idempotency key.
            assert (await read_stream(dispatcher, {"idempotency-key": "k"}))[0] == 400
            assert (await read_stream(dispatcher, query="blocking=false"))[0] == 400

    run(main())


def test_a_client_that_disconnects_from_a_stream_cancels_the_attempt_at_the_worker() -> None:
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
            # With a linger time of 0, `close` resets the connection.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            sock.close()
            await asyncio.sleep(0.3)
            chunks_before = worker.chunks_written
            await asyncio.sleep(0.2)
            assert worker.chunks_written <= chunks_before + 1 and not dispatcher.gateway.in_flight

    run(main())


def test_the_event_reader_accepts_any_split_of_the_data_and_limits_the_size_of_an_event() -> None:
    data = encode_event(b'{"a":1}', "part") + encode_event(b"x\ny") + b": a comment\n\n" + b"data:z\r\n\r\n"
    reader = EventReader(100)
    assert [e for n in range(len(data)) for e in reader.feed(data[n : n + 1])] == [b'{"a":1}', b"x\ny", b"z"]
    assert not reader.partial
    with pytest.raises(TooLongError):
        reader.feed(b"data: " + b"x" * 200)
