"""The commands for configurations: apply, show, check, salvage."""

from __future__ import annotations

import json
import sys

from petrelhaven.commands.ctl.command import Command, CommandParsers, format_outcome, read_text
from petrelhaven.control.configuration.parsing import parse_configuration
from petrelhaven.control.storage.data_folder import salvage
from petrelhaven.runtime.errors import NoRoute

__all__ = ["add_commands"]

_UNCONFIRMED = (
    "petrelhavenctl: NOT confirmed by a majority of the control nodes; "
    "a newer one may have been acknowledged"
)


def add_commands(commands: CommandParsers) -> None:
    """Adds the commands of this module to the parser of petrelhavenctl."""
    parser = commands.add_parser(
        "apply", help="apply a complete configuration; returns once it is in force"
    )
    parser.add_argument("file", help="the configuration (JSON), - for standard input")
    parser.add_argument(
        "--retire",
        action="store_true",
        help="allow the configuration to omit groups that are being served",
    )
    parser.set_defaults(run=_apply)
    parser = commands.add_parser(
        "show", help="print the newest acknowledged configuration, byte for byte"
    )
    parser.add_argument("--version", type=int, help="print this older version")
    parser.add_argument(
        "--unconfirmed",
        action="store_true",
        help="print the configuration of a single control node if no majority can confirm it",
    )
    parser.set_defaults(run=_show)
    parser = commands.add_parser(
        "check",
        help="validate a configuration without a fleet; lists every problem by its path",
    )
    parser.add_argument("file", help="the configuration (JSON), - for standard input")
    parser.set_defaults(run=_check, needs_control=False)
    parser = commands.add_parser(
        "salvage",
        help="print the configuration from a control node's data folder, which stays unchanged; "
        "no majority confirms it",
    )
    parser.add_argument("folder")
    parser.set_defaults(run=_salvage, needs_control=False)


async def _apply(command: Command) -> None:
    text = read_text(command.arguments.file)
    retire = "true" if command.arguments.retire else "false"
    answer = await command.change(
        f"/manifest{command.by_query}&retire={retire}", data=text.encode()
    )
    version = json.loads(text)["version"]
    command.print(f"version {version} is in force ({format_outcome(answer)})")


async def _show(command: Command) -> None:
    unconfirmed, version = command.arguments.unconfirmed, command.arguments.version
    query = f"?unconfirmed={'true' if unconfirmed else 'false'}"
    if version is not None:
        query += f"&version={version}"
    if unconfirmed:
        print(_UNCONFIRMED, file=sys.stderr)
    sys.stdout.buffer.write(await command.read("GET", f"/manifest{query}", raw=True))


async def _check(command: Command) -> None:
    configuration = parse_configuration(read_text(command.arguments.file))
    command.print(
        f"configuration {configuration.name} version {configuration.version} is good: "
        f"{len(configuration.groups)} groups, {len(configuration.routes)} routes, "
        f"{len(configuration.zones)} zones"
    )


async def _salvage(command: Command) -> None:
    folder = command.arguments.folder
    salvaged = salvage(folder)
    configuration = salvaged.control_state.doc["manifest"]
    if configuration is None:
        raise NoRoute(f"{folder} holds no configuration")
    origin = f"folder of {salvaged.name}, change {salvaged.control_state.seq}"
    print(f"{_UNCONFIRMED} ({origin})", file=sys.stderr)
    sys.stdout.write(configuration["text"])
