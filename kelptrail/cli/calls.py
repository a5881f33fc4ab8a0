"""Commands that use the invoke API: `invoke` calls an action, `poll` fetches the record of an activation."""

from __future__ import annotations

import asyncio
import base64
import sys
from typing import Any, NamedTuple

import click
import msgspec

from .console import print_json, run_async
from .errors import ExitCode, unreachable
from .options import ExampleCommand, combined

REQUEST_TIMEOUT_MS = 70_000.0
POLL_INTERVAL_S = 0.1
_EXIT_CODE_BY_ANSWER = {"rejected": ExitCode.REJECTED, "aborted": ExitCode.ABORTED}


class ApiResponse(NamedTuple):
    """A response of the invoke API: its HTTP status and its decoded body."""

    status: int
    body: Any

    @property
    def exit_code(self) -> ExitCode:
        """The exit code for the activation's outcome; `IN_FLIGHT` if it has not ended."""
        if self.status == 429:
            return ExitCode.REJECTED
        # A 404 with "in hand" is the invoke API's reply for an activation in flight.
        if self.status == 202 or (self.status == 404 and "in hand" in str(self.body)):
            return ExitCode.IN_FLIGHT
        if answer := self._final_answer():
            return _EXIT_CODE_BY_ANSWER.get(answer, ExitCode.COMPLETED)
        return ExitCode.COMPLETED if self.status == 200 else ExitCode.FAILED

    def _final_answer(self) -> str | None:
        """Return the kind of final answer in the annotation `kelptrail` of the activation's record.

        It is "completed", "rejected", "aborted" or "left" (the client no longer waited for an answer).  Return None if
        the body is no record or has no such annotation.
        """
        if not isinstance(self.body, dict):
            return None
        annotations = {annotation["key"]: annotation["value"] for annotation in self.body.get("annotations", [])}
        answer: str | None = annotations.get("kelptrail", {}).get("answer")
        return answer


client_options = combined(
    click.option("--namespace", default="_", show_default=True),
    click.option("--auth", required=True, help="UUID:KEY of the namespace."),
    click.option("--url", required=True, help="URL of the invoke API, such as http://127.0.0.1:8080."),
)


async def _request(
    url: str, auth: str, method: str, target: str, body: Any = None, headers: dict[str, str] | None = None
) -> ApiResponse:
    """Send one request to the invoke API.  Raises `CommandFailedError` if there is no valid HTTP response."""
    from kelptrail.codec.http import HttpError
    from kelptrail.net.http_client import HttpClient

    authorization = "Basic " + base64.b64encode(auth.encode()).decode()
    client = HttpClient(url.removeprefix("http://").rstrip("/"))
    try:
        response = await client.request(
            method, target, body, REQUEST_TIMEOUT_MS, {"authorization": authorization} | (headers or {})
        )
    except (OSError, HttpError) as cause:
        raise unreachable(url, cause) from None
    finally:
        client.close()
    return ApiResponse(response.status, msgspec.json.decode(response.body) if response.body else None)


@click.command(
    cls=ExampleCommand,
    example="kelptrail invoke places/place-check '{\"family\": 7}' --url "
    "http://127.0.0.1:8080 --auth UUID:KEY --blocking",
)
@click.argument("action")
@click.argument("params", default="{}")
@click.option("--blocking", is_flag=True, help="Wait for the final answer.")
@click.option("--timeout", "timeout_ms", type=int, help="Maximum time to wait, in ms.")
@click.option("--key", "idempotency_key", help="Idempotency key (header Idempotency-Key).")
@client_options
def invoke(
    action: str,
    params: str,
    blocking: bool,
    timeout_ms: int | None,
    idempotency_key: str | None,
    url: str,
    auth: str,
    namespace: str,
) -> None:
    """Call an action.  Exit codes: 0 completed, 1 failed, 2 invalid input, 3 rejected, 4 aborted, 5 in flight."""
    try:
        body = msgspec.json.decode(params)
    except msgspec.DecodeError as cause:
        raise click.BadParameter(f"PARAMS must be valid JSON: {cause}") from None
    target = f"/api/v1/namespaces/{namespace}/actions/{action}?blocking={str(blocking).lower()}"
    if timeout_ms is not None:
        target += f"&timeout={timeout_ms}"
    headers = {"idempotency-key": idempotency_key} if idempotency_key else None
    _print_and_exit(run_async(_request(url, auth, "POST", target, body, headers)))


@click.command(cls=ExampleCommand, example="kelptrail poll ID --url http://127.0.0.1:8080 --auth UUID:KEY")
@click.argument("activation")
@click.option("--within", default=0.0, show_default=True, help="Poll for up to this many seconds.")
@client_options
def poll(activation: str, within: float, url: str, auth: str, namespace: str) -> None:
    """Fetch an activation's record.

    Exit codes: 0 completed, 1 failed, 2 invalid input, 3 rejected, 4 aborted, 5 in flight.
    """
    target = f"/api/v1/namespaces/{namespace}/activations/{activation}"
    _print_and_exit(run_async(_poll(url, auth, target, within)))


async def _poll(url: str, auth: str, target: str, within_s: float) -> ApiResponse:
    """Fetch the record until the activation has ended or `within_s` seconds have passed; return the last response."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    while True:
        response = await _request(url, auth, "GET", target)
        if response.exit_code is not ExitCode.IN_FLIGHT or loop.time() >= deadline:
            return response
        await asyncio.sleep(POLL_INTERVAL_S)


def _print_and_exit(response: ApiResponse) -> None:
    print_json(response.body)
    sys.exit(response.exit_code)
