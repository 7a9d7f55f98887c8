"""A stand-in member as a process: the store behind HTTP/1.1 JSON, its announcements, its replication."""

import asyncio
import json
import os
import random

import aiohttp
from aiohttp import web

from petrelhaven.emulator.store import Declined, Store, Unanswered
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.daemon import print_line
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.events import Events, emit, logger
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.http_server import HttpServer, read_json_body

__all__ = ["Member"]


class Member:
    """Serves one store."""

    def __init__(self, a):
        self.a = a
        self.log = logger(a.name)
        self.clock, self.tasks = Clock(), BackgroundTasks(self.log)
        self.s = Store(
            self.clock, a.name, a.group, a.hall, a.role, a.cap, random.SystemRandom(), a.warm_us
        )
        if a.hot:
            self.s.born -= a.warm_us
        self.s.source = a.source or None
        self._owners = {}
        self._kept = self._heartbeats = 0
        self._file = None
        self._news = asyncio.Event()
        if a.data:
            self._load()

    def _load(self):
        os.makedirs(self.a.data, exist_ok=True)
        path = os.path.join(self.a.data, "journal")
        if os.path.exists(path):
            rows = []
            for line in open(path, encoding="utf-8"):
                if line.endswith("\n"):
                    rows.append(json.loads(line))
            self.s.store = rows[0]["store"]
            for r in rows[1:]:
                if "reset" in r:
                    self.s.entries, self.s.data = [], {}
                if "e" in r:
                    self.s.replay(*r["e"])
                if "role" in r:
                    self.s.role, self.s.term, self.s.fence, self.s.source = (
                        r["role"],
                        r["term"],
                        r["fence"],
                        r["source"],
                    )
            if self.s.source is None and self.s.role == "replica":
                self.s.source = self.a.source
            self._file = open(path, "a", encoding="utf-8")
        else:
            self._file = open(path, "a", encoding="utf-8")
            self._put({"store": self.s.store})
            self._state()
        self._kept = len(self.s.entries)

    def _put(self, *rows):
        if self._file:
            self._file.write("".join(json.dumps(r) + "\n" for r in rows))
            self._file.flush()

    def _state(self):
        s = self.s
        self._put({"role": s.role, "term": s.term, "fence": s.fence, "source": s.source})

    def _save(self):
        es = self.s.entries
        self._put(*[{"e": e} for e in es[self._kept :]])
        self._kept = len(es)
        self._news.set()

    async def run(self):
        """Serves for good."""
        f = HttpServer(*self._place(), max_body_bytes=4 << 20)
        for v, p, h in (
            ("POST", "/open", self._open),
            ("POST", "/run", self._run),
            ("POST", "/status", self._status),
            ("GET", "/status", self._status),
            ("GET", "/ready", self._ready),
            ("POST", "/feed", self._feed),
            ("POST", "/promote", self._promote),
            ("POST", "/follow", self._follow),
            ("POST", "/feint", self._switch),
            ("GET", "/data", self._data),
        ):
            f.on(v, p, h)
        self.addr = await f.start()
        self.http = aiohttp.ClientSession()
        emit(self.log, Events.EMULATOR_STARTED, role=self.s.role, log=self.s.log, http=self.addr)
        print_line(f"started name={self.a.name} http={self.addr}")
        if self.a.cores == "-":
            self.cores = (await asyncio.get_running_loop().run_in_executor(None, input)).split(",")
        else:
            self.cores = self.a.cores.split(",")
        self.tasks.spawn(self._announce())
        self.tasks.spawn(self._sweep())
        await self._pull()

    def _place(self):
        h, p = self.a.http.rsplit(":", 1)
        return h, int(p)

    async def _dark(self):
        while self.s.dark:
            await self.clock.sleep(50_000)

    async def _sweep(self):
        while True:
            self._clear()
            await self.clock.sleep(50_000)

    def _clear(self):
        for k, t in list(self._owners.items()):
            if t.is_closing():
                del self._owners[k]
                self.s.lose(k)

    def _owner(self, req):
        k = id(req.transport)
        if self._owners.get(k) is not req.transport:
            self.s.lose(k)
            self._owners[k] = req.transport
        return k

    async def _open(self, req):
        await self._dark()
        self._clear()
        try:
            return {"conn": self.s.open(self._owner(req))}
        except Declined as e:
            return web.json_response(e.document, status=409)

    async def _run(self, req):
        b = await read_json_body(req)
        await self._dark()
        if req.transport is None:
            return {}
        try:
            rs = self.s.run(b["conn"], b["ops"], self._owner(req))
        except Unanswered:
            self._save()
            await self.clock.sleep(3_600_000_000)
        self._save()
        return {"results": rs}

    async def _status(self, req):
        await self._dark()
        return {
            **self.s.status(),
            "flood": self.s.flood,
            "most_conns": self.s.most_conns,
            "quiet_us": self.clock.now() - self.s.last_statement if self.s.last_statement else -1,
        }

    async def _ready(self, req):
        await self._dark()
        d = self.s.status()
        return d if d["ready"] else web.json_response(d, status=503)

    async def _feed(self, req):
        b = await read_json_body(req)
        await self._dark()
        if b["pos"] == self.s.log and b["term"] == self.s.last_term() and b["now"] == self.s.term:
            self._news.clear()
            try:
                await self.clock.wait_for(self._news.wait(), 500_000)
            except Fault:
                pass
        try:
            return self.s.feed(b["pos"], b["term"])
        except Declined as e:
            return web.json_response(e.document, status=409)

    async def _promote(self, req):
        return await self._turn(lambda b: self.s.promote(b["epoch"]), req)

    async def _follow(self, req):
        return await self._turn(lambda b: self.s.follow(b["source"], b["epoch"]), req)

    async def _turn(self, fn, req):
        b = await read_json_body(req)
        await self._dark()
        try:
            fn(b)
        except Declined as e:
            return web.json_response(e.document, status=409)
        self._state()
        self._news.set()
        await self._once()
        return {"ok": True}

    async def _switch(self, req):
        b = await read_json_body(req)
        emit(self.log, Events.EMULATOR_FAULT_SET, **b)
        if b.get("crash"):
            os._exit(9)
        for k in ("dark", "stall", "draining"):
            if k in b:
                setattr(self.s, k, bool(b[k]))
        if "unanswered" in b:
            self.s.unanswered = int(b["unanswered"])
        if "warm_us" in b:
            self.s.warm_us = int(b["warm_us"])
            self.s.born = self.clock.now()
        return {"ok": True}

    async def _data(self, req):
        return {"data": self.s.data, "log": self.s.log, "role": self.s.role}

    async def _announce(self):
        while True:
            if not self.s.dark:
                await self._once()
            await self.clock.sleep(200_000)

    async def _once(self):
        self._heartbeats += 1
        d = self.s.announcement(self.addr, self._heartbeats)

        async def say_to(c):
            try:
                async with self.http.post(
                    f"http://{c}/announce", json=d, timeout=aiohttp.ClientTimeout(total=0.5)
                ) as r:
                    await r.read()
            except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
                pass

        for c in self.cores:
            self.tasks.spawn(say_to(c))

    async def _pull(self):
        s = self.s
        while True:
            if s.role != "replica" or not s.source or s.stall or s.dark:
                await self.clock.sleep(20_000)
                continue
            src = s.source
            try:
                async with self.http.post(
                    f"http://{src}/feed",
                    json={"pos": s.log, "term": s.last_term(), "now": s.term},
                    timeout=aiohttp.ClientTimeout(total=2),
                ) as r:
                    if r.status != 200:
                        raise OSError
                    d = await r.json()
            except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
                await self.clock.sleep(50_000)
                continue
            if d["entries"] or d["term"] != s.term:
                await self.clock.sleep(self.a.lag_us)
                if not s.stall and s.source == src:
                    n, t = s.log, s.term
                    if d["from"] == 0 and n:
                        self._put({"reset": True})
                        self._kept = 0
                    s.absorb(d)
                    self._save()
                    if s.term != t:
                        self._state()
