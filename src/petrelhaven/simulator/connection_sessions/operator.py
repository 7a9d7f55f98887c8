"""A simulated operator: sends an order to any core, and again, unchanged, to another one until it is acknowledged."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from petrelhaven.control.node import ControlNode
from petrelhaven.runtime.errors import Fault, NotReady, NotSent
from petrelhaven.simulator.connection_sessions.control_answer import (
    Answer,
    AnswerKind,
    answer_order,
)
from petrelhaven.simulator.connection_sessions.operator_order import (
    ConfigOrder,
    EvacuationOrder,
    OrderRecord,
    ReadRecord,
)
from petrelhaven.simulator.net import SimulatedMachine

__all__ = ["Operator"]

_SILENCE_US = 1_000_000
_ROUTES_A_SECOND = 500
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0
_CONFIG_SENT_AGAIN_S = 60.0
_EVACUATION_SENT_AGAIN_S = 6.0
_READ_AGAIN_S = 20.0


class Operator:
    """Calls cores as the platform's operator does; `lost_share` of the answers do not reach it."""

    def __init__(self, fleet, rng: random.Random, lost_share: float = 0.0) -> None:
        self._fleet, self._rng, self.lost_share = fleet, rng, lost_share

    async def send(
        self, order: ConfigOrder | EvacuationOrder, first: SimulatedMachine | None = None
    ) -> bool:
        """Sends one order until it is acknowledged or refused, or its time is over; whether it was acknowledged."""
        record = OrderRecord(order, self._now())
        self._fleet.orders.append(record)
        config = isinstance(order, ConfigOrder)
        end = self._now() + (_CONFIG_SENT_AGAIN_S if config else _EVACUATION_SENT_AGAIN_S)
        silence = _SILENCE_US
        if config:
            silence += order.text.count('"prefix"') * 1_000_000 // _ROUTES_A_SECOND
        pause, core = _FIRST_PAUSE_S, first or self._any_core(None)
        while record.acknowledged is None and not record.refusals and self._now() < end:
            record.calls += 1
            await self._call_once(core, record, silence)
            if record.acknowledged is None:
                await asyncio.sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(2 * pause, _LONGEST_PAUSE_S)
                core = self._any_core(core)
        record.ended = self._now()
        return record.acknowledged is not None

    async def _call_once(
        self, core: SimulatedMachine, record: OrderRecord, silence_us: int
    ) -> None:
        lost = self._rng.random() < self.lost_share

        async def ask(node: ControlNode) -> Answer:
            answer = await answer_order(node, record.order)
            record.taken |= answer.kind in (AnswerKind.TAKEN, AnswerKind.TAKEN_BEFORE)
            if answer.acknowledges and record.answered is None:
                record.answered = self._now()
                self._fleet.order_answered(core, record)
            if lost:
                await node.clock.sleep(2 * silence_us)
            return answer

        answer = await self._trip(core, ask, silence_us)
        if answer is None:
            return
        if answer.acknowledges:
            record.acknowledged = self._now()
            self._fleet.order_acknowledged(core, record)
        elif answer.kind is AnswerKind.REFUSED:
            record.refusals.append(f"{core.name}: {answer.status} {answer.note}")

    async def read_back(self, first: SimulatedMachine | None = None) -> ReadRecord | None:
        """The configuration in force as any core answers it; None when none did for long."""
        end, core = self._now() + _READ_AGAIN_S, first or self._any_core(None)
        while self._now() < end:
            began = self._now()

            async def ask(node: ControlNode) -> dict:
                configuration = (await node.control_state())["manifest"]
                if configuration is None:
                    raise NotReady("no configuration yet")
                return configuration

            configuration = await self._trip(core, ask, _SILENCE_US)
            if configuration is not None:
                read = ReadRecord(
                    core.name, began, self._now(), configuration["version"], configuration["text"]
                )
                self._fleet.reads.append(read)
                return read
            await asyncio.sleep(0.2)
            core = self._any_core(core)
        return None

    async def _trip(self, core: SimulatedMachine, ask: Callable[[ControlNode], Awaitable], us: int):
        """One call to a core; None for a silence or an answer that promises nothing."""

        async def there():
            if core.node is None:
                raise NotSent(core.name)
            return await ask(core.node)

        try:
            return await self._fleet.net.trip(self._fleet.out, core, there, us, fresh=True)
        except Fault:
            return None

    def _any_core(self, last: SimulatedMachine | None) -> SimulatedMachine:
        cores = [c for c in self._fleet.listed_cores() if c is not last]
        return self._rng.choice(cores or self._fleet.cores)

    def _now(self) -> float:
        return self._fleet.loop.time()
