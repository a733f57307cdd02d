"""The node's counters since the start of the process."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict
from http import HTTPStatus
from typing import Any

from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.discovery.delay_report import DiscoveryMetrics
from loadbalancer.node.memory_figures import MemoryFigures

REJECTED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)


class Metrics:
    """Counts events as they happen, so that the cost of reading the metrics does not depend on the load.

    Attributes:
        results: Numbers of ended requests by class and result; classes that a reload removed keep theirs.
        outstanding: Requests that were accepted and have not ended.
        forwards: Attempts that were written completely to servers.
        sighup_applied: Reloads that were applied.
        sighup_rejected: Reloads that were rejected.
        reload_error: Why the last reload was rejected; None if it was applied.
    """

    def __init__(self) -> None:
        self.results: dict[str, dict[str, int]] = {}
        self.outstanding = 0
        self.forwards = 0
        self.sighup_applied = 0
        self.sighup_rejected = 0
        self.reload_error: LoadBalancerError | None = None

    def add_classes(self, names: tuple[str, ...]) -> None:
        """Adds counters for classes that have none."""
        for name in names:
            self.results.setdefault(name, {"succeeded": 0, "declined": 0, "aborted": 0})

    def request_accepted(self) -> None:
        """Counts an accepted request."""
        self.outstanding += 1

    def request_ended(self, class_name: str, status: int) -> None:
        """Counts the final response to a request by its class.

        Args:
            class_name: Name of the request's class.
            status: HTTP status of the response; 0: there was none.
        """
        if status == HTTPStatus.OK:
            result = "succeeded"
        elif status in REJECTED_STATUSES:
            result = "declined"
        else:
            result = "aborted"
        self.results[class_name][result] += 1

    def request_released(self) -> None:
        """Counts the end of an accepted request."""
        self.outstanding -= 1

    def attempt_forwarded(self) -> None:
        """Counts an attempt whose last byte was written."""
        self.forwards += 1

    def reloaded(self, error: LoadBalancerError | None = None) -> None:
        """Counts a reload.

        Args:
            error: Why it was rejected; None: it was applied.
        """
        self.reload_error = error
        if error is None:
            self.sighup_applied += 1
        else:
            self.sighup_rejected += 1

    def figures(
        self,
        discovered: int,
        ejected: int,
        memory: MemoryFigures,
        discovery: DiscoveryMetrics,
        reasons: Mapping[str, int],
    ) -> dict[str, Any]:
        """Returns all metrics as `/admin/stats` publishes them.

        Args:
            discovered: Number of servers in the endpoint list.
            ejected: Number of servers that outlier detection has ejected.
            memory: What the memory of the process consists of.
            discovery: How the discovery agent answers.
            reasons: Refusals, closes and retries by reason (`ReasonLog`).
        """
        values: dict[str, Any] = {
            "results": {name: dict(counts) for name, counts in self.results.items()},
            "outstanding": self.outstanding,
            "forwards": self.forwards,
            "discovered": discovered,
            "ejected": ejected,
            "memory": asdict(memory),
            "discovery": asdict(discovery),
            "reasons": dict(reasons),
            "sighup_applied": self.sighup_applied,
            "sighup_rejected": self.sighup_rejected,
        }
        if self.reload_error is not None:
            values["sighup_refused"] = self.reload_error.table()
        return values
