"""Limits of the servers of the invoke API and the inference API, and TLS of the client APIs and of workers.

Times are in milliseconds, sizes in `_mb` are in megabytes.  The shapes below hold the defaults.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .shape import Shape, milliseconds, number, word, yes_no


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Limits of the invoke API's HTTP server; `longest_wait_ms` and `drain_ms` hold for the inference API as well.

    - `pipelined`: maximum number of requests in flight on one connection.
    - `longest_wait_ms`: maximum time for which a blocking call or a poll waits for the final answer.
    - `read_ms`: time for a TLS handshake, and for a request to arrive completely.
    - `write_ms`: time for which a write may wait for a slow client.
    - `idle_ms`: time after which an idle connection is closed.
    - `drain_ms`: time for requests in flight to end at a shutdown or after a front address was released.
    - `linger_ms`: time at the start of `drain_ms` in which idle connections stay open.
    - `max_unwritten_mb`: limit on the bytes of replies not yet written, over all connections.
    - `connect_burst`, `connects_per_s`: burst and rate of new connections; a rate of 0: no limit.
    """

    connections: int
    header_bytes: int
    body_bytes: int
    pipelined: int
    longest_wait_ms: float
    read_ms: float
    write_ms: float
    idle_ms: float
    drain_ms: float
    linger_ms: float
    max_unwritten_mb: float = field(metadata={"key": "unread_mb"})
    connect_burst: float = field(metadata={"key": "connects_at_once"})
    connects_per_s: float


@dataclass(frozen=True, slots=True)
class InferenceSettings:
    """Limits of the inference API's gRPC server.

    - `streams`: maximum number of calls in progress on one connection.
    - `stream_requests`: maximum number of requests without a final answer in one call of ModelStreamInfer.
    - `max_partial_mb`: limit on the buffered bytes of incompletely received messages, over all connections.
    - `max_unwritten_mb`: limit on the bytes of messages not yet written, over all connections.
    - `stream_bytes`: unsent bytes of a stream above which its producer pauses.
    - `read_ms`: time for the request of a call to arrive completely.
    - `write_ms`: time for which a write or a stream may wait for a slow client.
    - `idle_ms`: time without calls after which a connection is closed.
    - `handshake_ms`: time for a TLS handshake.
    - `max_connection_age_ms`: age at which a connection is closed gracefully, varied by up to 10 % so that not all
      close at once; 0: no limit.
    - `close_grace_ms`: time for calls to end once their connection is closing.
    - `flood_burst`, `flood_per_s`: size and refill rate of the token bucket that each connection has for each kind of
      cheap frame, such as pings (`kelptrail.net.guard`).
    - `connect_burst`, `connects_per_s`: burst and rate of new connections; a rate of 0: no limit.
    """

    serve: bool
    port: int
    connections: int
    streams: int
    stream_requests: int
    header_bytes: int
    message_bytes: int
    max_partial_mb: float = field(metadata={"key": "partial_mb"})
    max_unwritten_mb: float = field(metadata={"key": "unread_mb"})
    stream_bytes: int
    read_ms: float
    write_ms: float
    idle_ms: float
    handshake_ms: float
    max_connection_age_ms: float = field(metadata={"key": "age_ms"})
    close_grace_ms: float = field(metadata={"key": "grace_ms"})
    flood_burst: int = field(metadata={"key": "flood_at_once"})
    flood_per_s: float
    connect_burst: float = field(metadata={"key": "connects_at_once"})
    connects_per_s: float


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """TLS of one side: `front` (servers of both client APIs), `runners` (servers of the emulated workers) or
    `to-workers` (dispatchers as clients of their workers).

    `certificate`, `key` and `authority` (the CA certificates that verify the peers) are paths relative to the settings
    file's folder.  `client_certificates`: "none" (not requested), "asked" (requested) or "required".
    """

    side: str
    certificate: str
    key: str
    authority: str
    client_certificates: str = field(metadata={"key": "peers"})
    min_version: str = field(metadata={"key": "least"})
    ciphers: str
    expiry_warning_days: float = field(metadata={"key": "warn_days"})


FRONT = Shape(
    {
        "connections": number(1, 1_000_000, integer=True, default=10_000),
        "header-bytes": number(256, 1_048_576, integer=True, default=16_384),
        "body-bytes": number(1, 1 << 30, integer=True, default=1_048_576),
        "pipelined": number(1, 10_000, integer=True, default=32),
        "longest-wait-ms": milliseconds(1, 3.6e6, 60_000.0),
        "read-ms": milliseconds(10, 600_000, 10_000.0),
        "write-ms": milliseconds(10, 600_000, 30_000.0),
        "idle-ms": milliseconds(10, 3.6e6, 75_000.0),
        "drain-ms": milliseconds(0, 600_000, 10_000.0),
        "linger-ms": milliseconds(0, 60_000, 1000.0),
        "unread-mb": number(0.001, 100_000, default=256.0),
        "connects-at-once": number(1, 1_000_000, default=2000.0),
        "connects-per-s": number(0, 1_000_000, default=1000.0),
    },
    build=FrontSettings,
)


INFERENCE = Shape(
    {
        "serve": yes_no(True),
        "port": number(0, 65535, integer=True, default=0),
        "connections": number(1, 1_000_000, integer=True, default=10_000),
        "streams": number(1, 1_000_000, integer=True, default=1000),
        "stream-requests": number(1, 100_000, integer=True, default=64),
        "header-bytes": number(256, 1_048_576, integer=True, default=16_384),
        "message-bytes": number(1, 1 << 30, integer=True, default=4_194_304),
        "partial-mb": number(0.001, 100_000, default=256.0),
        "unread-mb": number(0.001, 100_000, default=256.0),
        "stream-bytes": number(1024, 1 << 30, integer=True, default=262_144),
        "read-ms": milliseconds(10, 600_000, 10_000.0),
        "write-ms": milliseconds(10, 600_000, 30_000.0),
        "idle-ms": milliseconds(10, 8.64e7, 300_000.0),
        "handshake-ms": milliseconds(10, 600_000, 5000.0),
        "age-ms": milliseconds(0, 8.64e7, 0.0),
        "grace-ms": milliseconds(0, 3.6e6, 10_000.0),
        "flood-at-once": number(1, 1_000_000, integer=True, default=200),
        "flood-per-s": number(0.01, 1_000_000, default=20.0),
        "connects-at-once": number(1, 1_000_000, default=2000.0),
        "connects-per-s": number(0, 1_000_000, default=1000.0),
    },
    build=InferenceSettings,
)


TLS = Shape(
    {
        "certificate": word(default=""),
        "key": word(default=""),
        "authority": word(default=""),
        "peers": word(("none", "asked", "required"), "none"),
        "least": word(("tls-1.2", "tls-1.3"), "tls-1.2"),
        "ciphers": word(default=""),
        "warn-days": number(0, 3650, default=14.0),
    },
    ("side",),
    TlsSettings,
)
SIDES = ("front", "to-workers", "runners")
