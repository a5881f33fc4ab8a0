"""The `kelptrail` command line.

Exit codes: 0 done (or completed), 1 failed, 2 wrong words or unusable settings, 3 rejected, 4 aborted, 5 still in
hand, 6 a rule was broken.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import click
import msgspec

FAILED, UNUSABLE, REJECTED, ABORTED, IN_HAND, BROKEN_RULE = 1, 2, 3, 4, 5, 6


def _run(main: Coroutine[Any, Any, Any]) -> Any:
    import uvloop

    return uvloop.run(main)


def _read(load: Callable[[str], Any], file: str) -> Any:
    """What a file holds, or exit 2 with every fault on standard error."""
    from kelptrail.settings.reader import SettingsError

    try:
        return load(file)
    except SettingsError as cause:
        for fault in cause.faults:
            click.echo(str(fault), err=True)
        click.echo(f"{len(cause.faults)} faults", err=True)
    except OSError as cause:
        click.echo(f"{file}: {cause.strerror}", err=True)
    sys.exit(UNUSABLE)


def _settings(file: str) -> Any:
    from kelptrail.settings.deployment import load

    return _read(load, file)


def _script(script: str) -> Any:
    from kelptrail.fault_scenario.scenario import load_scenario

    return _read(load_scenario, script)


def _say(**fields: Any) -> None:
    """One JSON line on standard output."""
    sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
    sys.stdout.flush()


def _ends_with_stdin(stop: Callable[[], None]) -> None:
    """Call `stop` when standard input ends: a child ends with whoever started it."""
    import os
    import threading

    loop = asyncio.get_running_loop()

    def watch() -> None:
        while os.read(0, 4096):
            pass
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(stop)

    threading.Thread(target=watch, daemon=True).start()


class _Examples(click.Command):
    """A command whose help ends in an example."""

    def __init__(self, *args: Any, example: str = "", **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        if example:
            self.epilog = f"Example: {example}"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
    help="Least level that is logged, on standard error.",
)
@click.option(
    "--log-form",
    type=click.Choice(["auto", "json", "text"]),
    default="auto",
    show_default=True,
    help="JSON lines, or readable text; auto: text on a terminal.",
)
@click.pass_context
def main(context: click.Context, log_level: str, log_form: str) -> None:
    """A gateway that runs calls on workers which load functions or models on demand."""
    context.obj = {"level": log_level, "form": log_form}


def _log(context: click.Context, **bound: Any) -> Any:
    from .logs import set_up

    return set_up(context.obj["level"], context.obj["form"], **bound)


@main.command(cls=_Examples, example="kelptrail check examples/nursery.sexp")
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> None:
    """Check settings files; each fault is named with file, line, what was read and what was expected."""
    for file in files:
        deployment = _settings(file)
        click.echo(
            f"{file}: {deployment.name}, {len(deployment.types)} types, {len(deployment.namespaces)} "
            f"namespaces, {len(deployment.actions)} actions"
        )


def _dispatcher(function: Any) -> Any:
    for option in reversed(
        [
            click.argument("file"),
            click.option("--roster", required=True, help="Address of the worker list."),
            click.option("--name", default="dispatcher", show_default=True, help="Name in logs and towards workers."),
            click.option("--hall", default="", help="The hall it stands in; default: the settings'."),
            click.option("--host", default="127.0.0.1", show_default=True),
            click.option("--port", default=0, show_default=True, help="0: a free one."),
            click.option("--state", type=click.Path(path_type=Path), help="Folder for what outlives it."),
            click.option("--shared-port", is_flag=True, help="Let other dispatchers of this machine listen on it too."),
            click.option("--crash-at", default="", hidden=True),
            click.option("--pause-at", default="", hidden=True),
            click.option("--grpc-port", type=int, help="Port of the second front; default: the settings'."),
            click.option("--harmed-disk", type=click.Path(path_type=Path), hidden=True),
            click.option("--control", help="Address and port for operators' questions, such as 127.0.0.1:0."),
            click.option("--peers", help="Address and port of its channel to others; default: the settings'."),
            click.option("--peer", "at", multiple=True, help="NAME=ADDRESS of another's channel; may be given again."),
            click.option("--peers-port", type=int, hidden=True),
            click.option("--harmed-clock", type=click.Path(path_type=Path), hidden=True),
            click.option("--witness", default="", hidden=True),
            click.option("--task", "tasks", multiple=True, hidden=True),
            click.option("--with-stdin", is_flag=True, hidden=True),
        ]
    ):
        function = option(function)
    return click.pass_context(function)


def _addresses(given: tuple[str, ...]) -> dict[str, str]:
    """NAME=ADDRESS, any number of them."""
    for one in given:
        if not all(one.partition("=")):
            raise click.BadParameter(f"{one}: NAME=ADDRESS", param_hint="--peer")
    return {name: address for name, _, address in (one.partition("=") for one in given)}


def _dispatch(context: click.Context, file: str, planners: tuple[str, ...], **words: Any) -> None:
    deployment = _settings(file)
    from kelptrail.service.serve import DispatcherOptions
    from kelptrail.service.serve import serve as run

    host, port, name = words["host"], words["port"], words["name"]
    log = _log(context, dispatcher=name)
    options = DispatcherOptions(
        name,
        words["hall"],
        host,
        port,
        words["roster"],
        words["state"],
        words["shared_port"],
        words["crash_at"],
        words["pause_at"],
        words["control"],
        words["grpc_port"],
        planners,
        words["harmed_disk"],
        words["peers"] if words["peers_port"] is None else f"127.0.0.1:{words['peers_port']}",
        _addresses(words["at"]),
        words["harmed_clock"],
        words["witness"],
        words["tasks"],
    )

    async def go() -> bool:
        stop = asyncio.Event()
        if words["with_stdin"]:
            _ends_with_stdin(stop.set)
        return bool(
            await run(
                deployment,
                options,
                log,
                context.obj["level"] == "debug",
                lambda bound, at, grpc, peers: _say(
                    ready=True,
                    address=f"{host}:{bound}",
                    asked_at=at,
                    invoke=f"http://{host}:{bound}",
                    grpc=grpc,
                    name=name,
                    peers=peers,
                ),
                stop,
            )
        )

    try:
        sys.exit(0 if _run(go()) else FAILED)
    except OSError as cause:
        click.echo(f"{host}:{port}: {cause.strerror or cause}", err=True)
        sys.exit(FAILED)
    except ValueError as cause:
        click.echo(f"{file}: {cause}", err=True)
        sys.exit(UNUSABLE)


@main.command(cls=_Examples, example="kelptrail serve examples/nursery.sexp --roster 127.0.0.1:7000 --port 8080")
@_dispatcher
def serve(context: click.Context, file: str, **words: Any) -> None:
    """Run one dispatcher until SIGTERM, then drain; with a planner of its own where the settings say so.  Exit 1 where
    something taken had no answer in time."""
    _dispatch(context, file, (), **words)


@main.command(
    cls=_Examples, example="kelptrail edge examples/nursery.sexp --roster 127.0.0.1:7000 --planner 127.0.0.1:7100"
)
@_dispatcher
@click.option("--planner", "planners", multiple=True, required=True, help="A planner's address; may be given again.")
def edge(context: click.Context, file: str, planners: tuple[str, ...], **words: Any) -> None:
    """Run one dispatcher that follows planners; without any it does as well as `serve`."""
    _dispatch(context, file, planners, **words)


@main.command(
    cls=_Examples,
    example="kelptrail planner examples/nursery.sexp --roster 127.0.0.1:7000 --port 7100 --state var/planner",
)
@click.argument("file")
@click.option("--roster", required=True, help="Address of the worker list.")
@click.option("--name", default="planner", show_default=True)
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0: a free one.")
@click.option("--state", type=click.Path(path_type=Path), help="Folder for its snapshot and the last list.")
@click.option("--control", help="Address and port for operators' questions.")
@click.option("--control-port", type=int, hidden=True)
@click.option("--peer", "at", multiple=True, help="NAME=ADDRESS of a voter's channel; may be given again.")
@click.option("--solver", type=click.Choice(["program", "greedy"]), default="program", show_default=True)
@click.option("--slow-ms", default=0.0, hidden=True)
@click.option("--with-stdin", is_flag=True, hidden=True)
@click.pass_context
def planner(
    context: click.Context,
    file: str,
    roster: str,
    name: str,
    host: str,
    port: int,
    state: Path | None,
    control: str | None,
    control_port: int | None,
    at: tuple[str, ...],
    solver: str,
    slow_ms: float,
    with_stdin: bool,
) -> None:
    """Plan loads and placement ahead for edges, until SIGTERM, while it holds the lease; others stand by."""
    deployment = _settings(file)
    from kelptrail.planner.driver import PlannerOptions
    from kelptrail.service.planner import serve as run

    log = _log(context, planner=name)
    if control_port is not None:
        control = f"127.0.0.1:{control_port}"
    options = PlannerOptions(name, host, port, roster, state, control, solver, slow_ms, peer_addresses=_addresses(at))

    async def go() -> None:
        stop = asyncio.Event()
        if with_stdin:
            _ends_with_stdin(stop.set)
        await run(
            deployment, options, log, lambda at, asked: _say(ready=True, address=at, control=asked, name=name), stop
        )

    try:
        _run(go())
    except OSError as cause:
        click.echo(f"{host}:{port}: {cause.strerror or cause}", err=True)
        sys.exit(FAILED)
    except ValueError as cause:
        click.echo(f"{file}: {cause}", err=True)
        sys.exit(UNUSABLE)


@main.group()
def vrrp() -> None:
    """Front addresses that survive their dispatcher's host."""


