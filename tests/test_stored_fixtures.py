"""Compatibility of stored data: files written by earlier revisions, in `fixtures/stored`, are still read correctly.

A test opens a copy of a file with the current code, compares every field with a literal and, where the program writes
such a file, checks that it still writes the same bytes.  Records are built with positional arguments, because field
names in the code may differ from those on disk.  A failure means that dispatchers lose or misread their data when they
are upgraded.
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
from test_edge import FAST_PLANNER_DEPLOYMENT

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
BASE_MS = 1764684000000.0  # base of all times in the files, in ms since the epoch
COMPRESSIBLE = b'{"text":"' + b"kelp " * 400 + b'"}'  # large enough to be compressed in formats 2 and 3
TENSORS = b'{"inputs":[{"name":"x","datatype":"FP32","shape":[2],"data":[1.5,-2.0]}]}'
TRACE = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
NORTH, SOUTH, WEST = "north.1f2e3d4c5b6a", "south.00aa11bb22cc", "west.9988776655ff"  # journal ids


def copy_fixture(name: str, folder: Path) -> Path:
    """Copy a fixture file, because opening it may change it."""
    return Path(shutil.copy(STORED / name, folder / Path(name).name))


def run_sql(file: Path, statement: str, *values: Any) -> list[tuple[Any, ...]]:
    """Run one SQL statement on a file without the program's code; return the rows."""
    db = apsw.Connection(str(file))
    try:
        return list(db.execute(statement, values))
    finally:
        db.close()


def activation_id(number: int) -> str:
    """Return the id of activation `number` in the files."""
    return f"5a3f9c{number:026x}"


def encode_as_stored(entry: Accepted | MayRun | Ended, body: bytes) -> bytes:
    """Encode an entry that was decoded from `body`.

    A compressed result is copied from `body`, because the output of the compressor may differ between its releases.
    """
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


# --- Activation journals.


def format_3_activations() -> list[ActivationEntries]:
    """Return the activations in `book-format-3.sqlite`, in the order of their start."""
    body = next(body for (body,) in run_sql(STORED / "book-format-3.sqlite", RESULT_QUERY, activation_id(5)))
    incompressible = msgspec.msgpack.decode(body)["result"]
    assert len(incompressible) == 1100 and crc32(incompressible) == INCOMPRESSIBLE_CRC
    return [
        ActivationEntries(
            Accepted(
                activation_id(1), "north", "desk/sum", BASE_MS + 0.25, 60000.0, b'{"a":1}', None, "", "", True, "json"
            )
        ),
        ActivationEntries(
            Accepted(
                activation_id(2),
                "north",
                "desk/sum",
                BASE_MS + 1.5,
                900.0,
                b'{"a":2}',
                "order-17",
                "sha256:ab12",
                TRACE,
                True,
                "json",
            ),
            MayRun(activation_id(2), BASE_MS + 7.75, "worker-3"),
        ),
        ActivationEntries(
            Accepted(
                activation_id(3), "south", "desk/see", BASE_MS + 2.0, 5000.0, TENSORS, None, "", "", False, "tensors"
            ),
            MayRun(activation_id(3), BASE_MS + 9.0, "worker-1"),
            Ended(activation_id(3), BASE_MS + 44.5, "completed", 0, b'{"outputs":[]}', 1.25, 2.5, 2, False),
        ),
        ActivationEntries(
            Accepted(
                activation_id(4),
                "south",
                "päck/grüß",
                BASE_MS + 3.0,
                1000.0,
                b"\x00\xff\x80",
                None,
                "",
                "",
                True,
                "json",
            ),
            None,
            Ended(activation_id(4), BASE_MS + 4.0, "completed", 0, COMPRESSIBLE, 0.0, 0.0, 1, False),
        ),
        ActivationEntries(
            Accepted(activation_id(5), "south", "desk/raw", BASE_MS + 4.0, 1000.0, b"", None, "", "", True, "json"),
            None,
            Ended(activation_id(5), BASE_MS + 5.0, "completed", 2, incompressible, 0.0, 0.0, 1, False),
        ),
        ActivationEntries(
            Accepted(activation_id(6), "north", "desk/sum", BASE_MS + 5.0, 250.0, b"{}", None, "", "", True, "json"),
            None,
            Ended(activation_id(6), BASE_MS + 255.0, "rejected", 3, b'{"error":"no time is left"}', 0.0, 0.0, 0, False),
        ),
        ActivationEntries(
            Accepted(
                activation_id(7),
                "north",
                "desk/sum",
                BASE_MS + 6.0,
                250.0,
                b"{}",
                "order-18",
                "sha256:cd34",
                "",
                True,
                "json",
            ),
            MayRun(activation_id(7), BASE_MS + 8.0, "worker-2"),
            Ended(
                activation_id(7),
                BASE_MS + 300.0,
                "aborted",
                3,
                b'{"error":"it may have run"}',
                0.0,
                86400000.0,
                3,
                False,
            ),
        ),
    ]


