"""Parsing and validation of requests to the invoke API.  Malformed input raises `ApiError`."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

import msgspec

from kelptrail.codec.events import CONTENT_TYPE as EVENT_STREAM
from kelptrail.codec.http import Request
from kelptrail.front.idempotency import MAX_KEY_LENGTH, is_valid_key

from .errors import ApiError, invalid, method_not_allowed

DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE = 30, 200
MAX_SKIP = 1e9
SHOWN_CHARACTERS = 40  # Maximum length of a malformed value in an error message
# The range check converts at most this many leading digits.  A longer number that does not start with a zero is beyond
# every range anyway.
MAX_CONVERTED_DIGITS = 18
# Accepted content types; with either one the body is parsed as JSON.
BODY_TYPES = ("application/json", "application/x-www-form-urlencoded")


class Page(NamedTuple):
    """Range of the entries of a list in a reply."""

    limit: int
    skip: int


def check_method(request: Request, *allowed: str) -> None:
    """Check that the path supports the request's method.  Raises `ApiError`."""
    if request.method not in allowed:
        raise method_not_allowed(allowed)


def parse_flag(query: dict[str, str], name: str) -> bool:
    """Return a boolean query parameter; False if it is absent."""
    value = query.get(name, "false").lower()
    if value not in ("true", "false"):
        raise invalid(f"The query parameter '{name}' is true or false, not '{value[:SHOWN_CHARACTERS]}'.")
    return value == "true"


def parse_number(query: dict[str, str], name: str, minimum: float, maximum: float, default: float) -> float:
    """Return a query parameter that is a whole number in a range; `default` if it is absent."""
    if name not in query:
        return default
    text = query[name]
    if not text.isascii() or not text.isdigit() or not minimum <= int(text[:MAX_CONVERTED_DIGITS]) <= maximum:
        raise invalid(
            f"The query parameter '{name}' is a whole number from {minimum:.0f} to {maximum:.0f}, "
            f"not '{text[:SHOWN_CHARACTERS]}'."
        )
    return float(text)


def parse_page(query: dict[str, str]) -> Page:
    """Return the query parameters `limit` (0 stands for the maximum) and `skip`."""
    limit = int(parse_number(query, "limit", 0, MAX_PAGE_SIZE, DEFAULT_PAGE_SIZE))
    skip = int(parse_number(query, "skip", 0, MAX_SKIP, 0))
    return Page(limit or MAX_PAGE_SIZE, skip)


def read_json_object(request: Request) -> bytes:
    """Check that the body is a JSON object and return it unchanged; `{}` if it is empty."""
    if not request.body:
        return b"{}"
    content_type = request.headers.get("content-type", BODY_TYPES[0]).partition(";")[0].strip().lower()
    if content_type not in BODY_TYPES:
        raise ApiError(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, "The body is application/json.")
    try:
        request.body.decode()
        value = msgspec.json.decode(request.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as cause:
        raise invalid(f"The request content was malformed: {cause}") from None
    if not isinstance(value, dict):
        raise invalid("The request content was malformed: a JSON object is expected.")
    return request.body


def read_idempotency_key(request: Request) -> str | None:
    """Return the `idempotency-key` header, or None if it is absent."""
    key = request.headers.get("idempotency-key")
    if key is not None and not is_valid_key(key):
        raise invalid(f"An Idempotency-Key has 1 to {MAX_KEY_LENGTH} characters.")
    return key


def wants_event_stream(request: Request, blocking: bool, key: str | None) -> bool:
    """Return whether the client requests its answer as a stream of server-sent events."""
    if EVENT_STREAM not in request.headers.get("accept", ""):
        return False
    if key is not None or not blocking:
        raise invalid("A streamed call is blocking and takes no Idempotency-Key.")
    if request.version == "1.0":
        raise ApiError(HTTPStatus.NOT_ACCEPTABLE, "HTTP/1.0 has no streamed answers.")
    return True
