"""A seeded random number generator whose complete state is one integer, so that states can be compared."""

from __future__ import annotations

_MASK_64 = (1 << 64) - 1


class RandomSource:
    """The splitmix64 generator (Steele, Lea, Flood 2014)."""

    def __init__(self, seed: int) -> None:
        self.state = seed

    def below(self, limit: int) -> int:
        """Returns the next random number that is at least 0 and below `limit`."""
        self.state = (self.state + 0x9E3779B97F4A7C15) & _MASK_64
        mixed = (self.state ^ self.state >> 30) * 0xBF58476D1CE4E5B9 & _MASK_64
        mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK_64
        return (mixed ^ mixed >> 31) % limit
