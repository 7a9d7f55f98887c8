"""The operator's manifest: one whole document, read and checked, every fault named by its path."""

import dataclasses
import json
import typing

from serde import SerdeError, field, serde
from serde.json import from_dict

from petrelhaven.runtime.errors import Invalid
from petrelhaven.runtime.limits import NAME, IntegerRange

__all__ = ["Bounds", "Group", "Configuration", "Route", "read"]

_B = {
    "fetch_us": IntegerRange(5_000, 5_000_000),
    "join_us": IntegerRange(10_000, 10_000_000),
    "wait_us": IntegerRange(10_000, 10_000_000),
    "statement_us": IntegerRange(50_000, 60_000_000),
    "commit_us": IntegerRange(50_000, 60_000_000),
    "browse_us": IntegerRange(100_000, 60_000_000),
    "margin_us": IntegerRange(0, 59_000_000),
    "grace_us": IntegerRange(0, 3_000_000),
    "lost_us": IntegerRange(300_000, 10_000_000),
    "stall_us": IntegerRange(200_000, 10_000_000),
    "warm_us": IntegerRange(0, 120_000_000),
    "idle_txn_us": IntegerRange(100_000, 600_000_000),
    "slots": IntegerRange(1, 100_000),
    "queue": IntegerRange(1, 1000),
    "lanes": IntegerRange(1, 64),
    "sessions": IntegerRange(1, 1_000_000),
    "keepers": IntegerRange(0, 3),
    "wall_us": IntegerRange(10_000, 60_000_000),
    "skew_us": IntegerRange(1_000, 10_000_000),
    "spread_us": IntegerRange(0, 600_000_000),
}


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Bounds:
    """Bounds and horizons of the data plane, all with defaults of ours."""

    fetch_us: int = 150_000
    join_us: int = 400_000
    wait_us: int = 300_000
    statement_us: int = 2_000_000
    commit_us: int = 1_500_000
    browse_us: int = 1_500_000
    margin_us: int = 300_000
    grace_us: int = 1_000_000
    lost_us: int = 1_200_000
    stall_us: int = 1_500_000
    warm_us: int = 3_000_000
    idle_txn_us: int = 10_000_000
    slots: int = 512
    queue: int = 8
    lanes: int = 2
    sessions: int = 5000
    keepers: int = 2
    wall_us: int = 500_000
    skew_us: int = 100_000
    spread_us: int = 2_000_000


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Group:
    """One database group."""

    name: str
    members: int = 3
    cap: int = 40
    least: int = 1
    sync: int = 0


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Route:
    """What a visitor names: a group and the kind of its reads."""

    name: str
    group: str
    reads: str = "strong"
    host: str = ""
    prefix: str = ""
    timeout_us: int = 2_000_000
    aim_us: int = 500_000
    stale_us: int = 1_500_000
    rank: int = 1


@serde(deny_unknown_fields=True)
@dataclasses.dataclass(slots=True)
class Configuration:
    """The whole manifest."""

    name: str
    version: int
    zones: list[str] = field(rename="halls")
    groups: list[Group]
    routes: list[Route]
    bounds: Bounds = field(default_factory=Bounds)
    origin: str = ""
    embargoing: list[str] = field(default_factory=list)
    embargoes: list[dict] = field(default_factory=list)


def _walk(tp, v, path, out):
    if dataclasses.is_dataclass(tp):
        if not isinstance(v, dict):
            out.append((path or "$", "must be an object"))
            return
        hints = typing.get_type_hints(tp)
        known = {f.metadata.get("serde_rename", f.name): f for f in dataclasses.fields(tp)}
        for k in v:
            if k not in known:
                out.append((f"{path}.{k or '(empty)'}".lstrip("."), "unknown field"))
        for k, f in known.items():
            at = f"{path}.{k}".lstrip(".")
            if k in v:
                _walk(hints[f.name], v[k], at, out)
            elif f.default is dataclasses.MISSING and f.default_factory is dataclasses.MISSING:
                out.append((at, "missing"))
    elif typing.get_origin(tp) is list:
        if not isinstance(v, list):
            out.append((path, "must be a list"))
            return
        for i, x in enumerate(v):
            _walk(typing.get_args(tp)[0], x, f"{path}[{i}]", out)
    elif tp is dict:
        if not isinstance(v, dict):
            out.append((path, "must be an object"))
    elif type(v) is not tp:
        out.append((path, f"must be {'a whole number' if tp is int else 'a string'}"))


