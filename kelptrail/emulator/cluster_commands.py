"""Command lines of a cluster's processes, without the leading `python -m kelptrail`."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from kelptrail.settings.deployment import Deployment

# Largest number of dispatchers for which the proxy covers all pairs.  With more dispatchers and with leases, it covers
# only the links to lease acceptors and planners.
ALL_PAIRS_LIMIT = 12
ANY_CONTROL_PORT = "127.0.0.1:0"
WORKERS_PER_CELL = 2


def repeated(option: str, values: Iterable[str]) -> list[str]:
    """Return the arguments that give an option once for each value."""
    return [argument for value in values for argument in (option, value)]


@dataclass(frozen=True, slots=True)
class ClusterCommands:
    """Builds the command lines for one deployment file.

    Some options have other names than the code: `--hall` is the zone, `--roster` the address of the endpoint service,
    `--at` and `--second` are addresses of the invoke and inference APIs, `--of` is the number of client processes, and
    `--harmed-disk` and `--harmed-clock` are the files with the faults of a dispatcher's disk and clock.
    """

    deployment: Deployment
    file: str
    seed: int
    log_level: str
    json_logs: bool

    def model_store(self) -> list[str]:
        """Return the command line of the emulated model store."""
        return ["emulate", "model-store", self.file]

    def datagram_proxy(self) -> list[str]:
        """Return the command line of the proxy between VRRP routers."""
        return ["emulate", "datagram-proxy", self.file, "--seed", str(self.seed)]

    def worker(self, number: int, store: str, endpoint_service: str) -> list[str]:
        """Return the command line of an emulated worker; `store` and `endpoint_service` are addresses."""
        return [
            "emulate",
            "worker",
            self.file,
            "--id",
            f"worker-{number}",
            "--hall",
            self._zone(number),
            "--cell",
            str(number // WORKERS_PER_CELL),
            "--store",
            store,
            "--roster",
            endpoint_service,
            "--seed",
            str(self.seed),
            "--warm",
        ]

    def channel_proxy(self, dispatchers: list[str], planners: list[str]) -> list[str]:
        """Return the command line of the proxy for channels between the named dispatchers and planners."""
        leases = self.deployment.leases
        targets = dispatchers
        if leases is not None and len(dispatchers) > ALL_PAIRS_LIMIT:
            targets = list(dict.fromkeys((*leases.acceptors, *leases.previous_acceptors)))
        return [
            "emulate",
            "channel-proxy",
            "--seed",
            str(self.seed),
            *repeated("--from", (*dispatchers, *planners)),
            *repeated("--to", (*targets, *planners)),
        ]

    def planner(
        self, name: str, endpoint_service: str, solver: str, peer_options: list[str], state: Path | None
    ) -> list[str]:
        """Return the command line of a planner; `state` is the folder for the state of all processes."""
        return [
            *self._log_options(),
            "planner",
            self.file,
            "--name",
            name,
            "--roster",
            endpoint_service,
            "--control",
            ANY_CONTROL_PORT,
            "--solver",
            solver,
            *peer_options,
            *(["--state", str(state / name)] if state else []),
        ]

    def dispatcher(
        self,
        number: int,
        endpoint_service: str,
        planner_options: list[str],
        peer_options: list[str],
        state: Path | None,
    ) -> list[str]:
        """Return the command line of a dispatcher, which is an edge if there are planner options."""
        name = f"dispatcher-{number}"
        return [
            *self._log_options(),
            *(["edge", self.file, *planner_options] if planner_options else ["serve", self.file]),
            "--name",
            name,
            "--hall",
            self._zone(number),
            "--roster",
            endpoint_service,
            "--control",
            ANY_CONTROL_PORT,
            *peer_options,
            *(self._state_options(number, name, state) if state else []),
        ]

    @staticmethod
    def _state_options(number: int, name: str, state: Path) -> list[str]:
        return [
            "--state",
            str(state / name),
            "--harmed-disk",
            str(state / f"disk-{number}.json"),
            "--harmed-clock",
            str(state / f"clock-{number}.json"),
        ]

    def clients(
        self, script: str, start: float, count: int, addresses: list[str], inference_addresses: list[str]
    ) -> list[str]:
        """Return the command line of one of `count` client processes, without its `--number` option."""
        return [
            "emulate",
            "clients",
            script,
            "--start",
            str(start),
            "--seed",
            str(self.seed),
            "--of",
            str(count),
            *repeated("--at", addresses),
            *repeated("--second", inference_addresses),
        ]

    def _zone(self, number: int) -> str:
        zones = self.deployment.zones
        return zones[number % len(zones)]

    def _log_options(self) -> list[str]:
        return ["--log-level", self.log_level, "--log-form", "json" if self.json_logs else "auto"]
