"""Scenes: one fault each, brought about on purpose, with what must hold afterwards."""
import asyncio

from ..creed.fault import Fault
from .storm import back
from .world import manifest

__all__ = ["NEEDS", "SCENES", "SIZE"]


async def _load(w, n=12, secs=1.0, **kw):
    await w.start()
    w.visit(n, **{"pause": 0.05, **kw})
    await asyncio.sleep(secs)


async def _end(w, bad=(), wait=1.0):
    await w.calm()
    await asyncio.sleep(wait)
    return list(bad) + w.verdict()


async def primary_lost(w):
    """The primary's machine and disk are lost under load."""
    await _load(w)
    w.members["g1m1"].kill()
    t = w.loop.time()
    bad = await back(w, 12)
    w.seen["gap_us"] = int((w.loop.time() - t) * 1e6)
    await asyncio.sleep(1)
    return await _end(w, bad)


def _tally(w, names):
    return sum(w.members[n].node.statements for n in names if w.members[n].node)


async def herd(w):
    """A primary is lost under heavy load: those who waited don't fall on the new one all at once."""
    await _load(w, 90, 3.0, pause=0.1)
    steady = _tally(w, w.members)
    await asyncio.sleep(2)
    steady = (_tally(w, w.members) - steady) / 20
    fetches = sum(e.node.troops["g1"].reads.count["fetches"] for e in w.edges)
    w.members["g1m1"].kill()
    await w.until(lambda: w.head_epochs()["g1"]["primary"] != "g1m1", 8, "another primary")
    fetches = sum(e.node.troops["g1"].reads.count["fetches"] for e in w.edges) - fetches
    peak, last = 0, _tally(w, w.members)
    for _ in range(30):
        await asyncio.sleep(0.1)
        now = _tally(w, w.members)
        peak, last = max(peak, now - last), now
    w.seen["peak_ratio"] = round(peak / steady, 2)
    w.seen["fetches_while_away"] = fetches
    bad = [("herd after an epoch change", peak / steady)] if peak > 3 * steady else []
    if fetches > 40 * len(w.edges):
        bad.append(("herd of fetches", fetches))
    return await _end(w, bad)


async def stale_only(w):
    """Only a replica that missed commits is left: the group waits, says why, and declines writes at once."""
    await _load(w)
    w.members["g1m2"].node.stall = True
    await w.until(lambda: "g1m2" not in w.head_epochs()["g1"]["hold"], 6, "stalled replica out")
    await asyncio.sleep(1)
    a, b = w.members["g1m1"], w.members["g1m3"]
    keep = a.node, b.node
    a.kill()
    b.kill()
    await asyncio.sleep(4)
    bad = []
    head = next(c.node for c in w.cores if c.node.chain.head)
    if "no safe candidate" not in head.duty.why.get("g1", ""):
        bad.append(("does not say why", head.duty.why))
    e = w.edges[0].node
    s = await e.open_session()
    t = w.loop.time()
    try:
        await e.statement(s["session"], {"route": "g1", "verb": "put", "key": "x", "value": 1, "try": 1})
        bad.append(("write taken without a safe primary",))
    except Fault as f:
        if w.loop.time() - t > 0.05 or f.back is None:
            bad.append(("given up, but held back", w.loop.time() - t))
    w.boot_member("g1m3", keep[1])
    await asyncio.sleep(2)
    w.boot_member("g1m1", keep[0])
    bad += await back(w, 12)
    w.members["g1m2"].node.stall = False
    await asyncio.sleep(3)
    return await _end(w, bad)


async def old_primary_cut(w):
    """A hall with the primary and an edge is cut off from the rest, but visitors still reach it."""
    await _load(w, 16)
    w.visit(8, pause=0.02, writes=0.0, browse=0.0, txns=0.0, values=0.0, pin=w.edges[0])
    await asyncio.sleep(0.5)
    a = [b.name for b in w.net.boxes.values() if b.hall == "a"]
    w.net.cut(a, [b.name for b in w.net.boxes.values() if b.hall in ("b", "c")] + ["platform"], 9_000_000)
    await asyncio.sleep(11)
    return await _end(w)


