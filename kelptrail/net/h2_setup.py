"""Set-up of the h2 library for a gRPC server: connection settings, and request headers as text."""

from __future__ import annotations

from typing import TYPE_CHECKING

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import RequestReceived
from h2.settings import SettingCodes, Settings

if TYPE_CHECKING:
    from .grpc_server import GrpcLimits


def new_h2_connection(limits: GrpcLimits) -> H2Connection:
    """Return a server-side h2 connection with the server's settings (RFC 9113 section 6.5.2) and its preface queued."""
    # Inbound headers come from clients and are validated; outbound headers come from this server.
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
    # Set on the decoder as well, so that the limit applies from the first frame, before the settings are acknowledged.
    connection.decoder.max_header_list_size = limits.header_bytes
    connection.initiate_connection()
    connection.increment_flow_control_window(limits.message_bytes)
    return connection


def read_headers(event: RequestReceived) -> dict[str, str]:
    """Return the headers of a request; the values of a repeated header are joined by commas."""
    headers: dict[str, str] = {}
    for name, value in event.headers or ():
        key = bytes(name).decode("latin-1")
        text = bytes(value).decode("latin-1")
        headers[key] = f"{headers[key]},{text}" if key in headers and not key.startswith(":") else text
    return headers
