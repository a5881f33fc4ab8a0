"""Thresholds and stages of overload control."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

EARLY_TOLERANCE_MS = 20.0  # a client that returns at most this much before its retry-after time counts as on time


class OverloadStage(Enum):
    """The stage of a retry storm."""

    CALM = "calm"
    RISING = "rising"
    STORM = "storm"
    RECOVERING = "recovering"


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Thresholds of overload control, which counts events in windows of `window_ms`.

    The stage follows from moving averages: of the share of retries among the requests, and of the alarm.
    """

    enabled: bool = True  # if False, clients get only the dispatcher's own retry-after times
    window_ms: float = 250.0
    min_samples: int = 20  # a window with fewer requests, connections or answers gives no sign of a storm
    high_share: float = 0.35  # share of retries, or strength of the alarm, from which a storm is suspected
    surge_factor: float = 1.3  # multiple of the usual request rate above which rejections count as a sign of a storm
    low_share: float = 0.15  # share of retries at or below which a storm ends
    # Number of windows after which RISING and STORM may end; from RECOVERING to CALM it takes twice as many.
    min_stage_windows: int = 4
    max_retry_after_ms: float = 12_000.0
    min_retry_share: float = 0.1  # smallest capacity for retries, as a share of the completed requests
    connection_surge_factor: float = 4.0  # connections raise an alarm above this multiple of the usual number
    cold_share: float = 0.3  # share of cold workers from which attempts without an instance raise an alarm
    over_quota_factor: float = 1.25  # a tenant is over quota above this multiple of its quota's share of all requests
    # Tenants over quota are held back if more than this share of the requests of the others is rejected or late.
    degraded_share: float = 0.1
    max_clients: int = 200_000  # number of rejected clients that are remembered
    forget_after_ms: float = 30_000.0  # time after its retry-after time at which an absent client is forgotten
