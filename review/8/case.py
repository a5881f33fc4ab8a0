"""Usual clients on new connections, beside hundreds of clients that say nothing and some that send wrong lengths.

Exit code: 1 if a usual request got no final answer in time, 0 if none did, 2 if the
case could not run.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.clients import wait_until_ready  # noqa: E402
from standins2.dispatcher import Dispatcher  # noqa: E402
from standins2.journal import Journal  # noqa: E402
from standins2.judge import Lateness, judge  # noqa: E402
from standins2.one_shot_clients import OneShotClients  # noqa: E402
from standins2.record import Record  # noqa: E402
from standins2.runner import Runner  # noqa: E402
from standins2.settings import SOLNA, configuration, free_port  # noqa: E402

RUNNERS, FUNCTIONS = 6, 20
USUAL_PER_S, TIME_SHARES = 30.0, (0.5, 1.0)
SILENT_CLIENTS, CUT_CLIENTS = 400, 40
CALM_S, TROUBLE_S, AFTER_S = 8.0, 20.0, 3.0
PATIENCE_S = 1.0  # past the time of its request; then a usual client tells that it waits no more
MAX_LATENESS_S = 0.3  # of the stand-ins themselves; with more the run says nothing


async def crowd(port: int, record: Record) -> None:
    """Run the bad clients for their time."""
    program = FOLDER.parent / "standins2/waiting_clients.py"
    arguments = (str(port), str(SILENT_CLIENTS), str(CUT_CLIENTS), str(TROUBLE_S))
    record.show(f"{SILENT_CLIENTS} silent clients and {CUT_CLIENTS} with wrong lengths, for {TROUBLE_S:.0f} s")
    process = await asyncio.create_subprocess_exec(
        sys.executable, str(program), *arguments, stdout=asyncio.subprocess.PIPE
    )
    try:
        output, _ = await process.communicate()
        record.show(output.decode().strip())
    finally:
        if process.returncode is None:
            process.kill()


async def play(trouble: bool, record: Record) -> int:
    """Play the case and return the exit code."""
    calls: list[tuple[str, float]] = []
    functions = [f"{0xABC000 + number:016x}" for number in range(FUNCTIONS)]
    runners = [
        Runner(SOLNA, n + 1, set(functions), lambda id_, at: calls.append((id_, at)), 0.1, 1.0) for n in range(RUNNERS)
    ]
    for runner in runners:
        await runner.open()
    journal_port = await Journal().open()
    dispatcher = Dispatcher(configuration(SOLNA, [runner.target() for runner in runners], journal_port, free_port()))
    lateness = Lateness()
    dispatcher.start()
    try:
        if not await wait_until_ready(dispatcher.port, 30):
            record.show("the dispatcher did not become ready")
            return 2
        watch = asyncio.create_task(lateness.watch())
        clients = OneShotClients(SOLNA, dispatcher.port, functions, USUAL_PER_S, TIME_SHARES)
        usual = asyncio.create_task(clients.run(CALM_S + TROUBLE_S + AFTER_S, PATIENCE_S))
        await asyncio.sleep(CALM_S)
        if trouble:
            await crowd(dispatcher.port, record)
        await usual
        watch.cancel()
        record.show(f"{clients.not_connected} connections not accepted, {clients.sent_again} requests sent again")
        for id_, at in calls:
            if id_ in clients.requests:
                clients.requests[id_].calls.append(at)
        if dispatcher.exit_code is not None:
            record.show(f"the dispatcher ended with exit code {dispatcher.exit_code}")
            return 1 if trouble else 2
        record.show(
            f"processor time of the dispatcher {dispatcher.cpu_s():.1f} s; stand-ins late by {lateness.worst_s:.3f} s"
        )
        if lateness.worst_s > MAX_LATENESS_S:
            record.show("the stand-ins ran too late to judge")
            return 2
        broken = judge(list(clients.requests.values()), lateness.worst_s, record)
        return 1 if broken else 0
    finally:
        dispatcher.end()
        dispatcher.remove_files()


def main() -> int:
    """Run the case, with the disruption unless `TROUBLE` is 0."""
    record = Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE") != "0"
    try:
        code = asyncio.run(play(trouble, record))
    except (OSError, RuntimeError) as cause:
        record.show(f"the case could not run: {cause!r}")
        code = 2
    record.show({0: "held", 1: "RULE BROKEN", 2: "could not run"}[code])
    record.close()
    return code


if __name__ == "__main__":
    sys.exit(main())
