"""Scenes of control: operators racing, disks lost, the chain mended, the head frozen, the platform away."""

import asyncio

from petrelhaven.runtime.errors import Fault
from petrelhaven.simulator.resumable.scenes.base import end, load
from petrelhaven.simulator.resumable.storm import back
from petrelhaven.simulator.resumable.world import configuration

__all__ = [
    "racing",
    "disks",
    "mending",
    "lone_head",
    "frozen_duty",
    "platform_away",
    "two_disks",
    "two_disks_behind",
    "platform_mute",
]


async def racing(w):
    """Two operators race, one edge is cut off; each acknowledged manifest is in force and can be read back."""
    await load(w, 6, pause=0.2)
    e = w.edges[1]
    w.net.cut([e.name], [c.name for c in w.cores], 8_000_000)
    bad, acked = [], {}

    async def one(v, by, text):
        try:
            r = await w.ask(w.cores[by], lambda n: n.apply(text))
            acked[v] = text
            for b in w.edges:
                d = b.node.control.control_state.doc["manifest"]
                if b.node.control.sends and d["version"] < v:
                    bad.append(("acknowledged manifest not in force", b.name, v))
            return r
        except Fault as f:
            if f.code not in ("stale", "duplicate", "late"):
                bad.append(("operator told nothing useful", f.code))

    for v in range(2, 8):
        await asyncio.gather(
            one(v, 0, configuration(w.size, v)),
            one(v, 2, configuration(w.size, v, wait_us=200_000)),
        )
    if not acked:
        bad.append(("no manifest was acknowledged",))
    await asyncio.sleep(9)
    d = await w.ask(w.cores[1], lambda n: n.control_state())
    old = {m["version"]: m["text"] for m in d["old"] + [d["manifest"]]}
    for v, t in acked.items():
        if old.get(v) != t:
            bad.append(("acknowledged manifest not read back", v))
    return await end(w, bad)


async def disks(w):
    """All cores are killed at once, again and again; one comes back with an empty disk."""
    await load(w, 6, pause=0.2)
    text = configuration(w.size, 2)
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
        d = await w.ask(w.cores[0], lambda n: n.control_state())
        if d["manifest"]["text"] != text:
            bad.append(("acknowledged manifest lost", d["manifest"]["version"]))
    except (Fault, TypeError) as f:
        bad.append(("acknowledged manifest lost", repr(f)))
    return await end(w, bad + await back(w, 12))


async def mending(w):
    """Head, middle and tail are lost one by one, then two in turn; each change acknowledged meanwhile stays."""
    await load(w, 6, pause=0.2)
    bad, v = [], 1

    async def change():
        nonlocal v
        v += 1
        await w.apply(configuration(w.size, v), by=v)

    async def complete():
        await w.until(
            lambda: all(c.node and c.node.ready for c in w.cores), 15, "chain whole again"
        )
        for c in w.cores:
            if c.node.store.control_state.doc["manifest"]["version"] != v:
                bad.append(("a core slid back", c.name, v))

    for place in (0, 1, 2):
        names = next(c.node for c in w.cores if c.node.ready).chain.view.chain
        b = w.net.machines[names[place]]
        await change()
        b.kill()
        await asyncio.sleep(3)
        await change()
        w.boot_core(b)
        await complete()
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
    await complete()
    return await end(w, bad + await back(w, 12))


async def lone_head(w):
    """The head, cut off, takes an operator's manifest, and dies: what it acknowledged must stay."""
    await load(w, 6, pause=0.2)
    b = w.cores[0]
    w.net.cut([b.name], [x.name for x in w.cores[1:] + w.edges], 4_000_000)
    acked = 1
    try:
        acked = (await w.ask(b, lambda n: n.apply(configuration(w.size, 2)), 700_000))["version"]
    except Fault as f:
        w.seen["told"] = f.code
    b.kill()
    b.disk.lose()
    bad = await back(w, 12)
    have = max(
        e.node.control.control_state.doc["manifest"]["version"]
        for e in w.edges
        if e.node.control.sends
    )
    if have < acked:
        bad.append(("acknowledged manifest lost", acked, have))
    w.boot_core(b)
    await w.until(lambda: b.node.ready, 9, "core ready again")
    return await end(w, bad)


