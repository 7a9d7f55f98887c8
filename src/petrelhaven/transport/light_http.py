"""A light HTTP/1.1 face and call over h11, for machines where each megabyte is paid for."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import h11

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Fault,
    Malformed,
    NotSent,
    TooLarge,
    Unreachable,
)
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.sockets import reset, tune

__all__ = ["LightHttpServer", "light_call"]

_IDLE_S = 60
_CONNECT_US = 1_000_000
_READ_BYTES = 65_536


class _Request:
    __slots__ = ("verb", "path", "body")

    def __init__(self, verb, path, body):
        self.verb, self.path, self.body = verb, path, body

    @property
    def query(self):
        """What the path says after its `?`, by name; of a name said twice, the last."""
        from urllib.parse import parse_qsl

        return dict(parse_qsl(self.path.partition("?")[2], keep_blank_values=True))

    def text(self):
        """The body as text."""
        try:
            return self.body.decode()
        except UnicodeDecodeError:
            raise Malformed("the body is not UTF-8") from None

    def doc(self):
        """The body's JSON document."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            raise Malformed("the body is not JSON") from None


class _Talk(asyncio.Protocol):
    def __init__(self, http_server):
        self._http_server = http_server
        self._h = h11.Connection(h11.SERVER)
        self._tr = self._task = self._tick = None
        self._req, self._body, self._size = None, [], 0

    def connection_made(self, tr):
        self._tr = tr
        self._http_server.talks.add(self)
        self._wind()

    def connection_lost(self, e):
        self._http_server.talks.discard(self)
        self._tick.cancel()

    def _wind(self):
        if self._tick:
            self._tick.cancel()
        self._tick = asyncio.get_running_loop().call_later(_IDLE_S, self._tr.close)

    def data_received(self, data):
        self._h.receive_data(data)
        self._wind()
        self._turn()

    def eof_received(self):
        self._h.receive_data(b"")
        self._turn()
        return self._task is not None

    def _turn(self):
        while True:
            try:
                e = self._h.next_event()
            except h11.RemoteProtocolError:
                if self._h.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    self._say(400, b"{}", close=True)
                self._tr.close()
                return
            if e is h11.NEED_DATA or e is h11.PAUSED:
                return
            t = type(e)
            if t is h11.Request:
                self._req, self._body, self._size = e, [], 0
            elif t is h11.Data:
                self._size += len(e.data)
                if self._size > self._http_server.most:
                    self._say(
                        413,
                        json.dumps(TooLarge("the request is too large").doc()).encode(),
                        close=True,
                    )
                    self._tr.close()
                    return
                self._body.append(bytes(e.data))
            elif t is h11.EndOfMessage:
                q = _Request(
                    self._req.method.decode(),
                    self._req.target.decode("latin-1"),
                    b"".join(self._body),
                )
                self._task = asyncio.ensure_future(self._serve(q))
                return
            else:
                if self._task is None:
                    self._tr.close()
                return

    async def _serve(self, q):
        st, body, head = await self._http_server.answer(q)
        if self._tr.is_closing():
            return
        self._say(st, body, head)
        if self._h.our_state is h11.MUST_CLOSE:
            self._tr.close()
            return
        self._req = self._task = None
        try:
            self._h.start_next_cycle()
        except h11.LocalProtocolError:
            self._tr.close()
            return
        self._turn()

    def _say(self, st, body, head=(), close=False):
        hs = [("Content-Length", str(len(body))), *head]
        if not any(k == "Content-Type" for k, _ in head):
            hs.append(("Content-Type", "application/json"))
        if close:
            hs.append(("Connection", "close"))
        out = self._h.send(h11.Response(status_code=st, headers=hs))
        if self._req is None or self._req.method != b"HEAD":
            out += self._h.send(h11.Data(data=body))
        self._tr.write(out + self._h.send(h11.EndOfMessage()))

    def close(self):
        """Ends the connection."""
        self._tr.close()


