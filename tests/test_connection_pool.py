"""The connections to one member: never more than may be held, and whoever waits is served or told."""

import asyncio

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Busy, Fault, NotSent
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

DRAWN = settings(
    max_examples=300, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)


class LoopClock(Clock):
    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6)


class LoadClient:
    tenant = ""

    def __init__(self, values=None):
        self.values, self.prepared, self.statement_numbers = dict(values or {}), {}, {}


class Conn(MemberConnection):
    def __init__(self, member):
        super().__init__()
        self.m = member
        member.live.add(self)

    def close(self):
        if self.lost:
            return
        self.lost = True
        self.m.live.discard(self)
        if self.on_lost is not None:
            self.on_lost(self)


class Member:
    """Opens connections as it is told: `plan` has (seconds, None or a fault) for each, the last for all others."""

    def __init__(self, plan=((0.01, None),)):
        self.live, self.plan, self.asked, self.opening = set(), list(plan), 0, 0

    async def open(self, tenant=""):
        s, fault = self.plan.pop(0) if len(self.plan) > 1 else self.plan[0]
        self.asked += 1
        self.opening += 1
        try:
            await asyncio.sleep(s)
        finally:
            self.opening -= 1
        if fault is not None:
            raise fault("told to")
        return Conn(self)


def virtual(fn, member, most=2, want=9):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        return await fn(
            ConnectionPool(LoopClock(), BackgroundTasks(), member.open, most, lambda: want)
        )

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def held(f):
    """The connection that `f` brought, if it did and is not lost."""
    return f.result() if f.done() and not f.cancelled() and f.exception() is None else None


OUTCOME = st.tuples(st.sampled_from([0.0, 0.01, 0.4]), st.none())
ACTION = st.sampled_from(
    ["acquire"] * 4 + ["release"] * 3 + ["discard", "lose", "tick", "tick", "rest"]
)


@DRAWN
@given(
    st.lists(st.tuples(ACTION, st.integers(0, 9)), max_size=50),
    st.lists(OUTCOME, max_size=8),
    st.integers(1, 4),
    st.integers(1, 6),
)
def test_the_pool_never_exceeds_its_size_and_every_waiter_gets_an_outcome(
    actions, plan, most, want
):
    async def go(s):
        waits, out = [], []
        for what, i in actions:
            if what == "acquire":
                waits.append(s.acquire(clients[i % 3]))
            elif what in ("tick", "rest"):
                await asyncio.sleep(0.01 if what == "tick" else 3)
            elif what == "cancel":
                if waits:
                    s.cancel(waits.pop(i % len(waits)))
            elif out:
                c = out.pop(i % len(out))
                c.close() if what == "lose" else getattr(s, what)(c)
            for f in [f for f in waits if f.done()]:
                waits.remove(f)
                c = held(f)
                if c is not None:
                    assert c in s.busy or c.lost
                    out.append(c)
                else:
                    assert isinstance(f.exception(), Fault)
            assert s.total <= most and len(member.live) + member.opening <= most
            assert len(set(map(id, out))) == len(out)
            await asyncio.sleep(0)
            if not member.opening and any(not f.done() for f in waits):
                assert not s.idle and s.total >= s.limit, "who waits is not woken"
        for _ in range(200):
            await asyncio.sleep(1)
            for f in [f for f in waits if f.done()]:
                waits.remove(f)
                if held(f) is not None:
                    out.append(held(f))
            while out:
                s.release(out.pop())
        assert not waits and not s.busy and s.total == len(s.idle) == len(member.live)

    member = Member([*plan, (0.01, None)])
    clients = [LoadClient(), LoadClient({"a": "1"}), LoadClient({"a": "2", "b": "1"})]
    virtual(go, member, most, want)


def test_a_session_gets_the_connection_that_it_used_before():
    async def go(s):
        a, b = LoadClient({"n": "1"}), LoadClient({"n": "2"})
        ca, cb = await s.acquire(a), await s.acquire(b)
        for v, c in ((a, ca), (b, cb)):
            c.values, c.last_session = dict(v.values), v
            s.release(c)
        assert await s.acquire(a) is ca and await s.acquire(b) is cb

    virtual(go, Member())


def test_waiters_are_served_in_order():
    async def go(s):
        v = LoadClient()
        c = await s.acquire(v)
        fs = [s.acquire(v) for _ in range(3)]
        for f in fs:
            assert not f.done()
            s.release(c)
            assert f.done() and f.result() is c

    virtual(go, Member(), most=1)


def test_more_than_four_waiters_per_connection_are_rejected_at_once():
    async def go(s):
        v = LoadClient()
        await s.acquire(v)
        fs = [s.acquire(v) for _ in range(6)]
        assert [isinstance(f.exception(), Busy) if f.done() else None for f in fs] == [None] * 4 + [
            True
        ] * 2

    virtual(go, Member(), most=1)


def test_a_lost_connection_makes_room_for_another():
    async def go(s):
        v = LoadClient()
        c = await s.acquire(v)
        f = s.acquire(v)
        c.close()
        assert await f is not c and s.total == 1
        s.release(f.result())
        s.release(c)
        assert s.idle == [f.result()]

    virtual(go, Member(), most=1)


def test_a_cancelled_acquire_returns_its_connection():
    async def go(s):
        v = LoadClient()
        f = s.acquire(v)
        s.cancel(f)
        assert f.cancelled() and s.total == 1
        await asyncio.sleep(1)
        assert len(s.idle) == 1 and not s.busy
        f = s.acquire(v)
        s.cancel(f)
        assert len(s.idle) == 1 and not s.busy

    virtual(go, Member(), most=1)


def test_a_full_member_gets_no_new_connections_for_a_while():
    async def go(s):
        v = LoadClient()
        a, b = s.acquire(v), s.acquire(v)
        await asyncio.sleep(0.1)
        assert held(a) and not b.done() and s.limit == 1
        fs = [s.acquire(v) for _ in range(3)]
        s.release(held(a))
        assert held(b) is held(a)
        await asyncio.sleep(1)
        assert member.asked == 2 and not any(f.done() for f in fs)
        await asyncio.sleep(1.2)
        assert member.asked == 5 and s.limit == 4 and all(held(f) for f in fs)

    member = Member([(0.01, None), (0.02, Busy), (0.01, None)])
    virtual(go, member, most=4)


def test_a_full_member_without_open_connections_fails_the_waiter_at_once():
    async def go(s):
        with pytest.raises(Busy):
            await s.acquire(LoadClient())
        assert s.total == 0 and s.limit == 1

    virtual(go, Member([(0.01, Busy)]))


def test_closing_the_pool_fails_waiters_and_closes_released_connections():
    async def go(s):
        v = LoadClient()
        a, b, c = s.acquire(v), s.acquire(v), s.acquire(v)
        await asyncio.sleep(0.1)
        s.release(held(a))
        d = held(c)
        e = s.acquire(v)
        s.close()
        assert isinstance(e.exception(), NotSent) and isinstance(s.acquire(v).exception(), NotSent)
        assert held(b) in s.busy and not held(b).lost
        s.release(held(b))
        s.release(d)
        assert not member.live and s.total == 0

    member = Member()
    virtual(go, member)


def test_a_connection_opened_after_the_pool_closed_is_closed():
    async def go(s):
        f = s.acquire(LoadClient())
        s.close()
        with pytest.raises(NotSent):
            await f
        assert not member.live and s.total == 0

    member = Member()
    virtual(go, member)
