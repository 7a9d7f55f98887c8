"""The stand-in of a client, judged through a proxy that passes on what it gets or changes it."""

import asyncio
import contextlib

import pytest
from stand_in.client import Client
from stand_in.config_order import ConfigOrder
from stand_in.judge import judge
from stand_in.route import Route
from stand_in.router import Router
from stand_in.until import until
from stand_in.wire import Wire
from stand_in_members import (
    KEYS,
    NET,
    ControlStub,
    ask_all,
    dial,
    keyed,
    members,
)
from virtual_io import run_in_virtual_time


def test_the_router_uses_ready_nodes_and_then_other_zones():
    async def go():
        async with ControlStub() as c:
            c.target = "-"
            nodes = [
                ("a", "z1", "front-a", c.addresses[0]),
                ("b", "z2", "front-b", c.addresses[1]),
                ("c", "z2", "front-c", f"{NET}.2.9:1"),
            ]
            r = Router(lambda: nodes, ["z1", "z2"], gap=0.03).start()
            await until(lambda: r.ready() == {"a", "b"})
            assert {r.pick("z2", f"u{i}") for i in range(9)} == {"front-b"}
            c.status += [503] * 40
            await until(lambda: not r.ready())
            with pytest.raises(ConnectionError):
                r.pick("z1", "u")
            c.status.clear()
            await until(lambda: "b" in r.ready())
            nodes.remove(nodes[0])
            assert r.pick("z1", "u") == "front-b"
            await r.close()

    run_in_virtual_time(go())


class PassThroughProxy:
    """A front that gives every client a member connection of its own; `spoil` may bend what goes through it.

    `name` is given what the client shows and answers with the name that the member is told.
    """

    def __init__(self, member, spoil=lambda line: line, name=lambda shown: "front"):
        self.member, self.spoil, self.address = member, spoil, f"{NET}.4.1:8182"
        self.name = name

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, f"{NET}.4.1", 8182)
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        client = Wire(reader, writer)
        with contextlib.suppress(ConnectionError):
            shown = self._there(await client.read()).split(" ", 2)[2]
            inner = await Wire.open(self.member.address)
            inner.send("CONNECT", "svc", self.name(shown))
            while True:
                while not (line := self._there(await inner.read())).startswith("READY"):
                    client.send(line)
                client.send(line)
                inner.send(self.spoil(self._there(await client.read())))
        client.close()
        inner.close()

    @staticmethod
    def _there(line):
        if line is None:
            raise ConnectionError
        return line


def replacing(old, new, from_nth=5):
    """Replaces `old` in what passes, from its nth time on."""
    seen = []

    def spoil(line):
        if old in line:
            seen.append(line)
        return line.replace(old, new) if len(seen) >= from_nth else line

    return spoil


@pytest.mark.parametrize(
    "at,spoil,rule",
    [
        (0, replacing("none", "none"), None),
        (1, replacing("none", "none"), "STALE"),
        (0, replacing("PUT 1 ", "PUT 2 ", 1), "UNASKED"),
        (0, replacing("ROLLBACK", "COMMIT", 1), "UNASKED"),
        (0, replacing("SET lang", "SET long", 1), "PINNED"),
        (0, replacing("EXECUTE s1", "EXECUTE s2"), "PINNED"),
        (0, replacing("BEGIN FETCH", "RESET", 1), "PINNED"),
    ],
)
def test_clients_through_a_front_are_judged(at, spoil, rule):
    async def go():
        async with members(lag_ms=150) as (g, ms):
            h = g.history
            h.configs.append(
                ConfigOrder({"Revision": 1, "Routes": [{"Hostname": "db", "Service": "svc"}]}, 0.0)
            )
            async with PassThroughProxy(ms[at], spoil) as front:
                if at:

                    async def feed():
                        s = await dial(ms[0])
                        for i in range(80):
                            await ask_all(s, f"PUT {i % 5:x} w{i}")

                    fed = asyncio.ensure_future(feed())
                route = Route("db", "svc", writes=0.0 if at else 0.5, transactions=0.5)
                cs = [
                    Client(
                        f"u{i}", route, lambda n: front.address, h, rate=100, pause_ms=2, things=5
                    )
                    for i in range(4)
                ]
                await asyncio.gather(*(c.run(1.0) for c in cs))
                if at:
                    await fed
            ops = [o for c in cs for o in c.operations if not o.left]
            seen = {v.rule for v in judge(h)}
            if rule is None:
                assert not judge(h) and len(ops) > 40 and all(o.served for o in ops)
                assert {a.outcome for a in h.attempts} >= {"ok", "left"}
            else:
                assert rule in seen

    run_in_virtual_time(go())


