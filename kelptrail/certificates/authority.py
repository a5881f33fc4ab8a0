"""A private certificate authority in a folder; certificates follow RFC 5280 (library: `cryptography`).

The folder holds the authority's certificate `authority.pem` and its key `authority.key`.  Each issued `NAME.pem` holds
both key and certificate, so that a reader never sees one without the other.  Files are replaced atomically; keys are
readable by their owner only.
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
# Certificates become valid this long before they are issued, because peers' clocks may be behind.
CLOCK_SKEW_ALLOWANCE = timedelta(minutes=5)
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.@-]{0,62}")


class AuthorityError(Exception):
    """An operation of the authority failed; the message gives the reason."""


@dataclass(frozen=True, slots=True)
class IssuedCertificate:
    """The public contents of a certificate."""

    name: str  # name of its file, without the suffix
    names: list[str]  # common name and alternative names
    usage: str  # see `describe`
    serial: str
    valid_from: datetime
    valid_until: datetime

    def days_left(self, now: datetime) -> float:
        """Return the days until the certificate expires, negative once it has expired."""
        return (self.valid_until - now).total_seconds() / 86_400


def read_certificate(pem: bytes) -> x509.Certificate:
    """Parse the first certificate in PEM data.  Raises `AuthorityError` if there is no valid one."""
    try:
        return x509.load_pem_x509_certificates(pem)[0]
    except (ValueError, IndexError) as cause:
        raise AuthorityError(f"no valid certificate: {cause}") from None


def describe(name: str, certificate: x509.Certificate) -> IssuedCertificate:
    """Return the names, usage, serial number and validity period of a certificate.

    The usage is "server", "client", the dotted OID of another usage, or several of these joined by "+"; it is
    "authority" for a certificate without an extended key usage.
    """
    try:
        extended_usage = certificate.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
        usage_names = {ExtendedKeyUsageOID.SERVER_AUTH: "server", ExtendedKeyUsageOID.CLIENT_AUTH: "client"}
        usage = "+".join(usage_names.get(oid, oid.dotted_string) for oid in extended_usage)
    except x509.ExtensionNotFound:
        usage = "authority"
    der = certificate.public_bytes(serialization.Encoding.DER)
    return IssuedCertificate(
        name,
        certificate_names(der),
        usage,
        f"{certificate.serial_number:x}",
        certificate.not_valid_before_utc,
        certificate.not_valid_after_utc,
    )


class ApiKey(NamedTuple):
    """An API key of a namespace, and its digest for the settings."""

    key: str
    digest: str


def new_api_key() -> ApiKey:
    """Generate an API key for a namespace."""
    key = secrets.token_urlsafe(48)
    return ApiKey(key, key_digest(key))


class Authority:
    """The certificate authority in one folder.  Raises `AuthorityError` if the folder has no usable one."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        try:
            self._certificate = read_certificate((folder / CERTIFICATE).read_bytes())
            key = serialization.load_pem_private_key((folder / KEY).read_bytes(), None)
        except OSError as cause:
            raise AuthorityError(
                f"{folder} has no authority: {cause.strerror}; `kelptrail keys init` creates one"
            ) from None
        except ValueError as cause:
            raise AuthorityError(f"{folder / KEY} is not a private key: {cause}") from None
        certified_key = self._certificate.public_key()
        if (
            not isinstance(key, ec.EllipticCurvePrivateKey)
            or not isinstance(certified_key, ec.EllipticCurvePublicKey)
            or key.public_key().public_numbers() != certified_key.public_numbers()
        ):
            raise AuthorityError(f"{folder / KEY} does not belong to {folder / CERTIFICATE}")
        self._key = key

    @classmethod
    def create(cls, folder: Path, name: str, days: int, now: datetime) -> Authority:
        """Create an authority in a folder.

        An existing authority is never overwritten; raises `AuthorityError` if the folder has one.
        """
        _check_name(name)
        folder.mkdir(parents=True, exist_ok=True)
        if (folder / KEY).exists() or (folder / CERTIFICATE).exists():
            raise AuthorityError(f"{folder} has an authority already")
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - CLOCK_SKEW_ALLOWANCE)
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
        alternative_names: Iterable[str],
        server: bool,
        client: bool,
        days: int,
        now: datetime,
        replace: bool = False,
    ) -> IssuedCertificate:
        """Issue a key and certificate for a name; alternative names are DNS names, URIs or IP addresses.

        The certificate expires no later than the authority's own.  Raises `AuthorityError` if the name is invalid, if
        the name has a certificate already and `replace` is not set, if the certificate is for neither a server nor a
        client, or if the authority's own certificate has expired.
        """
        _check_name(name)
        file = self._folder / f"{name}.pem"
        if file.exists() and not replace:
            raise AuthorityError(f"{name} has a certificate already; `kelptrail keys rotate` renews it")
        if not server and not client:
            raise AuthorityError("a certificate must be for a server, a client or both")
        valid_until = min(now + timedelta(days=days), self._certificate.not_valid_after_utc)
        if valid_until <= now:
            raise AuthorityError("the authority's own certificate has expired")
        key = ec.generate_private_key(ec.SECP256R1())
        requested_usages = ((ExtendedKeyUsageOID.SERVER_AUTH, server), (ExtendedKeyUsageOID.CLIENT_AUTH, client))
        usages = [usage for usage, requested in requested_usages if requested]
        names = [_general_name(each) for each in dict.fromkeys([name, *alternative_names])]
        certificate = self._sign(name, names, usages, key.public_key(), now - CLOCK_SKEW_ALLOWANCE, valid_until)
        _write_file(file, _private_key_pem(key) + certificate.public_bytes(serialization.Encoding.PEM), 0o600)
        return describe(name, certificate)

    def _sign(
        self,
        name: str,
        names: list[x509.GeneralName],
        usages: list[x509.ObjectIdentifier],
        public_key: ec.EllipticCurvePublicKey,
        valid_from: datetime,
        valid_until: datetime,
    ) -> x509.Certificate:
        """Sign an end-entity certificate (RFC 5280) for a public key."""
        authority_key = self._key.public_key()
        return (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
            .issuer_name(self._certificate.subject)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(valid_from)
            .not_valid_after(valid_until)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(_key_usage(authority=False), critical=True)
            .add_extension(x509.ExtendedKeyUsage(usages), critical=False)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(public_key), critical=False)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(authority_key), critical=False)
            .sign(self._key, hashes.SHA256())
        )

    def rotate(self, name: str, days: int, now: datetime) -> IssuedCertificate:
        """Issue a new key and certificate for the same names and usage; the old file is kept as `NAME.pem.old`.

        Raises `AuthorityError` if there is no old certificate or it cannot be parsed, and as `issue` does.
        """
        file = self._folder / f"{name}.pem"
        if not file.exists():
            raise AuthorityError(f"{name} has no certificate yet")
        old_pem = file.read_bytes()
        old = describe(name, read_certificate(old_pem))
        _write_file(file.with_suffix(".pem.old"), old_pem, 0o600)
        return self.issue(
            name,
            [each for each in old.names if each != name],
            "server" in old.usage,
            "client" in old.usage,
            days,
            now,
            replace=True,
        )

    def list_issued(self) -> list[IssuedCertificate]:
        """Return descriptions of the authority and then of the folder's other certificates, sorted by file name.

        Raises `AuthorityError` for a file whose certificate cannot be parsed.
        """
        issued = [describe("authority", self._certificate)]
        for file in sorted(self._folder.glob("*.pem")):
            if file.name != CERTIFICATE:
                try:
                    issued.append(describe(file.stem, read_certificate(file.read_bytes())))
                except AuthorityError as cause:
                    raise AuthorityError(f"{file}: {cause}") from None
        return issued


def _check_name(name: str) -> None:
    if not _NAME.fullmatch(name) or name == "authority":
        raise AuthorityError(
            f"{name[:80]!r} is not a valid name: 1 to 63 letters, digits and _ . @ -, the first a letter or digit, "
            "and not 'authority'"
        )


def _general_name(name: str) -> x509.GeneralName:
    """Return a name as an IP address or a URI if it is one, and else as a DNS name."""
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
    """Replace a file atomically, with the permissions `mode` from the start."""
    new_file = file.with_name(file.name + ".new")
    descriptor = os.open(new_file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    with os.fdopen(descriptor, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    new_file.chmod(mode)
    new_file.replace(file)
