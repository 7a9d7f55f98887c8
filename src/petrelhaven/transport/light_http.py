"""A light HTTP/1.1 server over h11, for machines where each megabyte counts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any, cast

import h11

from petrelhaven.runtime.errors import Fault, Malformed, TooLarge
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.delivery import Delivery

if TYPE_CHECKING:
    import logbook

__all__ = ["LightHttpServer", "Request"]

_IDLE_S = 60
_BACKLOG = 512
_MAX_BODY_BYTES = 512 << 10
_LOGGED_PATH = 60
_US_PER_S = 1_000_000
_NOT_FOUND = b'{"fault":"http","note":"Not Found"}'

Headers = Sequence[tuple[str, str]]
Response = tuple[int, bytes, Headers]
Handler = Callable[..., Awaitable[Any]]


class Request:
    """One request: its verb, its path with the query, the bytes of its body, how it came."""

    __slots__ = ("verb", "path", "body", "delivery")

    def __init__(self, verb: str, path: str, body: bytes, delivery: Delivery | None = None) -> None:
        """Takes the parts as they were received."""
        self.verb, self.path, self.body = verb, path, body
        self.delivery = delivery or Delivery()

    @property
    def query(self) -> dict[str, str]:
        """The parameters after the path's `?`, by name; of a name given twice, the last."""
        from urllib.parse import parse_qsl

        return dict(parse_qsl(self.path.partition("?")[2], keep_blank_values=True))

    def text(self) -> str:
        """The body as text.

        Raises:
            Malformed: it is not UTF-8.
        """
        try:
            return self.body.decode()
        except UnicodeDecodeError:
            raise Malformed("the body is not UTF-8") from None

    def doc(self) -> Any:  # noqa: ANN401 (any JSON document)
        """The body's JSON document.

        Raises:
            Malformed: it is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            raise Malformed("the body is not JSON") from None


class _Connection(asyncio.Protocol):
    """One client's connection, which serves one request after the other."""

    def __init__(self, server: LightHttpServer) -> None:
        self._server = server
        self._protocol = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport
        self._task: asyncio.Task[None] | None = None
        self._idle: asyncio.TimerHandle | None = None
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._opened_at = asyncio.get_running_loop().time()
        self._first_byte_at: float | None = None
        self._served_any = self._caller_left = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to wait for a request."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Forgets the connection."""
        self._caller_left = True
        self._server.connections.discard(self)
        if self._idle is not None:
            self._idle.cancel()

    def _restart_idle_timer(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = asyncio.get_running_loop().call_later(_IDLE_S, self._transport.close)

    def data_received(self, data: bytes) -> None:
        """Takes bytes that arrived."""
        if self._first_byte_at is None:
            self._first_byte_at = asyncio.get_running_loop().time()
        self._protocol.receive_data(data)
        self._restart_idle_timer()
        self._read_events()

    def eof_received(self) -> bool:
        """The client sends no more; the connection stays open while a request is served."""
        self._caller_left = True
        self._protocol.receive_data(b"")
        self._read_events()
        return self._task is not None

    def _read_events(self) -> None:
        """Handles what has arrived, up to the end of one request."""
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError:
                self._reject()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED or not self._handle(event):
                return

    def _handle(self, event: object) -> bool:
        """Handles one event; returns whether to read another."""
        if isinstance(event, h11.Request):
            self._request, self._body, self._body_size = event, [], 0
            return True
        if isinstance(event, h11.Data):
            return self._take_data(event)
        if isinstance(event, h11.EndOfMessage):
            self._start_serving()
        elif self._task is None:
            self._transport.close()
        return False

    def _take_data(self, event: h11.Data) -> bool:
        self._body_size += len(event.data)
        if self._body_size > self._server.max_body_bytes:
            document = TooLarge("the request is too large").doc()
            self._respond(TooLarge.status, json.dumps(document).encode(), close=True)
            self._transport.close()
            return False
        self._body.append(bytes(event.data))
        return True

    def _reject(self) -> None:
        """Answers bytes that are not HTTP, if an answer can still be sent, and closes."""
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._respond(Malformed.status, b"{}", close=True)
        self._transport.close()

    def _start_serving(self) -> None:
        assert self._request is not None
        request = Request(
            self._request.method.decode(),
            self._request.target.decode("latin-1"),
            b"".join(self._body),
            self._delivery(),
        )
        self._task = asyncio.ensure_future(self._serve(request))

    def _delivery(self) -> Delivery:
        """How the request that has just arrived came here."""
        now = asyncio.get_running_loop().time()
        first = now if self._first_byte_at is None else self._first_byte_at
        opening = 0.0 if self._served_any else first - self._opened_at
        self._first_byte_at, self._served_any = None, True
        return Delivery(
            int(opening * _US_PER_S), int((now - first) * _US_PER_S), lambda: self._caller_left
        )

    async def _serve(self, request: Request) -> None:
        status, body, headers = await self._server.answer(request)
        if self._transport.is_closing():
            return
        self._respond(status, body, headers)
        if self._protocol.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._request = self._task = None
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            self._transport.close()
            return
        self._read_events()

    def _respond(
        self, status: int, body: bytes, headers: Headers = (), close: bool = False
    ) -> None:
        """Writes one response; with `close`, it announces the connection's end."""
        sent = [("Content-Length", str(len(body))), *headers]
        if not any(name == "Content-Type" for name, _ in headers):
            sent.append(("Content-Type", "application/json"))
        if close:
            sent.append(("Connection", "close"))
        out = self._protocol.send(h11.Response(status_code=status, headers=sent)) or b""
        if self._request is None or self._request.method != b"HEAD":
            out += self._protocol.send(h11.Data(data=body)) or b""
        self._transport.write(out + (self._protocol.send(h11.EndOfMessage()) or b""))

    def close(self) -> None:
        """Ends the connection."""
        self._transport.close()


class LightHttpServer:
    """Serves handlers by verb and path.

    Attributes:
        max_body_bytes: the largest body of a request that is taken.
        connections: the clients' open connections.
        addr: where it listens, once it does.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_body_bytes: int = _MAX_BODY_BYTES,
        log: logbook.Logger | None = None,
    ) -> None:
        """Will listen at `host` and `port` (0 picks one); handlers' errors go to `log`."""
        self._host, self._port, self._log = host, port, log
        self.max_body_bytes = max_body_bytes
        self._exact: dict[tuple[str, str], Handler] = {}
        self._by_last_segment: dict[tuple[str, str], Handler] = {}
        self._by_inner_segment: dict[tuple[str, str], Handler] = {}
        self._listener: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.addr: str | None = None

    def on(self, verb: str, path: str, handler: Handler) -> None:
        """Serves `verb path` with `handler(request)`.

        A path that ends in `/` leaves its last segment open, one with `/{}/` its last but one; the
        handler is then called with that segment as a second argument. It returns a JSON document,
        the bytes of one, or a `Response`, and may raise any Fault.
        """
        if path.endswith("/"):
            routes = self._by_last_segment
        elif "/{}/" in path:
            routes = self._by_inner_segment
        else:
            routes = self._exact
        routes[verb, path] = handler

    def _route(self, request: Request) -> tuple[Handler, tuple[str, ...]] | None:
        """The handler of a request and the segment of its path that was left open, if any."""
        path = request.path.split("?", 1)[0]
        handler = self._exact.get((request.verb, path))
        if handler is not None:
            return handler, ()
        parent, _, last = path.rpartition("/")
        segment = last
        handler = self._by_last_segment.get((request.verb, parent + "/"))
        if handler is None:
            base, _, segment = parent.rpartition("/")
            handler = self._by_inner_segment.get((request.verb, f"{base}/{{}}/{last}"))
        if handler is None or not segment:
            return None
        return handler, (segment,)

    async def answer(self, request: Request) -> Response:
        """The response to one request: status, body, headers."""
        try:
            route = self._route(request)
            if route is None:
                return 404, _NOT_FOUND, ()
            handler, segments = route
            result = await handler(request, *segments)
            if isinstance(result, tuple):
                return result
            if not isinstance(result, bytes):
                result = json.dumps(result, separators=(",", ":")).encode()
            return 200, result, ()
        except Fault as fault:
            return fault.status, json.dumps(fault.doc()).encode(), _retry_after(fault)
        except Exception as error:
            emit(
                self._log,
                Events.HANDLER_FAILED,
                path=request.path[:_LOGGED_PATH],
                what=repr(error),
            )
            return 500, json.dumps(Fault(type(error).__name__).doc()).encode(), ()

    async def start(self) -> str:
        """Listens; returns the address.

        Raises:
            OSError: the address can't be listened at.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(self), self._host, self._port, backlog=_BACKLOG
        )
        self.addr = "{}:{}".format(*self._listener.sockets[0].getsockname()[:2])
        return self.addr

    async def close(self) -> None:
        """Stops listening and ends every connection."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close()


def _retry_after(fault: Fault) -> Headers:
    seconds = fault.retry_after_seconds()
    return () if seconds is None else (("Retry-After", str(seconds)),)
