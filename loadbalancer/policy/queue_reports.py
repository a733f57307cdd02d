"""Load reports: the queues of endpoints, and whether all instances together overload an endpoint."""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.policy.concurrency_limit import MIN_LIMIT, ConcurrencyLimit
from loadbalancer.policy.endpoint import Endpoint

# The column of a load report with the number of requests that the endpoint holds.
QUEUE_COLUMN = "inflight"
# Reports count only if at least this number of instances share an endpoint.
MIN_SHARING_INSTANCES = 4
# The usual queue is learned while round trips are within this fraction of the target.
LOW_RTT_RATIO = 0.5
USUAL_QUEUE_SMOOTHING = 0.002  # Weight of the newest report in the usual queue.
# While latency is low, or for an urgent class, an endpoint may hold this multiple of the usual queue.
TOLERATED_QUEUE_RATIO = 2.0


class QueueReports:
    """The usual queue of an endpoint, the mean queue of the members, and the tolerated queue."""

    def __init__(self, report_fields: Sequence[str], limit: ConcurrencyLimit) -> None:
        """Starts without a report.

        Args:
            report_fields: The columns of a load report; without QUEUE_COLUMN no queue is known.
            limit: The concurrency limit, with the measured latency and the instances per endpoint.
        """
        self.column = (
            report_fields.index(QUEUE_COLUMN) if QUEUE_COLUMN in report_fields else -1
        )
        self.limit = limit
        # Requests that an endpoint usually reports.
        self.usual_queue = float(MIN_LIMIT)
        self.mean_of_members = 0.0  # Reported requests per member; 0 if unknown.

    def record(self, endpoint: Endpoint, report: Sequence[float]) -> None:
        """Applies a load report, if it has the column of the queue.

        A report does not include the calls that this instance has sent since. So the queue counts as no
        shorter than this instance's own calls in flight; otherwise a busy instance would send all its calls
        to the one endpoint that reported to be idle.

        Args:
            endpoint: The endpoint that sent the report.
            report: The values of the report, in the order of its columns.
        """
        if not len(report) > self.column >= 0:
            return
        queue = report[self.column]
        endpoint.reported_queue = max(queue, float(endpoint.in_flight))
        if self.limit.sample_rtt_ratio <= LOW_RTT_RATIO:
            self.usual_queue += USUAL_QUEUE_SMOOTHING * (queue - self.usual_queue)

    def average(self, members: Sequence[Endpoint]) -> None:
        """Updates the mean of the queues that the members report."""
        if self.column >= 0:
            queues = sum(member.reported_queue for member in members)
            self.mean_of_members = queues / max(1, len(members))

    def overloaded(self, endpoint: Endpoint, urgent: bool) -> bool:
        """Whether an endpoint's queue from all instances together is longer than tolerated.

        Many instances with few calls in flight each can overload an endpoint although none of them notices.
        The endpoint becomes slow, and stays slow while it is never idle. An instance without a call at the
        endpoint may always send one, which shows how the endpoint performs.

        Args:
            endpoint: The endpoint.
            urgent: Whether the next call belongs to a class with higher priority than another class.
        """
        if (
            not endpoint.in_flight
            or self.limit.instances_per_endpoint < MIN_SHARING_INSTANCES
            or self.column < 0
        ):
            return False
        return endpoint.reported_queue > self.tolerated_queue(urgent)

    def tolerated_queue(self, urgent: bool) -> float:
        """Returns the number of requests that an endpoint may hold without being overloaded.

        While latency is low this is TOLERATED_QUEUE_RATIO times the usual queue, and it falls towards the
        usual queue as latency rises to the target. So warm endpoints that take over the load of cold ones do
        not count as overloaded while answers are in time. For an urgent class the full bound always applies;
        otherwise it would be rejected as often as the others when all endpoints are overloaded or cold.

        Args:
            urgent: Whether the next call belongs to a class with higher priority than another class.
        """
        lateness = 0.0
        if not urgent:
            excess = self.limit.sample_rtt_ratio - LOW_RTT_RATIO
            lateness = min(1.0, max(0.0, excess / (1 - LOW_RTT_RATIO)))
        ratio = TOLERATED_QUEUE_RATIO - lateness * (TOLERATED_QUEUE_RATIO - 1)
        return max(MIN_LIMIT, self.usual_queue) * ratio
