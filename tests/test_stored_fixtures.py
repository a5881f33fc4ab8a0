"""Files that earlier revisions wrote are read as they were meant: bytes under `fixtures/stored`, values as literals.

A test opens a copy of a file with today's code, compares every field with a literal and, where the program writes such
bytes, checks that it writes the same again.  Values are handed to the types by place: names on disk need not be those
of the code.  A failure here means that a fleet which is upgraded loses or misreads what it has on disk.
"""

from __future__ import annotations

import shutil
from datetime import UTC, datetime
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from zlib import crc32

import apsw
import msgspec
import pytest
import zstandard
from cryptography import x509
from program import RecordingLog, run
from pyarrow import parquet
from test_edge import FAST

from kelptrail.certificates.authority import Authority, describe, read_certificate
from kelptrail.certificates.names import key_digest
from kelptrail.fault_scenario.report import latencies, lease_holders, timeline
from kelptrail.history_checker.checker import check_history, read_captures
from kelptrail.lease.acceptor import DurableState, Stage, Write
from kelptrail.lease.acceptor_store import AcceptorStore, open_acceptor_store
from kelptrail.lease.messages import NO_NOTE, FencingToken, LeaseNote, LeaseRow
from kelptrail.load import results
from kelptrail.load.arrivals import read_trace
from kelptrail.membership.client import EndpointClient
from kelptrail.membership.members import Endpoint, EndpointList, Peer, id_prefix
from kelptrail.planner.driver import PlannerDriver, PlannerOptions, Snapshot
from kelptrail.planner.edge_driver import PlanFollower, SavedPlan
from kelptrail.planner.plan import Plan, PlanHeader, digest_of
from kelptrail.replication.messages import InSyncSet, ReplicaEntry, decode_in_sync, encode_in_sync
from kelptrail.replication.replica import ReplicaWrite
from kelptrail.replication.replica_store import ReadRequest, ReplicaStore, open_replica_store
from kelptrail.settings.deployment import parse
from kelptrail.simulation.compare import compare
from kelptrail.store.activation_journal import ActivationEntries, open_journal
from kelptrail.store.entries import Accepted, Ended, MayRun, decode_entry, encode_entry
from kelptrail.vrrp.driver import next_epoch

STORED = Path(__file__).parent / "fixtures" / "stored"
T = 1764684000000.0  # the wall clock's ms in all of them
TEXT = b'{"text":"' + b"kelp " * 400 + b'"}'  # is stored compressed from format 2 on
TENSORS = b'{"inputs":[{"name":"x","datatype":"FP32","shape":[2],"data":[1.5,-2.0]}]}'
TRACE = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
NORTH, SOUTH, WEST = "north.1f2e3d4c5b6a", "south.00aa11bb22cc", "west.9988776655ff"  # books


def copy(name: str, folder: Path) -> Path:
    """A file's copy, as opening one may change it."""
    return Path(shutil.copy(STORED / name, folder / Path(name).name))


def ask(file: Path, text: str, *values: Any) -> list[tuple[Any, ...]]:
    """Rows of a file by the library alone, without the program's code."""
    db = apsw.Connection(str(file))
    try:
        return list(db.execute(text, values))
    finally:
        db.close()


def id_of(number: int) -> str:
    """The id of an activation in these files."""
    return f"5a3f9c{number:026x}"


def written_again(entry: Accepted | MayRun | Ended, body: bytes) -> bytes:
    """What an entry is written as.  A compressed result is taken over as it is: its bytes are the compressor's choice,
    and may differ with its release."""
    raw = msgspec.msgpack.decode(body)
    if raw.get("packed"):
        entry = Ended(
            raw["id"],
            raw["end"],
            raw["answer"],
            raw["code"],
            raw["result"],
            raw["return_ms"],
            raw["repeat_within_ms"],
            raw["sends"],
            True,
        )
    return encode_entry(entry)[0]


# --- The book.


