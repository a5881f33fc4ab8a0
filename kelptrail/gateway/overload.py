"""Retry storms: detected as they begin, and damped by the retry-after time that each client gets; free of I/O.

What one gateway sees is enough: which clients were rejected here and return, and whether before their retry-after
time; how many requests arrive beyond the usual rate, and how many of them the dispatcher rejects (clients mostly retry
elsewhere); how many requests complete.  Three early signs raise only an alarm: many more connections than usual,
attempts that find no instance while workers are cold, and tenants within their quota that are rejected or late while
another is over its own.

In a storm each rejected client gets a retry-after time of its own, so that the retries together fit what is completed
beyond the first tries; a client that returns earlier is rejected on arrival, at no cost, and gets a longer one.  For a
tenant over its quota, retries are admitted by a budget that follows what is completed, the highest priority weight
first, and first tries before them.  All other requests go on to the dispatcher: a burst that it can serve is not
damped.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

EARLY_TOLERANCE_MS = 20.0  # a client that returns so much before its time counts as on time
MAX_CATCH_UP_WINDOWS = 40  # windows without a request that are closed one by one
MAX_STAGE_HISTORY = 100


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


@dataclass(slots=True)
class _RejectedClient:
    """A client that was given a retry-after time."""

    retry_at: float
    early_retries: int = 0  # how often it returned before that


class OverloadController:
    """Overload as one gateway sees it.  Times in milliseconds; `seed` varies the random draws."""

    def __init__(self, settings: OverloadSettings, seed: int, shares: Mapping[str, float] | None = None) -> None:
        """`shares`: each tenant's quota, in any unit; one without a quota is never over it."""
        self._settings, self._seed, self._draws = settings, seed, 0
        total = sum((shares or {}).values()) or 1.0
        self._shares = {name: share / total for name, share in (shares or {}).items()}
        self.stage = OverloadStage.CALM
        self.stage_history: list[tuple[float, OverloadStage]] = []
        self._stage_windows = 0  # windows in this stage
        self._clients: OrderedDict[str, _RejectedClient] = OrderedDict()
        self._next_retry_at = 0.0  # until when retry-after times are assigned
        # Counts of this window.
        self._window_start = 0.0
        self._requests = self._retries = self._completed = self._rejections = 0
        self._connections = self._not_loaded = self._answers = 0
        self._by_tenant: dict[str, int] = {}
        self._within_quota = self._degraded = 0  # requests of tenants within quota, and those rejected or late
        # Recent averages.
        self._tenant_rates: dict[str, float] = {}  # requests a window
        self.baseline_connections = 0.0  # a window, while it is calm
        self.baseline_per_s = 0.0  # requests while it is calm, on a slow average
        self.first_tries_per_s = self.completed_per_s = 0.0
        self.retry_share = 0.0  # of retries among the requests
        self.alarm = 0.0  # how strong the early signs are, from 0 to 1
        self.cold_share = 0.0  # of the workers; set by the gateway
        # Tenants over quota.
        self._over_quota: set[str] = set()
        self.admitted_share = 1.0  # of their requests
        self._retry_budget = 0.0  # retries of theirs that are admitted
        self.held_back = 0  # requests of theirs that were not admitted
        self.early_retries = self.delayed = 0  # before the retry-after time; retry-after times assigned

    # Inputs.

    def on_connection(self, now: float) -> None:
        """A client connects."""
        self._close_windows(now)
        self._connections += 1

    def on_attempt_answered(self, now: float, not_loaded: bool) -> None:
        """A worker answered an attempt; `not_loaded`: it had no instance."""
        self._close_windows(now)
        self._answers += 1
        self._not_loaded += not_loaded

    def on_request(self, now: float, client: str, tenant: str = "", priority_weight: float = 1.0) -> float | None:
        """A request arrives: None where it goes on to the dispatcher, else its retry-after time, as it is rejected now.

        `priority_weight`: of its request class, as a share of the highest.
        """
        self._close_windows(now)
        self._requests += 1
        self._by_tenant[tenant] = self._by_tenant.get(tenant, 0) + 1
        over = self._is_over_quota(tenant)
        self._within_quota += not over
        known = self._clients.get(client)
        if known is None:
            if over and not self._admit(self.admitted_share):
                self.held_back += 1
                return self._assign_retry_after(now, client, 0.0)
            self._retry_budget -= over  # first tries go before retries
            return None
        self._retries += 1
        if not self._settings.enabled or self.stage is OverloadStage.CALM:
            return None
        if now >= known.retry_at - EARLY_TOLERANCE_MS:
            if over and not (
                self._admit(self.admitted_share**2)
                and (self.stage is not OverloadStage.STORM or self._spend_budget(priority_weight))
            ):
                self.held_back += 1
                return self._assign_retry_after(now, client, 0.0)
            return None
        self.early_retries += 1
        known.early_retries += 1
        return self._assign_retry_after(now, client, 0.0)

    def on_rejected(self, now: float, client: str, retry_after_ms: float, tenant: str = "") -> float:
        """The dispatcher rejects a request: its retry-after time, not below the dispatcher's own `retry_after_ms`."""
        self._close_windows(now)
        self._rejections += 1
        self._degraded += not self._is_over_quota(tenant)
        if self.stage is OverloadStage.CALM or not self._settings.enabled:
            self._remember(client, now + retry_after_ms)
            return retry_after_ms
        return self._assign_retry_after(now, client, retry_after_ms)

    def on_completed(self, now: float, client: str, tenant: str = "", late: bool = False) -> None:
        """A request is completed; `late`: after its latency objective."""
        self._close_windows(now)
        self._completed += 1
        self._degraded += late and not self._is_over_quota(tenant)
        self._retry_budget += 1
        self._clients.pop(client, None)

    # Decisions.

    def _is_over_quota(self, tenant: str) -> bool:
        """Whether a tenant is over its quota.  Guards against one tenant's retry storm that harms others."""
        return tenant in self._over_quota

    def _admit(self, share: float) -> bool:
        """Whether a request is admitted, by a random draw with this share.

        Guards against one tenant's retry storm that harms others: of tenants over quota ever fewer requests are
        admitted while the requests of others are rejected or late.
        """
        if share >= 1 or not self._settings.enabled:
            return True
        self._draws += 1
        return crc32(f"{self._seed} in {self._draws}".encode()) < share * 2**32

    def _spend_budget(self, priority_weight: float) -> bool:
        """Take one retry from the budget if it has enough; a lower weight needs a fuller budget."""
        if self._retry_budget < 1 + 0.5 * (1 - priority_weight) * self._max_budget():
            return False
        self._retry_budget -= 1
        return True

    def _max_budget(self) -> float:
        return max(1.0, self.completed_per_s * self._settings.window_ms / 1000)

    def _assign_retry_after(self, now: float, client: str, least: float) -> float:
        """A retry-after time of the client's own, at least `least`.

        It is the next place in a queue that moves at the rate of what can be served beyond first tries; longer, within
        the bound, for a client that keeps returning early.  Guards against all clients returning at one moment, and
        against clients that ignore their retry-after time.
        """
        self.delayed += 1
        known = self._clients.get(client)
        retry_capacity_per_s = max(
            self.completed_per_s - self.first_tries_per_s, self._settings.min_retry_share * self.completed_per_s, 1.0
        )
        if known is None or now >= known.retry_at - EARLY_TOLERANCE_MS:  # a client that returns early keeps its place
            self._next_retry_at = max(self._next_retry_at, now) + 1000 / retry_capacity_per_s
            wait = self._next_retry_at - now
        else:
            wait = known.retry_at - now
        wait *= 1 + min(3, known.early_retries) / 2 if known is not None else 1.0
        self._draws += 1
        spread = 0.75 + 0.25 * crc32(f"{self._seed} back {self._draws}".encode()) / 2**32  # also where the bound cuts
        wait = max(least, min(self._settings.max_retry_after_ms, wait) * spread)
        self._next_retry_at = min(self._next_retry_at, now + self._settings.max_retry_after_ms)
        self._remember(client, now + wait)
        return wait

    def _remember(self, client: str, until: float) -> None:
        known = self._clients.pop(client, None)
        if known is None:
            known = _RejectedClient(until)
        known.retry_at = until
        self._clients[client] = known
        while len(self._clients) > self._settings.max_clients:
            self._clients.popitem(last=False)

    # Windows.

    def _close_windows(self, now: float) -> None:
        """Close the windows that have passed."""
        window = self._settings.window_ms
        if now < self._window_start + window:
            return
        if now > self._window_start + MAX_CATCH_UP_WINDOWS * window:  # no request for long: nothing is known of it
            self._window_start = now - window
        while now >= self._window_start + window:
            self._window_start += window
            self._close_window()

    def _close_window(self) -> None:
        self._update_rates()
        others_degraded = self._degraded > self._settings.degraded_share * max(
            self._within_quota, self._settings.min_samples
        )
        self.alarm += 0.5 * (max(self._early_signs(), float(bool(self._over_quota) and others_degraded)) - self.alarm)
        self._update_quotas(others_degraded)
        self._reset_window()
        self._forget_clients()
        self._update_stage()

    def _update_rates(self) -> None:
        settings, requests, retries = self._settings, self._requests, self._retries
        seconds = settings.window_ms / 1000
        first_tries = (requests - retries) / seconds
        self.first_tries_per_s += 0.1 * (first_tries - self.first_tries_per_s)
        self.completed_per_s += 0.1 * (self._completed / seconds - self.completed_per_s)
        if self.stage is OverloadStage.CALM and not self._rejections:
            weight = 0.02 if self.baseline_per_s else 1.0
            self.baseline_per_s += weight * (requests / seconds - self.baseline_per_s)
        sign = 0.0
        if requests >= settings.min_samples:
            sign = retries / requests
            if requests / seconds > settings.surge_factor * self.baseline_per_s:
                sign = max(sign, self._rejections / requests)
        self.retry_share += 0.5 * (sign - self.retry_share)

    def _update_quotas(self, others_degraded: bool) -> None:
        """Which tenants are over quota, and how much of their requests is admitted.

        `others_degraded`: many requests of tenants within quota are rejected or late.
        """
        for tenant in set(self._tenant_rates) | set(self._by_tenant):
            before = self._tenant_rates.get(tenant, 0.0)
            self._tenant_rates[tenant] = before + 0.2 * (self._by_tenant.get(tenant, 0) - before)
        total = sum(self._tenant_rates.values())
        factor = self._settings.over_quota_factor
        self._over_quota = {
            tenant
            for tenant, rate in self._tenant_rates.items()
            if rate > factor * self._shares.get(tenant, 1.0) * total
        }
        if self._over_quota and others_degraded:
            self.admitted_share = max(0.05, 0.85 * self.admitted_share)
        else:
            growth = 0.08 if self.stage is OverloadStage.CALM else 0.01
            self.admitted_share = min(1.0, self.admitted_share + growth)

    def _reset_window(self) -> None:
        self._within_quota = self._degraded = 0
        budget = self._max_budget()
        self._retry_budget = max(-budget, min(budget, self._retry_budget))
        self._requests = self._retries = self._completed = self._rejections = 0
        self._connections = self._not_loaded = self._answers = 0
        self._by_tenant.clear()
        self._stage_windows += 1

    def _forget_clients(self) -> None:
        while self._clients:
            client, oldest = next(iter(self._clients.items()))
            if self._window_start < oldest.retry_at + self._settings.forget_after_ms:
                break
            del self._clients[client]

    def _update_stage(self) -> None:
        settings = self._settings
        high, low = self.retry_share >= settings.high_share, self.retry_share <= settings.low_share
        may_end, alarmed = self._stage_windows >= settings.min_stage_windows, self.alarm >= settings.high_share
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
            self._next_retry_at = 0.0

    def _early_signs(self) -> float:
        """Early signs of a window, from 0 to 1: a surge of connections; missing instances while workers are cold."""
        settings, sign = self._settings, 0.0
        if (
            self._connections >= settings.min_samples
            and self.baseline_connections
            and (self._connections > settings.connection_surge_factor * self.baseline_connections)
        ):
            sign = 1 - self.baseline_connections / self._connections
        if self._answers >= settings.min_samples and self.cold_share >= settings.cold_share:
            sign = max(sign, self._not_loaded / self._answers)
        if self.stage is OverloadStage.CALM:
            self.baseline_connections += (0.02 if self.baseline_connections else 1.0) * (
                self._connections - self.baseline_connections
            )
        return sign

    def _enter(self, stage: OverloadStage) -> None:
        self.stage, self._stage_windows = stage, 0
        self.stage_history.append((self._window_start, stage))
        del self.stage_history[:-MAX_STAGE_HISTORY]

    def status(self) -> dict[str, object]:
        """The status that operators see; its keys are part of the status page."""
        return {
            "stage": self.stage.value,
            "repeats": round(self.retry_share, 3),
            "fresh_per_s": round(self.first_tries_per_s, 1),
            "done_per_s": round(self.completed_per_s, 1),
            "told_to_return": self.delayed,
            "came_early": self.early_retries,
            "known": len(self._clients),
            "alarm": round(self.alarm, 3),
            "held_back": self.held_back,
            "over_share": sorted(self._over_quota),
            "allowed_of_those": round(self.admitted_share, 3),
        }
