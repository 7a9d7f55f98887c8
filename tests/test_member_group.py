"""One group as an edge sees it: what proves a position, and which members are picked."""

import asyncio
import collections
import types

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.proxy.reads.read_clock import Order
from petrelhaven.proxy.routing.group import MemberGroup
from petrelhaven.proxy.routing.outside_contact import OutsideContact
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Busy, MemberDeclined, MemberReplaced, NotSent, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

DRAWN = settings(
    max_examples=150, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
DRAIN_US, EMPTY_US = 2_000_000, 4_000_000


class LoopClock(Clock):
    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6)


class Member:
    """What a member says to STATUS: `how` is fine, mute, refused, gone, full, busy or lost."""

    def __init__(self, role, pos):
        self.role, self.pos, self.how, self.asked = role, pos, "fine", 0


class Conn(MemberConnection):
    def __init__(self, m):
        super().__init__()
        self.m = m

    def send_system_verb(self, verb, *args):
        self.m.asked += 1
        f = asyncio.get_running_loop().create_future()
        if self.m.how == "busy":
            f.set_exception(Busy("busy"))
        elif self.m.how == "odd":
            f.set_exception(MemberDeclined("row"))
        elif self.m.how == "lost":
            f.set_exception(Unreachable("connection lost"))
        elif self.m.how == "fine":
            f.set_result({"role": self.m.role, "term": 1, "pos": self.m.pos, "held": 0})
        return f

    def close(self):
        self.lost = True


class ResumableProxy:
    """What a band needs of its gate, over members that a test sets."""

    def __init__(self, members, sync=1, zones=None):
        self.clock, self.tasks, self.order = LoopClock(), BackgroundTasks(), Order()
        self.members, self.drain_us, self.empty_us = members, DRAIN_US, EMPTY_US
        self.count, self.suspicions = collections.Counter(), []
        self.core_connection = types.SimpleNamespace(
            proxy_count=3,
            holds_lease=True,
            lease_confirmed=True,
            suspect=lambda *a: self.suspicions.append(a),
        )
        self.wire = self
        self.outside_contact = OutsideContact(self.clock)
        self.control_state = ControlState()
        self.band = MemberGroup("g", self)
        self.band.connection_cap, self.band.sync_replicas = 40, sync
        for i, (n, m) in enumerate(members.items()):
            self.enter(
                t="member",
                name=n,
                group="g",
                hall=(zones or {}).get(n, "a"),
                addr=f"1.1.1.1:{i}",
                role=m.role,
                state="ready",
                slots=5,
                count=1,
            )
        self.leadership("serve", "p")

    def zone_distance(self, zone):
        return "abcd".index(zone)

    def bounds(self):
        return types.SimpleNamespace(
            fetch_us=250_000, join_us=1_000_000, lanes=2, idle_txn_us=3_000_000
        )

    async def open(self, addr, group, member, us, tenant=""):
        m = self.members[member]
        if m.how == "mute":
            await asyncio.sleep(us / 1e6)
            raise NotSent("mute")
        if m.how in ("refused", "gone", "full"):
            raise {
                "refused": NotSent("refused"),
                "gone": MemberReplaced("x"),
                "full": Busy("crowded"),
            }[m.how]
        return Conn(m)

    def enter(self, fresh=False, **r):
        self.control_state.apply(self.control_state.seq + 1, r)
        self.band.apply(self.control_state, fresh)

    def leadership(self, phase, primary):
        n = self.control_state.doc["offices"].get("g", {"n": 0})["n"] + 1
        self.enter(
            t="office", group="g", n=n, phase=phase, primary=primary, term=n, cause="", by="c"
        )

    def member(self, n, state, count=2):
        m = self.control_state.doc["members"][n]
        self.enter(t="member", name=n, **{**m, "state": state, "count": count})

    async def position(self):
        """What a read that arrives now must find, or None if nothing proves it in time."""
        return await self.band.read_clock.position_for(self.order.next())


