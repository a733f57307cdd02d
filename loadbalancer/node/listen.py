"""Errors of listening sockets, which name the address, the system's reason and a remedy."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from contextlib import contextmanager
from typing import ClassVar

from loadbalancer.errors import LoadBalancerError


class ListenError(LoadBalancerError, OSError):
    """The system refuses to listen at an address or socket, for a reason that has no type of its own."""

    remedy: ClassVar[str] = (
        "listen at another address, or remove the cause that the system names"
    )


class AddressInUseError(ListenError):
    """Another process listens at the address already."""

    code: ClassVar[str] = "AddressTaken"
    remedy: ClassVar[str] = (
        "stop the process that listens there (`ss -ltnp` names it), or give this one another port;"
        " in an upgrade pass the socket on with LB_ACCEPT_FD"
    )


class AddressNotLocalError(ListenError):
    """The address does not belong to this machine."""

    code: ClassVar[str] = "AddressForeign"
    remedy: ClassVar[str] = (
        "listen on an address that `ip address` shows on this machine, or on 0.0.0.0"
    )


class AddressPermissionError(ListenError):
    """The node's user may not listen at the port."""

    code: ClassVar[str] = "AddressForbidden"
    remedy: ClassVar[str] = (
        "use a port of 1024 or above, or give the process CAP_NET_BIND_SERVICE"
    )


class InheritedSocketError(ListenError):
    """The descriptor that LB_ACCEPT_FD names is not open, or is not a stream socket."""

    code: ClassVar[str] = "SocketUnusable"
    remedy: ClassVar[str] = (
        "let the platform pass on a bound TCP socket and set LB_ACCEPT_FD to its descriptor number"
    )


# The type of error by the system's error number; ListenError for all others.
ERROR_TYPE_BY_ERRNO: dict[int | None, type[ListenError]] = {
    errno.EADDRINUSE: AddressInUseError,
    errno.EADDRNOTAVAIL: AddressNotLocalError,
    errno.EACCES: AddressPermissionError,
    errno.EPERM: AddressPermissionError,
}


@contextmanager
def listening(name: str, address: tuple[str, int] | int | str) -> Iterator[None]:
    """Converts an OSError in the context to a ListenError.

    Args:
        name: The listener's name, for the message.
        address: Host and port, descriptor number or path at which it listens.

    Raises:
        ListenError: The context raised an OSError, or the host's name is invalid.
    """
    try:
        yield
    except OSError as error:
        reason = error.strerror or str(error)
        if isinstance(address, int):
            raise InheritedSocketError(reason, f"{name} descriptor {address}") from None
        # A name that cannot be resolved (gaierror) has its own error numbers, which are all negative.
        error_type = (
            AddressNotLocalError
            if error.errno is not None and error.errno < 0
            else ERROR_TYPE_BY_ERRNO.get(error.errno, ListenError)
        )
        location = address if isinstance(address, str) else f"{address[0]}:{address[1]}"
        raise error_type(reason, f"{name} {location}") from None
    except UnicodeError as error:  # the name cannot be encoded for a look-up
        raise AddressNotLocalError(str(error), f"{name} {address}") from None
