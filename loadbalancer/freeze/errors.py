"""Errors that the change freeze reports to operators."""

from __future__ import annotations

from typing import ClassVar

from loadbalancer.errors import LoadBalancerError


class FreezeError(LoadBalancerError):
    """A call to the change freeze is malformed or cannot be accepted."""

    remedy: ClassVar[str] = (
        "correct the call as docs/freeze.md describes it, with its keys and values, and send it again"
    )


class FreezeScopeError(FreezeError):
    """A scope does not have the form that `parse_scope` reads."""

    code: ClassVar[str] = "FreezeScope"
    remedy: ClassVar[str] = (
        "write the scope as * or as zone=a,class=look, with the keys that the message lists"
    )


class FreezeRecordError(FreezeError):
    """The record in an elector's store is malformed, or a newer version of the program wrote it."""

    code: ClassVar[str] = "FreezeRecord"
    remedy: ClassVar[str] = (
        "remove the record freeze-elector from the node's store, or start the newer version again; without"
        " the record the elector takes part once a majority of the others has sent it their state"
    )


class FreezeMessageError(FreezeError):
    """A datagram of the change freeze is malformed; it is counted as `malformed` and dropped."""

    code: ClassVar[str] = "FreezeMalformed"
    remedy: ClassVar[str] = (
        "run the same version of the program on all nodes, and check which other hosts send to their port"
    )
