"""Settings of VRRPv3 (RFC 9568), which moves a front address to another dispatcher when its owner fails.

Times are in milliseconds, except `interval_cs`.  The shapes below hold the defaults.  `RouterSettings` and
`TrackSettings` of `kelptrail/vrrp` are built from `RouterConfig` and `TrackConfig`.
"""

from __future__ import annotations

from dataclasses import dataclass

from .shape import Repeated, Shape, milliseconds, number, word, yes_no


@dataclass(frozen=True, slots=True)
class KeySettings:
    """A key shared by the peers.  The first key in the file signs advertisements; all keys verify them."""

    number: str  # 0 to 255
    secret: str


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """A dispatcher that runs VRRP.

    `udp`: address and port of its socket; `via`: address and port that peers send to if not `udp`, such as a proxy's.
    """

    name: str
    udp: str
    via: str

    @property
    def address_for_peers(self) -> str:
        """The address and port that peers send to."""
        return self.via or self.udp


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """The membership of an instance in a virtual router."""

    name: str
    priority: int


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """A virtual router: its front address and its members.

    `interval_cs`: advertisement interval in centiseconds; `accept`: Accept_Mode (RFC 9568 section 6.1), which is in the
    status and has no other effect; `grpc_port`: port of the inference API at the address, or 0 for none.
    """

    vrid: str
    address: str
    port: int
    interval_cs: int
    preempt: bool
    accept: bool
    member: list[MemberSettings]
    grpc_port: int = 0


@dataclass(frozen=True, slots=True)
class TrackConfig:
    """A tracked object, which lowers the priority by `weight` while it has failed.

    The fields are those of `TrackSettings` in `kelptrail/vrrp/tracking.py`.
    """

    name: str
    weight: int
    fall_ms: float
    rise_ms: float
    release: bool


@dataclass(frozen=True, slots=True)
class VrrpSettings:
    """VRRP of a deployment: instances, virtual routers, keys and tracked objects."""

    pseudo_header: bool
    key: list[KeySettings]
    instance: list[InstanceSettings]
    router: list[RouterConfig]
    track: list[TrackConfig]


VRRP = Shape(
    {
        "pseudo-header": yes_no(True),
        "key": Repeated(Shape({}, ("number", "secret"), KeySettings)),
        "instance": Repeated(Shape({"udp": word(), "via": word(default="")}, ("name",), InstanceSettings), 1),
        "router": Repeated(
            Shape(
                {
                    "address": word(),
                    "port": number(1, 65535, integer=True),
                    "interval-cs": number(1, 4095, integer=True, default=100),
                    "preempt": yes_no(True),
                    "accept": yes_no(True),
                    "grpc-port": number(0, 65535, integer=True, default=0),
                    "member": Repeated(Shape({"priority": number(1, 255, integer=True)}, ("name",), MemberSettings), 1),
                },
                ("vrid",),
                RouterConfig,
            ),
            1,
        ),
        "track": Repeated(
            Shape(
                {
                    "weight": number(0, 254, integer=True),
                    "fall-ms": milliseconds(0, 600_000, 1000.0),
                    "rise-ms": milliseconds(0, 600_000, 3000.0),
                    "release": yes_no(False),
                },
                ("name",),
                TrackConfig,
            )
        ),
    },
    build=VrrpSettings,
)
# Permitted names of tracked objects: the abilities to reach workers, accept connections and write the journal.
TRACKED = ("workers", "front", "journal")
