"""What a client of the soak and the fuzz records when its connection ends, with a real socket for the dispatcher."""

from __future__ import annotations

import asyncio
import socket
import sys
import threading
from pathlib import Path

import pytest
import uvloop

sys.path.insert(0, str(Path(__file__).parent.parent / "bench"))

from fault_injection.clients import ClientBehavior, ClientConnection
from fault_injection.run_state import RunState, SentRequest

from kelptrail.codec import frames

SEED = 1  # with this seed, the client cancels none of its requests
LIMIT_MS = 300
TIMEOUT_S = 5.0


def serve_one_request(listener: socket.socket, is_answered: bool, closed: threading.Event) -> None:
    """Read one request, answer it if `is_answered`, and close the connection."""
    connection, _ = listener.accept()
    reader = frames.FrameReader()
    while (frame := reader.next()) is None:
        reader.feed(connection.recv(65_536))
    if is_answered:
        connection.sendall(frames.encode_answer(frame[1], frames.REFUSED))
    connection.shutdown(socket.SHUT_WR)
    connection.close()
    closed.set()


async def send_after_the_connection_has_closed(folder: Path, is_answered: bool) -> SentRequest:
    """Send one request, then a batch after a pause of the loop in which the connection is closed; return the first.

    The first write of the batch makes the peer reset the connection, and the next one fails."""
    listener, closed = socket.create_server(("127.0.0.1", 0)), threading.Event()
    server = threading.Thread(target=serve_one_request, args=(listener, is_answered, closed))
    server.start()
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    client = ClientConnection(RunState(SEED, folder), 0, (LIMIT_MS,), reader, writer)
    client._behavior = ClientBehavior.IGNORES_GO_AWAY
    client._read_task = asyncio.create_task(client._read_answers())
    assert await client._send_request(1)
    assert closed.wait(TIMEOUT_S)  # blocks the loop, so that the client reads nothing
    sent = [await client._send_request(stream) for stream in (2, 3, 4)]
    assert not all(sent)
    await asyncio.wait_for(client._read_task, TIMEOUT_S)
    server.join()
    listener.close()
    client._socket.close()
    assert all(request.client_left_at is None for request in client._sent.values())
    return client._sent[1]


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_an_answer_that_arrived_before_a_failing_write_is_recorded(run, tmp_path) -> None:
    request = run(send_after_the_connection_has_closed(tmp_path, is_answered=True))
    assert [answer.code for answer in request.answers] == [frames.REFUSED]
    assert request.closed_at is not None


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_request_without_an_answer_stays_open_after_a_failing_write(run, tmp_path) -> None:
    request = run(send_after_the_connection_has_closed(tmp_path, is_answered=False))
    assert request.is_open
    assert request.closed_at is not None
