"""Embargoes: rules that keep records unseen until a release time, in the manifest and placed one at a time."""

import dataclasses
import json
import os

from sortedcontainers import SortedDict

from petrelhaven.runtime.errors import Conflict, Duplicate, Invalid, Stale, TooLarge
from petrelhaven.runtime.limits import NAME

__all__ = [
    "Embargo",
    "Table",
    "apply",
    "apply_configuration",
    "check",
    "check_configuration",
    "faults",
    "of_configuration",
    "placed",
    "rules_of",
    "told",
]

_KEY = 512
_EARLY = 32
_MOST = 2 << 20
_PAST = 64
_FIELDS = ("group", "thing", "prefix", "until", "said", "zone", "early")


@dataclasses.dataclass(slots=True)
class Embargo:
    """One rule: a thing or a prefix of a group, its release time, and the visitors who may see it early."""

    name: str
    group: str
    until: str
    thing: str = ""
    prefix: str = ""
    zone: str = ""
    early: list[str] = dataclasses.field(default_factory=list)


def _settled(e, at, out):
    """The rule with its release time in microseconds of UTC; what is wrong goes into `out` by path."""
    from petrelhaven.control.embargo.instant import instant

    us = 0
    if not NAME.fullmatch(e.name):
        out.append((f"{at}name", "must be a name of lower-case letters, digits and hyphens"))
    if bool(e.thing) == bool(e.prefix):
        out.append((f"{at}thing", "say either a thing or a prefix"))
    for k in ("thing", "prefix"):
        if len(getattr(e, k).encode("utf-8", "surrogatepass")) > _KEY:
            out.append((f"{at}{k}", f"must be at most {_KEY} bytes"))
    if len(e.early) > _EARLY or any(not 0 < len(x) <= 128 for x in e.early):
        out.append((f"{at}early", f"must be at most {_EARLY} visitors' names of 1 to 128 letters"))
    try:
        us = instant(e.until, e.zone)
    except ValueError as x:
        out.append((f"{at}until", str(x)))
    return {
        "group": e.group,
        "thing": e.thing,
        "prefix": e.prefix,
        "until": us,
        "said": e.until,
        "zone": e.zone,
        "early": sorted(set(e.early)),
    }


def _rules(m, out):
    from petrelhaven.control.configuration.document import _walk

    groups = {g.name for g in m.groups}
    rules = {}
    for i, doc in enumerate(m.embargoes):
        at, bad = f"embargoes[{i}].", []
        _walk(Embargo, doc, at[:-1], bad)
        out += bad
        if bad:
            continue
        e = Embargo(**doc)
        if e.group not in groups:
            out.append((f"{at}group", f"no group {e.group}"))
        if e.name in rules:
            out.append((f"{at}name", f"duplicate name {e.name}"))
        rules[e.name] = _settled(e, at, out)
    for i, g in enumerate(m.embargoing):
        if g not in groups:
            out.append((f"embargoing[{i}]", f"no group {g}"))
    return rules


def faults(m, out):
    """Adds what is wrong with a manifest's embargoes to `out`, by path."""
    _rules(m, out)
    if m.bounds.wall_us <= 2 * m.bounds.skew_us:
        out.append(("bounds.wall_us", "must be above twice skew_us"))


def of_configuration(m):
    """What a record of manifest `m` carries of embargoes: nothing while they are off."""
    if not m.embargoing and not m.embargoes:
        return {}
    rules = _rules(m, [])
    b = m.bounds
    scope = sorted({*m.embargoing, *(r["group"] for r in rules.values())})
    return {
        "embargo": {
            "scope": scope,
            "rules": rules,
            "wall_us": b.wall_us,
            "skew_us": b.skew_us,
            "spread_us": b.spread_us,
        }
    }


