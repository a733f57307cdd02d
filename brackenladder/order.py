"""An order of servers by their shuffled numbers in which a rank is found, and a server changed, in O(log n).

A binary trie over the bits of 64-bit keys. Keys are hashes, so it is balanced whatever the order in which
servers come and go, and its shape follows from the keys alone: two copies that hold the same servers hold the
same trie. Each inner node knows how many items are under it; a subtree with one item is that item.

A change touches the nodes on one path, some twenty at 50,000 servers. Memory is about 250 bytes an item.
Free of I/O, clock and randomness.
"""

from __future__ import annotations

from typing import Any, Generic, TypeVar

Item = TypeVar("Item")
BITS = 64


class Order(Generic[Item]):
    """Items by key, smallest first. Keys are whole numbers below 2**64, each at most once."""

    __slots__ = ("root",)

    def __init__(self) -> None:
        # An inner node is [items under it, those with a 0 at this bit, those with a 1], a leaf (key, item).
        self.root: Any = None

    def __len__(self) -> int:
        return size(self.root)

    def __contains__(self, key: int) -> bool:
        node, bit = self.root, BITS - 1
        while type(node) is list:
            node, bit = node[1 + (key >> bit & 1)], bit - 1
        return node is not None and node[0] == key

    def add(self, key: int, item: Item) -> None:
        """Puts an item in; a KeyError if its key is taken, and then nothing has changed."""
        if key in self:
            raise KeyError(key)
        leaf = (key, item)
        holder: list[Any] = [0, self.root, None]
        above, side, bit = holder, 1, BITS - 1
        node = self.root
        while type(node) is list:
            node[0] += 1
            above, side = node, 1 + (key >> bit & 1)
            node, bit = node[side], bit - 1
        if node is None:
            above[side] = leaf
        else:
            while True:  # two leaves now: inner nodes down to the bit at which they part
                mine, other = 1 + (key >> bit & 1), 1 + (node[0] >> bit & 1)
                inner: list[Any] = [2, None, None]
                above[side] = inner
                if mine != other:
                    inner[mine], inner[other] = leaf, node
                    break
                above, side, bit = inner, mine, bit - 1
        self.root = holder[1]

    def remove(self, key: int) -> Item:
        """Takes the item with this key out and returns it; a KeyError if there is none."""
        if key not in self:
            raise KeyError(key)
        holder: list[Any] = [0, self.root, None]
        above, side, bit = holder, 1, BITS - 1
        node = self.root
        found: Item
        while type(node) is list:
            node[0] -= 1
            if node[0] == 1:
                # What stays is one leaf: it takes the place of the whole subtree.
                found, above[side] = self.part(node, key)
                break
            above, side = node, 1 + (key >> bit & 1)
            node, bit = node[side], bit - 1
        else:
            found, above[side] = node[1], None
        self.root = holder[1]
        return found

    def part(self, node: list[Any], key: int) -> tuple[Item, Any]:
        """Of a subtree with two leaves: the item of this key, and the other leaf."""
        leaves: list[Any] = []
        gather(node, 0, 2, leaves)
        first, second = leaves
        return (first[1], second) if first[0] == key else (second[1], first)

    def rank(self, key: int) -> int:
        """How many items have a smaller key."""
        below = 0
        node, bit = self.root, BITS - 1
        while type(node) is list:
            if key >> bit & 1:
                below += size(node[1])
                node = node[2]
            else:
                node = node[1]
            bit -= 1
        return below + (node is not None and node[0] < key)

    def window(self, start: int, count: int) -> list[Item]:
        """`count` items from rank `start` on, going on at the first after the last; each at most once."""
        total = len(self)
        if total == 0:
            return []
        start, count = start % total, min(count, total)
        leaves: list[Any] = []
        gather(self.root, start, count, leaves)
        if len(leaves) < count:
            gather(self.root, 0, count, leaves)
        return [leaf[1] for leaf in leaves]


def size(node: Any) -> int:
    """Items under a node."""
    if node is None:
        return 0
    count: int = node[0] if type(node) is list else 1
    return count


def gather(node: Any, skip: int, most: int, out: list[Any]) -> None:
    """Adds leaves to `out`, in order and after the first `skip`, until it holds `most`."""
    if node is None or len(out) >= most:
        return
    if type(node) is not list:
        if skip == 0:
            out.append(node)
        return
    left = size(node[1])
    if skip < left:
        gather(node[1], skip, most, out)
        skip = left
    gather(node[2], skip - left, most, out)