RESULT_QUERY = "SELECT body FROM entries WHERE id = ? AND kind = 2"
INCOMPRESSIBLE_CRC = 0xEE3BB58D


def test_a_journal_in_format_3_is_read_completely(tmp_path: Path) -> None:
    """Every field of accepted, may-run and ended entries is read, and an orphan is deleted.

    The activations cover deferred and other requests, an idempotency key, tensors, a payload that is not UTF-8, a
    compressed and an incompressible result, and each of the three final answers.
    """
    file = copy_fixture("book-format-3.sqlite", tmp_path)
    assert run_sql(file, "SELECT kind FROM entries WHERE id = ?", activation_id(8)) == [(1,)], (
        "the orphan: a may-run entry without an accepted entry"
    )
    journal, renamed_to = open_journal(file)
    assert renamed_to is None
    assert list(journal.activations()) == format_3_activations()
    assert journal.damaged == 0 and journal.count() == 7
    journal.close()
    assert run_sql(file, "SELECT kind FROM entries WHERE id = ?", activation_id(8)) == []


def test_entries_of_format_3_are_encoded_to_the_stored_bytes() -> None:
    """Names, tags, order of fields and checksums on disk are unchanged.

    Otherwise an older program version, or another replica of the journal, would read different entries.
    """
    rows = run_sql(STORED / "book-format-3.sqlite", "SELECT kind, start, crc, body FROM entries ORDER BY id, kind")
    assert len(rows) == 16
    for kind, start, crc, body in rows:
        entry = decode_entry(body, crc)
        assert type(entry) is (Accepted, MayRun, Ended)[kind]
        assert start == (msgspec.msgpack.decode(body)["start"] if kind == 0 else 0.0)
        assert encode_as_stored(entry, body) == body


def test_a_new_journal_has_the_rows_of_the_stored_one(tmp_path: Path) -> None:
    """The same activations, written to a new file, give the same format number, tables and rows.

    The compressed result is compared after decompression.
    """
    journal, _ = open_journal(tmp_path / "new")
    for activation in format_3_activations():
        journal.commit([e for e in (activation.accepted, activation.may_run, activation.ended) if e is not None])
    journal.commit([MayRun(activation_id(8), BASE_MS + 8.0, "worker-2")])
    journal.close()
    old, new = STORED / "book-format-3.sqlite", tmp_path / "new"
    assert run_sql(new, "PRAGMA user_version") == run_sql(old, "PRAGMA user_version") == [(3,)]
    schema = "SELECT type, name, tbl_name, sql FROM sqlite_schema ORDER BY name"
    assert run_sql(new, schema) == run_sql(old, schema)
    other_rows = "SELECT id, kind, start, crc, body FROM entries WHERE NOT (id = ? AND kind = 2) ORDER BY id, kind"
    assert run_sql(new, other_rows, activation_id(4)) == run_sql(old, other_rows, activation_id(4))
    ((crc, body),) = run_sql(new, "SELECT crc, body FROM entries WHERE id = ? AND kind = 2", activation_id(4))
    assert msgspec.msgpack.decode(body)["packed"] is True and decode_entry(body, crc) == format_3_activations()[3].ended


