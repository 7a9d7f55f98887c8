"""Fixtures that all tests share."""

import asyncio

import pytest
from stand_in.checkout import link_build

from petrelhaven.simulator.fleet import Fleet
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

pytest_plugins = ["known_red"]


@pytest.fixture
def warp():
    """Returns a function that runs a coroutine in virtual time."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    yield loop.run_until_complete
    end_all(loop)
    loop.close()
    asyncio.set_event_loop(None)


@pytest.fixture
def fleet(tmp_path):
    """Returns a function that runs a coroutine function against a fleet of real processes."""

    def run(scenario, size="small", **options):
        async def run_fleet():
            started = Fleet(str(tmp_path), size, **options)
            try:
                await started.start()
                await scenario(started)
            finally:
                await started.close()

        asyncio.run(run_fleet())

    return run


@pytest.fixture
def built(tmp_path):
    """Returns a checkout as its build leaves it, made of links to this one."""
    return link_build(tmp_path)
