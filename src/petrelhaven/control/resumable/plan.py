"""From the manifest and the members' announcements to the plan of the next epoch. Pure: no clock, no links."""

__all__ = ["GroupObservation", "after", "step"]


class GroupObservation:
    """All that a plan may look at for one group."""

    __slots__ = (
        "group",
        "bounds",
        "epoch",
        "last",
        "members",
        "edges",
        "zones",
        "forced",
        "marks",
        "waited",
        "target",
    )

    def __init__(
        self, group, bounds, epoch, last, members, edges, zones, forced, marks, waited, target=None
    ):
        self.group, self.bounds, self.epoch, self.last = group, bounds, epoch, last
        self.members, self.edges, self.zones = members, edges, zones
        self.forced, self.marks, self.waited, self.target = forced, marks, waited, target

    def live(self, n):
        """Heard lately."""
        m = self.members.get(n)
        return bool(m) and m["age"] < self.bounds.lost_us

    def leaving(self, n):
        """Draining or in an emptied hall."""
        m = self.members[n]
        return m["draining"] or self.zones.get(m["hall"], "open") != "open"

    def sound(self, n):
        """A replica that may hold commits: live, staying, its log moving."""
        m = self.members.get(n)
        return self.live(n) and not self.leaving(n) and not m["stalled"] and m["role"] == "replica"


def _shares(s):
    out = {e: {} for e in s.edges}
    if not s.edges:
        return out
    for n, m in sorted(s.members.items()):
        cap = min(s.group.cap, m["cap"])
        q, r = divmod(cap, len(s.edges))
        for i, e in enumerate(sorted(s.edges)):
            out[e][n] = q + (i < r)
    return out


def _row(s, names):
    return {
        n: {
            k: s.members[n][k]
            for k in ("role", "log", "hall", "draining", "stalled", "age", "boot")
            if k in s.members[n]
        }
        | {"seen_by": s.members[n].get("by", [])}
        for n in sorted(names)
        if n in s.members
    }


def _sync(s, hold, safe):
    """(safe, open): writes are acknowledged only while enough of those waited for are safe to elect.

    While they are not, nothing new is acknowledged, so whoever was safe stays so.
    """
    stores = s.epoch["stores"] if s.epoch else {}
    kept = [
        n
        for n in safe
        if n in hold and s.members[n]["store"] == stores.get(n, s.members[n]["store"])
    ]
    if len(kept) >= s.group.least:
        return kept, True
    return list(safe), False


def _epoch(s, phase, primary, hold, safe, cause, grace=0):
    gates = sorted(n for n in s.members if n != primary and s.sound(n) and s.members[n]["warm"])
    old = s.epoch or {}
    was = old.get("stores", {})
    stores = {
        **was,
        **{n: s.members[n]["store"] for n in hold if phase == "serve"},
        **({} if old else {primary: s.members[primary]["store"]}),
    }
    safe = [n for n in safe if stores.get(n) == was.get(n)]
    hold = sorted(hold)
    opens = bool(old.get("open"))
    if phase == "serve":
        safe, opens = _sync(s, hold, safe)
    return {
        "t": "epoch",
        "group": s.group.name,
        "n": s.last + 1,
        "phase": phase,
        "primary": primary,
        "hold": hold,
        "safe": sorted(safe),
        "gates": gates,
        "open": opens,
        "shares": _shares(s) if phase == "serve" else old.get("shares", {}),
        "stores": stores,
        "grace": grace,
        "term": s.members[primary]["term"] if s.epoch is None else old["term"],
        "where": {
            n: {"addr": m["addr"], "hall": m["hall"], "boot": m["boot"]}
            for n, m in sorted(s.members.items())
        },
        "cause": cause,
        "evidence": _row(s, s.members),
        "was": old.get("primary"),
    }


def _hold(s, primary):
    return [
        n
        for n in sorted(s.members)
        if n != primary
        and s.sound(n)
        and (s.epoch is None or n in s.epoch["hold"] or s.members[n]["near"])
    ]


def _first(s):
    ps = [
        n
        for n, m in sorted(s.members.items())
        if s.live(n) and m["role"] == "primary" and not s.leaving(n)
    ]
    if not ps:
        return "wait", "no primary has announced itself"
    if not s.edges:
        return "wait", "no edge has joined"
    if len([n for n in s.members if s.live(n)]) < s.group.members and s.waited < 1_500_000:
        return "wait", "members are still announcing themselves"
    p = max(ps, key=lambda n: (s.members[n]["term"], s.members[n]["log"]))
    return "epoch", _epoch(s, "serve", p, _hold(s, p), [], "first plan")