@pytest.mark.parametrize(
    ("number", "digest"), [pytest.param(1, "", id="format-1"), pytest.param(2, "sha256:ab12", id="format-2")]
)
def test_a_journal_in_an_older_format_is_read_and_migrated_to_format_3(
    tmp_path: Path, number: int, digest: str
) -> None:
    """Fields that a format lacks get their defaults, and the stored rows stay as they are.

    Format 1 has the table `rows`, no digest and no compression; formats 1 and 2 have no `form`.
    """
    file = copy_fixture(f"book-format-{number}.sqlite", tmp_path)
    table = "rows" if number == 1 else "entries"
    stored_rows = run_sql(file, f"SELECT * FROM {table} ORDER BY id, kind")
    assert run_sql(file, "PRAGMA user_version") == [(number,)]
    assert len(stored_rows) == 4
    assert all("form" not in msgspec.msgpack.decode(row[4]) for row in stored_rows)
    expected = [
        ActivationEntries(
            Accepted(
                activation_id(1), "north", "desk/sum", BASE_MS + 0.25, 60000.0, b'{"a":1}', None, "", "", True, "json"
            )
        ),
        ActivationEntries(
            Accepted(
                activation_id(2),
                "north",
                "desk/sum",
                BASE_MS + 1.5,
                900.0,
                b'{"a":2}',
                "order-17",
                digest,
                "trace-2",
                False,
                "json",
            ),
            MayRun(activation_id(2), BASE_MS + 7.75, "worker-3"),
            Ended(activation_id(2), BASE_MS + 44.5, "completed", 0, COMPRESSIBLE, 1.25, 2.5, 2, False),
        ),
    ]
    journal, renamed_to = open_journal(file)
    assert renamed_to is None and list(journal.activations()) == expected and journal.damaged == 0
    journal.close()
    assert run_sql(file, "PRAGMA user_version") == [(3,)]
    assert run_sql(file, "SELECT * FROM entries ORDER BY id, kind") == stored_rows
    reopened, renamed_to = open_journal(file)
    assert renamed_to is None and list(reopened.activations()) == expected
    reopened.close()


# --- Replica stores.


def test_a_replica_store_in_format_1_is_read_completely(tmp_path: Path) -> None:
    """The disk id, the token and primary of each journal, its activations and its bucket digests are read.

    Times are those of the local wall clock.  The journal `WEST` was closed, so that only its token is left.
    """
    file = copy_fixture("copies.sqlite", tmp_path)
    assert run_sql(file, "PRAGMA user_version") == [(1,)]
    store, renamed_to = open_replica_store(file)
    assert renamed_to is None and store.disk_id == "f49c05565e22"
    assert store.fences() == {
        NORTH: (FencingToken(7, "north/1f2e3d4c"), "north"),
        SOUTH: (FencingToken(3, "south/77"), "south"),
        WEST: (FencingToken(2, "west/5"), ""),
    }
    assert store.activation_ids() == {activation_id(1), activation_id(2), activation_id(3)}
    assert {
        journal_id: {bucket: digest for bucket, digest in enumerate(store.digests_of(journal_id)) if digest}
        for journal_id in (NORTH, SOUTH, WEST)
    } == {
        NORTH: {90: 16026056754501041349, 224: 1633695219369970741},
        SOUTH: {204: 11394445161795177697},
        WEST: {},
    }
    north, south = ReadRequest(NORTH), ReadRequest(SOUTH)
    store.commit([north, south])
    arrived = BASE_MS + 100_000.0  # time of arrival by the clock of the replica
    accepted_1 = Accepted(
        activation_id(1),
        "north",
        "desk/sum",
        arrived - 252.5,
        60000.0,
        b'{"a":1}',
        "order-17",
        "sha256:ab12",
        "trace-1",
        True,
        "json",
    )
    accepted_2 = Accepted(
        activation_id(2), "north", "desk/see", arrived - 500.0, 5000.0, b'{"inputs":[]}', None, "", "", True, "tensors"
    )
    assert sorted(north.activations, key=lambda activation: activation.accepted.id) == [
        ActivationEntries(accepted_1),
        ActivationEntries(
            accepted_2,
            MayRun(activation_id(2), arrived - 125.0, "worker-3"),
            Ended(activation_id(2), arrived - 500.0 + 43.5, "completed", 0, COMPRESSIBLE, 1.25, 2.5, 2, False),
        ),
    ]
    accepted_3 = Accepted(activation_id(3), "south", "desk/sum", arrived + 1, 900.0, b"{}", None, "", "", True, "json")
    assert south.activations == [ActivationEntries(accepted_3)]
    assert north.damaged == south.damaged == 0
    store.close()


def test_a_bucket_of_a_replica_store_is_sent_with_the_stored_bytes(tmp_path: Path) -> None:
    """Entries of a bucket are read for sending with the stored bodies, and are encoded to the same bytes."""
    file = copy_fixture("copies.sqlite", tmp_path)
    bodies = dict(run_sql(file, "SELECT kind, body FROM entries WHERE id = ?", activation_id(2)))
    store, _ = open_replica_store(file)
    read = ReadRequest(NORTH, 90, BASE_MS + 101_000.0)
    store.commit([read])
    assert read.entries == (
        ReplicaEntry(activation_id(2), 0, 1500.0, bodies[0]),
        ReplicaEntry(activation_id(2), 1, 1125.0, bodies[1]),
        ReplicaEntry(activation_id(2), 2, 1500.0, bodies[2]),
    )
    for body in bodies.values():
        assert encode_as_stored(decode_entry(body, crc32(body)), body) == body
    store.close()


