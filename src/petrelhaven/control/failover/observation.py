"""Inspection of a suspected primary: each control node asks it over a connection of its own."""

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
_REACHED = "up:"
_BUSY = _REACHED + "busy"
_REPLICA = _REACHED + "replica"
_INSPECTION_US = 400_000
_CALL_MARGIN_US = 200_000


@dataclass(frozen=True, slots=True)
class Survey:
    """What the control nodes that answered found, and how many control nodes there are.

    Attributes:
        observations: Each `REFUSED`, `UNREACHABLE`, or `up:` with the member's role.
        control_nodes: The number of control nodes in the view.
    """

    observations: tuple[str, ...]
    control_nodes: int

    @property
    def is_reachable(self) -> bool:
        """Whether a control node reached the member."""
        return any(observation.startswith(_REACHED) for observation in self.observations)

    @property
    def reports_replica(self) -> bool:
        """Whether the member answered a control node that it is a replica."""
        return _REPLICA in self.observations

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the control nodes answered."""
        return len(self.observations) > self.control_nodes // 2


class Observer:
    """Inspects members for this control node, and has the others inspect them."""

    def __init__(self, node: ControlServices) -> None:
        """Works for one control node."""
        self._node = node

    async def inspect(self, endpoint: MemberEndpoint) -> str:
        """What this node finds: `up:` with the member's role, `REFUSED` or `UNREACHABLE`."""
        handle = MemberHandle(self._node.wire, self._node.clock, endpoint)
        try:
            status = await self._node.clock.limit(handle.ask("status"), _INSPECTION_US)
            return _REACHED + status.role
        except (Busy, MemberDeclined):
            return _BUSY
        except (NotSent, MemberReplaced) as fault:
            return UNREACHABLE if fault.note == UNREACHABLE else REFUSED
        except (DeadlineExceeded, Unreachable):
            return UNREACHABLE
        finally:
            handle.close()

    async def answer(self, _channel: object, body: dict[str, Any]) -> dict[str, Any]:
        """Answers `warden.look`: another control node asks what this one finds."""
        return {"how": await self.inspect(MemberEndpoint.from_body(body))}

    async def survey(self, member: Member) -> Survey:
        """What all control nodes of the chain find, each for itself."""
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
        """What a control node finds, or None if it does not answer."""
        if node == self._node.name:
            return await self.inspect(endpoint)
        limit_us = _INSPECTION_US + _CALL_MARGIN_US
        try:
            answer = await self._node.reach.call(
                node, MessageKind.MEMBER_CHECK, endpoint.to_body(), limit_us
            )
        except Fault:
            return None
        observation: str = answer["how"]
        return observation
