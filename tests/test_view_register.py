"""The view register decides at most one view per number, and a node that lost its disk does not vote."""

import asyncio
import random

import mutants
import pytest
from test_record_log import MemoryDisk

from petrelhaven.control.consensus.register import NoMajorityPromised, Proposer, Voter
from petrelhaven.control.consensus.view import View
from petrelhaven.control.storage.node_store import ControlNodeStore
from petrelhaven.runtime.errors import Conflict, Fault, NotSent


class Trio:
    """Three voters. Calls between them may be lost, or arrive long after the caller gave up."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.stores = {
            name: ControlNodeStore(MemoryDisk(), name, random.Random(f"{seed}{name}"))
            for name in "abc"
        }
        self.delayed_calls = []
        self.decided = []

    @property
    def members(self):
        return {name: store.disk_id for name, store in self.stores.items()}

    def caller(self, lossy=True):
        async def call(name, kind, body, timeout_us):
            await asyncio.sleep(self.rng.random() / 100)
            if lossy and self.rng.random() < 0.3:
                if self.rng.random() < 0.5:
                    self.delayed_calls.append((name, kind, body))
                raise NotSent(name)
            voter = Voter(self.stores[name])
            answer = await (
                voter.prepare(None, body) if kind == "vote.prepare" else voter.accept(None, body)
            )
            if lossy and self.rng.random() < 0.2:
                raise NotSent(name)
            return answer

        return call

    async def propose(self, proposer, number):
        try:
            view = await Proposer(self.stores[proposer], self.caller()).decide_view(
                self.members,
                lambda accepted: (
                    accepted
                    if accepted and accepted.number >= number
                    else View(
                        number, ("a", "b", "c"), self.members, str(self.rng.random()), proposer
                    )
                ),
            )
            self.decided.append(view)
        except (Fault, NoMajorityPromised):
            pass

    async def deliver_delayed_calls(self):
        for name, kind, body in self.delayed_calls:
            voter = Voter(self.stores[name])
            await (
                voter.prepare(None, body) if kind == "vote.prepare" else voter.accept(None, body)
            )
        self.delayed_calls.clear()


def accepted_view(store):
    return View.from_document(store.vote["value"])


def decided_first_views(seed, lose):
    """Three proposers race for view 1, and one may lose its disk; returns all decided views 1."""
    trio = Trio(seed)

    async def go():
        for round_number in range(6):
            await asyncio.gather(*[trio.propose(proposer, 1) for proposer in "abc"])
            if lose and round_number == 2 and trio.decided:
                trio.stores["c"].wipe()
            await trio.deliver_delayed_calls()

    asyncio.run(go())
    return {repr(view) for view in trio.decided if view.number == 1}


def test_racing_proposers_never_decide_two_views_under_one_number():
    assert all(len(decided_first_views(seed, False)) <= 1 for seed in range(40))
    assert any(len(decided_first_views(seed, False)) == 1 for seed in range(40))


def test_a_view_that_one_voter_accepted_is_decided_among_the_members_of_the_decided_view():
    trio = Trio(7)
    members = trio.members
    first = View(1, ("a", "b", "c"), members)

    async def only_a_accepts(name, kind, body, timeout_us):
        if kind == "vote.accept" and name != "a":
            raise NotSent(name)
        return await trio.caller(lossy=False)(name, kind, body, timeout_us)

    async def go():
        assert (
            await Proposer(trio.stores["a"], trio.caller(lossy=False)).decide_view(
                members, lambda accepted: first
            )
            == first
        )
        for name in "abc":
            trio.stores[name].save_vote(ids=members)
        trio.stores["c"].wipe()
        second = View(2, ("a", "b", "c"), trio.members)
        with pytest.raises(Conflict):
            await Proposer(trio.stores["a"], only_a_accepts).decide_view(
                members, lambda accepted: second
            )
        assert (
            accepted_view(trio.stores["a"]) == second and accepted_view(trio.stores["b"]) == first
        )
        for proposer in "ab":
            finished = await Proposer(trio.stores[proposer], trio.caller(lossy=False)).decide_view(
                members, lambda accepted: accepted
            )
            assert finished == second

    asyncio.run(go())


def test_a_node_that_lost_its_disk_does_not_vote_until_it_is_admitted():
    trio = Trio(5)
    members = trio.members

    async def ask(name, kind, body):
        voter = Voter(trio.stores[name])
        return await (voter.prepare(None, body) if kind == "p" else voter.accept(None, body))

    async def go():
        first = View(1, ("a", "b", "c"), members).to_document()
        for name in "ac":
            assert (await ask(name, "p", {"num": 1, "who": "a", "ids": members}))["ok"]
            assert (await ask(name, "a", {"num": 1, "who": "a", "ids": members, "value": first}))[
                "ok"
            ]
        trio.stores["c"].wipe()
        answers = [await ask(name, "p", {"num": 2, "who": "b", "ids": members}) for name in "bc"]
        return sum(answer["ok"] for answer in answers)

    assert asyncio.run(go()) < 2
    monkeypatch = pytest.MonkeyPatch()
    mutants.amnesiac_votes(monkeypatch)
    try:
        trio = Trio(5)
        members = trio.members
        assert asyncio.run(go()) == 2
    finally:
        monkeypatch.undo()
