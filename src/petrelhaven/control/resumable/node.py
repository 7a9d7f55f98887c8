"""A control node of resumable sessions: proxies are part of its control state."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, cast

from petrelhaven.control.base_node import BaseControlNode
from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.control.resumable.announcement import check_announcement
from petrelhaven.control.resumable.leases import ResumableLeaseTable
from petrelhaven.control.resumable.planning_duty import PlanningDuty
from petrelhaven.control.submit_messages import SubmitAnswer, SubmitRequest
from petrelhaven.runtime.errors import Duplicate, Fault, Invalid, Malformed, NotReady
from petrelhaven.runtime.events import Events, emit
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.failover.interfaces import Tasks
    from petrelhaven.transport.channel import Channel

__all__ = ["ResumableControlNode"]

_ENTER_TIMEOUT_US = 20_000_000
_READ_TIMEOUT_US = 2_000_000
_SNAPSHOT_TIMEOUT_US = 1_500_000
_GROUP_FIXED_US = 5_000_000


class ResumableControlNode(BaseControlNode):
    """One control node of resumable sessions."""

    lease_table: ResumableLeaseTable

    def make_lease_table(self) -> ResumableLeaseTable:
        """The table of the proxies' leases."""
        return ResumableLeaseTable(self.clock, self.tasks, self.chain, self.call, self.log)

    def make_duty(self, platform: Any) -> PlanningDuty:  # noqa: ANN401
        """The duty that plans leaderships and shares."""
        return PlanningDuty(
            self.clock,
            cast("Tasks", self.tasks),
            self.chain,
            self.lease_table,
            self.roster,
            self.call,
            platform,
            self.log,
        )

    def handlers(self) -> dict[str, Any]:
        """What proxies ask, and the head of the other control nodes."""
        return {
            MessageKind.PLANNER_OBSERVATIONS: self.duty.answer_report,
            MessageKind.PROXY_LEASE: self.lease_table.renew,
            MessageKind.PROXY_ENTER: self._enter_proxy,
        }

    async def _enter_proxy(self, _channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """A proxy registers: its state is entered as a record."""
        proxy = body["edge"]
        record = {
            "t": "edge",
            "name": proxy,
            "inc": body["inc"],
            "state": body["state"],
            "boot": body["boot"],
            "hall": body["hall"],
            "addr": body["addr"],
            "http": body["http"],
            "by": proxy,
        }
        try:
            return {"seq": (await self.submit_record(record, False)).seq}
        except Duplicate:
            return {"seq": 0}

    async def submit_record(self, record: dict[str, Any], force: bool = True) -> SubmitAnswer:
        """Enters a record at the head; with `force`, returns once it is in force."""
        view = self.chain.view
        if view is None:
            raise NotReady("no view yet")
        request = SubmitRequest(record, force)
        if view.head == self.name:
            return await self.append_as_head(request)
        answer = await self.node_caller.call(
            view.head, MessageKind.CHAIN_ENTER, request.to_body(), _ENTER_TIMEOUT_US
        )
        return SubmitAnswer.from_body(answer)

    async def control_state(self) -> dict[str, Any]:
        """The document of the control state as the tail answers it."""
        view = self.chain.view
        if view is None:
            raise NotReady("no view yet")
        if view.tail == self.name:
            return self.chain.read_control_state()
        answer = await self.node_caller.call(
            view.tail, MessageKind.CHAIN_READ, {"what": None}, _READ_TIMEOUT_US
        )
        document: dict[str, Any] = answer["doc"]
        return document

    async def apply(self, text: str, by: str = "", retire: bool = False) -> dict[str, Any]:
        """Checks and applies a configuration."""
        configuration = parse_configuration(text)
        if configuration.keyed or configuration.tenants:
            note = "tenants need sessions that live with their connection"
            raise Invalid("manifest declined", details={"faults": [["tenants", note]]})
        if configuration.embargoing or configuration.embargoes:
            note = "embargoes are kept only where sessions live with their connection"
            raise Invalid("manifest declined", details={"faults": [["embargoing", note]]})
        record = {"t": "manifest", "text": text, "by": by, "retire": retire}
        answer = await self.submit_record(record)
        return {"version": configuration.version, **_change(answer)}

    async def set_zone_state(self, zone: str, state: str, by: str = "") -> dict[str, Any]:
        """Evacuates or restores a zone."""
        answer = await self.submit_record({"t": "hall", "hall": zone, "state": state, "by": by})
        return {"hall": zone, "state": state, **_change(answer)}

    async def snapshots(self) -> dict[str, dict[str, Any]]:
        """The control states that living proxies hold, by their names."""
        proxies = self.roster.living_peers("edge")
        found = await asyncio.gather(*[self._snapshot(proxy) for proxy in proxies])
        return {proxy: snapshot for proxy, snapshot in zip(proxies, found, strict=True) if snapshot}

    async def _snapshot(self, proxy: str) -> dict[str, Any] | None:
        try:
            body = {"name": self.name}
            answer = await self.node_caller.call(
                proxy, MessageKind.PROXY_SNAPSHOT, body, _SNAPSHOT_TIMEOUT_US
            )
        except Fault as fault:
            emit(self.log, Events.SURVEY_UNANSWERED, node=proxy, fault=fault.code)
            return None
        snapshot: dict[str, Any] | None = answer["frame"]
        return snapshot

    def announce(self, document: Any) -> None:  # noqa: ANN401 (unchecked, from outside)
        """Takes a member's announcement after checking it."""
        check_announcement(document)
        former = self.duty.heard.get(document["member"])
        if former and self.clock.now() - former.at < _GROUP_FIXED_US:
            group = former.document["group"]
            if document["group"] != group:
                raise Malformed(
                    f"announcement field group must stay {group} for {document['member']}"
                )
        self.duty.announce(document)

    def status(self) -> dict[str, Any]:
        """The belief, what this node may do now, and what its duty is waiting for."""
        now = self.clock.now()
        return {
            **self.reported_state(),
            "settings": self.settings(),
            "ruling": self.chain.is_confirmed,
            "active": self.chain.is_active,
            "head": self.chain.is_head,
            "waiting": dict(self.duty.wait_reasons) if self.chain.is_head else {},
            "garbage": getattr(self.link, "garbage", 0),
            "members": {
                name: {**heard.document, "age_us": now - heard.at}
                for name, heard in sorted(self.duty.heard.items())
            },
        }


def _change(answer: SubmitAnswer) -> dict[str, Any]:
    """What an operator is answered about a record that is in force."""
    return {"change": answer.seq, "in_force_us": answer.in_force_us}
