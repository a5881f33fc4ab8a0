"""Compatibility of messages and settings with earlier revisions, by the fixtures in `fixtures/wire`.

Messages are compared by bytes and by the position of their values, and settings by their values in order.  So a class,
field or module can be renamed in the code, and a change of what is sent, received or read from settings fails a test.
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

import kelptrail.lease.messages as lease_messages
import kelptrail.planner.channel as planner_channel
import kelptrail.replication.messages as replication
import kelptrail.service.usage as usage_module
from kelptrail.codec import events, feed, frames, http, infer, lines
from kelptrail.codec.tensors import JsonTensor
from kelptrail.dispatch.sliding_window import EventWindow
from kelptrail.emulator.capture import Capture
from kelptrail.emulator.endpoint_service import EndpointService
from kelptrail.engine import settings as engine_settings
from kelptrail.fault_scenario import scenario as fault_scenario
from kelptrail.front.invoke import views
from kelptrail.gateway.overload import OverloadController, OverloadSettings
from kelptrail.gateway.records import Record
from kelptrail.membership import members
from kelptrail.membership.client import EndpointClient
from kelptrail.net.http_client import HttpClient
from kelptrail.peers import messages as peer_messages
from kelptrail.planner import plan
from kelptrail.platform import config as platform_config
from kelptrail.platform.parsed_request import ParsedRequest, RequestRules
from kelptrail.platform.service import Service
from kelptrail.settings import deployment
from kelptrail.settings.reader import SourcePosition
from kelptrail.simulation import experiment
from kelptrail.simulation.settings import SimulationSettings
from kelptrail.simulator_adapter.__main__ import SimulatorAdapter
from kelptrail.vrrp import authentication as vrrp_authentication
from kelptrail.vrrp import packet as vrrp_packet

FIXTURES = Path(__file__).parent / "fixtures" / "wire"
ROOT = Path(__file__).parent.parent


def load_fixture(name: str) -> Any:
    """Return the content of a fixture file."""
    return json.loads((FIXTURES / f"{name}.json").read_text(encoding="utf-8"))


def to_json_types(value: Any) -> Any:
    """Convert a value to JSON types, without the names of classes and fields."""
    if isinstance(value, enum.Enum):
        return to_json_types(value.value)
    if value is None or isinstance(value, bool | int | str):
        return value
    if isinstance(value, float):
        return repr(value) if value in (float("inf"), float("-inf")) else value
    if isinstance(value, bytes | msgspec.Raw):
        return {"hex": bytes(value).hex()}
    if isinstance(value, PurePath):
        return value.as_posix()
    if isinstance(value, msgspec.Struct):
        return [to_json_types(item) for item in msgspec.structs.astuple(value)]
    if dataclasses.is_dataclass(value):
        return [
            to_json_types(getattr(value, field.name))
            for field in dataclasses.fields(value)
            if not callable(getattr(value, field.name))
        ]
    if isinstance(value, Mapping):
        return {str(to_json_types(key)): to_json_types(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted((to_json_types(item) for item in value), key=repr)
    if isinstance(value, EventWindow):
        return [to_json_types(bucket) for bucket in value.buckets]
    if isinstance(value, list | tuple | deque):
        return [to_json_types(item) for item in value]
    if type(value).__module__ == "ipaddress":
        return str(value)
    raise TypeError(f"{type(value).__name__} cannot be converted to JSON types")


def channel_kinds() -> dict[str, type[msgspec.Struct]]:
    """Return all message types of the channel between dispatchers and planners, by the tag in their bytes."""
    modules = (peer_messages, lease_messages, replication, planner_channel, usage_module)
    kinds: dict[str, type[msgspec.Struct]] = {}
    for module in modules:
        for value in vars(module).values():
            if (
                isinstance(value, type)
                and issubclass(value, msgspec.Struct)
                and value.__struct_config__.tag is not None
            ):
                kinds[str(value.__struct_config__.tag)] = value
    return kinds


CHANNEL: dict[str, Any] = load_fixture("channel")


def test_channel_has_a_fixture_for_every_kind() -> None:
    """No message type was removed, none has another tag, and each has a fixture."""
    assert sorted(channel_kinds()) == sorted({name.partition("/")[0] for name in CHANNEL["messages"]})


@pytest.mark.parametrize("name", CHANNEL["messages"])
def test_channel_message_keeps_its_bytes(name: str) -> None:
    """A framed message is decoded to its recorded values, in order, and encoded to the same bytes."""
    fixture = CHANNEL["messages"][name]
    kinds = channel_kinds()
    # `decoder` adds `hello` and `beat` to the other kinds.
    extra_kinds = [kind for tag, kind in kinds.items() if tag not in ("hello", "beat")]
    data = bytes.fromhex(fixture["frame"])
    reader = peer_messages.FrameReader(peer_messages.decoder(*extra_kinds))
    preceding = [] if name.startswith("hello") else [peer_messages.encode_frame(kinds["hello"](2, "a", "b"))]
    *_, message = reader.feed(b"".join([*preceding, data]))
    assert type(message) is kinds[name.partition("/")[0]]
    assert to_json_types(message) == fixture["values"]
    assert peer_messages.encode_frame(message) == data


def test_channel_reads_short_messages_of_version_1() -> None:
    """Fields that version 1 did not send get their defaults, and its hello message is still accepted."""
    for fixture in CHANNEL["short"]:
        reader = peer_messages.FrameReader(peer_messages.decoder())
        assert [to_json_types(message) for message in reader.feed(bytes.fromhex(fixture["bytes"]))] == fixture["values"]
    assert CHANNEL["versions"] == [peer_messages.VERSION, peer_messages.OLDEST_VERSION, peer_messages.MAX_FRAME_BYTES]


@pytest.mark.parametrize("name", CHANNEL["plans"])
def test_plan_keeps_its_bytes(name: str) -> None:
    """A compressed plan, complete or as a difference, is decoded to its recorded values; its MessagePack is the same.

    `encode_plan` is checked for complete plans.  They are compared after decompression, because the output of the
    compressor may differ between releases.
    """
    fixture = CHANNEL["plans"][name]
    packet = plan.decode_plan(bytes.fromhex(fixture["packed"]))
    assert to_json_types(packet) == fixture["values"]
    assert msgspec.msgpack.encode(packet).hex() == fixture["inner"]
    if packet.base_number == 0:
        encoded = plan.encode_plan(plan.Plan(packet.header, packet.instances), packet.age_ms)
        assert zstandard.ZstdDecompressor().decompress(encoded).hex() == fixture["inner"]
        assert plan.digest_of(packet.header, packet.instances).hex() == fixture["digest"]


def test_in_sync_sets_and_digests_of_journals_keep_their_bytes() -> None:
    """Covers the note with a journal's lease, the buckets of ids, and the digests that two dispatchers compare."""
    fixture = CHANNEL["books"]
    data = bytes.fromhex(fixture["note"])
    in_sync = replication.decode_in_sync(data)
    assert to_json_types(in_sync) == fixture["members"]
    assert replication.encode_in_sync(in_sync) == data
    assert {id_: replication.bucket_of(id_) for id_ in fixture["buckets"]} == fixture["buckets"]
    assert [replication.entry_digest("a", 1, 2), replication.entry_digest("b", 3, 4)] == fixture["digests"]
    assert replication.pack_digests(fixture["digests"]).hex() == fixture["packed"]
    assert replication.unpack_digests(bytes.fromhex(fixture["packed"])) == fixture["digests"]
    assert fixture["constants"] == [replication.BUCKETS, replication.DIGEST_BYTES, replication.LEASE_PREFIX]


