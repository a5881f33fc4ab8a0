"""What dispatchers have together, on real connections and real processes: channel, leases, usage, a short campaign."""

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
from program import DEPLOYMENT, PEERS, Voters, run

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
READ = decoder(AcquireRequest)
SOME = AcquireRequest("t", FencingToken(1, "x"), 1.0, 1, 1)
FLEET = parse(DEPLOYMENT.replace("(pool (connect-ms 150))", f"(pool (connect-ms 150))\n{PEERS}"), "fleet")


class Later(msgspec.Struct, frozen=True, tag="later", array_like=True):
    """A kind of a version to come."""

    what: int = 1


def link(**figures: Any) -> PeerConnection:
    return PeerConnection(Hello(VERSION, "me", "here", capabilities=("lease",)), PeerSettings(**figures), READ, 0.0)


def test_a_link_speaks_to_the_version_before_passes_over_a_later_one_and_ends_at_rubbish() -> None:
    before, now = link(), link()
    assert before.receive_data(1.0, encode_frame(Hello(1, "old", "here"))) == [] and before.version == 1
    assert not before.enqueue(2.0, SOME, "lease") and not before.pending_bytes > 100, "it could not read it"
    later = b"".join(
        [
            encode_frame(Hello(VERSION + 3, "new", "here", capabilities=("lease", "more"))),
            encode_frame(Later()),
            encode_frame(SOME),
        ]
    )
    assert now.receive_data(1.0, later) == [SOME] and now.version == VERSION and now.unknown_messages == 1
    assert now.enqueue(2.0, SOME, "lease")
    for rubbish, word in (
        (b"\0\0\0\2{}", "no message"),
        (encode_frame(Hello(2, "x", "there")), "lineage"),
        (encode_frame(Later()), "no message"),
        (encode_frame(Hello(2, "", "here")), "says who"),
        (b"\x7f\0\0\0", "a frame of"),
        (encode_frame(Heartbeat()), "hello must come first"),
    ):
        with pytest.raises(ChannelError, match=word):
            link().receive_data(1.0, rubbish)
    seen = FrameReader(READ)
    assert seen.feed(encode_frame(Hello(2, "x", "here"))[:5]) == []


def test_what_waits_and_what_comes_is_bounded_and_silence_is_noticed() -> None:
    one = link(max_pending_bytes=300, max_messages_per_s=10.0, heartbeat_ms=100.0, silence_timeout_ms=400.0)
    assert (
        len(
            one.receive_data(
                0.0, encode_frame(Hello(2, "x", "here", capabilities=("lease",))) + encode_frame(SOME) * 50
            )
        )
        == 10
    )
    assert one.rate_limited == 40 and len(one.receive_data(500.0, encode_frame(SOME) * 50)) == 5
    while one.enqueue(500.0, SOME, "lease"):
        pass
    assert one.pending_bytes <= 300 and one.dropped == 1 and one.data_to_send() and not one.pending_bytes
    assert one.tick(700.0) and one.pending_bytes, "a heartbeat"
    assert not one.tick(901.0), "nothing was heard for too long"


async def until(what: Any, within: float = 10.0) -> None:
    end = time.monotonic() + within
    while not what():
        assert time.monotonic() < end, "it did not come to that"
        await asyncio.sleep(0.01)


def hold(leases: LeaseDriver, held: list[tuple[str, str]]) -> None:
    leases.acquire(
        "t",
        1000.0,
        lambda token: held.append((leases.name, str(token))),
        lambda token, reason: held.append((leases.name, reason)),
    )


