"""The open incidents as a node knows them from the coordinator's notifications."""

from __future__ import annotations

from loadbalancer.freeze.messages import (
    INITIAL_VERSION,
    IncidentList,
    IncidentNotice,
    StateVersion,
)


class KnownIncidents:
    """The incidents of the latest notification.

    A notification may arrive in parts. Each part adds its incidents at once; incidents that the notification
    does not list are removed when all parts have arrived.

    Attributes:
        by_id: Open incidents by id.
        version: Version of the state in which the incidents last changed.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, IncidentNotice] = {}
        self.version: StateVersion = INITIAL_VERSION
        self._parts: dict[int, list[IncidentNotice]] = {}

    def update(self, notification: IncidentList) -> list[IncidentNotice]:
        """Applies one part of a notification.

        Returns:
            All incidents of the part's version received so far; none if the part is outdated.
        """
        if notification.changed_version < self.version:
            return []
        if notification.changed_version > self.version:
            self.version, self._parts = notification.changed_version, {}
        self._parts[notification.index] = list(notification.incidents)
        notices = [notice for part in self._parts.values() for notice in part]
        by_id = {notice.id: notice for notice in notices}
        complete = len(self._parts) >= notification.count
        self.by_id = by_id if complete else self.by_id | by_id
        return notices
