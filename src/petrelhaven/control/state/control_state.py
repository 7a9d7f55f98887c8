"""The control state for connection sessions: configuration, zones, members and leaderships."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.control.configuration.faults import ConfigurationFault, invalid_document
from petrelhaven.control.failover.evidence import NO_POSITION, ElectionOrder, Evidence
from petrelhaven.control.state.base import BaseControlState, configuration_digest
from petrelhaven.control.state.counting_record import CountingRecord, CountingStart
from petrelhaven.control.state.evidence_records import (
    CountedOutRecord,
    ElectionOrderRecord,
    EvidenceRecord,
    LogBoundRecord,
    NonVotingRecord,
    UnknownEvidenceRecord,
)
from petrelhaven.control.state.record import Document
from petrelhaven.control.state.records import (
    ConfigurationRecord,
    ControlRecord,
    DepartureRecord,
    LeadershipRecord,
    MemberRecord,
    SupersededConfiguration,
    ZoneRecord,
    from_document,
)
from petrelhaven.control.state.rows import (
    AcceptedConfiguration,
    Leadership,
    LeadershipPhase,
    Member,
    MemberState,
)
from petrelhaven.runtime.errors import Conflict, Duplicate, NoRoute, Stale, VersionTaken

if TYPE_CHECKING:
    from petrelhaven.control.embargo.records import EmbargoRecord

__all__ = ["ControlState"]

_MIN_STORED_DEPARTURES = 64
_MAX_PAST_LEADERSHIPS = 16
_MAX_ACCEPTED_VERSIONS = 128
_MAX_SHOWN_NAME_LENGTH = 60


class ControlState(BaseControlState[dict[str, Any], ControlRecord]):
    """The replicated state of a fleet with connection sessions."""

    __slots__ = ()

    def __init__(self, document: Document | None = None) -> None:
        """Uses a stored document and adds the fields that older versions didn't write."""
        super().__init__(
            {
                "seq": 0,
                "manifest": None,
                "halls": {},
                "members": {},
                "offices": {},
                "sizes": {},
                "past": {},
                "accepted": [],
                "evidence": {},
                **(document or {}),
            }
        )
        if document and "evidence" not in document:
            self._add_missing_evidence()

    @property
    def accepted_configuration(self) -> AcceptedConfiguration | None:
        """The configuration in force with its digest and author, or None before the first one."""
        row = self.doc["manifest"]
        return AcceptedConfiguration.from_row(row) if row else None

    def member(self, name: str) -> Member | None:
        """Returns the member `name`, also a departed one that is still stored; None if unknown."""
        row = self.doc["members"].get(name)
        return None if row is None else Member.from_row(name, row)

    def leadership(self, group: str) -> Leadership | None:
        """Returns the leadership of `group`, or None before its first one."""
        row = self.doc["offices"].get(group)
        return None if row is None else Leadership.from_row(row)

    @property
    def counting_starts(self) -> dict[str, CountingStart]:
        """The last start of counting of each control node, by name.

        Only starts without the previous counts are recorded.
        """
        return {node: CountingStart(*row) for node, row in self.doc.get("counting", {}).items()}

    def group_members(self, group: str) -> dict[str, Document]:
        """Returns the rows of the group's present members, sorted by name."""
        return {
            name: row
            for name, row in sorted(self.doc["members"].items())
            if row["group"] == group and row["state"] != MemberState.GONE
        }

    def evidence(self, group: str) -> Evidence:
        """Returns the recorded evidence about the logs of a group's members."""
        return Evidence.from_document(self.doc["evidence"].get(group))

    def read_configuration(self, text: str) -> dict[str, Any]:
        """Parses a configuration as plain JSON; the platform's programs replace this method."""
        configuration: dict[str, Any] = json.loads(text)
        return configuration

    def _read_record(self, document: Document) -> ControlRecord:
        return from_document(document)

    def _check(self, record: ControlRecord) -> None:
        match record:
            case ConfigurationRecord():
                self._check_configuration(record)
            case ZoneRecord():
                self._check_zone(record)
            case MemberRecord():
                self._check_member(record)
            case DepartureRecord():
                self._check_departure(record)
            case LeadershipRecord():
                self._check_leadership(record)
            case (
                CountedOutRecord()
                | NonVotingRecord()
                | LogBoundRecord()
                | ElectionOrderRecord()
                | UnknownEvidenceRecord()
            ):
                self._check_evidence(record)
            case SupersededConfiguration():
                raise invalid_document(
                    "a placeholder record cannot be submitted",
                    [ConfigurationFault("t", "must be another kind")],
                )
            case CountingRecord():
                self._check_counting(record)
            case _:
                self._check_embargo(record)

    def _apply(self, record: ControlRecord) -> None:
        match record:
            case ConfigurationRecord():
                self._apply_configuration(record)
            case ZoneRecord():
                self._apply_zone(record)
            case MemberRecord():
                self._apply_member(record)
            case DepartureRecord():
                self._apply_departure(record)
            case LeadershipRecord():
                self._apply_leadership(record)
            case (
                CountedOutRecord()
                | NonVotingRecord()
                | LogBoundRecord()
                | ElectionOrderRecord()
                | UnknownEvidenceRecord()
            ):
                self._apply_evidence(record)
            case SupersededConfiguration():
                pass
            case CountingRecord():
                self._apply_counting(record)
            case _:
                self._apply_embargo(record)

    def _check_configuration(self, record: ConfigurationRecord) -> None:
        accepted = self.accepted_configuration
        if accepted is None:
            return
        if "embargoes" in self.doc:
            from petrelhaven.control.embargo.rules import check_configuration

            check_configuration(self.doc, record.embargo)
        digest = self._accepted_digest(record.version)
        if digest is not None and (
            digest == configuration_digest(record.text) or _has_same_origin(record, accepted)
        ):
            state = "in force" if record.version == accepted.version else "accepted"
            raise Duplicate(
                f"version {record.version} is {state} already", details={"version": record.version}
            )
        if digest is not None:
            raise VersionTaken(
                f"version {record.version} is taken by another manifest",
                details={"version": accepted.version, "taken": record.version, "digest": digest},
            )
        if record.version < accepted.version:
            raise Stale(
                f"version {accepted.version} is in force", details={"version": accepted.version}
            )
        if record.retire is False:
            self._check_no_served_group_removed(record)

    def _check_no_served_group_removed(self, record: ConfigurationRecord) -> None:
        remaining = {group["name"] for group in json.loads(record.text)["groups"]}
        configuration = self.configuration or {"groups": []}
        removed = {group["name"] for group in configuration["groups"]} - remaining
        served = sorted(removed & set(self.doc["offices"]))
        if served:
            raise invalid_document(
                "manifest declined",
                [
                    ConfigurationFault(
                        "groups", f"group {group} is served; retire it with retire=true"
                    )
                    for group in served
                ],
            )

    def _accepted_digest(self, version: int) -> str | None:
        """Returns the digest of the configuration accepted as `version`, or None if not stored."""
        accepted = self.accepted_configuration
        if accepted is not None and accepted.version == version:
            return accepted.digest
        return next(
            (
                digest
                for accepted_version, digest in reversed(self.doc["accepted"])
                if accepted_version == version
            ),
            None,
        )

    def _apply_configuration(self, record: ConfigurationRecord) -> None:
        accepted = AcceptedConfiguration(
            record.version,
            record.text,
            record.by,
            configuration_digest(record.text),
            record.embargo,
        )
        self.doc["manifest"] = accepted.to_row()
        self.doc["accepted"].append([accepted.version, accepted.digest])
        del self.doc["accepted"][:-_MAX_ACCEPTED_VERSIONS]
        if record.embargo is not None or "embargo_since" in self.doc:
            from petrelhaven.control.embargo.rules import apply_configuration

            apply_configuration(self.doc, record.embargo, self.seq + 1)
        self._configuration = None

    def _check_member(self, record: MemberRecord) -> None:
        row = self.doc["members"].get(record.name)
        if row is None:
            return
        if self._is_late(record, row):
            raise Stale(
                f"member {record.name} is {row['state']}; this was said before",
                details={"count": row["count"]},
            )
        if _without_count(row) == _without_count(record.row):
            raise Duplicate(f"member {record.name} is {record.state}")

    def _is_late(self, record: MemberRecord, row: Document) -> bool:
        """Returns whether the member sent an announcement before what is recorded in its `row`.

        Announcements may arrive late and at any node, and unchanged ones aren't recorded.
        """
        is_counted = record.count <= row["count"]
        if row["state"] == MemberState.READY:
            return False
        if row["state"] == MemberState.DRAINING:
            return record.state == MemberState.READY and is_counted
        is_draining = record.state == MemberState.DRAINING
        return is_counted or is_draining or self._is_displaced(record, row)

    def _is_displaced(self, record: MemberRecord, row: Document) -> bool:
        """Returns whether another member was recorded at the address that a departed one had."""
        return record.address == row["addr"] and any(
            other["addr"] == record.address and other["state"] != MemberState.GONE
            for other in self.doc["members"].values()
        )

    def _apply_member(self, record: MemberRecord) -> None:
        members = self.doc["members"]
        for name, row in members.items():
            if name != record.name and row["addr"] == record.address:
                self._replace_member_at_address(name, row, record.group)
        members.pop(record.name, None)
        members[record.name] = dict(record.row)
        self._drop_old_departures()
        sizes = self.doc["sizes"]
        group = record.group
        sizes[group] = max(sizes.get(group, 0), len(self.group_members(group)))

    def _drop_old_departures(self) -> None:
        """Drops the oldest departed members.

        As many are kept as there are members: a late announcement must find its departure also
        while all members of a fleet are replaced.
        """
        members = self.doc["members"]
        gone = [name for name, row in members.items() if row["state"] == MemberState.GONE]
        limit = max(_MIN_STORED_DEPARTURES, len(members) - len(gone))
        for name in gone[: max(0, len(gone) - limit)]:
            del members[name]

    def _check_departure(self, record: DepartureRecord) -> None:
        row = self.doc["members"].get(record.name)
        if row is None or row["state"] == MemberState.GONE:
            raise Duplicate(f"member {record.name} is gone")

    def _apply_departure(self, record: DepartureRecord) -> None:
        if record.count is not None:
            members = self.doc["members"]
            # Behind those that departed before; `_drop_old_departures` starts with the first.
            row = members[record.name] = members.pop(record.name)
            row["count"] = max(row["count"], record.count)
        self._set_member_gone(record.name)

    def _set_member_gone(self, name: str) -> None:
        """Marks member `name` as gone and updates the evidence of its group.

        Its copy of the log counts as lost.
        """
        row = self.doc["members"][name]
        row["state"] = str(MemberState.GONE)
        group = row["group"]
        leadership = self.leadership(group)
        in_change = leadership is not None and not leadership.is_serving
        evidence = self.evidence(group)
        self._put_evidence(group, evidence.with_departure(name, in_change))
        if name not in self.evidence(group).unproven and not in_change:
            self._reduce_known_size(group)

    def _replace_member_at_address(self, name: str, row: Document, group: str) -> None:
        """Marks member `name` as gone because a member of `group` announced its address."""
        was_gone = row["state"] == MemberState.GONE
        row["state"] = str(MemberState.GONE)
        if row["group"] != group:
            if not was_gone:
                self._set_member_gone(name)
            return
        evidence = self.evidence(group)
        updated = evidence.with_replacement(name)
        if updated != evidence:
            self._put_evidence(group, updated)

    def _reduce_known_size(self, group: str) -> None:
        """Reduces by one how many copies of the log a proof of completeness needs."""
        minimum = len(self.group_members(group)) + len(self.evidence(group).unproven)
        self.doc["sizes"][group] = max(minimum, self.doc["sizes"].get(group, 0) - 1)

    def _put_evidence(self, group: str, evidence: Evidence) -> None:
        self.doc["evidence"][group] = evidence.to_document()

    def _add_missing_evidence(self) -> None:
        """Derives evidence for a document written before evidence was recorded.

        Such a document has only the largest number of members that a group had at once, so the
        missing ones count as unproven.
        """
        for group, size in self.doc["sizes"].items():
            missing = size - len(self.group_members(group))
            if missing > 0:
                names = tuple(f"unrecorded-{index + 1}" for index in range(missing))
                self._put_evidence(group, Evidence(unproven=names))

    def _check_evidence(self, record: EvidenceRecord) -> None:
        """Accepts evidence about present members and orders for groups without a primary."""
        group = record.group
        leadership = self.leadership(group)
        if leadership is None:
            raise NoRoute(f"no group {group[:_MAX_SHOWN_NAME_LENGTH]} is served")
        if isinstance(record, CountedOutRecord | NonVotingRecord):
            self._check_counted_member(record)
        if isinstance(record, ElectionOrderRecord):
            self._check_election_order(record, leadership)

    def _check_counted_member(self, record: CountedOutRecord | NonVotingRecord) -> None:
        """Accepts present members, and departed ones whose vote is removed or returned."""
        evidence = self.evidence(record.group)
        departed: tuple[str, ...] = ()
        if isinstance(record, NonVotingRecord):
            departed = evidence.unproven
        elif record.position is None:
            departed = evidence.non_voting
        if record.member not in self.group_members(record.group) and record.member not in departed:
            raise Stale(f"member {record.member} is gone")

    def _check_election_order(self, record: ElectionOrderRecord, leadership: Leadership) -> None:
        group, member = record.group[:_MAX_SHOWN_NAME_LENGTH], record.member
        if leadership.phase is not LeadershipPhase.FAILOVER:
            served = f"group {group} is served by {leadership.primary}"
            raise invalid_document(
                "no election is waited for", [ConfigurationFault("group", served)]
            )
        if record.number != leadership.number:
            raise Conflict(
                f"leadership {leadership.number} of {group} is waiting, not {record.number}"
            )
        if member not in self.group_members(record.group):
            missing = f"no member {member[:_MAX_SHOWN_NAME_LENGTH]} in group {group}"
            raise invalid_document("no such member", [ConfigurationFault("member", missing)])
        order = self.evidence(record.group).order
        if order is not None and order.member == member:
            raise Duplicate(f"{order.by} ordered {member} already")

    def _apply_evidence(self, record: EvidenceRecord) -> None:
        group = record.group
        evidence = self.evidence(group)
        match record:
            case CountedOutRecord():
                evidence = evidence.with_counted_out(record.member, record.position)
            case NonVotingRecord():
                evidence = evidence.with_non_voting(record.member)
            case LogBoundRecord():
                self._apply_log_bound(record, evidence)
                return
            case ElectionOrderRecord():
                evidence = evidence.with_election_order(ElectionOrder(record.member, record.by))
        self._put_evidence(group, evidence)

    def _apply_log_bound(self, record: LogBoundRecord, evidence: Evidence) -> None:
        resolved = len(set(record.members) & set(evidence.unproven))
        self._put_evidence(
            record.group, evidence.with_bounded_logs(record.members, record.position)
        )
        for _ in range(resolved):
            self._reduce_known_size(record.group)

    def _check_leadership(self, record: LeadershipRecord) -> None:
        current = self.leadership(record.group)
        number = current.number if current else 0
        if record.number != number + 1:
            raise Conflict(f"office {record.number} does not follow {number}")

    def _apply_leadership(self, record: LeadershipRecord) -> None:
        previous = self.leadership(record.group)
        row = {**record.row, "since": _leadership_since(previous, record)}
        self.doc["offices"][record.group] = row
        if record.phase == LeadershipPhase.SERVING and previous is not None:
            evidence = self.evidence(record.group).with_primary(
                previous.primary != record.primary,
                record.position or NO_POSITION,
                bool(record.accepted_loss),
            )
            self._put_evidence(record.group, evidence.with_vote(record.primary))
        history = self.doc["past"].setdefault(record.group, [])
        history.append({**row, "seq": self.seq + 1})
        del history[:-_MAX_PAST_LEADERSHIPS]

    def _check_counting(self, record: CountingRecord) -> None:
        if not record.settled_seq:
            return
        start = self.counting_starts.get(record.node)
        if start is None or start.is_settled or start.seq != record.settled_seq:
            raise Stale(f"node {record.node} has started to count again or is settled already")

    def _apply_counting(self, record: CountingRecord) -> None:
        start = record.next_start(self.counting_starts.get(record.node), self.seq + 1)
        self.doc.setdefault("counting", {})[record.node] = list(start)

    def _check_embargo(self, record: EmbargoRecord) -> None:
        from petrelhaven.control.embargo.rules import check_embargo_record

        check_embargo_record(self.doc, record)

    def _apply_embargo(self, record: EmbargoRecord) -> None:
        from petrelhaven.control.embargo.rules import apply_embargo_record

        apply_embargo_record(self.doc, record, self.seq + 1)

    def _reported_groups(self) -> Document:
        """Returns the entries of `reported_state` that depend on the kind of sessions."""
        members = sorted(self.doc["members"].items())
        return {
            "epochs": self.doc["offices"],
            "members": {name: [row["group"], row["state"], row["role"]] for name, row in members},
            "edges": {},
        }


def _has_same_origin(record: ConfigurationRecord, accepted: AcceptedConfiguration) -> bool:
    """Returns whether both texts have the same origin.

    The origin identifies the operator's document. Another version of the programs may make another
    text from the same document.
    """
    if record.version != accepted.version:
        return False
    origin = json.loads(record.text).get("origin")
    return bool(origin) and origin == json.loads(accepted.text).get("origin")


def _without_count(row: Mapping[str, Any]) -> Document:
    return {key: value for key, value in row.items() if key != "count"}


def _leadership_since(previous: Leadership | None, record: LeadershipRecord) -> int:
    """Returns the number of the first record with this primary and phase."""
    if previous is None or (previous.primary, previous.phase) != (record.primary, record.phase):
        return record.number
    return previous.since
