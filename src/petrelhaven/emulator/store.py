"""A stand-in member's database: a log with positions, connections, values, prepared statements, transactions."""

import copy

__all__ = ["Store", "Unanswered"]


class Unanswered(Exception):
    """The request ran (or hangs), and no result will be sent."""


class _Stop(Exception):
    def __init__(self, code, **more):
        self.doc = {"fault": code, **more}


class _Conn:
    __slots__ = ("values", "prepared", "txn", "owner", "at")

    def __init__(self, owner, at):
        self.values, self.prepared, self.txn, self.owner, self.at = {}, {}, None, owner, at


class _Txn:
    __slots__ = ("mode", "view", "ops")

    def __init__(self, mode, view):
        self.mode, self.view, self.ops = mode, view, []


class Store:
    """One member. The log is the truth; data is what the log says."""

    def __init__(self, clock, name, group, hall, role, cap, rng, warm_us=0, cold_most=6):
        self.clock, self.name, self.group, self.hall, self.cap, self.rng = (
            clock,
            name,
            group,
            hall,
            cap,
            rng,
        )
        self.role = role
        self.warm_us, self.cold_most = warm_us, cold_most
        self.term = 1 if role == "primary" else 0
        self.entries = []
        self.data = {}
        self.store = "%012x" % rng.getrandbits(48)
        self.draining = False
        self.source = None
        self.fence = 0
        self.flood = self.full = 0
        self.most_conns = 0
        self.last_statement = self.statements = 0
        self.dark = self.stall = False
        self.unanswered = 0
        self.on_commit = []
        self.boot_up()

    def boot_up(self):
        """A fresh start over the same log."""
        self.boot = "%012x" % self.rng.getrandbits(48)
        self.born = self.clock.now()
        self.conns = {}
        self._num = 0
        self._cold = []

    @property
    def log(self):
        return len(self.entries)

    @property
    def warm(self):
        return self.clock.now() - self.born >= self.warm_us

    def status(self):
        """STATUS and READY."""
        return {
            "member": self.name,
            "role": self.role,
            "log": self.log,
            "term": self.term,
            "store": self.store,
            "boot": self.boot,
            "warm": self.warm,
            "ready": self.warm and not self.draining,
            "draining": self.draining,
            "conns": len(self.conns),
        }

    def announcement(self, addr, beat):
        """What the member tells control regularly."""
        return {
            "member": self.name,
            "group": self.group,
            "hall": self.hall,
            "addr": addr,
            "role": self.role,
            "log": self.log,
            "cap": self.cap,
            "draining": self.draining,
            "boot": self.boot,
            "store": self.store,
            "warm": self.warm,
            "term": self.term,
            "beat": beat,
        }

    def open(self, owner):
        """A connection for `owner`; a full member declines."""
        if len(self.conns) >= self.cap:
            self.full += 1
            raise _Stop("FULL")
        self._num += 1
        n = f"{self.boot}.{self._num}"
        self.conns[n] = _Conn(owner, self.clock.now())
        self.most_conns = max(self.most_conns, len(self.conns))
        return n

    def lose(self, owner):
        """The connections of `owner` are gone, their transactions with them."""
        for n in [n for n, c in self.conns.items() if c.owner == owner]:
            del self.conns[n]

    def run(self, conn, ops, owner=None):
        """Runs a batch; stops at the first fault."""
        c = self.conns.get(conn)
        out = []
        if c is None or owner is not None and c.owner != owner:
            return [{"fault": "NOCONN"}]
        now = self.clock.now()
        if not self.warm:
            self._cold = [t for t in self._cold if now - t < 100_000] + [now]
            self.flood = max(self.flood, len(self._cold))
        for o in ops:
            try:
                out.append(getattr(self, "_" + str(o.get("v")), self._what)(c, o) or {"ok": True})
            except _Stop as e:
                out.append(e.doc)
                break
            except (KeyError, TypeError, ValueError) as e:
                out.append({"fault": "BADSTATEMENT", "note": type(e).__name__})
                break
        self.last_statement = now
        self.statements += 1
        if self.unanswered and any("pos" in r for r in out):
            self.unanswered -= 1
            raise Unanswered
        return out

    def _what(self, c, o):
        raise _Stop("BADSTATEMENT", note="verb")

    def _after(self, c, o):
        if self.log < o["pos"] or self.term < o.get("term", 0):
            raise _Stop("LAGGING", log=self.log, term=self.term)

    def _ready(self, c, o):
        if self.role != o["role"] or self.term != o["term"]:
            raise _Stop("TERM", role=self.role, term=self.term)

    def _reset(self, c, o):
        c.values, c.prepared, c.txn = {}, {}, None

    def _set(self, c, o):
        c.values[o["name"]] = o["value"]

    def _unset(self, c, o):
        c.values.pop(o["name"], None)

    def _prepare(self, c, o):
        c.prepared[o["name"]] = o["statement"]

    def _show(self, c, o):
        return {"value": c.values.get(o["name"])}

    def _fill(self, c, x, args):
        if isinstance(x, str) and x.startswith("$"):
            return args[int(x[1:]) - 1] if x[1:].isdigit() else c.values[x[1:]]
        return x

    def _exec(self, c, o):
        st = c.prepared.get(o["name"])
        if st is None:
            raise _Stop("NOSTATEMENT")
        f = {k: self._fill(c, v, o["args"]) for k, v in st.items() if k != "verb"}
        return getattr(self, "_" + st["verb"])(c, {"v": st["verb"], **f})

    def _view(self, c):
        return c.txn.view if c.txn else self.data

    def _get(self, c, o):
        return {"value": self._view(c).get(self._fill(c, o["key"], []))}

    def _scan(self, c, o):
        return {
            "value": {k: v for k, v in sorted(self._view(c).items()) if k.startswith(o["prefix"])}
        }

    def _begin(self, c, o):
        if o["mode"] == "write" and self.role != "primary":
            raise _Stop("READONLY")
        c.txn = _Txn(o["mode"], copy.copy(self.data))

    def _rollback(self, c, o):
        c.txn = None

    def _commit(self, c, o):
        x, c.txn = c.txn, None
        if x is None:
            raise _Stop("NOTXN")
        if self.role != "primary":
            raise _Stop("READONLY")
        return self._append(x.ops) if x.ops else {"pos": self.log}

    def _write(self, c, op):
        if self.role != "primary":
            raise _Stop("READONLY")
        if op[0] == "add" and type(op[2]) is not int:
            raise _Stop("BADSTATEMENT", note="add")
        if c.txn is None:
            return self._append([op])
        if c.txn.mode != "write":
            raise _Stop("BADSTATEMENT", note="read only")
        c.txn.ops.append(op)
        self._do(c.txn.view, op)
        return {"value": c.txn.view.get(op[1])}

    def _put(self, c, o):
        return self._write(c, ["put", self._fill(c, o["key"], []), self._fill(c, o["value"], [])])

    def _add(self, c, o):
        return self._write(c, ["add", self._fill(c, o["key"], []), self._fill(c, o["value"], [])])

    def _del(self, c, o):
        return self._write(c, ["del", self._fill(c, o["key"], []), None])

    @staticmethod
    def _do(data, op):
        v, k, x = op
        if v == "put":
            data[k] = x
        elif v == "add":
            data[k] = (data.get(k) if type(data.get(k)) is int else 0) + x
        else:
            data.pop(k, None)

    def _append(self, ops):
        self.entries.append([self.term, ops])
        for op in ops:
            self._do(self.data, op)
        for f in self.on_commit:
            f()
        return {"pos": self.log, "value": self.data.get(ops[-1][1])}

    def feed(self, pos, term):
        """What a replica at (`pos`, term of its last entry) lacks; a whole log if the two have parted."""
        if self.role != "primary":
            raise _Stop("READONLY")
        same = pos <= self.log and (pos == 0 or self.entries[pos - 1][0] == term)
        return {
            "term": self.term,
            "from": pos if same else 0,
            "entries": self.entries[pos:] if same else list(self.entries),
            "store": self.store,
        }

    def absorb(self, d):
        """Takes a feed from the primary."""
        if self.role != "replica" or d["term"] < self.fence or d["term"] < self.term:
            return
        if d["from"] == 0 and self.entries:
            self.entries, self.data = [], {}
        if d["from"] != len(self.entries):
            return
        for t, ops in d["entries"]:
            self.entries.append([t, ops])
            for op in ops:
                self._do(self.data, op)
        self.term = d["term"]

    def last_term(self):
        """The term of the newest entry."""
        return self.entries[-1][0] if self.entries else 0

    def promote(self, epoch):
        """Becomes the primary under `epoch`; if it is that already, nothing changes."""
        if epoch < max(self.term, self.fence) or epoch == self.term and self.role != "primary":
            raise _Stop("FENCED")
        if epoch == self.term:
            return
        self.role, self.term, self.fence, self.source = "primary", epoch, epoch, None
        self._end_transactions()

    def follow(self, source, epoch):
        """Becomes a replica of `source` under `epoch`."""
        if epoch < max(self.term, self.fence):
            raise _Stop("FENCED")
        if self.role == "primary":
            self._end_transactions()
        self.role, self.source, self.fence = "replica", source, epoch

    def _end_transactions(self):
        """Closes the connections inside a transaction: a statement that follows must not run outside it."""
        for name in [name for name, connection in self.conns.items() if connection.txn]:
            del self.conns[name]
