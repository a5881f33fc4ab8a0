"""What others read and write, compared with fixtures that were made before the renaming (tests/fixtures/wire).

Messages are compared by position and by bytes, settings by their values in order, so a class, a field or a module may
get another name, and nothing on the wire may.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import json
from collections.abc import Mapping
from pathlib import Path, PurePath
from typing import Any

import msgspec
import pytest
import zstandard

import kelptrail.copies.terms as copies_terms
import kelptrail.lease.terms as lease_terms
import kelptrail.planner.channel as planner_channel
import kelptrail.service.usage as usage_terms
from kelptrail.badday import script
from kelptrail.drill.__main__ import Drill
from kelptrail.lab import experiment
from kelptrail.peers import wire
from kelptrail.planner import plan
from kelptrail.settings import deployment

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
    if isinstance(value, list | tuple):
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
    before = [] if name.startswith("hello") else [wire.frame(kinds["hello"](2, "a", "b"))]
    *_, message = reader.feed(b"".join([*before, data]))
    assert type(message) is kinds[name.partition("/")[0]]
    assert plain(message) == told["values"]
    assert wire.frame(message) == data


def test_channel_reads_short_messages_of_version_1() -> None:
    """Fields that version 1 did not send take their defaults; the hello of version 1 is still taken."""
    for told in CHANNEL["short"]:
        reader = wire.FrameReader(wire.decoder())
        assert [plain(message) for message in reader.feed(bytes.fromhex(told["bytes"]))] == told["values"]
    assert CHANNEL["versions"] == [wire.VERSION, wire.OLDEST, wire.MOST_FRAME]


@pytest.mark.parametrize("name", CHANNEL["plans"])
def test_plan_keeps_its_bytes(name: str) -> None:
    """A packed plan, whole or as changes, is read as its values; what is packed again says the same bytes under the
    compression, whose own bytes belong to its library."""
    told = CHANNEL["plans"][name]
    packet = plan.unpack(bytes.fromhex(told["packed"]))
    assert plain(packet) == told["values"]
    assert msgspec.msgpack.encode(packet).hex() == told["inner"]
    if packet.base == 0:
        again = plan.pack(plan.Plan(packet.head, packet.wants), packet.age_ms)
        assert zstandard.ZstdDecompressor().decompress(again).hex() == told["inner"]
        assert plan.digest_of(packet.head, packet.wants).hex() == told["digest"]


def test_notes_and_digests_of_books_keep_their_bytes() -> None:
    """The note with a book's lease, the ranges of ids and the digests that two dispatchers compare."""
    told = CHANNEL["books"]
    data = bytes.fromhex(told["note"])
    members = copies_terms.read_note(data)
    assert plain(members) == told["members"]
    assert copies_terms.note(members) == data
    assert {id_: copies_terms.bucket_of(id_) for id_ in told["buckets"]} == told["buckets"]
    assert [copies_terms.digest("a", 1, 2), copies_terms.digest("b", 3, 4)] == told["digests"]
    assert copies_terms.pack_digests(told["digests"]).hex() == told["packed"]
    assert copies_terms.unpack_digests(bytes.fromhex(told["packed"])) == told["digests"]
    assert told["constants"] == [copies_terms.BUCKETS, copies_terms.DIGEST, copies_terms.PREFIX]


# The simulator's protocol.


@pytest.mark.parametrize("name", ["two-dispatchers", "no-cancel-no-load-control"])
def test_simulator_gets_the_recorded_replies(name: str) -> None:
    """A recorded conversation at the simulator's door, line for line: requests of three classes, answers of all nine
    endings, refusals, revocations, changes of the list, timers, an instance that ends and one that begins.  The first
    is of two dispatchers with all that is allowed, the second of one that may neither cancel, nor try twice, nor order
    copies."""
    sent = (FIXTURES / f"drill-{name}.in.jsonl").read_text(encoding="utf-8").splitlines()
    expected = (FIXTURES / f"drill-{name}.out.jsonl").read_text(encoding="utf-8").splitlines()
    drill = Drill()
    for number, (line, reply) in enumerate(zip(sent, expected, strict=True), 1):
        assert json.dumps(drill.reply(line), separators=(",", ":")) == reply, f"line {number}: {line}"


# Settings.

SETTINGS: dict[str, Any] = stored("settings")
READERS = {"examples": deployment.load, "bad-days": script.load, "experiments": experiment.load}


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
