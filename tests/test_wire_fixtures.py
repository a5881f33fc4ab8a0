"""What others read and write, compared with fixtures that were made before the renaming (tests/fixtures/wire).

Messages are compared by position and by bytes, settings by their values in order, so a class, a field or a module may
get another name, and nothing on the wire may.
"""

from __future__ import annotations

import ast
import asyncio
import contextlib
import dataclasses
import enum
import hashlib
import json
import logging
import re
import tomllib
from collections import Counter, deque
from collections.abc import Coroutine, Mapping
from ipaddress import ip_address
from pathlib import Path, PurePath
from typing import Any

import msgspec
import pytest
import zstandard

import kelptrail.lease.messages as lease_terms
import kelptrail.planner.channel as planner_channel
import kelptrail.replication.messages as copies_terms
import kelptrail.service.usage as usage_terms
from kelptrail.codec import events, feed, frames, http, infer, lines
from kelptrail.codec.tensors import JsonTensor
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.endpoint_service import EndpointService
from kelptrail.engine import settings as host_settings
from kelptrail.fault_scenario import scenario as script
from kelptrail.front.invoke import views
from kelptrail.gateway.overload import OverloadController, OverloadSettings
from kelptrail.gateway.records import Record
from kelptrail.membership import members
from kelptrail.membership.client import EndpointClient
from kelptrail.net.http_client import HttpClient
from kelptrail.peers import messages as wire
from kelptrail.planner import plan
from kelptrail.platform import config as platform_config
from kelptrail.platform.parsed_request import ParsedRequest, RequestRules
from kelptrail.platform.service import Service
from kelptrail.settings import deployment
from kelptrail.settings.reader import SourcePosition
from kelptrail.simulation import experiment
from kelptrail.simulation.settings import SimulationSettings
from kelptrail.simulator_adapter.__main__ import SimulatorAdapter
from kelptrail.vrrp import authentication as vrrp_seal
from kelptrail.vrrp import packet as vrrp_packet

FIXTURES = Path(__file__).parent / "fixtures" / "wire"
ROOT = Path(__file__).parent.parent


def stored(name: str) -> Any:
    """A fixture file."""
    return json.loads((FIXTURES / f"{name}.json").read_text(encoding="utf-8"))


def plain(value: Any) -> Any:
    """A value as JSON has it, without the names of classes and fields."""
    if isinstance(value, enum.Enum):
        return plain(value.value)
    if value is None or isinstance(value, bool | int | str):
        return value
    if isinstance(value, float):
        return repr(value) if value in (float("inf"), float("-inf")) else value
    if isinstance(value, bytes | msgspec.Raw):
        return {"hex": bytes(value).hex()}
    if isinstance(value, PurePath):
        return value.as_posix()
    if isinstance(value, msgspec.Struct):
        return [plain(part) for part in msgspec.structs.astuple(value)]
    if dataclasses.is_dataclass(value):
        return [
            plain(getattr(value, f.name)) for f in dataclasses.fields(value) if not callable(getattr(value, f.name))
        ]
    if isinstance(value, Mapping):
        return {str(plain(key)): plain(part) for key, part in value.items()}
    if isinstance(value, set | frozenset):
        return sorted((plain(part) for part in value), key=repr)
    if isinstance(value, list | tuple | deque):
        return [plain(part) for part in value]
    if type(value).__module__ == "ipaddress":
        return str(value)
    raise TypeError(f"{type(value).__name__} has no plain form here")


def channel_kinds() -> dict[str, type[msgspec.Struct]]:
    """All messages of the channel between dispatchers and planners, by the kind that stands in their bytes."""
    modules = (wire, lease_terms, copies_terms, planner_channel, usage_terms)
    found: dict[str, type[msgspec.Struct]] = {}
    for module in modules:
        for item in vars(module).values():
            if isinstance(item, type) and issubclass(item, msgspec.Struct) and item.__struct_config__.tag is not None:
                found[str(item.__struct_config__.tag)] = item
    return found


CHANNEL: dict[str, Any] = stored("channel")


def test_channel_has_a_fixture_for_every_kind() -> None:
    """No kind of message is gone, none has another tag, and none is without a fixture."""
    assert sorted(channel_kinds()) == sorted({name.partition("/")[0] for name in CHANNEL["messages"]})


