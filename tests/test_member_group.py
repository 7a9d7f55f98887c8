"""Tests a proxy's view of a group: which answers prove a position, and which members are picked."""

import asyncio
import collections
import types

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from virtual_io import LoopClock

from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.pool.member_connection import MemberConnection
from petrelhaven.proxy.reads.read_clock import LogicalClock
from petrelhaven.proxy.routing.group import MemberGroup
from petrelhaven.proxy.routing.remote_contact import RemoteContact
from petrelhaven.runtime.errors import Busy, MemberDeclined, MemberReplaced, NotSent, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

DRAWN = settings(
    max_examples=150, phases=[Phase.generate], deadline=None, derandomize=True, database=None
)
DRAIN_US, EVACUATION_US = 2_000_000, 4_000_000


class Member:
    """A member with its reaction to STATUS: fine, mute, refused, gone, full, busy, odd or lost."""

    def __init__(self, role, position):
        self.role, self.position, self.reaction, self.requests = role, position, "fine", 0


class Connection(MemberConnection):
    def __init__(self, member):
        super().__init__()
        self.member = member

    def send_command(self, verb, *args):
        self.member.requests += 1
        answer = asyncio.get_running_loop().create_future()
        if self.member.reaction == "busy":
            answer.set_exception(Busy("busy"))
        elif self.member.reaction == "odd":
            answer.set_exception(MemberDeclined("row"))
        elif self.member.reaction == "lost":
            answer.set_exception(Unreachable("connection lost"))
        elif self.member.reaction == "fine":
            answer.set_result(
                {"role": self.member.role, "term": 1, "pos": self.member.position, "held": 0}
            )
        return answer

    def close(self):
        self.lost = True


class Proxy:
    """A proxy with one group, whose members a test controls."""

    def __init__(self, members, sync=1, zones=None):
        self.clock, self.tasks, self.logical_clock = LoopClock(), BackgroundTasks(), LogicalClock()
        self.members, self.drain_us, self.evacuation_us = members, DRAIN_US, EVACUATION_US
        self.count, self.suspicions = collections.Counter(), []
        self.core_connection = types.SimpleNamespace(
            proxy_count=3,
            holds_lease=True,
            lease_confirmed=True,
            suspect=lambda *suspicion: self.suspicions.append(suspicion),
        )
        self.wire = self
        self.remote_contact = RemoteContact(self.clock)
        self.control_state = ControlState()
        self.group = MemberGroup("g", self)
        self.group.connection_cap, self.group.sync_replicas = 40, sync
        for index, (name, member) in enumerate(members.items()):
            self.apply_record(
                t="member",
                name=name,
                group="g",
                hall=(zones or {}).get(name, "a"),
                addr=f"1.1.1.1:{index}",
                role=member.role,
                state="ready",
                slots=5,
                count=1,
            )
        self.set_leadership("serve", "p")

    def zone_distance(self, zone):
        return "abcd".index(zone)

    def bounds(self):
        return types.SimpleNamespace(
            fetch_us=250_000, join_us=1_000_000, lanes=2, idle_txn_us=3_000_000
        )

    async def open(self, address, group, name, limit_us, tenant=""):
        member = self.members[name]
        if member.reaction == "mute":
            await asyncio.sleep(limit_us / 1e6)
            raise NotSent("mute")
        if member.reaction in ("refused", "gone", "full"):
            raise {
                "refused": NotSent("refused"),
                "gone": MemberReplaced("x"),
                "full": Busy("crowded"),
            }[member.reaction]
        return Connection(member)

    def apply_record(self, fresh=False, **record):
        self.control_state.apply(self.control_state.seq + 1, record)
        self.group.apply_control_state(self.control_state, fresh)

    def set_leadership(self, phase, primary):
        number = self.control_state.doc["offices"].get("g", {"n": 0})["n"] + 1
        self.apply_record(
            t="office",
            group="g",
            n=number,
            phase=phase,
            primary=primary,
            term=number,
            cause="",
            by="c",
        )

    def set_member_state(self, name, state, count=2):
        row = self.control_state.doc["members"][name]
        self.apply_record(t="member", name=name, **{**row, "state": state, "count": count})

    async def position(self):
        """Returns the position that a read arriving now must see, or None if none is proven in time."""
        return await self.group.read_clock.request_position(self.logical_clock.next_timestamp())


