"""Connections to a member, drawn: no reply reaches another session, no write leaves twice, no promise is broken.

Real sessions, pool and wire of an edge; the member and its connections are modelled: answers are late, half, lost or
refused, connections are reset before or after a statement is read, and clients leave at any moment.
"""

import asyncio
import itertools
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from test_platform_lines import virtual

from member_connections import LineMemberConnection  # isort: skip
from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.proxy.routing.member_calls import MemberCalls
from petrelhaven.proxy.routing.transaction_path import TransactionPath
from petrelhaven.proxy.routing.write_path import WritePath
from petrelhaven.proxy.session.statement import Reply
from petrelhaven.runtime.errors import DeadlineExceeded, Unreachable

DRAWN = settings(
    max_examples=400,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
HOWS = ["ok"] * 10 + [
    "busy",
    "failed",
    "slow",
    "late",
    "silent",
    "half",
    "reset",
    "unread",
    "pieces",
]
WAY_S = 0.002


class Line:
    """The member's end of one connection: a transport to the edge, the session's state to the member."""

    def __init__(self, member, member_connection):
        self.member, self.member_connection = member, member_connection
        self.state, self.changes, self.owner, self.values = "I", {}, None, {}
        self.rest, self.closed, self.answering = b"", False, 0.0

    def get_extra_info(self, name):
        return self

    def setsockopt(self, *_):
        pass

    def is_closing(self):
        return self.closed

    def write(self, data):
        assert not self.closed
        asyncio.get_running_loop().call_later(WAY_S, self._take, data)

    def abort(self):
        self.close()

    def close(self):
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.member_connection.connection_lost, None)

    def _take(self, data):
        lines = (self.rest + data).split(b"\r\n")
        self.rest = lines.pop()
        for line in lines:
            if not self.closed:
                self.member.take(self, line.decode())

    def say(self, text, after=0.0, pieces=False):
        """Answers in order, whole or byte by byte."""
        loop = asyncio.get_running_loop()
        self.answering = max(self.answering, loop.time() + after + WAY_S)
        for part in text if pieces else [text]:
            loop.call_at(self.answering, lambda part=part: self._land(part))

    def _land(self, part):
        if not self.closed:
            self.member_connection.data_received(part.encode())


class Member:
    """Keeps what was committed, and by which statement each change came."""

    def __init__(self, hows):
        self.hows = itertools.chain(hows, itertools.repeat("ok"))
        self.read, self.kept, self.bad, self.lines, self.pos = [], [], [], [], 7
        self.owner_of, self.values_of = {}, {}

    async def open(self, addr, group, member, us, tenant=""):
        member_connection = LineMemberConnection()
        line = Line(self, member_connection)
        self.lines.append(line)
        member_connection.connection_made(line)
        await asyncio.sleep(WAY_S)
        return member_connection

    def take(self, line, text):
        _, num, rest = text.split(" ", 2)
        how = next(self.hows)
        if how == "unread":
            return line.close()
        words = rest.split(" ")
        if words[0] == "AFTER":
            words = words[2:]
        if words[0] == "STATUS":
            return line.say(
                f"ROW primary 1 1.{self.pos} 0 1 0 9\r\nCOMPLETE -\r\nREADY I 1.{self.pos}\r\n"
            )
        self.read.append((num, words[0]))
        rows, end = self._run(line, num, words, how)
        if how in ("silent", "late"):
            return line.say(rows + end, 1.3 if how == "late" else 1e6)
        if how == "reset":
            return line.close()
        if how == "half":
            line.say(rows or end[:5])
            return asyncio.get_running_loop().call_later(2 * WAY_S, line.close)
        line.say(rows + end, 0.2 if how == "slow" else 0.0, pieces=how == "pieces")

    def _run(self, line, num, words, how):
        """The reply's rows and end; what it changes is done by then."""
        verb, rows, stamp = words[0], "", "-"
        if verb in ("FETCH", "PUT", "COMMIT"):
            self._judge(line, num, verb)
            if how in ("busy", "failed"):
                if how == "failed" and line.state == "T":
                    line.state = "E"
                end = f"ERROR {how.upper()} x\r\nREADY {line.state} 1.{self.pos}\r\n"
                return "", end
            stamp = f"s.{num}"
        if verb == "FETCH":
            rows = f"ROW {num}\r\n"
        elif verb == "PUT" and line.state == "I":
            self._keep([num])
        elif verb == "PUT":
            line.changes[num] = None
        elif verb == "BEGIN":
            line.state, line.changes, line.owner = "T", {}, self.owner_of.get(num)
        elif verb in ("COMMIT", "ROLLBACK"):
            if verb == "COMMIT" and line.state == "T":
                self._keep([*line.changes, num])
            line.state, line.changes, line.owner = "I", {}, None
        elif verb == "SET":
            line.values[words[1]] = words[2]
        elif verb == "RESET":
            line.values = {}
        return rows, f"COMPLETE {stamp}\r\nREADY {line.state} 1.{self.pos}\r\n"

    def _keep(self, nums):
        self.pos += 1
        self.kept += nums

    def _judge(self, line, num, verb):
        owner = self.owner_of.get(num)
        if line.state != "I" and line.owner != owner:
            self.bad.append(("inside the transaction of another", num))
        if line.values != self.values_of.get(num):
            self.bad.append(("under the values of another", num, line.values))


