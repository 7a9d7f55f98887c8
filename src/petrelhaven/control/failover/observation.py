"""What the cores see of a primary that is doubted: each asks it over a connection of its own."""

import asyncio
from dataclasses import dataclass

from petrelhaven.control.failover.interfaces import CoreServices
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

__all__ = ["MUTE", "REFUSED", "Observer", "Survey"]

MUTE, REFUSED, UP = "mute", "refused", "up:"
_BUSY = UP + "busy"
_LOOK_US = 400_000
_CALL_MARGIN_US = 200_000


@dataclass(frozen=True, slots=True)
class Survey:
    """What the cores that answered saw, and how many cores are configured."""

    seen: tuple[str, ...]
    cores: int

    @property
    def up(self) -> tuple[str, ...]:
        """What those saw that reached the member."""
        return tuple(x for x in self.seen if x.startswith(UP))

    @property
    def says_replica(self) -> bool:
        """Whether the member told a core that it is a replica."""
        return UP + "replica" in self.seen

    @property
    def is_majority(self) -> bool:
        """Whether more than half of the configured cores answered."""
        return len(self.seen) > self.cores // 2


class Observer:
    """Looks at members for this core, and asks the other cores for what they see."""

    def __init__(self, core: CoreServices) -> None:
        self._core = core

    async def look(self, name: str, facts: dict) -> str:
        """What this core sees of a member: `up:` with its role, `refused` or `mute`."""
        handle = MemberHandle(self._core.wire, self._core.clock, name, facts)
        try:
            row = await self._core.clock.limit(handle.ask("status"), _LOOK_US)
            return UP + row.role
        except (Busy, MemberDeclined):
            return _BUSY
        except (NotSent, MemberReplaced) as e:
            return MUTE if e.note == MUTE else REFUSED
        except (DeadlineExceeded, Unreachable):
            return MUTE
        finally:
            handle.close()

    async def answer(self, _channel: object, body: dict) -> dict:
        """Another core asks what this one sees."""
        facts = {"addr": body["addr"], "group": body["group"]}
        return {"how": await self.look(body["member"], facts)}

    async def survey(self, name: str, facts: dict) -> Survey:
        """What all cores of the view see of a member, each for itself."""
        view = self._core.chain.view
        asked = [self._ask(core, name, facts) for core in view.chain]
        seen = await asyncio.gather(*asked)
        return Survey(tuple(x for x in seen if x), len(view.ids))

    async def _ask(self, core: str, name: str, facts: dict) -> str | None:
        if core == self._core.name:
            return await self.look(name, facts)
        body = {"member": name, "addr": facts["addr"], "group": facts["group"]}
        bound = _LOOK_US + _CALL_MARGIN_US
        try:
            answer = await self._core.reach.call(core, MessageKind.MEMBER_CHECK, body, bound)
        except Fault:
            return None
        return answer["how"]
