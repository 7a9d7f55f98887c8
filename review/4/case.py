"""A new replica counts for commits before its first beat arrives, while the primary is replaced."""

# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, D107, E402, E501, PLR2004, RET504 (as in tests/)

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

from estate import Member, Session, is_troubled, play_case, scene
from stand_in.group import Group

NEAR_S, FAR_S = 0.0005, 0.012
"""One way inside and between regions, as SYSTEM says for Nordvik: 0.5 ms and 12 ms."""
LATE_S = 3.0
"""How late the beat comes; the pages: "A beat may come seconds late"."""
WRITERS, PAUSE_S = 13, 0.015
"""Clients, and the mean pause of each between two writes."""
WORK_MS, PROMOTE_MS, SLOTS, CONN_LIMIT = 11, 300, 13, 130
BEFORE_S, AFTER_S = 3.0, 4.0


class RegionGroup(Group):
    """Replicates with the delay of the way to the replica and back; each zone is a region of its own."""

    def _way(self, member):
        return NEAR_S if member.zone == self.leader.zone else FAR_S

    async def feed(self, member):
        """Starts a delivery for every entry that the member lacks, in order."""
        sent = None
        while True:
            await self.changed.wait_for(lambda last=sent: self._has_news(member, last))
            leader = self.leader
            if leader is None or leader is member:
                sent = None
                await asyncio.sleep(0.001)
                continue
            sent = (leader, self.term, leader.log[-1] if leader.log else None)
            asyncio.ensure_future(self._deliver(member, leader, self.term))

    def _has_news(self, member, last):
        if not self._behind(member):
            return False
        leader = self.leader
        return last != (leader, self.term, leader.log[-1] if leader.log else None)

    async def _deliver(self, member, leader, term):
        upto = len(leader.log)
        way = self._way(member)
        await asyncio.sleep(way)
        if (self.leader, self.term) != (leader, term) or not self._behind(member):
            return
        member.follow()
        entries = leader.log[len(member.log) : upto]
        if not entries:
            return
        member.receive(entries)
        await asyncio.sleep(way)
        for entry in entries:
            entry.synced = True
        self.changed.fire()


class LateBeats:
    """The calls of a new member: the first beat comes late, every other call at once."""

    def __init__(self, record, caller):
        self._record, self._caller, self._first = record, caller, True

    async def call(self, address, method, path, body=None, headers=None):
        """Calls as `Caller` does; after a second of silence the member goes on to the next node."""
        if not self._first:
            status, got = await self._caller.call(address, method, path, body, headers)
            self._record.add(f"a beat of the new member is answered {status} by {address}")
            return status, got
        self._first = False
        self._record.add(f"the first beat of the new member leaves for {address}; it comes late")
        asyncio.ensure_future(self._deliver(address, method, path, body, headers))
        await asyncio.sleep(self._caller.seconds)
        return 0, b""

    async def _deliver(self, *call):
        await asyncio.sleep(LATE_S)
        status, _ = await self._caller.call(*call)
        self._record.add(f"the late beat arrives and is answered {status}")

    async def close(self):
        """Closes nothing."""


async def write_on(address, number, told, stop):
    """One client: single writes, one after the other; keeps the ids of those answered with success."""
    session = await Session.open(address, "pri0", f"u{number}")
    count, pauses = 0, random.Random(number)
    while not stop.is_set():
        id = f"{number:04x}{count:012x}"
        count += 1
        answer = await session.ask(id, f"PUT {number:x} d{count:x}")
        told[id] = (asyncio.get_running_loop().time(), answer.code or "ok")
        await asyncio.sleep(pauses.expovariate(1 / PAUSE_S))
    session.close(polite=True)


async def case(record, folder):
    """Returns whether every commit that a client was told of is in the log of the promoted member."""
    scene.Group = RegionGroup
    estate = scene.Scene(
        scene_root(),
        folder,
        services=1,
        work_ms=WORK_MS,
        promote_ms=PROMOTE_MS,
        slots=SLOTS,
        conn_limit=CONN_LIMIT,
        lag_ms=60,
    )
    async with estate:
        group = estate.groups["svc0"]
        old, told, stop = group.leader, {}, asyncio.Event()
        fronts = [address for _, _, address, _ in estate.fleet.fronts()]
        writers = [
            asyncio.ensure_future(write_on(fronts[n % len(fronts)], n, told, stop))
            for n in range(WRITERS)
        ]
        await asyncio.sleep(BEFORE_S)
        new = make_successor(estate, group, old)
        if is_troubled():
            new._beats._caller = LateBeats(record, new._beats._caller)
        await new.start()
        record.add(f"{new.id} starts at {new.address} in {new.zone}, to replace {old.id}")
        release = asyncio.ensure_future(old.release(estate.fleet.bounds["DrainMs"]))
        record.add(f"{old.id}, the primary, says that it is draining")
        async with asyncio.timeout(20):
            while group.leader is old:
                await asyncio.sleep(0.005)
        record.add(f"{group.leader.id} leads term {group.term}")
        await asyncio.sleep(AFTER_S)
        stop.set()
        await asyncio.gather(*writers, return_exceptions=True)
        await release
        held = report(record, estate, group, told)
    return held


def scene_root():
    """The repository's root."""
    return HERE.parent.parent


def make_successor(estate, group, old):
    """A new member beside `old`, at an address of its own, whose log comes by replication."""
    host, port = old.address.rsplit(":", 1)
    first, _, last = host.rpartition(".")
    address = f"{first}.{int(last) + 50}:{port}"
    new = Member(
        group, f"{old.id}n", address, old.zone, estate.fleet.listed_controls, revision="v2"
    )
    group.members[new.id] = new
    return new


def report(record, estate, group, told):
    """Writes down the calls and the outcome; returns whether no commit that a client knows of was lost."""
    for at, service, member, holder, fence, status in estate.cloud.calls:
        record.add(
            f"at {record.shift(at):.3f} {holder} asked for {member} of {service}, "
            f"fence {fence}: {status}"
        )
    outcomes = {}
    for _, code in told.values():
        outcomes[code] = outcomes.get(code, 0) + 1
    record.add(f"writes by what their client was told: {outcomes}")
    lost = []
    for entry in group.entries:
        for id, thing, data in entry.writes:
            if entry.cut_at is not None and told.get(id, (0, ""))[1] == "ok":
                lost.append(id)
                record.add(
                    f"LOST: write {id} ({thing} {data}), commit {entry.term}.{entry.number}, was "
                    f"answered with success at {record.shift(told[id][0]):.3f} and cut at "
                    f"{record.shift(entry.cut_at):.3f}"
                )
    record.add(f"{len(lost)} acknowledged commits are not in the log of the promoted member")
    return not lost


if __name__ == "__main__":
    sys.exit(play_case(HERE, case))
