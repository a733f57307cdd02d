"""The cell of each member: all members of one layout compute the same, without communication.

A cell is a set of members that receive each other's records. A member's cell follows from its name alone, by
a jump consistent hash (Lamping, Veach 2014) of its label. So nothing has to be agreed on or assigned, and a
change from `count` to `count + 1` cells moves only one member in `count + 1`. Without a separator the label
is the entire name, and a cell is a sample of all zones and services: the loss of a zone removes a similar
fraction of each cell. With a separator the label is the part of the name before the last separator (with `-`,
the label of `cart-17` is `cart`), and all members of a service are in one cell.

Pure: no I/O, clock or randomness.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from hashlib import blake2b

MAX_CELLS = 4_096
MAX_CACHED_NAMES = 16_384  # the cache of cells by name is emptied when it is full


class Layout:
    """How members are divided into cells, which are numbered from 0.

    Args:
        count: The number of cells, from 1 to `MAX_CELLS`.
        separator: The text that ends the label in a name; empty if the label is the entire name.

    Raises:
        ValueError: The count is out of range.
    """

    def __init__(self, count: int, separator: str = "") -> None:
        if not 1 <= count <= MAX_CELLS:
            raise ValueError(
                f"{count} cells are out of range: allowed are 1 to {MAX_CELLS}"
            )
        self.count = count
        self.separator = separator
        text = f"cells\0{count}\0{separator}".encode(errors="surrogatepass")
        # Layouts with equal settings have equal digests.
        self.digest = blake2b(text, digest_size=8).hexdigest()
        self._cell_cache: dict[str, int] = {}

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Layout) and (other.count, other.separator) == (
            self.count,
            self.separator,
        )

    def __hash__(self) -> int:
        return hash((self.count, self.separator))

    def label_of(self, name: str) -> str:
        """Returns a member's label: its name up to the last separator, or the entire name without one."""
        if not self.separator:
            return name
        prefix, matched, _ = name.rpartition(self.separator)
        return prefix if matched and prefix else name

    def cell_of(self, name: str) -> int:
        """Returns the cell of the member with this name."""
        cell = self._cell_cache.get(name)
        if cell is None:
            if len(self._cell_cache) >= MAX_CACHED_NAMES:
                self._cell_cache.clear()
            label = self.label_of(name).encode(errors="surrogatepass")
            key = int.from_bytes(blake2b(label, digest_size=8).digest(), "big")
            cell = self._cell_cache[name] = jump_hash(key, self.count)
        return cell

    def scope(self, own_name: str, live: Iterable[str]) -> list[str]:
        """Returns the members of `live` that are in the cell of `own_name`, in the order given."""
        own_cell = self.cell_of(own_name)
        return [name for name in live if self.cell_of(name) == own_cell]

    def sizes(self, names: Iterable[str]) -> list[int]:
        """Returns the number of members of `names` in each cell, by cell."""
        counts = Counter(self.cell_of(name) for name in names)
        return [counts[cell] for cell in range(self.count)]


def jump_hash(key: int, count: int) -> int:
    """Returns the bucket of a 64-bit key, from 0 to `count` - 1, by jump consistent hash."""
    bucket, next_bucket = -1, 0
    while next_bucket < count:
        bucket = next_bucket
        key = (key * 2862933555777941757 + 1) & 0xFFFF_FFFF_FFFF_FFFF
        next_bucket = int((bucket + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return bucket
