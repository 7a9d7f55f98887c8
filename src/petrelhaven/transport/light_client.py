"""A small HTTP client based on h11, for machines with little memory."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import h11

from petrelhaven.runtime.errors import DeadlineExceeded, NotSent, Unreachable
from petrelhaven.transport.sockets import reset, set_socket_options

if TYPE_CHECKING:
    from petrelhaven.runtime.clock import Clock

__all__ = ["light_call"]

_CONNECT_TIMEOUT_US = 1_000_000
_DEFAULT_TIMEOUT_US = 2_000_000
_READ_CHUNK_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class _OutgoingRequest:
    """The request to send; `doc` is its JSON document, if any."""

    addr: str
    verb: str
    path: str
    doc: Any
    headers: Sequence[tuple[str, str]]

    def encode(self, connection: h11.Connection) -> bytes:
        """Returns the bytes of the request as `connection` encodes them."""
        body = json.dumps(self.doc).encode() if self.doc is not None else b""
        headers = [
            ("Host", self.addr),
            ("Content-Length", str(len(body))),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
            *self.headers,
        ]
        request = h11.Request(method=self.verb, target=self.path, headers=headers)
        encoded = connection.send(request) or b""
        if body:
            encoded += connection.send(h11.Data(data=body)) or b""
        return encoded + (connection.send(h11.EndOfMessage()) or b"")


async def light_call(  # noqa: PLR0913, PLR0917 (an HTTP request has this many parts)
    clock: Clock,
    addr: str,
    verb: str,
    path: str,
    doc: Any = None,  # noqa: ANN401 (any JSON document)
    heads: Sequence[tuple[str, str]] = (),
    us: int = _DEFAULT_TIMEOUT_US,
) -> tuple[int, Any]:
    """Sends one request over a new connection; returns the status and the document of the response.

    If the request is abandoned, the connection is reset, so that bytes that the other machine has
    not received are discarded.

    Args:
        clock: the clock for the timeouts.
        addr: host and port of the server.
        verb: the HTTP method.
        path: the path with its query.
        doc: the JSON document to send, if any.
        heads: additional headers.
        us: the limit for the response, in microseconds.

    Raises:
        NotSent: the connection could not be opened.
        DeadlineExceeded: no response arrived in time; the request may still take effect.
        Unreachable: the connection was lost or the response was invalid; the outcome is unknown.
    """
    host, port = addr.rsplit(":", 1)
    try:
        opening = asyncio.open_connection(host, int(port))
        reader, writer = await clock.wait_for(opening, min(us, _CONNECT_TIMEOUT_US))
    except (OSError, DeadlineExceeded):
        raise NotSent(addr) from None
    set_socket_options(writer.transport)
    answered = False
    try:
        request = _OutgoingRequest(addr, verb, path, doc, heads)
        answer = await clock.wait_for(_exchange(request, reader, writer), us)
        answered = True
        return answer
    except (OSError, h11.RemoteProtocolError, ValueError):
        raise Unreachable(addr) from None
    finally:
        if answered:
            writer.close()
        else:
            reset(writer.transport)


async def _exchange(
    request: _OutgoingRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> tuple[int, Any]:
    """Writes the request and reads the complete response."""
    connection = h11.Connection(h11.CLIENT)
    writer.write(request.encode(connection))
    parts: list[bytes] = []
    status = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return status, _parse_document(b"".join(parts))
        elif isinstance(event, h11.ConnectionClosed):
            raise Unreachable(request.addr)


def _parse_document(raw: bytes) -> Any:  # noqa: ANN401 (any JSON document)
    """Returns the JSON document in `raw`, or None if it is empty or invalid."""
    try:
        return json.loads(raw) if raw else None
    except (ValueError, RecursionError):
        return None
