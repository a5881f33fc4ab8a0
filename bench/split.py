"""Breaks down the CPU time of an activation by component: `python bench/split.py [TOTAL_US]`.

Times the codecs, the dispatcher and the rest of the gateway core in one process.  TOTAL_US is the total CPU time of an
activation from `bench/overhead.py`; the remainder is attributed to sockets, event loop and gateway driver.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Callable

from kelptrail.codec.http import RequestReader, ResponseReader, encode_request, encode_response
from kelptrail.codec.infer import infer_answer, infer_request, read_answer
from kelptrail.dispatch.attempt_results import AttemptResult
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder, Request
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import FinalAnswer, StartAttempt, StartLoad
from kelptrail.membership.members import Endpoint, EndpointList
from kelptrail.settings.deployment import parse

DEPLOYMENT = """(deployment bench
  (type t (effect repeatable) (target-ms 5000) (timeout-ms 10000))
  (namespace n (uuid "00000000-0000-0000-0000-000000000001") (key "k"))
  (action f (type t) (memory-mb 1) (lanes 64))
  (rules (cold-ms 0) (free-loads 1000)) (dispatcher (records 5000)))
"""
LOAD_REPORT = {"endpoint-load-metrics": "TEXT cpu_utilization=0.3, named_metrics.x1=0, named_metrics.found=1"}
ACTIVATION_ID = "m" * 32
BODY = b'{"family":7}'
ARRIVAL_INTERVAL_MS, RUN_MS, TICK_MS = 0.3, 0.2, 100
REQUEST_DEADLINE_MS = 9950  # from arrival: `timeout-ms` of DEPLOYMENT, less 50 ms for the answer
COMPLETED_WARM = AttemptResult(AttemptStatus.COMPLETED, request_done=True, warm=True)


def median_us(run: Callable[[], None], times: int = 20_000, rounds: int = 5) -> float:
    """Return the CPU time of a call in microseconds, as the median of several rounds."""
    results = []
    for _ in range(rounds):
        start = time.process_time()
        for _ in range(times):
            run()
        results.append((time.process_time() - start) / times * 1e6)
    return round(statistics.median(results), 1)


def new_gateway(parts: DispatcherParts) -> Gateway:
    """Create a gateway and register two workers in `parts.dispatcher`; return the gateway."""
    gateway = Gateway(parts, "b" * 16)
    endpoints = [Endpoint(f"w{n}", f"h:{n}", incarnation="1") for n in range(2)]
    gateway.on_endpoints(0.0, EndpointList(1, endpoints, "x"))
    return gateway


def codecs() -> Callable[[], None]:
    """Return a function that encodes and decodes all messages of one activation."""
    target, headers = "/api/v1/namespaces/_/actions/f?blocking=true", {"authorization": "Basic " + "x" * 60}
    request = encode_request("POST", target, "x", BODY, headers)
    answer = encode_response(200, infer_answer("f", ACTIVATION_ID, BODY.decode(), True), LOAD_REPORT)
    request_reader, response_reader = RequestReader(16_384, 1 << 20), ResponseReader(1 << 20)

    def run() -> None:
        request_reader.feed(request)
        infer_request("127.0.0.1:1", "f", ACTIVATION_ID, BODY, {"dispatcher": "d", "send": 0}, {})
        response = response_reader.feed(answer)
        assert response is not None
        read_answer(response, ACTIVATION_ID)
        encode_response(200, BODY, {"x-openwhisk-activation-id": ACTIVATION_ID})

    return run


def gateway_core() -> Callable[[], None]:
    """Return a function that passes one activation through the gateway core, from acceptance to its final answer."""
    deployment = parse(DEPLOYMENT, "bench")
    gateway = new_gateway(DispatcherParts(deployment, zone="hall", seed=1))
    action, clock = deployment.actions["f"], [0.0]

    def run() -> None:
        clock[0] += ARRIVAL_INTERVAL_MS
        now = clock[0]
        gateway.submit(now, now, Submission("n", action, b"{}"))
        while (effect := gateway.next_effect(now)) is not None:
            if isinstance(effect, StartAttempt):
                gateway.on_attempt_finished(now + RUN_MS, effect.attempt, AttemptStatus.COMPLETED)
            elif isinstance(effect, StartLoad):
                gateway.on_load_report(now, effect.order, AttemptStatus.COMPLETED, effect.order.count)
            else:
                assert isinstance(effect, FinalAnswer)

    return run


def dispatcher_alone() -> Callable[[], None]:
    """Return a function that passes one request through the dispatcher alone, with a tick every `TICK_MS`."""
    parts = DispatcherParts(parse(DEPLOYMENT, "bench"), zone="hall", seed=1)
    dispatcher, function = parts.dispatcher, parts.function("f")
    new_gateway(parts)  # registers the workers in `dispatcher`
    clock, last_tick = [0.0], [0.0]

    def run() -> None:
        clock[0] += ARRIVAL_INTERVAL_MS
        now = clock[0]
        if now - last_tick[0] >= TICK_MS:
            last_tick[0] = now
            dispatcher.on_tick(now)
        request = Request("a", function.request_class, function, parts.tenants["n"], now, now + REQUEST_DEADLINE_MS)
        dispatcher.on_request(now, request)
        while (decision := dispatcher.decide(now)) is not None:
            if isinstance(decision, Attempt):
                dispatcher.on_attempt_finished(now + RUN_MS, decision, COMPLETED_WARM)
            elif isinstance(decision, LoadOrder):
                dispatcher.on_load_report(now, decision, AttemptStatus.COMPLETED, decision.count)

    return run


def main() -> None:
    codecs_us, core_us, dispatcher_us = median_us(codecs()), median_us(gateway_core()), median_us(dispatcher_alone())
    report = {
        "parsing_us": codecs_us,  # decoding and encoding
        "decisions_us": dispatcher_us,
        "gateway_core_us": round(core_us - dispatcher_us, 1),  # without the dispatcher
    }
    if len(sys.argv) > 1:
        report["sockets_loop_driver_us"] = round(float(sys.argv[1]) - codecs_us - core_us, 1)
    print(json.dumps(report))


if __name__ == "__main__":
    main()
