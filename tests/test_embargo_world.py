"""Embargoes on the held path in virtual time: nobody sees a record before its moment, everybody soon after it."""
import asyncio
import random

import pytest
from embargo_world import HALLS, virtual

from petrelhaven.creed.fault import Fault
from petrelhaven.span.ask import Ask

S = 1_000_000


async def placed(w, thing="opening", secs=8):
    """An embargoed record, written once the rule is in force."""
    until = w.true() + secs * S
    await w.embargo("add", thing, until)
    await w.write(thing)
    return until


def test_a_record_is_withheld_to_its_moment_and_served_after_it_by_every_edge():
    async def go(w):
        until = await placed(w)
        crowd = w.crowd(["opening"])
        await asyncio.sleep((until - w.true()) / S + 3)
        await w.settle(crowd)
        assert w.bad == [] and w.refused > 100
        late = w.late("opening", until)
        assert set(late) == set(w.edges) and max(late.values()) < 0.7, late
    virtual(go)
