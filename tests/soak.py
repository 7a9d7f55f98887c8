"""A seeded soak of the system's real processes among stand-ins, judged by the rules.

Disruptions are drawn from the seed and overlap: members crash, come back, fall behind and are replaced; processes get
signals; configurations change and zones are evacuated. Half of them aim at one group within a few seconds, as a lost
replica that returns before the primary crashes. Clients go on using open connections until their process is gone.
With `--departures` the other half is of members that leave while beats of theirs are late and arrive twice.

    python tests/soak.py --seeds 1-50 --seconds 24
    python tests/soak.py --seeds 1-50 --seconds 24 --departures
    python tests/soak.py --seeds 1-2 --edges 120 --services 8
"""

import argparse
import asyncio
import random
import sys
import tempfile
import time
from pathlib import Path

from stand_in.checkout import link_build
from stand_in.scene import Scene

BOUNDS = {"ContactMs": 4000, "AckMs": 5000, "StretchMs": 12000, "DrainMs": 4000, "GraceS": 4}
WARM_UP_S, REST_S = 1.0, 7.0
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
            aimed = self.random.random() < 0.5
            kind = self.AIMED if aimed else self.random.choice(self.SINGLE)
            group = self.random.choice(sorted(self.scene.groups))
            self.log.append(f"{loop.time() - started_at:.2f} {kind} {group}")
            self.tasks.append(asyncio.ensure_future(getattr(self, kind)(self.scene.groups[group])))
            await asyncio.sleep(self.random.uniform(0.1, MAX_GAP_S))
        await asyncio.gather(*self.tasks)

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
            await asyncio.sleep(4)

    async def stop_control_node(self, _group):
        name = self._machines("core", 1)
        async with self._control:
            await self.scene.fleet.terminate(*name)
            await asyncio.sleep(4)

    async def freeze_control_node(self, _group):
        name, seconds = self._machines("core", 1), self.random.uniform(0.2, 3.0)
        async with self._control:
            self.scene.fleet.freeze(*name)
            await asyncio.sleep(seconds)
            self.scene.fleet.thaw(*name)
            await asyncio.sleep(4)

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


async def play(folder, seed, seconds, edges=3, services=2, clients=4, soak_type=Soak):
    """Plays one seed; returns its verdict and the disruptions."""
    root = link_build(folder)
    options = {"edges": edges, "services": services, "bounds": BOUNDS}
    async with Scene(root, Path(folder) / "run", promote_ms=1000, lag_ms=8, **options) as scene:
        soak = soak_type(scene, seed)
        total_s = seconds + REST_S + 10
        _, _ = await asyncio.gather(
            scene.play(total_s, clients=clients), asyncio.ensure_future(soak.run(seconds))
        )
        return await scene.verdict(), soak.log


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-3", help="the first and the last seed")
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--edges", type=int, default=3)
    parser.add_argument("--services", type=int, default=2)
    parser.add_argument("--departures", action="store_true")
    parser.add_argument("--keep", help="a folder for the logs of plays that broke a rule")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    soak_type = DepartureSoak if arguments.departures else Soak
    options = {"edges": arguments.edges, "services": arguments.services, "soak_type": soak_type}
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as folder:
            began = time.monotonic()
            verdict, log = asyncio.run(play(folder, seed, arguments.seconds, **options))
            bad = verdict.violations or verdict.own_ends
            broken += bool(bad)
            print(
                f"seed {seed}: served {verdict.served} of {verdict.owed}, {len(log)} disruptions, "
                f"{time.monotonic() - began:.0f} s, {'BROKEN' if bad else 'no rule broken'}",
                flush=True,
            )
            for line in [*map(str, verdict.violations[:6]), *map(str, verdict.own_ends.items())]:
                print("   ", line)
            if bad:
                print("   ", "; ".join(log))
            if bad and arguments.keep:
                kept = Path(arguments.keep) / f"seed-{seed}"
                for path in Path(folder).glob("run/*/*.log"):
                    kept.mkdir(parents=True, exist_ok=True)
                    (kept / path.name.replace(".log", f"-{path.parent.name}.log")).write_text(
                        path.read_text(errors="replace")
                    )
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
