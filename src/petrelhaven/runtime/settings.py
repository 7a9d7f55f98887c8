"""Checked settings of a daemon, from a file and from flags, which override it.

Wrong settings stop the program before it listens.
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
_HIGHEST_PORT = 65535
_HIGHEST_BYTE = 255
_MAX_SEEDS = 7
_FROM_STDIN = "-"
_SEEDS_FAULT = "seeds: must be a list of different addresses, three as a rule"


class SettingsFault(Exception):  # noqa: N818 (named as all faults here)
    """A field of the settings is wrong."""


class Settings:
    """The settings of one daemon; each field is checked when it is set.

    Attributes:
        name: the node's name.
        hall: the zone that it stands in, as the setting is called.
        link: the address for the system's own processes.
        http: the address for clients, members and operators.
        seeds: the seed addresses.
        data: the data folder of a control node.
        platform: the address of the platform, of a control node.
        level: the least level of log events.
        path: the kind of sessions that a control node rules: held or kept.
        file: the settings file that they came from, if any.
        check: whether only to check the settings.
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
        """The zone that the node stands in: the setting `hall`."""
        return self._hall

    @property
    def seeds(self) -> list[str] | str:
        """The three seed addresses, or `-` to read them from standard input once listening."""
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
_DEFAULTS = {"link": "127.0.0.1:0", "http": "127.0.0.1:0", "level": "info"}
_REQUIRED = ("name", "hall", "link", "http", "seeds", "level")
_REQUIRED_OF_CONTROL_NODE = ("data", "platform", "path")
_ADDRESSES = ("link", "http", "platform")


def parser(prog: str, doc: str, is_control_node: bool) -> argparse.ArgumentParser:
    """The flags of a daemon; `is_control_node` adds those of a control node."""
    flags = argparse.ArgumentParser(
        prog=prog,
        description=doc,
        epilog="Exit codes: 0 left in order, 2 settings declined, "
        "3 the data folder belongs to another node.",
    )
    flags.add_argument(
        "--settings",
        metavar="FILE",
        help="settings file (TOML); flags override it; "
        "changes of level, platform and seeds are taken live",
    )
    flags.add_argument(
        "--check",
        action="store_true",
        help="check the settings and the data folder, change nothing, start nothing",
    )
    flags.add_argument("--name", help="this node's name")
    flags.add_argument("--hall", help="the zone (hall) it stands in")
    flags.add_argument(
        "--link",
        metavar="IP:PORT",
        help="address for the system's own processes (port 0 picks one)",
    )
    flags.add_argument(
        "--http", metavar="IP:PORT", help="address for clients, members and operators"
    )
    flags.add_argument(
        "--seeds",
        metavar="IP:PORT,...",
        help="three seed addresses, the same on every node; "
        "- reads them from standard input once listening",
    )
    flags.add_argument("--level", help="least level of log events (info)")
    if is_control_node:
        flags.add_argument("--data", metavar="DIR", help="data folder")
        flags.add_argument("--platform", metavar="IP:PORT", help="address of the platform")
        flags.add_argument(
            "--path",
            metavar="held|kept",
            help="held: sessions live with their connection; "
            "kept: proxies keep them for each other (kept)",
        )
    return flags


def load_settings(
    prog: str, doc: str, is_control_node: bool, argv: Sequence[str] | None = None
) -> Settings:
    """The checked settings of the program `prog`, from its file and its flags.

    Raises:
        ExceptionGroup: of one SettingsFault for each field that is wrong.
    """
    flags = vars(parser(prog, doc, is_control_node).parse_args(argv))
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
    required = [*_REQUIRED, *(_REQUIRED_OF_CONTROL_NODE if is_control_node else ())]
    faults = [f"{name}: unknown field" for name in values if name not in required]
    for name in required:
        if name not in values:
            faults.append(f"{name}: missing")
            continue
        try:
            _set(settings, name, values[name])
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


def _set(settings: Settings, name: str, value: Any) -> None:  # noqa: ANN401 (checked here)
    """Sets a field; raises ValueError if its value is wrong."""
    setattr(settings, name, value)
    if name not in _ADDRESSES:
        return
    host, port = value.rsplit(":", 1)
    if int(port) > _HIGHEST_PORT or any(int(part) > _HIGHEST_BYTE for part in host.split(".")):
        raise ValueError(f"{name}: no such address")


def read_seeds_from_stdin() -> list[str]:
    """Reads seed addresses from one line of standard input.

    Raises:
        SettingsFault: the line is not addresses with commas between them.
    """
    seeds = sys.stdin.readline().strip().split(",")
    if not all(_ADDRESS.fullmatch(seed) for seed in seeds):
        raise SettingsFault("seeds: must be addresses like 127.0.0.1:7000")
    return seeds
