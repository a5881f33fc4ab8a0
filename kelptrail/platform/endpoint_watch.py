"""Watches the endpoint list: connects, requests the events after the last one applied, reconnects as needed.

The stream of the list's events is also called feed, and the request that starts it poll.  The list's service sends an
event every second, an empty one if nothing changed, so silence is a fault.  As a failed connection cannot be
distinguished from a slow service, another connection is opened beside the silent one, and the first one that delivers
an event is kept.  When the newest connection ends, the watch reconnects: immediately if that connection had delivered
an event and either lasted for more than `MAX_BACKOFF_MS` or was the first to end, otherwise with exponential backoff.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from kelptrail.codec.feed import EndpointEvent, FeedError, FeedReader, encode_poll
from kelptrail.net.connecting import connect
from kelptrail.net.connection import Connection

from . import log_events
from .log import LogWriter

SILENCE_TIMEOUT_MS = 2_000.0  # twice the interval of the events
MAX_SILENCE_TIMEOUT_MS = 8_000.0  # limit of the silence timeout, which doubles while only parts of events arrive
EXTRA_CONNECT_AFTER_MS = 1_000.0  # a connect that takes longer gets a parallel one
CONNECT_TIMEOUT_MS = 8_000.0
BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 1_000.0
MAX_BACKOFF_DOUBLINGS = 10
MAX_CONNECTIONS = 4  # simultaneous connections, including those that are being established
RESERVED_DESCRIPTORS = 2  # one for a reconnect and one for a new address
MAX_UNREAD_BYTES = 1 << 16  # limit of the bytes that wait for the service to read them; beyond it, disconnect

OnEvent = Callable[[EndpointEvent], None]


@dataclass(frozen=True, slots=True)
class WatchListener:
    """The callbacks of a watch.

    `on_event` receives the new events in order, without empty ones; each once, unless it raises.  `on_confirmed` is
    called when the service at the current address confirms that no event is missing.  `on_connection_lost` is called
    when a connection to the current address ended or could not be established.
    """

    on_event: OnEvent
    on_confirmed: Callable[[], None] = lambda: None
    on_connection_lost: Callable[[], None] = lambda: None


class WatchConnection:
    """One connection to the list's service, from connect to close.  Times are in seconds of the loop's clock."""

    def __init__(self, watch: EndpointWatch, loop: asyncio.AbstractEventLoop, address: tuple[str, int]) -> None:
        self._watch, self._loop, self.address = watch, loop, address
        self.reader = watch.new_reader()
        self.last_progress_at = loop.time()  # time of the creation, the connect or the last event
        self.created_at = self.last_progress_at
        self.event_count = 0  # complete events received, including empty ones
        self.has_partial_event = False  # whether bytes arrived after the last read that completed an event
        self.stream: Connection | None = None  # None until connected, and after `fail`
        self.closed = False
        self._connect_task: asyncio.Task[None] | None = loop.create_task(self._connect())

    async def _connect(self) -> None:
        # `connect` opens its socket in the same iteration of the loop, so no other callback takes the descriptor.
        self._watch.release_descriptor()
        try:
            sock = await connect(self._loop, self.address, CONNECT_TIMEOUT_MS)
        except OSError as cause:
            self._watch.log_fault(log_events.FEED_UNREACHABLE, cause=str(cause))
            self._on_closed()
            return
        finally:
            self._connect_task = None
        if self.closed:
            sock.close()
            return
        self.last_progress_at = self._loop.time()
        on_data = partial(self._watch.on_data, self)
        self.stream = Connection(self._loop, sock, on_data, self._on_closed, MAX_UNREAD_BYTES)
        self._watch.on_connected(self)

    def _on_closed(self) -> None:
        if not self.closed:
            self.closed = True
            self._watch.on_closed(self)

    def fail(self) -> None:
        """Close the connection, report it as closed, and ignore further data from it."""
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        self._on_closed()

    def close(self) -> None:
        """Close the connection without reporting it as closed."""
        self.closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self.stream is not None:
            self.stream.close()


class EndpointWatch:
    """Follows the list and notifies a `WatchListener`.  Keeps descriptors in reserve for its next connections.

    Times are in seconds of the loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        last_event_number: int,
        new_reader: Callable[[], FeedReader],
        listener: WatchListener,
        log: LogWriter,
    ) -> None:
        self._loop, self._address, self.new_reader, self._listener, self.log = loop, address, new_reader, listener, log
        self.last_event_number = last_event_number
        self.last_event_at = loop.time()  # time of the last complete event
        self._has_fault = False  # whether a fault was logged since the last complete event
        self._connections: list[WatchConnection] = []  # oldest first; `set_address` may move one to the end
        # How often the newest connection has ended.  The count restarts at 1 when a connection ends that had delivered
        # an event and lasted for more than MAX_BACKOFF_MS.
        self._failures = 0
        self._silence_timeout_ms = SILENCE_TIMEOUT_MS
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self._reserved: list[int] = []  # open descriptors held in reserve
        self._reserve_descriptors()
        self._open_connection()

    def set_address(self, address: tuple[str, int]) -> None:
        """Watch the list at `address`: connect there at once unless a connection to it is open.

        Other connections are kept until an event arrives from there.  If the address is unchanged and a connection is
        open or being established, bring the next connect forward, but to MAX_BACKOFF_MS after the previous one at the
        earliest, so that repeated reloads of the configuration do not overload a slow service.
        """
        if address == self._address:
            newest = self._newest
            retry_at = newest.created_at + MAX_BACKOFF_MS / 1000 if newest is not None else self._timer_due
            self._set_timer(min(self._timer_due, max(self._loop.time(), retry_at)))
            return
        self._address = address
        existing = next((each for each in self._connections if each.address == address), None)
        if existing is None:
            self._open_connection()
            return
        self._connections.remove(existing)  # makes it the newest connection
        self._connections.append(existing)
        timeout_ms = EXTRA_CONNECT_AFTER_MS if existing.stream is None else SILENCE_TIMEOUT_MS
        self._set_timer(existing.last_progress_at + timeout_ms / 1000)

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
        for connection in self._connections:
            connection.close()
        self._connections.clear()
        while self._reserved:
            self.release_descriptor()

    @property
    def silent_ms(self) -> float:
        """Time since the last complete event, in milliseconds."""
        return (self._loop.time() - self.last_event_at) * 1000

    def log_fault(self, event: str, **fields: object) -> None:
        """Log a fault of the list with the number of the last applied event and the time since the last event."""
        self._has_fault = True
        self.log(event, number=self.last_event_number, silent_ms=round(self.silent_ms), **fields)

    # Events of the connections.

    def on_connected(self, connection: WatchConnection) -> None:
        """Request the events after the last one applied on a new connection."""
        self._reserve_descriptors()
        if connection.stream is not None:
            connection.stream.write(encode_poll(self.last_event_number))
        if connection is self._newest:
            self._set_timer(connection.last_progress_at + self._silence_timeout_ms / 1000)

    def on_closed(self, connection: WatchConnection) -> None:
        """Remove a connection that ended or could not be established.

        If it was the newest one and its address is the current one, schedule the next connect.
        """
        if connection not in self._connections:
            return
        was_newest = connection is self._newest
        self._connections.remove(connection)
        self._reserve_descriptors()
        if connection.address == self._address:
            self._listener.on_connection_lost()
        if connection.address != self._address or not was_newest:
            return
        lasted = connection.event_count and (self._loop.time() - connection.created_at) * 1000 > MAX_BACKOFF_MS
        self._failures = 1 if lasted else self._failures + 1
        # -1 means an immediate reconnect: after the first counted end, if the connection had delivered an event.
        doublings = self._failures - 1 - bool(connection.event_count)
        backoff_ms = BACKOFF_MS * 2 ** min(doublings, MAX_BACKOFF_DOUBLINGS) if doublings >= 0 else 0.0
        self._set_timer(self._loop.time() + min(MAX_BACKOFF_MS, backoff_ms) / 1000)

    def on_data(self, connection: WatchConnection, data: memoryview) -> None:
        """Parse received bytes and apply the complete events."""
        if connection.closed:
            return
        connection.reader.feed(data)
        connection.has_partial_event = True
        try:
            while not connection.closed and (event := connection.reader.next()) is not None:
                self._apply(event)
                self._on_complete_event(connection, event)
        except FeedError as cause:
            self.log_fault(log_events.FEED_UNREADABLE, cause=str(cause))
            connection.fail()
        except Exception as cause:  # noqa: BLE001 - an error in a listener must not stop the watch
            self._loop.call_exception_handler({"message": "an event could not be applied", "exception": cause})
            connection.fail()

    def _apply(self, event: EndpointEvent) -> None:
        if event.number <= self.last_event_number:
            return
        if event.records is None:
            raise FeedError("events are missing")
        if event.number != self.last_event_number + 1 and not event.is_snapshot:
            raise FeedError(f"event {event.number} follows event {self.last_event_number}")
        self._listener.on_event(event)
        self.last_event_number = event.number  # set after the event was applied: a failed one is requested again

    def _on_complete_event(self, connection: WatchConnection, event: EndpointEvent) -> None:
        """Record a complete event; if it came from the current address, drop all other connections.

        Only an empty event confirms that no event is missing: after a change others may follow, in particular after an
        outage.  A service whose event number is lower than that of this watch is behind and confirms nothing.
        """
        connection.event_count += 1
        connection.has_partial_event = False
        if self._has_fault:
            self._has_fault = False
            self.log(log_events.FEED_HEARD_AGAIN, number=self.last_event_number, silent_ms=round(self.silent_ms))
        connection.last_progress_at = self.last_event_at = self._loop.time()
        if connection.address != self._address:
            return
        if event.records is None and event.number >= self.last_event_number:
            self._listener.on_confirmed()
        self._silence_timeout_ms = SILENCE_TIMEOUT_MS
        for other in [other for other in self._connections if other is not connection]:
            self._drop(other)
        if connection in self._connections:
            self._set_timer(connection.last_progress_at + SILENCE_TIMEOUT_MS / 1000)

    # Reconnecting.

    @property
    def _newest(self) -> WatchConnection | None:
        """The connection that was opened, or selected by `set_address`, last; the timer watches it."""
        return self._connections[-1] if self._connections else None

    def _open_connection(self) -> None:
        """Open a connection beside the open ones; drop the oldest ones if there are too many."""
        while len(self._connections) >= MAX_CONNECTIONS:
            self._drop(self._connections[0])
        connection = WatchConnection(self, self._loop, self._address)
        self._connections.append(connection)
        self._set_timer(connection.created_at + EXTRA_CONNECT_AFTER_MS / 1000)

    def _drop(self, connection: WatchConnection) -> None:
        connection.close()
        self._connections.remove(connection)
        self._reserve_descriptors()

    def _set_timer(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._loop.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        """Open a connection because of a silence, a slow connect, the end of a backoff, or `set_address`."""
        newest = self._newest
        if newest is not None and newest.address == self._address:
            event = log_events.FEED_SILENT if newest.stream is not None else log_events.FEED_SLOW_TO_CONNECT
            self.log_fault(event)
            # After part of an event, the service may be slow: the next connection gets a longer timeout.
            extended_ms = min(MAX_SILENCE_TIMEOUT_MS, 2 * self._silence_timeout_ms)
            self._silence_timeout_ms = extended_ms if newest.has_partial_event else SILENCE_TIMEOUT_MS
        self._open_connection()

    # Reserved descriptors.

    def _reserve_descriptors(self) -> None:
        """Reserve descriptors for the next connections.

        Clients could otherwise use up all descriptors while the list's service is down.
        """
        with contextlib.suppress(OSError):
            while len(self._reserved) < RESERVED_DESCRIPTORS:
                self._reserved.append(os.open(os.devnull, os.O_RDONLY))

    def release_descriptor(self) -> None:
        """Free a reserved descriptor for a connection that is about to be established."""
        if self._reserved:
            os.close(self._reserved.pop())
