"""The way of a statement: continuations that the slab resumes."""
from ..creed.event import emit
from ..creed.fault import (Busy, Ended, Fault, Halted, Late, Malformed, MemberFault, MemberSaid, NoLease,
                           NoRoute, Superseded, Unordered, Unreached, Unsent)
from .session import Txn

__all__ = ["Flow", "READS", "WRITES"]

READS = {"get": ("key",), "scan": ("prefix",), "show": ("name",)}
WRITES = {"put": ("key", "value"), "add": ("key", "value"), "del": ("key",)}
_NOTHING = {"NOCONN", "READONLY", "FULL", "COLD", "DRAINING", "LAGGING", "TERM"}
_MOST = 64


def _op(d):
    v = d["verb"]
    fs = READS.get(v) or WRITES.get(v)
    if v == "exec":
        if not isinstance(d.get("name"), str) or not isinstance(d.get("args", []), list):
            raise Malformed("exec needs name and args")
        return {"v": "exec", "name": d["name"], "args": d.get("args", [])}
    if fs is None:
        raise Malformed(f"unknown verb {str(v)[:40]}")
    for f in fs:
        if f not in d or (f != "value" and not isinstance(d[f], str)):
            raise Malformed(f"{v} needs {f}")
    if v == "add" and type(d["value"]) is not int and not isinstance(d["value"], str):
        raise Malformed("add needs a whole number")
    return {"v": v, **{f: d[f] for f in fs}}


