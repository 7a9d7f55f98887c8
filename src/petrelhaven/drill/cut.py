"""Runs a shipped daemon with links that can be cut: `cut ADDR,…` and `heal` on its standard input."""
import asyncio
import sys
import threading

from ..creed import daemon
from ..creed.fault import Unsent
from ..creed.link import Link

__all__ = ["main"]


class _CutLink(Link):
    """A link whose ways to some addresses swallow everything, in both directions."""

    def __init__(self, *a, **kw):
        super().__init__(*a, **kw)
        self._cut = set()
        self._ear = None

    def _listen(self):
        if self._ear is None:
            loop = asyncio.get_running_loop()
            self._ear = threading.Thread(target=self._hear, args=(loop,), daemon=True)
            self._ear.start()

    def _hear(self, loop):
        for line in sys.stdin:
            verb, _, rest = line.strip().partition(" ")
            loop.call_soon_threadsafe(self._turn, set(rest.split(",")) if verb == "cut" else set())

    def _turn(self, addrs):
        self._cut = addrs
        daemon.say(f"{'cut' if addrs else 'healed'} from={self.addr}")

    async def open(self, addr):
        """A channel that falls silent while its way is cut."""
        self._listen()
        if addr in self._cut:
            await self.clock.sleep(1_000_000)
            raise Unsent(addr)
        c = await super().open(addr)
        send, feed = c._send, c.feed
        c._send = lambda raw: None if addr in self._cut else send(raw)
        c.feed = lambda raw: None if addr in self._cut else feed(raw)
        return c

    def tell(self, addr, kind, body):
        """One telling, swallowed while the way is cut."""
        if addr not in self._cut:
            super().tell(addr, kind, body)


def main():
    """`python -m petrelhaven.drill.cut crux|verge FLAGS`."""
    from .. import crux, verge
    daemon.Link = _CutLink
    {"crux": crux, "verge": verge}[sys.argv[1]].main(sys.argv[2:])


if __name__ == "__main__":
    main()
