"""TLS contexts from files, made anew when the files change; certificates' ends told ahead.

Connections that stand keep what they began with; the next handshake takes the new files.  Files that cannot be used
change nothing: the old context goes on, and that is told.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from cryptography.hazmat.primitives.serialization import Encoding

from kelptrail.certificates.authority import AuthorityError, read_certificate
from kelptrail.certificates.names import certificate_names

VERSIONS = {"tls-1.2": ssl.TLSVersion.TLSv1_2, "tls-1.3": ssl.TLSVersion.TLSv1_3}
DAY_MS = 86_400_000.0


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """One side's files and terms.  `certificate` holds the chain, and the key too where `key` is None; `authority` is
    whom peers must be vouched for by; `peers`: "none", "asked" or "required" of a client's certificate."""

    certificate: Path | None
    key: Path | None = None
    authority: Path | None = None
    peers: str = "none"
    least: str = "tls-1.2"
    ciphers: str = ""
    warn_days: float = 14.0


class Expiry:
    """When to tell of a certificate's end: once a day from so many days ahead.  Free of I/O; wall time in ms."""

    def __init__(self, warn_days: float) -> None:
        self._warn_days, self._told_at = warn_days, float("-inf")

    def due(self, wall: float, ends: float) -> float | None:
        """Days left, where that is to be told now."""
        left = (ends - wall) / DAY_MS
        if left > self._warn_days or wall < self._told_at + DAY_MS:
            return None
        self._told_at = wall
        return left


class CertificateReloader:
    """One side's context.  Raises `ValueError` at the first start where the files cannot be used."""

    def __init__(
        self, files: TlsFiles, server_side: bool, alpn: list[str], log: Any, wall: Callable[[], float]
    ) -> None:
        self._files, self._server_side, self._alpn, self._log, self._wall = files, server_side, alpn, log, wall
        self._seen: tuple[tuple[str, int, int], ...] = ()
        self._expiry = Expiry(files.warn_days)
        self.ends: float | None = None  # wall ms
        self.names: list[str] = []
        self.loads = self.failures = 0
        self._seen = self._stamps()
        self._context = self._make()

    def context(self) -> ssl.SSLContext:
        """The context in force."""
        return self._context

    def look(self) -> None:
        """Take up changed files; tell of an end that is near."""
        stamps = self._stamps()
        if stamps != self._seen:
            self._seen = stamps
            try:
                self._context = self._make()
                self._expiry = Expiry(self._files.warn_days)
                self._log.info("tls-reloaded", names=self.names, ends=self._day())
            except ValueError as cause:
                self.failures += 1
                self._log.error("tls-unusable", reason=str(cause))
        if self.ends is not None and (left := self._expiry.due(self._wall(), self.ends)) is not None:
            self._log.warning("certificate-ends", names=self.names, days=round(left, 1), ends=self._day())

    def status(self) -> dict[str, Any]:
        """What operators are shown; nothing of it is secret."""
        left = (self.ends - self._wall()) / DAY_MS if self.ends is not None else None
        return {
            "names": self.names,
            "ends": self._day(),
            "days_left": round(left, 2) if left is not None else None,
            "loads": self.loads,
            "failures": self.failures,
        }

    def _day(self) -> str | None:
        return datetime.fromtimestamp(self.ends / 1000, UTC).isoformat() if self.ends is not None else None

    def _stamps(self) -> tuple[tuple[str, int, int], ...]:
        out = []
        for file in (self._files.certificate, self._files.key, self._files.authority):
            if file is not None:
                try:
                    stat = file.stat()
                    out.append((str(file), stat.st_mtime_ns, stat.st_ino))
                except OSError:
                    out.append((str(file), 0, 0))
        return tuple(out)

    def _make(self) -> ssl.SSLContext:
        files = self._files
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if self._server_side else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = VERSIONS[files.least]
        context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
        try:
            if files.ciphers:
                context.set_ciphers(files.ciphers)
            if files.certificate is not None:
                context.load_cert_chain(files.certificate, files.key)
                found = read_certificate(files.certificate.read_bytes())
                self.names = certificate_names(found.public_bytes(Encoding.DER))
                self.ends = found.not_valid_after_utc.timestamp() * 1000
            if files.authority is not None:
                context.load_verify_locations(files.authority)
        except (OSError, ssl.SSLError, AuthorityError) as cause:  # never the files' contents
            named = ", ".join(str(f) for f in (files.certificate, files.key, files.authority) if f is not None)
            raise ValueError(f"{named}: {cause}") from None
        if self._server_side:
            context.verify_mode = {"none": ssl.CERT_NONE, "asked": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}[
                files.peers
            ]
        if self._alpn:
            context.set_alpn_protocols(self._alpn)
        self.loads += 1
        return context
