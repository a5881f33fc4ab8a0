"""Workers that drain while the endpoint list is out of reach: a real process against an own list and own workers.

Incident of 2026-12-02.  Seen: while the service of the endpoint list was silent, two workers drained and stayed up;
dispatchers went on sending attempts and load orders to them, long past the time at which a drain counts as notified and
its grace; the workers turned all of it away.  How it came about: a worker stayed `live` until an event said otherwise,
and no event came.  Cause: what the list said once was used with no limit on its age; and the rejections of one worker
were taken for an overload of the whole fleet, so that requests were refused while other workers were idle.  Proof: the
logs stay at one event number, no worker state changes, and the same silence with a drain shows it here on each run.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
import uvloop
from outage_fixture import GRACE_S, MACHINE_SLACK_S, NOTIFICATION_S, Cluster, ListFault, WorkerAnswers

from kelptrail.codec import frames

RULE_SLACK_S = 0.05
SECOND_DRAIN_S = 5.5  # after the outage began: the list's silence counts as notified by then
QUESTIONS_PER_REQUEST = 1.0
SERVED_SHARE = 0.95  # of what is served with the same drains announced, where nothing is refused


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
def test_no_work_goes_to_a_worker_that_drains_while_the_list_is_out_of_reach(
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
            first_limit = outage_at + NOTIFICATION_S + GRACE_S + RULE_SLACK_S + MACHINE_SLACK_S
            second_limit = second_drain_at + GRACE_S + RULE_SLACK_S + MACHINE_SLACK_S
            late = [
                dict(cluster.workers[0].begun_after(first_limit)),
                dict(cluster.workers[1].begun_after(second_limit)),
            ]
            assert late == [{}, {}], f"work begun at draining workers: {late}"
            assert all(outcome.code is not None for outcome in cluster.outcomes)
            assert cluster.served_share(outage_at + NOTIFICATION_S) >= SERVED_SHARE
            assert cluster.questions <= QUESTIONS_PER_REQUEST * len(cluster.outcomes)
            assert "invariant violated" not in cluster.log()

    uvloop.run(main())


@pytest.mark.scenarios
def test_the_same_drains_announced_keep_both_terms(tmp_path: Path) -> None:
    """The measure for the outage: what is served, and begun late, where the list tells both drains."""

    async def main() -> None:
        async with Cluster(tmp_path) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 4.0))
            await asyncio.sleep(1.2)
            cluster.drain(0)
            await asyncio.sleep(0.8)
            cluster.drain(1)
            drained_at = time.monotonic()
            await requests
            limit = drained_at + GRACE_S + RULE_SLACK_S + MACHINE_SLACK_S
            assert not cluster.workers[0].begun_after(limit) and not cluster.workers[1].begun_after(limit)
            assert cluster.served_share(drained_at) >= SERVED_SHARE

    uvloop.run(main())


@pytest.mark.scenarios
def test_one_worker_that_rejects_everything_does_not_shed_requests_for_the_others(tmp_path: Path) -> None:
    """Seen in the same incident: 40 to 50% of all requests were refused without an attempt, three workers of four idle.
    The list is up here: a worker full of other work, or broken, does the same.
    """

    async def main() -> None:
        async with Cluster(tmp_path, preloaded=True) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 6.0))
            await asyncio.sleep(1.2)
            cluster.workers[0].drains = True  # rejects, and is listed as ready
            rejects_from = time.monotonic()
            await requests
            assert cluster.served_share(rejects_from) >= SERVED_SHARE

    uvloop.run(main())


@pytest.mark.scenarios
def test_a_process_that_starts_in_an_outage_asks_before_it_sends(tmp_path: Path) -> None:
    """Its initial list may be old, and the outage too: what has drained since then counts as notified at once."""

    async def main() -> None:
        cluster = Cluster(tmp_path, bounds=HEALTH_CHECKS_ALLOWED, answers=WorkerAnswers.AS_OBSERVED)
        cluster.service.fault = ListFault.SILENT
        async with cluster:
            cluster.drain(0)
            drained_at = time.monotonic()
            await cluster.send_requests(drained_at + 3.0)
            late = cluster.workers[0].begun_after(drained_at + GRACE_S + RULE_SLACK_S + MACHINE_SLACK_S)
            assert not late, f"work begun at a draining worker: {late}"
            assert cluster.served_share(drained_at) >= SERVED_SHARE

    uvloop.run(main())


@pytest.mark.scenarios
@pytest.mark.parametrize("fault", [ListFault.SILENT, ListFault.REFUSES], ids=lambda fault: fault.name.lower())
def test_a_second_outage_is_counted_from_its_own_beginning(tmp_path: Path, fault: ListFault) -> None:
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
            limit = outage_at + NOTIFICATION_S + GRACE_S + RULE_SLACK_S + MACHINE_SLACK_S
            assert not cluster.workers[2].begun_after(limit)
            assert cluster.served_share(outage_at) >= SERVED_SHARE
            assert "invariant violated" not in cluster.log()

    uvloop.run(main())


@pytest.mark.scenarios
def test_where_nothing_may_be_asked_nothing_is_sent_and_requests_are_refused_at_once(tmp_path: Path) -> None:
    async def main() -> None:
        async with Cluster(tmp_path, bounds={"probes": False}, answers=WorkerAnswers.AS_OBSERVED) as cluster:
            requests = asyncio.create_task(cluster.send_requests(time.monotonic() + 8.0, lambda n: n % 400))
            await asyncio.sleep(0.5)
            await cluster.service.fail(ListFault.SILENT)
            outage_at = time.monotonic()
            await asyncio.sleep(0.3)
            cluster.drain(0)
            await requests
            limit = outage_at + NOTIFICATION_S + GRACE_S + RULE_SLACK_S + MACHINE_SLACK_S
            assert not cluster.workers[0].begun_after(limit)
            refused = [each for each in cluster.outcomes if each.sent_at > limit and each.code == frames.REFUSED]
            assert all(each.code is not None for each in cluster.outcomes)
            quick = [each for each in refused if each.answered_at is not None and each.answered_at < each.sent_at + 0.2]
            assert len(quick) >= 0.9 * len(refused)

    uvloop.run(main())