async def region_lost(w, how="vanish"):
    """A whole hall is lost and stays lost; service must be back within 12 s of the loss."""
    await _load(w, 24, writes=0.3)
    h = w.z["halls"][0]
    bs = [b for b in w.net.boxes.values() if b.hall == h]
    if how == "vanish":
        for b in bs:
            w.net.silent.add(b.name)
            b.kill(silent=True)
    else:
        w.net.cut([b.name for b in bs], [b.name for b in w.net.boxes.values() if b.hall != h], 60_000_000)
    t = w.loop.time()
    bad = await back(w, 12)
    w.seen["gap_us"] = int((w.loop.time() - t) * 1e6)
    await asyncio.sleep(12 - (w.loop.time() - t))
    for v in w.visitors:
        v.stop = True
    await asyncio.sleep(5)
    stuck = [v.num for v in w.visitors if not v.done]
    if stuck:
        bad.append(("visitors not served 12 s after the loss", stuck))
    return bad + w.verdict()


async def region_cut(w):
    """The same, with the hall isolated instead of gone, from visitors too."""
    return await region_lost(w, "cut")


async def rolling(w):
    """Every process is restarted in turn under load: no session is closed and few statements are declined."""
    await _load(w, 18, pause=0.1)
    for b in w.edges:
        await b.nest.spawn(b.node.drain())
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
    return await _end(w)


async def racing(w):
    """Two operators race, one edge is cut off; each acknowledged manifest is in force and can be read back."""
    await _load(w, 6, pause=0.2)
    e = w.edges[1]
    w.net.cut([e.name], [c.name for c in w.cores], 8_000_000)
    bad, acked = [], {}

    async def one(v, by, text):
        try:
            r = await w.ask(w.cores[by], lambda n: n.apply(text))
            acked[v] = text
            for b in w.edges:
                d = b.node.control.realm.doc["manifest"]
                if b.node.control.sends and d["version"] < v:
                    bad.append(("acknowledged manifest not in force", b.name, v))
            return r
        except Fault as f:
            if f.code not in ("stale", "duplicate", "late"):
                bad.append(("operator told nothing useful", f.code))
    for v in range(2, 8):
        await asyncio.gather(one(v, 0, manifest(w.size, v)), one(v, 2, manifest(w.size, v, wait_us=200_000)))
    if not acked:
        bad.append(("no manifest was acknowledged",))
    await asyncio.sleep(9)
    d = await w.ask(w.cores[1], lambda n: n.realm())
    old = {m["version"]: m["text"] for m in d["old"] + [d["manifest"]]}
    for v, t in acked.items():
        if old.get(v) != t:
            bad.append(("acknowledged manifest not read back", v))
    return await _end(w, bad)


async def disks(w):
    """All cores are killed at once, again and again; one comes back with an empty disk."""
    await _load(w, 6, pause=0.2)
    text = manifest(w.size, 2)
    await w.apply(text)
    for i in range(3):
        for b in w.cores:
            b.kill()
        if i == 1:
            w.cores[2].disk.lose()
        await asyncio.sleep(0.5)
        for b in reversed(w.cores):
            w.boot_core(b)
        await asyncio.sleep(6)
    bad = [("group halted though its members were well", x) for x in w.net.log if "E321" in x[2]]
    try:
        d = await w.ask(w.cores[0], lambda n: n.realm())
        if d["manifest"]["text"] != text:
            bad.append(("acknowledged manifest lost", d["manifest"]["version"]))
    except (Fault, TypeError) as f:
        bad.append(("acknowledged manifest lost", repr(f)))
    return await _end(w, bad + await back(w, 12))


async def mending(w):
    """Head, middle and tail are lost one by one, then two in turn; each change acknowledged meanwhile stays."""
    await _load(w, 6, pause=0.2)
    bad, v = [], 1

    async def change():
        nonlocal v
        v += 1
        await w.apply(manifest(w.size, v), by=v)

    async def whole():
        await w.until(lambda: all(c.node and c.node.ready for c in w.cores), 15, "chain whole again")
        for c in w.cores:
            if c.node.mem.realm.doc["manifest"]["version"] != v:
                bad.append(("a core slid back", c.name, v))
    for place in (0, 1, 2):
        names = next(c.node for c in w.cores if c.node.ready).chain.view["chain"]
        b = w.net.boxes[names[place]]
        b.kill()
        await asyncio.sleep(3)
        await change()
        w.boot_core(b)
        await whole()
    a, b = w.cores[0], w.cores[1]
    a.kill()
    await asyncio.sleep(3)
    await change()
    b.kill()
    await asyncio.sleep(2)
    if any(e.node.control.sends for e in w.edges):
        bad.append(("an edge sends without a majority of cores",))
    w.boot_core(b)
    await asyncio.sleep(3)
    await change()
    w.boot_core(a)
    await whole()
    return await _end(w, bad + await back(w, 12))


