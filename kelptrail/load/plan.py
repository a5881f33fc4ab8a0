"""Reader of loads written as S-expressions.  Times are in seconds."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Protocol

from kelptrail.settings.reader import SourcePosition
from kelptrail.settings.shape import Checker, Shape, Value, number, word

from .arrivals import SHAPES, read_trace
from .load_settings import Load as Load


class Script(Protocol):
    """The part of a scenario that load generation needs.  Times are in seconds."""

    @property
    def seconds(self) -> float:
        """Duration of the scenario."""

    @property
    def last_fault_ends(self) -> float:
        """End of the scenario's last fault."""

    @property
    def load(self) -> list[Load]:
        """Loads that run concurrently."""


# Names of fields of `Load` by their keys in scenario files, with "_" for "-", where the two differ.
FIELD_OF_KEY = {"for": "duration", "heed": "retry_after_share", "half_heed": "half_retry_after_share"}


def _build_load(**settings: Any) -> Load:
    fields = {FIELD_OF_KEY.get(key, key): value for key, value in settings.items()}
    return Load(**(fields | {"one_off": fields["one_off"] == "yes"}))


LOAD = Shape(
    {
        "rate": number(0.01, 100_000),
        "at": number(0, 86_400, default=0.0),
        "for": number(0.01, 86_400, default=86_400.0),
        "deferred": number(0, 1, default=0.2),
        "zipf": number(0, 4, default=1.1),
        "retries": number(0, 10, integer=True, default=1),
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
        "clients": number(1, 1_000_000, integer=True, default=100),
        "think": number(0.001, 86_400, default=1.0),
        "namespace": word(default=""),
    },
    build=_build_load,
)


def check_load(checker: Checker, position: SourcePosition, load: Load, folder: Path) -> None:
    """Check the constraints between fields, and resolve the path of a trace file relative to the script's `folder`."""
    if load.retry_after_share + load.half_retry_after_share > 1 + 1e-9:
        checker.fault(
            position,
            f"{load.retry_after_share:g} and {load.half_retry_after_share:g}",
            "shares heed and half-heed that add up to 1 at most",
        )
    if load.shape == "trace":
        try:
            read_trace(folder / load.file)
        except (ValueError, OSError) as cause:
            checker.fault(position, load.file or "no file", f"a readable trace file: {cause}")
        object.__setattr__(load, "file", str(folder / load.file))


def steady_load(rate: float, seconds: float, zipf: float) -> Load:
    """Return a load at a constant rate, with defaults for all other settings."""
    defaults = {key.replace("-", "_"): field.default for key, field in LOAD.fields.items() if isinstance(field, Value)}
    load: Load = LOAD.build(**(defaults | {"rate": rate, "at": 0.0, "for": seconds, "zipf": zipf}))
    return load
