"""Measurements of overload control: request rates, the share of retries, and early signs of a storm."""

from __future__ import annotations

from dataclasses import dataclass

from .overload_settings import OverloadSettings

RATE_WEIGHT = 0.1  # weight of one window in the average rates
BASELINE_WEIGHT = 0.02  # weight of one calm window in the baselines, the usual rate and number of connections
SHARE_WEIGHT = 0.5  # weight of one window in the share of retries and in the alarm


@dataclass(slots=True)
class WindowCounts:
    """Counters of one window."""

    requests: int = 0
    retries: int = 0
    completed: int = 0
    rejections: int = 0
    connections: int = 0
    answers: int = 0  # answers to attempts that completed or found no instance; errors and refusals are not counted
    not_loaded: int = 0  # those of the answers that found no instance


class OverloadSignals:
    """Moving averages over windows.  A window is calm if it ends in the calm stage."""

    def __init__(self, settings: OverloadSettings) -> None:
        self._settings = settings
        self.baseline_connections = 0.0  # slow average of the connections in a calm window
        self.baseline_per_s = 0.0  # slow average of the request rate in calm windows without rejections
        self.first_tries_per_s = self.completed_per_s = 0.0
        # Average share of retries, or of rejections under a surge if that is larger.  A window with fewer requests than
        # `min_samples` counts as 0.
        self.retry_share = 0.0
        self.alarm = 0.0  # strength of the early signs, from 0 to 1
        self.cold_share = 0.0  # share of cold workers, set by the gateway

    @property
    def retry_capacity_per_s(self) -> float:
        """Rate of retries that can be served in addition to first tries, at least 1 per second."""
        return max(
            self.completed_per_s - self.first_tries_per_s, self._settings.min_retry_share * self.completed_per_s, 1.0
        )

    def update_rates(self, window: WindowCounts, calm: bool) -> None:
        """Update the rates and `retry_share` with a window."""
        settings, requests = self._settings, window.requests
        seconds = settings.window_ms / 1000
        first_tries = (requests - window.retries) / seconds
        self.first_tries_per_s += RATE_WEIGHT * (first_tries - self.first_tries_per_s)
        self.completed_per_s += RATE_WEIGHT * (window.completed / seconds - self.completed_per_s)
        if calm and not window.rejections:
            weight = BASELINE_WEIGHT if self.baseline_per_s else 1.0
            self.baseline_per_s += weight * (requests / seconds - self.baseline_per_s)
        sign = 0.0
        if requests >= settings.min_samples:
            sign = window.retries / requests
            # Until there is a baseline, any rate is a surge.
            if requests / seconds > settings.surge_factor * self.baseline_per_s:
                sign = max(sign, window.rejections / requests)
        self.retry_share += SHARE_WEIGHT * (sign - self.retry_share)

    def update_alarm(self, window: WindowCounts, calm: bool, others_degraded: bool) -> None:
        """Update the alarm with a window's early signs; `others_degraded`: a tenant over its quota degrades others."""
        sign = max(self._early_signs(window, calm), float(others_degraded))
        self.alarm += SHARE_WEIGHT * (sign - self.alarm)

    def _early_signs(self, window: WindowCounts, calm: bool) -> float:
        """Return the strength of a window's early signs, from 0 to 1, and update `baseline_connections` if it is calm.

        It is the larger of two: that of a surge of connections, which needs a baseline, and, while many workers are
        cold, the share of answers from all workers that found no instance.
        """
        settings, sign, connections, usual = self._settings, 0.0, window.connections, self.baseline_connections
        surge = connections > settings.connection_surge_factor * usual
        if connections >= settings.min_samples and usual and surge:
            sign = 1 - usual / connections
        if window.answers >= settings.min_samples and self.cold_share >= settings.cold_share:
            sign = max(sign, window.not_loaded / window.answers)
        if calm:
            weight = BASELINE_WEIGHT if usual else 1.0
            self.baseline_connections += weight * (connections - usual)
        return sign
