"""petrelhaven-sim: a local fleet with load and checks, and the seeded simulator."""

import argparse
import asyncio
import collections
import json
import os
import signal
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor

from petrelhaven.simulator.connection_sessions import control_storm
from petrelhaven.simulator.connection_sessions import storm as held
from petrelhaven.simulator.connection_sessions.control_faults import CONTROL_KINDS
from petrelhaven.simulator.connection_sessions.embargo import EmbargoedFleet
from petrelhaven.simulator.fleet import Fleet
from petrelhaven.simulator.measure import MEASURES
from petrelhaven.simulator.resumable.scene import NEEDS, SCENES, SIZE
from petrelhaven.simulator.resumable.storm import KINDS, inside, run, schedule, shrink, told
from petrelhaven.simulator.soak import KINDS as SOAKS
from petrelhaven.simulator.soak import play

__all__ = ["main"]


def _parser():
    p = argparse.ArgumentParser(
        prog="petrelhaven-sim",
        description="Tries a fleet out.",
        epilog="Exit codes: 0 nothing that must never happen was seen, 1 something was, 2 wrong call.",
    )
    sub = p.add_subparsers(dest="verb", required=True)
    f = sub.add_parser(
        "fleet", help="start a local fleet of processes, load it, check what visitors saw"
    )
    f.add_argument("--size", choices=("nordvik", "archivo", "small"), default="nordvik")
    f.add_argument("--visitors", type=int, default=150)
    f.add_argument("--seconds", type=float, default=15)
    f.add_argument("--seed", type=int, default=1)
    f.add_argument(
        "--faults",
        default="",
        help="comma list of crash (a primary; shows the failover), edge (kill -9), core (kill -9 of the head), "
        "freeze (an edge), drain (SIGTERM an edge)",
    )
    f.add_argument(
        "--hold", action="store_true", help="after the load, keep the fleet up until interrupted"
    )
    f.add_argument("--dir", help="folder for data and logs (a new temporary one)")
    k = sub.add_parser(
        "soak",
        help="a deployment at full size as processes: the brief's load, a seeded schedule of faults, a checked history",
    )
    k.add_argument("--size", choices=("nordvik", "archivo", "small"), default="nordvik")
    k.add_argument("--seed", type=int, default=1)
    k.add_argument("--seconds", type=float, default=120)
    k.add_argument(
        "--kinds", default="", help="comma list of " + ", ".join(SOAKS) + "; none for load alone"
    )
    k.add_argument("--dir", help="folder for data and logs (a new temporary one)")
    w = sub.add_parser(
        "sweep",
        help="many seeded storms in virtual time; prints each violating seed with a shrunk schedule",
    )
    w.add_argument("--seeds", default="0-100", metavar="A-B")
    w.add_argument("--size", choices=("nordvik", "archivo", "small"), default="small")
    w.add_argument(
        "--path",
        choices=("kept", "held", "embargoed", "control"),
        default="kept",
        help="kept: sessions that edges keep for each other; held: sessions that live with their "
        "connection; embargoed: the same with records that must not be seen yet and a clock that steps; "
        "control: the held path with faults of cores piled up under operators' orders, every other seed "
        "with five cores",
    )
    w.add_argument("--faults", type=int, default=6, help="faults a storm")
    w.add_argument(
        "--kinds",
        default="",
        help="comma list of "
        + ", ".join(KINDS)
        + "; with the other paths, of "
        + ", ".join(sorted(set(held.KINDS)))
        + "; of the path control: "
        + ", ".join(CONTROL_KINDS),
    )
    w.add_argument("--jobs", type=int, default=os.cpu_count())
    c = sub.add_parser("scene", help="one fault brought about on purpose, in virtual time")
    c.add_argument("name", choices=sorted(SCENES))
    c.add_argument("--seed", type=int, default=1)
    c.add_argument(
        "--size", choices=("nordvik", "archivo", "small"), help="the scene's own, if left out"
    )
    c.add_argument("--log", action="store_true", help="print every node's events")
    m = sub.add_parser("measure", help="one measurement, as ratios or counts")
    m.add_argument("what", choices=sorted(MEASURES))
    return p


def _storm(job):
    seed, size, count, kinds = job
    bad, w = run(seed, size, count=count, kinds=kinds or None)
    rows = shrink(seed, size, schedule(seed, count, kinds or None)) if bad else None
    return seed, [told(b) for b in bad], rows, sum(v.count["ok"] for v in w.clients)


def _held_storm(job, **kw):
    seed, _, count, kinds = job
    bad, f = held.run(seed, count=count, kinds=kinds or None, **kw)
    rows = held.shrink(seed, held.schedule(seed, count, kinds or None), **kw) if bad else None
    return seed, [told(b) for b in bad], rows, sum(c.served for c in f.clients)


def _embargoed_storm(job):
    return _held_storm(job, fleet=EmbargoedFleet)


def _control_storm(job):
    seed, _, _, kinds = job
    bad, fleet = control_storm.run(seed, kinds=kinds or None)
    rows = control_storm.schedule(seed, kinds=kinds or None)
    rows = control_storm.shrink(seed, rows, broken=bad) if bad else None
    return seed, [told(b) for b in bad], rows, sum(c.served for c in fleet.clients)


