"""Decides what happens to each byte: a pure state machine for each direction of a connection.

It consumes bytes as they are read and returns steps to perform. The same bytes give the same faults at the
same offsets, however they are split into reads: every fault starts at the byte that the script or its seed
determines, never at the boundary of a read. The module uses no clock and no socket, and no randomness but
that of the seed.
"""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any, NamedTuple

from loadbalancer.fault.header_finder import HeaderValueFinder
from loadbalancer.fault.rules import (
    Direction,
    FaultKind,
    FaultRule,
    FaultScript,
)
from loadbalancer.fault.stream_steps import (
    COMMAND_RULE,
    EndConnection,
    Freeze,
    InjectedFault,
    Pause,
    SendBytes,
    Step,
    merge_writes,
)

# Pause between the pieces of a split whose rule has no duration, so that they arrive separately.
PIECE_PAUSE_S = 0.001
# Paced bytes are forwarded in chunks; each chunk has the bytes of this time at the rule's rate.
PACE_STEP_S = 0.05
# Length of a fault without an end; more than any offset of a script.
UNLIMITED_BYTES = 1 << 41
MAX_CHUNK_BYTES = 1 << 30  # forwarded as one chunk where no fault starts or ends
MAX_MASK = 255  # all bits of a byte


def rule_random(seed: int, rule: int, connection: int) -> Random:
    """Creates the random generator of a rule on a connection.

    Each pair of rule and connection has its own, so that rules do not influence each other's random numbers.

    Args:
        seed: Seed of the script.
        rule: Index of the rule.
        connection: Number of the connection.
    """
    return Random(f"{seed}/{rule}/{connection}")


def refusing_rule(script: FaultScript, connection: int) -> int | None:
    """Returns the index of the rule that refuses a connection; None if no rule does.

    Args:
        script: The script.
        connection: Number of the connection.
    """
    for index, rule in enumerate(script.rules):
        if rule.kind == FaultKind.REFUSE:
            draw = rule_random(script.seed, index, connection).random()
            if rule.connections.matches(connection, draw):
                return index
    return None


class _ArmedRule:
    """A rule on one direction of one connection, with its random offset drawn.

    Attributes:
        rule: The rule.
        index: Index of the rule in the script; `COMMAND_RULE` for the rule of a command.
        random: Generator of the rule's random numbers.
        offset: Byte at which it triggers next.
        remaining: How many more times it triggers.
        finder: Finds the header that the rule waits for; None if it waits for none.
    """

    def __init__(self, rule: FaultRule, index: int, random: Random) -> None:
        self.rule = rule
        self.index = index
        self.random = random
        offset = rule.offset
        self.offset = (
            offset if isinstance(offset, int) else random.randint(offset[0], offset[1])
        )
        self.remaining = rule.times
        self.finder: HeaderValueFinder | None = None
        if rule.header is not None:
            self.finder = HeaderValueFinder(rule.header, rule.occurrence)

    def is_due(self, offset: int) -> bool:
        """Returns whether the rule triggers at this offset."""
        return self.remaining > 0 and self.finder is None and self.offset <= offset

    def rearm(self, offset: int) -> None:
        """Notes that the rule triggers at `offset`, and prepares its next occurrence if there is one."""
        self.remaining -= 1
        if self.remaining > 0 and self.rule.every_bytes is not None:
            self.offset = offset + self.rule.every_bytes
            if self.rule.header is not None:
                self.finder = HeaderValueFinder(self.rule.header, 1)
        else:
            self.remaining = 0

    def next_piece(self) -> int:
        """Returns the number of bytes in the next piece of a split."""
        pieces = self.rule.pieces
        assert pieces is not None
        if isinstance(pieces, int):
            return pieces
        return self.random.randint(pieces[0], pieces[1])

    def corrupt(self, chunk: bytes) -> bytes:
        """Flips bits of each byte. A mask is never 0, as an unchanged byte would be no fault."""
        mask, random = self.rule.mask, self.random
        return bytes(byte ^ (mask or random.randint(1, MAX_MASK)) for byte in chunk)


class _ByteRange(NamedTuple):
    """A range of bytes that is being paced, split or corrupted.

    Attributes:
        armed: The rule that causes it.
        end: Offset after the last byte.
    """

    armed: _ArmedRule
    end: int