class Client:
    """A client's connection, and what it was told."""

    nums = itertools.count()

    def __init__(self, door, member, name):
        self.door, self.member, self.name = door, member, name
        self.told, self.wrote, self.values, self.gone = {}, {}, {}, False
        self.front, self.tr = door.client()

    async def query(self, text, num):
        """(word, rest, rows, state) of the reply, or None where there is none."""
        self.member.owner_of[num] = self.name
        self.member.values_of[num] = dict(self.values)
        self.tr.out = b""
        if self.gone or self.front.gone or self.tr.closed:
            return None
        self.front.data_received(f"QUERY {num} {text}\r\n".encode())
        for _ in range(1000):
            lines = self.tr.out.decode().split("\r\n")
            if any(x.startswith("READY") for x in lines):
                break
            if self.tr.closed:
                return None
            await asyncio.sleep(0.005)
        else:
            self.member.bad.append(("no reply", num))
            return None
        rows = [x[4:] for x in lines if x.startswith("ROW")]
        word, _, rest = next(x for x in lines if x.startswith(("COMPLETE", "ERROR"))).partition(" ")
        state = next(x for x in lines if x.startswith("READY")).split(" ")[1]
        self._judge(num, text, word, rest, rows)
        return word, rest.split(" ")[0], rows, state

    def _judge(self, num, text, word, rest, rows):
        if word == "COMPLETE" and text.split(" ")[0] in ("FETCH", "PUT", "COMMIT"):
            if rest != f"s.{num}" or rows != ([num] if text.startswith("FETCH") else []):
                self.member.bad.append(("reply of another", num, rest, rows))
        if word == "COMPLETE" and text.startswith("SET"):
            _, name, value = text.split(" ")
            self.values[name] = value

    async def operate(self, what, i):
        num = f"n{next(self.nums)}"
        if what == "read":
            await self.query("FETCH a", num)
        elif what == "write":
            self.wrote[num] = [num]
            r = await self.query("PUT a b", num)
            self.told[num] = r[:2] if r else None
        elif what == "set":
            await self.query(f"SET v{i % 2} {num}", num)
        else:
            await self._transact(num, i)

    async def _transact(self, num, i):
        r = await self.query("BEGIN" if i % 4 else "BEGIN FETCH", num)
        puts, state = [], r and r[3]
        for k in range(i % 3 + 1):
            if state != "T":
                break
            n = f"{num}.{k}"
            reads = k == 1 or not i % 4
            if not reads:
                puts.append(n)
            r = await self.query("FETCH a" if reads else "PUT a b", n)
            state = r and r[3]
            await asyncio.sleep(0.003 * (i % 5))
        if state in ("T", "E"):
            word = "ROLLBACK" if i == 9 else "COMMIT"
            r = await self.query(word, f"{num}.c")
            # a transaction that wrote nothing keeps nothing, whatever becomes of its COMMIT
            self.wrote[f"{num}.c"] = [*puts, f"{num}.c"] if puts else []
            self.told[f"{num}.c"] = ("ERROR", "ABORTED") if word == "ROLLBACK" else r and r[:2]
        else:
            self.wrote[f"{num}.c"] = puts
            self.told[f"{num}.c"] = ("ERROR", "ABORTED")

    def leave(self):
        self.gone = True
        self.tr.close()


ACTIONS = ["read", "write", "write", "transact", "transact", "set", "tick", "leave", "rest", "rest"]
STEPS = st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 9)), min_size=4, max_size=24)
FAULTS = st.lists(st.sampled_from(HOWS), max_size=40)


