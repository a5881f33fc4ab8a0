"""A plan: which copies of which function should stand on which workers, for a while; free of I/O.

On the wire a plan is MessagePack under Zstandard, whole or as a delta from the one before.  Its digest is over what it
says, so that a truncated, altered or wrongly pieced plan is never taken for it.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Any

import msgspec
import zstandard

FORMAT = 1
MOST_BYTES = 1 << 26  # unpacked
InstanceCounts = dict[str, dict[str, int]]  # model: worker: copies
PlanOrder = tuple[int, str, int]  # epoch, owner, number
BEFORE_ALL_PLANS: PlanOrder = (0, "", 0)  # before all plans


class PlanError(ValueError):
    """Not a plan of ours."""


class PlanHeader(msgspec.Struct, frozen=True, array_like=True):
    """What a plan is.  `epoch` grows with each planner that takes over, `number` within it; `owner` is the planner: of
    two that took one epoch at the same moment the later name goes first.  `valid_ms` counts from when it was made;
    `roster` is the list that it was made from."""

    lineage: str
    epoch: int
    owner: str
    number: int
    valid_ms: float
    endpoints_version: tuple[str, int]
    digest: bytes = b""

    @property
    def order(self) -> PlanOrder:
        """Later plans have a greater one."""
        return self.epoch, self.owner, self.number


class Plan(msgspec.Struct, frozen=True):
    """A complete plan."""

    header: PlanHeader = msgspec.field(name="head")
    instances: InstanceCounts = msgspec.field(name="wants")


class PlanPacket(msgspec.Struct, frozen=True, array_like=True):
    """A plan under way.  `base`: the number, in the same epoch, of the plan that a delta starts from; 0: whole.  In a
    delta a worker with no copies is dropped.  `age_ms`: how long ago it was made."""

    format: int
    header: PlanHeader
    base_number: int
    age_ms: float
    instances: InstanceCounts


def digest_of(head: PlanHeader, wants: InstanceCounts) -> bytes:
    """16 bytes over all that a plan says, whatever the order of its parts."""
    said: list[Any] = [head.lineage, head.epoch, head.owner, head.number, head.valid_ms, list(head.endpoints_version)]
    said += [[model, sorted(at.items())] for model, at in sorted(wants.items()) if at]
    return blake2b(msgspec.msgpack.encode(said), digest_size=16).digest()


def make_plan(lineage: str, order: PlanOrder, valid_ms: float, roster: tuple[str, int], wants: InstanceCounts) -> Plan:
    """A plan with its digest."""
    head = PlanHeader(lineage, *order, valid_ms, roster)
    wants = {model: dict(at) for model, at in wants.items() if at}
    return Plan(msgspec.structs.replace(head, digest=digest_of(head, wants)), wants)


def difference(before: InstanceCounts, after: InstanceCounts) -> InstanceCounts:
    """What turns one into the other; 0 copies drop a worker."""
    out: InstanceCounts = {}
    for model in before.keys() | after.keys():
        old, new = before.get(model, {}), after.get(model, {})
        if moved := {w: new.get(w, 0) for w in old.keys() | new.keys() if old.get(w, 0) != new.get(w, 0)}:
            out[model] = moved
    return out


def apply_difference(before: InstanceCounts, by: InstanceCounts) -> InstanceCounts:
    """The wants after changes."""
    out = {model: dict(at) for model, at in before.items()}
    for model, moved in by.items():
        at = out.setdefault(model, {})
        at |= moved
        out[model] = {w: n for w, n in at.items() if n}
    return {model: at for model, at in out.items() if at}


def encode_plan(plan: Plan, age_ms: float, before: Plan | None = None) -> bytes:
    """Bytes of a plan; as a delta where the one before is of the same epoch."""
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
        if size < 0 or size > MOST_BYTES:
            raise PlanError(f"a plan of {size} bytes")
        packet = _decode(zstandard.ZstdDecompressor().decompress(data, MOST_BYTES))
    except (zstandard.ZstdError, msgspec.MsgspecError) as cause:
        raise PlanError(f"not a plan: {cause}") from None
    if packet.format != FORMAT:
        raise PlanError(f"format {packet.format}, not {FORMAT}")
    if any(n < 0 or n > 64 for at in packet.instances.values() for n in at.values()):
        raise PlanError("copies from 0 to 64")
    return packet
