"""Signals that come while the program is still being imported and put together: kept, and acted on afterwards."""

from __future__ import annotations

import signal
from types import FrameType

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Held:
    """Keeps the signals of a planned end and of a new configuration.  Guards against their defaults, which end the
    process: a crash to whoever sent them."""

    def __init__(self, numbers: tuple[int, ...] = SIGNALS) -> None:
        self._came: list[int] = []
        for each in numbers:
            signal.signal(each, self._keep)

    def release(self) -> list[int]:
        """Those that came before other handlers stood, each once, in order."""
        came, self._came = list(dict.fromkeys(self._came)), []
        return came

    @staticmethod
    def block() -> None:
        """None of them is acted on any more: the process ends by itself."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    def _keep(self, number: int, _: FrameType | None) -> None:
        self._came.append(number)