def played(steps, hows):
    async def go(door):
        member = Member(hows)
        door.proxy.wire = member
        clients = [Client(door, member, f"c{i}") for i in range(3)]
        everybody, busy = list(clients), {}
        for what, i in steps:
            c = clients[i % 3]
            if what == "tick":
                await asyncio.sleep(0.002 * i)
            elif what == "rest":
                await asyncio.sleep(1)
            elif what == "leave":
                c.leave()
                clients[i % 3] = Client(door, member, f"d{len(everybody)}")
                everybody.append(clients[i % 3])
            elif c not in busy or busy[c].done():
                busy[c] = asyncio.ensure_future(c.operate(what, i))
                await asyncio.sleep(0)
        await asyncio.sleep(12)
        for c in everybody:
            for num, told in c.told.items():
                if told and told[0] == "ERROR" and told[1] in PROMISES:
                    if set(c.wrote[num]) & set(member.kept):
                        member.bad.append(("kept against a promise", num, told))
                if told and told[0] == "COMPLETE" and not set(c.wrote[num]) <= set(member.kept):
                    member.bad.append(("acknowledged and not kept", num))
        if len(set(member.kept)) < len(member.kept):
            member.bad.append(("twice", sorted(member.kept)))
        for b in door.proxy.groups.values():
            for p in b.members.values():
                for c in p.pool.idle:
                    if c.pending_replies or c.lost:
                        member.bad.append(("idle with replies due", c.pending_replies, c.lost))
        return member.bad

    return virtual(go)


@DRAWN
@given(STEPS, FAULTS)
def test_no_guarantee_is_violated_by_cancellations_timeouts_and_resets(steps, hows):
    assert played(steps, hows) == []


def next_who_waits(mp):
    """A reply goes to the first who still waits, not to whose turn it is."""
    real = LineMemberConnection._end

    def end(self, r):
        while len(self._awaited) > 1 and self._awaited[0].future.done():
            self._awaited.popleft()
        real(self, r)

    mp.setattr(LineMemberConnection, "_end", end)
    mp.setattr(LineMemberConnection, "pending_replies", 0)
    mp.setattr(ConnectionPool, "discard", lambda self, c: self.release(c))


def given_back_with_replies_due(mp):
    mp.setattr(LineMemberConnection, "pending_replies", 0)
    mp.setattr(ConnectionPool, "discard", lambda self, c: self.release(c))


def sent_again_after_silence(mp):
    """A lost answer counts as never sent."""
    real = WritePath.run

    def run(self, request):
        reply = yield from real(self, request)
        if reply.code == "unsure" and self._clock.now() < request.deadline:
            reply = yield from real(self, request)
        return reply

    mp.setattr(WritePath, "run", run)


def lost_counts_as_unsent(mp):
    real = MemberCalls.send

    async def send(self, request, attempt, *rest):
        try:
            return await real(self, request, attempt, *rest)
        except (DeadlineExceeded, Unreachable):
            attempt.sent = False
            raise

    mp.setattr(MemberCalls, "send", send)


def lost_commit_is_aborted(mp):
    real = TransactionPath._connection_lost

    def connection_lost(self, request):
        reply = real(self, request)
        return Reply(code="aborted", state=reply.state) if reply.code == "unsure" else reply

    mp.setattr(TransactionPath, "_connection_lost", connection_lost)


@pytest.mark.parametrize(
    "guard,whats",
    [
        (next_who_waits, {"reply of another"}),
        (
            given_back_with_replies_due,
            {
                "inside the transaction of another",
                "idle with replies due",
                "kept against a promise",
            },
        ),
        (sent_again_after_silence, {"twice"}),
        (lost_counts_as_unsent, {"twice"}),
        (lost_commit_is_aborted, {"kept against a promise"}),
    ],
)
def test_without_its_guard_the_same_draws_find_the_violation(guard, whats):
    class Found(Exception):
        pass

    @DRAWN
    @given(STEPS, FAULTS)
    def drawn(steps, hows):
        try:
            bad = played(steps, hows)
        except AssertionError:
            return
        if any(b[0] in whats for b in bad):
            raise Found

    with pytest.MonkeyPatch.context() as mp:
        guard(mp)
        with pytest.raises(Found):
            drawn()


def test_a_released_connection_with_pending_replies_is_closed():
    class Conn:
        lost, pending_replies, on_lost = False, 1, None

        def close(self):
            self.lost = True

    async def go(door):
        async def opened(_tenant):
            return Conn()

        connection_pool = ConnectionPool(door.clock, door.tasks, opened, 2, lambda: 2)
        c = await connection_pool.acquire(SimpleNamespace(tenant=""))
        connection_pool.release(c)
        assert c.lost and not connection_pool.idle

    virtual(go)
