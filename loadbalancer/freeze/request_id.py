"""Ids of requests in messages.

A request whose grant could not be used is made again under the ids `id~1`, `id~2` and so on.
"""

from __future__ import annotations

from typing import NamedTuple

RETRY_SEPARATOR = "~"
MAX_RETRY_DIGITS = 9


class RequestId(NamedTuple):
    """The id that the node gave its request, and how often the request was made again."""

    base: str
    retry: int


def parse_request_id(text: str) -> RequestId:
    """Parses an id from a message.

    Anything after the first separator that is not a number of at most `MAX_RETRY_DIGITS` digits is dropped,
    and the retry is then 0.
    """
    base, _, suffix = text.partition(RETRY_SEPARATOR)
    if suffix.isdigit() and len(suffix) <= MAX_RETRY_DIGITS:
        return RequestId(base, int(suffix))
    return RequestId(base, 0)


def format_request_id(base: str, retry: int) -> str:
    """Formats an id for messages; the first request (`retry` 0) has no suffix."""
    return f"{base}{RETRY_SEPARATOR}{retry}" if retry else base
