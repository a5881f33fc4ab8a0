"""Conversion of Open Inference Protocol v2 tensors between protobuf (typed or raw contents) and the JSON of workers.

In JSON a tensor is `{"name", "datatype", "shape", "data"}` with a flat list.  Contents that JSON cannot represent
(bytes that are not UTF-8, numbers that are not finite) are sent in raw form as base64, marked by the parameter `raw`.
The raw form is little-endian and row-major; a BYTES element is its length in 4 bytes, then its bytes.  Every error
names its tensor.
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

# For each datatype: bytes per element in raw form (0: variable), field of the typed contents, numpy type.
DATATYPES: dict[str, tuple[int, str, str]] = {
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
CONTENT_FIELDS = (
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
    """Raised for a tensor whose contents do not match its datatype or shape; the text names the tensor."""


def element_count(name: str, datatype: str, shape: Sequence[int]) -> int:
    """Return the number of elements of a tensor.  Raises `TensorError` for an unknown datatype or an invalid shape."""
    if not name:
        raise TensorError("a tensor without a name")
    if datatype not in DATATYPES:
        raise TensorError(f"tensor {name!r}: datatype {datatype!r} is none of {', '.join(DATATYPES)}")
    if len(shape) > MAX_DIMENSIONS:
        raise TensorError(f"tensor {name!r}: {len(shape)} dimensions, at most {MAX_DIMENSIONS}")
    if any(size < 0 for size in shape):
        raise TensorError(f"tensor {name!r}: shape {list(shape)} has a negative size")
    count = math.prod(shape)
    if count > MAX_ELEMENTS:
        raise TensorError(f"tensor {name!r}: {count} elements, at most {MAX_ELEMENTS}")
    return count


def _decode_raw(name: str, datatype: str, count: int, raw: bytes) -> list[Any]:
    element_bytes, _, numpy_type = DATATYPES[datatype]
    if datatype == "BYTES":
        elements_read, offset = [], 0
        while offset < len(raw):
            if offset + 4 > len(raw):
                raise TensorError(f"tensor {name!r}: raw contents end within a length")
            (length,) = struct.unpack_from("<I", raw, offset)
            if offset + 4 + length > len(raw):
                raise TensorError(f"tensor {name!r}: raw contents end within an element of {length} bytes")
            elements_read.append(raw[offset + 4 : offset + 4 + length])
            offset += 4 + length
            if len(elements_read) > count:
                break
        if len(elements_read) != count:
            raise TensorError(f"tensor {name!r}: {len(elements_read)} raw elements, its shape has {count}")
        return elements_read
    if len(raw) != count * element_bytes:
        raise TensorError(f"tensor {name!r}: {len(raw)} raw bytes, its shape takes {count * element_bytes}")
    values: list[Any] = np.frombuffer(raw, dtype=numpy_type).tolist()
    return values


def _encode_raw(datatype: str, values: Iterable[Any]) -> bytes:
    if datatype == "BYTES":
        return b"".join(struct.pack("<I", len(value)) + value for value in values)
    return np.asarray(list(values), dtype=DATATYPES[datatype][2]).tobytes()


def _check_values(name: str, datatype: str, values: list[Any]) -> list[Any]:
    """Return the values after checking each against the datatype.  Raises `TensorError` for the first invalid one."""
    if datatype == "BYTES":
        return values
    if datatype == "BOOL":
        invalid = next((v for v in values if not isinstance(v, bool)), None)
    elif datatype.startswith("FP"):
        invalid = next((v for v in values if isinstance(v, bool) or not isinstance(v, int | float)), None)
    else:
        info = np.iinfo(DATATYPES[datatype][2])
        low, high = int(info.min), int(info.max)
        invalid = next(
            (v for v in values if isinstance(v, bool) or not isinstance(v, int) or not low <= v <= high), None
        )
    if invalid is not None:
        raise TensorError(f"tensor {name!r}: {str(invalid)[:40]!r} is no {datatype}")
    return values


def to_json(tensor: Any, raw: bytes | None) -> JsonTensor:
    """Convert a protobuf tensor to the JSON form.  Raises `TensorError`.

    `raw` is the tensor's entry in the raw contents of the message, if any.
    """
    name, datatype, shape = tensor.name, tensor.datatype, list(tensor.shape)
    count = element_count(name, datatype, shape)
    _, field, _ = DATATYPES[datatype]
    if raw is not None:
        if tensor.HasField("contents"):
            raise TensorError(f"tensor {name!r}: both typed and raw contents")
        values = _decode_raw(name, datatype, count, raw)
    else:
        if not field:
            raise TensorError(f"tensor {name!r}: {datatype} has raw contents only")
        other = next((f for f in CONTENT_FIELDS if f != field and len(getattr(tensor.contents, f))), None)
        if other is not None:
            raise TensorError(f"tensor {name!r}: {other} with datatype {datatype}, which takes {field}")
        values = list(getattr(tensor.contents, field))
        if len(values) != count:
            raise TensorError(f"tensor {name!r}: {len(values)} elements in {field}, its shape has {count}")
        _check_values(name, datatype, values)
    parameters = read_parameters(tensor.parameters)
    if datatype == "BYTES":
        try:
            return JsonTensor(name, datatype, shape, [value.decode() for value in values], parameters)
        except UnicodeDecodeError:
            pass
    elif not datatype.startswith("FP") or all(map(math.isfinite, values)):
        return JsonTensor(name, datatype, shape, values, parameters)
    return JsonTensor(
        name, datatype, shape, [base64.b64encode(_encode_raw(datatype, values)).decode()], parameters | {"raw": True}
    )


def tensor_values(tensor: JsonTensor) -> list[Any]:
    """Return the elements of a worker's tensor; those of BYTES are `bytes`.  Raises `TensorError`."""
    name, datatype = tensor.name, tensor.datatype
    count = element_count(name, datatype, tensor.shape)
    if tensor.parameters.get("raw") is True:
        if len(tensor.data) != 1 or not isinstance(tensor.data[0], str):
            raise TensorError(f"tensor {name!r}: raw data is one base64 text")
        try:
            return _decode_raw(name, datatype, count, base64.b64decode(tensor.data[0], validate=True))
        except binascii.Error:
            raise TensorError(f"tensor {name!r}: raw data is no base64") from None
    flat = _flatten(tensor.data)
    if len(flat) != count:
        raise TensorError(f"tensor {name!r}: {len(flat)} elements, its shape has {count}")
    if datatype != "BYTES":
        return _check_values(name, datatype, flat)
    if any(not isinstance(value, str) for value in flat):
        raise TensorError(f"tensor {name!r}: a BYTES element that is no text")
    return [value.encode() for value in flat]


