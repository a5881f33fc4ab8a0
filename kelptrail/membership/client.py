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
        who: str,
        changed: Callable[[EndpointList], None],
        last: Path | None,
        log: Any,
        wait_ms: float = 2000.0,
        pause_ms: float = 200.0,
    ) -> None:
        self._address, self._who, self._changed, self._last, self._log = address, who, changed, last, log
        self._wait_ms, self._pause_ms = wait_ms, pause_ms
        self.own = ""  # where this dispatcher can be asked for what it took
        self.channel = ""  # where its channel to other dispatchers listens
        self.hall = ""  # where it stands
        self.listing: EndpointList | None = None
        self.saved = True  # whether the last list could be kept

    def start_from_last(self) -> bool:
        """Take up the list on disk, if there is a sound one."""
        if self._last is None or not self._last.exists():
            return False
        try:
            listing = _decode(self._last.read_bytes())
        except (OSError, msgspec.MsgspecError) as cause:
            self._log.warning("last-list-unusable", file=str(self._last), reason=str(cause))
            return False
        # Its lineage is dropped: whatever the source says first replaces it.
        self._changed(EndpointList(-1, listing.workers, "last", listing.dispatchers))
        return True

    async def follow(self) -> None:
        """Ask on and on; failures keep the old list and are tried again after a pause."""
        errand, pause = HttpClient(self._address), self._pause_ms
        while True:
            known = f"{self.listing.lineage}:{self.listing.version}" if self.listing else ""
            try:
                response = await errand.request(
                    "GET",
                    f"/workers?who={self._who}&at={self.own}&channel={self.channel}"
                    f"&hall={self.hall}"
                    f"&known={known}&wait={self._wait_ms:g}",
                    timeout_ms=self._wait_ms + 3000,
                )
                if response.status == 304:
                    continue
                if response.status != 200:
                    raise HttpError(response.status, "no list")
                listing = _decode(response.body)
            except (OSError, HttpError, msgspec.MsgspecError) as cause:
                self._log.warning("list-failed", reason=str(cause) or type(cause).__name__)
                await asyncio.sleep(pause / 1000)
                pause = min(5000.0, pause * 2)
                continue
            pause = self._pause_ms
            self.listing = listing
            self._changed(listing)
            self._keep(response.body)

    def _keep(self, body: bytes) -> None:
        if self._last is None:
            return
        try:
            draft = self._last.with_suffix(".new")
            with open(draft, "wb") as file:
                file.write(body)
                file.flush()
                os.fsync(file.fileno())
            draft.replace(self._last)
            self.saved = True
        except OSError as cause:
            self.saved = False
            self._log.warning("last-list-unsaved", reason=str(cause))