def lives_of_format_3() -> list[ActivationEntries]:
    """What the file in format 3 holds, in order."""
    raw = next(body for (body,) in ask(STORED / "book-format-3.sqlite", NOISE, id_of(5)))
    noise = msgspec.msgpack.decode(raw)["result"]
    assert len(noise) == 1100 and crc32(noise) == NOISE_CRC
    return [
        ActivationEntries(
            Accepted(id_of(1), "north", "desk/sum", T + 0.25, 60000.0, b'{"a":1}', None, "", "", True, "json")
        ),
        ActivationEntries(
            Accepted(
                id_of(2),
                "north",
                "desk/sum",
                T + 1.5,
                900.0,
                b'{"a":2}',
                "order-17",
                "sha256:ab12",
                TRACE,
                True,
                "json",
            ),
            MayRun(id_of(2), T + 7.75, "worker-3"),
        ),
        ActivationEntries(
            Accepted(id_of(3), "south", "desk/see", T + 2.0, 5000.0, TENSORS, None, "", "", False, "tensors"),
            MayRun(id_of(3), T + 9.0, "worker-1"),
            Ended(id_of(3), T + 44.5, "completed", 0, b'{"outputs":[]}', 1.25, 2.5, 2, False),
        ),
        ActivationEntries(
            Accepted(id_of(4), "south", "päck/grüß", T + 3.0, 1000.0, b"\x00\xff\x80", None, "", "", True, "json"),
            None,
            Ended(id_of(4), T + 4.0, "completed", 0, TEXT, 0.0, 0.0, 1, False),
        ),
        ActivationEntries(
            Accepted(id_of(5), "south", "desk/raw", T + 4.0, 1000.0, b"", None, "", "", True, "json"),
            None,
            Ended(id_of(5), T + 5.0, "completed", 2, noise, 0.0, 0.0, 1, False),
        ),
        ActivationEntries(
            Accepted(id_of(6), "north", "desk/sum", T + 5.0, 250.0, b"{}", None, "", "", True, "json"),
            None,
            Ended(id_of(6), T + 255.0, "rejected", 3, b'{"error":"no time is left"}', 0.0, 0.0, 0, False),
        ),
        ActivationEntries(
            Accepted(id_of(7), "north", "desk/sum", T + 6.0, 250.0, b"{}", "order-18", "sha256:cd34", "", True, "json"),
            MayRun(id_of(7), T + 8.0, "worker-2"),
            Ended(id_of(7), T + 300.0, "aborted", 3, b'{"error":"it may have run"}', 0.0, 86400000.0, 3, False),
        ),
    ]


NOISE = "SELECT body FROM entries WHERE id = ? AND kind = 2"
NOISE_CRC = 0xEE3BB58D


def test_a_book_in_format_3_gives_what_was_written(tmp_path: Path) -> None:
    """Every field of accepted, may-run and ended entries: deferred and not, with a key, with tensors, bytes that are no
    text, a compressed and an incompressible result, each of the three ends; an orphan is dropped."""
    file = copy("book-format-3.sqlite", tmp_path)
    assert ask(file, "SELECT kind FROM entries WHERE id = ?", id_of(8)) == [(1,)], "an orphan"
    book, aside = open_journal(file)
    assert aside is None
    assert list(book.activations()) == lives_of_format_3()
    assert book.damaged == 0 and book.count() == 7
    book.close()
    assert ask(file, "SELECT kind FROM entries WHERE id = ?", id_of(8)) == []


def test_entries_of_format_3_are_written_again_byte_for_byte() -> None:
    """Names, tags, order of fields and checksums on disk are what they were: else an older program, or another holder
    of a book, would see other entries."""
    rows = ask(STORED / "book-format-3.sqlite", "SELECT kind, start, crc, body FROM entries ORDER BY id, kind")
    assert len(rows) == 16
    for kind, start, crc, body in rows:
        entry = decode_entry(body, crc)
        assert type(entry) is (Accepted, MayRun, Ended)[kind]
        assert start == (msgspec.msgpack.decode(body)["start"] if kind == 0 else 0.0)
        assert written_again(entry, body) == body


def test_a_book_written_today_holds_the_rows_of_format_3(tmp_path: Path) -> None:
    """The same lives, written to a new file: same format, same tables, same rows.  Compressed results are compared by
    what they unpack to."""
    book, _ = open_journal(tmp_path / "new")
    for life in lives_of_format_3():
        book.commit([e for e in (life.accepted, life.may_run, life.ended) if e is not None])
    book.commit([MayRun(id_of(8), T + 8.0, "worker-2")])
    book.close()
    old, new = STORED / "book-format-3.sqlite", tmp_path / "new"
    assert ask(new, "PRAGMA user_version") == ask(old, "PRAGMA user_version") == [(3,)]
    schema = "SELECT type, name, tbl_name, sql FROM sqlite_schema ORDER BY name"
    assert ask(new, schema) == ask(old, schema)
    rows = "SELECT id, kind, start, crc, body FROM entries WHERE NOT (id = ? AND kind = 2) ORDER BY id, kind"
    assert ask(new, rows, id_of(4)) == ask(old, rows, id_of(4))
    ((crc, body),) = ask(new, "SELECT crc, body FROM entries WHERE id = ? AND kind = 2", id_of(4))
    assert msgspec.msgpack.decode(body)["packed"] is True and decode_entry(body, crc) == lives_of_format_3()[3].ended


