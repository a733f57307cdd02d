"""Shard placement by rendezvous hashing: from a key to its shard, and from a shard to its replicas.

A key is identified by its position: 32 bits of a hash, the same in every node. These bits determine the
shard and whether the key is sampled (`key_sample`). The replicas of a shard are the members of a node's
subset with the best scores in weighted rendezvous hashing (Thaler and Ravishankar 1998; weights as in
Schindelhauer and Schomaker 2005). Two nodes with overlapping subsets therefore agree on a replica wherever
both have it in their subset. A change of the subset moves a shard only if one of its replicas leaves or a
better one joins. docs/forecast.md compares jump hash and rings with bounded load.

A server's draws for all shards come from one extendable hash of its name, so that all draws of a fleet of
300 servers are computed within a few milliseconds.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Iterable
from hashlib import shake_128
from heapq import nsmallest
from math import log

from xxhash import xxh3_64_intdigest

POSITION_COUNT = 1 << 32  # positions of keys are below this
POSITION_MASK = POSITION_COUNT - 1
DRAW_LIMIT = float(1 << 32)  # draws are below this
DRAW_BYTES = 4  # size of a draw
MIN_WEIGHT = 1e-3  # lower bound of a server's weight
MAX_SHARDS = 1 << 14  # largest number of shards
MAX_CACHED_SERVERS = 2_000  # servers whose draws a table keeps

Member = tuple[str, float]
"""A server's name and its weight."""


def key_position(key: bytes) -> int:
    """Returns a key's position: 32 bits of its hash.

    Of 10**6 keys about a hundred share their position with another key.
    """
    return xxh3_64_intdigest(key) & POSITION_MASK


def shard_of(position: int, shard_count: int) -> int:
    """Returns the shard of the key at a position, by its low bits; sampling uses the high bits."""
    return position % shard_count


def server_draws(server: str, shard_count: int) -> array[int]:
    """Returns a server's draw for each shard, 32 bits each; with equal weights the smallest draw wins.

    Args:
        server: The server's name.
        shard_count: Number of shards.
    """
    draws = array("I", shake_128(server.encode()).digest(DRAW_BYTES * shard_count))
    if sys.byteorder != "little":
        draws.byteswap()
    return draws


def weighted_score(draw: int, weight: float) -> float:
    """Returns the score of a draw; the smallest score wins.

    Scores are distributed exponentially with the weight as the rate, so that a server has the smallest score
    with a probability proportional to its weight.
    """
    return -log(1 - draw / DRAW_LIMIT) / max(weight, MIN_WEIGHT)


class DrawTable:
    """A cache of servers' draws, filled when a server is first looked up.

    When it is full, all entries are dropped at once.

    Attributes:
        shard_count: Number of shards.
        max_servers: Largest number of servers in the cache.
        rows: Draws by server, each indexed by shard.
    """

    def __init__(self, shard_count: int, max_servers: int = MAX_CACHED_SERVERS) -> None:
        self.shard_count = shard_count
        self.max_servers = max_servers
        self.rows: dict[str, array[int]] = {}

    def row(self, server: str) -> array[int]:
        """Returns a server's draws, by shard."""
        row = self.rows.get(server)
        if row is None:
            if len(self.rows) >= self.max_servers:
                self.rows.clear()
            row = self.rows[server] = server_draws(server, self.shard_count)
        return row


class ShardPlacement:
    """One node's placement: the replicas of each shard among its members, computed at the first lookup.

    Attributes:
        table: The servers' draws.
        replica_count: Replicas of a shard.
        members: The members of the node's subset.
        candidates: Draws, weight and index of each member.
        placed: Replicas by shard, as far as they were looked up.
    """

    def __init__(self, table: DrawTable, replica_count: int) -> None:
        self.table = table
        self.replica_count = replica_count
        self.members: tuple[Member, ...] = ()
        self.candidates: list[tuple[array[int], float, int]] = []
        self.placed: dict[int, tuple[int, ...]] = {}

    def update(self, members: Iterable[Member]) -> bool:
        """Sets the members.

        Args:
            members: Names and weights; `replicas_of` returns indexes into this order.

        Returns:
            Whether they differ from the previous members.
        """
        updated = tuple(members)
        if updated == self.members:
            return False
        self.members = updated
        self.candidates = [
            (self.table.row(name), weight, index)
            for index, (name, weight) in enumerate(updated)
        ]
        self.placed = {}
        return True

    def replicas_of(self, shard: int) -> tuple[int, ...]:
        """Returns the indexes of a shard's replicas among the members, the best first.

        The result is empty if there are no members.
        """
        replicas = self.placed.get(shard)
        if replicas is None:
            best = nsmallest(
                self.replica_count,
                (
                    (weighted_score(row[shard], weight), index)
                    for row, weight, index in self.candidates
                ),
            )
            replicas = self.placed[shard] = tuple(index for _, index in best)
        return replicas
