"""Fencing tokens: the highest token that a node has accepted or seen revoked, by scope."""

from __future__ import annotations

from loadbalancer.freeze.messages import INITIAL_VERSION, Scope, StateVersion

MAX_FENCED_SCOPES = 1_024  # scopes whose highest token is kept


class FencingTokens:
    """The highest token of each scope; a grant is accepted only with a higher one."""

    def __init__(self) -> None:
        self._highest: dict[Scope, StateVersion] = {}

    def highest(self, scope: Scope) -> StateVersion:
        """Returns the highest token of a scope; `INITIAL_VERSION` if none is known."""
        return self._highest.get(scope, INITIAL_VERSION)

    def raise_to(self, scope: Scope, token: StateVersion) -> None:
        """Records that a token was accepted or revoked.

        Beyond `MAX_FENCED_SCOPES` scopes, the one whose token was recorded least recently is dropped.
        """
        self._highest[scope] = max(token, self._highest.pop(scope, INITIAL_VERSION))
        if len(self._highest) > MAX_FENCED_SCOPES:
            del self._highest[next(iter(self._highest))]
