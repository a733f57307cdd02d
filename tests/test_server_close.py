"""The moments in which something ends on the side of the servers: crossings forced byte by byte."""

import os
import socket

import pytest
from loopback import Bench, Server, call, until

from brackenladder.net.servers import Connection

STALE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


def far_end(server: Server) -> socket.socket:
    """The server's end of its latest connection, for what it sends without a turn of the loop.

    It acknowledges late, as an end does whose answers usually carry the acknowledgement.
    """
    end = socket.socket(fileno=os.dup(server.writers[-1].get_extra_info("socket").fileno()))
    end.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 0)
    return end


async def named(request, writer):
    """Answers with the request's id, so that a test can tell whose answer it is."""
    name = request.headers["x-call-id"].encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name)


@pytest.mark.parametrize("order", ["before the check", "between the check and the request"])
@pytest.mark.parametrize("early", [STALE, REJECTED, b"HTTP/1.1 2"], ids=["whole", "rejected", "half"])
@pytest.mark.parametrize("klass", ["invite", "view"])
async def test_what_a_server_says_unasked_is_nobodys_answer(monkeypatch, klass, early, order):
    """Failure prevented: an answer that was on its way before the request is served as the request's; or
    it says that the request never ran, which is then sent on and runs twice."""
    bench = await Bench(server := Server(named)).start()
    client = await bench.client()
    for _ in range(4):
        assert (await client.ask(call(klass)))[0] == 200
    assert server.connections == 1
    check = Connection.spoken_to
    late = order != "before the check"

    def crossing(self):
        monkeypatch.setattr(Connection, "spoken_to", check)
        with far_end(server) as end:
            if late:
                found = check(self)
                end.send(early)
                return found
            end.send(early)
            return check(self)

    monkeypatch.setattr(Connection, "spoken_to", crossing)
    status, _, body = await client.ask(call(klass, name=b"mine"))
    runs = [r.headers["x-call-id"] for r in server.requests].count("mine")
    if klass == "invite" and late:
        assert status == 502 and runs == 1  # it may have run
    else:
        assert (status, body) == (200, b"mine") and server.connections == 2
    assert (await client.ask(call(klass, name=b"next")))[2] == b"next"
    await until(lambda: server.closed == server.connections - 1)
