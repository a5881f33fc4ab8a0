"""State shared by the handlers of one client API: settings, the gateway, timers and the dispatcher's state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kelptrail.clock import now_ms
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.gateway.invocation import Invocation
from kelptrail.settings.deployment import Deployment

from .activation_lookup import ActivationLookup
from .trace_context import TraceIdSource


class ApiContext:
    """State shared by the handlers of one API; the dispatcher process sets `activation_lookup` and `draining`."""

    def __init__(self, deployment: Deployment, driver: GatewayDriver) -> None:
        self.deployment, self.driver = deployment, driver
        self.trace_ids = TraceIdSource()
        self.activation_lookup: ActivationLookup | None = None  # None without replication
        self.draining = False  # While set, new requests are rejected
        self._loop = asyncio.get_running_loop()

    @property
    def gateway(self) -> Gateway:
        """Gateway core that owns all requests."""
        return self.driver.gateway

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `callback` after `delay_ms`, unless the returned timer is cancelled first."""
        return self._loop.call_later(delay_ms / 1000, callback)

    def cancel(self, invocation: Invocation) -> None:
        """Cancel a request and end it as failed; without effect if it has its final answer."""
        self.gateway.on_client_gone(now_ms(), invocation)
        self.driver.schedule_decisions()
