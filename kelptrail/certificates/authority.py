"""A private certificate authority in a folder; uses the `cryptography` library, certificates after RFC 5280.

`authority.pem` (certificate) and `authority.key`; for each name `NAME.pem`, its key and certificate in one file, so
that a reader never sees one without the other.  Files are replaced atomically; keys are readable by their owner only.
"""

from __future__ import annotations

import os
import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from ipaddress import ip_address
from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from .names import certificate_names, key_digest

CERTIFICATE, KEY = "authority.pem", "authority.key"
BACK_DATED = timedelta(minutes=5)  # clocks of others may be a little behind
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.@-]{0,62}")


class AuthorityError(Exception):
    """The operation is not possible; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class IssuedCertificate:
    """The public content of a certificate."""

    name: str
    names: list[str]
    usage: str
    serial: str
    valid_from: datetime
    valid_until: datetime

    def days_left(self, now: datetime) -> float:
        """Days until it expires; negative once it has."""
        return (self.valid_until - now).total_seconds() / 86_400


def read_certificate(pem: bytes) -> x509.Certificate:
    """Parse the first certificate of a PEM text.  Raises `AuthorityError`."""
    try:
        return x509.load_pem_x509_certificates(pem)[0]
    except (ValueError, IndexError) as cause:
        raise AuthorityError(f"no certificate: {cause}") from None


def describe(name: str, certificate: x509.Certificate) -> IssuedCertificate:
    """Describe a certificate: names, usage, serial number, validity."""
    try:
        use = certificate.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
        words = {ExtendedKeyUsageOID.SERVER_AUTH: "server", ExtendedKeyUsageOID.CLIENT_AUTH: "client"}
        kind = "+".join(words.get(one, one.dotted_string) for one in use)
    except x509.ExtensionNotFound:
        kind = "authority"
    der = certificate.public_bytes(serialization.Encoding.DER)
    return IssuedCertificate(
        name,
        certificate_names(der),
        kind,
        f"{certificate.serial_number:x}",
        certificate.not_valid_before_utc,
        certificate.not_valid_after_utc,
    )


class ApiKey(NamedTuple):
    """The API key of a namespace, and its digest for the settings."""

    key: str
    digest: str


def new_api_key() -> ApiKey:
    """Generate an API key for a namespace."""
    key = secrets.token_urlsafe(48)
    return ApiKey(key, key_digest(key))


class Authority:
    """The authority in one folder.  Raises `AuthorityError` where the folder holds none."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        try:
            self._certificate = read_certificate((folder / CERTIFICATE).read_bytes())
            key = serialization.load_pem_private_key((folder / KEY).read_bytes(), None)
        except OSError as cause:
            raise AuthorityError(
                f"{folder} holds no authority: {cause.strerror}; `kelptrail keys init` makes one"
            ) from None
        except ValueError as cause:
            raise AuthorityError(f"{folder / KEY} is no key: {cause}") from None
        certified = self._certificate.public_key()
        if (
            not isinstance(key, ec.EllipticCurvePrivateKey)
            or not isinstance(certified, ec.EllipticCurvePublicKey)
            or key.public_key().public_numbers() != certified.public_numbers()
        ):
            raise AuthorityError(f"{folder / KEY} does not belong to {folder / CERTIFICATE}")
        self._key = key

    @classmethod
    def create(cls, folder: Path, name: str, days: int, now: datetime) -> Authority:
        """Create an authority.  Raises `AuthorityError` where the folder has one: it is never overwritten."""
        _check_name(name)
        folder.mkdir(parents=True, exist_ok=True)
        if (folder / KEY).exists() or (folder / CERTIFICATE).exists():
            raise AuthorityError(f"{folder} holds an authority already")
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - BACK_DATED)
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(_key_usage(authority=True), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .sign(key, hashes.SHA256())
        )
        _write_file(folder / KEY, _private_key_pem(key), 0o600)
        _write_file(folder / CERTIFICATE, certificate.public_bytes(serialization.Encoding.PEM), 0o644)
        return cls(folder)

    def issue(
        self,
        name: str,
        others: Iterable[str],
        server: bool,
        client: bool,
        days: int,
        now: datetime,
        again: bool = False,
    ) -> IssuedCertificate:
        """Issue a certificate for a name, with `others` (DNS names, URIs, addresses) as alternative names.

        Raises `AuthorityError` where the name has a certificate already, unless `again`.
        """
        _check_name(name)
        file = self._folder / f"{name}.pem"
        if file.exists() and not again:
            raise AuthorityError(f"{name} has a certificate already; `kelptrail keys rotate` renews it")
        if not server and not client:
            raise AuthorityError("a certificate is for a server, a client or both")
        ends = min(now + timedelta(days=days), self._certificate.not_valid_after_utc)
        if ends <= now:
            raise AuthorityError("the authority itself has ended")
        key = ec.generate_private_key(ec.SECP256R1())
        wanted_uses = ((ExtendedKeyUsageOID.SERVER_AUTH, server), (ExtendedKeyUsageOID.CLIENT_AUTH, client))
        uses = [use for use, wanted in wanted_uses if wanted]
        names = [_general_name(one) for one in dict.fromkeys([name, *others])]
        certificate = self._sign(name, names, uses, key.public_key(), now - BACK_DATED, ends)
        _write_file(file, _private_key_pem(key) + certificate.public_bytes(serialization.Encoding.PEM), 0o600)
        return describe(name, certificate)

    def _sign(
        self,
        name: str,
        names: list[x509.GeneralName],
        uses: list[x509.ObjectIdentifier],
        public_key: ec.EllipticCurvePublicKey,
        begins: datetime,
        ends: datetime,
    ) -> x509.Certificate:
        """Sign an end-entity certificate (RFC 5280) for a public key."""
        authority_key = self._key.public_key()
        return (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
            .issuer_name(self._certificate.subject)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(ends)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(_key_usage(authority=False), critical=True)
            .add_extension(x509.ExtendedKeyUsage(uses), critical=False)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(public_key), critical=False)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(authority_key), critical=False)
            .sign(self._key, hashes.SHA256())
        )

    def rotate(self, name: str, days: int, now: datetime) -> IssuedCertificate:
        """Issue a new key and certificate for the same names and usage; the old file becomes `NAME.pem.old`."""
        file = self._folder / f"{name}.pem"
        if not file.exists():
            raise AuthorityError(f"{name} has no certificate yet")
        kept = file.read_bytes()
        before = describe(name, read_certificate(kept))
        _write_file(file.with_suffix(".pem.old"), kept, 0o600)
        return self.issue(
            name,
            [n for n in before.names if n != name],
            "server" in before.usage,
            "client" in before.usage,
            days,
            now,
            again=True,
        )

    def list_issued(self) -> list[IssuedCertificate]:
        """Describe the authority, then its certificates by name.  Raises `AuthorityError` for an unreadable file."""
        out = [describe("authority", self._certificate)]
        for file in sorted(self._folder.glob("*.pem")):
            if file.name != CERTIFICATE:
                try:
                    out.append(describe(file.stem, read_certificate(file.read_bytes())))
                except AuthorityError as cause:
                    raise AuthorityError(f"{file}: {cause}") from None
        return out


def _check_name(name: str) -> None:
    if not _NAME.fullmatch(name) or name == "authority":
        raise AuthorityError(f"{name[:80]!r} is no name: letters, digits, _ . @ -, 63 at most, and not 'authority'")


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ip_address(name))
    except ValueError:
        return x509.UniformResourceIdentifier(name) if "://" in name else x509.DNSName(name)


def _key_usage(authority: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=True,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=authority,
        crl_sign=authority,
        encipher_only=False,
        decipher_only=False,
    )


def _private_key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _write_file(file: Path, data: bytes, mode: int) -> None:
    draft = file.with_name(file.name + ".new")
    handle = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    with os.fdopen(handle, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    draft.chmod(mode)
    draft.replace(file)