class Flow:
    """Runs one statement of one session on an edge."""

    def __init__(self, edge):
        self.e = edge

    def run(self, s, d, arr, end):
        """The continuation of statement `d`, which arrived at order point `arr`."""
        e = self.e
        v = d.get("verb")
        lk = s.lock(e.bounds().queue)
        if lk is None:
            raise Busy("too many statements wait in this session")
        try:
            yield lk
            if s.state != "home":
                raise e.moved(s)
            self._in_turn(s, d)
            if s.txn is not None and s.txn.conn.lost:
                e.end_txn(s)
            if "txn" in d and (s.txn is None or d["txn"] != s.txn.num):
                if v == "commit" and type(d.get("try")) is int and d["try"] in s.tries:
                    return {**s.tries[d["try"]], "repeated": True}
                raise Ended("that transaction has ended; nothing of it was kept unless a commit said so",
                            more={"txn": d["txn"]})
            if s.txn is not None and "txn" not in d:
                raise Unordered("a transaction is open; name it by txn", more={"txn": s.txn.num})
            if v in ("set", "unset"):
                return (yield from self._set(s, d))
            if v == "prepare":
                return (yield from self._prepare(s, d))
            if v == "begin":
                return (yield from self._begin(s, d, arr, end))
            if v in ("commit", "rollback"):
                return (yield from self._finish(s, d, end))
            op = _op(d)
            kind = v
            if v == "exec":
                if d["name"] not in s.prepared:
                    raise Unordered(f"no prepared statement {d['name'][:40]}")
                kind = s.prepared[d["name"]]["verb"]
            if s.txn is not None:
                return (yield from self._inside(s, op, kind, end))
            t, r = self._troop(d)
            if kind in WRITES:
                return (yield from self._write(s, d, op, t, end))
            return (yield from self._read(s, op, t, r.reads == "browsing", arr, end))
        finally:
            if lk.done():
                s.unlock()
            else:
                lk.cancel()

    @staticmethod
    def _in_turn(s, d):
        k = d.get("say")
        if k is None:
            return
        if type(k) is not int or not 0 < k < 1 << 53:
            raise Malformed("say must be a rising whole number")
        if k < s.said:
            raise Superseded("a later statement of this session was served already", more={"said": s.said})
        s.said = k

    def _troop(self, d):
        r = self.e.routes.get(d.get("route"))
        if r is None:
            raise NoRoute(f"no route {str(d.get('route'))[:40]}")
        t = self.e.troops.get(r.group)
        if t is None or t.epoch is None:
            raise Halted("the group has no epoch yet")
        return t, r

    def _set(self, s, d):
        n, v = d.get("name"), d.get("value")
        if not isinstance(n, str) or not 0 < len(n) <= 64 or d["verb"] == "set" and type(v) not in (str, int):
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

    def _prepare(self, s, d):
        n, st = d.get("name"), d.get("statement")
        if not isinstance(n, str) or not 0 < len(n) <= 64 or not isinstance(st, dict):
            raise Malformed("prepare needs name and statement")
        if st.get("verb") == "exec":
            raise Malformed("a prepared statement can't run another")
        _op(st)
        if n not in s.prepared and len(s.prepared) >= _MOST:
            raise Malformed("too many prepared statements")
        old = dict(s.prepared)
        s.prepared[n] = st
        yield from self._change(s, s.values, old, [{"v": "prepare", "name": n, "statement": st}])
        return {"ok": True}

    def _change(self, s, values, prepared, ops):
        s.mark += 1
        try:
            yield self.e.nest.spawn(self.e.keeper.keep(s))
        except Fault:
            s.values, s.prepared = values, prepared
            s.mark += 1
            raise
        if s.txn is not None:
            try:
                yield from self._on(s.txn.pool, s.txn.conn, s, ops, 500_000, pinned=True)
            except (Late, Unreached, MemberFault):
                self.e.end_txn(s)

    def _tag(self, s):
        return (s.sid, s.epoch, s.mark)

    def _on(self, post, conn, s, ops, us, first=(), pinned=False):
        """Sends one batch on a connection; the lease is checked right before the send."""
        e = self.e
        tag = self._tag(s)
        pre = []
        if not pinned and conn.tag != tag:
            pre = [{"v": "reset"}] + [{"v": "set", "name": n, "value": v} for n, v in s.values.items()] \
                + [{"v": "prepare", "name": n, "statement": st} for n, st in s.prepared.items()]
        if not e.sends(post):
            raise NoLease("this edge may not send now") if not e.control.sends else Halted("the member is leaving")
        was, conn.tag = conn.tag, None
        try:
            rs = yield e.nest.spawn(conn.run(list(first) + pre + ops, us))
        except MemberFault as f:
            if f.note == "LAGGING":
                conn.tag = was
            elif f.note == "NOCONN":
                conn.lost = True
            if f.note not in _NOTHING:
                raise MemberSaid(f.note, more={k: v for k, v in f.more.items() if k != "fault"}) from None
            raise
        except (Late, Unreached) as f:
            conn.lost = True
            emit(e.log, 421, member=post.name, fault=f.code)
            raise
        conn.tag = tag
        e.sent += 1
        return rs[len(first) + len(pre):]

    def _take(self, post, s, us):
        e = self.e
        f = post.pool.take(self._tag(s))
        try:
            c = yield e.nest.spawn(e.clock.limit(f, us, keep=True))
            if not f.done():
                raise Busy("no connection in time")
            return c
        except BaseException:
            post.pool.quit(f)
            raise

    def _once(self, post, s, ops, end, first=()):
        """Takes a connection, sends one batch, gives the connection back."""
        us = end - self.e.clock.now()
        c = yield from self._take(post, s, min(us, 500_000))
        ok = False
        try:
            b = self.e.bounds()
            rs = yield from self._on(post, c, s, ops, max(1000, min(us, b.wait_us + b.join_us)), first)
            ok = True
            return rs
        except (MemberFault, MemberSaid, NoLease, Halted):
            ok = not c.lost
            raise
        finally:
            post.pool.give(c) if ok and not c.lost else post.pool.drop(c)

    def _read(self, s, op, t, browse, arr, end):
        e = self.e
        b = e.bounds()
        since = e.clock.now() - b.browse_us + b.margin_us if browse else None
        got = yield from self._place(s, [op], t, arr, since, end)
        post, pos, rs = got
        return {**rs[-1], "from": post.name, "after": pos}

    def _place(self, s, ops, t, arr, since, end, pin=False):
        """Finds a member that may serve and sends; answers (post, position, results or connection)."""
        e = self.e
        b = e.bounds()
        stop = e.clock.now() + b.wait_us + b.join_us
        bad, key, pos, last = set(), None, None, None
        while e.clock.now() < min(end, stop) and t.epoch is not None:
            if key is None or key != t.key:
                pos = yield t.reads.gate(arr, since)
                key = t.key
                if pos is None or key is None:
                    break
                e.waits["gated"] += 1
            post = e.pick(t, pos, bad)
            if post is None:
                break
            if post.tide.busy and post.tide.log < pos:
                e.waits["tide"] += 1
                try:
                    yield e.nest.spawn(e.clock.limit(post.tide.reach(pos), b.wait_us // 2))
                except Late:
                    e.waits["stalled"] += 1
                    bad.add(post.name)
                    continue
                if key != t.key:
                    continue
            try:
                return (yield from self._try(post, s, ops, end, [{"v": "after", "pos": pos, "term": t.epoch["term"]}], pos, pin))
            except MemberFault as f:
                last = f
                if f.note == "LAGGING":
                    e.waits["lagging"] += 1
                    post.tide.note(f.more.get("log", -1), f.more.get("term", -1))
                    left = min(stop, e.clock.now() + b.wait_us // 2) - e.clock.now()
                    try:
                        yield e.nest.spawn(e.clock.limit(post.tide.reach(pos), max(left, 1000)))
                        continue
                    except Late:
                        e.waits["stalled"] += 1
                bad.add(post.name)
            except (Late, Unreached, Busy) as f:
                if isinstance(f, Late) and e.clock.now() >= end:
                    raise
                last = f
                bad.add(post.name)
        return (yield from self._at_primary(s, ops, t, end, pin, last))

    def _at_primary(self, s, ops, t, end, pin, last):
        e = self.e
        if t.key is None:
            raise Halted("the group has no primary now", more={"epoch": t.epoch["n"]})
        post = t.posts[t.epoch["primary"]]
        e.waits["primary"] += 1
        try:
            return (yield from self._try(post, s, ops, end, [{"v": "ready", "role": "primary", "term": t.epoch["term"]}], None, pin))
        except MemberFault as f:
            raise Halted(f"the primary declined: {f.note}") from None

    def _try(self, post, s, ops, end, first, pos, pin):
        if not pin:
            return post, pos, (yield from self._once(post, s, ops, end, first))
        c = yield from self._take(post, s, min(end - self.e.clock.now(), 500_000))
        try:
            yield from self._on(post, c, s, ops, 1_000_000, first)
        except BaseException:
            post.pool.drop(c)
            raise
        return post, pos, c

    def _try_of(self, s, d):
        n = d.get("try")
        if type(n) is not int or not 0 < n < 1 << 53:
            raise Malformed("a write needs its try, a rising whole number")
        if n in s.tries:
            return n, {**s.tries[n], "repeated": True}
        if n <= s.floor:
            return n, {"outcome": "unknown", "repeated": True}
        return n, None

    def _open(self, t):
        if t.key is None:
            raise Halted("writes are stopped while a primary is elected", more={"epoch": t.epoch["n"]})
        if not t.epoch["open"]:
            raise Halted("too few in-sync replicas to keep a write safe", more={"epoch": t.epoch["n"]})
        return t.posts[t.epoch["primary"]]

    def _write(self, s, d, op, t, end):
        e = self.e
        n, seen = self._try_of(s, d)
        if seen:
            return seen
        self._open(t)
        if not e.control.sends:
            raise NoLease("this edge may not send now")
        s.begin_try(n)
        post = None
        try:
            yield e.nest.spawn(e.keeper.keep(s))
            post = self._open(t)
            c = yield from self._take(post, s, min(max(end - e.clock.now(), 1000), 500_000))
        except BaseException:
            s.tries.pop(n, None)
            raise
        ok = False
        post.writes += 1
        key = t.key
        try:
            if key is None or key[1] != post.name:
                raise Halted("the primary changed")
            first = [{"v": "ready", "role": "primary", "term": t.epoch["term"]}]
            term = t.epoch["term"]
            rs = yield from self._on(post, c, s, [op], e.bounds().statement_us // 2, first)
            ok = True
        except (Unsent, MemberFault, NoLease, Halted) as f:
            ok = not c.lost
            s.tries.pop(n, None)
            raise f if not isinstance(f, MemberFault) else Halted(f"the primary declined: {f.note}") from None
        except MemberSaid as f:
            ok = True
            return (yield from self._settled(s, n, {"outcome": "not kept", **f.doc()}))
        except (Late, Unreached):
            emit(e.log, 420, sid=s.sid, n=n)
            return {"outcome": "unknown", "retry_after_us": 300_000}
        finally:
            post.writes -= 1
            post.pool.give(c) if ok and not c.lost else post.pool.drop(c)
        return (yield from self._kept(s, n, t, post, term, rs[-1]))

    def _kept(self, s, n, t, post, term, r):
        e = self.e
        try:
            held = yield e.nest.spawn(e.held(t, post.name, term, r["pos"]))
        except Late:
            held = False
        if not held:
            emit(e.log, 420, sid=s.sid, n=n, pos=r["pos"])
            return {"outcome": "unknown", "retry_after_us": 300_000}
        return (yield from self._settled(s, n, {"outcome": "kept", "pos": r["pos"], **({"value": r["value"]} if "value" in r else {})}))

    def _settled(self, s, n, out):
        if n in s.tries:
            s.tries[n] = out
        try:
            yield self.e.nest.spawn(self.e.keeper.keep(s))
        except Fault:
            return {"outcome": "unknown", "retry_after_us": 300_000}
        return out

    def _begin(self, s, d, arr, end):
        e = self.e
        if s.txn is not None:
            raise Unordered("a transaction is open already", more={"txn": s.txn.num})
        mode = d.get("mode", "write")
        if mode not in ("read", "write"):
            raise Malformed("mode must be read or write")
        t, r = self._troop(d)
        ops = [{"v": "begin", "mode": mode}]
        if mode == "read":
            b = e.bounds()
            since = e.clock.now() - b.browse_us + b.margin_us if r.reads == "browsing" else None
            post, pos, c = yield from self._place(s, ops, t, arr, since, end, pin=True)
        else:
            post, pos, c = yield from self._try(self._open(t), s, ops, end, [{"v": "ready", "role": "primary", "term": t.epoch["term"]}], None, True)
        s.txns += 1
        s.txn = Txn(s.txns, post.name, c, mode, t.name, e.clock.now(), t.epoch["term"], post)
        e.watch_txn(s, s.txn)
        return {"txn": s.txns, "from": post.name, "after": pos}

    def _inside(self, s, op, kind, end):
        e, x = self.e, s.txn
        if kind in WRITES and x.mode == "read":
            raise Unordered("the transaction only reads")
        x.since = e.clock.now()
        try:
            rs = yield from self._on(x.pool, x.conn, s, [op], e.bounds().statement_us // 2, pinned=True)
        except (Late, Unreached, MemberFault):
            e.end_txn(s)
            raise Ended("the transaction's connection was lost; nothing of it was kept", more={"txn": x.num}) from None
        except (NoLease, Halted):
            raise
        return {**rs[-1], "from": x.member}

    def _finish(self, s, d, end):
        e, x = self.e, s.txn
        if x is None:
            raise Unordered(f"{d['verb']} without a transaction")
        if d["verb"] == "rollback" or x.mode == "read":
            try:
                yield from self._on(x.pool, x.conn, s, [{"v": "rollback"}], 500_000, pinned=True)
            except (Late, Unreached, MemberFault, NoLease, Halted):
                x.conn.lost = True
            e.end_txn(s, clean=True)
            return {"outcome": "kept" if d["verb"] == "commit" else "not kept"}
        n, seen = self._try_of(s, d)
        if seen:
            return seen
        if not e.control.sends:
            raise NoLease("this edge may not send now")
        s.begin_try(n)
        try:
            yield e.nest.spawn(e.keeper.keep(s))
        except BaseException:
            s.tries.pop(n, None)
            raise
        t = e.troops.get(x.route)
        if s.txn is not x or x.conn.lost or t is None or t.epoch["term"] != x.epoch:
            s.tries.pop(n, None)
            e.end_txn(s)
            raise Ended("the transaction ended before its commit left; nothing was kept", more={"txn": x.num})
        x.pool.writes += 1
        try:
            rs = yield from self._on(x.pool, x.conn, s, [{"v": "commit"}], e.bounds().statement_us // 2, pinned=True)
        except (Unsent, NoLease, Halted):
            s.tries.pop(n, None)
            raise
        except MemberFault:
            e.end_txn(s)
            s.tries.pop(n, None)
            raise Ended("the member declined the commit; nothing was kept", more={"txn": x.num}) from None
        except MemberSaid as f:
            e.end_txn(s)
            return (yield from self._settled(s, n, {"outcome": "not kept", **f.doc()}))
        except (Late, Unreached):
            e.end_txn(s)
            emit(e.log, 420, sid=s.sid, n=n)
            return {"outcome": "unknown", "retry_after_us": 300_000}
        finally:
            x.pool.writes -= 1
        e.end_txn(s, clean=True)
        return (yield from self._kept(s, n, t, x.pool, x.epoch, rs[-1]))
