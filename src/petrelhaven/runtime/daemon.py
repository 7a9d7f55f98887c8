"""The daemon base class: servers, signals, readiness lines and exit codes."""

from __future__ import annotations

import asyncio
import functools
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import WrongNode
from petrelhaven.runtime.events import Events, emit, logger, set_level
from petrelhaven.runtime.file_watch import SettingsWatch
from petrelhaven.runtime.settings import SettingsFault, load_settings, read_seeds_from_stdin
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.http_server import HttpServer
from petrelhaven.transport.link import Link

__all__ = ["Daemon", "print_line"]

_EXIT_SETTINGS_DECLINED = 2
_EXIT_DATA_OF_ANOTHER_NODE = 3
_READINESS_POLL_US = 50_000


def print_line(line: str) -> None:
    """Writes one line to standard output for the process that started the program."""
    print(line, flush=True)


class Daemon:
    """Runs one node, from loading its settings until it has shut down.

    Attributes:
        prog: The name of the program.
        doc: The description of the program in `--help`.
        is_control_node: Whether the program has the settings of a control node.
    """

    def __init__(
        self,
        prog: str,
        doc: str,
        is_control_node: bool,
        make_node: Callable[[Daemon], Any],
        shut_down_node: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Creates the daemon of a program.

        Args:
            prog: The name of the program.
            doc: The description of the program in `--help`.
            is_control_node: Whether the program has the settings of a control node.
            make_node: Builds the node from this daemon's settings, link and HTTP server.
            shut_down_node: Makes the node leave the fleet before the program exits.
        """
        self.prog, self.doc, self.is_control_node = prog, doc, is_control_node
        self._make_node, self._shut_down_node = make_node, shut_down_node

    def main(self, argv: Sequence[str] | None = None) -> int:
        """Runs the program and returns its exit code."""
        faults: Sequence[Exception] = ()
        try:
            self.settings = load_settings(self.prog, self.doc, self.is_control_node, argv)
        except* SettingsFault as group:
            faults = group.exceptions
        if faults:
            for fault in faults:
                print(f"{self.prog}: settings declined: {fault}", file=sys.stderr)
            return _EXIT_SETTINGS_DECLINED
        self._argv = argv
        self.log = logger(self.settings.name, self.settings.level)
        try:
            return self._check_or_run()
        except SettingsFault as fault:
            return self._log_declined(_EXIT_SETTINGS_DECLINED, str(fault))
        except WrongNode as fault:
            return self._log_declined(_EXIT_DATA_OF_ANOTHER_NODE, fault.note)
        except OSError as fault:
            return self._log_declined(_EXIT_SETTINGS_DECLINED, f"link or http: {fault}")

    def _log_declined(self, exit_code: int, note: str) -> int:
        emit(self.log, Events.SETTINGS_DECLINED, note=note)
        return exit_code

    def _check_or_run(self) -> int:
        if self.settings.check:
            self.check()
            print_line(f"settings of {self.settings.name} are good")
            return 0
        return asyncio.run(self._run())

    async def _run(self) -> int:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        self._create_servers()
        self.prepare()
        await self.link.start()
        try:
            await self._read_seeds()
            await self._serve(stop)
        finally:
            await self.http_server.close()
            await self.link.close()
            await self.tasks.close()
        return 0

    def _create_servers(self) -> None:
        self.clock, self.tasks = Clock(), BackgroundTasks(self.log)
        host, port = self.settings.link.rsplit(":", 1)
        self.link = Link(self.clock, self.tasks, self.log, host, int(port))
        host, port = self.settings.http.rsplit(":", 1)
        self.http_server = self.make_http_server(host, int(port))

    async def _read_seeds(self) -> None:
        """Reads the seed addresses from the settings or, after listening, from standard input."""
        seeds = self.settings.seeds
        if isinstance(seeds, str):
            print_line(f"listening name={self.settings.name} link={self.link.addr}")
            loop = asyncio.get_running_loop()
            seeds = await loop.run_in_executor(None, read_seeds_from_stdin)
        self.seeds = seeds

    async def _serve(self, stop: asyncio.Event) -> None:
        """Runs the node until `stop` is set, then shuts it down."""
        node = self._make_node(self)
        await self.http_server.start()
        node.http = self.http_server.addr
        self._node = node
        node.start()
        self._watch_settings(node)
        print_line(
            f"started name={self.settings.name} link={self.link.addr} http={self.http_server.addr}"
        )
        readiness = self.tasks.spawn(self._report_readiness(node))
        await stop.wait()
        if readiness is not None:
            readiness.cancel()
        await self._shut_down_node(node)

    def make_http_server(self, host: str, port: int) -> HttpServer:
        """Creates the HTTP server of the node's interface."""
        return HttpServer(host, port, log=self.log)

    def prepare(self) -> None:
        """Runs the checks that must succeed before the daemon listens."""

    def check(self) -> None:
        """Runs the checks of `prepare` for `--check`, without changing anything."""

    def _watch_settings(self, node: Any) -> None:  # noqa: ANN401 (any kind of node)
        """Starts watching the settings file, if there is one."""
        if not self.settings.file:
            return
        reload_settings = functools.partial(
            load_settings, self.prog, self.doc, self.is_control_node, self._argv
        )
        watch = SettingsWatch(
            self.clock, reload_settings, self.settings, self._apply_setting, self.log
        )
        node.settings = watch.status
        self.tasks.spawn_service(watch.run)

    def _apply_setting(self, field: str, value: Any) -> None:  # noqa: ANN401 (each field has its type)
        """Applies a changed setting to the running node."""
        if field == "level":
            set_level(self.log, value)
        elif field == "seeds" and value != "-":
            self.seeds[:] = value
        elif field == "platform":
            self._node.duty.platform.set_address(value)

    async def _report_readiness(self, node: Any) -> None:  # noqa: ANN401 (any kind of node)
        """Writes a line to standard output whenever the node becomes ready or unready."""
        ready = False
        while True:
            if node.ready != ready:
                ready = node.ready
                print_line(f"{'ready' if ready else 'unready'} name={self.settings.name}")
            await self.clock.sleep(_READINESS_POLL_US)