@vrrp.command("status", cls=_Examples, example="kelptrail vrrp status --control 127.0.0.1:9001")
@click.option("--control", required=True, help="A dispatcher's control address.")
@click.option("--json", "as_json", is_flag=True, help="The whole status as JSON.")
def vrrp_status(control: str, as_json: bool) -> None:
    """State, master, timers, counters and last transitions with their causes."""
    from kelptrail.codec.http import HttpError
    from kelptrail.emulator.cluster import http_json

    try:
        status = _run(http_json(control, "GET", "/vrrp"))
    except (OSError, HttpError) as cause:
        click.echo(f"{control}: {cause or type(cause).__name__}", err=True)
        sys.exit(FAILED)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(status)).decode())
        return
    click.echo(f"instance {status['primary']}, peers {', '.join(status['peers'])}")
    for r in status["routers"]:
        timers = ", ".join(f"{name} in {left:g} ms" for name, left in r["timers_ms"].items())
        click.echo(
            f"router {r['vrid']} {', '.join(r['addresses'])}: {r['state']} for {r['for_ms'] / 1000:.1f} s, "
            f"priority {r['priority']} of {r['base_priority']}, {timers}"
        )
    for name, t in status["tracked"].items():
        click.echo(f"tracked {name}: {'failed' if t['failed'] else 'well'}, weight {t['weight']}")
    click.echo("counts: " + ", ".join(f"{name} {n}" for name, n in status["counts"].items()))
    for m in status["transitions"][-10:]:
        click.echo(
            f"{m['ago_ms'] / 1000:8.1f} s ago  router {m['router']}  {m['before']} -> {m['after']}: {m['cause']}"
        )


