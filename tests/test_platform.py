"""The platform's codecs, and one dispatcher on loopback with scripted workers, an endpoint list and clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_fixture import PlatformFixture, WorkerStub, echo, event, run

from kelptrail.codec import feed, frames, lines
from kelptrail.engine.settings import read_settings as read_settings
from kelptrail.platform import config


def test_request_and_answer_bodies_are_passed_on_unchanged() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client, body = await platform.client(), bytes(range(256)) * 8
            client.writer.write(frames.encode_frame(frames.READY_QUERY, 7, b"\0"))
            # The two zero bytes, here and in an answer, are the status code SERVED and the number of fields.
            assert await client.next_frame() == (frames.READY, 7, b"\0\0")
            client.send_request(3, body)
            assert await client.next_frame() == (frames.ANSWER, 3, b"\0\0" + body)
            client.send_request(4, b"", verb="k", unique="a" * 32)
            assert await client.next_frame() == (frames.ANSWER, 4, b"\0\0")
            assert platform.workers[0].calls == [b"%016x" % 3, b"%016x" % 4]

    run(main())


# The fields on the wire are `txn`: request id; `verb`: request class (class "k" requires an idempotency key, `unique`);
# `team`: tenant; `limit`: timeout in ms; `item`: function id; `info`: memory and slots of an instance.
@pytest.mark.parametrize(
    "overrides",
    [
        {"txn": None},
        {"txn": "xyz"},
        {"verb": "none"},
        {"team": "nobody"},
        {"limit": "-5"},
        {"limit": "1e9"},
        {"limit": "99999999"},
        {"limit": "nan"},
        {"item": "a b\r\nCALL"},
        {"verb": "k"},
        {"verb": "k", "unique": "a,b=c"},
        {"info": "memory_mb:-1;lanes:2"},
        {"info": "lanes:2"},
        {"info": None},
        {"info": "memory_mb:1e99;lanes:0"},
    ],
)
def test_a_request_with_invalid_fields_is_answered_and_reaches_no_worker(overrides: dict[str, str | None]) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client = await platform.client()
            client.send_request(1, **overrides)
            assert await client.answer_code() == frames.FAILED
            client.send_request(2)
            assert await client.answer_code() == frames.SERVED
            assert len(platform.workers[0].calls) == 1

    run(main())


@pytest.mark.parametrize(
    "malformed",
    [
        struct.pack(">IBI", 4, 65, 1),  # the length is less than that of the type and the stream id
        struct.pack(">IBI", 60_000_000, 65, 1),  # the length is over the limit
        struct.pack(">IBI", 0xFFFFFFFF, 65, 1),  # the largest possible length
        struct.pack(">IBI", 5, 66, 1),  # a frame type that only the dispatcher sends
        frames.encode_frame(65, 0, b"\0"),  # a request on stream 0
        frames.encode_frame(65, 1, b"\5"),  # fewer fields than counted
        frames.encode_frame(65, 1, b"\1\1\xff\0\1a"),  # a field name that is not valid UTF-8
        frames.encode_frame(65, 1, b"\0" + b"x" * 20_000),  # the body is too long
    ],
)
def test_a_malformed_frame_ends_only_its_own_connection(malformed: bytes) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client = await platform.client()
            client.writer.write(malformed)
            # None: the connection ended before the client read an answer.
            assert await client.answer_code() in (frames.FAILED, None)
            assert await client.next_frame() is None
            other = await platform.client()
            other.send_request()
            assert await other.answer_code() == frames.SERVED

    run(main())


def test_a_request_with_the_stream_or_the_id_of_an_open_request_is_not_served() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(lambda *_: None)) as platform:
            first, second = await platform.client(), await platform.client()
            first.send_request(1)
            await asyncio.sleep(0.05)
            second.send_request(1, b"other")  # the id of an open request
            assert await second.answer_code() == frames.FAILED
            first.send_request(1)  # the stream of an open request
            assert await first.answer_code() == frames.FAILED and await first.next_frame() is None
            await asyncio.sleep(0.05)
            assert platform.workers[0].cancelled == [b"%016x" % 1]  # the client's connection was closed

    run(main())


def test_connections_with_a_partial_frame_or_without_any_are_closed_after_the_timeout() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            partial, silent = await platform.client(), await platform.client()
            partial.writer.write(b"\0\0")
            assert await partial.next_frame(3.0) is None and await silent.next_frame(1.0) is None

    run(main())


def test_silent_connections_are_evicted_for_new_ones() -> None:
    async def main() -> None:
        # `sockets` is the limit of file descriptors; 16 of these 40 are for clients.
        async with PlatformFixture(WorkerStub(echo), sockets=40) as platform:
            silent = [await platform.client() for _ in range(30)]
            client = await platform.client()
            client.send_request()
            assert await client.answer_code() == frames.SERVED
            assert await silent[0].next_frame(1.0) is None

    run(main())


def test_malformed_worker_answers_close_only_their_own_connection() -> None:
    malformed = [
        b"noise\r\n",
        b"%b OK - 3000000000\r\n",
        b"%b OK - 2\r\nabcd\r\n",
        b"%b OK ahead=x 0\r\n\r\n",
        b"x" * 5000,
        b"%b OK - 50\r\nabc",
        b"%b SURE - 0\r\n\r\n",
        b"%b OK meter=cpu:nan 0\r\n\r\n",
    ]

    async def main() -> None:
        remaining = list(malformed)

        def script(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            if remaining:
                answer = remaining.pop()
                writer.write(answer % id_ if b"%b" in answer else answer)
            else:
                echo(worker, id_, body, writer)

        async with PlatformFixture(*(WorkerStub(script) for _ in range(9))) as platform:
            client = await platform.client()
            for n in range(1, len(malformed) + 3):
                client.send_request(n)
                assert await client.answer_code() == frames.SERVED  # a retry was served
            assert not remaining

    run(main())


def test_duplicate_and_unknown_answers_are_ignored() -> None:
    def script(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"ffffffffffffffff OK - 3\r\nbad\r\n")
        echo(worker, id_, body, writer)
        echo(worker, id_, b"again", writer)

    async def main() -> None:
        async with PlatformFixture(WorkerStub(script)) as platform:
            client = await platform.client()
            for n in (1, 2, 3):
                client.send_request(n, b"%d" % n)
                assert await client.next_frame() == (frames.ANSWER, n, b"\0\0%d" % n)
            with pytest.raises(TimeoutError):
                await client.next_frame(0.1)

    run(main())


def test_the_endpoint_list_is_followed_through_disconnects_duplicates_and_a_new_worker_port() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            platform.after_events = "break"  # the list's service closes each connection after its events
            # A change (worker 1 drains, at port 9), its duplicate, no change, and the start of another change.
            platform.events = [event(2, 2, (1, 9, 1)), event(2, 2, (1, 9, 1)), event(2, 0), event(3, 2, (1, 9, 2))[:20]]
            platform.service.reload(config.parse(json.dumps(platform.configuration), platform.service.config))
            await asyncio.sleep(0.2)
            assert set(platform.polled_from) == {1, 2}
            # "stay": the connections remain open after the events.
            platform.events, platform.after_events = [event(3, 2, (1, 9, 2))], "stay"
            await asyncio.sleep(0.3)
            assert platform.service.last_event_number == 3

    run(main())


def test_a_disconnect_cancels_the_attempt_and_a_shutdown_answers_open_requests() -> None:
    async def main() -> None:
        def later(worker: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(1.0, echo, worker, id_, body, writer)

        async with PlatformFixture(WorkerStub(later)) as platform:
            leaving, remaining = await platform.client(), await platform.client()
            leaving.send_request(1)
            remaining.send_request(2)
            await asyncio.sleep(0.05)
            leaving.writer.close()
            await asyncio.sleep(0.05)
            assert platform.workers[0].cancelled == [b"%016x" % 1]
            platform.service.shut_down()
            assert await remaining.next_frame() == (frames.GO_AWAY, 0, b"")
            late = await platform.client()
            late.send_request(3)  # clients that connect during the shutdown are still served
            assert await late.next_frame() == (frames.GO_AWAY, 0, b"")  # sent to new connections, too
            assert await remaining.answer_code() == frames.SERVED and await late.answer_code() == frames.SERVED
            await asyncio.wait_for(platform.service.finished, 1.0)

    run(main())


def test_a_connection_with_an_unread_request_is_not_closed() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client, server = await platform.client(), platform.service.client_server
            client.send_request(1)
            assert await client.answer_code() == frames.SERVED
            (connection,) = server.connections.idle
            connection.idle_since -= 100.0
            client.send_request(2)  # written, but not read by the server yet
            server.connections.sweep()
            platform.service._shutdown._finish_if_idle()
            assert await client.answer_code() == frames.SERVED and not platform.service.finished.done()
            await asyncio.wait_for(platform.service.finished, 1.0)

    run(main())


def test_an_exception_in_the_frame_handler_closes_only_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            bad, good = await platform.client(), await platform.client()
            server, on_frame = platform.service.client_server, platform.service.client_server.on_frame

            def fail(client: Any, kind: int, stream: int, payload: bytes) -> None:
                if stream == 99:
                    raise RuntimeError("injected fault")
                on_frame(client, kind, stream, payload)

            monkeypatch.setattr(server, "on_frame", fail)
            bad.send_request(99)
            good.send_request(1)
            assert await bad.next_frame() is None and await good.answer_code() == frames.SERVED

    run(main())


def test_the_program_imports_only_what_it_needs_and_handles_sighup_and_sigterm(tmp_path: Path) -> None:
    unwanted_modules = [
        "numpy",
        "scipy",
        "h2",
        "apsw",
        "click",
        "structlog",
        "cryptography",
        "google",
        "matplotlib",
        "lark",
        "msgspec",
        "kelptrail.front",
        "kelptrail.gateway",
        "kelptrail.store",
        "kelptrail.clock",
        "kelptrail.peers",
        "kelptrail.lease",
        "kelptrail.replication",
        "kelptrail.rollout",
        "kelptrail.planner",
        "kelptrail.vrrp",
        "kelptrail.service",
        "kelptrail.simulation",
        "kelptrail.fault_scenario",
    ]
    code = f"import sys, kelptrail.platform.__main__; sys.exit(any(m in sys.modules for m in {unwanted_modules}))"
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0
    command = [sys.executable, "-m", "kelptrail.platform"]
    (tmp_path / "bad.json").write_text("{")
    bad = subprocess.run(
        command, env=os.environ | {"LB_CONFIG": str(tmp_path / "bad.json")}, capture_output=True, text=True, timeout=30
    )
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1 and "bad.json" in bad.stderr

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            platform.configuration["listen"] = "127.0.0.1:0"
            (tmp_path / "c.json").write_text(json.dumps(platform.configuration))
            process = await asyncio.create_subprocess_exec(
                *command, env=os.environ | {"LB_CONFIG": str(tmp_path / "c.json")}, stdout=asyncio.subprocess.PIPE
            )
            assert process.stdout is not None and b"list number=1" in await process.stdout.readline()
            await asyncio.sleep(0.2)
            process.send_signal(signal.SIGHUP)
            assert b"configuration" in await process.stdout.readline()
            (tmp_path / "c.json").write_text("{")
            process.send_signal(signal.SIGHUP)
            assert b"configuration kept" in await process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

            (tmp_path / "c.json").write_text(json.dumps(platform.configuration))
            read, write = os.pipe()
            process = await asyncio.create_subprocess_exec(
                *command, env=os.environ | {"LB_CONFIG": str(tmp_path / "c.json")}, stdout=write
            )
            os.close(write)
            assert b"list" in os.read(read, 100)
            os.close(read)  # the log has no reader from now on
            await asyncio.sleep(0.3)
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(main())


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(1, 2**32 - 1),
            st.dictionaries(st.text(max_size=20), st.text(max_size=60), max_size=5),
            st.binary(max_size=200),
        )
    ),
    st.lists(st.integers(1, 60), min_size=1),
)
def test_frames_are_parsed_however_their_bytes_are_split(
    sent: list[tuple[int, dict[str, str], bytes]], sizes: list[int]
) -> None:
    data = b"".join(
        frames.encode_frame(65, stream, frames.encode_fields(fields) + body) for stream, fields, body in sent
    )
    reader, found, offset, n = frames.FrameReader(), [], 0, 0
    while offset < len(data):
        reader.feed(data[offset : offset + sizes[n % len(sizes)]])
        offset, n = offset + sizes[n % len(sizes)], n + 1
        while (frame := reader.next()) is not None:
            fields, end = frames.read_fields(frame[2])
            found.append((frame[1], fields, frame[2][end:]))
    assert found == sent and not len(reader)


def test_answers_are_parsed_however_they_are_split_and_corrupted_input_raises_only_the_readers_own_errors() -> None:
    rng = random.Random(5)
    valid = b"".join(b"%016x OK tell=up,ahead=%d %d\r\n%b\r\n" % (n, n, n, b"z" * n) for n in range(30))
    reader, found, offset = lines.LineReader(1000), [], 0
    while offset < len(valid):
        size = rng.randrange(1, 40)
        reader.feed(valid[offset : offset + size])
        offset += size
        while (answer := reader.next()) is not None:
            found.append(answer)
    assert [(a.queue_ahead, len(a.body)) for a in found] == [(n, n) for n in range(30)] and not reader.partial
    for _ in range(2000):
        corrupted = bytearray(valid[:200])
        for _ in range(rng.randrange(1, 6)):
            corrupted[rng.randrange(200)] = rng.randrange(256)
        for reader, error in (
            (lines.LineReader(1000), lines.LineError),
            (frames.FrameReader(), frames.FrameError),
            (feed.FeedReader(2, 1), feed.FeedError),
        ):
            reader.feed(bytes(corrupted))
            with contextlib.suppress(error):
                while reader.next() is not None:
                    pass