# Protocol of the simulator.


@pytest.mark.parametrize("name", ["two-dispatchers", "no-cancel-no-load-control"])
def test_simulator_gets_the_recorded_replies(name: str) -> None:
    """The adapter sends the recorded reply to each line of a recorded session.

    The sessions have requests of three classes, answers with all nine endings, refusals, client disconnects, changes
    of the endpoint list, timers, and the exit and restart of a dispatcher.  The first has two dispatchers to which
    everything is allowed; the second has one that may not cancel, send parallel attempts or order loads.
    """
    sent = (FIXTURES / f"drill-{name}.in.jsonl").read_text(encoding="utf-8").splitlines()
    expected = (FIXTURES / f"drill-{name}.out.jsonl").read_text(encoding="utf-8").splitlines()
    adapter = SimulatorAdapter()
    for number, (line, reply) in enumerate(zip(sent, expected, strict=True), 1):
        assert json.dumps(adapter.reply(line), separators=(",", ":")) == reply, f"line {number}: {line}"


# Settings.

SETTINGS: dict[str, Any] = load_fixture("settings")
READERS = {"examples": deployment.load, "bad-days": fault_scenario.load_scenario, "experiments": experiment.load}


def digest(value: Any) -> str:
    """Return a digest of a JSON value; 1, 1.0 and true have different digests."""
    return hashlib.sha256(json.dumps(value, sort_keys=True).encode()).hexdigest()[:20]