def _shown(control: str, target: str) -> Any:
    """What a control port shows; ends the process where it shows nothing."""
    from kelptrail.codec.http import HttpError
    from kelptrail.emulator.cluster import http_json

    try:
        return _run(http_json(control, "GET", target))
    except (OSError, HttpError) as cause:
        click.echo(f"{control}: {cause or type(cause).__name__}", err=True)
        sys.exit(FAILED)


@main.command(cls=_Examples, example="kelptrail usage 127.0.0.1:9001")
@click.argument("control")
def usage(control: str) -> None:
    """Calls a second by namespace over the whole fleet, as the dispatcher at CONTROL was told last."""
    status = _shown(control, "/usage")
    click.echo(msgspec.json.format(msgspec.json.encode(status)).decode())


@main.command(cls=_Examples, example="kelptrail leases 127.0.0.1:9001")
@click.argument("control")
@click.option("--json", "as_json", is_flag=True, help="All of it as JSON.")
def leases(control: str, as_json: bool) -> None:
    """Tasks, holders, tokens, time left and voters, as the dispatcher at CONTROL sees them."""
    status = _shown(control, "/leases")
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(status)).decode())
        return
    vote, heard = status["vote"], status["voters"]
    reached = sum(ms is not None for ms in heard.values())
    click.echo(
        f"{status['name']}, set of voters {status['number']}: "
        + ", ".join(f"{name} {'not heard' if ms is None else f'{ms:g} ms ago'}" for name, ms in heard.items())
        + ("" if 2 * reached > len(heard) else "; no majority is heard: nothing can be won or renewed from here")
    )
    if vote is not None:
        click.echo(f"votes here: {vote['stage']}, disk {vote['disk']}")
    known = status["seen"] | (vote["tasks"] if vote is not None else {})
    for task in sorted({*status["wants"], *known}):
        mine, seen = status["holds"].get(task), known.get(task)
        if mine is not None:
            words = f"held here under {mine['token']}, {mine['left_ms'] / 1000:.1f} s left"
        elif seen is not None and seen["left_ms"]:
            words = (
                f"held by {seen['token'].partition('.')[2].partition('/')[0]} under {seen['token']}, "
                f"{seen['left_ms'] / 1000:.1f} s left at most"
            )
        else:
            words = f"not held, last token {seen['token']}" if seen is not None else "wanted, not held here"
        click.echo(f"{task}: {words}")


@main.command(cls=_Examples, example="kelptrail copies 127.0.0.1:9001")
@click.argument("control")
@click.option("--json", "as_json", is_flag=True, help="All of it as JSON.")
def copies(control: str, as_json: bool) -> None:
    """What the dispatcher at CONTROL owns and holds for others, who has copies, how far behind, at risk since when."""
    status = _shown(control, "/copies")
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(status)).decode())
        return
    click.echo(
        f"{status['name']}, {status['copies']} copies: "
        + ("new deferred calls are promised" if status["promising"] else "new deferred calls are refused")
    )
    for book, own in status["owned"].items():
        words = "all copies stand" if own["full"] else f"at risk for {own['at_risk_ms'] / 1000:.1f} s"
        click.echo(
            f"owned {book}{' (current)' if own['current'] else ''}, under {own['token']}: {words}; whole at "
            + ", ".join(own["members"])
            + f"; {own['waiting']} entries wait"
        )
        for name, way in own["holders"].items():
            click.echo(f"  {name}: {way['stage']}, {way['behind']} batches and {way['bytes']} bytes behind")
    for book, held in status["held"].items():
        click.echo(f"held {book} for {held['owner']}, heard {held['heard_ms'] / 1000:.1f} s ago")


@main.command(cls=_Examples, example="kelptrail retire dispatcher-3 127.0.0.1:9001 --within 120")
@click.argument("name")
@click.argument("control")
@click.option("--within", default=120.0, show_default=True, help="Seconds to wait until nothing is left there.")
def retire(name: str, control: str, within: float) -> None:
    """Move everything off the dispatcher NAME, whose control port is CONTROL, before its machine is taken away."""
    from kelptrail.codec.http import HttpError
    from kelptrail.emulator.cluster import http_json

    async def go() -> str:
        status = await http_json(control, "GET", "/copies")
        if status["name"] != name:
            return f"{control} is {status['name']}, not {name}"
        await http_json(control, "POST", "/retire", {})
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while loop.time() < end:
            status = await http_json(control, "GET", "/copies")
            if not status["owned"] and not status["held"]:
                return ""
            await asyncio.sleep(0.2)
        return f"left after {within:g} s: owned {len(status['owned'])}, held {len(status['held'])}"

    try:
        left = _run(go())
    except (OSError, HttpError) as cause:
        left = f"{control}: {cause or type(cause).__name__}"
    if left:
        click.echo(left, err=True)
        sys.exit(FAILED)
    click.echo(f"{name} holds nothing for others and owns nothing: end it with SIGTERM")


