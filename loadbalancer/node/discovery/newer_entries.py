"""Keeps the parts of a long answer from replacing entries of answers that were adopted after it. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from loadbalancer.node.discovery.endpoint_list_codec import Line, Listing
from loadbalancer.policy.api import EndpointState, ListUpdateKind


class NewerEntries:
    """The entries of answers that were adopted while a long answer is delivered in parts.

    Short answers are delivered at once, between the parts of a long one. The long answer is older, so each of
    its further parts has to be brought up to date before it is delivered. Each server's newest entry is kept
    until the long answer has been delivered as often as necessary.

    Attributes:
        lines: The newest entries by the server's name; None while no long answer is delivered.
    """

    def __init__(self) -> None:
        self.lines: dict[str, Line] | None = None

    def start(self) -> None:
        """Starts a delivery; called when the long answer has been adopted."""
        self.lines = {}

    def stop(self) -> None:
        """Ends the delivery, also one that is incomplete."""
        self.lines = None

    def record(self, lines: Iterable[Line]) -> None:
        """Records the entries of an answer that has been adopted just now."""
        if self.lines is not None:
            self.lines.update((line.id, line) for line in lines)

    def bring_up_to_date(self, part: Listing, is_last: bool) -> Listing:
        """Returns a part of the long answer as it has to be delivered now.

        Args:
            part: The part.
            is_last: Whether it is the last part of this delivery.

        Returns:
            The part without older entries. The last part of a full list also has all newer entries, because
            it removes the servers that no part has named. Servers that have left are in no full list.
        """
        newer = self.lines
        if not newer:
            return part
        lines = [line for line in part.lines if line.id not in newer]
        if is_last and part.kind != ListUpdateKind.CHANGES:
            lines += [
                line for line in newer.values() if line.state != EndpointState.GONE
            ]
        return replace(part, lines=tuple(lines))
