"""Startup time of many dispatcher processes of the platform that start at once on a few cores."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from platform_fixture import configuration

from kelptrail.codec import frames

pytestmark = pytest.mark.timed

PROCESS_COUNT, CORE_COUNT, READY_WITHIN_S = 30, 2, 10.0


def is_ready(address: tuple[str, int]) -> bool:
    """Return whether the dispatcher at this address reports that it is ready."""
    with contextlib.suppress(OSError), socket.create_connection(address, 0.5) as sock:
        sock.settimeout(0.5)
        sock.sendall(frames.encode_frame(frames.READY_QUERY, 1, b"\0"))
        return sock.recv(100) == frames.encode_ready(1, True)
    return False


def test_ninety_percent_of_thirty_dispatchers_started_together_on_two_cores_are_ready_in_time(tmp_path: Path) -> None:
    cores = sorted(os.sched_getaffinity(0))[:CORE_COUNT]
    addresses: list[tuple[str, int]] = []
    processes: list[subprocess.Popen[bytes]] = []
    ready_after_s: dict[tuple[str, int], float] = {}
    for n in range(PROCESS_COUNT):
        with socket.socket() as free_port:  # each process has its own IP address, so no other one takes its port
            free_port.bind((f"127.23.{os.getpid() % 250}.{n + 1}", 0))
            addresses.append(free_port.getsockname())
        (tmp_path / f"c{n}.json").write_text(
            json.dumps(configuration() | {"name": f"n{n}", "listen": f"{addresses[n][0]}:{addresses[n][1]}"})
        )
    started_at = time.monotonic()
    try:
        for n in range(PROCESS_COUNT):
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "kelptrail.platform"],
                    stdout=subprocess.DEVNULL,
                    env=os.environ | {"LB_CONFIG": str(tmp_path / f"c{n}.json")},
                    preexec_fn=lambda: os.sched_setaffinity(0, cores),
                )
            )
        while len(ready_after_s) < PROCESS_COUNT and time.monotonic() < started_at + 3 * READY_WITHIN_S:
            for address in addresses:
                if address not in ready_after_s and is_ready(address):
                    ready_after_s[address] = time.monotonic() - started_at
            time.sleep(0.02)
        exit_codes = [process.returncode for process in processes if process.poll() is not None]
        assert len(ready_after_s) == PROCESS_COUNT, f"{len(ready_after_s)} ready; exit codes {exit_codes}"
        sorted_times_s = sorted(ready_after_s.values())
        assert sorted_times_s[PROCESS_COUNT * 9 // 10 - 1] < READY_WITHIN_S, sorted_times_s
    finally:
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
