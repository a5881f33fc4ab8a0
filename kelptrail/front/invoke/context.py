"""What the handlers of the invoke API share."""

from __future__ import annotations

from kelptrail.front.context import ApiContext
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.settings.deployment import Deployment

BOOT_DIGITS_IN_CODE = 8


class InvokeContext(ApiContext):
    """Shared by the handlers of the invoke API; `boot` is the prefix of this run's activation ids."""

    def __init__(self, deployment: Deployment, driver: GatewayDriver, boot: str) -> None:
        super().__init__(deployment, driver)
        self.boot = boot
        self.url = ""  # of this dispatcher itself, whoever has the front address; empty: not given to clients
        self.request_count = 0

    def error_code(self) -> str:
        """The `code` of an error body: this run, and the number of requests so far."""
        return f"{self.boot[:BOOT_DIGITS_IN_CODE]}{self.request_count:x}"
