"""The history checker: what callers saw, held against what must never happen."""

import bisect
import collections

__all__ = ["check"]


def check(hist, truth, browse_us=1_500_000):
    """Violations in a history.

    `hist` rows: {"t": "write", "key", "val", "by", "try", "start", "end", "outcome"} (val rises with each
    write of its one writer), {"t": "once", "key", "outcome"} (an add of 1 under one try; "group"),
    {"t": "both", "keys", "outcome"}, {"t": "read", "key", "start", "end", "val", "browse"},
    {"t": "show", "want": [...], "got"}, {"t": "closed", "sid"}. `truth` maps keys to the final values.
    """
    out = []
    acked = collections.defaultdict(list)
    never = set()
    last = {}
    for r in hist:
        if r["t"] == "write":
            if r["outcome"] == "kept":
                acked[r["key"]].append((r["end"], r["val"]))
                last[r["key"]] = max(last.get(r["key"], 0), r["val"])
            elif r["outcome"] == "not kept":
                never.add((r["key"], r["val"]))
    best = {}
    for k, xs in acked.items():
        xs.sort()
        m, ends, tops = 0, [], []
        for e, v in xs:
            m = max(m, v)
            ends.append(e)
            tops.append(m)
        best[k] = (ends, tops)
    for r in hist:
        if r["t"] == "read":
            k = r["key"]
            if k in best:
                at = r["start"] - (browse_us if r["browse"] else 0)
                i = bisect.bisect_left(best[k][0], at)
                if i and (r["val"] or 0) < best[k][1][i - 1]:
                    out.append(("missed commit", r, best[k][1][i - 1]))
            if (k, r["val"]) in never:
                out.append(("read what was not kept", r, None))
        elif r["t"] == "once":
            v = truth.get(r["key"]) or 0
            if v > 1:
                out.append(("try took effect twice", r, v))
            if r["outcome"] == "kept" and v < 1:
                out.append(("acknowledged commit lost", r, v))
            if r["outcome"] == "not kept" and v:
                out.append(("kept after not kept", r, v))
        elif r["t"] == "both":
            a, b = [(truth.get(k) or 0) for k in r["keys"]]
            if a != b:
                out.append(("transaction torn", r, (a, b)))
            if r["outcome"] == "kept" and not a:
                out.append(("acknowledged commit lost", r, a))
            if r["outcome"] == "not kept" and a:
                out.append(("kept after not kept", r, a))
            if a > 1 or b > 1:
                out.append(("try took effect twice", r, (a, b)))
        elif r["t"] == "show":
            if r["got"] not in r["want"]:
                out.append(("session value lost or mixed", r, None))
        elif r["t"] == "closed":
            out.append(("session closed", r, None))
    for k, v in last.items():
        if (truth.get(k) or 0) < v:
            out.append(("acknowledged commit lost", {"key": k, "val": v}, truth.get(k)))
    for k, v in never:
        if truth.get(k) == v:
            out.append(("kept after not kept", {"key": k, "val": v}, v))
    return out
