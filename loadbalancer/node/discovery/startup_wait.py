"""How long a node waits at its start for the first answer of the discovery agent. Pure.

After this time, the list from the configuration file counts as current.
"""

from __future__ import annotations

STARTUP_WAIT_S = 1.0  # if the agent accepts no connection
STARTUP_WAIT_CONNECTED_S = 4.0  # if it accepts connections: it may be slow, or down
STARTUP_WAIT_LIST_S = 5.0  # if a list is being received or read


def startup_wait_s(connected: bool, receiving: bool) -> float:
    """Returns the seconds to wait for the first answer.

    Args:
        connected: Whether the agent has accepted a connection that is still open.
        receiving: Whether a list is being received or read.
    """
    if receiving:
        return STARTUP_WAIT_LIST_S
    return STARTUP_WAIT_CONNECTED_S if connected else STARTUP_WAIT_S
