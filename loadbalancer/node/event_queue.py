"""A queue that passes events to the policy one at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

PolicyEvent = Callable[..., None]


class EventQueue:
    """Passes events to the policy in order; an event that is posted while another is handled waits.

    Args:
        now: Returns the node's time in microseconds.
        on_failure: Called with the event, its arguments and the exception that it raised. The failure of one
            event must not end the node or other requests.

    Attributes:
        waiting: Events that are not handled yet, with their arguments.
        handling: Whether an event is being handled.
    """

    def __init__(
        self,
        now: Callable[[], int],
        on_failure: Callable[[PolicyEvent, tuple[Any, ...], Exception], None],
    ) -> None:
        self.now = now
        self.on_failure = on_failure
        self.waiting: deque[tuple[PolicyEvent, tuple[Any, ...]]] = deque()
        self.handling = False

    def post(self, event: PolicyEvent, *args: Any) -> None:
        """Passes an event to the policy, after the event that is being handled and those that wait.

        Args:
            event: A method of the policy; its first argument is the time.
            args: Its further arguments.
        """
        self.waiting.append((event, args))
        if self.handling:
            return
        self.handling = True
        try:
            while self.waiting:
                event, args = self.waiting.popleft()
                try:
                    event(self.now(), *args)
                except Exception as error:
                    self.on_failure(event, args, error)
        finally:
            self.handling = False
