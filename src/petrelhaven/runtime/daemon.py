"""What the daemons share: listening, signals, readiness lines, exit codes."""

from __future__ import annotations

import asyncio
import functools
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import WrongNode
from petrelhaven.runtime.events import Events, emit, logger, turn_level
from petrelhaven.runtime.file_watch import Watch
from petrelhaven.runtime.settings import SettingsFault, load, seeds_from_stdin
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.http_server import HttpServer
from petrelhaven.transport.link import Link

__all__ = ["Daemon", "say"]

_SETTINGS_DECLINED = 2
_DATA_OF_ANOTHER_NODE = 3
_READINESS_PERIOD_US = 50_000


def say(line: str) -> None:
    """One line of signal on standard output."""
    print(line, flush=True)


class Daemon:
    """Runs one node from its settings to its end."""

    def __init__(
        self,
        prog: str,
        doc: str,
        core: bool,
        make: Callable[[Daemon], Any],
        leave: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Runs, as program `prog`, the node that `make(daemon)` builds and `leave(node)` ends."""
        self.prog, self.doc, self.core = prog, doc, core
        self._make, self._leave = make, leave

    def main(self, argv: Sequence[str] | None = None) -> int:
        """The program; returns the exit code."""
        faults: Sequence[Exception] = ()
        try:
            self.set = load(self.prog, self.doc, self.core, argv)
        except* SettingsFault as group:
            faults = group.exceptions
        if faults:
            for fault in faults:
                print(f"{self.prog}: settings declined: {fault}", file=sys.stderr)
            return _SETTINGS_DECLINED
        self._argv = argv
        self.log = logger(self.set.name, self.set.level)
        try:
            if self.set.check:
                self.check()
                say(f"settings of {self.set.name} are good")
                return 0
            return asyncio.run(self._run())
        except SettingsFault as fault:
            emit(self.log, Events.SETTINGS_DECLINED, note=str(fault))
            return _SETTINGS_DECLINED
        except WrongNode as fault:
            emit(self.log, Events.SETTINGS_DECLINED, note=fault.note)
            return _DATA_OF_ANOTHER_NODE
        except OSError as fault:
            emit(self.log, Events.SETTINGS_DECLINED, note=f"link or http: {fault}")
            return _SETTINGS_DECLINED

    async def _run(self) -> int:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        self.clock, self.tasks = Clock(), BackgroundTasks(self.log)
        host, port = self.set.link.rsplit(":", 1)
        self.link = Link(self.clock, self.tasks, self.log, host, int(port))
        host, port = self.set.http.rsplit(":", 1)
        self.http_server = self.make_http_server(host, int(port))
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
            await self.http_server.start()
            node.http = self.http_server.addr
            self._node = node
            node.start()
            self._mind(node)
            say(f"started name={self.set.name} link={self.link.addr} http={self.http_server.addr}")
            tell = self.tasks.spawn(self._tell(node))
            await stop.wait()
            tell.cancel()
            await self._leave(node)
        finally:
            await self.http_server.close()
            await self.link.close()
            await self.tasks.close()
        return 0

    def make_http_server(self, host: str, port: int) -> HttpServer:
        """The face that the node's routes are put on."""
        return HttpServer(host, port, log=self.log)

    def prepare(self) -> None:
        """Checks what must be checked before listening."""

    def check(self) -> None:
        """Checks, for `--check`, what `prepare` would; changes nothing."""

    def _mind(self, node: Any) -> None:  # noqa: ANN401 (any kind of node)
        """Follows the settings file, if there is one."""
        if not self.set.file:
            return
        again = functools.partial(load, self.prog, self.doc, self.core, self._argv)
        watch = Watch(self.clock, again, self.set, self._turned, self.log)
        node.settings = watch.status
        self.tasks.spawn(watch.run())

    def _turned(self, field: str, value: Any) -> None:  # noqa: ANN401 (each field has its type)
        """Takes a setting that changed while the node runs."""
        if field == "level":
            turn_level(self.log, value)
        elif field == "seeds" and value != "-":
            self.seeds[:] = value
        elif field == "platform":
            self._node.duty.platform.turn(value)

    async def _tell(self, node: Any) -> None:  # noqa: ANN401 (any kind of node)
        """Tells readiness on standard output whenever it changes."""
        was = False
        while True:
            if node.ready != was:
                was = node.ready
                say(f"{'ready' if was else 'unready'} name={self.set.name}")
            await self.clock.sleep(_READINESS_PERIOD_US)
