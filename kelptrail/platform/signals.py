"""Holds the process's signals from its first line until the event loop can handle them."""

from __future__ import annotations

import signal
from types import FrameType

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class HeldSignals:
    """Records the signals for shutdown and reload.  Their default action would end the process at once, which the
    sender would see as a crash.
    """

    def __init__(self, numbers: tuple[int, ...] = SIGNALS) -> None:
        self._received: list[int] = []
        for number in numbers:
            signal.signal(number, self._record)

    def release(self) -> list[int]:
        """The signals received before other handlers were installed, each once, in order of arrival."""
        received, self._received = list(dict.fromkeys(self._received)), []
        return received

    @staticmethod
    def block() -> None:
        """Block all of them: the process is about to exit by itself."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    def _record(self, number: int, _: FrameType | None) -> None:
        self._received.append(number)
