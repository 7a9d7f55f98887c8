"""What a core remembers across a restart: its identity, its vote, its place in the chain, the control state."""

from petrelhaven.control.storage.ring import Ring
from petrelhaven.runtime.errors import Damaged, Misplaced
from petrelhaven.runtime.events import emit

__all__ = ["Memory"]

_TAIL = 400
_TEXTS = 2 << 20


def _realm():
    from petrelhaven.control.state.kept_state import Realm

    return Realm


class Memory:
    """Every change is synced to the ring before the call returns."""

    def __init__(self, disk, name, rng, log=None, keep=False, state=None):
        self.name, self.log, self._any = name, log, keep
        self._rng = rng
        self._state = state or _realm()
        self._ring = Ring(disk)
        self.damaged = False
        try:
            docs = self._ring.load()
            self._replay(docs)
        except Damaged as e:
            emit(log, 303, note=e.note)
            self.damaged = True
            docs = []
        if not docs:
            self._clear()
            self._ring.wipe()
            self._keep({"t": "id", "disk": self.disk, "name": name})
        else:
            emit(log, 309, seq=self.realm.seq, torn=self._ring.torn)

    def _clear(self):
        self.disk = "%016x" % self._rng.getrandbits(64)
        self.vote = {"num": 0, "who": "", "anum": 0, "awho": "", "value": None, "ids": None}
        self.done = 0
        self.realm, self.recs, self.mark, self._bytes = self._state(), [], 0, 0

    def wipe(self):
        """Forgets everything; the core goes on as an empty one with another disk identity."""
        self._clear()
        self._ring.wipe()
        self._keep({"t": "id", "disk": self.disk, "name": self.name})

    @property
    def fresh(self):
        """True while this core has neither voted nor held anything."""
        return self.vote["value"] is None and self.realm.seq == 0

    def _whole(self):
        return {
            "t": "frame",
            "disk": self.disk,
            "name": self.name,
            "vote": self.vote,
            "done": self.done,
            "realm": self.realm.frame(),
            "mark": self.mark,
        }

    def _keep(self, doc):
        self._ring.append(doc, self._whole)

    def _replay(self, docs):
        self._clear()
        for d in docs:
            t = d["t"]
            if t == "frame":
                if self._any:
                    self.name = d["name"]
                elif d["name"] != self.name:
                    raise Misplaced(f"the data folder belongs to {d['name']}, not {self.name}")
                self.disk, self.done, self.mark = d["disk"], d["done"], d["mark"]
                self.vote = {"ids": None, **d["vote"]}
                self.realm, self.recs, self._bytes = self._state(d["realm"]), [], 0
            elif t == "vote":
                self.vote = {"ids": None, **d["vote"]}
            elif t == "done":
                self.done = d["n"]
            elif t == "rec":
                self._take(d["seq"], d["view"], d["rec"])
            elif t == "reset":
                self.realm, self.recs, self.mark, self._bytes = (
                    self._state(d["realm"]),
                    [],
                    d["mark"],
                    0,
                )

    def _take(self, seq, view, rec):
        self.realm.apply(seq, rec)
        self.recs.append([seq, view, rec])
        self.mark = view
        self._bytes += len(rec.get("text", ""))
        if len(self.recs) > 2 * _TAIL:
            self._trim(len(self.recs) - _TAIL)
        while self._bytes > _TEXTS and len(self.recs) > 2:
            self._trim(len(self.recs) // 2)

    def _trim(self, n):
        self._bytes -= sum(len(r.get("text", "")) for _, _, r in self.recs[:n])
        del self.recs[:n]

    def put_vote(self, **kw):
        """Remembers a promise or an accepted view."""
        self.vote = {**self.vote, **kw}
        self._keep({"t": "vote", "vote": self.vote})

    def put_done(self, n):
        """Remembers that everything of view `n` was handed over to this core."""
        if self.done != n:
            self.done = n
            self._keep({"t": "done", "n": n})

    def put_rec(self, seq, view, rec):
        """Adds a numbered record."""
        self._take(seq, view, rec)
        self._keep({"t": "rec", "seq": seq, "view": view, "rec": rec})

    def reset(self, realm, mark):
        """Replaces the control state by another core's frame."""
        self.realm, self.recs, self.mark, self._bytes = self._state(realm), [], mark, 0
        self._keep({"t": "reset", "realm": realm, "mark": mark})

    def since(self, seq, mark=None):
        """Records after `seq`, or None if they are no longer kept (or `mark` does not fit)."""
        if seq == self.realm.seq:
            return [] if mark in (None, self.mark) else None
        if seq == 0 and self.recs and self.recs[0][0] == 1:
            return list(self.recs)
        for i, (s, v, _) in enumerate(self.recs):
            if s == seq:
                return self.recs[i + 1 :] if mark in (None, v) else None
        return None
