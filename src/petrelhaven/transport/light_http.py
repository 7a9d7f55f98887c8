"""A small HTTP/1.1 server based on h11, for machines with little memory."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING, Any, cast

import h11

from petrelhaven.runtime.errors import DeadlineExceeded, Fault, Malformed, TooLarge
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.delivery import Delivery

if TYPE_CHECKING:
    import logbook

__all__ = ["LightHttpServer", "Request"]

_IDLE_TIMEOUT_S = 60
_LISTEN_BACKLOG = 512
_DEFAULT_MAX_BODY_BYTES = 512 << 10
_MAX_LOGGED_PATH_CHARS = 60
_US_PER_S = 1_000_000
_NOT_FOUND_BODY = b'{"fault":"http","note":"Not Found"}'

Headers = Sequence[tuple[str, str]]
Response = tuple[int, bytes, Headers]
Handler = Callable[..., Awaitable[Any]]


class Request:
    """One request.

    Attributes:
        verb: the HTTP method.
        path: the path with its query.
        body: the bytes of the body.
        delivery: how the request was delivered.
    """

    __slots__ = ("verb", "path", "body", "delivery")

    def __init__(self, verb: str, path: str, body: bytes, delivery: Delivery | None = None) -> None:
        """Stores the parts as they were received."""
        self.verb, self.path, self.body = verb, path, body
        self.delivery = delivery or Delivery()

    @property
    def query(self) -> dict[str, str]:
        """The query parameters by name; the last value of a repeated name."""
        from urllib.parse import parse_qsl

        return dict(parse_qsl(self.path.partition("?")[2], keep_blank_values=True))

    def text(self) -> str:
        """Returns the body as text.

        Raises:
            Malformed: the body is not UTF-8.
        """
        try:
            return self.body.decode()
        except UnicodeDecodeError:
            raise Malformed("the body is not UTF-8") from None

    def doc(self) -> Any:  # noqa: ANN401 (any JSON document)
        """Returns the JSON document in the body.

        Raises:
            Malformed: the body is not JSON.
        """
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            raise Malformed("the body is not JSON") from None


class _Connection(asyncio.Protocol):
    """The connection of one client; serves its requests one after the other."""

    def __init__(self, server: LightHttpServer) -> None:
        self._server = server
        self._protocol = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport
        self._serving_task: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._opened_at = asyncio.get_running_loop().time()
        self._first_byte_at: float | None = None
        self._has_served_request = self._has_caller_left = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, error: Exception | None) -> None:
        """Removes the connection from the server."""
        self._has_caller_left = True
        self._server.connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = asyncio.get_running_loop().call_later(
            _IDLE_TIMEOUT_S, self._transport.close
        )

    def data_received(self, data: bytes) -> None:
        """Processes received bytes."""
        if self._first_byte_at is None:
            self._first_byte_at = asyncio.get_running_loop().time()
        self._protocol.receive_data(data)
        self._restart_idle_timer()
        self._read_events()

    def eof_received(self) -> bool:
        """The client half-closed the connection; it stays open while a request is served."""
        self._has_caller_left = True
        self._protocol.receive_data(b"")
        self._read_events()
        return self._serving_task is not None

    def _read_events(self) -> None:
        """Handles received events up to the end of one request."""
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError:
                self._reject()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED or not self._handle(event):
                return

    def _handle(self, event: object) -> bool:
        """Handles one event; returns whether to read the next one."""
        if isinstance(event, h11.Request):
            self._request, self._body, self._body_size = event, [], 0
            return True
        if isinstance(event, h11.Data):
            return self._append_body(event)
        if isinstance(event, h11.EndOfMessage):
            self._start_serving()
        elif self._serving_task is None:
            self._transport.close()
        return False

    def _append_body(self, event: h11.Data) -> bool:
        self._body_size += len(event.data)
        if self._body_size > self._server.max_body_bytes:
            document = TooLarge("the request is too large").doc()
            self._respond(TooLarge.status, json.dumps(document).encode(), close=True)
            self._transport.close()
            return False
        self._body.append(bytes(event.data))
        return True

    def _reject(self) -> None:
        """Closes the connection after invalid HTTP; sends an error response if still possible."""
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._respond(Malformed.status, b"{}", close=True)
        self._transport.close()

    def _start_serving(self) -> None:
        assert self._request is not None
        request = Request(
            self._request.method.decode(),
            self._request.target.decode("latin-1"),
            b"".join(self._body),
            self._measure_delivery(),
        )
        self._serving_task = asyncio.ensure_future(self._serve(request))

    def _measure_delivery(self) -> Delivery:
        """Returns how the request that was just received was delivered."""
        now = asyncio.get_running_loop().time()
        first = now if self._first_byte_at is None else self._first_byte_at
        opening = 0.0 if self._has_served_request else first - self._opened_at
        self._first_byte_at, self._has_served_request = None, True
        return Delivery(
            int(opening * _US_PER_S), int((now - first) * _US_PER_S), lambda: self._has_caller_left
        )

    async def _serve(self, request: Request) -> None:
        status, body, headers = await self._server.answer(request)
        if self._transport.is_closing():
            return
        self._respond(status, body, headers)
        if self._protocol.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._request = self._serving_task = None
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            self._transport.close()
            return
        self._read_events()

    def _respond(
        self, status: int, body: bytes, headers: Headers = (), close: bool = False
    ) -> None:
        """Writes one response; with `close`, adds the header `Connection: close`."""
        response_headers = [("Content-Length", str(len(body))), *headers]
        if not any(name == "Content-Type" for name, _ in headers):
            response_headers.append(("Content-Type", "application/json"))
        if close:
            response_headers.append(("Connection", "close"))
        encoded = (
            self._protocol.send(h11.Response(status_code=status, headers=response_headers)) or b""
        )
        if self._request is None or self._request.method != b"HEAD":
            encoded += self._protocol.send(h11.Data(data=body)) or b""
        self._transport.write(encoded + (self._protocol.send(h11.EndOfMessage()) or b""))

    def close(self) -> None:
        """Closes the connection; answers a request in progress that it may still take effect."""
        if self._serving_task is not None and not self._transport.is_closing():
            fault = DeadlineExceeded("this node stops; the request may still take effect")
            document = json.dumps(fault.doc()).encode()
            self._respond(fault.status, document, _retry_after(fault), close=True)
        self._transport.close()


class LightHttpServer:
    """Serves requests with handlers that are registered by verb and path.

    Attributes:
        max_body_bytes: the maximum size of a request body.
        connections: the open connections of clients.
        addr: host and port of the listener; None before `start`.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
        log: logbook.Logger | None = None,
    ) -> None:
        """Configures the server for `host` and `port` (0 picks a free one).

        Unexpected errors of handlers are written to `log`.
        """
        self._host, self._port, self._log = host, port, log
        self.max_body_bytes = max_body_bytes
        self._exact: dict[tuple[str, str], Handler] = {}
        self._by_last_segment: dict[tuple[str, str], Handler] = {}
        self._by_inner_segment: dict[tuple[str, str], Handler] = {}
        self._listener: asyncio.Server | None = None
        self.connections: set[_Connection] = set()
        self.addr: str | None = None

    def on(self, verb: str, path: str, handler: Handler) -> None:
        """Registers `handler` for `verb path`.

        A path that ends in `/` has a variable last segment; a path with `/{}/` has a variable
        segment before the last. The handler is called with the request and, if there is one, the
        variable segment. It returns a JSON document, the bytes of one, or a `Response`, and may
        raise any Fault.
        """
        if path.endswith("/"):
            routes = self._by_last_segment
        elif "/{}/" in path:
            routes = self._by_inner_segment
        else:
            routes = self._exact
        routes[verb, path] = handler

    def _route(self, request: Request) -> tuple[Handler, tuple[str, ...]] | None:
        """Returns the handler for a request and the variable segment of its path, if any."""
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
        """Returns the response to one request: status, body, headers."""
        try:
            route = self._route(request)
            if route is None:
                return 404, _NOT_FOUND_BODY, ()
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
                path=request.path[:_MAX_LOGGED_PATH_CHARS],
                what=repr(error),
            )
            return 500, json.dumps(Fault(type(error).__name__).doc()).encode(), ()

    async def start(self) -> str:
        """Starts listening and returns the address.

        Raises:
            OSError: the address is not available.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(self), self._host, self._port, backlog=_LISTEN_BACKLOG
        )
        self.addr = "{}:{}".format(*self._listener.sockets[0].getsockname()[:2])
        return self.addr

    async def close(self) -> None:
        """Stops listening, answers requests in progress and closes all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.close()


def _retry_after(fault: Fault) -> Headers:
    seconds = fault.retry_after_seconds()
    return () if seconds is None else (("Retry-After", str(seconds)),)