@main.command(cls=_Examples, example="kelptrail demo --workers 6 --quiet-logs")
@click.argument("file", default="examples/nursery.sexp")
@click.option("--workers", type=click.IntRange(1, 200), help="Stand-in workers; default: the settings'.")
@click.option("--quiet-logs", is_flag=True, help="No log lines on standard error.")
@click.pass_context
def demo(context: click.Context, file: str, workers: int | None, quiet_logs: bool) -> None:
    """Run a whole place on loopback: worker list, model store, workers, one dispatcher."""
    deployment = _settings(file)
    from kelptrail.emulator.cluster import Cluster

    async def go() -> bool:
        import signal

        stop = asyncio.Event()
        for sign in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(sign, stop.set)
        place = Cluster(deployment, file, None, log_level=context.obj["level"], quiet=quiet_logs)
        try:
            await place.start(max(4, workers or deployment.fleet.workers) if workers is None else workers, 1, None)
            invoke = place.dispatchers[0].said["invoke"]
            first = next(iter(deployment.namespaces.values()))
            types = deployment.types
            _say(
                ready=True,
                invoke=invoke,
                auth=f"{first.uuid}:{first.key}",
                namespace=first.name,
                actions=[
                    {
                        "name": a.name,
                        "package": a.package,
                        "type": a.type,
                        "effect": types[a.type].effect,
                        "target_ms": types[a.type].target_ms,
                        "timeout_ms": types[a.type].timeout_ms,
                    }
                    for a in deployment.actions.values()
                ],
            )
            path = next(iter(deployment.actions))
            click.echo(
                f"try: curl -u {first.uuid}:{first.key} -H 'content-type: application/json' "
                f"-d '{{\"family\": 7}}' '{invoke}/api/v1/namespaces/_/actions/{path}?blocking=true'",
                err=True,
            )
            await stop.wait()
        finally:
            clean = await place.stop()
        return clean

    sys.exit(0 if _run(go()) else FAILED)


def _client(function: Any) -> Any:
    for option in (
        click.option("--url", required=True, help="The invoke address, such as http://127.0.0.1:8080."),
        click.option("--auth", required=True, help="UUID:KEY of the namespace."),
        click.option("--namespace", default="_", show_default=True),
    ):
        function = option(function)
    return function


