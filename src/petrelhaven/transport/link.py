"""Links between the system's own processes: calls over held TCP connections, tellings over UDP."""

import asyncio
import itertools
import struct

from petrelhaven.runtime.errors import (
    Fault,
    Late,
    Malformed,
    Unreached,
    Unsent,
    Unspoken,
    Unversed,
    rebuild,
)
from petrelhaven.runtime.events import emit
from petrelhaven.transport.messages import CALL, FAULT, RESULT, TELL, pack, unpack

__all__ = ["Channel", "Held", "Link"]

_MAGIC = 0x7E7A
_MOST = 4 << 20


class Channel:
    """One held connection. Either side may call; `gone` is done once it is lost."""

    def __init__(self, link, send, close):
        self._link = link
        self._send = send
        self._shut = close
        self._nums = itertools.count(1)
        self._wait = {}
        self.gone = asyncio.get_running_loop().create_future()
        self.note = {}

    async def call(self, kind, body, us):
        """Asks the other side and returns its result; Unsent if nothing left, Unreached or Late otherwise."""
        if self.gone.done():
            raise Unsent(kind)
        n = next(self._nums)
        f = self._wait[n] = asyncio.get_running_loop().create_future()
        try:
            self._send(pack(kind, CALL, n, body))
            return await self._link.clock.limit(f, us)
        finally:
            self._wait.pop(n, None)

    def feed(self, raw):
        """Takes one message that arrived."""
        k, fl, n, body = unpack(raw)
        if fl == CALL:
            self._link.nest.spawn(self._serve(k, n, body))
        elif fl in (RESULT, FAULT):
            f = self._wait.get(n)
            if f is not None and not f.done():
                f.set_result(body) if fl == RESULT else f.set_exception(rebuild(body["doc"]))
        else:
            raise Malformed("flow")

    async def _serve(self, kind, n, body):
        try:
            h = self._link.handlers.get(kind)
            if h is None:
                raise Unspoken(kind)
            res = await h(self, body)
            raw = pack(kind, RESULT, n, res if res is not None else {"ok": True})
        except Fault as e:
            raw = pack(kind, FAULT, n, {"doc": e.doc()})
        except Exception as e:
            emit(self._link.log, 112, kind=kind, what=repr(e))
            odd = isinstance(e, (TypeError, LookupError, ValueError, AttributeError))
            raw = pack(
                kind,
                FAULT,
                n,
                {"doc": (Malformed if odd else Fault)(f"{kind}: {type(e).__name__}").doc()},
            )
        if not self.gone.done():
            self._send(raw)

    def lose(self):
        """Marks the connection lost and fails what waits on it."""
        if not self.gone.done():
            self.gone.set_result(None)
        for f in list(self._wait.values()):
            if not f.done():
                f.set_exception(Unreached("connection lost"))

    def close(self):
        """Closes the connection."""
        self._shut()
        self.lose()


async def _held_call(c, kind, body, us):
    """A call over a shared connection; one that stays mute twice is closed and opened anew."""
    try:
        r = await c.call(kind, body, us)
        c.note["mute"] = 0
        return r
    except Late:
        c.note["mute"] = c.note.get("mute", 0) + 1
        if c.note["mute"] >= 2:
            c.close()
        raise


class _Udp(asyncio.DatagramProtocol):
    def __init__(self, link):
        self._link = link

    def datagram_received(self, data, addr):
        self._link.heard(data)


class Held:
    """Calls by address over one shared connection each; `open` is the link's own."""

    def __init__(self):
        self._out = {}
        self._opening = {}

    async def call(self, addr, kind, body, us):
        """Calls over the shared connection to `addr`."""
        c = self._out.get(addr)
        if c is None or c.gone.done():
            t = self._opening.get(addr)
            if t is None:
                t = self._opening[addr] = self.nest.spawn(self.open(addr))
                if t is None:
                    raise Unsent(addr)
                t.add_done_callback(lambda _: self._opening.pop(addr, None))
            try:
                c = await asyncio.shield(t)
            except asyncio.CancelledError:
                if t.cancelled() and not asyncio.current_task().cancelling():
                    raise Unsent(addr) from None
                raise
            self._out[addr] = c
        return await _held_call(c, kind, body, us)


