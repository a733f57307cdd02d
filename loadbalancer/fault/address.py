"""Loopback addresses: the fault tool connects sockets of one machine only."""

from __future__ import annotations

import ipaddress
from typing import ClassVar

from loadbalancer.errors import LoadBalancerError

MAX_PORT = 65_535
DEFAULT_HOST = "127.0.0.1"  # host of an address that has only a port

Address = tuple[str, int]  # host, as an IP address, and port


class AddressError(LoadBalancerError, ValueError):
    """An address for the fault tool that is not a numeric HOST:PORT."""

    remedy: ClassVar[str] = (
        "write HOST:PORT in numbers, such as 127.0.0.1:8080 or [::1]:8080"
    )


class NotLoopbackError(AddressError):
    """An address for the fault tool that other machines could reach."""

    code: ClassVar[str] = "NotLoopback"
    remedy: ClassVar[str] = (
        "use an address in 127.0.0.0/8 or ::1, on the machine where the tool runs"
    )


def parse_loopback(text: str) -> Address:
    """Parses a loopback address such as `127.0.0.1:8080` or `[::1]:8080`.

    Args:
        text: The address; without a host it is on 127.0.0.1.

    Raises:
        AddressError: The text is not a numeric HOST:PORT, or the port is out of range.
        NotLoopbackError: The host is not a loopback address.
    """
    host, _, port_text = text.rpartition(":")
    host = host.strip("[]") or DEFAULT_HOST
    try:
        is_loopback = ipaddress.ip_address(host).is_loopback
        port = int(port_text)
    except ValueError:
        raise AddressError(
            "not HOST:PORT with a numeric IP address and port", text
        ) from None
    if not is_loopback:
        raise NotLoopbackError(
            "not a loopback address; the tool connects sockets of one machine only",
            text,
        )
    if not 0 <= port <= MAX_PORT:
        raise AddressError("the port must be between 0 and 65535", text)
    return host, port
