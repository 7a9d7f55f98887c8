"""Disruptions of the stand-in estate that a seed draws, for the soaks of real processes."""

import asyncio
import random

__all__ = ["BOUNDS", "DepartureSoak", "Soak"]

BOUNDS = {"ContactMs": 4000, "AckMs": 5000, "StretchMs": 12000, "DrainMs": 4000, "GraceS": 4}
CATCH_UP_S = 4.0
"""How long a control machine counts as lost after its return."""
WARM_UP_S = 1.0
MAX_GAP_S = 1.5
MAX_LATE_S = 9.0
MAX_SERVES_ON_S = 10.0


class Soak:
    """Draws and starts the disruptions of one play; method names are their kinds."""

    SINGLE = (
        "crash_replica",
        "crash_primary",
        "darken_primary",
        "deafen_replica",
        "replace_member",
        "kill_proxies",
        "stop_proxies",
        "kill_control_node",
        "stop_control_node",
        "freeze_control_node",
        "reload",
        "configure",
        "evacuate",
    )
    AIMED = "lose_replica_and_primary"
    REST_S = 17.0
    """How long clients go on after the last disruption was started."""

    def __init__(self, scene, seed):
        self.scene, self.random = scene, random.Random(seed)
        self.tasks, self.log = [], []
        self._control = asyncio.Lock()
        self._busy, self._replaced = set(), 0

    async def run(self, seconds):
        """Starts disruptions for `seconds` and waits until all of them are over."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.sleep(WARM_UP_S)
        while loop.time() < started_at + seconds:
            kind = self._draw_kind()
            group = self.random.choice(sorted(self.scene.groups))
            self.log.append(f"{loop.time() - started_at:.2f} {kind} {group}")
            self.tasks.append(asyncio.ensure_future(getattr(self, kind)(self.scene.groups[group])))
            await asyncio.sleep(self.random.uniform(0.1, MAX_GAP_S))
        await asyncio.gather(*self.tasks)

    async def observe(self, seconds):
        """Watches the estate for `seconds` beside its clients; a subclass may probe more."""

    def notes(self):
        """Returns lines on what was observed."""
        return []

    def violations(self):
        """Returns the rules that were broken before the soak's own eyes, beside those that the judge finds."""
        return []

    def _draw_kind(self):
        aimed = self.random.random() < 0.5
        return self.AIMED if aimed else self.random.choice(self.SINGLE)

    def _take(self, members):
        """Returns one of the members that run and have no other disruption, or None."""
        free = sorted((m for m in members if m.running and m.id not in self._busy), key=id_of)
        if not free:
            return None
        member = self.random.choice(free)
        self._busy.add(member.id)
        return member

    def _take_replica(self, group):
        return self._take([m for m in group.members.values() if not m.leads])

    def _take_primary(self, group):
        return self._take([group.leader] if group.leader else [])

    def _free(self, *members):
        self._busy.difference_update(m.id for m in members if m)

    async def lose_replica_and_primary(self, group):
        """A replica crashes and returns while the other receives nothing; then the primary crashes."""
        lost, other = self._take_replica(group), self._take_replica(group)
        delays = [self.random.uniform(2.5, 4.5), self.random.uniform(0.1, 1.2)]
        delays += [self.random.uniform(0.0, 1.0), self.random.uniform(0.5, 4.0)]
        if lost is not None and other is not None:
            await lost.crash()
            await asyncio.sleep(delays[0])
            other.deaf = True
            await asyncio.sleep(delays[1])
            await lost.start()
            await asyncio.sleep(delays[2])
            primary = self._take_primary(group)
            if primary is not None:
                await primary.crash()
            await asyncio.sleep(delays[3])
            other.deaf = False
            group.changed.fire()
            if primary is not None:
                await primary.start()
            self._free(primary)
        self._free(lost, other)

    async def crash_replica(self, group):
        await self._crash(self._take_replica(group))

    async def crash_primary(self, group):
        await self._crash(self._take_primary(group))

    async def _crash(self, member):
        seconds = self.random.uniform(0.3, 6.0)
        if member is not None:
            await member.crash()
            await asyncio.sleep(seconds)
            await member.start()
        self._free(member)

    async def darken_primary(self, group):
        member, seconds = self._take_primary(group), self.random.uniform(0.3, 4.0)
        if member is not None:
            member.go_dark()
            await asyncio.sleep(seconds)
            await member.go_light()
        self._free(member)

    async def deafen_replica(self, group):
        member, seconds = self._take_replica(group), self.random.uniform(0.3, 4.0)
        if member is not None:
            member.deaf = True
            await asyncio.sleep(seconds)
            member.deaf = False
            group.changed.fire()
        self._free(member)

    async def replace_member(self, group):
        """A planned end, after which a new member has the address and the log."""
        member = self._take(group.members.values())
        if member is not None:
            await self.scene.release(member)
        self._free(member)

    def _machines(self, node_class, count):
        names = sorted(
            m.name for m in self.scene.fleet.machines.values() if m.node_class == node_class
        )
        return self.random.sample(names, min(count, len(names)))

    async def kill_proxies(self, _group):
        self.scene.fleet.kill(*self._machines("edge", self.random.randint(1, 2)))

    async def stop_proxies(self, _group):
        """SIGTERM for several proxies, one shortly after the other; each is started again."""
        names = self._machines("edge", self.random.randint(1, 2))
        pause = self.random.uniform(0.0, 1.0)
        stops = []
        for name in names:
            stops.append(asyncio.ensure_future(self.scene.fleet.terminate(name)))
            await asyncio.sleep(pause)
        await asyncio.gather(*stops)

    async def kill_control_node(self, _group):
        name = self._machines("core", 1)
        async with self._control:
            self.scene.fleet.kill(*name)
            await asyncio.sleep(CATCH_UP_S)

    async def stop_control_node(self, _group):
        name = self._machines("core", 1)
        async with self._control:
            await self.scene.fleet.terminate(*name)
            await asyncio.sleep(CATCH_UP_S)

    async def freeze_control_node(self, _group):
        name, seconds = self._machines("core", 1), self.random.uniform(0.2, 3.0)
        async with self._control:
            self.scene.fleet.freeze(*name)
            await asyncio.sleep(seconds)
            self.scene.fleet.thaw(*name)
            await asyncio.sleep(CATCH_UP_S)

    async def reload(self, _group):
        names = [*self._machines("edge", 2), *self._machines("core", 1)]
        for name in names:
            self.scene.fleet.hup(name)
            await asyncio.sleep(0.05)

    async def configure(self, _group):
        for _ in range(self.random.randint(1, 3)):
            await self.scene.configure()

    async def evacuate(self, _group):
        zone, seconds = self.random.choice(list(self.scene.zones)), self.random.uniform(0.5, 4.0)
        await self.scene.operator.begin(zone)
        await asyncio.sleep(seconds)
        await self.scene.operator.finish(zone)


