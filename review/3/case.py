"""DRAIN: a late heartbeat of a member that has signed off makes it a member again."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from estate import SERVICE, TROUBLE, Estate, main

_SIGN_OFF_AT_S = 4.0
_LATE_BY_S = 3.0
_SERVES_ON_S = 12.0
_REST_S = 4.0


async def play(estate: Estate) -> list[str]:
    """Plays the case; returns the statements that reached the member too late."""
    members = estate.groups[SERVICE].members.values()
    leaving = next(m for m in members if m is not estate.primary())
    clients = estate.add_clients(
        estate.ingest, 12, 4.0, _SIGN_OFF_AT_S + _SERVES_ON_S + _REST_S + 2.0
    )
    clients += estate.add_clients(
        estate.browse, 9, 4.0, _SIGN_OFF_AT_S + _SERVES_ON_S + _REST_S + 2.0
    )
    await asyncio.sleep(_SIGN_OFF_AT_S)
    beats = leaving._beats
    relay = asyncio.ensure_future(_send_held_beat(estate, leaving)) if TROUBLE else None
    if TROUBLE:
        await asyncio.sleep(1.0)  # silence: the caller goes on to the next node
        beats._turn += 1
        beats._target = None
    await beats._heartbeat()
    estate.note(f"{leaving.id} beats, CallSeq {beats._seq}, acknowledged")
    leaving._tasks[-1].cancel()  # its last beat; it signs off next
    await beats.deregister()
    gone_at = estate.history.now()
    estate.note(f"{leaving.id} signs off, acknowledged; it serves on for {_SERVES_ON_S} s")
    await asyncio.sleep(_SERVES_ON_S)
    await leaving.crash()
    del estate.groups[SERVICE].members[leaving.id]
    estate.note(f"{leaving.id} ends")
    await asyncio.gather(*clients, *([relay] if relay else []))
    return late_runs(estate, leaving.id, gone_at)


async def _send_held_beat(estate: Estate, member: object) -> None:
    """Sends a heartbeat through a relay that holds its bytes back for `_LATE_BY_S`.

    The member takes the silence of a second as a failure and closes; the bytes arrive later.
    """
    beats = member._beats
    beats._seq += 1
    group = member.group
    body = json.dumps(
        {
            "Service": group.service,
            "Address": member.address,
            "Zone": member.zone,
            "Revision": member.revision,
            "Capacity": group.slots,
            "State": "ready",
            "WarmupLeftMs": 0,
            "DbRole": member.role,
            "CallSeq": beats._seq,
        },
        separators=(",", ":"),
    ).encode()
    node = beats._target or beats._nodes[0]
    estate.note(f"{member.id} beats, CallSeq {beats._seq}, to {node}; its bytes are held up")
    await asyncio.sleep(_LATE_BY_S)
    host, port = node.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /v1/Members.Heartbeat/{member.id} HTTP/1.1\r\nHost: {node}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    estate.note("the held bytes arrive")
    line = (await reader.readline()).decode().strip()
    estate.note(f"answered with {line}, to nobody")
    writer.close()


def late_runs(estate: Estate, member: str, gone_at: float) -> list[str]:
    """Returns the first statements that reached the member over `DrainMs` after its sign-off."""
    asked = {s.id: (a, s) for a in estate.history.attempts for s in a.statements}
    late = []
    for run in estate.history.runs:
        since = run.arrived - gone_at
        if run.member != member or run.id not in asked:
            continue
        attempt, statement = asked[run.id]
        if since > estate.fleet.bounds["DrainMs"] / 1000 and statement is attempt.first:
            late.append(
                f"DRAIN: {run.id} {run.text} reached {member} {since:.3f} s after the "
                "acknowledgement that it is gone"
            )
    return late


if __name__ == "__main__":
    main(__file__, play)
