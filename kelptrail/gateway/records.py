"""Activation records: made when a call is taken, ended once, kept for a number, a size and a time.

Free of I/O.  Wall times are handed in and only shown; keeping goes by the clock of the caller.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Any, Protocol


class ReplicatedJournal(Protocol):
    """A book that other dispatchers hold copies of, as its owner writes to it."""

    def is_accepting(self) -> bool:
        """Whether a new call can be promised."""

    def may_act(self, now: float) -> bool:
        """Whether what is in it may be acted on at this instant."""

    def write(self, entry: Any, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        """Write an entry.  `waiter` is told once it is safe: True, or, of what was accepted, False where fewer have it
        than was asked for; never, where the book is lost before."""

    def forget(self, id_: str) -> None:
        """An activation whose record is no longer kept."""


ANSWERS = {"completed": 0, "rejected": 1, "aborted": 2}
STATUS_MESSAGES = ("success", "application error", "action developer error", "whisk internal error")


@dataclass(slots=True, eq=False)
class Record:
    """One activation as its namespace may see it.  Times are milliseconds; `start` is wall time."""

    id: str
    namespace: str
    path: str  # package/name, or name
    request_class: str  # its namespace type
    idempotency: str
    start: float
    received_at: float  # by the clock of the caller
    timeout_ms: float
    trace: str
    end: float = 0.0  # wall time; 0 while in hand
    answer: str = ""  # "completed", "rejected" or "aborted"
    code: int = 0  # place in STATUS
    result: bytes = b"{}"
    retry_after_ms: float = 0.0  # with a rejection: when to come back
    deduplicated_for_ms: float = 0.0  # with a deduplicated one that may have run: how long its mark still holds
    attempt_count: int = 0
    timed_out: bool = False  # it was aborted as its time, or that of its stream, was up; not kept over a restart
    queued_ms: float = 0.0  # from taken to the first send
    durable: bool = True  # its final answer may be shown: it is as durable as it was promised to be
    key: str = ""  # the client's mark against repeats, and what tells another body under it
    digest: str = ""
    payload_format: str = "json"  # of its result: a JSON value, or "tensors"
    deferred: bool = False  # its client was given the id and will ask
    fetched: bool = False  # its final answer was shown
    logs: list[str] = field(default_factory=list)
    replicated_journal: ReplicatedJournal | None = None  # where it is kept, if not on this dispatcher's disk alone

    @property
    def final(self) -> bool:
        """Whether it has its one final answer."""
        return bool(self.answer)

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
        return 900 + len(self.result) + sum(len(line) + 60 for line in self.logs)


class AlreadyFinalError(Exception):
    """A second final answer for one activation."""


class Records:
    """All records of one dispatcher.  Only those with a final answer are ever dropped, oldest first."""

    def __init__(self, most: int, most_bytes: float, keep_ms: float) -> None:
        self._most, self._most_bytes, self._keep_ms = most, most_bytes, keep_ms
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
        """Enter a record for an activation just taken."""
        if record.id in self._by_id:
            raise ValueError(f"activation {record.id} is there already")
        self._by_id[record.id] = record

    def end(self, now: float, record: Record, answer: str, code: int, result: bytes) -> None:
        """Give the one final answer.  Raises `AlreadyFinalError` at a second."""
        if record.answer:
            raise AlreadyFinalError(f"activation {record.id} was {record.answer} and would be {answer}")
        record.answer, record.code, record.result = answer, code, result
        record.end = record.start + (now - record.received_at)
        self.final_counts.setdefault(record.namespace, [0, 0, 0])[ANSWERS[answer]] += 1
        self._ended.append((now, record))
        self._bytes += record.size
        self.trim(now)

    def restore(self, now: float, record: Record) -> None:
        """Enter one that had ended before a restart."""
        self._by_id[record.id] = record
        self._ended.append((now, record))
        self._bytes += record.size

    def trim(self, now: float) -> None:
        """Drop what is beyond the number, the size or the time."""
        while self._ended and (
            len(self._ended) > self._most or self._bytes > self._most_bytes or now - self._ended[0][0] > self._keep_ms
        ):
            _, record = self._ended.popleft()
            self._bytes -= record.size
            self._by_id.pop(record.id, None)
            self.dropped += 1
            if self.on_drop is not None:
                self.on_drop(record)

    def kept_by(self, book: ReplicatedJournal) -> list[Record]:
        """All that a book keeps."""
        return [record for record in self._by_id.values() if record.replicated_journal is book]

    def remove(self, records: Iterable[Record]) -> None:
        """Another dispatcher has them from now on."""
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
        self, namespace: str, name: str | None = None, since: float = 0.0, upto: float = float("inf")
    ) -> Iterator[Record]:
        """Ended records of a namespace, last taken first; `name` is an action's path or bare name."""
        for record in reversed(self._by_id.values()):
            if (
                record.namespace == namespace
                and record.visible
                and since <= record.start <= upto
                and (name is None or name in (record.path, record.name))
            ):
                yield record

    def unread_since(self, since: float) -> int:
        """How many deferred ones ended after `since` and were not asked for yet."""
        recent = takewhile(lambda ended: ended[0] > since, reversed(self._ended))
        return sum(record.deferred and not record.fetched for _, record in recent)

    def in_flight(self) -> int:
        """How many have no final answer yet."""
        return len(self._by_id) - len(self._ended)
