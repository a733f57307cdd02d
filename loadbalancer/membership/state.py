"""State of one member's view: the member table, the shared context, and the actions for the host.

Times are microseconds of the host's monotonic clock.
"""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Iterable, MutableMapping
from dataclasses import dataclass

from loadbalancer.membership.messages import MemberState, MemberUpdate
from loadbalancer.membership.settings import SYNC_PERIODS, SwimSettings

Address = tuple[str, int]

DIGEST_MODULUS = 1 << 32  # a digest has 32 bits
DRAWS_PER_SAMPLE = 4  # random draws per requested member before all members are scanned


@dataclass
class Member:
    """What this node knows about one member.

    Attributes:
        name: Unique name of the member.
        host: Host of its address for datagrams.
        port: Port of that address.
        incarnation: Highest known incarnation; only the member itself raises it.
        state: Whether it is alive, suspected, dead or has left.
        state_since_us: When the state last changed.
        zone: Its zone; empty if not known.
        region: Its region; empty if not known.
        reach: "direct"; "indirect" if it answers only through other members; "inbound" if its own datagrams
            arrive but it cannot be reached.
        last_received_us: When one of its own datagrams last arrived.
        recovered_us: When it last became alive after it was suspected or dead; 0 if never.
    """

    name: str
    host: str
    port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    state_since_us: int = 0
    zone: str = ""
    region: str = ""
    reach: str = "direct"
    last_received_us: int = 0
    recovered_us: int = 0

    @property
    def address(self) -> Address:
        """The address at which it receives datagrams."""
        return (self.host, self.port)

    @property
    def is_live(self) -> bool:
        """Whether it is alive or merely suspected."""
        return self.state <= MemberState.SUSPECT

    def update(self, source: str) -> MemberUpdate:
        """Returns the update about this member for dissemination, as reported by `source`."""
        return MemberUpdate(
            self.name,
            self.host,
            self.port,
            self.incarnation,
            self.state,
            source,
            self.zone,
            self.region,
        )


@dataclass(frozen=True)
class SendDatagram:
    """Action for the host: send one datagram.

    Attributes:
        address: The receiver.
        data: The encoded datagram.
    """

    address: Address
    data: bytes


@dataclass(frozen=True)
class MemberChange:
    """Notification for the host, which logs one line for it: the state or the reach of a member changed.

    Attributes:
        time_us: When it changed.
        name: Name of the member.
        old: The state or reach before.
        new: The state or reach after.
        incarnation: The member's incarnation.
        source: Name of the member that reported the change.
        reason: The rule that applied, as a text for operators.
    """

    time_us: int
    name: str
    old: str
    new: str
    incarnation: int
    source: str
    reason: str


@dataclass
class Counters:
    """Totals since the start of the process; the host publishes them under these names.

    Attributes:
        malformed: Datagrams dropped because they are not well formed.
        foreign: Datagrams dropped because they belong to another cluster or protocol version.
        stale: Messages and updates ignored because they are outdated or not meant for this member.
        sent: Datagrams sent.
        sent_bytes: Bytes of these datagrams.
        received: Well-formed datagrams received.
        refuted: Times that this member refuted a report about itself.
        conflicts: Reports that another process uses this member's name at another address.
    """

    malformed: int = 0
    foreign: int = 0
    stale: int = 0
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    refuted: int = 0
    conflicts: int = 0