def test_a_new_replica_store_has_the_rows_of_the_stored_one(tmp_path: Path) -> None:
    """The stored entries, written to a new file, give the same format number, tables and rows."""
    old, new = STORED / "copies.sqlite", tmp_path / "new"
    store = ReplicaStore(new)
    arrived = BASE_MS + 100_000.0
    journals = ((NORTH, 7, "north/1f2e3d4c", "north", arrived), (SOUTH, 3, "south/77", "south", arrived + 1))
    for journal_id, round_, client_id, primary, arrived_at in journals:
        rows = run_sql(old, "SELECT id, kind, since, body FROM entries WHERE book = ?", journal_id)
        entries = tuple(ReplicaEntry(id_, kind, arrived_at - since, body) for id_, kind, since, body in rows)
        store.commit(
            [
                ReplicaWrite(journal_id, fence=(FencingToken(round_, client_id), primary), wall_ms=arrived_at),
                ReplicaWrite(journal_id, entries=entries, wall_ms=arrived_at),
            ]
        )
    store.commit([ReplicaWrite(WEST, fence=(FencingToken(2, "west/5"), ""), closes_journal=True, wall_ms=arrived + 3)])
    store.close()
    for query in (
        "PRAGMA user_version",
        "SELECT type, name, tbl_name, sql FROM sqlite_schema ORDER BY name",
        "SELECT * FROM shelves ORDER BY book",
        "SELECT * FROM entries ORDER BY book, bucket, id, kind",
    ):
        assert run_sql(new, query) == run_sql(old, query)


IN_SYNC = InSyncSet("north", {"north": "0a1b2c3d4e5f", "south": "ffeeddccbbaa", "pär": ""})


def test_the_in_sync_set_with_the_lease_of_a_journal_keeps_its_bytes() -> None:
    """Covers the last primary and the disk ids of in-sync dispatchers, which decide who may take over the journal."""
    note = (STORED / "lease-note-of-a-book.bin").read_bytes()
    assert decode_in_sync(note) == IN_SYNC
    assert (IN_SYNC.primary, IN_SYNC.disk_ids) == (
        "north",
        {"north": "0a1b2c3d4e5f", "south": "ffeeddccbbaa", "pär": ""},
    )
    assert encode_in_sync(IN_SYNC) == note


# --- Acceptor stores.


USAGE_ROW = LeaseRow("usage", FencingToken(41, "north/1f2e3d4c"), 3000.0, False, NO_NOTE)
RELEASED_ROW = LeaseRow("vrrp/12", FencingToken(5, "south/77"), 2500.5, True, NO_NOTE)


def test_an_acceptor_store_in_format_2_is_read_completely(tmp_path: Path) -> None:
    """Covers the acceptor's state, and the token, length, release and note of the last lease of each task."""
    file = copy_fixture("leases-format-2.sqlite", tmp_path)
    store, state, rows, damage = open_acceptor_store(file)
    store.close()
    note = (STORED / "lease-note-of-a-book.bin").read_bytes()
    journal_row = LeaseRow(
        "book/" + NORTH,
        FencingToken(7, "north/1f2e3d4c"),
        10000.0,
        False,
        LeaseNote(FencingToken(6, "west/5"), 9, note),
    )
    assert damage == "" and state == DurableState(4, Stage.VOTING, True)
    assert rows == (journal_row, USAGE_ROW, RELEASED_ROW)
    assert decode_in_sync(rows[0].note.text) == IN_SYNC


def test_an_acceptor_store_in_format_1_is_read_and_migrated_to_format_2(tmp_path: Path) -> None:
    """Rows of format 1 have no note.  Their tokens must be kept, because every new token must exceed them."""
    file = copy_fixture("leases-format-1.sqlite", tmp_path)
    assert run_sql(file, "PRAGMA user_version") == [(1,)]
    bodies = [body for (body,) in run_sql(file, "SELECT body FROM kept WHERE name != '' ORDER BY name")]
    assert [len(msgspec.msgpack.decode(body)) for body in bodies] == [4, 4]
    store, state, rows, damage = open_acceptor_store(file)
    store.close()
    assert damage == "" and state == DurableState(4, Stage.VOTING, True) and rows == (USAGE_ROW, RELEASED_ROW)
    assert run_sql(file, "PRAGMA user_version") == [(2,)]


