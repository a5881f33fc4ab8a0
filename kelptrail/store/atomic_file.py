"""Replaces a small file so that a crash leaves either the old content or the new one."""

from __future__ import annotations

import os
from pathlib import Path

TEMPORARY_SUFFIX = ".new"  # replaces the file's own suffix while the new content is written


def replace_file(file: Path, data: bytes) -> None:
    """Write and sync a temporary file in the same folder, then rename it to `file`.  Raises `OSError`."""
    temporary = file.with_suffix(TEMPORARY_SUFFIX)
    with open(temporary, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    temporary.replace(file)
