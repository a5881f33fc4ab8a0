"""A bad client: many requests at once on each of its connections, and as many again once all are turned away.

    python -m standins.bad_client HOST PORT CONNECTIONS AT_ONCE DELAY_S SECONDS LIMIT_MS ITEM LANES

Starts after DELAY_S and prints how many answers it got.  It encodes its frames by hand, to send at full speed.
"""

from __future__ import annotations

import os
import select
import socket
import struct
import sys
import time

from .client import ANSWER, REQUEST
from .configuration import CHECK, TEAM


class BadConnection:
    """One connection; `prefix` is the part of its requests that does not change."""

    def __init__(self, address: tuple[str, int], at_once: int, prefix: bytes) -> None:
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self._at_once, self._prefix = at_once, prefix
        self._next_id = int.from_bytes(os.urandom(8), "big")
        self._stream = self._open = self.answers = 0
        self._input = self._output = b""

    def send_batch(self) -> None:
        """Send as many requests as may be sent at once."""
        frames = []
        for _ in range(self._at_once):
            self._next_id = (self._next_id + 1) & 0xFFFF_FFFF_FFFF_FFFF
            self._stream += 1
            payload = self._prefix + f"{self._next_id:016x}".encode() + b"x"
            frames.append(struct.pack(">IBI", 5 + len(payload), REQUEST, self._stream) + payload)
        self._open += self._at_once
        self._output += b"".join(frames)
        self.flush()

    def flush(self) -> None:
        """Send what the socket accepts."""
        if self._output:
            try:
                self._output = self._output[self.sock.send(self._output) :]
            except OSError:
                return

    def read(self) -> bool:
        """Read answers, send the next batch once all have come, and return whether the connection is still open."""
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._input += data
        at = 0
        while len(self._input) - at >= 4:
            end = at + 4 + int.from_bytes(self._input[at : at + 4], "big")
            if end > len(self._input):
                break
            if self._input[at + 4] == ANSWER:
                self._open -= 1
                self.answers += 1
            at = end
        self._input = self._input[at:]
        self.flush()
        if self._open <= 0:
            self.send_batch()
        return bool(data)


def encode_prefix(limit_ms: str, item: str, lanes: str) -> bytes:
    """Return the fields of a request up to the value of the last one, its id."""
    fields = {"verb": CHECK, "limit": limit_ms, "team": TEAM, "item": item, "info": f"memory_mb:512;lanes:{lanes}"}
    encoded = bytes((len(fields) + 1,))
    for name, value in fields.items():
        encoded += bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode()
    return encoded + b"\x03txn" + struct.pack(">H", 16)


def main() -> None:
    """Run the bad client that the command line describes."""
    host, port, connections, at_once, delay_s, seconds, limit_ms, item, lanes = sys.argv[1:]
    time.sleep(float(delay_s))
    prefix = encode_prefix(limit_ms, item, lanes)
    poll, by_descriptor = select.epoll(), {}
    for _ in range(int(connections)):
        connection = BadConnection((host, int(port)), int(at_once), prefix)
        by_descriptor[connection.sock.fileno()] = connection
        poll.register(connection.sock, select.EPOLLIN)
    everyone = list(by_descriptor.values())
    end = time.monotonic() + float(seconds)
    for connection in everyone:
        connection.send_batch()
    while time.monotonic() < end and by_descriptor:
        for descriptor, _ in poll.poll(0.1):
            if not by_descriptor[descriptor].read():
                poll.unregister(descriptor)
                by_descriptor.pop(descriptor).sock.close()
        for connection in by_descriptor.values():
            connection.flush()
    print(f"{sum(connection.answers for connection in everyone)} answers")


if __name__ == "__main__":
    main()