def test_a_new_acceptor_store_has_the_rows_of_the_stored_one(tmp_path: Path) -> None:
    """The rows of the file, written to a new one, give the same format number, table and rows."""
    old, new = copy_fixture("leases-format-2.sqlite", tmp_path), tmp_path / "new"
    store, state, rows, _ = open_acceptor_store(old)
    store.close()
    store = AcceptorStore(new)
    store.commit([Write(1, rows, state)])
    store.close()
    for query in ("PRAGMA user_version", "SELECT name, sql FROM sqlite_schema", "SELECT * FROM kept ORDER BY name"):
        assert run_sql(new, query) == run_sql(STORED / "leases-format-2.sqlite", query)


@pytest.mark.parametrize(
    ("body", "state"),
    [
        pytest.param("930ca5656d707479c2", DurableState(12, Stage.EMPTY, False), id="empty"),
        pytest.param("930ca8666f756e64696e67c2", DurableState(12, Stage.FOUNDING, False), id="founding"),
        pytest.param("930ca86368616e67696e67c3", DurableState(12, Stage.CHANGING, True), id="changing"),
        pytest.param("930ca6766f74696e67c2", DurableState(12, Stage.VOTING, False), id="voting"),
    ],
)
def test_each_stage_of_an_acceptor_keeps_its_bytes(tmp_path: Path, body: str, state: DurableState) -> None:
    """The row with an empty name has configuration number, stage, and whether the previous configuration is sealed."""
    file, data = copy_fixture("leases-format-2.sqlite", tmp_path), bytes.fromhex(body)
    run_sql(file, "INSERT OR REPLACE INTO kept VALUES ('', ?, ?)", crc32(data), data)
    store, stored_state, rows, damage = open_acceptor_store(file)
    assert damage == "" and stored_state == state and len(rows) == 3
    store.commit([Write(1, (), state)])
    store.close()
    assert run_sql(file, "SELECT crc, body FROM kept WHERE name = ''") == [(crc32(data), data)]


# --- Other files in the state folder.


def saved_plan() -> Plan:
    """Return the plan in `plan.bin`."""
    digest = bytes.fromhex("51c3f63de17a6ff9d3d20c062ab274af")
    return Plan(
        PlanHeader("coast", 9, "planner-1", 14, 90000.0, ("bb9b7433", 7), digest),
        {"desk-sum": {"worker-1": 2, "worker-2": 1}, "desk-see": {"worker-2": 3}},
    )


def decompressed(name: str) -> bytes:
    """Return the decompressed content of a fixture file."""
    return zstandard.ZstdDecompressor().decompress((STORED / name).read_bytes(), 1 << 20)


def test_an_edge_starts_with_its_saved_plan(tmp_path: Path) -> None:
    """`plan.bin`: an edge that starts while no planner is reachable uses its saved plan."""
    file, applied = copy_fixture("plan.bin", tmp_path), list[Any]()
    workers = [SimpleNamespace(id=name, live=True) for name in ("worker-1", "worker-2")]
    gateway: Any = SimpleNamespace(members=workers, on_plan=applied.append)

    async def main() -> None:
        log = RecordingLog()
        edge = PlanFollower([], "edge", "coast", gateway, lambda: None, file, log)
        assert edge.load_saved_plan() and log.lines == []
        assert edge.plan_state.plan == saved_plan() and edge.plan_state.fence == (9, "planner-1", 14)

    run(main())
    assert applied == [saved_plan().instances]


def test_a_saved_plan_keeps_its_digest_and_bytes() -> None:
    """Covers the digest of the plan, and the bytes of `plan.bin` before compression."""
    plan = saved_plan()
    assert digest_of(plan.header, plan.instances) == plan.header.digest
    assert msgspec.msgpack.encode(SavedPlan(plan, 60000.0, 4e12)) == decompressed("plan.bin")


def test_a_planner_restores_its_snapshot(tmp_path: Path) -> None:
    """`planner.bin`, the last plan and the usual demand by hour of the day, is read and written as the same bytes."""
    copy_fixture("planner.bin", tmp_path)
    instances = {"check": {"worker-1": 2}, "grant": {"worker-1": 1, "worker-2": 1}}
    hourly_rates = {"check": [n * 0.5 for n in range(24)], "grant": [0.0] * 23 + [4.25]}
    leases: Any = SimpleNamespace()

    async def main() -> None:
        options = PlannerOptions("planner-0", "127.0.0.1", 0, "", tmp_path, None, "greedy")
        planner = PlannerDriver(parse(FAST_PLANNER_DEPLOYMENT, "fast"), options, leases, 1000.0, RecordingLog())
        assert planner.restore()
        assert planner.planner.target == instances
        assert {name: planner.planner.demand.functions[name].hourly_rates for name in hourly_rates} == hourly_rates

    run(main())
    assert msgspec.msgpack.encode(Snapshot(9, instances, hourly_rates)) == decompressed("planner.bin")


