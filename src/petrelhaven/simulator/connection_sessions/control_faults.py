"""The faults of cores and the operators' work in a storm against control."""

import asyncio
import contextlib
import random

from petrelhaven.simulator.connection_sessions.faults import Faults
from petrelhaven.simulator.connection_sessions.operator_order import OrderRecord
from petrelhaven.simulator.net import SimulatedMachine

__all__ = ["CONTROL_KINDS", "ControlFaults"]

_SHORT_FREEZE_US, _LONG_FREEZE_US = 4_000_000, 20_000_000
_SHORT_CUT_S, _LONG_CUT_S = (1.0, 8.0), (20.0, 26.0)
_MANY_ROUTES = 1_000
_MANY_CHANGES = 400
_AT_ONCE = 8
_ZONES = "abc"
_WAIT_FOR_ACK_S = 8.0

CORE_KINDS = [
    "kill_one",
    "kill_head",
    "kill_majority",
    "power_all",
    "freeze_short",
    "freeze_long",
    "cut_silent",
    "cut_one_way",
    "cut_refuse",
    "cut_long",
    "cut_head_then_freeze",
    "wipe_disk",
    "replace_planned",
    "replace_unplanned",
    "exchange_seeds",
    "restart_with_cut_seeds",
    "kill_after_ack",
    "wipe_after_ack",
    "power_all_after_ack",
    "kill_in_view_change",
    "core_torn",
    "noise",
]
ORDER_KINDS = [
    "config_storm",
    "config_race",
    "evacuations",
    "big_config",
    "many_changes",
    "answers_lost",
]
_MEMBER_KINDS = ["release_primary", "release_replica", "primary_crash", "replica_deaf"]
CONTROL_KINDS = CORE_KINDS + ORDER_KINDS + _MEMBER_KINDS


