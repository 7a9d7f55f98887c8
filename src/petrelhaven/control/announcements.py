"""Heartbeats of members: what they announce is entered as records where it changes something."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from petrelhaven.control.request_router import ANSWER_TIMEOUT_US
from petrelhaven.runtime.errors import Duplicate, Malformed, NotReady, Stale
from petrelhaven.runtime.limits import NAME

if TYPE_CHECKING:
    from petrelhaven.control.consensus.chain import Chain
    from petrelhaven.runtime.clock import Clock

__all__ = ["Announcement", "Announcements"]

_ADDRESS = re.compile(r"[A-Za-z0-9.-]{1,64}:[A-Za-z0-9-]{1,32}")
_FIELDS = {
    "member": str,
    "group": str,
    "hall": str,
    "addr": str,
    "role": str,
    "state": str,
    "slots": int,
    "count": int,
}
_RECORDED = ("group", "hall", "addr", "role", "state", "slots")
_ROLES = ("primary", "replica")
_STATES = ("ready", "draining")
_LONGEST_MEMBER_NAME = 128
_MOST_COUNT = 1 << 53
_REORDERED_US = 3_000_000
_NEVER_US = -1 << 60
_NO_COUNT = -1

Enter = Callable[[dict[str, Any], bool, int], Awaitable[object]]
"""Enters a record at the head: record, whether to wait until it is in force, timeout in us."""


@dataclass(frozen=True, slots=True)
class Announcement:
    """One heartbeat of a member. `count` rises with every one."""

    member: str
    group: str
    zone: str
    addr: str
    role: str
    state: str
    slots: int
    count: int

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> Announcement:
        """The announcement of a checked document.

        Raises:
            Malformed: a field is missing, or has another type or range than it should.
        """
        for field, kind in _FIELDS.items():
            if type(document.get(field)) is not kind:
                raise Malformed(f"announcement field {field} must be {kind.__name__}")
        announcement = cls(*(document[field] for field in _FIELDS))
        for field, valid in (
            ("addr", _ADDRESS.fullmatch(announcement.addr)),
            ("group", NAME.fullmatch(announcement.group)),
            ("role", announcement.role in _ROLES),
            ("member", 0 < len(announcement.member) <= _LONGEST_MEMBER_NAME),
            ("state", announcement.state in _STATES),
            ("count", 0 <= announcement.count < _MOST_COUNT),
        ):
            if not valid:
                raise Malformed(f"announcement field {field} is not valid")
        return announcement

    def to_record(self) -> dict[str, Any]:
        """The record that this makes if it changes something."""
        return {
            "t": "member",
            "name": self.member,
            "group": self.group,
            "hall": self.zone,
            "addr": self.addr,
            "role": self.role,
            "state": self.state,
            "slots": self.slots,
            "count": self.count,
        }


class Announcements:
    """Takes members' heartbeats and departures.

    Attributes:
        heard: For each member, when its last heartbeat came, in clock microseconds, and its count.
    """

    def __init__(self, clock: Clock, chain: Callable[[], Chain], enter: Enter) -> None:
        """Compares with the control state of `chain` and enters changes by `enter`."""
        self._clock, self._chain, self._enter = clock, chain, enter
        self.last_heartbeats: dict[str, tuple[int, int]] = {}

    def _recorded(self, member: str) -> dict[str, Any] | None:
        row: dict[str, Any] | None = self._chain().control_state.doc["members"].get(member)
        return row

    async def announce(self, document: Mapping[str, Any]) -> None:
        """Takes a heartbeat; what it changes is committed before this returns.

        Raises:
            Malformed: the document is no announcement.
            NotReady: no majority confirms this node, so that it can't be acknowledged.
        """
        announcement = Announcement.from_document(document)
        if self._is_overtaken(announcement):
            return
        self.last_heartbeats[announcement.member] = (self._clock.now(), announcement.count)
        recorded, record = self._recorded(announcement.member), announcement.to_record()
        if recorded and all(recorded.get(field) == record[field] for field in _RECORDED):
            await self._confirm_control_state()
        else:
            await self._record(record)

    def _is_overtaken(self, announcement: Announcement) -> bool:
        """Whether a later heartbeat came before this one."""
        at, count = self.last_heartbeats.get(announcement.member, (_NEVER_US, _NO_COUNT))
        return announcement.count < count and self._clock.now() - at < _REORDERED_US

    async def deregister_member(self, member: str) -> None:
        """A member announces that it ends."""
        recorded = self._recorded(member)
        self.last_heartbeats.pop(member, None)
        if recorded is None or recorded["state"] == "gone":
            await self._confirm_control_state()
        else:
            gone = {"t": "member", "name": member, "state": "gone", "addr": recorded["addr"]}
            await self._record(gone)

    async def _confirm_control_state(self) -> None:
        """Returns once all that this node holds is committed and a majority confirms this node.

        A head, or any node before the tail, holds records that are not committed yet and may go
        with it.
        """
        chain = self._chain()
        committed = chain.wait_committed(chain.control_state.seq, chain.store.entered_view)
        await self._clock.limit(committed, ANSWER_TIMEOUT_US)
        if not chain.is_confirmed:
            raise NotReady("not confirmed by a majority")

    async def _record(self, record: dict[str, Any]) -> None:
        with contextlib.suppress(Duplicate, Stale):
            await self._enter(record, False, ANSWER_TIMEOUT_US)
