"""Measurements in virtual time: ratios within a run or counts, never bare wall time."""

import asyncio
import random
import statistics

from petrelhaven.runtime.errors import Fault
from petrelhaven.simulator.control_gaps import control_gaps
from petrelhaven.simulator.embargo_cost import embargo
from petrelhaven.simulator.load_client import LoadClient
from petrelhaven.simulator.net import SimulatedMachine
from petrelhaven.simulator.resumable.storm import back, inside
from petrelhaven.simulator.resumable.world import SIZES, configuration

__all__ = ["MEASURES"]


def _pct(xs, q):
    xs = sorted(xs)
    return xs[min(len(xs) - 1, int(len(xs) * q))] if xs else 0


async def _reads(w, count, pause, secs):
    await w.start()
    await asyncio.sleep(3)
    for e in w.edges:
        for t in e.node.member_groups.values():
            t.reads.count = dict.fromkeys(t.reads.count, 0)
        e.node.waits.clear()
    took = []
    w.start_clients(count // 4, pause=pause, writes=1.0, browse=0.0, txns=0.0, values=0.0)

    async def reader(i):
        v = LoadClient(w, 1000 + i, random.Random(i))
        v.at = w.edges[i % len(w.edges)]
        v.sid = (await v._call(lambda e: e.open_session()))["session"]
        r = random.Random(i)
        while not stop:
            await asyncio.sleep(pause * (0.5 + r.random()))
            g = f"g{r.randrange(w.z['groups']) + 1}"
            t0 = w.loop.time()
            try:
                await v._call(
                    lambda e: e.statement(v.sid, {"route": g, "verb": "get", "key": "v1"})
                )
                took.append(w.loop.time() - t0)
            except Fault:
                pass

    stop = False
    ts = [asyncio.ensure_future(reader(i)) for i in range(count)]
    await asyncio.sleep(secs)
    stop = True
    await asyncio.gather(*ts)
    n = {}
    for e in w.edges:
        for t in e.node.member_groups.values():
            for k, v in t.reads.count.items():
                n[k] = n.get(k, 0) + v
        for k, v in e.node.waits.items():
            n[k] = n.get(k, 0) + v
    return n, took


def clock():
    """Fetches a strong read and latency: the clock against read-wait (one fetch a read), by load and lag."""
    print(
        f"{'load':>6} {'lag ms':>6} {'variant':>9} {'reads':>6} {'fetches/read':>12} {'LAGGING/read':>12} "
        f"{'median ms':>9} {'p95 ms':>7}"
    )
    for load, count, pause in (("light", 24, 0.2), ("heavy", 240, 0.02)):
        for lag in (10_000, 60_000):
            row = {}
            for name, vary in (("clock", None), ("read-wait", "read-wait")):
                n, took = inside(
                    lambda w: _reads(w, count, pause, 6),
                    1,
                    "small",
                    lag_us=lag,
                    vary=vary,
                    lanes=64 if vary else 1,
                )[0]
                row[name] = n["fetches"] / n["reads"]
                print(
                    f"{load:>6} {lag // 1000:>6} {name:>9} {n['reads']:>6} "
                    f"{n['fetches'] / n['reads']:>12.3f} {n.get('lagging', 0) / n['reads']:>12.3f}"
                    f" {1000 * _pct(took, 0.5):>9.1f} {1000 * _pct(took, 0.95):>7.1f}"
                )
            print(
                f"{load:>6} {lag // 1000:>6} ratio of fetches, clock to read-wait: "
                f"{row['clock'] / row['read-wait']:.3f}"
            )
    return 0


def lanes():
    """Fetches a read and latency by the number of fetches that may be in flight at once (replicas trail by 10 ms)."""
    print(
        f"{'load':>6} {'lanes':>5} {'runs':>4} {'reads':>6} {'fetches/read':>12} {'mean ms':>7} "
        f"{'median ms':>9} {'p95 ms':>7}"
    )
    for load, count, pause, seeds in (
        ("light", 24, 0.2, range(1, 9)),
        ("heavy", 240, 0.02, range(1, 2)),
    ):
        for k in (1, 2, 3, 64):
            rs = [
                inside(lambda w: _reads(w, count, pause, 6), s, "small", lag_us=10_000, lanes=k)[0]
                for s in seeds
            ]
            took = [t for _, ts in rs for t in ts]
            n, f = (sum(r[x] for r, _ in rs) for x in ("reads", "fetches"))
            print(
                f"{load:>6} {k:>5} {len(rs):>4} {n:>6} {f / n:>12.3f} {1000 * statistics.mean(took):>7.1f} "
                f"{1000 * _pct(took, 0.5):>9.1f} {1000 * _pct(took, 0.95):>7.1f}"
            )
    return 0


async def _writes(w):
    await w.start()
    e = w.edges[0].node
    sid = (await e.open_session())["session"]
    took = []
    for i in range(150):
        t0 = w.loop.time()
        r = await e.statement(
            sid, {"route": "g1", "verb": "put", "key": "k", "value": i, "try": i + 1}
        )
        if r["outcome"] == "kept":
            took.append(w.loop.time() - t0)
        await asyncio.sleep(0.05)
    return took


def commit():
    """What waiting for every in-sync replica costs a write: latency with and without it, by lag."""
    from petrelhaven.proxy.resumable.node import ResumableProxy

    real = ResumableProxy.wait_replicated

    async def at_once(self, t, primary, term, pos):
        return True

    print(
        f"{'lag ms':>6} {'median, waiting':>16} {'median, not':>12} {'ratio':>6} {'difference ms':>13}"
    )
    for lag in (10_000, 60_000):
        a = inside(_writes, 1, "small", lag_us=lag)[0]
        ResumableProxy.wait_replicated = at_once
        try:
            b = inside(_writes, 1, "small", lag_us=lag)[0]
        finally:
            ResumableProxy.wait_replicated = real
        x, y = statistics.median(a), statistics.median(b)
        print(
            f"{lag // 1000:>6} {1000 * x:>13.1f} ms {1000 * y:>9.1f} ms {x / y:>6.2f} {1000 * (x - y):>13.1f}"
        )
    return 0


def keep():
    """What each keeper costs a write: latency by the number of keepers, halls apart as in the deployment."""
    print(
        f"{'size':>8} {'keepers':>7} {'writes':>6} {'median ms':>9} {'p95 ms':>7} {'to one keeper':>13}"
    )
    for size in ("nordvik", "archivo"):
        base = None
        for k in (1, 2, 3):
            xs = inside(_writes, 1, size, keepers=k)[0]
            m = 1000 * statistics.median(xs)
            base = base or m
            print(
                f"{size:>8} {k:>7} {len(xs):>6} {m:>9.1f} {1000 * _pct(xs, 0.95):>7.1f} {m / base:>13.2f}"
            )
    return 0


async def _gap(w, fault):
    await w.start()
    w.start_clients(12, pause=0.05)
    await asyncio.sleep(1)
    t = w.loop.time()
    await fault(w)
    await back(w, 15)
    return w.loop.time() - t


async def _crash(w):
    w.members["g1m1"].kill()


async def _drain(w):
    w.members["g1m1"].node.draining = True
    await w.until(lambda: w.head_epochs()["g1"]["phase"] == "halt", 5, "halted")


async def _region(w):
    for b in w.net.machines.values():
        if b.zone == w.z["halls"][0]:
            w.net.silent.add(b.name)
            b.kill(silent=True)


def failover():
    """The failover gap: from the fault to the next kept write and a strong read of it in every group."""
    print(
        f"{'size':>8} {'fault':>14} {'median s':>9} {'longest s':>9} {'platform s':>10} {'runs':>5}"
    )
    for size in ("nordvik", "archivo"):
        for name, f in (
            ("primary killed", _crash),
            ("planned swap", _drain),
            ("hall lost", _region),
        ):
            xs = [inside(lambda w: _gap(w, f), s, size)[0] for s in range(1, 9)]
            print(
                f"{size:>8} {name:>14} {statistics.median(xs):>9.2f} {max(xs):>9.2f} "
                f"{SIZES[size]['took_us'] / 1e6:>10.2f} {len(xs):>5}"
            )
    return 0


async def _force(w, cut):
    await w.start()
    w.start_clients(6, pause=0.2)
    xs = []
    for v in range(2, 8):
        if cut:
            w.net.cut([w.edges[0].name], [c.name for c in w.cores], 3_000_000)
        t = w.loop.time()
        await w.apply(configuration(w.size, v))
        xs.append(w.loop.time() - t)
        await asyncio.sleep(4 if cut else 0.2)
    return xs


def force():
    """Time from an operator's call to a manifest in force everywhere (its acknowledgement), as edges grow."""
    print(
        f"{'edges':>5} {'all reached, median s':>22} {'one edge cut off, median s':>27} {'longest s':>9}"
    )
    real = dict(SIZES["small"])
    try:
        for n in (3, 6, 12, 24):
            SIZES["small"] = {**real, "edges": n}
            a = inside(lambda w: _force(w, False), 1)[0]
            b = inside(lambda w: _force(w, True), 1)[0]
            print(
                f"{n:>5} {statistics.median(a):>22.3f} {statistics.median(b):>27.3f} {max(a + b):>9.3f}"
            )
    finally:
        SIZES["small"] = real
    return 0


async def _detect(w, us, loss):
    from petrelhaven.membership.prober import Prober
    from petrelhaven.membership.roster import NodeIdentity, Roster

    machines = [SimulatedMachine(w.net, f"n{i}", w.z["halls"][i % 3]) for i in range(9)]
    for i, b in enumerate(machines):
        b.boot()
        identity = NodeIdentity(b.name, "edge", b.zone, b.link.addr, 1)
        b.node = Roster(b.clock, identity, b.log, suspect_us=us)
        b.tasks.spawn(
            Prober(
                b.clock, b.link, b.tasks, random.Random(i), b.node, [f"sim:n{j}" for j in range(3)]
            ).run()
        )
    await asyncio.sleep(3)
    w.net.loss = loss
    await asyncio.sleep(60)
    false = sum("E203" in x[2] for x in w.net.log)
    t = w.loop.time()
    machines[4].kill(silent=True)
    seen = []
    while w.loop.time() < t + 15 and len(seen) < 8:
        seen = [x[0] - t for x in w.net.log if "E203" in x[2] and "peer=n4 " in x[2] and x[0] > t]
        await asyncio.sleep(0.02)
    return false, _pct(seen, 0.5), max(seen, default=0)


def detect():
    """Detection time against false removals, by the time suspicion is given and by datagram loss (9 nodes, 60 s)."""
    print(
        f"{'suspicion s':>11} {'loss':>5} {'false removals':>14} {'median detection s':>18} {'slowest node s':>14}"
    )
    for us in (300_000, 900_000, 2_000_000):
        for loss in (0.0, 0.1, 0.25):
            f, m, x = inside(lambda w: _detect(w, us, loss), 1)[0]
            print(f"{us / 1e6:>11.1f} {loss:>5.2f} {f:>14} {m:>18.2f} {x:>14.2f}")
    return 0


MEASURES = {
    f.__name__: f
    for f in (clock, lanes, commit, keep, failover, force, detect, embargo, control_gaps)
}
