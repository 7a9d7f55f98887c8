"""EVAC: a primary that drains and whose zone is evacuated a moment later is used too long."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from estate import SERVICE, TROUBLE, Estate, main

_DARK_AT_S = 4.0
_DRAIN_AFTER_S = 0.3
_DARK_S = 4.5
_PLAY_S = 16.0


async def play(estate: Estate) -> list[str]:
    """Plays the case; returns the statements that reached the evacuated zone too late."""
    primary = estate.primary()
    dark = [m for m in estate.groups[SERVICE].members.values() if m is not primary][-1]
    clients = estate.add_clients(estate.ingest, 24, 5.0, _PLAY_S)
    clients += estate.add_clients(estate.browse, 6, 4.0, _PLAY_S)
    await asyncio.sleep(_DARK_AT_S)
    if TROUBLE:
        estate.note(f"replica {dark.id} goes dark for {_DARK_S} s")
        dark.go_dark()
    await asyncio.sleep(_DRAIN_AFTER_S)
    release = asyncio.ensure_future(estate.release(primary))
    while primary.id not in estate.history.drained:
        await asyncio.sleep(0.005)
    estate.note(f"primary {primary.id} in {primary.zone} says draining, acknowledged")
    status = await estate.operator.begin(primary.zone)
    estate.note(f"{primary.zone} is evacuated, answered with {status}")
    acked_at = estate.history.evacuations[0].acked_at
    await asyncio.sleep(_DARK_S - _DRAIN_AFTER_S - 0.1)
    if TROUBLE:
        await dark.go_light()
        estate.note(f"replica {dark.id} is back")
    while estate.primary() is primary:
        await asyncio.sleep(0.01)
    estate.note(f"{estate.primary().id if estate.primary() else 'nobody'} leads")
    await asyncio.gather(*clients, release)
    return late_runs(estate, primary.zone, acked_at)


def late_runs(estate: Estate, zone: str, acked_at: float) -> list[str]:
    """Returns the first statements that reached the zone over `EvacuateMs` after the order."""
    asked = {s.id: (a, s) for a in estate.history.attempts for s in a.statements}
    late = []
    for run in estate.history.runs:
        since = run.arrived - acked_at
        if run.zone != zone or run.id not in asked:
            continue
        attempt, statement = asked[run.id]
        if since > estate.fleet.bounds["EvacuateMs"] / 1000 and statement is attempt.first:
            late.append(
                f"EVAC: {run.id} {run.text} reached {run.member} in {zone} {since:.3f} s after "
                "the acknowledgement of its evacuation"
            )
    return late


if __name__ == "__main__":
    main(__file__, play)
