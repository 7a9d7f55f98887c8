"""The view's register: one outcome a round, and no vote from amnesia."""

import asyncio
import random

import mutants
import pytest
from test_record_log import Bytes

from petrelhaven.control.consensus.register import NoMajorityPromised, Proposer, Voter
from petrelhaven.control.consensus.view import View
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.runtime.errors import Conflict, Fault, NotSent


class Trio:
    """Three voters whose calls may be lost or arrive long after."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.mems = {n: ControlNodeStore(Bytes(), n, random.Random(f"{seed}{n}")) for n in "abc"}
        self.late = []
        self.chosen = []

    @property
    def ids(self):
        return {n: m.disk_id for n, m in self.mems.items()}

    def caller(self, lossy=True):
        async def call(n, kind, body, us):
            await asyncio.sleep(self.rng.random() / 100)
            if lossy and self.rng.random() < 0.3:
                if self.rng.random() < 0.5:
                    self.late.append((n, kind, body))
                raise NotSent(n)
            v = Voter(self.mems[n])
            r = await (v.prepare(None, body) if kind == "vote.prepare" else v.accept(None, body))
            if lossy and self.rng.random() < 0.2:
                raise NotSent(n)
            return r

        return call

    async def propose(self, who, n):
        try:
            v = await Proposer(self.mems[who], self.caller()).change(
                self.ids,
                lambda x: (
                    x
                    if x and x.number >= n
                    else View(n, ("a", "b", "c"), self.ids, str(self.rng.random()), who)
                ),
            )
            self.chosen.append(v)
        except (Fault, NoMajorityPromised):
            pass

    async def deliver(self):
        for n, kind, body in self.late:
            v = Voter(self.mems[n])
            await (v.prepare(None, body) if kind == "vote.prepare" else v.accept(None, body))
        self.late.clear()


def accepted(store):
    return View.from_document(store.vote["value"])


def outcome(seed, lose):
    """Three proposers race for view 1 and lose disks on the way; the chosen values of view 1."""
    t = Trio(seed)

    async def go():
        for i in range(6):
            await asyncio.gather(*[t.propose(w, 1) for w in "abc"])
            if lose and i == 2 and t.chosen:
                t.mems["c"].wipe()
            await t.deliver()

    asyncio.run(go())
    return {repr(v) for v in t.chosen if v.number == 1}


def test_racing_proposers_never_decide_two_views_under_one_number():
    assert all(len(outcome(s, False)) <= 1 for s in range(40))
    assert any(len(outcome(s, False)) == 1 for s in range(40))


def test_a_view_that_one_voter_alone_accepted_is_finished_under_the_identities_that_were_decided():
    t = Trio(7)
    ids = t.ids
    one = View(1, ("a", "b", "c"), ids)

    async def deaf(n, kind, body, us):
        if kind == "vote.accept" and n != "a":
            raise NotSent(n)
        return await t.caller(lossy=False)(n, kind, body, us)

    async def go():
        assert await Proposer(t.mems["a"], t.caller(lossy=False)).change(ids, lambda x: one) == one
        for n in "abc":
            t.mems[n].save_vote(ids=ids)
        t.mems["c"].wipe()
        two = View(2, ("a", "b", "c"), t.ids)
        with pytest.raises(Conflict):
            await Proposer(t.mems["a"], deaf).change(ids, lambda x: two)
        assert accepted(t.mems["a"]) == two and accepted(t.mems["b"]) == one
        for who in "ab":
            finished = await Proposer(t.mems[who], t.caller(lossy=False)).change(ids, lambda x: x)
            assert finished == two

    asyncio.run(go())


def test_a_core_that_lost_its_disk_does_not_vote_until_it_is_admitted():
    t = Trio(5)
    ids = t.ids

    async def ask(n, kind, body):
        v = Voter(t.mems[n])
        return await (v.prepare(None, body) if kind == "p" else v.accept(None, body))

    async def go():
        old = View(1, ("a", "b", "c"), ids).to_document()
        for n in "ac":
            assert (await ask(n, "p", {"num": 1, "who": "a", "ids": ids}))["ok"]
            assert (await ask(n, "a", {"num": 1, "who": "a", "ids": ids, "value": old}))["ok"]
        t.mems["c"].wipe()
        got = [await ask(n, "p", {"num": 2, "who": "b", "ids": ids}) for n in "bc"]
        return sum(r["ok"] for r in got)

    assert asyncio.run(go()) < 2
    mp = pytest.MonkeyPatch()
    mutants.amnesiac_votes(mp)
    try:
        t = Trio(5)
        ids = t.ids
        assert asyncio.run(go()) == 2
    finally:
        mp.undo()
