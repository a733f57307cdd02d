"""An order of endpoints by shuffled numbers with look-up by rank, insertion and removal in O(log n).

The order is a binary trie over the bits of 64-bit keys. Keys are hashes, so the trie is balanced regardless
of the order in which endpoints join and leave. Its shape depends on the keys alone: two instances that hold
the same endpoints hold the same trie. Each inner node stores the number of items below it, and a subtree
with a single item is a leaf.

A change touches the nodes on one path, about twenty at 50,000 endpoints. The nodes are stored in arrays of
numbers, about 50 bytes per item, instead of objects. The garbage collector would traverse hundreds of
thousands of objects, for a fifth of a second, in the middle of an event. This module uses no I/O, clock or
randomness.
"""

from __future__ import annotations

from array import array
from collections.abc import Sequence, Sized
from typing import Generic, TypeVar

Item = TypeVar("Item")
KEY_BITS = 64  # length of a key in bits
KEY_MASK = (1 << KEY_BITS) - 1  # selects the bits of a key
MIN_NODE_ITEMS = 2  # smallest number of items below an inner node
NO_NODE = -(1 << 31)  # marks an empty subtree


def shuffle(number: int, seed: int) -> int:
    """Returns a 64-bit hash of a number (SplitMix64), which is the same in every instance.

    Args:
        number: The number to hash.
        seed: Selects one of several hash functions.
    """
    mixed = (number + seed * 0x9E3779B97F4A7C15) & KEY_MASK
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9 & KEY_MASK
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EB & KEY_MASK
    return mixed ^ (mixed >> 31)


