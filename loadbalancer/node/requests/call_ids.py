"""Remembers the call ids whose requests may have run, in this process and in the node's other processes.

The class of a request may forbid that it runs twice, however its client left and to whichever process of an
upgrade it comes again (`policy/call_id_rules.py`).
"""

from __future__ import annotations

import itertools
import os
import struct
from collections.abc import Callable
from contextlib import suppress
from hashlib import blake2b
from typing import NamedTuple

from loadbalancer.policy.call_id_rules import CallIdRule

MAX_REMEMBERED_IDS = 16_384  # in this process; the oldest are forgotten first
DIGEST_BYTES = 8
FILE_SUFFIX = ".calls"
NO_FILE = -1  # stands for a missing file descriptor
BUCKETS = 1_024
BUCKET_ENTRIES = 8
CLAIM_ATTEMPTS = (
    3  # another process may take the same place in the file at the same moment
)


class Claim(NamedTuple):
    """An id whose request may have run. Times are in microseconds of the monotonic clock.

    Attributes:
        digest: Stands for the id.
        expires_at: When the id is forgotten.
        repeatable_until: Until then a request with the same id may be forwarded.
        token: Tells the claims of all processes apart; 0 in an empty place.
    """

    digest: int
    expires_at: int
    repeatable_until: int
    token: int

    def forbids(self, digest: int, now: int) -> bool:
        """Whether a request with an id of this digest may not be forwarded now."""
        return self.digest == digest and self.repeatable_until <= now < self.expires_at


ENTRY = struct.Struct("=QQQQ")
EMPTY = ENTRY.pack(0, 0, 0, 0)
BUCKET_BYTES = BUCKET_ENTRIES * ENTRY.size


def digest_of(call_id: bytes) -> int:
    """The digest that stands for a call id."""
    return int.from_bytes(blake2b(call_id, digest_size=DIGEST_BYTES).digest(), "little")


class SharedClaims:
    """The claims of all processes of a node, in a file of fixed size that they share.

    No lock is held: a claim is written first and looked for afterwards, so that of two processes that claim
    an id at the same moment at least one sees the other. No method raises an OSError: without a usable file,
    the claims of other processes are not known.

    Args:
        path: The file; it is created if it does not exist.
    """

    def __init__(self, path: str) -> None:
        self._path = path
        self._file = NO_FILE
        with suppress(OSError):
            self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            os.ftruncate(self._file, BUCKETS * BUCKET_BYTES)

    def claims(self, digest: int) -> list[Claim]:
        """The claims that may concern an id, by their places; empty places have a token of 0."""
        data = b""
        with suppress(OSError):
            data = os.pread(self._file, BUCKET_BYTES, self._offset(digest))
        if len(data) < BUCKET_BYTES:
            return []
        return [Claim(*values) for values in ENTRY.iter_unpack(data)]

    def add(self, claim: Claim, now: int) -> bool:
        """Writes a claim; returns whether no other one for the same id was written at the same moment."""
        for _ in range(CLAIM_ATTEMPTS):
            before = self.claims(claim.digest)
            if not before:
                return True
            place = min(
                range(BUCKET_ENTRIES),
                key=lambda i: before[i].expires_at if before[i].expires_at > now else 0,
            )
            self._write(claim.digest, place, ENTRY.pack(*claim))
            found = self.claims(claim.digest)
            others = [c for c in found if c.token != claim.token]
            if any(other.forbids(claim.digest, now) for other in others):
                self.remove(claim)
                return False
            if len(others) < len(found):
                return True
        return False

    def remove(self, claim: Claim) -> None:
        """Removes a claim."""
        for place, other in enumerate(self.claims(claim.digest)):
            if other.token == claim.token:
                self._write(claim.digest, place, EMPTY)

    def close(self, remove: bool) -> None:
        """Closes the file, and removes it unless other processes need what it holds."""
        if remove:
            with suppress(OSError):
                os.unlink(self._path)
        if self._file != NO_FILE:
            os.close(self._file)
            self._file = NO_FILE

    def _write(self, digest: int, place: int, entry: bytes) -> None:
        with suppress(OSError):
            os.pwrite(self._file, entry, self._offset(digest) + place * ENTRY.size)

    def _offset(self, digest: int) -> int:
        return digest % BUCKETS * BUCKET_BYTES


class CallIds:
    """The call ids that may not be forwarded again.

    Args:
        now: Returns microseconds of the monotonic clock, which all processes of a machine share.

    Attributes:
        claimed: The claims of this process by digest, the oldest first.
        shared: The claims of all processes; None while there can be no others.
    """

    def __init__(self, now: Callable[[], int]) -> None:
        self._now = now
        # The process's id in the upper half keeps the tokens of two processes apart.
        self._tokens = itertools.count((os.getpid() << 32) + 1)
        self.claimed: dict[int, Claim] = {}
        self.shared: SharedClaims | None = None

    def share(self, folder: str | None, prefix: str) -> None:
        """Shares the claims with the node's other processes through a file in `folder`, if there is one."""
        if folder is not None:
            self.shared = SharedClaims(os.path.join(folder, prefix + FILE_SUFFIX))

    def stop(self, alone: bool = False) -> None:
        """Ends the sharing.

        Args:
            alone: Whether the node has no other process, so that nobody needs the file any more.
        """
        if self.shared is not None:
            self.shared.close(remove=alone)
            self.shared = None

    def is_claimed(self, call_id: bytes) -> bool:
        """Whether a request with this id may have run, so that another one may not be forwarded."""
        digest, now = digest_of(call_id), self._now()
        claim = self.claimed.get(digest)
        if claim is not None and claim.forbids(digest, now):
            return True
        if self.shared is None:
            return False
        return any(c.forbids(digest, now) for c in self.shared.claims(digest))

    def claim(self, call_id: bytes, rule: CallIdRule) -> Claim | None:
        """Claims an id just before its request is written; None if it may not be written."""
        if self.is_claimed(call_id):
            return None
        digest, now = digest_of(call_id), self._now()
        claim = self.claimed.get(digest)
        if claim is not None and claim.expires_at > now:
            return claim  # the window runs from the first attempt
        repeatable_until = now + rule.repeatable_us if rule.repeatable_us else 0
        claim = Claim(
            digest, now + rule.remembered_us, repeatable_until, next(self._tokens)
        )
        if self.shared is not None and not self.shared.add(claim, now):
            return None
        self.claimed.pop(digest, None)
        self.claimed[digest] = claim
        self._forget(now)
        return claim

    def release(self, claim: Claim) -> None:
        """Takes a claim back: the request was never run."""
        if self.claimed.get(claim.digest) == claim:
            del self.claimed[claim.digest]
        if self.shared is not None:
            self.shared.remove(claim)

    def _forget(self, now: int) -> None:
        """Forgets the oldest claims that have expired or that are too many."""
        while self.claimed:
            digest, oldest = next(iter(self.claimed.items()))
            if oldest.expires_at > now and len(self.claimed) <= MAX_REMEMBERED_IDS:
                return
            del self.claimed[digest]
