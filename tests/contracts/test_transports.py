"""The guarantees of `transports.interface` for all implementations; a further one is a line in `KITS`."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from loopback import PATIENCE

from loadbalancer.fault.datagram_plan import DatagramPlan
from loadbalancer.fault.datagram_proxy import DatagramProxy
from loadbalancer.fault.datagram_rules import DatagramRule
from loadbalancer.fault.faulty_transport import FaultyTransport
from loadbalancer.lab.network import Net, Schedule
from loadbalancer.lab.network import Network as Emulation
from loadbalancer.lab.swarm.shell import HollowUdp, NodeLoop, Wire
from loadbalancer.node.udp import MAX_BUFFERED_BYTES, Udp
from loadbalancer.transports.interface import (
    MAX_DATAGRAM_BYTES,
    Address,
    TransportError,
)
from loadbalancer.transports.memory import MemoryNetwork
from loadbalancer.transports.mux import CHANNEL_HEADER_BYTES, Mux

SECOND = 1_000_000
FLOOD = 3_000  # datagrams sent at once: more than any transport buffers
Log = list[tuple[bytes, Address]]


class Kit:
    """Creates transports (`end`) of one implementation and lets datagrams arrive (`settle`); here UDP."""

    def __init__(self, *rules: DatagramRule) -> None:
        self.plan = DatagramPlan(rules, 1)
        self.names: dict[Address, str] = {}
        self.opened: list[Any] = []
        self.set_up()

    def set_up(self) -> None:
        """Creates what the implementation needs for its transports."""

    def end(self, at: Address | None = None) -> Any:
        return Udp(at or ("127.0.0.1", 0))

    async def open(self, end: Any, received: Any) -> Address:
        """Opens it; returns the address at which others reach it. Fault plans name them n0, n1 and so on."""
        here: Address = await end.open(received)
        self.opened.append(end)
        self.names[here] = f"n{len(self.names)}"
        return here

    async def settle(self) -> None:
        await asyncio.sleep(0.001)

    def pause(self, end: Any, paused: bool) -> None:
        """Pauses reading, or resumes it; does nothing where only the running loop reads."""

    def count_lost(self, ends: list[Any]) -> int | None:
        """Returns the datagrams counted as lost because reading was paused; None if not all are counted."""
        return sum(e.counters.dropped.get("full", 0) for e in ends)

    def close(self) -> None:
        for end in self.opened:
            end.close()


class LoopKit(Kit):
    def set_up(self) -> None:
        self.network = MemoryNetwork(asyncio.get_running_loop().call_soon)

    def end(self, at: Address | None = None) -> Any:
        return self.network.create_transport(*(at or ("memory", 0)))


class PumpKit(LoopKit):
    def set_up(self) -> None:
        super().set_up()
        self.network.call_soon = None

    async def settle(self) -> None:
        await super().settle()
        self.network.deliver_pending()


class EmulatedKit(Kit):
    def set_up(self) -> None:
        self.schedule = Schedule()
        self.network = Emulation(self.schedule, 1, Net(jitter=0))

    def end(self, at: Address | None = None) -> Any:
        return self.network.end(port=at[1] if at else 0)

    async def settle(self) -> None:
        await asyncio.sleep(0)  # lets a timeout expire
        self.schedule.run(self.schedule.now + SECOND)

    def pause(self, end: Any, paused: bool) -> None:
        self.network.ends[end.address].stand(paused)


class SharedKit(Kit):
    """A feature's channel on a shared UDP socket."""

    def end(self, at: Address | None = None) -> Any:
        mux = Mux(super().end(at), "here")
        channel = mux.channel(7)
        opens, closes = channel.open, channel.close

        async def open(received: Any) -> Address:
            if mux.local_address is None and not mux.is_closed:
                await mux.open(lambda data, source: None)
            return await opens(received)

        channel.open, channel.close = open, lambda: (closes(), mux.close())  # type: ignore[method-assign]
        return channel

    def count_lost(self, ends: list[Any]) -> int | None:
        return super().count_lost([e.mux.transport for e in ends])


