"""Replaces a small file so that a crash leaves either the old content or the new one."""

from __future__ import annotations

import os
from pathlib import Path

DRAFT_SUFFIX = ".new"  # in place of the file's own suffix, while it is written


def replace_file(file: Path, data: bytes) -> None:
    """Write, sync and rename a draft beside the file.  Raises `OSError`."""
    draft = file.with_suffix(DRAFT_SUFFIX)
    with open(draft, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    draft.replace(file)
