"""petrelhavenctl: the operator's command line."""

import argparse
import asyncio
import json
import sys

from petrelhaven.commands import embargo as embargo_command
from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.control.storage.data_folder import salvage
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Fault,
    Malformed,
    NoRoute,
    NotSent,
    Unreachable,
)
from petrelhaven.transport.http import fetch

__all__ = ["main"]


def _parser():
    p = argparse.ArgumentParser(
        prog="petrelhavenctl",
        description="Drives a petrelhaven fleet.",
        epilog="Exit codes: 0 done, 1 declined, 2 wrong call, 3 nobody answered, 4 the outcome is not "
        "known (read back with show).",
    )
    p.add_argument(
        "--core", default="", metavar="IP:PORT,...", help="HTTP addresses of cores, tried in order"
    )
    p.add_argument("--by", default="", help="who asks, kept with the change")
    sub = p.add_subparsers(dest="verb", required=True)
    a = sub.add_parser("apply", help="apply a whole manifest; returns once it is in force")
    a.add_argument("file", help="the manifest (JSON), - for standard input")
    a.add_argument("--retire", action="store_true", help="allow served groups to be left out")
    s = sub.add_parser("show", help="read the newest acknowledged manifest back, byte for byte")
    s.add_argument("--version", type=int, help="an older version")
    s.add_argument(
        "--unconfirmed",
        action="store_true",
        help="what one core alone holds, when no majority is left to confirm it",
    )
    k = sub.add_parser(
        "check", help="check a manifest without a fleet; names every fault by path, changes nothing"
    )
    k.add_argument("file", help="the manifest (JSON), - for standard input")
    g = sub.add_parser(
        "salvage",
        help="read the manifest out of a core's data folder without changing it; no majority confirms it",
    )
    g.add_argument("folder")
    r = sub.add_parser(
        "reform",
        help="form the chain anew after a majority of the cores lost their disks; asks the first --core",
    )
    r.add_argument(
        "--lost",
        required=True,
        metavar="NAME,...",
        help="the cores whose disks are lost for good; they must run over empty folders",
    )
    for v, h in (("evacuate", "empty a hall"), ("restore", "take a hall back")):
        x = sub.add_parser(v, help=h)
        x.add_argument("hall")
    t = sub.add_parser("status", help="what the cores believe, or one node")
    t.add_argument("--node", metavar="IP:PORT", help="ask this node instead")
    w = sub.add_parser(
        "why",
        help="explain an epoch: what was seen, by whom, what was decided and what it replaced",
    )
    w.add_argument("group")
    w.add_argument("--epoch", type=int)
    e = sub.add_parser(
        "elect",
        help="elect a member of a group that waits without proof; acknowledged commits may be lost",
    )
    e.add_argument("--group", required=True)
    e.add_argument("--member", required=True)
    e.add_argument(
        "--office", type=int, help="the number of the waiting office; asked for if it is not said"
    )
    e.add_argument(
        "--accept-loss",
        action="store_true",
        required=True,
        help="say that commits only held by members that left may be lost",
    )
    embargo_command.arguments(sub)
    return p


def _fall(e):
    print(f"petrelhavenctl: declined: {e.code}: {e.note}", file=sys.stderr)
    for at, w in e.details.get("faults", []):
        print(f"  {at}: {w}", file=sys.stderr)
    if e.retry_after_us:
        print(f"  come back in {e.retry_after_us / 1e6:g} s", file=sys.stderr)
    return 1


async def _any(cores, change, *a, **kw):
    seen = []
    for c in cores:
        try:
            return await fetch(c, *a, **kw)
        except (DeadlineExceeded, Unreachable) as e:
            if change and not isinstance(e, NotSent):
                raise DeadlineExceeded(
                    "the outcome is not known; read back with show or embargo list"
                ) from None
            seen.append(e)
        except Fault as e:
            if e.code not in ("not-ready", "not-head"):
                raise
            seen.append(e)
    raise ExceptionGroup("no core serves", seen)


def _text(file):
    if file == "-":
        return sys.stdin.read()
    with open(file, encoding="utf-8") as h:
        return h.read()


_UNSURE = "petrelhavenctl: NOT confirmed by a majority of the cores; a newer one may have been acknowledged"