class DepartureSoak(Soak):
    """Members depart while some of their beats are on their way.

    The rule on departures holds for machines in touch, so the processes of even seeds are left alone.
    """

    AIMED = "depart_with_late_beats"
    WITHOUT_MACHINES = (
        "crash_replica",
        "crash_primary",
        "deafen_replica",
        "replace_member",
        "configure",
        "evacuate",
    )

    def __init__(self, scene, seed):
        super().__init__(scene, seed)
        if seed % 2 == 0:
            self.SINGLE = self.WITHOUT_MACHINES

    async def depart_with_late_beats(self, group):
        """Beats are held up, then the member leaves by way of other nodes and serves on; the beats arrive."""
        member = self._take(group.members.values())
        held = [
            (self.random.uniform(0.5, MAX_LATE_S), self.random.randint(1, 2))
            for _ in range(self.random.randint(1, 4))
        ]
        pause_s, drains = self.random.uniform(0.0, 1.5), self.random.random() < 0.3
        serves_on_s = self.random.uniform(BOUNDS["DrainMs"] / 1000, MAX_SERVES_ON_S)
        if member is None:
            return
        late = [asyncio.ensure_future(member.say_late(*beat)) for beat in held]
        await asyncio.sleep(pause_s)
        if drains:
            await self.scene.release(member, 1000 * serves_on_s)
        else:
            await self.scene.sign_off(member, 1000 * serves_on_s)
        self._free(member)
        await asyncio.gather(*late)


def id_of(member):
    return member.id
