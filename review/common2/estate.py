"""The project's stand-ins of `tests/stand_in/` without `aiohttp`, and what the cases share."""

# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, D107, E402, E501, PLR2004, RET504 (as in tests/)

import asyncio
import os
import shutil
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
sys.path[:0] = [str(HERE), str(ROOT / "tests")]

import caller
import cloud
import stand_in

sys.modules["stand_in.caller"] = stand_in.caller = caller
sys.modules["stand_in.cloud"] = stand_in.cloud = cloud

from stand_in import scene
from stand_in.member import Member
from stand_in.session import Session

__all__ = [
    "HELD",
    "ROOT",
    "BROKEN",
    "Member",
    "Record",
    "Session",
    "is_troubled",
    "play_case",
    "scene",
]

HELD, BROKEN, NOT_RUN = 0, 1, 2
_LIMIT_S = 110


def is_troubled():
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of `record.txt`, each with the seconds since the record began."""

    def __init__(self):
        """Starts an empty record."""
        self._lines, self._start = [], None

    def at(self):
        """The seconds since the first call."""
        now = asyncio.get_running_loop().time()
        self._start = now if self._start is None else self._start
        return now - self._start

    def add(self, text):
        """Adds a line."""
        self._lines.append(f"{self.at():8.3f} {text}")

    def shift(self, moment):
        """A moment of the event loop's clock as seconds of this record."""
        return moment - (self._start or 0.0)

    def write(self, folder):
        """Writes the lines to `record.txt` in `folder`."""
        (folder / "record.txt").write_text("\n".join(self._lines) + "\n")


def play_case(folder, case):
    """Plays `case(record, run folder)`, which returns whether the rule held; ends with its status."""
    record = Record()
    run_folder = Path(tempfile.mkdtemp(prefix="petrelhaven-case-"))

    async def bounded():
        async with asyncio.timeout(_LIMIT_S):
            record.add(f"the case starts, {'with' if is_troubled() else 'without'} the disruption")
            return await case(record, run_folder)

    try:
        status = HELD if asyncio.run(bounded()) else BROKEN
        record_end = "the rule held" if status == HELD else "THE RULE WAS BROKEN"
    except Exception as error:  # whatever it was, the case could not run
        status, record_end = NOT_RUN, f"the case could not run: {error!r}"
    record._lines.append(record_end)
    record.write(Path(folder))
    if os.environ.get("KEEP"):
        print(run_folder)
    else:
        shutil.rmtree(run_folder, ignore_errors=True)
    print(record_end)
    return status
