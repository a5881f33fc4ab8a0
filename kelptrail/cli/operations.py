"""Operators' commands against a dispatcher's control address: `vrrp status`, `usage`, `leases`, `copies`, `retire`."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import click

from .console import print_json, run_async
from .errors import CommandFailedError, unreachable
from .options import ExampleCommand, json_option

SHOWN_TRANSITIONS = 10
RETIRE_POLL_S = 0.2


def _run_control_request(control: str, request: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that sends requests to a control address.  Raises `CommandFailedError` if it does not answer."""
    from kelptrail.codec.http import HttpError

    try:
        return run_async(request)
    except (OSError, HttpError) as cause:
        raise unreachable(control, cause) from None


def _fetch_status(control: str, target: str) -> Any:
    """Return the decoded response to GET at a control address.  Raises `CommandFailedError`."""
    from kelptrail.emulator.cluster import http_json

    return _run_control_request(control, http_json(control, "GET", target))


def _seconds(milliseconds: float) -> str:
    return f"{milliseconds / 1000:.1f} s"


@click.group()
def vrrp() -> None:
    """Inspect VRRP, which moves front addresses to another dispatcher when their owner fails."""


@vrrp.command("status", cls=ExampleCommand, example="kelptrail vrrp status --control 127.0.0.1:9001")
@click.option("--control", required=True, help="A dispatcher's control address.")
@json_option
def vrrp_status(control: str, as_json: bool) -> None:
    """Print state, timers, counters, tracked objects and the last transitions with their causes."""
    status = _fetch_status(control, "/vrrp")
    if as_json:
        print_json(status)
        return
    click.echo(f"instance {status['primary']}, peers {', '.join(status['peers'])}")
    for router in status["routers"]:
        click.echo(_router_line(router))
    for name, tracked in status["tracked"].items():
        click.echo(f"tracked {name}: {'failed' if tracked['failed'] else 'ok'}, weight {tracked['weight']}")
    click.echo("counts: " + ", ".join(f"{name} {count}" for name, count in status["counts"].items()))
    for transition in status["transitions"][-SHOWN_TRANSITIONS:]:
        click.echo(_transition_line(transition))


def _router_line(router: dict[str, Any]) -> str:
    timers = ", ".join(f"{name} in {left_ms:g} ms" for name, left_ms in router["timers_ms"].items())
    addresses = ", ".join(router["addresses"])
    return (
        f"router {router['vrid']} {addresses}: {router['state']} for {_seconds(router['for_ms'])}, "
        f"priority {router['priority']} of {router['base_priority']}, {timers}"
    )


def _transition_line(transition: dict[str, Any]) -> str:
    return (
        f"{transition['ago_ms'] / 1000:8.1f} s ago  router {transition['router']}  "
        f"{transition['before']} -> {transition['after']}: {transition['cause']}"
    )


@click.command(cls=ExampleCommand, example="kelptrail usage 127.0.0.1:9001")
@click.argument("control")
def usage(control: str) -> None:
    """Print calls per second by namespace over the fleet, as last reported to the dispatcher at CONTROL."""
    print_json(_fetch_status(control, "/usage"))


@click.command(cls=ExampleCommand, example="kelptrail leases 127.0.0.1:9001")
@click.argument("control")
@json_option
def leases(control: str, as_json: bool) -> None:
    """Print tasks, holders, fencing tokens, time left and acceptors, as known to the dispatcher at CONTROL."""
    status = _fetch_status(control, "/leases")
    if as_json:
        print_json(status)
        return
    # Keys of the status: `vote` is the acceptor in this dispatcher, or null; `voters` has the ms since data was last
    # received from each acceptor, or null if it is not connected; `wants` are the requested tasks, `holds` the leases
    # held here; `seen` has the last holder of each task that an acceptor named when it refused a request.
    acceptor, last_heard_ms = status["vote"], status["voters"]
    click.echo(f"{status['name']}, set of voters {status['number']}: {_acceptors_line(last_heard_ms)}")
    if acceptor is not None:
        click.echo(f"votes here: {acceptor['stage']}, disk {acceptor['disk']}")
    known = status["seen"] | (acceptor["tasks"] if acceptor is not None else {})
    for task in sorted({*status["wants"], *known}):
        click.echo(f"{task}: {_describe_lease(status['holds'].get(task), known.get(task))}")


