"""Exit codes of the command line, and the errors that end a command with one of them."""

from __future__ import annotations

from enum import IntEnum
from typing import IO, Any

import click


class ExitCode(IntEnum):
    """Exit codes of the commands; scripts and tests rely on these numbers."""

    COMPLETED = 0
    FAILED = 1
    UNUSABLE_INPUT = 2
    REJECTED = 3
    ABORTED = 4
    IN_FLIGHT = 5
    RULE_BROKEN = 6  # the check of a run's history found a violation


class CommandError(click.ClickException):
    """An error that ends a command; its message is printed on standard error without click's prefix."""

    def show(self, file: IO[Any] | None = None) -> None:
        """Write the message to standard error, or to `file`."""
        click.echo(self.message, file=file, err=file is None)


class CommandFailedError(CommandError):
    """The command failed (exit code 1)."""

    exit_code = ExitCode.FAILED


class UnusableInputError(CommandError):
    """A file or an option is invalid (exit code 2)."""

    exit_code = ExitCode.UNUSABLE_INPUT


def unreachable(address: str, cause: Exception) -> CommandFailedError:
    """Return the error for an address that does not answer."""
    return CommandFailedError(f"{address}: {cause or type(cause).__name__}")
