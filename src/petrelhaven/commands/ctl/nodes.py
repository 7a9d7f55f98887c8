"""The commands for the control nodes: status, reform."""

from __future__ import annotations

import json
from collections.abc import Callable

from petrelhaven.commands.ctl.command import Command, CommandParsers, Document, PartlyAnswered
from petrelhaven.runtime.errors import Unreachable
from petrelhaven.transport.http import fetch

__all__ = ["add_commands"]

_US_PER_S = 1e6

Print = Callable[[str], object]


def add_commands(commands: CommandParsers) -> None:
    """Adds the commands of this module to the parser of petrelhavenctl."""
    parser = commands.add_parser(
        "reform",
        help="form a new chain after a majority of the control nodes lost their disks; "
        "sent to the first address of --control",
    )
    parser.add_argument(
        "--lost",
        required=True,
        metavar="NAME,...",
        help="the control nodes whose disks are lost for good; they must run with empty folders",
    )
    parser.set_defaults(run=_reform)
    parser = commands.add_parser(
        "status", help="print the state that the control nodes, or one node, report"
    )
    parser.add_argument("--node", metavar="IP:PORT", help="query this node instead")
    parser.set_defaults(run=_status)


async def _reform(command: Command) -> None:
    answer = await command.change(
        f"/reform{command.by_query}",
        nodes=command.control_nodes[:1],
        doc={"lost": command.arguments.lost.split(",")},
    )
    command.print(
        f"view {answer['view']}: {' > '.join(answer['chain'])}; change {answer['change']}, "
        f"configuration {answer['manifest']}, state taken from {answer['from']}"
    )


async def _status(command: Command) -> None:
    node = command.arguments.node
    if node:
        command.print(json.dumps(await fetch(node, "GET", "/status"), indent=1))
        return
    unreachable: list[Exception] = []
    for address in command.control_nodes:
        try:
            _print_status(await fetch(address, "GET", "/status"), command.print)
        except Unreachable as fault:
            command.print(f"{address}: nobody answers")
            unreachable.append(fault)
    if len(unreachable) == len(command.control_nodes):
        raise ExceptionGroup("no control node answers", unreachable)
    if unreachable:
        raise PartlyAnswered(f"{len(unreachable)} of {len(command.control_nodes)} did not answer")


def _print_status(status: Document, out: Print) -> None:
    """Prints a control node's status, for either kind of sessions."""
    name, settings = status["name"], status["settings"]
    for kind in ("waiting", "declined"):
        if settings.get(kind):
            out(f"{name}: settings {kind}: {'; '.join(settings[kind])}")
    view = status["view"]
    out(
        f"{name}: {status['state']}{', head' if status['head'] else ''}"
        f"{', ruling' if status['ruling'] else ''}; "
        f"change {status['seq']} (committed {status['commit']}), configuration {status['manifest']}"
        + (f"; view {view['n']}: {' > '.join(view['chain'])}" if view else "")
    )
    if "tied" in status:
        _print_connection_status(status, out)
    elif status["head"]:
        _print_resumable_status(status, out)


def _print_connection_status(status: Document, out: Print) -> None:
    """Prints the rest of the status for connection sessions."""
    out("  proxies connected here: " + (", ".join(status["tied"]) or "-"))
    if not status["head"]:
        return
    for group, leadership in status["epochs"].items():
        reason = status["waiting"].get(group)
        out(
            f"  {group}: epoch {leadership['n']} {leadership['phase']}, "
            f"primary {leadership['primary']} in term {leadership['term']}"
            + (f" ({reason})" if reason else "")
        )
    _print_zones(status, out)
    for member, (group, state, role) in status["members"].items():
        if state != "gone":
            heard_us = status["heard_us"].get(member)
            heard = "" if heard_us is None else f", heard here {heard_us / _US_PER_S:.2f} s ago"
            out(f"  {member}: {role} of {group}, {state}{heard}")


def _print_resumable_status(status: Document, out: Print) -> None:
    """Prints the rest of the head's status for resumable sessions."""
    for group, epoch in status["epochs"].items():
        out(
            f"  {group}: epoch {epoch['n']} {epoch['phase']}, primary {epoch['primary']}, "
            f"in sync {','.join(epoch['safe']) or '-'}, gates {','.join(epoch['gates']) or '-'}"
            + ("" if epoch["open"] else ", WRITES DECLINED: too few in-sync replicas")
            + f" ({status['waiting'].get(group, '')})"
        )
    proxies = [f"{name} {proxy[1]}" for name, proxy in status["edges"].items()]
    out("  proxies: " + (", ".join(proxies) or "-"))
    _print_zones(status, out)
    for name, member in status["members"].items():
        out(
            f"  {name}: {member['role']} in {member['hall']}, log {member['log']}"
            f"{', draining' if member['draining'] else ''}"
            f"{'' if member['warm'] else ', warming up'}, "
            f"heard {member['age_us'] / _US_PER_S:.2f} s ago"
        )


def _print_zones(status: Document, out: Print) -> None:
    zones = [f"{zone} {state}" for zone, state in status["halls"].items()]
    out("  zones: " + (", ".join(zones) or "all open"))
