"""The commands for embargoes: add, move, lift, list, why."""

from __future__ import annotations

import json

from petrelhaven.commands.ctl.command import (
    Command,
    CommandParsers,
    Document,
    add_hidden_alias,
    format_outcome,
)

__all__ = ["add_commands"]

_US_PER_S = 1e6
_MAX_CHANGES_SHOWN = 10
_PAST_PARTICIPLES = {"add": "placed", "move": "moved", "lift": "lifted"}
_RULE_FIELDS_SHOWN = ("source", "name", "thing", "prefix", "said", "zone", "early")


def add_commands(commands: CommandParsers) -> None:
    """Adds the command `embargo` with its subcommands to the parser of petrelhavenctl."""
    embargo = commands.add_parser(
        "embargo", help="embargoes: records that must not be read before a set time"
    )
    verbs = embargo.add_subparsers(dest="do", required=True)
    _add_change_commands(verbs)
    parser = verbs.add_parser(
        "list", help="list all embargoes, the newest changes and the accuracy of the agreed time"
    )
    parser.set_defaults(run=_list)
    parser = verbs.add_parser(
        "why", help="explain why a record is withheld from a client or served to it"
    )
    parser.add_argument("--group", required=True)
    parser.add_argument("--thing", required=True)
    parser.add_argument("--client", default="")
    add_hidden_alias(parser, "--visitor", "client")
    parser.set_defaults(run=_why)


def _add_change_commands(verbs: CommandParsers) -> None:
    add = verbs.add_parser(
        "add", help="place an embargo; returns once it is in force at every proxy"
    )
    add.add_argument("name")
    add.add_argument("--group", required=True)
    records = add.add_mutually_exclusive_group(required=True)
    records.add_argument("--thing", default="", help="the record, by its name on the wire")
    records.add_argument(
        "--prefix", default="", help="all records whose names begin with this prefix"
    )
    add.add_argument("--early", default="", metavar="NAME,...", help="clients that are exempt")
    move = verbs.add_parser("move", help="change the release time of an embargo")
    move.add_argument("name")
    lift = verbs.add_parser("lift", help="remove an embargo")
    lift.add_argument("name")
    for parser in (add, move):
        _add_release_options(parser)
    for parser in (move, lift):
        parser.add_argument(
            "--n",
            type=int,
            default=0,
            help="fail unless this is the number of its next change (see list)",
        )
    for parser in (add, move, lift):
        parser.set_defaults(run=_change)


def _add_release_options(parser: CommandParsers) -> None:
    parser.add_argument(
        "--until", required=True, help="RFC 3339 with an offset, or a local time with --zone"
    )
    parser.add_argument("--zone", default="", help="an IANA time zone, such as Europe/Oslo")
    parser.add_argument(
        "--gone", default="", metavar="PROXY,...", help="proxies that are gone for good"
    )


async def _change(command: Command) -> None:
    answer = await command.change("/embargoes", doc=_change_document(command))
    name, participle = command.arguments.name, _PAST_PARTICIPLES[command.arguments.do]
    command.print(f"embargo {name} is {participle} and in force ({format_outcome(answer)})")


def _change_document(command: Command) -> Document:
    arguments = command.arguments
    document = {"do": arguments.do, "name": arguments.name, "by": arguments.by}
    if arguments.do == "add":
        document |= {
            "group": arguments.group,
            "thing": arguments.thing,
            "prefix": arguments.prefix,
            "early": _split_names(arguments.early),
        }
    else:
        document["n"] = arguments.n
    if arguments.do != "lift":
        document |= {
            "until": arguments.until,
            "zone": arguments.zone,
            "gone": _split_names(arguments.gone),
        }
    return document


def _split_names(text: str) -> list[str]:
    return [name for name in text.split(",") if name]


async def _list(command: Command) -> None:
    answer = await command.read("GET", "/embargoes", doc=None)
    command.print(f"groups: {', '.join(answer['scope']) or 'none; embargoes are off'}")
    for rule in answer["rules"]:
        command.print(f"  {_format_rule(rule)}")
    for change in answer["past"][-_MAX_CHANGES_SHOWN:]:
        command.print(
            f"  change {change['seq']}: {change['do']} {change['name']} by {change['by'] or '-'}"
        )
    time = answer["time"]
    offsets = ", ".join(
        f"{node} {offset_us / _US_PER_S:+.3f} s" for node, offset_us in time["off_us"].items()
    )
    command.print(
        f"time {_format_accuracy(time['interval'])}" + (f"; {offsets}" if offsets else "")
    )


def _format_rule(rule: Document) -> str:
    early = f", early for {', '.join(rule['early'])}" if rule["early"] else ""
    change = ""
    if rule["source"] == "placed":
        change = f", change {rule['seq']} by {rule['by'] or '-'}, n {rule['n']}"
    records = f"thing {rule['thing']}" if rule["thing"] else f"prefix {rule['prefix']}"
    zone = f" {rule['zone']}" if rule["zone"] else ""
    release = f"until {rule['release']} (said as {rule['said']}{zone})"
    return f"{rule['name']} ({rule['source']}): {rule['group']} {records} {release}{early}{change}"


def _format_accuracy(interval: list[int] | None) -> str:
    """Formats the accuracy of the agreed time; `interval` is in microseconds."""
    if not interval:
        return "NOT AGREED ON: nothing more is released"
    earliest, latest = interval
    return f"known to {(latest - earliest) / _US_PER_S:.3f} s"


async def _why(command: Command) -> None:
    arguments = command.arguments
    question = {
        "group": arguments.group,
        "thing": arguments.thing,
        "visitor": arguments.client,
    }
    answer = await command.read("POST", "/embargoes-why", doc=question)
    decision = f"withheld by {answer['by']}" if answer["withheld"] else "served"
    command.print(
        f"{decision} at proxies that hold a lease; time {_format_accuracy(answer['interval'])}"
    )
    for rule in answer["rules"]:
        shown = {field: rule[field] for field in _RULE_FIELDS_SHOWN}
        command.print(f"  {json.dumps(shown)}")
    if not answer["embargoed_group"]:
        command.print(
            f"  group {arguments.group} is not embargoed: proxies without a lease serve it too"
        )