@pytest.mark.parametrize(
    ("number", "digest"), [pytest.param(1, "", id="format-1"), pytest.param(2, "sha256:ab12", id="format-2")]
)
def test_a_book_in_an_older_format_is_read_and_brought_to_format_3(tmp_path: Path, number: int, digest: str) -> None:
    """Format 1: the table `rows`, no digest, no compression.  Format 2: no form.  What was added has its default; old
    rows stay as they are."""
    file = copy(f"book-format-{number}.sqlite", tmp_path)
    table = "rows" if number == 1 else "entries"
    before = ask(file, f"SELECT * FROM {table} ORDER BY id, kind")
    assert ask(file, "PRAGMA user_version") == [(number,)]
    assert len(before) == 4
    assert all("form" not in msgspec.msgpack.decode(row[4]) for row in before)
    expected = [
        ActivationEntries(
            Accepted(id_of(1), "north", "desk/sum", T + 0.25, 60000.0, b'{"a":1}', None, "", "", True, "json")
        ),
        ActivationEntries(
            Accepted(
                id_of(2),
                "north",
                "desk/sum",
                T + 1.5,
                900.0,
                b'{"a":2}',
                "order-17",
                digest,
                "trace-2",
                False,
                "json",
            ),
            MayRun(id_of(2), T + 7.75, "worker-3"),
            Ended(id_of(2), T + 44.5, "completed", 0, TEXT, 1.25, 2.5, 2, False),
        ),
    ]
    book, aside = open_journal(file)
    assert aside is None and list(book.activations()) == expected and book.damaged == 0
    book.close()
    assert ask(file, "PRAGMA user_version") == [(3,)]
    assert ask(file, "SELECT * FROM entries ORDER BY id, kind") == before
    again, aside = open_journal(file)
    assert aside is None and list(again.activations()) == expected
    again.close()


# --- Books with copies.


def test_shelves_in_format_1_give_what_was_written(tmp_path: Path) -> None:
    """The disk's name, each book's token and owner (one book was shut: its token alone stays), its lives with times by
    this machine's clock, and the digests that holders compare."""
    file = copy("copies.sqlite", tmp_path)
    assert ask(file, "PRAGMA user_version") == [(1,)]
    shelves, aside = open_replica_store(file)
    assert aside is None and shelves.disk_id == "f49c05565e22"
    assert shelves.fences() == {
        NORTH: (FencingToken(7, "north/1f2e3d4c"), "north"),
        SOUTH: (FencingToken(3, "south/77"), "south"),
        WEST: (FencingToken(2, "west/5"), ""),
    }
    assert shelves.activation_ids() == {id_of(1), id_of(2), id_of(3)}
    assert {b: {n: d for n, d in enumerate(shelves.digests_of(b)) if d} for b in (NORTH, SOUTH, WEST)} == {
        NORTH: {90: 16026056754501041349, 224: 1633695219369970741},
        SOUTH: {204: 11394445161795177697},
        WEST: {},
    }
    first, second = ReadRequest(NORTH), ReadRequest(SOUTH)
    shelves.commit([first, second])
    wall = T + 100_000.0  # when it came here, by the holder's clock
    one = Accepted(
        id_of(1),
        "north",
        "desk/sum",
        wall - 252.5,
        60000.0,
        b'{"a":1}',
        "order-17",
        "sha256:ab12",
        "trace-1",
        True,
        "json",
    )
    two = Accepted(id_of(2), "north", "desk/see", wall - 500.0, 5000.0, b'{"inputs":[]}', None, "", "", True, "tensors")
    assert sorted(first.activations, key=lambda life: life.accepted.id) == [
        ActivationEntries(one),
        ActivationEntries(
            two,
            MayRun(id_of(2), wall - 125.0, "worker-3"),
            Ended(id_of(2), wall - 500.0 + 43.5, "completed", 0, TEXT, 1.25, 2.5, 2, False),
        ),
    ]
    three = Accepted(id_of(3), "south", "desk/sum", wall + 1, 900.0, b"{}", None, "", "", True, "json")
    assert second.activations == [ActivationEntries(three)]
    assert first.damaged == second.damaged == 0
    shelves.close()


def test_a_bucket_of_shelves_is_handed_on_as_the_bytes_on_disk(tmp_path: Path) -> None:
    """Copies are sent on as they are stored: kinds, ages and bodies of a bucket, and the bodies are written again byte
    for byte."""
    file = copy("copies.sqlite", tmp_path)
    bodies = dict(ask(file, "SELECT kind, body FROM entries WHERE id = ?", id_of(2)))
    shelves, _ = open_replica_store(file)
    bucket = ReadRequest(NORTH, 90, T + 101_000.0)
    shelves.commit([bucket])
    assert bucket.entries == (
        ReplicaEntry(id_of(2), 0, 1500.0, bodies[0]),
        ReplicaEntry(id_of(2), 1, 1125.0, bodies[1]),
        ReplicaEntry(id_of(2), 2, 1500.0, bodies[2]),
    )
    for body in bodies.values():
        assert written_again(decode_entry(body, crc32(body)), body) == body
    shelves.close()


