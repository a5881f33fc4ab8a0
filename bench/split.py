"""Splits the CPU of an activation: `python bench/split.py [TOTAL_US]`.

Times codecs, decisions and the rest of the gateway core in one process; given the whole CPU of an activation (from
`bench/overhead.py`), the remainder is sockets, loop and driver.
"""

from __future__ import annotations

import json
import statistics
import sys
import time
from collections.abc import Callable

from kelptrail.codec.http import RequestReader, ResponseReader, encode_request, encode_response
from kelptrail.codec.infer import infer_answer, infer_request, read_answer
from kelptrail.dispatch.entities import Attempt, AttemptStatus, LoadOrder, Request
from kelptrail.gateway.admission import Submission
from kelptrail.gateway.build import DispatcherParts
from kelptrail.gateway.core import Gateway
from kelptrail.gateway.effects import FinalAnswer, StartAttempt, StartLoad
from kelptrail.membership.members import Endpoint, EndpointList
from kelptrail.settings.deployment import parse

TEXT = """(deployment bench
  (type t (effect repeatable) (target-ms 5000) (timeout-ms 10000))
  (namespace n (uuid "00000000-0000-0000-0000-000000000001") (key "k"))
  (action f (type t) (memory-mb 1) (lanes 64))
  (rules (cold-ms 0) (free-loads 1000)) (dispatcher (records 5000)))
"""
REPORT = {"endpoint-load-metrics": "TEXT cpu_utilization=0.3, named_metrics.x1=0, named_metrics.found=1"}


def median_us(run: Callable[[], None], times: int = 20_000, rounds: int = 5) -> float:
    """Microseconds a call, the median of several rounds."""
    out = []
    for _ in range(rounds):
        began = time.process_time()
        for _ in range(times):
            run()
        out.append((time.process_time() - began) / times * 1e6)
    return round(statistics.median(out), 1)


def codecs() -> Callable[[], None]:
    """All bytes of one activation, both ways."""
    request = encode_request(
        "POST",
        "/api/v1/namespaces/_/actions/f?blocking=true",
        "x",
        b'{"family":7}',
        {"authorization": "Basic " + "x" * 60},
    )
    answer = encode_response(200, infer_answer("f", "m" * 32, '{"family":7}', True), REPORT)
    door, back = RequestReader(16_384, 1 << 20), ResponseReader(1 << 20)

    def run() -> None:
        door.feed(request)
        infer_request("127.0.0.1:1", "f", "m" * 32, b'{"family":7}', {"dispatcher": "d", "send": 0}, {})
        response = back.feed(answer)
        assert response is not None
        read_answer(response, "m" * 32)
        encode_response(200, b'{"family":7}', {"x-openwhisk-activation-id": "m" * 32})

    return run


def core() -> Callable[[], None]:
    """One activation through the gateway core: taken, sent, answered, ended."""
    deployment = parse(TEXT, "bench")
    gateway = Gateway(DispatcherParts(deployment, "hall", 1), "b" * 16)
    gateway.on_endpoints(0.0, EndpointList(1, [Endpoint(f"w{n}", f"h:{n}", incarnation="1") for n in range(2)], "x"))
    action, clock = deployment.actions["f"], [0.0]

    def run() -> None:
        clock[0] += 0.3
        now = clock[0]
        gateway.submit(now, now, Submission("n", action, b"{}"))
        while (effect := gateway.next_effect(now)) is not None:
            if isinstance(effect, StartAttempt):
                gateway.on_attempt_finished(now + 0.2, effect.attempt, AttemptStatus.COMPLETED)
            elif isinstance(effect, StartLoad):
                gateway.on_load_report(now, effect.order, AttemptStatus.COMPLETED, effect.order.count)
            else:
                assert isinstance(effect, FinalAnswer)

    return run


def module() -> Callable[[], None]:
    """The same through the module alone."""
    world = DispatcherParts(parse(TEXT, "bench"), "hall", 1)
    dispatcher, function = world.dispatcher, world.function("f")
    gateway = Gateway(world, "b" * 16)
    gateway.on_endpoints(0.0, EndpointList(1, [Endpoint(f"w{n}", f"h:{n}", incarnation="1") for n in range(2)], "x"))
    clock, beat = [0.0], [0.0]

    def run() -> None:
        clock[0] += 0.3
        now = clock[0]
        if now - beat[0] >= 100:
            beat[0] = now
            dispatcher.on_tick(now)
        act = Request("a", function.request_class, function, world.tenants["n"], now, now + 9950)
        dispatcher.on_request(now, act)
        while (decision := dispatcher.decide(now)) is not None:
            if isinstance(decision, Attempt):
                dispatcher.on_attempt_finished(now + 0.2, decision, AttemptStatus.COMPLETED, True, False, True, 0, None)
            elif isinstance(decision, LoadOrder):
                dispatcher.on_load_report(now, decision, AttemptStatus.COMPLETED, decision.count)

    return run


def main() -> None:
    parse_us, core_us, module_us = median_us(codecs()), median_us(core()), median_us(module())
    out = {"parsing_us": parse_us, "decisions_us": module_us, "gateway_core_us": round(core_us - module_us, 1)}
    if len(sys.argv) > 1:
        out["sockets_loop_driver_us"] = round(float(sys.argv[1]) - parse_us - core_us, 1)
    print(json.dumps(out))


if __name__ == "__main__":
    main()