async def cold_member(w):
    """A replica restarts under heavy load: it is not flooded before it is warm."""
    await _load(w, 80, pause=0.03, writes=0.02, txns=0.0, values=0.0)
    b = w.members["g1m2"]
    keep = b.node
    b.kill()
    await asyncio.sleep(1.5)
    w.boot_member("g1m2", keep)
    keep.flood = 0
    await asyncio.sleep(4)
    bad = [("flooded while cold", keep.flood)] if keep.flood > 20 else []
    w.seen["flood"] = keep.flood
    if keep.last_statement == 0:
        bad.append(("never taken back",))
    return await _end(w, bad)


async def shares(w):
    """Edges come and go; no member is ever asked for more connections than it allows."""
    await _load(w, 30, pause=0.02, writes=0.1, txns=0.8)
    for i in range(2):
        b = w.edges[i % len(w.edges)]
        b.kill()
        await asyncio.sleep(5)
        w.net.cut([w.edges[(i + 1) % len(w.edges)].name], [c.name for c in w.cores], 2_500_000)
        w.boot_edge(b)
        await asyncio.sleep(4)
    full = sum(m.node.full for m in w.members.values())
    return await _end(w, [("members asked beyond their cap", full)] if full else [])


async def clock_alone(w):
    """Replicas trail and stall while commits are acknowledged at the primary alone: only the clock keeps reads right."""
    await _load(w, 16, 4.0, pause=0.03, txns=0.0, values=0.0)
    w.members["g1m3"].node.stall = True
    await asyncio.sleep(3)
    w.members["g1m3"].node.stall = False
    await asyncio.sleep(3)
    return await _end(w)


async def browsing_alone(w):
    """The same with browsing reads only: none may be older than the bound."""
    await _load(w, 16, 1.0, pause=0.05, writes=0.3, browse=0.7, txns=0.0, values=0.0)
    w.members["g1m3"].node.stall = True
    await asyncio.sleep(5)
    w.members["g1m3"].node.stall = False
    return await _end(w)


async def frozen_edge(w):
    """Every edge freezes in turn for longer than a lease, amid writes, and wakes."""
    await _load(w, 12, pause=0.05, writes=0.6, txns=0.2)
    for b in w.edges:
        b.freeze(5_500_000)
        await asyncio.sleep(9)
    return await _end(w, await back(w, 12))


async def killed_edge(w):
    """Every edge is killed in turn amid writes."""
    await _load(w, 16, pause=0.03, writes=0.6, txns=0.2)
    for b in w.edges:
        b.kill()
        await asyncio.sleep(6)
        w.boot_edge(b)
        await asyncio.sleep(4)
    return await _end(w, await back(w, 12))


async def unanswered(w):
    """Members complete writes whose results never arrive."""
    await _load(w, 12, pause=0.05, writes=0.6)
    for _ in range(4):
        w.members["g1m1"].node.unanswered = 3
        await asyncio.sleep(2)
    n = sum(h.get("outcome") == "unknown" for h in w.hist)
    return await _end(w, [] if n else [("nothing was left unknown",)])


async def leaving(w):
    """The primary, then a replica, say that they leave; transactions open then end with a typed result."""
    await _load(w)
    bad = []
    e = w.edges[0].node
    sid = (await e.open_session())["session"]
    x = (await e.statement(sid, {"route": "g1", "verb": "begin"}))["txn"]
    for n in ("g1m1", "g1m3"):
        m = w.members[n].node
        m.draining = True
        t0 = m.clock.now()
        await asyncio.sleep(7.2)
        if m.last_statement - t0 > 7_000_000:
            bad.append(("statement to a leaving member", n, m.last_statement - t0))
        w.seen["last_" + n] = m.last_statement - t0
        m.draining = False
        await asyncio.sleep(3)
    try:
        await e.statement(sid, {"verb": "put", "key": "k", "value": 1, "txn": x})
        bad.append(("a transaction moved to another connection",))
    except Fault as f:
        if f.code != "transaction-ended":
            bad.append(("untyped end", f.code))
    r = await e.statement(sid, {"route": "g1", "verb": "put", "key": "k", "value": 1, "try": 1})
    if r["outcome"] != "kept":
        bad.append(("session did not go on", r))
    return await _end(w, bad)


