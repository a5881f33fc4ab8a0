"""`emulate`: emulators of a dispatcher's environment on loopback, one process each, for trials and tests."""

from __future__ import annotations

import asyncio
import gc
from pathlib import Path
from typing import Any

import click

from .console import print_json_line, read_deployment, read_scenario, run_async, wait_until_stopped
from .errors import UnusableInputError
from .options import ExampleCommand, combined, endpoint_service_option, host_option, port_option, with_stdin_option

SETTLE_MARGIN_MS = 5000.0  # time to wait for answers beyond the longest timeout of the request classes
# Arguments of `gc.set_threshold`; the third one makes automatic full collections rare.
_GC_THRESHOLDS = (50_000, 20, 1_000_000)


@click.group()
def emulate() -> None:
    """Run one emulator on loopback for trials and tests: a worker, model store, endpoint service or proxy."""


# Options and names in captures are part of the interface.  Some differ from the terms in the code: "hall" is the zone,
# "roster" the endpoint service, "witness" the side-effect log, "links" the channel proxy, "relay" the datagram proxy.
emulator_options = combined(
    with_stdin_option,
    click.option("--capture", type=click.Path(path_type=Path), help="File that records the emulator's events."),
    port_option,
    host_option,
)


async def _serve(server: Any, host: str, port: int, stop_at_stdin_end: bool, **fields: Any) -> None:
    """Listen, print the ready line with `fields`, and serve until stopped."""
    server.listen(host, port)
    print_json_line(ready=True, address=server.address, **fields)
    await wait_until_stopped(stop_at_stdin_end)


@emulate.command(cls=ExampleCommand, example="kelptrail emulate model-store examples/nursery.sexp --port 7001")
@click.argument("file")
@emulator_options
def model_store(file: str, host: str, port: int, capture: Path | None, stop_at_stdin_end: bool) -> None:
    """Run the model store, which also stores the workers' effects for deduplication."""
    deployment = read_deployment(file)
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.model_store import ModelStore

    async def run_emulator() -> None:
        store = ModelStore(deployment.store, Capture(capture, "store"))
        await _serve(store.server, host, port, stop_at_stdin_end)

    run_async(run_emulator())


@emulate.command(cls=ExampleCommand, example="kelptrail emulate endpoint-service --port 7000")
@emulator_options
def endpoint_service(host: str, port: int, capture: Path | None, stop_at_stdin_end: bool) -> None:
    """Run the endpoint service, which serves the list of workers and dispatchers."""
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.endpoint_service import EndpointService

    async def run_emulator() -> None:
        service = EndpointService(Capture(capture, "roster"))
        await _serve(service.server, host, port, stop_at_stdin_end)

    run_async(run_emulator())


@emulate.command(cls=ExampleCommand, example="kelptrail emulate side-effect-log")
@emulator_options
def side_effect_log(host: str, port: int, capture: Path | None, stop_at_stdin_end: bool) -> None:
    """Run the target of side effects under leases, which records them and refuses old fencing tokens."""
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.side_effect_log import SideEffectLog

    async def run_emulator() -> None:
        log = SideEffectLog(Capture(capture, "witness"))
        await _serve(log.server, host, port, stop_at_stdin_end)

    run_async(run_emulator())


@emulate.command(cls=ExampleCommand, example="kelptrail emulate channel-proxy --from dispatcher-0 --to dispatcher-1")
@click.option("--from", "sources", multiple=True, help="Dispatcher that connects; repeatable.")
@click.option("--to", "targets", multiple=True, help="Dispatcher that accepts the connection; repeatable.")
@click.option("--seed", default=1)
@emulator_options
def channel_proxy(
    sources: tuple[str, ...],
    targets: tuple[str, ...],
    seed: int,
    host: str,
    port: int,
    capture: Path | None,
    stop_at_stdin_end: bool,
) -> None:
    """Run a proxy for the channel between dispatchers that cuts, slows and resets connections on request."""
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.channel_proxy import ChannelProxy

    async def run_emulator() -> None:
        proxy = ChannelProxy(list(sources), list(targets), Capture(capture, "links"), seed)
        await _serve(proxy.server, host, port, stop_at_stdin_end, routes=proxy.routes)

    run_async(run_emulator())