@pytest.mark.parametrize("name", CHANNEL["messages"])
def test_channel_message_keeps_its_bytes(name: str) -> None:
    """A framed message reads as the values it was made from, in their order, and is written as the same bytes."""
    told = CHANNEL["messages"][name]
    kinds = channel_kinds()
    others = [kind for tag, kind in kinds.items() if tag not in ("hello", "beat")]
    data = bytes.fromhex(told["frame"])
    reader = wire.FrameReader(wire.decoder(*others))
    before = [] if name.startswith("hello") else [wire.encode_frame(kinds["hello"](2, "a", "b"))]
    *_, message = reader.feed(b"".join([*before, data]))
    assert type(message) is kinds[name.partition("/")[0]]
    assert plain(message) == told["values"]
    assert wire.encode_frame(message) == data


def test_channel_reads_short_messages_of_version_1() -> None:
    """Fields that version 1 did not send take their defaults; the hello of version 1 is still taken."""
    for told in CHANNEL["short"]:
        reader = wire.FrameReader(wire.decoder())
        assert [plain(message) for message in reader.feed(bytes.fromhex(told["bytes"]))] == told["values"]
    assert CHANNEL["versions"] == [wire.VERSION, wire.OLDEST_VERSION, wire.MAX_FRAME_BYTES]


@pytest.mark.parametrize("name", CHANNEL["plans"])
def test_plan_keeps_its_bytes(name: str) -> None:
    """A packed plan, whole or as changes, is read as its values; what is packed again says the same bytes under the
    compression, whose own bytes belong to its library."""
    told = CHANNEL["plans"][name]
    packet = plan.decode_plan(bytes.fromhex(told["packed"]))
    assert plain(packet) == told["values"]
    assert msgspec.msgpack.encode(packet).hex() == told["inner"]
    if packet.base_number == 0:
        again = plan.encode_plan(plan.Plan(packet.header, packet.instances), packet.age_ms)
        assert zstandard.ZstdDecompressor().decompress(again).hex() == told["inner"]
        assert plan.digest_of(packet.header, packet.instances).hex() == told["digest"]


def test_notes_and_digests_of_books_keep_their_bytes() -> None:
    """The note with a book's lease, the ranges of ids and the digests that two dispatchers compare."""
    told = CHANNEL["books"]
    data = bytes.fromhex(told["note"])
    members = copies_terms.decode_in_sync(data)
    assert plain(members) == told["members"]
    assert copies_terms.encode_in_sync(members) == data
    assert {id_: copies_terms.bucket_of(id_) for id_ in told["buckets"]} == told["buckets"]
    assert [copies_terms.entry_digest("a", 1, 2), copies_terms.entry_digest("b", 3, 4)] == told["digests"]
    assert copies_terms.pack_digests(told["digests"]).hex() == told["packed"]
    assert copies_terms.unpack_digests(bytes.fromhex(told["packed"])) == told["digests"]
    assert told["constants"] == [copies_terms.BUCKETS, copies_terms.DIGEST_BYTES, copies_terms.LEASE_PREFIX]


# The simulator's protocol.


@pytest.mark.parametrize("name", ["two-dispatchers", "no-cancel-no-load-control"])
def test_simulator_gets_the_recorded_replies(name: str) -> None:
    """A recorded conversation at the simulator's door, line for line: requests of three classes, answers of all nine
    endings, refusals, revocations, changes of the list, timers, an instance that ends and one that begins.  The first
    is of two dispatchers with all that is allowed, the second of one that may neither cancel, nor try twice, nor order
    copies."""
    sent = (FIXTURES / f"drill-{name}.in.jsonl").read_text(encoding="utf-8").splitlines()
    expected = (FIXTURES / f"drill-{name}.out.jsonl").read_text(encoding="utf-8").splitlines()
    adapter = SimulatorAdapter()
    for number, (line, reply) in enumerate(zip(sent, expected, strict=True), 1):
        assert json.dumps(adapter.reply(line), separators=(",", ":")) == reply, f"line {number}: {line}"


# Settings.

SETTINGS: dict[str, Any] = stored("settings")
READERS = {"examples": deployment.load, "bad-days": script.load_scenario, "experiments": experiment.load}


