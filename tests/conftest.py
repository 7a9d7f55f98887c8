import asyncio

import pytest

from petrelhaven.simulator.fleet import Fleet
from petrelhaven.simulator.virtual_time import WarpLoop, end_all

pytest_plugins = ["known_red"]


@pytest.fixture
def warp():
    """Runs a coroutine in virtual time."""
    loop = WarpLoop()
    asyncio.set_event_loop(loop)
    yield loop.run_until_complete
    end_all(loop)
    loop.close()
    asyncio.set_event_loop(None)


@pytest.fixture
def fleet(tmp_path):
    """Runs a coroutine function against a fleet of real processes."""

    def run(fn, size="small", **kw):
        async def go():
            f = Fleet(str(tmp_path), size, **kw)
            try:
                await f.start()
                await fn(f)
            finally:
                await f.close()

        asyncio.run(go())

    return run
