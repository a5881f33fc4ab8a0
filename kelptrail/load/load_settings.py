"""Settings of one load.  Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Load:
    """Rate, start, duration and client behaviour of one load.

    `kelptrail/load/arrivals.py` describes the shapes of arrivals and their settings.  `key` in a field's metadata is
    its name in `(set load.KEY VALUE)` of an experiment, where that differs from the field's name.
    """

    rate: float  # mean number of calls per second
    at: float
    duration: float = field(metadata={"key": "last"})
    deferred: float  # share of calls that are deferred (non-blocking)
    zipf: float  # exponent of the Zipf distribution of actions
    retries: int
    retry_after_share: float = field(metadata={"key": "heed"})  # share of clients that wait all of a retry-after time
    half_retry_after_share: float = field(
        metadata={"key": "half_heed"}
    )  # share of clients that wait half of it; the others ignore it
    one_off: bool  # read from scenario files, but not used
    action: str  # empty: all actions, weighted by popularity
    grpc: float  # share of calls that are sent over gRPC
    streams: float  # share of gRPC calls that are streamed
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
    namespace: str  # empty: all namespaces, weighted by quota
