"""An order that a deposed head had taken is not confirmed by another record that took its number."""

import asyncio
import random

import pytest
from test_record_log import Bytes

from petrelhaven.control.consensus.chain import Chain
from petrelhaven.control.consensus.view import View
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.runtime.clock import Clock
from petrelhaven.runtime.errors import NotReady, NotSent
from petrelhaven.runtime.tasks import BackgroundTasks


class LoopClock(Clock):
    """Follows the loop's virtual time."""

    def now(self):
        return int(asyncio.get_running_loop().time() * 1e6)


async def _others_confirm(name, kind, body, us):
    if kind == "view.confirm":
        return {"ok": True, "view": None, "boot": name, "clock": 1}
    raise NotSent(name)


def zone(name):
    return {"t": "hall", "hall": name, "state": "emptied", "by": "operator"}


def test_a_deposed_head_that_rejoins_does_not_confirm_what_was_thrown_away(warp):
    async def go():
        store = ControlNodeStore(Bytes(), "a", random.Random(1), state=ControlState)
        tasks = BackgroundTasks()
        chain = Chain(LoopClock(), tasks, store, _others_confirm)
        ids = {"a": store.disk_id, "b": "other", "c": "third"}

        def view(n, *names):
            return View(n, names, ids, "", names[0])

        tasks.spawn(chain.confirmation.run())
        chain.adopt(view(1, "a", "b", "c"))
        await asyncio.sleep(1)
        order = tasks.spawn(chain.append_record(zone("lost")))
        await asyncio.sleep(0.5)
        chain.adopt(view(2, "b", "c"))
        await asyncio.sleep(0.5)
        chain.adopt(view(3, "b", "c", "a"))
        await asyncio.sleep(1)
        control_state = ControlState()
        control_state.apply(1, zone("kept"))
        body = {
            "view": 3,
            "prev": 1,
            "mark": 2,
            "recs": [],
            "frame": control_state.snapshot(),
            "done": True,
        }
        await chain.handle_append(None, body)
        assert chain.is_active and chain.committed_seq == 1
        with pytest.raises(NotReady):
            await order
        tasks.kill()

    warp(go())
