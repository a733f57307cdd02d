"""Health checks: requests that the node sends to a server on its own behalf."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from loadbalancer.node.upstream.attempt import Attempt
from loadbalancer.node.upstream.load_report import parse_load_report

if TYPE_CHECKING:
    from loadbalancer.node.node import Node
    from loadbalancer.node.upstream.response import Response
    from loadbalancer.policy.api import Outcome

LOAD_REPORT_PATH = b"/status/load"
HEALTH_PATH = b"/health"


def start_health_check(node: Node, server: int) -> None:
    """Requests a server's load report, or its health page if the settings name no reports.

    The policy receives one `health_checked` event for it. The check fails after `connect_timeout` seconds,
    which include the response.

    Args:
        node: The node.
        server: The server's endpoint number.
    """
    endpoint = node.pool.endpoints.get(server)
    started_at = node.now()
    path = LOAD_REPORT_PATH if node.config.report_names else HEALTH_PATH

    def on_done(_: Outcome, response: Response | None) -> None:
        is_healthy = response is not None and response.status == HTTPStatus.OK
        report: tuple[float, ...] = ()
        if response is not None and is_healthy:
            report = parse_load_report(
                response.body or response.load_report, node.config.report_names
            )
        node.post(
            node.balancer.health_checked,
            server,
            is_healthy,
            node.now() - started_at,
            report,
        )

    if endpoint is None or not endpoint.ready:
        node.post(node.balancer.health_checked, server, False, 0, ())
        return
    request = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (
        path,
        endpoint.host.encode(),
        endpoint.port,
    )
    Attempt(node.pool, endpoint, lambda: request, on_done).start(
        node.config.connect_timeout
    )
