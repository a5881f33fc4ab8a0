"""Commands that run processes: `serve`, `edge`, `planner`, `platform` and `demo`; and `check`, for settings."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .console import (
    call_at_end_of_stdin,
    print_json_line,
    read_deployment,
    run_async,
    start_log,
    stop_event_on_signals,
)
from .errors import CommandFailedError, ExitCode, UnusableInputError
from .options import (
    ExampleCommand,
    combined,
    endpoint_service_option,
    host_option,
    peer_addresses,
    port_option,
    with_stdin_option,
)

if TYPE_CHECKING:
    from kelptrail.planner.driver import PlannerOptions
    from kelptrail.service.serve import DispatcherOptions
    from kelptrail.settings.deployment import Deployment

MIN_DEMO_WORKERS = 4


@click.command(cls=ExampleCommand, example="kelptrail check examples/nursery.sexp")
@click.argument("files", nargs=-1, required=True)
def check(files: tuple[str, ...]) -> None:
    """Check settings files; report each fault with its position, what was read and what was expected."""
    for file in files:
        deployment = read_deployment(file)
        click.echo(
            f"{file}: {deployment.name}, {len(deployment.types)} types, {len(deployment.namespaces)} "
            f"namespaces, {len(deployment.actions)} actions"
        )


# The hidden options are for tests and fault scenarios; `DispatcherOptions` describes their effects.
dispatcher_options = combined(
    click.argument("file"),
    endpoint_service_option,
    click.option("--name", default="dispatcher", show_default=True, help="Name in logs and in requests to workers."),
    click.option("--hall", "zone", default="", help="Zone of the dispatcher; default: as in the settings."),
    host_option,
    port_option,
    click.option("--state", type=click.Path(path_type=Path), help="Folder for the state that survives a restart."),
    click.option("--shared-port", is_flag=True, help="Let other dispatchers on this machine listen on the same port."),
    click.option("--crash-at", default="", hidden=True),
    click.option("--pause-at", default="", hidden=True),
    click.option("--grpc-port", type=int, help="Port of the inference API; default: as in the settings."),
    click.option("--harmed-disk", "faulty_disk", type=click.Path(path_type=Path), hidden=True),
    click.option("--control", help="Address and port for operators' requests, such as 127.0.0.1:0."),
    click.option("--peers", help="Address and port of its channel to other dispatchers; default: as in the settings."),
    click.option(
        "--peer",
        "peer_addresses",
        multiple=True,
        callback=peer_addresses,
        help="NAME=ADDRESS of another dispatcher's channel; repeatable.",
    ),
    click.option("--peers-port", type=int, hidden=True),  # port of `--peers` on 127.0.0.1
    click.option("--harmed-clock", "faulty_clock", type=click.Path(path_type=Path), hidden=True),
    click.option("--witness", "side_effect_log", default="", hidden=True),
    click.option("--task", "tasks", multiple=True, hidden=True),
    with_stdin_option,
    click.pass_context,
)


@click.command(cls=ExampleCommand, example="kelptrail serve examples/nursery.sexp --roster 127.0.0.1:7000 --port 8080")
@dispatcher_options
def serve(context: click.Context, file: str, **values: Any) -> None:
    """Run one dispatcher until SIGTERM, then drain.

    It includes a planner if the settings enable it.  Exit 1 if an accepted call got no answer in time.
    """
    _run_dispatcher(context, file, (), values)


@click.command(
    cls=ExampleCommand, example="kelptrail edge examples/nursery.sexp --roster 127.0.0.1:7000 --planner 127.0.0.1:7100"
)
@dispatcher_options
@click.option("--planner", "planners", multiple=True, required=True, help="Address of a planner; repeatable.")
def edge(context: click.Context, file: str, planners: tuple[str, ...], **values: Any) -> None:
    """Run one dispatcher that follows planners; while none is reachable, it works like `serve`."""
    _run_dispatcher(context, file, planners, values)


def _dispatcher_options(values: dict[str, Any], planners: tuple[str, ...]) -> DispatcherOptions:
    """Convert the command's options to those of the service."""
    from kelptrail.service.serve import DispatcherOptions

    return DispatcherOptions(
        name=values["name"],
        zone=values["zone"],
        host=values["host"],
        port=values["port"],
        endpoint_service=values["endpoint_service"],
        state_folder=values["state"],
        shared_port=values["shared_port"],
        crash_at=values["crash_at"],
        pause_at=values["pause_at"],
        control=values["control"],
        grpc_port=values["grpc_port"],
        planners=planners,
        disk_fault_file=values["faulty_disk"],
        peers=values["peers"] if values["peers_port"] is None else f"127.0.0.1:{values['peers_port']}",
        peer_addresses=values["peer_addresses"],
        clock_fault_file=values["faulty_clock"],
        trial_side_effect_log=values["side_effect_log"],
        trial_leases=values["tasks"],
    )


