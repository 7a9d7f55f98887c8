"""One connection at a simulated member: its values, its prepared names and its transaction."""

import collections

from petrelhaven.proxy.session.statement import Reply
from petrelhaven.simulator.connection_sessions.refusal import Refusal

__all__ = ["MemberConnection"]


class MemberConnection:
    """Takes orders one after the other; when it ends, what is open rolls back."""

    def __init__(self, member, line, number):
        self.member, self.line, self.number = member, line, number
        self.values, self.prepared = {}, {}
        self.who = ""
        self.transaction = None
        self.failed = self.ended = self.unanswered = False
        self.unresponsive_since = None
        self._orders, self._on = collections.deque(), False
        self._transactions, self._reads, self._term, self._writes = 0, False, 0, []

    @property
    def state(self):
        """I, T or E."""
        return "E" if self.failed else "I" if self.transaction is None else "T"

    def take(self, order):
        """An order arrived; None is the end of the far side."""
        if self.member.unresponsive:
            self.unanswered = True
        elif self.ended:
            self.line.reset()
        elif not self.unanswered or order is None:
            self._orders.append(order)
            if not self._on:
                self._on = True
                self.member.machine.tasks.spawn(self._serve())

    def end(self):
        """The connection is over: its transaction is rolled back."""
        self.ended = True
        self._orders.clear()
        self.transaction, self._writes = None, []
        self.member.connections.pop(self, None)

    def reset(self):
        """Ends it and says so to the far side."""
        self.end()
        self.line.reset()

    async def _serve(self):
        try:
            while self._orders:
                o = self._orders.popleft()
                if o is None:
                    return self.end()
                if self.unanswered:
                    continue
                r = await self._answer(o)
                if self.ended or self.unanswered or self.member.unresponsive:
                    self.unanswered = True
                    continue
                if r.ok and r.stamp != "-" and self.member.losing > 0:
                    self.member.losing -= 1
                    if self.member.lost_how == "cut":
                        return self.reset()
                    self.unanswered = True
                    continue
                self.line.reply(r)
                if not r.ok and o.verb == "connect":
                    self.end()
        finally:
            self._on = False

    async def _answer(self, o):
        try:
            rows, stamp = await self._query(o)
            r = Reply(rows, stamp)
        except Refusal as e:
            self.failed = self.transaction is not None
            r = Reply(code=e.code, text=self.member.name)
        r.state, r.position = self.state, self.member.position
        return r

    async def _query(self, o):
        if self.failed and o.verb not in ("commit", "rollback", "status"):
            raise Refusal("malformed")
        if o.verb in ("read", "write", "execute"):
            return await self._access(o)
        return await getattr(self, "_" + o.verb)(o)

    async def _connect(self, o):
        group, name, self.who = o.args
        await self.member.admit(group, name)
        return (), "-"

    async def _access(self, o):
        m, shape, words = self.member, None, o.text.split(" ")
        if o.verb == "execute":
            shape = self.prepared.get(o.args[0])
            if shape is None:
                raise Refusal("unprepared")
            kind = shape.split(" ")[0]
        else:
            kind = words.pop(0)
        writes, was = kind == "put", self.transaction
        self._check(writes, o.after)
        async with m.slot():
            if self.transaction != was:
                raise Refusal("aborted")
            self._check(writes, o.after)
            rows = ()
            if not writes:
                rows = self._read(words[0])
            elif self.transaction is not None:
                self._writes.append((o.num, words[0], " ".join(words[1:])))
            entry = None
            if writes and self.transaction is None and m.failing <= 0:
                entry = m.group.append(m, [(o.num, words[0], " ".join(words[1:]))])
            r = m.note(self, o, kind, o.text, shape, rows, self.transaction)
            if m.failing > 0:
                m.failing -= 1
                raise Refusal("failed")
        await self._acknowledge(entry)
        return rows, r.stamp

    def _check(self, writes, after):
        m = self.member
        if self.transaction is not None and not self._reads and not self._leads:
            raise Refusal("readonly")
        if writes and (self._reads if self.transaction is not None else not m.leads):
            raise Refusal("readonly")
        if after is not None and m.position < tuple(after):
            raise Refusal("lagging")

    @property
    def _leads(self):
        return self.member.leads and self.member.group.term == self._term

    def _read(self, key):
        own = [v for _, k, v in self._writes if k == key]
        v = own[-1] if own else self.member.value(key)
        return () if v is None else (v,)

    async def _acknowledge(self, entry):
        if entry is not None and not await self.member.group.synced(self.member, entry):
            raise Refusal("timeout")

    async def _begin(self, o):
        how, after = o.args
        if self.transaction is not None:
            raise Refusal("malformed")
        self._check(how == "writes", after)
        self._transactions += 1
        self.transaction, self._reads = self._transactions, how == "reads"
        self._term, self._writes = self.member.group.term, []
        return (), "-"

    async def _commit(self, o):
        if self.transaction is None:
            raise Refusal("malformed")
        m = self.member
        was, failed, writes = self.transaction, self.failed, self._writes
        self.transaction, self.failed, self._writes = None, False, []
        if failed:
            raise Refusal("aborted")
        async with m.slot():
            if writes and not self._leads:
                raise Refusal("readonly")
            e = m.group.append(m, writes) if writes else None
            r = m.note(self, o, "commit", o.text, None, (), was)
        await self._acknowledge(e)
        return (), r.stamp

    async def _rollback(self, o):
        if self.transaction is None:
            raise Refusal("malformed")
        self.transaction, self.failed, self._writes = None, False, []
        return (), "-"

    async def _set(self, o):
        self.values[o.args[0]] = o.args[1]
        return (), "-"

    async def _prepare(self, o):
        self.prepared[o.args[0]] = o.args[1]
        return (), "-"

    async def _reset(self, o):
        if self.transaction is not None:
            raise Refusal("malformed")
        self.values, self.prepared = {}, {}
        return (), "-"

    async def _status(self, o):
        async with self.member.slot(0):
            return (self.member.status(),), "-"

    async def _pause(self, o):
        m = self.member
        if o.args[0] > max(m.group.term, m.paused_term) and not m.leads:
            m.paused_term = o.args[0]
            for f in m.group.on_pause:
                f(m)
        return (m.status(),), "-"

    async def _resume(self, o):
        self.member.paused_term = 0
        return (self.member.status(),), "-"

    async def _demote(self, o):
        if o.args[0] > self.member.group.term:
            self.member.group.step_down(self.member)
        return (self.member.status(),), "-"
