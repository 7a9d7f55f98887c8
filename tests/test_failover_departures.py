"""Generated departures, restarts, crashes and partitions of a simulated group: no acknowledged commit may be lost."""

import asyncio
import random

from failover_model import GENERATED, run_simulated
from hypothesis import given
from hypothesis import strategies as st


class Departures:
    """Planned member replacements, in which the new member joins first, and temporary faults.

    Method names are the kinds of events.
    """

    def __init__(self, group):
        self.group, self.tasks, self.count = group, [], 0

    def staying(self):
        return sorted(
            name
            for name, member in self.group.members.items()
            if member.running and self.group.is_staying(name)
        )

    def start(self, kind, choice, seconds):
        self.tasks.append(asyncio.ensure_future(getattr(self, "_" + kind)(choice, seconds)))

    async def _replace(self, choice, seconds):
        """Replaces any member; drain times vary, and some members end without signing off."""
        group = self.group
        if len(self.staying()) < 3:
            return
        names = self.staying()
        primary = group.leadership["primary"]
        name = primary if choice % 2 and primary in names else names[choice % len(names)]
        self.count += 1
        group.join(f"n{self.count}")
        await asyncio.sleep(seconds)
        if name in self.staying():
            await group.drain_and_end(name, 7.3 + (choice % 5) * 1.5, signs_off=choice % 7 != 0)

    async def _replace_with_late_heartbeat(self, choice, seconds):
        """Replaces any member; the new one receives for some seconds before its first heartbeat."""
        group = self.group
        names = self.staying()
        if len(names) < 3:
            return
        self.count += 1
        new = f"n{self.count}"
        group.start_unannounced(new)
        asyncio.get_running_loop().call_later(seconds + choice % 3, group.announce, new)
        await group.drain_and_end(names[choice % len(names)])

    async def _restart(self, choice, seconds):
        """Restarts a replica, which ends its pause; it is away for a tenth of a second."""
        names = [
            name
            for name, member in sorted(self.group.members.items())
            if member.running and member.role == "replica"
        ]
        if not names:
            return
        member = self.group.members[names[choice % len(names)]]
        member.running = False
        await asyncio.sleep(0.1)
        name = next(name for name, other in self.group.members.items() if other is member)
        if self.group.chain.control_state.doc["members"].get(name, {}).get("state") != "gone":
            member.running, member.paused_term = True, 0

    async def _stop_receiving(self, choice, seconds):
        await self._without("receiving", choice, seconds)

    async def _cut_off(self, choice, seconds):
        await self._without("reachable", choice, seconds)

    async def _without(self, attribute, choice, seconds):
        """Clears an attribute of one member for some seconds; at most one member at a time."""
        group = self.group
        if any(
            not getattr(member, attribute) for member in group.members.values() if member.running
        ):
            return
        names = sorted(name for name, member in group.members.items() if member.running)
        affected = group.members[names[choice % len(names)]]
        setattr(affected, attribute, False)
        await asyncio.sleep(1 + 2 * seconds)
        setattr(affected, attribute, True)

    async def _lose_head_role(self, choice, seconds):
        self.group.chain.is_head = False
        await asyncio.sleep(seconds)
        self.group.chain.is_head = True

    async def _suspect(self, choice, seconds):
        self.group.coordinator.suspect("g", self.group.leadership["primary"], "mute")

    async def _single_receiver(self, choice, seconds):
        """Lets a single replica receive for a while, and afterwards mostly none."""
        group = self.group
        names = sorted(
            name
            for name, member in group.members.items()
            if member.running and member.role == "replica"
        )
        for name in names:
            group.members[name].receiving = name == names[choice % len(names)]
        await asyncio.sleep(3 * seconds)
        for name in names:
            group.members[name].receiving = choice % 3 == 0

    async def _cut_off_by_resets(self, choice, seconds):
        """Cuts one member off from the control nodes, which find its port closed."""
        group = self.group
        if any(member.refuses_control for member in group.members.values()):
            return
        names = sorted(name for name, member in group.members.items() if member.running)
        affected = group.members[names[choice % len(names)]]
        affected.refuses_control = True
        group.coordinator.suspect("g", affected.name, "no beats")
        await asyncio.sleep(1 + 2 * seconds)
        affected.refuses_control = False

    async def _delay_records(self, choice, seconds):
        """Lets proxies apply records late."""
        self.group.in_force_delay_s = 1.5
        await asyncio.sleep(seconds)
        self.group.in_force_delay_s = 0.0

    async def _crash(self, choice, seconds):
        """Ends a member, which returns with its log unless it was signed off."""
        names = sorted(name for name, member in self.group.members.items() if member.running)
        crashed = self.group.members[names[choice % len(names)]]
        crashed.running = False
        await asyncio.sleep(seconds / 2)
        self.group.coordinator.suspect("g", crashed.name, "no beats")
        await asyncio.sleep(seconds / 2 + choice % 3)
        name = next(name for name, member in self.group.members.items() if member is crashed)
        if self.group.chain.control_state.doc["members"][name]["state"] != "gone":
            crashed.running, crashed.paused_term = True, 0


