"""What `transports.interface` promises, asked of all implementations; a further one is a line in `KITS`."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from brackenladder.fault.datagrams import DatagramRule, Plan
from brackenladder.fault.faulty import Faulty
from brackenladder.fault.switch import Switch
from brackenladder.lab.network import Net, Schedule
from brackenladder.lab.network import Network as EmulatedNetwork
from brackenladder.net.udp import Udp
from brackenladder.transports.interface import LARGEST, Address, TransportError
from brackenladder.transports.memory import Network
from brackenladder.transports.mux import HEAD, Mux

SECOND = 1_000_000
PATIENCE = 20.0  # seconds; only a failure waits so long
FLOOD = 3_000  # datagrams at once: more than any end lets wait
Log = list[tuple[bytes, Address]]


class Kit:
    """Makes ends of one implementation, and lets time pass between them."""

    def __init__(self, *rules: DatagramRule) -> None:
        self.plan = Plan(rules, 1)
        self.began = asyncio.get_running_loop().time()
        self.names: dict[Address, str] = {}

    def end(self, at: Address | None = None) -> Any:
        """An end that is not open yet, on an address of its own."""
        raise NotImplementedError

    async def open(self, end: Any, received: Any) -> Address:
        """Opens it; returns where others reach it. In a plan, ends are n0, n1, ... in this order."""
        here: Address = await end.open(received)
        self.names[here] = f"n{len(self.names)}"
        return here

    async def settle(self) -> None:
        await asyncio.sleep(0.001)

    def still(self, end: Any, still: bool) -> None:
        """Keeps an end from reading; where nothing is read unless the loop runs there is nothing to do."""

    def lost(self, ends: list[Any]) -> int | None:
        """How many datagrams are counted as lost because nobody read; None where not all are counted."""
        return sum(e.counters.dropped.get("full", 0) for e in ends)

    def close(self) -> None:
        pass


class MemoryKit(Kit):
    def __init__(self, *rules: DatagramRule) -> None:
        super().__init__(*rules)
        self.network = Network()

    def end(self, at: Address | None = None) -> Any:
        return self.network.end(*(at or ("memory", 0)))

    async def settle(self) -> None:
        await super().settle()
        self.network.pump()


class LoopKit(MemoryKit):
    def __init__(self, *rules: DatagramRule) -> None:
        super().__init__(*rules)
        self.network.soon = asyncio.get_running_loop().call_soon

    settle = Kit.settle


class EmulatedKit(Kit):
    def __init__(self, *rules: DatagramRule) -> None:
        super().__init__(*rules)
        self.schedule = Schedule()
        self.network = EmulatedNetwork(self.schedule, 1, Net(jitter=0))

    def end(self, at: Address | None = None) -> Any:
        return self.network.end(port=at[1] if at else 0)

    async def settle(self) -> None:
        self.schedule.run(self.schedule.now + SECOND)

    def still(self, end: Any, still: bool) -> None:
        self.network.ends[end.address].stand(still)


class UdpKit(Kit):
    def end(self, at: Address | None = None) -> Any:
        return Udp(at or ("127.0.0.1", 0))


class SharedKit(UdpKit):
    """A part's channel on a UDP socket that parts share."""

    def __init__(self, *rules: DatagramRule) -> None:
        super().__init__(*rules)
        self.muxes: list[Mux] = []

    def end(self, at: Address | None = None) -> Any:
        mux = Mux(super().end(at), "here")
        self.muxes.append(mux)
        return Opening(mux)

    def lost(self, ends: list[Any]) -> int | None:
        return super().lost([m.transport for m in self.muxes])

    def close(self) -> None:
        for mux in self.muxes:
            mux.close()


class Opening:
    """A channel that opens the transport that it shares, and closes it with itself."""

    def __init__(self, mux: Mux) -> None:
        self.mux, self.channel = mux, mux.channel(7)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.channel, name)

    async def open(self, received: Any) -> Address:
        if self.channel.address is None and not self.channel.ended:
            await self.mux.open(lambda data, source: None)
        return await self.channel.open(received)

    def close(self) -> None:
        self.channel.close()
        self.mux.close()