async def _ask(
    url: str,
    auth: str,
    method: str,
    target: str,
    body: Any = None,
    timeout_ms: float = 70_000,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    import base64

    from kelptrail.codec.http import HttpError
    from kelptrail.net.http_client import HttpClient

    errand = HttpClient(url.removeprefix("http://").rstrip("/"))
    try:
        response = await errand.request(
            method,
            target,
            body,
            timeout_ms,
            {"authorization": "Basic " + base64.b64encode(auth.encode()).decode()} | (headers or {}),
        )
    except (OSError, HttpError) as cause:
        click.echo(f"{url}: {cause or type(cause).__name__}", err=True)
        sys.exit(FAILED)
    finally:
        errand.close()
    return response.status, msgspec.json.decode(response.body) if response.body else None


def _exit_of(status: int, body: Any) -> int:
    if status == 429:
        return REJECTED
    if status == 202 or (status == 404 and "in hand" in str(body)):
        return IN_HAND
    notes = {n["key"]: n["value"] for n in body.get("annotations", [])} if isinstance(body, dict) else {}
    answer = notes.get("kelptrail", {}).get("answer")
    if answer:
        return {"rejected": REJECTED, "aborted": ABORTED}.get(answer, 0)
    return 0 if status == 200 else FAILED


@main.command(
    cls=_Examples,
    example="kelptrail invoke places/place-check '{\"family\": 7}' --url "
    "http://127.0.0.1:8080 --auth UUID:KEY --blocking",
)
@click.argument("action")
@click.argument("params", default="{}")
@click.option("--blocking", is_flag=True, help="Wait for the final answer.")
@click.option("--timeout", type=int, help="Longest wait in ms.")
@click.option("--key", help="A mark against repeats (Idempotency-Key).")
@_client
def invoke(
    action: str, params: str, blocking: bool, timeout: int | None, key: str | None, url: str, auth: str, namespace: str
) -> None:
    """Call an action.  Exit 0 completed, 3 rejected, 4 aborted, 5 in hand."""
    try:
        body = msgspec.json.decode(params)
    except msgspec.DecodeError as cause:
        raise click.BadParameter(f"PARAMS is a JSON object: {cause}") from None
    target = f"/api/v1/namespaces/{namespace}/actions/{action}?blocking={str(blocking).lower()}"
    if timeout is not None:
        target += f"&timeout={timeout}"
    status, out = _run(_ask(url, auth, "POST", target, body, headers={"idempotency-key": key} if key else None))
    click.echo(msgspec.json.format(msgspec.json.encode(out)).decode())
    sys.exit(_exit_of(status, out))


@main.command(cls=_Examples, example="kelptrail poll ID --url http://127.0.0.1:8080 --auth UUID:KEY")
@click.argument("activation")
@click.option("--within", default=0.0, show_default=True, help="Ask again for so many seconds.")
@_client
def poll(activation: str, within: float, url: str, auth: str, namespace: str) -> None:
    """Ask for an activation's record.  Exit 0 completed, 3 rejected, 4 aborted, 5 in hand."""

    async def go() -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while True:
            status, out = await _ask(url, auth, "GET", f"/api/v1/namespaces/{namespace}/activations/{activation}")
            if _exit_of(status, out) != IN_HAND or loop.time() >= end:
                return status, out
            await asyncio.sleep(0.1)

    status, out = _run(go())
    click.echo(msgspec.json.format(msgspec.json.encode(out)).decode())
    sys.exit(_exit_of(status, out))


@main.command(
    "bad-day", cls=_Examples, example="kelptrail bad-day examples/bad-days/first.sexp --seed 1 --out out/first"
)
@click.argument("script")
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for report and captures.")
@click.pass_context
def bad_day(context: click.Context, script: str, seed: int, out: Path) -> None:
    """Play a scripted bad day through real processes and judge it.  Exit 6 where a rule was broken."""
    from kelptrail.fault_scenario.report import write_report
    from kelptrail.fault_scenario.runner import ScenarioRunner
    from kelptrail.history_checker.checker import check_history, read_captures

    day = _script(script)
    try:
        player = ScenarioRunner(day, _settings(day.deployment), seed, out, context.obj["level"], script)
    except ValueError as cause:
        click.echo(f"{script}: {cause}", err=True)
        sys.exit(UNUSABLE)
    clean = bool(_run(player.run()))
    events = read_captures(out / "captures")
    report = write_report(out, day.name, seed, events, check_history(events), clean, player.memory, player.states)
    brief = {k: v for k, v in report.items() if k not in ("timeline", "details", "troubles")}
    click.echo(msgspec.json.format(msgspec.json.encode(brief)).decode())
    for line in report["details"][:20]:
        click.echo(line, err=True)
    sys.exit(BROKEN_RULE if report["broken"] else 0)


@main.command(cls=_Examples, example="kelptrail campaign examples/fleet.sexp --seeds 100 --out out/campaign")
@click.argument("settings", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--seeds", default=20, show_default=True, type=click.IntRange(1, 10_000), help="How many.")
@click.option("--first", default=1, show_default=True, help="The first of them.")
@click.option("--at-once", default=3, show_default=True, type=click.IntRange(1, 64))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for days, reports and captures.")
def campaign(settings: Path, seeds: int, first: int, at_once: int, out: Path) -> None:
    """Play drawn bad days between real processes: of copies where the settings have any, else of leases.  Exit 6 where
    any of them broke a rule."""
    from kelptrail.fault_scenario.campaign import run_campaign, summarize

    peers = _settings(str(settings)).peers
    kind = "copies" if peers is not None and peers.copies else "leases"
    with click.progressbar(length=seeds, label="days", file=sys.stderr) as bar:
        rows = _run(
            run_campaign(kind, list(range(first, first + seeds)), settings, out, at_once, lambda _row: bar.update(1))
        )
    found = summarize(rows)
    click.echo(msgspec.json.format(msgspec.json.encode(found)).decode())
    for row in rows:
        for line in [row["failed"]] if "failed" in row else row["details"]:
            click.echo(f"{row['seed']}: {line}", err=True)
    sys.exit(FAILED if found["failed"] else BROKEN_RULE if found["broken"] else 0)


@main.command(cls=_Examples, example="kelptrail audit out/first/captures")
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
def audit(folder: Path) -> None:
    """Judge captures that were made before.  Exit 6 where a rule was broken."""
    from kelptrail.history_checker.checker import check_history, read_captures

    try:
        verdict = check_history(read_captures(folder))
    except ValueError as cause:
        click.echo(f"{folder}: {cause}", err=True)
        sys.exit(UNUSABLE)
    click.echo(msgspec.json.format(msgspec.json.encode(verdict.counts())).decode())
    for line in verdict.details:
        click.echo(line, err=True)
    sys.exit(BROKEN_RULE if verdict.broken else 0)


@main.command(cls=_Examples, example="kelptrail turn day.tap --name day --scale 0.3 --out out/day")
@click.argument("tap", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--name", default="turned", show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Arrivals, as a share of the captured ones.")
@click.option("--workers", default=8, show_default=True)
@click.option("--dispatchers", default=3, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for the two files.")
def turn(tap: Path, name: str, scale: float, workers: int, dispatchers: int, out: Path) -> None:
    """Turn a captured bench day into a deployment and a script for bad-day."""
    from kelptrail.fault_scenario.import_capture import import_capture as run

    try:
        deployment, script = run(tap, name, scale, workers, dispatchers)
    except (ValueError, KeyError) as cause:
        click.echo(f"{tap}: {cause}", err=True)
        sys.exit(UNUSABLE)
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{name}.sexp").write_text(deployment)
    (out / f"{name}-day.sexp").write_text(script)
    click.echo(str(out / f"{name}-day.sexp"))


# Stand-ins.


@main.group()
def standin() -> None:
    """Stand-ins for tries and tests on loopback: worker, store, roster."""


def _standin(function: Any) -> Any:
    for option in (
        click.option("--host", default="127.0.0.1", show_default=True),
        click.option("--port", default=0, show_default=True, help="0: a free one."),
        click.option("--capture", type=click.Path(path_type=Path), help="File for what passes the sockets."),
        click.option("--with-stdin", is_flag=True, hidden=True),
    ):
        function = option(function)
    return function


@main.command(cls=_Examples, example="LB_CONFIG=/run/balancer/config.json kelptrail platform")
def platform() -> None:
    """One dispatcher on the platform's own protocol, as the file that LB_CONFIG names tells it."""
    from kelptrail.platform.__main__ import main as serve

    raise SystemExit(serve())


@main.group()
def lab() -> None:
    """What we balance, emulated in simulated time around the real cores; experiments on it."""


@lab.command("play", cls=_Examples, example="kelptrail lab play examples/bad-days/kills.sexp")
@click.argument("script")
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=1, show_default=True, type=click.IntRange(1, 64), help="Over which it is spread.")
@click.option("--network-ms", default=0.15, show_default=True, type=click.FloatRange(0.01, 1000), help="One way.")
@click.option("--audit/--no-audit", "judged", default=True, show_default=True, help="Keep all events and judge them.")
def lab_play(script: str, seed: int, processes: int, network_ms: float, judged: bool) -> None:
    """Play a bad day's SCRIPT in the lab and judge it by the audit; exit 6 where a rule is broken."""
    import time

    from kelptrail.fault_scenario.report import latencies
    from kelptrail.history_checker.checker import check_history
    from kelptrail.load.results import figures
    from kelptrail.simulation.cluster import SimulatedCluster, SimulationSettings, result_of
    from kelptrail.simulation.sharding import ShardError, play_sharded

    day = _script(script)
    deployment, settings = _settings(day.deployment), SimulationSettings(network_ms=network_ms)
    if processes > 1 and day.planners:
        click.echo("planners are played in one process only", err=True)
        sys.exit(UNUSABLE)
    if processes > day.dispatchers or processes > (day.workers + 1) // 2:
        click.echo(f"{processes} processes are more than there are dispatchers, or pairs of workers", err=True)
        sys.exit(UNUSABLE)
    began = time.perf_counter()
    if processes == 1:
        site = SimulatedCluster(day, deployment, seed, settings, judged)
        site.run()
        result, events = result_of(site), sorted(site.events, key=lambda event: event["t"])
    else:
        try:
            result, events = play_sharded(day, deployment, seed, settings, processes, judged)
        except ShardError as cause:
            click.echo(str(cause), err=True)
            sys.exit(FAILED)
    took = time.perf_counter() - began
    row = figures(day.seconds, day.ends, result)
    pace = {"took_s": round(took, 1), "simulated_s_a_second": round(day.seconds / took, 3)}
    if not judged:
        _say(name=day.name, seed=seed, **row, **pace)
        return
    verdict = check_history(events)
    _say(
        name=day.name,
        seed=seed,
        **verdict.counts(),
        broken=verdict.broken,
        details=verdict.details[:20],
        latency_ms=latencies(events),
        served_share=row["served_share"],
        recovery_s=row["recovery_s"],
        **pace,
    )
    sys.exit(BROKEN_RULE if verdict.broken else 0)


@lab.command("run", cls=_Examples, example="kelptrail lab run examples/experiments/ramp.sexp --out out/ramp")
@click.argument("experiment")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for the results.")
@click.option("--processes", default=4, show_default=True, type=click.IntRange(1, 256))
def lab_run(experiment: str, out: Path, processes: int) -> None:
    """Play an EXPERIMENT's variants, points and seeds in parallel; write columns, plots and a report."""
    from kelptrail.load.results import read
    from kelptrail.simulation.compare import report
    from kelptrail.simulation.experiment import load
    from kelptrail.simulation.experiment import run as run_all

    count = sum(1 for _ in _read(load, experiment).runs())
    with click.progressbar(length=count, label="runs", file=sys.stderr) as bar:
        runs = run_all(experiment, out, processes, lambda _row: bar.update(1))
    file = report(out, runs, read(out, "seconds"), read(out, "spread"))
    _say(runs=len(runs), report=str(file))


@lab.command("compare", cls=_Examples, example="kelptrail lab compare out/ramp --first as-is --second other")
@click.argument("folder", type=click.Path(path_type=Path, exists=True))
@click.option("--first", required=True, help="A variant.")
@click.option("--second", required=True, help="The variant that is judged beside it.")
@click.option("--other-folder", type=click.Path(path_type=Path, exists=True), help="Where the second one is.")
def lab_compare(folder: Path, first: str, second: str, other_folder: Path | None) -> None:
    """Say of each figure whether the second variant is better, worse or not told apart."""
    from dataclasses import asdict

    from kelptrail.load.results import read_runs
    from kelptrail.simulation.compare import compare

    one = [r for r in read_runs(folder) if r["variant"] == first]
    two = [r for r in read_runs(other_folder or folder) if r["variant"] == second]
    try:
        found = compare(one, two)
    except ValueError as cause:
        click.echo(str(cause), err=True)
        sys.exit(FAILED)
    for difference in found:
        _say(**asdict(difference))


@main.command(
    "load",
    cls=_Examples,
    example="kelptrail load examples/bad-days/steady.sexp --at 127.0.0.1:8080 --processes 2 --out out/load",
)
@click.argument("script")
@click.option("--at", "addresses", multiple=True, required=True, help="A dispatcher's address; may be given again.")
@click.option("--control", "controls", multiple=True, help="A dispatcher's control address: its sends and orders.")
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for the results.")
@click.option("--processes", default=2, show_default=True, type=click.IntRange(1, 64))
@click.option("--seed", default=1, show_default=True)
@click.option("--variant", default="as-is", show_default=True, help="Its name in comparisons.")
@click.option(
    "--churn",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of calls that close their connection.",
)
@click.option("--connections", default=2000, show_default=True, help="At most, of a process to an address.")
def load_(
    script: str,
    addresses: tuple[str, ...],
    controls: tuple[str, ...],
    out: Path,
    processes: int,
    seed: int,
    variant: str,
    churn: float,
    connections: int,
) -> None:
    """Drive running dispatchers with a SCRIPT's load; its troubles are not played.  Tables as the lab's."""
    from kelptrail.load.coordinator import GeneratorError, run_generators, write_results
    from kelptrail.load.generator import GeneratorSettings

    day = _script(script)
    settings = GeneratorSettings(addresses, 0, processes, seed, churn, connections)
    try:
        found = _run(run_generators(script, day, settings, list(controls)))
    except GeneratorError as cause:
        click.echo(str(cause), err=True)
        sys.exit(FAILED)
    who = {"experiment": day.name, "variant": variant, "point": "", "value": 0.0, "seed": seed}
    _say(**write_results(out, who, day, found))


@main.command("load-hand", hidden=True)
@click.argument("script")
@click.option("--at", "addresses", multiple=True)
@click.option("--start", type=float)
@click.option("--number", type=int)
@click.option("--of", type=int)
@click.option("--seed", type=int)
@click.option("--churn", type=float)
@click.option("--connections", type=int)
def load_hand(
    script: str,
    addresses: tuple[str, ...],
    start: float,
    number: int,
    of: int,
    seed: int,
    churn: float,
    connections: int,
) -> None:
    """One process of the load tool."""
    from kelptrail.load.generator import GeneratorSettings, LoadGenerator, pack_counters

    day = _script(script)

    settings = GeneratorSettings(addresses, number, of, seed, churn, connections)

    async def go() -> None:
        _say(**pack_counters(await LoadGenerator(day, _settings(day.deployment), settings, start).run()))

    _run(go())


@main.group()
def keys() -> None:
    """A private authority of one's own: certificates for fronts, workers and clients; keys for namespaces."""


def _authority(work: Callable[[], Any]) -> Any:
    from kelptrail.certificates.authority import AuthorityError

    try:
        return work()
    except AuthorityError as cause:
        click.echo(str(cause), err=True)
        sys.exit(FAILED)


def _tell(issued: Any) -> None:
    from datetime import UTC, datetime

    _say(
        name=issued.name,
        names=issued.names,
        use=issued.usage,
        serial=issued.serial,
        begins=issued.valid_from.isoformat(),
        ends=issued.valid_until.isoformat(),
        days_left=round(issued.days_left(datetime.now(UTC)), 1),
    )


@keys.command(cls=_Examples, example="kelptrail keys init keys --name north-authority")
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--name", default="kelptrail-authority", show_default=True)
@click.option("--days", default=3650, show_default=True, type=click.IntRange(1, 36_500))
def init(folder: Path, name: str, days: int) -> None:
    """Make an authority in FOLDER.  One that is there is never written over."""
    from datetime import UTC, datetime

    from kelptrail.certificates.authority import Authority

    _tell(_authority(lambda: Authority.create(folder, name, days, datetime.now(UTC)).list_issued()[0]))


@keys.command(cls=_Examples, example="kelptrail keys issue keys front --server --also 127.0.0.1")
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--server", is_flag=True, help="For a front or a worker.")
@click.option("--client", is_flag=True, help="For a caller, or a dispatcher towards its workers.")
@click.option("--also", multiple=True, help="Another DNS name, URI or address that it stands for.")
@click.option("--days", default=90, show_default=True, type=click.IntRange(1, 36_500))
def issue(folder: Path, name: str, server: bool, client: bool, also: tuple[str, ...], days: int) -> None:
    """Issue a certificate: FOLDER/NAME.pem holds its key and itself."""
    from datetime import UTC, datetime

    from kelptrail.certificates.authority import Authority

    _tell(_authority(lambda: Authority(folder).issue(name, also, server, client, days, datetime.now(UTC))))


@keys.command(cls=_Examples, example="kelptrail keys rotate keys front")
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("name")
@click.option("--days", default=90, show_default=True, type=click.IntRange(1, 36_500))
def rotate(folder: Path, name: str, days: int) -> None:
    """Renew a certificate with a new key; running fronts take it up by themselves."""
    from datetime import UTC, datetime

    from kelptrail.certificates.authority import Authority

    _tell(_authority(lambda: Authority(folder).rotate(name, days, datetime.now(UTC))))


@keys.command(cls=_Examples, example="kelptrail keys show keys")
@click.argument("folder", type=click.Path(path_type=Path))
def show(folder: Path) -> None:
    """Show the authority and what it issued, one JSON line each; never a key."""
    from kelptrail.certificates.authority import Authority

    for one in _authority(lambda: Authority(folder).list_issued()):
        _tell(one)


@keys.command(cls=_Examples, example="kelptrail keys api")
def api() -> None:
    """Make a key for a namespace: hand out `key`, put `key_hash` into the settings."""
    from kelptrail.certificates.authority import new_api_key

    key, hashed = new_api_key()
    _say(key=key, key_hash=hashed)


async def _until_stopped(with_stdin: bool) -> None:
    import signal

    stop = asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(sign, stop.set)
    if with_stdin:
        _ends_with_stdin(stop.set)
    await stop.wait()


@standin.command(cls=_Examples, example="kelptrail standin store examples/nursery.sexp --port 7001")
@click.argument("file")
@_standin
def store(file: str, host: str, port: int, capture: Path | None, with_stdin: bool) -> None:
    """The model store, with the ledger by which workers drop repeats."""
    deployment = _settings(file)
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.model_store import ModelStore

    async def go() -> None:
        made = ModelStore(deployment.store, Capture(capture, "store"))
        made.server.listen(host, port)
        _say(ready=True, address=made.server.address)
        await _until_stopped(with_stdin)

    _run(go())


@standin.command("clients", hidden=True)
@click.argument("script")
@click.option("--at", "addresses", multiple=True)
@click.option("--second", multiple=True)
@click.option("--start", type=float)
@click.option("--number", type=int)
@click.option("--of", type=int)
@click.option("--seed", type=int)
@click.option("--capture", type=click.Path(path_type=Path))
def standin_clients(
    script: str,
    addresses: tuple[str, ...],
    second: tuple[str, ...],
    start: float,
    number: int,
    of: int,
    seed: int,
    capture: Path | None,
) -> None:
    """One process of a bad day's clients."""
    import gc

    from kelptrail.clock import now_ms
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.clients import ClientEmulator

    day = _script(script)
    deployment = _settings(day.deployment)

    async def go() -> None:
        name = f"clients-{number}"
        made = ClientEmulator(
            deployment,
            list(addresses),
            Capture(capture / f"{name}.jsonl" if capture else None, name),
            seed,
            second=list(second),
            part=(number, of),
        )
        plan = made.plan(day.load, day.seconds)
        gc.collect()
        gc.freeze()
        gc.set_threshold(50_000, 20, 1_000_000)
        await made.run(plan, start)
        longest = max(t.timeout_ms for t in deployment.types.values())
        await asyncio.sleep(max(0.0, start / 1000 + day.seconds - now_ms() / 1000))
        await made.wait_until_answered(now_ms() + longest + 5000)
        made.close()

    _run(go())


@standin.command(cls=_Examples, example="kelptrail standin roster --port 7000")
@_standin
def roster(host: str, port: int, capture: Path | None, with_stdin: bool) -> None:
    """The worker list."""
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.endpoint_service import EndpointService

    async def go() -> None:
        made = EndpointService(Capture(capture, "roster"))
        made.server.listen(host, port)
        _say(ready=True, address=made.server.address)
        await _until_stopped(with_stdin)

    _run(go())


@standin.command(cls=_Examples, example="kelptrail standin witness")
@_standin
def witness(host: str, port: int, capture: Path | None, with_stdin: bool) -> None:
    """What is acted on under leases: notes who acts when, refuses old tokens."""
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.side_effect_log import SideEffectLog

    async def go() -> None:
        made = SideEffectLog(Capture(capture, "witness"))
        made.server.listen(host, port)
        _say(ready=True, address=made.server.address)
        await _until_stopped(with_stdin)

    _run(go())


@standin.command(cls=_Examples, example="kelptrail standin links --from dispatcher-0 --to dispatcher-1")
@click.option("--from", "sources", multiple=True, help="One that connects.")
@click.option("--to", "targets", multiple=True, help="One that is connected to.")
@click.option("--seed", default=1)
@_standin
def links(
    sources: tuple[str, ...],
    targets: tuple[str, ...],
    seed: int,
    host: str,
    port: int,
    capture: Path | None,
    with_stdin: bool,
) -> None:
    """A relay for the channel between dispatchers that cuts, slows and resets as told."""
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.channel_proxy import ChannelProxy

    async def go() -> None:
        made = ChannelProxy(list(sources), list(targets), Capture(capture, "links"), seed)
        made.server.listen(host, port)
        _say(ready=True, address=made.server.address, routes=made.routes)
        await _until_stopped(with_stdin)

    _run(go())


@standin.command(cls=_Examples, example="kelptrail standin relay examples/shared-address.sexp")
@click.argument("file")
@click.option("--seed", default=1)
@_standin
def relay(file: str, seed: int, host: str, port: int, capture: Path | None, with_stdin: bool) -> None:
    """A relay that harms VRRP datagrams as told."""
    deployment = _settings(file)
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.datagram_proxy import DatagramProxy

    if deployment.vrrp is None:
        click.echo(f"{file}: no vrrp section", err=True)
        sys.exit(UNUSABLE)

    async def go() -> None:
        made = DatagramProxy(deployment.vrrp, Capture(capture, "relay"), seed)
        made.server.listen(host, port)
        _say(ready=True, address=made.server.address)
        await _until_stopped(with_stdin)

    _run(go())


@standin.command(
    cls=_Examples,
    example="kelptrail standin worker examples/nursery.sexp --id worker-1 "
    "--store 127.0.0.1:7001 --roster 127.0.0.1:7000",
)
@click.argument("file")
@click.option("--id", "id_", required=True)
@click.option("--hall", default="")
@click.option("--cell", default=0)
@click.option("--store", "store_", required=True, help="Address of the model store.")
@click.option("--roster", "roster_", required=True, help="Address of the worker list.")
@click.option("--seed", default=1)
@click.option("--control-port", default=0)
@click.option("--warm", is_flag=True, help="As if it had run for long.")
@_standin
def worker(
    file: str,
    id_: str,
    hall: str,
    cell: int,
    store_: str,
    roster_: str,
    seed: int,
    control_port: int,
    warm: bool,
    host: str,
    port: int,
    capture: Path | None,
    with_stdin: bool,
) -> None:
    """One runner that holds copies of models."""
    deployment = _settings(file)
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.worker import WorkerEmulator

    async def go() -> None:
        made = WorkerEmulator(deployment, id_, hall, cell, store_, roster_, Capture(capture, id_), seed, warm)
        made.server.listen(host, port)
        made.control.listen(host, control_port)
        await made.announce(made.server.address)
        _say(ready=True, address=made.server.address, control=made.control.address, incarnation=made.incarnation)
        await _until_stopped(with_stdin)

    _run(go())