def digest(value: Any) -> str:
    """Of a plain value; 1, 1.0 and true differ."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()[:20]


def text(value: Any) -> str:
    """A plain value to be compared; 1, 1.0 and true differ."""
    return json.dumps(value, sort_keys=True, indent=1)


def test_settings_have_a_fixture_for_every_example() -> None:
    """No file of the examples is gone; one that is added needs an entry."""
    assert sorted(p.relative_to(ROOT).as_posix() for p in (ROOT / "examples").rglob("*.sexp")) == sorted(SETTINGS)


@pytest.mark.parametrize("file", SETTINGS)
def test_settings_of_an_example_keep_their_values(file: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A deployment, script or experiment is read as the same values in the same order: a key, a default or a unit that
    changes fails.  `values` are whole; `parts` are digests of each field of the outermost form."""
    monkeypatch.chdir(ROOT)
    found = plain(READERS[Path(file).parent.name](file))
    assert [digest(part) for part in found] == SETTINGS[file]["parts"]
    if "values" in SETTINGS[file]:
        assert text(found) == text(SETTINGS[file]["values"])


# The platform's protocol, HTTP and the workers' protocol.

BYTES: dict[str, Any] = stored("bytes")
SETTINGS_KEYS = {section: keys for section, keys in BYTES["experiments"].items() if section != "no-such"}
ITEM = "7f3a9c21e0b4d655"
V4 = ip_address("192.0.2.1"), ip_address("224.0.0.18")
V6 = ip_address("fe80::1"), ip_address("ff02::12")
KEYS = vrrp_seal.Key(7, b"first secret"), vrrp_seal.Key(8, b"second secret")


def record_of(answer: str, code: int, **more: Any) -> Any:
    """A record with its final answer; the tests hand over by name only what follows the answer."""
    made = Record("0a" * 16, "guest", "pack/act", "check", "repeatable", 1700000000123.0, 5.0, 9000.0, "00-aa-bb-01")
    ended = 1700000000456.0
    names = [field.name for field in dataclasses.fields(made)]
    for place, value in {9: ended, 10: answer, 11: code, 12: b'{"x":1}', **more.pop("at", {})}.items():
        setattr(made, names[place], value)
    return made


def records() -> dict[str, Any]:
    """One record of each final answer; by place: 13 return_ms, 14 repeat_within_ms, 15 sends, 17 waited_ms, 26 logs."""
    shared = {15: 3, 17: 41.6}
    return {
        "completed": record_of("completed", 0, at=shared),
        "rejected": record_of("rejected", 3, at={**shared, 13: 812.3456, 14: 4000.4}),
        "aborted": record_of("aborted", 3, at=shared),
    }