def _names(xs, path, out, key=lambda x: x):
    seen = set()
    for i, x in enumerate(xs):
        n, at = key(x), f"{path}[{i}]"
        if not NAME.fullmatch(n):
            out.append((at, "must be a name of lower-case letters, digits and hyphens"))
        if n in seen:
            out.append((at, f"duplicate name {n}"))
        seen.add(n)
    if not xs:
        out.append((path, "must not be empty"))
    return seen


def _meaning(m, out):
    _names(m.zones, "halls", out)
    gs = _names(m.groups, "groups", out, lambda g: g.name)
    _names(m.routes, "routes", out, lambda r: r.name)
    if not 1 <= m.version < 1 << 53:
        out.append(("version", "must be from 1 to 2^53"))
    if not NAME.fullmatch(m.name):
        out.append(("name", "must be a name of lower-case letters, digits and hyphens"))
    for i, g in enumerate(m.groups):
        for k, lo, hi in (("members", 1, 9), ("cap", 1, 10_000), ("least", 0, 8), ("sync", 0, 8)):
            w = IntegerRange(lo, hi).fault(getattr(g, k))
            if w:
                out.append((f"groups[{i}].{k}", w))
        if g.least >= g.members:
            out.append((f"groups[{i}].least", "must be below members"))
    hosts = {}
    for i, r in enumerate(m.routes):
        if r.group not in gs:
            out.append((f"routes[{i}].group", f"no group {r.group}"))
        if r.reads not in ("strong", "browsing"):
            out.append((f"routes[{i}].reads", "must be strong or browsing"))
        for k, lo, hi in (
            ("timeout_us", 1, 1 << 40),
            ("aim_us", 0, 1 << 40),
            ("stale_us", 0, 1 << 40),
            ("rank", -(1 << 31), 1 << 31),
        ):
            w = IntegerRange(lo, hi).fault(getattr(r, k))
            if w:
                out.append((f"routes[{i}].{k}", w))
        at = (r.host, r.prefix)
        if r.host and at in hosts:
            out.append(
                (
                    f"routes[{i}].host",
                    f"host {r.host} with this prefix stands in routes[{hosts[at]}] already",
                )
            )
        hosts.setdefault(at, i)
    for k, w in _B.items():
        f = w.fault(getattr(m.bounds, k))
        if f:
            out.append((f"bounds.{k}", f))
    b = m.bounds
    if b.margin_us >= b.browse_us:
        out.append(("bounds.margin_us", "must be below browse_us"))
    if b.fetch_us > b.join_us:
        out.append(("bounds.fetch_us", "must not pass join_us"))
    if b.join_us + b.wait_us > b.statement_us:
        out.append(("bounds.statement_us", "must hold join_us and wait_us"))
    if m.embargoing or m.embargoes:
        from petrelhaven.control.embargo.rules import faults

        faults(m, out)


def _once(pairs):
    d = {}
    for k, v in pairs:
        if k in d:
            raise ValueError(f"field {k} twice")
        d[k] = v
    return d


def read(text):
    """The Manifest in `text`, or Invalid with every fault by its path."""
    try:
        doc = json.loads(text, object_pairs_hook=_once)
    except (ValueError, RecursionError) as e:
        raise Invalid("manifest is not JSON", details={"faults": [["$", str(e)]]}) from None
    out = []
    _walk(Configuration, doc, "", out)
    if not out:
        try:
            m = from_dict(Configuration, doc)
            _meaning(m, out)
        except SerdeError as e:
            out.append(("$", str(e)))
    if out:
        raise Invalid("manifest declined", details={"faults": [list(x) for x in out]})
    return m
