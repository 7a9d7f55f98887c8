"""Links between the system's processes: calls over TCP connections, datagrams over UDP."""

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
_MAX_MESSAGE_BYTES = 4 << 20
_OPEN_TIMEOUT_US = 1_000_000
_CONNECT_ATTEMPT_TIMEOUT_US = 250_000
_MAX_UNANSWERED_CALLS = 2
_MAX_PORT_ATTEMPTS = 20
_INVALID_BODY_ERRORS = (TypeError, LookupError, ValueError, AttributeError)


def _add_prefix(raw: bytes) -> bytes:
    return _PREFIX.pack(_MAGIC, len(raw)) + raw


def _host_and_port(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


async def _shared_call(
    channel: Channel, kind: str, body: Mapping[str, Any], timeout_us: int
) -> dict[str, Any]:
    """Calls over a shared connection; closes it after two consecutive calls without an answer."""
    try:
        result = await channel.call(kind, body, timeout_us)
    except DeadlineExceeded as late:
        channel.unanswered = 0 if late.answered else channel.unanswered + 1
        if channel.unanswered >= _MAX_UNANSWERED_CALLS:
            channel.close()
        raise
    except Fault as fault:
        if fault.answered:
            channel.unanswered = 0
        raise
    channel.unanswered = 0
    return result


class _Datagrams(asyncio.DatagramProtocol):
    """Passes received datagrams to the link."""

    def __init__(self, link: Link) -> None:
        self._link = link

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handles one received datagram."""
        self._link.receive_datagram(data)


class _Destination(NamedTuple):
    """The key of a shared connection: its address, and whether its calls may not be repeated."""

    address: str
    is_sent_once: bool


class SharedConnections:
    """Calls by address over shared connections; subclasses implement `open`.

    Calls that may not be repeated use a separate connection: abandoning one of them resets its
    connection, which must not fail the other calls.
    """

    tasks: BackgroundTasks
    handlers: dict[str, Handler]

    def __init__(self) -> None:
        """Creates the object without connections."""
        self._connections: dict[_Destination, Channel] = {}
        self._opening: dict[_Destination, asyncio.Task[Channel]] = {}

    def on(self, kind: str, handler: Handler) -> None:
        """Registers `handler` for calls or datagrams of `kind`."""
        self.handlers[kind] = handler

    async def open(self, address: str) -> Channel:
        """Opens a new connection to `address`.

        Raises:
            NotSent: the connection could not be opened.
        """
        raise NotImplementedError

    async def call(
        self, address: str, kind: str, body: Mapping[str, Any], timeout_us: int
    ) -> dict[str, Any]:
        """Makes a call over a shared connection to `address`, opening it if needed.

        Args:
            address: host and port of the other node's link.
            kind: one of `MessageKind`.
            body: the fields of the request.
            timeout_us: the limit for the answer once the connection is open, in microseconds.

        Raises:
            NotSent: nothing was sent.
            DeadlineExceeded: no answer arrived in time; the request may still take effect.
            Unreachable: the connection was lost; the outcome is unknown.
            Fault: the fault that the other side answered with; its `answered` is set.
        """
        destination = _Destination(address, repeat_of(kind, body) is Repeat.NEVER)
        channel = self._connections.get(destination)
        if channel is None or channel.gone.done():
            channel = await self._wait_for_opening(destination)
        return await _shared_call(channel, kind, body, timeout_us)

    async def _wait_for_opening(self, destination: _Destination) -> Channel:
        """Waits for the connection to open, possibly for another caller; may raise NotSent."""
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
        """Cancels attempts to open connections to `address`.

        Called when the node at `address` has just been heard from: a new attempt then succeeds
        sooner than one that is already in progress.
        """
        for destination in [key for key in self._opening if key.address == address]:
            self._opening.pop(destination).cancel()

    async def _open_shared(self, destination: _Destination) -> Channel:
        channel = self._connections[destination] = await self.open(destination.address)
        return channel


class Link(SharedConnections):
    """The links of one node over real sockets.

    Attributes:
        addr: host and port of the TCP and UDP listeners; None before `start`.
        garbage: the number of received messages that could not be processed.
    """

    def __init__(
        self,
        clock: Clock,
        tasks: BackgroundTasks,
        log: logbook.Logger | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        """Configures the link to listen at `host` and `port`; port 0 picks a free one."""
        super().__init__()
        self.clock, self.tasks, self.log = clock, tasks, log
        self.handlers = {}
        self.garbage = 0
        self._host, self._port = host, port
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self.addr: str | None = None

    async def start(self) -> str:
        """Starts listening on TCP and UDP at the same port; returns the address."""
        loop = asyncio.get_running_loop()
        for attempt in range(_MAX_PORT_ATTEMPTS):
            self._server = await asyncio.start_server(self._accept, self._host, self._port)
            port = self._server.sockets[0].getsockname()[1]
            try:
                self._datagrams, _ = await loop.create_datagram_endpoint(
                    lambda: _Datagrams(self), local_addr=(self._host, port)
                )
                break
            except OSError:
                self._server.close()
                if self._port or attempt == _MAX_PORT_ATTEMPTS - 1:
                    raise
        self.addr = f"{self._host}:{port}"
        return self.addr

    def send_datagram(self, address: str, kind: str, body: Mapping[str, Any]) -> None:
        """Sends one message over UDP; it may be lost or arrive twice."""
        if self._datagrams is None or self._datagrams.is_closing():
            return
        self._datagrams.sendto(pack(kind, DATAGRAM, 0, body), _host_and_port(address))

    def receive_datagram(self, raw: bytes) -> None:
        """Handles one message received over UDP; counts and logs an invalid one."""
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
            is_version_mismatch = isinstance(fault, VersionMismatch)
            event = Events.VERSION_MISMATCH if is_version_mismatch else Events.MALFORMED_MESSAGE
            emit(self.log, event, fault=fault.code, note=fault.note)
        except _INVALID_BODY_ERRORS as error:
            self.garbage += 1
            note = f"{kind}: {type(error).__name__}"
            emit(self.log, Events.MALFORMED_MESSAGE, fault=Malformed.code, note=note)

    async def open(self, address: str) -> Channel:
        """Opens a new connection to `address`.

        The kernel repeats a lost SYN packet only after a second or more. Therefore each attempt
        has a short timeout and is followed by a new one.

        Raises:
            NotSent: the connection could not be opened.
        """
        host, port = _host_and_port(address)
        deadline = self.clock.now() + _OPEN_TIMEOUT_US
        while True:
            try:
                reader, writer = await self.clock.wait_for(
                    asyncio.open_connection(host, port), _CONNECT_ATTEMPT_TIMEOUT_US
                )
            except OSError:
                raise NotSent(address) from None
            except DeadlineExceeded:
                if self.clock.now() >= deadline:
                    raise NotSent(address) from None
            else:
                return self._make_channel(reader, writer)

    def _make_channel(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Channel:
        set_socket_options(writer.transport)
        channel = Channel(
            self,
            lambda raw: writer.write(_add_prefix(raw)),
            writer.close,
            lambda: reset(writer.transport),
            lambda: is_closed(writer.transport),
        )
        self.tasks.spawn(self._read_messages(channel, reader, writer))
        return channel

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._make_channel(reader, writer)

    async def _read_messages(
        self, channel: Channel, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                magic, size = _PREFIX.unpack(await reader.readexactly(_PREFIX.size))
                if magic != _MAGIC or size > _MAX_MESSAGE_BYTES:
                    raise Malformed("prefix")
                self._receive_message(channel, await reader.readexactly(size), writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        except Malformed as fault:
            self.garbage += 1
            emit(self.log, Events.MALFORMED_MESSAGE, note=fault.note)
        finally:
            channel.handle_connection_loss()
            writer.close()

    def _receive_message(self, channel: Channel, raw: bytes, writer: asyncio.StreamWriter) -> None:
        """Passes one message to the channel; answers a call of another version with a fault."""
        try:
            channel.feed(raw)
        except (VersionMismatch, UnknownKind) as fault:
            self.garbage += 1
            emit(self.log, Events.VERSION_MISMATCH, note=fault.note)
            if fault.details.get("flow") == CALL:
                kind, number = fault.details.get("kind", ""), fault.details.get("id", 0)
                writer.write(_add_prefix(pack(kind, FAULT, number, {"doc": fault.doc()})))

    async def close(self) -> None:
        """Closes the listeners and all connections."""
        if self._server:
            self._server.close()
        if self._datagrams:
            self._datagrams.close()
        for channel in self._connections.values():
            channel.close()