class SwitchKit(UdpKit):
    """UDP through the fronts of the fault tool's switch."""

    def __init__(self, *rules: DatagramRule) -> None:
        super().__init__(*rules)
        self.switch = Switch(self.plan, lambda line: None)
        self.switch.begin()

    async def open(self, end: Any, received: Any) -> Address:
        return await self.switch.add(f"n{len(self.switch.ports)}", await end.open(received))

    def lost(self, ends: list[Any]) -> int | None:
        return None  # a front's socket loses some

    def close(self) -> None:
        self.switch.close()


def faulty(base: type[Any]) -> type[Any]:
    """The same through the wrapper that strikes as a plan says."""

    class FaultyKit(base):  # type: ignore[misc]
        def end(self, at: Address | None = None) -> Any:
            name = f"n{len(self.names)}"
            loop = asyncio.get_running_loop()
            at_now, later = (lambda: loop.time() - self.began), loop.call_later
            if schedule := getattr(self, "schedule", None):
                at_now = lambda: schedule.now / SECOND  # noqa: E731
                later = lambda s, call: schedule.at(schedule.now + int(s * SECOND), call)  # noqa: E731
            return Faulty(super().end(at), self.plan, name, lambda to: self.names.get(to, "?"), at_now, later)

        def still(self, end: Any, still: bool) -> None:
            super().still(end.transport, still)

        def lost(self, ends: list[Any]) -> int | None:
            return super().lost([e.transport for e in ends])

    return FaultyKit


FAULTS: dict[str, type[Any]] = {
    "udp through the switch": SwitchKit,
    "memory through a plan": faulty(LoopKit),
    "emulated through a plan": faulty(EmulatedKit),
}
KITS: dict[str, type[Any]] = {
    "memory": MemoryKit,
    "memory on a loop": LoopKit,
    "emulated": EmulatedKit,
    "udp": UdpKit,
    "a channel of a shared udp": SharedKit,
    **FAULTS,
}


