"""A plan: how many instances of which function to load on which workers, for a limited time; free of I/O.

On the wire a plan is MessagePack compressed by Zstandard, either complete or as a difference from an earlier one.  Its
digest covers its complete content, so that a plan that was truncated, altered or combined with the wrong base is never
accepted.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec
import zstandard

FORMAT = 1
MAX_UNPACKED_BYTES = 1 << 26
DIGEST_BYTES = 16
MAX_INSTANCES = 64  # maximum for one function on one worker
InstanceCounts = dict[str, dict[str, int]]  # by model and worker; stored under the name `wants`
PlanOrder = tuple[int, str, int]  # epoch, owner, number
BEFORE_ALL_PLANS: PlanOrder = (0, "", 0)  # less than the order of any plan


class EndpointsVersion(NamedTuple):
    """Version of an endpoint list: `lineage` identifies a run of its source, `number` increases within that run."""

    lineage: str
    number: int


class PlanError(ValueError):
    """Raised for bytes that are not a plan of this format."""


class PlanHeader(msgspec.Struct, frozen=True, array_like=True):
    """Identity, validity and digest of a plan.

    `lineage` is the name of the deployment; `epoch` and `owner` are the fencing token of the lease that the planner
    held; `number` increases within one token.  `valid_ms` counts from the time when the plan was made;
    `endpoints_version` is the version of the endpoint list that it was made from.
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
        """Epoch, owner and number; a later plan has a greater order."""
        return self.epoch, self.owner, self.number


class Plan(msgspec.Struct, frozen=True):
    """A complete plan."""

    header: PlanHeader = msgspec.field(name="head")
    instances: InstanceCounts = msgspec.field(name="wants")


class PlanPacket(msgspec.Struct, frozen=True, array_like=True):
    """A plan on the wire, complete or as a difference.

    `base_number`: number, under the same token, of the plan that the difference applies to; 0 for a complete plan.  In
    a difference, a count of 0 removes the function from the worker.  `age_ms`: time since the plan was made.
    """

    format: int
    header: PlanHeader
    base_number: int
    age_ms: float
    instances: InstanceCounts


def digest_of(header: PlanHeader, instances: InstanceCounts) -> bytes:
    """Return a digest of `DIGEST_BYTES` bytes over the content of a plan, independent of the order of its entries."""
    content: list[Any] = [
        header.lineage,
        header.epoch,
        header.owner,
        header.number,
        header.valid_ms,
        list(header.endpoints_version),
    ]
    content += [[model, sorted(by_worker.items())] for model, by_worker in sorted(instances.items()) if by_worker]
    return blake2b(msgspec.msgpack.encode(content), digest_size=DIGEST_BYTES).digest()


def make_plan(
    lineage: str, order: PlanOrder, valid_ms: float, endpoints_version: EndpointsVersion, instances: InstanceCounts
) -> Plan:
    """Return a plan with its digest."""
    header = PlanHeader(lineage, *order, valid_ms, endpoints_version)
    instances = {model: dict(by_worker) for model, by_worker in instances.items() if by_worker}
    return Plan(msgspec.structs.replace(header, digest=digest_of(header, instances)), instances)


def difference(before: InstanceCounts, after: InstanceCounts) -> InstanceCounts:
    """Return the changes from `before` to `after`; a count of 0 removes a function from a worker."""
    changes: InstanceCounts = {}
    for model in before.keys() | after.keys():
        old, new = before.get(model, {}), after.get(model, {})
        if changed := {w: new.get(w, 0) for w in old.keys() | new.keys() if old.get(w, 0) != new.get(w, 0)}:
            changes[model] = changed
    return changes


def apply_difference(before: InstanceCounts, difference: InstanceCounts) -> InstanceCounts:
    """Return the instances after the changes of `difference` have been applied."""
    after = {model: dict(by_worker) for model, by_worker in before.items()}
    for model, changed in difference.items():
        by_worker = after.setdefault(model, {})
        by_worker |= changed
        after[model] = {worker: count for worker, count in by_worker.items() if count}
    return {model: by_worker for model, by_worker in after.items() if by_worker}


def encode_plan(plan: Plan, age_ms: float, base: Plan | None = None) -> bytes:
    """Encode a plan, as a difference from `base` if that plan has the same token and lineage."""
    if (
        base is not None
        and base.header.order[:2] == plan.header.order[:2]
        and base.header.lineage == plan.header.lineage
    ):
        packet = PlanPacket(FORMAT, plan.header, base.header.number, age_ms, difference(base.instances, plan.instances))
    else:
        packet = PlanPacket(FORMAT, plan.header, 0, age_ms, plan.instances)
    return zstandard.ZstdCompressor(level=3).compress(msgspec.msgpack.encode(packet))


_decode = msgspec.msgpack.Decoder(PlanPacket).decode


def decode_plan(data: bytes) -> PlanPacket:
    """Decode a plan without checking its digest.

    Raises `PlanError` for data that cannot be decoded, is too large or of another format, or has a count that is not
    from 0 to `MAX_INSTANCES`.
    """
    try:
        size = zstandard.frame_content_size(data)
        if size < 0 or size > MAX_UNPACKED_BYTES:
            raise PlanError(f"a plan of {size} bytes")
        packet = _decode(zstandard.ZstdDecompressor().decompress(data, MAX_UNPACKED_BYTES))
    except (zstandard.ZstdError, msgspec.MsgspecError) as cause:
        raise PlanError(f"not a plan: {cause}") from None
    if packet.format != FORMAT:
        raise PlanError(f"format {packet.format}, not {FORMAT}")
    if any(n < 0 or n > MAX_INSTANCES for by_worker in packet.instances.values() for n in by_worker.values()):
        raise PlanError("copies from 0 to 64")
    return packet
