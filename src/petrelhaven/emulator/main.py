"""petrelhaven-emulator: stand-in members and platform, for trying a fleet out."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
from collections.abc import Sequence
from typing import Any

import aiohttp
from aiohttp import web

from petrelhaven.emulator.balancer import LoadBalancer
from petrelhaven.emulator.member import Member, MemberOptions
from petrelhaven.emulator.platform import PlatformLogic
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.daemon import print_line
from petrelhaven.runtime.errors import Fenced, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.transport.http import fetch
from petrelhaven.transport.http_server import HttpServer, read_json_body

__all__ = ["main"]

_MEMBER_LIMIT = aiohttp.ClientTimeout(total=1)
_READY_LIMIT_US = 500_000
_HTTP_OK = 200

Document = dict[str, Any]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="petrelhaven-emulator",
        description="Stand-ins: a small real database member, a platform.",
    )
    verbs = parser.add_subparsers(dest="verb", required=True)
    _add_member(verbs.add_parser("member", help="one member of a group"))
    platform = verbs.add_parser("platform", help="the platform")
    platform.add_argument("--http", default="127.0.0.1:0")
    platform.add_argument("--took-us", type=int, default=300_000)
    return parser


def _add_member(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--name", required=True)
    parser.add_argument("--group", required=True)
    parser.add_argument("--hall", dest="zone", required=True)
    parser.add_argument("--role", choices=("primary", "replica"), default="replica")
    parser.add_argument("--source", default="", help="address of the primary to follow")
    parser.add_argument("--http", default="127.0.0.1:0")
    parser.add_argument(
        "--cores",
        dest="control",
        default="-",
        help="HTTP addresses of the cores; - reads them from standard input",
    )
    parser.add_argument("--cap", dest="max_connections", type=int, default=40)
    parser.add_argument("--lag-us", type=int, default=60_000)
    parser.add_argument("--warm-us", type=int, default=3_000_000)
    parser.add_argument("--hot", dest="starts_warm", action="store_true", help="start warmed up")
    parser.add_argument("--data", dest="folder", help="folder of its journal")


class _Platform:
    """The stand-in platform as a process: failover and load balancer behind HTTP."""

    def __init__(self, address: str, took_us: int) -> None:
        """Serves at `address`; a promotion takes `took_us` microseconds."""
        clock = Clock()
        host, _, port = address.rpartition(":")
        self._http_server = HttpServer(host, int(port))
        self._http = aiohttp.ClientSession()
        self._members: dict[str, tuple[str, str]] = {}
        self._edges: list[str] = []
        self._tasks = BackgroundTasks()
        self._logic = PlatformLogic(clock, self._call_member, self._names_in, took_us)
        self._load_balancer = LoadBalancer(
            clock, self._tasks, lambda: self._edges, self._is_ready, None, None
        )
        for verb, path, handler in (
            ("POST", "/members", self._register),
            ("POST", "/promote", self._promote),
            ("POST", "/feint", self._set_faults),
            ("GET", "/calls", self._calls),
            ("POST", "/edges", self._set_edges),
            ("GET", "/route", self._route),
        ):
            self._http_server.on(verb, path, handler)

    async def run(self) -> None:
        """Serves for good."""
        self._tasks.spawn(self._load_balancer.run())
        print_line(f"started name=platform http={await self._http_server.start()}")
        await self._logic.tend()

    def _names_in(self, group: str) -> list[str]:
        return [name for name, (its_group, _) in self._members.items() if its_group == group]

    async def _call_member(self, member: str, verb: str, fields: Document) -> None:
        """Calls a member; `source` in `fields` is a member's name and goes out as its address."""
        _, address = self._members[member]
        if "source" in fields:
            fields = {**fields, "source": self._members[fields["source"]][1]}
        try:
            async with self._http.post(
                f"http://{address}/{verb}", json=fields, timeout=_MEMBER_LIMIT
            ) as response:
                if response.status != _HTTP_OK:
                    raise Fenced((await response.json()).get("fault", "?"))
        except (TimeoutError, aiohttp.ClientError, OSError):
            raise Unreachable(member) from None

    async def _is_ready(self, address: str) -> bool:
        await fetch(address, "GET", "/ready", us=_READY_LIMIT_US, http=self._http)
        return True

    async def _register(self, request: web.Request) -> Document:
        for name, group, address in (await read_json_body(request))["members"]:
            self._members[name] = (group, address)
        return {"ok": True}

    async def _promote(self, request: web.Request) -> Document:
        body = await read_json_body(request)
        return await self._logic.promote(body["group"], body["member"], body["epoch"], body["by"])

    async def _set_faults(self, request: web.Request) -> Document:
        body, logic = await read_json_body(request), self._logic
        logic.decline = bool(body.get("decline", logic.decline))
        logic.slow_us = int(body.get("slow_us", logic.slow_us))
        logic.unanswered = int(body.get("unanswered", logic.unanswered))
        return {"ok": True}

    async def _calls(self, _request: web.Request) -> Document:
        return {"calls": self._logic.calls}

    async def _set_edges(self, request: web.Request) -> Document:
        self._edges[:] = (await read_json_body(request))["edges"]
        return {"ok": True}

    async def _route(self, _request: web.Request) -> Document:
        return {"edge": self._load_balancer.pick()}


async def _run(arguments: argparse.Namespace) -> None:
    if arguments.verb == "member":
        options = {name: value for name, value in vars(arguments).items() if name != "verb"}
        await Member(MemberOptions(**options)).run()
    else:
        await _Platform(arguments.http, arguments.took_us).run()


def main(argv: Sequence[str] | None = None) -> None:
    """Runs a stand-in until it is killed."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run(_parser().parse_args(argv)))
    sys.exit(0)


if __name__ == "__main__":
    main()