class HollowKit(Kit):
    """The socket of a hollow node, one of many nodes in a process."""

    def set_up(self) -> None:
        self.wire = Wire()

    def end(self, at: Address | None = None) -> Any:
        view = NodeLoop(asyncio.get_running_loop(), lambda what: None)
        return HollowUdp(at or ("127.0.0.1", 0), f"n{len(self.names)}", self.wire, view)

    def pause(self, end: Any, paused: bool) -> None:
        end.read(not paused)


class ProxyKit(Kit):
    """UDP through the sockets of the fault tool's datagram proxy."""

    def set_up(self) -> None:
        self.proxy = DatagramProxy(self.plan, lambda line: None)
        self.proxy.start()

    async def open(self, end: Any, received: Any) -> Address:
        return await self.proxy.add(
            f"n{len(self.proxy.members)}", await super().open(end, received)
        )

    def count_lost(self, ends: list[Any]) -> int | None:
        return None  # the proxy's sockets lose some uncounted

    def close(self) -> None:
        super().close()
        self.proxy.close()


def faulty(base: type[Any]) -> type[Any]:
    """Returns the same kit with transports that inject the faults of a plan."""

    class FaultyKit(base):  # type: ignore[misc]
        def end(self, at: Address | None = None) -> Any:
            inner, name, loop = (
                super().end(at),
                f"n{len(self.names)}",
                asyncio.get_running_loop(),
            )
            clock: Any = (lambda: 0.0), loop.call_later
            if schedule := getattr(self, "schedule", None):
                clock = (
                    (lambda: 0.0),
                    lambda s, call: schedule.at(schedule.now + int(s * SECOND), call),
                )
            return FaultyTransport(
                inner, self.plan, name, lambda to: self.names.get(to, "?"), *clock
            )

        def pause(self, end: Any, paused: bool) -> None:
            super().pause(end.transport, paused)

        def count_lost(self, ends: list[Any]) -> int | None:
            return super().count_lost([e.transport for e in ends])

    return FaultyKit


FAULTS: dict[str, type[Any]] = {
    "udp through the proxy": ProxyKit,
    "memory through a plan": faulty(LoopKit),
    "emulated through a plan": faulty(EmulatedKit),
    "hollow through a plan": faulty(HollowKit),
}
KITS: dict[str, type[Any]] = {
    "memory": PumpKit,
    "memory on a loop": LoopKit,
    "emulated": EmulatedKit,
    "udp": Kit,
    "a channel of a shared udp": SharedKit,
    "hollow": HollowKit,
    **FAULTS,
}