def test_shelves_written_today_hold_the_rows_of_format_1(tmp_path: Path) -> None:
    """The stored entries put again into a new file: same format, tables, buckets, times, checksums and bodies."""
    old, new = STORED / "copies.sqlite", tmp_path / "new"
    shelves = ReplicaStore(new)
    wall = T + 100_000.0
    books = ((NORTH, 7, "north/1f2e3d4c", "north", wall), (SOUTH, 3, "south/77", "south", wall + 1))
    for book, round_, who, owner, at in books:
        found = ask(old, "SELECT id, kind, since, body FROM entries WHERE book = ?", book)
        items = tuple(ReplicaEntry(id_, kind, at - since, body) for id_, kind, since, body in found)
        shelves.commit(
            [
                ReplicaWrite(book, fence=(FencingToken(round_, who), owner), wall_ms=at),
                ReplicaWrite(book, entries=items, wall_ms=at),
            ]
        )
    shelves.commit([ReplicaWrite(WEST, fence=(FencingToken(2, "west/5"), ""), closes=True, wall_ms=wall + 3)])
    shelves.close()
    for text in (
        "PRAGMA user_version",
        "SELECT type, name, tbl_name, sql FROM sqlite_schema ORDER BY name",
        "SELECT * FROM shelves ORDER BY book",
        "SELECT * FROM entries ORDER BY book, bucket, id, kind",
    ):
        assert ask(new, text) == ask(old, text)


MEMBERS = InSyncSet("north", {"north": "0a1b2c3d4e5f", "south": "ffeeddccbbaa", "pär": ""})


def test_the_note_with_a_books_lease_is_read_and_written_the_same() -> None:
    """Who owned a book and who has the whole of it on which disk; whoever takes the book over goes by it."""
    text = (STORED / "lease-note-of-a-book.bin").read_bytes()
    assert decode_in_sync(text) == MEMBERS
    assert (MEMBERS.primary, MEMBERS.disk_ids) == (
        "north",
        {"north": "0a1b2c3d4e5f", "south": "ffeeddccbbaa", "pär": ""},
    )
    assert encode_in_sync(MEMBERS) == text


# --- A voter's ledger.


USAGE = LeaseRow("usage", FencingToken(41, "north/1f2e3d4c"), 3000.0, False, NO_NOTE)
GIVEN_BACK = LeaseRow("vrrp/12", FencingToken(5, "south/77"), 2500.5, True, NO_NOTE)


def test_a_ledger_in_format_2_gives_what_was_written(tmp_path: Path) -> None:
    """The voter's memory and each task's token, length, whether it was given back, and last note."""
    file = copy("leases-format-2.sqlite", tmp_path)
    ledger, memory, rows, reason = open_acceptor_store(file)
    ledger.close()
    text = (STORED / "lease-note-of-a-book.bin").read_bytes()
    book = LeaseRow(
        "book/" + NORTH,
        FencingToken(7, "north/1f2e3d4c"),
        10000.0,
        False,
        LeaseNote(FencingToken(6, "west/5"), 9, text),
    )
    assert reason == "" and memory == DurableState(4, Stage.VOTING, True)
    assert rows == (book, USAGE, GIVEN_BACK)
    assert decode_in_sync(rows[0].note.text) == MEMBERS


def test_a_ledger_in_format_1_is_read_and_brought_to_format_2(tmp_path: Path) -> None:
    """Its rows had no note; tokens granted before must still be known, as the next must be above them."""
    file = copy("leases-format-1.sqlite", tmp_path)
    assert ask(file, "PRAGMA user_version") == [(1,)]
    bodies = [body for (body,) in ask(file, "SELECT body FROM kept WHERE name != '' ORDER BY name")]
    assert [len(msgspec.msgpack.decode(body)) for body in bodies] == [4, 4]
    ledger, memory, rows, reason = open_acceptor_store(file)
    ledger.close()
    assert reason == "" and memory == DurableState(4, Stage.VOTING, True) and rows == (USAGE, GIVEN_BACK)
    assert ask(file, "PRAGMA user_version") == [(2,)]


def test_a_ledger_written_today_holds_the_rows_of_format_2(tmp_path: Path) -> None:
    """What was read from the file, written to a new one: same format, table, names, checksums and bodies."""
    old, new = copy("leases-format-2.sqlite", tmp_path), tmp_path / "new"
    ledger, memory, rows, _ = open_acceptor_store(old)
    ledger.close()
    ledger = AcceptorStore(new)
    ledger.commit([Write(1, rows, memory)])
    ledger.close()
    for text in ("PRAGMA user_version", "SELECT name, sql FROM sqlite_schema", "SELECT * FROM kept ORDER BY name"):
        assert ask(new, text) == ask(STORED / "leases-format-2.sqlite", text)


