"""Crash and pause points for tests: the process kills or suspends itself at a named step of the gateway.

A crash point can also be the lease acceptor's step `voted`: a grant or note is durable, its reply not yet sent.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

from kelptrail.gateway.core import Gateway

from .options import DispatcherOptions


def install_step_faults(gateway: Gateway, options: DispatcherOptions) -> None:
    """Install the crash point or the pause point in the options; a pause point replaces a crash point."""
    if options.crash_at:
        gateway.durability.on_step = _crash_at(options.crash_at)
    if options.pause_at:
        gateway.durability.on_step = _pause_once_at(options.pause_at)


def _crash_at(point: str) -> Callable[[str], None]:
    def crash(step: str) -> None:
        """Kill the process at the step."""
        if step == point:
            os.kill(os.getpid(), signal.SIGKILL)

    return crash


def _pause_once_at(point: str) -> Callable[[str], None]:
    remaining = [point]

    def pause(step: str) -> None:
        """Suspend the process the first time it reaches the step."""
        if step in remaining:
            remaining.clear()
            os.kill(os.getpid(), signal.SIGSTOP)

    return pause
