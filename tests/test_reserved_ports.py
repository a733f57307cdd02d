"""Reserved ports: each one is given out once, and the process that it is for can listen on it."""

import asyncio
import errno
import socket

import pytest
import uvloop

from loadbalancer.lab.ports import LOOPBACK, ReservedPorts

MANY = 1000  # ports; searches that keep nothing give some of so many out twice


def test_no_port_is_given_out_twice() -> None:
    with ReservedPorts() as one, ReservedPorts() as other:
        ports = one.reserve_many(MANY // 2) + other.reserve_many(MANY // 2)
    assert len(set(ports)) == MANY


def test_no_search_for_a_free_port_meets_a_reserved_one() -> None:
    with ReservedPorts() as reserved:
        ports = set(reserved.reserve_many(MANY))
        for _ in range(MANY):
            with socket.socket() as probe:
                probe.bind((LOOPBACK, 0))
                assert probe.getsockname()[1] not in ports


def test_no_connection_leaves_from_a_reserved_port() -> None:
    with ReservedPorts() as reserved, socket.socket() as listener:
        ports = set(reserved.reserve_many(MANY))
        listener.bind((LOOPBACK, 0))
        listener.listen()
        for _ in range(MANY):
            with socket.create_connection(listener.getsockname()) as client:
                assert client.getsockname()[1] not in ports
                listener.accept()[0].close()


def test_a_process_listens_on_a_reserved_port_again_and_again() -> None:
    async def answer(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"ok")
        writer.close()

    async def play(port: int) -> bytes:
        server = await asyncio.start_server(answer, LOOPBACK, port)
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        found = await reader.read()
        writer.close()
        server.close()
        return found

    with ReservedPorts() as reserved:
        port = reserved.reserve()
        assert [uvloop.run(play(port)) for _ in range(3)] == [b"ok"] * 3


def test_a_reserved_port_refuses_connections_until_a_process_listens() -> None:
    with ReservedPorts() as reserved, socket.socket() as client:
        assert client.connect_ex((LOOPBACK, reserved.reserve())) == errno.ECONNREFUSED


def test_closed_reservations_give_up_their_ports() -> None:
    with ReservedPorts() as reserved:
        port = reserved.reserve()
        with socket.socket() as early, pytest.raises(OSError, match="in use"):
            early.bind((LOOPBACK, port))
    with socket.socket() as late:
        late.bind((LOOPBACK, port))
