"""Cleanup of the write-ahead log of an SQLite database after a failed commit.

A commit whose sync failed leaves its frames in the log, with their commit mark.  SQLite drops them from its index, but
a start after a kill has no index and treats them as committed.  The failure has been reported and may have been acted
on, so these frames are cut off.

Source: the page "WAL-mode File Format" of SQLite.  The log has a header of 32 bytes, then frames of a header of 24
bytes and a page; the index begins with a version, and has the page size at byte 14 and the number of valid frames at
byte 16, in the machine's byte order.
"""

from __future__ import annotations

import contextlib
import os
import sys
from pathlib import Path

LOG_HEADER_BYTES, FRAME_HEADER_BYTES = 32, 24
INDEX_VERSION = 3_007_000
MAX_PAGE_BYTES = 65_536  # stored as 1 in the index


def drop_uncommitted(database: Path) -> bool:
    """Truncate the log after the last frame that is valid in the index, and return whether it was truncated.

    Only the process that writes may call this, with no transaction open.  If the disk fails here too, the log is not
    changed.
    """
    log, index = database.with_name(f"{database.name}-wal"), database.with_name(f"{database.name}-shm")
    try:
        with open(index, "rb") as file:
            header = file.read(20)
        size = log.stat().st_size
    except OSError:
        return False
    if len(header) < 20 or int.from_bytes(header[:4], sys.byteorder) != INDEX_VERSION:
        return False
    page_size = int.from_bytes(header[14:16], sys.byteorder)
    frames = int.from_bytes(header[16:20], sys.byteorder)
    valid_size = LOG_HEADER_BYTES + frames * (FRAME_HEADER_BYTES + (MAX_PAGE_BYTES if page_size == 1 else page_size))
    if size <= valid_size:
        return False
    with contextlib.suppress(OSError):
        os.truncate(log, valid_size)
        return True
    return False
