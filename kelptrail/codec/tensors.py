"""Tensors of the Open Inference Protocol v2 between their two forms: protobuf (typed or raw) and a worker's JSON.

In JSON a tensor is `{"name", "datatype", "shape", "data"}` with a flat list; what JSON cannot hold (bytes that are no
UTF-8, numbers that are not finite) goes as its raw form in base64, marked by the tensor's parameter `raw`.  Raw is
little-endian, row-major; a BYTES element is its length in 4 bytes and itself.  Every error names its tensor.
"""

from __future__ import annotations

import base64
import binascii
import math
import struct
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import numpy as np

# Datatype: how many bytes an element takes in raw form, the field of its typed contents, its numpy type.
KINDS: dict[str, tuple[int, str, str]] = {
    "BOOL": (1, "bool_contents", "?"),
    "UINT8": (1, "uint_contents", "<u1"),
    "UINT16": (2, "uint_contents", "<u2"),
    "UINT32": (4, "uint_contents", "<u4"),
    "UINT64": (8, "uint64_contents", "<u8"),
    "INT8": (1, "int_contents", "<i1"),
    "INT16": (2, "int_contents", "<i2"),
    "INT32": (4, "int_contents", "<i4"),
    "INT64": (8, "int64_contents", "<i8"),
    "FP16": (2, "", "<f2"),
    "FP32": (4, "fp32_contents", "<f4"),
    "FP64": (8, "fp64_contents", "<f8"),
    "BYTES": (0, "bytes_contents", ""),
}
MAX_DIMENSIONS, MAX_ELEMENTS = 32, 1 << 28
FIELDS = (
    "bool_contents",
    "int_contents",
    "int64_contents",
    "uint_contents",
    "uint64_contents",
    "fp32_contents",
    "fp64_contents",
    "bytes_contents",
)

Scalar = str | int | float | bool


class JsonTensor(msgspec.Struct, omit_defaults=True):
    """A tensor in the JSON form that workers use."""

    name: str
    datatype: str
    shape: list[int]
    data: list[Any]
    parameters: dict[str, Scalar] = {}


class TensorError(ValueError):
    """A tensor whose contents do not match its datatype or shape; the text names the tensor."""


def elements(name: str, datatype: str, shape: Sequence[int]) -> int:
    """How many elements a tensor has.  Raises `TensorError` for an unknown datatype or a shape out of bounds."""
    if not name:
        raise TensorError("a tensor without a name")
    if datatype not in KINDS:
        raise TensorError(f"tensor {name!r}: datatype {datatype!r} is none of {', '.join(KINDS)}")
    if len(shape) > MAX_DIMENSIONS:
        raise TensorError(f"tensor {name!r}: {len(shape)} dimensions, at most {MAX_DIMENSIONS}")
    if any(size < 0 for size in shape):
        raise TensorError(f"tensor {name!r}: shape {list(shape)} has a negative size")
    count = math.prod(shape)
    if count > MAX_ELEMENTS:
        raise TensorError(f"tensor {name!r}: {count} elements, at most {MAX_ELEMENTS}")
    return count


def _of_raw(name: str, datatype: str, count: int, raw: bytes) -> list[Any]:
    size, _, kind = KINDS[datatype]
    if datatype == "BYTES":
        out, at = [], 0
        while at < len(raw):
            if at + 4 > len(raw):
                raise TensorError(f"tensor {name!r}: raw contents end within a length")
            (length,) = struct.unpack_from("<I", raw, at)
            if at + 4 + length > len(raw):
                raise TensorError(f"tensor {name!r}: raw contents end within an element of {length} bytes")
            out.append(raw[at + 4 : at + 4 + length])
            at += 4 + length
            if len(out) > count:
                break
        if len(out) != count:
            raise TensorError(f"tensor {name!r}: {len(out)} raw elements, its shape has {count}")
        return out
    if len(raw) != count * size:
        raise TensorError(f"tensor {name!r}: {len(raw)} raw bytes, its shape takes {count * size}")
    values: list[Any] = np.frombuffer(raw, dtype=kind).tolist()
    return values


def _to_raw(datatype: str, values: Iterable[Any]) -> bytes:
    if datatype == "BYTES":
        return b"".join(struct.pack("<I", len(value)) + value for value in values)
    return np.asarray(list(values), dtype=KINDS[datatype][2]).tobytes()


def _checked(name: str, datatype: str, values: list[Any]) -> list[Any]:
    """The values, each checked against the datatype.  Raises `TensorError` with the first that does not fit."""
    if datatype == "BYTES":
        return values
    if datatype == "BOOL":
        wrong = next((v for v in values if not isinstance(v, bool)), None)
    elif datatype.startswith("FP"):
        wrong = next((v for v in values if isinstance(v, bool) or not isinstance(v, int | float)), None)
    else:
        info = np.iinfo(KINDS[datatype][2])
        low, high = int(info.min), int(info.max)
        wrong = next((v for v in values if isinstance(v, bool) or not isinstance(v, int) or not low <= v <= high), None)
    if wrong is not None:
        raise TensorError(f"tensor {name!r}: {str(wrong)[:40]!r} is no {datatype}")
    return values