class MemberTable:
    """All known members except the local one, with an incrementally updated count and digest.

    Args:
        local: The local member.
        rng: Source of randomness for samples.

    Attributes:
        members: The known members by name.
        names: Names from which samples are drawn; may include members that have been removed.
        live_count: Number of live members, without the local one.
    """

    def __init__(self, local: Member, rng: random.Random) -> None:
        self.local = local
        self.members: MutableMapping[str, Member] = {}
        self.names: list[str] = []
        self.live_count = 0
        self._random = rng
        self._digest: int | None = None  # computed on first use

    def replace_all(
        self,
        members: MutableMapping[str, Member],
        names: list[str],
        live_count: int,
        digest: int | None = None,
    ) -> None:
        """Replaces the complete view; to be used before the first datagram.

        Args:
            members: The known members by name, without the local one.
            names: Names from which samples are drawn.
            live_count: Number of live members among them.
            digest: Digest of the live members and the local one; None to compute it on first use.
        """
        self.members, self.names, self.live_count = members, names, live_count
        self._digest = digest

    def is_live(self, name: str) -> bool:
        """Whether a name is that of the local member or of a member that is alive or merely suspected."""
        member = self.members.get(name)
        return name == self.local.name or (member is not None and member.is_live)

    def sorted_members(self) -> list[Member]:
        """Returns all known members except the local one, sorted by name."""
        return [self.members[name] for name in sorted(self.members)]

    @property
    def digest(self) -> int:
        """Sum of the fingerprints of all live members, the local one included; 32 bits."""
        if self._digest is None:
            live = (member for member in self.members.values() if member.is_live)
            self._digest = sum(map(fingerprint, (self.local, *live))) % DIGEST_MODULUS
        return self._digest

    def insert(self, member: Member) -> None:
        """Adds a live member."""
        self.members[member.name] = member
        self.names.append(member.name)
        self.live_count += 1
        self._add_to_digest(member, +1)

    def relocate(self, member: Member, update: MemberUpdate) -> None:
        """Changes the address, zone and region of a member to those of an update."""
        sign = int(member.is_live)
        self._add_to_digest(member, -sign)
        member.host, member.port = update.host, update.port
        member.zone, member.region = update.zone, update.region
        self._add_to_digest(member, +sign)

    def count_transition(self, member: Member, old_state: MemberState) -> None:
        """Adjusts the live count and the digest after a member's state changed from `old_state`."""
        step = member.is_live - (old_state <= MemberState.SUSPECT)
        self.live_count += step
        self._add_to_digest(member, step)

    def remove(self, names: Iterable[str]) -> None:
        """Removes members that are not live."""
        for name in names:
            del self.members[name]
        self.names = list(self.members)

    def sample_alive(self, count: int, exclude: str = "") -> list[Member]:
        """Draws up to `count` random members that are alive; scans all only if too few draws find one."""
        found: dict[str, Member] = {}
        for _ in range(DRAWS_PER_SAMPLE * count if self.names else 0):
            member = self.members.get(self._random.choice(self.names))
            if (
                member is not None
                and member.state == MemberState.ALIVE
                and member.name != exclude
            ):
                found[member.name] = member
                if len(found) == count:
                    return list(found.values())
        alive = [
            member
            for name, member in self.members.items()
            if member.state == MemberState.ALIVE and name != exclude
        ]
        return self._random.sample(alive, min(count, len(alive)))

    def _add_to_digest(self, member: Member, sign: int) -> None:
        if self._digest is not None:
            self._digest = (self._digest + sign * fingerprint(member)) % DIGEST_MODULUS


class Context:
    """State that all modules of one member's state machine share.

    Args:
        local: The local member.
        settings: The cluster's settings.
        seed: Seed of the random number generator.

    Attributes:
        now_us: The current time.
        local_health: Lifeguard's local health multiplier; 0 is healthy.
        changes: Changes of members that the host has not taken yet.
    """

    def __init__(self, local: Member, settings: SwimSettings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.table = MemberTable(local, self.random)
        self.now_us = 0
        self.local_health = 0
        self.counters = Counters()
        self.changes: list[MemberChange] = []
        self._last_sequence = 0

    @property
    def local(self) -> Member:
        """The local member."""
        return self.table.local

    def next_sequence(self) -> int:
        """Returns a new sequence number for a ping of this member."""
        self._last_sequence += 1
        return self._last_sequence

    def adjust_local_health(self, step: int) -> None:
        """Raises (degraded) or lowers (healthier) the local health multiplier within its bounds."""
        health = min(self.settings.max_local_health, self.local_health + step)
        self.local_health = max(0, health)

    def record_change(
        self, member: Member, old: str, new: str, source: str, reason: str
    ) -> None:
        """Adds a change of a member, at its current incarnation, to the changes for the host."""
        change = MemberChange(
            self.now_us, member.name, old, new, member.incarnation, source, reason
        )
        self.changes.append(change)

    @property
    def gossip_round_us(self) -> int:
        """Time in which an update should reach all members, in microseconds."""
        rounds = 2 * math.ceil(math.log2(self.table.live_count + 2))
        return self.settings.probe_interval_us * (SYNC_PERIODS + rounds)


def fingerprint(member: Member) -> int:
    """Hashes a member's name, address, zone and region to 32 bits.

    The incarnation is not included, since all datagrams of the member carry it.
    """
    identity = (
        f"{member.name} {member.host} {member.port} {member.zone} {member.region}"
    )
    return zlib.crc32(identity.encode())


def unless_alive(member: Member | None) -> Member | None:
    """Returns the member if it is known and not alive: it must get its own update so that it can refute."""
    return member if member is not None and member.state != MemberState.ALIVE else None
