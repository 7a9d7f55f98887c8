"""The numbered events of every log, and the one function that writes them.

Operators' pages and alerts rest on the numbers and levels, so these never change; docs/events.md
lists every event with its remedy.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

import logbook

__all__ = ["EVENTS", "Event", "Events", "emit", "logger", "set_level"]

_INFO, _WARNING, _ERROR = "info", "warning", "error"


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log line.

    Attributes:
        number: what the line carries, as `E305`.
        level: info, warning or error.
        title: what happened.
        remedy: what an operator has to do about it.
    """

    number: int
    level: str
    title: str
    remedy: str


class Events:
    """Every event, by name."""

    # Every node.
    NODE_STARTED = Event(101, _INFO, "node started", "none")
    NODE_READY = Event(102, _INFO, "node ready", "none")
    NODE_LEAVING = Event(103, _INFO, "node leaving", "none; it hands over and exits")
    NODE_ENDED = Event(104, _INFO, "node ended", "none")
    SETTINGS_DECLINED = Event(105, _ERROR, "settings declined", "correct the field named")
    SETTINGS_CHANGE_DECLINED = Event(
        106,
        _ERROR,
        "settings change declined; the running settings stay",
        "correct the field named in the file",
    )
    SETTINGS_CHANGED_LIVE = Event(107, _INFO, "settings change taken live", "none")
    SETTINGS_WAIT_FOR_RESTART = Event(
        108, _WARNING, "settings change waits for a restart", "restart the node when it suits"
    )
    OPERATOR_INTERFACE_UNAVAILABLE = Event(
        109,
        _WARNING,
        "the product's own interface can't listen",
        "find who has the port; the node serves without that interface",
    )
    MALFORMED_MESSAGE = Event(
        110,
        _WARNING,
        "malformed message on an internal port",
        "find who speaks to the port; the connection was closed",
    )
    VERSION_MISMATCH = Event(
        111, _WARNING, "internal message of another version", "finish the roll-out"
    )
    HANDLER_FAILED = Event(112, _WARNING, "internal handler failed", "report with the fields")

    # Membership.
    PEER_JOINED = Event(201, _INFO, "peer joined", "none")
    PEER_SUSPECTED = Event(202, _WARNING, "peer suspected", "none; a second opinion is asked")
    PEER_GONE = Event(203, _WARNING, "peer gone", "look at the machine if nobody restarted it")
    PEER_RETURNED = Event(204, _INFO, "peer came back", "none")

    # Control nodes: the chain, records and disks.
    VIEW_ADOPTED = Event(301, _INFO, "view adopted", "none")
    VIEW_PROPOSED = Event(302, _WARNING, "view proposed", "none; a control node came or went")
    DISK_DAMAGED = Event(
        303,
        _ERROR,
        "disk damaged, control node rejoins as empty",
        "look at the disk; see the disk-loss page",
    )
    CHAIN_REJOINED = Event(304, _INFO, "control node rejoins the chain", "none")
    RECORD_COMMITTED = Event(305, _INFO, "record committed", "none")
    RECORD_IN_FORCE = Event(306, _INFO, "record in force everywhere", "none")
    RECORD_DECLINED = Event(307, _WARNING, "record declined", "the operator was told why")
    PROXY_GONE = Event(
        308, _WARNING, "proxy declared gone", "look at the machine if nobody restarted it"
    )
    STATE_LOADED = Event(309, _INFO, "control state loaded from disk", "none")
    CHAIN_REFORMED = Event(
        310, _ERROR, "chain formed anew by the operator's order", "read the disk-loss page"
    )
    SURVEY_UNANSWERED = Event(
        311,
        _WARNING,
        "no control state from a proxy while the chain is formed anew",
        "none; another node's may be as new",
    )
    DISK_REFUSES_WRITES = Event(
        316,
        _ERROR,
        "disk refuses writes; the control node is out of service until it takes them",
        "make room or look at the disk; the control node comes back by itself",
    )
    DISK_TAKES_WRITES = Event(317, _INFO, "disk takes writes again", "none")
    DAMAGED_FILES_COPIED = Event(
        318,
        _ERROR,
        "damaged files copied before the control node starts anew",
        "read the disk-loss page before you remove them",
    )
    DAMAGED_COPIES_REMOVED = Event(
        319, _INFO, "copies of damaged files removed; others hold as much", "none"
    )

    FIELDS_NOT_ACTED_UPON = Event(
        312,
        _WARNING,
        "configuration taken with fields that nothing acts upon",
        "don't rely on the fields named",
    )

    # Control nodes: leadership of groups.
    LEADERSHIP_CHANGED = Event(320, _INFO, "leadership changed", "read `petrelhavenctl why`")
    GROUP_HALTED = Event(
        321,
        _WARNING,
        "group halted",
        "read `petrelhavenctl why`; writes are declined until a primary is elected",
    )
    NO_SAFE_CANDIDATE = Event(
        322, _WARNING, "no safe candidate", "bring a member of the in-sync set back"
    )
    PLATFORM_DECLINED = Event(
        323, _WARNING, "platform declined or unreachable", "look at the platform; it is asked again"
    )
    PRIMARY_PROMOTED = Event(324, _INFO, "primary promoted", "none")
    PROMOTION_OBSERVED = Event(
        325,
        _WARNING,
        "promotion seen at the member before the platform answered",
        "look at the platform",
    )
    CANDIDATE_CHOSEN = Event(326, _INFO, "candidate chosen; the platform is asked", "none")
    PRIMARY_CHECKED = Event(
        327,
        _INFO,
        "primary checked after a suspicion",
        "none; `seen` is what each control node of the chain saw",
    )
    LEADER_CHANGE_WAITS = Event(
        328,
        _WARNING,
        "leader change waits",
        "read `note`: a member that is not heard, or a candidate that catches up",
    )

    # Embargoes and agreed time.
    EMBARGO_IN_FORCE = Event(330, _INFO, "embargo in force", "none; `by` set, moved or lifted it")
    WALL_CLOCK_WRONG = Event(
        331,
        _WARNING,
        "wall clock outside of what most control nodes agree on",
        "set the clock of this machine",
    )
    NO_AGREED_TIME = Event(
        332,
        _WARNING,
        "no agreed time; nothing more is released",
        "look at the control nodes' clocks and links",
    )
    TIME_AGREED_AGAIN = Event(333, _INFO, "time agreed again", "none")
    AGREED_TIME_JUMPED = Event(
        334,
        _WARNING,
        "agreed time jumped; nothing is released for a minute",
        "look at the clocks of all control nodes",
    )

    # Control nodes: members and their logs.
    MEMBER_COUNTED_OUT = Event(
        340,
        _INFO,
        "member counted out: what only it has is at or below `pos`",
        "none; those that stay hold the rest",
    )
    MEMBER_COUNTED_AGAIN = Event(
        341, _INFO, "member counts again", "none; no other replica receives"
    )
    DEPARTED_LOG_BOUNDED = Event(
        342,
        _INFO,
        "log of departed members bounded",
        "none; whoever holds `pos` holds all of theirs",
    )
    GROUP_WAITS_FOR_PROOF = Event(
        343,
        _ERROR,
        "group waits: nobody is proved to hold every acknowledged commit",
        "bring the member named or the primary back; or accept the loss: `petrelhavenctl elect`",
    )
    MEMBER_ELECTED_BY_ORDER = Event(
        344,
        _ERROR,
        "member elected by order; acknowledged commits may be lost",
        "none; `by` gave the order",
    )

    # Control nodes: counts of tenants' operations.
    COUNTS_TAKEN_OVER = Event(
        351,
        _INFO,
        "counts of tenants taken over",
        "none; `fresh` of them without a past, in the regime named",
    )

    # Proxies: control nodes and records.
    CONTROL_NODE_CONNECTED = Event(
        401, _INFO, "control node connected; leases come from it", "none"
    )
    CONTROL_NODE_LOST = Event(
        402,
        _WARNING,
        "control node lost; its leases expire",
        "look at the links to the control nodes",
    )
    RECORD_APPLIED = Event(403, _INFO, "record applied", "none")
    PROXY_REJOINED = Event(
        404, _WARNING, "proxy was declared gone and joins anew", "look at its links"
    )

    # Proxies: replicas of resumable sessions.
    SESSION_TAKEN_OVER = Event(410, _INFO, "session taken over", "none")
    SESSION_HANDED_OVER = Event(411, _INFO, "session handed over", "none")
    SESSION_KEEPER_CHANGED = Event(412, _WARNING, "session keeper changed", "none")
    SESSION_REPLICATION_DELAYED = Event(
        413, _WARNING, "session replication delayed", "none; it is tried again"
    )

    # Proxies: statements.
    STATEMENT_OUTCOME_UNKNOWN = Event(
        420, _WARNING, "statement outcome unknown", "none; the client was told"
    )
    MEMBER_CONNECTION_LOST = Event(
        421, _WARNING, "member connection lost", "look at the member if it recurs"
    )
    LOAD_SHED = Event(422, _WARNING, "load shed", "add proxies or lower the load")
    PRIMARY_SUSPECTED = Event(
        423,
        _WARNING,
        "primary suspected; the control nodes are told",
        "none; a control node checks for itself",
    )
    IDLE_TRANSACTION_ENDED = Event(424, _INFO, "idle transaction ended at its member", "none")
    STATEMENT_NOT_SERVED = Event(
        425,
        _WARNING,
        "statement not served",
        "read `code` and `note`: busy and aborted were not kept, unsure may be",
    )

    # Proxies: embargoed reads.
    READ_WITHHELD = Event(
        430,
        _INFO,
        "read withheld",
        "none; `why` is embargo, lease (this proxy may not know the newest rules) or late",
    )
    FURTHER_READS_WITHHELD = Event(
        431,
        _INFO,
        "reads withheld that were not named one by one",
        "none; more than this proxy names in a second",
    )
    NO_LEASE = Event(
        432,
        _WARNING,
        "no lease; every read of an embargoed group is withheld",
        "look at the links to the control nodes",
    )
    LEASE_REGAINED = Event(433, _INFO, "lease held again; released records are served", "none")

    # Emulators and tasks.
    EMULATOR_STARTED = Event(901, _INFO, "emulator started", "none")
    EMULATOR_FAULT_SET = Event(902, _INFO, "emulator fault switched", "none")
    TASK_FAILED = Event(903, _ERROR, "task failed", "report with the fields")


EVENTS: dict[int, Event] = {
    event.number: event for event in vars(Events).values() if isinstance(event, Event)
}
"""Every event by its number."""

_LINE = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"
_LEVELS = {_INFO: logbook.INFO, _WARNING: logbook.WARNING, _ERROR: logbook.ERROR}


def logger(name: str, level: str = _INFO) -> logbook.Logger:
    """A log of numbered events on standard error for the node `name`, from `level` upwards."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level="DEBUG",
        bubble=False,
        format_string=_LINE,
    )
    handler.push_application()
    return logbook.Logger(name, logbook.lookup_level(level.upper()))


def set_level(log: logbook.Logger, level: str) -> None:
    """Sets the least level of a running log."""
    log.level = logbook.lookup_level(level.upper())


def emit(log: logbook.Logger | None, event: Event, /, **fields: object) -> None:
    """Writes `event` with its fields to `log`, if there is one."""
    if log is None:
        return
    values = "".join(f" {name}={value}" for name, value in fields.items())
    log.log(_LEVELS[event.level], f"E{event.number:03d} {event.title}{values}")
