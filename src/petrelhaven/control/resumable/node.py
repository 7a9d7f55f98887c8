"""A control node for resumable sessions, which records proxies in the control state."""

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

_SUBMIT_TIMEOUT_US = 20_000_000
_READ_TIMEOUT_US = 2_000_000
_SNAPSHOT_TIMEOUT_US = 1_500_000
_MIN_GROUP_CHANGE_US = 5_000_000


class ResumableControlNode(BaseControlNode):
    """One control node for resumable sessions."""

    lease_table: ResumableLeaseTable

    def make_lease_table(self) -> ResumableLeaseTable:
        """Creates the table of the proxies' leases."""
        return ResumableLeaseTable(self.clock, self.tasks, self.chain, self.call, self.log)

    def make_duty(self, platform: Any) -> PlanningDuty:  # noqa: ANN401
        """Creates the duty that plans the groups' primaries and the proxies' connection shares."""
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
        """Returns the handlers of messages from proxies and from the head of the chain."""
        return {
            MessageKind.PLANNER_OBSERVATIONS: self.duty.handle_report_request,
            MessageKind.PROXY_LEASE: self.lease_table.renew,
            MessageKind.PROXY_ENTER: self._register_proxy,
        }

    async def _register_proxy(self, _channel: Channel, body: Mapping[str, Any]) -> dict[str, Any]:
        """Handles a proxy's registration by appending a record of its state."""
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
        """Appends a record through the chain's head.

        Args:
            record: The record's document.
            force: Whether to wait until the record is in force.
        """
        view = self.chain.view
        if view is None:
            raise NotReady("no view yet")
        request = SubmitRequest(record, force)
        if view.head == self.name:
            return await self.append_as_head(request)
        answer = await self.node_caller.call(
            view.head, MessageKind.CHAIN_ENTER, request.to_body(), _SUBMIT_TIMEOUT_US
        )
        return SubmitAnswer.from_body(answer)

    async def control_state(self) -> dict[str, Any]:
        """Reads the document of the control state from the tail of the chain."""
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
        """Validates a configuration and appends its record."""
        configuration = parse_configuration(text)
        if configuration.keyed or configuration.tenants:
            note = "tenants are available only with connection sessions"
            raise Invalid("manifest declined", details={"faults": [["tenants", note]]})
        if configuration.embargoing or configuration.embargoes:
            note = "embargoes are available only with connection sessions"
            raise Invalid("manifest declined", details={"faults": [["embargoing", note]]})
        record = {"t": "manifest", "text": text, "by": by, "retire": retire}
        answer = await self.submit_record(record)
        return {"version": configuration.version, **_submission_response(answer)}

    async def set_zone_state(self, zone: str, state: str, by: str = "") -> dict[str, Any]:
        """Evacuates or restores a zone."""
        answer = await self.submit_record({"t": "hall", "hall": zone, "state": state, "by": by})
        return {"hall": zone, "state": state, **_submission_response(answer)}

    async def snapshots(self) -> dict[str, dict[str, Any]]:
        """Collects the control states of the proxies that are alive, by proxy name."""
        proxies = self.roster.living_peers("edge")
        collected = await asyncio.gather(*[self._snapshot(proxy) for proxy in proxies])
        return {
            proxy: snapshot for proxy, snapshot in zip(proxies, collected, strict=True) if snapshot
        }

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
        """Validates and stores a member's announcement.

        Raises:
            Malformed: A field is invalid, or the member changed its group too soon.
        """
        check_announcement(document)
        previous = self.duty.last_announcements.get(document["member"])
        if previous and self.clock.now() - previous.received_at < _MIN_GROUP_CHANGE_US:
            group = previous.document["group"]
            if document["group"] != group:
                raise Malformed(
                    f"announcement field group must stay {group} for {document['member']}"
                )
        self.duty.announce(document)

    def status(self) -> dict[str, Any]:
        """Returns the status document: reported state, permissions and what the duty waits for."""
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
                name: {**last.document, "age_us": now - last.received_at}
                for name, last in sorted(self.duty.last_announcements.items())
            },
        }


def _submission_response(answer: SubmitAnswer) -> dict[str, Any]:
    """Returns the response to an operator about a record that is in force."""
    return {"change": answer.seq, "in_force_us": answer.in_force_us}
