"""Routes below `actions`: the list of actions, one action, and its invocation."""

from __future__ import annotations

from kelptrail.codec.http import Request
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import ActionSettings, NamespaceSettings

from . import views
from .context import InvokeContext
from .errors import not_found
from .invocations import InvocationHandler, InvocationRequest, InvocationTarget
from .replies import reply_json
from .request_parsing import check_method, parse_flag, parse_number, parse_page

OWN_NAMESPACE = "_"  # Stands for the client's own namespace in a path
MAX_CACHED_TARGETS = 8192


class ActionRoutes:
    """Handles requests to the paths below `actions`."""

    def __init__(self, context: InvokeContext) -> None:
        self._deployment = context.deployment
        self._max_wait_ms = context.deployment.front.longest_wait_ms
        self._invocations = InvocationHandler(context)
        self._targets: dict[tuple[str, str], InvocationTarget] = {}  # By method and request target

    def cached_target(self, request: Request) -> InvocationTarget | None:
        """Return the cached target of an earlier invocation with the same method and request target, or None."""
        return self._targets.get((request.method, request.target))

    def invoke(
        self, request: Request, exchange: Exchange, namespace: NamespaceSettings, target: InvocationTarget
    ) -> None:
        """Invoke the action of a target.  Raises `ApiError`."""
        self._invocations.invoke(InvocationRequest(request, exchange, namespace, target))

    def handle(self, request: Request, exchange: Exchange, namespace: NamespaceSettings, path: list[str]) -> None:
        """Handle a request; `path` contains the path segments after `actions`.  Raises `ApiError`."""
        if not path or path == [""]:
            self._list(request, exchange, namespace)
            return
        check_method(request, "GET", "POST")
        action = self._deployment.actions.get("/".join(path).removeprefix("default/"))
        if action is None:
            raise not_found()
        if request.method == "GET":
            reply_json(exchange, views.action(self._deployment, namespace.name, action))
            return
        self.invoke(request, exchange, namespace, self._parse_target(request, action))

    def _list(self, request: Request, exchange: Exchange, namespace: NamespaceSettings) -> None:
        check_method(request, "GET")
        page = parse_page(request.query)
        actions = [
            views.action(self._deployment, namespace.name, action) for action in self._deployment.actions.values()
        ]
        reply_json(exchange, actions[page.skip : page.skip + page.limit])

    def _parse_target(self, request: Request, action: ActionSettings) -> InvocationTarget:
        """Parse the namespace, which is segment 3 of the path, and the query of an invocation; cache the result.

        Once `MAX_CACHED_TARGETS` are cached, no others are added: their requests are parsed each time.
        """
        query = request.query
        wait_ms = parse_number(query, "timeout", 1, self._max_wait_ms, self._max_wait_ms)
        blocking, result_only = parse_flag(query, "blocking"), parse_flag(query, "result")
        target = InvocationTarget(request.segments[3], action, blocking, result_only, wait_ms)
        if len(self._targets) < MAX_CACHED_TARGETS:
            self._targets[request.method, request.target] = target
        return target