async def frozen_duty(w):
    """The head freezes as the primary is lost, wakes after another took its duty over: nothing is done twice."""
    await load(w)
    w.members["g1m1"].kill()
    await w.until(lambda: w.head_epochs()["g1"]["phase"] == "halt", 4, "halt")
    w.cores[0].freeze(6_000_000)
    bad = await back(w, 14)
    await asyncio.sleep(6)
    calls = [(g, e) for g, _, e, _ in w.plat.node.calls]
    if len(calls) != len(set(calls)):
        bad.append(("one epoch promoted twice", calls))
    return await end(w, bad)


async def platform_away(w):
    """The platform declines, is slow, then unreachable, while a primary is lost."""
    await load(w)
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
    return await end(w, bad)


async def two_disks(w, behind=False):
    """Two cores lose their disks under load; the operator forms the chain anew from the third, which may be behind."""
    await load(w, 12, pause=0.2)
    a, b, c = w.cores
    if behind:
        c.kill()
        await asyncio.sleep(3)
    text = configuration(w.size, 2)
    await w.apply(text, by=1)
    w.members["g1m1"].node.draining = True
    await w.until(lambda: w.head_epochs()["g1"]["primary"] != "g1m1", 8, "another primary")
    await asyncio.sleep(1.5)
    w.members["g1m1"].node.draining = False
    was = max(e.node.control.control_state.seq for e in w.edges)
    n = {g: e["n"] for g, e in w.head_epochs().items()}
    for x in (a, b):
        x.kill()
        x.disk.lose()
    await asyncio.sleep(0.5)
    for x in (a, b, c):
        if not x.up:
            w.boot_core(x)
    await asyncio.sleep(4)
    bad = []
    if any(e.node.control.sends for e in w.edges):
        bad.append(("an edge sends without a majority of cores",))
    if not behind and c.node.unconfirmed_state()["manifest"]["text"] != text:
        bad.append(("the newest manifest can't be read from the core that is left",))
    try:
        await w.ask(c, lambda n: n.reform(["c1"], "op"))
        bad.append(("formed anew though a majority was not said to be lost",))
    except Fault as f:
        if f.code != "racing":
            bad.append(("untyped decline", f.code))
    r = await w.ask(c, lambda n: n.reform(["c1", "c2"], "op"))
    t = w.loop.time()
    bad += await back(w, 12)
    w.seen["gap_us"] = int((w.loop.time() - t) * 1e6)
    try:
        await w.until(lambda: all(x.node.chain.is_active for x in w.cores), 10, "cores active")
    except AssertionError as e:
        return bad + [("the chain was not formed anew", str(e))]
    d = await w.ask(c, lambda n: n.control_state())
    if d["manifest"]["text"] != text:
        bad.append(("acknowledged manifest lost", d["manifest"]["version"]))
    if r["change"] <= was or any(e["n"] <= n[g] for g, e in d["epochs"].items()):
        bad.append(("a number handed out before came again", r["change"], was))
    await w.apply(configuration(w.size, 3), by=0)
    w.members["g1m2"].kill()
    await asyncio.sleep(1)
    bad += await back(w, 12)
    return await end(w, bad)


async def two_disks_behind(w):
    """The same, and the third core missed the newest manifest and a failover: edges hand over what it lacks."""
    return await two_disks(w, True)


async def platform_mute(w):
    """The platform promotes and its answers never arrive: the promotion is seen at the member instead."""
    await load(w)
    w.plat.node.unanswered = 2
    w.members["g1m1"].kill()
    t = w.loop.time()
    bad = await back(w, 12)
    w.seen["gap_us"] = int((w.loop.time() - t) * 1e6)
    if w.seen["gap_us"] > 4_000_000:
        bad.append(("waited for an answer that was not needed", w.seen["gap_us"]))
    calls = [(g, e) for g, _, e, _ in w.plat.node.calls]
    if len(calls) != len(set(calls)):
        bad.append(("one epoch promoted twice", calls))
    return await end(w, bad)
