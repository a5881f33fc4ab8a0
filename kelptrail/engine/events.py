"""Events of the engine's callers, with the entities of the settings in place of their wire forms."""

from __future__ import annotations

from dataclasses import dataclass

from kelptrail.dispatch.entities import RequestClass, Tenant


@dataclass(slots=True)
class RequestArrival:
    """A request that arrived.  Times are milliseconds; None where the client did not give a figure."""

    id: str
    request_class: RequestClass
    tenant: Tenant | None
    function_id: str
    timeout_ms: float  # it gets a final answer within this time
    memory_mb: float  # of one instance of the function
    concurrency: int  # slots of one instance
    load_ms: float | None
    work_ms: float | None
