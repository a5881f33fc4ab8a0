"""Activation records: created when a request is accepted, ended once, and kept up to a number, a size and an age.

Free of I/O.  Wall times are passed in, to show records and to select them by their start; ages are computed with the
caller's clock.  Times are in milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Any, Protocol

from kelptrail.dispatch.entities import FinalStatus


class ReplicatedJournal(Protocol):
    """An activation journal with replicas on other dispatchers, from the view of its primary."""

    def is_accepting(self) -> bool:
        """Return whether a new request can be made durable."""

    def is_primary(self, now: float) -> bool:
        """Return whether this dispatcher is the primary at this time, so that it may act on the entries."""

    def write(self, entry: Any, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        """Write an entry; `keep` has an effect only on a local journal (`GroupCommit.write`).

        `waiter` is called with True once the entry is durable, and with False where too few replicas have an accepted
        entry.  It is not called if another dispatcher takes over the journal first.
        """

    def forget(self, id_: str) -> None:
        """Drop the entries of an activation whose record was dropped."""


FINAL_COUNT_INDEX = {FinalStatus.COMPLETED: 0, FinalStatus.REJECTED: 1, FinalStatus.FAILED: 2}  # in `final_counts`
# Approximate sizes of a record without its result and logs, and of a log line without its text.
RECORD_BYTES, LOG_LINE_BYTES = 900, 60
STATUS_MESSAGES = ("success", "application error", "action developer error", "whisk internal error")


@dataclass(slots=True, eq=False)
class Record:
    """One activation as shown to its namespace.  `start` and `end` are wall time, other times the caller's clock."""

    id: str
    namespace: str
    path: str  # package/name, or name
    request_class: str  # name of the request class in the deployment
    idempotency: str  # a value of `Idempotency`
    start: float
    received_at: float
    timeout_ms: float
    trace: str
    end: float = 0.0  # 0 while in flight
    answer: FinalStatus | None = None  # None while in flight
    code: int = 0  # index of STATUS_MESSAGES
    result: bytes = b"{}"
    retry_after_ms: float = 0.0  # retry-after time of a rejection
    # Time for which the workers still deduplicate a retry, after a rejection of a request that may have run.
    deduplicated_for_ms: float = 0.0
    attempt_count: int = 0
    timed_out: bool = False  # failed no earlier than one answer margin before its deadline; not restored at a restart
    queued_ms: float = 0.0  # time from acceptance until the first attempt was decided
    durable: bool = True  # the final answer is as durable as the client was promised, so that it may be shown
    key: str = ""  # the client's idempotency key
    digest: str = ""  # digest of the body, which detects another body under the same key
    payload_format: str = "json"  # format of the result: "json" for a JSON value, or "tensors"
    deferred: bool = False  # the client was given the id and will poll for the answer
    fetched: bool = False  # the client has received the final answer
    logs: list[str] = field(default_factory=list)
    replicated_journal: ReplicatedJournal | None = None  # without one, at most the local journal has the record

    @property
    def final(self) -> bool:
        """Whether the activation has its one final answer."""
        return self.answer is not None

    @property
    def visible(self) -> bool:
        """Whether the final answer may be shown."""
        return self.final and self.durable

    @property
    def name(self) -> str:
        """The action's name without its package."""
        return self.path.rpartition("/")[2]

    @property
    def size(self) -> int:
        """Approximate size in memory, in bytes."""
        return RECORD_BYTES + len(self.result) + sum(len(line) + LOG_LINE_BYTES for line in self.logs)


class AlreadyFinalError(Exception):
    """An activation was given a second final answer."""


class DuplicateRecordError(Exception):
    """A record was added under an activation id that has one."""


