"""The settings of one load, as `plan` reads them and `arrivals` uses them.  Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Load:
    """Calls at a rate, from a time on, for a time.  Shapes of arrivals are those of `kelptrail/load/arrivals.py`.

    `key` in a field's metadata: its name in `(set load.KEY VALUE)` of an experiment, where that differs.
    """

    rate: float  # calls a second
    at: float
    duration: float = field(metadata={"key": "last"})
    deferred: float  # share of calls that do not block
    zipf: float  # exponent of the popularity of actions
    retries: int
    retry_after_share: float = field(metadata={"key": "heed"})  # share of clients that honour a retry-after time
    half_retry_after_share: float = field(
        metadata={"key": "half_heed"}
    )  # that wait half of it; the rest retries at once
    one_off: bool
    action: str  # empty: all actions by popularity
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
    namespace: str  # empty: all namespaces by their quotas
