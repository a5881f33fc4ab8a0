"""What the handlers of one client API share: settings, the gateway, timers and the dispatcher's state."""

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
    """Shared by the handlers of one API; `activation_lookup` and `draining` are set by the dispatcher's program."""

    def __init__(self, deployment: Deployment, driver: GatewayDriver) -> None:
        self.deployment, self.driver = deployment, driver
        self.trace_ids = TraceIdSource()
        self.activation_lookup: ActivationLookup | None = None  # None: no other dispatcher holds activations
        self.draining = False  # new requests are rejected
        self._loop = asyncio.get_running_loop()

    @property
    def gateway(self) -> Gateway:
        """The gateway core that owns all requests."""
        return self.driver.gateway

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `callback` after a delay, unless the timer is cancelled before."""
        return self._loop.call_later(delay_ms / 1000, callback)

    def abandon(self, invocation: Invocation) -> None:
        """Cancel a request for whose answer no client waits."""
        self.gateway.on_client_gone(now_ms(), invocation)
        self.driver.schedule_decisions()
