"""Error replies and redirects of the invoke API: status, message, headers and additional fields of the body.

`replies.reply_error` sends them and adds the field `code`, which identifies the request.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

RETRY_SOON_HEADERS = {"retry-after": "1"}  # In seconds
# Fixed texts of the API.  "In hand" means accepted but without a final answer, "kept safe" stored durably, and "taken"
# accepted.
IN_FLIGHT_MESSAGE = "The activation is in hand and has no result yet."
NOT_DURABLE_MESSAGE = "The call could not be kept safe and was not taken."


class ApiError(Exception):
    """Error reply to a request; `details` are additional fields of the body."""

    def __init__(self, status: HTTPStatus, message: str, headers: dict[str, str] | None = None, **details: Any) -> None:
        super().__init__(message)
        self.status, self.headers, self.details = status, headers, details


def not_found() -> ApiError:
    """Return the error for a path, action or part of an activation that does not exist."""
    return ApiError(HTTPStatus.NOT_FOUND, "The requested resource does not exist.")


def method_not_allowed(allowed: tuple[str, ...]) -> ApiError:
    """Return the error for a method that the path does not support."""
    message = f"Only {' and '.join(allowed)} can be used here."
    return ApiError(HTTPStatus.METHOD_NOT_ALLOWED, message, {"allow": ", ".join(allowed)})


def unauthenticated() -> ApiError:
    """Return the error for missing or invalid credentials."""
    message = "The supplied authentication is invalid."
    return ApiError(HTTPStatus.UNAUTHORIZED, message, {"www-authenticate": 'Basic realm="kelptrail"'})


def forbidden() -> ApiError:
    """Return the error for a path that belongs to another namespace."""
    message = "The supplied authentication is not authorized to access this resource."
    return ApiError(HTTPStatus.FORBIDDEN, message)


def invalid(message: str) -> ApiError:
    """Return the error for a malformed parameter, header or body."""
    return ApiError(HTTPStatus.BAD_REQUEST, message)


def unavailable(message: str) -> ApiError:
    """Return the error for a request that was not accepted and may be retried soon."""
    return ApiError(HTTPStatus.SERVICE_UNAVAILABLE, message, RETRY_SOON_HEADERS)


def in_flight() -> ApiError:
    """Return the error for an activation without a result.

    The status is 404, because in the API's specification an activation has no record before its result.
    """
    return ApiError(HTTPStatus.NOT_FOUND, IN_FLIGHT_MESSAGE, RETRY_SOON_HEADERS)


def redirect(message: str, address: str, target: str) -> ApiError:
    """Return the redirect to the dispatcher that answers this request; `address` is its host and port."""
    return ApiError(HTTPStatus.TEMPORARY_REDIRECT, message, {"location": f"http://{address}{target}"})
