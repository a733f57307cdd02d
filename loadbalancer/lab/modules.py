"""Decision modules other than the product's own: yardsticks, and saboteurs that the rule counts must catch.

Each hosts like `Balancer`: settings, a seed and the host's actions. The yardsticks keep the rules and decide
as little as can be; the saboteurs break one rule each.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from importlib import import_module
from random import Random
from typing import Any, ClassVar

from loadbalancer.errors import LoadBalancerError
from loadbalancer.policy.api import (
    NEVER_RAN,
    Actions,
    EndpointEntry,
    EndpointState,
    Idempotency,
    ListUpdateKind,
    Outcome,
    Settings,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.endpoint import Endpoint
from loadbalancer.policy.request import Request
from loadbalancer.policy.request_dispatch import (
    TIMER_QUEUE,
    TOKEN_BITS,
    RequestDispatcher,
)


@dataclass(slots=True)
class OpenRequest:
    """What `RandomChoice` knows of an open request; the deadline is in microseconds."""

    class_index: int
    deadline: int
    attempts: int = 1
    may_have_run: bool = False


class RandomChoice:
    """Each attempt goes to any ready endpoint.

    There is no limit, and a retry only after proof that the request never ran.
    """

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        """Starts without an endpoint."""
        self.settings = settings
        self.actions = actions
        self.rng = Random(seed)
        self.ready: list[int] = []
        self.states: dict[int, EndpointState] = {}
        self.open: dict[int, OpenRequest] = {}

    def start(self, now: int) -> None:
        """Nothing to begin with."""

    def update_endpoints(
        self,
        now: int,
        kind: ListUpdateKind,
        entries: Sequence[EndpointEntry],
        more: bool = False,
    ) -> None:
        """See `api.Events`."""
        if kind == ListUpdateKind.FAILED:
            return
        if kind != ListUpdateKind.CHANGES:
            self.states = {}
        for entry in entries:
            self.states[entry.endpoint] = entry.state
        self.ready = sorted(
            endpoint
            for endpoint, state in self.states.items()
            if state == EndpointState.READY
        )

    def choose(self) -> int:
        """The endpoint of the next attempt."""
        return self.ready[self.rng.randrange(len(self.ready))]

    def request(
        self,
        now: int,
        request: int,
        class_index: int,
        tenant: int,
        time_left: int,
        repeat: bool,
        complete: bool = True,
    ) -> None:
        """See `api.Events`."""
        if not self.ready:
            self.actions.reject(request, 0)
            return
        self.open[request] = OpenRequest(class_index, now + time_left)
        self.actions.send(request, self.choose(), time_left)

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """See `api.Events`."""
        opened = self.open.pop(request, None)
        if opened is None or final:
            return
        opened.may_have_run |= outcome not in NEVER_RAN
        request_class = self.settings.classes[opened.class_index]
        idempotent = request_class.idempotency == Idempotency.IDEMPOTENT
        may_repeat = idempotent or not opened.may_have_run
        in_time = now < opened.deadline and self.ready
        if may_repeat and opened.attempts < self.settings.max_attempts and in_time:
            opened.attempts += 1
            self.open[request] = opened
            self.actions.send(request, self.choose(), opened.deadline - now)
        elif may_repeat:
            self.actions.reject(request, 0)
        else:
            self.actions.fail(request)

    def client_disconnected(self, now: int, request: int) -> None:
        """See `api.Events`."""
        self.open.pop(request, None)

    def timer(self, now: int, token: int) -> None:
        """Sets none."""


class LeastBusy(RandomChoice):
    """The endpoint with the fewest of this instance's calls in flight takes each attempt."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        """Starts without a call."""
        super().__init__(settings, seed, actions)
        self.in_flight: dict[int, int] = {}

    def choose(self) -> int:
        """One of the endpoints with the fewest calls, at random."""
        least = min(self.in_flight.get(endpoint, 0) for endpoint in self.ready)
        among = [
            endpoint
            for endpoint in self.ready
            if self.in_flight.get(endpoint, 0) == least
        ]
        chosen = among[self.rng.randrange(len(among))]
        self.in_flight[chosen] = least + 1
        return chosen

    def outcome(
        self, now: int, request: int, attempt: int, server: int, *rest: Any
    ) -> None:
        """See `api.Events`."""
        self.in_flight[server] = max(0, self.in_flight.get(server, 0) - 1)
        super().outcome(now, request, attempt, server, *rest)


class NewestFirstDispatcher(RequestDispatcher):
    """Lets what meets the limit wait for up to TARGET_US, and serves the newest first."""

    TARGET_US = 100_000

    def __init__(self, *rules: Any) -> None:
        """Starts with an empty queue; `rules` are those of `RequestDispatcher`."""
        super().__init__(*rules)
        self.waited: set[int] = set()
        self.now = 0

    def finish(self, request: Request, retriable: bool) -> None:
        """Lets a new request wait once, in place of its rejection."""
        fresh = (
            retriable
            and not request.attempts
            and request.id not in self.waited
            and self.context.settings.tier == 0
        )
        if not fresh or len(self.queue.waiting) >= 2 * self.queue.limit.limit:
            self.waited.discard(request.id)
            super().finish(request, retriable)
            return
        self.waited.add(request.id)
        wait = min(self.TARGET_US, self.queue.add(self.now, request))
        self.context.actions.set_timer(wait, TIMER_QUEUE << TOKEN_BITS | request.id)

    def serve_queue(self, now: int) -> None:
        """Serves the newest first."""
        while self.queue.waiting and self.queue.limit.admits(now, 0):
            self.attempt(now, self.queue.waiting.popitem()[1])