def written() -> dict[str, bytes]:
    """Everything that is compared byte for byte, by a name of its own."""
    inputs = b'{"inputs":[{"name":"x","datatype":"INT32","shape":[2],"data":[1,2]}],"parameters":{"own":"v","limit":1}}'
    head: dict[str, str | int | float | bool] = {"limit": 1500, "again": True}
    tensor = JsonTensor("y", "FP32", [2], [0.5, 1.5], {"p": "q"})
    sealer = vrrp_seal.Signer(KEYS[0], 99, V4[0])
    advert = vrrp_packet.Advertisement(51, 200, 100, (ip_address("192.0.2.10"), ip_address("192.0.2.11")))
    advert_6 = vrrp_packet.Advertisement(52, 0, 4095, (ip_address("fe80::10"), ip_address("2001:db8::10")))
    packet = vrrp_packet.encode(advert, *V4)
    out = {
        "line/call": lines.encode_call("0" * 15 + "1", "t", ITEM, 1500, "", b"body\r\n"),
        "line/call-with-key": lines.encode_call("0" * 15 + "2", "k", ITEM, 1, "key-1", b""),
        "line/cancel": lines.encode_cancel("0" * 15 + "1"),
        "line/load": lines.encode_load("o3", ITEM, 2),
        "line/load-asks": lines.encode_load("o4", ITEM, 0),
        "frame/request": frames.encode_frame(
            frames.REQUEST, 3, frames.encode_fields({"verb": "t", "txn": "é"}) + b"body"
        ),
        "frame/cancel": frames.encode_frame(frames.CANCEL, 4),
        "frame/ask-ready": frames.encode_frame(frames.READY_QUERY, 5, b"\0"),
        "frame/go-away": frames.encode_frame(frames.GO_AWAY, 0),
        "frame/served": frames.encode_answer(6, frames.SERVED, b"result"),
        "frame/refused": frames.encode_answer(7, frames.REFUSED, b"", 1234),
        "frame/failed": frames.encode_answer(8, frames.FAILED),
        "frame/ready": frames.encode_ready(9, True),
        "frame/not-ready": frames.encode_ready(10, False),
        "feed/ask": feed.encode_poll(77),
        "http/request": http.encode_request("POST", "/a?b=c", "h:1", b"{}", {"x-one": "1"}),
        "http/request-empty": http.encode_request("GET", "/", "h:2"),
        "http/response": http.encode_response(503, b'{"a":1}', {"retry-after": "2"}, False),
        "http/response-204": http.encode_response(204, b""),
        "http/head": http.encode_head(200, {"x-one": "1"}, "text/event-stream", False),
        "http/chunk": http.encode_chunk(b"twelve bytes"),
        "events/event": events.encode_event(b"one\ntwo", "part"),
        "infer/json": infer.infer_request("h:1", "a/b", "m1", b'{"n":1}', head, {"traceparent": "t"}),
        "infer/tensors": infer.infer_request("h:1", "m", "m2", inputs, head | {"form": "tensors"}, {}, "tensors"),
        "infer/answer": infer.infer_answer("m", "m3", '{"r":2}', False),
        "infer/tensors-answer": infer.tensors_answer("m", "m4", [tensor], success=True, final=False),
        "infer/load": infer.load_request("h:1", "a b", 3, "d1"),
        "infer/error": infer.error_response(404, "no copy", {infer.NEVER_RAN: "miss", "load-failed": "1"}),
        "infer/report": infer.write_report(0.25, found=1, company=4).encode(),
        "vrrp/v4": packet,
        "vrrp/v4-no-pseudo-header": vrrp_packet.encode(advert, *V4, False),
        "vrrp/v6-release": vrrp_packet.encode(advert_6, *V6),
        "vrrp/sealed": sealer.sign(packet),
        "vrrp/sealed-next": sealer.sign(packet),
        "invoke/error": views.error("no such action", "0a0b", extra=1),
    }
    for name, record in records().items():
        for view in (views.activation, views.summary, views.result):
            out[f"invoke/{view.__name__}/{name}"] = views.encode(view(record))
    copies = deployment.load(ROOT / "examples" / "copies.sexp")
    for path, item in copies.actions.items():
        out[f"invoke/action/{path}"] = views.encode(views.action(copies, "families", item))
    return out


@pytest.mark.parametrize("name", BYTES["written"])
def test_what_is_written_keeps_its_bytes(name: str) -> None:
    """Lines to the platform's workers, frames to its clients, HTTP, the workers' inference protocol, VRRP with and
    without a seal, and the bodies of the invoke API: the same bytes for the same values."""
    assert written()[name].hex() == BYTES["written"][name]


def test_all_that_is_written_has_a_fixture() -> None:
    """Nothing is compared with less than it was."""
    assert sorted(written()) == sorted(BYTES["written"])


def drained(reader: Any, data: bytes) -> list[Any]:
    """All that a reader with `feed` and `next` makes of bytes that come one by one."""
    out = []
    for byte in data:
        reader.feed(bytes((byte,)))
        while (one := reader.next()) is not None:
            out.append(plain(one))
    return out


def read_response(data: bytes) -> http.Response:
    """One whole response."""
    found = http.ResponseReader(1 << 20).feed(data)
    assert found is not None
    return found


def read(kind: str, data: bytes) -> Any:
    """What the reader of that kind makes of bytes."""
    if kind == "lines":
        return drained(lines.LineReader(1000), data)
    if kind == "frames":
        return [[k, s, payload["hex"]] for k, s, payload in drained(frames.FrameReader(), data)]
    if kind == "fields":
        return plain(frames.read_fields(data))
    if kind == "feed":
        return drained(feed.FeedReader(2, 2), data)
    if kind == "events":
        return plain(events.EventReader(1000).feed(data))
    if kind == "http":
        return plain(http.RequestReader(10_000, 10_000).feed(data))
    if kind == "infer":
        return plain(infer.read_infer(data))
    if kind == "load":
        return plain(infer.read_load(data))
    if kind in ("answer json", "answer tensors"):
        return plain(infer.read_answer(read_response(data), "m3", kind.partition(" ")[2]))
    if kind == "loaded":
        return plain(infer.read_loaded(read_response(data)))
    if kind == "vrrp v4":
        return plain(vrrp_packet.decode(data, *V4))
    if kind == "vrrp v6":
        return plain(vrrp_packet.decode(data, *V6))
    if kind == "seal":
        return plain(vrrp_seal.Verifier(KEYS).verify(data, V4[0]))
    assert kind == "worker list"
    return plain(msgspec.json.decode(data, type=members.EndpointList))


