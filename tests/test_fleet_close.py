"""Closing a simulator fleet ends its clients, whatever they wait for at that moment."""

import asyncio

import pytest

from petrelhaven.simulator.fleet import Fleet

CLOSE_LIMIT_S = 5
CLIENT_PAUSE_S = 0.02
EVENT_LOOP_STEPS = 8


class HttpSession:
    async def close(self):
        pass


class ProxyStub:
    """Opens sessions at once, and holds back the replies to statements until `may_reply` is set."""

    name = "e1"

    def __init__(self):
        self.was_asked, self.may_reply = asyncio.Event(), asyncio.Event()

    async def open_session(self):
        return {"session": "s1"}

    async def statement(self, _session, _statement):
        self.was_asked.set()
        await self.may_reply.wait()
        return {"outcome": "kept", "ok": True, "value": 1}


@pytest.mark.parametrize("steps", range(EVENT_LOOP_STEPS))
def test_a_fleet_that_closes_while_a_client_gets_a_reply_ends_that_client(tmp_path, steps):
    """Guards against tests that never end: `asyncio.wait_for` can swallow a cancellation."""

    async def run():
        fleet, proxy = Fleet(str(tmp_path)), ProxyStub()
        fleet.loop, fleet.http = asyncio.get_running_loop(), HttpSession()
        fleet.edges, fleet.route = [proxy], lambda: proxy
        fleet.start_clients(1, pause=CLIENT_PAUSE_S)
        await proxy.was_asked.wait()
        proxy.may_reply.set()
        for _ in range(steps):
            await asyncio.sleep(0)
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await fleet.close()
        assert fleet.clients[0].done

    asyncio.run(run())