@pytest.mark.processes
def test_on_sockets_one_holds_hands_over_and_believes_nothing_after_a_blocked_loop(tmp_path: Path) -> None:
    async def main() -> None:
        voters = Voters(FLEET, tmp_path)
        held: list[tuple[str, str]] = []
        askers = [voters.join(f"x{n}").leases for n in range(3)]
        for leases in askers:
            assert leases is not None
            hold(leases, held)
        await until(lambda: held)
        first = next(a for a in askers if a is not None and a.name == held[0][0])
        second = next(a for a in askers if a is not None and a is not first)
        assert first.held_token("t") is not None and second.held_token("t") is None
        first.release("t", second.name)
        await until(lambda: second.held_token("t"))
        assert held[-1][0] == second.name and FencingToken(int(held[-1][1].partition(".")[0]), "") > FencingToken(1, "")
        time.sleep(2.05)  # the whole loop, for two lengths of a lease
        assert second.held_token("t") is None, "by the clock, before any timer has rung"
        await until(lambda: (second.name, "expired") in held)
        status = second.status()
        assert status["voters"].keys() == {"v0", "v1", "v2"} and "t" in status["wants"]
        await voters.fleets[0].stop()
        await voters.fleets[1].stop()
        await until(lambda: not any(a is not None and a.held_token("t") for a in askers), 3.0)
        here = len(held)
        await asyncio.sleep(0.4)
        assert not [h for h in held[here:] if h[1] != "expired"], "one voter of three is no majority"
        again = Voters.__new__(Voters)
        again.__dict__.update(voters.__dict__)
        voters.fleets = voters.fleets[2:]
        for name in ("v0", "v1"):
            again.join(name, voters.at[name])
        await until(lambda: any(a is not None and a.held_token("t") for a in askers if a is not first))
        rounds = [int(token.partition(".")[0]) for _, token in held if "." in token]
        assert rounds == sorted(set(rounds)), "tokens only grow, through restarts"
        await again.stop()

    run(main())


@pytest.mark.processes
def test_the_next_set_of_voters_takes_over_and_askers_of_the_old_file_learn_of_it(tmp_path: Path) -> None:
    later = parse(
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
        voters = Voters(FLEET, tmp_path)
        held: list[tuple[str, str]] = []
        cut_off = voters.join("x")
        asker = cut_off.leases
        assert asker is not None
        hold(asker, held)
        await until(lambda: asker.held_token("t"))
        before = asker.held_token("t")
        cut_off.peers.keep_connected(set())  # the holder hears nothing of the change
        voters.deployment = later
        for name in ("v0", "v1", "v2", "v3"):
            if name != "v3":
                await voters.fleets.pop(0).stop()
            voters.join(name, voters.at.get(name, "127.0.0.1:0"))
        other = voters.join("y").leases
        assert other is not None
        hold(other, held)
        await until(lambda: other.held_token("t"))
        between = other.held_token("t")
        assert before is not None and between is not None and between > before and asker.held_token("t") is None
        cut_off.peers.keep_connected({"v0", "v1", "v2"})
        other.release("t")
        await until(lambda: asker.client.config_number == 2 and asker.held_token("t"))
        after = asker.held_token("t")
        assert after is not None and after > between and asker.client.acceptors == ("v0", "v1", "v3")
        await voters.stop()

    run(main())


@pytest.mark.processes
def test_a_voter_killed_between_disk_and_answer_has_what_it_did_not_say(tmp_path: Path) -> None:
    file = tmp_path / "fleet.sexp"
    file.write_text(DEPLOYMENT.replace("(pool (connect-ms 150))", f"(pool (connect-ms 150))\n{PEERS}"))

    async def main() -> None:
        voters = Voters(FLEET, tmp_path)
        await voters.fleets.pop().stop()  # the third is a process of its own, which dies at its first grant
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
            voters.at["v2"],
            "--crash-at",
            "voted",
            *(word for name in ("v0", "v1") for word in ("--peer", f"{name}={voters.at[name]}")),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        asker = voters.join("x").leases
        assert asker is not None
        held: list[tuple[str, str]] = []
        hold(asker, held)
        assert await process.wait() == -9
        await until(lambda: asker.held_token("t"))
        token = asker.held_token("t")
        _, memory, rows, reason = open_acceptor_store(tmp_path / "v2" / "leases.sqlite")
        kept = {row.task: row.token for row in rows}
        assert memory is not None and not reason and kept and token is not None
        assert kept.get("t", token) <= token
        voters.join("v2", voters.at["v2"])
        again = voters.fleets[-1].leases
        assert again is not None and again.acceptor is not None
        for task, written in kept.items():
            assert again.acceptor.records[task].highest_token == written, (
                "what was on disk counts, though nobody heard of it"
            )
        await voters.stop()

    run(main())


def test_leases_are_told_by_a_command(tmp_path: Path) -> None:
    async def main() -> None:
        voters = Voters(FLEET, tmp_path)
        holder = voters.fleets[0].leases
        assert holder is not None
        hold(holder, [])
        await until(lambda: holder.held_token("t"))

        def answer(request: Request, exchange: Exchange) -> None:
            exchange.reply(200, msgspec.json.encode(holder.status() | {"peers": voters.fleets[0].peers.status()}))

        server = HttpServer(answer)
        server.listen("127.0.0.1", 0)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "kelptrail", "leases", server.address, stdout=asyncio.subprocess.PIPE, cwd=ROOT
        )
        out = (await process.communicate())[0].decode()
        assert process.returncode == 0 and "t: held here under" in out and "votes here: voting, disk well" in out, out
        await server.drain(0)
        await voters.stop()

    run(main())


