"""Exit status of the commands, and their errors on options and output files."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import ClassVar, NoReturn

import click

from loadbalancer.errors import LoadBalancerError


class ExitStatus(IntEnum):
    """Exit status of every command.

    Attributes:
        OK: The command succeeded.
        FAILED: The command ran, but an expectation did not hold.
        UNUSABLE: Its options or files cannot be used, or its run could not be completed.
    """

    OK = 0
    FAILED = 1
    UNUSABLE = 2


class OptionError(LoadBalancerError):
    """Options of a command that cannot be combined, or that have an invalid form."""

    remedy: ClassVar[str] = (
        "correct the option that the message names; the command's --help lists all options"
    )


class NotWritableError(LoadBalancerError):
    """A file or directory for results that cannot be written."""

    code: ClassVar[str] = "NotWritable"
    remedy: ClassVar[str] = (
        "name a path that you may write to and that has free space; no results were kept"
    )


def exit_with_error(error: LoadBalancerError, prefix: str = "") -> NoReturn:
    """Ends the command with status `UNUSABLE` and one line on standard error.

    Args:
        error: The error; the line says what is wrong, where, and what to do.
        prefix: Text before the error, such as the action that failed.
    """
    click.echo(f"loadbalancer: {prefix}{error.line()}", err=True)
    sys.exit(ExitStatus.UNUSABLE)
