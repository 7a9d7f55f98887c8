"""The commands for zones: evacuate, restore."""

from __future__ import annotations

from petrelhaven.commands.ctl.command import Command, CommandParsers, format_outcome

__all__ = ["add_commands"]

_STATES = {"evacuate": "emptied", "restore": "open"}


def add_commands(commands: CommandParsers) -> None:
    """Adds the commands of this module to the parser of petrelhavenctl."""
    for verb, description in (
        ("evacuate", "evacuate a zone"),
        ("restore", "put an evacuated zone back into service"),
    ):
        parser = commands.add_parser(verb, help=description)
        parser.add_argument("zone")
        parser.set_defaults(run=_set_state)


async def _set_state(command: Command) -> None:
    zone, verb = command.arguments.zone, command.arguments.verb
    answer = await command.change(f"/halls/{zone}/{verb}{command.by_query}")
    command.print(f"zone {zone} is {_STATES[verb]} ({format_outcome(answer)})")
