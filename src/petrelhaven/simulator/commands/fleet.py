"""`petrelhaven-sim fleet`: a local fleet of processes under load, with faults on request."""

from __future__ import annotations

import argparse
import asyncio
import collections
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

from petrelhaven.commands.ctl.command import add_hidden_alias
from petrelhaven.simulator.commands.base import (
    NOTHING_FOUND,
    SIZES,
    CommandParsers,
    comma_list,
    exit_code,
    print_violations,
)
from petrelhaven.simulator.fleet import Fleet

__all__ = ["add_command"]

_US_PER_S = 1e6
_PAUSE_BEFORE_FAULT_US = 2_500_000
_SETTLED_WITHIN_S = 20
_FAILED_OVER_WITHIN_S = 12
_CLIENT_PAUSE_S = 0.7

Violation = tuple[object, ...]
Fault = Callable[[Fleet], Awaitable[list[Violation]]]


def add_command(commands: CommandParsers) -> None:
    """Adds this command to petrelhaven-sim's parser."""
    parser = commands.add_parser(
        "fleet", help="start a local fleet of processes, load it, check what clients saw"
    )
    parser.add_argument("--size", choices=SIZES, default="nordvik")
    parser.add_argument("--clients", type=int, default=150)
    add_hidden_alias(parser, "--visitors", "clients", type=int)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--faults",
        type=comma_list([*_FAULTS, *_FORMER_FAULTS]),
        default="",
        metavar="NAME,...",
        help="crash (a primary; shows the failover), proxy (kill -9), control (kill -9 of the "
        "head), freeze (a proxy), drain (SIGTERM a proxy)",
    )
    parser.add_argument(
        "--hold", action="store_true", help="after the load, keep the fleet up until interrupted"
    )
    parser.add_argument("--dir", help="folder for data and logs (a new temporary one)")
    parser.set_defaults(run=_run)


def _run(arguments: argparse.Namespace) -> int:
    return asyncio.run(_play(arguments))


async def _play(arguments: argparse.Namespace) -> int:
    folder = arguments.dir or tempfile.mkdtemp(prefix="petrelhaven-")
    fleet = Fleet(folder, arguments.size, arguments.seed)
    try:
        await _start(fleet, folder)
        fleet.start_clients(arguments.clients, pause=_CLIENT_PAUSE_S)
        end = time.monotonic() + arguments.seconds
        violations = await _bring_about(fleet, arguments.faults)
        await fleet.clock.sleep(max(0, int((end - time.monotonic()) * _US_PER_S)))
        await fleet.calm()
        _print_seen(fleet)
        violations += await fleet.verdict()
        print_violations(violations)
        if arguments.hold:
            await _hold()
        return exit_code(violations)
    finally:
        await fleet.close()


async def _start(fleet: Fleet, folder: str) -> None:
    began = time.monotonic()
    await fleet.start()
    took_s = time.monotonic() - began
    print(
        f"fleet of size {fleet.size} serves after {took_s:.1f} s; data and logs in {folder}",
        flush=True,
    )
    proxies = ",".join(proxy._p.facts["http"] for proxy in fleet.edges)
    print(f"control nodes {','.join(fleet.cores)}; proxies {proxies}", flush=True)


async def _bring_about(fleet: Fleet, faults: list[str]) -> list[Violation]:
    violations: list[Violation] = []
    for name in faults:
        await fleet.clock.sleep(_PAUSE_BEFORE_FAULT_US)
        violations += await _FAULTS[_FORMER_FAULTS.get(name, name)](fleet)
        print(f"fault {name} brought about", flush=True)
    return violations


async def _hold() -> None:
    print("holding; interrupt to end", flush=True)
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        sys.exit(NOTHING_FOUND)


def _print_seen(fleet: Fleet) -> None:
    outcomes = collections.Counter((row["t"], row.get("outcome", "")) for row in fleet.hist)
    seen = (f"{kind} {outcome} {n}".replace("  ", " ") for (kind, outcome), n in outcomes.items())
    print("seen: " + ", ".join(sorted(seen)))
    counts: collections.Counter[str] = collections.Counter()
    for client in fleet.clients:
        counts.update(client.count)
    print(
        f"statements ok {counts['ok']}, declined {counts['declined']}; "
        f"longest step {fleet.longest():.2f} s"
    )


async def _crash(fleet: Fleet) -> list[Violation]:
    """Kills g1's primary and shows the failover; returns what was not seen of it."""
    before = (await fleet.until(fleet.settled, _SETTLED_WITHIN_S))["epochs"]["g1"]
    primary = fleet.procs[before["primary"]]
    print(
        f"g1: primary {before['primary']}, epoch {before['n']}; "
        f"kill -9 of its process {primary.p.pid}",
        flush=True,
    )
    killed_at = fleet.now()
    await primary.end(signal.SIGKILL)
    try:
        epoch = await _epoch_after(fleet, before["primary"])
    except (TimeoutError, AssertionError) as error:
        return [("no failover", "g1", before["primary"], _FAILED_OVER_WITHIN_S, repr(error))]
    finally:
        took_s = fleet.now() - killed_at
        await fleet.again(before["primary"])
    print(
        f"g1: primary {epoch['primary']}, epoch {epoch['n']}; "
        f"a write committed and read back {took_s:.1f} s after the kill"
    )
    return await _explain(fleet, epoch["n"])


async def _epoch_after(fleet: Fleet, lost_primary: str) -> dict[str, Any]:
    """The epoch in which another member than the lost one serves writes."""

    async def serving() -> dict[str, Any] | None:
        status = await fleet.head()
        epoch = status and status["epochs"]["g1"]
        serves = epoch and epoch["phase"] == "serve" and epoch["primary"] != lost_primary
        return epoch if serves else None

    epoch: dict[str, Any] = await fleet.until(serving, _FAILED_OVER_WITHIN_S)
    await fleet.served(_FAILED_OVER_WITHIN_S)
    return epoch


async def _explain(fleet: Fleet, epoch: int) -> list[Violation]:
    argv = ["--control", ",".join(fleet.cores), "why", "g1", "--epoch", str(epoch)]
    print("$ petrelhavenctl " + " ".join(argv), flush=True)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "petrelhaven.commands.ctl", *argv
    )
    code = await process.wait()
    return [("not explained", "g1", epoch, code)] if code else []


async def _kill_proxy(fleet: Fleet) -> list[Violation]:
    await fleet.procs["e1"].end(signal.SIGKILL)
    await fleet.clock.sleep(5_000_000)
    await fleet.again("e1")
    return []


async def _kill_head(fleet: Fleet) -> list[Violation]:
    status = await fleet.until(fleet.head, _SETTLED_WITHIN_S)
    await fleet.procs[status["name"]].end(signal.SIGKILL)
    await fleet.clock.sleep(4_000_000)
    await fleet.again(status["name"])
    return []


async def _freeze_proxy(fleet: Fleet) -> list[Violation]:
    fleet.procs["e2"].poke(signal.SIGSTOP)
    await fleet.clock.sleep(4_000_000)
    fleet.procs["e2"].poke(signal.SIGCONT)
    return []


async def _drain_proxy(fleet: Fleet) -> list[Violation]:
    await fleet.procs["e3"].end(signal.SIGTERM)
    await fleet.again("e3")
    return []


_FAULTS: dict[str, Fault] = {
    "crash": _crash,
    "proxy": _kill_proxy,
    "control": _kill_head,
    "freeze": _freeze_proxy,
    "drain": _drain_proxy,
}
_FORMER_FAULTS = {"edge": "proxy", "core": "control"}
"""Names taken for one version more."""
