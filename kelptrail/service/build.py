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
    """Return the limits of the invoke API's HTTP server."""
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


def grpc_limits(inference: InferenceSettings) -> GrpcLimits:
    """Return the limits of the inference API's gRPC server."""
    return GrpcLimits(
        inference.connections,
        inference.streams,
        inference.header_bytes,
        inference.message_bytes,
        inference.max_partial_mb * 1e6,
        inference.max_unwritten_mb * 1e6,
        inference.stream_bytes,
        inference.read_ms,
        inference.write_ms,
        inference.idle_ms,
        inference.handshake_ms,
        GuardSettings(
            inference.flood_burst, inference.flood_per_s, inference.max_connection_age_ms, inference.close_grace_ms
        ),
    )


def _settings_file(deployment: Deployment, name: str) -> Path | None:
    """Return the path of a file named in the settings, relative to the settings' folder; None if no name is given."""
    return deployment.folder / name if name else None


def certificate_reloader(deployment: Deployment, side: str, alpn: list[str], log: Any) -> CertificateReloader | None:
    """Return the certificate reloader for `side`, or None if the settings have no TLS for it.

    The sides are "front" (both client APIs), "to-workers" and "runners" (the emulated workers); all but "to-workers"
    are the server side.  Raises `ValueError` if the certificate files are unusable.
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
