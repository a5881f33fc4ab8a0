"""The platform's codecs, and a whole dispatcher on loopback sockets between scripted workers, list and clients."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import signal
import struct
import subprocess
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st
from test_simulator_adapter import ENV

from kelptrail.codec import feed, frames, lines
from kelptrail.engine.settings import read_settings as read_settings
from kelptrail.platform import config
from kelptrail.platform.service import Service

ITEM = "7f3a9c21e0b4d655"
CLASS = ENV["classes"][0]
SETTINGS = ENV | {
    "failure_domains": ["a", "b"],
    "models": ["m"],
    "customers": [{"name": "acme", "allowance_per_s": 100.0}],
    "classes": [
        CLASS | {"give_up_us": 2000000},
        CLASS | {"name": "k", "effect": "guarded", "window_us": 2000000, "give_up_us": 2000000},
    ],
    "bounds": ENV["bounds"]
    | {"connect_timeout_us": 150000, "idle_close_us": 15000000, "multiplex": 100, "max_attempts": 12},
    "specifics": ENV["specifics"] | {"answer_within_us": 3000000, "machine_mb": [50000.0]},
}
Script = Callable[["WorkerStub", bytes, bytes, asyncio.StreamWriter], None]


class WorkerStub:
    """A worker whose answers the test scripts; loads succeed unless the test says otherwise."""

    def __init__(self, script: Script, load: bytes = b"OK units=1 0") -> None:
        self.script, self.load, self.calls, self.connections = script, load, list[bytes](), 0
        self.cancelled = list[bytes]()

    async def open(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                word, id_, *rest = line.split()
                if word == b"LOAD":
                    writer.write(id_ + b" " + self.load + b"\r\n\r\n")
                elif word == b"CALL":
                    body = (await reader.readexactly(int(rest[-1]) + 2))[:-2]
                    self.calls.append(id_)
                    self.script(self, id_, body, writer)
                elif word == b"CANCEL":
                    self.cancelled.append(id_)
        writer.close()


def echo(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
    writer.write(b"%b OK tell=up,meter=cpu:0.5;x1:0;x0:0.2 %d\r\n%b\r\n" % (id_, len(body), body))


class PlatformFixture:
    """One dispatcher with its workers, endpoint list and raw clients."""

    def __init__(self, *runners: WorkerStub, **limits: Any) -> None:
        self.workers, self.limits = runners, {"cores": 1, "memory_mb": 64, "sockets": 256} | limits
        self.asked: list[int] = []
        self.events: list[bytes] = []
        self.after = "stay"  # what the feed does after its events
        self._feed_writers: set[asyncio.StreamWriter] = set()  # of the open connections

    async def __aenter__(self) -> PlatformFixture:
        server = await asyncio.start_server(self._feed, "127.0.0.1", 0)
        self.journal = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        targets = [
            {
                "uid": f"s-{n:08x}",
                "endpoint": f"127.0.0.1:{await runner.open()}",
                "az": "a",
                "model": "m",
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 1,
                "boot_ms": 0,
            }
            for n, runner in enumerate(self.workers)
        ]
        known = {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": targets}}]}
        self.told = told = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "0f",
            "limits": self.limits,
            "journal": self.journal,
            "known": known,
            "settings": SETTINGS,
        }
        self.service = Service(asyncio.get_running_loop(), config.parse(json.dumps(told)))
        self.port = self.service.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.service.close()
        assert not self.service.invariants.violations

    def push(self, event: bytes) -> None:
        """Send an event to all who watch the list, as its service does at once, and to all who ask later."""
        self.events = [event]
        for writer in self._feed_writers:
            writer.write(event)

    async def _feed(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            self.asked.append(int.from_bytes(await reader.readexactly(8), "big"))
            for event in self.events:
                writer.write(event)
            self._feed_writers.add(writer)
            if self.after == "break":
                writer.close()
            await reader.read()
        self._feed_writers.discard(writer)
        writer.close()

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))


class Client:
    """A raw client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self._read = reader, writer, frames.FrameReader(1 << 20)

    def ask(self, stream: int = 1, body: bytes = b"hello", **other: str | None) -> None:
        told = {
            "verb": "t",
            "txn": f"{stream:016x}",
            "limit": "1500",
            "team": "acme",
            "item": ITEM,
            "info": "memory_mb:512;lanes:2",
        } | other
        fields = frames.encode_fields({name: value for name, value in told.items() if value is not None})
        self.writer.write(frames.encode_frame(frames.REQUEST, stream, fields + body))

    async def next(self, within: float = 3.0) -> tuple[int, int, bytes] | None:
        """The next frame; None at the end of the connection."""
        async with asyncio.timeout(within):
            while (frame := self._read.next()) is None:
                try:
                    data = await self.reader.read(65536)
                except ConnectionResetError:
                    return None
                if not data:
                    return None
                self._read.feed(data)
            return frame

    async def code(self, within: float = 3.0) -> int | None:
        """The code of the next answer, None at an end without one."""
        frame = await self.next(within)
        return None if frame is None else frame[2][0]