class LightHttpServer:
    """Serves handlers by verb and path; one that ends in `/` takes the rest of the path as its argument, and one with
    `{}` for its last segment but one takes that."""

    def __init__(self, host, port, most=512 << 10, log=None):
        self._host, self._port, self.most, self._log = host, port, most, log
        self._on, self._under, self._amid = {}, {}, {}
        self._srv = None
        self.talks = set()
        self.addr = None

    def on(self, verb, path, fn):
        """Serves `verb path` with `fn(request)`, or with `fn(request, part)` where the path leaves a part open."""
        (self._under if path.endswith("/") else self._amid if "/{}/" in path else self._on)[
            verb, path
        ] = fn

    async def answer(self, q):
        """(status, body, headers) of one request."""
        try:
            path = q.path.split("?", 1)[0]
            fn = self._on.get((q.verb, path))
            if fn is not None:
                r = await fn(q)
            else:
                at, _, rest = path.rpartition("/")
                fn = self._under.get((q.verb, at + "/"))
                if fn is None:
                    up, _, mid = at.rpartition("/")
                    fn, rest = self._amid.get((q.verb, f"{up}/{{}}/{rest}")), mid
                if fn is None or not rest:
                    return 404, b'{"fault":"http","note":"Not Found"}', ()
                r = await fn(q, rest)
            if isinstance(r, tuple):
                return r
            return (
                200,
                r if isinstance(r, bytes) else json.dumps(r, separators=(",", ":")).encode(),
                (),
            )
        except Fault as e:
            back = (("Retry-After", str(-(-e.retry_after_us // 1_000_000))),) if e.retry_after_us is not None else ()
            return e.status, json.dumps(e.doc()).encode(), back
        except Exception as e:
            emit(self._log, Events.HANDLER_FAILED, path=q.path[:60], what=repr(e))
            return 500, json.dumps(Fault(type(e).__name__).doc()).encode(), ()

    async def start(self):
        """Listens; returns the address."""
        loop = asyncio.get_running_loop()
        self._srv = await loop.create_server(
            lambda: _Talk(self), self._host, self._port, backlog=512
        )
        self.addr = "%s:%d" % self._srv.sockets[0].getsockname()[:2]
        return self.addr

    async def close(self):
        """Stops serving."""
        if self._srv:
            self._srv.close()
        for t in list(self.talks):
            t.close()


async def light_call(
    clock: Clock,
    addr: str,
    verb: str,
    path: str,
    doc: Any = None,
    heads: Sequence[tuple[str, str]] = (),
    us: int = 2_000_000,
) -> tuple[int, Any]:
    """(status, document) of one HTTP exchange over a connection of its own.

    Unsent if nothing left, Late or Unreached if its outcome is unknown. What is given up is taken back from the wire,
    as far as the other machine has not received it: the connection is reset.
    """
    host, port = addr.rsplit(":", 1)
    try:
        reader, writer = await clock.limit(
            asyncio.open_connection(host, int(port)), min(us, _CONNECT_US)
        )
    except (OSError, DeadlineExceeded):
        raise NotSent(addr) from None
    tune(writer.transport)
    answered = False
    try:
        answer = await clock.limit(_exchange(reader, writer, addr, verb, path, doc, heads), us)
        answered = True
        return answer
    except (OSError, h11.RemoteProtocolError, ValueError):
        raise Unreachable(addr) from None
    finally:
        if answered:
            writer.close()
        else:
            reset(writer.transport)


def _request(
    connection: h11.Connection,
    addr: str,
    verb: str,
    path: str,
    doc: Any,
    heads: Sequence[tuple[str, str]],
) -> bytes:
    """The bytes of one request."""
    body = json.dumps(doc).encode() if doc is not None else b""
    headers = [
        ("Host", addr),
        ("Content-Length", str(len(body))),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
        *heads,
    ]
    out = connection.send(h11.Request(method=verb, target=path, headers=headers))
    if body:
        out += connection.send(h11.Data(data=body))
    return out + connection.send(h11.EndOfMessage())


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    addr: str,
    verb: str,
    path: str,
    doc: Any,
    heads: Sequence[tuple[str, str]],
) -> tuple[int, Any]:
    connection = h11.Connection(h11.CLIENT)
    writer.write(_request(connection, addr, verb, path, doc, heads))
    parts, status = [], 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_BYTES))
        elif type(event) is h11.Response:
            status = event.status_code
        elif type(event) is h11.Data:
            parts.append(bytes(event.data))
        elif type(event) is h11.EndOfMessage:
            raw = b"".join(parts)
            try:
                return status, json.loads(raw) if raw else None
            except (ValueError, RecursionError):
                return status, None
        elif type(event) is h11.ConnectionClosed:
            raise Unreachable(addr)
