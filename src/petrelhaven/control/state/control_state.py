"""Control state of connection sessions: configuration, zones, members, leaderships, evidence."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from petrelhaven.control.configuration.faults import ConfigurationFault, invalid_document
from petrelhaven.control.failover.evidence import NO_POSITION, ElectionOrder, Evidence
from petrelhaven.control.state.base import BaseControlState, digest_of
from petrelhaven.control.state.counting_record import CountingRecord, CountingStart
from petrelhaven.control.state.evidence_records import (
    BoundedRecord,
    CountedOutRecord,
    ElectionOrderRecord,
    EvidenceRecord,
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
)
from petrelhaven.runtime.errors import Conflict, Duplicate, NoRoute, Stale, VersionTaken

if TYPE_CHECKING:
    from petrelhaven.control.embargo.records import EmbargoRecord

__all__ = ["ControlState"]

GONE = "gone"
_READY = "ready"
_MOST_GONE_MEMBERS = 64
_MOST_PAST_LEADERSHIPS = 16
_MOST_ACCEPTED_VERSIONS = 128
_NAME_LENGTH = 60


class ControlState(BaseControlState[dict[str, Any], ControlRecord]):
    """What all nodes agree on where sessions end with their client's connection."""

    __slots__ = ()

    def __init__(self, document: Document | None = None) -> None:
        """Takes over a stored document; what older versions left out is filled in."""
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
            self._evidence_of_older_version()

    @property
    def accepted_configuration(self) -> AcceptedConfiguration | None:
        """The configuration in force as it was accepted, or None before the first."""
        row = self.doc["manifest"]
        return AcceptedConfiguration.from_row(row) if row else None

    def member(self, name: str) -> Member | None:
        """The member of that name, also if it is gone and still remembered."""
        row = self.doc["members"].get(name)
        return None if row is None else Member.from_row(name, row)

    def leadership(self, group: str) -> Leadership | None:
        """Who leads `group`; None until it is served."""
        row = self.doc["offices"].get(group)
        return None if row is None else Leadership.from_row(row)

    @property
    def counting_starts(self) -> dict[str, CountingStart]:
        """The last beginning of each node that began to count tenants without a past."""
        return {node: CountingStart(*row) for node, row in self.doc.get("counting", {}).items()}

    def group(self, group: str) -> dict[str, Document]:
        """The rows of the members of `group` that are not gone, by name and in its order."""
        return {
            name: row
            for name, row in sorted(self.doc["members"].items())
            if row["group"] == group and row["state"] != GONE
        }

    def evidence(self, group: str) -> Evidence:
        """What is recorded about the logs of a group's members."""
        return Evidence.from_document(self.doc["evidence"].get(group))

    def read_configuration(self, text: str) -> dict[str, Any]:
        """The configuration as its text has it; the platform's start puts its own reader here."""
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
                | BoundedRecord()
                | ElectionOrderRecord()
                | UnknownEvidenceRecord()
            ):
                self._check_evidence(record)
            case SupersededConfiguration():
                raise invalid_document(
                    "nothing enters a placeholder",
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
                | BoundedRecord()
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
            digest == digest_of(record.text) or _has_origin_of(record, accepted)
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
            self._check_no_served_group_is_dropped(record)

    def _check_no_served_group_is_dropped(self, record: ConfigurationRecord) -> None:
        remaining = {group["name"] for group in json.loads(record.text)["groups"]}
        configuration = self.configuration or {"groups": []}
        dropped = {group["name"] for group in configuration["groups"]} - remaining
        served = sorted(dropped & set(self.doc["offices"]))
        if served:
            raise invalid_document(
                "manifest declined",
                [
                    ConfigurationFault("groups", f"group {g} is served; retire it with retire=true")
                    for g in served
                ],
            )

    def _accepted_digest(self, version: int) -> str | None:
        """The digest of the configuration accepted under `version`, if it is remembered."""
        accepted = self.accepted_configuration
        if accepted is not None and accepted.version == version:
            return accepted.digest
        return next((d for v, d in reversed(self.doc["accepted"]) if v == version), None)

    def _apply_configuration(self, record: ConfigurationRecord) -> None:
        accepted = AcceptedConfiguration(
            record.version, record.text, record.by, digest_of(record.text), record.embargo
        )
        self.doc["manifest"] = accepted.to_row()
        self.doc["accepted"].append([accepted.version, accepted.digest])
        del self.doc["accepted"][:-_MOST_ACCEPTED_VERSIONS]
        if record.embargo is not None or "embargo_since" in self.doc:
            from petrelhaven.control.embargo.rules import apply_configuration

            apply_configuration(self.doc, record.embargo, self.seq + 1)
        self._configuration = None

    def _check_member(self, record: MemberRecord) -> None:
        row = self.doc["members"].get(record.name)
        if row is None:
            return
        not_newer = record.count <= row["count"]
        if row["state"] != _READY and record.state == _READY and not_newer:
            raise Stale(
                f"member {record.name} is {row['state']}; this was said before",
                details={"count": row["count"]},
            )
        if _without_count(row) == _without_count(record.row):
            raise Duplicate(f"member {record.name} is {record.state}")

    def _apply_member(self, record: MemberRecord) -> None:
        members = self.doc["members"]
        for name, row in members.items():
            if name != record.name and row["addr"] == record.address:
                self._succeed(name, row, record.group)
        members.pop(record.name, None)
        members[record.name] = dict(record.row)
        gone = [name for name, row in members.items() if row["state"] == GONE]
        for name in gone[: max(0, len(gone) - _MOST_GONE_MEMBERS)]:
            del members[name]
        sizes = self.doc["sizes"]
        group = record.group
        sizes[group] = max(sizes.get(group, 0), len(self.group(group)))

    def _check_departure(self, record: DepartureRecord) -> None:
        row = self.doc["members"].get(record.name)
        if row is None or row["state"] == GONE:
            raise Duplicate(f"member {record.name} is gone")

    def _apply_departure(self, record: DepartureRecord) -> None:
        self._depart(record.name)

    def _depart(self, name: str) -> None:
        """A member signed off: its copy is gone with it."""
        row = self.doc["members"][name]
        row["state"] = GONE
        group = row["group"]
        leadership = self.leadership(group)
        moving = leadership is not None and not leadership.is_serving
        evidence = self.evidence(group)
        self._put_evidence(group, evidence.with_departure(name, moving))
        if name in evidence.counted_out and not moving:
            self._shrink(group)

    def _succeed(self, name: str, row: Document, group: str) -> None:
        """A member of `group` came to the address of member `name`."""
        was_gone = row["state"] == GONE
        row["state"] = GONE
        if row["group"] != group:
            if not was_gone:
                self._depart(name)
            return
        before = self.evidence(group)
        after = before.with_replacement(name)
        if after != before:
            self._put_evidence(group, after)

    def _shrink(self, group: str) -> None:
        """One copy fewer has to be known for a proof."""
        least = len(self.group(group)) + len(self.evidence(group).unproven)
        self.doc["sizes"][group] = max(least, self.doc["sizes"].get(group, 0) - 1)

    def _put_evidence(self, group: str, evidence: Evidence) -> None:
        self.doc["evidence"][group] = evidence.to_document()

    def _evidence_of_older_version(self) -> None:
        """A version without evidence knew only how many members a group ever had at once."""
        for group, size in self.doc["sizes"].items():
            missing = size - len(self.group(group))
            if missing > 0:
                names = tuple(f"unrecorded-{i + 1}" for i in range(missing))
                self._put_evidence(group, Evidence(unproven=names))

    def _check_evidence(self, record: EvidenceRecord) -> None:
        """Evidence may be added about members that are there, and orders about groups that halt."""
        group = record.group
        leadership = self.leadership(group)
        if leadership is None:
            raise NoRoute(f"no group {group[:_NAME_LENGTH]} is served")
        if isinstance(record, CountedOutRecord) and record.member not in self.group(group):
            raise Stale(f"member {record.member} is gone")
        if isinstance(record, ElectionOrderRecord):
            self._check_order(record, leadership)

    def _check_order(self, record: ElectionOrderRecord, leadership: Leadership) -> None:
        group, member = record.group[:_NAME_LENGTH], record.member
        if leadership.phase is not LeadershipPhase.FAILOVER:
            served = f"group {group} is served by {leadership.primary}"
            raise invalid_document(
                "no election is waited for", [ConfigurationFault("group", served)]
            )
        if record.number != leadership.number:
            raise Conflict(f"office {leadership.number} of {group} waits, not {record.number}")
        if member not in self.group(record.group):
            missing = f"no member {member[:_NAME_LENGTH]} in group {group}"
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
            case BoundedRecord():
                self._apply_bound(record, evidence)
                return
            case ElectionOrderRecord():
                evidence = evidence.with_election_order(ElectionOrder(record.member, record.by))
        self._put_evidence(group, evidence)

    def _apply_bound(self, record: BoundedRecord, evidence: Evidence) -> None:
        resolved = len(set(record.members) & set(evidence.unproven))
        self._put_evidence(
            record.group, evidence.with_bounded_logs(record.members, record.position)
        )
        for _ in range(resolved):
            self._shrink(record.group)

    def _check_leadership(self, record: LeadershipRecord) -> None:
        before = self.leadership(record.group)
        number = before.number if before else 0
        if record.number != number + 1:
            raise Conflict(f"office {record.number} does not follow {number}")

    def _apply_leadership(self, record: LeadershipRecord) -> None:
        before = self.leadership(record.group)
        row = {**record.row, "since": _leadership_since(before, record)}
        self.doc["offices"][record.group] = row
        if record.phase == LeadershipPhase.SERVING and before is not None:
            evidence = self.evidence(record.group).with_primary(
                before.primary != record.primary,
                record.position or NO_POSITION,
                bool(record.accepted_loss),
            )
            self._put_evidence(record.group, evidence)
        past = self.doc["past"].setdefault(record.group, [])
        past.append({**row, "seq": self.seq + 1})
        del past[:-_MOST_PAST_LEADERSHIPS]

    def _check_counting(self, record: CountingRecord) -> None:
        if not record.settles:
            return
        start = self.counting_starts.get(record.node)
        if start is None or start.is_settled or start.seq != record.settles:
            raise Stale(f"node {record.node} began anew since, or is settled")

    def _apply_counting(self, record: CountingRecord) -> None:
        start = record.start_after(self.counting_starts.get(record.node), self.seq + 1)
        self.doc.setdefault("counting", {})[record.node] = list(start)

    def _check_embargo(self, record: EmbargoRecord) -> None:
        from petrelhaven.control.embargo.rules import check_embargo_record

        check_embargo_record(self.doc, record)

    def _apply_embargo(self, record: EmbargoRecord) -> None:
        from petrelhaven.control.embargo.rules import apply_embargo_record

        apply_embargo_record(self.doc, record, self.seq + 1)

    def _belief_of_groups(self) -> Document:
        """What differs between the kinds of sessions in what `petrelhaven-diff` compares."""
        members = sorted(self.doc["members"].items())
        return {
            "epochs": self.doc["offices"],
            "members": {name: [row["group"], row["state"], row["role"]] for name, row in members},
            "edges": {},
        }


def _has_origin_of(record: ConfigurationRecord, accepted: AcceptedConfiguration) -> bool:
    """Whether both were made from one document, of which another version made another text."""
    if record.version != accepted.version:
        return False
    origin = json.loads(record.text).get("origin")
    return bool(origin) and origin == json.loads(accepted.text).get("origin")


def _without_count(row: Mapping[str, Any]) -> Document:
    return {key: value for key, value in row.items() if key != "count"}


def _leadership_since(before: Leadership | None, record: LeadershipRecord) -> int:
    """The number of the first record from which primary and phase are what they are."""
    if before is None or (before.primary, before.phase) != (record.primary, record.phase):
        return record.number
    return before.since
