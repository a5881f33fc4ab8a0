"""Bad clients that wait, as a process of their own: `python waiting_clients.py PORT SILENT CUT SECONDS`.

`SILENT` clients connect and say nothing.  `CUT` clients send a frame whose length is wrong: it says more than comes.
All read what they are sent, and do the same again as soon as their connection is closed or answered.
"""

from __future__ import annotations

import select
import socket
import sys
import time
from collections import Counter

STATED_BYTES, SENT_BYTES = 12_000, 300
CUT_FRAME = STATED_BYTES.to_bytes(4, "big") + b"\x41\0\0\0\1\6" + bytes(SENT_BYTES)


class WaitingClients:
    """All clients of this process, on one epoll object."""

    def __init__(self, port: int) -> None:
        self._address, self._epoll = ("127.0.0.1", port), select.epoll()
        self._sockets: dict[int, tuple[socket.socket, str]] = {}
        self._unsent = set[int]()  # connections whose client has still to send its frame
        self.turned_away = Counter[str]()

    def connect(self, kind: str) -> None:
        """Open the connection of a client."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self._address)
        self._sockets[sock.fileno()] = sock, kind
        self._epoll.register(sock.fileno(), select.EPOLLIN | (select.EPOLLOUT if kind == "cut" else 0))
        if kind == "cut":
            self._unsent.add(sock.fileno())

    def run_until(self, end: float) -> None:
        """Serve all connections for a time."""
        while time.monotonic() < end:
            for number, events in self._epoll.poll(0.1, 256):
                self._serve(number, events)

    def _serve(self, number: int, events: int) -> None:
        sock, kind = self._sockets[number]
        try:
            if number in self._unsent and events & select.EPOLLOUT:
                self._unsent.remove(number)
                self._epoll.modify(number, select.EPOLLIN)
                sock.send(CUT_FRAME)
            if events & ~select.EPOLLOUT:
                sock.recv(4096)  # an error, or the end of the connection: the client is turned away
                raise ConnectionError
        except BlockingIOError:
            return
        except OSError:
            self._epoll.unregister(number)
            self._unsent.discard(number)
            del self._sockets[number]
            sock.close()
            self.turned_away[kind] += 1
            self.connect(kind)


def main(port: int, silent: int, cut: int, seconds: float) -> None:
    """Run all clients for a time, and print how often they were turned away."""
    clients = WaitingClients(port)
    end = time.monotonic() + seconds
    for kind, count in (("cut", cut), ("silent", silent)):
        for _ in range(count):
            clients.connect(kind)
    clients.run_until(end)
    print(f"bad clients turned away: {dict(clients.turned_away)}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
