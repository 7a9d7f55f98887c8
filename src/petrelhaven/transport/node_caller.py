"""Calls other nodes by name: directly if possible, otherwise relayed by a third node."""

import random
from collections.abc import Mapping
from typing import Any, cast

from petrelhaven.membership.roster import Roster
from petrelhaven.membership.update import ALIVE
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import DeadlineExceeded, NotRelayed, NotSent, Unreachable
from petrelhaven.transport.channel import Channel
from petrelhaven.transport.contracts import Repeat, repeat_of
from petrelhaven.transport.link import SharedConnections
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["NodeCaller"]

_FAILED_LINK_MEMORY_US = 1_500_000
_MAX_RELAYS = 2
_DIRECT_CALL_DIVISOR = 3
_RELAYED_CALL_DIVISOR = 2

Body = Mapping[str, Any]
Result = dict[str, Any]


class NodeCaller:
    """Calls other nodes by name.

    A link that failed is bypassed for a while. The contract of a call alone decides whether the
    call may be sent again over another path. A call that may not be repeated takes another path
    only if it is certain that none of it was sent before.
    """

    def __init__(
        self, clock: Clock, link: SharedConnections, roster: Roster, rng: random.Random
    ) -> None:
        """Calls the nodes listed in `roster` over `link`; `rng` shuffles the relays."""
        self.clock, self.link, self.roster, self.rng = clock, link, roster, rng
        self._failed_until: dict[str, int] = {}
        link.on(MessageKind.RELAY, self._serve_relayed_call)

    async def call(self, name: str, kind: str, body: Body, timeout_us: int) -> Result:
        """Calls the node `name`, directly or through a relay.

        Args:
            name: the node to call; a call to this node itself uses no link.
            kind: one of `MessageKind`.
            body: the fields of the request.
            timeout_us: the limit for the answer, in microseconds.

        Raises:
            NotSent: nothing was sent.
            DeadlineExceeded: no answer arrived in time; the request may still take effect.
            Unreachable: the connection was lost; the outcome is unknown.
            Fault: the fault that the other side answered with; its `answered` is set.
        """
        address = self.roster.address_of(name)
        if name == self.roster.name:
            return cast(Result, await self.link.handlers[kind](None, body))
        if address is None:
            raise NotSent(f"unknown node {name}")
        deadline = self.clock.now() + timeout_us
        is_sent_once = repeat_of(kind, body) is Repeat.NEVER
        may_have_been_sent = False
        has_relays = bool(self._usable_relays(name))
        if not self._has_failed(name) or not has_relays:
            divisor = _DIRECT_CALL_DIVISOR if has_relays and not is_sent_once else 1
            try:
                result = await self.link.call(address, kind, body, timeout_us // divisor)
                self._failed_until.pop(name, None)
                return result
            except (DeadlineExceeded, Unreachable) as fault:
                if fault.answered:
                    raise
                self._failed_until[name] = self.clock.now() + _FAILED_LINK_MEMORY_US
                may_have_been_sent = not isinstance(fault, NotSent)
                if may_have_been_sent and is_sent_once:
                    raise
        relayed = {"to": address, "kind": kind, "body": body}
        return await self._call_through_relays(name, relayed, deadline, may_have_been_sent)

    async def _call_through_relays(
        self, name: str, relayed: dict[str, Any], deadline: int, may_have_been_sent: bool
    ) -> Result:
        """Calls through up to two relays, one after the other, until `deadline`."""
        is_sent_once = repeat_of(relayed["kind"], relayed["body"]) is Repeat.NEVER
        for relay in self._order_relays(name, self._usable_relays(name))[:_MAX_RELAYS]:
            timeout_us = deadline - self.clock.now()
            address = self.roster.address_of(relay)
            if timeout_us <= 0 or address is None:
                break
            relayed["us"] = timeout_us // _RELAYED_CALL_DIVISOR
            try:
                result = await self.link.call(address, MessageKind.RELAY, relayed, timeout_us)
                return cast(Result, result["body"])
            except NotSent:
                continue
            except (DeadlineExceeded, Unreachable):
                if is_sent_once:
                    raise
                may_have_been_sent = True
        raise Unreachable(name) if may_have_been_sent else NotSent(name)

    def _has_failed(self, name: str) -> bool:
        """Returns whether the link to a node failed recently."""
        return self._failed_until.get(name, 0) > self.clock.now()

    def _usable_relays(self, name: str) -> list[str]:
        """Returns the nodes that are alive and may have a working link to `name`."""
        return [
            relay
            for relay in self.roster.living_peers()
            if relay != name and not self._has_failed(relay) and self.roster.state(relay) == ALIVE
        ]

    def _order_relays(self, name: str, relays: list[str]) -> list[str]:
        """Sorts relays outside the zones of caller and target first; shuffles them otherwise."""
        peers = self.roster.peers
        zones = {self.roster.zone, peers[name].zone if name in peers else ""}
        return sorted(relays, key=lambda relay: (peers[relay].zone in zones, self.rng.random()))

    async def _serve_relayed_call(self, channel: Channel, call: dict[str, Any]) -> Result:
        """Forwards another node's call once; raises NotRelayed if nothing was sent."""
        try:
            body = await self.link.call(call["to"], call["kind"], call["body"], call["us"])
        except NotSent as fault:
            raise NotRelayed(fault.note) from None
        return {"body": body}