async def emptied(w):
    """A hall is emptied and taken back, gradually."""
    await _load(w, 40, writes=0.1)
    h = w.z["halls"][0]
    await w.hall(h, "emptied")
    t = w.loop.time()
    await asyncio.sleep(5)
    bad = []
    ms = [b.node for b in w.members.values() if b.hall == h]
    marks = [m.last_statement for m in ms]
    w.seen["last_us"] = max(m.last_statement - (m.clock.now() - 5_000_000) for m in ms)
    await asyncio.sleep(3)
    for m, k in zip(ms, marks):
        if m.last_statement != k:
            bad.append(("statement to an emptied hall", m.name, w.loop.time() - t))
    held = [b.name for b in w.edges if b.hall == h and b.node.homes]
    if held:
        bad.append(("sessions left in an emptied hall", held))
    await w.hall(h, "open")
    names = [n for n, b in w.members.items() if b.hall == h]
    for i in range(80):
        await asyncio.sleep(0.1)
        if any(m.last_statement != k for m, k in zip(ms, marks)):
            break
    first = _tally(w, names)
    await asyncio.sleep(1)
    first = _tally(w, names) - first
    await asyncio.sleep(4)
    later = _tally(w, names)
    await asyncio.sleep(1)
    later = _tally(w, names) - later
    w.seen["first_second"], w.seen["sixth_second"] = first, later
    if first > 0.8 * later:
        bad.append(("hall taken back at once", first, later))
    if any(m.last_statement == k for m, k in zip(ms, marks)):
        bad.append(("hall not taken back",))
    return await _end(w, bad)


async def overload(w):
    """Far more statements than slots: shed at once with a retry-after, sessions kept."""
    await w.start()
    e = w.edges[0].node
    sids = [(await e.open_session())["session"] for _ in range(60)]
    bad = []
    w.members["g1m1"].node.dark = True
    t = w.loop.time()
    shed = []

    async def one(sid):
        try:
            await e.statement(sid, {"route": "g1", "verb": "put", "key": "k", "value": 1, "try": 1})
        except Fault as f:
            if f.code == "busy":
                shed.append(w.loop.time() - t)
                if f.back is None:
                    bad.append(("shed without a retry-after",))
    ts = [asyncio.ensure_future(one(s)) for s in sids]
    await asyncio.sleep(0.01)
    if len(shed) < 20 or max(shed) > 0.005:
        bad.append(("not shed at once", len(shed), max(shed, default=None)))
    w.seen["shed"] = len(shed)
    await asyncio.gather(*ts)
    w.members["g1m1"].node.dark = False
    await asyncio.sleep(6)
    for s in sids:
        r = await e.statement(s, {"verb": "set", "name": "a", "value": 1})
        if not r.get("ok"):
            bad.append(("session lost", s))
    return bad


async def halves(w):
    """Two halls lose sight of each other while the third sees both: nobody is given up, everything is served."""
    await _load(w, 12, pause=0.1)
    a = [b.name for b in w.net.boxes.values() if b.hall == "a"]
    c = [b.name for b in w.net.boxes.values() if b.hall == "c"]
    w.net.cut(a, c, 10_000_000)
    await asyncio.sleep(2)
    bad = await back(w, 12)
    await asyncio.sleep(6)
    gone = [x for x in w.net.log if "E308" in x[2]]
    if gone:
        bad.append(("an edge was given up though a third sees it", gone[0]))
    await asyncio.sleep(4)
    return await _end(w, bad)


async def frozen_duty(w):
    """The head freezes right when the primary is lost, wakes after another took over its duty: nothing is done twice."""
    await _load(w)
    w.members["g1m1"].kill()
    await asyncio.sleep(1.3)
    w.cores[0].freeze(6_000_000)
    bad = await back(w, 14)
    await asyncio.sleep(6)
    calls = [(g, e) for g, _, e, _ in w.plat.node.calls]
    if len(calls) != len(set(calls)):
        bad.append(("one epoch promoted twice", calls))
    return await _end(w, bad)


async def platform_away(w):
    """The platform declines, is slow, then unreachable, while a primary is lost."""
    await _load(w)
    p = w.plat.node
    p.decline = True
    w.members["g1m1"].kill()
    await asyncio.sleep(3)
    p.decline, p.slow_us = False, 6_000_000
    await asyncio.sleep(3)
    p.slow_us = 0
    w.net.cut(["platform"], [c.name for c in w.cores], 2_000_000)
    await asyncio.sleep(2)
    bad = await back(w, 14)
    return await _end(w, bad)


SCENES = {f.__name__: f for f in (primary_lost, herd, stale_only, old_primary_cut, region_lost, region_cut, rolling, racing, disks, mending, cold_member,
                                  shares, clock_alone, browsing_alone, frozen_edge, killed_edge, unanswered, leaving, emptied, overload, halves, frozen_duty, platform_away)}
NEEDS = {"overload": {"slots": 20}, "primary_lost": {"lag_us": 250_000}, "clock_alone": {"lag_us": 60_000}, "browsing_alone": {"stall_us": 10_000_000}}
SIZE = {"region_lost": "nordvik", "region_cut": "nordvik"}
