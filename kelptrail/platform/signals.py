"""Holds signals from the start of the process until the event loop can handle them."""

from __future__ import annotations

import signal
from types import FrameType

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class HeldSignals:
    """Records the signals for shutdown and reload.

    Their default action would end the process immediately, which the sender would treat as a crash.
    """

    def __init__(self, numbers: tuple[int, ...] = SIGNALS) -> None:
        self._received: list[int] = []
        for number in numbers:
            signal.signal(number, self._record)

    def release(self) -> list[int]:
        """Return and clear the received signals, without duplicates and in order of arrival.

        Call it after other handlers are installed.
        """
        received, self._received = list(dict.fromkeys(self._received)), []
        return received

    @staticmethod
    def block() -> None:
        """Block all `SIGNALS` until the process has exited."""
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

    def _record(self, number: int, _: FrameType | None) -> None:
        self._received.append(number)
