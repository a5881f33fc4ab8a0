"""State of a planner on disk, from which its next run continues."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import zstandard

from kelptrail.store.atomic_file import replace_file

from .plan import InstanceCounts

MAX_UNPACKED_BYTES = 1 << 26


class Snapshot(msgspec.Struct, frozen=True):
    """A planner's plan and its usual rates by hour.  `epoch` is only for people who inspect the file."""

    epoch: int
    instances: InstanceCounts = msgspec.field(name="wants")
    hourly_rates: dict[str, list[float]] = msgspec.field(name="hours")


_decode = msgspec.msgpack.Decoder(Snapshot).decode


class SnapshotFile:
    """Snapshot file of one planner; with `path` None nothing is loaded or saved."""

    def __init__(self, path: Path | None, log: Any) -> None:
        self._path, self._log = path, log
        self._saved = b""  # content of the last write

    def load(self) -> Snapshot | None:
        """Return the saved snapshot; None if there is none or it is unusable, which is logged."""
        if self._path is None or not self._path.exists():
            return None
        try:
            return _decode(zstandard.ZstdDecompressor().decompress(self._path.read_bytes(), MAX_UNPACKED_BYTES))
        except (OSError, zstandard.ZstdError, msgspec.MsgspecError) as cause:
            self._log.warning("snapshot-unusable", file=str(self._path), reason=str(cause))
            return None

    def save(self, snapshot: Snapshot) -> None:
        """Write a snapshot if it differs from the last one written; a failure is logged."""
        if self._path is None:
            return
        data = msgspec.msgpack.encode(snapshot)
        if data == self._saved:
            return
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            replace_file(self._path, zstandard.ZstdCompressor().compress(data))
            self._saved = data
        except OSError as cause:
            self._log.warning("snapshot-not-saved", reason=str(cause))
