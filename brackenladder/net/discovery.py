"""Calls to discovery: the watch, renewed at once, and fetches of the whole list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import random
from time import monotonic
from typing import cast

import httptools

from brackenladder.interface import ListKind
from brackenladder.net.listing import ListError, Listing, LongListing, decode
from brackenladder.net.log import Log

WAIT_MS = 1_000  # a watch with no news lasts so long: the agent is on this machine, empty answers are free
SILENCE, SILENCE_MOST = 0.5, 2.0  # a call that brings nothing for so long has failed; doubles each time
FETCH_TIME = 3.0  # an answer that comes bit by bit has so long...
LEAST_RATE = 200_000  # ...and a second more for so many bytes
SETTLE = 1.0  # a process whose agent has not answered for so long goes by the list that it was started with
POLL_GAP = 0.3  # seconds between two polls, on average, of an agent whose list looks old
LARGEST_ANSWER = 20 << 20  # a list of 100,000 servers
LONG_ANSWER = 64 << 10  # beyond this it is read in parts
PART = 50  # servers in a part: a millisecond or two of work

Told = Callable[[Listing | None, bool], None]  # the second tells that more of a list is to come


class Call(asyncio.Protocol):
    """A connection to discovery, one call at a time. `told` gets each answer, and None once at failure."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        told: Callable[[Call, bytearray | None], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.told = told
        self.transport: asyncio.Transport | None = None
        self.over = False
        self.asks = 0
        self.timer: asyncio.TimerHandle | None = None
        self.task: asyncio.Task[None] | None = None

    def ask(self, path: str, wait: float, silence: float) -> None:
        """Makes a call that may wait `wait` seconds, and from then on be silent for `silence` at a time."""
        host = f"{self.address[0]}:{self.address[1]}"
        self.request = f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
        self.asks += 1
        self.wait, self.silence = wait, silence
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.complete = False
        if self.transport is None:
            self.limit(silence)
            self.task = self.loop.create_task(self.connect())
        else:
            self.write()

    async def connect(self) -> None:
        try:
            await self.loop.create_connection(lambda: self, *self.address)
        except OSError:
            self.fail()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # it came up as its time ran out
            self.hang_up()
        else:
            self.write()

    def write(self) -> None:
        assert self.transport is not None
        self.ends = self.loop.time() + self.wait + FETCH_TIME
        self.limit(self.wait + self.silence)
        self.transport.write(self.request)

    def limit(self, time: float) -> None:
        """The step that begins now has so many seconds."""
        self.unlimit()
        self.timer = self.loop.call_later(time, self.fail)

    def unlimit(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail()
            return
        if len(self.body) > LARGEST_ANSWER:
            self.fail()
        elif self.complete and not self.over:
            self.unlimit()  # however long the list takes to read
            if self.parser.get_status_code() != 200:
                self.fail()
                return
            if not self.keep:
                self.hang_up()
            self.told(self, self.body)
        elif not self.over:
            # Failure prevented: a list that takes long to come is given up, or one that stops half-way is
            # waited for, or one that comes by the byte.
            left = self.ends + len(self.body) / LEAST_RATE - self.loop.time()
            self.limit(max(0.0, min(self.silence, left)))

    def on_body(self, body: bytes) -> None:
        if len(self.body) <= LARGEST_ANSWER:
            self.body += body

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep = self.parser.should_keep_alive()  # known here only: the parser then starts afresh

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.transport = None
            self.fail()

    def hang_up(self) -> None:
        """Closes the connection; a further call opens a new one."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()

    def fail(self) -> None:
        if not self.over:
            self.end()
            self.told(self, None)

    def end(self) -> None:
        """No more calls, and nothing more is told."""
        self.over = True
        self.unlimit()
        if self.task is not None:
            self.task.cancel()
        self.hang_up()


class Discovery:
    """The list in hand is of `version`; news goes to `told` before the watch is renewed.

    With no version, nothing has been heard from this address: the watch begins with the whole list.

    Failure prevented: an agent's connection stays open and says nothing more, and requests go to servers
    that have left. What it has counts as told; of what a silent call missed, what came up to 6 s before (4 s
    after a move). The answer is in hand before that: a watch is renewed each second, so silence shows within
    one and a half; whoever asks on a new connection is answered at once, and the next silence shows in half a
    second. Silence is counted from the last byte, so a long list gets through.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        version: int | None,
        told: Told,
        log: Log,
    ) -> None:
        self.loop = loop
        self.address = address
        self.version = version
        self.told = told
        self.log = log
        self.watching: Call | None = None
        self.fetching: Call | None = None
        self.polling: Call | None = None
        self.next_poll = 0.0
        self.failures = 0  # calls in a row that brought nothing of use
        self.began: float | None = None  # when this address was first asked
        self.heard = False  # it has answered since
        self.reading: set[asyncio.Task[None]] = set()  # of long lists
        self.turn = asyncio.Lock()
        self.dropped = 0  # answers in a row that could not be used...
        self.reason = ""  # ...and why the last could not

    def watch(self, on: bool) -> None:
        """Begins or ends the watch. One that is on already stays."""
        if on and self.watching is None:
            if self.began is None:
                self.began = self.loop.time()
            self.watching = Call(self.loop, self.address, self.watched)
            self.renew(self.watching)
        elif not on and self.watching is not None:
            self.watching.end()
            self.watching = None

    def move(self, address: tuple[str, int]) -> None:
        """Asks at another address from now on; whatever the old one may still say is not heard.

        Failure prevented: versions are numbered otherwise there, and a watch that goes on from the old
        number misses changes, or the new list is taken for an old one.
        """
        self.close()
        self.address = address
        self.version = None
        self.failures = 0
        self.watch(True)

    def settled(self) -> bool:
        """Whether the list in hand is what the agent has, or the agent has been silent for SETTLE seconds.

        Failure prevented: a process begins with the list that it held at its last end, and sends its first
        requests to servers that have drained in the meantime.
        """
        return self.heard or self.began is not None and self.loop.time() >= self.began + SETTLE

    def silence(self) -> float:
        """Seconds without a byte after which a call has failed: longer where the last ones have."""
        return min(SILENCE_MOST, SILENCE * 2.0 ** min(self.failures, 8))

    def renew(self, call: Call) -> None:
        if self.version is None:
            call.ask("/v1/endpoints", 0.0, self.silence())
            return
        wait = WAIT_MS if call.asks else 0
        call.ask(f"/v1/endpoints?since={self.version}&timeout_ms={wait}", wait / 1000, self.silence())

    def doubt(self) -> None:
        """A listed server turned a call away or was not there: asks at once whether the list has changed.

        If so, the watch ought to have told: it is broken, and begins anew. Failure prevented: a watch has
        fallen silent, and until that shows each request is tried at servers that drain.
        """
        now = self.loop.time()
        if self.version is None or self.polling is not None or now < self.next_poll:
            return
        self.next_poll = now + POLL_GAP * (0.5 + random())
        self.polling = Call(self.loop, self.address, self.polled)
        self.polling.ask(f"/v1/endpoints?since={self.version}&timeout_ms=0", 0.0, self.silence())

    def polled(self, call: Call, body: bytearray | None) -> None:
        call.end()
        self.polling = None
        if body is None:
            self.next_poll = 0.0  # a silent poll is broken as well: the next doubt asks again
            return
        before = self.version
        self.read(body, lambda usable: self.after_poll(usable and self.version != before))

    def after_poll(self, news: bool) -> None:
        if news and self.watching is not None:
            self.watching.end()
            self.watching = None
            self.watch(True)

    def watched(self, call: Call, body: bytearray | None) -> None:
        self.read(body, lambda usable: self.after_watch(call, usable))

    def after_watch(self, call: Call, usable: bool) -> None:
        """The watch's answer has been told, or cannot be used."""
        if self.watching is not call:
            return  # another one has begun
        if not usable:
            # Ended before the failure is told, since the module may answer it with a new watch.
            call.end()
            self.watching = None
            self.fail()
        else:
            self.renew(call)

    def fail(self) -> None:
        """Tells that a call brought nothing of use."""
        self.failures += 1
        self.told(None, False)

    def fetch(self) -> None:
        """Asks for the whole list, unless such a call is out already."""
        if self.fetching is None:
            self.fetching = Call(self.loop, self.address, self.fetched)
            self.fetching.ask("/v1/endpoints", 0.0, self.silence())

    def fetched(self, call: Call, body: bytearray | None) -> None:
        call.end()
        self.fetching = None
        self.read(body, lambda usable: None if usable else self.fail())

    def read(self, body: bytearray | None, then: Callable[[bool], None]) -> None:
        """Tells what an answer says, and `then` whether it could be used. A long one is told bit by bit."""
        if body is None:
            then(False)
        elif len(body) > LONG_ANSWER:
            task = self.loop.create_task(self.read_long(body, then, self.address, self.version))
            self.reading.add(task)
            task.add_done_callback(self.reading.discard)
        else:
            before, failures = self.version, self.failures
            listing = self.short(body)
            # An empty answer is no news, but for the first after a failure.
            if listing is not None and (listing.lines or failures or self.version != before):
                self.told(listing, False)
            then(listing is not None)

    def short(self, body: bytearray) -> Listing | None:
        """An answer's list; None for one that cannot be used."""
        try:
            listing = decode(body)
        except ListError as e:
            self.drop(e.line())
            return None
        lines = self.newer(listing.kind, listing.version)
        if lines is None:
            return None
        return listing if lines else Listing(ListKind.CHANGES, cast(int, self.version), ())

    def newer(self, kind: ListKind, version: int) -> bool | None:
        """Whether the list holds news; None if it cannot be used. Its version is in hand from now on."""
        if kind == ListKind.CHANGES and self.version is None:
            self.drop("changes of a list that is not known")
            return None
        if kind == ListKind.CHANGES and self.version is not None and version < self.version:
            # Failure prevented: an old answer that was overtaken brings drained servers back.
            return False
        self.version = version
        self.heard = True
        self.failures = 0
        if self.dropped > 1:
            self.log.line(f"discovery: readable again after {self.dropped} dropped answers")
        self.dropped, self.reason = 0, ""
        return True

    def drop(self, why: str) -> None:
        """Counts an answer that cannot be used, and says why once.

        Failure prevented: a discovery that goes on sending what cannot be read fills the log, at each retry
        of every node of a large fleet.
        """
        self.dropped += 1
        if why != self.reason:
            self.reason = why
            self.log.line(f"discovery: answer dropped: {why}")

    async def read_long(
        self, body: bytearray, then: Callable[[bool], None], address: tuple[str, int], in_hand: int | None
    ) -> None:
        """Checks a long list, then tells it part by part; as much time as each takes is left to requests.

        One at a time, in the order of their coming. A list that cannot be read changes nothing, and neither
        does one that is out of date by then; `address` and `in_hand` are those of its coming.
        """
        async with self.turn:
            try:
                listing = LongListing(bytes(body))
                began = monotonic()
                for _ in listing.check(PART):
                    await asyncio.sleep(monotonic() - began)
                    began = monotonic()
            except ListError as e:
                self.drop(e.line())
                then(False)
                return
            if address != self.address:
                return  # it was asked elsewhere in the meantime
            if in_hand is not None and self.version not in (None, in_hand) and listing.version < self.version:
                then(True)  # overtaken while it was read: what is in hand is newer in all
                return
            news = self.newer(listing.kind, listing.version)
            told = 0
            for part in listing.parts(PART) if news else ():
                began = monotonic()
                told += len(part.lines)
                self.told(part, told < listing.count)
                await asyncio.sleep(monotonic() - began)
            then(news is not None)

    def close(self) -> None:
        """Ends all calls."""
        for call in (self.watching, self.fetching, self.polling):
            if call is not None:
                call.end()
        self.watching = self.fetching = self.polling = None

    def stop(self) -> None:
        """Nothing is heard any more."""
        self.close()
        for task in self.reading:
            task.cancel()
