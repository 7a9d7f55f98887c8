"""The commands for member groups: why, elect."""

from __future__ import annotations

from collections.abc import Callable

from petrelhaven.commands.ctl.command import Command, CommandParsers, Document, add_hidden_alias

__all__ = ["add_commands", "print_explanation"]

_US_PER_S = 1e6

Print = Callable[[str], object]


def add_commands(commands: CommandParsers) -> None:
    """Adds the commands of this module to the parser of petrelhavenctl."""
    parser = commands.add_parser(
        "why",
        help="explain an epoch: the observations, the decision and the epoch it replaced",
    )
    parser.add_argument("group")
    parser.add_argument("--epoch", type=int)
    parser.set_defaults(run=_why)
    parser = commands.add_parser(
        "elect",
        help="elect a member of a group in which no member is proved to have every acknowledged "
        "commit; acknowledged commits may be lost",
    )
    parser.add_argument("--group", required=True)
    parser.add_argument("--member", required=True)
    parser.add_argument(
        "--epoch", type=int, help="the number of the waiting epoch (default: the current one)"
    )
    add_hidden_alias(parser, "--office", "epoch", type=int)
    parser.add_argument(
        "--accept-loss",
        action="store_true",
        required=True,
        help="confirm that commits that only departed members have may be lost",
    )
    parser.set_defaults(run=_elect)


async def _why(command: Command) -> None:
    group, number = command.arguments.group, command.arguments.epoch
    query = f"&n={number}" if number is not None else ""
    print_explanation(await command.read("GET", f"/why?group={group}{query}"), command.print)


async def _elect(command: Command) -> None:
    """Orders an election for the given leadership, or else for the current one."""
    group, member = command.arguments.group, command.arguments.member
    leadership = command.arguments.epoch
    if leadership is None:
        leadership = (await command.read("GET", f"/why?group={group}"))["epoch"]["n"]
    query = f"{command.by_query}&member={member}&office={leadership}&accept_loss=true"
    answer = await command.change(f"/groups/{group}/elect{query}")
    entered = answer.get("change", "entered by an earlier attempt of this call")
    command.print(f"member {member} of {group} is to be elected (change {entered})")


def print_explanation(answer: Document, out: Print) -> None:
    """Prints an answer to `why`, for either kind of sessions."""
    if "evidence" in answer["epoch"]:
        _print_resumable_epoch(answer, out)
    else:
        _print_connection_epoch(answer, out)
    if answer["waiting"]:
        out(f"now: {answer['waiting']}")


def _print_connection_epoch(answer: Document, out: Print) -> None:
    """Prints an answer to `why` for connection sessions."""
    leadership, replaced = answer["epoch"], answer["replaced"]
    out(
        f"{_format_leadership(leadership)}, decided by {leadership['by']} "
        f"as change {leadership.get('seq', '?')}"
    )
    out(f"cause: {leadership['cause']}")
    out(f"replaced: {_format_leadership(replaced) if replaced else 'nothing that is kept'}")


def _format_leadership(leadership: Document) -> str:
    return (
        f"epoch {leadership['n']} ({leadership['phase']}, primary {leadership['primary']} "
        f"in term {leadership['term']})"
    )


def _print_resumable_epoch(answer: Document, out: Print) -> None:
    """Prints an answer to `why` for resumable sessions."""
    epoch, replaced = answer["epoch"], answer["replaced"]
    out(
        f"epoch {epoch['n']} ({epoch['phase']}, primary {epoch['primary']}), decided by "
        f"{epoch.get('by')} in view {epoch.get('view')} as change {epoch['seq']}"
    )
    out(f"cause: {epoch['cause']}")
    out("seen:")
    for member, evidence in epoch["evidence"].items():
        out(f"  {member}: {_format_evidence(evidence)}")
    out(
        f"decided: in sync {','.join(epoch['safe']) or '-'}; "
        f"to be waited for {','.join(epoch['hold']) or '-'}; "
        f"gates {','.join(epoch['gates']) or '-'}"
    )
    out(f"replaced: {_format_replaced_epoch(replaced) if replaced else 'nothing'}")


def _format_evidence(evidence: Document) -> str:
    witnesses = evidence["seen_by"]
    return (
        f"{evidence['role']} in {evidence['hall']}, log {evidence['log']}, "
        f"heard {evidence['age'] / _US_PER_S:.2f} s before"
        + (f" by {','.join(witnesses)}" if witnesses else ", lately by nobody")
        + (", draining" if evidence["draining"] else "")
        + (", log stalled" if evidence["stalled"] else "")
    )


def _format_replaced_epoch(epoch: Document) -> str:
    return (
        f"epoch {epoch['n']} ({epoch['phase']}, primary {epoch['primary']}, "
        f"in sync {','.join(epoch['safe']) or '-'})"
    )
