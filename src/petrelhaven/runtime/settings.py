"""Checked settings of a daemon: from a file, overridden by flags; wrong ones stop the program before it listens."""

import argparse
import re
import sys
import tomllib

from petrelhaven.runtime.limits import NAME, Word

__all__ = ["LIVE", "Settings", "SettingsFault", "load"]

_ADDR = re.compile(r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}")


class SettingsFault(Exception):
    """A field of the settings is wrong."""


class Settings:
    """A daemon's place: its addresses, its hall, three seed addresses."""

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
    name = Word(NAME, "a name of lower-case letters, digits and hyphens")
    hall = Word(NAME, "a name of lower-case letters, digits and hyphens")
    link = Word(_ADDR, "an address like 127.0.0.1:7000")
    http = Word(_ADDR, "an address like 127.0.0.1:8000")
    platform = Word(_ADDR, "an address like 127.0.0.1:8000")
    level = Word(re.compile("debug|info|warning|error"), "debug, info, warning or error")
    data = Word(re.compile(r"[^\0]+"), "a folder")
    path = Word(re.compile("held|kept"), "held or kept")

    @property
    def seeds(self):
        """The three seed addresses, or `-` to read them from standard input once listening."""
        return self._seeds

    @seeds.setter
    def seeds(self, v):
        if v == "-" or v == ["-"]:
            self._seeds = "-"
            return
        if not isinstance(v, list) or not 1 <= len(v) <= 7 or len(set(map(str, v))) != len(v):
            raise ValueError("seeds: must be a list of different addresses, three as a rule")
        for i, a in enumerate(v):
            if not isinstance(a, str) or not _ADDR.fullmatch(a):
                raise ValueError(f"seeds[{i}]: must be an address like 127.0.0.1:7000")
        self._seeds = v


LIVE = ("level", "platform", "seeds")
_STD = {"link": "127.0.0.1:0", "http": "127.0.0.1:0", "level": "info"}


def parser(prog, doc, core):
    """The flags of a daemon."""
    p = argparse.ArgumentParser(
        prog=prog,
        description=doc,
        epilog="Exit codes: 0 left in order, 2 settings declined, 3 the data folder belongs to another node.",
    )
    p.add_argument(
        "--settings",
        metavar="FILE",
        help="settings file (TOML); flags override it; changes of level, platform and seeds are taken live",
    )
    p.add_argument(
        "--check",
        action="store_true",
        help="check the settings and the data folder, change nothing, start nothing",
    )
    p.add_argument("--name", help="this node's name")
    p.add_argument("--hall", help="the hall it stands in")
    p.add_argument(
        "--link",
        metavar="IP:PORT",
        help="address for the system's own processes (port 0 picks one)",
    )
    p.add_argument("--http", metavar="IP:PORT", help="address for visitors, members and operators")
    p.add_argument(
        "--seeds",
        metavar="IP:PORT,...",
        help="three seed addresses, the same on every node; - reads them from standard input once listening",
    )
    p.add_argument("--level", help="least level of log events (info)")
    if core:
        p.add_argument("--data", metavar="DIR", help="data folder")
        p.add_argument("--platform", metavar="IP:PORT", help="address of the platform")
        p.add_argument(
            "--path",
            metavar="held|kept",
            help="held: sessions live with their connection; kept: edges keep them for each other (kept)",
        )
    return p


def load(prog, doc, core, argv=None):
    """The checked Settings; otherwise a group of SettingsFaults, one a field."""
    a = vars(parser(prog, doc, core).parse_args(argv))
    d = dict(_STD)
    f = a.pop("settings")
    check = a.pop("check")
    bad = []
    if f:
        try:
            with open(f, "rb") as h:
                d.update(tomllib.load(h))
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as e:
            raise ExceptionGroup("settings declined", [SettingsFault(f"settings: {e}")]) from None
    d.update({k: v for k, v in a.items() if v is not None})
    if isinstance(d.get("seeds"), str):
        d["seeds"] = d["seeds"].split(",")
    s = Settings()
    s.file, s.check = f, check
    if core:
        d.setdefault("path", "kept")
    need = ["name", "hall", "link", "http", "seeds", "level"] + (
        ["data", "platform", "path"] if core else []
    )
    for k in d:
        if k not in need:
            bad.append(f"{k}: unknown field")
    for k in need:
        if k not in d:
            bad.append(f"{k}: missing")
            continue
        try:
            setattr(s, k, d[k])
            if k in ("link", "http", "platform"):
                h, p = d[k].rsplit(":", 1)
                if int(p) > 65535 or any(int(x) > 255 for x in h.split(".")):
                    raise ValueError(f"{k}: no such address")
        except ValueError as e:
            bad.append(str(e))
    if bad:
        raise ExceptionGroup("settings declined", [SettingsFault(b) for b in bad])
    return s


def seeds_from_stdin():
    """Reads seed addresses from one line of standard input."""
    v = sys.stdin.readline().strip().split(",")
    for x in v:
        if not _ADDR.fullmatch(x):
            raise SettingsFault("seeds: must be addresses like 127.0.0.1:7000")
    return v
