"""The clients' side: connections, requests, answers.

What cannot be read or used is answered with an error or a close at once and never becomes an activation.  A usual
client closes what it no longer needs; descriptors and memory are kept for it by closing first what has said nothing,
then what has idled longest.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable, Mapping
from itertools import islice

from kelptrail.codec import frames
from kelptrail.codec.frames import FrameError, FrameReader
from kelptrail.dispatch.entities import Idempotency, Request, RequestClass, Tenant
from kelptrail.engine.invariants import Invariants, Violation
from kelptrail.net.connection import Connection
from kelptrail.net.listener import Listener
from kelptrail.net.transport import IdleState

from .close_reasons import CloseReason, RequestRefusal
from .config import Sockets

OPEN = 32  # requests that one connection may have open
WAITING = 1 << 20  # bytes that a client may leave unread
FIRST_MS = 2_000.0  # within which a connection says something, and goes on with a frame that it began
IDLE_MS = 6_000.0  # a usual client closes sooner
STUCK_MS = 1_000.0  # a client that read nothing for so long is not waited for at the end
CROWD_REST_MS = 100.0  # for which a connection beyond the bound may rest, so that what is under way on it is answered
LEAVE_MS = 1_000.0  # for which a connection that was told why is held, so that the client reads it
CROWD = 8  # connections beyond the bound, to be told that there is no room
LOOKS = 16  # connections looked at for one that can make way
_HEX16 = re.compile(r"[0-9a-f]{16}")
_KEY = re.compile(r"[0-9A-Za-z._:-]{1,64}")
_FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?")


class UnusableError(ValueError):
    """A request that cannot be used."""


class ClientRequest:
    """A request that was taken, until its answer is given."""

    __slots__ = ("act", "answered", "body", "client", "gone_ms", "id", "key", "stream")

    def __init__(self, client: Client, stream: int, id_: str, key: str, body: bytes) -> None:
        self.client, self.stream, self.id, self.key, self.body = client, stream, id_, key, body
        self.act: Request | None = None
        self.gone_ms: float | None = None  # when its client went
        self.answered = False


class ParsedRequest:
    """What a request says, checked."""

    __slots__ = ("customer", "id", "item", "key", "lanes", "left_ms", "load_ms", "memory_mb", "type", "work_ms")

    def __init__(
        self,
        told: dict[str, str],
        types: Mapping[str, RequestClass],
        longest: Mapping[str, float],
        customers: Mapping[str, Tenant],
        most_mb: float,
    ) -> None:
        self.id, self.item, self.key = told.get("txn", ""), told.get("item", ""), told.get("unique", "")
        if not _HEX16.fullmatch(self.id) or not _HEX16.fullmatch(self.item):
            raise UnusableError("an id or a function that is none")
        if (type_ := types.get(told.get("verb", ""))) is None:
            raise UnusableError("an unknown class")
        self.type, self.customer = type_, customers.get(told.get("team", ""))
        if customers and self.customer is None:
            raise UnusableError("an unknown tenant")
        if (self.key and not _KEY.fullmatch(self.key)) or (
            not self.key and type_.idempotency is Idempotency.DEDUPLICATED
        ):
            raise UnusableError("an idempotency key that is none")
        self.left_ms = _figure(told.get("limit", ""), 1, longest[type_.name])
        further = {}
        for part in (told.get("info") or "").split(";"):
            name, _, value = part.partition(":")
            further[name] = value
        self.memory_mb = _figure(further.get("memory_mb", ""), 1, most_mb)
        self.lanes = int(_figure(further.get("lanes", ""), 1, 1024))
        self.load_ms = _figure(further["load_ms"], 0, 1e7) if "load_ms" in further else None
        self.work_ms = _figure(told["cpu"], 0, 1e9) if "cpu" in told else None


def _figure(text: str, least: float, most: float) -> float:
    if not _FIGURE.fullmatch(text) or not least <= (figure := float(text)) <= most:
        raise UnusableError("a figure out of range")
    return figure


class Client:
    """One client's connection."""

    __slots__ = ("_front", "begun", "crowds", "heard", "link", "open", "reader", "since")

    def __init__(self, front: ClientServer, sock: socket.socket) -> None:
        self._front, self.reader = front, FrameReader()
        self.open: dict[int, ClientRequest] = {}
        self.since = self.heard = front.time()  # connected, or last had something open; last sent bytes
        self.begun: float | None = None  # since when a frame is not whole
        self.crowds = False  # it came when there was no room
        self.link = Connection(front.loop, sock, self._got, self._ended, WAITING)

    def _got(self, data: memoryview) -> None:
        self.heard = self._front.time()
        self.reader.feed(data)
        try:
            while not self.link.closed and (frame := self.reader.next()) is not None:
                self.begun = None
                self._front.heard(self)
                self._front.frame(self, *frame)
        except FrameError as cause:
            self._front.unreadable(self, cause)
            return
        if not len(self.reader):
            self.begun = None
        elif self.begun is None:
            self.begun = self.heard

    def _ended(self) -> None:
        self._front.gone(self)


