"""The discovery client: a watch that is renewed with each answer, polls, and fetches of the full list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf
from random import random

from loadbalancer.node.discovery.answer_delay import (
    MAX_PACED_DELAY_S,
    AnswerDelay,
    AnsweredCall,
)
from loadbalancer.node.discovery.call import DiscoveryCall
from loadbalancer.node.discovery.call_retention import (
    MAX_CALLS,
    CallRetention,
    is_next_retained,
)
from loadbalancer.node.discovery.delay_report import DelayReport, DiscoveryMetrics
from loadbalancer.node.discovery.endpoint_list_reader import (
    LONG_ANSWER_BYTES,
    EndpointListReader,
    OnList,
)
from loadbalancer.node.discovery.propagation import RETRY_INTERVAL_S, WATCH_WAIT_MS
from loadbalancer.node.discovery.startup_wait import startup_wait_s
from loadbalancer.node.log import Log

ENDPOINTS_PATH = "/v1/endpoints"
POLL_INTERVAL_S = 0.3  # average interval of polls while the list seems outdated


class DiscoveryClient:
    """Keeps the endpoint list current.

    The watch is a call that is renewed with each answer. Once it is late, a new call is made on a connection
    of its own, then the next, without backoff, since the agent is on this machine. The older calls stay open,
    because the agent may be slow (`CallRetention`). A usable answer ends the calls that are older than its
    own; the newest call is renewed. While the agent is known to be slow, it gets no more calls than a quick
    one. `propagation_bound_s` and `slow_propagation_bound_s` derive how long a change takes.

    Args:
        loop: The event loop.
        address: Host and port of the discovery agent.
        version: Version of the list in use; None: nothing has been received from this address, and the watch
            starts with the full list.
        on_list: Called with each update, and with None for a call without a usable answer. The watch is
            renewed after a short update has been delivered, but before the parts of a long list are.
        log: Receives the reasons why answers cannot be used.

    Attributes:
        calls: All open calls, the newest last.
        watch_call: The newest call of the watch.
        fetch_call: The open call for the full list.
        poll_call: The open poll.
        last_connect_at: Loop time at which `open_watch` was last called, in seconds.
        delay: How late the agent answers.
        report: The same, as operators see it.
        retention: Selects the call that ends when a new one needs its slot.
        next_poll_at: Loop time before which no poll is made, in seconds.
        first_request_at: Loop time of the first request to any address, in seconds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        version: int | None,
        on_list: OnList,
        log: Log,
    ) -> None:
        self.loop = loop
        self.address = address
        self.reader = EndpointListReader(loop, version, on_list, log)
        self.watch_enabled = False
        self.stopped = False
        self.calls: list[DiscoveryCall] = []
        self.watch_call: DiscoveryCall | None = None
        self.fetch_call: DiscoveryCall | None = None
        self.poll_call: DiscoveryCall | None = None
        self.delay = AnswerDelay(loop.time())
        self.report = DelayReport(self.delay, log)
        self.retention = CallRetention()
        self.last_connect_at = -inf
        self.retry_timer: asyncio.TimerHandle | None = None
        self.next_poll_at = 0.0
        self.first_request_at: float | None = None

    def watch(self, enabled: bool) -> None:
        """Starts or stops the watch; no effect if it is in that state already."""
        if self.stopped or enabled == self.watch_enabled:
            return
        self.watch_enabled = enabled
        if not enabled:
            self.end_all_calls()
            return
        if self.first_request_at is None:
            self.first_request_at = self.loop.time()
        self.open_watch()

    def move_to(self, address: tuple[str, int]) -> None:
        """Switches to the agent at another address; later answers of the old one are ignored.

        The new agent may number versions differently, so the watch starts with the full list.
        """
        self.end_all_calls()
        self.reader.reset()
        self.delay.restart(self.loop.time())
        self.address = address
        if not self.stopped:
            self.watch_enabled = True
            self.open_watch()

    def is_settled(self) -> bool:
        """Returns whether the list is the agent's, or the time to wait for it at the start has passed.

        Until then the list may date from the end of the previous process and name servers that have drained.
        """
        if self.reader.answered and not self.reader.tasks:
            return True
        if self.first_request_at is None:
            return False
        waited_s = self.loop.time() - self.first_request_at
        receiving = self.reader.tasks or any(call.body for call in self.calls)
        connected = any(call.transport is not None for call in self.calls)
        return waited_s >= startup_wait_s(connected, bool(receiving))

    # ---- the watch ------------------------------------------------------------------------------------

    def open_call(
        self, on_answer: Callable[[DiscoveryCall, bytearray | None], None]
    ) -> DiscoveryCall:
        """Returns a new open call, which has not sent a request yet."""
        call = DiscoveryCall(self.loop, self.address, on_answer, self.on_late)
        self.calls.append(call)
        return call

    def end_call(self, call: DiscoveryCall) -> None:
        """Ends a call; its answer is ignored from now on."""
        call.end()
        if call in self.calls:
            self.calls.remove(call)

    def watch_calls(self) -> list[DiscoveryCall]:
        """Returns the open calls of the watch, which are all but a fetch and a poll."""
        others = (self.fetch_call, self.poll_call)
        return [call for call in self.calls if call not in others]

    def free_slot(self) -> bool:
        """Ends a call of the watch if there are MAX_CALLS; returns whether there is a slot for another."""
        calls, now = self.watch_calls(), self.loop.time()
        if len(calls) < MAX_CALLS:
            return True
        slow, silent_s = self.delay.is_slow(now), self.delay.silent_s(now)
        index = self.retention.index_to_end(calls, now, slow, silent_s)
        if index is None:
            return False
        self.report.abandoned += 1
        self.end_call(calls[index])
        return True

    def request_changes(self, call: DiscoveryCall, wait_ms: int) -> None:
        """Requests what is newer than the list in use, or the full list if this address has sent none."""
        version = self.reader.version
        call.since_version = version
        self.report.calls += 1
        call.answers_applied = self.reader.answers_applied
        if version is None:
            call.request(ENDPOINTS_PATH, 0.0)
        else:
            path = f"{ENDPOINTS_PATH}?since={version}&timeout_ms={wait_ms}"
            call.request(path, wait_ms / 1000)

    def open_watch(self, wait_ms: int = 0) -> None:
        """Makes a call on a new connection, besides late ones; the agent may wait `wait_ms` milliseconds.

        No call is made if all slots are taken by calls that receive answers; the newest one checks again.
        """
        now = self.last_connect_at = self.loop.time()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        if not self.free_slot():
            return
        retained = self.delay.is_slow(now) or is_next_retained(self.watch_calls(), now)
        self.watch_call = self.open_call(self.on_watch_answer)
        self.watch_call.retained = retained
        self.request_changes(self.watch_call, wait_ms)

    def reopen_watch(self) -> None:
        """Opens the next call after the newest call of the watch has failed.

        This happens immediately, unless that call was made less than RETRY_INTERVAL_S ago: an agent that
        closes idle connections is called again without delay, and one that refuses connections with pauses.
        """
        if self.watch_enabled and self.retry_timer is None:
            retry_at = self.last_connect_at + RETRY_INTERVAL_S
            delay_s = max(0.0, retry_at - self.loop.time())
            self.retry_timer = self.loop.call_later(delay_s, self.open_watch)

    def on_late(self, call: DiscoveryCall) -> None:
        """Makes a new call of the watch after its newest one has become late; late answers are accepted."""
        now = self.loop.time()
        self.report.record_late_call(now)
        if call is self.watch_call:
            slow = self.delay.is_slow(now)
            if not slow:
                self.reader.report_failure()
            self.open_watch(WATCH_WAIT_MS if slow else 0)
        elif call is self.poll_call:
            self.retain_late_poll(call)

    def retain_late_poll(self, call: DiscoveryCall) -> None:
        """Makes a late poll a call of the watch, or ends it if there is no slot: others were made since."""
        others = self.watch_calls()
        self.poll_call = None
        self.next_poll_at = 0.0
        if not self.watch_enabled or len(others) >= MAX_CALLS:
            self.report.abandoned += 1
            self.end_call(call)
            return
        call.retained = is_next_retained(others, call.started_at)
        call.on_answer = self.on_watch_answer

    def on_watch_answer(self, call: DiscoveryCall, body: bytearray | None) -> None:
        """Reads the answer to a call of the watch; None: the call has failed."""
        if body is None:
            self.on_watch_applied(call, False)
            return
        if len(body) > LONG_ANSWER_BYTES:
            # Otherwise a slow agent sends a long list for each of the calls, and each of them is read.
            self.end_superseded(call)
        self.reader.read(
            body,
            lambda usable: self.on_watch_applied(call, usable),
            call.answers_applied,
        )

    def on_watch_applied(self, call: DiscoveryCall, usable: bool) -> None:
        """Continues the watch after a usable answer, or replaces a call whose answer cannot be used."""
        if call not in self.calls:
            return  # a newer call has been answered, or the address has changed
        if usable:
            self.record_answer(call)
            self.continue_watch(call)
            return
        self.end_call(call)
        if call is self.watch_call:
            self.watch_call = None
            self.reopen_watch()
            self.reader.report_failure()

    def record_answer(self, call: DiscoveryCall) -> None:
        """Records how late a usable answer was."""
        self.retention.reset()
        has_changes = self.reader.version != call.since_version
        self.report.record(
            AnsweredCall(call.started_at, call.wait_s, call.answered_at, has_changes)
        )

    def end_superseded(self, call: DiscoveryCall) -> None:
        """Ends the calls that are older than a call with a usable answer, except a fetch.

        Newer ones stay open: they bring what has changed since a slow agent prepared this answer. If none is
        newer, the call becomes the watch.
        """
        is_watch = call is self.watch_call
        for other in list(self.calls):
            if other is self.fetch_call or other is call:
                continue
            if is_watch or other.started_at <= call.started_at:
                self.end_call(other)
        if self.watch_call not in self.calls:
            self.watch_call = call
        if self.poll_call not in self.calls or self.poll_call is self.watch_call:
            # A poll that becomes the watch must not be ended as a poll at its next answer.
            self.poll_call = None
        call.on_answer = self.on_watch_answer

    def continue_watch(self, call: DiscoveryCall) -> None:
        """Makes the next request of the watch on this call's connection, if the call is the newest one."""
        self.end_superseded(call)
        if call is not self.watch_call:
            self.end_call(call)
            return
        call.retained = True
        # An agent that answers without waiting must not be called as fast as it answers.
        answered_early = (
            call.wait_s > 0
            and self.reader.version == call.since_version
            and self.loop.time() < call.started_at + RETRY_INTERVAL_S
        )
        if call.closed_by_answer:
            self.end_call(call)
            self.watch_call = None
            if answered_early:
                self.reopen_watch()
            else:
                self.open_watch(WATCH_WAIT_MS)
        elif answered_early:
            call.timer = self.loop.call_later(
                RETRY_INTERVAL_S, self.request_changes, call, WATCH_WAIT_MS
            )
        else:
            self.request_changes(call, WATCH_WAIT_MS)

    # ---- other calls ----------------------------------------------------------------------------------

    def poll_if_due(self) -> None:
        """Asks the agent whether the list has changed, at most once per POLL_INTERVAL_S on average.

        Called when a listed server has rejected a call or could not be reached, and by features that find the
        list outdated. If the list has changed, the watch should have reported it: it is broken, and starts
        again with this call.
        """
        now = self.loop.time()
        if (
            self.stopped
            or self.reader.version is None
            or self.poll_call is not None
            or now < self.next_poll_at
            or self.delay.is_slow(now)  # the watch makes calls often enough
        ):
            return
        self.next_poll_at = now + POLL_INTERVAL_S * (0.5 + random())
        self.poll_call = self.open_call(self.on_poll_answer)
        self.request_changes(self.poll_call, 0)

    def on_poll_answer(self, call: DiscoveryCall, body: bytearray | None) -> None:
        """Reads the answer to a poll; None: the poll has failed."""
        self.poll_call = None
        if body is None:
            self.end_call(call)
            self.next_poll_at = 0.0  # the poll's connection is broken as well; the next poll need not wait
            return
        self.reader.read(
            body,
            lambda usable: self.on_poll_applied(call, usable),
            call.answers_applied,
        )

    def on_poll_applied(self, call: DiscoveryCall, usable: bool) -> None:
        """Makes a poll with news the watch, and ends any other one."""
        if call not in self.calls:
            return
        if usable:
            self.record_answer(call)
        has_changes = usable and self.reader.version != call.since_version
        if has_changes and self.watch_enabled:
            self.continue_watch(call)
        else:
            self.end_call(call)

    def fetch(self) -> None:
        """Requests the full list, unless such a call is open already."""
        if self.fetch_call is None and not self.stopped:
            self.fetch_call = self.open_call(self.on_fetch_answer)
            self.fetch_call.timeout_s = MAX_PACED_DELAY_S
            self.fetch_call.answers_applied = self.reader.answers_applied
            self.report.calls += 1
            self.fetch_call.request(ENDPOINTS_PATH, 0.0)

    def on_fetch_answer(self, call: DiscoveryCall, body: bytearray | None) -> None:
        """Reads the full list; None: the call has failed."""
        self.fetch_call = None
        self.end_call(call)
        if body is None:
            self.report.abandoned += call.late
            self.reader.report_failure()
            return

        def applied(usable: bool) -> None:
            if not usable:
                self.reader.report_failure()

        self.reader.read(body, applied, call.answers_applied)

    def metrics(self) -> DiscoveryMetrics:
        """Returns how the agent answers, for operators."""
        return self.report.metrics(self.loop.time(), len(self.calls))

    def end_all_calls(self) -> None:
        """Ends all calls and cancels the timer of the next one."""
        for call in self.calls:
            call.end()
        self.calls.clear()
        self.watch_call = self.fetch_call = self.poll_call = None
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def stop(self) -> None:
        """Ends all calls permanently; no further request is made."""
        self.stopped, self.watch_enabled = True, False
        self.end_all_calls()
        self.reader.cancel()