@pytest.mark.parametrize("number", range(len(BYTES["read"])), ids=[one["kind"] for one in BYTES["read"]])
def test_what_is_read_keeps_its_meaning(number: int) -> None:
    """Answers of the platform's workers, frames of its clients, events of its worker list, HTTP, the inference
    protocol, VRRP and the worker list's JSON: the same bytes give the same values."""
    one = BYTES["read"][number]
    assert text(read(one["kind"], bytes.fromhex(one["bytes"]))) == text(one["values"])


def test_fields_of_a_platform_request_keep_their_names() -> None:
    """`txn`, `item`, `unique`, `verb`, `team`, `limit`, `info` and `cpu` of a client's request, and within `info`
    `memory_mb`, `lanes` and `load_ms`, say what they said."""
    told = BYTES["asked"]
    made = platform_config.parse(json.dumps(BYTES["config"]["told"]))
    read_as = host_settings.read_settings(made.settings)
    types = {kind.name: kind for kind in read_as.request_classes}
    customers = {customer.name: customer for customer in read_as.tenants}
    rules = RequestRules(types, customers, made.sockets.max_timeout_ms, made.sockets.max_function_mb)
    found = ParsedRequest(told["fields"], rules)
    shown = []
    for slot in type(found).__slots__:
        value = getattr(found, slot)
        shown.append(value.name if hasattr(value, "name") else value)
    assert sorted(map(repr, shown)) == told["values"]


def test_platform_settings_keep_their_values() -> None:
    """The platform's JSON configuration, and the settings object that it shares with the simulator: the same keys and
    units give the same values in the same order."""
    told = BYTES["config"]
    made = platform_config.parse(json.dumps(told["told"]))
    assert text(plain(made)) == text(told["values"])
    assert text(plain(host_settings.read_settings(made.settings))) == text(told["deployment"])


@pytest.mark.parametrize("key", BYTES["config"]["needed"])
def test_platform_settings_need_the_same_keys(key: str) -> None:
    """Without this key the configuration is refused, and the message names the key by its place."""
    told = json.loads(json.dumps(BYTES["config"]["told"]))
    *path, last = key.split(".")
    at = told
    for part in path:
        at = at[int(part)] if part.isdecimal() else at[part]
    del at[last]
    with pytest.raises(platform_config.ConfigError) as caught:
        platform_config.parse(json.dumps(told))
    assert str(caught.value) == BYTES["config"]["needed"][key]


def test_keys_of_experiments_keep_their_names() -> None:
    """`(set SECTION.KEY VALUE)` knows the sections and keys that it knew.  They are taken from field names, so a field
    that gets another name needs its old key kept."""
    day = script.load_scenario(ROOT / "examples" / "bad-days" / "first.sexp")
    whole = deployment.load(day.deployment)
    place = SourcePosition("x", 1, 1)
    found = {}
    for section in ("no-such", *SETTINGS_KEYS):
        with pytest.raises(ValueError) as caught:
            experiment.apply_changes(
                day, whole, SimulationSettings(), [experiment.Change(section, "no-such", 1.0, place)]
            )
        found[section] = str(caught.value)
    assert found == {"no-such": BYTES["experiments"]["no-such"], **SETTINGS_KEYS}


def test_deploy_file_keeps_its_keys() -> None:
    """deploy/balancer.toml has its keys, and what it names is there."""
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert {key: type(value).__name__ for key, value in told.items()} == BYTES["deploy"]
    assert all((ROOT / path).exists() for path in [*told["policy"], *told["node"]])
    for key in ("run", "sim"):
        words = told[key].split()
        assert words[:3] == ["exec", ".venv/bin/python", "-m"]
        assert (ROOT / words[3].replace(".", "/") / "__main__.py").exists()


