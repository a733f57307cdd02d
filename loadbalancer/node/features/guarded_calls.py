"""Calls into features: an exception is reported to the feature host and does not reach the node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ParamSpec, TypeVar

from loadbalancer.errors import LoadBalancerError
from loadbalancer.node.features.feature import Feature

P = ParamSpec("P")
R = TypeVar("R")


class GuardedCalls:
    """Calls features for the host.

    Failure prevented: a bug in a feature, which only observes the fleet, takes the node out of service.

    Args:
        on_error: Called with the feature that raised and with the error as one line of text.
    """

    def __init__(self, on_error: Callable[[Feature, str], None]) -> None:
        self._on_error = on_error

    def run(self, feature: Feature, callback: Callable[..., None], *args: Any) -> None:
        """Calls a feature's callback with these arguments; an exception goes to `on_error`."""
        try:
            callback(*args)
        except Exception as error:
            self._on_error(feature, error_line(error))

    def wrap(
        self, feature: Feature, callback: Callable[P, R], fallback: R
    ) -> Callable[P, R]:
        """Wraps a feature's callback for the request path.

        Args:
            feature: The feature that the callback belongs to.
            callback: The function to wrap.
            fallback: The result of a call in which the callback raises.
        """

        def guarded(*args: P.args, **kwargs: P.kwargs) -> R:
            try:
                return callback(*args, **kwargs)
            except Exception as error:
                self._on_error(feature, error_line(error))
                return fallback

        return guarded


def error_line(error: Exception) -> str:
    """Formats an exception as one line of text; a `LoadBalancerError` includes its remedy."""
    if isinstance(error, LoadBalancerError):
        return error.line()
    return f"{type(error).__name__}: {error}"
