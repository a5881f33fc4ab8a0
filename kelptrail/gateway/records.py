"""Activation records: created when a request is accepted, ended once, and kept up to a number, a size and an age.

Free of I/O.  Wall times are passed in and only shown; ages go by the caller's clock.  Times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Any, Protocol

from kelptrail.dispatch.entities import FinalStatus


class ReplicatedJournal(Protocol):
    """An activation journal with replicas on other dispatchers, as its primary writes to it."""

    def is_accepting(self) -> bool:
        """Whether a new request can be made durable."""

    def is_primary(self, now: float) -> bool:
        """Whether this dispatcher is the primary at this instant, so that it may act on the entries."""

    def write(self, entry: Any, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        """Write an entry; a failure is tried again with `keep`.

        `waiter` is called with True once the entry is durable, and with False where too few replicas have an accepted
        entry; never where another dispatcher takes the journal over before.
        """

    def forget(self, id_: str) -> None:
        """Drop the entries of an activation whose record is no longer kept."""


FINAL_COUNT_INDEX = {FinalStatus.COMPLETED: 0, FinalStatus.REJECTED: 1, FinalStatus.FAILED: 2}  # in `final_counts`
RECORD_BYTES, LOG_LINE_BYTES = 900, 60  # about what a record, and a log line, takes besides its text
STATUS_MESSAGES = ("success", "application error", "action developer error", "whisk internal error")


@dataclass(slots=True, eq=False)
class Record:
    """One activation as its namespace sees it.  `start` and `end` are wall time, other times the caller's clock."""

    id: str
    namespace: str
    path: str  # package/name, or name
    request_class: str  # its name in the deployment
    idempotency: str  # a value of `Idempotency`
    start: float
    received_at: float
    timeout_ms: float
    trace: str
    end: float = 0.0  # 0 while in flight
    answer: FinalStatus | None = None  # None while in flight
    code: int = 0  # index of STATUS_MESSAGES
    result: bytes = b"{}"
    retry_after_ms: float = 0.0  # with a rejection
    deduplicated_for_ms: float = 0.0  # rejected, may have run: how long the workers still drop a repeat
    attempt_count: int = 0
    timed_out: bool = False  # failed because its time, or that of its stream, was up; not kept over a restart
    queued_ms: float = 0.0  # from its acceptance to its first attempt
    durable: bool = True  # its final answer may be shown: it is as durable as the client was promised
    key: str = ""  # the client's idempotency key
    digest: str = ""  # of the body, to recognise another body under the same key
    payload_format: str = "json"  # of its result: a JSON value, or "tensors"
    deferred: bool = False  # its client was given the id and will ask for the answer
    fetched: bool = False  # its client has seen the final answer
    logs: list[str] = field(default_factory=list)
    replicated_journal: ReplicatedJournal | None = None  # None: at most the local journal has it

    @property
    def final(self) -> bool:
        """Whether it has its one final answer."""
        return self.answer is not None

    @property
    def visible(self) -> bool:
        """Whether its final answer may be shown."""
        return self.final and self.durable

    @property
    def name(self) -> str:
        """The action's name without its package."""
        return self.path.rpartition("/")[2]

    @property
    def size(self) -> int:
        """About how many bytes it takes."""
        return RECORD_BYTES + len(self.result) + sum(len(line) + LOG_LINE_BYTES for line in self.logs)


class AlreadyFinalError(Exception):
    """A second final answer for one activation."""


class DuplicateRecordError(Exception):
    """A second record under one activation id."""


class Records:
    """All records of one dispatcher.  Only those with a final answer are ever dropped, oldest first."""

    def __init__(self, max_records: int, max_bytes: float, max_age_ms: float) -> None:
        self._max_records, self._max_bytes, self._max_age_ms = max_records, max_bytes, max_age_ms
        self._by_id: OrderedDict[str, Record] = OrderedDict()
        self._ended: deque[tuple[float, Record]] = deque()  # when, by the caller's clock, and which
        self._bytes = 0
        self.dropped = 0
        self.final_counts: dict[str, list[int]] = {}  # by namespace: completed, rejected, aborted, since the start
        self.on_drop: Callable[[Record], None] | None = None

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def ended_bytes(self) -> int:
        """About how much the ended ones take."""
        return self._bytes

    def add(self, record: Record) -> None:
        """Add the record of a request just accepted.  Raises `DuplicateRecordError`."""
        if record.id in self._by_id:
            raise DuplicateRecordError(f"activation {record.id} has a record already")
        self._by_id[record.id] = record

    def end(self, now: float, record: Record, answer: FinalStatus, code: int, result: bytes) -> None:
        """Give the one final answer.  Raises `AlreadyFinalError` at a second."""
        if record.answer is not None:
            raise AlreadyFinalError(f"activation {record.id} was {record.answer} and would be {answer}")
        record.answer, record.code, record.result = answer, code, result
        record.end = record.start + (now - record.received_at)
        self.final_counts.setdefault(record.namespace, [0, 0, 0])[FINAL_COUNT_INDEX[answer]] += 1
        self._ended.append((now, record))
        self._bytes += record.size
        self.trim(now)

    def restore(self, now: float, record: Record) -> None:
        """Add one that had ended before a restart."""
        self._by_id[record.id] = record
        self._ended.append((now, record))
        self._bytes += record.size

    def trim(self, now: float) -> None:
        """Drop the oldest ended records beyond the number, the size or the age; `on_drop` is called for each."""
        while self._ended and (
            len(self._ended) > self._max_records
            or self._bytes > self._max_bytes
            or now - self._ended[0][0] > self._max_age_ms
        ):
            _, record = self._ended.popleft()
            self._bytes -= record.size
            self._by_id.pop(record.id, None)
            self.dropped += 1
            if self.on_drop is not None:
                self.on_drop(record)

    def kept_by(self, journal: ReplicatedJournal) -> list[Record]:
        """All records that a replicated journal keeps."""
        return [record for record in self._by_id.values() if record.replicated_journal is journal]

    def remove(self, records: Iterable[Record]) -> None:
        """Remove records that another dispatcher has from now on; `on_drop` is not called."""
        gone = {record.id for record in records}
        self._ended = deque(kept for kept in self._ended if kept[1].id not in gone)
        for id_ in gone:
            if (record := self._by_id.pop(id_, None)) is not None and record.final:
                self._bytes -= record.size

    def has(self, id_: str) -> bool:
        """Whether a record is here, whoever's it is."""
        return id_ in self._by_id

    def get(self, namespace: str, id_: str) -> Record | None:
        """A record of a namespace, or None."""
        record = self._by_id.get(id_)
        return record if record is not None and record.namespace == namespace else None

    def newest(
        self, namespace: str, name: str | None = None, since: float = 0.0, until: float = float("inf")
    ) -> Iterator[Record]:
        """Visible records of a namespace started in a span of wall time, newest first; `name`: path or bare name."""
        for record in reversed(self._by_id.values()):
            if (
                record.namespace == namespace
                and record.visible
                and since <= record.start <= until
                and (name is None or name in (record.path, record.name))
            ):
                yield record

    def unread_since(self, since: float) -> int:
        """How many deferred ones ended after `since` and were not fetched yet."""
        recent = takewhile(lambda ended: ended[0] > since, reversed(self._ended))
        return sum(record.deferred and not record.fetched for _, record in recent)

    def in_flight(self) -> int:
        """How many have no final answer."""
        return len(self._by_id) - len(self._ended)
