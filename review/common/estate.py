"""What the cases share: a small deployment with stand-ins, its clients, and the record of a run.

The processes of the system are started by the project's stand-in fleet (`tests/stand_in/fleet.py`)
with the commands of `deploy/system.toml`. Settings and bounds are those of the site
`aanp-miniaturas`, with one service of three members and three machines of each class.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "tests"), str(Path(__file__).resolve().parent)]

import caller  # noqa: E402 (found only now)
import cloud  # noqa: E402

sys.modules["stand_in.caller"], sys.modules["stand_in.cloud"] = caller, cloud

from stand_in.client import Client  # noqa: E402
from stand_in.route import Route  # noqa: E402
from stand_in.scene import Scene  # noqa: E402

__all__ = ["BOUNDS", "SERVICE", "TROUBLE", "Estate", "main"]

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "svc0"
BOUNDS = {"ContactMs": 4000, "AckMs": 5000, "StretchMs": 12000}
"""Bounds of the site that differ from those of the stand-in fleet."""

_LIMIT_S = 112.0
_HELD, _BROKEN, _NOT_RUN = 0, 1, 2


class Estate(Scene):
    """The stand-in scene with one service like `catalogo-miniaturas`."""

    def __init__(self, folder: str) -> None:
        """Keeps settings, logs and disks below `folder`."""
        super().__init__(
            ROOT,
            folder,
            services=1,
            bounds=BOUNDS,
            lag_ms=8,
            promote_ms=1000,
            slots=5,
            queue=40,
            conn_limit=68,
            work_ms=4,
        )
        self.ingest = Route(
            "pri0", SERVICE, "primary", 0, 800, 300, 2000, writes=0.35, transactions=0.25
        )
        self.browse = Route(
            "bnd0", SERVICE, "bounded_staleness", 1500, 1500, 600, 3000, 0.0, transactions=0.1
        )
        self.routes[:] = [self.ingest, self.browse]
        self.began = 0.0
        self.notes: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line to the record, with the seconds since the clients began."""
        at = self.history.now() - self.began
        self.notes.append(f"{at:8.3f}  {text}")
        print(self.notes[-1], flush=True)

    def add_clients(self, route: Route, count: int, rate: float, seconds: float) -> list[Any]:
        """Starts `count` clients of a route, dealt to the zones; returns their tasks."""
        zones = list(self.zones)
        tasks = []
        for index in range(count):
            zone, name = zones[index % len(zones)], f"u{len(self.clients)}"
            client = Client(
                name,
                route,
                lambda further, z=zone, n=name: self.router.pick(z, n, further),
                self.history,
                rate=rate,
                things=2000,
                lasting=index % 4 > 0,
            )
            self.clients.append(client)
            tasks.append(asyncio.ensure_future(client.run(seconds)))
        return tasks

    def lines(self) -> Iterable[str]:
        """What was sent, answered and run, one line each, by time."""
        rows = []
        for attempt in self.history.attempts:
            for s in attempt.statements:
                rows.append((s.sent, f"sent      {s.id} {s.text} by {attempt.session}"))
                if s.ended is not None:
                    rows.append((s.ended, f"answered  {s.id} {s.outcome} {s.stamp}"))
        for run in self.history.runs:
            rows.append((run.at, f"run       {run.id} {run.text} at {run.member}"))
        for entry in self.history.entries:
            commit = f"{entry.term}.{entry.number}"
            ids = ",".join(id for id, _, _ in entry.writes)
            if entry.acked_at is not None:
                rows.append((entry.acked_at, f"commit    {commit} of {ids} acknowledged"))
            if entry.cut_at is not None:
                rows.append((entry.cut_at, f"commit    {commit} of {ids} cut back by a promote"))
        for at, service, member, holder, fence, status in self.cloud.calls:
            rows.append((at, f"failover  {service} {member} by {holder} fence {fence}: {status}"))
        return [f"{at - self.began:8.3f}  {text}" for at, text in sorted(rows)]


Play = Callable[[Estate], Awaitable[list[str]]]
"""Plays a case; returns what broke the rule, one line for each time."""


def main(case: str, play: Play) -> None:
    """Runs a case, writes its record and exits with 0, 1 or 2."""
    code, record = asyncio.run(_run(play))
    (Path(case).resolve().parent / "record.txt").write_text("\n".join(record) + "\n")
    print(f"exit {code}")
    sys.exit(code)


async def _run(play: Play) -> tuple[int, list[str]]:
    with tempfile.TemporaryDirectory() as folder:
        estate = Estate(folder)
        broken: list[str] = []
        try:
            async with asyncio.timeout(_LIMIT_S), estate:
                estate.began = estate.history.now()
                broken = await play(estate)
                code = _BROKEN if broken else _HELD
        except Exception as error:  # the case could not run, whatever the reason
            estate.note(f"could not run: {error!r}")
            code = _NOT_RUN
        ends = estate.fleet.own_ends()
        if ends:
            estate.note(f"processes that ended by themselves: {ends}")
        for line in broken[:5]:
            print(line)
        record = [f"trouble: {TROUBLE}", "", "what happened", *estate.notes, "", "broken"]
        record += [*(broken or ["nothing"]), "", "sent, answered and run", *estate.lines()]
        if os.environ.get("KEEP_LOGS"):
            for log in sorted(Path(folder).glob("*/*.log")):
                record += ["", f"log of {log.parent.name}", log.read_text(errors="replace")]
        return code, record
