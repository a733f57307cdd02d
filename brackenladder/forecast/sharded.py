"""The decisions of a node that has shards: a call goes to its shard's homes first.

All of `Balancer` holds: the limit, the draw of two, the budget of cold servers, ejection, retries. Only the
members among which a request's first attempt is drawn are fewer, and only while one of them has room. A class
of its own: where shards are off, nothing of it is there, and the page of decisions stays as long as it is.
"""

from __future__ import annotations

from collections.abc import Sequence

from brackenladder.balance import Balancer, Server
from brackenladder.interface import Actions, Settings, ZoneJudge
from brackenladder.request import Request

HOME_SHARE = 2.0  # a home takes so many times a member's part of the limit...
HOME_LEAST = 2  # ...and so many calls of this node at the least


class Sharded(Balancer):
    """One copy that is told the homes of each request's shard."""

    def __init__(
        self, settings: Settings, seed: int, actions: Actions, judge: ZoneJudge | None = None
    ) -> None:
        super().__init__(settings, seed, actions, judge)
        self.least = 0  # members, while there are as many servers
        self.coming: Sequence[int] = ()  # the homes of the request that comes just now
        self.at_home = self.beyond = 0  # first attempts at a home; with all homes at their limit

    def request_at(
        self,
        now: int,
        request: int,
        klass: int,
        tenant: int,
        time_left: int,
        repeat: bool,
        whole: bool,
        homes: Sequence[int],
    ) -> None:
        """As `request`, of a request whose shard has these homes, by number."""
        self.coming = homes
        try:
            self.request(now, request, klass, tenant, time_left, repeat, whole)
        finally:
            self.coming = ()

    def wanted_size(self) -> int:
        """As ever, but no fewer than were asked for.

        Failure prevented: a node with little traffic has four members, two of them homes of every other key,
        and each server's cache holds a half of all keys.
        """
        return max(self.least, super().wanted_size())

    def draw(self, now: int, r: Request[Server]) -> Server | None:
        """Two of the homes that are members and have room; else as ever."""
        if self.coming and r.attempts == 0 and not self.trial_due(now):
            homes = [self.servers[n] for n in self.coming if n in self.servers]
            if self.verdict.shares:  # zones that are to take nothing have no homes
                zones = {zone for zone, share in self.verdict.shares if share > 0}
                homes = [m for m in homes if m.zone in zones]
            # Failure prevented: all that ask for one key wait at two servers while the others stand idle.
            most = max(HOME_LEAST, HOME_SHARE * self.controller.allowed() / max(1, len(self.able)))
            homes = [m for m in homes if m.member and not m.aside and m.in_flight < most]
            srv = self.draw_two(now, homes)
            if srv is not None:
                self.at_home += 1
                return srv
            self.beyond += 1
        return super().draw(now, r)

    def trial_due(self, now: int) -> bool:
        """Whether an ejected member is to be tried.

        Failure prevented: all requests have homes, and what was ejected once is never tried again.
        """
        return now >= self.next_trial and any(e.trial_at <= now and not e.trial_out for e in self.ejected)

    def stats(self) -> dict[str, float]:
        """The same, with how many went to a home."""
        return {**super().stats(), "at_home": self.at_home, "beyond_homes": self.beyond}