def test_a_dispatcher_starts_with_its_saved_endpoint_list(tmp_path: Path) -> None:
    """`last-list.json` has the last endpoint list, which a dispatcher uses until the endpoint service answers.

    Its version and lineage are replaced, so that the next list is applied whatever its version.
    """
    applied = list[EndpointList]()
    log = RecordingLog()
    client = EndpointClient(
        "127.0.0.1:1", "dispatcher-1", applied.append, copy_fixture("last-list.json", tmp_path), log
    )
    assert client.load_saved() and log.lines == []
    workers = [
        Endpoint("worker-1", "127.0.0.1:40411", "live", "5a6b0ce3", 6592.870176000055, "south", 0, 0, 1.0),
        Endpoint("worker-0", "127.0.0.1:33225", "live", "c7409d81", 6544.928987000079, "north", 0, 0, 1.0),
    ]
    peers = [Peer("dispatcher-0", "127.0.0.1:43649", "", ""), Peer("dispatcher-1", "127.0.0.1:44799", "", "")]
    assert applied == [EndpointList(-1, workers, "last", peers)]


def test_the_vrrp_epoch_only_increases(tmp_path: Path) -> None:
    """`vrrp-epoch` has a decimal number.  If it decreased with an upgrade, peers would refuse the packets as old."""
    file = copy_fixture("vrrp-epoch", tmp_path)
    assert next_epoch(file) == 4_000_000_000_001 and file.read_bytes() == b"4000000000001"


# --- Certificates and API keys.


def test_stored_certificates_are_listed_and_rotated(tmp_path: Path) -> None:
    """Names, usage, serial numbers and validity of all certificates are read, also of one that a rotation replaced.

    A rotation keeps names and usage, and its certificate is signed by the stored key of the authority.
    """
    folder = Path(shutil.copytree(STORED / "keys", tmp_path / "keys"))
    valid_from, valid_until = datetime(2026, 12, 2, 11, 55, tzinfo=UTC), datetime(2036, 11, 29, 12, 0, tzinfo=UTC)
    authority_until = datetime(2126, 11, 8, 12, 0, tzinfo=UTC)
    front_names = ["front", "127.0.0.1", "front.example"]
    authority = Authority(folder)
    assert [
        (issued.name, issued.names, issued.usage, issued.serial, issued.valid_from, issued.valid_until)
        for issued in authority.list_issued()
    ] == [
        (
            "authority",
            ["kelptrail-fixtures"],
            "authority",
            "3aa1950db5f7229ff3ab85833dff0e0a0017b90e",
            valid_from,
            authority_until,
        ),
        ("both", ["both"], "server+client", "e769ef89092102112b1ed098806fdd3789c4aab", valid_from, valid_until),
        (
            "caller-one",
            ["caller-one", "spiffe://coast/caller-one"],
            "client",
            "105a907b67002346467ba536d5189149a1a342ee",
            valid_from,
            valid_until,
        ),
        ("front", front_names, "server", "533585f17147bad75dcc565ba4fedd022ac85e38", valid_from, valid_until),
    ]
    replaced = describe("front", read_certificate((folder / "front.pem.old").read_bytes()))
    assert (replaced.names, replaced.serial) == (front_names, "5807c6a6f91d35842d3d1820870e0b853a62d565")
    before_rotation = (folder / "front.pem").read_bytes()
    rotated = authority.rotate("front", 30, datetime(2027, 1, 1, tzinfo=UTC))
    assert (rotated.names, rotated.usage) == (front_names, "server")
    assert (folder / "front.pem.old").read_bytes() == before_rotation
    authority_certificate = x509.load_pem_x509_certificate((STORED / "keys" / "authority.pem").read_bytes())
    read_certificate((folder / "front.pem").read_bytes()).verify_directly_issued_by(authority_certificate)


def test_the_digest_of_an_api_key_is_unchanged() -> None:
    """Settings have only digests of the keys: if these changed, every client would be refused."""
    assert key_digest("desk-key-1") == "sha256:ac23cb81a08de5755491ecbfbd28d61fa70d80423dfd144fe99647b80cbb4d93"


