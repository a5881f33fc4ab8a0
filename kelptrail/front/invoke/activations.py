"""Routes below `activations`: the list of records, one record with its result and logs, polls and cancellation."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from itertools import islice

from kelptrail.codec.http import Request
from kelptrail.dispatch.entities import Idempotency
from kelptrail.gateway.records import Record
from kelptrail.membership.members import ID_PREFIX_DIGITS
from kelptrail.net.server import Exchange
from kelptrail.settings.deployment import NamespaceSettings

from . import views
from .context import InvokeContext
from .errors import RETRY_SOON_HEADERS, ApiError, in_flight, not_found, redirect
from .long_poll import LongPoll, View
from .replies import reply_error, reply_json
from .request_parsing import check_method, parse_flag, parse_number, parse_page

MAX_TIME_MS = 1e15  # Latest wall-clock time that `since` and `upto` may contain
LOST_MESSAGE = "No dispatcher knows the activation: it never was, or is no longer kept, or all that held it are lost."
NOT_KNOWN_YET_MESSAGE = "The activation is not known yet: whoever may have it is being taken over, or cannot be heard."


class ActivationRoutes:
    """Handles requests to the paths below `activations`."""

    def __init__(self, context: InvokeContext) -> None:
        self._context = context
        self._max_wait_ms = context.deployment.front.longest_wait_ms

    def handle(self, request: Request, exchange: Exchange, namespace: NamespaceSettings, path: list[str]) -> None:
        """Handle a request; `path` contains the path segments after `activations`.  Raises `ApiError`."""
        if not path or path == [""]:
            self._list(request, exchange, namespace)
            return
        id_ = path[0]
        check_method(request, "GET", *(("DELETE",) if len(path) == 1 and id_ else ()))
        records = self._context.gateway.records
        record = records.get(namespace.name, id_)
        if record is None:
            self._find_at_other_dispatchers(request, exchange, id_)
        elif request.method == "DELETE":
            self._cancel(exchange, record)
        else:
            self._get(request, exchange, record, _view(path[1:]))

    def _list(self, request: Request, exchange: Exchange, namespace: NamespaceSettings) -> None:
        check_method(request, "GET")
        query = request.query
        page = parse_page(query)
        since = parse_number(query, "since", 0, MAX_TIME_MS, 0.0)
        upto = parse_number(query, "upto", 0, MAX_TIME_MS, float("inf"))
        records = self._context.gateway.records.newest(namespace.name, query.get("name"), since, upto)
        if parse_flag(query, "count"):
            count = sum(1 for _ in records)
            reply_json(exchange, {"activations": max(0, count - page.skip)})
            return
        view = views.activation if parse_flag(query, "docs") else views.summary
        listed_records = islice(records, page.skip, page.skip + page.limit)
        reply_json(exchange, [view(record) for record in listed_records])

    def _get(self, request: Request, exchange: Exchange, record: Record, view: View) -> None:
        """Reply with a record that has its final answer; otherwise wait for the answer if the client requests that.

        Raises `ApiError` without a final answer if the client does not wait or the activation is not resumed yet.
        """
        if record.visible:
            record.fetched = True
            reply_json(exchange, view(record))
            return
        wait_ms = parse_number(request.query, "wait", 0, self._max_wait_ms, 0.0)
        invocation = self._context.gateway.in_flight_of(record.id)
        if not wait_ms or invocation is None:
            raise in_flight()
        LongPoll(self._context, exchange, invocation, view).start(wait_ms)

    def _cancel(self, exchange: Exchange, record: Record) -> None:
        """Cancel a request that cannot leave a partial effect: it is idempotent, or no attempt may have run.

        Raises `ApiError` for any other request, and if the activation has its final answer or is not resumed yet.
        """
        invocation = self._context.gateway.in_flight_of(record.id)
        if record.final or invocation is None:
            message = "The activation has its final answer, or is being resumed; nothing was cancelled."
            raise ApiError(HTTPStatus.CONFLICT, message)
        may_have_run = any(attempt.may_have_run for attempt in invocation.request.attempts)
        if may_have_run and record.idempotency != Idempotency.IDEMPOTENT.value:
            message = "The activation may have run; cancelling would not undo its effect."
            raise ApiError(HTTPStatus.CONFLICT, message)
        self._context.cancel(invocation)
        exchange.reply(HTTPStatus.ACCEPTED, views.encode({"activationId": record.id}))

    # Activations of other dispatchers.

    def _find_at_other_dispatchers(self, request: Request, exchange: Exchange, id_: str) -> None:
        """Redirect a request for an activation without a record here, or reply with an error.  Raises `ApiError`."""
        lookup = self._context.activation_lookup
        # A record that exists here belongs to another namespace.
        if lookup is None or self._context.gateway.records.has(id_):
            raise self._error_by_issuer(request, id_)
        lookup.find(id_, partial(_reply_after_lookup, request, exchange, self._context.error_code()))

    def _error_by_issuer(self, request: Request, id_: str) -> ApiError:
        """Return a redirect to the dispatcher that the prefix of the id identifies.

        Return an error instead if that is this dispatcher or an unknown one.
        """
        if id_[:ID_PREFIX_DIGITS] == self._context.boot[:ID_PREFIX_DIGITS]:
            message = "The requested resource does not exist: its record is not, or no longer, kept here."
            return ApiError(HTTPStatus.NOT_FOUND, message)
        peer = self._context.gateway.members.issuer_of(id_)
        if peer is None:
            message = "This dispatcher does not know the activation; whoever gave the id may."
            return ApiError(HTTPStatus.NOT_FOUND, message)
        return redirect(f"The activation was given by {peer.name}; ask there.", peer.address, request.target)


def _view(parts: list[str]) -> View:
    """Return the view of a record for the path segments after its id.  Raises `ApiError`."""
    if not parts:
        return views.activation
    if parts == ["result"]:
        return views.result
    if parts == ["logs"]:
        return views.logs
    raise not_found()


def _reply_after_lookup(request: Request, exchange: Exchange, code: str, address: str | None) -> None:
    if not exchange.replied and not exchange.client_gone:
        reply_error(exchange, _lookup_error(request, address), code)


def _lookup_error(request: Request, address: str | None) -> ApiError:
    """Return the reply to a request for an activation after its lookup.

    `address` has the values that `ActivationLookup.find` passes to `on_result`.
    """
    if address:
        return redirect(f"The activation is at {address} now; ask there.", address, request.target)
    if address is None:
        return ApiError(HTTPStatus.NOT_FOUND, LOST_MESSAGE)
    return ApiError(HTTPStatus.NOT_FOUND, NOT_KNOWN_YET_MESSAGE, RETRY_SOON_HEADERS, known="not-yet")
