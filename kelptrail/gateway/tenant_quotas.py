"""Tenant quotas: which tenants are over their quota, and which share of their requests is admitted.

They protect tenants from the retry storm of another one: as long as too many requests of tenants within quota are
rejected or late, the admitted share of requests of tenants over quota falls, down to `MIN_ADMITTED_SHARE`.
"""

from __future__ import annotations

from collections.abc import Mapping

from .overload_settings import OverloadSettings
from .seeded_draws import SeededDraws

RATE_WEIGHT = 0.2  # weight of one window in a tenant's average rate
MIN_ADMITTED_SHARE = 0.05
ADMITTED_SHARE_DECREASE = 0.85  # factor after a window in which tenants within quota are degraded
ADMITTED_SHARE_INCREASE = 0.01  # added after any other window outside the calm stage
ADMITTED_SHARE_INCREASE_CALM = 0.08  # added instead in the calm stage


class TenantQuotas:
    """Admits requests according to quotas.  Requests are counted in windows, which `close_window` ends."""

    def __init__(self, settings: OverloadSettings, draws: SeededDraws, quotas: Mapping[str, float] | None) -> None:
        """Create the quotas.  `quotas` are in any unit, by tenant; a tenant without a quota is never over quota."""
        self._settings, self._draws = settings, draws
        total = sum((quotas or {}).values()) or 1.0
        self._shares = {name: quota / total for name, quota in (quotas or {}).items()}
        self._rates: dict[str, float] = {}  # moving average of requests in a window, by tenant
        self.over_quota: set[str] = set()
        self.admitted_share = 1.0  # admitted share of the requests of tenants over quota
        self.held_back = 0  # number of requests of tenants over quota that were not admitted
        # Number of retries of tenants over quota that completed requests cover; negative after many first tries.
        self._retry_budget = 0.0
        # Average number of completed requests in a window, at least 1; it limits a negative budget, too.
        self._max_retry_budget = 1.0
        # Counts of this window.
        self._requests: dict[str, int] = {}  # requests by tenant
        # Requests of tenants within quota that arrived, and that were rejected or late.
        self._within_quota_count = self._degraded_count = 0

    # Inputs.

    def on_request(self, tenant: str) -> None:
        """Count a request."""
        self._requests[tenant] = self._requests.get(tenant, 0) + 1
        self._within_quota_count += tenant not in self.over_quota

    def on_degraded(self, tenant: str) -> None:
        """Count a request of a tenant within quota that the dispatcher rejected, or that was completed late."""
        self._degraded_count += tenant not in self.over_quota

    def on_completed(self) -> None:
        """Allow one more retry, as a request is completed."""
        self._retry_budget += 1

    # Decisions.

    def admit_first_try(self, tenant: str) -> bool:
        """Return whether the first try of a request is admitted.

        An admitted first try of a tenant over quota takes one retry from the budget.
        """
        if tenant not in self.over_quota:
            return True
        if not self._admit(self.admitted_share):
            self.held_back += 1
            return False
        self._retry_budget -= 1
        return True

    def admit_retry(self, tenant: str, priority_weight: float, needs_budget: bool) -> bool:
        """Return whether a retry that is not early is admitted; `needs_budget`: only if the budget suffices."""
        if tenant not in self.over_quota:
            return True
        # Squared, so that a smaller share of the retries than of the first tries is admitted.
        if self._admit(self.admitted_share**2) and (not needs_budget or self._spend_budget(priority_weight)):
            return True
        self.held_back += 1
        return False

    def _admit(self, share: float) -> bool:
        """Return whether a request is admitted: with probability `share`, or always if overload control is disabled."""
        if share >= 1 or not self._settings.enabled:
            return True
        return self._draws.draw("in") < share  # the name "in" stays as it is, because it determines the draws

    def _spend_budget(self, priority_weight: float) -> bool:
        """Take one retry from the budget if it suffices; a lower priority weight needs a larger budget."""
        if self._retry_budget < 1 + 0.5 * (1 - priority_weight) * self._max_retry_budget:
            return False
        self._retry_budget -= 1
        return True

    # Windows.

    def within_quota_degraded(self) -> bool:
        """Return whether too many requests of tenants within quota were rejected or late in this window.

        Too many are more than `degraded_share` of them; fewer than `min_samples` requests count as `min_samples`.
        """
        settings = self._settings
        return self._degraded_count > settings.degraded_share * max(self._within_quota_count, settings.min_samples)

    def close_window(self, calm: bool, within_quota_degraded: bool, completed_per_s: float) -> None:
        """End a window: update the tenants over quota, their admitted share, and the retry budget."""
        self._update_over_quota()
        if self.over_quota and within_quota_degraded:
            self.admitted_share = max(MIN_ADMITTED_SHARE, ADMITTED_SHARE_DECREASE * self.admitted_share)
        else:
            increase = ADMITTED_SHARE_INCREASE_CALM if calm else ADMITTED_SHARE_INCREASE
            self.admitted_share = min(1.0, self.admitted_share + increase)
        self._max_retry_budget = budget = max(1.0, completed_per_s * self._settings.window_ms / 1000)
        self._retry_budget = max(-budget, min(budget, self._retry_budget))
        self._within_quota_count = self._degraded_count = 0
        self._requests.clear()

    def _update_over_quota(self) -> None:
        for tenant in set(self._rates) | set(self._requests):
            before = self._rates.get(tenant, 0.0)
            self._rates[tenant] = before + RATE_WEIGHT * (self._requests.get(tenant, 0) - before)
        total = sum(self._rates.values())
        factor = self._settings.over_quota_factor
        self.over_quota = {
            tenant for tenant, rate in self._rates.items() if rate > factor * self._shares.get(tenant, 1.0) * total
        }
