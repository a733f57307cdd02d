"""Base class of the errors that operators see: what is wrong, where, and how to fix it.

Every such error has its own subclass of `LoadBalancerError` with its own `remedy`. `tests/test_errors.py`
checks all subclasses: each has a remedy, and a row in `docs/on-call.md`.
"""

from __future__ import annotations

from typing import ClassVar, Self


class LoadBalancerError(Exception):
    """An error that an operator may have to act on.

    Args:
        what: What is wrong, in plain language.
        where: The file and the key's path, the peer or the store; empty if there is none.
        remedy: How to fix this occurrence; empty: the `remedy` of the type.

    Attributes:
        remedy: How to fix errors of this type.
        code: The published name of the type if it differs from the class name.
        advice: How to fix this occurrence.
    """

    remedy: ClassVar[str] = ""
    code: ClassVar[str] = ""

    def __init__(self, what: str, where: str = "", remedy: str = "") -> None:
        super().__init__(f"{where}: {what}" if where else what)
        self.what = what
        self.where = where
        self.advice = remedy or self.remedy

    def within(self, location: str) -> Self:
        """Prepends an outer location (a file, an option, a peer) to `where` and returns the same error."""
        self.where = f"{location}: {self.where}" if self.where else location
        self.args = (f"{self.where}: {self.what}",)
        return self

    def line(self) -> str:
        """Returns the location, the fault and the remedy in one line, for the log and the command line."""
        return f"{self} -- {self.advice}"

    def table(self) -> dict[str, str]:
        """Returns the error as the JSON object that the admin listener sends."""
        name = vars(type(self)).get("code") or type(self).__name__
        return {
            "error": name,
            "what": self.what,
            "where": self.where,
            "do": self.advice,
        }
