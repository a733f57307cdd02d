"""How long a change of the endpoint list takes from the discovery agent to the node."""

from __future__ import annotations

from loadbalancer.node.discovery.answer_delay import SILENCE_S
from loadbalancer.node.discovery.call import ANSWER_TIMEOUT_S
from loadbalancer.node.discovery.call_retention import RETAIN_INTERVAL_S

# Long-poll time of the watch. It is short, since the agent is on this machine and empty answers cost little.
WATCH_WAIT_MS = 1_000
# Shortest interval between two new calls when the first one fails or is answered immediately
RETRY_INTERVAL_S = 0.1
AGENT_ANSWER_S = 0.3  # longest time in which a quick agent answers


def propagation_bound_s(wait_s: float = WATCH_WAIT_MS / 1000) -> float:
    """Returns the longest time in seconds from a change at a quick agent to its arrival in the node's list.

    The newest open call may wait `wait_s` seconds. Then it is late, because it is silent or because its
    answer takes too long, and a new call is made. A call that fails is followed by a new one after
    RETRY_INTERVAL_S, and a new one is answered within AGENT_ANSWER_S. There is no backoff, so earlier
    failures add nothing. The time to receive and read a list beyond LONG_ANSWER_BYTES is not included.

    Args:
        wait_s: Seconds that a call may wait; 0: no open call may wait, as after a move to another agent.
    """
    return wait_s + max(SILENCE_S, ANSWER_TIMEOUT_S) + RETRY_INTERVAL_S + AGENT_ANSWER_S


def slow_propagation_bound_s(answer_delay_s: float) -> float:
    """Returns the same time for an agent whose answers are late, also if one call falls silent.

    Calls that stay open for MAX_ANSWER_DELAY_S or longer start RETAIN_INTERVAL_S apart at most: at a slow
    agent after the waiting time and SILENCE_S, at one that does not answer as `CallRetention` selects them.

    Args:
        answer_delay_s: Seconds by which each answer is late, MAX_ANSWER_DELAY_S at most.
    """
    return RETAIN_INTERVAL_S + answer_delay_s
