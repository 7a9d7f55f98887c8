"""Scenes of edges and sessions: killed, frozen, restarted, overloaded."""

import asyncio

from petrelhaven.runtime.errors import Fault
from petrelhaven.simulator.resumable.scenes.base import end, load
from petrelhaven.simulator.resumable.storm import back
from petrelhaven.simulator.resumable.world import configuration

__all__ = [
    "twins",
    "killed_edge",
    "frozen_edge",
    "rolling",
    "shares",
    "overload",
    "clock_back",
    "every_edge",
    "warned",
    "warned_late",
    "idle",
]


async def twins(w):
    """Two edges of different halls die at once, pair by pair, then one while the other is made good."""
    await load(w, 24, pause=0.05, writes=0.5, txns=0.1)
    for i, gap in ((0, 0.0), (1, 0.0), (2, 0.9)):
        a, b = w.edges[i], w.edges[(i + 1) % 3]
        a.kill()
        await asyncio.sleep(gap)
        b.kill()
        await asyncio.sleep(8)
        w.boot_edge(a)
        w.boot_edge(b)
        await asyncio.sleep(5)
    return await end(w, await back(w, 12))


async def killed_edge(w):
    """Every edge is killed in turn amid writes."""
    await load(w, 16, pause=0.03, writes=0.6, txns=0.2)
    for b in w.edges:
        b.kill()
        await asyncio.sleep(6)
        w.boot_edge(b)
        await asyncio.sleep(4)
    return await end(w, await back(w, 12))


async def frozen_edge(w):
    """Every edge freezes in turn for longer than a lease, amid writes, and wakes."""
    await load(w, 12, pause=0.05, writes=0.6, txns=0.2)
    for b in w.edges:
        b.freeze(5_500_000)
        await asyncio.sleep(9)
    return await end(w, await back(w, 12))


async def rolling(w):
    """Every process is restarted in turn under load: no session is closed and few statements are declined."""
    await load(w, 18, pause=0.1)
    for b in w.edges:
        await b.tasks.spawn(b.node.drain())
        b.kill()
        await asyncio.sleep(0.3)
        w.boot_edge(b)
        await w.until(lambda: b.node.ready, 15, "edge ready again")
        await asyncio.sleep(1)
    for b in w.cores:
        b.kill()
        await asyncio.sleep(0.3)
        w.boot_core(b)
        await w.until(lambda: b.node.ready, 15, "core ready again")
        await asyncio.sleep(1)
    for n, b in sorted(w.members.items()):
        b.node.draining = True
        await w.until(lambda: w.head_epochs()[n[:2]]["primary"] != n, 8, "another primary")
        await asyncio.sleep(3)
        keep = b.node
        b.kill()
        keep.draining = False
        await asyncio.sleep(0.5)
        w.boot_member(n, keep)
        await w.until(lambda: len(w.head_epochs()[n[:2]]["safe"]) == 2, 30, f"{n} in sync again")
    return await end(w)


async def shares(w):
    """Edges come and go; no member is ever asked for more connections than it allows."""
    await load(w, 30, pause=0.02, writes=0.1, txns=0.8)
    for i in range(2):
        b = w.edges[i % len(w.edges)]
        b.kill()
        await asyncio.sleep(5)
        w.net.cut([w.edges[(i + 1) % len(w.edges)].name], [c.name for c in w.cores], 2_500_000)
        w.boot_edge(b)
        await asyncio.sleep(4)
    full = sum(m.node.full for m in w.members.values())
    return await end(w, [("members asked beyond their cap", full)] if full else [])


async def overload(w):
    """Far more statements than slots: shed at once with a retry-after, sessions kept."""
    await w.start()
    e = w.edges[0].node
    sids = [(await e.open_session())["session"] for _ in range(60)]
    bad = []
    w.members["g1m1"].node.silent = True
    t = w.loop.time()
    shed = []

    async def one(sid):
        try:
            await e.statement(sid, {"route": "g1", "verb": "put", "key": "k", "value": 1, "try": 1})
        except Fault as f:
            if f.code == "busy":
                shed.append(w.loop.time() - t)
                if f.retry_after_us is None:
                    bad.append(("shed without a retry-after",))

    ts = [asyncio.ensure_future(one(s)) for s in sids]
    await asyncio.sleep(0.01)
    if len(shed) < 20 or max(shed) > 0.005:
        bad.append(("not shed at once", len(shed), max(shed, default=None)))
    w.seen["shed"] = len(shed)
    await asyncio.gather(*ts)
    w.members["g1m1"].node.silent = False
    await asyncio.sleep(6)
    for s in sids:
        r = await e.statement(s, {"verb": "set", "name": "a", "value": 1})
        if not r.get("ok"):
            bad.append(("session lost", s))
    return bad


async def clock_back(w):
    """Machines come back with their clocks set far back: they are taken in all the same."""
    await load(w, 12, pause=0.1)
    bad = []
    for i, b in enumerate([w.edges[0], w.cores[0], w.edges[1], w.edges[0], w.cores[1], w.edges[0]]):
        b.kill()
        b.clock.base -= 10_000_000_000 * (i + 1)
        await asyncio.sleep(0.4 if i % 2 else 5)
        (w.boot_core if b in w.cores else w.boot_edge)(b)
        try:
            await w.until(lambda b=b: b.node.ready, 9, f"{b.name} taken in")
        except AssertionError as e:
            bad.append(("not taken in with its clock set back", str(e)))
        await asyncio.sleep(2)
    return await end(w, bad + await back(w, 12))