def group(*pos):
    return {
        n: Member("replica" if i else "primary", (1, x))
        for i, (n, x) in enumerate(zip(("p", "r1", "r2", "r3"), pos))
    }


def virtual(fn, *a, **kw):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        return await fn(ResumableProxy(*a, **kw))

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def test_the_primary_tells_the_position():
    async def go(e):
        assert await e.position() == (1, 9) and not e.count["fetched_others"]
        assert [m.asked for m in e.members.values()] == [1, 0, 0]

    virtual(go, group(9, 3, 4))


@pytest.mark.parametrize("how", ["mute", "refused", "gone", "full", "busy", "odd", "lost"])
def test_where_the_primary_is_silent_all_others_together_tell_it(how):
    async def go(e):
        e.members["p"].how = how
        assert await e.position() == (1, 8) and e.count["fetched_others"]

    virtual(go, group(9, 8, 4))


@pytest.mark.parametrize(
    "how", ["mute", "refused", "gone", "full", "busy", "odd", "lost", "silent"]
)
@pytest.mark.parametrize("other", ["r1", "r2", "r3"])
def test_all_but_one_of_the_others_prove_nothing(how, other):
    async def go(e):
        e.members["p"].how = "refused"
        e.members[other].how = how
        assert await e.position() is None and not e.count["fetched_others"]
        e.members[other].how = "fine"
        assert await e.position() == (1, 8)

    virtual(go, group(9, 8, 4, 7))


@pytest.mark.parametrize(
    ("members", "sync"), [(group(9, 8, 7), 0), (group(9, 8), 1), (group(9), 1), (group(9, 8, 7), 2)]
)
def test_too_few_others_prove_nothing(members, sync):
    async def go(e):
        assert await e.position() == (1, 9)
        e.members["p"].how = "lost"
        assert await e.position() is None

    virtual(go, members, sync=sync)


def test_without_a_lease_the_others_prove_nothing():
    async def go(e):
        e.members["p"].how, e.core_connection.holds_lease = "refused", False
        assert await e.position() is None
        e.core_connection.holds_lease = True
        assert await e.position() == (1, 8)

    virtual(go, group(9, 8, 4))


def test_a_member_that_left_and_has_no_successor_yet_may_have_had_more():
    async def go(e):
        e.members["p"].how = "refused"
        e.enter(t="member", name="r3", state="gone", addr="1.1.1.1:3")
        assert await e.position() is None
        e.members["r3n"] = Member("replica", (1, 9))
        e.enter(
            t="member",
            name="r3n",
            group="g",
            hall="a",
            addr="1.1.1.1:3",
            role="replica",
            state="ready",
            slots=5,
            count=1,
        )
        assert await e.position() == (1, 9)

    virtual(go, group(9, 8, 4, 9))


def test_a_member_that_has_come_must_be_heard_too():
    async def go(e):
        e.members["p"].how = "refused"
        assert await e.position() == (1, 8)
        e.members["r3"] = Member("replica", (1, 9))
        e.members["r3"].how = "mute"
        e.enter(
            t="member",
            name="r3",
            group="g",
            hall="a",
            addr="1.1.1.1:9",
            role="replica",
            state="ready",
            slots=5,
            count=1,
        )
        assert await e.position() is None
        e.members["r3"].how = "fine"
        assert await e.position() == (1, 9)

    virtual(go, group(9, 8, 4))


def test_a_draining_member_must_be_heard_too():
    async def go(e):
        e.members["p"].how = "refused"
        e.member("r1", "draining")
        assert await e.position() == (1, 8)
        e.members["r1"].how = "lost"
        assert await e.position() is None

    virtual(go, group(9, 8, 4))


def test_a_primary_that_is_none_any_more_tells_nothing_and_is_doubted():
    async def go(e):
        e.members["p"].role = "replica"
        assert await e.position() is None and not e.count["fetched_others"]
        assert ("g", "p", "replica") in e.suspicions

    virtual(go, group(9, 8, 4))