def placed(d):
    """A record for the chain from an operator's call; Invalid by field, all at once."""
    out = []
    if not isinstance(d, dict):
        raise Invalid("embargo declined", details={"faults": [["$", "must be an object"]]})
    do = d.get("do")
    if do not in ("add", "move", "lift"):
        raise Invalid("embargo declined", details={"faults": [["do", "must be add, move or lift"]]})
    fields = {
        "add": ("name", "group", "thing", "prefix", "until", "zone", "early"),
        "move": ("name", "until", "zone"),
        "lift": ("name",),
    }[do]
    for k in sorted(set(d) - {"do", "by", "gone", "n", *fields}):
        out.append((str(k)[:40], "unknown field"))
    for k in ("by", *(f for f in fields if f != "early")):
        if not isinstance(d.get(k, ""), str):
            out.append((k, "must be a string"))
    for k in ("early", "gone"):
        if not isinstance(d.get(k, []), list) or not all(isinstance(x, str) for x in d.get(k, [])):
            out.append((k, "must be a list of strings"))
    n = d.get("n", 0)
    if type(n) is not int or n < 0:
        out.append(("n", "must be a whole number"))
    if out:
        raise Invalid("embargo declined", details={"faults": [list(x) for x in out]})
    e = Embargo(
        d.get("name", ""),
        d.get("group", ""),
        d.get("until", ""),
        d.get("thing", "") if do == "add" else "x",
        d.get("prefix", ""),
        d.get("zone", ""),
        d.get("early", []),
    )
    r = _settled(e, "", out)
    if do == "lift":
        out = [x for x in out if x[0] != "until"]
    if out:
        raise Invalid("embargo declined", details={"faults": [list(x) for x in out]})
    keep = {"add": _FIELDS, "move": ("until", "said", "zone"), "lift": ()}[do]
    return {
        "t": "embargo",
        "do": do,
        "name": e.name,
        **{k: r[k] for k in keep},
        "n": n,
        "by": d.get("by", ""),
    }


def check(doc, r):
    """Raises a typed fault if the record `r` must be declined now."""
    scope = ((doc["manifest"] or {}).get("embargo") or {}).get("scope", ())
    have = doc.get("embargoes", {}).get(r["name"])
    if r["do"] == "add":
        if r["group"] not in scope:
            raise Invalid(
                "embargo declined",
                details={
                    "faults": [
                        ["group", f"group {r['group']} is not named in the manifest's embargoing"]
                    ]
                },
            )
        if have is not None:
            if all(have[k] == r[k] for k in _FIELDS):
                raise Duplicate(f"embargo {r['name']} stands already", details={"n": have["n"]})
            raise Stale(
                f"embargo {r['name']} stands with another content; move or lift it",
                details={"n": have["n"]},
            )
        if sum(map(_size, doc.get("embargoes", {}).values())) + _size(r) > _MOST:
            raise TooLarge("no room for one more embargo; lift old ones, or place one on a prefix")
        return
    if have is None:
        if r["do"] == "lift":
            raise Duplicate(f"no embargo {r['name']} stands")
        raise Stale(f"no embargo {r['name']}")
    if r["n"] and r["n"] != have["n"] + 1:
        raise Conflict(f"embargo {r['name']} was changed meanwhile", details={"n": have["n"]})
    if r["do"] == "move" and have["until"] == r["until"]:
        raise Duplicate(f"embargo {r['name']} is released then already", details={"n": have["n"]})


def check_configuration(doc, r):
    """Declines a manifest that no longer names a group for which embargoes are placed."""
    scope = r.get("embargo", {}).get("scope", ())
    lost = sorted({e["group"] for e in doc.get("embargoes", {}).values()} - set(scope))
    if lost:
        raise Invalid(
            "manifest declined",
            details={
                "faults": [
                    ["embargoing", f"embargoes are placed for group {g}; lift them first"]
                    for g in lost
                ]
            },
        )


def apply_configuration(doc, r, seq):
    """Notes since which record each group is embargoed."""
    was = doc.get("embargo_since", {})
    now = {g: was.get(g, seq) for g in r.get("embargo", {}).get("scope", ())}
    if was or now:
        doc["embargo_since"] = now


