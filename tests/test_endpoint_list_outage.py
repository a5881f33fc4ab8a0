"""Workers that drain while the endpoint list is unreachable: a dispatcher process with a list and workers of its own.

Guards against the incident of 2026-12-02: while the endpoint list was silent, dispatchers sent attempts and load orders
to two workers that were draining but still running, long after the drains counted as notified and their grace period
had ended; the workers rejected all of them.  A worker stayed `live` until an event arrived, and the age of the list was
not limited.  In addition, the rejections of one worker were treated as an overload of all workers, so that requests
were refused while other workers were idle.

The logs of the incident show the cause: they stay at one event number without a change of any worker's state.
Before the repair, the same silence with a drain reproduced the fault in these tests on every run.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
import uvloop
from outage_fixture import DRAIN_GRACE_S, NOTIFICATION_S, SCHEDULING_SLACK_S, Cluster, ListFault, WorkerAnswers

from kelptrail.codec import frames

RULE_SLACK_S = 0.05
SECOND_DRAIN_S = 5.5  # from the start of the outage; undelivered drains count as notified by then
MAX_LOAD_QUERIES_PER_REQUEST = 1.0
MIN_SERVED_SHARE = 0.95  # share of the requests; all are served if the same drains are announced


HEALTH_CHECKS_ALLOWED = {"probes": True}
HEALTH_CHECKS_NOT_MENTIONED: dict[str, bool] = {}
CASES = [
    (ListFault.SILENT, False, HEALTH_CHECKS_NOT_MENTIONED, WorkerAnswers.AS_DOCUMENTED),
    (ListFault.SILENT, True, HEALTH_CHECKS_ALLOWED, WorkerAnswers.AS_OBSERVED),
    (ListFault.SILENT, False, HEALTH_CHECKS_ALLOWED, WorkerAnswers.QUERIES_ONLY),
    (ListFault.REFUSES, False, HEALTH_CHECKS_ALLOWED, WorkerAnswers.AS_OBSERVED),
    (ListFault.REFUSES, True, HEALTH_CHECKS_NOT_MENTIONED, WorkerAnswers.AS_DOCUMENTED),
    (ListFault.CLOSES, True, HEALTH_CHECKS_ALLOWED, WorkerAnswers.AS_DOCUMENTED),
    (ListFault.TRICKLES, False, HEALTH_CHECKS_ALLOWED, WorkerAnswers.AS_OBSERVED),
    (ListFault.TRICKLES, True, HEALTH_CHECKS_NOT_MENTIONED, WorkerAnswers.AS_DOCUMENTED),
]


@pytest.mark.scenarios
@pytest.mark.parametrize(("fault", "preloaded", "bounds", "answers"), CASES)
def test_draining_workers_get_no_work_while_the_list_is_unreachable(
    tmp_path: Path, fault: ListFault, preloaded: bool, bounds: dict[str, bool], answers: WorkerAnswers
) -> None:
    async def main() -> None:
        async with Cluster(tmp_path, preloaded=preloaded, bounds=bounds, answers=answers) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 9.5))
            await asyncio.sleep(1.2)
            await cluster.service.fail(fault)
            outage_at = time.monotonic()
            await asyncio.sleep(0.3)
            cluster.drain(0)
            await asyncio.sleep(SECOND_DRAIN_S - 0.3)
            cluster.drain(1)
            second_drain_at = time.monotonic()
            await requests
            first_limit = outage_at + NOTIFICATION_S + DRAIN_GRACE_S + RULE_SLACK_S + SCHEDULING_SLACK_S
            second_limit = second_drain_at + DRAIN_GRACE_S + RULE_SLACK_S + SCHEDULING_SLACK_S
            late_work = [
                dict(cluster.workers[0].work_received_after(first_limit)),
                dict(cluster.workers[1].work_received_after(second_limit)),
            ]
            assert late_work == [{}, {}], f"work sent to draining workers: {late_work}"
            assert all(outcome.code is not None for outcome in cluster.outcomes)
            assert cluster.served_share(outage_at + NOTIFICATION_S) >= MIN_SERVED_SHARE
            assert cluster.load_queries <= MAX_LOAD_QUERIES_PER_REQUEST * len(cluster.outcomes)
            assert "invariant violated" not in cluster.log()

    uvloop.run(main())


@pytest.mark.scenarios
def test_workers_whose_drain_is_announced_get_no_late_work(tmp_path: Path) -> None:
    """The baseline for the outage: the served share and the late work if the list announces both drains."""

    async def main() -> None:
        async with Cluster(tmp_path) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 4.0))
            await asyncio.sleep(1.2)
            cluster.drain(0)
            await asyncio.sleep(0.8)
            cluster.drain(1)
            drained_at = time.monotonic()
            await requests
            limit = drained_at + DRAIN_GRACE_S + RULE_SLACK_S + SCHEDULING_SLACK_S
            assert not cluster.workers[0].work_received_after(limit) and not cluster.workers[1].work_received_after(
                limit
            )
            assert cluster.served_share(drained_at) >= MIN_SERVED_SHARE

    uvloop.run(main())


@pytest.mark.scenarios
def test_one_worker_that_rejects_everything_does_not_shed_requests_for_the_others(tmp_path: Path) -> None:
    """In the same incident 40 to 50% of all requests were refused without an attempt; three of four workers were idle.

    The list is available here: a worker that is overloaded by others, or broken, has the same effect.
    """

    async def main() -> None:
        async with Cluster(tmp_path, preloaded=True) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 6.0))
            await asyncio.sleep(1.2)
            cluster.workers[0].is_draining = True  # it rejects work although it is listed as ready
            rejects_from = time.monotonic()
            await requests
            assert cluster.served_share(rejects_from) >= MIN_SERVED_SHARE

    uvloop.run(main())


@pytest.mark.scenarios
def test_a_process_started_in_an_outage_probes_workers_before_sending_work(tmp_path: Path) -> None:
    """The age of its initial list is unknown, so a drain that the list lacks counts as notified immediately."""

    async def main() -> None:
        cluster = Cluster(tmp_path, bounds=HEALTH_CHECKS_ALLOWED, answers=WorkerAnswers.AS_OBSERVED)
        cluster.service.fault = ListFault.SILENT
        async with cluster:
            cluster.drain(0)
            drained_at = time.monotonic()
            await cluster.send_requests(drained_at + 3.0)
            late_work = cluster.workers[0].work_received_after(
                drained_at + DRAIN_GRACE_S + RULE_SLACK_S + SCHEDULING_SLACK_S
            )
            assert not late_work, f"work sent to a draining worker: {late_work}"
            assert cluster.served_share(drained_at) >= MIN_SERVED_SHARE

    uvloop.run(main())


@pytest.mark.scenarios
@pytest.mark.parametrize("fault", [ListFault.SILENT, ListFault.REFUSES], ids=lambda fault: fault.name.lower())
def test_a_second_outage_is_timed_from_its_own_start(tmp_path: Path, fault: ListFault) -> None:
    async def main() -> None:
        async with Cluster(tmp_path, bounds=HEALTH_CHECKS_ALLOWED, answers=WorkerAnswers.AS_OBSERVED) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 13.0))
            await asyncio.sleep(0.5)
            await cluster.service.fail(fault)
            await asyncio.sleep(5.2)
            await cluster.service.recover()
            await asyncio.sleep(1.3)
            await cluster.service.fail(fault)
            outage_at = time.monotonic()
            cluster.drain(2)
            await requests
            limit = outage_at + NOTIFICATION_S + DRAIN_GRACE_S + RULE_SLACK_S + SCHEDULING_SLACK_S
            assert not cluster.workers[2].work_received_after(limit)
            assert cluster.served_share(outage_at) >= MIN_SERVED_SHARE
            assert "invariant violated" not in cluster.log()

    uvloop.run(main())


@pytest.mark.scenarios
def test_without_permitted_probes_no_work_is_sent_and_requests_are_refused_quickly(tmp_path: Path) -> None:
    async def main() -> None:
        async with Cluster(tmp_path, bounds={"probes": False}, answers=WorkerAnswers.AS_OBSERVED) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 8.0, lambda n: n % 400))
            await asyncio.sleep(0.5)
            await cluster.service.fail(ListFault.SILENT)
            outage_at = time.monotonic()
            await asyncio.sleep(0.3)
            cluster.drain(0)
            await requests
            limit = outage_at + NOTIFICATION_S + DRAIN_GRACE_S + RULE_SLACK_S + SCHEDULING_SLACK_S
            assert not cluster.workers[0].work_received_after(limit)
            refused = [each for each in cluster.outcomes if each.sent_at > limit and each.code == frames.REFUSED]
            assert all(each.code is not None for each in cluster.outcomes)
            refused_quickly = [
                each for each in refused if each.answered_at is not None and each.answered_at < each.sent_at + 0.2
            ]
            assert len(refused_quickly) >= 0.9 * len(refused)

    uvloop.run(main())
