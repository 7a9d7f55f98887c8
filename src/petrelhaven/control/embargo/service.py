"""What a control node does about embargoes: operators' calls, true time, proxies that know."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.embargo.agreed_time import AgreedTime
from petrelhaven.control.embargo.records import (
    EmbargoRecord,
    configuration_fields,
    limits_of,
    rules_of,
    scope_of,
)
from petrelhaven.control.embargo.requests import parse_change_request, parse_question
from petrelhaven.control.embargo.rules import report
from petrelhaven.control.embargo.table import RuleTable
from petrelhaven.runtime.errors import Duplicate, Fault, NotReady
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.wall_clock import WallClock
from petrelhaven.transport.lease_messages import AcknowledgementReport
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    import logbook

    from petrelhaven.control.configuration.document import Configuration
    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.control.embargo.records import Limits
    from petrelhaven.control.order_messages import EnterAnswer
    from petrelhaven.control.state.record import Document
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["EmbargoNode", "EmbargoService"]

_CALL_US = 600_000
_PROXIES_SHOWN = 200
"""Letters of the names of proxies in a fault's note."""


class EmbargoNode(Protocol):
    """What this service needs of its control node."""

    name: str
    clock: Clock
    tasks: BackgroundTasks
    log: logbook.Logger | None
    chain: Chain

    async def call(self, name: str, kind: str, body: dict[str, Any], us: int) -> dict[str, Any]:
        """Calls a control node by its name."""

    async def enter(self, record: Document, force: bool) -> EnterAnswer:
        """Enters a record at the head."""

    async def control_state(self) -> Document:
        """The control state as the tail answers it."""


class EmbargoService:
    """Made by a control node when it first has to do with embargoes."""

    def __init__(self, node: EmbargoNode, wall_clock: WallClock | None = None) -> None:
        """Reads no clock before `start`; `wall_clock` is given where the machine's is not meant."""
        self._node = node
        self.agreed_time = AgreedTime(
            node.clock,
            wall_clock or WallClock(),
            node.name,
            self._node_names,
            self._limits,
            node.call,
            node.tasks,
            node.log,
        )
        self._started = False

    def _node_names(self) -> list[str]:
        view = self._node.chain.view
        return sorted(view.ids) if view else []

    def _limits(self) -> Limits | None:
        return limits_of(self._node.chain.control_state.doc)

    def start(self) -> None:
        """Keeps readings of the wall clocks from now on."""
        if not self._started:
            self._started = True
            self._node.tasks.spawn(self.agreed_time.run())

    def agreed_time_body(self) -> dict[str, Any]:
        """The interval around true time, as the body of an answer to a proxy."""
        interval = self.agreed_time.interval()
        if interval is None:
            return {"ok": False, "lo": 0, "hi": 0}
        return {"ok": True, "lo": interval.lowest, "hi": interval.highest}

    async def require_aware_proxies(self, gone: Collection[str] = ()) -> None:
        """Checks that every proxy knows which groups have embargoed records.

        A proxy that never heard that a group is embargoed does not withhold its reads when it
        loses touch.

        Args:
            gone: names of proxies that are gone for good.

        Raises:
            NotReady: a proxy has not applied the configuration yet that names an embargoed group.
        """
        state = await self._node.control_state()
        since = max(state.get("embargo_since", {}).values(), default=0)
        acknowledged = await self._acknowledged(since)
        unaware = sorted(
            proxy for proxy, seq in acknowledged.items() if seq < since and proxy not in gone
        )
        if unaware:
            raise NotReady(
                "edges that may not know that embargoes are on: "
                + ", ".join(unaware)[:_PROXIES_SHOWN]
                + "; restart them, or name those that are gone for good",
                details={"edges": unaware},
            )

    async def _acknowledged(self, seq: int) -> dict[str, int]:
        """The newest record that each proxy has acknowledged to any control node of the chain."""
        view = self._node.chain.view
        if view is None:
            raise NotReady("no view yet")
        answers = await asyncio.gather(*[self._proxies_heard(name, seq) for name in view.chain])
        newest: dict[str, int] = {}
        for answer in answers:
            if answer is None:
                raise NotReady("a core does not say which edges it knows")
            for proxy in answer.lease_us:
                newest.setdefault(proxy, 0)
            for proxy, acknowledged in answer.acknowledged.items():
                newest[proxy] = max(newest.get(proxy, 0), acknowledged)
        return newest

    async def _proxies_heard(self, name: str, seq: int) -> AcknowledgementReport | None:
        try:
            return AcknowledgementReport.from_body(
                await self._node.call(name, MessageKind.CHAIN_IN_FORCE, {"seq": seq}, _CALL_US)
            )
        except Fault:
            return None

    async def apply_configuration(
        self, configuration: Configuration, record: Document
    ) -> EnterAnswer:
        """Enters a configuration with embargoes.

        Args:
            configuration: the configuration, checked.
            record: its record, without what it carries of embargoes.

        Returns:
            The head's answer, once the record is in force and every proxy is aware of embargoes.
        """
        try:
            answer = await self._node.enter({**record, **configuration_fields(configuration)}, True)
        except Duplicate:
            await self.require_aware_proxies()
            raise
        await self.require_aware_proxies()
        return answer

    async def change(self, document: object) -> dict[str, Any]:
        """Adds, moves or lifts one rule; returns once that is in force at every proxy."""
        call = parse_change_request(document)
        record = call.record
        if record.action != "lift":
            await self.require_aware_proxies(call.gone_proxies)
        try:
            answer = await self._node.enter(record.to_document(), True)
        except Duplicate as fault:
            self._log_change(record, again=True)
            fault.details["in_force"] = True
            raise
        written = "-" if record.release is None else record.release.until_text
        self._log_change(record, seq=answer.seq, until=written)
        return {
            "do": record.action,
            "name": record.name,
            "change": answer.seq,
            "until": 0 if record.release is None else record.release.until_us,
            "in_force_us": answer.in_force_us,
        }

    def _log_change(self, record: EmbargoRecord, **fields: object) -> None:
        by = record.by or "-"
        emit(
            self._node.log,
            Events.EMBARGO_IN_FORCE,
            do=record.action,
            embargo=record.name,
            by=by,
            **fields,
        )

    async def list(self) -> dict[str, Any]:
        """All rules, the groups, the newest changes and the time, as the tail answers them."""
        return {**report(await self._node.control_state()), "time": self.agreed_time.status()}

    async def explain(self, document: dict[str, Any]) -> dict[str, Any]:
        """Which rules cover a thing, and whether a proxy with a lease withholds it now."""
        question = parse_question(document)
        state = await self._node.control_state()
        table = RuleTable(rules_of(state))
        interval = self.agreed_time.interval()
        lowest_us = interval.lowest if interval is not None else 0
        latest = table.latest_release(question.group, [question.thing], question.client, lowest_us)
        return {
            "rules": [
                {"source": key.source, "name": key.name, **rule.to_document()}
                for key, rule in table.covering(question.group, question.thing)
            ],
            "withheld": latest is not None,
            "by": latest[0].name if latest is not None else None,
            "interval": interval,
            "embargoed_group": question.group in scope_of(state),
        }
