import asyncio

from .answer import Answer
from .refusal import Refusal
from .wire import Wire

__all__ = ["Session"]


class Session:
    """A caller's side of the wire: one connection, one statement at a time; messages nobody asked for are kept."""

    def __init__(self, wire):
        self._wire = wire
        self._lines = asyncio.Queue()
        self._asked = True
        self._pump = asyncio.ensure_future(self._read())
        self.state, self.position = "", "-"
        self.closed = False
        self.stray = []

    @classmethod
    async def open(cls, address, *fields, seconds=2.0):
        """Connects with the fields of a CONNECT; raises Refusal, OSError or TimeoutError."""
        async with asyncio.timeout(seconds):
            session = cls(await Wire.open(address))
            try:
                session._wire.send("CONNECT", *fields)
                words = await session._next()
                if words[0] != "READY":
                    raise (
                        Refusal(*words[1].split(" ", 1))
                        if words[0] == "ERROR"
                        else Refusal("MALFORMED", words[0])
                    )
                session._ready(words)
            except BaseException:
                session.close()
                raise
        return session

    async def ask(self, id, text, seconds=10.0):
        """Sends a statement and returns its answer; raises ConnectionError on a cut and TimeoutError on silence."""
        if self.closed or self.stray:
            raise ConnectionError("closed before it was asked")
        self._asked = True
        self._wire.send("QUERY", id, text)
        rows, code, end = [], "", ""
        async with asyncio.timeout(seconds):
            while (words := await self._next())[0] != "READY":
                if words[0] == "ROW":
                    rows.append(words[1] if len(words) > 1 else "")
                elif words[0] == "ERROR":
                    code, _, end = words[1].partition(" ")
                else:
                    end = words[1]
        self._ready(words)
        return Answer(tuple(rows), code, end, self.state, self.position)

    async def ended(self):
        """Waits until the other side has closed."""
        await asyncio.wait([self._pump])

    def close(self, polite=False):
        """Ends the session, with a QUIT if it is polite."""
        if polite and not self.closed:
            self._wire.send("QUIT")
        self.closed = True
        self._pump.cancel()
        self._wire.close()

    def _ready(self, words):
        self.state, _, self.position = words[1].partition(" ")

    async def _next(self):
        line = await self._lines.get()
        if line is None:
            raise ConnectionError("cut")
        return line.split(" ", 1)

    async def _read(self):
        while (line := await self._wire.read()) is not None:
            if not self._asked:
                self.stray.append(line)
            elif line.startswith("READY"):
                self._asked = False
            self._lines.put_nowait(line)
        self.closed = True
        self._lines.put_nowait(None)
