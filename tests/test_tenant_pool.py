"""Tests the connection pool with several tenants.

A connection serves only its own tenant, and no tenant starves another.
"""

import asyncio
import collections

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from test_connection_pool import Connection, acquired
from virtual_io import LoopClock

from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.runtime.errors import Busy, Fault
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

DRAWN = settings(
    max_examples=300, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
FEWER_DRAWN = settings(DRAWN, max_examples=60)
OPEN_S, WORK_S, PATIENCE_S = 0.002, 0.01, 0.6
MAX_SERVED_BEFORE = 3
"""How many waiters of another tenant may be served before a tenant's first waiter."""


class Client:
    def __init__(self, tenant, values=None):
        self.tenant, self.values = tenant, dict(values or {})
        self.prepared, self.statement_numbers = {}, dict.fromkeys(self.values, "1")


class Member:
    """Opens connections as planned and records their tenants; `plan` as in test_connection_pool."""

    def __init__(self, plan=((OPEN_S, None),), limit=1_000):
        self.live, self.plan, self.limit = set(), list(plan), limit
        self.opened_for, self.opening, self.most_live = [], 0, 0

    async def open(self, tenant):
        seconds, fault = self.plan.pop(0) if len(self.plan) > 1 else self.plan[0]
        self.opened_for.append(tenant)
        self.opening += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.opening -= 1
        if fault is not None or len(self.live) >= self.limit:
            raise (fault or Busy)("as planned")
        connection = Connection(self)
        connection.opened_for = tenant
        self.most_live = max(self.most_live, len(self.live))
        return connection


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


OPENED = st.tuples(st.sampled_from([0.0, 0.01, 0.4]), st.sampled_from([None, None, None, Busy]))
ACTION = st.sampled_from(
    ["acquire"] * 6 + ["release"] * 4 + ["cancel", "discard", "lose", "tick", "tick", "rest"]
)


# Guards against UNASKED: a connection opened for one tenant is handed to another, in any order of events.
@DRAWN
@given(
    st.lists(st.tuples(ACTION, st.integers(0, 11)), max_size=70),
    st.lists(OPENED, max_size=8),
    st.integers(1, 4),
    st.integers(1, 6),
)
def test_in_any_order_a_connection_serves_its_tenant_and_no_more_than_allowed_are_open(
    actions, plan, max_size, useful_size
):
    async def go(pool):
        waiters, in_use = [], []

        def collect():
            for client, future in [pair for pair in waiters if pair[1].done()]:
                waiters.remove((client, future))
                connection = acquired(future)
                if connection is None:
                    assert isinstance(future.exception(), Fault)
                else:
                    assert connection.opened_for == connection.tenant == client.tenant
                    connection.set_up(client)
                    in_use.append(connection)

        for what, index in actions:
            if what == "acquire":
                client = clients[index % len(clients)]
                waiters.append((client, pool.acquire(client)))
            elif what in ("tick", "rest"):
                await asyncio.sleep(0.01 if what == "tick" else 3)
            elif what == "cancel":
                if waiters:
                    pool.cancel(waiters.pop(index % len(waiters))[1])
            elif in_use:
                connection = in_use.pop(index % len(in_use))
                connection.close() if what == "lose" else getattr(pool, what)(connection)
            collect()
            assert pool.total <= max_size and len(member.live) + member.opening <= max_size
            assert len(set(map(id, in_use))) == len(in_use)
            await asyncio.sleep(0)
            if not member.opening and any(not future.done() for _, future in waiters):
                assert not pool.idle and pool.total >= pool.limit, "who waiters is not woken"
        for _ in range(200):
            await asyncio.sleep(1)
            collect()
            while in_use:
                pool.release(in_use.pop())
        assert not waiters and not pool.busy and pool.total == len(pool.idle) == len(member.live)

    member = Member([*plan, (0.01, None)])
    clients = [
        Client(tenant, values) for tenant in ("a", "b", "c", "") for values in ({}, {"n": tenant})
    ]
    clients += [Client("a", {"n": "other"}), Client("b", {"m": "1"})]
    run_with_pool(go, member, max_size, useful_size)


# Guards against UNASKED: an idle connection of another tenant is reused because its values fit.
def test_an_idle_connection_of_another_tenant_is_not_handed_out():
    async def go(pool):
        of_a = await pool.acquire(Client("a"))
        pool.release(of_a)
        of_b = await pool.acquire(Client("b"))
        assert of_b is not of_a and member.opened_for == ["a", "b"] and not of_a.lost
        pool.release(of_b)
        assert acquired(pool.acquire(Client("a"))) is of_a
        assert acquired(pool.acquire(Client("b"))) is of_b

    member = Member()
    run_with_pool(go, member)


# Guards against UNASKED: a connection that a tenant releases goes to a waiter of another tenant.
def test_a_waiter_gets_no_connection_that_another_tenant_releases():
    async def go(pool):
        of_a = await pool.acquire(Client("a"))
        waiter = pool.acquire(Client("b"))
        pool.release(of_a)
        assert of_a.lost and not waiter.done()
        assert (await waiter).opened_for == "b" and member.most_live == 1

    member = Member()
    run_with_pool(go, member, max_size=1)


# Guards against UNASKED: a connection opens after its client has left, and the next waiter is of
# another tenant.
def test_a_connection_whose_client_has_left_goes_to_its_own_tenant_only():
    async def go(pool):
        gone = pool.acquire(Client("a"))
        waiter = pool.acquire(Client("b"))
        pool.cancel(gone)
        assert (await waiter).opened_for == "b"
        assert member.most_live == 1 and pool.total == 1

    member = Member()
    run_with_pool(go, member, max_size=1)


# Guards against UNASKED: while a full member gets no new connections, only the tenants that already
# have connections are served.
def test_at_a_full_member_a_waiter_of_another_tenant_still_gets_its_own_connection():
    async def go(pool):
        of_a = await pool.acquire(Client("a"))
        waiter = pool.acquire(Client("b"))
        await asyncio.sleep(0.1)
        assert not waiter.done() and pool.limit == 1
        pool.release(of_a)
        assert (await waiter).opened_for == "b"

    member = Member(limit=1)
    run_with_pool(go, member, max_size=4)


# Guards against needless reconnects: tenants whose connections fit into the pool keep them.
def test_tenants_that_fit_in_the_pool_keep_their_connections():
    async def go(pool):
        for _ in range(20):
            for tenant in ("a", "b", "c"):
                pool.release(await pool.acquire(Client(tenant)))
        assert member.opened_for == ["a", "b", "c"]

    member = Member()
    run_with_pool(go, member, max_size=3)


# Guards against closing frequently used connections: the one that was idle for longest is closed.
def test_the_least_recently_used_connection_is_closed_for_another_tenant():
    async def go(pool):
        connections = {tenant: await pool.acquire(Client(tenant)) for tenant in ("a", "b", "c")}
        for tenant in ("b", "c", "a"):
            pool.release(connections[tenant])
        assert (await pool.acquire(Client("d"))).opened_for == "d"
        assert [tenant for tenant in "abc" if connections[tenant].lost] == ["b"]
        assert member.most_live == 3

    member = Member()
    run_with_pool(go, member, max_size=3)


# Guards against starvation: one tenant has filled the queue, and another tenant is refused.
def test_a_tenant_with_a_full_queue_does_not_block_other_tenants():
    async def go(pool):
        flood = [pool.acquire(Client("a")) for _ in range(200)]
        await asyncio.sleep(0.1)
        refused = [future for future in flood if future.done() and future.exception()]
        assert refused, "the flood itself has a bound"
        waiter = pool.acquire(Client("b"))
        assert not waiter.done(), waiter.exception()
        served = 0
        while not waiter.done():
            connection = next(future.result() for future in flood if acquired(future) in pool.busy)
            pool.release(connection)
            served += 1
            await asyncio.sleep(WORK_S)
            assert served <= MAX_SERVED_BEFORE
        assert acquired(waiter).opened_for == "b"

    run_with_pool(go, Member(), max_size=2)


async def flood(pool, tenant, clients, until, grants):
    """Runs `clients` clients of a tenant that each request a connection again at once."""
    loop = asyncio.get_running_loop()

    async def run_client():
        while loop.time() < until:
            if await use_connection(pool, tenant, grants) is None:
                await asyncio.sleep(WORK_S)

    await asyncio.gather(*[run_client() for _ in range(clients)])


async def use_connection(pool, tenant, grants):
    """Uses a connection once for `tenant`; returns how long it waited, None if it was refused."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    future = pool.acquire(Client(tenant))
    done, _ = await asyncio.wait([future], timeout=PATIENCE_S)
    if not done or acquired(future) is None:
        pool.cancel(future)
        return None
    grants.append(tenant)
    waited = loop.time() - started
    assert future.result().opened_for == tenant
    await asyncio.sleep(WORK_S)
    pool.release(future.result())
    return waited


# Guards against starvation: while tenants flood the pool, another tenant's waiter is served after at
# most a few others.
@FEWER_DRAWN
@given(
    st.integers(1, 6),
    st.integers(1, 3),
    st.integers(1, 4),
    st.lists(st.floats(0.1, 0.4), min_size=1, max_size=12),
)
def test_a_waiter_is_served_after_a_few_others_even_if_tenants_flood_the_pool(
    max_size, flooding, quiet, arrivals
):
    async def go(pool):
        until, grants = 0.5, []
        floods = [
            asyncio.ensure_future(flood(pool, f"flood{i}", 6 * max_size + 2, until, grants))
            for i in range(flooding)
        ]

        async def arrive(at, tenant):
            await asyncio.sleep(at)
            before = len(grants)
            waited = await use_connection(pool, tenant, grants)
            assert waited is not None, "refused or left waiting"
            others = collections.Counter(grants[before:])
            for i in range(flooding):
                # its turn, and those whose connection was handed in_use or being opened already
                assert others[f"flood{i}"] <= MAX_SERVED_BEFORE + 2 * max_size

        await asyncio.gather(
            *[arrive(at, f"calm{i % quiet}_{i}") for i, at in enumerate(sorted(arrivals))], *floods
        )
        assert member.most_live <= max_size

    member = Member()
    run_with_pool(go, member, max_size, useful_size=99)


# Guards against unequal shares: tenants that all flood the pool get a similar number of connections.
def test_tenants_that_flood_the_pool_equally_get_equal_shares():
    async def go(pool):
        grants = []
        await asyncio.gather(
            *[flood(pool, tenant, n, 5.0, grants) for tenant, n in (("a", 90), ("b", 20), ("c", 9))]
        )
        shares = collections.Counter(grants)
        assert min(shares.values()) > 0.5 * max(shares.values()), shares

    run_with_pool(go, Member(), max_size=3, useful_size=99)
