"""petrelhavenctl embargo: places, moves, lifts and explains embargoes."""

import json

__all__ = ["arguments", "run"]


def arguments(sub):
    """Adds the subcommand to petrelhavenctl's parser."""
    e = sub.add_parser("embargo", help="records that must not be seen before a set time")
    do = e.add_subparsers(dest="do", required=True)
    a = do.add_parser("add", help="place one; returns once it is in force at every edge")
    a.add_argument("name")
    a.add_argument("--group", required=True)
    at = a.add_mutually_exclusive_group(required=True)
    at.add_argument("--thing", default="", help="the record, as it is named on the wire")
    at.add_argument("--prefix", default="", help="all records whose names begin so")
    a.add_argument("--early", default="", metavar="NAME,...", help="visitors who are not held back")
    m = do.add_parser("move", help="release it earlier or later")
    m.add_argument("name")
    for x in (a, m):
        x.add_argument(
            "--until", required=True, help="RFC 3339 with its offset, or a local time with --zone"
        )
        x.add_argument("--zone", default="", help="an IANA zone, as Europe/Oslo")
        x.add_argument(
            "--gone", default="", metavar="EDGE,...", help="edges that are gone for good"
        )
    f = do.add_parser("lift", help="take it out")
    f.add_argument("name")
    for x in (m, f):
        x.add_argument(
            "--n", type=int, default=0, help="fail unless this is its next change (see list)"
        )
    do.add_parser("list", help="all embargoes, the newest changes, the interval around true time")
    w = do.add_parser("why", help="why a record is withheld from a visitor, or not")
    w.add_argument("--group", required=True)
    w.add_argument("--thing", required=True)
    w.add_argument("--visitor", default="")


def _names(text):
    return [x for x in text.split(",") if x]


def _doc(a):
    d = {"do": a.do, "name": a.name, "by": a.by}
    if a.do == "add":
        d |= {"group": a.group, "thing": a.thing, "prefix": a.prefix, "early": _names(a.early)}
    else:
        d["n"] = a.n
    if a.do != "lift":
        d |= {"until": a.until, "zone": a.zone, "gone": _names(a.gone)}
    return d


def _row(r):
    early = f", early for {', '.join(r['early'])}" if r["early"] else ""
    by = f", change {r['seq']} by {r['by'] or '-'}, n {r['n']}" if r["source"] == "placed" else ""
    what = f"thing {r['thing']}" if r["thing"] else f"prefix {r['prefix']}"
    zone = f" {r['zone']}" if r["zone"] else ""
    said = f"until {r['release']} (said as {r['said']}{zone})"
    return f"{r['name']} ({r['source']}): {r['group']} {what} {said}{early}{by}"


def _time(got):
    return (
        f"known to {(got[1] - got[0]) / 1e6:.3f} s"
        if got
        else "NOT AGREED ON: nothing more is released"
    )


async def run(a, call, out):
    """Runs `a.do`; `call(change, verb, path, doc)` asks a core."""
    if a.do in ("add", "move", "lift"):
        r = await call(True, "POST", "/embargoes", _doc(a))
        done = {"add": "placed", "move": "moved", "lift": "lifted"}[r["do"]]
        out(
            f"embargo {r['name']} is {done} and in force (change {r['change']}, {r['in_force_us'] / 1e6:.3f} s)"
        )
    elif a.do == "list":
        r = await call(False, "GET", "/embargoes", None)
        out(f"groups: {', '.join(r['scope']) or 'none; embargoes are off'}")
        for x in r["rules"]:
            out(f"  {_row(x)}")
        for x in r["past"][-10:]:
            out(f"  change {x['seq']}: {x['do']} {x['name']} by {x['by'] or '-'}")
        off = ", ".join(f"{n} {us / 1e6:+.3f} s" for n, us in r["time"]["off_us"].items())
        out(f"time {_time(r['time']['interval'])}" + (f"; {off}" if off else ""))
    else:
        r = await call(
            False,
            "POST",
            "/embargoes-why",
            {"group": a.group, "thing": a.thing, "visitor": a.visitor},
        )
        said = f"withheld by {r['by']}" if r["withheld"] else "served"
        out(f"{said} at edges that hold a lease; time {_time(r['interval'])}")
        for x in r["rules"]:
            out(
                "  "
                + json.dumps(
                    {
                        k: x[k]
                        for k in ("source", "name", "thing", "prefix", "said", "zone", "early")
                    }
                )
            )
        if not r["embargoed_group"]:
            out(f"  group {a.group} is not embargoed: edges without a lease serve it too")
