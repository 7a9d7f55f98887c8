"""The numbered events of every log, and the one function that writes them."""

import sys

import logbook

__all__ = ["EVENTS", "emit", "logger", "turn_level"]

EVENTS = {
    101: ("info", "node started", "none"),
    102: ("info", "node ready", "none"),
    103: ("info", "node leaving", "none; it hands over and exits"),
    104: ("info", "node ended", "none"),
    105: ("error", "settings declined", "mend the field named"),
    106: (
        "error",
        "settings change declined; the running settings stay",
        "mend the field named in the file",
    ),
    107: ("info", "settings change taken live", "none"),
    108: ("warning", "settings change waits for a restart", "restart the node when it suits"),
    109: (
        "warning",
        "the product's own face can't listen",
        "find who has the port; the node serves without that face",
    ),
    110: (
        "warning",
        "garbage on an internal port",
        "find who speaks to the port; the connection was closed",
    ),
    111: ("warning", "internal message of another version", "finish the roll-out"),
    112: ("warning", "internal handler fault", "report with the fields"),
    201: ("info", "peer joined", "none"),
    202: ("warning", "peer suspected", "none; a second opinion is asked"),
    203: ("warning", "peer gone", "look at the machine if nobody restarted it"),
    204: ("info", "peer came back", "none"),
    301: ("info", "view adopted", "none"),
    302: ("warning", "view proposed", "none; a core came or went"),
    303: (
        "error",
        "disk damaged, core rejoins as empty",
        "look at the disk; see the disk-loss page",
    ),
    304: ("info", "core rejoins the chain", "none"),
    305: ("info", "change committed", "none"),
    306: ("info", "change in force everywhere", "none"),
    307: ("warning", "change declined", "the operator was told why"),
    308: ("warning", "edge declared gone", "look at the machine if nobody restarted it"),
    309: ("info", "core state loaded from disk", "none"),
    310: ("error", "chain formed anew at the operator's word", "read the disk-loss page"),
    311: (
        "warning",
        "no frame from an edge while forming anew",
        "none; another node's may be as new",
    ),
    316: (
        "error",
        "disk refuses writes; the core is out of service until it takes them",
        "make room or look at the disk; the core comes back by itself",
    ),
    317: ("info", "disk takes writes again", "none"),
    318: (
        "error",
        "damaged files copied before the core starts anew",
        "read the disk-loss page before you remove them",
    ),
    319: ("info", "copies of damaged files removed; others hold as much", "none"),
    320: ("info", "epoch", "read `petrelhavenctl why`"),
    321: (
        "warning",
        "group halted",
        "read `petrelhavenctl why`; writes are declined until a primary is elected",
    ),
    322: ("warning", "no safe candidate", "bring a member of the in-sync set back"),
    323: ("warning", "platform declined or unreachable", "look at the platform; it is asked again"),
    324: ("info", "primary promoted", "none"),
    325: (
        "warning",
        "promotion seen at the member before the platform answered",
        "look at the platform",
    ),
    326: ("info", "heir chosen; the platform is asked", "none"),
    327: (
        "info",
        "primary looked at after a doubt",
        "none; `seen` is what each core of the chain saw",
    ),
    328: (
        "warning",
        "move of an office waits",
        "read `note`: a member that is not heard, or an heir that catches up",
    ),
    330: ("info", "embargo in force", "none; `by` set, moved or lifted it"),
    331: (
        "warning",
        "wall clock outside of what most cores agree on",
        "set the clock of this machine",
    ),
    332: (
        "warning",
        "no agreed time; nothing more is released",
        "look at the cores' clocks and links",
    ),
    333: ("info", "time agreed again", "none"),
    334: (
        "warning",
        "agreed time jumped; nothing is released for a minute",
        "look at the clocks of all cores",
    ),
    340: (
        "info",
        "member counted out: what only it has is at or below `pos`",
        "none; those that stay hold the rest",
    ),
    341: ("info", "member counts again", "none; no other replica receives"),
    342: (
        "info",
        "log of departed members bounded",
        "none; whoever holds `pos` holds all of theirs",
    ),
    343: (
        "error",
        "group waits: nobody is proved to hold every acknowledged commit",
        "bring the member named or the primary back; or accept the loss: `petrelhavenctl elect`",
    ),
    344: (
        "error",
        "member elected by order; acknowledged commits may be lost",
        "none; `by` gave the order",
    ),
    401: ("info", "core held; leases come from it", "none"),
    402: ("warning", "core lost; its leases lapse", "look at the links to the cores"),
    403: ("info", "change applied", "none"),
    404: ("warning", "edge was declared gone and joins anew", "look at its links"),
    410: ("info", "session taken over", "none"),
    411: ("info", "session handed over", "none"),
    412: ("warning", "session keeper changed", "none"),
    413: ("warning", "session keeping put off", "none; it is tried again"),
    420: ("warning", "statement outcome unknown", "none; the visitor was told"),
    421: ("warning", "member connection lost", "look at the member if it recurs"),
    422: ("warning", "overload shed", "add edges or lower the load"),
    423: ("warning", "primary doubted; the core is told", "none; the core looks for itself"),
    424: ("info", "rested transaction ended at its member", "none"),
    425: (
        "warning",
        "statement not served",
        "read `code` and `note`: busy and aborted were not kept, unsure may be",
    ),
    430: (
        "info",
        "read withheld",
        "none; `why` is embargo, lease (this edge may not know the newest rules) or late",
    ),
    431: (
        "info",
        "reads withheld that were not named one by one",
        "none; more than this edge names in a second",
    ),
    432: (
        "warning",
        "no lease; every read of an embargoed group is withheld",
        "look at the links to the cores",
    ),
    433: ("info", "lease held again; released records are served", "none"),
    901: ("info", "stand-in started", "none"),
    902: ("info", "stand-in fault switch", "none"),
    903: ("error", "task fault", "report with the fields"),
}

_LINE = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel} {record.message}"
_LEVELS = {"info": logbook.INFO, "warning": logbook.WARNING, "error": logbook.ERROR}


def logger(name: str, level: str = "info") -> logbook.Logger:
    """A log of numbered events on standard error for the node `name`."""
    h = logbook.StreamHandler(
        sys.stderr,
        level="DEBUG",
        bubble=False,
        format_string=_LINE,
    )
    h.push_application()
    return logbook.Logger(name, logbook.lookup_level(level.upper()))


def turn_level(log: logbook.Logger, level: str) -> None:
    """Sets the least level of a running log."""
    log.level = logbook.lookup_level(level.upper())


def emit(log: logbook.Logger | None, number: int, /, **fields: object) -> None:
    """Writes event `number` with its fields."""
    if log is None:
        return
    level, title, _ = EVENTS[number]
    log.log(
        _LEVELS[level],
        "E{:03d} {}{}".format(number, title, "".join(f" {k}={v}" for k, v in fields.items())),
    )
