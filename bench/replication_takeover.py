"""Measures the take-over of a journal in one process: reading, recovery and resumption; timers replace the workers."""

from __future__ import annotations

import asyncio
import gc
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from kelptrail.clock import now_ms, wall_ms
from kelptrail.codec.infer import WorkerAnswer
from kelptrail.dispatch.entities import Attempt, AttemptStatus
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import FinalAnswer, StartAttempt, StartLoad
from kelptrail.lease.messages import FencingToken
from kelptrail.membership.members import Endpoint, EndpointList
from kelptrail.replication.messages import ReplicaEntry
from kelptrail.replication.replica import Fence, ReplicaWrite
from kelptrail.replication.replica_store import ReadRequest, open_replica_store
from kelptrail.settings.deployment import parse
from kelptrail.store.entries import Accepted, Ended, MayRun, encode_entry

JOURNAL = "lost.1"
BODY = b'{"family":7}' * 20
ACTIVATION_TIMEOUT_MS = 600_000.0
ENTRY_AGE_MS = 3000.0  # age of an accepted entry; the replica gets it for the entries of other kinds as well
WORKERS, INSTANCES = 4, 64
RECOVERY_BATCH = 200
RESUMPTION_TIMEOUT_MS = 120_000


class ImmediateJournal:
    """A journal whose writes are durable immediately, to measure the take-over alone."""

    def is_accepting(self) -> bool:
        return True

    def is_primary(self, now: float) -> bool:
        return True

    def write(self, entry: Any, waiter: Callable[[bool], None] | None = None, keep: bool = False) -> None:
        if waiter is not None:
            asyncio.get_running_loop().call_soon(waiter, True)

    def forget(self, id_: str) -> None:
        pass


class Resumption:
    """Carries out the effects of a gateway that resumes activations; each attempt takes `run_ms`."""

    def __init__(self, gateway: Gateway, run_ms: float) -> None:
        self.final_ids: set[str] = set()
        self.first_attempt_at = 0.0
        self.last_answer_at = 0.0
        self._gateway = gateway
        self._run_s = run_ms / 1000

    def run_effects(self) -> None:
        """Carry out the effects that the gateway returns."""
        loop, now = asyncio.get_running_loop(), now_ms()
        while (effect := self._gateway.next_effect(now)) is not None:
            if isinstance(effect, FinalAnswer):
                self.final_ids.add(effect.invocation.record.id)
                self.last_answer_at = now
            if isinstance(effect, StartLoad):
                self._gateway.on_load_report(now, effect.order, AttemptStatus.COMPLETED, INSTANCES)
            elif isinstance(effect, StartAttempt):
                self.first_attempt_at = self.first_attempt_at or now
                loop.call_later(self._run_s, self._finish, effect.attempt)

    def _finish(self, attempt: Attempt) -> None:
        answer = WorkerAnswer("completed", result=b"{}", success=True)
        self._gateway.on_attempt_finished(now_ms(), attempt, AttemptStatus.COMPLETED, answer)
        asyncio.get_running_loop().call_soon(self.run_effects)


def journal_entries(count: int, unfinished: float, now: float) -> tuple[ReplicaEntry, ...]:
    """Return the entries of activations 0 to `count` - 1; those with a number below `unfinished` have no answer."""
    kinds = (Accepted, MayRun, Ended)
    items: list[ReplicaEntry] = []
    for n in range(count):
        id_ = f"{n:032x}"
        entries: list[Any] = [Accepted(id_, "n", "f-0", now - 3000, ACTIVATION_TIMEOUT_MS, BODY)]
        if n >= unfinished:
            entries += [MayRun(id_, now - 2000, "w0"), Ended(id_, now, "completed", 0, BODY)]
        items += [
            ReplicaEntry(entry.id, kinds.index(type(entry)), ENTRY_AGE_MS, encode_entry(entry)[0]) for entry in entries
        ]
    return tuple(items)


async def measure_takeover(
    deployment_text: str, count: int, unfinished_share: float, run_ms: float, at_once: int
) -> dict[str, Any]:
    """Measure the take-over of a journal of `count` activations, a share of them without an answer.

    At most `at_once` activations run at the same time."""
    text = deployment_text.replace("(timeout-ms 10000)", "(timeout-ms 600000)")
    deployment = parse(text.replace("(records 200000)", "(records 2000000)"), "bench")
    unfinished, wall = int(count * unfinished_share), wall_ms()
    with tempfile.TemporaryDirectory(dir=".") as folder:
        store, _ = open_replica_store(Path(folder) / "copies.sqlite")
        entries = journal_entries(count, count * unfinished_share, wall)
        fence = Fence(FencingToken(1, "lost/1"), "lost")
        store.commit([ReplicaWrite(JOURNAL, entries, fence=fence, wall_ms=wall)])
        _tune_garbage_collection()
        start, reading = now_ms(), ReadRequest(JOURNAL, wall_ms=wall_ms())
        # `commit` also carries out reads; it fills `reading.activations`.
        await asyncio.get_running_loop().run_in_executor(None, store.commit, [reading])
        read_ms = now_ms() - start
        gateway = Gateway(DispatcherParts(deployment, zone="hall", seed=1), "b" * 16)
        endpoints = [Endpoint(f"w{n}", f"127.0.0.1:{n + 1}") for n in range(WORKERS)]
        gateway.on_endpoints(now_ms(), EndpointList(1, endpoints))
        resumption = Resumption(gateway, run_ms)
        longest_batch_ms = await _recover(gateway, resumption, reading, at_once)
        recovered_at = now_ms()
        while len(resumption.final_ids) < unfinished and now_ms() - start < RESUMPTION_TIMEOUT_MS:
            await asyncio.sleep(0.01)
            resumption.run_effects()
        store.close()
    return {
        "records": count,
        "unfinished": unfinished,
        "resumed": len(resumption.final_ids),  # number of final answers
        # Times since the start of the read: until its end, the first attempt, the end of recovery, the last answer.
        "read_ms": round(read_ms),
        "first_resumed_ms": round(resumption.first_attempt_at - start),
        "all_known_ms": round(recovered_at - start),
        "last_resumed_ms": round(resumption.last_answer_at - start),
        "longest_step_ms": round(longest_batch_ms, 1),  # longest batch of the recovery
    }


def _tune_garbage_collection() -> None:
    """Tune garbage collection as the program does."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 1_000_000)


async def _recover(gateway: Gateway, resumption: Resumption, reading: ReadRequest, at_once: int) -> float:
    """Recover all activations in batches, unfinished ones first; return the milliseconds of the longest batch."""
    journal = ImmediateJournal()
    activations = sorted(reading.activations, key=lambda each: (each.ended is not None, each.accepted.start))
    longest_ms = 0.0
    for n in range(0, len(activations), RECOVERY_BATCH):
        start = now_ms()
        gateway.recover(start, wall_ms(), activations[n : n + RECOVERY_BATCH], 200.0, at_once, journal)
        resumption.run_effects()
        longest_ms = max(longest_ms, now_ms() - start)
        await asyncio.sleep(0.001)
    return longest_ms
