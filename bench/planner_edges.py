"""Fake edges that report usage to a planner and acknowledge its plans as an edge does."""

from __future__ import annotations

import asyncio
import zlib
from typing import NamedTuple

import numpy as np

from kelptrail.clock import now_ms
from kelptrail.gateway.counters import FunctionCounters
from kelptrail.peers.messages import VERSION, FrameReader, Heartbeat, Hello, encode_frame
from kelptrail.planner.channel import MESSAGE_DECODER, PlanOffer, PlanReply, UsageReport
from kelptrail.planner.plan import BEFORE_ALL_PLANS, decode_plan

REPORT_INTERVAL_S = 1.0
RUN_MS = 100.0  # run time of each call


class EdgeTotals(NamedTuple):
    """Bytes and plans that an edge has exchanged with its planner so far."""

    bytes_in: int
    bytes_out: int
    plans: int


class FakeEdge:
    """An edge whose functions each get a random number of calls, `rate` a second on average."""

    def __init__(self, name: str, deployment: str, address: str, models: list[str], rate: float) -> None:
        self._name = name
        self._deployment = deployment
        self._address = address
        self._models = models
        self._rate = rate
        self._bytes_in = self._bytes_out = self._plans = 0

    @property
    def totals(self) -> EdgeTotals:
        """Bytes and plans that this edge has exchanged with its planner so far."""
        return EdgeTotals(self._bytes_in, self._bytes_out, self._plans)

    async def run(self) -> None:
        """Report every second until the planner closes the connection."""
        host, _, port = self._address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self._write(writer, encode_frame(Hello(VERSION, self._name, self._deployment, BEFORE_ALL_PLANS)))
        read_task = asyncio.create_task(self._acknowledge_plans(reader, writer))
        rng = np.random.default_rng(zlib.crc32(self._name.encode()))
        start = now_ms()
        while True:
            counters = {
                model: FunctionCounters(int(count), int(count), 0, 0, 0, 0, RUN_MS * float(count))
                for model, count in zip(self._models, rng.poisson(self._rate, len(self._models)), strict=True)
                if count
            }
            report = UsageReport(BEFORE_ALL_PLANS, now_ms() - start, counters, {}, False)
            self._write(writer, encode_frame(report))
            self._write(writer, encode_frame(Heartbeat()))
            await asyncio.sleep(REPORT_INTERVAL_S)
            if read_task.done():
                return

    async def _acknowledge_plans(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        frames = FrameReader(MESSAGE_DECODER)
        while data := await reader.read(1 << 16):
            self._bytes_in += len(data)
            for message in frames.feed(data):
                if isinstance(message, PlanOffer):
                    self._plans += 1
                    self._write(writer, encode_frame(PlanReply(decode_plan(message.data).header.order)))

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self._bytes_out += len(data)
        writer.write(data)
