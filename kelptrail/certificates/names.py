"""Names in certificates, and digests of API keys."""

from __future__ import annotations

import hashlib

from cryptography import x509
from cryptography.x509.oid import NameOID


def key_digest(key: str) -> str:
    """The digest of a key as the settings hold it: `sha256:HEX`."""
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def certificate_names(der: bytes) -> list[str]:
    """The names in a DER certificate: the common name, then DNS names, URIs and addresses."""
    certificate = x509.load_der_x509_certificate(der)
    found = [str(a.value) for a in certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)]
    try:
        others = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return found
    return found + [str(o.value) for o in others if str(o.value) not in found]
