"""A stand-in member as a process: a store behind HTTP/1.1 and JSON that announces itself."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp import web

from petrelhaven.emulator.member_journal import MemberJournal
from petrelhaven.emulator.replication import Replication
from petrelhaven.emulator.store import Declined, Store, Unanswered
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.daemon import print_line
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit, logger
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.http_server import HttpServer, read_json_body

__all__ = ["Member", "MemberOptions"]

_MAX_BODY_BYTES = 4 << 20
_SILENCE_CHECK_US = 50_000
_SWEEP_INTERVAL_US = 50_000
_FEED_WAIT_US = 500_000
_HANG_US = 3_600_000_000
_ANNOUNCE_INTERVAL_US = 200_000
_ANNOUNCE_LIMIT = aiohttp.ClientTimeout(total=0.5)
_NEVER_US = -1
_CRASH_EXIT_CODE = 9
_CONTROL_FROM_INPUT = "-"
_STATUS_CONFLICT, _STATUS_UNAVAILABLE = 409, 503

Document = dict[str, Any]
Answer = Document | web.Response


@dataclass(frozen=True, slots=True)
class MemberOptions:
    """What a member is told at its start.

    Attributes:
        name: The member's name.
        group: The name of its group.
        zone: The zone that it announces.
        role: `primary` or `replica`.
        source: Address of the primary to follow; empty for none.
        http: Address to serve at.
        control: HTTP addresses of the control nodes, separated by commas; `-` reads them from
            standard input.
        max_connections: How many connections it takes.
        lag_us: How far a replica stays behind, in microseconds.
        warm_us: How long it is cold after a start, in microseconds.
        starts_warm: Whether it is warm from the start.
        folder: The folder of its journal; None keeps nothing.
    """

    name: str
    group: str
    zone: str
    role: str
    source: str
    http: str
    control: str
    max_connections: int
    lag_us: int
    warm_us: int
    starts_warm: bool
    folder: str | None


class Member:
    """Serves one store."""

    def __init__(self, options: MemberOptions) -> None:
        """Creates the store, from its journal if there is one."""
        self._options = options
        self._log = logger(options.name)
        self._clock, self._tasks = Clock(), BackgroundTasks(self._log)
        self._store = self._create_store()
        self._journal = MemberJournal(self._store, options.folder, options.source)
        self._connection_owners: dict[int, asyncio.Transport] = {}
        self._announcements = 0
        self._changed = asyncio.Event()
        self._address = ""
        self._control_addresses: list[str] = []

    def _create_store(self) -> Store:
        options = self._options
        store = Store(
            self._clock,
            options.name,
            options.group,
            options.zone,
            options.role,
            options.max_connections,
            random.SystemRandom(),
            options.warm_us,
        )
        if options.starts_warm:
            store.born -= options.warm_us
        store.source = options.source or None
        return store

    async def run(self) -> None:
        """Serves for good."""
        server = self._create_server()
        self._address = await server.start()
        self._http = aiohttp.ClientSession()
        store = self._store
        emit(self._log, Events.EMULATOR_STARTED, role=store.role, log=store.log, http=self._address)
        print_line(f"started name={self._options.name} http={self._address}")
        self._control_addresses = (await self._read_control_addresses()).split(",")
        self._tasks.spawn(self._announce_regularly())
        self._tasks.spawn(self._sweep())
        await Replication(
            self._clock,
            self._http,
            store,
            self._journal,
            self._options.lag_us,
            self._changed.set,
        ).run()

    def _create_server(self) -> HttpServer:
        host, port = self._options.http.rsplit(":", 1)
        server = HttpServer(host, int(port), max_body_bytes=_MAX_BODY_BYTES)
        for verb, path, handler in (
            ("POST", "/open", self._open),
            ("POST", "/run", self._run),
            ("POST", "/status", self._status),
            ("GET", "/status", self._status),
            ("GET", "/ready", self._ready),
            ("POST", "/feed", self._feed),
            ("POST", "/promote", self._promote),
            ("POST", "/follow", self._follow),
            ("POST", "/feint", self._set_faults),
            ("GET", "/data", self._data),
        ):
            server.on(verb, path, handler)
        return server

    async def _read_control_addresses(self) -> str:
        if self._options.control != _CONTROL_FROM_INPUT:
            return self._options.control
        return await asyncio.get_running_loop().run_in_executor(None, input)

    async def _wait_while_silent(self) -> None:
        while self._store.silent:
            await self._clock.sleep(_SILENCE_CHECK_US)

    # Connections

    async def _sweep(self) -> None:
        while True:
            self._drop_lost_connections()
            await self._clock.sleep(_SWEEP_INTERVAL_US)

    def _drop_lost_connections(self) -> None:
        for owner, transport in list(self._connection_owners.items()):
            if transport.is_closing():
                del self._connection_owners[owner]
                self._store.lose(owner)

    def _owner_of(self, transport: asyncio.Transport | None) -> int:
        """Returns the number of the HTTP connection that owns the connections opened over it."""
        owner = id(transport)
        if transport is not None and self._connection_owners.get(owner) is not transport:
            self._store.lose(owner)
            self._connection_owners[owner] = transport
        return owner

    async def _open(self, request: web.Request) -> Answer:
        await self._wait_while_silent()
        self._drop_lost_connections()
        try:
            return {"conn": self._store.open(self._owner_of(request.transport))}
        except Declined as declined:
            return _decline(declined)

    async def _run(self, request: web.Request) -> Answer:
        body = await read_json_body(request)
        await self._wait_while_silent()
        if request.transport is None:
            return {}
        owner = self._owner_of(request.transport)
        try:
            results = self._store.run(body["conn"], body["ops"], owner)
        except Unanswered:
            self._save_entries()
            await self._clock.sleep(_HANG_US)
            return {}
        self._save_entries()
        return {"results": results}

    def _save_entries(self) -> None:
        self._journal.save_entries()
        self._changed.set()

    # Status

    async def _status(self, _request: web.Request) -> Answer:
        await self._wait_while_silent()
        store = self._store
        since_statement_us = self._clock.now() - store.last_statement
        return {
            **store.status(),
            "flood": store.flood,
            "most_conns": store.most_conns,
            "quiet_us": since_statement_us if store.last_statement else _NEVER_US,
        }

    async def _ready(self, _request: web.Request) -> Answer:
        await self._wait_while_silent()
        status = self._store.status()
        if status["ready"]:
            return status
        return web.json_response(status, status=_STATUS_UNAVAILABLE)

    async def _data(self, _request: web.Request) -> Answer:
        store = self._store
        return {"data": store.data, "log": store.log, "role": store.role}

    # Replication and roles

    async def _feed(self, request: web.Request) -> Answer:
        body = await read_json_body(request)
        await self._wait_while_silent()
        if self._is_up_to_date(body):
            self._changed.clear()
            with contextlib.suppress(Fault):
                await self._clock.wait_for(self._changed.wait(), _FEED_WAIT_US)
        try:
            return self._store.feed(body["pos"], body["term"])
        except Declined as declined:
            return _decline(declined)

    def _is_up_to_date(self, replica: Mapping[str, Any]) -> bool:
        """Whether a replica that reports this position and these terms lacks nothing."""
        store = self._store
        reported = (replica["pos"], replica["term"], replica["now"])
        return reported == (store.log, store.last_term(), store.term)

    async def _promote(self, request: web.Request) -> Answer:
        return await self._change_role(request, lambda body: self._store.promote(body["epoch"]))

    async def _follow(self, request: web.Request) -> Answer:
        return await self._change_role(
            request, lambda body: self._store.follow(body["source"], body["epoch"])
        )

    async def _change_role(
        self, request: web.Request, change: Callable[[Mapping[str, Any]], None]
    ) -> Answer:
        body = await read_json_body(request)
        await self._wait_while_silent()
        try:
            change(body)
        except Declined as declined:
            return _decline(declined)
        self._journal.save_role()
        self._changed.set()
        self._announce()
        return {"ok": True}

    async def _set_faults(self, request: web.Request) -> Answer:
        """Handles `/feint`: switches the faults that the member plays on or off."""
        body = await read_json_body(request)
        store = self._store
        emit(self._log, Events.EMULATOR_FAULT_SET, **body)
        if body.get("crash"):
            os._exit(_CRASH_EXIT_CODE)
        store.silent = bool(body.get("dark", store.silent))
        store.stall = bool(body.get("stall", store.stall))
        store.draining = bool(body.get("draining", store.draining))
        store.unanswered = int(body.get("unanswered", store.unanswered))
        if "warm_us" in body:
            store.warm_us = int(body["warm_us"])
            store.born = self._clock.now()
        return {"ok": True}

    # Announcements

    async def _announce_regularly(self) -> None:
        while True:
            if not self._store.silent:
                self._announce()
            await self._clock.sleep(_ANNOUNCE_INTERVAL_US)

    def _announce(self) -> None:
        """Announces the member to every control node."""
        self._announcements += 1
        announcement = self._store.announcement(self._address, self._announcements)
        for address in self._control_addresses:
            self._tasks.spawn(self._announce_to(address, announcement))

    async def _announce_to(self, address: str, announcement: Document) -> None:
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self._http.post(
                f"http://{address}/announce", json=announcement, timeout=_ANNOUNCE_LIMIT
            ) as response:
                await response.read()


def _decline(declined: Declined) -> web.Response:
    """Returns the response to what the store declines."""
    return web.json_response(declined.document, status=_STATUS_CONFLICT)
