"""The connections of several tenants to one member: each serves its own tenant, and no tenant starves another."""

import asyncio
import collections

from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from test_connection_pool import Conn, LoopClock, held

from petrelhaven.proxy.pool.connection_pool import ConnectionPool
from petrelhaven.runtime.errors import Busy, Fault
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

DRAWN = settings(
    max_examples=300, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
FEWER_DRAWN = settings(DRAWN, max_examples=60)
OPEN_S, WORK_S, PATIENCE_S = 0.002, 0.01, 0.6
FEW = 3
"""A tenant's first waiter is served after at most so many others of any one tenant."""


class Client:
    def __init__(self, tenant, values=None):
        self.tenant, self.values = tenant, dict(values or {})
        self.prepared, self.statement_numbers = {}, dict.fromkeys(self.values, "1")


class Member:
    """Opens connections as it is told, and keeps for whom; `plan` as in test_connection_pool."""

    def __init__(self, plan=((OPEN_S, None),), limit=1_000):
        self.live, self.plan, self.limit = set(), list(plan), limit
        self.asked, self.opening, self.most = [], 0, 0

    async def open(self, tenant):
        seconds, fault = self.plan.pop(0) if len(self.plan) > 1 else self.plan[0]
        self.asked.append(tenant)
        self.opening += 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self.opening -= 1
        if fault is not None or len(self.live) >= self.limit:
            raise (fault or Busy)("as planned")
        connection = Conn(self)
        connection.opened_for = tenant
        self.most = max(self.most, len(self.live))
        return connection


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


OPENED = st.tuples(st.sampled_from([0.0, 0.01, 0.4]), st.sampled_from([None, None, None, Busy]))
ACTION = st.sampled_from(
    ["acquire"] * 6 + ["release"] * 4 + ["cancel", "discard", "lose", "tick", "tick", "rest"]
)


# guards against UNASKED: a connection opened for one tenant is handed to another, in whatever order things come
@DRAWN
@given(
    st.lists(st.tuples(ACTION, st.integers(0, 11)), max_size=70),
    st.lists(OPENED, max_size=8),
    st.integers(1, 4),
    st.integers(1, 6),
)
def test_in_any_order_a_connection_serves_its_tenant_and_no_more_than_allowed_are_open(
    actions, plan, most, want
):
    async def go(pool):
        waits, out = [], []

        def collect():
            for client, future in [pair for pair in waits if pair[1].done()]:
                waits.remove((client, future))
                connection = held(future)
                if connection is None:
                    assert isinstance(future.exception(), Fault)
                else:
                    assert connection.opened_for == connection.tenant == client.tenant
                    connection.set_up(client)
                    out.append(connection)

        for what, i in actions:
            if what == "acquire":
                client = clients[i % len(clients)]
                waits.append((client, pool.acquire(client)))
            elif what in ("tick", "rest"):
                await asyncio.sleep(0.01 if what == "tick" else 3)
            elif what == "cancel":
                if waits:
                    pool.cancel(waits.pop(i % len(waits))[1])
            elif out:
                connection = out.pop(i % len(out))
                connection.close() if what == "lose" else getattr(pool, what)(connection)
            collect()
            assert pool.total <= most and len(member.live) + member.opening <= most
            assert len(set(map(id, out))) == len(out)
            await asyncio.sleep(0)
            if not member.opening and any(not future.done() for _, future in waits):
                assert not pool.idle and pool.total >= pool.limit, "who waits is not woken"
        for _ in range(200):
            await asyncio.sleep(1)
            collect()
            while out:
                pool.release(out.pop())
        assert not waits and not pool.busy and pool.total == len(pool.idle) == len(member.live)

    member = Member([*plan, (0.01, None)])
    clients = [
        Client(tenant, values) for tenant in ("a", "b", "c", "") for values in ({}, {"n": tenant})
    ]
    clients += [Client("a", {"n": "other"}), Client("b", {"m": "1"})]
    virtual(go, member, most, want)


# guards against UNASKED: an idle connection of another tenant fits by its values, and is taken for that
def test_an_idle_connection_of_another_tenant_is_not_handed_out():
    async def go(pool):
        of_a = await pool.acquire(Client("a"))
        pool.release(of_a)
        of_b = await pool.acquire(Client("b"))
        assert of_b is not of_a and member.asked == ["a", "b"] and not of_a.lost
        pool.release(of_b)
        assert held(pool.acquire(Client("a"))) is of_a
        assert held(pool.acquire(Client("b"))) is of_b

    member = Member()
    virtual(go, member)


# guards against UNASKED: the connection that a tenant gives back goes to the waiter of another
def test_a_waiter_gets_no_connection_that_another_tenant_releases():
    async def go(pool):
        of_a = await pool.acquire(Client("a"))
        waiter = pool.acquire(Client("b"))
        pool.release(of_a)
        assert of_a.lost and not waiter.done()
        assert (await waiter).opened_for == "b" and member.most == 1

    member = Member()
    virtual(go, member, most=1)


# guards against UNASKED: a connection is ready after its client has left, and the next waiter is another tenant's
def test_a_connection_whose_client_has_left_goes_to_its_own_tenant_only():
    async def go(pool):
        gone = pool.acquire(Client("a"))
        waiter = pool.acquire(Client("b"))
        pool.cancel(gone)
        assert (await waiter).opened_for == "b"
        assert member.most == 1 and pool.total == 1

    member = Member()
    virtual(go, member, most=1)


# guards against UNASKED: a member that was full and is not asked for a while serves only who holds its connections
def test_at_a_full_member_a_waiter_of_another_tenant_still_gets_its_own_connection():
    async def go(pool):
        of_a = await pool.acquire(Client("a"))
        waiter = pool.acquire(Client("b"))
        await asyncio.sleep(0.1)
        assert not waiter.done() and pool.limit == 1
        pool.release(of_a)
        assert (await waiter).opened_for == "b"

    member = Member(limit=1)
    virtual(go, member, most=4)


# guards against connections closed and opened for nothing: tenants that fit side by side keep theirs
def test_tenants_that_fit_in_the_pool_keep_their_connections():
    async def go(pool):
        for _ in range(20):
            for tenant in ("a", "b", "c"):
                pool.release(await pool.acquire(Client(tenant)))
        assert member.asked == ["a", "b", "c"]

    member = Member()
    virtual(go, member, most=3)


# guards against an eviction of what is in use most: the connection that was idle longest makes room
def test_the_least_recently_used_connection_is_closed_for_another_tenant():
    async def go(pool):
        connections = {tenant: await pool.acquire(Client(tenant)) for tenant in ("a", "b", "c")}
        for tenant in ("b", "c", "a"):
            pool.release(connections[tenant])
        assert (await pool.acquire(Client("d"))).opened_for == "d"
        assert [tenant for tenant in "abc" if connections[tenant].lost] == ["b"]
        assert member.most == 3

    member = Member()
    virtual(go, member, most=3)


# guards against starvation: a tenant that floods the pool has filled the queue, and another is sent away for it
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
            connection = next(future.result() for future in flood if held(future) in pool.busy)
            pool.release(connection)
            served += 1
            await asyncio.sleep(WORK_S)
            assert served <= FEW
        assert held(waiter).opened_for == "b"

    virtual(go, Member(), most=2)


async def flood(pool, tenant, clients, until, grants):
    """So many clients of a tenant that each come back at once, whatever they get."""
    loop = asyncio.get_running_loop()

    async def one():
        while loop.time() < until:
            if await served(pool, tenant, grants) is None:
                await asyncio.sleep(WORK_S)

    await asyncio.gather(*[one() for _ in range(clients)])


async def served(pool, tenant, grants):
    """One piece of work of `tenant`; None if it was refused, else how long it waited."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    future = pool.acquire(Client(tenant))
    done, _ = await asyncio.wait([future], timeout=PATIENCE_S)
    if not done or held(future) is None:
        pool.cancel(future)
        return None
    grants.append(tenant)
    waited = loop.time() - started
    assert future.result().opened_for == tenant
    await asyncio.sleep(WORK_S)
    pool.release(future.result())
    return waited


# guards against starvation: with tenants that flood the pool, each other tenant's waiter comes after at most a few
@FEWER_DRAWN
@given(
    st.integers(1, 6),
    st.integers(1, 3),
    st.integers(1, 4),
    st.lists(st.floats(0.1, 0.4), min_size=1, max_size=12),
)
def test_a_waiter_is_served_after_a_few_others_even_if_tenants_flood_the_pool(
    most, flooding, calm, arrivals
):
    async def go(pool):
        until, grants = 0.5, []
        floods = [
            asyncio.ensure_future(flood(pool, f"flood{i}", 6 * most + 2, until, grants))
            for i in range(flooding)
        ]

        async def come(at, tenant):
            await asyncio.sleep(at)
            before = len(grants)
            waited = await served(pool, tenant, grants)
            assert waited is not None, "sent away or left waiting"
            others = collections.Counter(grants[before:])
            for i in range(flooding):
                # its turn, and those whose connection was handed out or being opened already
                assert others[f"flood{i}"] <= FEW + 2 * most

        await asyncio.gather(
            *[come(at, f"calm{i % calm}_{i}") for i, at in enumerate(sorted(arrivals))], *floods
        )
        assert member.most <= most

    member = Member()
    virtual(go, member, most, want=99)


# guards against starvation among equals: tenants that all flood the pool get shares of the same size
def test_tenants_that_flood_the_pool_equally_get_equal_shares():
    async def go(pool):
        grants = []
        await asyncio.gather(
            *[flood(pool, tenant, n, 5.0, grants) for tenant, n in (("a", 90), ("b", 20), ("c", 9))]
        )
        shares = collections.Counter(grants)
        assert min(shares.values()) > 0.5 * max(shares.values()), shares

    virtual(go, Member(), most=3, want=99)