class Link(Held):
    """All links of one node over real sockets."""

    def __init__(self, clock, nest, log=None, host="127.0.0.1", port=0):
        super().__init__()
        self.clock, self.nest, self.log = clock, nest, log
        self.handlers = {}
        self.garbage = 0
        self._host, self._port = host, port
        self._srv = self._udp = None
        self.addr = None

    def on(self, kind, fn):
        """Answers calls (or takes tellings) of `kind` with `fn`."""
        self.handlers[kind] = fn

    async def start(self):
        """Listens on TCP and UDP at one port; returns the address."""
        loop = asyncio.get_running_loop()
        for i in range(20):
            self._srv = await asyncio.start_server(self._accept, self._host, self._port)
            p = self._srv.sockets[0].getsockname()[1]
            try:
                self._udp, _ = await loop.create_datagram_endpoint(
                    lambda: _Udp(self), local_addr=(self._host, p)
                )
                break
            except OSError:
                self._srv.close()
                if self._port or i == 19:
                    raise
        self.addr = f"{self._host}:{p}"
        return self.addr

    def tell(self, addr, kind, body):
        """Sends one telling over UDP; it may be lost."""
        if self._udp is None or self._udp.is_closing():
            return
        h, p = addr.rsplit(":", 1)
        self._udp.sendto(pack(kind, TELL, 0, body), (h, int(p)))

    def heard(self, raw):
        """Takes one telling that arrived."""
        try:
            k, fl, _, body = unpack(raw)
            h = self.handlers.get(k)
            if h is None or fl != TELL:
                raise Unspoken(k)
            h(body)
        except Fault as e:
            self.garbage += 1
            emit(self.log, 111 if isinstance(e, Unversed) else 110, fault=e.code, note=e.note)
        except (TypeError, LookupError, ValueError, AttributeError) as e:
            self.garbage += 1
            emit(self.log, 110, fault="malformed", note=f"{k}: {type(e).__name__}")

    async def open(self, addr):
        """A new held connection to `addr`."""
        h, p = addr.rsplit(":", 1)
        try:
            r, w = await self.clock.limit(asyncio.open_connection(h, int(p)), 1_000_000)
        except (OSError, Late):
            raise Unsent(addr) from None
        return self._wrap(r, w)

    def _wrap(self, r, w):
        c = Channel(self, lambda b: w.write(struct.pack(">HI", _MAGIC, len(b)) + b), w.close)
        self.nest.spawn(self._pump(c, r, w))
        return c

    async def _accept(self, r, w):
        self._wrap(r, w)

    async def _pump(self, c, r, w):
        try:
            while True:
                m, n = struct.unpack(">HI", await r.readexactly(6))
                if m != _MAGIC or n > _MOST:
                    raise Malformed("prefix")
                raw = await r.readexactly(n)
                try:
                    c.feed(raw)
                except (Unversed, Unspoken) as e:
                    self.garbage += 1
                    emit(self.log, 111, note=e.note)
                    if e.more.get("flow") == CALL:
                        w.write(self._decline(e))
        except (asyncio.IncompleteReadError, OSError):
            pass
        except Malformed as e:
            self.garbage += 1
            emit(self.log, 110, note=e.note)
        finally:
            c.lose()
            w.close()

    def _decline(self, e):
        b = pack(e.more.get("kind", ""), FAULT, e.more.get("id", 0), {"doc": e.doc()})
        return struct.pack(">HI", _MAGIC, len(b)) + b

    async def close(self):
        """Closes every socket."""
        if self._srv:
            self._srv.close()
        if self._udp:
            self._udp.close()
        for c in self._out.values():
            c.close()
