"""Reads the answers of discovery: detects which of them are news, and reads long ones in parts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

from loadbalancer.node.discovery.endpoint_list_codec import (
    ListError,
    Listing,
    LongListing,
    decode,
)
from loadbalancer.node.discovery.newer_entries import NewerEntries
from loadbalancer.node.log import Log
from loadbalancer.policy.api import ListUpdateKind

LONG_ANSWER_BYTES = 64 << 10  # a larger answer is read in parts
PART_SERVERS = 50  # a part of this size takes one or two milliseconds to read

# Called with an update and whether more parts of the same list follow; None: a call had no usable answer.
OnList = Callable[[Listing | None, bool], None]


class LongAnswer:
    """A long answer from its arrival until it has been delivered.

    Args:
        body: The answer's body.
        answers_applied: Number of answers that had been applied when the request was made.
        on_applied: Called with whether the answer could be used.
    """

    def __init__(
        self, body: bytearray, answers_applied: int, on_applied: Callable[[bool], None]
    ) -> None:
        self.body = body
        self.answers_applied = answers_applied
        self._callbacks = [on_applied]
        self._usable: bool | None = None

    def add_callback(self, on_applied: Callable[[bool], None]) -> None:
        """Adds a callback for another call with the same answer."""
        if self._usable is None:
            self._callbacks.append(on_applied)
        else:
            on_applied(self._usable)

    def set_result(self, usable: bool) -> None:
        """Calls the callbacks with whether the answer could be used."""
        self._usable = usable
        for on_applied in self._callbacks:
            on_applied(usable)


class EndpointListReader:
    """Reads answers and delivers those that are news.

    Args:
        loop: The event loop, on which long lists are read.
        version: Version of the list in use; None if this address has sent none.
        on_list: Called with each update.
        log: Receives the reasons why answers cannot be used.

    Attributes:
        answered: At least one answer has been applied, from any address.
        answers_applied: Number of answers that have been applied.
        version_adopted_by: The value of `answers_applied` once the version in use was adopted. If the answer
            to a later request has a lower version, the agent has restarted.
        failures: Number of consecutive calls without a usable answer.
        partial_list: Some, but not all, parts of a full list have been delivered.
        tasks: The tasks that read long lists.
        long_answers: The long answers that are being read, or wait for that.
        lock: Held while a long list is read.
        newer_entries: The entries of answers that were adopted during the delivery of a long list.
        dropped_answers: Number of consecutive answers that could not be used.
        drop_reason: Why the last of them could not be used.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        version: int | None,
        on_list: OnList,
        log: Log,
    ) -> None:
        self.loop = loop
        self.version = version
        self.on_list = on_list
        self.log = log
        self.answered = False
        self.answers_applied = 0
        self.version_adopted_by = 0
        self.failures = 0
        self.partial_list = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.long_answers: list[LongAnswer] = []
        self.lock = asyncio.Lock()
        self.newer_entries = NewerEntries()
        self.dropped_answers = 0
        self.drop_reason = ""

    def reset(self) -> None:
        """Discards the version in use, because a new address numbers versions differently."""
        self.cancel()
        self.version = None
        self.failures = 0

    def cancel(self) -> None:
        """Cancels the reading of long lists."""
        self.long_answers.clear()
        for task in self.tasks:
            task.cancel()

    def report_failure(self) -> None:
        """Reports that a call had no usable answer."""
        self.failures += 1
        self.on_list(None, False)

    def read(
        self,
        body: bytearray,
        on_applied: Callable[[bool], None],
        answers_applied: int | None = None,
    ) -> None:
        """Reads an answer and delivers its update, a long one in parts.

        Args:
            body: The answer's body.
            on_applied: Called with whether the answer could be used.
            answers_applied: Number of answers that had been applied when the request was made; None: all that
                have been applied so far.
        """
        if answers_applied is None:
            answers_applied = self.answers_applied
        if len(body) <= LONG_ANSWER_BYTES:
            before, failures = self.version, self.failures
            update = self.decode_short(body)
            if update is None:
                on_applied(False)
                return
            # A full list waits for one that is being read. Otherwise the remaining parts of that one would be
            # taken for a list of their own.
            if update.kind == ListUpdateKind.CHANGES or not self.lock.locked():
                news = self.advance_version(update, answers_applied)
                # An empty answer is not delivered, except for the first one after a failure.
                if news and (update.lines or failures or self.version != before):
                    self.deliver(update)
                on_applied(news is not None)
                return
        for other in self.long_answers:
            if other.body == body:
                other.add_callback(on_applied)
                return
        answer = LongAnswer(body, answers_applied, on_applied)
        self.long_answers.append(answer)
        task = self.loop.create_task(self.read_long(answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def deliver(self, update: Listing) -> None:
        """Delivers an update that is complete in itself.

        A full list is delivered twice if a move to another address interrupted the delivery of the previous
        one. The first delivery ends that list, with the servers that it had named; the second removes those
        that this list does not name.
        """
        is_full = update.kind != ListUpdateKind.CHANGES
        self.newer_entries.record(update.lines)
        if is_full and self.partial_list:
            self.on_list(update, False)
        self.partial_list = self.partial_list and not is_full
        self.on_list(update, False)

    def decode_short(self, body: bytearray) -> Listing | None:
        """Decodes an answer; None if it is not a valid list."""
        try:
            return decode(body)
        except ListError as error:
            self.drop_answer(error.line())
            return None

    def advance_version(
        self, update: Listing | LongListing, answers_applied: int
    ) -> bool | None:
        """Adopts an update's version.

        Returns:
            Whether the update is news; None if it cannot be used.
        """
        is_changes = update.kind == ListUpdateKind.CHANGES
        if self.version is None and is_changes:
            self.drop_answer("changes received without a full list to apply them to")
            return None
        if self.version is not None and update.version < self.version:
            if answers_applied < self.version_adopted_by:
                return False  # it may be older than the list in use, and would restore drained servers
            if is_changes:
                # A restarted agent counts versions from the beginning. It would be asked forever for changes
                # since a version that it does not reach.
                self.version = None
                return False
        self.answers_applied += 1
        if update.version != self.version or not self.version_adopted_by:
            self.version_adopted_by = self.answers_applied
        self.version = update.version
        self.answered = True
        self.failures = 0
        if self.dropped_answers > 1:
            self.log.line(
                f"discovery response readable dropped_before={self.dropped_answers}"
            )
        self.dropped_answers, self.drop_reason = 0, ""
        return True

    def drop_answer(self, reason: str) -> None:
        """Counts an answer that cannot be used, and logs the reason once instead of at each retry."""
        self.dropped_answers += 1
        if reason != self.drop_reason:
            self.drop_reason = reason
            self.log.line(f"discovery response dropped reason={reason}")

    async def read_long(self, answer: LongAnswer) -> None:
        """Validates a long list, then delivers it in parts.

        After each part, requests get as much time as the part took. Long lists are read one at a time, in the
        order of their arrival; only one of equal lists is read, as several calls bring them. A list that is
        invalid, or outdated once it has been read, changes nothing. Changes that arrive later are delivered
        between its parts, and the remaining parts do not undo them (`NewerEntries`). A move to another
        address cancels it.
        """
        try:
            async with self.lock:
                long_list = await self.check_long(answer.body)
                if long_list is None:
                    answer.set_result(False)
                    return
                news = self.advance_version(long_list, answer.answers_applied)
                answer.set_result(news is not None)  # the watch continues meanwhile
                if news:
                    await self.deliver_long(long_list)
        finally:
            if answer in self.long_answers:
                self.long_answers.remove(answer)

    async def check_long(self, body: bytearray) -> LongListing | None:
        """Validates a long list with pauses; None if it is invalid."""
        try:
            long_list = LongListing(bytes(body))
            started_at = monotonic()
            for _ in long_list.check(PART_SERVERS):
                await asyncio.sleep(monotonic() - started_at)
                started_at = monotonic()
        except ListError as error:
            self.drop_answer(error.line())
            return None
        return long_list

    async def deliver_long(self, long_list: LongListing) -> None:
        """Delivers an adopted long list, a full one twice where `deliver` would do so too."""
        is_full = long_list.kind != ListUpdateKind.CHANGES
        deliveries = 2 if is_full and self.partial_list else 1
        self.newer_entries.start()
        try:
            for _ in range(deliveries):
                await self.deliver_parts(long_list, is_full)
        finally:
            self.newer_entries.stop()

    async def deliver_parts(self, long_list: LongListing, is_full: bool) -> None:
        """Delivers all parts of a long list once."""
        delivered = 0
        for part in long_list.parts(PART_SERVERS):
            started_at = monotonic()
            delivered += len(part.lines)
            more = delivered < long_list.count
            self.partial_list = is_full and more
            self.on_list(self.newer_entries.bring_up_to_date(part, not more), more)
            await asyncio.sleep(monotonic() - started_at)
