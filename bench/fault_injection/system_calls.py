"""Failing system calls and stepped wall clocks.

A library that is preloaded into a process (bench/soak_shim.c) causes them; a file controls it.
"""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
from enum import StrEnum
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "soak_shim.c"
COMPILERS = ("cc", "gcc", "clang")
CONTROL_FILE_BYTES = 4096
CONTROL = struct.Struct("<qII5I20I")  # layout of `struct control` in the library


class SystemCall(StrEnum):
    """The system calls that may fail, in the library's order."""

    SEND = "send"
    RECV = "recv"
    CONNECT = "connect"
    ACCEPT = "accept"
    SOCKET = "socket"


# Error codes from which the library chooses; a code that occurs twice is chosen twice as often.
FAILURES = {
    SystemCall.SEND: (errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.ENOBUFS),
    SystemCall.RECV: (errno.EINTR, errno.ENOMEM, errno.EINTR, errno.ENOBUFS),
    SystemCall.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EINTR, errno.ENOBUFS),
    SystemCall.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED),
    SystemCall.SOCKET: (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE),
}


class SystemCallControl:
    """The control file of one process: the step of its wall clock, and how often system calls fail."""

    def __init__(self, path: Path, seed: int) -> None:
        path.write_bytes(bytes(CONTROL_FILE_BYTES))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), CONTROL_FILE_BYTES)
        self.path = path
        self._seed = seed
        self.clock_step_s = 0.0
        self.short_transfer_share = 0.0  # share of sends and receives that transfer only a part
        self.failure_shares: dict[SystemCall, float] = {}
        self.write()

    def write(self) -> None:
        """Write the current values to the control file; they apply from the next system call on."""
        shares = [int(self.failure_shares.get(call, 0.0) * 1e6) for call in SystemCall]
        codes = [code for call in SystemCall for code in FAILURES[call]]
        step_ns, short_transfers = int(self.clock_step_s * 1e9), int(self.short_transfer_share * 1e6)
        data = CONTROL.pack(step_ns, short_transfers, self._seed & 0xFFFFFFFF, *shares, *codes)
        self._map[: len(data)] = data

    def stop_failures(self) -> None:
        """Stop the failures and the short transfers; the clock stays stepped."""
        self.failure_shares = {}
        self.short_transfer_share = 0.0
        self.write()

    def close(self) -> None:
        """Close the mapped file."""
        self._map.close()


def find_compiler() -> str | None:
    """Return the path of a C compiler on this machine, None if there is none."""
    paths = (shutil.which(name) for name in COMPILERS)
    return next((path for path in paths if path is not None), None)


def build_library(folder: Path) -> Path | None:
    """Build the library that makes system calls fail and steps clocks; return its path, None without a compiler."""
    compiler = find_compiler()
    if compiler is None:
        return None
    library = folder / "libsoak.so"
    subprocess.run([compiler, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl"], check=True)
    return library
