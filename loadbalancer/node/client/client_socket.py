"""Socket operations that the event loop's transports do not offer, by file descriptor."""

from __future__ import annotations

import fcntl
import os
import select
import socket
import struct
import sys
import termios
from contextlib import suppress

# SO_LINGER on, with 0 s: a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# SO_LINGER off: a close delivers what has been written.
DELIVER_ON_CLOSE = struct.pack("ii", 0, 0)
# Zeros of the size of a C int: FIONREAD returns the number of unread bytes in a copy of them.
UNREAD_COUNT_BUFFER = bytes(4)
# From <asm-generic/socket.h>; its first two values: bytes that the receive queue uses, and their limit.
SO_MEMINFO = 55
SOCKET_MEMORY = struct.Struct("=II")
# The window counts as open while no more than this part of the receive buffer is in use.
OPEN_WINDOW_DIVISOR = 4
SMALLEST_RECEIVE_BUFFER_BYTES = 65_536  # assumed where the system does not tell


def set_socket_option(fileno: int, option: int, value: int | bytes) -> None:
    """Sets a SOL_SOCKET option. A socket that is closed already is ignored."""
    with suppress(OSError), socket.socket(fileno=os.dup(fileno)) as duplicate:
        duplicate.setsockopt(socket.SOL_SOCKET, option, value)


def shutdown_write(fileno: int) -> None:
    """Shuts down the write side of the socket immediately."""
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fileno)
    with suppress(OSError):  # the connection has been reset
        view.shutdown(socket.SHUT_WR)
    view.detach()


def unread_bytes(fileno: int) -> int:
    """Number of received bytes that are pending on the socket."""
    count = fcntl.ioctl(fileno, termios.FIONREAD, UNREAD_COUNT_BUFFER)
    return int.from_bytes(count, sys.byteorder)


def is_window_open(fileno: int, read_bytes: int = 0) -> bool:
    """Whether the other side can send more, because the receive buffer has much room.

    Args:
        fileno: The socket's file descriptor.
        read_bytes: Bytes that were read just now, which count as if they still were in the buffer.
    """
    view = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fileno)
    try:
        memory = view.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, SOCKET_MEMORY.size)
        used_bytes, buffer_bytes = SOCKET_MEMORY.unpack(memory)
    except (OSError, struct.error):  # the system does not tell
        used_bytes, buffer_bytes = unread_bytes(fileno), SMALLEST_RECEIVE_BUFFER_BYTES
    finally:
        view.detach()
    return bool(used_bytes + read_bytes <= buffer_bytes // OPEN_WINDOW_DIVISOR)


def has_unread(fileno: int) -> bool:
    """Whether received bytes are pending on the socket."""
    return unread_bytes(fileno) > 0


def create_hangup_poll(fileno: int) -> select.poll:
    """Creates a poll object that reports whether the client has closed its side or reset the connection."""
    poll = select.poll()
    poll.register(fileno, select.POLLRDHUP)
    return poll
