"""The write-ahead log of an SQLite database, as far as a commit that failed needs it.

A commit whose sync failed leaves its frames in the log, with their commit mark: the library forgets them in its index,
but a start after a kill has no index and takes them for committed.  The failure has been reported and may have been
acted on, so these frames are cut off.

Source: the library's page "WAL-mode File Format": a header of 32 bytes, frames of a header of 24 bytes and a page;
the index begins with a version, and holds the page size at byte 14 and the number of valid frames at byte 16, in the
machine's own byte order.
"""

from __future__ import annotations

import contextlib
import os
import sys
from pathlib import Path

LOG_HEADER_BYTES, FRAME_HEADER_BYTES = 32, 24
INDEX_VERSION = 3_007_000
LARGEST_PAGE = 65_536  # the index has 1 for it


def drop_uncommitted(database: Path) -> bool:
    """Truncate the log after the last frame that the index knows; whether it was truncated.

    To be called by the one process that writes, with no transaction open.  Where the disk fails here too, nothing is
    changed.
    """
    log, index = database.with_name(f"{database.name}-wal"), database.with_name(f"{database.name}-shm")
    try:
        with open(index, "rb") as file:
            head = file.read(20)
        size = log.stat().st_size
    except OSError:
        return False
    if len(head) < 20 or int.from_bytes(head[:4], sys.byteorder) != INDEX_VERSION:
        return False
    page = int.from_bytes(head[14:16], sys.byteorder)
    frames = int.from_bytes(head[16:20], sys.byteorder)
    valid = LOG_HEADER_BYTES + frames * (FRAME_HEADER_BYTES + (LARGEST_PAGE if page == 1 else page))
    if size <= valid:
        return False
    with contextlib.suppress(OSError):
        os.truncate(log, valid)
        return True
    return False
