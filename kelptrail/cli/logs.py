"""Structured logs on standard error: a JSON line each, or readable lines on a terminal.

Warnings of one kind are bounded: past a number in a span they are counted and told once, at the span's end.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import msgspec
import structlog

from kelptrail.clock import now_ms


class Bounded:
    """A processor that lets `most` warnings of one event through in `span_ms`."""

    def __init__(self, most: int = 20, span_ms: float = 10_000.0) -> None:
        self._most, self._span_ms = most, span_ms
        self._seen: dict[str, tuple[float, int]] = {}

    def __call__(self, _logger: Any, level: str, fields: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """The line's fields, with the number left out before; raises `DropEvent` past the limit."""
        if level not in ("warning", "error"):
            return fields
        event = str(fields.get("event"))
        now = now_ms()
        since, count = self._seen.get(event, (now, 0))
        if now - since > self._span_ms:
            if count > self._most:
                fields["left_out"] = count - self._most
            since, count = now, 0
        self._seen[event] = (since, count + 1)
        if count >= self._most:
            raise structlog.DropEvent
        return fields


def _write_json(_logger: Any, _level: str, fields: MutableMapping[str, Any]) -> str:
    return msgspec.json.encode(fields, enc_hook=str).decode()


def set_up(level: str = "info", form: str = "auto", **bound: Any) -> Any:
    """Configure logging once; returns a logger with `bound` in every line.  `form`: auto, json or text."""
    text = form == "text" or (form == "auto" and sys.stderr.isatty())
    render: Any = structlog.dev.ConsoleRenderer() if text else _write_json
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            Bounded(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(**bound)
