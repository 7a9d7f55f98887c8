"""Changes of a session itself: values and prepared statements."""

from petrelhaven.proxy.resumable.verbs import op
from petrelhaven.runtime.errors import (
    DeadlineExceeded,
    Fault,
    Malformed,
    MemberDeclined,
    Unreachable,
)

__all__ = ["ValueChanger"]

_MOST = 64


class ValueChanger:
    """Changes values and prepared statements once every keeper has them."""

    def __init__(self, edge):
        self.e = edge

    def set(self, s, d):
        """Sets or unsets a session value."""
        n, v = d.get("name"), d.get("value")
        if (
            not isinstance(n, str)
            or not 0 < len(n) <= 64
            or d["verb"] == "set"
            and type(v) not in (str, int)
        ):
            raise Malformed("set needs name and a string or whole number as value")
        if d["verb"] == "set" and n not in s.values and len(s.values) >= _MOST:
            raise Malformed("too many session values")
        old = dict(s.values)
        if d["verb"] == "set":
            s.values[n] = v
        else:
            s.values.pop(n, None)
        yield from self._change(s, old, s.prepared, [{"v": d["verb"], "name": n, "value": v}])
        return {"ok": True}

    def prepare(self, s, d):
        """Prepares a statement."""
        n, st = d.get("name"), d.get("statement")
        if not isinstance(n, str) or not 0 < len(n) <= 64 or not isinstance(st, dict):
            raise Malformed("prepare needs name and statement")
        if st.get("verb") == "exec":
            raise Malformed("a prepared statement can't run another")
        op(st)
        if n not in s.prepared and len(s.prepared) >= _MOST:
            raise Malformed("too many prepared statements")
        old = dict(s.prepared)
        s.prepared[n] = st
        yield from self._change(s, s.values, old, [{"v": "prepare", "name": n, "statement": st}])
        return {"ok": True}

    def _change(self, s, values, prepared, ops):
        s.revision += 1
        try:
            yield self.e.tasks.spawn(self.e.keeper.keep(s))
        except Fault:
            s.values, s.prepared = values, prepared
            s.revision += 1
            raise
        if s.txn is not None:
            try:
                yield from self.e.flow.sender.on(
                    s.txn.pool, s.txn.conn, s, ops, 500_000, pinned=True
                )
            except (DeadlineExceeded, Unreachable, MemberDeclined):
                self.e.end_txn(s)
