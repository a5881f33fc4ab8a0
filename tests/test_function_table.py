"""The functions that a dispatcher knows are bounded, and a flood of unknown ids displaces no function of others."""

from __future__ import annotations

from helpers import AMPLE_LOADS, complete, decide_all, load_and_serve_one, make_dispatcher, make_function, new_request
from platform_fixture import SETTINGS, PlatformFixture, WorkerStub, echo, run

from kelptrail.codec import frames
from kelptrail.dispatch.entities import Attempt, FinalStatus, Function, LoadOrder, Request, TerminationReason
from kelptrail.dispatch.function_table import (
    BYTES_PER_WORKER,
    FUNCTION_BYTES,
    FUNCTION_LIFETIME_MS,
    FunctionLimits,
    FunctionTable,
    limits_for_memory,
)
from kelptrail.engine.engine import Engine
from kelptrail.engine.events import RequestArrival

CLIENT_A, CLIENT_B = object(), object()
MAX_OPEN = 32  # open requests of a connection


def make_table(unproven: int, proven: int = 1000, max_clients: int = 10) -> FunctionTable:
    """Return a table for these numbers of functions, without workers."""
    return FunctionTable(FunctionLimits(unproven * FUNCTION_BYTES, proven * FUNCTION_BYTES, max_clients))


def arrive(table: FunctionTable, name: str, client: object = CLIENT_A, now: float = 0.0) -> Request | None:
    """Return a request for a new function that waits in its queue, or None if the table does not accept it."""
    request = new_request(make_function(name), now)
    request.client = client
    if not table.accepts(request, 0):
        return None
    table.add(request, 0)
    request.function.arrivals[request] = None
    request.function.last_request_at = now
    return request


def end(table: FunctionTable, request: Request) -> None:
    request.function.arrivals.clear()
    request.final_status = FinalStatus.REJECTED
    table.on_request_ended(request)


# Guards against a dispatcher that is killed over its memory limit by requests with ever new function ids.
def test_ids_that_no_worker_knows_do_not_grow_the_memory() -> None:
    async def main() -> None:
        async with PlatformFixture(WorkerStub(echo), memory_mb=64) as fixture:
            usual, bad = await fixture.client(), await fixture.client()
            usual.send_request(1)
            assert await usual.answer_code() == frames.SERVED
            for batch in range(250):
                for stream in range(MAX_OPEN):
                    number = batch * MAX_OPEN + stream + 1
                    bad.send_request(number, txn=f"{number:016x}", item=f"{number:016x}", limit="5")
                for _ in range(MAX_OPEN):
                    assert await bad.answer_code() in (frames.REFUSED, frames.FAILED)
            known = fixture.service.engine.functions
            assert len(known) * FUNCTION_BYTES <= 64 * 2**20 / 16 + FUNCTION_BYTES, len(known)
            usual.send_request(2)
            assert await usual.answer_code() == frames.SERVED, "a usual client's function stays known"

    run(main())


# Guards against the same growth with a long limit: the functions wait for loads, and none of them may be removed.
def test_ids_in_use_are_bounded_for_each_client_and_in_all() -> None:
    clients = [object() for _ in range(200)]
    engine = Engine(1, SETTINGS, function_limits=limits_for_memory(64, len(clients) + 1))
    request_class, tenant = engine.request_classes[0], engine.tenants[0]

    def send(number: int, client: object) -> Request:
        arrival = RequestArrival(
            f"{number:016x}", request_class, tenant, f"{number:016x}", 2000.0, 512.0, 2, None, None, client
        )
        return engine.on_request(0.0, arrival)

    requests = [send(n * MAX_OPEN + k, client) for n, client in enumerate(clients) for k in range(MAX_OPEN)]
    capacity = 64 * 2**20 / 16 / FUNCTION_BYTES
    assert len(engine.functions) <= capacity
    late_client = object()
    late = [send(10**6 + n, late_client) for n in range(2)]
    assert not any(request.final_status for request in late), "a client that keeps none in use is accepted"
    ended = []
    while (decision := engine.decide(0.0)) is not None:
        if isinstance(decision, Request):
            ended.append(decision)
    rejected = {request for request in requests if request.reason is TerminationReason.TOO_MANY_FUNCTIONS}
    assert rejected <= set(ended) and len(set(ended)) == len(ended), "each has one final answer"
    assert all(request.final_status is FinalStatus.REJECTED for request in rejected)
    assert len(rejected) + len(engine.functions) >= len(requests)


