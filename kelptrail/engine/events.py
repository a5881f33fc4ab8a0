"""Events that callers pass to the engine; request classes and tenants are objects, not their forms on the wire."""

from __future__ import annotations

from dataclasses import dataclass

from kelptrail.dispatch.entities import RequestClass, Tenant


@dataclass(slots=True)
class RequestArrival:
    """A request that arrived.  Times are milliseconds; None if the client did not provide the value."""

    id: str
    request_class: RequestClass
    tenant: Tenant | None
    function_id: str
    timeout_ms: float  # time within which the request gets its final answer
    memory_mb: float  # memory of one instance of the function
    concurrency: int  # number of slots of one instance
    load_ms: float | None  # usual duration of a load of the function
    work_ms: float | None  # estimated work of the request
    client: object | None = None  # the connection of the client; None: not known