def to_json(tensor: Any, raw: bytes | None) -> JsonTensor:
    """A protobuf tensor in the JSON form; `raw` is its entry in the message's raw contents, if any.  Raises
    `TensorError`.
    """
    name, datatype, shape = tensor.name, tensor.datatype, list(tensor.shape)
    count = elements(name, datatype, shape)
    _, field, _ = KINDS[datatype]
    if raw is not None:
        if tensor.HasField("contents"):
            raise TensorError(f"tensor {name!r}: both typed and raw contents")
        values = _of_raw(name, datatype, count, raw)
    else:
        if not field:
            raise TensorError(f"tensor {name!r}: {datatype} has raw contents only")
        other = next((f for f in FIELDS if f != field and len(getattr(tensor.contents, f))), None)
        if other is not None:
            raise TensorError(f"tensor {name!r}: {other} with datatype {datatype}, which takes {field}")
        values = list(getattr(tensor.contents, field))
        if len(values) != count:
            raise TensorError(f"tensor {name!r}: {len(values)} elements in {field}, its shape has {count}")
        _checked(name, datatype, values)
    given = scalars(tensor.parameters)
    if datatype == "BYTES":
        try:
            return JsonTensor(name, datatype, shape, [value.decode() for value in values], given)
        except UnicodeDecodeError:
            pass
    elif not datatype.startswith("FP") or all(map(math.isfinite, values)):
        return JsonTensor(name, datatype, shape, values, given)
    return JsonTensor(
        name, datatype, shape, [base64.b64encode(_to_raw(datatype, values)).decode()], given | {"raw": True}
    )


def values_of(tensor: JsonTensor) -> list[Any]:
    """The elements of a worker's tensor, BYTES as bytes.  Raises `TensorError`."""
    name, datatype = tensor.name, tensor.datatype
    count = elements(name, datatype, tensor.shape)
    if tensor.parameters.get("raw") is True:
        if len(tensor.data) != 1 or not isinstance(tensor.data[0], str):
            raise TensorError(f"tensor {name!r}: raw data is one base64 text")
        try:
            return _of_raw(name, datatype, count, base64.b64decode(tensor.data[0], validate=True))
        except binascii.Error:
            raise TensorError(f"tensor {name!r}: raw data is no base64") from None
    flat = _flat(tensor.data)
    if len(flat) != count:
        raise TensorError(f"tensor {name!r}: {len(flat)} elements, its shape has {count}")
    if datatype != "BYTES":
        return _checked(name, datatype, flat)
    if any(not isinstance(value, str) for value in flat):
        raise TensorError(f"tensor {name!r}: a BYTES element that is no text")
    return [value.encode() for value in flat]


def _flat(data: list[Any]) -> list[Any]:
    """The elements of nested lists, which the protocol allows; too deep a nesting fails the check of the count."""
    for _ in range(MAX_DIMENSIONS):
        if not any(isinstance(item, list) for item in data):
            return data
        data = [value for item in data for value in (item if isinstance(item, list) else [item])]
    return data


def fill(out: Any, tensor: JsonTensor, raw: bool) -> bytes | None:
    """Write a worker's tensor into a protobuf one.  Returns its raw contents where `raw` is true or its datatype has no
    typed contents.  Raises `TensorError`.
    """
    values = values_of(tensor)
    out.name, out.datatype = tensor.name, tensor.datatype
    out.shape.extend(tensor.shape)
    field = KINDS[tensor.datatype][1]
    write_scalars(out.parameters, {k: v for k, v in tensor.parameters.items() if k != "raw"})
    if raw or not field:
        return _to_raw(tensor.datatype, values)
    getattr(out.contents, field).extend(values)
    return None


def scalars(parameters: Any) -> dict[str, Scalar]:
    """A protobuf map of parameters as plain values; a parameter without a value is skipped."""
    out: dict[str, Scalar] = {}
    for name, value in parameters.items():
        which = value.WhichOneof("parameter_choice")
        if which is not None:
            out[name] = getattr(value, which)
    return out


def write_scalars(parameters: Any, values: dict[str, Scalar]) -> None:
    """Write plain values into a protobuf map of parameters."""
    for name, value in values.items():
        if isinstance(value, bool):
            parameters[name].bool_param = value
        elif isinstance(value, int):
            if -(1 << 63) <= value < 1 << 63:
                parameters[name].int64_param = value
            else:
                parameters[name].uint64_param = value & ((1 << 64) - 1)
        elif isinstance(value, float):
            parameters[name].double_param = value
        else:
            parameters[name].string_param = value
