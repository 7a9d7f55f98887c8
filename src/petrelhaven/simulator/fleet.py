"""A local fleet of real processes over loopback: daemons, stand-in members and platform, visitors."""

import asyncio
import os
import random
import signal
import sys
import time

import aiohttp

from petrelhaven.emulator.balancer import LoadBalancer
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Fault
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.load_client import LoadClient
from petrelhaven.simulator.resumable.history_check import check
from petrelhaven.simulator.resumable.world import SIZES, configuration
from petrelhaven.transport.http import fetch

__all__ = ["Fleet", "Proc", "until"]


async def until(fn, secs):
    """Asks until `fn` answers truly; returns the answer."""
    clock = Clock()

    async def go():
        while True:
            r = await fn()
            if r:
                return r
            await clock.sleep(50_000)

    return await asyncio.wait_for(go(), secs)


class Proc:
    """One process, its lines of signal, its addresses."""

    def __init__(self, name, argv, errs):
        self.name, self.argv, self._errs = name, argv, errs
        self.p = None
        self.marks = {}
        self._news = asyncio.Event()
        self.facts = {}

    async def start(self):
        """Starts the process."""
        self.marks, self.facts = {}, dict(self.facts)
        err = open(os.path.join(self._errs, self.name + ".log"), "ab")
        self.p = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self.argv,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=err,
        )
        err.close()
        self._reader = asyncio.ensure_future(self._read(self.p))
        return self

    async def _read(self, p):
        while True:
            line = (await p.stdout.readline()).decode()
            if not line:
                break
            w, *rest = line.split()
            if p is self.p:
                self.facts.update(x.split("=", 1) for x in rest)
                self.marks[w] = self.marks.get(w, 0) + 1
                self._news.set()
        if p is self.p:
            self.marks["ended"] = 1
            self._news.set()

    async def mark(self, w, secs=20):
        """Waits for a line of signal."""

        async def wait():
            while w not in self.marks:
                if "ended" in self.marks and w != "ended":
                    raise RuntimeError(f"{self.name} ended before it was {w}")
                self._news.clear()
                await self._news.wait()

        await asyncio.wait_for(wait(), secs)
        return self.facts

    def tell(self, line):
        """One line to its standard input."""
        self.p.stdin.write(line.encode() + b"\n")

    def poke(self, s):
        """Sends a signal, by process id."""
        if self.p.returncode is None:
            os.kill(self.p.pid, s)

    def burnt(self):
        """Processor seconds used so far."""
        try:
            with open(f"/proc/{self.p.pid}/stat", encoding="ascii") as h:
                row = h.read().rsplit(")", 1)[1].split()
            return (int(row[11]) + int(row[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):
            return 0.0

    async def end(self, s=signal.SIGTERM, secs=20):
        """Signals and waits for the exit code."""
        self.poke(s)
        return await asyncio.wait_for(self.p.wait(), secs)


class _Edge:
    """A visitor's way to one edge."""

    def __init__(self, fleet, proc):
        self._f, self._p = fleet, proc

    async def open_session(self):
        """POST /sessions."""
        return await fetch(
            self._p.facts["http"], "POST", "/sessions", http=self._f.http, us=8_000_000
        )

    async def statement(self, sid, d):
        """POST /sessions/{sid}."""
        return await fetch(
            self._p.facts["http"],
            "POST",
            f"/sessions/{sid}",
            doc=d,
            http=self._f.http,
            us=8_000_000,
        )


class Fleet:
    """Starts, drives and ends a fleet."""

    def __init__(self, folder, size="small", seed=1, lag_us=None, cuts=False, **bounds):
        os.makedirs(folder, exist_ok=True)
        self.dir, self.size, self.z = folder, size, SIZES[size]
        self.lag_us = self.z["lag_us"] if lag_us is None else lag_us
        self.bounds, self.cuts = bounds, cuts
        self.rng = random.Random(seed)
        self.procs = {}
        self.hist, self.clients = [], []
        self.tasks, self.clock = BackgroundTasks(), Clock()
        self._burnt = {}
        self.loop = None

    def _proc(self, name, *argv):
        p = self.procs[name] = Proc(name, argv, self.dir)
        return p

    def _program(self, name):
        return (
            ("petrelhaven.simulator.resumable.partition", name)
            if self.cuts
            else (f"petrelhaven.{name}",)
        )

    async def cut(self, names, others):
        """Cuts the links between two sets of daemons; with none in `others`, heals those of `names`."""
        for a, b in ((names, others), (others, names)):
            line = "cut " + ",".join(self.procs[n].facts["link"] for n in b) if b else "heal"
            for n in a:
                self.procs[n].marks.pop(line.split()[0].replace("heal", "healed"), None)
                self.procs[n].tell(line)
        for n in [*names, *others]:
            await self.procs[n].mark("cut" if others else "healed", 5)

    async def start(self):
        """Starts everything; returns once every edge is ready."""
        self.loop = asyncio.get_running_loop()
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=400))
        hs = self.z["halls"]
        plat = await self._proc(
            "platform", "petrelhaven.emulator.main", "platform", "--took-us", str(self.z["took_us"])
        ).start()
        await plat.mark("started")
        cores = [
            self._proc(
                f"c{i + 1}",
                *self._program("commands.control"),
                "--name",
                f"c{i + 1}",
                "--hall",
                hs[i],
                "--data",
                os.path.join(self.dir, f"c{i + 1}"),
                "--platform",
                plat.facts["http"],
                "--seeds",
                "-",
            )
            for i in range(3)
        ]
        await asyncio.gather(*[c.start() for c in cores])
        self.seeds = [(await c.mark("listening"))["link"] for c in cores]
        for c in cores:
            c.tell(",".join(self.seeds))
        self.cores = [(await c.mark("started"))["http"] for c in cores]
        rows = []
        for g in range(self.z["groups"]):
            for i in range(3):
                n = f"g{g + 1}m{i + 1}"
                p = self._proc(
                    n,
                    "petrelhaven.emulator.main",
                    "member",
                    "--name",
                    n,
                    "--group",
                    f"g{g + 1}",
                    "--hall",
                    hs[(g + i) % 3],
                    "--role",
                    "replica" if i else "primary",
                    "--source",
                    self.procs[f"g{g + 1}m1"].facts["http"] if i else "",
                    "--cap",
                    str(self.z["cap"]),
                    "--lag-us",
                    str(self.lag_us),
                    "--hot",
                    "--data",
                    os.path.join(self.dir, n),
                )
                await p.start()
                rows.append([n, f"g{g + 1}", (await p.mark("started"))["http"]])
        await fetch(plat.facts["http"], "POST", "/members", doc={"members": rows}, http=self.http)
        for n, _, _ in rows:
            self.procs[n].tell(",".join(self.cores))
        self.edges = []
        for i in range(self.z["edges"]):
            p = self._proc(
                f"e{i + 1}",
                *self._program("commands.proxy"),
                "--name",
                f"e{i + 1}",
                "--hall",
                hs[i % 3],
                "--seeds",
                ",".join(self.seeds),
            )
            self.edges.append(_Edge(self, p))
            await p.start()
        await asyncio.gather(*[c.mark("ready") for c in cores])
        self.configuration = configuration(self.size, 1, **self.bounds)
        await self.apply(self.configuration)
        await asyncio.gather(*[e._p.mark("ready") for e in self.edges])
        await self.until(self.settled, 20)
        self.load_balancer = LoadBalancer(
            self.clock,
            self.tasks,
            lambda: [e._p.name for e in self.edges],
            self._is_ready,
            self._warned,
            self._taken,
        )
        self.tasks.spawn(self.load_balancer.run())

    async def apart(self):
        """Makes ways between halls as long as the deployment's; the fleet must have been started with `cuts`."""
        us = self.z["apart_us"] // 2
        for n, p in self.procs.items():
            if n[0] in "ce":
                far = [
                    q.facts[k]
                    for m, q in self.procs.items()
                    if m != "platform" and self.zone_of(m) != self.zone_of(n)
                    for k in (("link",) if m[0] in "ce" else ("http",))
                ]
                p.marks.pop("far", None)
                p.tell(f"far {us} {','.join(far)}")
                await p.mark("far", 5)

    def zone_of(self, name):
        """The hall a process stands in."""
        argv = self.procs[name].argv
        return argv[argv.index("--hall") + 1]

    async def _is_ready(self, name):
        p = self.procs[name]
        await fetch(p.facts["http"], "GET", "/ready", http=self.http, us=500_000)
        return True

    async def _warned(self, name):
        p = self.procs[name]
        p.poke(signal.SIGTERM)
        await p.p.wait()

    async def _taken(self, name):
        await self.procs[name].end(signal.SIGKILL)

    def route(self):
        """The edge that the platform sends the next new connection to, or None."""
        try:
            n = self.load_balancer.pick()
        except Fault:
            return None
        return next(e for e in self.edges if e._p.name == n)

    async def served(self, secs):
        """Seconds until a session opens and every group keeps a write and reads it back; fails past `secs`."""
        v = LoadClient(self, 900, random.Random(4))
        t = self.now()
        g = n = 0
        while g < self.z["groups"]:
            assert self.now() - t < secs, v.last[-4:]
            n += 1
            try:
                if v.sid is None:
                    v.sid = (await v._call(lambda e: e.open_session()))["session"]
                d = {"route": f"g{g + 1}", "verb": "put", "key": "back", "value": n, "try": n}
                if (await v._call(lambda e: e.statement(v.sid, d)))["outcome"] == "kept":
                    d = {"route": f"g{g + 1}", "verb": "get", "key": "back"}
                    assert (await v._call(lambda e: e.statement(v.sid, d)))["value"] >= n
                    g += 1
            except Fault:
                await self.clock.sleep(50_000)
        return self.now() - t

    async def settled(self):
        """The head core's status once every group serves, settled and with both replicas in sync; else falsy."""
        s = await self.head()
        return (
            s
            and len(s["epochs"]) == self.z["groups"]
            and all(e["settled"] and len(e["safe"]) == 2 for e in s["epochs"].values())
            and s
        )

    async def head(self):
        """The head core's status, or None."""
        for a in self.cores:
            try:
                s = await fetch(a, "GET", "/status", http=self.http, us=2_000_000)
                if s["head"] and s["active"]:
                    return s
            except Fault:
                pass

    async def until(self, fn, secs):
        """Asks until `fn` answers truly; returns the answer."""
        return await until(fn, secs)

    async def apply(self, text):
        """Applies a manifest through whichever core answers."""
        for i in range(40):
            try:
                return await fetch(
                    self.cores[i % 3], "POST", "/manifest", data=text.encode(), http=self.http
                )
            except Fault as e:
                if e.status not in (503, 504):
                    raise
                await self.clock.sleep(200_000)
        raise RuntimeError("no core takes the manifest")

    async def again(self, name):
        """Starts an ended process again at its old addresses."""
        p = self.procs[name]
        argv = list(p.argv)
        for k in ("link", "http"):
            if k in p.facts and f"--{k}" not in argv:
                argv += [f"--{k}", p.facts[k]]
        if "--seeds" in argv:
            argv[argv.index("--seeds") + 1] = ",".join(self.seeds)
        if "member" in argv and "--cores" not in argv:
            argv += ["--cores", ",".join(self.cores)]
        if "member" in argv:
            argv = [a for a in argv if a != "--hot"]
        p.argv = argv
        return await p.start()

    def burnt(self):
        """Processor seconds by program, of processes that are up and of those that ended."""
        out = dict(self._burnt)
        for n, p in self.procs.items():
            if p.p and p.p.returncode is None:
                k = self._kind(n)
                out[k] = out.get(k, 0) + p.burnt()
        return out

    @staticmethod
    def _kind(n):
        return {"c": "control", "e": "proxy", "g": "emulator member"}.get(n[0], "emulator platform")

    async def stop(self, name, s=signal.SIGKILL):
        """Ends a process, its processor time counted."""
        p = self.procs[name]
        k = self._kind(name)
        self._burnt[k] = self._burnt.get(k, 0) + p.burnt()
        return await p.end(s)

    async def ask(self, edge, fn, us):
        """A client's request to a proxy.

        `asyncio.wait_for` would swallow a cancellation that meets the reply, and the client would go on.
        """
        async with asyncio.timeout(us / 1e6 + 1):
            return await fn(edge)

    def start_clients(self, count, **kw):
        """Starts visitors."""
        for _ in range(count):
            v = LoadClient(self, len(self.clients), random.Random(self.rng.random()), **kw)
            self.clients.append(v)
            self.tasks.spawn(v.run())

    async def calm(self):
        """Stops the visitors once each knows its last outcome."""
        for v in self.clients:
            v.stop = True

        async def done():
            return all(v.done for v in self.clients)

        await self.until(done, 60)

    async def truth(self):
        """The data of every group's primary."""
        out = {}
        for g, e in (await self.until(self.head, 15))["epochs"].items():
            d = await fetch(self.procs[e["primary"]].facts["http"], "GET", "/data", http=self.http)
            out.update({f"{g}:{k}": v for k, v in d["data"].items()})
        return out

    async def verdict(self):
        """Violations in what the visitors saw and the members counted."""
        out = check(self.hist, await self.truth())
        for n, p in self.procs.items():
            if n.startswith("g") and p.p.returncode is None:
                s = await fetch(p.facts["http"], "GET", "/status", http=self.http)
                if s["most_conns"] > self.z["cap"]:
                    out.append(("cap passed", n, s["most_conns"]))
                if s["flood"] > 25:
                    out.append(("flooded while cold", n, s["flood"]))
        return out

    async def close(self):
        """Ends every process of this fleet, by id."""
        await self.tasks.close()
        await self.http.close()
        for p in self.procs.values():
            if p.p and p.p.returncode is None:
                p.poke(signal.SIGCONT)
                p.poke(signal.SIGKILL)
        for p in self.procs.values():
            if p.p:
                await p.p.wait()

    def longest(self, since=0.0):
        """The longest time a visitor's step took, of those begun after `since`."""
        return max((d for v in self.clients for t, d in v.gaps if t >= since), default=0)

    def now(self):
        """Seconds."""
        return time.monotonic()
