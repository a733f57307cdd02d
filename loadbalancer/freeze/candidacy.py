"""Timing of an elector's candidacies, and the votes of the current one."""

from __future__ import annotations

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.messages import VoteRequest, VoteResponse
from loadbalancer.freeze.random_source import RandomSource
from loadbalancer.freeze.rules import ElectionRules


class Candidacy:
    """The candidacies and pre-candidacies of one elector. Times are monotonic microseconds.

    Attributes:
        next_at: When the next candidacy may start; while one is running, when it ends.
        started_at: When the current candidacy started; responses repeat this time, which identifies them.
        retry_at: When votes are requested again.
        votes: Names of the electors that have granted their vote, including the candidate.
    """

    def __init__(
        self, rules: ElectionRules, random: RandomSource, name: str, earliest: int
    ) -> None:
        self.rules, self.random, self.name = rules, random, name
        self.next_at = earliest + self._jitter_us()
        self.started_at = 0
        self.retry_at = 0
        self.votes: frozenset[str] = frozenset()

    def _jitter_us(self) -> int:
        return self.random.below(self.rules.candidacy_jitter_us)

    def postpone_until(self, earliest: int) -> None:
        """Schedules the next candidacy at `earliest` plus a random jitter."""
        self.next_at = earliest + self._jitter_us()

    def postpone(self, now: int) -> None:
        """Schedules the next candidacy after the duration of one candidacy, plus a random jitter."""
        self.postpone_until(now + self.rules.candidacy_jitter_us)

    def start(self, now: int) -> None:
        """Starts a candidacy with the candidate's own vote."""
        self.started_at, self.votes = now, frozenset((self.name,))

    def discard_votes(self) -> None:
        """Discards the votes of a candidacy that has ended."""
        self.votes = frozenset()

    def add_vote(self, voter: str) -> bool:
        """Counts a vote; returns whether a majority has granted its votes."""
        self.votes |= {voter}
        return len(self.votes) >= self.rules.majority

    def accepts(self, now: int, response: VoteResponse) -> bool:
        """Whether a response belongs to this candidacy and is recent enough to count.

        A voter that lost its store, and with it the record of its vote, casts no other vote for one lease. So
        a response counts only within one lease (`ElectionRules.leader_lease_us`) of the candidacy's start.
        """
        return (
            response.sent_at == self.started_at
            and now < self.started_at + self.rules.leader_lease_us
        )

    def requests(self, now: int, request: VoteRequest, after_save: int) -> list[Send]:
        """Returns vote requests for the electors that have not granted their vote yet.

        Requests are repeated because a request or response may have been lost, and because an elector that
        refused may grant its vote once the lease that it gave a leader has ended.
        """
        self.retry_at = now + self.rules.resend_interval_us
        return [
            Send(elector, request, after_save)
            for elector in self.rules.electors
            if elector not in self.votes
        ]