class ControlFaults(Faults):
    """Brings the faults of one schedule about; never are more disks lost at a time than the fleet must bear."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self.lost_share = 0.0

    def _place(self, r: random.Random) -> SimulatedMachine:
        chain = self.f.chain_order()
        if chain and r.random() < 0.6:
            return chain[r.choice((0, 0, len(chain) // 2, -1))]
        return r.choice(self.f.cores)

    def _others(self, core: SimulatedMachine) -> list[str]:
        return [c.name for c in self.f.cores if c is not core]

    async def _down(
        self, cores: list[SimulatedMachine], seconds: float, silent: bool = False
    ) -> None:
        for c in cores:
            if silent:
                self.f.net.silent.add(c.name)
            c.kill(silent)
        now = self.f.loop.time()
        self.f.history.trouble(now, now + seconds, "core")
        await asyncio.sleep(seconds)
        for c in cores:
            self.f.net.silent.discard(c.name)
            c.up or self.f.boot_core(c)

    async def _kill_one(self, r):
        await self._down([r.choice(self.f.cores)], r.uniform(0.1, 5), r.random() < 0.5)

    async def _kill_head(self, r):
        await self._down([self._place(r)], r.uniform(0.1, 5), r.random() < 0.5)

    async def _kill_majority(self, r):
        cores = r.sample(self.f.cores, self.f.losses + 1)
        await self._down(cores, r.uniform(0.1, 3), r.random() < 0.5)

    async def _power_all(self, r):
        await self._down(list(self.f.cores), r.uniform(0.1, 2), True)

    async def _freeze_short(self, r):
        self._place(r).freeze(_SHORT_FREEZE_US)
        await self._pause(r, 4, 4, "core")

    async def _freeze_long(self, r):
        self._place(r).freeze(_LONG_FREEZE_US)
        await self._pause(r, 20, 20, "core")

    async def _cut(self, core: SimulatedMachine, seconds: float, both: bool = True) -> None:
        self.f.cut([core.name], self._others(core), int(seconds * 1e6), both)
        await asyncio.sleep(seconds)

    async def _cut_silent(self, r):
        await self._cut(self._place(r), r.uniform(*_SHORT_CUT_S))

    async def _cut_one_way(self, r):
        core, seconds = self._place(r), r.uniform(*_SHORT_CUT_S)
        if r.random() < 0.5:
            return await self._cut(core, seconds, both=False)
        self.f.cut(self._others(core), [core.name], int(seconds * 1e6), both=False)
        return await asyncio.sleep(seconds)

    async def _cut_refuse(self, r):
        core, seconds = self._place(r), r.uniform(*_SHORT_CUT_S)
        self.f.net.refuse([core.name], self._others(core), int(seconds * 1e6))
        await self._pause(r, seconds, seconds, "core")

    async def _cut_long(self, r):
        await self._cut(self._place(r), r.uniform(*_LONG_CUT_S), r.random() < 0.7)

    async def _cut_head_then_freeze(self, r):
        head = (self.f.chain_order() or self.f.cores)[0]
        await self._cut(head, 3.5)
        if head.up:
            await self._cut(head, 3.5, both=False)
            head.freeze(_SHORT_FREEZE_US)
            await self._pause(r, 4, 4, "core")

    async def _wipe_disk(self, r):
        core = self._place(r)
        if self.f.may_lose_a_disk(core):
            await self._wipe(core, r)

    async def _wipe(self, core: SimulatedMachine, r: random.Random) -> None:
        self.f.wipe(core)
        await self._pause(r, 0.1, 4, "core")
        core.up or self.f.boot_core(core)

    async def _replace_planned(self, r):
        core = self._place(r)
        new = self.f.add_core(core.zone)
        await asyncio.sleep(r.uniform(0.5, 6))
        while core in self.f.cores and not self.f.may_lose_a_disk(core):
            await asyncio.sleep(0.1)
        if core in self.f.cores:
            await self.f.leave_for(core, new)

    async def _replace_unplanned(self, r):
        core = self._place(r)
        if self.f.may_lose_a_disk(core):
            await self.f.replace_unplanned(core, r.uniform(0.5, 4))

    async def _exchange_seeds(self, r):
        names = [c.name for c in self.f.cores]
        old = [s.split(":")[1] for s in self.f.seeds]
        new = [n for n in names if n not in old]
        r.shuffle(names)
        self.f.exchange_seeds((new + names)[: r.choice((1, 2, 3))])

    async def _restart_with_cut_seeds(self, r):
        core = self._place(r)
        named = r.choice([c for c in self.f.cores if c is not core])
        seconds = r.uniform(4, 20)
        self.f.set_own_seeds(core, [named.name])
        self.f.cut([named.name], [core.name], int(seconds * 1e6))
        await self._down([core], r.uniform(0.2, 2))
        await asyncio.sleep(seconds)

    async def _after_ack(self, then):
        """Runs `then(core)` right after the next acknowledgement that an operator hears."""
        heard = self.f.loop.create_future()

        def note(core: SimulatedMachine, record: OrderRecord) -> None:
            if not heard.done():
                heard.set_result(core)

        self.f.on_acknowledged.append(note)
        try:
            core = await asyncio.wait_for(heard, _WAIT_FOR_ACK_S)
        except TimeoutError:
            return
        finally:
            self.f.on_acknowledged.remove(note)
        await then(core)

    async def _kill_after_ack(self, r):
        await self._after_ack(lambda core: self._down([core], r.uniform(0.1, 4), True))

    async def _wipe_after_ack(self, r):
        async def wipe(core):
            head = (self.f.chain_order() or [core])[0]
            lost = r.choice((core, head))
            if lost in self.f.cores and self.f.may_lose_a_disk(lost):
                others = [c for c in self.f.cores if c is not lost] if r.random() < 0.4 else []
                down = [self._down(others, r.uniform(0.1, 2), True)] if others else []
                await asyncio.gather(self._wipe(lost, r), *down)

        await self._after_ack(wipe)

    async def _power_all_after_ack(self, r):
        await self._after_ack(lambda _: self._power_all(r))

    async def _kill_in_view_change(self, r):
        """A core is killed a moment after some core has taken a newer view."""

        def newest() -> int:
            views = [c.node.chain.view for c in self.f.cores if c.node and c.node.chain.view]
            return max((v.number for v in views), default=0)

        was = newest()
        for _ in range(1_000):
            if newest() > was:
                await asyncio.sleep(r.choice((0.0, 0.02, 0.1, 0.4)))
                return await self._down([self._place(r)], r.uniform(0.1, 2), r.random() < 0.5)
            await asyncio.sleep(0.01)
        return None

    def _operator(self):
        return self.f.operator(self.lost_share)

    async def _manifests(self, r):
        await self._config_storm(r)

    async def _config_storm(self, r):
        """Up to eight orders under way at once."""
        sends = []
        for _ in range(r.randrange(4, 20)):
            order = self.f.next_config(r.choice((1_500_000, 2_000_000, 2_500_000)))
            sends.append(asyncio.ensure_future(self._operator().send(order)))
            await asyncio.sleep(r.uniform(0.05, 0.4))
            if sum(not s.done() for s in sends) >= _AT_ONCE:
                await asyncio.wait(sends, return_when=asyncio.FIRST_COMPLETED)
        await asyncio.gather(*sends)

    async def _config_race(self, r):
        """Two operators send different contents under one number at the same time."""
        for _ in range(r.randrange(1, 5)):
            one = self.f.next_config(1_500_000)
            two = self.f.config(one.version, 2_500_000)
            await asyncio.gather(self._operator().send(one), self._operator().send(two))
            await asyncio.sleep(r.uniform(0.1, 1.2))

    async def _evacuations(self, r):
        if self._emptying:
            return
        self._emptying = True
        for _ in range(r.randrange(1, 4)):
            await self.f.evacuate(self._operator(), r.choice(_ZONES), r.uniform(0.2, 4))
        self._emptying = False

    async def _evacuate(self, r):
        await self._evacuations(r)

    async def _big_config(self, r):
        await self._operator().send(self.f.next_config(2_000_000, _MANY_ROUTES))

    async def _many_changes(self, r):
        """Hundreds of changes, eight under way at once."""
        numbers = iter(range(_MANY_CHANGES))

        async def send():
            operator = self._operator()
            for _ in numbers:
                await operator.send(self.f.next_config())

        await asyncio.gather(*[send() for _ in range(_AT_ONCE)])

    async def _answers_lost(self, r):
        """Most answers do not reach the operators whose work begins meanwhile."""
        self.lost_share = r.uniform(0.7, 0.9)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(r.uniform(4, 10))
        self.lost_share = 0.0