def json_text(value: Any) -> str:
    """Return a JSON value as text for comparison, so that 1, 1.0 and true differ."""
    return json.dumps(value, sort_keys=True, indent=1)


def test_settings_have_a_fixture_for_every_example() -> None:
    """No example was removed, and each has an entry; a new example needs a new entry."""
    assert sorted(p.relative_to(ROOT).as_posix() for p in (ROOT / "examples").rglob("*.sexp")) == sorted(SETTINGS)


@pytest.mark.parametrize("file", SETTINGS)
def test_settings_of_an_example_keep_their_values(file: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A deployment, fault scenario or experiment is read as the same values in the same order.

    So a changed key, default or unit fails.  In the fixture, `parts` has a digest of each field of the outermost form;
    some examples also have `values`, all values.
    """
    monkeypatch.chdir(ROOT)
    values = to_json_types(READERS[Path(file).parent.name](file))
    assert [digest(field) for field in values] == SETTINGS[file]["parts"]
    if "values" in SETTINGS[file]:
        assert json_text(values) == json_text(SETTINGS[file]["values"])


# Protocols of the platform and of the workers, HTTP and VRRP.

BYTES: dict[str, Any] = load_fixture("bytes")
# The error for an unknown key of each section, which lists the keys of the section.
UNKNOWN_KEY_ERRORS = {section: text for section, text in BYTES["experiments"].items() if section != "no-such"}
FUNCTION = "7f3a9c21e0b4d655"
V4 = ip_address("192.0.2.1"), ip_address("224.0.0.18")  # source and destination of a VRRP packet
V6 = ip_address("fe80::1"), ip_address("ff02::12")
VRRP_KEYS = vrrp_authentication.Key(7, b"first secret"), vrrp_authentication.Key(8, b"second secret")


def finished_record(answer: str, code: int, **options: Any) -> Any:
    """Return a record with a final answer.

    The only option is `by_index`: values of further fields, by the index of the field.  Indexes set here: 9 `end`, 10
    `answer`, 11 `code`, 12 `result`.
    """
    record = Record("0a" * 16, "guest", "pack/act", "check", "repeatable", 1700000000123.0, 5.0, 9000.0, "00-aa-bb-01")
    end_ms = 1700000000456.0
    names = [field.name for field in dataclasses.fields(record)]
    for index, value in {9: end_ms, 10: answer, 11: code, 12: b'{"x":1}', **options.pop("by_index", {})}.items():
        setattr(record, names[index], value)
    return record


def sample_records() -> dict[str, Any]:
    """Return one record of each final answer.

    Field indexes: 13 `retry_after_ms`, 14 `deduplicated_for_ms`, 15 `attempt_count`, 17 `queued_ms`.
    """
    common = {15: 3, 17: 41.6}
    return {
        "completed": finished_record("completed", 0, by_index=common),
        "rejected": finished_record("rejected", 3, by_index={**common, 13: 812.3456, 14: 4000.4}),
        "aborted": finished_record("aborted", 3, by_index=common),
    }


def encoded_samples() -> dict[str, bytes]:
    """Return the encoded messages that are compared byte for byte, by their names in the fixture."""
    inputs = b'{"inputs":[{"name":"x","datatype":"INT32","shape":[2],"data":[1,2]}],"parameters":{"own":"v","limit":1}}'
    parameters: dict[str, str | int | float | bool] = {"limit": 1500, "again": True}
    tensor = JsonTensor("y", "FP32", [2], [0.5, 1.5], {"p": "q"})
    signer = vrrp_authentication.Signer(VRRP_KEYS[0], 99, V4[0])
    advertisement = vrrp_packet.Advertisement(51, 200, 100, (ip_address("192.0.2.10"), ip_address("192.0.2.11")))
    advertisement_v6 = vrrp_packet.Advertisement(52, 0, 4095, (ip_address("fe80::10"), ip_address("2001:db8::10")))
    packet = vrrp_packet.encode(advertisement, *V4)
    samples = {
        "line/call": lines.encode_call("0" * 15 + "1", "t", FUNCTION, 1500, "", b"body\r\n"),
        "line/call-with-key": lines.encode_call("0" * 15 + "2", "k", FUNCTION, 1, "key-1", b""),
        "line/cancel": lines.encode_cancel("0" * 15 + "1"),
        "line/load": lines.encode_load("o3", FUNCTION, 2),
        "line/load-asks": lines.encode_load("o4", FUNCTION, 0),
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
        "infer/json": infer.infer_request("h:1", "a/b", "m1", b'{"n":1}', parameters, {"traceparent": "t"}),
        "infer/tensors": infer.infer_request("h:1", "m", "m2", inputs, parameters | {"form": "tensors"}, {}, "tensors"),
        "infer/answer": infer.infer_answer("m", "m3", '{"r":2}', False),
        "infer/tensors-answer": infer.tensors_answer("m", "m4", [tensor], success=True, final=False),
        "infer/load": infer.load_request("h:1", "a b", 3, "d1"),
        "infer/error": infer.error_response(404, "no copy", {infer.NEVER_RAN: "miss", "load-failed": "1"}),
        "infer/report": infer.write_report(0.25, found=1, company=4).encode(),
        "vrrp/v4": packet,
        "vrrp/v4-no-pseudo-header": vrrp_packet.encode(advertisement, *V4, False),
        "vrrp/v6-release": vrrp_packet.encode(advertisement_v6, *V6),
        "vrrp/sealed": signer.sign(packet),
        "vrrp/sealed-next": signer.sign(packet),
        "invoke/error": views.error("no such action", "0a0b", extra=1),
    }
    for name, record in sample_records().items():
        for view in (views.activation, views.summary, views.result):
            samples[f"invoke/{view.__name__}/{name}"] = views.encode(view(record))
    deployment_with_replicas = deployment.load(ROOT / "examples" / "copies.sexp")
    for path, action in deployment_with_replicas.actions.items():
        samples[f"invoke/action/{path}"] = views.encode(views.action(deployment_with_replicas, "families", action))
    return samples


@pytest.mark.parametrize("name", BYTES["written"])
def test_encoded_samples_keep_their_bytes(name: str) -> None:
    """The same values are encoded to the same bytes.

    Covers lines to the platform's workers, frames from and to its clients, the poll of its endpoint list, HTTP, event
    streams, the workers' inference protocol, VRRP with and without authentication, and the bodies of the invoke API.
    """
    assert encoded_samples()[name].hex() == BYTES["written"][name]


def test_every_encoded_sample_has_a_fixture() -> None:
    """The samples and the recorded messages have the same names, so that none is left out of the comparison."""
    assert sorted(encoded_samples()) == sorted(BYTES["written"])


def decode_byte_by_byte(reader: Any, data: bytes) -> list[Any]:
    """Feed a reader byte by byte, and return everything that it decodes."""
    decoded = []
    for byte in data:
        reader.feed(bytes((byte,)))
        while (item := reader.next()) is not None:
            decoded.append(to_json_types(item))
    return decoded


def parse_response(data: bytes) -> http.Response:
    """Parse a complete response."""
    response = http.ResponseReader(1 << 20).feed(data)
    assert response is not None
    return response


def decode(kind: str, data: bytes) -> Any:
    """Decode bytes with the decoder of this kind."""
    if kind == "lines":
        return decode_byte_by_byte(lines.LineReader(1000), data)
    if kind == "frames":
        return [
            [frame_kind, stream, payload["hex"]]
            for frame_kind, stream, payload in decode_byte_by_byte(frames.FrameReader(), data)
        ]
    if kind == "fields":
        return to_json_types(frames.read_fields(data))
    if kind == "feed":
        return decode_byte_by_byte(feed.FeedReader(2, 2), data)
    if kind == "events":
        return to_json_types(events.EventReader(1000).feed(data))
    if kind == "http":
        return to_json_types(http.RequestReader(10_000, 10_000).feed(data))
    if kind == "infer":
        return to_json_types(infer.read_infer(data))
    if kind == "load":
        return to_json_types(infer.read_load(data))
    if kind in ("answer json", "answer tensors"):
        return to_json_types(infer.read_answer(parse_response(data), "m3", kind.partition(" ")[2]))
    if kind == "loaded":
        return to_json_types(infer.read_loaded(parse_response(data)))
    if kind == "vrrp v4":
        return to_json_types(vrrp_packet.decode(data, *V4))
    if kind == "vrrp v6":
        return to_json_types(vrrp_packet.decode(data, *V6))
    if kind == "seal":
        return to_json_types(vrrp_authentication.Verifier(VRRP_KEYS).verify(data, V4[0]))
    assert kind == "worker list"
    return to_json_types(msgspec.json.decode(data, type=members.EndpointList))


@pytest.mark.parametrize("number", range(len(BYTES["read"])), ids=[one["kind"] for one in BYTES["read"]])
def test_recorded_bytes_are_decoded_to_the_same_values(number: int) -> None:
    """The same bytes are decoded to the same values.

    Covers answers of the platform's workers, frames of its clients, events of its endpoint list, event streams, HTTP,
    the inference protocol, VRRP and the JSON of the endpoint list.
    """
    sample = BYTES["read"][number]
    assert json_text(decode(sample["kind"], bytes.fromhex(sample["bytes"]))) == json_text(sample["values"])


def test_fields_of_a_platform_request_keep_their_names() -> None:
    """The fields of a client's request, and those within `info`, are read as the same values.

    They are `txn`, `item`, `unique`, `verb`, `team`, `limit`, `info` and `cpu`; `info` has `memory_mb`, `lanes` and
    `load_ms`.
    """
    fixture = BYTES["asked"]
    config = platform_config.parse(json.dumps(BYTES["config"]["told"]))
    settings = engine_settings.read_settings(config.settings)
    request_classes = {request_class.name: request_class for request_class in settings.request_classes}
    tenants = {tenant.name: tenant for tenant in settings.tenants}
    rules = RequestRules(request_classes, tenants, config.sockets.max_timeout_ms, config.sockets.max_function_mb)
    request = ParsedRequest(fixture["fields"], rules)
    values = []  # without the names of the slots, which may change
    for slot in type(request).__slots__:
        value = getattr(request, slot)
        values.append(value.name if hasattr(value, "name") else value)
    assert sorted(map(repr, values)) == fixture["values"]


def test_platform_settings_keep_their_values() -> None:
    """Keys and units of the platform's JSON configuration give the same values in the same order.

    This includes the settings object, which the simulator also sends.
    """
    fixture = BYTES["config"]
    config = platform_config.parse(json.dumps(fixture["told"]))
    assert json_text(to_json_types(config)) == json_text(fixture["values"])
    assert json_text(to_json_types(engine_settings.read_settings(config.settings))) == json_text(fixture["deployment"])


@pytest.mark.parametrize("key", BYTES["config"]["needed"])
def test_platform_settings_require_the_same_keys(key: str) -> None:
    """Without this key the configuration is refused, with the recorded message."""
    config = json.loads(json.dumps(BYTES["config"]["told"]))
    *path, last = key.split(".")
    parent = config
    for part in path:
        parent = parent[int(part)] if part.isdecimal() else parent[part]
    del parent[last]
    with pytest.raises(platform_config.ConfigError) as error:
        platform_config.parse(json.dumps(config))
    assert str(error.value) == BYTES["config"]["needed"][key]


def test_keys_of_experiments_keep_their_names() -> None:
    """The errors of `(set SECTION.KEY VALUE)` for an unknown section or key list the same sections and keys.

    Keys are derived from field names, so a renamed field must keep its key.
    """
    scenario = fault_scenario.load_scenario(ROOT / "examples" / "bad-days" / "first.sexp")
    scenario_deployment = deployment.load(scenario.deployment)
    position = SourcePosition("x", 1, 1)
    messages = {}
    for section in ("no-such", *UNKNOWN_KEY_ERRORS):
        with pytest.raises(ValueError) as error:
            experiment.apply_changes(
                scenario,
                scenario_deployment,
                SimulationSettings(),
                [experiment.Change(section, "no-such", 1.0, position)],
            )
        messages[section] = str(error.value)
    assert messages == {"no-such": BYTES["experiments"]["no-such"], **UNKNOWN_KEY_ERRORS}


def test_deploy_file_keeps_its_keys() -> None:
    """`deploy/balancer.toml` has the same keys with the same types, and the files and modules that it names exist."""
    config = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert {key: type(value).__name__ for key, value in config.items()} == BYTES["deploy"]
    assert all((ROOT / path).exists() for path in [*config["policy"], *config["node"]])
    for key in ("run", "sim"):
        command = config[key].split()
        assert command[:3] == ["exec", ".venv/bin/python", "-m"]
        assert (ROOT / command[3].replace(".", "/") / "__main__.py").exists()


# Status shown to operators.


def dict_literal_keys(words: set[str]) -> Counter[tuple[str, ...]]:
    """Count the tuples of text keys of all dict literals in those source files that have one of `words` as a key."""
    counts: Counter[tuple[str, ...]] = Counter()
    for file in sorted((ROOT / "kelptrail").rglob("*.py")):
        source = file.read_text(encoding="utf-8")
        if not any(f'"{word}":' in source for word in words):
            continue
        for node in ast.walk(ast.parse(source)):
            if isinstance(node, ast.Dict):
                counts[
                    tuple(k.value for k in node.keys if isinstance(k, ast.Constant) and isinstance(k.value, str))
                ] += 1
    return counts


def test_answers_to_operators_keep_their_keys() -> None:
    """Each sequence of keys that operators are shown is the keys of a dict literal in the source code.

    Covers `/state`, `/vrrp`, `/leases`, `/copies`, `/usage`, and the answers of the planner and of the emulated
    endpoint service.  Only keys are compared: a key that gets another value is not detected.
    """
    # The last key of each sequence selects the source files.
    counts = dict_literal_keys({keys[-1] for keys in BYTES["shown"].values()})
    for name, keys in BYTES["shown"].items():
        assert counts[tuple(keys)] >= 1, f"{name}: {keys}"


def test_usage_is_shown_with_its_keys() -> None:
    """Covers the complete answer of `/usage` after a total was received."""
    token = lease_messages.FencingToken(9, "d2/r2")
    view = usage_module.UsageView()
    assert view.on_total(usage_module.UsageTotal(token, 73, 3, {"n1": (1.234, 2.5, 3.5)}))
    # Without `__init__`, which needs leases and peers: `status` only reads `view`.
    driver = usage_module.UsageDriver.__new__(usage_module.UsageDriver)
    driver.view = view
    assert json_text(driver.status()) == json_text(BYTES["usage"])


def test_overload_status_is_shown_with_its_keys() -> None:
    """Covers the part `storm` of `/state`, before the first request."""
    assert json_text(OverloadController(OverloadSettings(), 1).status()) == json_text(BYTES["storm"])


# Traffic on sockets.

SOCKETS: dict[str, Any] = load_fixture("sockets")


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine with a time limit, and return its result."""

    async def bounded() -> Any:
        async with asyncio.timeout(30):
            return await main

    return asyncio.run(bounded())


async def record_platform_service_traffic() -> dict[str, list[str]]:
    """Run a dispatcher with a client, a worker and an endpoint list, and return what it sends to each of them.

    The remaining time of calls, and the tags and instance counts of load orders, are masked.  Commands to the worker
    are sorted, without duplicates.
    """
    to_worker, to_list = set[bytes](), set[bytes]()
    call_hangs, call_cancelled = asyncio.Event(), asyncio.Event()

    async def worker(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                command, id_, *rest = line.split()
                body = await reader.readexactly(int(rest[-1]) + 2) if command == b"CALL" else b""
                to_worker.add(re.sub(rb"limit=[0-9]+", b"limit=...", line) + body)
                if command == b"LOAD":
                    writer.write(id_ + b" OK units=1 0\r\n\r\n")
                elif command == b"CANCEL":
                    call_cancelled.set()
                elif body.startswith(b"hang"):
                    call_hangs.set()
                else:
                    writer.write(id_ + b" OK tell=up,meter=cpu:0.5;x0:0.2 6\r\nresult\r\n")
        writer.close()

    async def endpoint_list(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            to_list.add(await reader.readexactly(8))
            await reader.read()
        writer.close()

    worker_server = await asyncio.start_server(worker, "127.0.0.1", 0)
    list_server = await asyncio.start_server(endpoint_list, "127.0.0.1", 0)
    config = json.loads(json.dumps(BYTES["config"]["told"]))
    target = config["known"]["entries"][0]["hosts"]["targets"][0]
    target |= {"endpoint": f"127.0.0.1:{worker_server.sockets[0].getsockname()[1]}", "boot_ms": 0}
    config["known"] = {"pos": 1, "entries": [{"pos": 1, "hosts": {"rev": 1, "all": True, "targets": [target]}}]}
    config["settings"]["specifics"]["not_loaded"] = "miss"  # needed for the dispatcher to order loads
    for request_class in config["settings"]["classes"]:
        request_class["give_up_us"] = 20_000_000
    # In this file, `journal` is the address of the endpoint list.
    config |= {"listen": "127.0.0.1:0", "journal": f"127.0.0.1:{list_server.sockets[0].getsockname()[1]}"}
    service = Service(asyncio.get_running_loop(), platform_config.parse(json.dumps(config)))
    reader, writer = await asyncio.open_connection("127.0.0.1", service.open())
    frame_reader = frames.FrameReader()
    to_client: list[bytes] = []

    async def send_until_answered(request_data: bytes) -> None:
        writer.write(request_data)
        while (frame := frame_reader.next()) is None:
            frame_reader.feed(await reader.read(65536))
        to_client.append(frames.encode_frame(*frame))

    def request(stream: int, body: bytes, **changes: str) -> bytes:
        fields = {"verb": "t", "txn": f"{stream:016x}", "limit": "15000", "team": "acme", "item": FUNCTION}
        fields |= {"info": "memory_mb:512;lanes:2"} | changes
        return frames.encode_frame(frames.REQUEST, stream, frames.encode_fields(fields) + body)

    await send_until_answered(frames.encode_frame(frames.READY_QUERY, 7, b"\0"))
    await send_until_answered(request(3, b"hello\r\n"))
    await send_until_answered(request(4, b"", verb="k", unique="key-1"))
    await send_until_answered(request(5, b"", team="nobody"))
    writer.write(request(6, b"hang"))
    await call_hangs.wait()
    writer.write(frames.encode_frame(frames.CANCEL, 6))
    await call_cancelled.wait()
    service.shut_down()
    await send_until_answered(b"")  # sends nothing; reads the GO_AWAY frame
    writer.close()
    service.close()
    worker_server.close()
    list_server.close()
    return {
        "client": [data.hex() for data in to_client],
        "worker": sorted(data.decode() for data in to_worker if data[:4] != b"LOAD"),
        "orders": sorted(
            {re.sub("( o|units=)[0-9]+", r"\1...", order.decode()) for order in to_worker if order[:4] == b"LOAD"}
        ),
        "list": sorted(data.hex() for data in to_list),
    }


def test_platform_service_sends_the_recorded_messages() -> None:
    """The client receives the recorded frames, the worker the recorded lines, and the endpoint list the poll."""
    assert run(record_platform_service_traffic()) == SOCKETS["platform"]


async def record_endpoint_client_traffic(tmp_path: Path) -> dict[str, Any]:
    """Run a client of the endpoint service, and return its polls and the lists that it applies."""
    polls: list[str] = []
    lists: list[Any] = []
    polled_twice = asyncio.Event()
    body = json.dumps(SOCKETS["listing"]).encode()

    async def endpoint_service(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                polls.append((await reader.readuntil(b"\r\n\r\n")).decode())
                if len(polls) == 2:
                    polled_twice.set()
                    await asyncio.sleep(10)
                writer.write(http.encode_response(200, body))

    server = await asyncio.start_server(endpoint_service, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = EndpointClient(address, "d1/r1", lists.append, tmp_path / "last.json", logging.getLogger("test"), 1500.0)
    client.address, client.channel_address, client.zone = "10.0.1.1:8", "10.0.1.1:9", "south"
    task = asyncio.create_task(client.follow())
    await polled_twice.wait()
    task.cancel()
    server.close()
    restarted = EndpointClient(address, "d1/r2", lists.append, tmp_path / "last.json", logging.getLogger("test"))
    return {
        "questions": [poll.replace(address, "ADDRESS") for poll in polls],
        "from_last": restarted.load_saved(),
        "lists": to_json_types(lists),
    }


def test_endpoint_list_is_polled_and_read_as_recorded(tmp_path: Path) -> None:
    """Covers the long poll's target with all parameters, the list in an answer, and the list saved for a restart."""
    assert json_text(run(record_endpoint_client_traffic(tmp_path))) == json_text(SOCKETS["followed"])


async def query_emulated_endpoint_service() -> Any:
    """Register workers at the emulated endpoint service and return its list, with the lineage and the ages masked."""
    service = EndpointService(Capture(None, "list"))
    client = HttpClient(f"127.0.0.1:{service.server.listen('127.0.0.1', 0)}")
    for target, body in SOCKETS["told_to_list"]:
        assert (await client.request("POST", target, body)).status == 200
    target = "/workers?who=d1/r1&at=10.0.1.1:8&channel=10.0.1.1:9&hall=south&known=&wait=0"
    listed = json.loads((await client.request("GET", target)).body)
    client.close()
    service.server.stop_listening()
    listed["lineage"] = "..."
    registered_age_ms = 1000  # as in the fixture's `told_to_list`
    for worker in listed["workers"]:
        assert registered_age_ms <= worker["age_ms"] < 20_000
        worker["age_ms"] = 0
    return listed


def test_emulated_endpoint_service_answers_as_recorded() -> None:
    """Covers `POST /register`, `POST /state` and `GET /workers`: paths, keys and values."""
    assert json_text(run(query_emulated_endpoint_service())) == json_text(SOCKETS["list"])
