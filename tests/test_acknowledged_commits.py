"""Real processes: what is acknowledged while a leader changes is in the log of the member that is promoted (LOST).

From the moment the platform is asked, the candidate receives nothing while another replica, which nobody counts on,
does: each commit that rests on that one alone is missing in the candidate's log when it is promoted.
"""

import asyncio
import random

import pytest
from machine_time import wait_within
from stand_in.route import Route
from stand_in.scene import Scene
from stand_in.session import Session
from stand_in.until import until

pytestmark = pytest.mark.xdist_group("acknowledged-commits")

WRITERS, PAUSE_S, REST_S = 16, 0.02, 0.5
WARM_UP_S, AFTER_S = 1.5, 1.5
PROMOTE_MS = 600
LATE_BEAT_S = 60.0
"""Later than the end of the leader change, however busy the machine is."""
DOWN_S = 0.1
CUT_S = 5.0
LED_WITHIN_S = 20
BOUNDS = {"ContactMs": 4000, "DrainMs": 4000, "GraceS": 4}


class Writers:
    """Clients that write on and on, half of them in transactions; `told` has the answer to each write by its id."""

    def __init__(self, scene):
        self._fronts = [front for _, _, front, _ in scene.fleet.fronts()]
        self._stopped = False
        self._tasks = []
        self.told = {}

    def start(self):
        self._tasks = [asyncio.ensure_future(self._write(number)) for number in range(WRITERS)]

    async def stop(self):
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _write(self, number):
        operate = self._transact if number % 2 else self._put
        pauses, count = random.Random(number), 0
        session = await Session.open(self._fronts[number % len(self._fronts)], "pri0", f"u{number}")
        while not self._stopped:
            id = f"{number:04x}{count:010x}"
            count += 1
            self.told[f"{id}01"] = await operate(session, id, f"PUT {number:x} d{count:x}")
            await asyncio.sleep(pauses.expovariate(1 / PAUSE_S))
        session.close(polite=True)

    async def _put(self, session, id, text):
        answer = await session.ask(f"{id}01", text)
        return answer.code or "ok"

    async def _transact(self, session, id, text):
        await session.ask(f"{id}00", "BEGIN")
        answer = await session.ask(f"{id}01", text)
        await asyncio.sleep(REST_S)
        if answer.code:
            await session.ask(f"{id}02", "ROLLBACK")
            return answer.code
        answer = await session.ask(f"{id}02", "COMMIT")
        return answer.code or "ok"


def lost_writes(group, told):
    """The ids of writes that were answered with success and cut back by a promote."""
    return [
        id
        for entry in group.entries
        if entry.cut_at is not None
        for id, _, _ in entry.writes
        if told.get(id) == "ok"
    ]


def play(built, folder, change_leader):
    """Has clients write while `change_leader(scene, group)` replaces the primary; returns what was lost and told."""

    async def go():
        options = {"services": 1, "promote_ms": PROMOTE_MS, "bounds": BOUNDS}
        async with Scene(built, folder / "run", **options) as scene:
            scene.routes[:] = [Route("pri0", "svc0", timeout_ms=2000)]
            await scene.configure()
            group = scene.groups["svc0"]
            writers = Writers(scene)
            writers.start()
            await asyncio.sleep(WARM_UP_S)
            served_before = len(writers.told)
            await change_leader(scene, group)
            served_by_then = len(writers.told)
            await asyncio.sleep(AFTER_S)
            await writers.stop()
            codes = list(writers.told.values())
            assert "ok" in codes[:served_before] and "ok" in codes[served_by_then:], codes
            return lost_writes(group, writers.told)

    return asyncio.run(go())


async def deafen_candidate(scene, group):
    """Waits until the platform is asked, and has the candidate receive nothing from then on; returns it."""
    await until(lambda: scene.cloud.calls, LED_WITHIN_S, gap=0.002)
    candidate = group.members[scene.cloud.calls[0][2]]
    candidate.deaf = True
    return candidate


async def until_it_leads(scene, group, candidate):
    await wait_within(scene.fleet, LED_WITHIN_S, lambda: group.leader is candidate)
    candidate.deaf = False


async def release_beside_a_late_beat(scene, group):
    old = group.leader
    new = await scene.join(first_beat_after_s=LATE_BEAT_S)
    leaving = asyncio.ensure_future(scene.leave(old))
    candidate = await deafen_candidate(scene, group)
    assert candidate is not new
    await until_it_leads(scene, group, candidate)
    leaving.cancel()


async def restart_other_replica(scene, group, old):
    """Restarts the paused replica while the platform promotes the candidate."""
    candidate = await deafen_candidate(scene, group)
    other = next(m for m in group.members.values() if m not in (old, candidate))
    await other.crash()
    await asyncio.sleep(DOWN_S)
    await other.start()
    await until_it_leads(scene, group, candidate)


async def restart_amid_a_release(scene, group):
    leaving = asyncio.ensure_future(scene.leave(group.leader))
    await restart_other_replica(scene, group, group.leader)
    leaving.cancel()


async def restart_amid_a_failover(scene, group):
    old = group.leader
    cut = asyncio.ensure_future(scene.cut_from_control(old, CUT_S))
    await restart_other_replica(scene, group, old)
    await cut


def test_a_new_member_whose_first_beat_is_late_costs_no_acknowledged_commit(built, tmp_path):
    """Guards against acknowledged commits that only a member has which no control node knows (review/4)."""
    assert play(built, tmp_path, release_beside_a_late_beat) == []


@pytest.mark.parametrize("change_leader", [restart_amid_a_release, restart_amid_a_failover])
def test_a_paused_replica_that_restarts_during_a_promotion_costs_no_acknowledged_commit(
    built, tmp_path, change_leader
):
    """Guards against acknowledged commits that only a replica has whose pause ended with its restart (review/5)."""
    assert play(built, tmp_path, change_leader) == []
