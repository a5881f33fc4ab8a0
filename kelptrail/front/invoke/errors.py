"""Error replies of the invoke API: status, body `{"error", "code"}` and headers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

RETRY_SOON = {"retry-after": "1"}  # seconds
IN_FLIGHT = "The activation is in hand and has no result yet."
NOT_DURABLE = "The call could not be kept safe and was not taken."


class ApiError(Exception):
    """A request that is answered with an error; `details` are further fields of the body."""

    def __init__(self, status: HTTPStatus, message: str, headers: dict[str, str] | None = None, **details: Any) -> None:
        super().__init__(message)
        self.status, self.headers, self.details = status, headers, details


def not_found() -> ApiError:
    """No such path, action or part of an activation."""
    return ApiError(HTTPStatus.NOT_FOUND, "The requested resource does not exist.")


def method_not_allowed(allowed: tuple[str, ...]) -> ApiError:
    """The path exists, and has other methods."""
    message = f"Only {' and '.join(allowed)} can be used here."
    return ApiError(HTTPStatus.METHOD_NOT_ALLOWED, message, {"allow": ", ".join(allowed)})


def unauthenticated() -> ApiError:
    """The credentials are missing or invalid."""
    message = "The supplied authentication is invalid."
    return ApiError(HTTPStatus.UNAUTHORIZED, message, {"www-authenticate": 'Basic realm="kelptrail"'})


def forbidden() -> ApiError:
    """The path belongs to another namespace."""
    message = "The supplied authentication is not authorized to access this resource."
    return ApiError(HTTPStatus.FORBIDDEN, message)


def invalid(message: str) -> ApiError:
    """A malformed parameter, header or body."""
    return ApiError(HTTPStatus.BAD_REQUEST, message)


def unavailable(message: str) -> ApiError:
    """The request was not accepted, and may be retried soon."""
    return ApiError(HTTPStatus.SERVICE_UNAVAILABLE, message, RETRY_SOON)


def in_flight() -> ApiError:
    """The activation has no result yet (as specified: no record until there is one)."""
    return ApiError(HTTPStatus.NOT_FOUND, IN_FLIGHT, RETRY_SOON)


def moved(message: str, address: str, target: str) -> ApiError:
    """Another dispatcher answers this request; `address` is its host and port."""
    return ApiError(HTTPStatus.TEMPORARY_REDIRECT, message, {"location": f"http://{address}{target}"})
