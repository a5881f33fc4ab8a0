"""Authentication of clients: HTTP basic authentication (RFC 7617) with `uuid:key`, or a client certificate.

Keys are compared as SHA-256 digests in constant time.  The settings of a namespace may contain digests instead of the
key: up to two, so that a new key can be introduced before the old one is removed.  Keys are long and random, so a plain
digest without salt or stretching is sufficient.
"""

from __future__ import annotations

import base64
import binascii
import hmac

from kelptrail.certificates.names import certificate_names, key_digest
from kelptrail.settings.deployment import Deployment, NamespaceSettings

# Maximum number of cached `authorization` headers.  Only valid headers are cached; their keys are not compared again.
MAX_CACHED_HEADERS = 4096
# Compared with the key of an unknown uuid, so that the check takes as long as for a known one.
UNKNOWN_UUID_DIGEST = b"sha256:" + b"0" * 64


class Authenticator:
    """Maps a client's credentials to its namespace."""

    def __init__(self, deployment: Deployment) -> None:
        namespaces = deployment.namespaces.values()
        self._by_name = deployment.namespaces
        self._by_uuid = {namespace.uuid.lower(): namespace for namespace in namespaces}
        self._key_digests = {namespace.name: _key_digests(namespace) for namespace in namespaces}
        self._by_certificate = {
            certificate.name: namespace for namespace in namespaces for certificate in namespace.certificate
        }
        self._by_header: dict[str, NamespaceSettings] = {}

    def authenticate(self, authorization: str, identity: str) -> NamespaceSettings | None:
        """Return the client's namespace, or None if its credentials are invalid.

        `authorization` is the header, or empty without one.  `identity` is the namespace that
        `namespace_of_certificate` returned for the connection; it is used only without the header.
        """
        if authorization:
            return self.by_header(authorization)
        return self._by_name.get(identity) if identity else None

    def by_header(self, header: str) -> NamespaceSettings | None:
        """Return the namespace of an `authorization` header, or None if the header is invalid."""
        if (cached := self._by_header.get(header)) is not None:
            return cached
        scheme, _, encoded = header.partition(" ")
        if scheme.lower() != "basic":
            return None
        try:
            uuid, _, key = base64.b64decode(encoded.strip(), validate=True).decode().partition(":")
        except (binascii.Error, UnicodeDecodeError):
            return None
        namespace = self._by_uuid.get(uuid.lower())
        if not self._key_matches(namespace, key) or namespace is None or not key:
            return None
        if len(self._by_header) < MAX_CACHED_HEADERS:
            self._by_header[header] = namespace
        return namespace

    def _key_matches(self, namespace: NamespaceSettings | None, key: str) -> bool:
        """Return whether the namespace has this key; compare all digests, so that each key takes the same time."""
        digest = key_digest(key).encode()
        matches = False
        for accepted in self._key_digests[namespace.name] if namespace else [UNKNOWN_UUID_DIGEST]:
            matches |= hmac.compare_digest(digest, accepted)
        return matches

    def namespace_of_certificate(self, certificate: bytes | None) -> str:
        """Return the namespace that a client certificate names, or "" if there is none.

        The certificate is in DER form and was verified by the TLS handshake.
        """
        if certificate is None or not self._by_certificate:
            return ""
        names = certificate_names(certificate)
        return next((self._by_certificate[name].name for name in names if name in self._by_certificate), "")


def _key_digests(namespace: NamespaceSettings) -> list[bytes]:
    digests = [hashed.digest.lower().encode() for hashed in namespace.key_hash]
    if namespace.key:
        digests.append(key_digest(namespace.key).encode())
    return digests
