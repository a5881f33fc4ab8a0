"""The dispatcher under test: `run` of the deploy file, as a process of its own."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]


class Dispatcher:
    """One process of `run`, with a temporary folder for its configuration and its log."""

    def __init__(self, configuration: dict[str, Any]) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = Path(self._folder.name)
        self._config, self._tmp, self.log = folder / "config.json", folder / "tmp", folder / "log.txt"
        self._tmp.mkdir()
        self.configuration = configuration
        self._config.write_text(json.dumps(configuration), encoding="utf-8")

    @property
    def port(self) -> int:
        """The port at which clients connect."""
        return int(self.configuration["listen"].rpartition(":")[2])

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        run = tomllib.loads((REPOSITORY / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "LB_NAME": self.configuration["name"],
            "LB_LISTEN": self.configuration["listen"],
            "LB_CONFIG": str(self._config),
            "TMPDIR": str(self._tmp),
        }
        with self.log.open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the program runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def cpu_s(self) -> float:
        """Return the processor time that the program has used, in seconds."""
        fields = Path(f"/proc/{self._process.pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def end(self) -> None:
        """End the program: SIGTERM, then SIGKILL after 5 s."""
        self.signal(signal.SIGTERM)
        deadline = time.monotonic() + 5
        while self._process.poll() is None and time.monotonic() < deadline:
            time.sleep(0.02)
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()

    def remove_files(self) -> None:
        """Remove the temporary folder."""
        self._folder.cleanup()
