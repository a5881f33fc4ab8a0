"""Fake workers that answer load orders and calls at random: with results, rejections, noise, twice, late or never."""

from __future__ import annotations

import asyncio
import contextlib
import time

from fault_injection.run_state import RunState, WorkerBehavior, WorkerCall

LATE_ANSWER_S = 1.0
MAX_ANSWER_DELAY_S = 0.04
MAX_LOAD_DELAY_S = 0.05
MAX_SECOND_ANSWER_DELAY_S = 0.02
LOAD_ANSWERS = ["OK units=1"] * 9 + ["BUSY units=0"]
CALL_BEHAVIORS = [WorkerBehavior.COMPLETED] * 60 + [
    WorkerBehavior.NOT_LOADED,
    WorkerBehavior.NOT_LOADED,
    WorkerBehavior.NOT_LOADED_TWICE,
    WorkerBehavior.OUT_OF_CAPACITY,
    WorkerBehavior.ERROR,
    WorkerBehavior.NOISE,
    WorkerBehavior.CONNECTION_CLOSED,
    WorkerBehavior.SILENT,
    WorkerBehavior.TRUNCATED,
    WorkerBehavior.ANSWERED_TWICE,
    WorkerBehavior.LATE,
    WorkerBehavior.NOT_SENT,
]


class FakeWorkers:
    """Workers on loopback, numbered from 0; every call that they read is recorded in the run."""

    def __init__(self, run: RunState) -> None:
        self._run = run
        self.ports: list[int] = []
        self.hung: set[int] = set()  # workers that answer neither calls nor pings
        self.draining: set[int] = set()  # workers that reject loads and calls and report DOWN

    async def open(self) -> int:
        """Start one more worker; return its number."""
        number = len(self.ports)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # The task is cancelled if the run ends with the connection still open.
            with contextlib.suppress(
                OSError, RuntimeError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError
            ):
                await self._serve(number, reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.ports.append(server.sockets[0].getsockname()[1])
        return number

    async def _serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            word, id_, *rest = line.decode().split()
            if word == "LOAD":
                is_query = rest[0].endswith("units=0")
                await asyncio.sleep(0.0 if is_query else self._run.rng.random() * MAX_LOAD_DELAY_S)
                answer = self._run.rng.choice(LOAD_ANSWERS)
                if number in self.draining and not is_query:
                    answer = "BUSY units=0"
                writer.write(f"{id_} {answer} 0\r\n\r\n".encode())
            elif word == "PING":
                if number not in self.hung:
                    answer = "DOWN" if number in self.draining else "UP"
                    writer.write(f"{id_} {answer} - 0\r\n\r\n".encode())
            elif word == "CALL":
                body = (await reader.readexactly(int(rest[-1]) + 2))[:-2]
                self.answer_call(number, id_, body, writer)

    def answer_call(self, number: int, id_: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer one call after a delay, with a random behavior.

        A hung worker does not answer, and a draining one is out of capacity."""
        now = time.monotonic()
        if number in self.hung:
            self._run.calls[id_].append(WorkerCall(now, WorkerBehavior.SILENT, number))
            return
        behavior = self._run.rng.choice(CALL_BEHAVIORS)
        if number in self.draining:
            behavior = WorkerBehavior.OUT_OF_CAPACITY
        self._run.calls[id_].append(WorkerCall(now, behavior, number))
        result = b"%d %s" % (number, body)
        self._run.result_bodies.add(result)
        data = _answer_bytes(behavior, id_, result)
        delay_s = LATE_ANSWER_S if behavior is WorkerBehavior.LATE else self._run.rng.random() * MAX_ANSWER_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, self._write_answer, behavior, data, writer)

    def _write_answer(self, behavior: WorkerBehavior, data: bytes, writer: asyncio.StreamWriter) -> None:
        if not _write_if_open(writer, data):
            return
        if behavior in (WorkerBehavior.CONNECTION_CLOSED, WorkerBehavior.TRUNCATED):
            writer.close()
        if behavior is WorkerBehavior.NOT_LOADED_TWICE:
            delay_s = MAX_SECOND_ANSWER_DELAY_S * self._run.rng.random()
            asyncio.get_running_loop().call_later(delay_s, _write_if_open, writer, data)


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> bool:
    """Write an answer unless the connection has ended since it was scheduled; return whether it was written."""
    try:
        writer.write(data)
    except (RuntimeError, OSError):
        return False
    return True


def _answer_bytes(behavior: WorkerBehavior, id_: str, result: bytes) -> bytes:
    completed = b"%s OK tell=up,ahead=0 %d\r\n%s\r\n" % (id_.encode(), len(result), result)
    without_result = b"%s %s - 0\r\n\r\n" % (id_.encode(), behavior[:4].encode())
    return {
        WorkerBehavior.COMPLETED: completed,
        WorkerBehavior.LATE: completed,
        WorkerBehavior.ANSWERED_TWICE: completed + completed,
        WorkerBehavior.NOISE: b"\0\xffno line\r\n",
        WorkerBehavior.TRUNCATED: completed[:-5],
        WorkerBehavior.SILENT: b"",
        WorkerBehavior.CONNECTION_CLOSED: b"",
    }.get(behavior, without_result)