def _run_dispatcher(context: click.Context, file: str, planners: tuple[str, ...], values: dict[str, Any]) -> None:
    """Run a dispatcher until it stops, then exit with its code."""
    deployment = read_deployment(file)
    options = _dispatcher_options(values, planners)
    log = start_log(context, dispatcher=options.name)
    main = _serve_dispatcher(deployment, options, log, context.obj["level"] == "debug", values["stop_at_stdin_end"])
    try:
        clean = run_async(main)
    except OSError as cause:
        raise CommandFailedError(f"{options.host}:{options.port}: {cause.strerror or cause}") from None
    except ValueError as cause:
        raise UnusableInputError(f"{file}: {cause}") from None
    sys.exit(ExitCode.COMPLETED if clean else ExitCode.FAILED)


async def _serve_dispatcher(
    deployment: Deployment, options: DispatcherOptions, log: Any, debug: bool, stop_at_stdin_end: bool
) -> bool:
    """Serve until stopped; return whether the shutdown was clean."""
    from kelptrail.service.serve import serve as serve_until_stopped

    def print_ready(port: int, control: str | None, grpc: str | None, peers: str | None) -> None:
        print_json_line(
            ready=True,
            address=f"{options.host}:{port}",
            asked_at=control,  # address of the control port
            invoke=f"http://{options.host}:{port}",
            grpc=grpc,
            name=options.name,
            peers=peers,
        )

    stop = asyncio.Event()
    if stop_at_stdin_end:
        call_at_end_of_stdin(stop.set)
    return bool(await serve_until_stopped(deployment, options, log, debug, print_ready, stop))


@click.command(
    cls=ExampleCommand,
    example="kelptrail planner examples/nursery.sexp --roster 127.0.0.1:7000 --port 7100 --state var/planner",
)
@click.argument("file")
@endpoint_service_option
@click.option("--name", default="planner", show_default=True)
@host_option
@port_option
@click.option(
    "--state", type=click.Path(path_type=Path), help="Folder for the planner's snapshot and the last endpoint list."
)
@click.option("--control", help="Address and port for operators' requests.")
@click.option("--control-port", type=int, hidden=True)  # port of `--control` on 127.0.0.1
@click.option(
    "--peer",
    "peer_addresses",
    multiple=True,
    callback=peer_addresses,
    help="NAME=ADDRESS of an acceptor's channel; repeatable.",
)
@click.option("--solver", type=click.Choice(["program", "greedy"]), default="program", show_default=True)
@click.option("--slow-ms", default=0.0, hidden=True)  # delay added to each solution, for tests
@with_stdin_option
@click.pass_context
def planner(context: click.Context, /, file: str, stop_at_stdin_end: bool, **values: Any) -> None:
    """Plan loads and placement for edges until SIGTERM; of several planners, the lease holder is active."""
    deployment = read_deployment(file)
    options = _planner_options(values)
    log = start_log(context, planner=options.name)
    try:
        run_async(_serve_planner(deployment, options, log, stop_at_stdin_end))
    except OSError as cause:
        raise CommandFailedError(f"{options.host}:{options.port}: {cause.strerror or cause}") from None
    except ValueError as cause:
        raise UnusableInputError(f"{file}: {cause}") from None


