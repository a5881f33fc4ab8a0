"""A bad client that takes its requests back at once: on each connection 32 requests, 32 cancels, and the same again.

    python -m standins.taking_back HOST PORT CONNECTIONS DELAY_S SECONDS ITEM

Starts after DELAY_S, writes at full speed, reads what it is sent, and prints how many requests it took back and how
many answers it got.  It encodes its frames by hand.
"""

from __future__ import annotations

import os
import select
import socket
import struct
import sys
import time

from .client import ANSWER, CANCEL, REQUEST
from .configuration import CHECK, DEADLINE_S, TEAM

AT_ONCE = 32  # the most that a connection may have open
LIMIT_MS = int(DEADLINE_S * 1000 / 2)
BODY = b"x"


class BadConnection:
    """One of its connections."""

    def __init__(self, address: tuple[str, int], item: str) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self._prefix = _encode_prefix(item)
        self._next_id = int.from_bytes(os.urandom(8), "big")
        self._stream = 0
        self._input, self._output = b"", memoryview(b"")
        self.taken_back = self.answers = 0

    def write(self) -> None:
        """Write what the socket accepts: the rest of the requests and cancels, or the next ones.  Raises `OSError`."""
        if not self._output:
            self._output = memoryview(self._encode())
        self._output = self._output[self.sock.send(self._output) :]
        if not self._output:
            self.taken_back += AT_ONCE

    def _encode(self) -> bytes:
        requests, cancels = [], []
        for _ in range(AT_ONCE):
            self._next_id = (self._next_id + 1) & 0xFFFF_FFFF_FFFF_FFFF
            self._stream += 1
            payload = self._prefix + f"{self._next_id:016x}".encode() + BODY
            requests.append(struct.pack(">IBI", 5 + len(payload), REQUEST, self._stream) + payload)
            cancels.append(struct.pack(">IBI", 5, CANCEL, self._stream))
        return b"".join(requests + cancels)

    def read(self) -> None:
        """Read the answers that have come.  Raises `OSError`, also at the end of the connection."""
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionResetError
        self._input += data
        at = 0
        while len(self._input) - at >= 4:
            end = at + 4 + int.from_bytes(self._input[at : at + 4], "big")
            if end > len(self._input):
                break
            self.answers += self._input[at + 4] == ANSWER
            at = end
        self._input = self._input[at:]


def _encode_prefix(item: str) -> bytes:
    """Return the fields of a request up to the value of the last one, its id."""
    fields = {"verb": CHECK, "limit": str(LIMIT_MS), "team": TEAM, "item": item, "info": "memory_mb:512;lanes:2"}
    encoded = bytes((len(fields) + 1,))
    for name, value in fields.items():
        encoded += bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode()
    return encoded + b"\x03txn" + struct.pack(">H", 16)


def main() -> None:
    """Run the bad client that the command line describes."""
    host, port, connections, delay_s, seconds, item = sys.argv[1:]
    time.sleep(float(delay_s))
    poll, by_descriptor = select.epoll(), {}
    for _ in range(int(connections)):
        connection = BadConnection((host, int(port)), item)
        by_descriptor[connection.sock.fileno()] = connection
        poll.register(connection.sock, select.EPOLLIN | select.EPOLLOUT)
    everyone = list(by_descriptor.values())
    end = time.monotonic() + float(seconds)
    while time.monotonic() < end and by_descriptor:
        for descriptor, events in poll.poll(0.1):
            connection = by_descriptor[descriptor]
            try:
                if events & ~select.EPOLLOUT:
                    connection.read()
                if events & select.EPOLLOUT:
                    connection.write()
            except BlockingIOError:
                continue
            except OSError:
                poll.unregister(descriptor)
                by_descriptor.pop(descriptor).sock.close()
    taken_back, answers = sum(each.taken_back for each in everyone), sum(each.answers for each in everyone)
    print(f"{taken_back} requests taken back, {answers} answers, {len(by_descriptor)} connections open at the end")


if __name__ == "__main__":
    main()
