"""The endpoint list that the audit tracks: as this node's discovery reported it, with lines adopted since."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from loadbalancer.audit.remediation import LocalState
from loadbalancer.audit.status import VersionId, append_version
from loadbalancer.node.discovery.endpoint_list_codec import Line
from loadbalancer.node.features.feature import ListUpdate
from loadbalancer.policy.api import EndpointState, ListUpdateKind


@dataclass(frozen=True)
class ListDifference:
    """The changes that lead from this node's list to another one.

    Attributes:
        removed: Endpoints that the other list does not have, with the state `GONE`.
        draining: Endpoints that are not ready in the other list and whose state here differs or is unknown.
        added: Ready endpoints of the other list that are missing here.
    """

    removed: list[Line]
    draining: list[Line]
    added: list[Line]


class AuditedEndpoints:
    """The endpoints of this node, and the versions of the list that it acts on.

    Attributes:
        local: The state of this node that the remediator reads.
        versions: Versions from this node's discovery that it reports to others, newest last.
        endpoints: The endpoints by name, as this node's discovery reported them.
    """

    def __init__(self) -> None:
        self.local = LocalState()
        self.versions: tuple[VersionId, ...] = ()
        self.endpoints: dict[str, Line] = {}
        # The endpoints received so far of a complete list that arrives in parts; None between such lists.
        self._incomplete: dict[str, Line] | None = None
        # Lines adopted from others, by name, until this node's discovery reports the endpoint.
        self._adopted: dict[str, Line] = {}

    def on_list_update(self, update: ListUpdate, now: int) -> None:
        """Applies an answer of this node's discovery, even one without changes.

        Args:
            update: The update.
            now: Time of the answer in monotonic microseconds.
        """
        self.local.discovery_answered_at = now
        known = self.local.list_version
        is_newer = known is None or update.version.number > known.number
        if is_newer:
            for line in update.lines:
                self._adopted.pop(line.id, None)
        if update.kind == ListUpdateKind.CHANGES:
            _apply(update.lines, self.endpoints)
            if self._incomplete is not None:
                _apply(update.lines, self._incomplete)
            return
        if self._incomplete is None:
            self._incomplete = {}
        _apply(update.lines, self._incomplete)
        if not update.more:
            self.endpoints, self._incomplete = self._incomplete, None
            if is_newer:
                self._adopted.clear()

    def on_version(self, version: VersionId) -> None:
        """Records that the node acts on a version from its own discovery, which replaces an adopted one."""
        self.versions = append_version(self.versions, version)
        self.local.list_version = version
        self.local.adopted = None

    def add_adopted(self, lines: Iterable[Line]) -> None:
        """Records endpoint lines that were merged from the list of an agent or a peer."""
        self._adopted |= {line.id: line for line in lines}

    def difference(self, other: list[Line]) -> ListDifference:
        """Returns the changes that lead from this node's list to `other`.

        Draining and added endpoints are in the order of `other`, removed ones in that of this node's list.
        """
        listed = {line.id for line in other}
        current = {
            name: line
            for name, line in (self.endpoints | self._adopted).items()
            if line.state != EndpointState.GONE
        }
        removed = [
            replace(line, state=EndpointState.GONE)
            for name, line in current.items()
            if name not in listed
        ]
        draining = [
            line
            for line in other
            if line.state != EndpointState.READY
            and (line.id not in current or current[line.id].state != line.state)
        ]
        added = [
            line
            for line in other
            if line.state == EndpointState.READY and line.id not in current
        ]
        return ListDifference(removed, draining, added)


def _apply(lines: Iterable[Line], endpoints: dict[str, Line]) -> None:
    for line in lines:
        if line.state == EndpointState.GONE:
            endpoints.pop(line.id, None)
        else:
            endpoints[line.id] = line
