"""Socket options of connections between processes and to members."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["UNACKNOWLEDGED_MS", "is_closed", "reset", "set_socket_options"]

UNACKNOWLEDGED_MS = 3_000
"""How long sent bytes may stay unacknowledged before the kernel drops the connection."""

_NO_LINGER = struct.pack("ii", 1, 0)
_CLOSED_STATE = 7  # TCP_CLOSE in Linux's tcp_states.h


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disables Nagle's algorithm and limits how long sent data may stay unacknowledged.

    Does nothing if the connection has been lost already; its reader learns that.
    """
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def reset(transport: asyncio.WriteTransport) -> None:
    """Resets a connection; bytes that the other machine has not received are discarded."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def is_closed(transport: asyncio.BaseTransport) -> bool:
    """Returns whether the connection was closed or reset, even while received data is unread."""
    if transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    try:
        info: bytes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] == _CLOSED_STATE
    except (OSError, IndexError):
        return False
