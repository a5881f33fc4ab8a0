"""A plan: how many instances of which function should be loaded on which workers, for a limited time; free of I/O.

On the wire a plan is MessagePack under Zstandard, complete or as a difference from the one before.  Its digest covers
its content, so that a truncated, altered or wrongly combined plan is never accepted.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec
import zstandard

FORMAT = 1
MAX_UNPACKED_BYTES = 1 << 26
DIGEST_BYTES = 16
MAX_INSTANCES = 64  # of one function on one worker
InstanceCounts = dict[str, dict[str, int]]  # by model and worker; on disk and on the wire called wants
PlanOrder = tuple[int, str, int]  # epoch, owner, number
BEFORE_ALL_PLANS: PlanOrder = (0, "", 0)  # before all plans


class EndpointsVersion(NamedTuple):
    """Version of an endpoint list: the run of its source, and a number that grows within one run."""

    lineage: str
    number: int


class PlanError(ValueError):
    """The bytes are not a plan of this format."""


class PlanHeader(msgspec.Struct, frozen=True, array_like=True):
    """What identifies a plan.  `epoch` and `owner` are the fencing token of the lease it was made under, `number` grows
    within them.  `valid_ms` counts from when it was made; `endpoints_version` is the lineage and the version of the
    endpoint list that it was made from.
    """

    lineage: str
    epoch: int
    owner: str
    number: int
    valid_ms: float
    endpoints_version: EndpointsVersion
    digest: bytes = b""

    @property
    def order(self) -> PlanOrder:
        """Epoch, owner and number: later plans have a greater one."""
        return self.epoch, self.owner, self.number


class Plan(msgspec.Struct, frozen=True):
    """A complete plan."""

    header: PlanHeader = msgspec.field(name="head")
    instances: InstanceCounts = msgspec.field(name="wants")


class PlanPacket(msgspec.Struct, frozen=True, array_like=True):
    """A plan on the wire.  `base_number`: the number, in the same epoch, of the plan that a difference starts from; 0:
    the plan is complete.  In a difference, 0 instances remove a worker.  `age_ms`: how long ago it was made.
    """

    format: int
    header: PlanHeader
    base_number: int
    age_ms: float
    instances: InstanceCounts


def digest_of(header: PlanHeader, instances: InstanceCounts) -> bytes:
    """`DIGEST_BYTES` bytes over the content of a plan, whatever the order of its parts."""
    content: list[Any] = [
        header.lineage,
        header.epoch,
        header.owner,
        header.number,
        header.valid_ms,
        list(header.endpoints_version),
    ]
    content += [[model, sorted(at.items())] for model, at in sorted(instances.items()) if at]
    return blake2b(msgspec.msgpack.encode(content), digest_size=DIGEST_BYTES).digest()


def make_plan(
    lineage: str, order: PlanOrder, valid_ms: float, endpoints_version: EndpointsVersion, instances: InstanceCounts
) -> Plan:
    """A plan with its digest."""
    header = PlanHeader(lineage, *order, valid_ms, endpoints_version)
    instances = {model: dict(at) for model, at in instances.items() if at}
    return Plan(msgspec.structs.replace(header, digest=digest_of(header, instances)), instances)


def difference(before: InstanceCounts, after: InstanceCounts) -> InstanceCounts:
    """What turns one into the other; 0 instances remove a worker."""
    out: InstanceCounts = {}
    for model in before.keys() | after.keys():
        old, new = before.get(model, {}), after.get(model, {})
        if changed := {w: new.get(w, 0) for w in old.keys() | new.keys() if old.get(w, 0) != new.get(w, 0)}:
            out[model] = changed
    return out


def apply_difference(before: InstanceCounts, difference: InstanceCounts) -> InstanceCounts:
    """The instances after a difference has been applied."""
    out = {model: dict(at) for model, at in before.items()}
    for model, changed in difference.items():
        at = out.setdefault(model, {})
        at |= changed
        out[model] = {w: n for w, n in at.items() if n}
    return {model: at for model, at in out.items() if at}


def encode_plan(plan: Plan, age_ms: float, before: Plan | None = None) -> bytes:
    """A plan as bytes; as a difference where the one before has the same token and lineage."""
    if (
        before is not None
        and before.header.order[:2] == plan.header.order[:2]
        and before.header.lineage == plan.header.lineage
    ):
        packet = PlanPacket(
            FORMAT, plan.header, before.header.number, age_ms, difference(before.instances, plan.instances)
        )
    else:
        packet = PlanPacket(FORMAT, plan.header, 0, age_ms, plan.instances)
    return zstandard.ZstdCompressor(level=3).compress(msgspec.msgpack.encode(packet))


_decode = msgspec.msgpack.Decoder(PlanPacket).decode


def decode_plan(data: bytes) -> PlanPacket:
    """Raises `PlanError` for what is cut, altered, too large, or of another format."""
    try:
        size = zstandard.frame_content_size(data)
        if size < 0 or size > MAX_UNPACKED_BYTES:
            raise PlanError(f"a plan of {size} bytes")
        packet = _decode(zstandard.ZstdDecompressor().decompress(data, MAX_UNPACKED_BYTES))
    except (zstandard.ZstdError, msgspec.MsgspecError) as cause:
        raise PlanError(f"not a plan: {cause}") from None
    if packet.format != FORMAT:
        raise PlanError(f"format {packet.format}, not {FORMAT}")
    if any(n < 0 or n > MAX_INSTANCES for at in packet.instances.values() for n in at.values()):
        raise PlanError("copies from 0 to 64")
    return packet
