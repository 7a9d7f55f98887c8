"""A fixed small set of storms; the same seed gives the same history (`petrelhaven-sim sweep` runs more)."""

import asyncio

import pytest

from petrelhaven.proxy.resumable.session import Session
from petrelhaven.runtime.errors import NoSession, Superseded
from petrelhaven.simulator.resumable.storm import inside, run


@pytest.mark.parametrize(
    "seed,size",
    [
        (0, "small"),
        (2, "small"),
        (5, "small"),
        (19, "small"),
        (22, "small"),
        (23, "small"),
        (31, "small"),
        (62, "small"),
        (1003, "nordvik"),
        (1009, "nordvik"),
        (2004, "archivo"),
        (2013, "archivo"),
    ],
)
def test_a_storm_breaks_no_rule(seed, size):
    bad, w = run(seed, size)
    assert bad == []
    assert sum(v.count["ok"] for v in w.clients) > 100


FOUND = {
    "a hall is emptied, then the primary's store is lost while the next replica catches up": (
        299,
        "small",
        [
            [4.845, "member_drain", 280209603],
            [12.928, "hall", 999602071],
            [13.4, "member_store", 966454656],
        ],
    ),
    "a healed cut's stale news shrinks the chain to one core, whose disk is then lost": (
        4044,
        "nordvik",
        [
            [7.718, "unanswered", 147598230],
            [23.958, "core_disk", 1056068320],
            [30.705, "isolate", 795539749],
            [33.63, "core_disk", 1041936734],
        ],
    ),
    "an edge leaves while the head is down, then its sessions' home is killed": (
        6095,
        "small",
        [
            [21.074, "core_kill", 988703225],
            [26.425, "edge_drain", 431466681],
            [35.425, "edge_kill", 659433952],
        ],
    ),
    "an edge leaves while the head is frozen": (
        4039,
        "nordvik",
        [
            [25.626, "core_freeze", 803082715],
            [27.759, "edge_drain", 607248395],
            [36.759, "edge_kill", 1002744698],
        ],
    ),
    "both replicas leave in turn, then the primary comes back with an empty store": (
        7056,
        "small",
        [
            [14.55, "member_drain", 505412164],
            [19.123, "member_drain", 818928627],
            [20.827, "member_store", 276134730],
        ],
    ),
    "an edge given up amid a keep goes on under its next incarnation, then its keeper is lost": (
        7037,
        "small",
        [
            [3.856, "edge_freeze", 714307650],
            [12.856, "isolate", 238817706],
            [14.843, "core_kill", 439203680],
            [30.51, "vanish", 850419360],
        ],
    ),
    "a core rejoins over an empty disk while one-way cuts keep the new view from all but its proposer": (
        240,
        "small",
        [
            [4.199, "cut_one", 103319223],
            [5.037, "core_disk", 355933410],
            [7.918, "edge_freeze", 636442351],
            [24.224, "hall", 847642849],
        ],
    ),
    "all cores are killed and a member at once, while others have not been heard again": (
        705,
        "small",
        [
            [7.642, "unanswered", 320317860],
            [14.301, "core_all", 131344703],
            [14.617, "member_kill", 341379453],
        ],
    ),
}


@pytest.mark.parametrize("name", FOUND)
def test_a_storm_that_once_broke_a_rule_breaks_none(name):
    seed, size, rows = FOUND[name]
    assert run(seed, size, rows)[0] == []


def test_a_statement_stuck_on_its_way_never_overtakes_a_later_one():
    async def go(w):
        await w.start()
        e = w.edges[0].node
        sid = (await e.open_session())["session"]
        for k, v in ((1, "old"), (2, "new")):
            await e.statement(sid, {"verb": "set", "name": "who", "value": v, "say": k})
        with pytest.raises(Superseded):
            await w.edges[1].node.statement(
                sid, {"verb": "set", "name": "who", "value": "old", "say": 1}
            )
        w.edges[0].kill()
        await w.until(lambda: any(sid in b.node.homes for b in w.edges[1:]), 8, "takeover")
        await asyncio.sleep(0.5)
        with pytest.raises(Superseded):
            await w.edges[1].node.statement(
                sid, {"verb": "set", "name": "who", "value": "old", "say": 1}
            )
        return (
            await w.edges[1].node.statement(
                sid, {"verb": "show", "name": "who", "route": "g1", "say": 3}
            )
        )["value"]

    assert inside(go, 4)[0] == "new"


