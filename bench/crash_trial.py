"""Cluster of bench/crash_points.py: dispatchers that kill or pause themselves at a step, and requests to them."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

from kelptrail.codec.http import HttpError
from kelptrail.emulator.cluster import Cluster, Process, http_json
from kelptrail.history_checker.checker import read_captures
from kelptrail.net.http_client import HttpClient
from kelptrail.settings.deployment import load

EXAMPLES = Path(__file__).parent.parent / "examples"
WORKERS, PEERS = 4, 5
REQUEST_TIMEOUT_MS = 8000
MAX_REQUESTS, MAX_POLLS = 200, 60
RETRY_PAUSE_S = 0.1
# Parts of the error message of a 404: the activation is unknown, or is in flight.
NO_DISPATCHER_KNOWS, IN_FLIGHT = "No dispatcher knows", "in hand"


class Effect(StrEnum):
    """The idempotency of an action, by its name in the settings."""

    IDEMPOTENT = "repeatable"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "once-only"


ACTIONS = {
    Effect.IDEMPOTENT: "places/place-check",
    Effect.DEDUPLICATED: "places/place-activate",
    Effect.AT_MOST_ONCE: "grant",
}


class Reply(NamedTuple):
    """The reply to a request; status 0 if there was none."""

    status: int
    body: Any = None
    location: str = ""  # target of a redirect

    @property
    def activation_id(self) -> str | None:
        """The id of the activation that a 202 accepts; None for any other reply."""
        return self.body["activationId"] if self.status == 202 else None

    @property
    def answer(self) -> str:
        """The final status in an activation record."""
        return str(next(each["value"]["answer"] for each in self.body["annotations"] if each["key"] == "kelptrail"))


class CrashTrial:
    """One cluster for all cases; each case starts a dispatcher of its own.

    With `has_peers`, five further dispatchers hold replicas.  `remembered_ms` is the time for which workers drop
    repeated calls; 0 keeps the value of the example."""

    def __init__(self, folder: Path, has_peers: bool, remembered_ms: int = 0) -> None:
        self.folder = folder
        self.remembered_ms = remembered_ms
        self._has_peers = has_peers
        self._deployment_file = str(EXAMPLES / ("copies.sexp" if has_peers else "nursery.sexp"))
        if remembered_ms:
            text = Path(self._deployment_file).read_text()
            text = text.replace("(remembered-ms 12000)", f"(remembered-ms {remembered_ms})")
            (folder / "copies.sexp").write_text(text)
            self._deployment_file = str(folder / "copies.sexp")
        deployment = load(self._deployment_file)
        namespace = next(iter(deployment.namespaces.values()))
        self._auth = "Basic " + base64.b64encode(f"{namespace.uuid}:{namespace.key}".encode()).decode()
        self.cluster = Cluster(deployment, self._deployment_file, folder, quiet=True)

    async def start(self) -> None:
        """Start workers and peers, and wait until the peers have replicas."""
        state = self.folder / "state" if self._has_peers else None
        await self.cluster.start(WORKERS, PEERS if self._has_peers else 0, state)
        for dispatcher in self.cluster.dispatchers:
            await wait_until_replicated(dispatcher, 0.1)

    @property
    def peer_address(self) -> str:
        """The address of a peer that receives no request before the fault."""
        return str(self.cluster.dispatchers[1].ready_info["address"])

    async def launch(self, name: str, *fault: str) -> Process:
        """Start a dispatcher without peers, with the options of its fault."""
        process = Process(name, [*self.command(name), *fault])
        await self.cluster.launch(process)
        return process

    async def launch_peer(self, name: str, *fault: str) -> Process:
        """Start a dispatcher that replicates to the peers, with the options of its fault."""
        options = ("--control", "127.0.0.1:0", *self.cluster.peer_options("dispatcher-0"))
        process = Process(name, [*self.command(name), *options, *fault])
        await self.cluster.launch(process)
        await wait_until_replicated(process, 0.05)
        return process

    def command(self, name: str) -> list[str]:
        """Return the command line of a dispatcher without a fault."""
        endpoint_service = self.cluster.endpoint_service.ready_info["address"]
        state = str(self.folder / name)
        return ["serve", self._deployment_file, "--name", name, "--roster", endpoint_service, "--state", state]

    def captured_effects(self, is_relevant: Callable[[dict[str, Any]], bool]) -> list[dict[str, Any]]:
        """Return the captured side effects for which `is_relevant` holds."""
        return [event for event in read_captures(self.folder) if event["what"] == "effect" and is_relevant(event)]

    async def request(self, address: str, method: str, target: str, body: Any = None, key: str = "") -> Reply:
        """Send one request; return a reply of status 0 if the connection breaks."""
        try:
            return await self._send(address, method, target, body, key)
        except (OSError, HttpError):
            return Reply(0)

    async def request_until_known(
        self, address: str, method: str, target: str, body: Any = None, key: str = ""
    ) -> Reply:
        """Repeat a request, following redirects, until a dispatcher has the call or reports that none has it.

        Returns a reply of status 0 after `MAX_REQUESTS` requests.  Raises `OSError` or `HttpError` if a connection
        breaks."""
        for _ in range(MAX_REQUESTS):
            reply = await self._send(address, method, target, body, key)
            if reply.status == 307:
                address = reply.location.removeprefix("http://").partition("/")[0]
                continue
            no_dispatcher_knows = reply.status == 404 and NO_DISPATCHER_KNOWS in reply.body["error"]
            if no_dispatcher_knows or reply.status not in (404, 503):
                return reply
            await asyncio.sleep(RETRY_PAUSE_S)
        return Reply(0)

    async def poll_until_final(self, address: str, id_: str) -> Reply:
        """Poll an activation until it has its answer or is unknown; reply with status 0 after `MAX_POLLS` polls."""
        for _ in range(MAX_POLLS):
            reply = await self.request(address, "GET", f"activations/{id_}?wait=500")
            if reply.status == 200 or (reply.status == 404 and IN_FLIGHT not in reply.body["error"]):
                return reply
            await asyncio.sleep(RETRY_PAUSE_S)
        return Reply(0)

    async def _send(self, address: str, method: str, target: str, body: Any, key: str) -> Reply:
        client = HttpClient(address)
        headers = {"authorization": self._auth} | ({"idempotency-key": key} if key else {})
        path = f"/api/v1/namespaces/_/{target}"
        try:
            response = await client.request(method, path, body, REQUEST_TIMEOUT_MS, headers)
        finally:
            client.close()
        content = json.loads(response.body) if response.body else None
        return Reply(response.status, content, response.headers.get("location", ""))


async def wait_until_replicated(process: Process, interval_s: float) -> None:
    """Wait until a dispatcher replicates what it accepts."""
    while not (await http_json(process.ready_info["asked_at"], "GET", "/copies"))["promising"]:
        await asyncio.sleep(interval_s)