def _serve(s):
    e = s.epoch
    p = e["primary"]
    m = s.members.get(p)
    if not s.live(p):
        return "epoch", _epoch(s, "halt", p, e["hold"], e["safe"], "primary lost")
    if m["store"] != e["stores"].get(p):
        return "epoch", _epoch(
            s, "halt", p, e["hold"], e["safe"], "primary came back with another store"
        )
    if m["role"] != "primary" and m.get("odd", 0) > 1_000_000:
        return "epoch", _epoch(s, "halt", p, e["hold"], e["safe"], "primary is no longer one")
    if s.leaving(p) and (_candidates(s) or s.waited > 3_000_000):
        why = "primary draining" if m["draining"] else "hall emptied"
        return "epoch", _epoch(s, "halt", p, e["hold"], e["safe"], why, grace=s.bounds.grace_us)
    hold = _hold(s, p)
    lost = [n for n in e["hold"] if n not in hold or s.members[n]["store"] != e["stores"].get(n)]
    hold = [n for n in hold if n not in lost]
    safe = e["safe"]
    if lost:
        return "epoch", _epoch(s, "serve", p, hold, safe, "replica out: " + ",".join(lost))
    if not (s.forced and e["settled"]):
        return "wait", "the epoch is not in force everywhere yet"
    if set(hold) - set(e["hold"]):
        return "epoch", _epoch(
            s, "serve", p, hold, safe, "replica in: " + ",".join(sorted(set(hold) - set(e["hold"])))
        )
    more = [
        n
        for n in e["hold"]
        if n not in e["safe"]
        and s.members[n]["term"] == e["term"]
        and s.members[n]["log"] >= s.marks.get("catch", 1 << 62)
    ]
    if more:
        return "epoch", _epoch(
            s, "serve", p, hold, safe + more, "replica caught up: " + ",".join(more)
        )
    new = _epoch(s, "serve", p, hold, safe, "")
    if new["gates"] != e["gates"]:
        return "epoch", {**new, "cause": "read gates changed"}
    if new["open"] != e["open"]:
        return "epoch", {**new, "cause": "in-sync least changed"}
    if new["shares"] != e["shares"]:
        return "epoch", {**new, "cause": "edges or caps changed"}
    if any(new["where"][n] != e["where"].get(n) for n in new["where"]):
        return "epoch", {**new, "cause": "a member restarted or moved"}
    return "wait", "serving"


def _candidates(s):
    e = s.epoch
    return [
        n
        for n in e["safe"]
        if n != e["primary"]
        and s.live(n)
        and not s.leaving(n)
        and s.members[n]["store"] == e["stores"].get(n)
    ]


def _halt(s):
    e = s.epoch
    p = e["primary"]
    if not s.forced:
        return "wait", "writes to the old primary are being stopped"
    cs = _candidates(s)
    back = s.live(p) and s.members[p]["store"] == e["stores"].get(p)
    if s.target and s.target != p and s.target not in cs:
        return "epoch", _epoch(s, "halt", p, e["hold"], e["safe"], f"candidate {s.target} lost")
    if cs:
        c = s.target or max(
            cs,
            key=lambda n: (
                s.members[n]["term"],
                s.members[n]["log"],
                not s.members[n]["stalled"],
                n,
            ),
        )
        if (
            back
            and s.members[p]["role"] == "primary"
            and s.members[c]["log"] < s.members[p]["log"]
            and s.waited < 2_500_000
        ):
            return "wait", f"{c} catches up with {p}"
        return "promote", c
    if back and not s.leaving(p):
        return "promote", p
    return (
        "wait",
        "no safe candidate: none of "
        + ",".join(e["safe"] or ["(no in-sync replica)"])
        + " is alive and staying",
    )


def after(s, target):
    """The epoch that follows a promotion."""
    e = s.epoch
    hold = [
        n
        for n in sorted(s.members)
        if n != target and s.sound(n) and (n in e["hold"] or n in e["safe"])
    ]
    safe = [n for n in e["safe"] if n != target]
    return {
        **_epoch(s, "serve", target, hold, safe, f"elected after: {e['cause']}"),
        "term": e["n"],
    }


def step(s):
    """The next step for the group: epoch, promote or wait, each with what it needs."""
    if s.epoch is None:
        return _first(s)
    return _serve(s) if s.epoch["phase"] == "serve" else _halt(s)