@DRAWN
@given(
    st.lists(st.integers(0, 20), min_size=3, max_size=4),
    st.lists(st.sampled_from(["fine", "refused", "busy"]), min_size=3, max_size=3),
    st.integers(0, 20),
)
def test_whatever_is_told_is_not_below_what_was_acknowledged(logs, hows, behind):
    """A commit is acknowledged once one replica has it: the highest log of a replica, or below."""

    async def go(e):
        acked = max(logs[1:])
        for n, how in zip(list(e.members)[1:], hows):
            e.members[n].how = how
        e.members["p"].how = "refused"
        pos = await e.position()
        all_heard = all(m.how == "fine" for n, m in e.members.items() if n != "p")
        assert (pos is not None) == all_heard and (pos is None or pos >= (1, acked))

    virtual(go, group(max(logs[1:]) + behind, *logs[1:]))


ZONES = {"p": "a", "r1": "a", "r2": "b", "r3": "c"}


def test_the_near_one_is_picked_and_the_primary_only_where_it_is_near():
    async def go(e):
        assert e.band.pick((0, 0), set()).name == "p"
        e.band.members["p"].in_flight = 1
        assert e.band.pick((0, 0), set()).name == "r1"
        assert e.band.pick((0, 0), {"r1", "p"}).name == "r2"
        assert e.band.pick((0, 0), {"r1", "r2", "p"}).name == "r3"
        assert e.band.pick((0, 0), set(ZONES)) is None

    virtual(go, group(9, 8, 4, 7), zones=ZONES)


def test_a_member_that_drains_or_whose_zone_is_emptied_is_not_picked_from_then_on():
    async def go(e):
        e.member("r1", "draining")
        assert e.band.pick((0, 0), {"p"}).name == "r2"
        e.enter(t="hall", hall="b", state="emptied", by="op")
        assert e.band.pick((0, 0), {"p"}).name == "r3"
        e.enter(t="hall", hall="b", state="open", by="op")
        e.member("r1", "ready", 3)
        assert e.band.pick((0, 0), {"p"}).name == "r1"

    virtual(go, group(9, 8, 4, 7), zones=ZONES)


@pytest.mark.parametrize(
    ("leave", "us"),
    [
        (lambda e: e.member("p", "draining"), DRAIN_US),
        (lambda e: e.enter(t="hall", hall="a", state="emptied", by="op"), EMPTY_US),
    ],
)
@pytest.mark.parametrize("fresh", [False, True])
def test_the_primary_serves_until_the_bound_where_this_edge_heard_of_it_in_time(leave, us, fresh):
    async def go(e):
        if fresh:
            e.band.apply = lambda control_state, _, apply=e.band.apply: apply(control_state, True)
        leave(e)
        for at, serves in ((0, not fresh), (us / 1e6 - 0.01, not fresh), (0.02, False)):
            await asyncio.sleep(at)
            assert e.band.serves(e.band.primary) == serves
            b = e.band.pick((0, 0), {"r1", "r2", "r3"})
            assert (b is not None and b.name == "p") == serves

    virtual(go, group(9, 8, 4, 7), zones=ZONES)


BERTH = st.fixed_dictionaries(
    {
        "dark": st.booleans(),
        "slow": st.booleans(),
        "out": st.sampled_from([0, 1, 4, 9]),
        "log": st.integers(0, 3),
        "leaves": st.sampled_from(["", "", "drains", "emptied"]),
        "bad": st.booleans(),
    }
)