class ClientServer:
    """All clients of one dispatcher.  `take` gets each request that can be used, `left` each that nobody waits for
    any more."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: Sockets,
        types: list[RequestClass],
        customers: list[Tenant],
        most: int,
        most_bytes: int,
        take: Callable[[ClientRequest, ParsedRequest], None],
        left: Callable[[ClientRequest], None],
        known: Callable[[str], bool],
        note: Callable[..., None],
        invariants: Invariants,
    ) -> None:
        self.loop, self.time, self._note, self._invariants = loop, loop.time, note, invariants
        self._types = {type_.name: type_ for type_ in types}
        self._customers = {customer.name: customer for customer in customers}
        self._longest, self._most_mb = sockets.longest_ms, sockets.most_mb
        self._most, self._most_bytes, self._bytes = most, most_bytes, 0
        self._take, self._left, self._known = take, left, known
        self._fresh: dict[Client, None] = {}  # those that have not yet sent a whole frame, oldest first
        self._idle: dict[Client, None] = {}  # with nothing open, the longest idle first
        self._busy: dict[Client, None] = {}
        self._leaving: dict[Client, None] = {}  # told why and to be closed
        self._crowd: dict[Client, None] = {}  # those that came when there was no room
        self._longest_s = max(FIRST_MS, *sockets.longest_ms.values()) / 1000
        self._door = Listener(loop, self._came, _nobody, note)
        self._door.has_capacity, self._door.on_descriptor_shortage = self._has_room, self._make_room
        self.ready = True
        self._refuses = False

    def __len__(self) -> int:
        return len(self._fresh) + len(self._idle) + len(self._busy) + len(self._leaving)

    def open(self, where: tuple[str, int]) -> int:
        """Listen; returns the port.  Raises `OSError`."""
        sock = socket.socket(socket.AF_INET6 if ":" in where[0] else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(where)
            sock.listen(1024)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        self._door.add_socket(sock)
        return sock.getsockname()[1]

    def close(self) -> None:
        """Close the door and all connections."""
        self._door.close()
        for client in [*self._clients, *self._leaving]:
            client.link.close()

    def shut(self) -> bool:
        """Let in who has connected, and nobody from then on: they try another dispatcher.  False while some who have
        connected cannot be let in: the door stays open for them."""
        if not self._door.accept_queued():
            return False
        self._door.close()
        return True

    def refuse_new(self) -> None:
        """Take no further request: each is refused at once."""
        self._refuses = True

    def finish(self, within_ms: float) -> None:
        """Close all connections in order."""
        for client in self._clients:
            for request in client.open.values():
                self._invariants.violated(Violation.ENDED_OVER_REQUEST, request.id)
            client.link.close_gracefully(within_ms)

    @property
    def _clients(self) -> list[Client]:
        return [*self._fresh, *self._idle, *self._busy]

    @property
    def settled(self) -> bool:
        """Whether nothing of a client is under way: nothing to read, no frame half read, and no answer that its client
        is reading."""
        return not any(self._under_way(client) for client in self._clients)

    def _under_way(self, client: Client) -> bool:
        link = client.link
        if link.closed:
            return False
        if link.has_pending_writes and (self.time() - link.last_write_progress) * 1000 < STUCK_MS:
            return True
        return client.begun is not None or link.transport.probe_idle() is IdleState.UNEXPECTED_DATA

    def go_away(self) -> None:
        """Ready no longer: tell all that are connected to ask for nothing new here."""
        self.ready = False
        for client in self._clients:
            client.link.write(frames.encode_frame(frames.GO_AWAY, 0))

    def answer(self, request: ClientRequest, code: int, body: bytes = b"", later_ms: int = 0) -> None:
        """The one final answer of a request."""
        client = request.client
        if request.answered:
            self._invariants.violated(Violation.SECOND_ANSWER, request.id)
        if client.open.pop(request.stream, None) is not None:
            request.answered = True
            self._bytes -= len(request.body)
            client.link.write(frames.encode_answer(request.stream, code, body, later_ms))
            if not client.open:
                self._rest(client)

    def sweep(self) -> None:
        """Close connections that said nothing in time, stopped in the middle of a frame, or idled.  A slow frame that
        goes on is given as long as a request of any namespace type."""
        now = self.time()
        for group, within, reason in (
            (self._fresh, FIRST_MS, CloseReason.SILENT),
            (self._idle, IDLE_MS, CloseReason.IDLE),
        ):
            for client in list(group):
                if (now - client.since) * 1000 < within:
                    break
                self._close_at_rest(client, reason)
        for client in list(self._crowd):
            if (now - client.since) * 1000 >= CROWD_REST_MS and client in self._idle:
                self._close_at_rest(client, CloseReason.NO_ROOM)
        for client in self._clients:
            if (
                client.begun is not None
                and ((now - client.heard) * 1000 > FIRST_MS or (now - client.begun > self._longest_s))
                and client.link.transport.probe_idle() is not IdleState.UNEXPECTED_DATA
            ):
                if client in self._fresh:  # it never said a whole frame
                    self._drop(client, CloseReason.SILENT)
                else:
                    self.unreadable(client, FrameError("a frame that does not end"))

    # What the connections tell.

    def heard(self, client: Client) -> None:
        """A whole frame came."""
        if client in self._fresh:
            del self._fresh[client]
            self._rest(client)

    def frame(self, client: Client, kind: int, stream: int, payload: bytes) -> None:
        """One frame.  Raises `FrameError` for what has no place here."""
        if kind == frames.REQUEST:
            self._request(client, stream, payload)
        elif kind == frames.CANCEL:
            if (request := client.open.get(stream)) is not None:
                self._forget(request)
        elif kind == frames.READY_QUERY:
            client.link.write(frames.encode_ready(stream, self.ready))
        else:
            raise FrameError(f"a frame of type {kind}", stream)

    def unreadable(self, client: Client, cause: FrameError) -> None:
        """What came cannot be read: say so and close; nobody can tell any longer what belongs to what."""
        self._note("connection closed", reason=CloseReason.UNREADABLE.value, cause=cause, open=len(client.open))
        stream = cause.stream if cause.stream not in client.open else 0
        client.link.write(frames.encode_answer(stream, frames.FAILED))
        self._leave(client)

    def gone(self, client: Client) -> None:
        """A connection has ended."""
        self._abandon(client)

    @property
    def _places_taken(self) -> int:
        """Connections that are not there only to be told that there is no room."""
        return len(self) - len(self._crowd)

    def _has_room(self) -> bool:
        """Whether one more can be let in, if only to be told that there is no room: whoever has asked is answered, and
        waits in the kernel's queue until then."""
        return len(self) < self._most + CROWD or self._make_room()

    def _came(self, sock: socket.socket, _: str) -> None:
        while self._places_taken >= self._most and self._make_room():
            pass
        client = Client(self, sock)
        client.crowds = self._places_taken >= self._most
        self._fresh[client] = None
        if client.crowds:
            self._crowd[client] = None
        if not self.ready:
            client.link.write(frames.encode_frame(frames.GO_AWAY, 0))

    def _make_room(self) -> bool:
        """Close a connection that nobody waits on: one that was told why, one that said nothing, one that idles."""
        for group in (self._leaving, self._fresh, self._idle):
            for client in islice(group, LOOKS):
                if group is self._leaving:
                    self._drop(client, CloseReason.MADE_ROOM)
                    return True
                if self._close_at_rest(client, CloseReason.MADE_ROOM):
                    return True
        return False

    def _leave(self, client: Client) -> None:
        """Close once what it was told is read."""
        self._abandon(client)
        if not client.link.closed:
            self._leaving[client] = None
            client.link.close_gracefully(LEAVE_MS)

    def _request(self, client: Client, stream: int, payload: bytes) -> None:
        if not stream or stream in client.open:
            raise FrameError("a stream that is not new", stream)
        if len(client.open) >= OPEN:
            raise FrameError("more requests than a connection may have open", stream)
        told, at = frames.read_fields(payload)
        body = payload[at:]
        if len(body) > frames.MAX_BODY_BYTES:
            raise FrameError("a body that is too long", stream)
        try:
            asked = ParsedRequest(told, self._types, self._longest, self._customers, self._most_mb)
            if self._known(asked.id):
                raise UnusableError("the id of an open request")
        except UnusableError as cause:
            self._note("request failed", request=told.get("txn"), reason=RequestRefusal.UNUSABLE.value, cause=cause)
            client.link.write(frames.encode_answer(stream, frames.FAILED))
            return
        if (refusal := self._refusal(client, body)) is not None:
            self._note("request refused", request=asked.id, reason=refusal.value)
            client.link.write(frames.encode_answer(stream, frames.REFUSED))
            client.since = self.time()
            return
        self._bytes += len(body)
        request = client.open[stream] = ClientRequest(client, stream, asked.id, asked.key, body)
        self._idle.pop(client, None)
        self._busy[client] = None
        self._take(request, asked)

    def _refusal(self, client: Client, body: bytes) -> RequestRefusal | None:
        if self._refuses:
            return RequestRefusal.ENDING
        if client.crowds:
            return RequestRefusal.NO_ROOM
        if self._bytes + len(body) > self._most_bytes:  # what was taken comes first
            return RequestRefusal.NO_MEMORY
        return None

    def _forget(self, request: ClientRequest) -> None:
        client = request.client
        del client.open[request.stream]
        request.gone_ms = self.time() * 1000
        self._bytes -= len(request.body)
        self._left(request)
        if not client.open:
            self._rest(client)

    def _rest(self, client: Client) -> None:
        if self._busy.pop(client, True) is None or client not in self._idle:
            client.since = self.time()
            self._idle[client] = None

    def _abandon(self, client: Client) -> None:
        for request in list(client.open.values()):
            self._forget(request)
        for group in (self._fresh, self._idle, self._busy, self._leaving, self._crowd):
            group.pop(client, None)

    def _close_at_rest(self, client: Client, reason: CloseReason) -> bool:
        """Close a connection, unless something is open on it, half read, stands in its socket or is still read by its
        client; whether it was."""
        if client.open or self._under_way(client):
            return False
        self._drop(client, reason)
        return True

    def _drop(self, client: Client, reason: CloseReason) -> None:
        """Close at once."""
        for request in client.open.values():
            self._invariants.violated(Violation.CLOSED_OVER_REQUEST, request.id, reason=reason.value)
        if client not in self._leaving and client.begun is None and client.link.transport.unread_bytes():
            self._invariants.violated(Violation.CLOSED_OVER_REQUEST, "not read", reason=reason.value)
        self._note("connection closed", reason=reason.value)
        self._abandon(client)
        client.link.close()


def _nobody(sock: socket.socket, address: str, back: float) -> None:
    """No pace is set, so nobody comes too early."""
    sock.close()
