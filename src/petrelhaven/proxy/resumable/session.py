"""A visitor's session: values, prepared statements, tries; at home on one edge, kept on another."""

import asyncio

from transitions import Machine

__all__ = ["Session", "Txn"]

_TRIES = 64


class Txn:
    """An open transaction, pinned to one connection of one member."""

    __slots__ = ("num", "member", "conn", "mode", "route", "since", "epoch", "pool")

    def __init__(self, num, member, conn, mode, route, since, epoch, pool):
        self.num, self.member, self.conn, self.mode = num, member, conn, mode
        self.route, self.since, self.epoch, self.pool = route, since, epoch, pool


class Session:
    """Whole state of a session; `doc` is what its keepers hold. It is used only while `sure`: every keeper holds it."""

    __slots__ = (
        "sid",
        "epoch",
        "ver",
        "keepers",
        "values",
        "prepared",
        "tries",
        "floor",
        "txn",
        "txns",
        "queue",
        "busy",
        "mark",
        "release",
        "said",
        "sure",
        "over",
        "state",
        "__dict__",
    )
    _machine = Machine(
        model=None,
        states=["home", "moving", "moved", "closed"],
        initial="home",
        auto_transitions=False,
        transitions=[
            {"trigger": "move", "source": "home", "dest": "moving"},
            {"trigger": "stay", "source": "moving", "dest": "home"},
            {"trigger": "part", "source": ["home", "moving"], "dest": "moved"},
            {"trigger": "end", "source": ["home", "moving", "moved"], "dest": "closed"},
        ],
    )

    def __init__(self, sid, epoch=1):
        self.sid, self.epoch, self.ver, self.keepers = sid, epoch, 0, []
        self.values, self.prepared, self.tries, self.forgotten_tries = {}, {}, {}, 0
        self.txn, self.txns = None, 0
        self.queue, self.busy, self.revision = [], False, 0
        self.release = []
        self.statement_number = 0
        self.is_replicated, self.over = False, False
        self._machine.add_model(self)

    def doc(self):
        """The state that outlives the home edge, and who holds it."""
        return {
            "values": self.values,
            "prepared": self.prepared,
            "tries": {str(k): v for k, v in self.tries.items()},
            "floor": self.forgotten_tries,
            "txns": self.txns,
            "keepers": list(self.keepers),
            "release": list(self.release),
            "said": self.statement_number,
            "over": self.over,
        }

    @classmethod
    def revive(cls, sid, epoch, ver, d):
        """A session from a keeper's copy. Transactions begun before it are never continued."""
        s = cls(sid, epoch)
        s.ver, s.values, s.prepared = ver, d["values"], d["prepared"]
        s.tries = {int(k): v for k, v in d["tries"].items()}
        s.forgotten_tries, s.txns, s.statement_number = d["floor"], d["txns"] + 1_000_000, d["said"]
        s.revision = 1
        return s

    def lock(self, most=None):
        """A future that is done when this session is the caller's alone; None if `most` wait already."""
        if most is not None and len(self.queue) >= most:
            return None
        f = asyncio.get_running_loop().create_future()
        if self.busy:
            self.queue.append(f)
        else:
            self.busy = True
            f.set_result(None)
        return f

    def unlock(self):
        """Lets the next one have the session."""
        while self.queue:
            f = self.queue.pop(0)
            if not f.done():
                f.set_result(None)
                return
        self.busy = False

    def begin_try(self, n):
        """Notes that try `n` may take effect from now on."""
        self.tries[n] = {"outcome": "unknown"}
        while len(self.tries) > _TRIES:
            k = min(self.tries)
            self.forgotten_tries = max(self.forgotten_tries, k)
            del self.tries[k]

    def forget(self):
        """Detaches the session from its machine."""
        self._machine.remove_model(self)
