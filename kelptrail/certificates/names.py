"""Names in certificates, and digests of API keys."""

from __future__ import annotations

import hashlib

from cryptography import x509
from cryptography.x509.oid import NameOID


def key_digest(key: str) -> str:
    """Return the digest of an API key in the form used in settings, `sha256:HEX`."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def certificate_names(der: bytes) -> list[str]:
    """Return the names in a DER certificate: the common name, then the alternative names that differ from it."""
    certificate = x509.load_der_x509_certificate(der)
    names = [str(attribute.value) for attribute in certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)]
    try:
        alternative_names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return names
    return names + [str(name.value) for name in alternative_names if str(name.value) not in names]
