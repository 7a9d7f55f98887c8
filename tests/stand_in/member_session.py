from .refusal import Refusal

__all__ = ["MemberSession"]

READS_AND_WRITES = ("FETCH", "PUT", "EXECUTE")


class MemberSession:
    """One connection at a member: its values, its prepared names and its transaction."""

    def __init__(self, member, wire, number):
        self.member, self.number = member, number
        self.arrived, self.who = 0.0, ""
        self.values, self.prepared = {}, {}
        self.transaction = None
        self.failed = False
        self._wire = wire
        self._transactions = 0
        self._fetch_only, self._term, self._writes = False, 0, []

    @property
    def state(self):
        """I, T or E."""
        return "E" if self.failed else "I" if self.transaction is None else "T"

    async def serve(self, line):
        """Speaks the wire, from its first line to the end of the connection."""
        m = self.member
        words = line.split(" ", 3)
        try:
            if words[0] != "CONNECT" or len(words) < 3:
                raise Refusal("MALFORMED", "CONNECT expected")
            self.who = words[2]
            await m.admit(words[1], words[3] if len(words) > 3 else m.id)
        except Refusal as r:
            self._wire.send("ERROR", r.code, r.text)
            return
        self._ready()
        while (line := await self._wire.read()) not in (None, "QUIT"):
            await m.lit.wait()
            self.arrived = m.history.now()
            word, _, rest = line.partition(" ")
            id, _, text = rest.partition(" ")
            try:
                if word != "QUERY":
                    raise Refusal("MALFORMED", word)
                rows, stamp = await self._query(id, text)
                last = ("COMPLETE", stamp)
            except Refusal as r:
                self.failed = self.transaction is not None
                rows, last = (), ("ERROR", r.code, r.text)
            await m.lit.wait()
            if last[0] == "COMPLETE" and last[1] != "-" and m.lose_answer():
                if m.lost_how == "cut":
                    return
                while await self._wire.read() is not None:
                    pass
                return
            for row in rows:
                self._wire.send("ROW", row)
            self._wire.send(*last)
            self._ready()

    def _ready(self):
        self._wire.send("READY", self.state, self.member.position())

    async def _query(self, id, text):
        after = None
        if text.startswith("AFTER "):
            _, position, text = (text.split(" ", 2) + ["", ""])[:3]
            after = tuple(int(x) if x.isdigit() else -1 for x in position.split("."))
            if (
                len(after) != 2
                or min(after) < 0
                or text.split(" ")[0] not in (*READS_AND_WRITES, "BEGIN")
            ):
                raise Refusal("MALFORMED", "AFTER")
        words = text.split(" ")
        verb = words[0]
        if self.failed and verb not in ("COMMIT", "ROLLBACK", "STATUS"):
            raise Refusal("MALFORMED", "the transaction has failed")
        if verb in READS_AND_WRITES and len(words) > 1:
            return await self._access(id, text, after)
        handler = getattr(self, f"_on_{verb.lower()}", None) if verb.isupper() else None
        if handler is None:
            raise Refusal("MALFORMED", verb)
        try:
            return await handler(id, after, *words[1:])
        except TypeError as e:
            raise Refusal("MALFORMED", text) from e

    async def _access(self, id, text, after):
        m = self.member
        verb, *words = text.split(" ", 3 if text.startswith("EXECUTE") else 2)
        shape = None
        if verb == "EXECUTE":
            if words[0] not in self.prepared:
                raise Refusal("NOSTMT", words[0])
            verb, shape = self.prepared[words.pop(0)]
        if len(words) != (2 if verb == "PUT" else 1):
            raise Refusal("MALFORMED", text)
        self._check(verb == "PUT", after)
        async with m.slot(m.group.work_ms):
            self._check(verb == "PUT", after)
            rows = ()
            if verb == "FETCH":
                rows = self._read(words[0])
            elif self.transaction is not None:
                self._writes.append((id, *words))
            entry = None
            if verb == "PUT" and self.transaction is None and m.failing <= 0:
                entry = m.group.append(m, [(id, *words)])
            run = m.note(self, id, text, verb, shape, rows)
            if m.failing > 0:
                m.failing -= 1
                raise Refusal("FAILED", m.id)
        await self._acknowledge(entry)
        return rows, run.stamp

    def _check(self, writes, after):
        m = self.member
        if self.transaction is not None and not self._fetch_only and not self._leads():
            raise Refusal("READONLY", m.id)
        if writes and (self._fetch_only if self.transaction is not None else not m.leads):
            raise Refusal("READONLY", m.id)
        if after is not None and m.applied_position() < after:
            raise Refusal("LAGGING", m.id)

    def _leads(self):
        return self.member.leads and self.member.group.term == self._term

    def _read(self, thing):
        own = [data for _, name, data in self._writes if name == thing]
        found = own[-1] if own else self.member.value(thing)
        return () if found is None else (found,)

    async def _acknowledge(self, entry):
        if entry is None:
            return
        if not await self.member.group.synced(self.member, entry):
            raise Refusal("TIMEOUT", self.member.id)
        if not self.member.loses_next:
            entry.acked_at = self.member.history.now()

    async def _on_begin(self, id, after, fetch=None):
        if self.transaction is not None or fetch not in (None, "FETCH"):
            raise Refusal("MALFORMED", "BEGIN")
        self._check(fetch is None, after)
        self._transactions += 1
        self.transaction, self._fetch_only = self._transactions, fetch is not None
        self._term, self._writes = self.member.group.term, []
        return (), "-"

    def _end(self):
        if self.transaction is None:
            raise Refusal("MALFORMED", "no transaction")
        ended, failed, writes = self.transaction, self.failed, self._writes
        self.transaction, self.failed, self._writes = None, False, []
        return ended, failed, writes

    async def _on_commit(self, id, after):
        m = self.member
        ended, failed, writes = self._end()
        if failed:
            raise Refusal("ABORTED", m.id)
        async with m.slot(m.group.work_ms):
            if writes and not self._leads():
                raise Refusal("READONLY", m.id)
            entry = m.group.append(m, writes) if writes else None
            run = m.note(self, id, "COMMIT", "COMMIT", None, (), ended)
        await self._acknowledge(entry)
        return (), run.stamp

    async def _on_rollback(self, id, after):
        self._end()
        return (), "-"

    async def _on_set(self, id, after, name, *value):
        self.values[name] = " ".join(value)
        return (), "-"

    async def _on_prepare(self, id, after, name, verb, shape):
        if verb not in ("FETCH", "PUT"):
            raise Refusal("MALFORMED", verb)
        self.prepared[name] = verb, shape
        return (), "-"

    async def _on_dealloc(self, id, after, name):
        if self.prepared.pop(name, None) is None:
            raise Refusal("NOSTMT", name)
        return (), "-"

    async def _on_reset(self, id, after):
        if self.transaction is not None:
            raise Refusal("MALFORMED", "RESET in a transaction")
        self.values.clear()
        self.prepared.clear()
        return (), "-"

    async def _on_status(self, id, after):
        async with self.member.slot(0):
            return (self.member.status(),), "-"

    async def _on_pause(self, id, after, term):
        m = self.member
        if term.isdigit() and int(term) > max(m.group.term, m.held) and not m.leads:
            m.held = int(term)
        return (m.status(),), "-"

    async def _on_resume(self, id, after):
        self.member.held = 0
        self.member.group.changed.fire()
        return (self.member.status(),), "-"

    async def _on_stepdown(self, id, after, term):
        if term.isdigit() and int(term) > self.member.group.term:
            self.member.group.step_down(self.member)
        return (self.member.status(),), "-"
