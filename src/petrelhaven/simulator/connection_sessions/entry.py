"""One commit in the log of a simulated database group."""

__all__ = ["LogEntry"]


class LogEntry:
    """`writes` holds the number, key and value of each write; `cut` is when a promote cut it back, or None."""

    __slots__ = ("term", "number", "writes", "previous", "cut")

    def __init__(self, term, number, writes, previous):
        self.term, self.number, self.writes, self.previous = term, number, tuple(writes), previous
        self.cut = None