@pytest.mark.parametrize(
    ("body", "memory"),
    [
        pytest.param("930ca5656d707479c2", DurableState(12, Stage.EMPTY, False), id="empty"),
        pytest.param("930ca8666f756e64696e67c2", DurableState(12, Stage.FOUNDING, False), id="founding"),
        pytest.param("930ca86368616e67696e67c3", DurableState(12, Stage.CHANGING, True), id="changing"),
        pytest.param("930ca6766f74696e67c2", DurableState(12, Stage.VOTING, False), id="voting"),
    ],
)
def test_each_stage_of_a_voter_is_read_and_written_the_same(tmp_path: Path, body: str, memory: DurableState) -> None:
    """The row without a name: number of the set, stage, whether all of the set before is remembered."""
    file, raw = copy("leases-format-2.sqlite", tmp_path), bytes.fromhex(body)
    ask(file, "INSERT OR REPLACE INTO kept VALUES ('', ?, ?)", crc32(raw), raw)
    ledger, found, rows, reason = open_acceptor_store(file)
    assert reason == "" and found == memory and len(rows) == 3
    ledger.commit([Write(1, (), memory)])
    ledger.close()
    assert ask(file, "SELECT crc, body FROM kept WHERE name = ''") == [(crc32(raw), raw)]


# --- Other files in STATE.


def plan_on_disk() -> Plan:
    """The plan in `plan.bin`."""
    seal = bytes.fromhex("51c3f63de17a6ff9d3d20c062ab274af")
    return Plan(
        PlanHeader("coast", 9, "planner-1", 14, 90000.0, ("bb9b7433", 7), seal),
        {"desk-sum": {"worker-1": 2, "worker-2": 1}, "desk-see": {"worker-2": 3}},
    )


def unpacked(name: str) -> bytes:
    """A file's bytes without its compression."""
    return zstandard.ZstdDecompressor().decompress((STORED / name).read_bytes(), 1 << 20)


def test_an_edge_takes_up_the_plan_on_disk(tmp_path: Path) -> None:
    """`STATE/plan.bin`: an edge that starts without a planner follows the plan that it had."""
    file, told = copy("plan.bin", tmp_path), list[Any]()
    workers = [SimpleNamespace(id=name, live=True) for name in ("worker-1", "worker-2")]
    gateway: Any = SimpleNamespace(members=workers, on_plan=told.append)

    async def main() -> None:
        log = RecordingLog()
        edge = PlanFollower([], "edge", "coast", gateway, lambda: None, file, log)
        assert edge.load_saved_plan() and log.lines == []
        assert edge.plan_state.plan == plan_on_disk() and edge.plan_state.fence == (9, "planner-1", 14)

    run(main())
    assert told == [plan_on_disk().instances]


def test_a_plan_on_disk_is_sealed_and_written_as_before() -> None:
    """The digest over what a plan says, and the bytes of `plan.bin` before compression."""
    plan = plan_on_disk()
    assert digest_of(plan.header, plan.instances) == plan.header.digest
    assert msgspec.msgpack.encode(SavedPlan(plan, 60000.0, 4e12)) == unpacked("plan.bin")


def test_a_planner_takes_up_its_snapshot(tmp_path: Path) -> None:
    """`STATE/planner.bin`: the plan that a planner goes on from, and what was usual by hour; written as before."""
    copy("planner.bin", tmp_path)
    wants = {"check": {"worker-1": 2}, "grant": {"worker-1": 1, "worker-2": 1}}
    hours = {"check": [n * 0.5 for n in range(24)], "grant": [0.0] * 23 + [4.25]}
    leases: Any = SimpleNamespace()

    async def main() -> None:
        options = PlannerOptions("planner-0", "127.0.0.1", 0, "", tmp_path, None, "greedy")
        planner = PlannerDriver(parse(FAST, "fast"), options, leases, 1000.0, RecordingLog())
        assert planner.restore()
        assert planner.planner.target == wants
        assert {name: planner.planner.demand.functions[name].hourly_rates for name in hours} == hours

    run(main())
    assert msgspec.msgpack.encode(Snapshot(9, wants, hours)) == unpacked("planner.bin")