class StreamInjector:
    """Applies the rules of a script to one direction of one connection.

    Attributes:
        connection: Number of the connection.
        direction: The direction.
        offset: Offset of the next byte.
        ended: Whether a fault has ended this direction; later bytes are dropped.
        seed: Seed of the script.
        armed_rules: The rules that affect this direction.
    """

    def __init__(
        self, script: FaultScript, connection: int, direction: Direction
    ) -> None:
        self.connection = connection
        self.direction = direction
        self.offset = 0
        self.ended = False
        self.seed = script.seed
        self.armed_rules = [
            _ArmedRule(rule, index, rule_random(script.seed, index, connection))
            for index, rule in enumerate(script.rules)
            if self._is_affected(rule, index)
        ]
        self._pace: _ByteRange | None = None
        self._split: _ByteRange | None = None
        self._corruption: _ByteRange | None = None
        self._scanned_to = 0  # offset up to which headers have been looked for
        self._piece_left = 0  # bytes missing from the current piece of a split
        self._commands = 0  # rules added by commands

    def _is_affected(self, rule: FaultRule, index: int) -> bool:
        """Returns whether a rule affects this direction of this connection."""
        if rule.direction != self.direction or rule.kind == FaultKind.REFUSE:
            return False
        draw = rule_random(self.seed, index, self.connection).random()
        return rule.connections.matches(self.connection, draw)

    # ---- called by the connection ---------------------------------------------------------------------

    def add_rule(self, rule: FaultRule) -> None:
        """Adds the rule of a command; it applies from its offset on, but not before the next byte."""
        self._commands += 1
        random = Random(f"{self.seed}/command{self._commands}/{self.connection}")
        armed = _ArmedRule(rule, COMMAND_RULE, random)
        armed.offset = max(armed.offset, self.offset)
        self.armed_rules.append(armed)

    def clear_rules(self) -> None:
        """Removes all rules; a direction that a fault has ended stays ended."""
        self.armed_rules.clear()
        self._pace = self._split = self._corruption = None

    def start(self) -> list[Step]:
        """Returns the steps that are due before the first byte, even if the source never sends one."""
        return list(self._trigger_due()) if not self.ended else []

    def feed(self, data: bytes) -> list[Step]:
        """Processes the next bytes and returns the steps to perform."""
        steps: list[Step] = []
        start = 0
        while start < len(data) and not self.ended:
            steps += self._trigger_due()
            if self.ended:
                break
            limit = min(len(data), start + self._unbroken_length())
            end = self._scan_headers(data, start, limit)
            chunk = data[start:end]
            self.offset += len(chunk)
            start = end
            steps += self._forward(chunk)
        if not self.ended:
            steps += self._trigger_due()
        return merge_writes(steps)

    # ---- where faults start and end -------------------------------------------------------------------

    def _unbroken_length(self) -> int:
        """Returns the number of next bytes that are treated alike, before a fault starts or ends."""
        marks = [
            armed.offset
            for armed in self.armed_rules
            if armed.remaining and armed.finder is None
        ]
        byte_ranges = (self._pace, self._split, self._corruption)
        marks += [
            byte_range.end for byte_range in byte_ranges if byte_range is not None
        ]
        length = min(
            (mark - self.offset for mark in marks if mark > self.offset),
            default=MAX_CHUNK_BYTES,
        )
        if self._pace is not None:
            length = min(length, max(1, int(_bytes_per_s(self._pace) * PACE_STEP_S)))
        if self._split is not None:
            length = min(length, self._piece_left)
        return length

    def _scan_headers(self, data: bytes, start: int, end: int) -> int:
        """Looks for headers that rules wait for in `data[start:end]`.

        Returns:
            Index of the first byte of a value that a rule waits for; `end` if there is none.
        """
        waiting = [
            armed
            for armed in self.armed_rules
            if armed.remaining and armed.finder is not None
        ]
        index = max(start, start + self._scanned_to - self.offset)
        while waiting and index < end:
            if all(armed.finder is None or armed.finder.is_idle for armed in waiting):
                index = data.find(b"\n", index, end)
                if index < 0:
                    self._scanned_to = self.offset + end - start
                    return end
            offset = self.offset + index - start
            self._scanned_to = offset + 1
            if _find_values(waiting, offset, data[index]):
                return index
            index += 1
        return end

    def _trigger_due(self) -> Iterator[Step]:
        """Triggers the rules that are due at the next byte, and drops faults that have ended."""
        for armed in self.armed_rules:
            if armed.is_due(self.offset) and not self.ended:
                yield from self._trigger(armed)
        self._pace = self._unless_ended(self._pace)
        self._split = self._unless_ended(self._split)
        self._corruption = self._unless_ended(self._corruption)

    def _unless_ended(self, byte_range: _ByteRange | None) -> _ByteRange | None:
        """Returns the range; None if it ends before the next byte."""
        if byte_range is None or byte_range.end <= self.offset:
            return None
        return byte_range

    # ---- faults ---------------------------------------------------------------------------------------

    def _trigger(self, armed: _ArmedRule) -> Iterator[Step]:
        """Triggers a rule at the next byte."""
        rule, kind = armed.rule, armed.rule.kind
        armed.rearm(self.offset)
        yield self._injected(armed)
        if kind == FaultKind.DELAY:
            yield Pause(rule.duration_s())
        elif kind == FaultKind.FREEZE:
            yield Freeze(rule.freeze_s(), rule.both_directions)
        elif kind == FaultKind.PACE:
            self._pace = self._byte_range(armed, rule.length)
        elif kind == FaultKind.SPLIT:
            self._split = self._byte_range(armed, rule.length)
            self._piece_left = armed.next_piece()
        elif kind == FaultKind.CORRUPT:
            self._corruption = self._byte_range(armed, rule.length or 1)
        else:
            self.ended = True
            yield EndConnection(kind)

    def _byte_range(self, armed: _ArmedRule, length: int | None) -> _ByteRange:
        """Returns the range of `length` bytes from the next one on; None for no end."""
        limit = UNLIMITED_BYTES if length is None else length
        return _ByteRange(armed, self.offset + limit)

    def _injected(self, armed: _ArmedRule) -> InjectedFault:
        """Returns the step that logs a fault at the next byte."""
        detail = {
            key: value
            for key, value in _log_detail(armed.rule).items()
            if value is not None
        }
        return InjectedFault(
            self.connection,
            self.direction,
            self.offset,
            armed.rule.kind,
            armed.index,
            detail,
        )

    def _forward(self, chunk: bytes) -> Iterator[Step]:
        """Returns the steps that forward bytes which are treated alike."""
        if not chunk:
            return
        if self._corruption is not None:
            chunk = self._corruption.armed.corrupt(chunk)
        yield SendBytes(chunk)
        if self._pace is not None:
            yield Pause(len(chunk) / _bytes_per_s(self._pace))
        if self._split is not None:
            self._piece_left -= len(chunk)
            if self._piece_left <= 0:
                armed = self._split.armed
                self._piece_left = armed.next_piece()
                yield Pause(armed.rule.duration_s() or PIECE_PAUSE_S)


