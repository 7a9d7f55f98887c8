"""One HTTP exchange over h11, for machines where each megabyte counts."""

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

_CONNECT_US = 1_000_000
_DEADLINE_US = 2_000_000
_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class _Exchange:
    """What is asked: `doc` is the JSON document to send, if any."""

    addr: str
    verb: str
    path: str
    doc: Any
    headers: Sequence[tuple[str, str]]

    def written_by(self, connection: h11.Connection) -> bytes:
        """The bytes of the request."""
        body = json.dumps(self.doc).encode() if self.doc is not None else b""
        headers = [
            ("Host", self.addr),
            ("Content-Length", str(len(body))),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
            *self.headers,
        ]
        request = h11.Request(method=self.verb, target=self.path, headers=headers)
        out = connection.send(request) or b""
        if body:
            out += connection.send(h11.Data(data=body)) or b""
        return out + (connection.send(h11.EndOfMessage()) or b"")


async def light_call(  # noqa: PLR0913, PLR0917 (an HTTP exchange has as many parts)
    clock: Clock,
    addr: str,
    verb: str,
    path: str,
    doc: Any = None,  # noqa: ANN401 (any JSON document)
    heads: Sequence[tuple[str, str]] = (),
    us: int = _DEADLINE_US,
) -> tuple[int, Any]:
    """Returns status and document of one exchange over a connection of its own.

    A request that is given up is taken back from the wire, as far as the other machine has not
    received it: the connection is reset.

    Args:
        clock: measures the limits on time.
        addr: host and port of the server.
        verb: the HTTP method.
        path: the path with its query.
        doc: the JSON document to send, if any.
        heads: further headers.
        us: how long the answer may take, in microseconds.

    Raises:
        NotSent: nothing has left.
        DeadlineExceeded: no answer came in time; what was asked may still happen.
        Unreachable: the connection was lost, or its bytes were not HTTP; the outcome is unknown.
    """
    host, port = addr.rsplit(":", 1)
    try:
        opening = asyncio.open_connection(host, int(port))
        reader, writer = await clock.limit(opening, min(us, _CONNECT_US))
    except (OSError, DeadlineExceeded):
        raise NotSent(addr) from None
    set_socket_options(writer.transport)
    answered = False
    try:
        exchange = _Exchange(addr, verb, path, doc, heads)
        answer = await clock.limit(_run(exchange, reader, writer), us)
        answered = True
        return answer
    except (OSError, h11.RemoteProtocolError, ValueError):
        raise Unreachable(addr) from None
    finally:
        if answered:
            writer.close()
        else:
            reset(writer.transport)


async def _run(
    exchange: _Exchange, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> tuple[int, Any]:
    """Writes the request and reads the whole response."""
    connection = h11.Connection(h11.CLIENT)
    writer.write(exchange.written_by(connection))
    parts: list[bytes] = []
    status = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return status, _document(b"".join(parts))
        elif isinstance(event, h11.ConnectionClosed):
            raise Unreachable(exchange.addr)


def _document(raw: bytes) -> Any:  # noqa: ANN401 (any JSON document)
    """The JSON document in `raw`, or None."""
    try:
        return json.loads(raw) if raw else None
    except (ValueError, RecursionError):
        return None
