"""Who calls: basic authentication (RFC 7617) with `uuid:key`, or the name in a client's certificate; for both fronts.

Keys are compared as SHA-256 digests in constant time; those of the settings may be given as digests only, two at once
while one takes over from the other.  Keys are random and long, so a plain digest is enough: there is nothing to guess.
"""

from __future__ import annotations

import base64
import binascii
import hmac
from collections.abc import Callable
from typing import Protocol

from kelptrail.certificates.names import certificate_names, key_digest
from kelptrail.settings.deployment import Deployment, NamespaceSettings

UNSURE = 0.75  # of a call's time, after which its client is told that it is not known whether others keep it
KNOWN = 4096  # sound headers kept so that they are not compared anew


class Finder(Protocol):
    """Asks other dispatchers."""

    def find(self, id_: str, done: Callable[[str | None], None]) -> None:
        """Who has an activation; see `Copies.find`."""


class Callers:
    """The namespaces of a deployment by their credentials."""

    def __init__(self, deployment: Deployment) -> None:
        self._by_uuid = {n.uuid.lower(): n for n in deployment.namespaces.values()}
        self._digests = {
            n.name: [h.digest.lower().encode() for h in n.key_hash] + ([key_digest(n.key).encode()] if n.key else [])
            for n in deployment.namespaces.values()
        }
        self._by_certificate = {c.name: n for n in deployment.namespaces.values() for c in n.certificate}
        self._known: dict[str, NamespaceSettings] = {}

    def of(self, header: str) -> NamespaceSettings | None:
        """The caller by an `authorization` header, or None."""
        if (known := self._known.get(header)) is not None:
            return known
        scheme, _, coded = header.partition(" ")
        if scheme.lower() != "basic":
            return None
        try:
            uuid, _, key = base64.b64decode(coded.strip(), validate=True).decode().partition(":")
        except (binascii.Error, UnicodeDecodeError):
            return None
        found = self._by_uuid.get(uuid.lower())
        given = key_digest(key).encode()
        good = False
        for kept in self._digests[found.name] if found else [b"sha256:" + b"0" * 64]:
            good |= hmac.compare_digest(given, kept)
        if found is None or not good or not key:
            return None
        if len(self._known) < KNOWN:
            self._known[header] = found
        return found

    def named(self, certificate: bytes | None) -> str:
        """The namespace of a client's certificate (DER), which the handshake has checked; empty where it names none."""
        if certificate is None or not self._by_certificate:
            return ""
        return next(
            (self._by_certificate[n].name for n in certificate_names(certificate) if n in self._by_certificate), ""
        )
