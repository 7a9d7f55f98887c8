"""Handles operators' embargo requests at a control node, and serves the agreed time."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING, Any, Protocol

from petrelhaven.control.embargo.agreed_time import AgreedTime
from petrelhaven.control.embargo.records import (
    EmbargoRecord,
    configuration_fields,
    embargo_bounds,
    embargoed_groups,
    stored_rules,
)
from petrelhaven.control.embargo.requests import parse_change_request, parse_query
from petrelhaven.control.embargo.rules import rules_report
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
    from petrelhaven.control.embargo.records import EmbargoBounds
    from petrelhaven.control.state.record import Document
    from petrelhaven.control.submit_messages import SubmitAnswer
    from petrelhaven.runtime.clock import Clock
    from petrelhaven.runtime.tasks import BackgroundTasks

__all__ = ["EmbargoHost", "EmbargoService"]

_REPORT_TIMEOUT_US = 600_000
_MAX_PROXY_NAMES_LENGTH = 200
"""The maximum length of the list of proxies in an error message, in characters."""


class EmbargoHost(Protocol):
    """The control node that runs an embargo service."""

    name: str
    clock: Clock
    tasks: BackgroundTasks
    log: logbook.Logger | None
    chain: Chain

    async def call(
        self, name: str, kind: str, body: dict[str, Any], timeout_us: int
    ) -> dict[str, Any]:
        """Sends a request to the control node `name` and returns the answer."""

    async def submit_record(self, record: Document, force: bool) -> SubmitAnswer:
        """Appends a record to the chain through its head."""

    async def control_state(self) -> Document:
        """Reads the control state from the tail."""


class EmbargoService:
    """Handles embargoes at a control node, which creates it on first use."""

    def __init__(self, node: EmbargoHost, wall_clock: WallClock | None = None) -> None:
        """Creates a service that reads no clock before `start`.

        `wall_clock` defaults to the clock of the machine.
        """
        self._node = node
        self.agreed_time = AgreedTime(
            node.clock,
            wall_clock or WallClock(),
            node.name,
            self._node_names,
            self._bounds,
            node.call,
            node.tasks,
            node.log,
        )
        self._started = False

    def _node_names(self) -> list[str]:
        view = self._node.chain.view
        return sorted(view.members) if view else []

    def _bounds(self) -> EmbargoBounds | None:
        return embargo_bounds(self._node.chain.control_state.doc)

    def start(self) -> None:
        """Starts reading the wall clocks of the control nodes; idempotent."""
        if not self._started:
            self._started = True
            self._node.tasks.spawn_service(self.agreed_time.run)

    def agreed_time_body(self) -> dict[str, Any]:
        """Returns the agreed time interval as the body of an answer to a proxy."""
        interval = self.agreed_time.interval()
        if interval is None:
            return {"ok": False, "lo": 0, "hi": 0}
        return {"ok": True, "lo": interval.lowest, "hi": interval.highest}

    async def require_aware_proxies(self, gone: Collection[str] = ()) -> None:
        """Checks that every proxy has the list of groups with embargoed records.

        A proxy without that list does not withhold reads of those groups when it loses its lease.

        Args:
            gone: names of proxies that were removed permanently.

        Raises:
            NotReady: a proxy has not yet applied the configuration that names an embargoed group.
        """
        state = await self._node.control_state()
        since = max(state.get("embargo_since", {}).values(), default=0)
        acknowledged = await self._acknowledged(since)
        unaware = sorted(
            proxy for proxy, seq in acknowledged.items() if seq < since and proxy not in gone
        )
        if unaware:
            raise NotReady(
                "proxies that may not have applied the embargo configuration: "
                + ", ".join(unaware)[:_MAX_PROXY_NAMES_LENGTH]
                + "; restart them, or name those that were removed permanently",
                details={"edges": unaware},
            )

    async def _acknowledged(self, seq: int) -> dict[str, int]:
        """Returns the newest record that each proxy acknowledged to a control node of the chain."""
        view = self._node.chain.view
        if view is None:
            raise NotReady("this node has no view yet")
        answers = await asyncio.gather(
            *[self._fetch_acknowledgements(name, seq) for name in view.chain]
        )
        newest: dict[str, int] = {}
        for answer in answers:
            if answer is None:
                raise NotReady("a control node did not report which proxies it serves")
            for proxy in answer.lease_us:
                newest.setdefault(proxy, 0)
            for proxy, acknowledged in answer.acknowledged.items():
                newest[proxy] = max(newest.get(proxy, 0), acknowledged)
        return newest

    async def _fetch_acknowledgements(self, name: str, seq: int) -> AcknowledgementReport | None:
        try:
            return AcknowledgementReport.from_body(
                await self._node.call(
                    name, MessageKind.CHAIN_IN_FORCE, {"seq": seq}, _REPORT_TIMEOUT_US
                )
            )
        except Fault:
            return None

    async def apply_configuration(
        self, configuration: Configuration, record: Document
    ) -> SubmitAnswer:
        """Appends the record of a configuration with embargoes.

        Args:
            configuration: the validated configuration.
            record: its record, without the embargo fields.

        Returns:
            The head's answer, once the record is in force and every proxy has applied it.
        """
        try:
            answer = await self._node.submit_record(
                {**record, **configuration_fields(configuration)}, True
            )
        except Duplicate:
            await self.require_aware_proxies()
            raise
        await self.require_aware_proxies()
        return answer

    async def change(self, document: object) -> dict[str, Any]:
        """Adds, moves or lifts one rule; returns once the change is in force at every proxy."""
        request = parse_change_request(document)
        record = request.record
        if record.action != "lift":
            await self.require_aware_proxies(request.gone_proxies)
        try:
            answer = await self._node.submit_record(record.to_document(), True)
        except Duplicate as fault:
            self._log_change(record, again=True)
            fault.details["in_force"] = True
            raise
        until_text = "-" if record.release is None else record.release.until_text
        self._log_change(record, seq=answer.seq, until=until_text)
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
        """Returns rules, embargoed groups and latest changes, read from the tail, and the time."""
        return {**rules_report(await self._node.control_state()), "time": self.agreed_time.status()}

    async def explain(self, document: dict[str, Any]) -> dict[str, Any]:
        """Returns the rules that cover a record, and whether proxies with a lease withhold it."""
        query = parse_query(document)
        state = await self._node.control_state()
        table = RuleTable(stored_rules(state))
        interval = self.agreed_time.interval()
        lowest_us = interval.lowest if interval is not None else 0
        latest = table.latest_release(query.group, [query.record_key], query.client, lowest_us)
        return {
            "rules": [
                {"source": key.source, "name": key.name, **rule.to_document()}
                for key, rule in table.covering(query.group, query.record_key)
            ],
            "withheld": latest is not None,
            "by": latest[0].name if latest is not None else None,
            "interval": interval,
            "embargoed_group": query.group in embargoed_groups(state),
        }
