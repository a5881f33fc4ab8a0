"""Edge and planner on sockets: plans accepted, lost, forged, saved; a fault scenario with real processes."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest
from program import DEPLOYMENT, PEERS, Acceptors, Dispatcher, RecordingLog, ScriptedWorker, run

from kelptrail.clock import now_ms
from kelptrail.membership.members import EndpointList
from kelptrail.peers.messages import VERSION, FrameReader, Heartbeat, Hello, encode_frame
from kelptrail.planner.channel import READ, PlanOffer, PlanReply
from kelptrail.planner.core import Role
from kelptrail.planner.driver import PlannerDriver, PlannerOptions
from kelptrail.planner.edge_driver import PlanFollower
from kelptrail.planner.plan import encode_plan, make_plan
from kelptrail.settings.deployment import parse

ROOT = Path(__file__).parent.parent
FAST = DEPLOYMENT.replace(
    "(pool (connect-ms 150))",
    f"(pool (connect-ms 150))\n  (planner (every-ms 300) (valid-ms 1500) (down-ms 500))\n{PEERS}",
)


async def until(what: object, within: float = 20.0) -> None:
    end = now_ms() + within * 1000
    while not what():  # type: ignore[operator]
        assert now_ms() < end, "the condition did not become true"
        await asyncio.sleep(0.02)


class Pair:
    """A dispatcher in this process that follows planners, and one planner."""

    def __init__(self, state: Path, planners: int = 1) -> None:
        self.workers = [ScriptedWorker(f"w{n}") for n in range(3)]
        self.dispatcher = Dispatcher(self.workers, parse(FAST, "fast"))
        self.state, self.log = state, RecordingLog()
        self.acceptors = Acceptors(self.dispatcher.deployment, state)
        self.planners = [self.planner(n) for n in range(planners)]
        self.edge = self.follower()

    def planner(self, number: int, state: Path | None = None, port: int = 0) -> PlannerDriver:
        fleet = self.acceptors.join(f"planner-{number}")
        assert fleet.leases is not None
        planner_driver = PlannerDriver(
            self.dispatcher.deployment,
            PlannerOptions(
                f"planner-{number}", "127.0.0.1", port, "", state or self.state / f"p{number}", None, "greedy"
            ),
            fleet.leases,
            fleet.lease_length_ms,
            self.log,
        )
        planner_driver.restore()
        planner_driver.listen()
        planner_driver.start()
        planner_driver.on_endpoints(EndpointList(self.dispatcher.version, [w.endpoint for w in self.workers], "test"))
        return planner_driver

    def follower(self) -> PlanFollower:
        edge = PlanFollower(
            [p.address for p in self.planners],
            "edge",
            self.dispatcher.deployment.name,
            self.dispatcher.gateway,
            self.dispatcher.driver.schedule_decisions,
            self.state / "plan.bin",
            self.log,
        )
        edge.load_saved_plan()
        edge.start()
        return edge

    async def calls(self, seconds: float) -> int:
        """Calls one after the other; each must be completed.  Reports go as background work would send them."""
        end, done = now_ms() + seconds * 1000, 0
        while now_ms() < end:
            status, _, _ = await self.dispatcher.call("p/check")
            assert status == 200
            done += 1
            self.edge.send_reports()
            await asyncio.sleep(0.01)
        return done

    async def stop(self) -> None:
        await self.edge.stop()
        for planner in self.planners:
            await planner.stop()
        await self.acceptors.stop()
        await self.dispatcher.server.drain(500)
        await self.dispatcher.driver.drain(500)
        for worker in self.workers:
            await worker.server.drain(0)


def test_edge_follows_a_plan_until_it_expires_and_serves_without_one(tmp_path: Path) -> None:
    async def main() -> None:
        pair = Pair(tmp_path)
        planner = pair.planners[0]
        calling = asyncio.create_task(pair.calls(3.0))
        await until(lambda: pair.edge.plan_state.target(now_ms()))
        assert planner.planner.role is Role.LEADER and set(pair.edge.plan_state.target(now_ms()) or ()) == {"check"}
        await calling
        await planner.stop()  # the plan is followed until it expires, and calls are served all the time
        assert await pair.calls(2.5) > 30 and pair.edge.plan_state.target(now_ms()) is None
        assert not any(f.planned for f in pair.dispatcher.gateway.state.parts._functions.values())
        pair.planners = [pair.planner(0, port=int(planner.address.rpartition(":")[2]))]
        await asyncio.gather(until(lambda: pair.edge.plan_state.target(now_ms())), pair.calls(3.0))
        assert pair.planners[0].planner.epoch > planner.planner.epoch, "a new epoch fences the first planner"
        await pair.stop()
        restarted = pair.follower()
        assert restarted.plan_state.fence == pair.edge.plan_state.fence, "the next run knows the last plan"
        await restarted.stop()
        (tmp_path / "plan.bin").write_bytes(b"nonsense")
        with_damaged_file = pair.follower()
        assert with_damaged_file.plan_state.plan is None and any(e == "saved-plan-unusable" for e, _ in pair.log.lines)
        await with_damaged_file.stop()

    run(main())


def test_one_of_two_planners_leads_and_the_other_takes_over(tmp_path: Path) -> None:
    async def main() -> None:
        pair = Pair(tmp_path, 2)
        await pair.calls(2.5)
        leaders = [p for p in pair.planners if p.planner.role is Role.LEADER]
        assert len(leaders) == 1
        first = leaders[0]
        await first.stop()
        pair.planners.remove(first)
        began = now_ms()
        core = pair.planners[0].planner
        await asyncio.gather(until(lambda: core.role is Role.LEADER), pair.calls(2.0))
        while pair.edge.plan_state.fence[:2] != (core.epoch, core.owner):  # its first plan has not arrived
            assert now_ms() - began < 6000, (pair.edge.plan_state.fence, core.epoch, core.owner)
            await pair.calls(0.1)
        assert now_ms() - began < 6000
        await pair.stop()

    run(main())


def test_draining_worker_gets_no_attempts_and_forged_plans_are_refused(tmp_path: Path) -> None:
    async def main() -> None:
        pair = Pair(tmp_path, 0)
        offers: list[bytes] = []
        received: list[object] = []

        async def forger(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(encode_frame(Hello(VERSION, "forger", pair.dispatcher.deployment.name)))
            frames = FrameReader(READ)
            while data := await reader.read(65536):
                received.extend(frames.feed(data))
                writer.write(encode_frame(Heartbeat()))
                while offers:
                    writer.write(encode_frame(PlanOffer(offers.pop(0))))

        server = await asyncio.start_server(forger, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        edge = PlanFollower(
            [f"127.0.0.1:{port}"],
            "edge",
            pair.dispatcher.deployment.name,
            pair.dispatcher.gateway,
            pair.dispatcher.driver.schedule_decisions,
            None,
            pair.log,
        )
        edge.start()
        await pair.calls(0.2)
        name, endpoints_version = pair.dispatcher.deployment.name, edge.endpoints_version
        instances = {"check": {"w0": 2, "w1": 2, "w2": 2}, "activate": {"w1": 1}}
        plan = make_plan(name, (1, "forger", 1), 9e5, endpoints_version, instances)
        offers.append(encode_plan(plan, 0.0))
        await asyncio.gather(until(lambda: edge.plan_state.accepted == 1), pair.calls(0.5))
        orders = sum(w.load_order_count for w in pair.workers)
        assert orders >= 2, "instances are loaded ahead of calls"
        pair.workers[1].state = "draining"
        pair.dispatcher.set_workers(pair.workers)
        edge.on_endpoints()
        draining = pair.workers[1]
        before = draining.load_order_count, len(draining.attempts)
        await pair.calls(1.0)
        after = draining.load_order_count, len(draining.attempts)
        assert after == before, "a draining worker gets nothing"
        offers += [
            encode_plan(make_plan(name, (1, "forger", n), 9e5, endpoints_version, {"check": {w: 1}}), 0.0)
            for n, w in ((2, "w1"), (3, "nobody"), (1, "w0"))
        ] + [encode_plan(plan, 0.0)[:-3], b"", b"\x28\xb5"]
        await until(lambda: sum(isinstance(m, PlanReply) for m in received) >= 7)
        reasons = [m.reason for m in received if isinstance(m, PlanReply)]
        assert reasons == ["", "workers", "workers", "older", "digest", "digest", "digest"]
        assert edge.plan_state.fence == (1, "forger", 1)
        await edge.stop()
        server.close()
        await pair.stop()

    run(main())


@pytest.mark.scenarios
@pytest.mark.parametrize("seed", [1])
def test_planner_fault_scenario_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    """Planners are slow, killed and started without state while workers drain and crash."""
    scenario = (ROOT / "examples" / "bad-days" / "planned.sexp").read_text()
    for old, new in (
        ("(seconds 40)", "(seconds 18)"),  # eight after the last planner is back: a lease has to expire and be acquired
        ("(at 8)", "(at 5)"),
        ("(at 10) (for 8)", "(at 6) (for 2)"),
        ("(at 12) (for 4)", "(at 6) (for 3)"),
        ("(at 20) (for 3)", "(at 7) (for 1)"),
        ("(at 22) (for 2)", "(at 8) (for 1)"),
        ("(at 26) (for 2)", "(at 9) (for 1)"),
        ("(at 27)", "(at 10)"),
        ("(workers 8)", "(workers 5)"),
        ("(rate 120)", "(rate 80)"),
        ("../fleet.sexp", str(ROOT / "examples" / "fleet.sexp")),
    ):
        assert old in scenario
        scenario = scenario.replace(old, new)
    file = tmp_path / "planned.sexp"
    file.write_text(scenario)
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "kelptrail",
            "fault-scenario",
            str(file),
            "--seed",
            str(seed),
            "--out",
            str(tmp_path / "out"),
        ],
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    assert done.returncode == 0, done.stderr[-2000:]
    report = json.loads(done.stdout)
    assert not report["broken"] and report["taken"] > 700 and report["unanswered"] == 0
    assert report["completed"] > 0.95 * report["taken"]
    logs = "".join(f.read_text() for f in (tmp_path / "out" / "logs").glob("planner-*.log"))
    assert logs.count('"role":"acting"') >= 2, "a planner led, was lost, and was followed by another"