def run(main: Coroutine[Any, Any, Any]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await main

    uvloop.run(bounded())


def test_a_request_goes_through_unchanged_and_comes_back() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client, body = await platform.client(), bytes(range(256)) * 8
            client.writer.write(frames.encode_frame(frames.READY_QUERY, 7, b"\0"))
            assert await client.next() == (frames.READY, 7, b"\0\0")
            client.ask(3, body)
            assert await client.next() == (frames.ANSWER, 3, b"\0\0" + body)
            client.ask(4, b"", verb="k", unique="a" * 32)
            assert await client.next() == (frames.ANSWER, 4, b"\0\0")
            assert platform.workers[0].calls == [b"%016x" % 3, b"%016x" % 4]

    run(main())


@pytest.mark.parametrize(
    "other",
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
def test_an_unusable_request_is_answered_and_reaches_no_worker(other: dict[str, str | None]) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client = await platform.client()
            client.ask(1, **other)
            assert await client.code() == frames.FAILED
            client.ask(2)
            assert await client.code() == frames.SERVED
            assert len(platform.workers[0].calls) == 1

    run(main())


@pytest.mark.parametrize(
    "bad",
    [
        struct.pack(">IBI", 4, 65, 1),
        struct.pack(">IBI", 60_000_000, 65, 1),
        struct.pack(">IBI", 0xFFFFFFFF, 65, 1),
        struct.pack(">IBI", 5, 66, 1),
        frames.encode_frame(65, 0, b"\0"),
        frames.encode_frame(65, 1, b"\5"),
        frames.encode_frame(65, 1, b"\1\1\xff\0\1a"),
        frames.encode_frame(65, 1, b"\0" + b"x" * 20_000),
    ],
)
def test_an_unreadable_frame_is_answered_and_closed(bad: bytes) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client = await platform.client()
            client.writer.write(bad)
            assert await client.code() in (frames.FAILED, None)
            assert await client.next() is None
            other = await platform.client()
            other.ask()
            assert await other.code() == frames.SERVED

    run(main())


def test_a_number_used_twice_and_an_open_id_are_never_served() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(lambda *_: None)) as platform:
            first, second = await platform.client(), await platform.client()
            first.ask(1)
            await asyncio.sleep(0.05)
            second.ask(1, b"other")  # the id of an open request
            assert await second.code() == frames.FAILED
            first.ask(1)  # a number that is open
            assert await first.code() == frames.FAILED and await first.next() is None
            await asyncio.sleep(0.05)
            assert platform.workers[0].cancelled == [b"%016x" % 1]  # nobody waits for it any more

    run(main())


def test_partial_frames_and_silent_connections_are_closed_in_time() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            half, silent = await platform.client(), await platform.client()
            half.writer.write(b"\0\0")
            assert await half.next(3.0) is None and await silent.next(1.0) is None

    run(main())


def test_silent_connections_are_closed_for_new_ones() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), sockets=40) as platform:
            silent = [await platform.client() for _ in range(30)]
            client = await platform.client()
            client.ask()
            assert await client.code() == frames.SERVED
            assert await silent[0].next(1.0) is None

    run(main())


