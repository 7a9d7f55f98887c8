"""The control state that every core and edge holds: changed only by numbered records, the same everywhere."""

import copy
import hashlib

from petrelhaven.control.configuration.document import read
from petrelhaven.runtime.errors import Conflict, Duplicate, Invalid, Stale

__all__ = ["ResumableControlState"]

# The names of methods, where they differ from the kinds of records as stored.
_SUBJECTS = {"manifest": "configuration", "hall": "zone"}
_KEEP = 64


class ResumableControlState:
    """Checks and applies records: manifest, hall, edge, lapse, epoch, settle."""

    __slots__ = ("seq", "doc", "_read")

    def __init__(self, doc=None):
        self.doc = doc or {
            "seq": 0,
            "manifest": None,
            "old": [],
            "halls": {},
            "edges": {},
            "epochs": {},
            "past": {},
        }
        self.seq = self.doc["seq"]
        self._read = None

    @property
    def configuration(self):
        """The manifest in force, or None."""
        if self._read is None and self.doc["manifest"]:
            self._read = read(self.doc["manifest"]["text"])
        return self._read

    def frame(self):
        """A deep copy of the whole state."""
        return copy.deepcopy(self.doc)

    def check(self, r):
        """Raises a typed fault if `r` must be declined now."""
        getattr(self, "_check_" + _SUBJECTS.get(r["t"], r["t"]))(r)

    def apply(self, seq, r):
        """Applies a numbered record."""
        assert seq == self.seq + 1, (seq, self.seq)
        getattr(self, "_apply_" + _SUBJECTS.get(r["t"], r["t"]))(r)
        self.seq = self.doc["seq"] = seq

    def _check_configuration(self, r):
        m = read(r["text"])
        now = self.doc["manifest"]
        if now:
            h = hashlib.sha256(r["text"].encode()).hexdigest()
            if m.version == now["version"]:
                if h == now["digest"]:
                    raise Duplicate(
                        f"version {m.version} is in force already", details={"version": m.version}
                    )
                raise Stale(
                    f"version {m.version} is taken by another manifest",
                    details={"version": now["version"]},
                )
            if m.version < now["version"]:
                raise Stale(
                    f"version {now['version']} is in force", details={"version": now["version"]}
                )
            gone = {g.name for g in self.configuration.groups} - {g.name for g in m.groups}
            live = [g for g in gone if g in self.doc["epochs"] and not r.get("retire")]
            if live:
                raise Invalid(
                    "manifest declined",
                    details={
                        "faults": [
                            ["groups", f"group {g} is served; retire it with retire=true"]
                            for g in sorted(live)
                        ]
                    },
                )

    def _apply_configuration(self, r):
        m = read(r["text"])
        if self.doc["manifest"]:
            self.doc["old"] = (self.doc["old"] + [self.doc["manifest"]])[-_KEEP:]
        self.doc["manifest"] = {
            "version": m.version,
            "text": r["text"],
            "by": r.get("by", ""),
            "digest": hashlib.sha256(r["text"].encode()).hexdigest(),
        }
        self._read = m
        names = {g.name for g in m.groups}
        for g in list(self.doc["epochs"]):
            if g not in names:
                self.doc["epochs"].pop(g)

    def _check_zone(self, r):
        if not self.configuration or r["hall"] not in self.configuration.zones:
            raise Invalid(
                f"no hall {r['hall']}", details={"faults": [["hall", f"no hall {r['hall']}"]]}
            )
        if r["state"] not in ("open", "emptied"):
            raise Invalid("hall state", details={"faults": [["state", "must be open or emptied"]]})
        if self.doc["halls"].get(r["hall"], "open") == r["state"]:
            raise Duplicate(f"hall {r['hall']} is {r['state']} already")
        if r["state"] == "emptied":
            rest = [
                h
                for h in self.configuration.zones
                if h != r["hall"] and self.doc["halls"].get(h, "open") == "open"
            ]
            if not rest:
                raise Invalid(
                    "last open hall",
                    details={"faults": [["hall", "the last open hall can't be emptied"]]},
                )

    def _apply_zone(self, r):
        self.doc["halls"][r["hall"]] = r["state"]

    def _check_edge(self, r):
        e = self.doc["edges"].get(r["name"])
        if e and (r["inc"] < e["inc"] or r["inc"] == e["inc"] and e["state"] == "gone"):
            raise Stale(f"edge {r['name']} incarnation {e['inc']} is {e['state']}")
        if e is None and r["state"] != "up":
            raise Stale(f"no edge {r['name']}")
        if (
            e
            and e["inc"] == r["inc"]
            and e.get("boot")
            and r.get("boot")
            and e["boot"] != r["boot"]
        ):
            raise Stale(f"edge {r['name']} incarnation {e['inc']} is another process")
        if e and e["inc"] == r["inc"] and e["state"] == r["state"]:
            raise Duplicate(f"edge {r['name']} is {r['state']}")

    def _apply_edge(self, r):
        e = self.doc["edges"].setdefault(r["name"], {})
        e.pop("lapsed", None)
        e.update(
            {
                k: r[k]
                for k in ("inc", "state", "boot", "hall", "addr", "http")
                if r.get(k) not in (None, "")
            }
        )

    def _check_lapse(self, r):
        e = self.doc["edges"].get(r["name"])
        if not e or e["inc"] != r["inc"] or e["state"] != "gone" or e.get("lapsed"):
            raise Conflict("edge moved on")

    def _apply_lapse(self, r):
        self.doc["edges"][r["name"]]["lapsed"] = True

    def _check_epoch(self, r):
        if not self.configuration or r["group"] not in {g.name for g in self.configuration.groups}:
            raise Stale(f"no group {r['group']}")
        now = self.doc["epochs"].get(
            r["group"], {"n": self.doc["past"].get(r["group"], [{"n": 0}])[-1]["n"]}
        )
        if r["n"] != now["n"] + 1:
            raise Conflict(f"epoch {r['n']} does not follow {now['n']}")

    def _apply_epoch(self, r):
        g = r["group"]
        old = self.doc["epochs"].get(g)
        e = {k: v for k, v in r.items() if k != "t"}
        e["settled"] = False
        e["before"] = old["shares"] if old and old["settled"] else self._lower(old)
        self.doc["epochs"][g] = e
        p = self.doc["past"].setdefault(g, [])
        p.append(
            {
                k: e[k]
                for k in (
                    "n",
                    "phase",
                    "primary",
                    "hold",
                    "safe",
                    "gates",
                    "cause",
                    "evidence",
                    "by",
                    "view",
                    "seq",
                )
                if k in e
            }
            | {"seq": self.seq + 1}
        )
        del p[:-_KEEP]

    @staticmethod
    def _lower(old):
        if not old:
            return {}
        out = {}
        for e, ms in old["shares"].items():
            was = old["before"].get(e, {})
            out[e] = {m: min(n, was.get(m, 0)) for m, n in ms.items()}
        return out

    def _check_settle(self, r):
        e = self.doc["epochs"].get(r["group"])
        if not e or e["n"] != r["n"] or e["settled"]:
            raise Conflict("epoch moved on")

    def _apply_settle(self, r):
        self.doc["epochs"][r["group"]]["settled"] = True

    def share(self, group, edge, member):
        """How many connections `edge` may hold to `member` now."""
        e = self.doc["epochs"].get(group)
        if not e:
            return 0
        n = e["shares"].get(edge, {}).get(member, 0)
        return n if e["settled"] else min(n, e["before"].get(edge, {}).get(member, 0))

    def belief(self):
        """What `petrelhaven-diff` compares of this state."""
        d, m = self.doc, self.doc["manifest"]
        keys = ("n", "phase", "primary", "hold", "safe", "gates", "open", "settled", "shares")
        return {
            "seq": self.seq,
            "manifest": m["version"] if m else 0,
            "digest": m["digest"] if m else "",
            "halls": d["halls"],
            "epochs": {g: {k: e[k] for k in keys} for g, e in sorted(d["epochs"].items())},
            "edges": {n: [e["inc"], e["state"]] for n, e in sorted(d["edges"].items())},
        }

    def zone(self, h):
        """The state of a hall."""
        return self.doc["halls"].get(h, "open")
