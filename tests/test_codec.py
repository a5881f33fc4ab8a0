"""Codecs without I/O: HTTP messages split at any position, the inference protocol, load reports."""

import random

import pytest

from kelptrail.codec.http import HttpError, Request, RequestReader, ResponseReader, encode_request, encode_response
from kelptrail.codec.infer import (
    MalformedError,
    infer_answer,
    infer_request,
    read_answer,
    read_infer,
    read_load,
    read_load_report,
    write_report,
)

STREAM = (
    encode_request("POST", "/a/b%20c?x=1&x=2", "h", b'{"k":1}', {"X-One": "1"})
    + b"POST /chunks HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    + encode_request("GET", "/last", "h")
)


@pytest.mark.parametrize("seed", range(20))
def test_requests_are_parsed_wherever_the_stream_is_split(seed: int) -> None:
    rng, reader, parsed = random.Random(seed), RequestReader(4096, 4096), list[Request]()
    offset = 0
    while offset < len(STREAM):
        step = rng.choice((1, 3, 20, 500))
        requests, error = reader.feed(STREAM[offset : offset + step])
        assert error is None
        parsed += requests
        offset += step
    assert [(r.method, r.path, r.body) for r in parsed] == [
        ("POST", "/a/b%20c", b'{"k":1}'),
        ("POST", "/chunks", b"abcde"),
        ("GET", "/last", b""),
    ]
    assert parsed[0].segments == ["a", "b c"] and parsed[0].query == {"x": "2"} and parsed[0].headers["x-one"] == "1"
    assert not reader.partial


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01", 400),
        (b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", 400),
        (b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 99999\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nfff\r\n" + b"a" * 4095, 413),
        (b"GET / HTTP/1.1\r\nx: " + b"a" * 3000 + b"\r\n\r\n", 431),
        (b"GET /" + b"a" * 3000, 431),
        (b"POST / HTTP/1.1\r\nhost: h\r\nexpect: miracles\r\ncontent-length: 1\r\n\r\n", 417),
    ],
)
def test_malformed_and_oversized_requests_fail_with_their_status(data: bytes, status: int) -> None:
    reader = RequestReader(2048, 1024)
    error = None
    for offset in range(0, len(data), 100):
        _, error = reader.feed(data[offset : offset + 100])
        if error is not None:
            break
    assert error is not None and error.status == status


def test_input_after_the_last_request_is_ignored() -> None:
    reader = RequestReader(2048, 1024)
    requests, error = reader.feed(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")
    assert len(requests) == 1 and not requests[0].keep_alive and error is None
    assert reader.feed(b"GET /3 HTTP/1.1\r\n\r\n") == ([], None)


def test_interim_responses_are_skipped_extra_ones_noticed_and_invalid_ones_refused() -> None:
    reader = ResponseReader(100)
    assert reader.feed(b"HTTP/1.1 102 Processing\r\n\r\n") is None
    data = encode_response(200, b"{}", {"a": "b"})
    response = reader.feed(data + data)
    assert response is not None and response.status == 200 and response.headers["a"] == "b" and reader.unexpected_data
    with pytest.raises(HttpError):
        ResponseReader(100).feed(b"garbage\r\n\r\n")
    with pytest.raises(HttpError):
        ResponseReader(10).feed(encode_response(200, b"x" * 50))


def parse(data: bytes) -> Request:
    (request,), _ = RequestReader(1 << 20, 1 << 20).feed(data)
    return request


def respond(status: int, body: bytes, headers: dict[str, str] | None = None):
    return ResponseReader(1 << 20).feed(encode_response(status, body, headers))


def test_an_attempt_and_its_answer_survive_encoding_and_parsing() -> None:
    request = parse(infer_request("h", "m 1", "mark", '{"ñ": 1}'.encode(), {"send": 0}, {"traceparent": "t"}))
    assert request.segments == ["v2", "models", "m 1", "infer"]
    infer, payload = read_infer(request.body)
    assert infer.id == "mark" and payload == '{"ñ": 1}' and infer.parameters == {"send": 0}
    # `found` and `company` become the two fields below; the report keeps the other metrics.
    report = write_report(0.5, x1=2, x0=0.25, found=1, company=3)
    parsed = read_answer(
        respond(200, infer_answer("m 1", "mark", payload, True), {"endpoint-load-metrics": report}), "mark"
    )
    assert (parsed.kind, parsed.result.decode(), parsed.instance_loaded, parsed.other_requests) == (
        "completed",
        payload,
        True,
        3,
    )
    assert parsed.report == {"util": 0.5, "x1": 2.0, "x0": 0.25}


@pytest.mark.parametrize(
    ("status", "body", "headers", "kind"),
    [
        (200, b"not json", {}, "error"),
        (200, infer_answer("m", "another", "{}", True), {}, "error"),
        (200, infer_answer("m", "mark", "not json", True), {}, "error"),
        (500, b"{}", {}, "error"),
        (503, b"{}", {}, "error"),  # a rejection without the header proves nothing
        (503, b"{}", {"never-ran": "full"}, "full"),
        (404, b"{}", {"never-ran": "miss"}, "miss"),
        (404, b"{}", {"never-ran": "full"}, "error"),  # the header does not match the status
    ],
)
def test_only_a_rejection_with_the_header_proves_that_the_attempt_never_ran(status, body, headers, kind) -> None:
    assert read_answer(respond(status, body, headers), "mark").kind == kind


def test_malformed_fields_of_load_reports_are_skipped_and_malformed_load_orders_refused() -> None:
    assert read_load_report("TEXT cpu_utilization=0.4, named_metrics.x1=z, x=nan, eps=1") == {"util": 0.4, "eps": 1.0}
    assert read_load_report("JSON {}") is None and read_load_report(None) is None
    for body in (b"{", b'{"parameters":{"copies":17}}', b'{"parameters":{"copies":true}}'):
        with pytest.raises(MalformedError):
            read_load(body)


def test_many_pipelined_requests_do_not_exceed_the_head_limit_and_an_endless_header_does() -> None:
    reader, data = RequestReader(2048, 1024), encode_request("GET", "/x", "h", b"", {"a": "b" * 500}) * 400
    count = 0
    for offset in range(0, len(data), 8192):
        requests, error = reader.feed(data[offset : offset + 8192])
        count += len(requests)
        assert error is None
    assert count == 400
    reader.feed(b"GET / HTTP/1.1\r\nx: ")
    # Three of these pieces are within the limit of 2,048 bytes, all six exceed it.
    errors = [reader.feed(b"a" * 512)[1] for _ in range(6)]
    assert errors[2] is None and errors[-1] is not None and errors[-1].status == 431
