"""The stand-in of the machines: real processes that follow the deploy file, end and start again."""

import asyncio
import contextlib
import math
import os
import signal
import subprocess
import sys
import tomllib

import pytest
from stand_in.fleet import Fleet
from stand_in.history import History
from stand_in.loopback import network
from stand_in.process import Process
from stand_in.until import until
from stand_in_members import (
    NET,
)

SETTINGS_PROGRAM = """
import os, signal, sys, time
path = os.environ["PETRELHAVEN_SETTINGS"]
print("started", sys.argv[1], os.getpid(), flush=True)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
signal.signal(signal.SIGHUP, lambda *_: print("hup", flush=True))
while True:
    signal.pause()
"""
DEPLOY = """
[roles.door]
run = "python3 program.py door"
on = "edge"
share = 0.4
serves = ["edge"]
[roles.keeper]
run = "python3 program.py keeper"
on = "core"
serves = ["control"]
[roles.clerk]
run = "python3 program.py clerk"
on = "edge"
count = 1
apart = true
"""


def test_a_fleet_follows_the_deploy_file_and_starts_again_what_ends(tmp_path):
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/system.toml").write_text(DEPLOY)
    (tmp_path / "program.py").write_text(SETTINGS_PROGRAM)

    async def go():
        f = Fleet(
            tmp_path,
            tmp_path / "run",
            History(),
            {"z1": "r1", "z2": "r2"},
            edges=4,
            cores=2,
            net=network(),
        )
        roles = {m.name: sorted(m.processes) for m in f.machines.values()}
        assert roles == {
            "core-z1-1": ["keeper"],
            "core-z2-1": ["keeper"],
            "edge-z1-1": ["door"],
            "edge-z2-1": ["door"],
            "edge-z1-2": ["clerk", "door"],
            "edge-z2-2": ["clerk", "door"],
        }
        assert (
            len({m.ip for m in f.machines.values()}) == 6
            and len(f.controls()) == 2
            and len(f.fronts()) == 4
        )

        def told(machine, role, what):
            return (tmp_path / "run" / machine / f"{role}.log").read_text().count(what)

        try:
            await f.start()
            p = f.machines["core-z1-1"].processes["keeper"]
            await until(
                lambda: all(told(n, r, "started") == 1 for n, rs in roles.items() for r in rs)
            )
            boot = tomllib.loads((tmp_path / "run/core-z1-1/keeper.toml").read_text())
            assert (
                boot["Bootstrap"] is True
                and boot["SeedNodes"] == f.controls()
                and boot["Serves"] == ["control"]
            )
            assert boot["BindAddrs"] == {"Control": f.controls()[0]} and boot["Zones"] == {
                "z1": "r1",
                "z2": "r2",
            }
            f.hup("core-z1-1")
            await until(lambda: told("core-z1-1", "keeper", "hup"))
            f.kill("core-z1-1")
            await until(lambda: told("core-z1-1", "keeper", "started") == 2)
            assert "Bootstrap = false" in (tmp_path / "run/core-z1-1/keeper.toml").read_text()
            assert not f.own_ends()
            assert await f.terminate("core-z1-1") == [0]
            await until(lambda: told("core-z1-1", "keeper", "started") == 3)
            os.kill(p.pid, signal.SIGTERM)
            await until(lambda: told("core-z1-1", "keeper", "started") == 4)
            assert f.own_ends() == {("core-z1-1", "keeper"): [0]}
            (f.machines["core-z1-1"].disk / "x").write_text("x")
            await f.power_off("core-z1-1", wipe=True)
            assert p.pid is None and not list(f.machines["core-z1-1"].disk.iterdir())
            f.freeze("edge-z1-1")
            f.thaw("edge-z1-1")
            await f.power_on("core-z1-1")
            assert p.pid
        finally:
            await f.close()
        assert all(p.pid is None for m in f.machines.values() for p in m.processes.values())

    asyncio.run(go())


