"""A proxy that is stopped answers the statements that it has taken."""

import asyncio

import pytest
from stand_in.route import Route
from stand_in.scene import Scene
from stand_in.session import Session

pytestmark = pytest.mark.xdist_group("estate")

BOUNDS = {"GraceS": 4, "DrainMs": 1000}
TIMEOUT_MS = 9000
LONG_DRAIN_MS = 20000
ANSWERED = ("ABORTED", "BUSY")


def test_a_statement_that_waits_for_a_primary_is_answered_before_its_proxy_ends(built, tmp_path):
    """Guards against a connection that ends without an answer to a statement that was sent to no member (LOST)."""

    async def go():
        scene = Scene(built, tmp_path / "run", bounds=BOUNDS, services=1)
        scene.routes[:] = [Route("pri0", "svc0", timeout_ms=TIMEOUT_MS)]
        async with scene:
            replicas = [m for m in scene.groups["svc0"].members.values() if not m.leads]
            await asyncio.gather(*(member.sign_off(serve_ms=100) for member in replicas))
            leaving = asyncio.ensure_future(scene.primary().release(drain_ms=LONG_DRAIN_MS))
            await asyncio.sleep(2)
            name, _zone, front, _ready = scene.fleet.fronts()[0]
            session = await Session.open(front, "pri0", "u1")
            asked = asyncio.ensure_future(session.ask("00000000000000a1", "PUT 1 a"))
            await asyncio.sleep(0.5)
            stopped = asyncio.ensure_future(scene.fleet.terminate(name))
            try:
                answer = await asked
            finally:
                leaving.cancel()
            await stopped
            return answer.code

    assert asyncio.run(go()) in ANSWERED
