"""A faulty disk for tests: a layer under the journal whose syncs and writes take long or fail on request.

The file holds JSON, `{"sync_ms": 2000, "fails": false, "full": false}`, and is read before each sync and write; no
file, or one that cannot be read, means a disk without faults.
"""

from __future__ import annotations

import contextlib
import json
import time
from pathlib import Path
from typing import Any

import apsw

NAME = "harmed"  # of the VFS
READ_INTERVAL_S = 0.02


class FaultyDisk(apsw.VFS):
    """An SQLite VFS whose faults are set through `file` or, without one, through `fault`."""

    def __init__(self, file: Path | None = None) -> None:
        self._file, self.syncs, self.vfs_name, self._read_at = file, 0, NAME, 0.0
        self.fault: dict[str, Any] = {}
        super().__init__(NAME, "")

    def current_fault(self) -> dict[str, Any]:
        """The faults that are set now; the file is read at most every `READ_INTERVAL_S`."""
        if self._file is not None and time.monotonic() > self._read_at + READ_INTERVAL_S:
            self._read_at, self.fault = time.monotonic(), {}
            with contextlib.suppress(OSError, ValueError):
                self.fault = json.loads(self._file.read_text())
        return self.fault

    def xOpen(self, name: Any, flags: Any) -> _FaultyFile:  # noqa: N802
        """Open a file; called by the library."""
        return _FaultyFile(self, name, flags)


class _FaultyFile(apsw.VFSFile):
    def __init__(self, disk: FaultyDisk, name: Any, flags: Any) -> None:
        self._disk = disk
        super().__init__("", name, flags)

    def xSync(self, flags: int) -> None:  # noqa: N802
        """Sync the file, late or not at all; called by the library."""
        self._disk.syncs += 1
        fault = self._disk.current_fault()
        time.sleep(float(fault.get("sync_ms", 0.0)) / 1000)
        if fault.get("fails"):
            raise apsw.IOError("the sync failed")
        super().xSync(flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        """Write to the file unless the disk is full; called by the library."""
        if self._disk.current_fault().get("full"):
            raise apsw.FullError("the disk is full")
        super().xWrite(data, offset)
