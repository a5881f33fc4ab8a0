"""The settings of a deployment, read from one file and checked.

The classes of the sections are defined in the other modules of this package and exported from here, too.
Times are in milliseconds, sizes in `_mb` are in megabytes.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from .cooperation import (
    JOURNAL,
    LEASES,
    PEERS,
    PLANNER,
    JournalSettings,
    LeasesConfig,
    PeerConfig,
    PeersConfig,
    PlannerConfig,
)
from .cross_checks import check_across_sections
from .dispatching import DISPATCHER, POOL, RULES, STORM, DispatcherSettings, OverloadConfig, PoolSettings, RuleSettings
from .emulated import FLEET, STORE, FleetSettings, StoreSettings
from .fronts import FRONT, INFERENCE, SIDES, TLS, FrontSettings, InferenceSettings, TlsSettings
from .reader import Form, SourcePosition, read
from .request_classes import (
    ACTION,
    NAMESPACE,
    TYPE,
    ActionSettings,
    CertificateName,
    KeyHash,
    NamespaceSettings,
    TypeSettings,
)
from .shape import Checker, Group, Repeated, Shape, list_of, word
from .vrrp import TRACKED, VRRP, InstanceSettings, KeySettings, MemberSettings, RouterConfig, TrackConfig, VrrpSettings

__all__ = [
    "LEASES",
    "SIDES",
    "TRACKED",
    "ActionSettings",
    "CertificateName",
    "Deployment",
    "DispatcherSettings",
    "FleetSettings",
    "FrontSettings",
    "InferenceSettings",
    "InstanceSettings",
    "JournalSettings",
    "KeyHash",
    "KeySettings",
    "LeasesConfig",
    "MemberSettings",
    "NamespaceSettings",
    "OverloadConfig",
    "PeerConfig",
    "PeersConfig",
    "PlannerConfig",
    "PoolSettings",
    "RouterConfig",
    "RuleSettings",
    "StoreSettings",
    "TlsSettings",
    "TrackConfig",
    "TypeSettings",
    "VrrpSettings",
    "load",
    "parse",
]

DEFAULT_JOURNAL = JournalSettings(True, 1024.0, 64, 100_000)
DEFAULT_OVERLOAD = OverloadConfig(True, 12_000.0, 200_000)
DEFAULT_PLANNER = PlannerConfig(False, 5000.0, 60_000.0, 60_000.0, 0.05, 8)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The checked settings of a deployment."""

    name: str
    zones: tuple[str, ...]
    types: dict[str, TypeSettings]
    namespaces: dict[str, NamespaceSettings]
    actions: dict[str, ActionSettings]  # by path, in the order of the file
    rules: RuleSettings
    dispatcher: DispatcherSettings
    front: FrontSettings
    inference: InferenceSettings
    pool: PoolSettings
    fleet: FleetSettings
    store: StoreSettings
    vrrp: VrrpSettings | None = None
    journal: JournalSettings = DEFAULT_JOURNAL
    tls: dict[str, TlsSettings] = field(default_factory=dict)
    overload: OverloadConfig = field(default=DEFAULT_OVERLOAD, metadata={"key": "storm"})
    planner: PlannerConfig = DEFAULT_PLANNER
    peers: PeersConfig | None = None
    leases: LeasesConfig | None = None
    folder: Path = Path()  # folder of the settings file

    @property
    def max_deferred_bytes(self) -> int:
        """Maximum body size of a deferred request, in bytes; 0 (no limit) without replication."""
        return int(self.peers.max_replicated_kb * 1024) if self.peers is not None and self.peers.replicas else 0


DEPLOYMENT = Shape(
    {
        "halls": list_of(word(), ("hall",)),
        "type": Repeated(TYPE, 1),
        "namespace": Repeated(NAMESPACE, 1),
        "action": Repeated(ACTION, 1),
        "rules": Group(RULES),
        "dispatcher": Group(DISPATCHER),
        "front": Group(FRONT),
        "inference": Group(INFERENCE),
        "pool": Group(POOL),
        "fleet": Group(FLEET),
        "store": Group(STORE),
        "tls": Repeated(TLS),
        "storm": Group(STORM),
        "planner": Group(PLANNER),
        "vrrp": Group(VRRP, optional=True),
        "peers": Group(PEERS, optional=True),
        "leases": Group(LEASES, optional=True),
        "journal": Group(JOURNAL),
    },
    ("name",),
)


def load(path: str | Path) -> Deployment:
    """Read and check a deployment file.  Raises `SettingsError` with all faults, and `OSError` if it is unreadable."""
    return parse(Path(path).read_text(encoding="utf-8", errors="replace"), str(path))


def parse(text: str, file: str) -> Deployment:
    """Parse and check the text of a deployment file; see `load`."""
    checker = Checker()
    forms = read(text, file)
    start = SourcePosition(file, 1, 1)
    deployments = [f for f in forms if isinstance(f, Form) and f.head == "deployment"]
    for item in forms:
        if item not in deployments:
            checker.fault(item.position, item, "(deployment NAME ...) and nothing beside it")
    if len(deployments) != 1:
        position = deployments[1].position if deployments else start
        checker.fault(position, f"{len(deployments)} deployments", "one (deployment NAME ...)")
        checker.raise_faults()
    fields = checker.form(deployments[0], DEPLOYMENT)
    check_across_sections(checker, deployments[0])
    checker.raise_faults()
    return _deployment_of(fields, Path(file).parent)


def _deployment_of(fields: dict[str, Any], folder: Path) -> Deployment:
    """Return the deployment with the checked sections; `folder` is that of the settings file."""
    actions: dict[str, ActionSettings] = {}
    for action in fields["action"]:
        for single in _expand_count(action):
            actions[single.path] = single
    return Deployment(
        fields["name"],
        fields["halls"],
        {request_class.name: request_class for request_class in fields["type"]},
        {namespace.name: namespace for namespace in fields["namespace"]},
        actions,
        fields["rules"],
        fields["dispatcher"],
        fields["front"],
        fields["inference"],
        fields["pool"],
        fields["fleet"],
        fields["store"],
        fields["vrrp"],
        fields["journal"],
        {tls.side: tls for tls in fields["tls"]},
        fields["storm"],
        fields["planner"],
        fields["peers"],
        fields["leases"],
        folder,
    )


def _expand_count(action: ActionSettings) -> list[ActionSettings]:
    """Return the N actions of `(count N)`; an action without a model gets its own name as the model.

    If N is more than 1, each action has a model of its own: names and models end with -0 to -(N-1).
    """
    if action.count == 1:
        return [replace(action, model=action.model or action.name)]
    return [
        replace(action, name=f"{action.name}-{n}", model=f"{action.model or action.name}-{n}", count=1)
        for n in range(action.count)
    ]