async def _run(a, out):
    if a.verb == "check":
        m = parse_configuration(_text(a.file))
        out(
            f"manifest {m.name} version {m.version} is good: {len(m.groups)} groups, {len(m.routes)} "
            f"routes, {len(m.zones)} halls"
        )
        return
    if a.verb == "salvage":
        r = salvage(a.folder)
        if r.control_state.doc["manifest"] is None:
            raise NoRoute(f"{a.folder} holds no manifest")
        print(f"{_UNSURE} (folder of {r.name}, change {r.control_state.seq})", file=sys.stderr)
        sys.stdout.write(r.control_state.doc["manifest"]["text"])
        return
    if not a.core:
        raise Malformed("--core: missing")
    cs = a.core.split(",")
    by = f"?by={a.by}" if a.by else "?"
    if a.verb == "apply":
        text = _text(a.file)
        r = await _any(
            cs,
            True,
            "POST",
            f"/manifest{by}&retire={'true' if a.retire else 'false'}",
            data=text.encode(),
        )
        out(
            f"version {r['version']} is in force (change {r['change']}, {r['in_force_us'] / 1e6:.3f} s)"
        )
    elif a.verb == "show":
        q = f"?unconfirmed={'true' if a.unconfirmed else 'false'}" + (
            f"&version={a.version}" if a.version is not None else ""
        )
        if a.unconfirmed:
            print(_UNSURE, file=sys.stderr)
        sys.stdout.buffer.write(await _any(cs, False, "GET", f"/manifest{q}", raw=True))
    elif a.verb in ("evacuate", "restore"):
        r = await _any(cs, True, "POST", f"/halls/{a.hall}/{a.verb}{by}")
        out(
            f"hall {r['hall']} is {r['state']} (change {r['change']}, {r['in_force_us'] / 1e6:.3f} s)"
        )
    elif a.verb == "reform":
        r = await _any(cs[:1], True, "POST", f"/reform{by}", doc={"lost": a.lost.split(",")})
        out(
            f"view {r['view']}: {' > '.join(r['chain'])}; change {r['change']}, manifest {r['manifest']}, "
            f"state taken from {r['from']}"
        )
    elif a.verb == "elect":
        await _elect(a, cs, by, out)
    elif a.verb == "embargo":
        await embargo_command.run(
            a, lambda change, verb, path, doc: _any(cs, change, verb, path, doc=doc), out
        )
    elif a.verb == "status":
        if a.node:
            out(json.dumps(await fetch(a.node, "GET", "/status"), indent=1))
            return
        for c in cs:
            try:
                _status(await fetch(c, "GET", "/status"), out)
            except NotSent:
                out(f"{c}: nobody answers")
    else:
        q = f"&n={a.epoch}" if a.epoch is not None else ""
        _why(await _any(cs, False, "GET", f"/why?group={a.group}{q}"), out)


async def _elect(a, cores, by, out):
    """Orders an election for the office that waits now, or for the one that was said."""
    leadership = a.office
    if leadership is None:
        leadership = (await _any(cores, False, "GET", f"/why?group={a.group}"))["epoch"]["n"]
    query = f"{by}&member={a.member}&office={leadership}&accept_loss=true"
    r = await _any(cores, True, "POST", f"/groups/{a.group}/elect{query}")
    out(f"member {r['member']} of {r['group']} is to be elected (change {r['change']})")


