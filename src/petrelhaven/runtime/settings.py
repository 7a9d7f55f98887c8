"""Validated settings of a daemon, from a file and from flags, which override the file.

With invalid settings the program stops before it listens.
"""

from __future__ import annotations

import argparse
import re
import sys
import tomllib
from collections.abc import Sequence
from typing import Any

from petrelhaven.runtime.limits import NAME, TextPattern

__all__ = ["LIVE_FIELDS", "Settings", "SettingsFault", "load_settings"]

_ADDRESS = re.compile(r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}")
_MAX_PORT = 65535
_MAX_OCTET = 255
_MAX_SEEDS = 7
_FROM_STDIN = "-"
_SEEDS_FAULT = "seeds: must be a list of different addresses, three as a rule"


class SettingsFault(Exception):  # noqa: N818 (errors are called faults here)
    """A field of the settings is invalid."""


class Settings:
    """The settings of one daemon; each field is validated on assignment.

    Attributes:
        name: The node's name.
        hall: The node's zone, under the name of the setting.
        link: The address for other nodes of the system.
        http: The address for clients, members and operators.
        seeds: The seed addresses.
        data: The data folder (control nodes only).
        platform: The address of the platform (control nodes only).
        level: The lowest level of events that are logged.
        path: The kind of sessions (control nodes only): `held` for connection sessions, `kept`
            for resumable sessions.
        file: The settings file, if there is one.
        check: Whether to only check the settings and exit.
    """

    __slots__ = (
        "_name",
        "_hall",
        "_link",
        "_http",
        "_seeds",
        "_data",
        "_platform",
        "_level",
        "_path",
        "file",
        "check",
    )
    file: str | None
    check: bool
    _hall: str
    _seeds: list[str] | str
    name = TextPattern(NAME, "a name of lower-case letters, digits and hyphens")
    hall = TextPattern(NAME, "a name of lower-case letters, digits and hyphens")
    link = TextPattern(_ADDRESS, "an address like 127.0.0.1:7000")
    http = TextPattern(_ADDRESS, "an address like 127.0.0.1:8000")
    platform = TextPattern(_ADDRESS, "an address like 127.0.0.1:8000")
    level = TextPattern(re.compile("debug|info|warning|error"), "debug, info, warning or error")
    data = TextPattern(re.compile(r"[^\0]+"), "a folder")
    path = TextPattern(re.compile("held|kept"), "held or kept")

    @property
    def zone(self) -> str:
        """The node's zone, from the setting `hall`."""
        return self._hall

    @property
    def seeds(self) -> list[str] | str:
        """The seed addresses, or `-` to read them from standard input after listening."""
        return self._seeds

    @seeds.setter
    def seeds(self, value: object) -> None:
        if value in (_FROM_STDIN, [_FROM_STDIN]):
            self._seeds = _FROM_STDIN
            return
        if not isinstance(value, list) or not 1 <= len(value) <= _MAX_SEEDS:
            raise ValueError(_SEEDS_FAULT)
        if len(set(map(str, value))) != len(value):
            raise ValueError(_SEEDS_FAULT)
        for index, seed in enumerate(value):
            if not isinstance(seed, str) or not _ADDRESS.fullmatch(seed):
                raise ValueError(f"seeds[{index}]: must be an address like 127.0.0.1:7000")
        self._seeds = value


LIVE_FIELDS = ("level", "platform", "seeds")
"""The fields whose changes are applied without a restart."""
_DEFAULTS = {"link": "127.0.0.1:0", "http": "127.0.0.1:0", "level": "info"}
_REQUIRED_FIELDS = ("name", "hall", "link", "http", "seeds", "level")
_REQUIRED_CONTROL_NODE_FIELDS = ("data", "platform", "path")
_ADDRESS_FIELDS = ("link", "http", "platform")


def build_parser(prog: str, doc: str, is_control_node: bool) -> argparse.ArgumentParser:
    """Builds the flag build_parser of a daemon; `is_control_node` adds the control node flags."""
    parser = argparse.ArgumentParser(
        prog=prog,
        description=doc,
        epilog="Exit codes: 0 clean shutdown, 2 settings declined, "
        "3 the data folder belongs to another node.",
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help="settings file (TOML); flags override it; "
        "changes of level, platform and seeds apply without a restart",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings and the data folder, then exit without changing anything",
    )
    parser.add_argument("--name", help="this node's name")
    parser.add_argument("--hall", help="the zone (hall) of this node")
    parser.add_argument(
        "--link",
        metavar="IP:PORT",
        help="address for the system's other nodes (port 0 picks a free one)",
    )
    parser.add_argument(
        "--http", metavar="IP:PORT", help="address for clients, members and operators"
    )
    parser.add_argument(
        "--seeds",
        metavar="IP:PORT,...",
        help="three seed addresses, the same on every node; "
        "- reads them from standard input after listening",
    )
    parser.add_argument("--level", help="lowest level of log events (default: info)")
    if is_control_node:
        parser.add_argument("--data", metavar="DIR", help="data folder")
        parser.add_argument("--platform", metavar="IP:PORT", help="address of the platform")
        parser.add_argument(
            "--path",
            metavar="held|kept",
            help="held: sessions end with their connection; "
            "kept: resumable sessions, replicated between proxies (default: kept)",
        )
    return parser


def load_settings(
    prog: str, doc: str, is_control_node: bool, argv: Sequence[str] | None = None
) -> Settings:
    """Loads and validates the settings of the program `prog` from its file and its flags.

    Raises:
        ExceptionGroup: A SettingsFault for each invalid field.
    """
    flags = vars(build_parser(prog, doc, is_control_node).parse_args(argv))
    file, check = flags.pop("settings"), flags.pop("check")
    values: dict[str, Any] = dict(_DEFAULTS)
    if file:
        values.update(_read_file(file))
    values.update({name: value for name, value in flags.items() if value is not None})
    if isinstance(values.get("seeds"), str):
        values["seeds"] = values["seeds"].split(",")
    if is_control_node:
        values.setdefault("path", "kept")
    settings = Settings()
    settings.file, settings.check = file, check
    required = [*_REQUIRED_FIELDS, *(_REQUIRED_CONTROL_NODE_FIELDS if is_control_node else ())]
    faults = [f"{name}: unknown field" for name in values if name not in required]
    for name in required:
        if name not in values:
            faults.append(f"{name}: missing")
            continue
        try:
            _set_field(settings, name, values[name])
        except ValueError as fault:
            faults.append(str(fault))
    if faults:
        raise ExceptionGroup("settings declined", [SettingsFault(fault) for fault in faults])
    return settings


def _read_file(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as fault:
        faults = [SettingsFault(f"settings: {fault}")]
        raise ExceptionGroup("settings declined", faults) from None


def _set_field(settings: Settings, name: str, value: Any) -> None:  # noqa: ANN401 (any type)
    """Sets a field; raises ValueError if the value is invalid."""
    setattr(settings, name, value)
    if name not in _ADDRESS_FIELDS:
        return
    host, port = value.rsplit(":", 1)
    if int(port) > _MAX_PORT or any(int(octet) > _MAX_OCTET for octet in host.split(".")):
        raise ValueError(f"{name}: no such address")


def read_seeds_from_stdin() -> list[str]:
    """Reads seed addresses from one line of standard input.

    Raises:
        SettingsFault: The line isn't a comma-separated list of addresses.
    """
    seeds = sys.stdin.readline().strip().split(",")
    if not all(_ADDRESS.fullmatch(seed) for seed in seeds):
        raise SettingsFault("seeds: must be addresses like 127.0.0.1:7000")
    return seeds
