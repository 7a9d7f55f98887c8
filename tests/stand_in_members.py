"""Members, control nodes and settings with tenants for the tests of the stand-ins."""

import contextlib
import functools

import pytest
from aiohttp import web
from stand_in.config_order import ConfigOrder
from stand_in.group import Group
from stand_in.history import History
from stand_in.loopback import network
from stand_in.member import Member
from stand_in.session import Session
from virtual_io import run_in_virtual_time

NET = f"127.{network()}"


@contextlib.asynccontextmanager
async def members(count=3, nodes=(), **settings):
    """A group of `count` running members, and these; `nodes` are the addresses that they send heartbeats to."""
    durations = {"lag_ms": 20, "promote_ms": 30, "work_ms": 1, "connect_ms": 1}
    group = Group("svc", History(), **{**durations, **settings})
    for i in range(count):
        address = f"{NET}.1.{i + 1}:8080"
        group.add(Member(group, f"i-{i}", address, f"hall-{i}", nodes, beat_ms=50))
    started = list(group.members.values())
    try:
        for member in started:
            await member.start()
        yield group, started
    finally:
        for member in group.members.values():
            await member.close()


async def dial(member, *id):
    """Opens a session with a member."""
    return await Session.open(member.address, member.group.service, "test", *id)


async def ask_all(session, *texts):
    """Asks one statement after the other; the code or else the rows of each, and the state after it."""
    got = []
    for i, text in enumerate(texts):
        a = await session.ask(f"{id(session):x}{i:x}", text, 5)
        got.append((a.code or a.rows, a.state))
    return got


async def assert_connection_lost(session):
    """Asserts that the member has closed the session."""
    with pytest.raises(ConnectionError):
        await session.ask("x", "FETCH a", 5)


def run_with_members(test, **settings):
    """Runs `test`, which is given a group and its members, in virtual time."""

    async def go():
        async with members(**settings) as (group, started):
            await test(group, *started)

    run_in_virtual_time(go())


class ControlStub:
    """Two nodes of a control interface that keep what they were sent; the first one sends callers to the second."""

    def __init__(self):
        self.got, self.addresses, self.status, self._runners = [], [], [], []
        self.target = None

    async def __aenter__(self):
        for i in range(2):
            app = web.Application()
            app.router.add_route("*", "/{path:.*}", functools.partial(self._take, i))
            runner = web.AppRunner(app, shutdown_timeout=0.1)
            await runner.setup()
            self.addresses.append(f"{NET}.2.{i + 1}:8180")
            await web.TCPSite(runner, f"{NET}.2.{i + 1}", 8180).start()
            self._runners.append(runner)
        return self

    async def __aexit__(self, *_):
        for runner in self._runners:
            await runner.cleanup()

    async def _take(self, i, request):
        body = await request.json() if request.can_read_body else None
        self.got.append((i, request.path, body))
        if i == 0 and self.target is None:
            raise web.HTTPTemporaryRedirect(f"http://{self.addresses[1]}{request.path}")
        return web.json_response(
            {"BeatTarget": self.target} if self.target else {},
            status=self.status.pop(0) if self.status else 200,
        )


KEYS = {"k3yOne": "one", "k3yTwo": "two"}


def keyed(revision=1, sent_at=0.0, acked_at=0.0, holders=KEYS, **route):
    """The order of a configuration with tenants."""
    tenants = [
        {"Name": name, "ApiKeys": [key for key, holder in holders.items() if holder == name]}
        for name in sorted(set(holders.values()))
    ]
    routes = [{"Hostname": "db", "Service": "svc", **route}]
    config = {"Revision": revision, "Routes": routes, "Tenants": tenants}
    return ConfigOrder(config, sent_at, True, acked_at)