def _status(s, out):
    v = s["view"]
    for k, x in (
        ("waiting", s["settings"].get("waiting")),
        ("declined", s["settings"].get("declined")),
    ):
        if x:
            out(f"{s['name']}: settings {k}: {'; '.join(x)}")
    out(
        f"{s['name']}: {s['state']}{', head' if s['head'] else ''}{', ruling' if s['ruling'] else ''}; "
        f"change {s['seq']} (committed {s['commit']}), manifest {s['manifest']}"
        + (f"; view {v['n']}: {' > '.join(v['chain'])}" if v else "")
    )
    if "tied" in s:
        _held(s, out)
    elif s["head"]:
        for g, e in s["epochs"].items():
            out(
                f"  {g}: epoch {e['n']} {e['phase']}, primary {e['primary']}, in sync "
                f"{','.join(e['safe']) or '-'}, gates {','.join(e['gates']) or '-'}"
                + ("" if e["open"] else ", WRITES DECLINED: too few in-sync replicas")
                + f" ({s['waiting'].get(g, '')})"
            )
        out("  edges: " + (", ".join(f"{n} {x[1]}" for n, x in s["edges"].items()) or "-"))
        out("  halls: " + (", ".join(f"{h} {x}" for h, x in s["halls"].items()) or "all open"))
        for m, d in s["members"].items():
            out(
                f"  {m}: {d['role']} in {d['hall']}, log "
                f"{d['log']}{', draining' if d['draining'] else ''}{'' if d['warm'] else ', warming up'}, "
                f"heard {d['age_us'] / 1e6:.2f} s ago"
            )


def _held(s, out):
    """The rest of a core's status where sessions live with their connection."""
    out("  edges tied here: " + (", ".join(s["tied"]) or "-"))
    if not s["head"]:
        return
    for g, o in s["epochs"].items():
        why = s["waiting"].get(g)
        out(
            f"  {g}: office {o['n']} {o['phase']}, primary {o['primary']} in term {o['term']}"
            + (f" ({why})" if why else "")
        )
    out("  halls: " + (", ".join(f"{h} {x}" for h, x in s["halls"].items()) or "all open"))
    for m, (g, state, role) in s["members"].items():
        if state != "gone":
            at = s["heard_us"].get(m)
            out(
                f"  {m}: {role} of {g}, {state}"
                + (f", heard here {at / 1e6:.2f} s ago" if at is not None else "")
            )


def _leadership(o):
    return f"office {o['n']} ({o['phase']}, primary {o['primary']} in term {o['term']})"


def _why_held(d, out):
    o = d["epoch"]
    out(f"{_leadership(o)}, decided by {o['by']} as change {o.get('seq', '?')}")
    out(f"cause: {o['cause']}")
    out(
        f"replaced: {_leadership(d['replaced'])}"
        if d["replaced"]
        else "replaced: nothing that is kept"
    )
    if d["waiting"]:
        out(f"now: {d['waiting']}")


def _why(d, out):
    e, was = d["epoch"], d["replaced"]
    if "evidence" not in e:
        return _why_held(d, out)
    out(
        f"epoch {e['n']} ({e['phase']}, primary {e['primary']}), decided by {e.get('by')} in view "
        f"{e.get('view')} as change {e['seq']}"
    )
    out(f"cause: {e['cause']}")
    out("seen:")
    for m, x in e["evidence"].items():
        out(
            f"  {m}: {x['role']} in {x['hall']}, log {x['log']}, heard {x['age'] / 1e6:.2f} s before"
            + (f" by {','.join(x['seen_by'])}" if x["seen_by"] else ", lately by nobody")
            + (", draining" if x["draining"] else "")
            + (", log stalled" if x["stalled"] else "")
        )
    out(
        f"decided: in sync {','.join(e['safe']) or '-'}; to be waited for {','.join(e['hold']) or '-'}; "
        f"gates {','.join(e['gates']) or '-'}"
    )
    out(
        f"replaced: epoch {was['n']} ({was['phase']}, primary {was['primary']}, in sync {','.join(was['safe']) or '-'})"
        if was
        else "replaced: nothing"
    )
    if d["waiting"]:
        out(f"now: {d['waiting']}")


def main(argv=None):
    """Runs one command."""
    a = _parser().parse_args(argv)
    try:
        asyncio.run(_run(a, print))
    except ExceptionGroup as g:
        for e in g.exceptions:
            print(f"petrelhavenctl: {e.code}: {e.note}", file=sys.stderr)
        sys.exit(3)
    except DeadlineExceeded as e:
        print(f"petrelhavenctl: {e.note}", file=sys.stderr)
        sys.exit(4)
    except Unreachable as e:
        print(f"petrelhavenctl: nobody answers: {e.note}", file=sys.stderr)
        sys.exit(3)
    except Fault as e:
        sys.exit(_fall(e))
    except (OSError, UnicodeDecodeError) as e:
        print(f"petrelhavenctl: {e}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
