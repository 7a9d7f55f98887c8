"""What the daemons share: listening, signals, readiness lines, exit codes."""

import asyncio
import functools
import signal
import sys

from petrelhaven.runtime.clock import Clock, Nest
from petrelhaven.runtime.errors import Misplaced
from petrelhaven.runtime.events import emit, logger, turn_level
from petrelhaven.runtime.file_watch import Watch
from petrelhaven.runtime.settings import SettingsFault, load, seeds_from_stdin
from petrelhaven.transport.http_server import Face
from petrelhaven.transport.link import Link

__all__ = ["Daemon", "say"]


def say(line):
    """One line of signal on standard output."""
    print(line, flush=True)


class Daemon:
    """Runs one node: `make(daemon)` builds it, `ready(node)` tells readiness, `leave(node)` ends it."""

    def __init__(self, prog, doc, core, make, leave):
        self.prog, self.doc, self.core = prog, doc, core
        self._make, self._leave = make, leave

    def main(self, argv=None):
        """The program; returns the exit code."""
        bad = []
        try:
            self.set = load(self.prog, self.doc, self.core, argv)
        except* SettingsFault as g:
            bad = g.exceptions
        if bad:
            for e in bad:
                print(f"{self.prog}: settings declined: {e}", file=sys.stderr)
            return 2
        self._argv = argv
        self.log = logger(self.set.name, self.set.level)
        try:
            if self.set.check:
                self.check()
                say(f"settings of {self.set.name} are good")
                return 0
            return asyncio.run(self._run())
        except SettingsFault as e:
            emit(self.log, 105, note=str(e))
            return 2
        except Misplaced as e:
            emit(self.log, 105, note=e.note)
            return 3
        except OSError as e:
            emit(self.log, 105, note=f"link or http: {e}")
            return 2

    async def _run(self):
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for s in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(s, stop.set)
        self.clock, self.nest = Clock(), Nest(self.log)
        h, p = self.set.link.rsplit(":", 1)
        self.link = Link(self.clock, self.nest, self.log, h, int(p))
        h, p = self.set.http.rsplit(":", 1)
        self.face = self.make_face(h, int(p))
        self.prepare()
        await self.link.start()
        node = None
        try:
            if self.set.seeds == "-":
                say(f"listening name={self.set.name} link={self.link.addr}")
                self.seeds = await loop.run_in_executor(None, seeds_from_stdin)
            else:
                self.seeds = self.set.seeds
            node = self._make(self)
            await self.face.start()
            node.http = self.face.addr
            self._node = node
            node.start()
            self._mind(node)
            say(f"started name={self.set.name} link={self.link.addr} http={self.face.addr}")
            tell = self.nest.spawn(self._tell(node))
            await stop.wait()
            tell.cancel()
            await self._leave(node)
        finally:
            await self.face.close()
            await self.link.close()
            await self.nest.close()
        return 0

    def make_face(self, host, port):
        """The face that the node's routes are put on."""
        return Face(host, port, log=self.log)

    def prepare(self):
        """Checks what must be checked before listening."""

    def check(self):
        """Checks, for `--check`, what `prepare` would; changes nothing."""

    def _mind(self, node):
        if self.set.file:
            again = functools.partial(load, self.prog, self.doc, self.core, self._argv)
            w = Watch(self.clock, again, self.set, self._turned, self.log)
            node.settings = w.status
            self.nest.spawn(w.run())

    def _turned(self, field, v):
        if field == "level":
            turn_level(self.log, v)
        elif field == "seeds" and v != "-":
            self.seeds[:] = v
        elif field == "platform":
            self._node.duty.platform.turn(v)

    async def _tell(self, node):
        was = False
        while True:
            if node.ready != was:
                was = node.ready
                say(f"{'ready' if was else 'unready'} name={self.set.name}")
            await self.clock.sleep(50_000)
