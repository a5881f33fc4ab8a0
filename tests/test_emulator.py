"""Emulators in the test process: faults of the endpoint service, and faults and slow start of the worker."""

from __future__ import annotations

import asyncio

import numpy as np
import pytest
from program import run

from kelptrail.emulator.capture import Capture
from kelptrail.emulator.endpoint_service import EndpointService
from kelptrail.emulator.worker_faults import ActiveFaults, WorkerFault
from kelptrail.emulator.worker_slow_start import SlowStart
from kelptrail.fault_scenario.scenario import WORKER_FAULTS
from kelptrail.net.http_client import HttpClient
from kelptrail.settings.deployment import parse

DEPLOYMENT = """
(deployment test
  (type check (effect repeatable) (target-ms 300) (timeout-ms 900) (utility 2))
  (namespace one (uuid "00000000-0000-0000-0000-000000000001") (key "k1"))
  (action check (type check) (memory-mb 100) (lanes 4) (load-ms 50))
  (rules (tip 3) (tip-ms 1000) (cold-share 0.25) (cold-ms 60000))
  (fleet (cores 2)))
"""


def test_the_delay_of_the_endpoint_list_ends_with_its_fault() -> None:
    async def main() -> None:
        service = EndpointService(Capture(None, "roster"))
        service.server.listen("127.0.0.1", 0)
        client = HttpClient(service.server.address)
        await client.json("POST", "/fault", {"kind": "late", "late_ms": 40, "for_ms": 100})
        assert service.delay_ms == 40
        await asyncio.sleep(0.2)
        assert service.delay_ms == 0, "the fault has ended"
        client.close()
        await service.server.drain(0)

    run(main())


def test_a_fault_draws_a_random_number_only_while_it_is_active() -> None:
    random = np.random.default_rng(1)
    faults = ActiveFaults(random)
    before = random.bit_generator.state
    assert not faults.draw(WorkerFault.ANSWERS_LOST, 1.0) and faults.draw_stream_fault() is None
    assert random.bit_generator.state == before
    faults.start("cut", {"kind": "cut", "share": 1})
    assert faults.draw_stream_fault() is WorkerFault.CUT
    assert random.bit_generator.state != before
    faults.end("cut")
    assert faults.draw_stream_fault() is None


def test_scenarios_support_every_fault_of_the_worker() -> None:
    assert {fault.value for fault in WorkerFault} <= {kind.value for kind in WORKER_FAULTS}


def test_too_much_work_during_slow_start_overloads_a_worker() -> None:
    deployment = parse(DEPLOYMENT, "test")
    warm, cold = SlowStart(deployment, warm=True), SlowStart(deployment, warm=False)
    assert warm.capacity_factor == 1 and not warm.add_work(0.0, 1e9) and not warm.overloaded
    assert cold.capacity_factor == pytest.approx(0.25, abs=0.01)
    # The limit is 3 times a quarter of two cores within a second: about 1,500 ms of work.
    assert not cold.add_work(0.0, 1400)
    assert not cold.add_work(1500.0, 1400), "the earlier work is outside the window"
    assert cold.add_work(1600.0, 400) and cold.overloaded