class Records:
    """All records of one dispatcher.  Only records with a final answer are dropped, oldest first."""

    def __init__(self, max_records: int, max_bytes: float, max_age_ms: float) -> None:
        self._max_records, self._max_bytes, self._max_age_ms = max_records, max_bytes, max_age_ms
        self._by_id: OrderedDict[str, Record] = OrderedDict()
        self._ended: deque[tuple[float, Record]] = deque()  # records with the time of their end or restoration
        self._ended_bytes = 0
        self.dropped = 0
        # Numbers of completed, rejected and failed activations since the start, by namespace.
        self.final_counts: dict[str, list[int]] = {}
        self.on_drop: Callable[[Record], None] | None = None

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def ended_bytes(self) -> int:
        """Approximate size of the ended records in memory, in bytes."""
        return self._ended_bytes

    def add(self, record: Record) -> None:
        """Add the record of a new request.  Raises `DuplicateRecordError`."""
        if record.id in self._by_id:
            raise DuplicateRecordError(f"activation {record.id} already has a record")
        self._by_id[record.id] = record

    def end(self, now: float, record: Record, answer: FinalStatus, code: int, result: bytes) -> None:
        """Give a record its one final answer.  Raises `AlreadyFinalError` if it has one."""
        if record.answer is not None:
            raise AlreadyFinalError(f"activation {record.id} is already {record.answer} and cannot be {answer}")
        record.answer, record.code, record.result = answer, code, result
        record.end = record.start + (now - record.received_at)
        self.final_counts.setdefault(record.namespace, [0, 0, 0])[FINAL_COUNT_INDEX[answer]] += 1
        self._ended.append((now, record))
        self._ended_bytes += record.size
        self.trim(now)

    def restore(self, now: float, record: Record) -> None:
        """Add a record that had ended before a restart or a take-over."""
        self._by_id[record.id] = record
        self._ended.append((now, record))
        self._ended_bytes += record.size

    def trim(self, now: float) -> None:
        """Drop the oldest ended records beyond the maximum number, size or age, and call `on_drop` for each."""
        while self._ended and (
            len(self._ended) > self._max_records
            or self._ended_bytes > self._max_bytes
            or now - self._ended[0][0] > self._max_age_ms
        ):
            _, record = self._ended.popleft()
            self._ended_bytes -= record.size
            self._by_id.pop(record.id, None)
            self.dropped += 1
            if self.on_drop is not None:
                self.on_drop(record)

    def kept_by(self, journal: ReplicatedJournal) -> list[Record]:
        """Return all records that a replicated journal stores."""
        return [record for record in self._by_id.values() if record.replicated_journal is journal]

    def remove(self, records: Iterable[Record]) -> None:
        """Remove records that another dispatcher has taken over; `on_drop` is not called."""
        removed = {record.id for record in records}
        self._ended = deque(ended for ended in self._ended if ended[1].id not in removed)
        for id_ in removed:
            if (record := self._by_id.pop(id_, None)) is not None and record.final:
                self._ended_bytes -= record.size

    def has(self, id_: str) -> bool:
        """Return whether there is a record with this id, in any namespace."""
        return id_ in self._by_id

    def get(self, namespace: str, id_: str) -> Record | None:
        """Return the record with this id if it belongs to the namespace, or None."""
        record = self._by_id.get(id_)
        return record if record is not None and record.namespace == namespace else None

    def newest(
        self, namespace: str, name: str | None = None, since: float = 0.0, until: float = float("inf")
    ) -> Iterator[Record]:
        """Yield a namespace's visible records that started between two wall times, newest first.

        `name` restricts them to the actions with this path or this name without package.
        """
        for record in reversed(self._by_id.values()):
            if (
                record.namespace == namespace
                and record.visible
                and since <= record.start <= until
                and (name is None or name in (record.path, record.name))
            ):
                yield record

    def unfetched_since(self, since: float) -> int:
        """Return how many deferred activations ended after `since` and were not fetched yet."""
        recent = takewhile(lambda ended: ended[0] > since, reversed(self._ended))
        return sum(record.deferred and not record.fetched for _, record in recent)

    def in_flight(self) -> int:
        """Return how many records have no final answer."""
        return len(self._by_id) - len(self._ended)
