"""The reasons of refusals, closes and retries: counted, written with the client's id, and bounded."""

import os
import sys

import pytest
from loopback import Bench, Server, call, until

from loadbalancer.node.end_reasons import EndReason, ReasonLog, printable
from loadbalancer.node.log import Log


class RecordedLog(Log):
    def __init__(self, max_lines_per_s: int) -> None:
        super().__init__("n0", max_lines_per_s)
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        self.lines.append(text)


def test_each_event_is_counted_and_the_lines_are_limited():
    log = RecordedLog(2)
    reasons = ReasonLog(log)
    for _ in range(50):
        reasons.refused(EndReason.NO_CAPACITY, 503, b"ab", "attempts=0")
    assert reasons.counts == {"refused no-capacity": 50}
    assert log.lines[0] == "refused reason=no-capacity status=503 call=ab attempts=0"
    assert len(log.lines) <= 6  # two a second, and what was left out


@pytest.mark.parametrize(
    ("call_id", "shown"),
    [(b"", "-"), (b"a b\n", "a?b?"), (b"\xff", "\\xff"), (b"x" * 99, "x" * 64)],
)
def test_a_clients_id_cannot_break_a_log_line(call_id, shown):
    assert printable(call_id) == shown


async def test_a_failed_and_repeated_request_shows_its_reasons():
    async def refuse(request, writer):
        return b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"

    bench = await Bench(Server(refuse)).start()
    client = await bench.client()
    client.send(call("view"))
    assert (await client.receive())[0] == 503
    counts = bench.node.reasons.counts
    await until(lambda: counts["refused policy-rejected"] == 1)
    assert counts["retried REJECTED"] >= 1


def test_a_log_that_nobody_reads_does_not_stop_the_node(monkeypatch):
    """Failure prevented: the pipe fills, and the next line blocks the process."""
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream, os.fdopen(reader):
        monkeypatch.setattr(sys, "stderr", stream)
        log = Log("n0", 1 << 30)
        for _ in range(20_000):
            log.line("x" * 100)
        assert log.omitted > 0
