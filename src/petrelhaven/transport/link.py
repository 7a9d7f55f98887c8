"""Links between the system's own processes: calls over TCP connections, datagrams over UDP."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

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
from petrelhaven.transport.messages import CALL, DATAGRAM, FAULT, pack, unpack
from petrelhaven.transport.sockets import is_closed, reset, set_socket_options

if TYPE_CHECKING:
    import logbook

__all__ = ["Channel", "SharedConnections", "Link"]

_MAGIC = 0x7E7A
_PREFIX = struct.Struct(">HI")
_LARGEST_MESSAGE = 4 << 20
_OPEN_US = 1_000_000
_ATTEMPT_US = 250_000
_MAX_UNANSWERED = 2
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
    """A call over a shared connection, which is closed after two calls without an answer."""
    try:
        result = await channel.call(kind, body, us)
    except DeadlineExceeded as late:
        channel.unanswered = 0 if late.answered else channel.unanswered + 1
        if channel.unanswered >= _MAX_UNANSWERED:
            channel.close()
        raise
    except Fault as fault:
        if fault.answered:
            channel.unanswered = 0
        raise
    channel.unanswered = 0
    return result


class _Datagrams(asyncio.DatagramProtocol):
    """Hands arriving datagrams to the link."""

    def __init__(self, link: Link) -> None:
        self._link = link

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Takes one datagram."""
        self._link.receive_datagram(data)


class _Destination(NamedTuple):
    """What a shared connection is for: an address, and calls that may or may not be repeated."""

    address: str
    sent_once: bool


class SharedConnections:
    """Calls by address over shared connections; `open` is the link's own.

    Calls that may not be repeated have a connection to themselves: giving one up resets it, and
    that must not cost the answers of all others.
    """

    tasks: BackgroundTasks
    handlers: dict[str, Handler]

    def __init__(self) -> None:
        """No connections yet."""
        self._connections: dict[_Destination, Channel] = {}
        self._opening: dict[_Destination, asyncio.Task[Channel]] = {}

    def on(self, kind: str, handler: Handler) -> None:
        """Answers calls (or takes datagrams) of `kind` with `handler`."""
        self.handlers[kind] = handler

    async def open(self, address: str) -> Channel:
        """A new connection to `address`.

        Raises:
            NotSent: there is none.
        """
        raise NotImplementedError

    async def call(
        self, address: str, kind: str, body: Mapping[str, Any], us: int
    ) -> dict[str, Any]:
        """Calls over the shared connection to `address` that fits the call.

        Args:
            address: host and port of the other node's link.
            kind: one of `MessageKind`.
            body: the fields of the request.
            us: how long the answer may take once the connection is open, in microseconds.

        Raises:
            NotSent: nothing has left.
            DeadlineExceeded: no answer came in time; what was asked may still happen.
            Unreachable: the connection was lost; the outcome is unknown.
            Fault: what the other side answered with; its `answered` is set.
        """
        destination = _Destination(address, repeat_of(kind, body) is Repeat.NEVER)
        channel = self._connections.get(destination)
        if channel is None or channel.gone.done():
            channel = await self._wait_for_opening(destination)
        return await _shared_call(channel, kind, body, us)

    async def _wait_for_opening(self, destination: _Destination) -> Channel:
        """The connection that is being opened, maybe by another caller; else NotSent."""
        task = self._opening.get(destination) or self._start_opening(destination)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            caller = asyncio.current_task()
            if task.cancelled() and not (caller is not None and caller.cancelling()):
                raise NotSent(destination.address) from None
            raise

    def _start_opening(self, destination: _Destination) -> asyncio.Task[Channel]:
        task = self.tasks.spawn(self._open_shared(destination))
        if task is None:
            raise NotSent(destination.address)
        self._opening[destination] = task
        task.add_done_callback(lambda ended: self._forget_opening(destination, ended))
        return task

    def _forget_opening(self, destination: _Destination, task: asyncio.Task[Channel]) -> None:
        if self._opening.get(destination) is task:
            del self._opening[destination]

    def cancel_opening(self, address: str) -> None:
        """Gives up connections to `address` that are being opened.

        It has just been heard of, so that a new attempt succeeds sooner than one under way.
        """
        for destination in [place for place in self._opening if place.address == address]:
            self._opening.pop(destination).cancel()

    async def _open_shared(self, destination: _Destination) -> Channel:
        channel = self._connections[destination] = await self.open(destination.address)
        return channel


class Link(SharedConnections):
    """All links of one node over real sockets.

    Attributes:
        addr: host and port that it listens at, once it does; the same for TCP and UDP.
        garbage: how many messages arrived that could not be read.
    """

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
        self.handlers = {}
        self.garbage = 0
        self._host, self._port = host, port
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self.addr: str | None = None

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

    def send_datagram(self, address: str, kind: str, body: Mapping[str, Any]) -> None:
        """Sends one message over UDP; it may be lost, or arrive twice."""
        if self._datagrams is None or self._datagrams.is_closing():
            return
        self._datagrams.sendto(pack(kind, DATAGRAM, 0, body), _host_and_port(address))

    def receive_datagram(self, raw: bytes) -> None:
        """Takes one message that arrived over UDP; one that can't be read is counted and logged."""
        kind = ""
        try:
            message = unpack(raw)
            kind = message.kind
            handler = self.handlers.get(kind)
            if handler is None or message.flow != DATAGRAM:
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
        """A new connection to `address`.

        An opening packet that was lost is sent again only after a second and more, so each attempt
        is short and begins anew.

        Raises:
            NotSent: there is none.
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
        set_socket_options(writer.transport)
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
            channel.mark_lost()
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
        for channel in self._connections.values():
            channel.close()
