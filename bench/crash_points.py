"""Kills a dispatcher at each step towards durability: every step x effect x deferred or keyed blocking call.

`python bench/crash_points.py` starts real processes, lets a dispatcher kill itself at the step, starts it again from
its book and asks what became of the call.  With `--lost` its disk is gone, too, and it never comes back: five others
hold copies, and one of them is asked, by id and by a repeat under the key.  With `--paused` it stands still at the
step until another has carried its call on, and goes on then: it must say and send nothing of its own.
`--remembered-ms` then sets how long workers drop repeats, and the pause outlasts that: a deduplicated call that was
about to be written may run a second time, the window that docs/copies.md states; such a case is told as `window`.
One JSON line a case; exit 1 where a promise was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import os
import shutil
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

from kelptrail.codec.http import HttpError
from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.history_checker.checker import read_captures
from kelptrail.net.http_client import HttpClient
from kelptrail.settings.deployment import load

STEPS = ("accepted", "journalled", "cleared", "sent", "answered", "ended")
ACTIONS = {"repeatable": "places/place-check", "deduplicated": "places/place-activate", "once-only": "grant"}
EXAMPLES = Path(__file__).parent.parent / "examples"


class Trial:
    """One place; a dispatcher for each case."""

    def __init__(self, folder: Path, lost: bool, remembered_ms: int = 0) -> None:
        self.file = str(EXAMPLES / ("copies.sexp" if lost else "nursery.sexp"))
        if remembered_ms:
            text = Path(self.file).read_text()
            text = text.replace("(remembered-ms 12000)", f"(remembered-ms {remembered_ms})")
            (folder / "copies.sexp").write_text(text)
            self.file = str(folder / "copies.sexp")
        self.deployment, self._folder, self._lost = load(self.file), folder, lost
        self._remembered_ms = remembered_ms
        space = next(iter(self.deployment.namespaces.values()))
        self._auth = "Basic " + base64.b64encode(f"{space.uuid}:{space.key}".encode()).decode()
        self.place = Cluster(self.deployment, self.file, folder, quiet=True)

    async def ask(self, address: str, method: str, target: str, body: Any = None, key: str = "") -> tuple[int, Any]:
        errand = HttpClient(address)
        headers = {"authorization": self._auth} | ({"idempotency-key": key} if key else {})
        try:
            response = await errand.request(method, f"/api/v1/namespaces/_/{target}", body, 8000, headers)
            return response.status, json.loads(response.body) if response.body else None
        except (OSError, HttpError):
            return 0, None
        finally:
            errand.close()

    async def start(self) -> None:
        """Workers, and who is to hold copies."""
        await self.place.start(4, 5 if self._lost else 0, self._folder / "state" if self._lost else None)
        for dispatcher in self.place.dispatchers:
            while not (await http_json(dispatcher.said["asked_at"], "GET", "/copies"))["promising"]:
                await asyncio.sleep(0.1)

    async def lost(self, step: str, effect: str, keyed: bool) -> dict[str, Any]:
        """A deferred call whose dispatcher is lost with its disk at a step."""
        name = f"lost-{step}-{effect}-{'keyed' if keyed else 'plain'}"
        words = [
            "serve",
            self.file,
            "--name",
            name,
            "--roster",
            self.place.endpoint_service.said["address"],
            "--control",
            "127.0.0.1:0",
            "--state",
            str(self._folder / name),
            *self.place.peer_options("dispatcher-0"),
        ]
        child = Process(name, [*words, "--crash-at", step])
        await self.place.launch(child)
        while not (await http_json(child.said["asked_at"], "GET", "/copies"))["promising"]:
            await asyncio.sleep(0.05)
        key, ticket = f"key-{name}" if keyed else "", {"ticket": name}
        target = f"actions/{ACTIONS[effect]}?blocking=false"
        status, body = await self.ask(child.said["address"], "POST", target, ticket, key)
        assert child.process is not None
        await asyncio.wait_for(child.process.wait(), 8)
        shutil.rmtree(self._folder / name)
        promised = body["activationId"] if status == 202 else None
        out: dict[str, Any] = {"step": step, "effect": effect, "keyed": keyed, "first": status, "lost": True}
        began = asyncio.get_running_loop().time()
        other = self.place.dispatchers[1].said["address"]
        if keyed:  # from any dispatcher it joins the call, or is taken anew where nobody has that
            out["repeat"], body = await self._follow(other, "POST", target, ticket, key)
            out["joined"] = promised is not None and body["activationId"] == promised
            found = body["activationId"] if out["repeat"] == 202 else None
        else:
            found = promised
        if found:
            out["after"], record = await self._follow(other, "GET", f"activations/{found}")
            out["answer"] = (
                next(n["value"]["answer"] for n in record["annotations"] if n["key"] == "kelptrail")
                if out["after"] == 200
                else None
            )
            out["s"] = round(asyncio.get_running_loop().time() - began, 2)
        await asyncio.sleep(0.5)
        marks = {found, promised}
        effects = [
            e
            for e in read_captures(self._folder)
            if e["what"] == "effect" and (e["activation"] in marks or (keyed and e["mark"].endswith(f"/{key}")))
        ]
        out["effects"] = len(effects)
        out["broken"] = bool(
            (effect != "repeatable" and len(effects) > 1)
            or (found and out["after"] != 200)
            or (keyed and promised and not out["joined"])
            or (out.get("answer") == "rejected" and effects and effect == "once-only")
        )
        return out

    async def paused(self, step: str, effect: str, _: bool) -> dict[str, Any]:
        """A deferred call whose dispatcher stands still at a step until another has carried the call on."""
        name = f"paused-{step}-{effect}"
        child = Process(
            name,
            [
                "serve",
                self.file,
                "--name",
                name,
                "--roster",
                self.place.endpoint_service.said["address"],
                "--control",
                "127.0.0.1:0",
                "--state",
                str(self._folder / name),
                *self.place.peer_options("dispatcher-0"),
                "--pause-at",
                step,
            ],
        )
        await self.place.launch(child)
        while not (await http_json(child.said["asked_at"], "GET", "/copies"))["promising"]:
            await asyncio.sleep(0.05)
        key, ticket, loop = f"key-{name}", {"ticket": name}, asyncio.get_running_loop()
        target = f"actions/{ACTIONS[effect]}?blocking=false"
        # A 503 says that nothing was done: its peers, one of which has just ended, did not all answer for the key yet.
        first = asyncio.create_task(self._follow(child.said["address"], "POST", target, ticket, key))
        assert child.process is not None
        stat = Path(f"/proc/{child.process.pid}/stat")
        try:
            async with asyncio.timeout(8):
                while stat.read_text().rpartition(")")[2].split()[0] != "T":
                    await asyncio.sleep(0.01)
        except TimeoutError:
            child.process.kill()  # a process that stands still would not end when it is told to
            raise
        began, other = loop.time(), self.place.dispatchers[1].said["address"]
        out: dict[str, Any] = {"step": step, "effect": effect, "paused": True}
        out["repeat"], body = await self._follow(other, "POST", target, ticket, key)
        found = body.get("activationId")
        if found:  # carried on, or taken anew where nobody had it
            out["after"], _ = await self._follow(other, "GET", f"activations/{found}")
        if self._remembered_ms:
            await asyncio.sleep(self._remembered_ms / 1000)
        out["stood_s"] = round(loop.time() - began, 2)
        os.kill(child.process.pid, signal.SIGCONT)
        out["first"], body = await first
        promised = body["activationId"] if out["first"] == 202 else None
        await asyncio.sleep(0.8)  # what it would still do
        told: dict[str, set[str]] = {}
        for id_ in {each for each in (found, promised) if each}:
            for address in (other, child.said["address"]):
                status, record = await self._follow(address, "GET", f"activations/{id_}")
                told.setdefault(id_, set()).add(
                    next(n["value"]["answer"] for n in record["annotations"] if n["key"] == "kelptrail")
                    if status == 200
                    else str(status)
                )
        await self.place.terminate(child)
        effects = [e for e in read_captures(self._folder) if e["what"] == "effect" and e["mark"].endswith(f"/{key}")]
        out |= {"effects": len(effects), "answers": [sorted(answers) for answers in told.values()]}
        twice = effect != "repeatable" and len(effects) > 1
        out["window"] = twice and effect == "deduplicated" and bool(self._remembered_ms)
        out["broken"] = (
            (twice and not out["window"])
            or not found
            or len(told) > 1
            or any(len(answers) > 1 or not answers <= {"completed", "rejected", "aborted"} for answers in told.values())
        )
        return out

    async def _follow(self, address: str, method: str, target: str, body: Any = None, key: str = "") -> tuple[int, Any]:
        """Ask until it is known, wherever a dispatcher leads."""
        for _ in range(200):
            errand = HttpClient(address)
            headers = {"authorization": self._auth} | ({"idempotency-key": key} if key else {})
            try:
                response = await errand.request(method, f"/api/v1/namespaces/_/{target}", body, 8000, headers)
            finally:
                errand.close()
            told = json.loads(response.body)
            if response.status == 307:
                address = response.headers["location"].removeprefix("http://").partition("/")[0]
            elif response.status == 404 and "No dispatcher knows" in told["error"]:
                return 404, told
            elif response.status not in (404, 503):
                return response.status, told
            else:
                await asyncio.sleep(0.1)
        return 0, None

    async def case(self, step: str, effect: str, deferred: bool) -> dict[str, Any]:
        name = f"{step}-{effect}-{'deferred' if deferred else 'keyed'}"
        words = [
            "serve",
            self.file,
            "--name",
            name,
            "--roster",
            self.place.endpoint_service.said["address"],
            "--state",
            str(self._folder / name),
        ]
        child = Process(name, [*words, "--crash-at", step])
        await self.place.launch(child)
        address, key = child.said["address"], "" if deferred else f"key-{name}"
        target = f"actions/{ACTIONS[effect]}?blocking={str(not deferred).lower()}"
        ticket = {"ticket": name}
        status, body = await self.ask(address, "POST", target, ticket, key)
        assert child.process is not None
        try:
            await asyncio.wait_for(child.process.wait(), 4)
        except TimeoutError:  # the call never came by that step
            await self.place.terminate(child)
            return {
                "step": step,
                "effect": effect,
                "deferred": deferred,
                "first": status,
                "broken": True,
                "reached": False,
            }
        child.words = words
        await self.place.launch(child)
        out: dict[str, Any] = {"step": step, "effect": effect, "deferred": deferred, "first": status}
        promised = body["activationId"] if status == 202 else None
        if promised:
            found, record = await self._until_final(address, promised)
            out["after"] = found
            out["answer"] = (
                next(n["value"]["answer"] for n in record["annotations"] if n["key"] == "kelptrail")
                if found == 200
                else None
            )
        elif key:  # the client's own repeat after the broken connection
            out["after"], record = await self.ask(address, "POST", target, ticket, key)
            out["answer"] = {200: "completed", 429: "rejected", 502: "aborted"}.get(out["after"])
        await asyncio.sleep(0.3)
        await self.place.terminate(child)
        effects = [e for e in read_captures(self._folder) if e["what"] == "effect" and self._of(e, name, promised, key)]
        out["effects"] = len(effects)
        out["broken"] = (
            (effect != "repeatable" and len(effects) > 1)
            or (bool(promised) and out["after"] != 200)
            or (out.get("answer") == "rejected" and effect == "once-only" and len(effects) > 0)
        )
        return out

    def _of(self, event: dict[str, Any], name: str, promised: str | None, key: str) -> bool:
        return event["activation"] == promised or (bool(key) and event["mark"].endswith(f"/{key}"))

    async def _until_final(self, address: str, id_: str) -> tuple[int, Any]:
        for _ in range(60):
            status, body = await self.ask(address, "GET", f"activations/{id_}?wait=500")
            if status == 200:
                return status, body
            if status == 404 and "in hand" not in body["error"]:
                return status, body
            await asyncio.sleep(0.1)
        return 0, None


async def main(steps: list[str], lost: bool, paused: bool, remembered_ms: int) -> bool:
    broken = False
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(Path(folder), lost or paused, remembered_ms)
        await trial.start()
        try:
            for step in steps:
                for effect in ACTIONS:
                    for deferred in (True,) if paused else (True, False):
                        if step == "cleared" and effect == "repeatable":
                            continue  # nothing has to be cleared for what may run again
                        play = trial.paused if paused else trial.lost if lost else trial.case
                        found = await play(step, effect, deferred)
                        broken = broken or found["broken"]
                        print(json.dumps(found), flush=True)
        finally:
            await trial.place.stop()
    return broken


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", default=",".join(STEPS))
    parser.add_argument("--lost", action="store_true", help="The disk is gone, too.")
    parser.add_argument("--paused", action="store_true", help="It stands still, and goes on later.")
    parser.add_argument("--remembered-ms", type=int, default=0, help="With --paused: workers drop repeats so long.")
    options = parser.parse_args()
    sys.exit(uvloop.run(main(options.steps.split(","), options.lost, options.paused, options.remembered_ms)))
