"""Follows the endpoint list of an endpoint source by HTTP long polls, and saves each new list to disk.

After a restart, the saved list is the only information until the source answers.  The workers' ages in it are those at
the time of saving, so a worker that has not restarted since then may be treated as in slow start for too long, but
never too briefly.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from kelptrail.codec.http import HttpError
from kelptrail.net.http_client import HttpClient
from kelptrail.store.atomic_file import replace_file

from .members import EndpointList

POLL_MARGIN_MS = 3000.0  # added to the requested wait to get the timeout of a poll
MAX_BACKOFF_MS = 5000.0

_decode = msgspec.json.Decoder(EndpointList).decode


class EndpointClient:
    """Client of one endpoint source.  Times are in milliseconds.

    `on_change` is called with every new list, and by `load_saved` with the saved list.
    """

    def __init__(
        self,
        source_address: str,
        client_name: str,
        on_change: Callable[[EndpointList], None],
        saved_file: Path | None,
        log: Any,
        poll_wait_ms: float = 2000.0,
        backoff_ms: float = 200.0,
    ) -> None:
        self._source_address, self._client_name, self._on_change, self._saved_file, self._log = (
            source_address,
            client_name,
            on_change,
            saved_file,
            log,
        )
        self._poll_wait_ms, self._backoff_ms = poll_wait_ms, backoff_ms
        # The dispatcher that polls lists itself with these.  A planner leaves them empty and is not listed.
        self.address = ""  # address at which the dispatcher answers polls for its activations
        self.channel_address = ""  # address of its peer listener
        self.zone = ""
        self.endpoints: EndpointList | None = None
        # Called for each valid answer of the source, also if the list has not changed.
        self.on_response: Callable[[], None] = lambda: None
        self.saved = True  # False if the last attempt to save a list failed; True before the first

    def load_saved(self) -> bool:
        """Apply the saved list.  Return False if there is none or it is unreadable."""
        if self._saved_file is None or not self._saved_file.exists():
            return False
        try:
            endpoints = _decode(self._saved_file.read_bytes())
        except (OSError, msgspec.MsgspecError) as cause:
            self._log.warning("saved-endpoints-unusable", file=str(self._saved_file), reason=str(cause))
            return False
        # The lineage is replaced, so that the first list of the source is applied whatever its version.
        self._on_change(EndpointList(-1, endpoints.workers, "last", endpoints.dispatchers))
        return True

    async def follow(self) -> None:
        """Poll until cancelled.  After a failure, the current list stays and the poll is retried with backoff."""
        http, backoff_ms = HttpClient(self._source_address), self._backoff_ms
        while True:
            known_version = f"{self.endpoints.lineage}:{self.endpoints.version}" if self.endpoints else ""
            try:
                # `who` and `at` are the client's name and address (empty for a planner), `hall` is its zone.
                response = await http.request(
                    "GET",
                    f"/workers?who={self._client_name}&at={self.address}&channel={self.channel_address}"
                    f"&hall={self.zone}"
                    f"&known={known_version}&wait={self._poll_wait_ms:g}",
                    timeout_ms=self._poll_wait_ms + POLL_MARGIN_MS,
                )
                if response.status == 304:
                    self.on_response()
                    continue
                if response.status != 200:
                    raise HttpError(response.status, "the endpoint source returned no endpoint list")
                endpoints = _decode(response.body)
            except (OSError, HttpError, msgspec.MsgspecError) as cause:
                self._log.warning("endpoint-poll-failed", reason=str(cause) or type(cause).__name__)
                await asyncio.sleep(backoff_ms / 1000)
                backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2)
                continue
            backoff_ms = self._backoff_ms
            self.endpoints = endpoints
            self._on_change(endpoints)
            self.on_response()
            self._save(response.body)

    def _save(self, body: bytes) -> None:
        if self._saved_file is None:
            return
        try:
            replace_file(self._saved_file, body)
            self.saved = True
        except OSError as cause:
            self.saved = False
            self._log.warning("endpoints-not-saved", reason=str(cause))
