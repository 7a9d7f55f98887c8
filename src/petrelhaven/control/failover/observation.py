"""Inspection of suspected members: each control node probes them over its own connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from petrelhaven.control.failover.group_state import MemberEndpoint
from petrelhaven.control.failover.interfaces import UNREACHABLE
from petrelhaven.control.failover.member_access import MemberHandle
from petrelhaven.runtime.errors import (
    Busy,
    DeadlineExceeded,
    Fault,
    MemberDeclined,
    MemberReplaced,
    NotSent,
    Unreachable,
)
from petrelhaven.transport.message_kinds import MessageKind

if TYPE_CHECKING:
    from petrelhaven.control.failover.interfaces import ControlServices
    from petrelhaven.control.state.rows import Member

__all__ = ["REFUSED", "UNREACHABLE", "Observer", "Survey"]

REFUSED = "refused"
_REACHED_PREFIX = "up:"
_REACHED_BUSY = _REACHED_PREFIX + "busy"
_REACHED_REPLICA = _REACHED_PREFIX + "replica"
_INSPECTION_TIMEOUT_US = 400_000
_CALL_MARGIN_US = 200_000


@dataclass(frozen=True, slots=True)
class Survey:
    """The observations of the control nodes that answered.

    Attributes:
        observations: Each `REFUSED`, `UNREACHABLE`, or `up:` with the member's role.
        control_nodes: The number of control nodes in the view.
    """

    observations: tuple[str, ...]
    control_nodes: int

    @property
    def is_reachable(self) -> bool:
        """Whether any control node reached the member."""
        return any(observation.startswith(_REACHED_PREFIX) for observation in self.observations)

    @property
    def reports_replica(self) -> bool:
        """Whether the member answered to any control node that it is a replica."""
        return _REACHED_REPLICA in self.observations

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the control nodes answered."""
        return len(self.observations) > self.control_nodes // 2


class Observer:
    """Inspects members from this control node and requests inspections by the others."""

    def __init__(self, node: ControlServices) -> None:
        """Inspects members from `node`."""
        self._node = node

    async def inspect(self, endpoint: MemberEndpoint) -> str:
        """Probes a member; returns `up:` with its role, `REFUSED` or `UNREACHABLE`."""
        handle = MemberHandle(self._node.wire, self._node.clock, endpoint)
        try:
            status = await self._node.clock.wait_for(
                handle.request("status"), _INSPECTION_TIMEOUT_US
            )
            return _REACHED_PREFIX + status.role
        except (Busy, MemberDeclined):
            return _REACHED_BUSY
        except (NotSent, MemberReplaced) as fault:
            return UNREACHABLE if fault.note == UNREACHABLE else REFUSED
        except (DeadlineExceeded, Unreachable):
            return UNREACHABLE
        finally:
            handle.close()

    async def handle_request(self, _channel: object, body: dict[str, Any]) -> dict[str, Any]:
        """Handles `warden.look`, another control node's request to inspect a member."""
        return {"how": await self.inspect(MemberEndpoint.from_body(body))}

    async def survey(self, member: Member) -> Survey:
        """Has all control nodes of the chain inspect a member independently."""
        view = self._node.chain.view
        if view is None:
            return Survey((), 0)
        endpoint = MemberEndpoint.from_member(member)
        observations = await asyncio.gather(
            *[self._request_inspection(node, endpoint) for node in view.chain]
        )
        answered = tuple(observation for observation in observations if observation)
        return Survey(answered, len(view.members))

    async def _request_inspection(self, node: str, endpoint: MemberEndpoint) -> str | None:
        """Returns the observation of a control node, or None if it does not answer."""
        if node == self._node.name:
            return await self.inspect(endpoint)
        limit_us = _INSPECTION_TIMEOUT_US + _CALL_MARGIN_US
        try:
            answer = await self._node.node_caller.call(
                node, MessageKind.MEMBER_CHECK, endpoint.to_body(), limit_us
            )
        except Fault:
            return None
        observation: str = answer["how"]
        return observation
