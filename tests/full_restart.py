"""Kills all processes of a stand-in scene and waits until the system serves again."""

import asyncio

from machine_time import wait_within

__all__ = ["restart_all"]

CLIENTS_S = 2
"""How long clients work from the kill on, so that some meet proxies that are still starting."""
START_BOUND_S = 20
READY_BOUND_S = 20


async def restart_all(scene):
    """Kills all processes while clients work; returns once all run again and all proxies are ready.

    The operations that clients begin until then aren't owed. The rules hold for them.
    """
    killed_at = scene.history.now()
    await asyncio.gather(scene.play(CLIENTS_S), _kill_and_wait(scene))
    scene.excuse(killed_at, scene.history.now())


async def _kill_and_wait(scene):
    fleet = scene.fleet
    starts = [
        (process, process.starts + 1)
        for machine in fleet.machines.values()
        for process in machine.processes.values()
    ]
    fleet.kill(*fleet.machines)
    await wait_within(
        fleet,
        START_BOUND_S,
        lambda: all(process.starts == count and process.pid for process, count in starts),
    )
    running_since = scene.history.now()
    # What the load balancer knows from before the kill tells nothing about the new processes.
    await wait_within(
        fleet,
        READY_BOUND_S,
        lambda: len(scene.router.ready_since(running_since)) == len(fleet.fronts()),
    )
