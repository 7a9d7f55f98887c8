"""The control state for resumable sessions: configuration, zones, proxies and groups' epochs."""

from __future__ import annotations

from petrelhaven.control.configuration.document import Configuration
from petrelhaven.control.configuration.faults import ConfigurationFault, invalid_document
from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.control.resumable.records import (
    EpochInForceRecord,
    EpochRecord,
    LeaseExpiryRecord,
    ProxyRecord,
    ResumableRecord,
    from_document,
)
from petrelhaven.control.state.base import (
    ZONE_EVACUATED,
    ZONE_OPEN,
    BaseControlState,
    configuration_digest,
)
from petrelhaven.control.state.record import Document
from petrelhaven.control.state.records import ConfigurationRecord, ZoneRecord
from petrelhaven.control.state.rows import AcceptedConfiguration
from petrelhaven.runtime.errors import Conflict, Duplicate, Stale

__all__ = ["ResumableControlState"]

_UP = "up"
_GONE = "gone"
_MAX_PREVIOUS_VERSIONS = 64
_PAST_EPOCH_KEYS = (
    "n",
    "phase",
    "primary",
    "hold",
    "safe",
    "gates",
    "cause",
    "evidence",
    "by",
    "view",
    "seq",
)
_COMPARED_EPOCH_KEYS = (
    "n",
    "phase",
    "primary",
    "hold",
    "safe",
    "gates",
    "open",
    "settled",
    "shares",
)

Shares = dict[str, dict[str, int]]


