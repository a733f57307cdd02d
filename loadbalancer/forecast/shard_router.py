"""Routes a node's requests by key while its placement changes, at once or in steps.

The replicas of a shard follow from the members (`rendezvous.ShardPlacement`). While a change is made in
steps, a shard that has not moved yet keeps those of its previous replicas that are still members. Every node
moves the same shards in the same step.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.forecast.migration import MigrationSchedule, shard_has_moved
from loadbalancer.forecast.rendezvous import (
    DrawTable,
    Member,
    ShardPlacement,
    shard_of,
)


class ShardRouter:
    """Maps keys to the replicas that one node uses for them.

    Attributes:
        target: The placement after the current change.
        previous: The placement before it, while the change is made in steps.
        schedule: The steps of the change; may be shared with other routers, and is advanced by its owner.
    """

    def __init__(self, table: DrawTable, replica_count: int) -> None:
        self.target = ShardPlacement(table, replica_count)
        self.previous: ShardPlacement | None = None
        self.schedule: MigrationSchedule | None = None
        self._index_of: dict[str, int] = {}

    @property
    def members(self) -> tuple[Member, ...]:
        """The latest members."""
        return self.target.members

    def update(
        self,
        members: Sequence[Member],
        schedule: MigrationSchedule | None = None,
        table: DrawTable | None = None,
        replica_count: int = 0,
    ) -> bool:
        """Changes the members, the servers' draws or the number of replicas.

        If the previous change is still being made in steps, shards that it has not moved yet stay where they
        were before it.

        Args:
            members: Names and weights of all members.
            schedule: The steps of the change; None to make it at once.
            table: The servers' draws, which also set the number of shards; None to keep the present ones.
            replica_count: Replicas of a shard; 0 to keep the present number.

        Returns:
            Whether the placement differs from the previous one.
        """
        table = table or self.target.table
        replica_count = replica_count or self.target.replica_count
        if (tuple(members), table, replica_count) == (
            self.target.members,
            self.target.table,
            self.target.replica_count,
        ):
            return False
        before = self.previous if self.is_migrating() else self.target
        self.target = ShardPlacement(table, replica_count)
        self.target.update(members)
        self._index_of = {name: index for index, (name, _) in enumerate(members)}
        if schedule is not None:
            self.previous, self.schedule = before, schedule
        elif not self.is_migrating():
            self._end_migration()
        return True

    def is_migrating(self) -> bool:
        """Whether a change is being made in steps."""
        return (
            self.previous is not None
            and self.schedule is not None
            and self.schedule.next_step_at() is not None
        )

    def replicas_of(self, position: int) -> tuple[int, ...]:
        """Returns the indexes of the members that hold a key at present, the best first.

        Called on the request path.

        Args:
            position: The key's position (`rendezvous.key_position`).
        """
        shard = shard_of(position, self.target.table.shard_count)
        if self.previous is not None and self.schedule is not None:
            if not self.is_migrating():
                self._end_migration()
            elif not shard_has_moved(
                shard, self.schedule.steps, self.schedule.steps_done
            ):
                remaining = self._previous_replicas(self.previous, position)
                if remaining:
                    return remaining
        return self.target.replicas_of(shard)

    def _end_migration(self) -> None:
        self.previous = self.schedule = None

    def _previous_replicas(
        self, previous: ShardPlacement, position: int
    ) -> tuple[int, ...]:
        """Returns those replicas of a key before the change that are still members."""
        shard = shard_of(position, previous.table.shard_count)
        names = (previous.members[index][0] for index in previous.replicas_of(shard))
        return tuple(self._index_of[name] for name in names if name in self._index_of)
