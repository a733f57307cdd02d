"""Order of probes: a shuffled round over all live members; new members are inserted at random positions."""

from __future__ import annotations

from loadbalancer.membership.state import Context, Member


class ProbeRound:
    """The members that are still to be probed in the current round.

    Args:
        context: State that all modules of this member share.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._names: list[str] = []  # the last one is probed next

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def insert(self, name: str) -> None:
        """Inserts a member at a random position of the round."""
        position = self._context.random.randrange(len(self._names) + 1)
        self._names.insert(position, name)

    def insert_next(self, name: str) -> None:
        """Inserts a member as the next one to be probed."""
        self._names.append(name)

    def next_target(self) -> Member | None:
        """Removes the next live member from the round and returns it; None if no member is live.

        When the round is empty, a new one starts with all live members in random order.
        """
        members = self._context.table.members
        while True:
            if not self._names:
                self._names = [name for name, peer in members.items() if peer.is_live]
                self._context.random.shuffle(self._names)
                if not self._names:
                    return None
            member = members.get(self._names.pop())
            if member is not None and member.is_live:
                return member
