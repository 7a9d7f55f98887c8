"""Tests the connection pool: its size limit, and that every waiter gets a connection or an error."""

import asyncio

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from virtual_io import LoopClock

from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.runtime.errors import Busy, Fault, NotSent
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

DRAWN = settings(
    max_examples=300, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)


class Session:
    tenant = ""

    def __init__(self, values=None):
        self.values, self.prepared, self.statement_numbers = dict(values or {}), {}, {}


class Connection(MemberConnection):
    def __init__(self, member):
        super().__init__()
        self.member = member
        member.live.add(self)

    def close(self):
        if self.lost:
            return
        self.lost = True
        self.member.live.discard(self)
        if self.on_lost is not None:
            self.on_lost(self)


class Member:
    """Opens connections as planned.

    `plan` has (seconds, None or a fault) for each connection; the last entry is for all others.
    """

    def __init__(self, plan=((0.01, None),)):
        self.live, self.plan, self.open_requests, self.opening = set(), list(plan), 0, 0

    async def open(self, tenant=""):
        delay_s, fault = self.plan.pop(0) if len(self.plan) > 1 else self.plan[0]
        self.open_requests += 1
        self.opening += 1
        try:
            await asyncio.sleep(delay_s)
        finally:
            self.opening -= 1
        if fault is not None:
            raise fault("as planned")
        return Connection(self)


def run_with_pool(scenario, member, max_size=2, useful_size=9):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        return await scenario(
            ConnectionPool(
                LoopClock(), BackgroundTasks(), member.open, max_size, lambda: useful_size
            )
        )

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def acquired(future):
    """Returns the connection of a successful future, else None."""
    return (
        future.result()
        if future.done() and not future.cancelled() and future.exception() is None
        else None
    )


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
    actions, plan, max_size, useful_size
):
    async def go(pool):
        waiters, in_use = [], []
        for what, index in actions:
            if what == "acquire":
                waiters.append(pool.acquire(sessions[index % 3]))
            elif what in ("tick", "rest"):
                await asyncio.sleep(0.01 if what == "tick" else 3)
            elif what == "cancel":
                if waiters:
                    pool.cancel(waiters.pop(index % len(waiters)))
            elif in_use:
                connection = in_use.pop(index % len(in_use))
                connection.close() if what == "lose" else getattr(pool, what)(connection)
            for waiter in [waiter for waiter in waiters if waiter.done()]:
                waiters.remove(waiter)
                connection = acquired(waiter)
                if connection is not None:
                    assert connection in pool.busy or connection.lost
                    in_use.append(connection)
                else:
                    assert isinstance(waiter.exception(), Fault)
            assert pool.total <= max_size and len(member.live) + member.opening <= max_size
            assert len(set(map(id, in_use))) == len(in_use)
            await asyncio.sleep(0)
            if not member.opening and any(not waiter.done() for waiter in waiters):
                assert not pool.idle and pool.total >= pool.limit, "a waiter was not woken"
        for _ in range(200):
            await asyncio.sleep(1)
            for waiter in [waiter for waiter in waiters if waiter.done()]:
                waiters.remove(waiter)
                if acquired(waiter) is not None:
                    in_use.append(acquired(waiter))
            while in_use:
                pool.release(in_use.pop())
        assert not waiters and not pool.busy and pool.total == len(pool.idle) == len(member.live)

    member = Member([*plan, (0.01, None)])
    sessions = [Session(), Session({"a": "1"}), Session({"a": "2", "b": "1"})]
    run_with_pool(go, member, max_size, useful_size)


def test_a_session_gets_the_connection_that_it_used_before():
    async def go(pool):
        first, second = Session({"n": "1"}), Session({"n": "2"})
        of_first, of_second = await pool.acquire(first), await pool.acquire(second)
        for session, connection in ((first, of_first), (second, of_second)):
            connection.values, connection.last_session = dict(session.values), session
            pool.release(connection)
        assert await pool.acquire(first) is of_first and await pool.acquire(second) is of_second

    run_with_pool(go, Member())


