"""Structured logs on standard error: JSON lines, or readable lines on a terminal.

Warnings and errors are rate limited by event: lines beyond the limit in a window of time are dropped and counted, and
the first line after the window contains their number.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import msgspec
import structlog

from kelptrail.clock import now_ms


class WarningLimiter:
    """A structlog processor that passes at most `max_lines` warnings or errors of one event in `window_ms`."""

    def __init__(self, max_lines: int = 20, window_ms: float = 10_000.0) -> None:
        self._max_lines, self._window_ms = max_lines, window_ms
        self._windows: dict[str, tuple[float, int]] = {}  # start of the window and number of lines in it, by event

    def __call__(self, _logger: Any, level: str, fields: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Return the line's fields; `left_out` is the number of lines dropped in the last window, if any were.

        Raises `DropEvent` beyond the limit.
        """
        if level not in ("warning", "error"):
            return fields
        event = str(fields.get("event"))
        now = now_ms()
        started, count = self._windows.get(event, (now, 0))
        if now - started > self._window_ms:
            if count > self._max_lines:
                fields["left_out"] = count - self._max_lines
            started, count = now, 0
        self._windows[event] = (started, count + 1)
        if count >= self._max_lines:
            raise structlog.DropEvent
        return fields


def _render_json(_logger: Any, _level: str, fields: MutableMapping[str, Any]) -> str:
    return msgspec.json.encode(fields, enc_hook=str).decode()


def configure_logging(level: str = "info", form: str = "auto", **bound: Any) -> Any:
    """Configure logging and return a logger with the fields `bound` in every line.

    `form`: "json", "text", or "auto" for text on a terminal and else JSON.
    """
    text = form == "text" or (form == "auto" and sys.stderr.isatty())
    render: Any = structlog.dev.ConsoleRenderer() if text else _render_json
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            WarningLimiter(),
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(**bound)