def test_a_client_gets_a_share_of_what_is_free_and_regains_it_when_its_requests_end() -> None:
    table = make_table(160, max_clients=20)
    held = [request for n in range(40) if (request := arrive(table, f"a{n}")) is not None]
    assert 8 <= len(held) <= 10, "an eighth of those that are free and for all"
    assert arrive(table, "b0", CLIENT_B) is not None
    assert arrive(table, "a again") is None
    end(table, held[0])
    assert arrive(table, "a later") is not None
    for request in held[1:]:
        end(table, request)
        end(table, request)  # a second report changes nothing
    more = [request for n in range(40) if (request := arrive(table, f"c{n}")) is not None]
    assert 8 <= len(more) <= 10


def test_the_least_recently_requested_unused_function_makes_way_and_none_in_use_does() -> None:
    table = make_table(40)
    waiting = arrive(table, "waiting")
    assert waiting is not None
    for n in range(200):
        request = arrive(table, f"f{n}", object())
        assert request is not None
        end(table, request)
    assert len(table) == 40 and waiting.function in table


def test_proven_functions_are_displaced_only_by_proven_ones() -> None:
    table = make_table(10, 5)
    proven = []
    for n in range(7):
        request = arrive(table, f"p{n}", object())
        assert request is not None
        request.function.has_loaded = True
        end(table, request)
        proven.append(request.function)
    for n in range(100):
        request = arrive(table, f"u{n}", object())
        assert request is not None
        end(table, request)
    assert all(function in table for function in proven)
    for function in proven:
        table.add(new_request(function, 1.0), 0)
    assert [function in table for function in proven] == [False] * 2 + [True] * 5


def test_lists_of_workers_count_for_the_memory_of_functions() -> None:
    table = make_table(100)
    workers = 9 * FUNCTION_BYTES // BYTES_PER_WORKER
    for n in range(100):
        request = new_request(make_function(f"f{n}"), 0.0)
        if table.accepts(request, workers):
            table.add(request, workers)
    assert len(table) == 10


def test_expired_functions_are_removed_behind_one_that_is_in_use() -> None:
    table = make_table(1000)
    waiting = arrive(table, "waiting")
    unused = [arrive(table, f"f{n}", object()) for n in range(20)]
    for request in unused:
        assert request is not None
        end(table, request)
    assert not table.remove_expired(FUNCTION_LIFETIME_MS - 1.0)
    assert len(table.remove_expired(FUNCTION_LIFETIME_MS)) == 20
    assert waiting is not None and len(table) == 1 and waiting.function in table


def test_a_removed_function_leaves_no_reference_and_is_loaded_again_on_demand() -> None:
    limits = FunctionLimits(proven_bytes=2 * (FUNCTION_BYTES + 3 * BYTES_PER_WORKER))
    dispatcher = make_dispatcher(3, load_ration=AMPLE_LOADS, function_limits=limits)
    functions: list[Function] = [make_function(f"f{n}") for n in range(3)]
    for n, function in enumerate(functions):
        load_and_serve_one(dispatcher, function, 100.0 * n)
    for n, function in enumerate(functions):
        request = new_request(function, 1000.0 + 100 * n)
        dispatcher.on_request(request.received_at, request)
        for decision in decide_all(dispatcher, request.received_at):
            if isinstance(decision, Attempt):
                complete(dispatcher, decision, request.received_at + 10)
    (removed,) = dispatcher.take_removed_functions()
    assert removed is functions[0] and not removed.instances
    assert not any(removed in worker.instances for worker in dispatcher.workers)
    again = new_request(make_function("f0"), 2000.0)
    dispatcher.on_request(2000.0, again)
    assert [d.instance.function for d in decide_all(dispatcher, 2000.0) if isinstance(d, LoadOrder)] == [again.function]


# Guards against an id that counts as free while a request with it is open: two such requests could run at once.
def test_the_end_of_a_request_that_was_taken_back_leaves_the_next_one_with_its_id_open() -> None:
    engine = Engine(1, SETTINGS, function_limits=FunctionLimits(unproven_bytes=0.0))
    request_class, tenant, client = engine.request_classes[0], engine.tenants[0], object()

    def send(function_id: str) -> Request:
        arrival = RequestArrival("1" * 16, request_class, tenant, function_id, 2000.0, 512.0, 2, None, None, client)
        return engine.on_request(0.0, arrival)

    engine.on_request(
        0.0, RequestArrival("2" * 16, request_class, tenant, "a" * 16, 2000.0, 512.0, 2, None, None, client)
    )
    rejected = send("b" * 16)
    assert rejected.reason is TerminationReason.TOO_MANY_FUNCTIONS
    engine.on_client_gone(rejected)
    following = send("a" * 16)
    while engine.decide(0.0) is not None:
        pass
    assert engine.requests["1" * 16] is following