def test_a_replaced_machine_is_silent_and_its_successor_has_another_address(built, tmp_path):
    async def go():
        fleet = Fleet(
            built, tmp_path / "run", History(), {"z1": "r1"}, edges=1, cores=1, net=NET[4:]
        )
        await fleet.start()
        try:
            former = fleet.controls()[0]
            new = await fleet.replace("core-z1-1", gap_s=0.0)
            assert new == "core-z1-2" and fleet.listed_controls == [former] != fleet.controls()
            fleet.publish_controls()
            assert fleet.listed_controls == fleet.controls()
            settings = (tmp_path / "run/edge-z1-1/proxy.toml").read_text()
            assert tomllib.loads(settings)["SeedNodes"] == fleet.controls()
            boot = tomllib.loads((tmp_path / "run/core-z1-2/control.toml").read_text())
            assert boot["Bootstrap"] is False
            with pytest.raises(TimeoutError):
                host, port = former.split(":")
                await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.5)
        finally:
            await fleet.close()
        assert fleet.own_ends() == {}

    asyncio.run(go())


def test_unexpected_errors_are_found_in_the_logs_of_all_machines(built, tmp_path):
    fleet = Fleet(built, tmp_path / "run", History(), {"z1": "r1"}, edges=1, cores=1, net=NET[4:])
    prefix = "2026-12-04T23:00:00.000000Z"
    failed = f"{prefix} ERROR edge-z1-1 E903 background task failed what=OSError(9)"
    handler = f"{prefix} WARNING core-z1-1 E112 internal handler failed"
    harmless = f"{prefix} INFO edge-z1-1 E301 view adopted cause=E903 or Traceback"
    (tmp_path / "run/edge-z1-1/door.log").write_text(f"{harmless}\n{failed}\n")
    (tmp_path / "run/core-z1-1/keeper.log").write_text(f"{handler}\nTraceback (most recent)\n")
    assert fleet.logged_errors() == [
        f"core-z1-1/keeper: {handler}",
        "core-z1-1/keeper: Traceback (most recent)",
        f"edge-z1-1/door: {failed}",
    ]


def test_a_freeze_ends_with_the_thaw_or_with_the_process(built, tmp_path):
    async def go():
        history = History()
        fleet = Fleet(built, tmp_path / "run", history, {"z1": "r1"}, edges=1, cores=1, net=NET[4:])
        await fleet.start()
        try:
            for end in (fleet.thaw, fleet.kill, fleet.terminate, fleet.power_off):
                await until(
                    lambda: all(p.pid for p in fleet.machines["edge-z1-1"].processes.values())
                )
                fleet.freeze("edge-z1-1")
                fleet.freeze("edge-z1-1")
                assert history.freezes[-1].until == math.inf
                ending = end("edge-z1-1")
                if ending is not None:
                    await ending
                assert history.freezes[-1].until <= history.now()
            fleet.freeze("edge-z1-1")
        finally:
            await fleet.close()
        assert [f.machine for f in history.freezes] == ["edge-z1-1"] * 4

    asyncio.run(go())


ENDS_AT_A_HANGUP_SIGNAL = (
    "import signal, time; signal.signal(signal.SIGHUP, signal.SIG_DFL); time.sleep(30)"
)
"""A program with the default action, whatever the runner of the tests does with SIGHUP."""
END_SEEN_S = 5
"""Time in which an end is seen on a busy machine."""


def program_process(tmp_path, code):
    """Returns a process, not started yet, that runs `code`."""
    argv = [sys.executable, "-c", code]
    return Process(argv, tmp_path, dict(os.environ), tmp_path / "log", lambda first: None)


def test_a_signal_leaves_the_exit_code_to_the_event_loop(tmp_path, monkeypatch):
    """Guards against exit code 255 of a process that ended by itself right before it got SIGKILL."""
    polled = []
    monkeypatch.setattr(subprocess.Popen, "poll", lambda child: polled.append(child.pid))

    async def go():
        process = program_process(tmp_path, ENDS_AT_A_HANGUP_SIGNAL)
        await process.on()
        process.send(signal.SIGCONT)
        await process.off()
        return process.starts, process.own_ends

    assert asyncio.run(go()) == (1, [])
    assert polled == []


@pytest.mark.parametrize(("ran_s", "own_ends"), [(0.0, []), (1.3, [-signal.SIGHUP])])
def test_a_hangup_signal_that_meets_a_start_is_no_own_end_and_a_later_one_is(
    tmp_path, ran_s, own_ends
):
    async def go():
        process = program_process(tmp_path, ENDS_AT_A_HANGUP_SIGNAL)
        await process.on()
        await asyncio.sleep(ran_s)
        process.send(signal.SIGHUP)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_SEEN_S):
                while process.starts == 1:
                    await asyncio.sleep(0.02)
        await process.off()
        return process.own_ends

    assert asyncio.run(go()) == own_ends