async def every_edge(w):
    """Every edge dies at once: no copy is left; a returning visitor is told so at once and can begin anew."""
    await w.start()
    e = w.edges[0].node
    sid = (await e.open_session())["session"]
    await e.statement(sid, {"verb": "put", "route": "g1", "key": "k", "value": 1, "try": 1})
    for b in w.edges:
        b.kill()
    await asyncio.sleep(1)
    for b in w.edges:
        w.boot_edge(b)
    bad = await back(w, 12)
    await w.until(lambda: all(b.node.ready for b in w.edges), 12, "edges ready")
    t = w.loop.time()
    try:
        await w.edges[1].node.statement(sid, {"verb": "get", "route": "g1", "key": "k"})
        bad.append(("a session that nobody holds was served",))
    except Fault as f:
        if f.code != "no-session" or w.loop.time() - t > 1:
            bad.append(("not told at once that the session is lost", f.code, w.loop.time() - t))
    s = await w.edges[1].node.open_session()
    r = await w.edges[2].node.statement(s["session"], {"verb": "get", "route": "g1", "key": "k"})
    return bad + ([] if r["value"] == 1 else [("acknowledged commit lost", r)])


async def warned(w):
    """The platform warns an edge, a core, the head amid load, kills each 6 s later: each has handed over."""
    await load(w, 18, pause=0.08)
    bad, odd = [], []

    async def newcomers():
        while True:
            await asyncio.sleep(0.05)
            b = w.route()
            try:
                await w.ask(b, lambda e: e.open_session())
            except Fault as f:
                if f.code in ("not-ready", "no-lease"):
                    odd.append((b.name, f.code))

    new = w.out.tasks.spawn(newcomers())
    for b in [w.edges[0], w.cores[2], w.edges[1], w.cores[0]]:
        t = w.loop.time()
        if not await w.load_balancer.stop(b.name, 6_000_000):
            bad.append(("not done when the warning ran out", b.name))
        w.seen[f"{b.name}_left_us"] = int((w.loop.time() - t) * 1e6)
        t = w.loop.time()
        bad += await back(w, 12)
        w.seen[f"{b.name}_gap_us"] = int((w.loop.time() - t) * 1e6)
        await w.apply(configuration(w.size, len(w.load_balancer.stopped) + 1), by=1)
        (w.boot_core if b in w.cores else w.boot_edge)(b)
        await w.until(lambda b=b: b.node.ready, 12, f"{b.name} ready again")
        await asyncio.sleep(1)
    new.cancel()
    if odd:
        bad.append(("a new connection was sent to a node that was not ready", len(odd), odd[0]))
    return await end(w, bad)


async def warned_late(w):
    """Warnings far too short, 0 to 0.6 s, for edge after edge and core after core: no session is closed."""
    await load(w, 14, pause=0.06, writes=0.5)
    for i in range(8):
        b = w.edges[i % 3] if i % 4 != 3 else w.cores[i % 3]
        await w.load_balancer.stop(b.name, 90_000 * i)
        await asyncio.sleep(4)
        (w.boot_core if b in w.cores else w.boot_edge)(b)
        await asyncio.sleep(3)
    return await end(w, await back(w, 12))


async def idle(w, rounds=1, calm=6):
    """Sessions sit idle while every machine is restarted in turn, and come back whole."""
    await w.start()
    asked = []
    for i in range(12):
        e = w.edges[i % 3].node
        sid = (await e.open_session())["session"]
        await e.statement(sid, {"verb": "set", "name": "who", "value": f"me-{i}"})
        await e.statement(
            sid, {"verb": "prepare", "name": "p", "statement": {"verb": "show", "name": "who"}}
        )
        d = {"verb": "add", "route": "g1", "key": f"k{i}", "value": 1, "try": 7}
        asked.append((i, sid, d, await e.statement(sid, d)))
    for n in range(rounds):
        for i, b in enumerate([*w.edges, *w.cores, *w.members.values()]):
            await asyncio.sleep(calm)
            keep = b.node
            if (i + n) % 2 and hasattr(keep, "drain"):
                await asyncio.wait([b.tasks.spawn(keep.drain())])
            b.kill()
            await asyncio.sleep(0.5)
            if b in w.cores or b in w.edges:
                (w.boot_core if b in w.cores else w.boot_edge)(b)
                await w.until(lambda b=b: b.node.ready, 15, "ready again")
            else:
                w.boot_member(b.name, keep)
    await asyncio.sleep(calm)
    bad = await back(w, 12)
    w.seen["idle_s"] = int(w.loop.time())
    for i, sid, d, r in asked:
        try:
            e = w.edges[(i + 1) % 3].node
            got = await e.statement(sid, {"verb": "exec", "route": "g1", "name": "p", "args": []})
            if got["value"] != f"me-{i}":
                bad.append(("session value lost or mixed", sid, got))
            again = await e.statement(sid, d)
            if again["outcome"] != r["outcome"] or not again["repeated"]:
                bad.append(("a try was forgotten", sid, again))
        except Fault as f:
            bad.append(("session closed", sid, f.code))
    return bad + w.verdict()
