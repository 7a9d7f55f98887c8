"""Socket options of the connections between processes, and to members."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["UNACKNOWLEDGED_MS", "is_closed", "reset", "tune"]

UNACKNOWLEDGED_MS = 3_000
"""How long bytes may stay unacknowledged by the other machine before the connection is lost."""

_LINGER_NOT = struct.pack("ii", 1, 0)
_CLOSED_STATE = 7


def tune(transport: asyncio.BaseTransport) -> None:
    """Has small messages leave at once, and ends the connection to a machine that is dark."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def reset(transport: asyncio.WriteTransport) -> None:
    """Ends a connection by a reset: bytes that have not reached the other machine never will."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)
    transport.abort()


def is_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the connection was reset, known before what arrived earlier has been read."""
    if transport.is_closing():
        return True
    sock = transport.get_extra_info("socket")
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == _CLOSED_STATE
    except (OSError, IndexError):
        return False
