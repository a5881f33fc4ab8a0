"""Sets up the h2 library for a gRPC server: settings of a connection, and headers as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import RequestReceived
from h2.settings import SettingCodes, Settings

if TYPE_CHECKING:
    from .grpc_server import GrpcLimits


def new_h2_connection(limits: GrpcLimits) -> H2Connection:
    """A server side connection of the h2 library with our settings (RFC 9113 section 6.5.2), its preface queued."""
    # Inbound names and values are checked, as they come from clients; outbound ones are our own.
    connection = H2Connection(
        H2Configuration(
            client_side=False,
            header_encoding=None,
            validate_inbound_headers=True,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
    )
    connection.local_settings = Settings(
        client=False,
        initial_values={
            SettingCodes.MAX_CONCURRENT_STREAMS: limits.streams,
            SettingCodes.MAX_HEADER_LIST_SIZE: limits.header_bytes,
            SettingCodes.ENABLE_PUSH: 0,
        },
    )
    connection.decoder.max_header_list_size = limits.header_bytes  # from the first frame on, not once it is acked
    connection.initiate_connection()
    connection.increment_flow_control_window(limits.message_bytes)
    return connection


def read_headers(event: RequestReceived) -> dict[str, str]:
    """A request's headers; the values of a repeated one are joined by commas."""
    headers: dict[str, str] = {}
    for name, value in event.headers or ():
        key = bytes(name).decode("latin-1")
        text = bytes(value).decode("latin-1")
        headers[key] = f"{headers[key]},{text}" if key in headers and not key.startswith(":") else text
    return headers
