"""`petrelhaven-sim sweep`: many seeded storms in virtual time, each violation shrunk."""

from __future__ import annotations

import argparse
import json
import os
import re
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

from petrelhaven.simulator.commands.base import (
    NOTHING_FOUND,
    SIZES,
    VIOLATIONS_FOUND,
    CommandParsers,
    comma_list,
)
from petrelhaven.simulator.connection_sessions import control_storm
from petrelhaven.simulator.connection_sessions import storm as connection_storm
from petrelhaven.simulator.connection_sessions.control_faults import CONTROL_KINDS
from petrelhaven.simulator.connection_sessions.embargo import EmbargoedFleet
from petrelhaven.simulator.connection_sessions.fleet import SimulatedFleet
from petrelhaven.simulator.resumable import storm as resumable_storm
from petrelhaven.simulator.resumable.storm import violation_line

__all__ = ["add_command"]

_FORMER_PATHS = {"kept": "resumable", "held": "connection"}
"""Names taken for one version more."""

_REPORT_EVERY = 20
_SHOWN = 3
_SHOWN_LETTERS = 400


@dataclass(frozen=True, slots=True)
class _Job:
    """One storm to play."""

    seed: int
    size: str
    faults: int
    kinds: list[str]


@dataclass(frozen=True, slots=True)
class _Outcome:
    """What a storm showed: its violations in words, its shrunk schedule, how much was served."""

    seed: int
    violations: list[str]
    schedule: list[Any]
    served: int


Storm = Callable[[_Job], _Outcome]


def add_command(commands: CommandParsers) -> None:
    """Adds this command to petrelhaven-sim's parser."""
    parser = commands.add_parser(
        "sweep",
        help="many seeded storms in virtual time; prints each violating seed with a shrunk "
        "schedule",
    )
    parser.add_argument("--seeds", type=_seeds, default="0-100", metavar="A-B")
    parser.add_argument("--size", choices=SIZES, default="small")
    parser.add_argument(
        "--path",
        type=lambda name: _FORMER_PATHS.get(name, name),
        choices=tuple(_STORMS),
        default="resumable",
        help="resumable: sessions that proxies replicate; connection: sessions that live with "
        "their connection; embargoed: the same with records that must not be seen yet and a clock "
        "that steps; control: connection sessions with faults of control nodes piled up under "
        "operators' orders, every other seed with five control nodes",
    )
    parser.add_argument("--faults", type=int, default=6, help="faults a storm")
    parser.add_argument(
        "--kinds",
        type=comma_list(_KNOWN_KINDS),
        default=[],
        metavar="KIND,...",
        help=f"of the path resumable: {', '.join(resumable_storm.KINDS)}; "
        f"of connection and embargoed: {', '.join(sorted(set(connection_storm.KINDS)))}; "
        f"of control: {', '.join(CONTROL_KINDS)}",
    )
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.set_defaults(run=_run)


def _seeds(text: str) -> range:
    """The seeds from A up to but without B, of a text A-B."""
    match = re.fullmatch(r"(\d+)-(\d+)", text)
    if not match or int(match[1]) >= int(match[2]):
        raise argparse.ArgumentTypeError(f"{text!r} is not of the form A-B with A below B")
    return range(int(match[1]), int(match[2]))


def _run(arguments: argparse.Namespace) -> int:
    jobs = [
        _Job(seed, arguments.size, arguments.faults, arguments.kinds) for seed in arguments.seeds
    ]
    violating = served = 0
    with ProcessPoolExecutor(arguments.jobs) as executor:
        outcomes = executor.map(_STORMS[arguments.path], jobs)
        for played, outcome in enumerate(outcomes, 1):
            served += outcome.served
            violating += bool(outcome.violations)
            _print_outcome(outcome)
            if played % _REPORT_EVERY == 0:
                print(f"{played} storms played, {violating} violated a rule so far", flush=True)
    print(f"{violating} of {len(jobs)} storms violated a rule; {served} statements answered")
    return VIOLATIONS_FOUND if violating else NOTHING_FOUND


def _print_outcome(outcome: _Outcome) -> None:
    if not outcome.violations:
        return
    print(
        f"seed {outcome.seed}: {len(outcome.violations)} violations; "
        f"shrunk schedule {json.dumps(outcome.schedule)}"
    )
    for violation in outcome.violations[:_SHOWN]:
        print("  " + violation[:_SHOWN_LETTERS], flush=True)


def _resumable(job: _Job) -> _Outcome:
    kinds = job.kinds or None
    violations, world = resumable_storm.run(job.seed, job.size, count=job.faults, kinds=kinds)
    rows = resumable_storm.schedule(job.seed, job.faults, kinds) if violations else []
    shrunk = resumable_storm.shrink(job.seed, job.size, rows) if violations else []
    served = sum(client.count["ok"] for client in world.clients)
    return _Outcome(job.seed, [violation_line(found) for found in violations], shrunk, served)


def _connection(job: _Job, fleet: type[SimulatedFleet] = SimulatedFleet) -> _Outcome:
    kinds = job.kinds or None
    violations, played = connection_storm.run(job.seed, count=job.faults, kinds=kinds, fleet=fleet)
    rows = connection_storm.schedule(job.seed, job.faults, kinds) if violations else []
    shrunk = connection_storm.shrink(job.seed, rows, fleet=fleet) if violations else []
    served = sum(client.served for client in played.clients)
    return _Outcome(job.seed, [violation_line(found) for found in violations], shrunk, served)


def _embargoed(job: _Job) -> _Outcome:
    return _connection(job, EmbargoedFleet)


def _control(job: _Job) -> _Outcome:
    kinds = job.kinds or None
    violations, fleet = control_storm.run(job.seed, kinds=kinds)
    rows = control_storm.schedule(job.seed, kinds=kinds) if violations else []
    shrunk = control_storm.shrink(job.seed, rows, broken=violations) if violations else []
    served = sum(client.served for client in fleet.clients)
    return _Outcome(job.seed, [violation_line(found) for found in violations], shrunk, served)


_STORMS: dict[str, Storm] = {
    "resumable": _resumable,
    "connection": _connection,
    "embargoed": _embargoed,
    "control": _control,
}
_KNOWN_KINDS = sorted({*resumable_storm.KINDS, *connection_storm.KINDS, *CONTROL_KINDS})