def _acceptors_line(last_heard_ms: dict[str, float | None]) -> str:
    """Return the time since data was last received from each acceptor, with a note if no majority is connected."""
    parts = [f"{name} {'not heard' if ms is None else f'{ms:g} ms ago'}" for name, ms in last_heard_ms.items()]
    reached = sum(ms is not None for ms in last_heard_ms.values())
    has_majority = 2 * reached > len(last_heard_ms)
    return ", ".join(parts) + (
        "" if has_majority else "; no majority answers: no lease can be acquired or renewed from here"
    )


def _describe_lease(own: dict[str, Any] | None, reported: dict[str, Any] | None) -> str:
    """Describe a task's lease: its holder, token and remaining time.

    `own` is the queried dispatcher's lease; `reported` is the lease that the acceptor in this dispatcher has recorded,
    or else the one that another acceptor named in a refusal.
    """
    if own is not None:
        return f"held here under {own['token']}, {_seconds(own['left_ms'])} left"
    if reported is None:
        return "wanted, not held here"
    if not reported["left_ms"]:
        return f"not held, last token {reported['token']}"
    holder = reported["token"].partition(".")[2].partition("/")[0]  # the token is ROUND.NAME/RUN
    return f"held by {holder} under {reported['token']}, {_seconds(reported['left_ms'])} left at most"


@click.command(cls=ExampleCommand, example="kelptrail copies 127.0.0.1:9001")
@click.argument("control")
@json_option
def copies(control: str, as_json: bool) -> None:
    """Print the activation journals that the dispatcher at CONTROL owns or replicates.

    Shows how far replicas are behind, and for how long a journal has been at risk.
    """
    status = _fetch_status(control, "/copies")
    if as_json:
        print_json(status)
        return
    # Keys of the status: `copies` is the required number of replicas, `promising` whether deferred calls are accepted,
    # `holders` are the replicas of an owned journal, `members` its owner and the replicas in sync, `held` the journals
    # that this dispatcher replicates.
    accepting = "new deferred calls are accepted" if status["promising"] else "new deferred calls are refused"
    click.echo(f"{status['name']}, {status['copies']} copies: {accepting}")
    for journal, owned in status["owned"].items():
        click.echo(_owned_journal_line(journal, owned))
        for name, replica in owned["holders"].items():
            click.echo(f"  {name}: {replica['stage']}, {replica['behind']} batches and {replica['bytes']} bytes behind")
    for journal, held in status["held"].items():
        click.echo(f"held {journal} for {held['owner']}, heard {_seconds(held['heard_ms'])} ago")


def _owned_journal_line(journal: str, owned: dict[str, Any]) -> str:
    safety = "all copies complete" if owned["full"] else f"at risk for {_seconds(owned['at_risk_ms'])}"
    return (
        f"owned {journal}{' (current)' if owned['current'] else ''}, under {owned['token']}: {safety}; complete at "
        f"{', '.join(owned['members'])}; {owned['waiting']} entries waiting"
    )


@click.command(cls=ExampleCommand, example="kelptrail retire dispatcher-3 127.0.0.1:9001 --within 120")
@click.argument("name")
@click.argument("control")
@click.option("--within", default=120.0, show_default=True, help="Maximum time to wait for it, in s.")
def retire(name: str, control: str, within: float) -> None:
    """Move all journals off the dispatcher NAME at control address CONTROL, before its machine is removed."""
    _run_control_request(control, _retire(name, control, within))
    click.echo(f"{name} owns and replicates no journals any more: stop it with SIGTERM")


async def _retire(name: str, control: str, within_s: float) -> None:
    """Make a dispatcher move its journals and replicas to others, and wait until it has none.

    Raises `CommandFailedError` if the dispatcher has another name, or if journals are left after `within_s`.
    """
    from kelptrail.emulator.cluster import http_json

    status = await http_json(control, "GET", "/copies")
    if status["name"] != name:
        raise CommandFailedError(f"{control} is {status['name']}, not {name}")
    await http_json(control, "POST", "/retire", {})
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    while loop.time() < deadline:
        status = await http_json(control, "GET", "/copies")
        if not status["owned"] and not status["held"]:
            return
        await asyncio.sleep(RETIRE_POLL_S)
    raise CommandFailedError(
        f"journals left after {within_s:g} s: owned {len(status['owned'])}, held {len(status['held'])}"
    )