class RankedOrder(Generic[Item]):
    """Items in ascending order of their keys, which are unique integers from 0 to below 2**64.

    Nodes are identified by numbers: an inner node by its index in `sides` and `counts`, and the leaf at index
    i of `keys` and `items` by ~i.

    Attributes:
        root: The top node, or NO_NODE.
        sides: Two arrays: for each inner node, its child where the key has a 0 at the node's bit, and its
            child where the key has a 1.
        counts: The number of items below each inner node.
        keys: The key of each leaf.
        items: The item of each leaf; None at a free index.
        free_nodes: Indexes of inner nodes that can be reused.
        free_leaves: Indexes of leaves that can be reused.
    """

    __slots__ = (
        "counts",
        "free_leaves",
        "free_nodes",
        "items",
        "keys",
        "root",
        "sides",
    )

    def __init__(self) -> None:
        """Creates an empty order."""
        self.root = NO_NODE
        self.sides = (array("i"), array("i"))
        self.counts = array("i")
        self.keys = array("Q")
        self.items: list[Item | None] = []
        self.free_nodes: list[int] = []
        self.free_leaves: list[int] = []

    def __len__(self) -> int:
        return self.size(self.root)

    def __contains__(self, key: int) -> bool:
        return self.leaf(key) is not None

    def leaf(self, key: int) -> int | None:
        """Returns the index of the leaf with this key, or None if there is none."""
        sides, node, bit = self.sides, self.root, KEY_BITS - 1
        while node >= 0:
            node, bit = sides[key >> bit & 1][node], bit - 1
        return ~node if node != NO_NODE and self.keys[~node] == key else None

    def size(self, node: int) -> int:
        """Returns the number of items below a node; a leaf counts as one."""
        return self.counts[node] if node >= 0 else int(node != NO_NODE)

    def add(self, key: int, item: Item) -> None:
        """Adds an item.

        Args:
            key: The item's key.
            item: The item.

        Raises:
            KeyError: The key is in the order already; the order is unchanged.
        """
        if key in self:
            raise KeyError(key)
        sides, counts = self.sides, self.counts
        parent, side, node, bit = NO_NODE, 0, self.root, KEY_BITS - 1
        while node >= 0:
            counts[node] += 1
            parent, side = node, key >> bit & 1
            node, bit = sides[side][node], bit - 1
        leaf = ~self.new_leaf(key, item)
        if node == NO_NODE:
            self.attach(parent, side, leaf)
            return
        other = self.keys[~node]
        while True:  # adds inner nodes down to the first bit at which the keys of the two leaves differ
            inner = self.new_node()
            self.attach(parent, side, inner)
            parent, side = inner, key >> bit & 1
            if side != other >> bit & 1:
                sides[side][inner], sides[1 - side][inner] = leaf, node
                return
            bit -= 1

    def remove(self, key: int) -> Item:
        """Removes the item with this key and returns it.

        Raises:
            KeyError: The order has no item with this key; the order is unchanged.
        """
        index = self.leaf(key)
        if index is None:
            raise KeyError(key)
        sides, counts = self.sides, self.counts
        parent, side, node, bit = NO_NODE, 0, self.root, KEY_BITS - 1
        while node >= 0 and counts[node] > MIN_NODE_ITEMS:
            counts[node] -= 1
            parent, side = node, key >> bit & 1
            node, bit = sides[side][node], bit - 1
        # One of the last two leaves remains and replaces the inner nodes above it.
        remaining = NO_NODE
        while node >= 0:
            self.free_nodes.append(node)
            branch = key >> bit & 1
            if sides[1 - branch][node] != NO_NODE:
                remaining = sides[1 - branch][node]
            node, bit = sides[branch][node], bit - 1
        self.attach(parent, side, remaining)
        item = self.items[index]
        self.items[index] = None
        self.free_leaves.append(index)
        assert item is not None
        return item

    def attach(self, parent: int, side: int, node: int) -> None:
        """Makes a node the child of another one, or the root.

        Args:
            parent: The inner node, or NO_NODE to replace the root.
            side: 0 or 1, the bit that selects the child.
            node: The new child.
        """
        if parent == NO_NODE:
            self.root = node
        else:
            self.sides[side][parent] = node

    def new_leaf(self, key: int, item: Item) -> int:
        """Stores a new leaf and returns its index."""
        if self.free_leaves:
            index = self.free_leaves.pop()
            self.keys[index], self.items[index] = key, item
            return index
        self.keys.append(key)
        self.items.append(item)
        return len(self.items) - 1

    def new_node(self) -> int:
        """Returns a new inner node that counts two items and has no children yet."""
        if self.free_nodes:
            node = self.free_nodes.pop()
            self.sides[0][node] = self.sides[1][node] = NO_NODE
            self.counts[node] = MIN_NODE_ITEMS
            return node
        for column, value in (
            (self.sides[0], NO_NODE),
            (self.sides[1], NO_NODE),
            (self.counts, MIN_NODE_ITEMS),
        ):
            column.append(value)
        return len(self.counts) - 1

    def rank(self, key: int) -> int:
        """Returns the number of items with a smaller key."""
        below, (zero, one) = 0, self.sides
        node, bit = self.root, KEY_BITS - 1
        while node >= 0:
            if key >> bit & 1:
                below += self.size(zero[node])
                node = one[node]
            else:
                node = zero[node]
            bit -= 1
        return below + (node != NO_NODE and self.keys[~node] < key)

    def window(self, start: int, count: int) -> list[Item]:
        """Returns consecutive items, continuing with the first item after the last.

        Args:
            start: The rank of the first item to return; it is taken modulo the number of items.
            count: The number of items to return, at most each item once.
        """
        total = len(self)
        if total == 0:
            return []
        start, count = start % total, min(count, total)
        found: list[Item] = []
        self.collect(start, count, found)
        if len(found) < count:
            self.collect(0, count, found)
        return found

    def collect(self, skip: int, limit: int, found: list[Item]) -> None:
        """Appends items to `found` in order until it holds `limit` items.

        Args:
            skip: The number of items to skip at the start of the order.
            limit: The length of `found` at which to stop.
            found: The list to extend.
        """
        zero, one = self.sides
        items, counts = self.items, self.counts
        node, later = self.root, []
        while node >= 0:  # descends to the first item after the skipped ones
            left = zero[node]
            size = counts[left] if left >= 0 else int(left != NO_NODE)
            if skip < size:
                later.append(one[node])
                node = left
            else:
                skip -= size
                node = one[node]
        while len(found) < limit:
            while node >= 0:
                later.append(one[node])
                node = zero[node]
            if node != NO_NODE:
                found.append(items[~node])  # type: ignore[arg-type]  # a leaf in use has an item
            if not later:
                return
            node = later.pop()


def merged_counts(
    kinds: Sequence[Sized], shifts: Sequence[float], total: int, prefix: int
) -> list[int]:
    """Returns how many items of each kind are among the first `prefix` items of the merged order.

    Item i of a kind with m items is at position (i + shift) / m of the merged order. For each kind the number
    of items below a position differs from the proportional number by less than one. So only a few items have
    to be examined, independent of the total number.

    Args:
        kinds: The items of each kind.
        shifts: For each kind, the offset of its items, from 0 to below 1.
        total: The number of items of all kinds together; above 0.
        prefix: The number of items of the merged order to count, from 0 to `total`.
    """
    low, high = (prefix - len(kinds)) / total, (prefix + len(kinds)) / total
    counts: list[int] = []
    near: list[tuple[float, int]] = []
    for number, (kind, shift) in enumerate(zip(kinds, shifts, strict=True)):
        size = len(kind)
        first = min(size, max(0, int(low * size - shift)))
        counts.append(first)
        near += [
            ((i + shift) / size, number)
            for i in range(first, min(size, int(high * size) + 2))
        ]
    near.sort()
    for _, number in near[: prefix - sum(counts)]:
        counts[number] += 1
    return counts