def _size(r):
    return len(json.dumps(r))


def apply(doc, r, seq):
    """Applies the record `r`, number `seq`."""
    rules = doc.setdefault("embargoes", {})
    past = doc.setdefault("embargo_past", [])
    old = rules.get(r["name"], {})
    if r["do"] == "lift":
        rules.pop(r["name"], None)
    elif r["do"] == "add":
        rules[r["name"]] = {**{k: r[k] for k in _FIELDS}, "n": 1, "by": r["by"], "seq": seq}
    else:
        rules[r["name"]] = {
            **old,
            **{k: r[k] for k in ("until", "said", "zone")},
            "n": old["n"] + 1,
            "by": r["by"],
            "seq": seq,
        }
    past.append(
        {
            "seq": seq,
            "do": r["do"],
            "name": r["name"],
            "by": r["by"],
            "was": old.get("until", 0),
            "until": r.get("until", 0),
        }
    )
    del past[:-_PAST]


def rules_of(doc):
    """All rules of a control state: ((source, name), rule)."""
    m = (doc["manifest"] or {}).get("embargo")
    if m:
        for n, r in m["rules"].items():
            yield ("manifest", n), r
    for n, r in doc.get("embargoes", {}).items():
        yield ("placed", n), r


def told(doc):
    """What `petrelhavenctl embargo list` shows."""
    from petrelhaven.control.embargo.instant import spoken

    m = (doc["manifest"] or {}).get("embargo") or {}
    return {
        "scope": m.get("scope", []),
        "past": doc.get("embargo_past", []),
        "rules": [
            {"source": s, "name": n, **r, "release": spoken(r["until"])}
            for (s, n), r in rules_of(doc)
        ],
    }


class Table:
    """Rules found by thing and by prefix; a rule's key says where it comes from."""

    def __init__(self, rules=()):
        self._rules, self._things, self._prefixes = {}, {}, {}
        for k, r in rules:
            self.put(k, r)

    def __len__(self):
        return len(self._rules)

    def put(self, key, rule):
        """Adds a rule, or puts it in place of the one under this key."""
        self.drop(key)
        self._rules[key] = rule
        self._shelf(rule).setdefault(rule["thing"] or rule["prefix"], {})[key] = rule

    def drop(self, key):
        """Takes a rule out, if it is there."""
        rule = self._rules.pop(key, None)
        if rule is None:
            return
        shelf, at = self._shelf(rule), rule["thing"] or rule["prefix"]
        del shelf[at][key]
        if not shelf[at]:
            del shelf[at]

    def _shelf(self, rule):
        if rule["thing"]:
            return self._things.setdefault(rule["group"], {})
        shelf = self._prefixes.get(rule["group"])
        if shelf is None:
            shelf = self._prefixes[rule["group"]] = SortedDict()
        return shelf

    def covering(self, group, thing):
        """The (key, rule) pairs that cover `thing` of `group`."""
        hit = self._things.get(group, {}).get(thing)
        if hit:
            yield from hit.items()
        shelf = self._prefixes.get(group)
        bound = thing
        while shelf:
            i = shelf.bisect_right(bound)
            if not i:
                return
            p, rules = shelf.peekitem(i - 1)
            if thing.startswith(p):
                yield from rules.items()
                bound = p[:-1]
            else:
                # a shorter prefix of `thing` that sorts before `p` begins `p` too
                bound = os.path.commonprefix([p, bound])
            if not bound:
                return

    def held(self, group, things, client, now):
        """The (key, rule) with the latest release of those that hold `things` back from `visitor` at `now`, or None."""
        worst = None
        for t in things:
            for k, r in self.covering(group, t):
                if (
                    r["until"] > now
                    and client not in r["early"]
                    and (worst is None or r["until"] > worst[1]["until"])
                ):
                    worst = (k, r)
        return worst
