"""Calls by name: straight where the link works, else through a third node that reaches both."""

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

__all__ = ["Reach"]

_FAILED_US = 1_500_000
_MAX_RELAYS = 2
_FIRST_SHARE = 3
_RELAY_SHARE = 2

Body = Mapping[str, Any]
Result = dict[str, Any]


class Reach:
    """Calls other nodes by name. Links that failed are remembered for a while and passed round.

    Whether a call may go a second way follows from its contract alone. One that may not be repeated
    goes another way only if it is certain that nothing of it has left before.
    """

    def __init__(
        self, clock: Clock, link: SharedConnections, roster: Roster, rng: random.Random
    ) -> None:
        """Calls over `link` the nodes that `roster` knows; `rng` draws the order of relays."""
        self.clock, self.link, self.roster, self.rng = clock, link, roster, rng
        self._failed_until: dict[str, int] = {}
        link.on(MessageKind.RELAY, self._relayed)

    async def call(self, name: str, kind: str, body: Body, us: int) -> Result:
        """Calls the node `name`, straight or through another node.

        Args:
            name: the node; this node itself is called without a link.
            kind: one of `MessageKind`.
            body: the fields of the request.
            us: how long the answer may take, in microseconds.

        Raises:
            NotSent: nothing has left.
            DeadlineExceeded: no answer came in time; what was asked may still happen.
            Unreachable: the connection was lost; the outcome is unknown.
            Fault: what the other side answered with; its `answered` is set.
        """
        address = self.roster.address_of(name)
        if name == self.roster.name:
            return cast(Result, await self.link.handlers[kind](None, body))
        if address is None:
            raise NotSent(f"unknown node {name}")
        end = self.clock.now() + us
        once = repeat_of(kind, body) is Repeat.NEVER
        may_have_left = False
        other_ways = bool(self._relays(name))
        if not self._has_failed(name) or not other_ways:
            share = _FIRST_SHARE if other_ways and not once else 1
            try:
                result = await self.link.call(address, kind, body, us // share)
                self._failed_until.pop(name, None)
                return result
            except (DeadlineExceeded, Unreachable) as fault:
                if fault.answered:
                    raise
                self._failed_until[name] = self.clock.now() + _FAILED_US
                may_have_left = not isinstance(fault, NotSent)
                if may_have_left and once:
                    raise
        relayed = {"to": address, "kind": kind, "body": body}
        return await self._call_through_relays(name, relayed, end, may_have_left)

    async def _call_through_relays(
        self, name: str, relayed: dict[str, Any], end: int, may_have_left: bool
    ) -> Result:
        """Calls through up to two other nodes, one after the other, until `end`."""
        once = repeat_of(relayed["kind"], relayed["body"]) is Repeat.NEVER
        for relay in self._best_first(name, self._relays(name))[:_MAX_RELAYS]:
            us = end - self.clock.now()
            address = self.roster.address_of(relay)
            if us <= 0 or address is None:
                break
            relayed["us"] = us // _RELAY_SHARE
            try:
                result = await self.link.call(address, MessageKind.RELAY, relayed, us)
                return cast(Result, result["body"])
            except NotSent:
                continue
            except (DeadlineExceeded, Unreachable):
                if once:
                    raise
                may_have_left = True
        raise Unreachable(name) if may_have_left else NotSent(name)

    def _has_failed(self, name: str) -> bool:
        """Whether the link to a node failed a moment ago."""
        return self._failed_until.get(name, 0) > self.clock.now()

    def _relays(self, name: str) -> list[str]:
        """Living nodes that may see `name`."""
        return [
            relay
            for relay in self.roster.living_peers()
            if relay != name and not self._has_failed(relay) and self.roster.state(relay) == ALIVE
        ]

    def _best_first(self, name: str, relays: list[str]) -> list[str]:
        """Relays of other zones than the two ends come first; in random order among each."""
        peers = self.roster.peers
        zones = {self.roster.zone, peers[name].zone if name in peers else ""}
        return sorted(relays, key=lambda relay: (peers[relay].zone in zones, self.rng.random()))

    async def _relayed(self, channel: Channel, call: dict[str, Any]) -> Result:
        """Another node's call, sent on once; NotRelayed if nothing of it left here."""
        try:
            body = await self.link.call(call["to"], call["kind"], call["body"], call["us"])
        except NotSent as fault:
            raise NotRelayed(fault.note) from None
        return {"body": body}