def make_members(*positions):
    return {
        name: Member("replica" if index else "primary", (1, position))
        for index, (name, position) in enumerate(zip(("p", "r1", "r2", "r3"), positions))
    }


def run_with_proxy(scenario, *args, **kwargs):
    loop = WarpLoop()
    asyncio.set_event_loop(loop)

    async def go():
        return await scenario(Proxy(*args, **kwargs))

    try:
        return loop.run_until_complete(go())
    finally:
        end_all(loop)
        loop.close()
        asyncio.set_event_loop(None)


def test_the_primary_answers_with_the_position():
    async def go(proxy):
        assert await proxy.position() == (1, 9) and not proxy.count["fetched_others"]
        assert [member.requests for member in proxy.members.values()] == [1, 0, 0]

    run_with_proxy(go, make_members(9, 3, 4))


@pytest.mark.parametrize("reaction", ["mute", "refused", "gone", "full", "busy", "odd", "lost"])
def test_without_an_answer_of_the_primary_all_others_together_prove_the_position(reaction):
    async def go(proxy):
        proxy.members["p"].reaction = reaction
        assert await proxy.position() == (1, 8) and proxy.count["fetched_others"]

    run_with_proxy(go, make_members(9, 8, 4))


@pytest.mark.parametrize(
    "reaction", ["mute", "refused", "gone", "full", "busy", "odd", "lost", "silent"]
)
@pytest.mark.parametrize("other", ["r1", "r2", "r3"])
def test_all_but_one_of_the_others_prove_nothing(reaction, other):
    async def go(proxy):
        proxy.members["p"].reaction = "refused"
        proxy.members[other].reaction = reaction
        assert await proxy.position() is None and not proxy.count["fetched_others"]
        proxy.members[other].reaction = "fine"
        assert await proxy.position() == (1, 8)

    run_with_proxy(go, make_members(9, 8, 4, 7))


@pytest.mark.parametrize(
    ("members", "sync"),
    [
        (make_members(9, 8, 7), 0),
        (make_members(9, 8), 1),
        (make_members(9), 1),
        (make_members(9, 8, 7), 2),
    ],
)
def test_too_few_others_prove_nothing(members, sync):
    async def go(proxy):
        assert await proxy.position() == (1, 9)
        proxy.members["p"].reaction = "lost"
        assert await proxy.position() is None

    run_with_proxy(go, members, sync=sync)


def test_without_a_lease_the_others_prove_nothing():
    async def go(proxy):
        proxy.members["p"].reaction, proxy.core_connection.holds_lease = "refused", False
        assert await proxy.position() is None
        proxy.core_connection.holds_lease = True
        assert await proxy.position() == (1, 8)

    run_with_proxy(go, make_members(9, 8, 4))


