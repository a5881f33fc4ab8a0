"""Overload control: detects retry storms as they begin, and damps them with retry-after times; free of I/O.

The data of one gateway are sufficient: which clients were rejected here and retry, and whether they do so before their
retry-after time; how many requests arrive beyond the usual rate, and how many of them the dispatcher rejects (most
clients retry at another gateway); how many requests complete.  Three early signs only raise an alarm: many more
connections than usual, attempts that find no instance while workers are cold, and tenants within their quota that are
rejected or late while another tenant is over its own.

Outside the calm stage each rejected client gets its own retry-after time, so that all retries together match the
capacity left beyond first tries; a client that returns earlier is rejected on arrival, at no cost, and gets a longer
one.  While other tenants are degraded, only a share of the requests of tenants over their quota is admitted.  In a
storm, their retries also need a budget: each completed request adds one retry, each of their admitted first tries takes
one, and a retry with a lower priority weight needs a larger budget.  All other requests go on to the dispatcher: a
burst that it can serve is not damped.
"""

from __future__ import annotations

from collections.abc import Mapping

from .overload_settings import OverloadSettings, OverloadStage
from .overload_signals import OverloadSignals, WindowCounts
from .retry_after import RetryAfterQueue
from .seeded_draws import SeededDraws
from .tenant_quotas import TenantQuotas

MAX_CATCH_UP_WINDOWS = 40  # largest number of past windows that are closed one by one
MAX_STAGE_HISTORY = 100


class OverloadController:
    """Overload control of one gateway.  Times are in milliseconds."""

    def __init__(self, settings: OverloadSettings, seed: int, quotas: Mapping[str, float] | None = None) -> None:
        """Create overload control; `seed` varies the random draws.

        `quotas` are in any unit, by tenant; a tenant without a quota is never over quota.
        """
        self._settings = settings
        draws = SeededDraws(seed)
        self.signals = OverloadSignals(settings)
        self.quotas = TenantQuotas(settings, draws, quotas)
        self.retry_after = RetryAfterQueue(settings, draws)
        self.stage = OverloadStage.CALM
        self.stage_history: list[tuple[float, OverloadStage]] = []
        self._stage_windows = 0  # number of windows closed in this stage
        self._window_start = 0.0
        self._window = WindowCounts()

    # Inputs.

    def on_connection(self, now: float) -> None:
        """Count a client's new connection."""
        self._close_windows(now)
        self._window.connections += 1

    def on_attempt_answered(self, now: float, not_loaded: bool) -> None:
        """Count a worker's answer to an attempt; `not_loaded`: the worker had no instance."""
        self._close_windows(now)
        self._window.answers += 1
        self._window.not_loaded += not_loaded

    def on_request(self, now: float, client: str, tenant: str = "", priority_weight: float = 1.0) -> float | None:
        """Return None for a request that goes on to the dispatcher, or the retry-after time of one rejected now.

        `priority_weight` is that of its request class, relative to the highest.
        """
        self._close_windows(now)
        self._window.requests += 1
        self.quotas.on_request(tenant)
        rejected_client = self.retry_after.find(client)
        if rejected_client is None:
            return None if self.quotas.admit_first_try(tenant) else self._assign_retry_after(now, client)
        self._window.retries += 1
        if not self._settings.enabled or self.stage is OverloadStage.CALM:
            return None
        if rejected_client.is_early(now):
            self.retry_after.on_early_retry(rejected_client)
            return self._assign_retry_after(now, client)
        needs_budget = self.stage is OverloadStage.STORM
        if self.quotas.admit_retry(tenant, priority_weight, needs_budget):
            return None
        return self._assign_retry_after(now, client)

    def on_rejected(self, now: float, client: str, retry_after_ms: float, tenant: str = "") -> float:
        """Return the retry-after time of a request that the dispatcher rejects, at least its `retry_after_ms`."""
        self._close_windows(now)
        self._window.rejections += 1
        self.quotas.on_degraded(tenant)
        if self.stage is OverloadStage.CALM or not self._settings.enabled:
            self.retry_after.remember(client, now + retry_after_ms)
            return retry_after_ms
        return self._assign_retry_after(now, client, retry_after_ms)

    def on_completed(self, now: float, client: str, tenant: str = "", late: bool = False) -> None:
        """Count a completed request; `late`: after its latency objective."""
        self._close_windows(now)
        self._window.completed += 1
        if late:
            self.quotas.on_degraded(tenant)
        self.quotas.on_completed()
        self.retry_after.forget(client)

    def _assign_retry_after(self, now: float, client: str, min_ms: float = 0.0) -> float:
        return self.retry_after.assign(now, client, min_ms, self.signals.retry_capacity_per_s)

    # Windows.

    def _close_windows(self, now: float) -> None:
        """Close all windows that have ended."""
        window_ms = self._settings.window_ms
        if now < self._window_start + window_ms:
            return
        # A long time without input is skipped, as nothing is known of it.
        if now > self._window_start + MAX_CATCH_UP_WINDOWS * window_ms:
            self._window_start = now - window_ms
        while now >= self._window_start + window_ms:
            self._window_start += window_ms
            self._close_window()

    def _close_window(self) -> None:
        calm = self.stage is OverloadStage.CALM
        within_quota_degraded = self.quotas.within_quota_degraded()
        self.signals.update_rates(self._window, calm)
        self.signals.update_alarm(self._window, calm, bool(self.quotas.over_quota) and within_quota_degraded)
        self.quotas.close_window(calm, within_quota_degraded, self.signals.completed_per_s)
        self._window = WindowCounts()
        self._stage_windows += 1
        self.retry_after.forget_absent(self._window_start)
        self._update_stage()

    def _update_stage(self) -> None:
        settings, signals = self._settings, self.signals
        high, low = signals.retry_share >= settings.high_share, signals.retry_share <= settings.low_share
        may_end, alarmed = self._stage_windows >= settings.min_stage_windows, signals.alarm >= settings.high_share
        if self.stage is OverloadStage.CALM:
            if high or alarmed:
                self._enter(OverloadStage.RISING)
        elif self.stage is OverloadStage.RISING:
            if high and may_end:
                self._enter(OverloadStage.STORM)
            elif not high and not alarmed and may_end:
                self._enter(OverloadStage.CALM)
        elif self.stage is OverloadStage.STORM:
            if low and may_end:
                self._enter(OverloadStage.RECOVERING)
        elif high:
            self._enter(OverloadStage.STORM)
        elif low and self._stage_windows >= 2 * settings.min_stage_windows:
            self._enter(OverloadStage.CALM)
            self.retry_after.restart()

    def _enter(self, stage: OverloadStage) -> None:
        self.stage, self._stage_windows = stage, 0
        self.stage_history.append((self._window_start, stage))
        del self.stage_history[:-MAX_STAGE_HISTORY]

    def status(self) -> dict[str, object]:
        """Return the status for operators; its keys are part of the status page."""
        signals, quotas, retry_after = self.signals, self.quotas, self.retry_after
        return {
            "stage": self.stage.value,
            "repeats": round(signals.retry_share, 3),
            "fresh_per_s": round(signals.first_tries_per_s, 1),
            "done_per_s": round(signals.completed_per_s, 1),
            "told_to_return": retry_after.assigned,
            "came_early": retry_after.early_retries,
            "known": len(retry_after),
            "alarm": round(signals.alarm, 3),
            "held_back": quotas.held_back,
            "over_share": sorted(quotas.over_quota),
            "allowed_of_those": round(quotas.admitted_share, 3),
        }
