"""One dispatcher as a process of its own, started with `run` of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN_S = 30.0


class CannotRunError(Exception):
    """The case cannot run here: nothing was shown either way."""


@dataclass(frozen=True)
class ThreadSample:
    """What the system says of one thread of the dispatcher."""

    thread: int
    runs: bool  # it runs or can run at this moment; it does not wait
    waits: int  # how often it has given up the processor to wait for something
    processor_s: float


class Dispatcher:
    """A running dispatcher, which shares its process group with nobody."""

    def __init__(self, configuration: Path, listen: tuple[str, int], descriptors: int, folder: Path) -> None:
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = folder / "tmp"
        temporary.mkdir()
        environment = os.environ | {
            "LB_NAME": "n0",
            "LB_LISTEN": f"{listen[0]}:{listen[1]}",
            "LB_CONFIG": str(configuration),
            "TMPDIR": str(temporary),
        }
        self.log_path = folder / "dispatcher.log"
        self._log = self.log_path.open("wb")
        # The platform limits the descriptors of the process.
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", f"ulimit -n {descriptors}; {command}"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._process.poll()

    async def wait_until_ready(self, listen: tuple[str, int]) -> None:
        """Ask the dispatcher whether it is ready until it answers with code 0.  Raises `CannotRunError`."""
        deadline = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < deadline and self.exit_code is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*listen)
                    try:
                        writer.write(bytes((0, 0, 0, 6, 80, 0, 0, 0, 1, 0)))
                        answer = await reader.readexactly(10)
                    finally:
                        writer.close()
                if answer[4] == 81 and answer[9] == 0:
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"the dispatcher is not ready, exit code {self.exit_code}")

    def memory_mb(self) -> float:
        """Return the memory of the process in MB, without the files that it maps; 0 once it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def sample_threads(self) -> list[ThreadSample]:
        """Return what the system says of each thread of the process; nothing once it has ended."""
        samples = []
        with contextlib.suppress(OSError):
            for task in Path(f"/proc/{self._process.pid}/task").iterdir():
                # After the name, which stands in brackets: state, and as the 12th and 13th word the processor time.
                words = (task / "stat").read_text().rpartition(")")[2].split()
                status = dict(line.split(":", 1) for line in (task / "status").read_text().splitlines())
                ticks = int(words[11]) + int(words[12])
                samples.append(
                    ThreadSample(
                        int(task.name),
                        words[0] == "R",
                        int(status["voluntary_ctxt_switches"]),
                        ticks / os.sysconf("SC_CLK_TCK"),
                    )
                )
        return samples

    def kill(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self._process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._process.pid, signal.SIGKILL)
        self._process.wait()
        self._log.close()