def _find_values(waiting: list[_ArmedRule], offset: int, byte: int) -> bool:
    """Feeds a byte to the rules that wait for a header; returns whether one of them is due at this byte."""
    found = False
    for armed in waiting:
        if (
            armed.finder is not None
            and offset >= armed.offset
            and armed.finder.feed(byte)
        ):
            armed.finder, armed.offset = None, offset
            found = True
    return found


def _bytes_per_s(pace: _ByteRange) -> float:
    """Returns the rate of a paced range."""
    bytes_per_s = pace.armed.rule.bytes_per_s
    assert bytes_per_s is not None
    return bytes_per_s


def _log_detail(rule: FaultRule) -> dict[str, Any]:
    """Returns the values of a rule that the log adds to a fault, by their published keys."""
    detail: dict[str, Any] = {"name": rule.name} if rule.name else {}
    if rule.kind == FaultKind.DELAY:
        detail["ms"] = rule.duration_ms or 0.0
    elif rule.kind == FaultKind.FREEZE:
        detail["ms"] = rule.duration_ms
        detail["both"] = rule.both_directions
    elif rule.kind == FaultKind.PACE:
        detail["bytes_per_s"] = rule.bytes_per_s
    elif rule.kind == FaultKind.CORRUPT:
        detail["length"] = rule.length or 1
        detail["header"] = rule.header
    return detail
