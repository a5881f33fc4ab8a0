"""A faulty disk for tests: an SQLite VFS whose syncs are slow or fail, and whose writes fail, on request.

A file sets the faults as JSON, `{"sync_ms": 2000, "fails": false, "full": false}`: the delay of syncs, whether they
fail, and whether writes fail.  A sync or write reads it again if the last read was more than `READ_INTERVAL_S` ago; if
it cannot be read, the disk has no faults.
"""

from __future__ import annotations

import contextlib
import json
import time
from pathlib import Path
from typing import Any

import apsw

NAME = "harmed"  # name of the VFS
READ_INTERVAL_S = 0.02  # shortest interval between two reads of the file


class FaultyDisk(apsw.VFS):
    """An SQLite VFS whose faults are set through `file` or, without one, through `fault`."""

    def __init__(self, file: Path | None = None) -> None:
        self._file, self.syncs, self.vfs_name, self._read_at = file, 0, NAME, 0.0
        self.fault: dict[str, Any] = {}
        super().__init__(NAME, "")

    def current_fault(self) -> dict[str, Any]:
        """Return the faults that are set now; a file is read at most every `READ_INTERVAL_S`."""
        if self._file is not None and time.monotonic() > self._read_at + READ_INTERVAL_S:
            self._read_at, self.fault = time.monotonic(), {}
            with contextlib.suppress(OSError, ValueError):
                self.fault = json.loads(self._file.read_text())
        return self.fault

    def xOpen(self, name: Any, flags: Any) -> _FaultyFile:  # noqa: N802
        """Open a file; called by SQLite."""
        return _FaultyFile(self, name, flags)


class _FaultyFile(apsw.VFSFile):
    def __init__(self, disk: FaultyDisk, name: Any, flags: Any) -> None:
        self._disk = disk
        super().__init__("", name, flags)

    def xSync(self, flags: int) -> None:  # noqa: N802
        """Sync the file, with a delay or an error if one is set; called by SQLite."""
        self._disk.syncs += 1
        fault = self._disk.current_fault()
        time.sleep(float(fault.get("sync_ms", 0.0)) / 1000)
        if fault.get("fails"):
            raise apsw.IOError("the sync failed")
        super().xSync(flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        """Write to the file unless the disk is set to be full; called by SQLite."""
        if self._disk.current_fault().get("full"):
            raise apsw.FullError("the disk is full")
        super().xWrite(data, offset)
