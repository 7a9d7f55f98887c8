"""Disruptions of control machines that a seed draws, beside proxies that are out of reach meanwhile."""

import asyncio
import contextlib

from disruptions import BOUNDS, CATCH_UP_S, Soak
from stand_in.configuration_reader import ConfigurationReader
from stand_in.judge import is_in_touch
from stand_in.route import Route
from stand_in.route_probe import RouteProber

__all__ = ["ControlSoak"]

MAX_PROBED_ROUTES = 4
SEED_LAG_S = 3.0


class ControlSoak(Soak):
    """Control machines are replaced at other addresses, lose power and disks; proxies are frozen, killed and stopped.

    Every play begins with the replacement of all control machines, as in the incident of 2026-12-04. Configurations add
    and remove routes, and each proxy is asked for these.
    """

    CONTROL = (
        "replace_control_machine",
        "lose_power_after_acknowledgement",
        "lose_disk_after_acknowledgement",
        "kill_control_after_acknowledgement",
        "kill_control_node",
        "stop_control_node",
        "freeze_control_node",
    )
    SINGLE = (
        *CONTROL,
        "change_routes",
        "change_routes",
        "change_routes",
        "freeze_proxies",
        "kill_proxies",
        "stop_proxies",
        "reload",
        "evacuate",
        "crash_replica",
        "crash_primary",
    )
    AIMED = "replace_all_control_machines"
    REST_S = 24.0

    def __init__(self, scene, seed):
        super().__init__(scene, seed)
        self._aimed = False
        self._added, self._removed = [], []

    def notes(self):
        """Returns how many probes met a proxy in touch, and thus were judged, and how many reads were answered."""
        history = self.scene.history
        judged = sum(
            is_in_touch(history, p.proxy, p.sent, BOUNDS["ContactMs"]) for p in history.probes
        )
        return [f"{judged} of {len(history.probes)} probes in touch", f"{len(history.reads)} reads"]

    async def observe(self, seconds):
        """Asks every proxy for the routes added and removed last, and every control node for its configuration."""
        history, fleet = self.scene.history, self.scene.fleet
        prober = RouteProber(history, fleet.fronts, self._probed_databases)
        reader = ConfigurationReader(history, fleet.controls)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(prober.run(), reader.run())

    def _probed_databases(self):
        return [route.database for route in [*self._added, *self._removed[-MAX_PROBED_ROUTES:]]]

    def _draw_kind(self):
        if not self._aimed:
            self._aimed = True
            return self.AIMED
        kinds = [k for k in self.SINGLE if k not in self.CONTROL or not self._control.locked()]
        return self.random.choice(kinds)

    def _controls(self):
        return sorted(m.name for m in self.scene.fleet.machines.values() if m.does_serve("control"))

    async def replace_all_control_machines(self, _group):
        """All control machines are replaced, one after the other, while proxies are frozen."""
        frozen = self._machines("edge", self.random.randint(1, 2))
        loses_disk = self.random.random() < 0.5
        async with self._control:
            self.scene.fleet.freeze(*frozen)
            for name in self.random.sample(self._controls(), 3):
                await self._replace(name)
            if loses_disk:
                await self._lose_power(wipes=True)
            self.scene.fleet.thaw(*frozen)
            await self._recover()

    async def replace_control_machine(self, _group):
        async with self._control:
            await self._replace(self.random.choice(self._controls()))
            await self._recover()

    async def _replace(self, name):
        fleet = self.scene.fleet
        await fleet.replace(name, gap_s=self.random.uniform(0.2, 1.5))
        await asyncio.sleep(self.random.uniform(0.5, SEED_LAG_S))
        fleet.publish_controls()
        await asyncio.sleep(CATCH_UP_S)

    async def lose_power_after_acknowledgement(self, _group):
        async with self._control:
            await self._lose_power(wipes=False)
            await self._recover()

    async def lose_disk_after_acknowledgement(self, _group):
        async with self._control:
            await self._lose_power(wipes=True)
            await self._recover()

    async def kill_control_after_acknowledgement(self, _group):
        """A series of changes, each right before all control processes are killed; connections to them are refused."""
        async with self._control:
            for _ in range(self.random.randint(1, 3)):
                self._draw_route_change()
                await self.scene.configure()
                self.scene.fleet.kill(*self._controls())
                await asyncio.sleep(self.random.uniform(0.0, 1.5))
            await self._recover()

    async def _lose_power(self, wipes):
        """Right after a change was acknowledged, all control machines lose power and one may lose its disk."""
        controls, fleet = self._controls(), self.scene.fleet
        wiped = self.random.sample(controls, 1 if wipes else 0)
        others = [name for name in controls if name not in wiped]
        down_s = self.random.uniform(0.3, 2.0)
        self._draw_route_change()
        await self.scene.configure()
        await asyncio.gather(
            fleet.power_off(*wiped, wipe=True, silent=True), fleet.power_off(*others, silent=True)
        )
        await asyncio.sleep(down_s)
        await fleet.power_on(*controls)

    async def _recover(self):
        """Until all control machines count as present again, and at times until proxies are in touch."""
        await asyncio.sleep(CATCH_UP_S + self.random.uniform(0.0, CATCH_UP_S))

    async def freeze_proxies(self, _group):
        names = self._machines("edge", self.random.randint(1, 2))
        seconds = self.random.uniform(0.3, 12.0)
        self.scene.fleet.freeze(*names)
        await asyncio.sleep(seconds)
        self.scene.fleet.thaw(*names)

    async def change_routes(self, _group):
        """A series of configurations, each of which adds a route or removes one."""
        for _ in range(self.random.randint(1, 4)):
            self._draw_route_change()
            await self.scene.configure()

    def _draw_route_change(self):
        removes = len(self._added) >= MAX_PROBED_ROUTES or self.random.random() < 0.4
        if removes and self._added:
            route = self._added.pop(self.random.randrange(len(self._added)))
            self._removed.append(route)
            self.scene.routes.remove(route)
        else:
            number = len(self._added) + len(self._removed)
            service = self.random.choice(sorted(self.scene.groups))
            route = Route(f"probe{number}", service)
            self._added.append(route)
            self.scene.routes.append(route)
