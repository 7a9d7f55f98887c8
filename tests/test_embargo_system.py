"""Tests embargoes with real processes in the stand-in environment."""

import asyncio
import json
import os
import random
import sys
from datetime import UTC, datetime
from pathlib import Path

import pytest
from machine_time import MachineTime, pids_of
from stand_in.attempt import Attempt
from stand_in.scene import Scene
from stand_in.session import Session
from stand_in.statement import Statement
from test_stand_in_system import BOUNDS, led_by_another

from petrelhaven.runtime.instant import format_instant

pytestmark = pytest.mark.xdist_group("estate")

SOURCE_ROOT = Path(__file__).parent.parent / "src"
SECOND_US = 1_000_000


def now():
    """Returns microseconds of UTC; all processes of a test share one wall clock."""
    return int(datetime.now(UTC).timestamp() * 1e6)


def control_addresses(scene):
    """Returns the interface addresses of the control nodes."""
    return [
        f"{machine.ip}:7581"
        for name, machine in scene.fleet.machines.items()
        if name.startswith("core")
    ]


async def petrelhavenctl(scene, *argv):
    """Runs petrelhavenctl and returns its exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "petrelhaven.commands.ctl",
        "--control",
        ",".join(control_addresses(scene)),
        "--by",
        "op",
        *argv,
        env={**os.environ, "PYTHONPATH": str(SOURCE_ROOT)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def ask(scene, front, name, *texts):
    """Sends statements in a new session and returns the last answer, or None if it is missing.

    The attempt is added to the history, which the verdict of the scene checks.
    """
    attempt = Attempt(f"{name}/{now()}", "pri0", "primary", 0, "BEGIN" in texts)
    scene.history.attempts.append(attempt)
    answer = shape = None
    try:
        session = await Session.open(front, "pri0", name)
        try:
            for text in texts:
                if text.startswith("PREPARE"):
                    shape = text.split(" ")[-1]
                statement = Statement(
                    f"{random.getrandbits(64):016x}",
                    text,
                    scene.history.now(),
                    shape if text.startswith("EXECUTE") else None,
                    text.startswith("PUT"),
                    {},
                )
                attempt.statements.append(statement)
                answer = await session.ask(statement.id, text, 2)
                statement.outcome, statement.stamp, statement.rows, statement.ended = (
                    answer.code or "ok",
                    answer.stamp,
                    answer.rows,
                    scene.history.now(),
                )
            return answer
        finally:
            session.close()
    except (OSError, TimeoutError):
        return None


async def read_repeatedly(scene, front, record_key, replies, end):
    """Reads a record until `end`, and appends the proxy, time, code and rows of each reply."""
    while now() < end:
        answer = await ask(
            scene,
            front,
            "watcher",
            *random.choice(
                ([f"FETCH {record_key}"], ["PREPARE q FETCH s1", f"EXECUTE q {record_key}"])
            ),
        )
        if answer is not None:
            replies.append((front, now(), answer.code, answer.rows))
        await asyncio.sleep(0.03)


@pytest.fixture
def run_scene(built, tmp_path):
    def run(test, **kw):
        async def run_test():
            async with Scene(built, tmp_path / "run", bounds=BOUNDS, **kw) as scene:
                await test(scene)
                verdict = await scene.verdict()
                assert verdict.violations == [], verdict
                assert verdict.own_ends == {}, verdict

        asyncio.run(run_test())

    return run


def test_a_record_is_withheld_by_every_process_through_a_failover_and_served_after(run_scene):
    async def test(scene):
        command = await scene.configure(
            Embargo={
                "Services": ["svc0"],
                "SpreadMs": 500,
                "Rules": [
                    {
                        "Name": "all-drafts",
                        "Service": "svc0",
                        "Prefix": "draft-",
                        "Until": "2199-01-01T00:00:00",
                        "Zone": "Europe/Oslo",
                        "Early": ["editor"],
                    }
                ],
            }
        )
        assert command.acked_at, command
        # the release time allows for the duration of two commands in addition to the nine seconds
        started = now()
        assert (await petrelhavenctl(scene, "embargo", "list"))[0] == 0
        until = now() + 12 * SECOND_US + 4 * (now() - started)
        add = (
            "embargo",
            "add",
            "one",
            "--group",
            "svc0",
            "--thing",
            "opening",
            "--until",
            format_instant(until),
        )
        exit_code, output = await petrelhavenctl(scene, *add)
        assert exit_code == 0 and "in force" in output, output
        exit_code, output = await petrelhavenctl(scene, *add)
        assert exit_code == 1 and "stands already" in output, output
        fronts = [front[2] for front in scene.fleet.fronts()]
        for write in ("opening secret", "draft-1 secret"):
            assert not (await ask(scene, fronts[0], "w", f"PUT {write}")).code
        old_primary, replies = scene.primary(), []

        async def fail_primary():
            await old_primary.crash()
            await led_by_another(scene, old_primary)
            await old_primary.start()

        control_node = next(name for name in scene.fleet.machines if name.startswith("core"))
        readers = [
            asyncio.ensure_future(
                read_repeatedly(scene, front, "opening", replies, until + 4 * SECOND_US)
            )
            for front in fronts
        ]
        assert until - now() > 9 * SECOND_US, (
            "the set-up used up the time in which the record is withheld"
        )
        machine = MachineTime(lambda: pids_of(scene.fleet))
        await scene.play(
            9, [(3, fail_primary), (6, lambda: scene.fleet.kill(control_node))], clients=2
        )
        await asyncio.gather(*readers)
        early = [reply for reply in replies if reply[1] < until and not reply[2]]
        assert early == [] and sum(reply[2] == "DENIED" for reply in replies) > 20
        served = {
            front: min(
                (
                    at
                    for reader_front, at, code, rows in replies
                    if reader_front == front and not code and rows
                ),
                default=None,
            )
            for front in fronts
        }
        # the release depends on the wall clock, so time lost by the machine counts as delay
        max_delay_us = 2 * SECOND_US + int(machine.waited_s() * SECOND_US)
        assert all(at and at - until < max_delay_us for at in served.values()), (
            until,
            served,
            max_delay_us,
        )
        for front in fronts:
            first, second = (
                await ask(scene, front, "u", "FETCH draft-1"),
                await ask(scene, front, "u", "FETCH draft-2"),
            )
            assert (
                first.code == second.code == "DENIED" and first.position == second.position == "-"
            )
            assert (await ask(scene, front, "editor", "FETCH draft-1")).code == ""
            assert (
                await ask(
                    scene, front, "u", "BEGIN", "PUT x y", "FETCH draft-1", "PUT x z", "COMMIT"
                )
            ).code == ""
        exit_code, output = await petrelhavenctl(scene, "embargo", "list")
        assert (
            exit_code == 0
            and "one (placed)" in output
            and "all-drafts (manifest)" in output
            and "time known" in output
        ), output
        exit_code, output = await petrelhavenctl(
            scene, "embargo", "why", "--group", "svc0", "--thing", "draft-7"
        )
        assert exit_code == 0 and "withheld by all-drafts" in output, output
        exit_code, output = await petrelhavenctl(scene, "embargo", "lift", "one")
        assert exit_code == 0, output
        exit_code, output = await petrelhavenctl(
            scene, "embargo", "add", "x", "--group", "nowhere", "--thing", "a", "--until", "soon"
        )
        assert exit_code == 1 and "until" in output, output

    run_scene(test)


def test_embargo_records_are_published_as_cloud_events(run_scene):
    async def test(scene):
        assert (await scene.configure(Embargo={"Services": ["svc1"]})).acked_at
        soon = format_instant(now() + SECOND_US)
        exit_code, output = await petrelhavenctl(
            scene, "embargo", "add", "e", "--group", "svc1", "--prefix", "a", "--until", soon
        )
        assert exit_code == 0, output
        answer = await scene.operator._caller.call(
            control_addresses(scene)[0], "GET", "/events?after=0"
        )
        events = [
            event for event in json.loads(answer[1]) if event["type"] == "petrelhaven.embargo"
        ]
        assert answer[0] == 200 and len(events) == 1, answer
        assert events[0]["data"]["by"] == "op" and events[0]["data"]["do"] == "add"

    run_scene(test)
