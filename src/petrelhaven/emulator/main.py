"""petrelhaven-emulator: stand-in members and platform, for trying a fleet out."""

import argparse
import asyncio
import contextlib
import sys

import aiohttp

from petrelhaven.emulator.balancer import LoadBalancer
from petrelhaven.emulator.member import Member
from petrelhaven.emulator.platform import PlatformLogic
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.daemon import print_line
from petrelhaven.runtime.errors import Fenced, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.http import fetch
from petrelhaven.transport.http_server import HttpServer, body_of

__all__ = ["main"]


def _parser():
    p = argparse.ArgumentParser(
        prog="petrelhaven-emulator",
        description="Stand-ins: a small real database member, a platform.",
    )
    sub = p.add_subparsers(dest="verb", required=True)
    m = sub.add_parser("member", help="one member of a group")
    m.add_argument("--name", required=True)
    m.add_argument("--group", required=True)
    m.add_argument("--hall", required=True)
    m.add_argument("--role", choices=("primary", "replica"), default="replica")
    m.add_argument("--source", default="", help="address of the primary to follow")
    m.add_argument("--http", default="127.0.0.1:0")
    m.add_argument(
        "--cores", default="-", help="HTTP addresses of the cores; - reads them from standard input"
    )
    m.add_argument("--cap", type=int, default=40)
    m.add_argument("--lag-us", type=int, default=60_000)
    m.add_argument("--warm-us", type=int, default=3_000_000)
    m.add_argument("--hot", action="store_true", help="start warmed up")
    m.add_argument("--data", help="folder of its journal")
    f = sub.add_parser("platform", help="the platform")
    f.add_argument("--http", default="127.0.0.1:0")
    f.add_argument("--took-us", type=int, default=300_000)
    return p


async def _platform(a):
    clock, tasks = Clock(), BackgroundTasks()
    members = {}
    h, p = a.http.rsplit(":", 1)
    http_server = HttpServer(h, int(p))
    http = aiohttp.ClientSession()

    async def tell(member, verb, kw):
        g, addr = members[member]
        if "source" in kw:
            kw = {**kw, "source": members[kw["source"]][1]}
        try:
            async with http.post(
                f"http://{addr}/{verb}", json=kw, timeout=aiohttp.ClientTimeout(total=1)
            ) as r:
                if r.status != 200:
                    raise Fenced((await r.json()).get("fault", "?"))
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            raise Unreachable(member) from None

    logic = PlatformLogic(
        clock, tell, lambda g: [n for n, (x, _) in members.items() if x == g], a.took_us
    )

    async def register(req):
        for n, g, addr in (await body_of(req))["members"]:
            members[n] = (g, addr)
        return {"ok": True}

    async def promote(req):
        b = await body_of(req)
        return await logic.promote(b["group"], b["member"], b["epoch"], b["by"])

    async def switch(req):
        b = await body_of(req)
        logic.decline = bool(b.get("decline", logic.decline))
        logic.slow_us = int(b.get("slow_us", logic.slow_us))
        logic.unanswered = int(b.get("unanswered", logic.unanswered))
        return {"ok": True}

    async def calls(req):
        return {"calls": logic.calls}

    edges = []

    async def enroll(req):
        edges[:] = (await body_of(req))["edges"]
        return {"ok": True}

    async def ready(addr):
        await fetch(addr, "GET", "/ready", us=500_000, http=http)
        return True

    load_balancer = LoadBalancer(clock, tasks, lambda: edges, ready, None, None)
    tasks.spawn(load_balancer.run())

    async def route(req):
        return {"edge": load_balancer.pick()}

    for v, path, fn in (
        ("POST", "/members", register),
        ("POST", "/promote", promote),
        ("POST", "/feint", switch),
        ("GET", "/calls", calls),
        ("POST", "/edges", enroll),
        ("GET", "/route", route),
    ):
        http_server.on(v, path, fn)
    print_line(f"started name=platform http={await http_server.start()}")
    await logic.tend()


def main(argv=None):
    """Runs a stand-in until it is killed."""
    a = _parser().parse_args(argv)

    async def run():
        await (Member(a).run() if a.verb == "member" else _platform(a))

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run())
    sys.exit(0)


if __name__ == "__main__":
    main()
