"""LOST: a replica that was counted out returns, alone receives commits, and isn't counted."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from estate import SERVICE, TROUBLE, Estate, main

_CRASH_AT_S = 3.0
_DEAF_AFTER_S = 4.4
_DOWN_S = 5.1
_PRIMARY_CRASH_AFTER_S = 0.35
_REST_S = 8.0


async def play(estate: Estate) -> list[str]:
    """Plays the case; returns the acknowledged commits that a promote cut back."""
    primary = estate.primary()
    returning, staying = (m for m in estate.groups[SERVICE].members.values() if m is not primary)
    length = _CRASH_AT_S + _DOWN_S + _PRIMARY_CRASH_AFTER_S + _REST_S
    clients = estate.add_clients(estate.ingest, 12, 5.0, length)
    clients += estate.add_clients(estate.browse, 6, 4.0, length)
    await asyncio.sleep(_CRASH_AT_S)
    if TROUBLE:
        estate.note(f"replica {returning.id} crashes")
        await returning.crash()
        await asyncio.sleep(_DEAF_AFTER_S)
        estate.note(f"replica {staying.id} receives nothing from now on")
        staying.deaf = True
        await asyncio.sleep(_DOWN_S - _DEAF_AFTER_S)
        await returning.start()
        estate.note(f"replica {returning.id} is back, with its log, {_DOWN_S} s after its crash")
        await asyncio.sleep(_PRIMARY_CRASH_AFTER_S)
        estate.note(f"primary {primary.id} crashes")
        await primary.crash()
        await asyncio.sleep(4.0)
        staying.deaf = False
        estate.groups[SERVICE].changed.fire()
        estate.note(f"replica {staying.id} receives again")
        await primary.start()
        estate.note(f"{primary.id} is back, with its log")
    await asyncio.gather(*clients)
    leader = estate.primary()
    estate.note(f"{leader.id if leader else 'nobody'} leads")
    return lost_commits(estate)


def lost_commits(estate: Estate) -> list[str]:
    """Returns the commits whose client got a success and that a promote cut back."""
    outcomes = {}
    for attempt in estate.history.attempts:
        for statement in attempt.statements:
            outcomes[statement.id] = attempt, statement
    lost = []
    for entry in estate.history.entries:
        if entry.cut_at is None:
            continue
        for number, thing, _data in entry.writes:
            attempt, statement = outcomes[number]
            last = attempt.statements[-1] if attempt.transaction else statement
            if last.outcome == "ok" and (not attempt.transaction or last.text == "COMMIT"):
                lost.append(
                    f"LOST: write {number} of {thing}, commit {entry.term}.{entry.number}, was "
                    f"answered with success and is not in the log of the promoted member"
                )
    return lost


if __name__ == "__main__":
    main(__file__, play)