def test_unreadable_answers_close_their_connection_and_the_rest_goes_on() -> None:
    spoilt = [
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
        left = list(spoilt)

        def script(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            if left:
                bad = left.pop()
                writer.write(bad % id_ if b"%b" in bad else bad)
            else:
                echo(runner, id_, body, writer)

        async with PlatformFixture(*(WorkerStub(script) for _ in range(9))) as platform:
            client = await platform.client()
            for n in range(1, len(spoilt) + 3):
                client.ask(n)
                assert await client.code() == frames.SERVED  # repeatable: it went out again
            assert not left

    run(main())


def test_duplicate_and_unknown_answers_are_ignored() -> None:
    def script(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"ffffffffffffffff OK - 3\r\nbad\r\n")
        echo(runner, id_, body, writer)
        echo(runner, id_, b"again", writer)

    async def main() -> None:
        async with PlatformFixture(WorkerStub(script)) as platform:
            client = await platform.client()
            for n in (1, 2, 3):
                client.ask(n, b"%d" % n)
                assert await client.next() == (frames.ANSWER, n, b"\0\0%d" % n)
            with pytest.raises(TimeoutError):
                await client.next(0.1)

    run(main())


def event(number: int, kind: int, *records: tuple[int, int, int]) -> bytes:
    told = b"".join(
        struct.pack(">I4sHBBBHIQ", id_, bytes((127, 0, 0, 1)), port, state, 0, 0, 0, 1000, 0)
        for id_, port, state in records
    )
    return struct.pack(">IQB", 9 + len(told), number, kind) + told


def test_the_endpoint_list_is_followed_through_disconnects_duplicates_and_a_new_address() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), WorkerStub(echo)) as platform:
            platform.after = "break"
            platform.events = [event(2, 2, (1, 9, 1)), event(2, 2, (1, 9, 1)), event(2, 0), event(3, 2, (1, 9, 2))[:20]]
            platform.service.reload(config.parse(json.dumps(platform.told), platform.service.config))
            await asyncio.sleep(0.2)
            assert set(platform.asked) == {1, 2}
            platform.events, platform.after = [event(3, 2, (1, 9, 2))], "stay"
            await asyncio.sleep(0.3)
            assert platform.service.last_event_number == 3

    run(main())


