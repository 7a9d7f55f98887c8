"""The ways of statements of held sessions: reads by the clock, writes once, transactions on their own connection."""

import asyncio

from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import Busy, Fault, Gone, Late, MemberFault, Unreached, Unsent
from petrelhaven.runtime.events import emit

__all__ = ["Passage"]

_TAKE_US = 600_000
_BACK_US = 250_000
_ELSEWHERE = ("busy", "crowded", "failed", "misdirected", "readonly", "unprepared")
_LAGS = 5
_DARK_US = 4_000_000
_SLOW_US = 1_000_000


class _Try:
    """One sending of one statement; `sent` once its bytes may have left, `flight` the fetch that it carries."""

    __slots__ = ("sent", "berth", "flight", "start", "us", "key")

    def __init__(self, berth, key=None, flight=None):
        self.sent, self.berth, self.key, self.flight = False, berth, key, flight
        self.start = self.us = 0


class Passage:
    """Runs statements as continuations; each ends with a Reply."""

    def __init__(self, gate):
        self.g = gate
        self.clock, self.nest = gate.clock, gate.nest

    def run(self, v, a, r, b, end):
        """The continuation of one statement of visit `v`."""
        if v.trade is not None:
            return (yield from self._inside(v, a, r, b, end))
        if a.writes:
            return (yield from self._write(v, a, r, b, end))
        return (yield from self._read(v, a, r, b, end))

    def part(self, v, num=None):
        """Ends a visit's transaction at its member: by its ROLLBACK `num`, else with the connection."""
        x, v.trade = v.trade, None
        if x is None or x.conn is None:
            return
        c, x.conn = x.conn, None
        if c.lost or num is None:
            x.berth.stock.drop(c)
            return
        if x.sets:
            c.odd = True
        self.nest.spawn(x.band.settle(c, x.berth, num))

    def watch(self, v, x):
        """Ends a transaction that rests too long: at its member at once, to its visitor at its next statement."""
        us = self.g.bounds().idle_txn_us

        def look():
            if v.trade is not x or v.busy or v.state not in ("trading", "failed"):
                return
            left = v.since + us - self.clock.now()
            if left > 0:
                self.clock.later(left, look)
            elif x.conn is not None:
                c, x.conn = x.conn, None
                x.over = True
                emit(self.g.log, 424, member=x.berth.name)
                x.berth.stock.drop(c)

        if x.conn is not None:
            self.clock.later(us, look)

    def _either(self, fs, us):
        """A future that is done once one of `fs` is, or after `us`."""
        out = asyncio.get_running_loop().create_future()

        def fire(*_):
            if not out.done():
                out.set_result(None)

        h = self.clock.later(us, fire)
        for f in fs:
            if f.done():
                fire()
            else:
                f.add_done_callback(fire)
        out.add_done_callback(lambda _: h.cancel())
        return out

    async def _take(self, t, visit, us):
        f = t.berth.stock.take(visit)
        try:
            return await self.clock.limit(f, us, keep=True)
        except BaseException:
            t.berth.stock.quit(f)
            raise

    async def _outfit(self, c, v, a, more=()):
        """Makes the connection fit; the replies to `more` (verb, args) come last."""
        pre, alias = c.outfit(v, a)
        if pre or more:
            fs = [c.plain(k, args, num) for k, args, num in [*pre, *more]]
            rs = [await self.clock.limit(f, _TAKE_US, keep=True) for f in fs]
            if any(not r.ok for r in rs[: len(pre)]):
                c.odd = True
                raise MemberFault("outfit")
            return alias, rs[len(pre) :]
        return alias, ()

    async def _once(self, t, v, a, band, after, us):
        """One statement at one member: takes a connection, makes it fit, sends, gives it back.

        A read that is not behind a position goes only to the primary that is in office under a lease; its reply is a
        fetch of its own.
        """
        b = t.berth
        c = r = None
        ok = False
        try:
            c = await self._take(t, v, min(us, _TAKE_US))
            alias, _ = await self._outfit(c, v, a)
            if t.flight is not None and band.sure is not b:
                ok = True
                raise Unsent("lease")
            t.sent = True
            t.start, t.us = self.g.order.next(), self.clock.now()
            b.out += 1
            try:
                r = await self.clock.limit(c.ask(a, after, alias), us)
            finally:
                b.out -= 1
            ok = r.state == "I"
            if r.code == "unprepared":
                c.odd = True
            return r
        finally:
            if t.flight is not None:
                if r is not None and r.ok and r.pos:
                    band.reads.landed(t.flight, r.pos)
                else:
                    band.reads.failed(t.flight)
            if c is not None:
                b.stock.give(c) if ok else b.stock.drop(c)

    def _noted(self, band, t, f):
        """What the end of a sending says of its member; its Reply, or None."""
        if f.cancelled():
            return None
        e = f.exception()
        if e is None:
            r = f.result()
            band.fine(t.berth, r.pos)
            return r
        if isinstance(e, (Late, Unreached)) and not isinstance(e, (Unsent, Gone)):
            band.missed(t.berth, "mute" if isinstance(e, Late) else "reset")
        return None

    def _carried(self, b, arr, since, bad):
        """The try of a read that is to be its own fetch at the primary, or None."""
        p = b.sure
        if p is None or p.name in bad or p.down > self.clock.now() or not b.serves(p):
            return None
        f = b.reads.carrier(arr, since)
        return _Try(p, b.reading, f) if f is not None else None

    def _gated(self, b, arr, since, left, runs=()):
        """The position that a read must find, or None if time ran out or a run ended first."""
        gate = b.reads.gate(arr, since)
        yield self._either([gate, *runs], left)
        if gate.done() and gate.result() is not None:
            return gate.result()
        gate.cancel()
        return None

    def _read(self, v, a, r, b, end):
        runs = []
        try:
            return (yield from self._tried(v, a, r, b, end, runs))
        finally:
            for t, f in runs:
                if not t.sent:
                    f.cancel()
                    if t.flight is not None:
                        b.reads.failed(t.flight)

    def _tried(self, v, a, r, b, end, runs):
        """Tries of a read, two at once at the most; `runs` are those still under way, unsent ones end with the read."""
        g = self.g
        arr = g.order.next()
        since = self.clock.now() - int(r.stale_us * 0.8) if r.reads == "browsing" else None
        hedge = max(60_000, int(r.aim_us * 0.4))
        bad, key, pos, pause = set(), None, None, 10_000
        while True:
            left = end - self.clock.now()
            if left <= 0:
                return self._given_up(b, bool(runs))
            if key != b.reading:
                key, pos = b.reading, None
            t = None
            if pos is None:
                t = self._carried(b, arr, since, bad) if not runs else None
                if t is None:
                    pos = yield from self._gated(b, arr, since, left, [f for _, f in runs])
                    if key != b.reading:
                        continue
            if t is None and pos is not None:
                p = b.pick(pos, bad)
                if (
                    p is not None
                    and not runs
                    and p.lag_till > self.clock.now()
                    and p.tide.log < pos
                ):
                    g.count["joined_log"] += 1
                    if not (yield from self._lagged(b, p, pos, end)):
                        bad.add(p.name)
                    continue
                t = _Try(p, key) if p is not None else None
            if t is not None:
                us = max(end - self.clock.now(), 1000)
                runs.append(
                    (t, self.nest.spawn(self._once(t, v, a, b, None if t.flight else pos, us)))
                )
            elif not runs:
                bad.clear()
                yield self._either([], pause)
                pause = min(pause * 2, 80_000)
                continue
            last = len(runs) > 1 or t is None
            yield self._either([f for _, f in runs], min(left if last else hedge, left))
            if not last and not runs[0][1].done():
                p = runs[0][0].berth
                if b.spend():
                    b.missed(p, "mute")
                    bad.add(p.name)
                    g.count["hedged"] += 1
                    continue
                yield self._either([runs[0][1]], end - self.clock.now())
            done = [x for x in runs if x[1].done()]
            runs[:] = [x for x in runs if not x[1].done()]
            for t, f in done:
                x = self._noted(b, t, f)
                if x is not None and x.ok:
                    return x
                if x is None:
                    bad.add(t.berth.name)
                    yield self._either([], min(pause, left))
                    pause = min(pause * 2, 80_000)
                elif x.code == "lagging":
                    g.count["lagging"] += 1
                    if (
                        pos is not None
                        and not runs
                        and not (yield from self._lagged(b, t.berth, pos, end, x))
                    ):
                        bad.add(t.berth.name)
                elif x.code in _ELSEWHERE:
                    g.count[x.code] += 1
                    bad.add(t.berth.name)
                    if x.code == "failed" and not b.spend():
                        return x
                else:
                    return x

    def _lagged(self, b, p, pos, end, reply=None):
        """Waits for a replica's log: who was told LAGGING asks again soon, others join that wait. False gives it up."""
        now = self.clock.now()
        if reply is not None:
            p.lags += 1
            if p.lags > _LAGS:
                p.lags, p.lag_till = 0, 0
                p.slow = now + _SLOW_US
                self.g.count["stalled"] += 1
                return False
            us = 12_000 << min(p.lags - 1, 3)
            p.lag_till = now + us
        else:
            us = 60_000
        f = p.tide.wait(pos)
        yield self._either([f], max(0, min(us, end - now)))
        f.cancel()
        if f.done() and not f.cancelled():
            p.lags = 0
        return True

    def _hopeless(self, b, r, end):
        """Whether a primary has been dark for so long that waiting for it is not worth the visitor's time."""
        stuck = b.dark() > _DARK_US or b.office is not None and b.office.get("stuck")
        return stuck and self.clock.now() > end - r.timeout_us + r.aim_us // 5

    def _given_up(self, b, ran=False):
        if ran:
            return Reply(code="timeout", text="no answer in time")
        return Reply(code="busy", text=self.g.back(_BACK_US))

    def _write(self, v, a, r, b, end):
        g = self.g
        pause = 15_000
        while True:
            left = end - self.clock.now()
            if left <= 0:
                return self._given_up(b)
            p = b.primary
            if p is None or not b.serves(p) or p.down > self.clock.now():
                if self._hopeless(b, r, end):
                    return self._given_up(b)
                yield self._either([b.turned()], min(left, 100_000))
                continue
            t = _Try(p, b.reading)
            f = self.nest.spawn(self._once(t, v, a, b, None, left))
            try:
                yield self._either([f], left)
            except Late:
                pass
            if not f.done():
                if not t.sent:
                    f.cancel()
                    return self._given_up(b)
                g.count["unsure"] += 1
                b.missed(p, "mute")
                return Reply(code="unsure", text="no answer came; the write may be kept or not")
            x = self._noted(b, t, f)
            if x is None:
                if t.sent:
                    g.count["unsure"] += 1
                    emit(g.log, 420, member=p.name)
                    return Reply(
                        code="unsure", text="the answer was lost; the write may be kept or not"
                    )
                yield self._either([b.turned()], min(left, pause))
                pause = min(pause * 2, 200_000)
            elif x.code in ("readonly", "misdirected"):
                g.tie.doubt(b.name, p.name, "replica")
                yield self._either([b.turned()], min(left, 200_000))
            elif x.code in ("busy", "crowded"):
                g.count[x.code] += 1
                yield self._either([], min(left, pause))
                pause = min(pause * 2, 120_000)
            elif x.code == "unprepared":
                continue
            else:
                if x.ok and x.pos:
                    b.reads.noted(t.key, t.start, t.us, x.pos)
                return x

    def _inside(self, v, a, r, b, end):
        x = v.trade
        g = self.g
        if x.conn is None:
            if x.over:
                return self._abort(v, a, "the transaction had ended")
            x.band = b
            why = yield from self._start(v, x, r, b, end)
            if why is not None:
                return self._abort(v, a, why)
        pause = 10_000
        while True:
            c = x.conn
            us = end - self.clock.now()
            if us <= 0:
                return self._abort(v, a, g.back(_BACK_US))
            if a.verb != "commit":
                us = min(us, max(100_000, r.aim_us * 6 // 10))
            key, start, at = x.band.reading, g.order.next(), self.clock.now()
            f = self.nest.spawn(self._pinned(c, v, a))
            try:
                yield self._either([f], us)
            except Late:
                pass
            rep = f.result() if f.done() and not f.cancelled() and f.exception() is None else None
            if rep is None:
                if not f.done():
                    f.cancel()
                    x.band.missed(x.berth, "mute")
                else:
                    x.band.missed(x.berth, "reset")
                return self._torn(v, a, x)
            x.band.fine(x.berth, rep.pos)
            if rep.ok:
                if (
                    not x.reads
                    and rep.pos
                    and key is not None
                    and key[1] == x.berth.name
                    and (a.verb != "commit" or x.wrote)
                ):
                    x.band.reads.noted(key, start, at, rep.pos)
                if a.verb == "commit":
                    v.trade = None
                    v.settle()
                    x.conn = None
                    x.berth.stock.give(c) if rep.state == "I" else x.berth.stock.drop(c)
                    rep.state = "I"
                elif a.writes:
                    x.wrote = True
                return rep
            if (
                rep.code in ("busy", "unprepared")
                and rep.state == "T"
                and end - self.clock.now() > pause
            ):
                if rep.code == "unprepared":
                    c.shapes.clear()
                g.count[rep.code] += 1
                yield self._either([], pause)
                pause *= 2
                continue
            if rep.code == "readonly":
                g.tie.doubt(b.name, x.berth.name, "replica")
            return self._failed(v, a, x, rep)

    async def _pinned(self, c, v, a):
        alias, _ = await self._outfit(c, v, a)
        return await c.ask(a, None, alias)

    def _failed(self, v, a, x, rep):
        """The member said no: the transaction has failed, or ended with its commit."""
        if a.verb == "commit":
            self.part(v)
            v.settle()
        else:
            v.fail()
        rep.state = v.mark
        return rep

    def _abort(self, v, a, why):
        """Nothing was committed and nothing will be."""
        self.part(v)
        if a.verb == "commit":
            v.settle()
        else:
            v.fail()
        return Reply(code="aborted", text=why, state=v.mark)

    def _torn(self, v, a, x):
        """The connection of a transaction is lost or mute; closed, so its member rolls back what is not committed."""
        c, x.conn = x.conn, None
        x.berth.stock.drop(c)
        wrote = x.wrote
        v.trade = None
        if a.verb == "commit":
            v.settle()
            if wrote:
                self.g.count["unsure"] += 1
                emit(self.g.log, 420, member=x.berth.name)
                return Reply(code="unsure", text="the answer to the commit was lost")
        else:
            v.fail()
        self.g.count["torn"] += 1
        return Reply(
            code="aborted",
            text="the member's answer was lost; nothing of this is kept",
            state=v.mark,
        )

    def _start(self, v, x, r, b, end):
        """Begins the transaction at a member; why not, or None."""
        g = self.g
        pos, key, bad, pause = None, None, set(), 15_000
        since = x.us - int(r.stale_us * 0.8) if r.reads == "browsing" else None
        while True:
            left = end - self.clock.now()
            if left <= 0:
                return g.back(_BACK_US)
            if key != b.reading:
                key, pos = b.reading, None
            if x.reads:
                t = self._carried(b, x.arr, since, bad) if pos is None else None
                if t is None and pos is None:
                    pos = yield from self._gated(b, x.arr, since, left)
                    if pos is None or key != b.reading:
                        continue
                if t is None:
                    p = b.pick(pos, bad)
                    if p is None:
                        bad.clear()
                        yield self._either([], min(left, pause))
                        pause = min(pause * 2, 120_000)
                        continue
                    if p.lag_till > self.clock.now() and p.tide.log < pos:
                        if not (yield from self._lagged(b, p, pos, end)):
                            bad.add(p.name)
                        continue
                    t = _Try(p, key)
                p = t.berth
            else:
                p = b.primary
                if p is None or not b.serves(p) or p.down > self.clock.now():
                    if self._hopeless(b, r, end):
                        return g.back(_BACK_US)
                    yield self._either([b.turned()], min(left, 100_000))
                    continue
                t = _Try(p, key)
            f = self.nest.spawn(
                self._begun(t, v, x, b, None if t.flight else pos, min(left, 600_000))
            )
            try:
                yield self._either([f], left)
            except Late:
                pass
            if not f.done():
                f.cancel()
                b.missed(p, "mute")
                return g.back(_BACK_US)
            e = f.exception() if not f.cancelled() else Busy()
            if e is not None:
                if not isinstance(e, Fault):
                    raise e
                if isinstance(e, (Late, Unreached)) and not isinstance(e, (Unsent, Gone)):
                    b.missed(p, "mute" if isinstance(e, Late) else "reset")
                bad.add(p.name)
                yield self._either([b.turned()], min(left, pause))
                pause = min(pause * 2, 200_000)
                continue
            rep = f.result()
            b.fine(p, rep.pos)
            if rep.ok:
                if not x.reads and rep.pos:
                    b.reads.noted(t.key, t.start, t.us, rep.pos)
                return None
            if rep.code == "lagging" and pos is not None:
                g.count["lagging"] += 1
                if not (yield from self._lagged(b, p, pos, end, rep)):
                    bad.add(p.name)
            elif rep.code in ("readonly", "misdirected"):
                g.tie.doubt(b.name, p.name, "replica")
                yield self._either([b.turned()], min(left, 200_000))
            elif rep.code in ("busy", "crowded", "failed"):
                g.count[rep.code] += 1
                if x.reads:
                    bad.add(p.name)
                yield self._either([], min(left, pause))
                pause = min(pause * 2, 120_000)
            else:
                return f"{rep.code} {rep.text}"

    async def _begun(self, t, v, x, band, pos, us):
        """BEGIN at one member; on success its connection is the transaction's."""
        b = t.berth
        c = r = None
        try:
            c = await self._take(t, v, min(us, _TAKE_US))
            if t.flight is not None and band.sure is not b:
                raise Unsent("lease")
            t.start, t.us = self.g.order.next(), self.clock.now()
            _, rs = await self.clock.limit(
                self._outfit(
                    c, v, None, [("begin", ("reads" if x.reads else "writes", pos), x.num)]
                ),
                us,
            )
            r = rs[0]
            if r.ok and r.state == "T" and v.trade is x:
                x.conn, x.berth = c, b
            return r
        finally:
            if t.flight is not None:
                if r is not None and r.ok and r.pos:
                    band.reads.landed(t.flight, r.pos)
                else:
                    band.reads.failed(t.flight)
            if c is not None and x.conn is not c:
                b.stock.give(c) if r is not None and r.state == "I" else b.stock.drop(c)
