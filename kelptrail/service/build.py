"""Converts the settings of a deployment to those of the servers and of TLS."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from kelptrail.clock import wall_ms
from kelptrail.net.grpc_server import GrpcLimits
from kelptrail.net.guard import GuardSettings
from kelptrail.net.server import Limits
from kelptrail.net.tls import CertificateReloader, TlsFiles
from kelptrail.settings.deployment import Deployment, FrontSettings, InferenceSettings


def front_limits(front: FrontSettings) -> Limits:
    """Return the limits of the HTTP front's server."""
    return Limits(
        front.connections,
        front.header_bytes,
        front.body_bytes,
        front.pipelined,
        front.read_ms,
        front.write_ms,
        front.idle_ms,
        front.max_unwritten_mb * 1e6,
    )


def grpc_limits(front: InferenceSettings) -> GrpcLimits:
    """Return the limits of the gRPC front's server."""
    return GrpcLimits(
        front.connections,
        front.streams,
        front.header_bytes,
        front.message_bytes,
        front.max_partial_mb * 1e6,
        front.max_unwritten_mb * 1e6,
        front.stream_bytes,
        front.read_ms,
        front.write_ms,
        front.idle_ms,
        front.handshake_ms,
        GuardSettings(front.flood_burst, front.flood_per_s, front.max_connection_age_ms, front.close_grace_ms),
    )


def _settings_file(deployment: Deployment, name: str) -> Path | None:
    """Return the path of a file named in the settings, relative to the settings' folder; None if no name is given."""
    return deployment.folder / name if name else None


def certificate_reloader(deployment: Deployment, side: str, alpn: list[str], log: Any) -> CertificateReloader | None:
    """Return the certificate reloader of one TLS side, or None if the settings have no TLS for it.

    Raises `ValueError` if its files are unusable.
    """
    settings = deployment.tls.get(side)
    if settings is None:
        return None

    files = TlsFiles(
        _settings_file(deployment, settings.certificate),
        _settings_file(deployment, settings.key),
        _settings_file(deployment, settings.authority),
        settings.client_certificates,
        settings.min_version,
        settings.ciphers,
        settings.expiry_warning_days,
    )
    return CertificateReloader(files, side != "to-workers", alpn, log, wall_ms)