def play(scene: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(3 * PATIENCE):
            await scene()

    uvloop.run(limited())


async def until(kit: Any, condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await kit.settle()


async def quiet(kit: Any) -> None:
    """Whatever is on its way has time to arrive."""
    for _ in range(5):
        await kit.settle()


async def pair(kit: Any) -> tuple[Any, Any, Address, Address, Log, Log]:
    one, two, first, second = kit.end(), kit.end(), [], []
    here = await kit.open(one, lambda data, source: first.append((data, source)))
    two = kit.end()
    there = await kit.open(two, lambda data, source: second.append((data, source)))
    return one, two, here, there, first, second


def each(scene: Callable[[Any], Awaitable[None]], kits: dict[str, type[Any]] = KITS) -> Callable[[str], None]:
    """A test of every implementation."""

    def test(kind: str) -> None:
        async def played() -> None:
            kit = kits[kind]()
            try:
                await scene(kit)
            finally:
                kit.close()

        play(played)

    return pytest.mark.parametrize("kind", kits)(test)


async def whole(kit: Any) -> None:
    one, two, here, there, first, second = await pair(kit)
    told = [
        bytes(range(256)),
        b"\x00",
        b"\x07" + b"\xff" * 9,
        b"\x93 an array",
        b"\r\n\x00 text",
        b"a" * 1000,
    ]
    assert all(one.send(data, there) for data in told)
    await until(kit, lambda: len(second) == len(told))
    assert second == [(data, here) for data in told]
    assert two.send(b"back", second[0][1])
    await until(kit, lambda: bool(first))
    assert first == [(b"back", there)]
    assert (one.counters.sent, one.counters.sent_bytes) == (len(told), sum(map(len, told)))
    assert (two.counters.received, two.counters.received_bytes) == (len(told), sum(map(len, told)))


async def sizes(kit: Any) -> None:
    one, _, _, there, _, second = await pair(kit)
    largest = one.largest
    assert LARGEST - HEAD <= largest <= LARGEST
    assert one.send(b"b" * largest, there)
    assert not one.send(b"c" * (largest + 1), there)
    assert not one.send(b"d" * 70_000, there)
    assert not one.send(b"", there)
    await until(kit, lambda: bool(second))
    await quiet(kit)
    assert [data for data, _ in second] == [b"b" * largest]
    assert (one.counters.dropped, one.counters.sent) == ({"too large": 2, "empty": 1}, 1)


async def lifetime(kit: Any) -> None:
    one, two, here, there, first, second = await pair(kit)
    fresh = kit.end()
    assert fresh.address is None and not fresh.send(b"too soon", there)
    assert fresh.counters.dropped == {"closed": 1}
    assert one.address is not None and two.address is not None
    with pytest.raises(TransportError):
        await one.open(lambda data, source: None)
    one.send(b"on its way", there)
    two.close()
    two.close()
    assert two.address is None
    assert not two.send(b"too late", here) and two.counters.dropped["closed"] == 1
    await quiet(kit)
    assert second == [] and first == []
    one.send(b"to nobody", there)
    await quiet(kit)
    with pytest.raises(TransportError):
        await two.open(lambda data, source: None)
    third = kit.end()
    heard: Log = []
    place = await kit.open(third, lambda data, source: heard.append((data, source)))
    assert one.send(b"still here", place)
    await until(kit, lambda: bool(heard))


async def taken(kit: Any) -> None:
    one, _, _, there, _, _ = await pair(kit)
    where = one.address
    rival = kit.end(where)
    with pytest.raises(TransportError) as found:
        await rival.open(lambda data, source: None)
    assert found.value.advice and rival.address is None
    one.close()
    await quiet(kit)
    assert await rival.open(lambda data, source: None) == where  # it may be tried again


async def unreachable(kit: Any) -> None:
    one, two, _, there, _, second = await pair(kit)
    gone = kit.end()
    place = await kit.open(gone, lambda data, source: None)
    gone.close()
    await quiet(kit)
    for _ in range(20):
        one.send(b"to nobody", place)  # True or False: nobody can tell
    await quiet(kit)
    before = sum(one.counters.dropped.values())
    for impossible in (
        ("no.such.name", 5),
        ("127.0.0.1", 0),
        ("127.0.0.1", 65_536 + place[1]),
        ("\ud800", 5),
    ):
        assert not one.send(b"to nobody", impossible)
    assert sum(one.counters.dropped.values()) == before + 4
    assert one.send(b"to somebody", there)
    await until(kit, lambda: bool(second))


async def outside_of_send(kit: Any) -> None:
    one, two, here, there, first, second = await pair(kit)
    sending: list[str] = []
    within: list[bytes] = []
    three = kit.end()

    def answer(data: bytes, source: Address) -> None:
        within.extend([data] * len(sending))
        if len(data) < 5:
            sending.append("answer")
            three.send(data + b"!", place)  # to itself, from within `received`
            sending.pop()
        else:
            second.append((data, source))

    place = await kit.open(three, answer)
    for _ in range(20):
        sending.append("send")
        assert one.send(b"a", place)
        sending.pop()
    await until(kit, lambda: len(second) == 20)
    assert within == []


async def unread(kit: Any) -> None:
    one, two, _, there, _, second = await pair(kit)
    kit.still(two, True)
    taken = sum(one.send(b"e" * one.largest, there) for _ in range(FLOOD))
    if hasattr(kit, "schedule"):
        await kit.settle()
    assert second == []
    kit.still(two, False)
    await quiet(kit)
    await asyncio.sleep(0.05)
    await quiet(kit)
    assert 0 < len(second) < FLOOD  # bounded: what nobody reads is not kept for ever
    if (lost := kit.lost([one, two])) is not None:
        assert len(second) + lost == FLOOD  # and counted
    assert taken <= FLOOD
    count = len(second)
    assert one.send(b"and now", there)
    await until(kit, lambda: second[-1][0] == b"and now")
    assert len(second) == count + 1


async def crowd(kit: Any) -> None:
    heard: Log = []
    target = kit.end()
    place = await kit.open(target, lambda data, source: heard.append((data, source)))
    places = []
    for i in range(30):
        end = kit.end()
        places.append((end, await kit.open(end, lambda data, source: None), i))
    for turn in range(5):
        for end, _, i in places:
            assert end.send(f"{i}/{turn}".encode(), place)
        await until(kit, lambda turn=turn: len(heard) == 30 * (turn + 1))
    assert Counter(heard) == Counter((f"{i}/{t}".encode(), here) for _, here, i in places for t in range(5))


test_datagrams_arrive_whole_and_name_their_sender = each(whole)
test_the_largest_size_is_a_bound_and_nothing_is_cut = each(sizes)
test_an_end_has_its_address_from_open_to_close = each(lifetime)
test_an_address_in_use_is_refused_and_may_be_tried_again = each(taken)
test_peers_that_cannot_be_reached_harm_nobody = each(unreachable)
test_nothing_is_received_within_send = each(outside_of_send)
test_a_receiver_that_does_not_read_is_bounded_and_counted = each(unread)
test_many_senders_are_told_apart = each(crowd)


async def struck(
    kind: str, count: int, *rules: DatagramRule
) -> tuple[list[bytes], list[bytes], list[bytes], Any]:
    """What n0 sent, and what n1 and n0 then received of it and of the same sent back."""
    kit = FAULTS[kind](*rules)
    one, two, here, there, first, second = await pair(kit)
    sent = [f"{i:>4}".encode() * 100 for i in range(count)]
    for data in sent:
        assert one.send(data, there) and two.send(data, here)  # the sender learns nothing
        await kit.settle()
    await until(kit, lambda: sum(kit.plan.struck) > 0)
    for _ in range(40):
        await kit.settle()
    assert one.counters.dropped == {}
    kit.close()
    return sent, [d for d, _ in second], [d for d, _ in first], kit


@pytest.mark.parametrize("kind", FAULTS)
def test_faults_lose_repeat_and_reorder_whole_datagrams(kind: str) -> None:
    async def scene() -> None:
        sent, there, back, _ = await struck(kind, 100, DatagramRule("loss", to=["n1"], rate=0.5))
        assert there == [d for d in sent if d in there] and 20 < len(there) < 80 and back == sent
        sent, there, back, _ = await struck(kind, 40, DatagramRule("duplicate", source=["n0"], ms=1.0))
        assert Counter(there) == Counter(sent * 2) and back == sent
        late = DatagramRule("reorder", source=["n0"], rate=0.3, ms=20.0)
        sent, there, back, _ = await struck(kind, 40, late)
        assert sorted(there) == sent and back == sent
        assert there != sent or kind.startswith("emulated")  # there, each turn of the test is a second long
        sent, there, back, _ = await struck(kind, 20, DatagramRule("cut", source=["n0"], to=["n1"]))
        assert there == [] and back == sent

    play(scene)


def test_a_larger_datagram_from_elsewhere_is_dropped_and_counted() -> None:
    async def scene() -> None:
        kit = UdpKit()
        one, two, _, there, _, second = await pair(kit)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"f" * (LARGEST + 1), there)
            stranger.sendto(b"g" * LARGEST, there)
        await until(kit, lambda: bool(second))
        assert [d for d, _ in second] == [b"g" * LARGEST] and two.counters.dropped == {"too large": 1}

    play(scene)


def test_parts_that_share_a_transport_hear_their_own_and_no_foreign_cluster() -> None:
    network = Network()
    heard: dict[str, list[bytes]] = {"own": [], "part": [], "twin": [], "raw": []}

    def into(name: str) -> Any:
        return lambda data, source: heard[name].append(data)

    async def scene() -> None:
        here, there, abroad = (Mux(network.end(), c) for c in ("home", "home", "abroad"))
        raw = network.end()
        place = await there.open(into("own"))
        for end in (here, abroad):
            await end.open(into("own"))
        at_raw = await raw.open(into("raw"))
        there.channel(5, into("part"))
        there.channel(6, into("twin"))
        five, nine, foreign = here.channel(5, into("part")), here.channel(9, into("part")), abroad.channel(5)
        await foreign.open(into("part"))
        assert here.send(b"\x96 membership", place) and five.send(b"five", place)
        assert nine.send(b"nobody's", place) and foreign.send(b"foreign", place)
        assert not here.send(b"\x05 not mine", place)
        assert here.send(b"\x96 membership", at_raw) and five.send(b"five", at_raw)
        network.pump()
        assert heard["own"] == [b"\x96 membership"] and heard["part"] == [b"five"] and heard["twin"] == []
        assert there.counters.dropped == {"unknown tag": 1, "foreign": 1}
        assert heard["raw"][0] == b"\x96 membership"  # as without parts, byte for byte
        assert heard["raw"][1][0] == 5 and len(heard["raw"][1]) == HEAD + 4
        for wrong in (0, 128, 5):
            with pytest.raises(ValueError):
                here.channel(wrong, into("part"))
        five.close()
        assert here.channel(5, into("part")).address == here.address
        here.close()
        assert nine.address is None and not nine.send(b"late", place)

    play(scene)


class Ends(RuleBasedStateMachine):
    """Ends that open, send and close in any order, against lists of what should arrive."""

    kind = "memory"

    def __init__(self) -> None:
        super().__init__()
        self.loop = uvloop.new_event_loop()
        self.kit = self.run(self.begin())
        self.ends: list[Any] = []
        self.places: list[Address] = []
        self.states: list[str] = []
        self.heard: list[list[bytes]] = []
        self.due: list[list[bytes]] = []  # what must have arrived once all has settled
        self.may: list[Counter[bytes]] = []  # what was sent to it at all
        self.calls: list[Counter[bool]] = []
        self.made = 0

    async def begin(self) -> Any:
        return KITS[self.kind]()

    def run(self, what: Awaitable[Any]) -> Any:
        return self.loop.run_until_complete(asyncio.wait_for(what, PATIENCE))

    @rule(opens=st.booleans())
    def make(self, opens: bool) -> None:
        if len(self.ends) >= 6:
            return
        end, heard = self.run(self.make_end()), list[bytes]()
        self.ends.append(end)
        self.heard.append(heard)
        self.states.append("open" if opens else "new")
        self.due.append([])
        self.may.append(Counter())
        self.calls.append(Counter())
        self.places.append(
            self.run(self.kit.open(end, lambda data, source: heard.append(data))) if opens else ("", 0)
        )

    async def make_end(self) -> Any:
        return self.kit.end()

    @rule(a=st.integers(0, 5), b=st.integers(0, 5), size=st.sampled_from([0, 1, 2, 500, -1, 0, +1]))
    def send(self, a: int, b: int, size: int) -> None:
        if max(a, b) >= len(self.ends):
            return
        end = self.ends[a]
        self.made += 1
        length = end.largest + size if size in (-1, +1) else size
        data = (b"%08d" % self.made + b"x" * length)[:length] if length else b""
        data = data if length <= 8 else (b"%08d" % self.made + b"x" * length)[:length]
        went = end.send(data, self.places[b])
        self.calls[a][went] += 1
        fits = 0 < length <= end.largest
        assert not (went and (self.states[a] != "open" or not fits))
        if self.states[a] == "open" and fits:
            self.may[b][data] += 1
            if self.states[b] == "open":
                assert went
                self.due[b].append(data)

    @rule(a=st.integers(0, 5))
    def close(self, a: int) -> None:
        if a < len(self.ends):
            self.ends[a].close()
            if self.states[a] == "open":
                self.due[a] = list(self.heard[a])  # what was on its way to it is lost
            self.states[a] = "closed"

    @rule()
    def settle(self) -> None:
        def there() -> bool:
            return all(len(h) >= len(d) for h, d in zip(self.heard, self.due, strict=True))

        self.run(until(self.kit, there))
        self.run(quiet(self.kit))
        assert self.heard == self.due  # whole, once and in order, without faults

    @invariant()
    def counted(self) -> None:
        for i, end in enumerate(self.ends):
            assert (end.address is not None) == (self.states[i] == "open")
            dropped = {k: n for k, n in end.counters.dropped.items() if k != "full"}
            assert (end.counters.sent, sum(dropped.values())) == (self.calls[i][True], self.calls[i][False])
            assert end.counters.received == len(self.heard[i])
            assert Counter(self.heard[i]) <= self.may[i]

    def teardown(self) -> None:
        self.settle()
        for end in self.ends:
            end.close()
        self.kit.close()
        self.run(asyncio.sleep(0))
        self.loop.close()


@pytest.mark.parametrize("kind", KITS)
def test_any_order_of_calls_keeps_the_promises(kind: str) -> None:
    machine = type("Drawn", (Ends,), {"kind": kind})
    bounds = settings(derandomize=True, max_examples=12, stateful_step_count=20, deadline=None)
    run_state_machine_as_test(machine, settings=bounds)
