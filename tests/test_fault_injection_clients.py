"""What a client of the soak and the fuzz records when its connection ends, with a real socket for the dispatcher."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
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


def set_reset_on_close(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def leave_by_a_reset(folder: Path, dispatcher_resets_first: bool) -> int:
    """Connect a client that resets its connection when it leaves; return the error that the dispatcher then reads."""
    listener = socket.create_server(("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection(*listener.getsockname())
    connection, _ = listener.accept()
    client = ClientConnection(RunState(SEED, folder), 0, (LIMIT_MS,), reader, writer)
    client._behavior = ClientBehavior.RESETS
    client._read_task = asyncio.create_task(client._read_answers())
    if dispatcher_resets_first:
        set_reset_on_close(connection)
        connection.close()
        await asyncio.wait_for(client._read_task, TIMEOUT_S)
    await client._leave()
    client._read_task.cancel()
    writer.close()
    await asyncio.sleep(0.01)
    client._socket.close()
    listener.close()
    if dispatcher_resets_first:
        return 0
    connection.settimeout(TIMEOUT_S)
    try:
        connection.recv(1)
    except OSError as cause:
        return cause.errno or 0
    finally:
        connection.close()
    return 0


# Guards against a soak that ends by an exception of its own: the client set an option of a closed descriptor.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_client_that_leaves_by_a_reset_may_find_its_connection_reset_already(run, tmp_path) -> None:
    assert run(leave_by_a_reset(tmp_path, dispatcher_resets_first=True)) == 0


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_a_client_that_leaves_by_a_reset_resets_its_connection(run, tmp_path) -> None:
    assert run(leave_by_a_reset(tmp_path, dispatcher_resets_first=False)) == errno.ECONNRESET
