"""Thresholds and stages of overload control."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EARLY_TOLERANCE_MS = 20.0  # a client that returns so much before its time counts as on time


class OverloadStage(Enum):
    """How far a retry storm has developed."""

    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    RECOVERING = "recovering"


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Thresholds of overload control, which looks at windows of `window_ms`.

    The stage follows from the share of retries among a window's requests.
    """

    enabled: bool = True  # False: the dispatcher's own retry-after times only
    window_ms: float = 250.0
    min_samples: int = 20  # requests, connections or answers of a window, below which nothing is concluded
    high_share: float = 0.35
    surge_factor: float = 1.3  # times the usual requests, from which rejections count as a sign
    low_share: float = 0.15
    min_stage_windows: int = 4  # that a stage lasts before it may end
    max_retry_after_ms: float = 12_000.0
    min_retry_share: float = 0.1  # of what is completed: at least so much is left for retries
    connection_surge_factor: float = 4.0  # times the usual connections, from which they raise an alarm
    cold_share: float = 0.3  # of the workers, from which attempts without an instance raise an alarm
    over_quota_factor: float = 1.25  # times its share of the requests, from which a tenant is over its quota
    degraded_share: float = 0.1  # of others' requests rejected or late, from which tenants over quota are held back
    max_clients: int = 200_000  # rejected clients that are remembered
    forget_after_ms: float = 30_000.0  # past its retry-after time, a client that has not returned is forgotten