def test_a_departed_member_without_a_replacement_may_have_had_a_later_position():
    async def go(proxy):
        proxy.members["p"].reaction = "refused"
        proxy.apply_record(t="member", name="r3", state="gone", addr="1.1.1.1:3")
        assert await proxy.position() is None
        proxy.members["r3n"] = Member("replica", (1, 9))
        proxy.apply_record(
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
        assert await proxy.position() == (1, 9)

    run_with_proxy(go, make_members(9, 8, 4, 9))


def test_a_new_member_must_answer_too():
    async def go(proxy):
        proxy.members["p"].reaction = "refused"
        assert await proxy.position() == (1, 8)
        proxy.members["r3"] = Member("replica", (1, 9))
        proxy.members["r3"].reaction = "mute"
        proxy.apply_record(
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
        assert await proxy.position() is None
        proxy.members["r3"].reaction = "fine"
        assert await proxy.position() == (1, 9)

    run_with_proxy(go, make_members(9, 8, 4))


def test_a_draining_member_must_answer_too():
    async def go(proxy):
        proxy.members["p"].reaction = "refused"
        proxy.set_member_state("r1", "draining")
        assert await proxy.position() == (1, 8)
        proxy.members["r1"].reaction = "lost"
        assert await proxy.position() is None

    run_with_proxy(go, make_members(9, 8, 4))


def test_a_former_primary_proves_nothing_and_is_suspected():
    async def go(proxy):
        proxy.members["p"].role = "replica"
        assert await proxy.position() is None and not proxy.count["fetched_others"]
        assert ("g", "p", "replica") in proxy.suspicions

    run_with_proxy(go, make_members(9, 8, 4))


@DRAWN
@given(
    st.lists(st.integers(0, 20), min_size=3, max_size=4),
    st.lists(st.sampled_from(["fine", "refused", "busy"]), min_size=3, max_size=3),
    st.integers(0, 20),
)
def test_a_proven_position_is_not_below_an_acknowledged_commit(logs, reactions, behind):
    """A commit is acknowledged once one replica has it, so none is above the highest replica."""

    async def go(proxy):
        acknowledged = max(logs[1:])
        for name, reaction in zip(list(proxy.members)[1:], reactions):
            proxy.members[name].reaction = reaction
        proxy.members["p"].reaction = "refused"
        position = await proxy.position()
        all_answered = all(
            member.reaction == "fine" for name, member in proxy.members.items() if name != "p"
        )
        assert (position is not None) == all_answered and (
            position is None or position >= (1, acknowledged)
        )

    run_with_proxy(go, make_members(max(logs[1:]) + behind, *logs[1:]))


ZONES = {"p": "a", "r1": "a", "r2": "b", "r3": "c"}


def test_a_near_member_is_picked_and_the_primary_only_if_it_is_near():
    async def go(proxy):
        assert proxy.group.pick_member((0, 0), set()).name == "p"
        proxy.group.members["p"].in_flight = 1
        assert proxy.group.pick_member((0, 0), set()).name == "r1"
        assert proxy.group.pick_member((0, 0), {"r1", "p"}).name == "r2"
        assert proxy.group.pick_member((0, 0), {"r1", "r2", "p"}).name == "r3"
        assert proxy.group.pick_member((0, 0), set(ZONES)) is None

    run_with_proxy(go, make_members(9, 8, 4, 7), zones=ZONES)


def test_a_draining_or_evacuated_member_is_not_picked():
    async def go(proxy):
        proxy.set_member_state("r1", "draining")
        assert proxy.group.pick_member((0, 0), {"p"}).name == "r2"
        proxy.apply_record(t="hall", hall="b", state="emptied", by="op")
        assert proxy.group.pick_member((0, 0), {"p"}).name == "r3"
        proxy.apply_record(t="hall", hall="b", state="open", by="op")
        proxy.set_member_state("r1", "ready", 3)
        assert proxy.group.pick_member((0, 0), {"p"}).name == "r1"

    run_with_proxy(go, make_members(9, 8, 4, 7), zones=ZONES)


@pytest.mark.parametrize(
    ("leave", "limit_us"),
    [
        (lambda proxy: proxy.set_member_state("p", "draining"), DRAIN_US),
        (
            lambda proxy: proxy.apply_record(t="hall", hall="a", state="emptied", by="op"),
            EVACUATION_US,
        ),
    ],
)
@pytest.mark.parametrize("fresh", [False, True])
def test_a_leaving_primary_accepts_statements_until_the_limit_unless_the_state_is_a_snapshot(
    leave, limit_us, fresh
):
    async def go(proxy):
        if fresh:
            proxy.group.apply_control_state = (
                lambda control_state, _, apply=proxy.group.apply_control_state: apply(
                    control_state, True
                )
            )
        leave(proxy)
        for delay_s, accepts in ((0, not fresh), (limit_us / 1e6 - 0.01, not fresh), (0.02, False)):
            await asyncio.sleep(delay_s)
            assert proxy.group.accepts_new_statements(proxy.group.primary) == accepts
            picked = proxy.group.pick_member((0, 0), {"r1", "r2", "r3"})
            assert (picked is not None and picked.name == "p") == accepts

    run_with_proxy(go, make_members(9, 8, 4, 7), zones=ZONES)


MEMBER_CONDITIONS = st.fixed_dictionaries(
    {
        "avoided": st.booleans(),
        "deprioritized": st.booleans(),
        "in_flight": st.sampled_from([0, 1, 4, 9]),
        "log": st.integers(0, 3),
        "leaving": st.sampled_from(["", "", "drains", "emptied"]),
        "excluded": st.booleans(),
    }
)


@DRAWN
@given(st.lists(MEMBER_CONDITIONS, min_size=4, max_size=4), st.integers(0, 3))
def test_the_picked_member_is_never_worse_than_another_candidate(conditions, required):
    async def go(proxy):
        by_name = dict(zip(proxy.members, conditions))
        now = proxy.clock.now()
        for name, condition in by_name.items():
            if condition["leaving"] == "drains":
                proxy.set_member_state(name, "draining")
            elif condition["leaving"]:
                proxy.apply_record(
                    t="hall",
                    hall="abcd"[list(by_name).index(name)],
                    state="emptied",
                    by="op",
                )
            member = proxy.group.members[name]
            member.avoided_until, member.deprioritized_until, member.in_flight = (
                now + 1000 * condition["avoided"],
                now + 1000 * condition["deprioritized"],
                condition["in_flight"],
            )
            if condition["log"]:
                member.log_progress.note_position((1, condition["log"]), 0)
        excluded = {name for name, condition in by_name.items() if condition["excluded"]}
        picked = proxy.group.pick_member((1, required), excluded)
        candidates = [
            name
            for name, condition in by_name.items()
            if name not in excluded and (not condition["leaving"] or name == "p")
        ]
        assert (picked is None) == (not candidates)
        if picked is None:
            return
        assert picked.name in candidates

        def is_behind(name):
            condition = by_name[name]
            return condition["deprioritized"] and (
                (1, condition["log"]) if condition["log"] else (0, 0)
            ) < (1, required)

        chosen = by_name[picked.name]
        if any(not by_name[name]["avoided"] for name in candidates):
            assert not chosen["avoided"]
        equal = [name for name in candidates if by_name[name]["avoided"] == chosen["avoided"]]
        if any(not is_behind(name) for name in equal):
            assert not is_behind(picked.name)
        equal = [name for name in equal if is_behind(name) == is_behind(picked.name)]
        if any(by_name[name]["in_flight"] < 4 for name in equal):
            assert chosen["in_flight"] < 4

    run_with_proxy(go, make_members(9, 8, 4, 7), zones={"p": "a", "r1": "b", "r2": "c", "r3": "d"})


def test_a_failover_has_no_primary_and_completes_the_future_of_the_next_change():
    async def go(proxy):
        change = proxy.group.next_leadership_change()
        proxy.set_leadership("move", "p")
        assert change.done() and proxy.group.primary is None and proxy.group.leased_primary is None
        proxy.set_leadership("swap", "p")
        assert proxy.group.primary.name == "p" and proxy.group.leased_primary is None
        proxy.set_leadership("serve", "r1")
        assert proxy.group.primary.name == proxy.group.leased_primary.name == "r1"
        proxy.core_connection.holds_lease = False
        assert proxy.group.leased_primary is None and proxy.group.primary.name == "r1"

    run_with_proxy(go, make_members(9, 8, 4))


def test_a_failing_primary_is_suspected_unless_it_answered_recently():
    async def go(proxy):
        primary = proxy.group.members["p"]
        await asyncio.sleep(1)
        proxy.group.note_answer(primary)
        proxy.group.note_failure(primary, "mute")
        assert proxy.suspicions == [] and primary.avoided_until <= proxy.clock.now()
        proxy.group.note_failure(primary, "reset")
        assert (
            proxy.suspicions == [("g", "p", "reset")] and primary.avoided_until > proxy.clock.now()
        )
        proxy.group.note_failure(proxy.group.members["r1"], "refused")
        assert len(proxy.suspicions) == 1
        await asyncio.sleep(1)
        proxy.group.note_failure(primary, "mute")
        assert len(proxy.suspicions) == 2
        proxy.group.note_answer(primary)
        assert primary.avoided_until == primary.failures == 0

    run_with_proxy(go, make_members(9, 8, 4))


def test_a_member_at_a_new_address_is_a_new_member():
    async def go(proxy):
        old = proxy.group.members["r1"]
        row = proxy.control_state.doc["members"]["r1"]
        proxy.apply_record(t="member", name="r1", **{**row, "addr": "1.1.1.1:77"})
        assert proxy.group.members["r1"] is not old and old.pool.closed
        proxy.apply_record(t="member", name="r1", state="gone", addr="1.1.1.1:77")
        assert set(proxy.group.members) == {"p", "r2"}

    run_with_proxy(go, make_members(9, 8, 4))


def test_retries_stay_within_a_budget():
    async def go(proxy):
        assert [proxy.group.try_spend_retry() for _ in range(11)] == [True] * 10 + [False]
        for _ in range(11):
            proxy.group.add_retry_credit()
        assert [proxy.group.try_spend_retry() for _ in range(2)] == [True, False]
        for _ in range(1000):
            proxy.group.add_retry_credit()
        assert [proxy.group.try_spend_retry() for _ in range(21)] == [True] * 20 + [False]

    run_with_proxy(go, make_members(9, 8, 4))
