"""The numbered events of all logs, and the function that writes them.

Operators' pages and alerts depend on the numbers and levels, so these never change; docs/events.md
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
    """A kind of log line.

    Attributes:
        number: The number of the event, written as in `E305`.
        level: The severity: info, warning or error.
        title: What happened.
        remedy: What the operator should do about it.
    """

    number: int
    level: str
    title: str
    remedy: str


class Events:
    """All events by name."""

    # Every node.
    NODE_STARTED = Event(101, _INFO, "node started", "none")
    NODE_READY = Event(102, _INFO, "node ready", "none")
    NODE_LEAVING = Event(103, _INFO, "node leaving", "none; the node hands its work over and exits")
    NODE_ENDED = Event(104, _INFO, "node ended", "none")
    SETTINGS_DECLINED = Event(105, _ERROR, "settings declined", "correct the named field")
    SETTINGS_CHANGE_DECLINED = Event(
        106,
        _ERROR,
        "settings change declined; the running settings stay in effect",
        "correct the named field in the file",
    )
    SETTINGS_CHANGED_LIVE = Event(107, _INFO, "settings change taken live", "none")
    SETTINGS_WAIT_FOR_RESTART = Event(
        108, _WARNING, "settings change waits for a restart", "restart the node when convenient"
    )
    OPERATOR_INTERFACE_UNAVAILABLE = Event(
        109,
        _WARNING,
        "operator interface can't listen",
        "find the process that uses the port; the node runs without this interface",
    )
    MALFORMED_MESSAGE = Event(
        110,
        _WARNING,
        "malformed message on an internal port",
        "find the process that connects to the port; the connection was closed",
    )
    VERSION_MISMATCH = Event(
        111,
        _WARNING,
        "internal message of another protocol version",
        "finish the upgrade of all nodes",
    )
    HANDLER_FAILED = Event(
        112, _WARNING, "internal handler failed", "report it as a bug, with the fields"
    )

    # Membership.
    PEER_JOINED = Event(201, _INFO, "peer joined", "none")
    PEER_SUSPECTED = Event(
        202, _WARNING, "peer suspected", "none; other nodes are asked to probe it"
    )
    PEER_GONE = Event(
        203, _WARNING, "peer gone", "check the machine unless it was restarted on purpose"
    )
    PEER_RETURNED = Event(204, _INFO, "peer returned", "none")

    # Control nodes: the chain, records and disks.
    VIEW_ADOPTED = Event(301, _INFO, "view adopted", "none")
    VIEW_PROPOSED = Event(302, _WARNING, "view proposed", "none; a control node joined or left")
    DISK_DAMAGED = Event(
        303,
        _ERROR,
        "disk damaged; control node rejoins with an empty state",
        "check the disk; see the disk-loss page",
    )
    CHAIN_REJOINED = Event(304, _INFO, "control node rejoins the chain", "none")
    RECORD_COMMITTED = Event(305, _INFO, "record committed", "none")
    RECORD_IN_FORCE = Event(306, _INFO, "record in force everywhere", "none")
    RECORD_DECLINED = Event(
        307, _WARNING, "record declined", "none; the operator received the reason"
    )
    PROXY_GONE = Event(
        308, _WARNING, "proxy declared gone", "check the machine unless it was restarted on purpose"
    )
    STATE_LOADED = Event(309, _INFO, "control state loaded from disk", "none")
    CHAIN_REFORMED = Event(
        310, _ERROR, "chain formed anew by an operator", "read the disk-loss page"
    )
    SURVEY_UNANSWERED = Event(
        311,
        _WARNING,
        "no control state from a proxy while the chain is formed anew",
        "none; another node may have the same state",
    )
    DISK_REFUSES_WRITES = Event(
        316,
        _ERROR,
        "disk rejects writes; the control node is out of service until they succeed",
        "free space or check the disk; the control node then recovers without a restart",
    )
    DISK_TAKES_WRITES = Event(317, _INFO, "disk accepts writes again", "none")
    DAMAGED_FILES_COPIED = Event(
        318,
        _ERROR,
        "damaged files copied before the control node starts anew",
        "read the disk-loss page before you remove them",
    )
    DAMAGED_COPIES_REMOVED = Event(
        319, _INFO, "copies of damaged files removed; other nodes have the same records", "none"
    )

    FIELDS_NOT_ACTED_UPON = Event(
        312,
        _WARNING,
        "configuration accepted with fields that have no effect",
        "don't rely on the listed fields",
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
        322, _WARNING, "no safe candidate", "restore a member of the in-sync set"
    )
    PLATFORM_DECLINED = Event(
        323,
        _WARNING,
        "platform declined or unreachable",
        "check the platform; the request is retried",
    )
    PRIMARY_PROMOTED = Event(324, _INFO, "primary promoted", "none")
    PROMOTION_OBSERVED = Event(
        325,
        _WARNING,
        "promotion seen at the member before the platform answered",
        "check the platform",
    )
    CANDIDATE_CHOSEN = Event(
        326, _INFO, "candidate chosen; its promotion is requested from the platform", "none"
    )
    PRIMARY_CHECKED = Event(
        327,
        _INFO,
        "primary checked after a suspicion",
        "none; `seen` lists the observation of each control node of the chain",
    )
    LEADER_CHANGE_WAITS = Event(
        328,
        _WARNING,
        "leader change waits",
        "read `note`: a member that sends no announcements, or a candidate that is catching up",
    )

    # Embargoes and agreed time.
    EMBARGO_IN_FORCE = Event(
        330, _INFO, "embargo in force", "none; `by` placed, moved or lifted it"
    )
    WALL_CLOCK_WRONG = Event(
        331,
        _WARNING,
        "wall clock outside the interval that most control nodes agree on",
        "set the clock of this machine",
    )
    NO_AGREED_TIME = Event(
        332,
        _WARNING,
        "no agreed time; no more records are released",
        "check the clocks and links of the control nodes",
    )
    TIME_AGREED_AGAIN = Event(333, _INFO, "agreed time available again", "none")
    AGREED_TIME_JUMPED = Event(
        334,
        _WARNING,
        "agreed time jumped; no records are released for a minute",
        "check the clocks of all control nodes",
    )

    # Control nodes: members and their logs.
    MEMBER_COUNTED_OUT = Event(
        340,
        _INFO,
        "member counted out: commits that only it has are at or below `pos`",
        "none; the remaining members have all others",
    )
    MEMBER_COUNTED_AGAIN = Event(
        341, _INFO, "member no longer counted out", "none; no other replica receives the log"
    )
    DEPARTED_LOG_BOUNDED = Event(
        342,
        _INFO,
        "log positions of departed members bounded",
        "none; a member whose log reaches `pos` has all of their commits",
    )
    MEMBER_NON_VOTING = Event(
        345,
        _INFO,
        "lost replica without a vote: commits are acknowledged once another replica has them",
        "none; the replica votes again once it answers",
    )
    LATE_ANNOUNCEMENT = Event(
        346,
        _INFO,
        "late announcement of a member without effect: it has departed or drains",
        "none; if the member is running, it needs another name or a count above the recorded one",
    )
    GROUP_WAITS_FOR_PROOF = Event(
        343,
        _ERROR,
        "group waits: no member is proved to have every acknowledged commit",
        "restore the named member or the primary, or accept the loss with `petrelhavenctl elect`",
    )
    MEMBER_ELECTED_BY_ORDER = Event(
        344,
        _ERROR,
        "member elected by an operator; acknowledged commits may be lost",
        "none; `by` ordered the election",
    )

    # Control nodes: counts of tenants' operations.
    COUNTS_TAKEN_OVER = Event(
        351,
        _INFO,
        "operation counts of tenants taken over",
        "none; `fresh` of them start without earlier counts, in the counter mode `regime`",
    )

    # Proxies: control nodes and records.
    CONTROL_NODE_CONNECTED = Event(
        401, _INFO, "control node connected; leases come from it", "none"
    )
    CONTROL_NODE_LOST = Event(
        402,
        _WARNING,
        "control node lost; its leases expire",
        "check the links to the control nodes",
    )
    RECORD_APPLIED = Event(403, _INFO, "record applied", "none")
    CONTROL_NODE_SEARCHED = Event(
        405,
        _WARNING,
        "no control node found yet; routes and keys may be outdated",
        "check the links to `cores` and `seeds`; `tried` counts the attempts",
    )
    CONTROL_NODES_KNOWN = Event(406, _INFO, "control nodes of the view received", "none")
    PROXY_REJOINED = Event(404, _WARNING, "proxy was declared gone and rejoins", "check its links")

    # Proxies: replicas of resumable sessions.
    SESSION_TAKEN_OVER = Event(410, _INFO, "session taken over", "none")
    SESSION_HANDED_OVER = Event(411, _INFO, "session handed over", "none")
    SESSION_KEEPER_CHANGED = Event(412, _WARNING, "replica holder of a session changed", "none")
    SESSION_REPLICATION_DELAYED = Event(
        413, _WARNING, "session replication delayed", "none; it is retried"
    )

    # Proxies: statements.
    STATEMENT_OUTCOME_UNKNOWN = Event(
        420, _WARNING, "statement outcome unknown", "none; the client was notified"
    )
    MEMBER_CONNECTION_LOST = Event(
        421, _WARNING, "member connection lost", "check the member if this recurs"
    )
    LOAD_SHED = Event(422, _WARNING, "load shed", "add proxies or reduce the load")
    PRIMARY_SUSPECTED = Event(
        423,
        _WARNING,
        "primary suspected; the control nodes are notified",
        "none; a control node checks the primary itself",
    )
    IDLE_TRANSACTION_ENDED = Event(424, _INFO, "idle transaction ended at its member", "none")
    STATEMENT_NOT_SERVED = Event(
        425,
        _WARNING,
        "statement not served",
        "read `code` and `note`: busy and aborted had no effect, unsure may have had one",
    )

    CONNECTION_REFUSED = Event(
        426,
        _INFO,
        "connection refused by the configuration",
        "none; without a lease, check the links to the control nodes",
    )

    # Proxies: embargoed reads.
    READ_WITHHELD = Event(
        430,
        _INFO,
        "read withheld",
        "none; `why` is embargo, lease (this proxy may lack the newest rules) or late",
    )
    FURTHER_READS_WITHHELD = Event(
        431,
        _INFO,
        "further reads withheld, logged as a count",
        "none; more than this proxy logs individually in a second",
    )
    NO_LEASE = Event(
        432,
        _WARNING,
        "no lease; all reads of embargoed groups are withheld",
        "check the links to the control nodes",
    )
    LEASE_REGAINED = Event(433, _INFO, "lease acquired again; released records are served", "none")

    # Emulators and tasks.
    EMULATOR_STARTED = Event(901, _INFO, "emulator started", "none")
    EMULATOR_FAULT_SET = Event(902, _INFO, "emulator fault switched on or off", "none")
    TASK_FAILED = Event(
        903, _ERROR, "background task failed", "report it as a bug, with the fields"
    )


EVENTS: dict[int, Event] = {
    event.number: event for event in vars(Events).values() if isinstance(event, Event)
}
"""All events by number."""

_LINE_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"
)
_LOGBOOK_LEVELS = {_INFO: logbook.INFO, _WARNING: logbook.WARNING, _ERROR: logbook.ERROR}


def logger(name: str, level: str = _INFO) -> logbook.Logger:
    """Creates the log of the node `name`: events of at least `level`, on standard error."""
    handler = logbook.StreamHandler(
        sys.stderr,
        level="DEBUG",
        bubble=False,
        format_string=_LINE_FORMAT,
    )
    handler.push_application()
    return logbook.Logger(name, logbook.lookup_level(level.upper()))


def set_level(log: logbook.Logger, level: str) -> None:
    """Sets the lowest level of events that a log writes."""
    log.level = logbook.lookup_level(level.upper())


def emit(log: logbook.Logger | None, event: Event, /, **fields: object) -> None:
    """Writes `event` with its fields to `log`; does nothing without a log."""
    if log is None:
        return
    values = "".join(f" {name}={value}" for name, value in fields.items())
    log.log(_LOGBOOK_LEVELS[event.level], f"E{event.number:03d} {event.title}{values}")