class ResumableControlState(BaseControlState[Configuration, ResumableRecord]):
    """The replicated control state for sessions that outlive their client's connection."""

    __slots__ = ()

    def __init__(self, document: Document | None = None) -> None:
        """Uses a stored document, or starts with an empty state."""
        empty: Document = {
            "seq": 0,
            "manifest": None,
            "old": [],
            "halls": {},
            "edges": {},
            "epochs": {},
            "past": {},
        }
        super().__init__(document or empty)

    def share(self, group: str, proxy: str, member: str) -> int:
        """Returns how many connections `proxy` may have open to `member` now.

        Until every proxy has applied the new epoch, a proxy gets the smaller of its shares in the
        new and in the previous epoch, so that the sum never exceeds the member's limit.
        """
        epoch = self.doc["epochs"].get(group)
        if not epoch:
            return 0
        share = _share(epoch["shares"], proxy, member)
        if epoch["settled"]:
            return share
        return min(share, _share(epoch["before"], proxy, member))

    def read_configuration(self, text: str) -> Configuration:
        """Parses and validates a configuration."""
        return parse_configuration(text)

    def _read_record(self, document: Document) -> ResumableRecord:
        return from_document(document)

    def _check(self, record: ResumableRecord) -> None:
        match record:
            case ConfigurationRecord():
                self._check_configuration(record)
            case ZoneRecord():
                self._check_zone(record)
            case ProxyRecord():
                self._check_proxy(record)
            case LeaseExpiryRecord():
                self._check_lease_expiry(record)
            case EpochRecord():
                self._check_epoch(record)
            case EpochInForceRecord():
                self._check_epoch_in_force(record)

    def _apply(self, record: ResumableRecord) -> None:
        match record:
            case ConfigurationRecord():
                self._apply_configuration(record)
            case ZoneRecord():
                self._apply_zone(record)
            case ProxyRecord():
                self._apply_proxy(record)
            case LeaseExpiryRecord():
                self.doc["edges"][record.name]["lapsed"] = True
            case EpochRecord():
                self._apply_epoch(record)
            case EpochInForceRecord():
                self.doc["epochs"][record.group]["settled"] = True

    def _check_configuration(self, record: ConfigurationRecord) -> None:
        configuration = self.read_configuration(record.text)
        accepted = self.doc["manifest"]
        if not accepted:
            return
        version, in_force = configuration.version, accepted["version"]
        if version == in_force:
            if configuration_digest(record.text) == accepted["digest"]:
                raise Duplicate(
                    f"version {version} is in force already", details={"version": version}
                )
            raise Stale(
                f"version {version} is taken by another manifest", details={"version": in_force}
            )
        if version < in_force:
            raise Stale(f"version {in_force} is in force", details={"version": in_force})
        if not record.retire:
            self._check_no_served_group_is_dropped(configuration)

    def _check_no_served_group_is_dropped(self, configuration: Configuration) -> None:
        current = (
            {group.name for group in self.configuration.groups} if self.configuration else set()
        )
        dropped = current - {group.name for group in configuration.groups}
        served = sorted(group for group in dropped if group in self.doc["epochs"])
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

    def _apply_configuration(self, record: ConfigurationRecord) -> None:
        configuration = self.read_configuration(record.text)
        if self.doc["manifest"]:
            self.doc["old"] = (self.doc["old"] + [self.doc["manifest"]])[-_MAX_PREVIOUS_VERSIONS:]
        accepted = AcceptedConfiguration(
            configuration.version, record.text, record.by, configuration_digest(record.text)
        )
        self.doc["manifest"] = accepted.to_row()
        self._configuration = configuration
        names = {group.name for group in configuration.groups}
        for group in list(self.doc["epochs"]):
            if group not in names:
                del self.doc["epochs"][group]

    def _check_zone(self, record: ZoneRecord) -> None:
        zones = self.configuration.zones if self.configuration else ()
        if record.zone not in zones:
            raise invalid_document(
                f"no hall {record.zone}", [ConfigurationFault("hall", f"no hall {record.zone}")]
            )
        super()._check_zone(record)
        others = [
            zone for zone in zones if zone != record.zone and self.zone_state(zone) == ZONE_OPEN
        ]
        if record.state == ZONE_EVACUATED and not others:
            raise invalid_document(
                "last open hall",
                [ConfigurationFault("hall", "the last open hall can't be emptied")],
            )

    def _check_proxy(self, record: ProxyRecord) -> None:
        row = self.doc["edges"].get(record.name)
        if row is None:
            if record.state != _UP:
                raise Stale(f"no edge {record.name}")
            return
        same_incarnation = record.incarnation == row["inc"]
        if record.incarnation < row["inc"] or (same_incarnation and row["state"] == _GONE):
            raise Stale(f"edge {record.name} incarnation {row['inc']} is {row['state']}")
        boot = row.get("boot")
        if same_incarnation and boot and record.boot and boot != record.boot:
            raise Stale(f"edge {record.name} incarnation {row['inc']} is another process")
        if same_incarnation and row["state"] == record.state:
            raise Duplicate(f"edge {record.name} is {record.state}")

    def _apply_proxy(self, record: ProxyRecord) -> None:
        row = self.doc["edges"].setdefault(record.name, {})
        row.pop("lapsed", None)
        announced = {
            "inc": record.incarnation,
            "state": record.state,
            "boot": record.boot,
            "hall": record.zone,
            "addr": record.address,
            "http": record.http,
        }
        row.update({key: value for key, value in announced.items() if value not in (None, "")})

    def _check_lease_expiry(self, record: LeaseExpiryRecord) -> None:
        row = self.doc["edges"].get(record.name)
        if not row or row["inc"] != record.incarnation:
            raise Conflict("edge moved on")
        if row["state"] != _GONE or row.get("lapsed"):
            raise Conflict("edge moved on")

    def _check_epoch(self, record: EpochRecord) -> None:
        groups = self.configuration.groups if self.configuration else ()
        if record.group not in {group.name for group in groups}:
            raise Stale(f"no group {record.group}")
        last = self._last_epoch_number(record.group)
        if record.number != last + 1:
            raise Conflict(f"epoch {record.number} does not follow {last}")

    def _last_epoch_number(self, group: str) -> int:
        """Returns the number of the group's last epoch, even if the group was dropped since."""
        epoch = self.doc["epochs"].get(group)
        if epoch is None:
            past = self.doc["past"].get(group)
            epoch = past[-1] if past else {"n": 0}
        number: int = epoch["n"]
        return number

    def _apply_epoch(self, record: EpochRecord) -> None:
        old = self.doc["epochs"].get(record.group)
        row = dict(record.row)
        row["settled"] = False
        row["before"] = _guaranteed_shares(old)
        self.doc["epochs"][record.group] = row
        past = self.doc["past"].setdefault(record.group, [])
        past.append(
            {key: row[key] for key in _PAST_EPOCH_KEYS if key in row} | {"seq": self.seq + 1}
        )
        del past[:-_MAX_PREVIOUS_VERSIONS]

    def _check_epoch_in_force(self, record: EpochInForceRecord) -> None:
        epoch = self.doc["epochs"].get(record.group)
        if not epoch or epoch["n"] != record.number or epoch["settled"]:
            raise Conflict("epoch moved on")

    def _reported_groups(self) -> Document:
        """Returns the entries for epochs and proxies that `petrelhaven-diff` compares."""
        epochs = sorted(self.doc["epochs"].items())
        proxies = sorted(self.doc["edges"].items())
        return {
            "epochs": {
                group: {key: row[key] for key in _COMPARED_EPOCH_KEYS} for group, row in epochs
            },
            "edges": {name: [row["inc"], row["state"]] for name, row in proxies},
        }


def _share(shares: Shares, proxy: str, member: str) -> int:
    return shares.get(proxy, {}).get(member, 0)


def _guaranteed_shares(epoch: Document | None) -> Shares:
    """Returns the shares that each proxy may use under `epoch`, whether or not it is in force."""
    if not epoch:
        return {}
    shares: Shares = epoch["shares"]
    if epoch["settled"]:
        return shares
    return {
        proxy: {
            member: min(share, _share(epoch["before"], proxy, member))
            for member, share in row.items()
        }
        for proxy, row in shares.items()
    }