def test_an_edge_that_leaves_while_no_core_answers_is_not_trusted_with_copies():
    async def go(w):
        await w.start()
        w.start_clients(9, pause=0.1)
        await asyncio.sleep(1)
        b = w.edges[1]
        w.net.cut([b.name], [c.name for c in w.cores], 1_200_000)
        t = b.tasks.spawn(b.node.drain())
        await asyncio.sleep(4)
        assert t.done()
        b.kill()
        w.edges[2].kill()
        await asyncio.sleep(6)
        w.boot_edge(b)
        w.boot_edge(w.edges[2])
        await asyncio.sleep(2)
        await w.calm()
        await asyncio.sleep(1)
        return w.verdict()

    assert inside(go, 3)[0] == []


def test_the_same_seed_gives_the_same_history():
    a, b = run(7)[1], run(7)[1]
    assert a.hist == b.hist and a.net.log == b.net.log


def test_a_hand_over_whose_receiver_dies_is_made_good_by_the_other_keeper():
    async def go(w):
        await w.start()
        a, b = w.edges[0], w.edges[1]
        sid = (await a.node.open_session())["session"]
        await a.node.statement(sid, {"verb": "set", "name": "who", "value": "me"})
        b.node.keeper.check = lambda: None
        s = a.node.homes[sid]
        s.keepers.sort()
        await a.node.move._hand(s)
        assert sid not in a.node.homes and sid in b.node.homes
        b.kill()
        await w.until(lambda: sid in w.edges[2].node.homes, 20, "claimed by the other keeper")
        got = await a.node.statement(sid, {"verb": "show", "name": "who", "route": "g1"})
        await asyncio.sleep(3)
        assert [x.name for x in w.edges if x.node and sid in x.node.homes] == ["e3"]
        return got["value"], w.net.findings

    assert inside(go, 4)[0] == ("me", [])


def test_an_ended_session_never_comes_back():
    async def go(w):
        await w.start()
        a = w.edges[0]
        sid = (await a.node.open_session())["session"]
        await a.node.statement(sid, {"verb": "set", "name": "who", "value": "me"})
        for e in w.edges[1:]:
            e.node.link.on("span.drop", lambda ch, b: asyncio.sleep(9, {"ok": True}))
        assert (await a.node.close_session(sid))["ok"]
        assert all(sid in e.node.session_replicas.stored for e in w.edges[1:])
        a.kill()
        await asyncio.sleep(9)
        assert not any(
            sid in e.node.homes or sid in e.node.session_replicas.stored for e in w.edges[1:]
        )
        w.boot_edge(a)
        await w.until(lambda: a.node.ready, 9, "edge ready")
        with pytest.raises(NoSession):
            await a.node.statement(sid, {"verb": "show", "name": "who", "route": "g1"})
        return w.net.findings

    assert inside(go, 4)[0] == []


def test_sessions_that_ended_or_moved_leave_nothing_behind():
    async def go(w):
        await w.start()
        was = len(Session._machine.models)
        for i in range(20):
            e = w.edges[i % 3].node
            await e.close_session((await e.open_session())["session"])
        sid = (await w.edges[0].node.open_session())["session"]
        await w.edges[0].node.move._hand(w.edges[0].node.homes[sid])
        await asyncio.sleep(3)
        left = [len(x) for e in w.edges for x in (e.node.homes, e.node.session_replicas.granted)]
        return (
            len(Session._machine.models) - was,
            sum(left),
            sum(len(e.node.session_replicas.stored) for e in w.edges),
        )

    assert inside(go, 6)[0] == (1, 1, 2)