async def lose_two_primaries(group):
    for _ in range(2):
        primary = group.leadership["primary"]
        group.set_reachability(primary, running=False)
        group.coordinator.suspect("g", primary, "refused")
        await asyncio.sleep(3)


async def run_departures(group, rng, events):
    group.rng = rng
    departures = Departures(group)
    for kind, choice, seconds in events:
        departures.start(kind, choice, seconds)
        await asyncio.sleep(seconds)
    await asyncio.gather(*departures.tasks)


def departure_events(*kinds):
    event = st.tuples(
        st.sampled_from(kinds), st.integers(0, 209), st.sampled_from([0.05, 0.3, 0.8, 2.0, 2.5])
    )
    return st.lists(event, min_size=3, max_size=14)


@GENERATED
@given(
    departure_events(
        "replace", "replace", "stop_receiving", "cut_off", "lose_head_role", "suspect"
    ),
    st.integers(0, 1 << 30),
)
def test_a_group_serves_again_after_generated_planned_departures(events, seed):
    async def go(group):
        await run_departures(group, random.Random(seed), events)
        await group.wait_until(lambda: group.settled and not group.evidence.unproven, 40)
        assert group.members[group.leadership["primary"]].running

    run_simulated(go, zones={"p": "b", "r2": "b"})


@GENERATED
@given(
    departure_events(
        "replace",
        "replace",
        "replace",
        "single_receiver",
        "single_receiver",
        "lose_head_role",
        "crash",
    ),
    st.integers(0, 1 << 30),
)
def test_generated_departures_and_crashes_lose_no_acknowledged_commit(events, seed):
    """Finally loses two primaries; `become_primary` checks the log of each promoted member."""

    async def go(group):
        await run_departures(group, random.Random(seed), events)
        await lose_two_primaries(group)

    run_simulated(go, zones={"p": "b", "r2": "b"})


@GENERATED
@given(
    departure_events(
        "cut_off_by_resets",
        "cut_off_by_resets",
        "cut_off_by_resets",
        "single_receiver",
        "single_receiver",
        "crash",
        "delay_records",
        "lose_head_role",
        "replace",
    ),
    st.integers(0, 1 << 30),
)
def test_generated_partitions_with_resets_lose_no_acknowledged_commit(events, seed):
    """Finally loses two primaries; `become_primary` checks the log of each promoted member."""

    async def go(group):
        await run_departures(group, random.Random(seed), events)
        await lose_two_primaries(group)

    run_simulated(go, zones={"p": "b", "r2": "b"})


@GENERATED
@given(
    departure_events(
        "replace_with_late_heartbeat",
        "replace_with_late_heartbeat",
        "restart",
        "restart",
        "restart",
        "single_receiver",
        "delay_records",
        "lose_head_role",
        "suspect",
    ),
    st.integers(0, 1 << 30),
)
def test_generated_restarts_and_late_heartbeats_lose_no_acknowledged_commit(events, seed):
    """Guards against commits that rest on a member beside the candidate; `become_primary` checks each promoted log."""

    async def go(group):
        group.promotion_delay_s = 0.6
        await run_departures(group, random.Random(seed), events)
        await asyncio.sleep(10)

    run_simulated(go, zones={"p": "b", "r2": "b"})
