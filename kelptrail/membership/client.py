"""Follows a roster source: long polls over HTTP, keeps the last list on disk, starts from it.

The list on disk is the only thing that a dispatcher knows after a restart; ages in it only ever grow, so that a
worker is never taken to be warmer than it may be.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from kelptrail.codec.http import HttpError
from kelptrail.net.http_client import HttpClient

from .members import EndpointList

_decode = msgspec.json.Decoder(EndpointList).decode


class EndpointClient:
    """One source; `changed` is called with every new list.  Times are milliseconds."""

    def __init__(
        self,
        address: str,
        client_name: str,
        on_change: Callable[[EndpointList], None],
        saved_file: Path | None,
        log: Any,
        poll_wait_ms: float = 2000.0,
        backoff_ms: float = 200.0,
    ) -> None:
        self._address, self._client_name, self._on_change, self._saved_file, self._log = (
            address,
            client_name,
            on_change,
            saved_file,
            log,
        )
        self._poll_wait_ms, self._backoff_ms = poll_wait_ms, backoff_ms
        self.address = ""  # where this dispatcher can be asked for what it took
        self.channel_address = ""  # where its channel to other dispatchers listens
        self.zone = ""  # where it stands
        self.endpoints: EndpointList | None = None
        self.saved = True  # whether the last list could be kept

    def load_saved(self) -> bool:
        """Take up the list on disk, if there is a sound one."""
        if self._saved_file is None or not self._saved_file.exists():
            return False
        try:
            endpoints = _decode(self._saved_file.read_bytes())
        except (OSError, msgspec.MsgspecError) as cause:
            self._log.warning("last-list-unusable", file=str(self._saved_file), reason=str(cause))
            return False
        # Its lineage is dropped: whatever the source says first replaces it.
        self._on_change(EndpointList(-1, endpoints.workers, "last", endpoints.dispatchers))
        return True

    async def follow(self) -> None:
        """Ask on and on; failures keep the old list and are tried again after a pause."""
        http, backoff_ms = HttpClient(self._address), self._backoff_ms
        while True:
            known_version = f"{self.endpoints.lineage}:{self.endpoints.version}" if self.endpoints else ""
            try:
                response = await http.request(
                    "GET",
                    f"/workers?who={self._client_name}&at={self.address}&channel={self.channel_address}"
                    f"&hall={self.zone}"
                    f"&known={known_version}&wait={self._poll_wait_ms:g}",
                    timeout_ms=self._poll_wait_ms + 3000,
                )
                if response.status == 304:
                    continue
                if response.status != 200:
                    raise HttpError(response.status, "no list")
                endpoints = _decode(response.body)
            except (OSError, HttpError, msgspec.MsgspecError) as cause:
                self._log.warning("list-failed", reason=str(cause) or type(cause).__name__)
                await asyncio.sleep(backoff_ms / 1000)
                backoff_ms = min(5000.0, backoff_ms * 2)
                continue
            backoff_ms = self._backoff_ms
            self.endpoints = endpoints
            self._on_change(endpoints)
            self._save(response.body)

    def _save(self, body: bytes) -> None:
        if self._saved_file is None:
            return
        try:
            temporary = self._saved_file.with_suffix(".new")
            with open(temporary, "wb") as file:
                file.write(body)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._saved_file)
            self.saved = True
        except OSError as cause:
            self.saved = False
            self._log.warning("last-list-unsaved", reason=str(cause))
