"""The client-facing side of a dispatcher: TLS, client authentication, the two APIs, and their servers.

It also makes the TLS of the calls to workers, whose certificate files are reloaded together with those of the fronts.
"""

from __future__ import annotations

import ssl
import zlib
from collections.abc import Callable
from typing import Any

from kelptrail.clock import now_ms
from kelptrail.front.authentication import Authenticator
from kelptrail.front.inference.api import InferenceApi
from kelptrail.front.invoke.api import InvokeApi
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.net.grpc_server import GrpcServer
from kelptrail.net.listener import ConnectPace, PaceSettings
from kelptrail.net.server import Handler, HttpServer
from kelptrail.net.tls import CertificateReloader
from kelptrail.settings.deployment import Deployment, FrontSettings, InferenceSettings

from .build import certificate_reloader, front_limits, grpc_limits

# Names of the certificate reloaders in the responses of the control port.
HTTP, GRPC, TO_WORKERS = "front", "grpc", "to-workers"
# Name of the reloader, side in the TLS settings, and ALPN protocols.  Both fronts use the TLS settings of "front".
RELOADERS = (
    (HTTP, "front", ["http/1.1"]),
    (GRPC, "front", ["h2"]),
    (TO_WORKERS, "to-workers", ["http/1.1"]),
)


def certificate_reloaders(deployment: Deployment, log: Any) -> dict[str, CertificateReloader]:
    """Return, by name, each of `RELOADERS` whose side has TLS settings.

    Raises `ValueError` if the certificate files are unusable.
    """
    return {
        name: reloader
        for name, side, protocols in RELOADERS
        if (reloader := certificate_reloader(deployment, side, protocols, log)) is not None
    }


class Fronts:
    """The HTTP front and the gRPC front of a dispatcher; creates further servers of either kind for front addresses.

    The constructor also sets the TLS of the calls to workers in `driver`.  `boot` begins all activation ids of this
    run; the retry times of rejected connections vary with it.
    """

    def __init__(self, deployment: Deployment, driver: GatewayDriver, boot: str, log: Any) -> None:
        self._deployment, self._gateway, self._log = deployment, driver.gateway, log
        self._pace_seed = zlib.crc32(boot.encode())
        self.reloaders = certificate_reloaders(deployment, log)
        if TO_WORKERS in self.reloaders:
            driver.worker_calls.tls = self.reloaders[TO_WORKERS].context
        self._http_tls, self._grpc_tls = self._tls_context(HTTP), self._tls_context(GRPC)
        self._authenticator = Authenticator(deployment)
        self.invoke = InvokeApi(deployment, driver, boot, self._authenticator)
        self.inference = InferenceApi(deployment, driver, self._authenticator)
        self.grpc = self.make_grpc_server()
        self.http = self.make_http_server(self.invoke.handle)

    def make_http_server(self, handler: Handler) -> HttpServer:
        """Return a new server of the HTTP front that does not listen yet."""
        settings = self._deployment.front
        server = HttpServer(
            handler,
            front_limits(settings),
            self._log.warning,
            self._http_tls,
            self._authenticator.namespace_of_certificate,
            self._connect_pace(settings),
        )
        server.listener.on_connect = self._on_connect
        return server

    def make_grpc_server(self) -> GrpcServer:
        """Return a new server of the gRPC front that does not listen yet."""
        settings = self._deployment.inference
        server = GrpcServer(
            self.inference.handle,
            grpc_limits(settings),
            self._log.warning,
            self._grpc_tls,
            self._authenticator.namespace_of_certificate,
            self._connect_pace(settings),
        )
        server.listener.on_connect = self._on_connect
        return server

    def url(self) -> str:
        """Return the URL of the HTTP front; it must be listening."""
        scheme = "https" if self._http_tls else "http"
        return f"{scheme}://{self.http.address}"

    def reload_certificates(self) -> None:
        """Load the certificate files that have changed; runs as a background job."""
        for reloader in self.reloaders.values():
            reloader.reload_if_changed()

    def _tls_context(self, name: str) -> Callable[[], ssl.SSLContext] | None:
        return self.reloaders[name].context if name in self.reloaders else None

    def _connect_pace(self, settings: FrontSettings | InferenceSettings) -> ConnectPace:
        max_retry_after_ms = self._deployment.overload.max_retry_after_ms
        pace = PaceSettings(settings.connect_burst, settings.connects_per_s, max_retry_after_ms)
        return ConnectPace(pace, self._pace_seed)

    def _on_connect(self) -> None:
        self._gateway.overload.on_connection(now_ms())
