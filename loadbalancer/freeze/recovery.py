"""Recovery of an elector whose store was lost, from the state of the other electors.

The elector has lost the record of its votes and acknowledgements, so it takes no part in votes or majorities
until, one lease after its start at the earliest, one of these conditions holds:

* A majority of *other* electors has reported its terms and versions. At least one of them took part in every
  decision of which this elector may have lost the record. This is the recovery protocol of Viewstamped
  Replication Revisited (Liskov, Cowling 2012).
* All other electors have answered, whatever they hold. This covers a first start, and the loss of more than a
  minority of stores, after which the state that any elector still holds is kept.
* Operators have declared at a majority of electors that the state of the others is lost for good.
"""

from __future__ import annotations

from loadbalancer.freeze.actions import Send
from loadbalancer.freeze.messages import (
    RecoveryRequest,
    RecoveryResponse,
    StateVersion,
)
from loadbalancer.freeze.rules import ElectionRules

NONCE_LIMIT = 1 << 52  # exclusive; fits `messages.Number`


class Recovery:
    """One elector's recovery: its latest request and the responses to it.

    Attributes:
        next_request_at: When the next request is due, in monotonic microseconds.
        nonce: Identifies the latest request.
        responses: Responses of other electors to the latest request, by name.
        other_members: Names of the members that are not electors.
        highest_member_term: The highest term reported by a member that is not an elector.
        reset_declared: Whether an operator has declared the replicated state lost at this node.
    """

    def __init__(
        self, rules: ElectionRules, others: tuple[str, ...], first_request_at: int
    ) -> None:
        self.rules, self.others = rules, others
        self.next_request_at = first_request_at
        self.nonce = 0
        self.responses: dict[str, RecoveryResponse] = {}
        # Members that are not electors may know a term of which all electors have lost the record.
        self.other_members: tuple[str, ...] = ()
        self.highest_member_term = 0
        self.reset_declared = False

    def start_round(self, now: int, nonce: int) -> list[Send]:
        """Returns requests to all other nodes; `nonce` excludes delayed responses to earlier requests."""
        self.next_request_at = now + self.rules.candidacy_jitter_us
        self.nonce = nonce
        self.responses = {}
        request = RecoveryRequest(nonce)
        return [Send(name, request) for name in (*self.others, *self.other_members)]

    def response_to(
        self,
        request: RecoveryRequest,
        term: int,
        version: StateVersion,
        *,
        state_lost: bool,
    ) -> RecoveryResponse:
        """Returns the response of an elector that has `term` and `version` to another elector's request."""
        return RecoveryResponse(
            request.nonce, term, version, state_lost, self.reset_declared
        )

    def record_response(self, sender: str, response: RecoveryResponse) -> bool:
        """Records a response of any member.

        Returns:
            Whether other electors with intact stores have answered in a number that is a majority of all
            electors.
        """
        if sender not in self.others:
            self.highest_member_term = max(self.highest_member_term, response.term)
            return False
        self.responses[sender] = response
        intact_count = sum(not answer.state_lost for answer in self.responses.values())
        return intact_count >= self.rules.majority

    def may_resume(self) -> bool:
        """Whether the elector may resume without a majority of intact stores.

        This is the case once all other electors have answered, so that no surviving state can be missed, or
        once operators have declared a reset at a majority.
        """
        declaration_count = 1 + sum(
            answer.reset_declared for answer in self.responses.values()
        )
        return len(self.responses) == len(self.others) or (
            self.reset_declared and declaration_count >= self.rules.majority
        )

    def highest_term(self) -> int:
        """Returns the highest term that any node has reported."""
        terms = [answer.term for answer in self.responses.values()]
        return max(self.highest_member_term, *terms)

    def newest_version(self) -> StateVersion:
        """Returns the newest version that another elector has reported."""
        return max(answer.version for answer in self.responses.values())
