import asyncio
import socket
import struct

__all__ = ["MESSAGE_BYTES", "Wire"]

MESSAGE_BYTES = 1 << 20


class Wire:
    """Messages of the line wire over one connection."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, address):
        """Connects to `address`, a host and port."""
        host, port = address.rsplit(":", 1)
        return cls(*await asyncio.open_connection(host, int(port), limit=MESSAGE_BYTES))

    @property
    def peer(self):
        """The other side's IP and port."""
        return self._writer.get_extra_info("peername")

    async def read(self):
        """The next line, or None once the other side has closed, reset or broken the wire."""
        try:
            line = await self._reader.readuntil(b"\n")
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            return None
        return line.decode("utf-8", "replace").rstrip("\r\n")

    def send(self, *fields):
        """Sends one message."""
        self.send_bytes((" ".join(fields) + "\r\n").encode())

    def send_bytes(self, data):
        """Sends bytes as they are."""
        if not self._writer.is_closing():
            self._writer.write(data)

    def close(self):
        """Closes in order."""
        self._writer.close()

    def reset(self):
        """Drops the connection with a reset."""
        sock = self._writer.get_extra_info("socket")
        if sock is not None and not self._writer.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()