# What operators are shown.


def shown_keys(words: set[str]) -> Counter[tuple[str, ...]]:
    """The keys of every dict that is written out in the package's code, in files that have one of these words."""
    out: Counter[tuple[str, ...]] = Counter()
    for file in sorted((ROOT / "kelptrail").rglob("*.py")):
        source = file.read_text(encoding="utf-8")
        if not any(f'"{word}":' in source for word in words):
            continue
        for node in ast.walk(ast.parse(source)):
            if isinstance(node, ast.Dict):
                out[tuple(k.value for k in node.keys if isinstance(k, ast.Constant) and isinstance(k.value, str))] += 1
    return out


def test_answers_to_operators_keep_their_keys() -> None:
    """`/state`, `/vrrp`, `/leases`, `/copies`, `/usage` and the planner's answers, the standing in of the worker list:
    each set of keys is written out somewhere in the code, in its order.  Looked up in the source, so a key that stays
    but gets another value is not seen here."""
    found = shown_keys({keys[-1] for keys in BYTES["shown"].values()})
    for name, keys in BYTES["shown"].items():
        assert found[tuple(keys)] >= 1, f"{name}: {keys}"


def test_usage_is_shown_with_its_keys() -> None:
    """The answer of `/usage`, whole, made from a total that was told."""
    token = lease_terms.FencingToken(9, "d2/r2")
    told = usage_terms.UsageView()
    assert told.on_total(usage_terms.UsageTotal(token, 73, 3, {"n1": (1.234, 2.5, 3.5)}))
    usage = usage_terms.UsageDriver.__new__(usage_terms.UsageDriver)
    usage.view = told
    assert text(usage.status()) == text(BYTES["usage"])


def test_storm_is_shown_with_its_keys() -> None:
    """The part `storm` of `/state`, before anything has come."""
    assert text(OverloadController(OverloadSettings(), 1).status()) == text(BYTES["storm"])


# On sockets: what goes out unasked, and in which words.

SOCKETS: dict[str, Any] = stored("sockets")


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """The outcome of a conversation on loopback, within a bound."""

    async def bounded() -> Any:
        async with asyncio.timeout(30):
            return await main

    return asyncio.run(bounded())