@emulate.command(cls=ExampleCommand, example="kelptrail emulate datagram-proxy examples/shared-address.sexp")
@click.argument("file")
@click.option("--seed", default=1)
@emulator_options
def datagram_proxy(file: str, seed: int, host: str, port: int, capture: Path | None, stop_at_stdin_end: bool) -> None:
    """Run a proxy that drops, delays and duplicates VRRP datagrams on request."""
    deployment = read_deployment(file)
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.datagram_proxy import DatagramProxy

    vrrp = deployment.vrrp
    if vrrp is None:
        raise UnusableInputError(f"{file}: no vrrp section")

    async def run_emulator() -> None:
        proxy = DatagramProxy(vrrp, Capture(capture, "relay"), seed)
        await _serve(proxy.server, host, port, stop_at_stdin_end)

    run_async(run_emulator())


@emulate.command(
    cls=ExampleCommand,
    example="kelptrail emulate worker examples/nursery.sexp --id worker-1 "
    "--store 127.0.0.1:7001 --roster 127.0.0.1:7000",
)
@click.argument("file")
@click.option("--id", "worker_id", required=True)
@click.option("--hall", "zone", default="")
@click.option("--cell", default=0)
@click.option("--store", "store_address", required=True, help="Address of the model store.")
@endpoint_service_option
@click.option("--seed", default=1)
@click.option("--control-port", default=0)
@click.option("--warm", is_flag=True, help="Start as a warm worker, without slow start.")
@emulator_options
def worker(file: str, **values: Any) -> None:
    """Run a worker that loads and runs instances of models."""
    deployment = read_deployment(file)
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.worker import WorkerEmulator, WorkerIdentity

    async def run_emulator() -> None:
        worker_id, host = values["worker_id"], values["host"]
        emulator = WorkerEmulator(
            deployment,
            WorkerIdentity(worker_id, values["zone"], values["cell"]),
            values["store_address"],
            values["endpoint_service"],
            Capture(values["capture"], worker_id),
            values["seed"],
            values["warm"],
        )
        emulator.server.listen(host, values["port"])
        emulator.control.listen(host, values["control_port"])
        await emulator.announce(emulator.server.address)
        print_json_line(
            ready=True,
            address=emulator.server.address,
            control=emulator.control.address,
            incarnation=emulator.incarnation,
        )
        await wait_until_stopped(values["stop_at_stdin_end"])

    run_async(run_emulator())


@emulate.command(hidden=True)
@click.argument("script")
# Addresses of the invoke API, and of the inference API.
@click.option("--at", "addresses", multiple=True)
@click.option("--second", "inference_addresses", multiple=True)
# Start of the load, in ms of the monotonic clock.
@click.option("--start", "start_ms", type=float)
# Index of this process, and the number of processes.
@click.option("--number", type=int)
@click.option("--of", type=int)
@click.option("--seed", type=int)
# Folder for the capture.
@click.option("--capture", type=click.Path(path_type=Path))
def clients(script: str, start_ms: float, **values: Any) -> None:
    """Run one process's share of a fault scenario's clients."""
    from kelptrail.clock import now_ms
    from kelptrail.emulator.capture import Capture
    from kelptrail.emulator.clients import ClientEmulator

    scenario = read_scenario(script)
    deployment = read_deployment(scenario.deployment)
    longest_timeout_ms = max(request_class.timeout_ms for request_class in deployment.types.values())

    async def run_emulator() -> None:
        name, folder = f"clients-{values['number']}", values["capture"]
        emulator = ClientEmulator(
            deployment,
            list(values["addresses"]),
            Capture(folder / f"{name}.jsonl" if folder else None, name),
            values["seed"],
            inference_addresses=list(values["inference_addresses"]),
            part=(values["number"], values["of"]),
        )
        plan = emulator.plan(scenario.load, scenario.seconds)
        _freeze_garbage_collection()
        await emulator.run(plan, start_ms)
        await asyncio.sleep(max(0.0, start_ms / 1000 + scenario.seconds - now_ms() / 1000))
        await emulator.wait_until_answered(now_ms() + longest_timeout_ms + SETTLE_MARGIN_MS)
        emulator.close()

    run_async(run_emulator())


def _freeze_garbage_collection() -> None:
    """Exempt the plan, which is kept for the complete run, from garbage collection, whose pauses count as latency."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