def _flatten(data: list[Any]) -> list[Any]:
    """Flatten nested lists, which the protocol allows.

    Lists nested deeper than MAX_DIMENSIONS are left as they are; the caller's checks reject them.
    """
    for _ in range(MAX_DIMENSIONS):
        if not any(isinstance(item, list) for item in data):
            return data
        data = [value for item in data for value in (item if isinstance(item, list) else [item])]
    return data


def write_tensor(out: Any, tensor: JsonTensor, raw: bool) -> bytes | None:
    """Write a worker's tensor into the protobuf tensor `out`.  Raises `TensorError`.

    Return its raw contents if `raw` is true or its datatype has no typed contents, else None.
    """
    values = tensor_values(tensor)
    out.name, out.datatype = tensor.name, tensor.datatype
    out.shape.extend(tensor.shape)
    field = DATATYPES[tensor.datatype][1]
    write_parameters(out.parameters, {k: v for k, v in tensor.parameters.items() if k != "raw"})
    if raw or not field:
        return _encode_raw(tensor.datatype, values)
    getattr(out.contents, field).extend(values)
    return None


def read_parameters(parameters: Any) -> dict[str, Scalar]:
    """Convert a protobuf map of parameters to plain values; a parameter without a value is skipped."""
    values: dict[str, Scalar] = {}
    for name, value in parameters.items():
        value_field = value.WhichOneof("parameter_choice")
        if value_field is not None:
            values[name] = getattr(value, value_field)
    return values


def write_parameters(parameters: Any, values: dict[str, Scalar]) -> None:
    """Write plain values into a protobuf map of parameters.

    An integer that does not fit into 64 signed bits is written unsigned, modulo 2**64.
    """
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