# --- Files of processes that ran under load: databases, captures and a report.


def test_a_journal_written_under_load_is_read_completely(tmp_path: Path) -> None:
    """No entry is damaged, entries are encoded to the same bytes, and ids begin with the prefix of the dispatcher.

    Other dispatchers derive from this prefix which dispatcher to query.
    """
    file = copy_fixture("day/book.sqlite", tmp_path)
    rows = run_sql(file, "SELECT kind, crc, body FROM entries ORDER BY id, kind")
    assert [sum(kind == k for kind, _, _ in rows) for k in (0, 1, 2)] == [9, 4, 9]
    assert all(encode_as_stored(decode_entry(body, crc), body) == body for _, crc, body in rows)
    journal, renamed_to = open_journal(file)
    activations = list(journal.activations())
    journal.close()
    assert renamed_to is None and journal.damaged == 0 and len(activations) == 9
    assert all(activation.ended is not None and activation.ended.answer == "completed" for activation in activations)
    assert {activation.accepted.id[:6] for activation in activations} == {id_prefix("dispatcher-1")} == {"1112a1"}
    (with_key,) = [
        activation for activation in activations if activation.accepted.id == "1112a179d976af530000000000000008"
    ]
    assert with_key == ActivationEntries(
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


def test_a_replica_store_written_under_load_is_read_completely(tmp_path: Path) -> None:
    """Tokens, primaries and activations of three journals are read, and entries are encoded to the same bytes.

    A machine was lost during the run, and one of the journals was taken over.
    """
    file = copy_fixture("day-of-leases/copies.sqlite", tmp_path)
    bodies = [body for (body,) in run_sql(file, "SELECT body FROM entries")]
    assert len(bodies) == 10
    assert all(encode_as_stored(decode_entry(body, crc32(body)), body) == body for body in bodies)
    store, renamed_to = open_replica_store(file)
    assert renamed_to is None and store.fences() == {
        "dispatcher-0.b733a7160eac": (FencingToken(6, "dispatcher-0/eb45c6d5"), "dispatcher-0"),
        "dispatcher-4.d9c91e73a1a4": (FencingToken(6, "dispatcher-4/e16ef1cd"), "dispatcher-4"),
        "dispatcher-6.6f14cf209f05": (FencingToken(8, "dispatcher-2/5d67778e"), "dispatcher-2"),
    }
    entries_by_journal = {}
    for journal_id in store.fences():
        read = ReadRequest(journal_id)
        store.commit([read])
        assert read.damaged == 0
        entries_by_journal[journal_id] = [
            (activation.may_run is not None, activation.ended is not None) for activation in read.activations
        ]
    store.close()
    assert {journal_id: sorted(entries) for journal_id, entries in entries_by_journal.items()} == {
        "dispatcher-0.b733a7160eac": [],
        "dispatcher-4.d9c91e73a1a4": [(False, True), (True, True), (True, True)],
        "dispatcher-6.6f14cf209f05": [(False, True)],
    }


def test_an_acceptor_store_written_under_load_is_read_completely(tmp_path: Path) -> None:
    """The store has nine tasks, among them journals with in-sync sets; rows and notes are written as the same bytes."""
    file = copy_fixture("day-of-leases/leases.sqlite", tmp_path)
    stored_rows = run_sql(file, "SELECT * FROM kept ORDER BY name")
    store, state, rows, damage = open_acceptor_store(file)
    store.close()
    assert damage == "" and state == DurableState(1, Stage.VOTING, False) and len(rows) == 9
    assert rows[-1] == LeaseRow("sweep", FencingToken(5, "dispatcher-5/efd7844a"), 1500.0, True, NO_NOTE)
    taken_over = next(row for row in rows if row.task == "book/dispatcher-6.6f14cf209f05")
    assert (taken_over.token, taken_over.released) == (FencingToken(18, "dispatcher-4/e16ef1cd"), True)
    assert (taken_over.note.token, taken_over.note.sequence) == (FencingToken(8, "dispatcher-2/5d67778e"), 30)
    disk_ids = {"dispatcher-2": "99fd856208ce", "dispatcher-3": "6312fbad89f7", "dispatcher-4": "59a7dd32ac1c"}
    assert decode_in_sync(taken_over.note.text) == InSyncSet("dispatcher-2", disk_ids)
    notes = [row.note.text for row in rows if row.note.text]
    assert len(notes) == 7 and all(encode_in_sync(decode_in_sync(note)) == note for note in notes)
    copied = AcceptorStore(tmp_path / "new")
    copied.commit([Write(1, rows, state)])
    copied.close()
    assert run_sql(tmp_path / "new", "SELECT * FROM kept ORDER BY name") == stored_rows


def test_captures_with_leases_give_the_same_verdict_and_holders() -> None:
    """The capture of the side-effect log gives the same verdict of `kelptrail audit` and the same lease holders."""
    events = read_captures(STORED / "day-of-leases" / "captures")
    verdict = check_history(events)
    assert not verdict.broken and {name: n for name, n in verdict.counts().items() if n} == {"acts": 10}
    span = {"by": "dispatcher-5", "token": "5.dispatcher-5/efd7844a", "from": -2.129, "until": -1.51}
    assert lease_holders(events, 4) == {
        "sweep": {"spans": [span], "without_s": 5.51, "longest_without_s": 5.51, "acts": 20}
    }


def test_captures_of_a_fault_scenario_give_the_counts_of_its_report() -> None:
    """`kelptrail audit` finds no broken rule in the captures and has the same counts as the report of that run."""
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


def test_captures_of_a_fault_scenario_give_the_timeline_of_its_report() -> None:
    """The captures still give the latencies, the timeline by second and the faults in `report.json`."""
    events = read_captures(STORED / "day" / "captures")
    report = msgspec.json.decode((STORED / "day" / "report.json").read_bytes())
    assert latencies(events) == report["latency_ms"]
    assert timeline(events) == (report["timeline"], report["troubles"])
    assert [(fault["kind"], fault["of"]) for fault in report["troubles"]] == [
        ("answers-lost", ["worker-1"]),
        ("kill-dispatchers", ["dispatcher-0"]),
    ]


# --- Result tables of simulations and load tests, and arrival traces.


def test_result_tables_are_read_and_compared() -> None:
    """The tables `runs`, `seconds` and `spread` are read with all their columns, and two variants are compared."""
    runs, seconds = results.read_runs(STORED / "results"), results.read_seconds(STORED / "results")
    assert [(row["variant"], row["seed"]) for row in runs] == [("as-is", 1), ("as-is", 2), ("other", 1), ("other", 2)]
    key_columns = {"experiment": "short", "variant": "as-is", "point": "", "value": 0.0, "seed": 1}
    assert runs[0] == key_columns | {
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
    assert seconds[0] == key_columns | {
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
    assert spread[0] == key_columns | {"what": "latency_ms", "name": "check", "part": 1.0, "value": 1.52}
    assert spread[11] == key_columns | {"what": "give_ups", "name": "no-worker", "part": 0.0, "value": 2.0}
    verdicts = {difference.figure: difference.verdict for difference in compare(runs[:2], runs[2:])}
    assert verdicts["p99_ms"] == "worse" and verdicts["served_share"] == "not told apart"


def test_new_result_tables_have_the_columns_of_stored_ones(tmp_path: Path) -> None:
    """Names, order and types of columns are unchanged, because results of different revisions are compared."""
    seconds = [
        results.Second(10, 9, 8, 1, 0, 0, 0, 11, 2, 1, 1, 3, 128.5, 0),
        results.Second(12, 12, 12, 0, 0, 0, 0, 12, 0, 0, 0, 0, 64.25, 1),
    ]
    result = results.Result(seconds, {"check": [1.5, 2.5, 10.0]}, {"no-worker": 2}, 100, 1, {"extra_ms": 0.5})
    key_columns = {"experiment": "short", "variant": "as-is", "point": "", "value": 0.0, "seed": 1}
    runs = [key_columns | results.figures(2.0, 0.0, result)]
    results.write(tmp_path, runs, results.rows_of(key_columns, 2.0, result), results.spread_of(key_columns, result))
    for name, count in (("runs", 1), ("seconds", 2), ("spread", 12)):
        new, old = (parquet.read_table(folder / f"{name}.parquet") for folder in (tmp_path, STORED / "results"))
        assert new.schema == old.schema
        assert new.to_pylist() == old.to_pylist()[:count]


def test_an_arrival_trace_is_read() -> None:
    """The file has arrival times in seconds, with or without an action, between comments and empty lines."""
    trace = read_trace(STORED / "arrivals.csv")
    assert trace.times.tolist() == [0.25, 0.5, 0.5, 2.75] and trace.length_s == 3.4375
    assert trace.actions == ["desk/sum", "", "desk/see", "desk/sum"]