class DelayLifo(Balancer):
    """For comparison in retry storms: what meets the limit waits, and the newest is served first.

    Controlled delay in its adaptive form: while a queue stands, nobody waits for longer than the target,
    and who came last, whose client is most likely still there, goes first.
    """

    def create_dispatcher(self) -> NewestFirstDispatcher:
        """Lets requests wait, and serves the newest first."""
        self.newest_first = NewestFirstDispatcher(
            self.context, self.selector, self.calls, self.retries, self.queue
        )
        return self.newest_first

    def request(self, now: int, *rest: Any) -> None:
        """See `api.Events`."""
        self.newest_first.now = now
        super().request(now, *rest)


class SendsTwice(Balancer):
    """Saboteur: a request that is not idempotent, and has timed out or broken off, is sent once more."""

    def request(
        self,
        now: int,
        request: int,
        class_index: int,
        tenant: int,
        time_left: int,
        *rest: Any,
    ) -> None:
        """See `api.Events`."""
        request_class = self.context.settings.classes[class_index]
        super().request(now, request, class_index, tenant, time_left, *rest)
        if request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
            opened = self.requests.get(request)
            if opened is not None and opened.pending_endpoint is not None:
                opened.attempts += 1
                endpoint = opened.pending_endpoint.id
                self.context.actions.send(request, endpoint, time_left)


class IgnoresDrains(Balancer):
    """Saboteur: an endpoint once listed as ready stays so, whatever the list says later."""

    def update_endpoints(
        self,
        now: int,
        kind: ListUpdateKind,
        entries: Sequence[EndpointEntry],
        more: bool = False,
    ) -> None:
        """See `api.Events`."""
        ready = [entry for entry in entries if entry.state == EndpointState.READY]
        if kind == ListUpdateKind.FULL:
            kind = ListUpdateKind.CHANGES
        super().update_endpoints(now, kind, ready, more)


class DropsRequests(Balancer):
    """Saboteur: one in PERIOD requests is taken and never answered."""

    PERIOD = 200
    taken = 0

    def request(self, now: int, request: int, *rest: Any) -> None:
        """See `api.Events`."""
        self.taken += 1
        if self.taken % self.PERIOD:
            super().request(now, request, *rest)


class FloodsCold(Balancer):
    """Saboteur: an endpoint that has just started is taken for a warm one and gets every call."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        """Puts the latest endpoint to start before the selection."""
        super().__init__(settings, seed, actions)
        self.fresh: int | None = None
        self.select = self.selector.select
        self.selector.select = self.select_fresh  # type: ignore[method-assign]

    def select_fresh(self, now: int, request: Request) -> Endpoint | None:
        """The latest endpoint to start, while it is listed."""
        endpoint = None if self.fresh is None else self.table.endpoints.get(self.fresh)
        if endpoint is not None and endpoint.listed and request.executed_by is None:
            return endpoint
        return self.select(now, request)

    def update_endpoints(
        self,
        now: int,
        kind: ListUpdateKind,
        entries: Sequence[EndpointEntry],
        more: bool = False,
    ) -> None:
        """See `api.Events`."""
        super().update_endpoints(now, kind, entries, more)
        for entry in entries:
            if entry.state == EndpointState.READY and entry.started_at:
                self.fresh = entry.endpoint

    def request(self, now: int, *rest: Any, **more: Any) -> None:
        """See `api.Events`."""
        self.limit.limit = 1e6  # a window may have lowered it since the last draw
        super().request(now, *rest, **more)


class Crashes(Balancer):
    """Saboteur: an exception at one in PERIOD outcomes."""

    PERIOD = 500
    ended = 0

    def outcome(self, *args: Any) -> None:
        """See `api.Events`."""
        self.ended += 1
        if self.ended % self.PERIOD == 0:
            raise RuntimeError("sabotage")
        super().outcome(*args)


class UnknownModuleError(LoadBalancerError, ValueError):
    """A decision module that cannot be found or imported."""

    code: ClassVar[str] = "ModuleUnknown"
    remedy: ClassVar[str] = (
        "give --module a short name that is known, or package.module:Class on PYTHONPATH"
    )


NAMED: dict[str, Any] = {
    "loadbalancer": Balancer,
    "brackenladder": Balancer,  # the earlier name, which users' scripts and recorded commands have
    "random": RandomChoice,
    "least-busy": LeastBusy,
    "delay-lifo": DelayLifo,
    "sends-twice": SendsTwice,
    "ignores-drains": IgnoresDrains,
    "drops-requests": DropsRequests,
    "floods-cold": FloodsCold,
    "crashes": Crashes,
}


def find(name: str) -> Any:
    """A module by its short name or as `package.module:Class`.

    Raises:
        UnknownModuleError: It cannot be found or imported.
    """
    if name in NAMED:
        return NAMED[name]
    path, colon, attribute = name.partition(":")
    if not colon:
        raise UnknownModuleError(
            f"no module is called {name!r}; known are {', '.join(NAMED)}, or write package.module:Class"
        )
    try:
        return getattr(import_module(path), attribute)
    except (ImportError, AttributeError) as e:
        raise UnknownModuleError(str(e), f"module {name!r}") from None
