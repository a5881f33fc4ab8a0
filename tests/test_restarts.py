"""Many processes of the platform's dispatcher started at once on few cores: how soon they are ready."""

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

MANY, CORES, WITHIN_S = 30, 2, 10.0


def ready(address: tuple[str, int]) -> bool:
    """Whether the dispatcher there says that it is ready."""
    with contextlib.suppress(OSError), socket.create_connection(address, 0.5) as sock:
        sock.settimeout(0.5)
        sock.sendall(frames.encode_frame(frames.READY_QUERY, 1, b"\0"))
        return sock.recv(100) == frames.encode_ready(1, True)
    return False


def test_nine_in_ten_of_thirty_started_together_on_two_cores_are_ready_in_time(tmp_path: Path) -> None:
    cores = sorted(os.sched_getaffinity(0))[:CORES]
    addresses: list[tuple[str, int]] = []
    processes: list[subprocess.Popen[bytes]] = []
    took: dict[tuple[str, int], float] = {}
    for n in range(MANY):
        with socket.socket() as free:  # an address of its own: nobody else takes its ports
            free.bind((f"127.23.{os.getpid() % 250}.{n + 1}", 0))
            addresses.append(free.getsockname())
        (tmp_path / f"c{n}.json").write_text(
            json.dumps(configuration() | {"name": f"n{n}", "listen": f"{addresses[n][0]}:{addresses[n][1]}"})
        )
    began = time.monotonic()
    try:
        for n in range(MANY):
            processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "kelptrail.platform"],
                    stdout=subprocess.DEVNULL,
                    env=os.environ | {"LB_CONFIG": str(tmp_path / f"c{n}.json")},
                    preexec_fn=lambda: os.sched_setaffinity(0, cores),
                )
            )
        while len(took) < MANY and time.monotonic() < began + 3 * WITHIN_S:
            for address in addresses:
                if address not in took and ready(address):
                    took[address] = time.monotonic() - began
            time.sleep(0.02)
        ended = [process.returncode for process in processes if process.poll() is not None]
        assert len(took) == MANY, f"{len(took)} ready; ended {ended}"
        in_order = sorted(took.values())
        assert in_order[MANY * 9 // 10 - 1] < WITHIN_S, in_order
    finally:
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