def test_the_last_worker_list_is_taken_up(tmp_path: Path) -> None:
    """`STATE/last-list.json`, as a roster had sent it: all that a dispatcher knows of workers and of other dispatchers
    until a roster answers.  Its version and lineage are dropped."""
    found = list[EndpointList]()
    log = RecordingLog()
    client = EndpointClient("127.0.0.1:1", "dispatcher-1", found.append, copy("last-list.json", tmp_path), log)
    assert client.load_saved() and log.lines == []
    workers = [
        Endpoint("worker-1", "127.0.0.1:40411", "live", "5a6b0ce3", 6592.870176000055, "south", 0, 0, 1.0),
        Endpoint("worker-0", "127.0.0.1:33225", "live", "c7409d81", 6544.928987000079, "north", 0, 0, 1.0),
    ]
    peers = [Peer("dispatcher-0", "127.0.0.1:43649", "", ""), Peer("dispatcher-1", "127.0.0.1:44799", "", "")]
    assert found == [EndpointList(-1, workers, "last", peers)]


def test_the_epoch_of_a_shared_address_only_grows(tmp_path: Path) -> None:
    """`STATE/vrrp-epoch`: digits alone.  With a smaller number after an upgrade its packets would be refused as old."""
    file = copy("vrrp-epoch", tmp_path)
    assert next_epoch(file) == 4_000_000_000_001 and file.read_bytes() == b"4000000000001"


# --- Keys.


def test_a_folder_of_an_authority_is_shown_and_goes_on_issuing(tmp_path: Path) -> None:
    """Names, uses, serials and ends of what was issued, the one before a rotation too; a rotation keeps names and use,
    and what is issued now is signed by the stored key."""
    folder = Path(shutil.copytree(STORED / "keys", tmp_path / "keys"))
    begins, soon = datetime(2026, 12, 2, 11, 55, tzinfo=UTC), datetime(2036, 11, 29, 12, 0, tzinfo=UTC)
    late = datetime(2126, 11, 8, 12, 0, tzinfo=UTC)
    front = ["front", "127.0.0.1", "front.example"]
    authority = Authority(folder)
    assert [(i.name, i.names, i.usage, i.serial, i.valid_from, i.valid_until) for i in authority.list_issued()] == [
        ("authority", ["kelptrail-fixtures"], "authority", "3aa1950db5f7229ff3ab85833dff0e0a0017b90e", begins, late),
        ("both", ["both"], "server+client", "e769ef89092102112b1ed098806fdd3789c4aab", begins, soon),
        (
            "caller-one",
            ["caller-one", "spiffe://coast/caller-one"],
            "client",
            "105a907b67002346467ba536d5189149a1a342ee",
            begins,
            soon,
        ),
        ("front", front, "server", "533585f17147bad75dcc565ba4fedd022ac85e38", begins, soon),
    ]
    old = describe("front", read_certificate((folder / "front.pem.old").read_bytes()))
    assert (old.names, old.serial) == (front, "5807c6a6f91d35842d3d1820870e0b853a62d565")
    kept = (folder / "front.pem").read_bytes()
    rotated = authority.rotate("front", 30, datetime(2027, 1, 1, tzinfo=UTC))
    assert (rotated.names, rotated.usage) == (front, "server")
    assert (folder / "front.pem.old").read_bytes() == kept
    root = x509.load_pem_x509_certificate((STORED / "keys" / "authority.pem").read_bytes())
    read_certificate((folder / "front.pem").read_bytes()).verify_directly_issued_by(root)


def test_the_digest_of_a_namespaces_key_stays() -> None:
    """Settings hold digests alone: with another one every caller would be refused."""
    assert key_digest("desk-key-1") == "sha256:ac23cb81a08de5755491ecbfbd28d61fa70d80423dfd144fe99647b80cbb4d93"


# --- What a run of processes left: its book, captures and report.


def test_the_book_of_a_dispatcher_that_ran_is_read_whole(tmp_path: Path) -> None:
    """As processes wrote it under load: nothing is damaged, entries are written again byte for byte, and ids begin with
    what the dispatcher's name gives, by which others know whom to ask."""
    file = copy("day/book.sqlite", tmp_path)
    rows = ask(file, "SELECT kind, crc, body FROM entries ORDER BY id, kind")
    assert [sum(kind == k for kind, _, _ in rows) for k in (0, 1, 2)] == [9, 4, 9]
    assert all(written_again(decode_entry(body, crc), body) == body for _, crc, body in rows)
    book, aside = open_journal(file)
    lives = list(book.activations())
    book.close()
    assert aside is None and book.damaged == 0 and len(lives) == 9
    assert all(life.ended is not None and life.ended.answer == "completed" for life in lives)
    assert {life.accepted.id[:6] for life in lives} == {id_prefix("dispatcher-1")} == {"1112a1"}
    (keyed,) = [life for life in lives if life.accepted.id == "1112a179d976af530000000000000008"]
    assert keyed == ActivationEntries(
        Accepted(
            "1112a179d976af530000000000000008",
            "families",
            "places/place-activate",
            1796220253508.982,
            5000.0,
            b'{"ticket":"t13"}',
            "t13",
            "0d847dd4fff8bb265f89b3d6427788c1",
            "00-bc57cd285b7a56d1000000000000000b-000000000000000b-00",
            False,
            "json",
        ),
        MayRun("1112a179d976af530000000000000008", 1796220253510.3223, "worker-1"),
        Ended(
            "1112a179d976af530000000000000008",
            1796220253559.3992,
            "completed",
            0,
            b'{"by":"place-activate","echo":{"ticket":"t13"}}',
            0.0,
            0.0,
            1,
            False,
        ),
    )