def _sweep(a):
    lo, hi = map(int, a.seeds.split("-"))
    kinds = [k for k in a.kinds.split(",") if k]
    n = said = done = 0
    with ProcessPoolExecutor(a.jobs) as ex:
        storm = {
            "kept": _storm,
            "held": _held_storm,
            "embargoed": _embargoed_storm,
            "control": _control_storm,
        }[a.path]
        for seed, bad, rows, ok in ex.map(
            storm, [(s, a.size, a.faults, kinds) for s in range(lo, hi)]
        ):
            said += ok
            done += 1
            if done % 20 == 0:
                print(f"{done} storms played, {n} violated a rule so far", flush=True)
            if bad:
                n += 1
                print(f"seed {seed}: {len(bad)} violations; shrunk schedule {json.dumps(rows)}")
                for b in bad[:3]:
                    print("  " + b[:400], flush=True)
    print(f"{n} of {hi - lo} storms violated a rule; {said} statements answered")
    return 1 if n else 0


def _scene(a):
    bad, w = inside(
        SCENES[a.name], a.seed, a.size or SIZE.get(a.name, "small"), **NEEDS.get(a.name, {})
    )
    for row in w.net.log if a.log else ():
        print(*row)
    print(
        "seen: " + (", ".join(f"{k} {v}" for k, v in w.seen.items() if isinstance(k, str)) or "-")
    )
    for b in bad:
        print("VIOLATION " + told(b))
    print(f"violations: {len(bad)}")
    return 1 if bad else 0


async def _crash(fl, secs=12):
    """Kills g1's primary and shows the failover; its answer is what was not seen of it."""
    was = (await fl.until(fl.settled, 20))["epochs"]["g1"]
    primary = fl.procs[was["primary"]]
    print(
        f"g1: primary {was['primary']}, epoch {was['n']}; kill -9 of its process {primary.p.pid}",
        flush=True,
    )
    t = fl.now()
    await primary.end(signal.SIGKILL)

    async def serving():
        s = await fl.head()
        e = s and s["epochs"]["g1"]
        return e and e["phase"] == "serve" and e["primary"] != was["primary"] and e

    try:
        e = await fl.until(serving, secs)
        await fl.served(secs)
    except (TimeoutError, AssertionError) as x:
        return [("no failover", "g1", was["primary"], secs, repr(x))]
    finally:
        took = fl.now() - t
        await fl.again(was["primary"])
    print(
        f"g1: primary {e['primary']}, epoch {e['n']}; a write kept and read back {took:.1f} s after the kill"
    )
    argv = ["--core", ",".join(fl.cores), "why", "g1", "--epoch", str(e["n"])]
    print("$ petrelhavenctl " + " ".join(argv), flush=True)
    p = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "petrelhaven.commands.ctl", *argv
    )
    rc = await p.wait()
    return [("not explained", "g1", e["n"], rc)] if rc else []


async def _faults(fl, names):
    bad = []
    for n in names:
        await fl.clock.sleep(2_500_000)
        if n == "crash":
            bad += await _crash(fl)
        elif n == "edge":
            await fl.procs["e1"].end(signal.SIGKILL)
            await fl.clock.sleep(5_000_000)
            await fl.again("e1")
        elif n == "core":
            await fl.procs["c1"].end(signal.SIGKILL)
            await fl.clock.sleep(4_000_000)
            await fl.again("c1")
        elif n == "freeze":
            fl.procs["e2"].poke(signal.SIGSTOP)
            await fl.clock.sleep(4_000_000)
            fl.procs["e2"].poke(signal.SIGCONT)
        elif n == "drain":
            await fl.procs["e3"].end(signal.SIGTERM)
            await fl.again("e3")
        print(f"fault {n} brought about", flush=True)
    return bad


async def _fleet(a):
    d = a.dir or tempfile.mkdtemp(prefix="petrelhaven-")
    fl = Fleet(d, a.size, a.seed)
    try:
        t = time.monotonic()
        await fl.start()
        print(
            f"fleet of size {a.size} serves after {time.monotonic() - t:.1f} s; data and logs in {d}",
            flush=True,
        )
        print(
            "cores "
            + ",".join(fl.cores)
            + "; edges "
            + ",".join(e._p.facts["http"] for e in fl.edges),
            flush=True,
        )
        fl.start_clients(a.visitors, pause=0.7)
        end = time.monotonic() + a.seconds
        bad = await _faults(fl, [x for x in a.faults.split(",") if x])
        await fl.clock.sleep(max(0, int((end - time.monotonic()) * 1e6)))
        await fl.calm()
        c = collections.Counter((h["t"], h.get("outcome", "")) for h in fl.hist)
        print(
            "seen: "
            + ", ".join(f"{t} {o or ''}{n}".replace("  ", " ") for (t, o), n in sorted(c.items()))
        )
        n = collections.Counter()
        for x in fl.clients:
            n.update(x.count)
        print(
            f"statements ok {n['ok']}, declined {n['declined']}; longest step {fl.longest():.2f} s"
        )
        bad += await fl.verdict()
        for b in bad[:20]:
            print("VIOLATION " + json.dumps(b, default=str))
        print(f"violations: {len(bad)}")
        if a.hold:
            print("holding; interrupt to end", flush=True)
            await asyncio.Event().wait()
        return 1 if bad else 0
    finally:
        await fl.close()


def main(argv=None):
    """Runs one subcommand."""
    a = _parser().parse_args(argv)
    try:
        if a.verb == "fleet":
            sys.exit(asyncio.run(_fleet(a)))
        if a.verb == "soak":
            play(a)
        sys.exit(
            {"sweep": _sweep, "scene": _scene, "measure": lambda a: MEASURES[a.what]()}[a.verb](a)
        )
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()
