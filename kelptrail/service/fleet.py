"""The fleet member in a process: the channel to its peers, leases on fleet-wide tasks, and journal replication."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from kelptrail.lease.driver import LeaseDriver
from kelptrail.lease.messages import LeaseSettings
from kelptrail.membership.members import EndpointList
from kelptrail.peers.connection import PeerSettings
from kelptrail.peers.driver import Peers
from kelptrail.replication.driver import ReplicationDriver, ReplicationOptions
from kelptrail.replication.messages import ReplicationSettings
from kelptrail.replication.replica_placement import Member
from kelptrail.replication.replica_store import ReplicaStore, open_replica_store
from kelptrail.settings.deployment import Deployment, LeasesConfig, PeersConfig
from kelptrail.store.database import JournalError

from .errors import StateFolderError


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of one fleet member.

    `listen`: host and port of its peer channel, or None if it only connects to others; `peer_addresses`: addresses by
    name, which take precedence over those in the settings and in the endpoint list; `vfs`: name of the SQLite VFS, or
    None for the default one.
    """

    name: str
    run_id: str
    listen: str | None = None
    peer_addresses: dict[str, str] = field(default_factory=dict)
    state_folder: Path | None = None
    vfs: str | None = None
    zone: str = ""


def peer_settings(config: PeersConfig) -> PeerSettings:
    """Return the settings of the peer channel."""
    return PeerSettings(
        config.heartbeat_ms,
        config.silence_timeout_ms,
        config.connect_timeout_ms,
        int(config.max_buffer_kb * 1024),
        config.max_messages_per_s,
        int(config.max_buffer_kb * 1024),
    )


def lease_settings(config: LeasesConfig) -> LeaseSettings:
    """Return the settings of lease acceptors and clients."""
    return LeaseSettings(
        config.acceptors,
        config.config_number,
        config.previous_acceptors,
        config.clock_rate_bound,
        config.max_lease_ms,
        config.request_timeout_ms,
        config.retry_pause_ms,
        config.queue_spacing_ms,
        config.transfer_reservation_ms,
        config.round_floor,
    )


def replication_settings(config: PeersConfig) -> ReplicationSettings:
    """Return the settings of journal replication."""
    return ReplicationSettings(
        config.replicas,
        config.under_replication_policy == "promise",
        replica_timeout_ms=config.replica_timeout_ms,
        retry_ms=min(300.0, config.replica_timeout_ms / 4),  # at least four retries within the timeout
        reconnect_pause_ms=2 * config.replica_timeout_ms,
        window_bytes=int(config.max_buffer_kb * 1024) // 4,
        repair_bytes_per_ms=config.repair_kb_per_s * 1.024,  # 1024 bytes per KB, 1000 ms per s
        max_entry_bytes=int(config.max_replicated_kb * 1024),
    )


class Fleet:
    """The fleet member in a process.  Raises `StateFolderError` if a lease acceptor has no state folder."""

    def __init__(self, deployment: Deployment, options: FleetOptions, log: Any) -> None:
        config, leases = deployment.peers, deployment.leases
        assert config is not None
        self._options, self._listed_addresses = options, dict[str, str]()
        self._configured_addresses = {peer.name: peer.at for peer in config.peer if peer.at}
        self.lease_length_ms = leases.length_ms if leases is not None else 0.0
        self.peers = Peers(options.name, deployment.name, peer_settings(config), self.address_of, log)
        self.leases: LeaseDriver | None = None
        self.replication: ReplicationDriver | None = None
        self._zones = {peer.name: peer.zone for peer in config.peer}
        if leases is None:
            return
        self.leases = LeaseDriver(options.name, options.run_id, lease_settings(leases), self.peers, log)
        if options.name in (*leases.acceptors, *leases.previous_acceptors):
            if options.state_folder is None:
                raise StateFolderError(
                    f"{options.name} is a lease acceptor (voters) and needs --state to store its promises"
                )
            self.leases.start_acceptor(options.state_folder / "leases.sqlite", options.vfs)

    def enable_replication(self, config: PeersConfig, log: Any) -> None:
        """Enable journal replication.

        The state folder holds this dispatcher's own journals and, if `replica_storage` is "disk", the replicas of other
        dispatchers' journals, which are held in memory otherwise.  If the file there is unusable, this dispatcher
        stores no replicas and accepts no deferred calls.  Raises `StateFolderError` if there is no state folder.
        """
        options, state = self._options, self._options.state_folder
        if state is None or self.leases is None:
            raise StateFolderError(f"{options.name} stores journal replicas (copies) and needs --state")
        try:
            own, set_aside = open_replica_store(state / "copies.sqlite", options.vfs)
            others = own if config.replica_storage == "disk" else ReplicaStore(None)
        except JournalError as cause:
            log.error("replica-store-unusable", reason=str(cause))
            return
        if set_aside is not None:
            log.error("replica-store-set-aside", file=str(set_aside))
        self.replication = ReplicationDriver(
            ReplicationOptions(
                options.name, replication_settings(config), config.primary_timeout_ms, self.lease_length_ms
            ),
            self.peers,
            self.leases,
            own,
            others,
            self.members,
            log,
        )

    def members(self) -> list[Member]:
        """Return the known dispatchers and this one, with their zones."""
        return [
            Member(name, self._zones.get(name, "")) for name in sorted({*self.dispatcher_names(), self._options.name})
        ]

    def address_of(self, name: str) -> str:
        """Return a peer's address, or an empty string if it is unknown."""
        for addresses in (self._options.peer_addresses, self._configured_addresses, self._listed_addresses):
            if addresses.get(name):
                return addresses[name]
        return ""

    def dispatcher_names(self) -> set[str]:
        """Return the names of all known dispatchers."""
        return {
            *self._listed_addresses,
            *self._configured_addresses,
            *self._options.peer_addresses,
            *(self.leases.settings.acceptors if self.leases else ()),
        }

    def on_endpoints(self, listing: EndpointList) -> None:
        """Update addresses and zones of the dispatchers from a new endpoint list."""
        self._listed_addresses = {peer.name: peer.channel for peer in listing.dispatchers if peer.channel}
        self._zones |= {peer.name: peer.zone for peer in listing.dispatchers if peer.zone}

    def start(self) -> None:
        """Start the channel, leases and replication.  Raises `OSError` if the channel's address cannot be bound."""
        if self._options.listen is not None:
            host, _, port = self._options.listen.rpartition(":")
            self.peers.listen(host.strip("[]"), int(port))
        self.peers.start()
        if self.leases is not None:
            self.leases.start()
        if self.replication is not None:
            self.replication.start()

    async def stop(self) -> None:
        """Release the leases and close the connections."""
        if self.leases is not None:
            await self.leases.stop()
        await self.peers.stop()

    def status(self) -> dict[str, Callable[[], Any]]:
        """Return the status functions of the control port, by section."""
        sections: dict[str, Callable[[], Any]] = {"peers": self.peers.status}
        if self.leases is not None:
            sections["leases"] = self.leases.status
        if self.replication is not None:
            sections["copies"] = self.replication.status
        return sections
