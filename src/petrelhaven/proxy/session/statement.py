"""A statement of a held session and its reply, as the planes see them; the wire puts them into words."""

__all__ = ["Ask", "Reply"]


class Ask:
    """One statement: begin, commit, rollback, read, write, set, prepare, execute or forget. `text` is as it came."""

    __slots__ = ("num", "verb", "name", "writes", "shape", "text", "data")

    def __init__(self, num, verb, text, name="", writes=False, shape="", data=""):
        self.num, self.verb, self.text, self.name = num, verb, text, name
        self.writes, self.shape, self.data = writes, shape, data

    @property
    def things(self):
        """What a read asks for, in each way that a member may take its words."""
        t = self.data if self.verb == "execute" else self.text.partition(" ")[2]
        return {t, *t.split()}


class Reply:
    """What is answered: rows and a stamp, or a code and a text; the state after it; the position of the member's log.

    Codes: busy, lagging, readonly, misdirected, crowded, failed, unprepared, timeout, malformed, aborted, unsure,
    unknown (no such database), oversize, withheld (not released yet).
    """

    __slots__ = ("rows", "stamp", "code", "text", "state", "pos")

    def __init__(self, rows=(), stamp="-", code=None, text="", state="I", pos=None):
        self.rows, self.stamp, self.code, self.text, self.state, self.pos = (
            rows,
            stamp,
            code,
            text,
            state,
            pos,
        )

    @property
    def ok(self):
        return self.code is None