def _planner_options(values: dict[str, Any]) -> PlannerOptions:
    """Convert the command's options to those of the planner."""
    from kelptrail.planner.driver import PlannerOptions

    control_port = values["control_port"]
    return PlannerOptions(
        name=values["name"],
        host=values["host"],
        port=values["port"],
        endpoint_service=values["endpoint_service"],
        state_folder=values["state"],
        control=values["control"] if control_port is None else f"127.0.0.1:{control_port}",
        solver=values["solver"],
        solve_delay_ms=values["slow_ms"],
        peer_addresses=values["peer_addresses"],
    )


async def _serve_planner(deployment: Deployment, options: PlannerOptions, log: Any, stop_at_stdin_end: bool) -> None:
    from kelptrail.service.planner import serve as serve_until_stopped

    def print_ready(address: str, control: str | None) -> None:
        print_json_line(ready=True, address=address, control=control, name=options.name)

    stop = asyncio.Event()
    if stop_at_stdin_end:
        call_at_end_of_stdin(stop.set)
    await serve_until_stopped(deployment, options, log, print_ready, stop)


@click.command(cls=ExampleCommand, example="LB_CONFIG=/run/balancer/config.json kelptrail platform")
def platform() -> None:
    """Run one dispatcher with the platform's own protocol, configured by the file that LB_CONFIG names."""
    from kelptrail.platform.__main__ import main as serve_platform

    raise SystemExit(serve_platform())


@click.command(cls=ExampleCommand, example="kelptrail demo --workers 6 --quiet-logs")
@click.argument("file", default="examples/nursery.sexp")
@click.option("--workers", type=click.IntRange(1, 200), help="Number of emulated workers; default: as in the settings.")
@click.option("--quiet-logs", is_flag=True, help="Write no log lines to standard error.")
@click.pass_context
def demo(context: click.Context, file: str, workers: int | None, quiet_logs: bool) -> None:
    """Run a complete cluster on loopback: endpoint service, model store, workers, one dispatcher."""
    deployment = read_deployment(file)
    count = max(MIN_DEMO_WORKERS, deployment.fleet.workers) if workers is None else workers
    clean = run_async(_run_demo(deployment, file, count, context.obj["level"], quiet_logs))
    sys.exit(ExitCode.COMPLETED if clean else ExitCode.FAILED)


async def _run_demo(deployment: Deployment, file: str, workers: int, log_level: str, quiet: bool) -> bool:
    """Run the cluster until a signal; return whether all of its processes ended without errors."""
    from kelptrail.emulator.cluster import Cluster

    stop = stop_event_on_signals()
    cluster = Cluster(deployment, file, None, log_level=log_level, quiet=quiet)
    try:
        await cluster.start(workers, 1, None)
        _print_demo_access(deployment, cluster.dispatchers[0].ready_info["invoke"])
        await stop.wait()
    finally:
        clean = await cluster.stop()
    return clean


def _print_demo_access(deployment: Deployment, invoke_url: str) -> None:
    """Print the cluster's URL, credentials and actions, and on standard error an example call."""
    namespace = next(iter(deployment.namespaces.values()))
    credentials = f"{namespace.uuid}:{namespace.key}"
    print_json_line(
        ready=True,
        invoke=invoke_url,
        auth=credentials,
        namespace=namespace.name,
        actions=[
            {
                "name": action.name,
                "package": action.package,
                "type": action.type,
                "effect": deployment.types[action.type].effect,
                "target_ms": deployment.types[action.type].latency_objective_ms,
                "timeout_ms": deployment.types[action.type].timeout_ms,
            }
            for action in deployment.actions.values()
        ],
    )
    click.echo(
        f"try: curl -u {credentials} -H 'content-type: application/json' -d '{{\"family\": 7}}' "
        f"'{invoke_url}/api/v1/namespaces/_/actions/{next(iter(deployment.actions))}?blocking=true'",
        err=True,
    )
