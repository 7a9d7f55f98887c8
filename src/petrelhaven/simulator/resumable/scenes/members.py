"""Scenes of members: lost, lagging, cold, leaving, mute; and of the clock that reads them."""

import asyncio

from petrelhaven.runtime.errors import Fault
from petrelhaven.simulator.resumable.scenes.base import end, load, tally
from petrelhaven.simulator.resumable.storm import back

__all__ = [
    "primary_lost",
    "herd",
    "stale_only",
    "cold_member",
    "clock_alone",
    "browsing_alone",
    "unanswered",
    "leaving",
    "replaced",
]


async def primary_lost(w):
    """The primary's machine and disk are lost under load."""
    await load(w)
    w.members["g1m1"].kill()
    t = w.loop.time()
    bad = await back(w, 12)
    w.seen["gap_us"] = int((w.loop.time() - t) * 1e6)
    await asyncio.sleep(1)
    return await end(w, bad)


async def herd(w):
    """A primary is lost under heavy load: those who waited don't fall on the new one all at once."""
    await load(w, 90, 3.0, pause=0.1)
    steady = tally(w, w.members)
    await asyncio.sleep(2)
    steady = (tally(w, w.members) - steady) / 20
    fetches = sum(e.node.member_groups["g1"].reads.count["fetches"] for e in w.edges)
    w.members["g1m1"].kill()
    await w.until(lambda: w.head_epochs()["g1"]["primary"] != "g1m1", 8, "another primary")
    fetches = sum(e.node.member_groups["g1"].reads.count["fetches"] for e in w.edges) - fetches
    peak, last = 0, tally(w, w.members)
    for _ in range(30):
        await asyncio.sleep(0.1)
        now = tally(w, w.members)
        peak, last = max(peak, now - last), now
    w.seen["peak_ratio"] = round(peak / steady, 2)
    w.seen["fetches_while_away"] = fetches
    bad = [("herd after an epoch change", peak / steady)] if peak > 3 * steady else []
    if fetches > 40 * len(w.edges):
        bad.append(("herd of fetches", fetches))
    return await end(w, bad)


async def stale_only(w):
    """Only a replica that missed commits is left: the group waits, says why, and declines writes at once."""
    await load(w)
    w.members["g1m2"].node.stall = True
    await w.until(lambda: "g1m2" not in w.head_epochs()["g1"]["hold"], 6, "stalled replica out")
    await asyncio.sleep(1)
    a, b = w.members["g1m1"], w.members["g1m3"]
    keep = a.node, b.node
    a.kill()
    b.kill()
    await asyncio.sleep(4)
    bad = []
    head = next(c.node for c in w.cores if c.node.chain.is_head)
    if "no safe candidate" not in head.duty.wait_reasons.get("g1", ""):
        bad.append(("does not say why", head.duty.wait_reasons))
    e = w.edges[0].node
    s = await e.open_session()
    t = w.loop.time()
    try:
        await e.statement(
            s["session"], {"route": "g1", "verb": "put", "key": "x", "value": 1, "try": 1}
        )
        bad.append(("write taken without a safe primary",))
    except Fault as f:
        if w.loop.time() - t > 0.05 or f.retry_after_us is None:
            bad.append(("given up, but held back", w.loop.time() - t))
    w.boot_member("g1m3", keep[1])
    await asyncio.sleep(2)
    w.boot_member("g1m1", keep[0])
    bad += await back(w, 12)
    w.members["g1m2"].node.stall = False
    await asyncio.sleep(3)
    return await end(w, bad)


async def cold_member(w):
    """A replica restarts under heavy load: it is not flooded before it is warm."""
    await load(w, 80, pause=0.03, writes=0.02, txns=0.0, values=0.0)
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
    return await end(w, bad)


async def clock_alone(w):
    """Replicas trail and stall, commits are acknowledged at the primary alone: only the clock keeps reads right."""
    await load(w, 16, 4.0, pause=0.03, txns=0.0, values=0.0)
    w.members["g1m3"].node.stall = True
    await asyncio.sleep(3)
    w.members["g1m3"].node.stall = False
    await asyncio.sleep(3)
    return await end(w)


async def browsing_alone(w):
    """The same with browsing reads only: none may be older than the bound."""
    await load(w, 16, 1.0, pause=0.05, writes=0.3, browse=0.7, txns=0.0, values=0.0)
    w.members["g1m3"].node.stall = True
    await asyncio.sleep(5)
    w.members["g1m3"].node.stall = False
    return await end(w)


async def unanswered(w):
    """Members complete writes whose results never arrive."""
    await load(w, 12, pause=0.05, writes=0.6)
    for _ in range(4):
        w.members["g1m1"].node.unanswered = 3
        await asyncio.sleep(2)
    n = sum(h.get("outcome") == "unknown" for h in w.hist)
    return await end(w, [] if n else [("nothing was left unknown",)])


async def leaving(w):
    """The primary, then a replica, say that they leave; transactions open then end with a typed result."""
    await load(w)
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
    return await end(w, bad)


async def replaced(w):
    """Every member is replaced by one of a new name and an empty store, under load, two halls blind to each other."""
    await load(w, 12, pause=0.08)
    bad = []
    for i, n in enumerate(["g1m2", "g1m1", "g1m3"]):
        old, new = w.members[n], f"g1m{i + 4}"
        here, there = ([b.name for b in w.net.machines.values() if b.zone == h] for h in ("a", "c"))
        w.net.cut(here, there, 5_000_000)
        w.add_member(new, old.zone)
        try:
            await w.until(
                lambda new=new: new in w.head_epochs()["g1"]["safe"], 20, f"{new} in sync"
            )
            old.node.draining = True
            await w.until(lambda n=n: n not in _serving(w), 10, f"{n} out")
        except AssertionError as e:
            return bad + [("not replaced", str(e), w.head_epochs()["g1"])]
        await asyncio.sleep(1)
        old.kill()
        bad += await back(w, 12)
    if sorted(_serving(w)) != ["g1m4", "g1m5", "g1m6"]:
        bad.append(("old members still serve", sorted(_serving(w))))
    return await end(w, bad)


def _serving(w):
    e = w.head_epochs()["g1"]
    return {e["primary"], *e["hold"], *e["gates"]}
