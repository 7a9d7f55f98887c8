"""A session that lives with its visitor's connection: values, prepared names, at most one open transaction."""

from transitions import Machine

__all__ = ["Trade", "Visit"]


class Trade:
    """An open transaction; it gets its member connection with its first statement."""

    __slots__ = (
        "reads",
        "arr",
        "us",
        "since",
        "band",
        "berth",
        "conn",
        "wrote",
        "route",
        "sets",
        "over",
        "num",
    )

    def __init__(self, num, reads, arr, us, route):
        self.num = num
        self.reads, self.arr, self.us, self.since, self.route = reads, arr, us, us, route
        self.band = self.berth = self.conn = None
        self.wrote = self.sets = self.over = False


class Visit:
    """One session. States: idle (I), trading (T), failed (E), ended."""

    __slots__ = (
        "host",
        "values",
        "prepared",
        "nums",
        "trade",
        "busy",
        "since",
        "band",
        "state",
        "visitor",
        "__dict__",
    )
    _machine = Machine(
        model=None,
        states=["idle", "trading", "failed", "ended"],
        initial="idle",
        auto_transitions=False,
        transitions=[
            {"trigger": "begin", "source": "idle", "dest": "trading"},
            {"trigger": "settle", "source": ["trading", "failed"], "dest": "idle"},
            {"trigger": "fail", "source": ["trading", "failed"], "dest": "failed"},
            {"trigger": "settle", "source": "ended", "dest": "="},
            {"trigger": "fail", "source": "ended", "dest": "="},
            {"trigger": "end", "source": ["idle", "trading", "failed"], "dest": "ended"},
        ],
    )
    MARK = {"idle": "I", "trading": "T", "failed": "E", "ended": "I"}

    def __init__(self, host, visitor=""):
        self.host, self.visitor = host, visitor
        self.values, self.prepared, self.nums = {}, {}, {}
        self.trade, self.busy, self.since, self.band = None, False, 0, None
        self._machine.add_model(self)

    @property
    def mark(self):
        """The state as the wire tells it."""
        return self.MARK[self.state]

    def close(self):
        """Ends the session and detaches it from its machine."""
        self.end()
        self._machine.remove_model(self)
