"""From the deployment's settings to those of servers and TLS."""

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
    """Limits of the HTTP front's server."""
    return Limits(
        front.connections,
        front.header_bytes,
        front.body_bytes,
        front.pipelined,
        front.read_ms,
        front.write_ms,
        front.idle_ms,
        front.unread_mb * 1e6,
    )


def grpc_limits(front: InferenceSettings) -> GrpcLimits:
    """Limits of the gRPC front's server."""
    return GrpcLimits(
        front.connections,
        front.streams,
        front.header_bytes,
        front.message_bytes,
        front.partial_mb * 1e6,
        front.unread_mb * 1e6,
        front.stream_bytes,
        front.read_ms,
        front.write_ms,
        front.idle_ms,
        front.handshake_ms,
        GuardSettings(front.flood_at_once, front.flood_per_s, front.age_ms, front.grace_ms),
    )


def _settings_file(deployment: Deployment, name: str) -> Path | None:
    """A file that the settings name, relative to their own folder."""
    return deployment.folder / name if name else None


def certificate_reloader(deployment: Deployment, side: str, alpn: list[str], log: Any) -> CertificateReloader | None:
    """One side's TLS, if the settings have it.  Raises `ValueError` where its files are unusable."""
    found = deployment.tls.get(side)
    if found is None:
        return None

    files = TlsFiles(
        _settings_file(deployment, found.certificate),
        _settings_file(deployment, found.key),
        _settings_file(deployment, found.authority),
        found.peers,
        found.least,
        found.ciphers,
        found.warn_days,
    )
    return CertificateReloader(files, side != "to-workers", alpn, log, wall_ms)
