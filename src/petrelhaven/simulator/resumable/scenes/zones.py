"""Scenes of halls: cut off, lost, blind to each other, emptied."""

import asyncio

from petrelhaven.simulator.resumable.scenes.base import end, load, tally
from petrelhaven.simulator.resumable.storm import back

__all__ = ["old_primary_cut", "region_lost", "region_cut", "emptied", "halves"]


async def old_primary_cut(w):
    """A hall with the primary and an edge is cut off from the rest, but visitors still reach it."""
    await load(w, 16)
    w.start_clients(8, pause=0.02, writes=0.0, browse=0.0, txns=0.0, values=0.0, pin=w.edges[0])
    await asyncio.sleep(0.5)
    a = [b.name for b in w.net.machines.values() if b.zone == "a"]
    w.net.cut(
        a,
        [b.name for b in w.net.machines.values() if b.zone in ("b", "c")] + ["platform"],
        9_000_000,
    )
    await asyncio.sleep(11)
    return await end(w)


async def region_lost(w, how="vanish"):
    """A whole hall is lost and stays lost; service must be back within 12 s of the loss."""
    await load(w, 24, writes=0.3)
    h = w.z["halls"][0]
    bs = [b for b in w.net.machines.values() if b.zone == h]
    if how == "vanish":
        for b in bs:
            w.net.silent.add(b.name)
            b.kill(silent=True)
    else:
        w.net.cut(
            [b.name for b in bs],
            [b.name for b in w.net.machines.values() if b.zone != h],
            60_000_000,
        )
    t = w.loop.time()
    bad = await back(w, 12)
    w.seen["gap_us"] = int((w.loop.time() - t) * 1e6)
    await asyncio.sleep(12 - (w.loop.time() - t))
    for v in w.clients:
        v.stop = True
    await asyncio.sleep(5)
    stuck = [v.num for v in w.clients if not v.done]
    if stuck:
        bad.append(("visitors not served 12 s after the loss", stuck))
    return bad + w.verdict()


async def region_cut(w):
    """The same, with the hall isolated instead of gone, from visitors too."""
    return await region_lost(w, "cut")


async def emptied(w):
    """A hall is emptied and taken back, gradually."""
    await load(w, 40, writes=0.1)
    h = w.z["halls"][0]
    await w.zone(h, "emptied")
    t = w.loop.time()
    await asyncio.sleep(5)
    bad = []
    ms = [b.node for b in w.members.values() if b.zone == h]
    marks = [m.last_statement for m in ms]
    w.seen["last_us"] = max(m.last_statement - (m.clock.now() - 5_000_000) for m in ms)
    await asyncio.sleep(3)
    for m, k in zip(ms, marks):
        if m.last_statement != k:
            bad.append(("statement to an emptied hall", m.name, w.loop.time() - t))
    left_behind = [b.name for b in w.edges if b.zone == h and b.node.homes]
    if left_behind:
        bad.append(("sessions left in an emptied hall", left_behind))
    await w.zone(h, "open")
    names = [n for n, b in w.members.items() if b.zone == h]
    for i in range(80):
        await asyncio.sleep(0.1)
        if any(m.last_statement != k for m, k in zip(ms, marks)):
            break
    first = tally(w, names)
    await asyncio.sleep(1)
    first = tally(w, names) - first
    await asyncio.sleep(4)
    later = tally(w, names)
    await asyncio.sleep(1)
    later = tally(w, names) - later
    w.seen["first_second"], w.seen["sixth_second"] = first, later
    if first > 0.8 * later:
        bad.append(("hall taken back at once", first, later))
    if any(m.last_statement == k for m, k in zip(ms, marks)):
        bad.append(("hall not taken back",))
    return await end(w, bad)


async def halves(w):
    """Two halls lose sight of each other while the third sees both: nobody is given up, everything is served."""
    await load(w, 12, pause=0.1)
    a = [b.name for b in w.net.machines.values() if b.zone == "a"]
    c = [b.name for b in w.net.machines.values() if b.zone == "c"]
    w.net.cut(a, c, 10_000_000)
    await asyncio.sleep(2)
    bad = await back(w, 12)
    await asyncio.sleep(6)
    gone = [x for x in w.net.log if "E308" in x[2]]
    if gone:
        bad.append(("an edge was given up though a third sees it", gone[0]))
    await asyncio.sleep(4)
    return await end(w, bad)
