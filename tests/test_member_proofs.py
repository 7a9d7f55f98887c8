"""Tests which position the other members prove while the primary does not answer."""

import asyncio
import collections
import types

import pytest

from petrelhaven.control.failover.evidence import Evidence
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.reads.read_clock import LogicalClock
from petrelhaven.proxy.routing.group import MemberGroup
from petrelhaven.proxy.routing.remote_contact import RemoteContact
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import NotSent, Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks

LOGS = {"m1": (1, 9), "m2": (1, 135), "m3": (1, 137)}


class _Connection:
    lost = False

    def __init__(self, name):
        self._name = name

    async def _status(self):
        return {"role": "replica", "term": 1, "pos": LOGS[self._name], "held": 0}

    def send_command(self, verb):
        return self._status()

    def close(self):
        self.lost = True


class _Wire:
    """Opens connections after a while; `opened` has their members, in order."""

    def __init__(self):
        self.opened = []

    async def open(self, address, group, member, limit_us, tenant=""):
        self.opened.append(member)
        await asyncio.sleep(0.01)
        if member not in LOGS:
            raise NotSent("refused")
        return _Connection(member)


class LoopClock(Clock):
    """The time of the event loop, which is virtual in these tests."""

    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6) + 1


def _make_group(names, size, holds_lease, lower_bound=(0, 0)):
    core_connection = types.SimpleNamespace(
        holds_lease=holds_lease, proxy_count=3, suspect=lambda *_: None
    )
    proxy = types.SimpleNamespace(
        clock=LoopClock(),
        tasks=BackgroundTasks(),
        logical_clock=LogicalClock(),
        core_connection=core_connection,
        wire=_Wire(),
        zone_distance=lambda zone: 0,
        remote_contact=RemoteContact(LoopClock()),
        drain_us=0,
        evacuation_us=0,
        count=collections.Counter(),
        bounds=lambda: types.SimpleNamespace(fetch_us=150_000, join_us=400_000, lanes=2),
    )
    control_state = ControlState()
    for index, name in enumerate(["p", *names]):
        control_state.apply(
            index + 1,
            {
                "t": "member",
                "name": name,
                "group": "g",
                "hall": "a",
                "addr": f"10.0.0.{index}:1",
                "role": "replica",
                "state": "ready",
                "slots": 5,
                "count": 1,
            },
        )
    control_state.doc["sizes"]["g"] = size
    control_state.doc["evidence"]["g"] = Evidence(lower_bound=lower_bound).to_document()
    control_state.apply(
        control_state.seq + 1,
        {
            "t": "office",
            "group": "g",
            "n": 1,
            "phase": "serve",
            "primary": "p",
            "term": 1,
            "cause": "",
        },
    )
    group = MemberGroup("g", proxy)
    group.sync_replicas = 1
    group.apply_control_state(control_state, True)
    return group


def test_all_others_under_a_lease_prove_their_highest_log(warp):
    async def go():
        assert await _make_group(["m1", "m2", "m3"], 4, True).proofs.position_from_others("p") == (
            1,
            137,
        )

    warp(go())


def test_others_prove_nothing_until_the_primary_has_been_silent_for_a_while(warp):
    """Guards against reads below acknowledged commits during a partition.

    A proxy in the same partition as the primary may still acknowledge a commit that only an unknown
    replica has.
    """

    async def go():
        group = _make_group(["m1", "m2", "m3"], 4, True)
        primary, clock = group.members["p"], group._clock
        group.proofs._request_status_ignoring_faults = _nothing
        await clock.sleep(1_000_000)
        primary.note_asked(clock.now() - 100_000)
        started_at = asyncio.get_running_loop().time()
        await group.proofs.position_from_others("p")
        assert asyncio.get_running_loop().time() - started_at > 0.14
        started_at = asyncio.get_running_loop().time()
        await group.proofs.position_from_others("p")
        assert asyncio.get_running_loop().time() - started_at < 0.05

    warp(go())


def test_a_recent_answer_of_the_primary_means_that_a_partition_may_be_recent(warp):
    async def go():
        group = _make_group(["m1", "m2", "m3"], 4, True)
        primary, clock = group.members["p"], group._clock
        await clock.sleep(2_000_000)
        primary.note_asked(clock.now() - 1_000_000)
        primary.last_answer_at = clock.now() - 10_000
        with pytest.raises(Unreachable):
            await group.proofs.position_from_others("p")

    warp(go())


async def _nothing(member):
    """A STATUS request that the primary does not answer."""


def test_a_proxy_without_a_lease_may_not_know_all_members_and_proves_nothing(warp):
    async def go():
        with pytest.raises(Unreachable):
            await _make_group(["m1", "m2"], 3, False).proofs.position_from_others("p")

    warp(go())


def test_fewer_others_than_the_group_ever_had_prove_nothing(warp):
    async def go():
        with pytest.raises(Unreachable):
            await _make_group(["m1", "m2"], 4, True).proofs.position_from_others("p")
        with pytest.raises(Unreachable):
            await _make_group(["m1"], 2, True).proofs.position_from_others("p")

    warp(go())


@pytest.mark.parametrize(("lower_bound", "proves"), [((1, 137), True), ((1, 138), False)])
def test_others_behind_a_departed_member_prove_nothing(warp, lower_bound, proves):
    async def go():
        group = _make_group(["m1", "m2", "m3"], 4, True, lower_bound)
        if proves:
            assert await group.proofs.position_from_others("p") == (1, 137)
        else:
            with pytest.raises(Unreachable):
                await group.proofs.position_from_others("p")

    warp(go())


def test_concurrent_status_requests_share_one_connection(warp):
    """Guards against connections that nobody closes, which count for the member's limit."""

    async def go():
        group = _make_group(["m1", "m2"], 3, True)
        member, opened = group.members["m1"], group._proxy.wire.opened
        rows = await asyncio.gather(*[group.status(member) for _ in range(3)])
        assert [row["pos"] for row in rows] == [LOGS["m1"]] * 3 and opened == ["m1"]
        member.status_connection.lost = True
        await group.status(member)
        assert opened == ["m1", "m1"]

    warp(go())


def test_concurrent_status_requests_fail_with_their_connection_and_are_repeated(warp):
    async def go():
        group = _make_group(["m1", "m4"], 3, True)
        member, opened = group.members["m4"], group._proxy.wire.opened
        for attempts in (1, 2):
            requests = [group.status(member) for _ in range(3)]
            faults = await asyncio.gather(*requests, return_exceptions=True)
            assert [type(fault) for fault in faults] == [NotSent] * 3
            assert opened == ["m4"] * attempts

    warp(go())


def test_a_status_connection_that_opens_after_its_member_left_is_closed(warp):
    async def go():
        group = _make_group(["m1", "m2"], 3, True)
        member, closed = group.members["m1"], []
        connection = _Connection("m1")
        connection.close = lambda: closed.append("m1")
        group._proxy.wire.open = lambda *_: _after(0.01, connection)
        request = asyncio.ensure_future(group.status(member))
        await asyncio.sleep(0.005)
        group.members.pop("m1").close()
        await request
        assert closed == ["m1"]

    warp(go())


async def _after(seconds, result):
    await asyncio.sleep(seconds)
    return result
