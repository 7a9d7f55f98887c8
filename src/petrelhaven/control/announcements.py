"""Announcements of members, which are recorded when they change the control state."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from petrelhaven.control.request_router import ANSWER_TIMEOUT_US
from petrelhaven.control.state.records import COUNT_LIMIT, DepartureRecord, MemberRecord
from petrelhaven.control.state.rows import MemberState
from petrelhaven.runtime.errors import Duplicate, Malformed, NotReady, Stale
from petrelhaven.runtime.events import Events, emit
from petrelhaven.runtime.limits import NAME

if TYPE_CHECKING:
    from logbook import Logger

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
_RECORDED_FIELDS = ("group", "hall", "addr", "role", "state", "slots")
_ROLES = ("primary", "replica")
_STATES = (MemberState.READY, MemberState.DRAINING)
_MAX_MEMBER_NAME_LENGTH = 128
_MAX_REORDERING_US = 3_000_000
_NEVER_US = -1 << 60
_NO_COUNT = -1

SubmitRecord = Callable[[dict[str, Any], bool, int], Awaitable[object]]
"""Submits a record to the head: record, whether to wait until it is in force, timeout in us."""


@dataclass(frozen=True, slots=True)
class Announcement:
    """One announcement of a member, which it sends as a heartbeat.

    Attributes:
        member: The member's name.
        group: The group that it belongs to.
        zone: The zone that it runs in.
        address: Host and port.
        role: primary or replica.
        state: ready or draining.
        slots: How many requests it accepts at once.
        count: Rises with every announcement of the member.
    """

    member: str
    group: str
    zone: str
    address: str
    role: str
    state: str
    slots: int
    count: int

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> Announcement:
        """Reads and checks an announcement.

        Raises:
            Malformed: A field is missing, or its type or value is invalid.
        """
        for field, field_type in _FIELDS.items():
            if type(document.get(field)) is not field_type:
                raise Malformed(f"announcement field {field} must be {field_type.__name__}")
        announcement = cls(*(document[field] for field in _FIELDS))
        for field, is_valid in (
            ("addr", _ADDRESS.fullmatch(announcement.address)),
            ("group", NAME.fullmatch(announcement.group)),
            ("role", announcement.role in _ROLES),
            ("member", 0 < len(announcement.member) <= _MAX_MEMBER_NAME_LENGTH),
            ("state", announcement.state in _STATES),
            ("count", 0 <= announcement.count < COUNT_LIMIT),
        ):
            if not is_valid:
                raise Malformed(f"announcement field {field} is not valid")
        return announcement

    def to_record(self) -> MemberRecord:
        """Returns the record of this announcement."""
        return MemberRecord(
            name=self.member,
            group=self.group,
            zone=self.zone,
            address=self.address,
            role=self.role,
            state=self.state,
            slots=self.slots,
            count=self.count,
        )


class Announcements:
    """Receives the announcements and departures of members.

    Attributes:
        last_heartbeats: For each member, the clock time of its last announcement in microseconds
            and the count of that announcement.
    """

    def __init__(
        self, clock: Clock, chain: Callable[[], Chain], submit_record: SubmitRecord, log: Logger
    ) -> None:
        """Compares with the control state of `chain` and submits changes by `submit_record`."""
        self._clock, self._chain, self._submit_record = clock, chain, submit_record
        self._log = log
        self.last_heartbeats: dict[str, tuple[int, int]] = {}

    def _recorded_row(self, member: str) -> dict[str, Any] | None:
        row: dict[str, Any] | None = self._chain().control_state.doc["members"].get(member)
        return row

    async def announce(self, document: Mapping[str, Any]) -> None:
        """Handles an announcement; returns once the changes are committed.

        Raises:
            Malformed: The document isn't a valid announcement.
            NotReady: No majority confirms this node, so it can't acknowledge the announcement.
        """
        announcement = Announcement.from_document(document)
        if self._is_outdated(announcement):
            return
        self.last_heartbeats[announcement.member] = (self._clock.now(), announcement.count)
        recorded = self._recorded_row(announcement.member)
        record = announcement.to_record().to_document()
        if recorded and all(recorded.get(field) == record[field] for field in _RECORDED_FIELDS):
            await self._confirm_control_state()
        else:
            await self._record_announcement(announcement, record)

    async def _record_announcement(
        self, announcement: Announcement, record: dict[str, Any]
    ) -> None:
        """Records an announcement, unless the member sent it before it departed or drained."""
        try:
            await self._submit(record)
        except Stale as fault:
            self.last_heartbeats.pop(announcement.member, None)
            emit(
                self._log,
                Events.LATE_ANNOUNCEMENT,
                member=announcement.member,
                state=announcement.state,
                count=announcement.count,
                note=fault.note,
            )

    def _is_outdated(self, announcement: Announcement) -> bool:
        """Returns whether a later announcement of the member has arrived already."""
        received_at, count = self.last_heartbeats.get(announcement.member, (_NEVER_US, _NO_COUNT))
        return announcement.count < count and self._clock.now() - received_at < _MAX_REORDERING_US

    async def deregister_member(self, member: str) -> None:
        """Records that a member leaves; returns once that is committed.

        A departing member sends no count, and its announcements may arrive late at any node. So no
        later announcement under its name is accepted while its departure is stored.

        Raises:
            NotReady: The member isn't recorded, so a late announcement would make it a member.
        """
        recorded = self._recorded_row(member)
        self.last_heartbeats.pop(member, None)
        address = recorded["addr"] if recorded else ""
        await self._submit(DepartureRecord(member, address, COUNT_LIMIT).to_document())
        if self._recorded_row(member) is None:
            raise NotReady(f"member {member[:_MAX_MEMBER_NAME_LENGTH]} is not recorded")

    async def _confirm_control_state(self) -> None:
        """Waits until this node's control state is committed and a majority confirms this node.

        Every node before the tail has records that aren't committed yet; they may be lost with it.
        """
        chain = self._chain()
        committed = chain.wait_committed(chain.control_state.seq, chain.store.entered_view)
        await self._clock.wait_for(committed, ANSWER_TIMEOUT_US)
        if not chain.is_confirmed:
            raise NotReady("not confirmed by a majority")

    async def _submit(self, record: dict[str, Any]) -> None:
        """Submits a record; returns once it, or an equal one, is committed.

        Raises:
            Stale: The record is older than what is recorded of the member.
        """
        with contextlib.suppress(Duplicate):
            await self._submit_record(record, False, ANSWER_TIMEOUT_US)
