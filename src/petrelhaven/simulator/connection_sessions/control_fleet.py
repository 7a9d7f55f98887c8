"""A simulated fleet whose cores are replaced, wiped, cut and given other seeds while operators send orders."""

import asyncio
import json
import random

from petrelhaven.simulator.connection_sessions.control_judge import judge_orders
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet
from petrelhaven.simulator.connection_sessions.operator import Operator
from petrelhaven.simulator.connection_sessions.operator_order import (
    ConfigOrder,
    EvacuationOrder,
    OrderRecord,
    ReadRecord,
)
from petrelhaven.simulator.net import SimulatedMachine

__all__ = ["CATCH_UP_S", "CONTACT_S", "ControlFleet"]

CATCH_UP_S = 4.0
CONTACT_S = 5.0
_APPLY_S = 5.0
_LIST_LAG_S = 3.0
_GRACE_S = 6.0
_CHECK_S = 0.05
_UNDER_WAY = 8
_SEEDS = 3


class ControlFleet(SimulatedFleet):
    """`orders` and `reads` keep what operators sent and read; `trouble_at` when each core was last in trouble.

    A core is in trouble while it is down, frozen or cut from another core, as the users' pages count losses.
    """

    def __init__(self, seed, losses=1, edges=2, **kw):
        super().__init__(seed, edges=edges, losses=losses, **kw)
        self.orders: list[OrderRecord] = []
        self.reads: list[ReadRecord] = []
        self.trouble_at: dict[str, float] = {}
        self.unsettled_at = 0.0
        self.on_acknowledged, self.on_answered = [], []
        self._founding = True
        self._own_seeds: dict[str, list[str]] = {}
        self._listed: dict[str, float] = {}
        self._retired: set[str] = set()
        self._condition = None
        self._number = 2 * losses + 1
        self.config_number = 1
        self._missing = 0
        self._borne = True
        self.settled_spans: list[list[float]] = []
        self._edge_trouble_at: dict[str, float] = {}

    def seeds_for(self, b):
        """The seeds of the settings file that machine `b` starts with."""
        return list(self._own_seeds.get(b.name, self.seeds))

    def may_decide_first_view(self, b):
        """True at the very first start alone."""
        return self._founding

    def boot_core(self, b):
        """Powers a core on, unless it is gone for good."""
        if b.name not in self._retired:
            self._listed[b.name] = self.loop.time()
            super().boot_core(b)

    async def start(self):
        """Powers everything on, waits until every core counts, and begins to look at the cores' condition."""
        await super().start()
        self._founding = False
        await self.until(self.is_complete, 30, "every core counts")
        self.trouble_at.clear()
        self.loop.create_task(self._check())

    def operator(self, lost_share: float = 0.0) -> Operator:
        """Another operator."""
        return Operator(self, random.Random(self.rng.random()), lost_share)

    def next_config(self, timeout_us: int = 2_000_000, routes: int = 0) -> ConfigOrder:
        """A configuration under the next number, with so many further routes."""
        self.config_number += 1
        return self.config(self.config_number, timeout_us, routes)

    def config(self, version: int, timeout_us: int = 2_000_000, routes: int = 0) -> ConfigOrder:
        """A configuration; what differs between two of one number is the timeout."""
        doc = json.loads(self.configuration(version, timeout_us))
        first = doc["routes"][0]
        doc["routes"] += [
            {**first, "name": f"more-{i}", "host": f"more-{i}"} for i in range(routes)
        ]
        return ConfigOrder(version, json.dumps(doc))

    def listed_cores(self) -> list[SimulatedMachine]:
        """The cores on the operators' list, which lags."""
        now = self.loop.time()
        listed = [
            c
            for c in self.cores
            if c.name in self._listed and now - self._listed[c.name] > _LIST_LAG_S
        ]
        return listed or list(self.cores)

    def order_answered(self, core: SimulatedMachine, record: OrderRecord) -> None:
        """A core has answered an order well; the answer may still be lost."""
        for call in list(self.on_answered):
            call(core, record)

    def order_acknowledged(self, core: SimulatedMachine, record: OrderRecord) -> None:
        """An operator has heard the acknowledgement of an order."""
        if isinstance(record.order, ConfigOrder):
            self.taken.append((self.loop.time(), record.order.version))
        for call in list(self.on_acknowledged):
            call(core, record)

    def chain_order(self) -> list[SimulatedMachine]:
        """The cores in the order of the newest view's chain."""
        views = [c.node.chain.view for c in self.cores if c.node and c.node.chain.view]
        newest = max(views, key=lambda view: view.number, default=None)
        by_name = {c.name: c for c in self.cores}
        return [by_name[n] for n in (newest.chain if newest else ()) if n in by_name]

    def is_complete(self) -> bool:
        """Whether as many cores as can count are in the newest view's chain and hold all that its head holds."""
        chain = self.chain_order()
        most = 2 * self.losses + 1
        nodes = [c.node for c in chain]
        if len(chain) != min(len(self.cores), most) or None in nodes:
            return False
        newest = max(s.chain.view.number for s in nodes if s.chain.view)
        counted = max(
            (s.chain.view for s in nodes if s.chain.view and s.chain.view.number == newest),
            key=lambda view: view.number,
        ).members
        positions = [s.store.control_state.seq for s in nodes]
        return (
            len(counted) == len(chain)
            and all(s.chain.view and s.chain.view.number == newest for s in nodes)
            and all(s.chain.is_complete for s in nodes)
            and max(positions) - min(positions) <= _UNDER_WAY
        )

    def may_lose_a_disk(self, core: SimulatedMachine) -> bool:
        """Whether one more core may be lost with its disk: at most `losses` are lost at a time."""
        since = self.loop.time() - CATCH_UP_S
        others = [c for c in self.cores if c is not core]
        lost = sum(self.trouble_at.get(c.name, -1.0) > since for c in others)
        return lost + self._missing < self.losses

    def wipe(self, core: SimulatedMachine) -> None:
        """Ends a core and empties its disk."""
        core.kill()
        core.disk.lose()
        self.note_trouble(core)

    def add_core(self, zone: str) -> SimulatedMachine:
        """Powers on an empty core at a new address."""
        self._number += 1
        machine = SimulatedMachine(self.net, f"c{self._number}", zone, self._rate())
        self.cores.append(machine)
        self.note_trouble(machine)
        self.boot_core(machine)
        return machine

    def retire(self, core: SimulatedMachine) -> None:
        """Takes a core away for good, and its address out of the settings files."""
        core.kill(silent=core.name in self.net.silent)
        self._retired.add(core.name)
        self.cores.remove(core)
        self.trouble_at.pop(core.name, None)
        self._renew_seeds()

    async def replace_unplanned(self, core: SimulatedMachine, after_s: float) -> SimulatedMachine:
        """A core is gone without a word, and an empty one comes later."""
        self.net.silent.add(core.name)
        self.retire(core)
        self._missing += 1
        await asyncio.sleep(after_s)
        self._missing -= 1
        return self.add_core(core.zone)

    async def replace_planned(self, core: SimulatedMachine, overlap_s: float) -> SimulatedMachine:
        """An empty core comes first, then the old one is told to leave and is gone after the grace time at most."""
        new = self.add_core(core.zone)
        await asyncio.sleep(overlap_s)
        await self.leave_for(core, new)
        return new

    async def leave_for(self, core: SimulatedMachine, new: SimulatedMachine) -> None:
        """A core whose successor has come is told to leave, and is gone for good."""
        if core.up and core.node is not None:
            await asyncio.wait([core.tasks.spawn(core.node.drain())], timeout=_GRACE_S)
        if core in self.cores:
            self.retire(core)
            self.note_trouble(new)

    def exchange_seeds(self, names: list[str]) -> None:
        """All settings files name other seeds; running cores read them again."""
        self.seeds = [f"sim:{n}" for n in names]
        for c in self.cores:
            if c.node is not None:
                c.node.seeds[:] = self.seeds

    def set_own_seeds(self, machine: SimulatedMachine, names: list[str]) -> None:
        """The settings file that `box` starts with next names these seeds."""
        self._own_seeds[machine.name] = [f"sim:{n}" for n in names]

    def _renew_seeds(self):
        alive = [c.name for c in self.cores]
        remaining = [s.split(":")[1] for s in self.seeds if s.split(":")[1] in alive]
        more = [n for n in alive if n not in remaining]
        self.exchange_seeds((remaining + more)[:_SEEDS])

    def note_trouble(self, core: SimulatedMachine) -> None:
        """Counts a core as lost from now on until it has had time to catch up."""
        self.trouble_at[core.name] = self.loop.time()

    def core_in_trouble(self, core: SimulatedMachine) -> bool:
        """Whether a core is down, frozen, or not in touch, both ways, with more than half of the cores."""
        if not core.up or core.frozen:
            return True
        reached = [
            o
            for o in self.cores
            if not self.net.is_cut(core.name, o.name) and not self.net.is_cut(o.name, core.name)
        ]
        return len(reached) <= len(self.cores) // 2

    def majority_connected(self) -> bool:
        """Whether more than half of the cores run and reach each other."""
        running = [c for c in self.cores if c.up and not c.frozen]
        connected = [
            c
            for c in running
            if sum(
                not self.net.is_cut(c.name, o.name) and not self.net.is_cut(o.name, c.name)
                for o in running
            )
            > len(self.cores) // 2
        ]
        return len(connected) > len(self.cores) // 2

    async def _check(self):
        """Keeps when each core was in trouble, when any core's condition changed, and the settled spans."""
        while True:
            now = self.loop.time()
            condition = []
            for c in self.cores:
                troubled = self.core_in_trouble(c)
                if troubled:
                    self.trouble_at[c.name] = now
                condition.append((c.name, c.life, c.up, c.frozen, troubled))
            if condition != self._condition:
                self.unsettled_at = now
                self._condition = condition
                self.history.trouble(now, now + _CHECK_S, "core")
            self._check_proxies(now)
            self._check_losses(now)
            if self._borne and self.majority_connected() and now - self.unsettled_at > CONTACT_S:
                self._settled_at(now)
            await asyncio.sleep(_CHECK_S)

    def _check_losses(self, now):
        """Once more cores were lost at a time than must be borne, nothing is asked until all are whole again."""
        lost = sum(self.trouble_at.get(c.name, -1.0) > now - CATCH_UP_S for c in self.cores)
        if lost + self._missing > self.losses:
            self._borne = False
        elif lost + self._missing == 0:
            self._borne = True

    def _settled_at(self, now):
        if self.settled_spans and now - self.settled_spans[-1][1] < 2 * _CHECK_S:
            self.settled_spans[-1][1] = now
        else:
            self.settled_spans.append([now, now])

    def _check_proxies(self, now):
        """An edge in touch with a settled core must hold what was acknowledged some seconds ago."""
        healthy = [c for c in self.cores if not self.core_in_trouble(c)]
        due = max((v for t, v in self.taken if t < now - _APPLY_S), default=0)
        settled = self.settled_spans and now - self.settled_spans[-1][1] < 2 * _CHECK_S
        for e in self.edges:
            cut = any(
                self.net.is_cut(e.name, c.name) or self.net.is_cut(c.name, e.name) for c in healthy
            )
            if not e.up or e.frozen or cut or not settled:
                self._edge_trouble_at[e.name] = now
            elif now - self._edge_trouble_at.get(e.name, 0.0) > CONTACT_S:
                configuration = e.node.core_connection.control_state.doc["manifest"]
                applied = configuration["version"] if configuration else 0
                if applied < due:
                    self.find("NOT IN FORCE", f"{e.name} holds {applied}, {due} was acknowledged")

    async def evacuate(self, operator: Operator, zone: str, pause_s: float) -> list[bool]:
        """Begins an evacuation and ends it; whether each order was acknowledged."""
        acknowledged = []
        for state in ("emptied", "open"):
            sent = self.loop.time()
            self.zones_taken.pop(zone, None)
            if state == "open":
                self._end_evacuations(zone, sent)
            heard = await operator.send(EvacuationOrder(zone, state))
            acknowledged.append(heard)
            if heard:
                self.zones_taken[zone] = state
                if state == "emptied":
                    self.history.evacuations.append((zone, self.loop.time(), None))
                    await asyncio.sleep(pause_s)
        return acknowledged

    def _end_evacuations(self, zone, at):
        self.history.evacuations = [
            (h, since, at if h == zone and until is None else until)
            for h, since, until in self.history.evacuations
        ]

    def verdict(self):
        """Everything that must never happen and did, the orders' rules among it."""
        return super().verdict() + judge_orders(self.orders, self.reads, self.settled_spans)