# guards against a judge that misses UNASKED and ROUTE while members and clients do wrong
@pytest.mark.parametrize(
    "name,keys,rule",
    [
        (KEYS.get, KEYS, None),
        (lambda shown: "petrelhaven", KEYS, "UNASKED"),
        (lambda shown: "one", KEYS, "UNASKED"),
        (lambda shown: shown, KEYS, "UNASKED"),
        (lambda shown: KEYS.get(shown, "one"), ["k3yOne", "n3verHeld"], "ROUTE"),
    ],
    ids=["right", "a constant", "always the first tenant's", "the key itself", "a stranger's key"],
)
def test_names_and_keys_are_judged_through_a_front(name, keys, rule):
    async def go():
        async with members() as (g, (p, *_)), PassThroughProxy(p, name=name) as front:
            g.history.configs.append(keyed())
            route = Route("db", "svc", writes=0.3, transactions=0.5)
            cs = [
                Client(
                    f"u{i}",
                    route,
                    lambda n: front.address,
                    g.history,
                    rate=100,
                    pause_ms=2,
                    things=5,
                    key=key,
                )
                for i, key in enumerate(keys)
            ]
            await asyncio.gather(*(c.run(0.5) for c in cs))
            assert {a.key for a in g.history.attempts} == set(keys)
            assert sum(o.served for c in cs for o in c.operations) > 20
            assert {v.rule for v in judge(g.history)} == ({rule} if rule else set())

    run_in_virtual_time(go())


def test_a_client_that_is_denied_shows_its_new_key_in_a_new_session():
    async def go():
        async with members() as (g, (p, *_)):
            valid = {"k3yOne", "k3yTwo"}

            class Denying(PassThroughProxy):
                shown = []

                async def _serve(self, reader, writer):
                    client = Wire(reader, writer)
                    key = (await client.read()).split(" ", 2)[2]
                    self.shown.append(key)
                    if key not in valid:
                        client.send("ERROR", "DENIED", "no tenant has this key")
                        client.close()
                        return
                    client.send("READY", "I", "-")
                    while await client.read() not in (None, "QUIT"):
                        if key in valid:
                            client.send("COMPLETE", "-")
                        else:
                            client.send("ERROR", "DENIED", "no tenant has this key any more")
                        client.send("READY", "I", "-")
                    client.close()

            async with Denying(p) as front:
                route = Route("db", "svc", writes=0.0, transactions=0.0)
                c = Client("u", route, lambda n: front.address, g.history, key="k3yOne")
                assert (await c.operate()).served
                c.key = "k3yTwo"
                assert (await c.operate()).key == "k3yOne"
                valid.discard("k3yOne")
                o = await c.operate()
                assert (o.served, o.key, o.tries) == (True, "k3yTwo", 2)
                assert front.shown == ["k3yOne", "k3yTwo"]
                valid.clear()
                o = await c.operate()
                assert (o.served, o.last, o.tries) == (False, "DENIED", 3)
                c._close()

    run_in_virtual_time(go())


def test_a_client_tries_again_as_a_whole_with_new_ids():
    async def go():
        async with members() as (g, (p, *_)), PassThroughProxy(p) as front:
            c = Client(
                "u",
                Route("db", "svc", writes=1.0, transactions=0.0),
                lambda n: front.address,
                g.history,
            )
            assert (await c.operate()).served
            g.history.attempts.clear()
            p.refuse = True
            o = await c.operate()
            assert (o.served, o.tries, o.last) == (False, 3, "BUSY")
            tries = [a.statements for a in g.history.attempts]
            assert (
                len({s.id for ss in tries for s in ss}) == 3
                and len({ss[0].text.split()[-1] for ss in tries}) == 1
            )
            p.refuse, p.losing, p.lost_how = False, 1, "cut"
            o = await c.operate()
            assert (o.served, o.tries, o.last) == (False, 1, "cut")
            assert (await c.operate()).served
            c._close()

    run_in_virtual_time(go())
