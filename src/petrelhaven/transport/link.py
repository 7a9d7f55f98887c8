"""Links between the system's own processes: calls over held TCP connections, tellings over UDP."""

import asyncio
import struct
from collections.abc import Mapping
from typing import Any

import logbook

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Fault,
    Malformed,
    NotSent,
    UnknownKind,
    VersionMismatch,
)
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.channel import Channel, Handler
from petrelhaven.transport.contracts import Repeat, repeat_of
from petrelhaven.transport.messages import CALL, FAULT, TELL, pack, unpack
from petrelhaven.transport.sockets import is_closed, reset, tune

__all__ = ["Channel", "SharedConnections", "Link"]

_MAGIC = 0x7E7A
_PREFIX = struct.Struct(">HI")
_LARGEST_MESSAGE = 4 << 20
_OPEN_US = 1_000_000
_ATTEMPT_US = 250_000
_MUTE_CALLS = 2
_PORT_TRIES = 20
_BAD_BODY = (TypeError, LookupError, ValueError, AttributeError)


def _framed(raw: bytes) -> bytes:
    return _PREFIX.pack(_MAGIC, len(raw)) + raw


def _host_and_port(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def _shared_call(
    channel: Channel, kind: str, body: Mapping[str, Any], us: int
) -> dict[str, Any]:
    """A call over a shared connection; one that stays mute twice is closed and opened anew."""
    try:
        result = await channel.call(kind, body, us)
    except DeadlineExceeded as late:
        channel.mute = 0 if late.answered else channel.mute + 1
        if channel.mute >= _MUTE_CALLS:
            channel.close()
        raise
    except Fault as fault:
        if fault.answered:
            channel.mute = 0
        raise
    channel.mute = 0
    return result


class _Datagrams(asyncio.DatagramProtocol):
    """Hands arriving tellings to the link."""

    def __init__(self, link: "Link") -> None:
        self._link = link

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """One telling."""
        self._link.heard(data)


class SharedConnections:
    """Calls by address over shared connections; `open` is the link's own.

    Calls that may not be repeated have a connection to themselves: giving one up resets it, and
    that must not cost the answers of all others.
    """

    tasks: BackgroundTasks

    def __init__(self) -> None:
        """No connections yet."""
        self._held: dict[tuple[str, bool], Channel] = {}
        self._opening: dict[tuple[str, bool], asyncio.Task] = {}

    async def open(self, address: str) -> Channel:
        """A new held connection to `address`; Unsent if there is none."""
        raise NotImplementedError

    async def call(
        self, address: str, kind: str, body: Mapping[str, Any], us: int
    ) -> dict[str, Any]:
        """Calls over the shared connection to `address` that fits the call."""
        place = address, repeat_of(kind, body) is Repeat.NEVER
        channel = self._held.get(place)
        if channel is None or channel.gone.done():
            channel = await self._opened(place)
        return await _shared_call(channel, kind, body, us)

    async def _opened(self, place: tuple[str, bool]) -> Channel:
        """The connection that is being opened for `place`, maybe by another caller; else Unsent."""
        task = self._opening.get(place)
        if task is None:
            task = self.tasks.spawn(self._open_shared(place))
            if task is None:
                raise NotSent(place[0])
            self._opening[place] = task
            task.add_done_callback(lambda _: self._forget_opening(place, task))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if task.cancelled() and not asyncio.current_task().cancelling():
                raise NotSent(place[0]) from None
            raise

    def _forget_opening(self, place: tuple[str, bool], task: asyncio.Task[Channel]) -> None:
        if self._opening.get(place) is task:
            del self._opening[place]

    def dial_anew(self, address: str) -> None:
        """Gives up connections to `address` that are being opened: it has just been heard."""
        for place in [place for place in self._opening if place[0] == address]:
            self._opening.pop(place).cancel()

    async def _open_shared(self, place: tuple[str, bool]) -> Channel:
        channel = self._held[place] = await self.open(place[0])
        return channel


class Link(SharedConnections):
    """All links of one node over real sockets."""

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        log: logbook.Logger | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        """A link that is to listen at `host` and `port`; port 0 takes any."""
        super().__init__()
        self.clock, self.tasks, self.log = clock, tasks, log
        self.handlers: dict[str, Handler] = {}
        self.garbage = 0
        self._host, self._port = host, port
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self.addr: str | None = None

    def on(self, kind: str, handler: Handler) -> None:
        """Answers calls (or takes tellings) of `kind` with `handler`."""
        self.handlers[kind] = handler

    async def start(self) -> str:
        """Listens on TCP and UDP at one port; returns the address."""
        loop = asyncio.get_running_loop()
        for attempt in range(_PORT_TRIES):
            self._server = await asyncio.start_server(self._accept, self._host, self._port)
            port = self._server.sockets[0].getsockname()[1]
            try:
                self._datagrams, _ = await loop.create_datagram_endpoint(
                    lambda: _Datagrams(self), local_addr=(self._host, port)
                )
                break
            except OSError:
                self._server.close()
                if self._port or attempt == _PORT_TRIES - 1:
                    raise
        self.addr = f"{self._host}:{port}"
        return self.addr

    def tell(self, address: str, kind: str, body: Mapping[str, Any]) -> None:
        """Sends one telling over UDP; it may be lost."""
        if self._datagrams is None or self._datagrams.is_closing():
            return
        self._datagrams.sendto(pack(kind, TELL, 0, body), _host_and_port(address))

    def heard(self, raw: bytes) -> None:
        """Takes one telling that arrived."""
        kind = ""
        try:
            message = unpack(raw)
            kind = message.kind
            handler = self.handlers.get(kind)
            if handler is None or message.flow != TELL:
                raise UnknownKind(kind)
            handler(message.body)
        except Fault as fault:
            self.garbage += 1
            unversed = isinstance(fault, VersionMismatch)
            event = Events.VERSION_MISMATCH if unversed else Events.MALFORMED_MESSAGE
            emit(self.log, event, fault=fault.code, note=fault.note)
        except _BAD_BODY as error:
            self.garbage += 1
            note = f"{kind}: {type(error).__name__}"
            emit(self.log, Events.MALFORMED_MESSAGE, fault=Malformed.code, note=note)

    async def open(self, address: str) -> Channel:
        """A new held connection to `address`; Unsent if there is none.

        An opening packet that was lost is sent again only after a second and more, so each attempt
        is short and begins anew.
        """
        host, port = _host_and_port(address)
        end = self.clock.now() + _OPEN_US
        while True:
            try:
                reader, writer = await self.clock.limit(
                    asyncio.open_connection(host, port), _ATTEMPT_US
                )
            except OSError:
                raise NotSent(address) from None
            except DeadlineExceeded:
                if self.clock.now() >= end:
                    raise NotSent(address) from None
            else:
                return self._wrap(reader, writer)

    def _wrap(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Channel:
        tune(writer.transport)
        channel = Channel(
            self,
            lambda raw: writer.write(_framed(raw)),
            writer.close,
            lambda: reset(writer.transport),
            lambda: is_closed(writer.transport),
        )
        self.tasks.spawn(self._pump(channel, reader, writer))
        return channel

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._wrap(reader, writer)

    async def _pump(
        self, channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                magic, size = _PREFIX.unpack(await reader.readexactly(_PREFIX.size))
                if magic != _MAGIC or size > _LARGEST_MESSAGE:
                    raise Malformed("prefix")
                self._take(channel, await reader.readexactly(size), writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        except Malformed as fault:
            self.garbage += 1
            emit(self.log, Events.MALFORMED_MESSAGE, note=fault.note)
        finally:
            channel.lose()
            writer.close()

    def _take(self, channel: Channel, raw: bytes, writer: asyncio.StreamWriter) -> None:
        """Hands on one message; a call of another version is declined."""
        try:
            channel.feed(raw)
        except (VersionMismatch, UnknownKind) as fault:
            self.garbage += 1
            emit(self.log, Events.VERSION_MISMATCH, note=fault.note)
            if fault.details.get("flow") == CALL:
                kind, number = fault.details.get("kind", ""), fault.details.get("id", 0)
                writer.write(_framed(pack(kind, FAULT, number, {"doc": fault.doc()})))

    async def close(self) -> None:
        """Closes every socket."""
        if self._server:
            self._server.close()
        if self._datagrams:
            self._datagrams.close()
        for channel in self._held.values():
            channel.close()