@DRAWN
@given(st.lists(BERTH, min_size=4, max_size=4), st.integers(0, 3))
def test_a_pick_is_never_worse_than_another_that_may_be_picked(berths, need):
    async def go(e):
        how = dict(zip(e.members, berths))
        now = e.clock.now()
        for n, x in how.items():
            if x["leaves"] == "drains":
                e.member(n, "draining")
            elif x["leaves"]:
                e.enter(t="hall", hall="abcd"[list(how).index(n)], state="emptied", by="op")
            b = e.band.members[n]
            b.down_until, b.slow_until, b.in_flight = (
                now + 1000 * x["dark"],
                now + 1000 * x["slow"],
                x["out"],
            )
            if x["log"]:
                b.log_progress.note((1, x["log"]), 0)
        bad = {n for n, x in how.items() if x["bad"]}
        got = e.band.pick((1, need), bad)
        may = [n for n, x in how.items() if n not in bad and (not x["leaves"] or n == "p")]
        assert (got is None) == (not may)
        if got is None:
            return
        assert got.name in may

        def lacks(n):
            x = how[n]
            return x["slow"] and ((1, x["log"]) if x["log"] else (0, 0)) < (1, need)

        x = how[got.name]
        if any(not how[n]["dark"] for n in may):
            assert not x["dark"]
        same = [n for n in may if how[n]["dark"] == x["dark"]]
        if any(not lacks(n) for n in same):
            assert not lacks(got.name)
        same = [n for n in same if lacks(n) == lacks(got.name)]
        if any(how[n]["out"] < 4 for n in same):
            assert x["out"] < 4

    virtual(go, group(9, 8, 4, 7), zones={"p": "a", "r1": "b", "r2": "c", "r3": "d"})


def test_an_leadership_on_the_move_has_no_primary_and_a_turn_is_told():
    async def go(e):
        f = e.band.next_leadership()
        e.leadership("move", "p")
        assert f.done() and e.band.primary is None and e.band.leased_primary is None
        e.leadership("swap", "p")
        assert e.band.primary.name == "p" and e.band.leased_primary is None
        e.leadership("serve", "r1")
        assert e.band.primary.name == e.band.leased_primary.name == "r1"
        e.core_connection.holds_lease = False
        assert e.band.leased_primary is None and e.band.primary.name == "r1"

    virtual(go, group(9, 8, 4))


def test_a_primary_that_misses_is_doubted_but_not_while_it_answers_others():
    async def go(e):
        b = e.band.members["p"]
        await asyncio.sleep(1)
        e.band.note_answer(b)
        e.band.note_failure(b, "mute")
        assert e.suspicions == [] and b.down_until <= e.clock.now()
        e.band.note_failure(b, "reset")
        assert e.suspicions == [("g", "p", "reset")] and b.down_until > e.clock.now()
        e.band.note_failure(e.band.members["r1"], "refused")
        assert len(e.suspicions) == 1
        await asyncio.sleep(1)
        e.band.note_failure(b, "mute")
        assert len(e.suspicions) == 2
        e.band.note_answer(b)
        assert b.down_until == b.failures == 0

    virtual(go, group(9, 8, 4))


def test_a_member_at_a_new_address_is_a_new_one():
    async def go(e):
        old = e.band.members["r1"]
        m = e.control_state.doc["members"]["r1"]
        e.enter(t="member", name="r1", **{**m, "addr": "1.1.1.1:77"})
        assert e.band.members["r1"] is not old and old.pool.closed
        e.enter(t="member", name="r1", state="gone", addr="1.1.1.1:77")
        assert set(e.band.members) == {"p", "r2"}

    virtual(go, group(9, 8, 4))


def test_second_tries_are_within_a_budget():
    async def go(e):
        assert [e.band.spend_retry() for _ in range(11)] == [True] * 10 + [False]
        for _ in range(11):
            e.band.earn_retry()
        assert [e.band.spend_retry() for _ in range(2)] == [True, False]
        for _ in range(1000):
            e.band.earn_retry()
        assert [e.band.spend_retry() for _ in range(21)] == [True] * 20 + [False]

    virtual(go, group(9, 8, 4))
