"""A stand-in for a failing disk: a layer under the book whose syncs and writes take long or fail when a file says so.

The file holds JSON, `{"sync_ms": 2000, "fails": false, "full": false}`, and is looked at before each sync and write;
no file, or one that cannot be read, means a sound disk.
"""

from __future__ import annotations

import contextlib
import json
import time
from pathlib import Path
from typing import Any

import apsw

NAME = "harmed"


class FaultyDisk(apsw.VFS):  # type: ignore[misc]
    """A disk whose faults are set through `file`, or, without one, by whoever holds it."""

    def __init__(self, file: Path | None = None) -> None:
        self._file, self.syncs, self.vfs_name, self._looked = file, 0, NAME, 0.0
        self.fault: dict[str, Any] = {}
        super().__init__(NAME, "")

    def current_fault(self) -> dict[str, Any]:
        """What ails it now; the file is read fifty times a second at most."""
        if self._file is not None and time.monotonic() > self._looked + 0.02:
            self._looked, self.fault = time.monotonic(), {}
            with contextlib.suppress(OSError, ValueError):
                self.fault = json.loads(self._file.read_text())
        return self.fault

    def xOpen(self, name: Any, flags: Any) -> _FaultyFile:  # noqa: N802
        """As the library calls it."""
        return _FaultyFile(self, name, flags)


class _FaultyFile(apsw.VFSFile):  # type: ignore[misc]
    def __init__(self, disk: FaultyDisk, name: Any, flags: Any) -> None:
        self._disk = disk
        super().__init__("", name, flags)

    def xSync(self, flags: int) -> None:  # noqa: N802
        self._disk.syncs += 1
        fault = self._disk.current_fault()
        time.sleep(float(fault.get("sync_ms", 0.0)) / 1000)
        if fault.get("fails"):
            raise apsw.IOError("the sync failed")
        super().xSync(flags)

    def xWrite(self, data: bytes, offset: int) -> None:  # noqa: N802
        if self._disk.current_fault().get("full"):
            raise apsw.FullError("the disk is full")
        super().xWrite(data, offset)
