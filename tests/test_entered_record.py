"""A record that a former head could not commit is replaced by another record with the same number.

The former head must not acknowledge its own record when the other one is committed.
"""

import asyncio
import random

import pytest
from test_record_log import MemoryDisk
from virtual_io import LoopClock

from petrelhaven.control.consensus.chain import Chain
from petrelhaven.control.consensus.view import View
from petrelhaven.control.state.control_state import ControlState
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.runtime.errors import NotReady, NotSent
from petrelhaven.runtime.tasks import BackgroundTasks


async def _others_confirm(name, kind, body, timeout_us):
    if kind == "view.confirm":
        return {"ok": True, "view": None, "boot": name, "clock": 1}
    raise NotSent(name)


def zone_record(zone):
    return {"t": "hall", "hall": zone, "state": "emptied", "by": "operator"}


def test_a_former_head_that_rejoins_does_not_acknowledge_a_record_that_was_replaced(warp):
    async def go():
        store = ControlNodeStore(MemoryDisk(), "a", random.Random(1), state=ControlState)
        tasks = BackgroundTasks()
        chain = Chain(LoopClock(), tasks, store, _others_confirm)
        members = {"a": store.disk_id, "b": "other", "c": "third"}

        def view(number, *names):
            return View(number, names, members, "", names[0])

        tasks.spawn(chain.confirmation.run())
        chain.adopt(view(1, "a", "b", "c"))
        await asyncio.sleep(1)
        order = tasks.spawn(chain.append_record(zone_record("lost")))
        await asyncio.sleep(0.5)
        chain.adopt(view(2, "b", "c"))
        await asyncio.sleep(0.5)
        chain.adopt(view(3, "b", "c", "a"))
        await asyncio.sleep(1)
        control_state = ControlState()
        control_state.apply(1, zone_record("kept"))
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