def test_waiters_are_served_in_order():
    async def go(pool):
        session = Session()
        connection = await pool.acquire(session)
        waiters = [pool.acquire(session) for _ in range(3)]
        for waiter in waiters:
            assert not waiter.done()
            pool.release(connection)
            assert waiter.done() and waiter.result() is connection

    run_with_pool(go, Member(), max_size=1)


def test_more_than_four_waiters_per_connection_are_rejected_at_once():
    async def go(pool):
        session = Session()
        await pool.acquire(session)
        waiters = [pool.acquire(session) for _ in range(6)]
        assert [
            isinstance(waiter.exception(), Busy) if waiter.done() else None for waiter in waiters
        ] == [None] * 4 + [True] * 2

    run_with_pool(go, Member(), max_size=1)


def test_a_lost_connection_makes_room_for_another():
    async def go(pool):
        session = Session()
        connection = await pool.acquire(session)
        waiter = pool.acquire(session)
        connection.close()
        assert await waiter is not connection and pool.total == 1
        pool.release(waiter.result())
        pool.release(connection)
        assert pool.idle == [waiter.result()]

    run_with_pool(go, Member(), max_size=1)


def test_a_cancelled_acquire_returns_its_connection():
    async def go(pool):
        session = Session()
        waiter = pool.acquire(session)
        pool.cancel(waiter)
        assert waiter.cancelled() and pool.total == 1
        await asyncio.sleep(1)
        assert len(pool.idle) == 1 and not pool.busy
        waiter = pool.acquire(session)
        pool.cancel(waiter)
        assert len(pool.idle) == 1 and not pool.busy

    run_with_pool(go, Member(), max_size=1)


def test_a_full_member_gets_no_new_connections_for_a_while():
    async def go(pool):
        session = Session()
        first, second = pool.acquire(session), pool.acquire(session)
        await asyncio.sleep(0.1)
        assert acquired(first) and not second.done() and pool.limit == 1
        waiters = [pool.acquire(session) for _ in range(3)]
        pool.release(acquired(first))
        assert acquired(second) is acquired(first)
        await asyncio.sleep(1)
        assert member.open_requests == 2 and not any(waiter.done() for waiter in waiters)
        await asyncio.sleep(1.2)
        assert (
            member.open_requests == 5
            and pool.limit == 4
            and all(acquired(waiter) for waiter in waiters)
        )

    member = Member([(0.01, None), (0.02, Busy), (0.01, None)])
    run_with_pool(go, member, max_size=4)


def test_a_full_member_without_open_connections_fails_the_waiter_at_once():
    async def go(pool):
        with pytest.raises(Busy):
            await pool.acquire(Session())
        assert pool.total == 0 and pool.limit == 1

    run_with_pool(go, Member([(0.01, Busy)]))


def test_closing_the_pool_fails_waiters_and_closes_released_connections():
    async def go(pool):
        session = Session()
        first, second, third = (
            pool.acquire(session),
            pool.acquire(session),
            pool.acquire(session),
        )
        await asyncio.sleep(0.1)
        pool.release(acquired(first))
        reused = acquired(third)
        waiter = pool.acquire(session)
        pool.close()
        assert isinstance(waiter.exception(), NotSent) and isinstance(
            pool.acquire(session).exception(), NotSent
        )
        assert acquired(second) in pool.busy and not acquired(second).lost
        pool.release(acquired(second))
        pool.release(reused)
        assert not member.live and pool.total == 0

    member = Member()
    run_with_pool(go, member)


def test_a_connection_opened_after_the_pool_closed_is_closed():
    async def go(pool):
        waiter = pool.acquire(Session())
        pool.close()
        with pytest.raises(NotSent):
            await waiter
        assert not member.live and pool.total == 0

    member = Member()
    run_with_pool(go, member)
