"""A statement that waits for a primary is cut without an answer when its edge is stopped in order."""
# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, D107, E402, E501, PLR2004, RET504 (as in tests/)

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

from estate import ROOT, Session, is_troubled, play_case, scene
from stand_in.route import Route

NEW_SERVICE, NEW_DATABASE = "svc9", "new9"
TIMEOUT_MS, DEADLINE_S = 4000, 8.0
CLIENTS, FIRST_S, GAP_S = 6, 1.2, 0.05
"""Clients that come while the platform still gives connections to the edge: within two misses."""


async def ask_once(record, address, number):
    """One client of the new database; returns when its write was sent, when it ended, and how."""
    loop = asyncio.get_running_loop()
    session = await Session.open(address, NEW_DATABASE, f"u{number}")
    sent = loop.time()
    id = f"{number:016x}"
    record.add(f"client {number} sends QUERY {id} PUT {number:x} data")
    try:
        answer = await session.ask(id, f"PUT {number:x} data", DEADLINE_S)
        outcome = f"{answer.code or 'COMPLETE'} {answer.text}".strip()
    except TimeoutError:
        outcome = "silence"
    except OSError:
        outcome = "cut"
    ended = loop.time()
    record.add(f"client {number}: {outcome}, {ended - sent:.3f} s after it was sent")
    session.close()
    return sent, ended, outcome


async def case(record, folder):
    """Returns whether every statement that the stopped edge took got a complete answer."""
    estate = scene.Scene(ROOT, folder, services=1)
    async with estate:
        grace_s, slack_s = estate.fleet.bounds["GraceS"], estate.fleet.bounds["LossSlackMs"] / 1000
        await add_database(record, estate)
        name, _, front, _ = estate.fleet.fronts()[0]
        loop = asyncio.get_running_loop()
        await asyncio.sleep(estate.fleet.bounds["ContactMs"] / 1000)
        stopped_at, stopping = loop.time(), None
        if is_troubled():
            stopping = asyncio.ensure_future(estate.fleet.terminate(name))
            record.add(f"SIGTERM to {name}; GraceS is {grace_s}")
        await asyncio.sleep(FIRST_S)
        clients = []
        for number in range(CLIENTS):
            clients.append(asyncio.ensure_future(ask_once(record, front, number)))
            await asyncio.sleep(GAP_S)
        seen = await asyncio.gather(*clients)
        if stopping is not None:
            record.add(f"{name} ended with {await stopping}")
    lost = [
        (sent, ended)
        for sent, ended, outcome in seen
        if outcome == "cut"
        and ended - sent > slack_s
        and ended - sent < TIMEOUT_MS / 1000
        and ended - stopped_at <= grace_s + 1
    ]
    for sent, ended in lost:
        record.add(
            f"LOST: sent {sent - stopped_at:.3f} s after SIGTERM, cut {ended - stopped_at:.3f} s "
            f"after it, {ended - sent:.3f} s after the statement; no member was ever asked"
        )
    record.add(f"{len(lost)} of {len(seen)} statements ended without a complete answer")
    return not lost


async def add_database(record, estate):
    """Adds a route and its service, whose members have not come yet, by a configuration."""
    route = Route(NEW_DATABASE, NEW_SERVICE, timeout_ms=TIMEOUT_MS)
    document = estate.config()
    document["Routes"].append(route.row())
    document["Services"].append({**document["Services"][0], "Name": NEW_SERVICE})
    order = await estate.operator.replace(document)
    record.add(
        f"configuration {document['Revision']} with database {NEW_DATABASE}, TimeoutMs "
        f"{TIMEOUT_MS}, is answered {order.status}"
    )


if __name__ == "__main__":
    sys.exit(play_case(HERE, case))
