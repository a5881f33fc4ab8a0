"""Functions that send the replies of the invoke API."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import Any

from kelptrail.dispatch.entities import FinalStatus
from kelptrail.gateway.records import Record
from kelptrail.net.server import Exchange

from . import views
from .errors import ApiError

ACTIVATION_ID_HEADER = "x-openwhisk-activation-id"
REJECTED_MESSAGE = "The call was rejected before it had any effect that a repeat would double; try again later."


def retry_after_seconds(retry_after_ms: float) -> str:
    """Return the value of a `retry-after` header: full seconds, rounded up, at least one."""
    return str(max(1, math.ceil(retry_after_ms / 1000)))


def reply_json(exchange: Exchange, value: Any) -> None:
    """Reply with status 200 and a value as JSON."""
    exchange.reply(HTTPStatus.OK, views.encode(value))


def reply_error(exchange: Exchange, error: ApiError, code: str) -> None:
    """Reply with an error; `code` is the field `code` of the body.

    It is usually `InvokeContext.error_code()`, taken when the reply is sent.  It then contains the number of requests
    so far: in a late reply, this is the number of a later request.
    """
    exchange.reply(error.status, views.error(str(error), code, **error.details), error.headers)


def reply_final(exchange: Exchange, record: Record, result_only: bool, code: str) -> None:
    """Reply with the final answer of an activation.

    The client of a deferred request receives it instead of the activation id if the activation ended before the id was
    sent.  With `result_only`, the body contains only the result, except for a rejection.
    """
    headers = {ACTIVATION_ID_HEADER: record.id}
    if record.answer == FinalStatus.REJECTED:
        if record.retry_after_ms > 0:
            headers["retry-after"] = retry_after_seconds(record.retry_after_ms)
        details = {"activationId": record.id} | views.final_answer(record)
        reply_error(exchange, ApiError(HTTPStatus.TOO_MANY_REQUESTS, REJECTED_MESSAGE, headers, **details), code)
        return
    status = HTTPStatus.OK if record.code == 0 else HTTPStatus.BAD_GATEWAY
    body = record.result if result_only else views.encode(views.activation(record))
    exchange.reply(status, body, headers)
