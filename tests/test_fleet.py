"""Cooperation of dispatchers on real connections and in real processes: channel, leases, usage, a short campaign."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest
from program import DEPLOYMENT, PEERS, Acceptors, run

from kelptrail.codec.http import Request
from kelptrail.fault_scenario.runner import ScenarioRunner
from kelptrail.fault_scenario.scenario import load_scenario
from kelptrail.lease.acceptor_store import open_acceptor_store
from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import AcquireRequest, FencingToken
from kelptrail.net.server import Exchange, HttpServer
from kelptrail.peers.connection import PeerConnection, PeerSettings
from kelptrail.peers.messages import VERSION, ChannelError, FrameReader, Heartbeat, Hello, decoder, encode_frame
from kelptrail.service.usage import UsageCollector, UsageCounts, UsageDriver, UsageSettings, UsageTotal, UsageView
from kelptrail.settings.deployment import parse
from kelptrail.settings.reader import SettingsError

ROOT = Path(__file__).parent.parent
DECODER = decoder(AcquireRequest)
REQUEST = AcquireRequest("t", FencingToken(1, "x"), 1.0, 1, 1)
DEPLOYMENT_WITH_PEERS = parse(
    DEPLOYMENT.replace("(pool (connect-ms 150))", f"(pool (connect-ms 150))\n{PEERS}"), "fleet"
)


class FutureMessage(msgspec.Struct, frozen=True, tag="later", array_like=True):
    """A message type of a later version."""

    what: int = 1


def new_connection(**settings: Any) -> PeerConnection:
    return PeerConnection(Hello(VERSION, "me", "here", capabilities=("lease",)), PeerSettings(**settings), DECODER, 0.0)


def test_a_peer_connection_reads_other_versions_and_closes_at_invalid_frames() -> None:
    old_peer, new_peer = new_connection(), new_connection()
    assert old_peer.receive_data(1.0, encode_frame(Hello(1, "old", "here"))) == [] and old_peer.version == 1
    assert not old_peer.enqueue(2.0, REQUEST, "lease") and not old_peer.pending_bytes > 100, (
        "a peer of version 1 supports no lease messages"
    )
    frames = b"".join(
        [
            encode_frame(Hello(VERSION + 3, "new", "here", capabilities=("lease", "more"))),
            encode_frame(FutureMessage()),
            encode_frame(REQUEST),
        ]
    )
    assert (
        new_peer.receive_data(1.0, frames) == [REQUEST]
        and new_peer.version == VERSION
        and new_peer.unknown_messages == 1
    )
    assert new_peer.enqueue(2.0, REQUEST, "lease")
    for frame, message in (
        (b"\0\0\0\2{}", "invalid message"),
        (encode_frame(Hello(2, "x", "there")), "lineage"),
        (encode_frame(FutureMessage()), "invalid message"),
        (encode_frame(Hello(2, "", "here")), "must contain a name"),
        (b"\x7f\0\0\0", "a frame of"),
        (encode_frame(Heartbeat()), "hello must come first"),
    ):
        with pytest.raises(ChannelError, match=message):
            new_connection().receive_data(1.0, frame)
    reader = FrameReader(DECODER)
    assert reader.feed(encode_frame(Hello(2, "x", "here"))[:5]) == []


def test_pending_bytes_and_message_rate_are_limited_and_silence_is_detected() -> None:
    limited = new_connection(
        max_pending_bytes=300, max_messages_per_s=10.0, heartbeat_ms=100.0, silence_timeout_ms=400.0
    )
    assert (
        len(
            limited.receive_data(
                0.0, encode_frame(Hello(2, "x", "here", capabilities=("lease",))) + encode_frame(REQUEST) * 50
            )
        )
        == 10
    )
    assert limited.rate_limited == 40 and len(limited.receive_data(500.0, encode_frame(REQUEST) * 50)) == 5
    while limited.enqueue(500.0, REQUEST, "lease"):
        pass
    assert (
        limited.pending_bytes <= 300 and limited.dropped == 1 and limited.data_to_send() and not limited.pending_bytes
    )
    assert limited.tick(700.0) and limited.pending_bytes, "a heartbeat is queued"
    assert not limited.tick(901.0), "the peer was silent for too long"


async def wait_until(condition: Any, timeout_s: float = 10.0) -> None:
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "timed out"
        await asyncio.sleep(0.01)


def acquire(leases: LeaseDriver, events: list[tuple[str, str]]) -> None:
    leases.acquire(
        "t",
        1000.0,
        lambda token: events.append((leases.name, str(token))),
        lambda token, reason: events.append((leases.name, reason)),
    )


@pytest.mark.timed
def test_a_lease_is_transferred_over_sockets_and_expires_while_the_event_loop_is_blocked(tmp_path: Path) -> None:
    async def main() -> None:
        acceptors = Acceptors(DEPLOYMENT_WITH_PEERS, tmp_path)
        events: list[tuple[str, str]] = []
        clients = [acceptors.join(f"x{n}").leases for n in range(3)]
        for leases in clients:
            assert leases is not None
            acquire(leases, events)
        await wait_until(lambda: events)
        first = next(client for client in clients if client is not None and client.name == events[0][0])
        second = next(client for client in clients if client is not None and client is not first)
        assert first.held_token("t") is not None and second.held_token("t") is None
        first.release("t", second.name)
        await wait_until(lambda: second.held_token("t"))
        holder, token = events[-1]
        assert holder == second.name and FencingToken(int(token.partition(".")[0]), "") > FencingToken(1, "")
        time.sleep(2.05)  # blocks the event loop for two lease lengths
        assert second.held_token("t") is None, "the lease expires according to the clock, before any timer has fired"
        await wait_until(lambda: (second.name, "expired") in events)
        status = second.status()
        assert status["voters"].keys() == {"v0", "v1", "v2"} and "t" in status["wants"]
        await acceptors.fleets[0].stop()
        await acceptors.fleets[1].stop()
        await wait_until(lambda: not any(client is not None and client.held_token("t") for client in clients), 3.0)
        count_before = len(events)
        await asyncio.sleep(0.4)
        assert not [event for event in events[count_before:] if event[1] != "expired"], (
            "one acceptor of three is no majority"
        )
        restarted = Acceptors.__new__(Acceptors)
        restarted.__dict__.update(acceptors.__dict__)
        acceptors.fleets = acceptors.fleets[2:]
        for name in ("v0", "v1"):
            restarted.join(name, acceptors.addresses[name])
        await wait_until(
            lambda: any(client is not None and client.held_token("t") for client in clients if client is not first)
        )
        rounds = [int(token.partition(".")[0]) for _, token in events if "." in token]
        assert rounds == sorted(set(rounds)), "tokens only increase, also across restarts"
        await restarted.stop()

    run(main())


@pytest.mark.timed
def test_a_new_acceptor_set_takes_over_and_clients_with_the_old_settings_switch_to_it(tmp_path: Path) -> None:
    next_deployment = parse(
        DEPLOYMENT.replace(
            "(pool (connect-ms 150))",
            "(pool (connect-ms 150))\n"
            + PEERS.replace("(peer v2)", "(peer v2) (peer v3)").replace(
                "(voters v0 v1 v2)", "(voters v0 v1 v3) (number 2) (before v0 v1 v2)"
            ),
        ),
        "later",
    )

    async def main() -> None:
        acceptors = Acceptors(DEPLOYMENT_WITH_PEERS, tmp_path)
        events: list[tuple[str, str]] = []
        isolated = acceptors.join("x")
        client = isolated.leases
        assert client is not None
        acquire(client, events)
        await wait_until(lambda: client.held_token("t"))
        first_token = client.held_token("t")
        isolated.peers.keep_connected(set())  # the lease holder is not notified of the change
        acceptors.deployment = next_deployment
        for name in ("v0", "v1", "v2", "v3"):
            if name != "v3":
                await acceptors.fleets.pop(0).stop()
            acceptors.join(name, acceptors.addresses.get(name, "127.0.0.1:0"))
        other = acceptors.join("y").leases
        assert other is not None
        acquire(other, events)
        await wait_until(lambda: other.held_token("t"))
        second_token = other.held_token("t")
        assert (
            first_token is not None
            and second_token is not None
            and second_token > first_token
            and client.held_token("t") is None
        )
        isolated.peers.keep_connected({"v0", "v1", "v2"})
        other.release("t")
        await wait_until(lambda: client.client.config_number == 2 and client.held_token("t"))
        third_token = client.held_token("t")
        assert third_token is not None and third_token > second_token and client.client.acceptors == ("v0", "v1", "v3")
        await acceptors.stop()

    run(main())


@pytest.mark.timed
def test_an_acceptor_killed_between_write_and_reply_keeps_the_written_grant(tmp_path: Path) -> None:
    file = tmp_path / "fleet.sexp"
    file.write_text(DEPLOYMENT.replace("(pool (connect-ms 150))", f"(pool (connect-ms 150))\n{PEERS}"))

    async def main() -> None:
        acceptors = Acceptors(DEPLOYMENT_WITH_PEERS, tmp_path)
        # The third acceptor runs in a separate process, which is killed at its first grant.
        await acceptors.fleets.pop().stop()
        (tmp_path / "v2" / "leases.sqlite").unlink()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kelptrail",
            "--log-level",
            "error",
            "serve",
            str(file),
            "--name",
            "v2",
            "--roster",
            "127.0.0.1:1",
            "--state",
            str(tmp_path / "v2"),
            "--peers",
            acceptors.addresses["v2"],
            "--crash-at",
            "voted",
            *(word for name in ("v0", "v1") for word in ("--peer", f"{name}={acceptors.addresses[name]}")),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        client = acceptors.join("x").leases
        assert client is not None
        events: list[tuple[str, str]] = []
        acquire(client, events)
        assert await process.wait() == -9
        await wait_until(lambda: client.held_token("t"))
        token = client.held_token("t")
        _, durable_state, rows, reason = open_acceptor_store(tmp_path / "v2" / "leases.sqlite")
        stored = {row.task: row.token for row in rows}
        assert durable_state is not None and not reason and stored and token is not None
        assert stored.get("t", token) <= token
        acceptors.join("v2", acceptors.addresses["v2"])
        restarted = acceptors.fleets[-1].leases
        assert restarted is not None and restarted.acceptor is not None
        for task, written in stored.items():
            assert restarted.acceptor.records[task].highest_token == written, (
                "the written token is still valid, although no reply was sent"
            )
        await acceptors.stop()

    run(main())


def test_the_leases_command_prints_the_status(tmp_path: Path) -> None:
    async def main() -> None:
        acceptors = Acceptors(DEPLOYMENT_WITH_PEERS, tmp_path)
        holder = acceptors.fleets[0].leases
        assert holder is not None
        acquire(holder, [])
        await wait_until(lambda: holder.held_token("t"))

        def answer(request: Request, exchange: Exchange) -> None:
            exchange.reply(200, msgspec.json.encode(holder.status() | {"peers": acceptors.fleets[0].peers.status()}))

        server = HttpServer(answer)
        server.listen("127.0.0.1", 0)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "kelptrail", "leases", server.address, stdout=asyncio.subprocess.PIPE, cwd=ROOT
        )
        out = (await process.communicate())[0].decode()
        assert process.returncode == 0 and "t: held here under" in out and "votes here: voting, disk well" in out, out
        await server.drain(0)
        await acceptors.stop()

    run(main())


def test_usage_is_summed_over_the_fleet_and_former_collectors_are_rejected(tmp_path: Path) -> None:
    view, first, second = UsageView(), UsageCollector(FencingToken(1, "a")), UsageCollector(FencingToken(2, "b"))
    counts = {"one": (10, 1, 0)}
    for now, completed in ((0.0, 10), (2000.0, 30)):
        request = first.start_turn(now)
        assert view.accepts(request.token)
        first.on_counts("x", UsageCounts(request.turn, "r1", {"one": (completed, 1, 0)}))
        first.on_counts("y", UsageCounts(request.turn - 1, "r1", counts))
    assert first.total() == UsageTotal(FencingToken(1, "a"), 2, 1, {"one": (10.0, 0.0, 0.0)}) and view.on_total(
        first.total()
    )
    first.start_turn(4000.0)
    first.on_counts("x", UsageCounts(3, "r2", {"one": (4, 0, 2)}))
    assert first.total().rates == {"one": (2.0, 0.0, 1.0)}, "a new run starts counting at zero"
    assert (
        view.accepts(second.start_turn(0.0).token)
        and not view.accepts(first.token)
        and not view.on_total(first.total())
    )
    assert view.refused == 2

    async def main() -> None:
        acceptors = Acceptors.__new__(Acceptors)
        acceptors.deployment, acceptors.state, acceptors.addresses, acceptors.fleets = (
            DEPLOYMENT_WITH_PEERS,
            tmp_path,
            {},
            [],
        )
        from program import RecordingLog

        acceptors.log = RecordingLog()
        drivers = []
        completed = [0, 0, 0]
        for n in range(3):
            fleet = acceptors.join(f"v{n}", "127.0.0.1:0")
            assert fleet.leases is not None
            drivers.append(
                UsageDriver(
                    fleet.leases,
                    fleet.peers,
                    f"r{n}",
                    UsageSettings(100.0, 1000.0),
                    lambda n=n: {"one": (completed[n], 0, 0)},
                    fleet.dispatcher_names,
                    acceptors.log,
                )
            )
            drivers[-1].start()
        end = time.monotonic() + 10
        while time.monotonic() < end and not all(
            driver.view.total.dispatchers == 3 and driver.view.total.rates["one"][0] > 0 for driver in drivers
        ):
            completed[:] = [count + 2 for count in completed]
            await asyncio.sleep(0.02)
        assert (
            len({driver.status()["collected_by"] for driver in drivers}) == 1
            and drivers[0].status()["dispatchers"] == 3
        )
        await acceptors.stop()

    run(main())


def test_scenarios_with_faults_between_dispatchers_need_five_dispatchers_and_valid_figures(tmp_path: Path) -> None:
    text = (ROOT / "examples" / "bad-days" / "leases.sexp").read_text()
    scenario = load_scenario(ROOT / "examples" / "bad-days" / "leases.sexp")
    assert (
        scenario.dispatchers == 7
        and scenario.tasks == ("sweep", "tally", "ledger")
        and any(fault.one_way for fault in scenario.faults)
    )
    with pytest.raises(ValueError, match="different zones"):
        ScenarioRunner(scenario, parse(DEPLOYMENT.replace("(halls a b)", "(halls a)"), "one"), 1, tmp_path)
    for old, new, message in (
        ("(dispatchers 7)", "(dispatchers 4)", "5 dispatchers at least"),
        ("(part 0.28) (ms 300)", "(part 0.28) (ms -300)", "only clock-step may be negative"),
        ("(one-way yes)", "(one-way perhaps)", "yes, no"),
    ):
        assert old in text
        file = tmp_path / "day.sexp"
        file.write_text(text.replace(old, new))
        with pytest.raises(SettingsError) as caught:
            load_scenario(file)
        assert any(message in str(fault) for fault in caught.value.faults)


@pytest.mark.timed
def test_a_short_campaign_between_real_processes_breaks_no_rule(tmp_path: Path) -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "kelptrail",
            "campaign",
            str(ROOT / "examples" / "fleet.sexp"),
            "--seeds",
            "3",
            "--at-once",
            "3",
            "--out",
            str(tmp_path),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=150,
        check=False,
    )
    report = json.loads(done.stdout)
    assert done.returncode == 0, (report, done.stderr[-2000:])
    assert report["seeds"] == 3 and report["acts"] > 300 and report["holders"] > 6
    row = json.loads((tmp_path / "campaign.json").read_text())[0]
    assert len(row["troubles"]) >= 5 and (tmp_path / "001" / "out" / "timeline.png").exists()
