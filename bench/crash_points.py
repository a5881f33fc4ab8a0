"""Crash tests of a dispatcher: one case for each step of a call, effect of the action and way of calling.

The ways are a deferred call without an idempotency key and a blocking call with one.  With `--lost`, they are deferred
calls with and without a key; with `--paused`, there is only the deferred call with a key.

`python bench/crash_points.py` starts real processes.  A dispatcher kills itself at the step, is started again from its
journal and polled for the outcome of the call.  With `--lost`, it loses its disk, too, and is not started again; five
other dispatchers hold replicas, and one of them is polled, by id and by a repeat under the key.  With `--paused`, it
pauses at the step until another dispatcher has continued its call, and then resumes; it must not answer or send
anything on its own.  `--remembered-ms` then sets how long workers drop repeats; the pause is longer than that.  A
deduplicated call that was about to be written may then run a second time, in the window that docs/copies.md states;
such a case is reported as `window`.

Prints one JSON line per case.  The exit code is 1 if a guarantee was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop
from crash_trial import ACTIONS, CrashTrial, Effect, Reply

from kelptrail.emulator.cluster import Process

STEPS = ("accepted", "journalled", "cleared", "sent", "answered", "ended")
CRASH_TIMEOUT_S, LOSS_TIMEOUT_S, PAUSE_TIMEOUT_S = 4, 8, 8
ANSWER_OF_STATUS = {200: "completed", 429: "rejected", 502: "aborted"}
FINAL_ANSWERS = {"completed", "rejected", "aborted"}

Report = dict[str, Any]


def deferred_target(effect: Effect) -> str:
    """Return the target to which a deferred call with this effect is posted."""
    return f"actions/{ACTIONS[effect]}?blocking=false"


def has_key(event: dict[str, Any], key: str) -> bool:
    """Return whether a side effect belongs to a call with this idempotency key."""
    return bool(key) and event["mark"].endswith(f"/{key}")


def ran_twice(effect: Effect, effects: int) -> bool:
    """Return whether a call ran more than once although its effect must not be repeated."""
    return effect is not Effect.IDEMPOTENT and effects > 1


async def crash_and_restart(trial: CrashTrial, step: str, effect: Effect, deferred: bool) -> Report:
    """Run a call whose dispatcher crashes at a step and is started again from its journal."""
    name = f"{step}-{effect}-{'deferred' if deferred else 'keyed'}"
    report: Report = {"step": step, "effect": effect, "deferred": deferred}
    dispatcher = await trial.launch(name, "--crash-at", step)
    address, key = dispatcher.ready_info["address"], "" if deferred else f"key-{name}"
    target = f"actions/{ACTIONS[effect]}?blocking={str(not deferred).lower()}"
    first = await trial.request(address, "POST", target, {"ticket": name}, key)
    report["first"] = first.status
    assert dispatcher.process is not None
    try:
        await asyncio.wait_for(dispatcher.process.wait(), CRASH_TIMEOUT_S)
    except TimeoutError:  # the call did not reach that step
        await trial.cluster.terminate(dispatcher)
        return report | {"broken": True, "reached": False}
    dispatcher.arguments = trial.command(name)
    await trial.cluster.launch(dispatcher)
    accepted_id = first.activation_id
    if accepted_id:
        reply = await trial.poll_until_final(address, accepted_id)
        report["after"] = reply.status
        report["answer"] = reply.answer if reply.status == 200 else None
    elif key:  # The client repeats the call after its connection broke.
        reply = await trial.request(address, "POST", target, {"ticket": name}, key)
        report["after"] = reply.status
        report["answer"] = ANSWER_OF_STATUS.get(reply.status)
    await asyncio.sleep(0.3)
    await trial.cluster.terminate(dispatcher)
    effects = len(trial.captured_effects(lambda e: e["activation"] == accepted_id or has_key(e, key)))
    report["effects"] = effects
    report["broken"] = (
        ran_twice(effect, effects)
        or (bool(accepted_id) and report["after"] != 200)
        or (report.get("answer") == "rejected" and effect is Effect.AT_MOST_ONCE and effects > 0)
    )
    return report


async def lose_disk(trial: CrashTrial, step: str, effect: Effect, keyed: bool) -> Report:
    """Run a deferred call whose dispatcher is lost with its disk at a step."""
    name = f"lost-{step}-{effect}-{'keyed' if keyed else 'plain'}"
    dispatcher = await trial.launch_peer(name, "--crash-at", step)
    key, target = f"key-{name}" if keyed else "", deferred_target(effect)
    first = await trial.request(dispatcher.ready_info["address"], "POST", target, {"ticket": name}, key)
    assert dispatcher.process is not None
    await asyncio.wait_for(dispatcher.process.wait(), LOSS_TIMEOUT_S)
    shutil.rmtree(trial.folder / name)
    accepted_id = first.activation_id
    report: Report = {"step": step, "effect": effect, "keyed": keyed, "first": first.status, "lost": True}
    loop = asyncio.get_running_loop()
    start = loop.time()
    found_id = accepted_id
    if keyed:
        # Any dispatcher may receive the repeat: it joins the call, or is a new call if no dispatcher has the first one.
        repeat = await trial.request_until_known(trial.peer_address, "POST", target, {"ticket": name}, key)
        report["repeat"] = repeat.status
        report["joined"] = accepted_id is not None and repeat.body["activationId"] == accepted_id
        found_id = repeat.activation_id
    if found_id:
        record = await trial.request_until_known(trial.peer_address, "GET", f"activations/{found_id}")
        report["after"] = record.status
        report["answer"] = record.answer if record.status == 200 else None
        report["s"] = round(loop.time() - start, 2)  # from the loss until the outcome was known
    await asyncio.sleep(0.5)
    ids = {found_id, accepted_id}
    effects = len(trial.captured_effects(lambda e: e["activation"] in ids or has_key(e, key)))
    report["effects"] = effects
    report["broken"] = bool(
        ran_twice(effect, effects)
        or (found_id and report["after"] != 200)
        or (keyed and accepted_id and not report["joined"])
        or (report.get("answer") == "rejected" and effects and effect is Effect.AT_MOST_ONCE)
    )
    return report


async def pause_and_resume(trial: CrashTrial, step: str, effect: Effect, _: bool) -> Report:
    """Run a deferred call whose dispatcher pauses at a step until another has continued the call."""
    name = f"paused-{step}-{effect}"
    dispatcher = await trial.launch_peer(name, "--pause-at", step)
    key, target, loop = f"key-{name}", deferred_target(effect), asyncio.get_running_loop()

    def post(address: str) -> Awaitable[Reply]:
        return trial.request_until_known(address, "POST", target, {"ticket": name}, key)

    # The dispatcher replies 503 and does not accept the call until all peers, one of which has just ended, have
    # answered whether they have a call with the key.
    first_request = asyncio.ensure_future(post(dispatcher.ready_info["address"]))
    await wait_until_paused(dispatcher)
    start = loop.time()
    report: Report = {"step": step, "effect": effect, "paused": True}
    repeat = await post(trial.peer_address)
    report["repeat"], found_id = repeat.status, repeat.body.get("activationId")
    if found_id:  # continued, or accepted as a new call if no dispatcher had it
        record = await trial.request_until_known(trial.peer_address, "GET", f"activations/{found_id}")
        report["after"] = record.status
    if trial.remembered_ms:
        await asyncio.sleep(trial.remembered_ms / 1000)
    report["stood_s"] = round(loop.time() - start, 2)  # duration of the pause
    assert dispatcher.process is not None
    os.kill(dispatcher.process.pid, signal.SIGCONT)
    first = await first_request
    report["first"] = first.status
    await asyncio.sleep(0.8)  # time in which the resumed dispatcher may still send or answer
    answers = await answers_of_both(trial, dispatcher, {id_ for id_ in (found_id, first.activation_id) if id_})
    await trial.cluster.terminate(dispatcher)
    effects = len(trial.captured_effects(lambda e: has_key(e, key)))
    report |= {"effects": effects, "answers": [sorted(each) for each in answers.values()]}
    twice = ran_twice(effect, effects)
    report["window"] = twice and effect is Effect.DEDUPLICATED and bool(trial.remembered_ms)
    report["broken"] = (twice and not report["window"]) or not found_id or not agree(answers)
    return report


async def wait_until_paused(dispatcher: Process) -> None:
    """Wait until the process is stopped; kill it and raise `TimeoutError` if that takes too long."""
    assert dispatcher.process is not None
    stat = Path(f"/proc/{dispatcher.process.pid}/stat")
    try:
        async with asyncio.timeout(PAUSE_TIMEOUT_S):
            while stat.read_text().rpartition(")")[2].split()[0] != "T":
                await asyncio.sleep(0.01)
    except TimeoutError:
        dispatcher.process.kill()  # SIGTERM would not end a paused process
        raise


async def answers_of_both(trial: CrashTrial, dispatcher: Process, ids: set[str]) -> dict[str, set[str]]:
    """Return the answers that a peer and the resumed dispatcher give for each activation."""
    answers: dict[str, set[str]] = {}
    for id_ in ids:
        for address in (trial.peer_address, dispatcher.ready_info["address"]):
            record = await trial.request_until_known(address, "GET", f"activations/{id_}")
            answer = record.answer if record.status == 200 else str(record.status)
            answers.setdefault(id_, set()).add(answer)
    return answers


def agree(answers: dict[str, set[str]]) -> bool:
    """Return whether there is at most one activation, with the same final answer at both dispatchers."""
    return len(answers) <= 1 and all(len(each) <= 1 and each <= FINAL_ANSWERS for each in answers.values())


async def main(steps: list[str], lost: bool, paused: bool, remembered_ms: int) -> bool:
    run_case: Callable[[CrashTrial, str, Effect, bool], Awaitable[Report]] = crash_and_restart
    if lost:
        run_case = lose_disk
    if paused:
        run_case = pause_and_resume
    broken = False
    with tempfile.TemporaryDirectory() as folder:
        trial = CrashTrial(Path(folder), lost or paused, remembered_ms)
        await trial.start()
        try:
            for step in steps:
                for effect in ACTIONS:
                    # `variant` is `deferred` of `crash_and_restart` or `keyed` of `lose_disk`.
                    for variant in (True,) if paused else (True, False):
                        if step == "cleared" and effect is Effect.IDEMPOTENT:
                            continue  # an idempotent call needs no clearance to run
                        report = await run_case(trial, step, effect, variant)
                        broken = broken or report["broken"]
                        print(json.dumps(report), flush=True)
        finally:
            await trial.cluster.stop()
    return broken


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", default=",".join(STEPS))
    parser.add_argument("--lost", action="store_true", help="the dispatcher loses its disk, too")
    parser.add_argument("--paused", action="store_true", help="the dispatcher pauses and resumes later")
    parser.add_argument("--remembered-ms", type=int, default=0, help="with --paused: how long workers drop repeats")
    options = parser.parse_args()
    sys.exit(uvloop.run(main(options.steps.split(","), options.lost, options.paused, options.remembered_ms)))
