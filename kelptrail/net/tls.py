"""TLS contexts from files, reloaded when the files change; warnings before a certificate expires.

Open connections keep the context that they started with; the next handshake uses the new one.  If the changed files are
unusable, the previous context stays in use and an error is logged.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NamedTuple

from cryptography.hazmat.primitives.serialization import Encoding

from kelptrail.certificates.authority import AuthorityError, read_certificate
from kelptrail.certificates.names import certificate_names

VERSIONS = {"tls-1.2": ssl.TLSVersion.TLSv1_2, "tls-1.3": ssl.TLSVersion.TLSv1_3}
DAY_MS = 86_400_000.0


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files and options of the client or the server side.

    `certificate` holds the chain, and also the key where `key` is None.  `authority` is the CA that must have signed
    the certificates of peers.  `client_certificates` is "none" (not requested), "asked" (requested) or "required".
    Warnings start `expiry_warning_days` days before the certificate expires.
    """

    certificate: Path | None
    key: Path | None = None
    authority: Path | None = None
    client_certificates: str = "none"
    min_version: str = "tls-1.2"
    ciphers: str = ""
    expiry_warning_days: float = 14.0


class FileStamp(NamedTuple):
    """Identifies one version of a file; the numbers are zero where the file cannot be examined."""

    path: str
    modified_ns: int
    inode: int


class ExpiryWarning:
    """Decides when to warn of a certificate's expiry: once a day in its last `warning_days`.  Does no I/O."""

    def __init__(self, warning_days: float) -> None:
        self._warning_days, self._warned_at = warning_days, float("-inf")

    def due(self, wall_ms: float, expires_at: float) -> float | None:
        """Return the number of days left if a warning is due now, else None.  Both times are Unix times in ms."""
        left = (expires_at - wall_ms) / DAY_MS
        if left > self._warning_days or wall_ms < self._warned_at + DAY_MS:
            return None
        self._warned_at = wall_ms
        return left


class TlsFilesError(ValueError):
    """Raised for certificate, key or authority files that cannot be used."""


class CertificateReloader:
    """Holds the TLS context of one side.  Raises `TlsFilesError` on creation if the files cannot be used."""

    def __init__(
        self, files: TlsFiles, server_side: bool, alpn: list[str], log: Any, wall_ms: Callable[[], float]
    ) -> None:
        self._files, self._server_side, self._alpn, self._log, self._wall_ms = files, server_side, alpn, log, wall_ms
        self._loaded_stamps: list[FileStamp] = []
        self._expiry = ExpiryWarning(files.expiry_warning_days)
        self.expires_at: float | None = None  # Unix time in ms
        self.names: list[str] = []
        self.loads = self.failures = 0
        self._loaded_stamps = self._file_stamps()
        self._context = self._load()

    def context(self) -> ssl.SSLContext:
        """Return the current context."""
        return self._context

    def reload_if_changed(self) -> None:
        """Reload the files if they changed, and log a warning when the certificate expires soon."""
        stamps = self._file_stamps()
        if stamps != self._loaded_stamps:
            self._loaded_stamps = stamps
            try:
                self._context = self._load()
                self._expiry = ExpiryWarning(self._files.expiry_warning_days)
                self._log.info("tls-reloaded", names=self.names, ends=self._expiry_date())
            except TlsFilesError as cause:
                self.failures += 1
                self._log.error("tls-unusable", reason=str(cause))
        if self.expires_at is not None and (left := self._expiry.due(self._wall_ms(), self.expires_at)) is not None:
            self._log.warning("certificate-ends", names=self.names, days=round(left, 1), ends=self._expiry_date())

    def status(self) -> dict[str, Any]:
        """Return the state shown to operators; none of it is secret."""
        left = (self.expires_at - self._wall_ms()) / DAY_MS if self.expires_at is not None else None
        return {
            "names": self.names,
            "ends": self._expiry_date(),
            "days_left": round(left, 2) if left is not None else None,
            "loads": self.loads,
            "failures": self.failures,
        }

    def _expiry_date(self) -> str | None:
        return datetime.fromtimestamp(self.expires_at / 1000, UTC).isoformat() if self.expires_at is not None else None

    def _file_stamps(self) -> list[FileStamp]:
        stamps = []
        for file in (self._files.certificate, self._files.key, self._files.authority):
            if file is not None:
                try:
                    stat = file.stat()
                    stamps.append(FileStamp(str(file), stat.st_mtime_ns, stat.st_ino))
                except OSError:
                    stamps.append(FileStamp(str(file), 0, 0))
        return stamps

    def _load(self) -> ssl.SSLContext:
        files = self._files
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if self._server_side else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = VERSIONS[files.min_version]
        context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
        try:
            if files.ciphers:
                context.set_ciphers(files.ciphers)
            if files.certificate is not None:
                context.load_cert_chain(files.certificate, files.key)
                certificate = read_certificate(files.certificate.read_bytes())
                self.names = certificate_names(certificate.public_bytes(Encoding.DER))
                self.expires_at = certificate.not_valid_after_utc.timestamp() * 1000
            if files.authority is not None:
                context.load_verify_locations(files.authority)
        except (OSError, ssl.SSLError, AuthorityError) as cause:  # the message never includes the files' contents
            paths = ", ".join(str(f) for f in (files.certificate, files.key, files.authority) if f is not None)
            raise TlsFilesError(f"{paths}: {cause}") from None
        if self._server_side:
            context.verify_mode = {"none": ssl.CERT_NONE, "asked": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}[
                files.client_certificates
            ]
        if self._alpn:
            context.set_alpn_protocols(self._alpn)
        self.loads += 1
        return context