async def until(kit: Any, condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await kit.settle()


async def let_datagrams_arrive(kit: Any) -> None:
    """Waits until datagrams in flight have had time to arrive."""
    for _ in range(5):
        await kit.settle()


async def listener(kit: Any) -> tuple[Any, Address, Log]:
    end, received = kit.end(), []  # type: ignore[var-annotated]
    return (
        end,
        await kit.open(end, lambda data, source: received.append((data, source))),
        received,
    )


@pytest.fixture(params=KITS)
async def kit(request: pytest.FixtureRequest) -> AsyncIterator[Any]:
    """A kit of each implementation in turn."""
    made = KITS[request.param]()
    yield made
    made.close()


async def test_datagrams_arrive_complete_with_their_sender(kit: Any) -> None:
    one, here, first = await listener(kit)
    two, there, second = await listener(kit)
    datagrams = [
        bytes(range(256)),
        b"\x00",
        b"\x07" + b"\xff" * 9,
        b"\x93 an array",
        b"\r\n\x00 text",
        b"a" * 999,
    ]
    assert all(one.send(data, there) for data in datagrams)
    await until(kit, lambda: len(second) == len(datagrams))
    assert second == [(data, here) for data in datagrams]
    assert two.send(b"back", second[0][1])
    await until(kit, lambda: bool(first))
    assert first == [(b"back", there)]
    assert (one.counters.sent, one.counters.sent_bytes) == (
        len(datagrams),
        sum(map(len, datagrams)),
    )
    assert (two.counters.received, two.counters.received_bytes) == (
        len(datagrams),
        sum(map(len, datagrams)),
    )


async def test_an_address_in_use_is_refused_and_can_be_opened_later(kit: Any) -> None:
    one, _, _ = await listener(kit)
    address, second_opener = one.address, kit.end(one.address)
    with pytest.raises(TransportError) as found:
        await second_opener.open(lambda data, source: None)
    assert found.value.advice
    assert second_opener.address is None
    one.close()
    await let_datagrams_arrive(kit)
    # A failed call of `open` may be repeated.
    assert await second_opener.open(lambda data, source: None) == address


async def test_unreachable_peers_do_not_affect_others(kit: Any) -> None:
    one, _, _ = await listener(kit)
    gone, target_address, _ = await listener(kit)
    _, there, second = await listener(kit)
    gone.close()
    await let_datagrams_arrive(kit)
    for _ in range(20):
        one.send(b"to nobody", target_address)  # either result is allowed
    await let_datagrams_arrive(kit)
    before = sum(one.counters.dropped.values())
    local = "127.0.0.1"
    for host, port in (
        ("no.such.name", 5),
        (local, 0),
        (local, 65_536 + target_address[1]),
        ("\ud800", 5),
    ):
        assert not one.send(b"to nobody", (host, port))
    assert sum(one.counters.dropped.values()) == before + 4
    assert one.send(b"to somebody", there)
    await until(kit, lambda: bool(second))


async def test_nothing_is_received_within_send(kit: Any) -> None:
    one, _, _ = await listener(kit)
    two, sending, within = kit.end(), [], []  # type: ignore[var-annotated]
    answers: list[bytes] = []

    def answer(data: bytes, source: Address) -> None:
        within.extend([data] * len(sending))
        if data != b"ask":
            answers.append(data)
            return
        sending.append("answer")
        two.send(b"to itself", target_address)
        sending.pop()

    target_address = await kit.open(two, answer)
    for _ in range(20):
        sending.append("send")
        assert one.send(b"ask", target_address)
        sending.pop()
    await until(kit, lambda: len(answers) == 20)
    assert within == []


async def test_the_buffer_of_a_paused_receiver_is_bounded_and_losses_are_counted(
    kit: Any,
) -> None:
    one, _, _ = await listener(kit)
    two, there, second = await listener(kit)
    kit.pause(two, True)
    for _ in range(FLOOD):
        one.send(b"e" * one.max_datagram_bytes, there)
    if hasattr(kit, "schedule"):
        await kit.settle()
    assert second == []
    kit.pause(two, False)
    one.send(b"and now", there)
    # The marker is repeated, as it may have found the buffer full.
    while not second or second[-1][0] != b"and now":
        await let_datagrams_arrive(kit)
        one.send(b"and now", there)
        await let_datagrams_arrive(kit)
    count = sum(data != b"and now" for data, _ in second)
    assert 0 < count < FLOOD  # bounded: unread datagrams are not kept without limit
    if (lost := kit.count_lost([one, two])) is not None:
        assert (
            FLOOD <= count + lost <= FLOOD + 5
        )  # counted, including markers that found the buffer full


async def send_with_faults(
    kind: str, count: int, *rules: DatagramRule
) -> tuple[list[bytes], ...]:
    """Sends datagrams from n0 to n1 and back; returns those sent, and what n1 and n0 received."""
    kit = FAULTS[kind](*rules)
    one, here, first = await listener(kit)
    two, there, second = await listener(kit)
    sent = [f"{i:>4}".encode() * 100 for i in range(count)]
    for data in sent:
        assert one.send(data, there)
        assert two.send(data, here)
        if not hasattr(kit, "schedule"):
            await kit.settle()
    for _ in range(40):
        await kit.settle()
    assert one.counters.dropped == {}
    kit.close()
    return sent, [d for d, _ in second], [d for d, _ in first]


@pytest.mark.parametrize("kind", FAULTS)
async def test_faults_lose_duplicate_and_reorder_complete_datagrams(kind: str) -> None:
    sent, there, back = await send_with_faults(
        kind, 100, DatagramRule("loss", target=["n1"], rate=0.5)
    )
    assert there == [d for d in sent if d in there]
    assert 20 < len(there) < 80
    assert back == sent
    sent, there, back = await send_with_faults(
        kind, 40, DatagramRule("duplicate", source=["n0"], delay_ms=1.0)
    )
    assert Counter(there) == Counter(sent * 2)
    assert back == sent
    late = DatagramRule("reorder", source=["n0"], rate=0.3, delay_ms=20.0)
    sent, there, back = await send_with_faults(kind, 40, late)
    assert sorted(there) == sent != there
    assert back == sent
    sent, there, back = await send_with_faults(
        kind, 20, DatagramRule("cut", source=["n0"], target=["n1"])
    )
    assert there == []
    assert back == sent


async def test_a_larger_datagram_of_another_program_is_dropped_and_counted() -> None:
    kit = Kit()
    two, there, second = await listener(kit)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as foreign_socket:
        foreign_socket.sendto(b"f" * (MAX_DATAGRAM_BYTES + 1), there)
        foreign_socket.sendto(b"g" * MAX_DATAGRAM_BYTES, there)
    await until(kit, lambda: bool(second))
    assert [d for d, _ in second] == [b"g" * MAX_DATAGRAM_BYTES]
    assert two.counters.dropped == {"too large": 1}


async def test_datagrams_that_the_socket_refuses_are_dropped_and_counted() -> None:
    end, there, _ = await listener(Kit())
    assert not end.send(
        b"g", ("255.255.255.255", 9)
    )  # the socket reports an error, and the loop does not raise
    held, end.transport = (
        end.transport,
        SimpleNamespace(get_write_buffer_size=lambda: MAX_BUFFERED_BYTES),
    )
    assert not end.send(b"g", there)
    end.transport = held
    assert end.counters.dropped == {"unreachable": 1, "full": 1}


async def test_a_transport_that_is_closed_while_it_opens_releases_its_port() -> None:
    end = Udp(("127.0.0.1", 0))
    opening = asyncio.ensure_future(end.open(lambda data, source: None))
    await asyncio.sleep(0)
    end.close()
    with pytest.raises(TransportError):
        await opening
    assert end.address is None
    assert end.transport is None


async def test_channels_of_a_shared_transport_receive_only_their_own_datagrams() -> (
    None
):
    network = MemoryNetwork()
    received: dict[str, list[bytes]] = {
        "own": [],
        "channel": [],
        "other": [],
        "raw": [],
    }

    def into(name: str) -> Any:
        return lambda data, source: received[name].append(data)

    here, there, abroad = (
        Mux(network.create_transport(), c) for c in ("home", "home", "abroad")
    )
    target_address, raw = (
        await there.open(into("own")),
        await network.create_transport().open(into("raw")),
    )
    for end in (here, abroad):
        await end.open(into("own"))
    there.channel(5, into("channel"))
    there.channel(6, into("other"))
    five, nine, foreign = (
        here.channel(5, into("channel")),
        here.channel(9, into("channel")),
        abroad.channel(5),
    )
    await foreign.open(into("channel"))
    assert here.send(b"\x96 membership", target_address)
    assert five.send(b"five", target_address)
    assert nine.send(b"nobody's", target_address)
    assert foreign.send(b"foreign", target_address)
    assert not here.send(b"\x05 not mine", target_address)
    assert here.send(b"\x96 membership", raw)
    assert five.send(b"five", raw)
    network.deliver_pending()
    assert received["own"] == [b"\x96 membership"]
    assert received["channel"] == [b"five"]
    assert received["other"] == []
    assert there.counters.dropped == {"unknown tag": 1, "foreign": 1}
    # The same bytes as without channels
    assert received["raw"][0] == b"\x96 membership"
    assert received["raw"][1][0] == 5
    assert len(received["raw"][1]) == CHANNEL_HEADER_BYTES + 4
    for invalid_tag in (0, 128, 5):
        with pytest.raises(ValueError):
            here.channel(invalid_tag, into("channel"))
    five.close()
    assert here.channel(5, into("channel")).address == here.address
    here.close()
    assert nine.address is None
    assert not nine.send(b"late", target_address)


SIZES = [0, 8, 500, "largest", "over", 70_000]


class ModelledTransport:
    """A transport and its expected state."""

    def __init__(self, end: Any) -> None:
        self.end, self.own_address, self.state = end, ("", 0), "new"
        self.received: Log = []
        self.due: Log = []  # must have arrived after `settle`
        self.sent = 0
        self.dropped: Counter[str] = Counter()


class TransportMachine(RuleBasedStateMachine):
    """Transports that open, send and close in any order."""

    kind = "memory"

    def __init__(self) -> None:
        super().__init__()
        self.loop = uvloop.new_event_loop()
        self.ends: list[ModelledTransport] = []
        self.sent_count = 0
        self.kit = self.run(lambda: KITS[self.kind]())
        self.make(True)
        self.make(True)

    def run(self, function: Callable[[], Any]) -> Any:
        """Calls the function on the loop; awaits its result if that is a coroutine."""

        async def called() -> Any:
            result = function()
            return (
                await asyncio.wait_for(result, PATIENCE)
                if asyncio.iscoroutine(result)
                else result
            )

        return self.loop.run_until_complete(called())

    @rule(opens=st.booleans())
    def make(self, opens: bool) -> None:
        if len(self.ends) < 6:
            self.ends.append(ModelledTransport(self.run(self.kit.end)))
            assert (
                MAX_DATAGRAM_BYTES - CHANNEL_HEADER_BYTES
                <= self.ends[-1].end.max_datagram_bytes
                <= MAX_DATAGRAM_BYTES
            )
            if opens:
                self.open(-1)

    @rule(a=st.integers(0, 5))
    def open(self, a: int) -> None:
        m = self.ends[a % len(self.ends)]
        if m.state == "new":
            m.own_address = self.run(
                lambda: self.kit.open(
                    m.end, lambda *received: m.received.append(received)
                )
            )
            m.state = "open"
        else:  # it can be opened only once, also after its close
            with pytest.raises(TransportError):
                self.run(lambda: m.end.open(lambda data, source: None))

    @rule(a=st.integers(0, 5), b=st.integers(0, 5), size=st.sampled_from(SIZES))
    def send(self, a: int, b: int, size: Any) -> None:
        one, two, self.sent_count = (
            self.ends[a % len(self.ends)],
            self.ends[b % len(self.ends)],
            self.sent_count + 1,
        )
        length = {
            "largest": one.end.max_datagram_bytes,
            "over": one.end.max_datagram_bytes + 1,
        }.get(size, size)
        data = (b"%08d" % self.sent_count + bytes(length))[:length]
        accepted = one.end.send(data, two.own_address)
        one.sent += accepted
        drop_reason = (
            "closed"
            if one.state != "open"
            else "too large"
            if length > one.end.max_datagram_bytes
            else ""
        )
        if drop_reason or not length:
            assert not accepted
            one.dropped[drop_reason or "empty"] += 1
        elif two.state == "open":
            assert accepted
            two.due.append((data, one.own_address))
        elif not accepted:
            one.dropped["unreachable"] += 1

    @rule(a=st.integers(0, 5))
    def close(self, a: int) -> None:
        m = self.ends[a % len(self.ends)]
        m.end.close()
        # Datagrams in flight to it are lost.
        m.due, m.state = list(m.received), "closed"

    @rule()
    def settle(self) -> None:
        self.run(
            lambda: until(
                self.kit, lambda: all(len(m.received) >= len(m.due) for m in self.ends)
            )
        )
        self.run(lambda: let_datagrams_arrive(self.kit))
        # Complete, once and in order, as there are no faults
        assert all(m.received == m.due for m in self.ends)

    @invariant()
    def counters_match(self) -> None:
        for m in self.ends:
            counters = m.end.counters
            assert (m.end.address is not None) == (m.state == "open")
            assert (counters.sent, counters.dropped) == (m.sent, m.dropped)
            assert counters.received == len(m.received)

    def teardown(self) -> None:
        self.settle()
        self.run(self.kit.close)
        self.run(lambda: asyncio.sleep(0))
        self.loop.close()


@pytest.mark.parametrize("kind", KITS)
def test_any_order_of_calls_keeps_the_guarantees(kind: str) -> None:
    machine = type("TransportMachineOfKind", (TransportMachine,), {"kind": kind})
    test_settings = settings(
        derandomize=True, max_examples=12, stateful_step_count=20, deadline=None
    )
    run_state_machine_as_test(machine, settings=test_settings)
