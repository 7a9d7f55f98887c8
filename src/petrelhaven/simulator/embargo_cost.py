"""What embargoes cost and how they end: a read by the number of rules, lateness, ten thousand readers at the moment."""

import asyncio
import collections
import random
import statistics
import time
import tracemalloc

from petrelhaven.proxy.session.statement import Statement

__all__ = ["embargo"]

_READS = 4000
_CROWD = 10_000


async def _fleet(f, off):
    if off:
        f.embargoed = False
    await f.start()
    await asyncio.sleep(2)
    return f


def _rules(n, group):
    from petrelhaven.control.embargo.records import Rule, RuleKey

    r = random.Random(n)
    for i in range(n):
        k = f"{r.getrandbits(40):010x}"
        half = i % 2
        rule = Rule(
            group=group,
            record_key="" if half else k,
            prefix=k if half else "",
            until_us=(1 << 53) - 1,
            until_text="",
            zone="",
            exempt_clients=(),
        )
        yield RuleKey("placed", f"x{i}"), rule


async def _cost(f, n):
    """Seconds of processor time of reads at one edge, and of the two looks alone, with `n` rules (None: off)."""
    from petrelhaven.control.embargo.table import RuleTable

    await _fleet(f, n is None)
    g, size = f.edges[0].node, 0
    if n is not None:
        tracemalloc.start()
        g.embargo.table = RuleTable(_rules(n, "g1"))
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    v, r = g.open("g1", "u"), random.Random(5)
    asks = [Statement(str(i), "read", f"get {r.getrandbits(40):010x}") for i in range(_READS)]
    for a in asks[:200]:
        await g.serve_statement(v, a)
    t = time.process_time()
    for a in asks:
        assert (await g.serve_statement(v, a)).ok
    total_s = time.process_time() - t
    t = time.process_time()
    if n is not None:
        for a in asks:
            g.embargo.refuse_if_withheld(v, a, "g1")
            g.embargo.refuse_if_withheld(v, a, "g1")
    return total_s, time.process_time() - t, size


async def _late(f):
    """Milliseconds from the release of a record to the first read of it at each edge."""
    await _fleet(f, False)
    until = f.true() + 5_000_000
    await f.embargo("add", "r0", until)
    out = []

    async def reader(b):
        v = b.node.open("g1", "u")
        while True:
            r = await b.node.serve_statement(v, Statement("r", "read", "get r0"))
            if r.ok:
                return out.append((f.true() - until) / 1000)
            await asyncio.sleep(0.001 if f.true() > until - 20_000 else 0.05)

    await asyncio.gather(*(reader(b) for b in f.edges))
    return out


async def _crowd(f, spread):
    """What ten thousand readers do who asked within two seconds before the moment and come back as they were told."""
    f.spread_us = spread
    await _fleet(f, False)
    until = f.true() + 8_000_000
    await f.embargo("add", "r0", until)
    came, done, refused, codes = collections.Counter(), [], 0, collections.Counter()

    async def reader(i):
        nonlocal refused
        g = f.edges[i % len(f.edges)].node
        v, r = g.open("g1", "u"), random.Random(i)
        await asyncio.sleep((until - f.true()) / 1e6 - r.uniform(0, 2))
        while True:
            at = f.true()
            if at >= until:
                came[(at - until) // 100_000] += 1
            x = await g.serve_statement(v, Statement(f"{i}", "read", "get r0"))
            if x.ok:
                done.append((f.true() - until) / 1e6)
                return g.close(v)
            codes[x.code] += 1
            refused += at >= until and x.code == "withheld"
            back = x.text.split(" ")[-2]
            await asyncio.sleep(int(back) / 1000 if back.isdigit() else 0.25)

    await asyncio.gather(*(reader(i) for i in range(_CROWD)))
    done.sort()
    return max(came.values()), refused, codes["busy"], done


def embargo():
    """Cost of a read by the number of embargoes, lateness of a release, and ten thousand readers who wait for one."""
    from petrelhaven.simulator.connection_sessions.embargo import EmbargoedFleet
    from petrelhaven.simulator.connection_sessions.storm import inside

    print(f"{'rules':>8} {'read, to off':>12} {'looks, share of a read off':>27} {'table MB':>9}")
    off = statistics.median(
        inside(lambda f: _cost(f, None), s, EmbargoedFleet, edges=1)[0][0] for s in (1, 2, 3, 4, 5)
    )
    for n in (0, 1_000, 100_000):
        rows = [
            inside(lambda f: _cost(f, n), s, EmbargoedFleet, edges=1)[0] for s in (1, 2, 3, 4, 5)
        ]
        total_s, looks = (statistics.median(x[i] for x in rows) for i in (0, 1))
        print(f"{n:>8} {total_s / off:>12.2f} {looks / off:>27.3f} {rows[0][2] / 1e6:>9.2f}")
    late = [x for s in range(1, 21) for x in inside(_late, s, EmbargoedFleet)[0]]
    print(
        f"late, ms (20 seeds, 4 edges): earliest {min(late):.0f}, median {statistics.median(late):.0f}, "
        f"longest {max(late):.0f}"
    )
    print(
        f"{'spread':>7} {'most in 0.1 s':>13} {'told again':>10} {'busy':>6} {'median s':>9} {'last s':>7}"
    )
    for spread in (2_000_000, 0):
        most, again, busy, done = inside(lambda f: _crowd(f, spread), 1, EmbargoedFleet)[0]
        print(
            f"{spread / 1e6:>5.0f} s {most:>13} {again:>10} {busy:>6} {statistics.median(done):>9.2f} "
            f"{done[-1]:>7.2f}"
        )
    return 0
