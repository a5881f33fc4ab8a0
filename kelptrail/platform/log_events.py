"""Names of the log events of this program; `docs/ops/platform.md` describes what an operator does about each.

`bench/fault_injection/soak_checks.py` looks for lines of `UNEXPECTED_ERROR` and of the engine's event `invariant
violated`, which is not listed here.
"""

from __future__ import annotations

from typing import Final

ATTEMPT_CANCELLED: Final = "attempt cancelled"
ATTEMPT_NOT_STARTED: Final = "attempt not started"
CANNOT_LISTEN: Final = "cannot listen yet"
CANCELLED_FOR_DRAIN: Final = "cancelled for drain"
CLIENT_CONNECTION_CLOSED: Final = "connection closed"
CONFIGURATION: Final = "configuration"
CONFIGURATION_INCOMPLETE: Final = "configuration incomplete"
CONFIGURATION_KEPT: Final = "configuration kept"
ENDPOINT_LIST: Final = "list"
FEED_HEARD_AGAIN: Final = "feed heard again"
FEED_SILENT: Final = "feed silent"
FEED_SLOW_TO_CONNECT: Final = "feed slow to connect"
FEED_UNREACHABLE: Final = "feed unreachable"
FEED_UNREADABLE: Final = "feed unreadable"
READINESS_DENIED: Final = "worker did not prove readiness"
READINESS_KNOWN: Final = "workers known by the list again"
READINESS_QUESTION: Final = "readiness question"
READINESS_UNKNOWN: Final = "endpoint list too old for new work"
REQUEST_FAILED: Final = "request failed"
REQUEST_REFUSED: Final = "request refused"
RETRY: Final = "retry"
SHUTTING_DOWN: Final = "shutting down"
STATE: Final = "state"
UNEXPECTED_ERROR: Final = "failed"
WALL_CLOCK_STEPPED: Final = "wall clock stepped"
WORKER_CONNECT_FAILED: Final = "worker connect failed"
WORKER_STALLED: Final = "worker stalled in an answer"
WORKER_STATE: Final = "worker state"
WORKER_UNREADABLE: Final = "worker unreadable"