async def heard_of_the_platform_service() -> dict[str, list[str]]:
    """One dispatcher between a client, a worker and the worker list: what each of these three is sent.  The time left
    in a call and the number of copies are masked, commands to the worker are sorted and told once."""
    to_worker, to_list = set[bytes](), set[bytes]()
    hangs, cancelled = asyncio.Event(), asyncio.Event()

    async def worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                word, id_, *rest = line.split()
                body = await reader.readexactly(int(rest[-1]) + 2) if word == b"CALL" else b""
                to_worker.add(re.sub(rb"limit=[0-9]+", b"limit=...", line) + body)
                if word == b"LOAD":
                    writer.write(id_ + b" OK units=1 0\r\n\r\n")
                elif word == b"CANCEL":
                    cancelled.set()
                elif body.startswith(b"hang"):
                    hangs.set()
                else:
                    writer.write(id_ + b" OK tell=up,meter=cpu:0.5;x0:0.2 6\r\nresult\r\n")
        writer.close()

    async def worker_list(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            to_list.add(await reader.readexactly(8))
            await reader.read()
        writer.close()

    at_worker = await asyncio.start_server(worker, "127.0.0.1", 0)
    at_list = await asyncio.start_server(worker_list, "127.0.0.1", 0)
    told = json.loads(json.dumps(BYTES["config"]["told"]))
    target = told["known"]["entries"][0]["hosts"]["targets"][0]
    target |= {"endpoint": f"127.0.0.1:{at_worker.sockets[0].getsockname()[1]}", "boot_ms": 0}
    told["known"] = {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": [target]}}]}
    told["settings"]["specifics"]["not_loaded"] = "miss"  # so that copies are ordered
    for kind in told["settings"]["classes"]:
        kind["give_up_us"] = 20_000_000
    told |= {"listen": "127.0.0.1:0", "journal": f"127.0.0.1:{at_list.sockets[0].getsockname()[1]}"}
    service = Service(asyncio.get_running_loop(), platform_config.parse(json.dumps(told)))
    reader, writer = await asyncio.open_connection("127.0.0.1", service.open())
    ours = frames.FrameReader()
    to_client: list[bytes] = []

    async def answered(sent: bytes) -> None:
        writer.write(sent)
        while (found := ours.next()) is None:
            ours.feed(await reader.read(65536))
        to_client.append(frames.encode_frame(*found))

    def request(stream: int, body: bytes, **other: str) -> bytes:
        said = {"verb": "t", "txn": f"{stream:016x}", "limit": "15000", "team": "acme", "item": ITEM}
        said |= {"info": "memory_mb:512;lanes:2"} | other
        return frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(said) + body)

    await answered(frames.encode_frame(frames.READY_QUERY, 7, b"\0"))
    await answered(request(3, b"hello\r\n"))
    await answered(request(4, b"", verb="k", unique="key-1"))
    await answered(request(5, b"", team="nobody"))
    writer.write(request(6, b"hang"))
    await hangs.wait()
    writer.write(frames.encode_frame(frames.CANCEL, 6))
    await cancelled.wait()
    service.shut_down()
    await answered(b"")
    writer.close()
    service.close()
    at_worker.close()
    at_list.close()
    return {
        "client": [data.hex() for data in to_client],
        "worker": sorted(data.decode() for data in to_worker if data[:4] != b"LOAD"),
        "orders": sorted({re.sub("( o|units=)[0-9]+", r"\1...", d.decode()) for d in to_worker if d[:4] == b"LOAD"}),
        "list": sorted(data.hex() for data in to_list),
    }


def test_platform_service_says_what_it_said() -> None:
    """A whole dispatcher on loopback sockets: the frames that a client gets, the lines that a worker gets, the
    question that the worker list gets."""
    assert run(heard_of_the_platform_service()) == SOCKETS["platform"]


async def heard_of_the_worker_list(tmp_path: Path) -> dict[str, Any]:
    """The question of a dispatcher that follows the worker list, and what it takes from an answer."""
    questions: list[str] = []
    lists: list[Any] = []
    two = asyncio.Event()
    body = json.dumps(SOCKETS["listing"]).encode()

    async def source(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                questions.append((await reader.readuntil(b"\r\n\r\n")).decode())
                if len(questions) == 2:
                    two.set()
                    await asyncio.sleep(10)
                writer.write(http.encode_response(200, body))

    server = await asyncio.start_server(source, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = EndpointClient(address, "d1/r1", lists.append, tmp_path / "last.json", logging.getLogger("test"), 1500.0)
    client.address, client.channel_address, client.zone = "10.0.1.1:8", "10.0.1.1:9", "south"
    task = asyncio.create_task(client.follow())
    await two.wait()
    task.cancel()
    server.close()
    again = EndpointClient(address, "d1/r2", lists.append, tmp_path / "last.json", logging.getLogger("test"))
    return {
        "questions": [question.replace(address, "ADDRESS") for question in questions],
        "from_last": again.load_saved(),
        "lists": plain(lists),
    }


def test_worker_list_is_asked_and_read_as_before(tmp_path: Path) -> None:
    """The long poll's target with all its parameters, the list that an answer gives, and the list that a restart
    takes up from the file beside it."""
    assert text(run(heard_of_the_worker_list(tmp_path))) == text(SOCKETS["followed"])


async def told_by_the_stand_in() -> Any:
    """What the stand-in worker list answers after a worker and a dispatcher are known; its run and ages are masked."""
    source = EndpointService(Capture(None, "list"))
    errand = HttpClient(f"127.0.0.1:{source.server.listen('127.0.0.1', 0)}")
    for target, body in SOCKETS["told_to_list"]:
        assert (await errand.request("POST", target, body)).status == 200
    target = "/workers?who=d1/r1&at=10.0.1.1:8&channel=10.0.1.1:9&hall=south&known=&wait=0"
    found = json.loads((await errand.request("GET", target)).body)
    errand.close()
    source.server.stop_listening()
    found["lineage"] = "..."
    for worker in found["workers"]:
        assert 1000 <= worker["age_ms"] < 20_000
        worker["age_ms"] = 0
    return found


def test_stand_in_list_tells_as_before() -> None:
    """`POST /register`, `POST /state` and `GET /workers` of the stand-in worker list: paths, keys and values."""
    assert text(run(told_by_the_stand_in())) == text(SOCKETS["list"])