def test_a_client_that_leaves_frees_its_work_and_a_shutdown_answers_open_requests() -> None:
    async def main() -> None:
        def later(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
            asyncio.get_running_loop().call_later(1.0, echo, runner, id_, body, writer)

        async with PlatformFixture(WorkerStub(later)) as platform:
            gone, stays = await platform.client(), await platform.client()
            gone.ask(1)
            stays.ask(2)
            await asyncio.sleep(0.05)
            gone.writer.close()
            await asyncio.sleep(0.05)
            assert platform.workers[0].cancelled == [b"%016x" % 1]
            platform.service.shut_down()
            assert await stays.next() == (frames.GO_AWAY, 0, b"")
            late = await platform.client()
            late.ask(3)  # it was under way when the end began
            assert await late.next() == (frames.GO_AWAY, 0, b"")  # so is whoever comes after it
            assert await stays.code() == frames.SERVED and await late.code() == frames.SERVED
            await asyncio.wait_for(platform.service.finished, 1.0)

    run(main())


def test_no_connection_is_closed_over_a_request_that_waits_to_be_read() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            client, front = await platform.client(), platform.service.client_server
            client.ask(1)
            assert await client.code() == frames.SERVED
            (mine,) = front.connections.idle
            mine.idle_since -= 100.0
            client.ask(2)  # written, and not yet read
            front.connections.sweep()
            platform.service._shutdown._finish_if_idle()
            assert await client.code() == frames.SERVED and not platform.service.finished.done()
            await asyncio.wait_for(platform.service.finished, 1.0)

    run(main())


def test_a_reader_that_fails_ends_its_own_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            bad, good = await platform.client(), await platform.client()
            front, frame = platform.service.client_server, platform.service.client_server.on_frame

            def fail(client: Any, kind: int, stream: int, payload: bytes) -> None:
                if stream == 99:
                    raise RuntimeError("not foreseen")
                frame(client, kind, stream, payload)

            monkeypatch.setattr(front, "on_frame", fail)
            bad.ask(99)
            good.ask(1)
            assert await bad.next() is None and await good.code() == frames.SERVED

    run(main())


def test_a_process_starts_without_heavy_libraries_serves_and_ends_when_told(tmp_path: Path) -> None:
    heavy = [
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
    code = f"import sys, kelptrail.platform.__main__; sys.exit(any(m in sys.modules for m in {heavy}))"
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0
    command = [sys.executable, "-m", "kelptrail.platform"]
    (tmp_path / "bad.json").write_text("{")
    bad = subprocess.run(
        command, env=os.environ | {"LB_CONFIG": str(tmp_path / "bad.json")}, capture_output=True, text=True, timeout=30
    )
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1 and "bad.json" in bad.stderr

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            platform.told["listen"] = "127.0.0.1:0"
            (tmp_path / "c.json").write_text(json.dumps(platform.told))
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

            (tmp_path / "c.json").write_text(json.dumps(platform.told))
            read, write = os.pipe()
            process = await asyncio.create_subprocess_exec(
                *command, env=os.environ | {"LB_CONFIG": str(tmp_path / "c.json")}, stdout=write
            )
            os.close(write)
            assert b"list" in os.read(read, 100)
            os.close(read)  # whoever read the log has gone
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
def test_frames_come_back_from_any_split(sent: list[tuple[int, dict[str, str], bytes]], cuts: list[int]) -> None:
    data = b"".join(frames.encode_frame(65, stream, frames.encode_fields(told) + body) for stream, told, body in sent)
    reader, found, at, n = frames.FrameReader(), [], 0, 0
    while at < len(data):
        reader.feed(data[at : at + cuts[n % len(cuts)]])
        at, n = at + cuts[n % len(cuts)], n + 1
        while (frame := reader.next()) is not None:
            told, end = frames.read_fields(frame[2])
            found.append((frame[1], told, frame[2][end:]))
    assert found == sent and not len(reader)


def test_readers_take_any_cut_and_never_crash() -> None:
    chance = random.Random(5)
    good = b"".join(b"%016x OK tell=up,ahead=%d %d\r\n%b\r\n" % (n, n, n, b"z" * n) for n in range(30))
    reader, found, at = lines.LineReader(1000), [], 0
    while at < len(good):
        step = chance.randrange(1, 40)
        reader.feed(good[at : at + step])
        at += step
        while (answer := reader.next()) is not None:
            found.append(answer)
    assert [(a.queue_ahead, len(a.body)) for a in found] == [(n, n) for n in range(30)] and not reader.partial
    for _ in range(2000):
        spoilt = bytearray(good[:200])
        for _ in range(chance.randrange(1, 6)):
            spoilt[chance.randrange(200)] = chance.randrange(256)
        for made, error in (
            (lines.LineReader(1000), lines.LineError),
            (frames.FrameReader(), frames.FrameError),
            (feed.FeedReader(2, 1), feed.FeedError),
        ):
            made.feed(bytes(spoilt))
            with contextlib.suppress(error):
                while made.next() is not None:
                    pass


def configuration() -> dict[str, Any]:
    target = {
        "uid": "s-00000000",
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": "m",
        "pod_group": 0,
        "state": "in_service",
        "capacity_hint": 1,
        "boot_ms": 0,
    }
    known = {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": [target]}}]}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "0f",
        "journal": "127.0.0.1:9",
        "known": known,
        "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
        "settings": copy.deepcopy(SETTINGS),
    }


SPOILT: list[tuple[str, list[Any]]] = [  # a place, and what may not stand there
    ("name", [3]),
    ("listen", ["127.0.0.1", "127.0.0.1:65536", "127.0.0.1:\u0663"]),
    ("seed", ["", "xyz", 5]),
    ("journal", [":9", 9]),
    ("limits.sockets", [0, 2.5, True]),
    ("limits.memory_mb", [0, "64", float("nan")]),
    ("settings.my_zone", [-1, 2, "a"]),
    ("settings.failure_domains", [[], "a", [1]]),
    ("settings.models", [[], [""]]),
    ("settings.report.fields", ["cpu", [None]]),
    ("settings.classes", [[], {}, [3], [CLASS, CLASS]]),
    ("settings.classes.0.name", ["", 3]),
    ("settings.classes.0.aim_us", [0, float("inf"), 10**400]),
    ("settings.classes.0.gain", [0, -1]),
    ("settings.classes.0.effect", ["sometimes"]),
    ("settings.classes.0.give_up_us", [0]),
    ("settings.classes.0.late_worth", ["0.3"]),
    ("settings.classes.1.window_us", [-1]),
    ("settings.customers.0.allowance_per_s", [-1, "5"]),
    ("settings.customers", [{}, [{"name": "a", "allowance_per_s": 0}]]),
    ("settings.bounds.max_attempts", [0, 1.5, False]),
    ("settings.bounds.parallel_tries", [1, "true"]),
    ("settings.bounds.may_cancel", [0]),
    ("settings.bounds.retry_after", ["no"]),
    ("settings.bounds.max_retry_after_us", [-1]),
    ("settings.bounds.connect_timeout_us", [0]),
    ("settings.bounds.idle_close_us", [0]),
    ("settings.bounds.multiplex", [0]),
    ("settings.rules.tip_multiple", [-3]),
    ("settings.rules.fall_us", [0]),
    ("settings.rules.start_capacity", [1.5, -0.1]),
    ("settings.rules.cold_us", ["9"]),
    ("settings.specifics.says_warm", [None, 1]),
    ("settings.specifics.idle_life_us", [-1]),
    ("settings.specifics.load_control", ["yes"]),
    ("settings.specifics.free_loads", [-6]),
    ("settings.specifics.load_share", [[]]),
    ("settings.specifics.load_span_us", [-1]),
    ("settings.specifics.answer_within_us", [0]),
    ("settings.specifics.machine_mb", [[], [0], ["big"], 5]),
]


@pytest.mark.parametrize(("path", "spoilt"), SPOILT, ids=[path for path, _ in SPOILT])
def test_a_setting_missing_or_unusable_is_named_and_changes_nothing_that_runs(path: str, spoilt: list[Any]) -> None:
    running = config.parse(json.dumps(configuration()))
    *way, last = path.split(".")
    named = "".join(f"[{step}]" if step.isdecimal() else f".{step}" for step in [*way, last]).replace(".", "", 1)
    for value in ["missing", *spoilt]:
        told = configuration()
        at: Any = told
        for step in way:
            at = at[int(step) if step.isdecimal() else step]
        if value == "missing" and last == "customers":
            continue  # a deployment may have none
        if value == "missing":
            del at[last]
        else:
            at[last] = value
        started_only = path.split(".")[0] in ("name", "listen", "seed", "limits")  # not taken up on SIGHUP
        for before in [None] if started_only else [None, running]:
            with pytest.raises(config.ConfigError) as told_why:
                config.parse(json.dumps(told), before)
            why = str(told_why.value)
            assert named in why and "\n" not in why, why


def test_unknown_settings_and_absent_optional_ones_are_accepted() -> None:
    told = configuration()
    told["settings"]["classes"][0] |= {"colour": "red", "key_scope": None, "window_us": None}
    for part in ("bounds", "rules", "specifics", "report"):
        told["settings"][part]["unheard_of"] = {"deep": [1]}
    told |= {"unheard_of": 1}
    told["settings"]["customers"] = None
    assert config.parse(json.dumps(told)).sockets.zones == ["a", "b"]


@pytest.mark.parametrize(
    ("effect", "fields", "customers"),
    [
        ("free", ["active", "waiting", "x0"], [{"name": "muelle-a", "allowance_per_s": 7.0}]),
        ("guarded", [], None),
        ("single_shot", ["rps"], [{"name": "muelle-a", "allowance_per_s": 7.0}]),
    ],
)
def test_another_deployment_with_every_name_and_figure_changed_is_served(
    effect: str, fields: list[str], customers: list[dict[str, Any]] | None
) -> None:
    def answers(runner: WorkerStub, id_: bytes, body: bytes, writer: asyncio.StreamWriter) -> None:
        meter = b",meter=" + b";".join(b"%b:3.5" % name.encode() for name in fields) if fields else b""
        writer.write(b"%b OK tell=fresh%b %d\r\n%b\r\n" % (id_, meter, len(body), body))

    async def main() -> None:
        runner, told = WorkerStub(answers), configuration()
        target = told["known"]["entries"][0]["hosts"]["targets"][0]
        target |= {
            "uid": "s-0badcafe",
            "endpoint": f"127.0.0.1:{await runner.open()}",
            "az": "quay",
            "model": "crane-9",
            "pod_group": 41,
            "capacity_hint": 0.37,
        }
        settings = told["settings"]
        settings |= {
            "failure_domains": ["pier", "quay", "mole"],
            "my_zone": 2,
            "models": ["cart", "crane-9"],
            "customers": customers,
            "report": {"fields": fields},
            "classes": [
                {
                    "name": "berth",
                    "effect": effect,
                    "aim_us": 77_000,
                    "gain": 0.3,
                    "late_worth": 0.9,
                    "give_up_us": 900_000,
                    "key_scope": "all",
                    "window_us": 450_000,
                }
            ],
        }
        settings["rules"] |= {"tip_multiple": 1.5, "fall_us": 700_000, "start_capacity": 0.9, "cold_us": 300_000}
        settings["bounds"] |= {
            "parallel_tries": False,
            "may_cancel": False,
            "max_attempts": 2,
            "retry_after": False,
            "connect_timeout_us": 90_000,
            "idle_close_us": 1_000_000,
            "multiplex": 3,
        }
        settings["specifics"] |= {
            "says_warm": False,
            "idle_life_us": 900_000,
            "load_control": False,
            "free_loads": 0,
            "load_share": 0,
            "load_span_us": 0,
            "answer_within_us": 800_000,
            "machine_mb": [10.0, 900.0],
            "not_loaded": "load",
        }
        service = Service(asyncio.get_running_loop(), config.parse(json.dumps(told)))
        client = Client(*await asyncio.open_connection("127.0.0.1", service.open()))
        for n in range(1, 9):
            client.ask(
                n,
                b"%d" % n,
                verb="berth",
                team="muelle-a" if customers else None,
                limit="850",
                info="lanes:1;memory_mb:899.5",
                unique=f"key:{n}" if effect == "guarded" else None,
            )
            assert await client.next() == (frames.ANSWER, n, b"\0\0%d" % n)
        client.ask(9, verb="t", team="acme")  # what the first deployment calls them is unknown here
        assert await client.code() == frames.FAILED and len(runner.calls) == 8
        service.close()

    run(main())


def test_whether_a_worker_loads_on_demand_is_what_the_settings_say() -> None:
    told = configuration()
    for says, loads in (("load", True), ("miss", False), (None, False)):
        told["settings"]["specifics"]["not_loaded"] = says
        assert read_settings(told["settings"]).loads_on_demand is loads
    told["settings"]["specifics"]["not_loaded"] = "perhaps"
    with pytest.raises(config.ConfigError, match=r"specifics\.not_loaded: 'perhaps' is none of load, miss"):
        config.parse(json.dumps(told))


@pytest.mark.parametrize("text", ["{", "[]", "{}", "3", "9" * 5000, "[" * 100_000, "\ud800"])
def test_an_unusable_configuration_is_named(tmp_path: Path, text: str) -> None:
    (tmp_path / "c.json").write_bytes(text.encode(errors="surrogatepass"))
    with pytest.raises(config.ConfigError, match=r"c\.json: .*(JSON|object|missing|decode)"):
        config.read(str(tmp_path / "c.json"))


@pytest.mark.parametrize(
    "spoilt",
    [
        {"endpoint": "127.0.0.1"},
        {"endpoint": ":5"},
        {"az": "c"},
        {"capacity_hint": 0},
        {"capacity_hint": float("nan")},
        {"state": "odd"},
        {"boot_ms": [1]},
    ],
)
def test_a_worker_in_the_initial_events_must_be_valid(spoilt: dict[str, Any]) -> None:
    told = configuration()
    told["known"]["entries"][0]["hosts"]["targets"][0].update(spoilt)
    with pytest.raises(config.ConfigError, match="known events"):
        config.parse(json.dumps(told))


def test_an_unusable_setting_ends_the_start_with_one_line_and_no_running_dispatcher(tmp_path: Path) -> None:
    command, file = [sys.executable, "-m", "kelptrail.platform"], tmp_path / "c.json"
    spoilt = configuration()
    spoilt["settings"]["rules"]["fall_us"] = "soon"
    file.write_text(json.dumps(spoilt))
    bad = subprocess.run(command, env=os.environ | {"LB_CONFIG": str(file)}, capture_output=True, text=True, timeout=30)
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1 and "settings.rules.fall_us" in bad.stderr

    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo)) as platform:
            file.write_text(json.dumps(platform.told))
            process = await asyncio.create_subprocess_exec(
                *command, env=os.environ | {"LB_CONFIG": str(file)}, stdout=asyncio.subprocess.PIPE
            )
            assert process.stdout is not None and b"list number=1" in await process.stdout.readline()
            await asyncio.sleep(0.2)
            file.write_text(json.dumps(platform.told | {"settings": spoilt["settings"], "journal": "127.0.0.1:1"}))
            process.send_signal(signal.SIGHUP)
            line = await process.stdout.readline()
            assert b"configuration kept" in line and b"settings.rules.fall_us" in line
            assert len(platform.asked) == 2, "the list is still followed where it was"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(main())