def test_the_copies_of_a_dispatcher_that_ran_are_read_whole(tmp_path: Path) -> None:
    """As processes wrote them, a machine lost meanwhile: tokens and owners of three books, of which one was taken over,
    all lives, and bodies that are written again byte for byte."""
    file = copy("day-of-leases/copies.sqlite", tmp_path)
    bodies = [body for (body,) in ask(file, "SELECT body FROM entries")]
    assert len(bodies) == 10
    assert all(written_again(decode_entry(body, crc32(body)), body) == body for body in bodies)
    shelves, aside = open_replica_store(file)
    assert aside is None and shelves.fences() == {
        "dispatcher-0.b733a7160eac": (FencingToken(6, "dispatcher-0/eb45c6d5"), "dispatcher-0"),
        "dispatcher-4.d9c91e73a1a4": (FencingToken(6, "dispatcher-4/e16ef1cd"), "dispatcher-4"),
        "dispatcher-6.6f14cf209f05": (FencingToken(8, "dispatcher-2/5d67778e"), "dispatcher-2"),
    }
    found = {}
    for book in shelves.fences():
        reading = ReadRequest(book)
        shelves.commit([reading])
        assert reading.damaged == 0
        found[book] = [(life.may_run is not None, life.ended is not None) for life in reading.activations]
    shelves.close()
    assert {book: sorted(ends) for book, ends in found.items()} == {
        "dispatcher-0.b733a7160eac": [],
        "dispatcher-4.d9c91e73a1a4": [(False, True), (True, True), (True, True)],
        "dispatcher-6.6f14cf209f05": [(False, True)],
    }


def test_the_ledger_of_a_voter_that_ran_is_read_whole_and_written_the_same(tmp_path: Path) -> None:
    """As processes wrote it: nine tasks, books with the notes of their owners among them.  Rows and notes that are
    written again have the same bytes."""
    file = copy("day-of-leases/leases.sqlite", tmp_path)
    kept = ask(file, "SELECT * FROM kept ORDER BY name")
    ledger, memory, rows, reason = open_acceptor_store(file)
    ledger.close()
    assert reason == "" and memory == DurableState(1, Stage.VOTING, False) and len(rows) == 9
    assert rows[-1] == LeaseRow("sweep", FencingToken(5, "dispatcher-5/efd7844a"), 1500.0, True, NO_NOTE)
    lost = next(row for row in rows if row.task == "book/dispatcher-6.6f14cf209f05")
    assert (lost.token, lost.released) == (FencingToken(18, "dispatcher-4/e16ef1cd"), True)
    assert (lost.note.token, lost.note.sequence) == (FencingToken(8, "dispatcher-2/5d67778e"), 30)
    disks = {"dispatcher-2": "99fd856208ce", "dispatcher-3": "6312fbad89f7", "dispatcher-4": "59a7dd32ac1c"}
    assert decode_in_sync(lost.note.text) == InSyncSet("dispatcher-2", disks)
    notes = [row.note.text for row in rows if row.note.text]
    assert len(notes) == 7 and all(encode_in_sync(decode_in_sync(text)) == text for text in notes)
    again = AcceptorStore(tmp_path / "new")
    again.commit([Write(1, rows, memory)])
    again.close()
    assert ask(tmp_path / "new", "SELECT * FROM kept ORDER BY name") == kept


def test_captures_of_acts_under_leases_are_judged_as_they_were() -> None:
    """The witness's lines, by which `kelptrail audit` tells two holders of a task, and the report who held it when."""
    events = read_captures(STORED / "day-of-leases" / "captures")
    verdict = check_history(events)
    assert not verdict.broken and {name: n for name, n in verdict.counts().items() if n} == {"acts": 10}
    span = {"by": "dispatcher-5", "token": "5.dispatcher-5/efd7844a", "from": -2.129, "until": -1.51}
    assert lease_holders(events, 4) == {
        "sweep": {"spans": [span], "without_s": 5.51, "longest_without_s": 5.51, "acts": 20}
    }


