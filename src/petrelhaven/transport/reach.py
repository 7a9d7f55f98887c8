"""Calls by name: straight where the link holds, else through a third node that sees both."""

import random
from collections.abc import Mapping
from typing import Any

from petrelhaven.membership.roster import Roster
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import DeadlineExceeded, NotRelayed, NotSent, Unreachable
from petrelhaven.transport.channel import Channel
from petrelhaven.transport.contracts import Repeat, repeat_of
from petrelhaven.transport.link import SharedConnections
from petrelhaven.transport.message_kinds import MessageKind

__all__ = ["Reach"]

_BAD_US = 1_500_000
_RELAYS = 2
_FIRST_SHARE = 3
_RELAY_SHARE = 2


class Reach:
    """Calls other nodes by name. Deaf links are remembered for a while and passed round.

    Whether a call may go a second way follows from its contract alone. One that may not be repeated
    goes another way only if it is certain that nothing of it has left before.
    """

    def __init__(
        self, clock: Clock, link: SharedConnections, roster: Roster, rng: random.Random
    ) -> None:
        """Calls over `link` the nodes that `roster` knows."""
        self.clock, self.link, self.roster, self.rng = clock, link, roster, rng
        self._bad: dict[str, int] = {}
        link.on(MessageKind.RELAY, self._relayed)

    async def call(self, name: str, kind: str, body: Mapping[str, Any], us: int) -> dict[str, Any]:
        """Calls `name`. Unsent if nothing left; Late or Unreached if the outcome is not known."""
        address = self.roster.addr_of(name)
        if name == self.roster.name:
            return await self.link.handlers[kind](None, body)
        if address is None:
            raise NotSent(f"unknown node {name}")
        now = self.clock.now()
        end = now + us
        once = repeat_of(kind, body) is Repeat.NEVER
        may_have_left = False
        other_ways = bool(self._relays(name))
        if self._bad.get(name, 0) <= now or not other_ways:
            share = _FIRST_SHARE if other_ways and not once else 1
            try:
                result = await self.link.call(address, kind, body, us // share)
                self._bad.pop(name, None)
                return result
            except (DeadlineExceeded, Unreachable) as fault:
                if fault.answered:
                    raise
                self._bad[name] = self.clock.now() + _BAD_US
                may_have_left = not isinstance(fault, NotSent)
                if may_have_left and once:
                    raise
        relayed = {"to": address, "kind": kind, "body": body}
        return await self._round(name, relayed, end, may_have_left)

    async def _round(
        self, name: str, relayed: dict[str, Any], end: int, may_have_left: bool
    ) -> dict[str, Any]:
        """Calls through up to two other nodes, one after the other."""
        once = repeat_of(relayed["kind"], relayed["body"]) is Repeat.NEVER
        for relay in self._best_first(name, self._relays(name))[:_RELAYS]:
            us = end - self.clock.now()
            if us <= 0:
                break
            relayed["us"] = us // _RELAY_SHARE
            try:
                address = self.roster.addr_of(relay)
                result = await self.link.call(address, MessageKind.RELAY, relayed, us)
                return result["body"]
            except NotSent:
                continue
            except (DeadlineExceeded, Unreachable):
                if once:
                    raise
                may_have_left = True
        raise Unreachable(name) if may_have_left else NotSent(name)

    def _relays(self, name: str) -> list[str]:
        """Living nodes that may see `name`."""
        now = self.clock.now()
        return [
            relay
            for relay in self.roster.living()
            if relay != name
            and self._bad.get(relay, 0) <= now
            and self.roster.state(relay) == "alive"
        ]

    def _best_first(self, name: str, relays: list[str]) -> list[str]:
        """Relays of other halls than the two ends come first; drawn by lot among each."""
        peers = self.roster.peers
        zones = {self.roster.zone, peers[name].zone if name in peers else ""}
        return sorted(relays, key=lambda relay: (peers[relay].zone in zones, self.rng.random()))

    async def _relayed(self, channel: Channel, call: dict[str, Any]) -> dict[str, Any]:
        """Another node's call, sent on once; NotRelayed if nothing of it left here."""
        try:
            body = await self.link.call(call["to"], call["kind"], call["body"], call["us"])
        except NotSent as fault:
            raise NotRelayed(fault.note) from None
        return {"body": body}
