"""What all other members prove of a position while the primary does not answer."""

import asyncio
import collections
import types

import pytest

from petrelhaven.control.failover.evidence import Evidence
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.proxy.reads.read_clock import Order
from petrelhaven.proxy.routing.group import MemberGroup
from petrelhaven.proxy.routing.outside_contact import OutsideContact
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import Unreachable
from petrelhaven.runtime.tasks import BackgroundTasks

LOGS = {"m1": (1, 9), "m2": (1, 135), "m3": (1, 137)}


class _Conn:
    lost = False

    def __init__(self, name):
        self._name = name

    async def _row(self):
        return {"role": "replica", "term": 1, "pos": LOGS[self._name], "held": 0}

    def send_system_verb(self, verb):
        return self._row()

    def close(self):
        self.lost = True


class _Wire:
    async def open(self, addr, group, member, us, tenant=""):
        return _Conn(member)


class LoopClock(Clock):
    """The loop's own time, which is virtual here."""

    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6) + 1


def _band(names, size, holds, floor=(0, 0)):
    core_connection = types.SimpleNamespace(
        holds_lease=holds, proxy_count=3, suspect=lambda *_: None
    )
    proxy = types.SimpleNamespace(
        clock=LoopClock(),
        tasks=BackgroundTasks(),
        order=Order(),
        core_connection=core_connection,
        wire=_Wire(),
        zone_distance=lambda h: 0,
        outside_contact=OutsideContact(LoopClock()),
        drain_us=0,
        empty_us=0,
        count=collections.Counter(),
        bounds=lambda: types.SimpleNamespace(fetch_us=150_000, join_us=400_000, lanes=2),
    )
    led = ControlState()
    for i, n in enumerate(["p", *names]):
        led.apply(
            i + 1,
            {
                "t": "member",
                "name": n,
                "group": "g",
                "hall": "a",
                "addr": f"10.0.0.{i}:1",
                "role": "replica",
                "state": "ready",
                "slots": 5,
                "count": 1,
            },
        )
    led.doc["sizes"]["g"] = size
    led.doc["evidence"]["g"] = Evidence(lower_bound=floor).to_document()
    led.apply(
        led.seq + 1,
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
    b = MemberGroup("g", proxy)
    b.sync_replicas = 1
    b.apply(led, True)
    return b


def test_all_others_under_a_lease_prove_their_highest_log(warp):
    async def go():
        assert await _band(["m1", "m2", "m3"], 4, True).proofs.position_of_others("p") == (1, 137)

    warp(go())


def test_others_prove_nothing_until_the_primary_has_been_silent_for_a_while(warp):
    """A proxy cut off together with it may still pass on what only an unknown replica has."""

    async def go():
        band = _band(["m1", "m2", "m3"], 4, True)
        primary, clock = band.members["p"], band._clock
        band.proofs._ask_quietly = _nothing
        await clock.sleep(1_000_000)
        primary.note_asked(clock.now() - 100_000)
        began = asyncio.get_running_loop().time()
        await band.proofs.position_of_others("p")
        assert asyncio.get_running_loop().time() - began > 0.14
        began = asyncio.get_running_loop().time()
        await band.proofs.position_of_others("p")
        assert asyncio.get_running_loop().time() - began < 0.05

    warp(go())


def test_a_primary_heard_right_before_proves_that_a_cut_may_be_young(warp):
    async def go():
        band = _band(["m1", "m2", "m3"], 4, True)
        primary, clock = band.members["p"], band._clock
        await clock.sleep(2_000_000)
        primary.note_asked(clock.now() - 1_000_000)
        primary.last_heard = clock.now() - 10_000
        with pytest.raises(Unreachable):
            await band.proofs.position_of_others("p")

    warp(go())


async def _nothing(member):
    """The primary is asked, and does not answer."""


def test_an_edge_without_a_lease_may_not_know_all_members_and_proves_nothing(warp):
    async def go():
        with pytest.raises(Unreachable):
            await _band(["m1", "m2"], 3, False).proofs.position_of_others("p")

    warp(go())


def test_fewer_others_than_the_group_ever_had_prove_nothing(warp):
    async def go():
        with pytest.raises(Unreachable):
            await _band(["m1", "m2"], 4, True).proofs.position_of_others("p")
        with pytest.raises(Unreachable):
            await _band(["m1"], 2, True).proofs.position_of_others("p")

    warp(go())


@pytest.mark.parametrize(("floor", "proves"), [((1, 137), True), ((1, 138), False)])
def test_others_that_lack_what_a_member_that_left_had_prove_nothing(warp, floor, proves):
    async def go():
        band = _band(["m1", "m2", "m3"], 4, True, floor)
        if proves:
            assert await band.proofs.position_of_others("p") == (1, 137)
        else:
            with pytest.raises(Unreachable):
                await band.proofs.position_of_others("p")

    warp(go())
