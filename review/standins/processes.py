"""Starts stand-ins as processes of their own."""

from __future__ import annotations

import asyncio
import os
import sys

from .dispatcher import ROOT


async def run_module(name: str, *words: object) -> str:
    """Run a module of the stand-ins with these words on its command line; return what it printed."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-B",
        "-m",
        f"standins.{name}",
        *map(str, words),
        stdout=asyncio.subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(ROOT / "review")},
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.communicate()
    return output.decode()
