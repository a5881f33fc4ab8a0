"""Exit codes of the command line, and the errors that end a command with one of them."""

from __future__ import annotations

from enum import IntEnum
from typing import IO, Any

import click


class ExitCode(IntEnum):
    """What a command's exit code says; scripts and tests rely on these numbers."""

    COMPLETED = 0
    FAILED = 1
    UNUSABLE_INPUT = 2
    REJECTED = 3
    ABORTED = 4
    IN_FLIGHT = 5
    RULE_BROKEN = 6


class CommandError(click.ClickException):
    """Ends a command: the message goes to standard error as it is, without click's prefix."""

    def show(self, file: IO[Any] | None = None) -> None:
        """Write the message to standard error, or to `file`."""
        click.echo(self.message, file=file, err=file is None)


class CommandFailedError(CommandError):
    """The command could not do its work (exit code 1)."""

    exit_code = ExitCode.FAILED


class UnusableInputError(CommandError):
    """A file or an option cannot be used as it is (exit code 2)."""

    exit_code = ExitCode.UNUSABLE_INPUT


def unreachable(address: str, cause: Exception) -> CommandFailedError:
    """The error for an address that does not answer."""
    return CommandFailedError(f"{address}: {cause or type(cause).__name__}")
