"""A load as an S-expression: how many come, when, and how they behave.  Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from kelptrail.settings.reader import SourcePosition
from kelptrail.settings.shape import Checker, Shape, Value, number, word

from .arrivals import SHAPES, read_trace


@dataclass(frozen=True, slots=True)
class Load:
    """Calls at a rate, from a time, for a time; `action` empty: all actions by popularity.  The shapes of arrivals are
    those of `kelptrail/load/arrivals.py`; `namespace` empty: all
    by their allowed rates; `heed` is the share of clients that heed advice, `half_heed` of those that
    wait half of what they are told; the rest comes at once."""

    rate: float
    at: float
    last: float
    deferred: float
    zipf: float
    retries: int
    heed: float
    half_heed: float
    one_off: bool
    action: str
    grpc: float
    streams: float
    shape: str
    period: float
    swing: float
    burst: float
    quiet: float
    factor: float
    tail: float
    file: str
    clients: int
    think: float
    namespace: str

    def __init__(self, rate: float, at: float, **rest: object) -> None:
        for name, value in {"rate": rate, "at": at, "last": rest.pop("for"), **rest}.items():
            object.__setattr__(self, name, value)


class Script(Protocol):
    """What a script says of its load.  Times in seconds."""

    @property
    def seconds(self) -> float:
        """How long it goes on."""

    @property
    def ends(self) -> float:
        """When its last trouble is over."""

    @property
    def load(self) -> list[Load]:
        """Who comes."""


LOAD = Shape(
    {
        "rate": number(0.01, 100_000),
        "at": number(0, 86_400, default=0.0),
        "for": number(0.01, 86_400, default=86_400.0),
        "deferred": number(0, 1, default=0.2),
        "zipf": number(0, 4, default=1.1),
        "retries": number(0, 10, whole=True, default=1),
        "heed": number(0, 1, default=1.0),
        "half-heed": number(0, 1, default=0.0),
        "one-off": word(("yes", "no"), "no"),
        "grpc": number(0, 1, default=0.0),
        "streams": number(0, 1, default=0.0),
        "action": word(default=""),
        "shape": word(SHAPES, "poisson"),
        "period": number(0.1, 1e6, default=60.0),
        "swing": number(0, 1, default=0.8),
        "burst": number(0.01, 86_400, default=2.0),
        "quiet": number(0.01, 86_400, default=8.0),
        "factor": number(1, 1000, default=5.0),
        "tail": number(1.05, 100, default=1.5),
        "file": word(default=""),
        "clients": number(1, 1_000_000, whole=True, default=100),
        "think": number(0.001, 86_400, default=1.0),
        "namespace": word(default=""),
    },
    build=lambda **f: Load(**(f | {"one_off": f["one_off"] == "yes"})),
)


def check_load(checker: Checker, place: SourcePosition, load: Load, folder: Path) -> None:
    """What goes beyond single fields; a recording's path is taken from the script's `folder`."""
    if load.heed + load.half_heed > 1 + 1e-9:
        checker.fault(place, f"{load.heed:g} and {load.half_heed:g}", "shares heed and half-heed of 1 at most")
    if load.shape == "trace":
        try:
            read_trace(folder / load.file)
        except (ValueError, OSError) as cause:
            checker.fault(place, load.file or "no file", f"a recording: {cause}")
        object.__setattr__(load, "file", str(folder / load.file))


def steady(rate: float, seconds: float, zipf: float) -> Load:
    """A plain load with everything else by default."""
    rest = {key.replace("-", "_"): field.default for key, field in LOAD.fields.items() if isinstance(field, Value)}
    made: Load = LOAD.build(**(rest | {"rate": rate, "at": 0.0, "for": seconds, "zipf": zipf}))
    return made