def test_usage_is_summed_over_the_fleet_and_old_collectors_are_not_heard(tmp_path: Path) -> None:
    told, first, second = UsageView(), UsageCollector(FencingToken(1, "a")), UsageCollector(FencingToken(2, "b"))
    counts = {"one": (10, 1, 0)}
    for now, completed in ((0.0, 10), (2000.0, 30)):
        question = first.start_turn(now)
        assert told.accepts(question.token)
        first.on_counts("x", UsageCounts(question.turn, "r1", {"one": (completed, 1, 0)}))
        first.on_counts("y", UsageCounts(question.turn - 1, "r1", counts))
    assert first.total() == UsageTotal(FencingToken(1, "a"), 2, 1, {"one": (10.0, 0.0, 0.0)}) and told.on_total(
        first.total()
    )
    first.start_turn(4000.0)
    first.on_counts("x", UsageCounts(3, "r2", {"one": (4, 0, 2)}))
    assert first.total().rates == {"one": (2.0, 0.0, 1.0)}, "a new run counts from nothing"
    assert (
        told.accepts(second.start_turn(0.0).token)
        and not told.accepts(first.token)
        and not told.on_total(first.total())
    )
    assert told.refused == 2

    async def main() -> None:
        voters = Voters.__new__(Voters)
        voters.deployment, voters.state, voters.at, voters.fleets = FLEET, tmp_path, {}, []
        from program import Silent

        voters.log = Silent()
        parts = []
        calls = [0, 0, 0]
        for n in range(3):
            fleet = voters.join(f"v{n}", "127.0.0.1:0")
            assert fleet.leases is not None
            parts.append(
                UsageDriver(
                    fleet.leases,
                    fleet.peers,
                    f"r{n}",
                    UsageSettings(100.0, 1000.0),
                    lambda n=n: {"one": (calls[n], 0, 0)},
                    fleet.dispatcher_names,
                    voters.log,
                )
            )
            parts[-1].start()
        end = time.monotonic() + 10
        while time.monotonic() < end and not all(
            p.view.total.dispatchers == 3 and p.view.total.rates["one"][0] > 0 for p in parts
        ):
            calls[:] = [c + 2 for c in calls]
            await asyncio.sleep(0.02)
        assert len({p.status()["collected_by"] for p in parts}) == 1 and parts[0].status()["dispatchers"] == 3
        await voters.stop()

    run(main())


def test_scripts_with_troubles_between_dispatchers_state_five_and_sound_figures(tmp_path: Path) -> None:
    text = (ROOT / "examples" / "bad-days" / "leases.sexp").read_text()
    day = load_scenario(ROOT / "examples" / "bad-days" / "leases.sexp")
    assert day.dispatchers == 7 and day.tasks == ("sweep", "tally", "ledger") and any(t.one_way for t in day.faults)
    with pytest.raises(ValueError, match="different zones"):
        ScenarioRunner(day, parse(DEPLOYMENT.replace("(halls a b)", "(halls a)"), "one"), 1, tmp_path)
    for old, new, word in (
        ("(dispatchers 7)", "(dispatchers 4)", "5 dispatchers at least"),
        ("(part 0.28) (ms 300)", "(part 0.28) (ms -300)", "only clock-step goes back"),
        ("(one-way yes)", "(one-way perhaps)", "yes, no"),
    ):
        assert old in text
        file = tmp_path / "day.sexp"
        file.write_text(text.replace(old, new))
        with pytest.raises(SettingsError) as caught:
            load_scenario(file)
        assert any(word in str(f) for f in caught.value.faults)


@pytest.mark.processes
def test_a_short_campaign_between_real_processes_breaks_nothing(tmp_path: Path) -> None:
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
    found = json.loads(done.stdout)
    assert done.returncode == 0, (found, done.stderr[-2000:])
    assert found["seeds"] == 3 and found["acts"] > 300 and found["holders"] > 6
    row = json.loads((tmp_path / "campaign.json").read_text())[0]
    assert len(row["troubles"]) >= 5 and (tmp_path / "001" / "out" / "timeline.png").exists()
