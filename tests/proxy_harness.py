"""A proxy with one fake member and clients over the line protocol, in virtual time."""

import asyncio
import json
import random
import sys
from pathlib import Path

from virtual_io import LoopClock

sys.path.insert(0, str(Path(__file__).parent.parent / "platform"))

from client_connection import ClientConnection  # noqa: E402
from configuration_documents import configuration_text  # noqa: E402
from petrelhaven.control.state.control_state import ControlState  # noqa: E402
from petrelhaven.proxy.node import ProxyNode  # noqa: E402
from petrelhaven.proxy.pool.member_connection import MemberConnection  # noqa: E402
from petrelhaven.proxy.session.statement import Reply  # noqa: E402
from petrelhaven.runtime.tasks import BackgroundTasks  # noqa: E402
from petrelhaven.simulator.virtual_time import WarpLoop, end_all  # noqa: E402

CONFIG = {
    "Revision": 1,
    "Services": [{"Name": "svc", "ConnLimit": 40, "SyncReplicas": 1}],
    "Routes": [{"Hostname": "db", "Service": "svc", "TimeoutMs": 800, "TargetMs": 300}],
}


class FakeMember:
    """A member that stores committed values and the statements it executed."""

    def __init__(self):
        self.kept, self.ran, self.member_connections, self.pos = {}, [], [], 7
        self.mute = False

    def reply(self, rows=(), state="I", code=None):
        r = Reply(
            rows,
            f"stamp{len(self.ran)}" if code is None else "-",
            code,
            state=state,
            position=(1, self.pos),
        )
        f = asyncio.get_running_loop().create_future()
        if not self.mute:
            f.set_result(r)
        return f


class FakeMemberConnection(MemberConnection):
    def __init__(self, member):
        super().__init__()
        self.member, self.open_, self.prepared = member, None, {}
        member.member_connections.append(self)

    def _run(self, text):
        tokens = text.split(" ")
        if tokens[0] == "EXECUTE":
            return self._run(" ".join([self.prepared[tokens[1]].split(" ")[0], *tokens[2:]]))
        state = "I" if self.open_ is None else "T"
        if tokens[0] == "FETCH":
            key = text.split(" ", 1)[1]
            return self.member.reply(
                [{**self.member.kept, **(self.open_ or {})}.get(key, "")], state
            )
        if tokens[0] == "PUT":
            _, key, data = text.split(" ", 2)
            if data == "fail":
                return self.member.reply(state=state if state == "I" else "E", code="failed")
            (self.member.kept if self.open_ is None else self.open_)[key] = data
            return self.member.reply(state=state)
        assert text == "COMMIT"
        self.member.kept.update(self.open_)
        self.open_ = None
        return self.member.reply()

    def send_statement(self, statement, after=None, alias=None):
        text = statement.text if alias is None else f"EXECUTE {alias} {statement.data}"
        self.member.ran.append((statement.number, statement.text))
        return self._run(text)

    def send_session_statement(self, verb, args=(), num="-"):
        if verb == "begin":
            self.open_ = {}
            return self.member.reply(state="T")
        if verb == "prepare":
            self.prepared[args[0]] = args[1]
        if verb == "reset":
            self.prepared = {}
        if verb == "rollback":
            self.open_ = None
        return self.member.reply(state="I" if self.open_ is None else "T")

    def send_command(self, verb, *args):
        f = asyncio.get_running_loop().create_future()
        f.set_result({"role": "primary", "term": 1, "pos": (1, self.member.pos), "held": 0})
        return f

    def close(self):
        self.lost = True


class FakeConnector:
    def __init__(self, member):
        self.member = member

    async def open(self, addr, group, member, us, tenant=""):
        return FakeMemberConnection(self.member)


class FakeCoreConnection:
    holds_lease, lease_confirmed, proxy_count, state_age_us = True, True, 3, 0

    def __init__(self):
        self.control_state, self.on_change = ControlState(), []

    def start(self):
        pass

    def suspect(self, group, member, how):
        pass


class FakeTransport:
    """Collects written bytes; calls `connection_lost` once, as a real transport does."""

    def __init__(self):
        self.out, self.closed, self.aborted, self.front = b"", False, False, None

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *_):
        pass

    def write(self, data):
        assert not self.closed
        self.out += data

    def is_closing(self):
        return self.closed

    def close(self):
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.front.connection_lost, None)

    def abort(self):
        self.aborted = True
        self.close()


class ProxyHarness:
    """A proxy with one primary member, and client connections to the proxy."""

    def __init__(self, leave_starting=False):
        self.member, self.core_connection, self.clients = FakeMember(), FakeCoreConnection(), set()
        self.clock, self.tasks = LoopClock(), BackgroundTasks()
        self.proxy = ProxyNode(
            "e",
            "a",
            self.clock,
            self.tasks,
            random.Random(1),
            self.core_connection,
            FakeConnector(self.member),
            lambda h: 0,
            1_000_000,
            1_000_000,
        )
        if not leave_starting:
            self.configure(CONFIG)

    def configure(self, config):
        text = configuration_text(json.dumps(config).encode(), ["a"])
        recs = [
            {"t": "manifest", "text": text, "version": config["Revision"]},
            {
                "t": "member",
                "name": "m1",
                "group": "svc",
                "hall": "a",
                "addr": "1.1.1.1:1",
                "role": "primary",
                "state": "ready",
                "slots": 9,
                "count": 1,
            },
            {
                "t": "office",
                "group": "svc",
                "n": config["Revision"],
                "phase": "serve",
                "primary": "m1",
                "term": 1,
                "cause": "",
                "by": "c",
            },
        ]
        for r in recs:
            self.core_connection.control_state.apply(self.core_connection.control_state.seq + 1, r)
        for fn in self.core_connection.on_change:
            fn(recs, False)

    def client(self, connect=b"CONNECT db me\r\n"):
        tr = FakeTransport()
        f = ClientConnection(self.proxy, self.clients)
        tr.front = f
        f.connection_made(tr)
        if connect:
            f.data_received(connect)
        return f, tr


async def settle(s=3.0):
    """Sleeps in virtual time, long enough for pending operations to end."""
    await asyncio.sleep(s)


def run_on_proxy(fn, **kw):
    """Runs `fn(harness)` in virtual time and returns its result."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        return await fn(ProxyHarness(**kw))

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def replies(out):
    """Returns the replies after the READY to CONNECT, as (rows, COMPLETE or ERROR line, READY text)."""
    lines = out.split(b"\r\n")
    assert lines.pop() == b"" and lines.pop(0) == b"READY I -"
    got, rows, end = [], [], None
    for ln in lines:
        w, _, rest_ = ln.partition(b" ")
        if w == b"ROW":
            assert end is None
            rows.append(rest_)
        elif w in (b"COMPLETE", b"ERROR"):
            assert end is None, ln
            end = ln
        else:
            assert w == b"READY" and end is not None, ln
            got.append((rows, end, rest_))
            rows, end = [], None
    return got, end


def queries(*texts):
    return b"".join(
        b"QUERY %d %s\r\n" % (i, t if isinstance(t, bytes) else t.encode())
        for i, t in enumerate(texts)
    )


async def answers(harness, *texts):
    client, transport = harness.client()
    client.data_received(queries(*texts))
    await settle()
    got, end = replies(transport.out)
    assert end is None and not transport.aborted
    return [
        (
            rows,
            end.decode("utf-8", "surrogateescape").split(" ")[0 if end[:1] == b"C" else 1],
            ready[:1].decode(),
        )
        for rows, end, ready in got
    ]
