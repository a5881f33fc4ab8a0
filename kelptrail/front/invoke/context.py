"""State shared by the handlers of the invoke API."""

from __future__ import annotations

from kelptrail.front.context import ApiContext
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.settings.deployment import Deployment

BOOT_DIGITS_IN_CODE = 8  # Leading digits of `boot` in error codes


class InvokeContext(ApiContext):
    """State shared by the handlers of the invoke API; `boot` is the prefix of all activation ids of this process."""

    def __init__(self, deployment: Deployment, driver: GatewayDriver, boot: str) -> None:
        super().__init__(deployment, driver)
        self.boot = boot
        # URL of this dispatcher itself, not of a front address, which can move; if empty, clients do not receive it.
        self.url = ""
        self.request_count = 0

    def error_code(self) -> str:
        """Return the `code` of an error body: the start of `boot` and the number of requests so far."""
        return f"{self.boot[:BOOT_DIGITS_IN_CODE]}{self.request_count:x}"
