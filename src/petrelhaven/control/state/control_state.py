"""Control state where sessions live with their connection: manifest, halls, members, offices."""

import copy
import hashlib
import json

from petrelhaven.control.failover.evidence import ElectionOrder, Evidence
from petrelhaven.runtime.errors import Conflict, Duplicate, Invalid, NoRoute, Stale, VersionTaken

__all__ = ["ControlState"]

# The names of methods, where they differ from the kinds of records as stored.
_SUBJECTS = {"manifest": "configuration", "hall": "zone", "office": "leadership"}
_GONE = 64
_KEEP = 16
_ACCEPTED = 128


def _digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


class ControlState:
    """Checks and applies numbered records. `reader` turns a manifest's text into what `manifest` answers."""

    __slots__ = ("seq", "doc", "_configuration")
    reader = staticmethod(json.loads)

    def __init__(self, doc=None):
        self.doc = {
            "seq": 0,
            "manifest": None,
            "halls": {},
            "members": {},
            "offices": {},
            "sizes": {},
            "past": {},
            "accepted": [],
            "evidence": {},
            **(doc or {}),
        }
        self.seq = self.doc["seq"]
        self._configuration = None
        if doc and "evidence" not in doc:
            self._evidence_of_older_version()

    @property
    def configuration(self):
        """The manifest in force, or None."""
        if self._configuration is None and self.doc["manifest"]:
            self._configuration = self.reader(self.doc["manifest"]["text"])
        return self._configuration

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

    def zone(self, h):
        """The state of a hall."""
        return self.doc["halls"].get(h, "open")

    def group(self, g):
        """Members of group `g` that are not gone, by name."""
        return {
            n: m
            for n, m in sorted(self.doc["members"].items())
            if m["group"] == g and m["state"] != "gone"
        }

    def evidence(self, group: str) -> Evidence:
        """What is recorded about the logs of a group's members."""
        return Evidence.from_document(self.doc["evidence"].get(group))

    def _put_evidence(self, group: str, evidence: Evidence) -> None:
        self.doc["evidence"][group] = evidence.document()

    def _evidence_of_older_version(self) -> None:
        """A version without evidence knew only how many members a group ever had at once."""
        for group, size in self.doc["sizes"].items():
            missing = size - len(self.group(group))
            if missing > 0:
                names = tuple(f"unrecorded-{i + 1}" for i in range(missing))
                self._put_evidence(group, Evidence(unproven=names))

    def _check_configuration(self, r):
        now = self.doc["manifest"]
        if not now:
            return
        if "embargoes" in self.doc:
            from petrelhaven.control.embargo.rules import check_configuration

            check_configuration(self.doc, r)
        version, digest = r["version"], self._accepted(r["version"])
        if digest is not None and digest == _digest(r["text"]):
            state = "in force" if version == now["version"] else "accepted"
            raise Duplicate(f"version {version} is {state} already", details={"version": version})
        if digest is not None:
            raise VersionTaken(
                f"version {version} is taken by another manifest",
                details={"version": now["version"], "taken": version, "digest": digest},
            )
        if version < now["version"]:
            raise Stale(f"version {now['version']} is in force", details={"version": now["version"]})
        if r.get("retire") is False:
            gone = {g["name"] for g in self.configuration["groups"]} - {
                g["name"] for g in json.loads(r["text"])["groups"]
            }
            live = sorted(gone & set(self.doc["offices"]))
            if live:
                raise Invalid(
                    "manifest declined",
                    details={
                        "faults": [
                            ["groups", f"group {g} is served; retire it with retire=true"]
                            for g in live
                        ]
                    },
                )

    def _accepted(self, version):
        """The digest of the manifest that was accepted under `version`, as long as it is remembered."""
        now = self.doc["manifest"]
        if now["version"] == version:
            return now["digest"]
        return next((d for v, d in reversed(self.doc["accepted"]) if v == version), None)

    def _apply_configuration(self, r):
        self.doc["manifest"] = {
            "version": r["version"],
            "text": r["text"],
            "by": r.get("by", ""),
            "digest": _digest(r["text"]),
            **({"embargo": r["embargo"]} if "embargo" in r else {}),
        }
        self.doc["accepted"].append([r["version"], self.doc["manifest"]["digest"]])
        del self.doc["accepted"][:-_ACCEPTED]
        if "embargo" in r or "embargo_since" in self.doc:
            from petrelhaven.control.embargo.rules import apply_configuration

            apply_configuration(self.doc, r, self.seq + 1)
        self._configuration = None

    def _apply_pass(self, r):
        """A manifest was replaced before this node heard of it."""

    def _check_zone(self, r):
        if r["state"] not in ("open", "emptied"):
            raise Invalid("hall state", details={"faults": [["state", "must be open or emptied"]]})
        if self.zone(r["hall"]) == r["state"]:
            raise Duplicate(f"hall {r['hall']} is {r['state']} already")

    def _apply_zone(self, r):
        self.doc["halls"][r["hall"]] = r["state"]

    def _check_member(self, r):
        m = self.doc["members"].get(r["name"])
        if m and m["state"] != "ready" and r["state"] == "ready" and r["count"] <= m["count"]:
            raise Stale(
                f"member {r['name']} is {m['state']}; this was said before",
                details={"count": m["count"]},
            )
        if r["state"] == "gone" and (m is None or m["state"] == "gone"):
            raise Duplicate(f"member {r['name']} is gone")
        now = {k: v for k, v in r.items() if k not in ("t", "count", "name")}
        if m and {k: m[k] for k in m if k != "count"} == now:
            raise Duplicate(f"member {r['name']} is {r['state']}")

    def _apply_member(self, r):
        ms = self.doc["members"]
        if r["state"] == "gone":
            self._departed(r["name"])
            return
        for n, m in ms.items():
            if n != r["name"] and m["addr"] == r["addr"]:
                self._succeeded(n, m, r["group"])
        ms.pop(r["name"], None)
        ms[r["name"]] = {k: v for k, v in r.items() if k not in ("t", "name")}
        gone = [n for n, m in ms.items() if m["state"] == "gone"]
        for n in gone[: max(0, len(gone) - _GONE)]:
            del ms[n]
        g = r["group"]
        self.doc["sizes"][g] = max(self.doc["sizes"].get(g, 0), len(self.group(g)))

    def _departed(self, name: str) -> None:
        """A member signed off: its copy is gone with it."""
        member = self.doc["members"][name]
        group = member["group"]
        member["state"] = "gone"
        leadership = self.doc["offices"].get(group)
        moving = bool(leadership) and leadership["phase"] != "serve"
        evidence = self.evidence(group)
        self._put_evidence(group, evidence.with_departure(name, moving))
        if name in evidence.counted_out and not moving:
            self._shrink(group)

    def _succeeded(self, name: str, member: dict, group: str) -> None:
        """Another member came to the address of this one."""
        was_gone = member["state"] == "gone"
        member["state"] = "gone"
        if member["group"] != group:
            if not was_gone:
                self._departed(name)
            return
        before = self.evidence(group)
        after = before.with_successor(name)
        if after != before:
            self._put_evidence(group, after)

    def _shrink(self, group: str) -> None:
        """One copy fewer has to be known for a proof."""
        least = len(self.group(group)) + len(self.evidence(group).unproven)
        self.doc["sizes"][group] = max(least, self.doc["sizes"].get(group, 0) - 1)

    def _check_evidence(self, r):
        """Evidence may be added about members that are there, and orders about groups that halt."""
        group, leadership = r["group"], self.doc["offices"].get(r["group"])
        if leadership is None:
            raise NoRoute(f"no group {group[:60]} is served")
        if r["what"] == "counted_out" and r["member"] not in self.group(group):
            raise Stale(f"member {r['member']} is gone")
        if r["what"] == "order":
            self._check_order(r, leadership)

    def _check_order(self, r, leadership):
        group, member = r["group"], r["member"]
        if leadership["phase"] != "move":
            faults = [["group", f"group {group[:60]} is served by {leadership['primary']}"]]
            raise Invalid("no election is waited for", details={"faults": faults})
        if r["n"] != leadership["n"]:
            raise Conflict(f"office {leadership['n']} of {group[:60]} waits, not {r['n']}")
        if member not in self.group(group):
            faults = [["member", f"no member {member[:60]} in group {group[:60]}"]]
            raise Invalid("no such member", details={"faults": faults})
        order = self.evidence(group).order
        if order is not None and order.member == member:
            raise Duplicate(f"{order.by} ordered {member} already")

    def _apply_evidence(self, r):
        group = r["group"]
        evidence = self.evidence(group)
        if r["what"] == "counted_out":
            position = tuple(r["pos"]) if r["pos"] else None
            evidence = evidence.with_counted_out(r["member"], position)
        elif r["what"] == "bounded":
            resolved = len(set(r["members"]) & set(evidence.unproven))
            evidence = evidence.with_bound(r["members"], tuple(r["pos"]))
            self._put_evidence(group, evidence)
            for _ in range(resolved):
                self._shrink(group)
            return
        elif r["what"] == "order":
            evidence = evidence.with_order(ElectionOrder(r["member"], r["by"]))
        self._put_evidence(group, evidence)

    def _check_leadership(self, r):
        o = self.doc["offices"].get(r["group"])
        if r["n"] != (o["n"] if o else 0) + 1:
            raise Conflict(f"office {r['n']} does not follow {o['n'] if o else 0}")

    def _apply_leadership(self, r):
        before = self.doc["offices"].get(r["group"])
        o = self.doc["offices"][r["group"]] = {
            k: v for k, v in r.items() if k not in ("t", "group")
        }
        o["since"] = self._leadership_since(before, o)
        if o["phase"] == "serve" and before is not None:
            changed = before["primary"] != o["primary"]
            position = tuple(o.get("pos") or (0, 0))
            evidence = self.evidence(r["group"])
            self._put_evidence(
                r["group"],
                evidence.with_primary(changed, position, bool(o.get("accepted_loss"))),
            )
        past = self.doc["past"].setdefault(r["group"], [])
        past.append({**o, "seq": self.seq + 1})
        del past[:-_KEEP]

    @staticmethod
    def _leadership_since(before, now):
        """The number of the first record from which primary and phase are what they are."""
        if before and all(before[part] == now[part] for part in ("primary", "phase")):
            return before.get("since", before["n"])
        return now["n"]

    def _check_embargo(self, r):
        from petrelhaven.control.embargo.rules import check

        check(self.doc, r)

    def _apply_embargo(self, r):
        from petrelhaven.control.embargo.rules import apply

        apply(self.doc, r, self.seq + 1)

    def belief(self):
        """What `petrelhaven-diff` compares of this state."""
        d, m = self.doc, self.doc["manifest"]
        return {
            "seq": self.seq,
            "manifest": m["version"] if m else 0,
            "digest": m["digest"] if m else "",
            "halls": d["halls"],
            "epochs": d["offices"],
            "members": {
                n: [x["group"], x["state"], x["role"]] for n, x in sorted(d["members"].items())
            },
            "edges": {},
        }