def test_captures_of_a_bad_day_are_judged_as_they_were() -> None:
    """`kelptrail audit` on captures that were kept: the counts that the report of that day has, none of them broken."""
    verdict = check_history(read_captures(STORED / "day" / "captures"))
    report = msgspec.json.decode((STORED / "day" / "report.json").read_bytes())
    counts = verdict.counts()
    assert counts == {name: report[name] for name in counts} and not verdict.broken
    assert {name: count for name, count in counts.items() if count} == {
        "taken": 23,
        "completed": 21,
        "lost_with_dispatcher": 2,
        "not_taken": 8,
        "sends": 26,
        "loads": 12,
        "effects": 24,
    }


def test_the_report_of_a_bad_day_comes_from_its_captures() -> None:
    """Latencies, the timeline of seconds and the troubles in `report.json` are those that its captures still give."""
    events = read_captures(STORED / "day" / "captures")
    report = msgspec.json.decode((STORED / "day" / "report.json").read_bytes())
    assert latencies(events) == report["latency_ms"]
    assert timeline(events) == (report["timeline"], report["troubles"])
    assert [(t["kind"], t["of"]) for t in report["troubles"]] == [
        ("answers-lost", ["worker-1"]),
        ("kill-dispatchers", ["dispatcher-0"]),
    ]


# --- Results of the lab and of the load tool, and recordings.


def test_tables_of_results_are_read_and_compared() -> None:
    """`runs`, `seconds` and `spread` in Parquet: every column by its name, and two variants told apart."""
    runs, seconds = results.read_runs(STORED / "results"), results.read_seconds(STORED / "results")
    assert [(r["variant"], r["seed"]) for r in runs] == [("as-is", 1), ("as-is", 2), ("other", 1), ("other", 2)]
    who = {"experiment": "short", "variant": "as-is", "point": "", "value": 0.0, "seed": 1}
    assert runs[0] == who | {
        "calls": 22,
        "wishes": 21,
        "completed": 21,
        "in_time": 20,
        "served_share": 20 / 21,
        "rejected": 1,
        "aborted": 0,
        "lost": 0,
        "not_taken": 0,
        "sends": 23,
        "orders": 2,
        "loads": 1,
        "p50_ms": 2.5,
        "p99_ms": 9.85,
        "recovery_s": 2.0,
        "events": 100,
        "extra_ms": 0.5,
    }
    assert len(seconds) == 8
    assert seconds[0] == who | {
        "second": 0,
        "calls": 10,
        "completed": 9,
        "in_time": 8,
        "rejected": 1,
        "aborted": 0,
        "lost": 0,
        "not_taken": 0,
        "sends": 11,
        "orders": 2,
        "loads": 1,
        "repeats": 1,
        "in_hand": 3,
        "idle_mb": 128.5,
        "storming": 0,
    }
    spread = results.read(STORED / "results", "spread")
    assert len(spread) == 48
    assert spread[0] == who | {"what": "latency_ms", "name": "check", "part": 1.0, "value": 1.52}
    assert spread[11] == who | {"what": "give_ups", "name": "no-worker", "part": 0.0, "value": 2.0}
    told = {d.figure: d.verdict for d in compare(runs[:2], runs[2:])}
    assert told["p99_ms"] == "worse" and told["served_share"] == "not told apart"


def test_tables_written_today_have_the_columns_of_stored_ones(tmp_path: Path) -> None:
    """Results of two revisions are compared with each other: names, order and types of columns stay."""
    found = [
        results.Second(10, 9, 8, 1, 0, 0, 0, 11, 2, 1, 1, 3, 128.5, 0),
        results.Second(12, 12, 12, 0, 0, 0, 0, 12, 0, 0, 0, 0, 64.25, 1),
    ]
    result = results.Result(found, {"check": [1.5, 2.5, 10.0]}, {"no-worker": 2}, 100, 1, {"extra_ms": 0.5})
    who = {"experiment": "short", "variant": "as-is", "point": "", "value": 0.0, "seed": 1}
    runs = [who | results.figures(2.0, 0.0, result)]
    results.write(tmp_path, runs, results.rows_of(who, 2.0, result), results.spread_of(who, result))
    for name, count in (("runs", 1), ("seconds", 2), ("spread", 12)):
        new, old = (parquet.read_table(folder / f"{name}.parquet") for folder in (tmp_path, STORED / "results"))
        assert new.schema == old.schema
        assert new.to_pylist() == old.to_pylist()[:count]


def test_a_recording_of_arrivals_is_read() -> None:
    """A load's recording: seconds, with an action or without, remarks and empty lines."""
    trace = read_trace(STORED / "arrivals.csv")
    assert trace.times.tolist() == [0.25, 0.5, 0.5, 2.75] and trace.length_s == 3.4375
    assert trace.actions == ["desk/sum", "", "desk/see", "desk/sum"]
