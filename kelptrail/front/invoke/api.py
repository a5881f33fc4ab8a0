"""The invoke API (OpenWhisk REST API v1) as a handler of HTTP requests; the gateway executes them.

Routes: `/api/v1` (a description, without authentication) and, below it, `namespaces`,
`namespaces/{ns}/actions[/[{pkg}/]{name}]` (GET, and POST for one action), and
`namespaces/{ns}/activations[/{id}[/result|/logs]]` (GET, and DELETE for one activation).  `_` stands for the client's
own namespace.
"""

from __future__ import annotations

from kelptrail.codec.http import Request
from kelptrail.front.authentication import Authenticator
from kelptrail.gateway.driver import GatewayDriver
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import Deployment, NamespaceSettings

from .actions import OWN_NAMESPACE, ActionRoutes
from .activations import ActivationRoutes
from .context import InvokeContext
from .errors import ApiError, forbidden, not_found, unauthenticated
from .replies import reply_error, reply_json
from .request_parsing import check_method

ROOT = ["api", "v1"]
DESCRIPTION = {
    "description": "kelptrail invoke API",
    "api_version": "1.0.0",
    "api_paths": ["/namespaces", "/actions", "/activations"],
}


class InvokeApi:
    """Handles the requests that one dispatcher receives over HTTP."""

    def __init__(
        self, deployment: Deployment, driver: GatewayDriver, boot: str, authenticator: Authenticator | None = None
    ) -> None:
        self.context = InvokeContext(deployment, driver, boot)
        self._authenticator = authenticator or Authenticator(deployment)
        self._actions = ActionRoutes(self.context)
        self._activations = ActivationRoutes(self.context)

    def handle(self, request: Request, exchange: Exchange) -> None:
        """Reply to a request, immediately or later, for example when its activation has ended."""
        self.context.request_count += 1
        code = self.context.error_code()
        try:
            self._route(request, exchange)
        except ApiError as error:
            reply_error(exchange, error, code)

    def _route(self, request: Request, exchange: Exchange) -> None:
        target = self._actions.cached_target(request)
        if target is not None:
            namespace = self._authenticate(request, exchange)
            if target.namespace in (OWN_NAMESPACE, namespace.name):
                self._actions.invoke(request, exchange, namespace, target)
                return
        segments = request.segments
        if segments[:2] != ROOT:
            raise not_found()
        if len(segments) == 2:
            check_method(request, "GET")
            reply_json(exchange, DESCRIPTION)
            return
        namespace = self._authenticate(request, exchange)
        if segments[2] != "namespaces":
            raise not_found()
        if len(segments) == 3:
            check_method(request, "GET")
            reply_json(exchange, [namespace.name])
            return
        if segments[3] not in (OWN_NAMESPACE, namespace.name):
            raise forbidden()
        self._route_collection(request, exchange, namespace, segments[4:])

    def _route_collection(
        self, request: Request, exchange: Exchange, namespace: NamespaceSettings, segments: list[str]
    ) -> None:
        """Route a request by the segments that follow its namespace."""
        collection, path = segments[0] if segments else "", segments[1:]
        if collection == "actions" and len(path) <= 2:
            self._actions.handle(request, exchange, namespace, path)
        elif collection == "activations" and len(path) <= 2:
            self._activations.handle(request, exchange, namespace, path)
        else:
            raise not_found()

    def _authenticate(self, request: Request, exchange: Exchange) -> NamespaceSettings:
        """Return the client's namespace.  Raises `ApiError`."""
        header = request.headers.get("authorization", "")
        namespace = self._authenticator.authenticate(header, exchange.identity)
        if namespace is None:
            raise unauthenticated()
        return namespace
