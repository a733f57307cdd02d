"""Derives the numbers of servers from their names."""

from __future__ import annotations

from hashlib import blake2b

NUMBER_BYTES = 8  # size of a server's number


def number_of(name: str) -> int:
    """Returns a server's number.

    It is the same at every node, since all instances share one shuffle of the numbers.
    """
    digest = blake2b(
        name.encode(errors="surrogatepass"), digest_size=NUMBER_BYTES
    ).digest()
    return int.from_bytes(digest, "big")
