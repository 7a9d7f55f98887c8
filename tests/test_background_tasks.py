"""Background tasks of a node: what happens when one fails."""

import asyncio

import pytest

from petrelhaven.runtime.errors import NotSent
from petrelhaven.runtime.tasks import BackgroundTasks


@pytest.mark.parametrize("error", [OSError(9, "Bad file descriptor"), NotSent("c1"), KeyError("x")])
def test_a_service_that_fails_runs_again(warp, error):
    """Guards against nodes that go on without a task that they need, after one error."""
    runs = []

    async def run():
        runs.append(None)
        if len(runs) < 3:
            raise error

    async def go():
        tasks = BackgroundTasks()
        task = tasks.spawn_service(run)
        await asyncio.sleep(5.0)
        return task.done()

    assert warp(go())
    assert len(runs) == 3


def test_a_service_ends_with_its_node(warp):
    runs = []

    async def run():
        runs.append(None)
        await asyncio.sleep(1.0)
        raise OSError

    async def go():
        tasks = BackgroundTasks()
        task = tasks.spawn_service(run)
        await asyncio.sleep(0.5)
        await tasks.close()
        await asyncio.sleep(5.0)
        return task.cancelled()

    assert warp(go())
    assert len(runs) == 1
