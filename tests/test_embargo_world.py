"""Embargoes on the held path in virtual time: nobody sees a record before its moment, everybody soon after it."""

import asyncio
import random

import pytest
from embargo_world import virtual

from petrelhaven.proxy.session.statement import Statement
from petrelhaven.runtime.errors import Fault

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


async def watched(w, until, things=("opening",), secs=3.0, each=2):
    """Readers everywhere until `secs` after the release; what was seen too early."""
    crowd = w.crowd(things, each)
    await asyncio.sleep((until - w.true()) / S + secs)
    await w.settle(crowd)
    return w.bad


async def calm(w):
    """A rule, a record, its moment."""
    return await watched(w, await placed(w, secs=5))


async def cut_edge(w):
    """An edge loses the cores; right then a rule is placed and the record is written; it goes on reading members."""
    crowd = w.crowd(["opening"])
    await asyncio.sleep(1)
    w.net.cut(["e1"], list(w.cores), 6 * S)
    until = await placed(w, secs=10)
    await asyncio.sleep((until - w.true()) / S + 3)
    await w.settle(crowd)
    assert "e1" in w.late("opening", until)
    return w.bad


async def stale_replica(w):
    """A replica copies five seconds late; a record is placed and lifted again while readers of any age look."""
    w.members["m2"].lag = 5
    until = await placed(w, secs=6)
    return await watched(w, until, secs=7)


async def failover(w):
    """The primary ends shortly before the moment; who takes over refuses too, and serves after."""
    until = await placed(w, secs=5)
    w.loop.call_later(4.2, w.net.machines["m1"].kill)
    bad = await watched(w, until, secs=8)
    assert set(w.late("opening", until)) == set(w.edges)
    return bad


async def stepped(w, us=5 * S):
    """One core's clock steps well before the moment."""
    until = await placed(w, secs=8)
    w.loop.call_later(2, setattr, w.walls["c1"], "off", us)
    bad = await watched(w, until)
    late = w.late("opening", until)
    assert set(late) == set(w.edges) and max(late.values()) < 1, late
    return bad


async def ahead(w):
    """All cores' clocks are as far ahead as a good clock may be."""
    for x in w.walls.values():
        x.off = 99_000
    return await watched(w, await placed(w, secs=5))


async def in_flight(w):
    """A read is at a slow member while the rule comes and the record is written."""
    for m in w.members.values():
        w.net.machines[m.machine.name].clock.rate = 0.01
    until = w.true() + 9 * S
    t = asyncio.ensure_future(w.read("e1", "opening", "old"))
    await asyncio.sleep(0.02)
    await w.embargo("add", "opening", until)
    for m in w.members.values():
        m.log.append((1, "opening", "secret"))
    r = await t
    assert w.true() < until and r is not None
    return w.bad


async def prepared_before(w):
    """A name is prepared and a transaction begun before the rule comes; both read after it."""
    g = w.edges["e1"].node
    v, x = g.open("db", "u"), g.open("db", "u")
    for s in (v, x):
        await g.serve_one(
            s, Statement("1", "prepare", "PREPARE q FETCH s1", name="q", shape="FETCH s1")
        )
    await g.serve_one(x, Statement("2", "begin", "BEGIN", writes=True))
    assert (await g.serve_one(x, Statement("3", "read", "FETCH opening"))).ok
    until = await placed(w, secs=6)
    for s in (v, x):
        for a in (
            Statement(
                "4", "execute", "EXECUTE q opening", name="q", data="opening", shape="FETCH s1"
            ),
            Statement("5", "read", "FETCH opening"),
        ):
            w.note("e1", "opening", await g.serve_one(s, a))
    r = await g.serve_one(x, Statement("6", "write", "PUT other 1", writes=True))
    assert r.ok and r.state == "T"
    assert (await g.serve_one(x, Statement("7", "commit", "COMMIT"))).ok
    assert w.true() < until
    return w.bad


async def moved_later(w):
    """An edge is cut off while the release is put off; the time it knows is still good at the old release."""
    m = w.configuration(bounds={"keepers": 0, "idle_txn_us": 30 * S, "wall_us": 2 * S})
    await w.call(lambda s: s.apply(m, by="op"))
    until = await placed(w, secs=6)
    crowd = w.crowd(["opening"])
    await asyncio.sleep((until - w.true()) / S - 2.5)
    w.net.cut(["e2"], list(w.cores), 6 * S)
    later = until + 6 * S
    await w.embargo("move", "opening", later)
    await asyncio.sleep((later - w.true()) / S + 3)
    await w.settle(crowd)
    assert set(w.late("opening", later)) == set(w.edges)
    return w.bad


SCENES = (
    calm,
    cut_edge,
    stale_replica,
    failover,
    stepped,
    ahead,
    in_flight,
    prepared_before,
    moved_later,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("scene", SCENES)
def test_nobody_sees_a_record_before_its_moment(scene, seed):
    assert virtual(scene, seed) == []


def test_one_core_a_clock_that_steps_back_changes_nothing():
    assert virtual(lambda w: stepped(w, -5 * S)) == []


def no_lease(mp):
    from petrelhaven.proxy import embargo

    real = embargo.EmbargoFilter.apply_records

    def apply_records(self, control_state, recs, fresh):
        real(self, control_state, recs, fresh)
        self.scope = frozenset()

    mp.setattr(embargo.EmbargoFilter, "apply_records", apply_records)


def no_second_look(mp):
    from petrelhaven.proxy import embargo

    mp.setattr(embargo.EmbargoFilter, "check_reply", lambda self, v, a, group, reply: reply)


def acknowledged_at_once(mp):
    from petrelhaven.control import leases as lease_table

    async def in_force(self, seq, grace_us=0, timeout_us=0):
        return 0

    mp.setattr(lease_table.LeaseTable, "in_force", in_force)


def own_clock(mp):
    from petrelhaven.control.embargo import agreed_time
    from petrelhaven.runtime.wall_clock import TimeInterval

    def interval(self):
        w = self.wall_clock.now()
        return TimeInterval(w - self._limits().skew_us, w + self._limits().skew_us)

    mp.setattr(agreed_time.AgreedTime, "interval", interval)


def highest_time(mp):
    from petrelhaven.proxy import embargo

    def lowest(self):
        got = self.interval()
        return got[1] if got else 0

    mp.setattr(embargo.ProxyTime, "lowest", lowest)


def middle_time(mp):
    from petrelhaven.proxy import embargo

    def lowest(self):
        got = self.interval()
        return sum(got) // 2 if got else 0

    mp.setattr(embargo.ProxyTime, "lowest", lowest)


def executes_unseen(mp):
    mp.setattr(Statement, "things", property(lambda self: {self.text.partition(" ")[2]}))


def transactions_unseen(mp):
    from petrelhaven.proxy import embargo

    real = embargo.EmbargoFilter.refuse_if_withheld
    mp.setattr(
        embargo.EmbargoFilter,
        "refuse_if_withheld",
        lambda self, v, a, group: None if v.transaction is not None else real(self, v, a, group),
    )


def rules_at_the_start_only(mp):
    from petrelhaven.proxy import embargo

    real = embargo.EmbargoFilter.apply_records
    mp.setattr(
        embargo.EmbargoFilter,
        "apply_records",
        lambda self, control_state, recs, fresh: real(self, control_state, [], fresh),
    )


@pytest.mark.parametrize(
    ("guard", "scene"),
    [
        (no_lease, cut_edge),
        (no_lease, moved_later),
        (no_second_look, in_flight),
        (acknowledged_at_once, cut_edge),
        (own_clock, stepped),
        (highest_time, ahead),
        (middle_time, ahead),
        (executes_unseen, prepared_before),
        (transactions_unseen, prepared_before),
        (rules_at_the_start_only, calm),
    ],
)
def test_without_its_guard_a_record_is_seen_too_early(monkeypatch, guard, scene):
    guard(monkeypatch)
    assert any(virtual(scene, seed) for seed in (1, 2, 3))


def test_moved_earlier_it_is_served_earlier_and_lifted_at_once():
    async def go(w):
        until = await placed(w, "a", 60)
        await placed(w, "b", 60)
        crowd = w.crowd(["a", "b"], 1)
        await asyncio.sleep(1)
        sooner = w.true() + 3 * S
        await w.embargo("move", "a", sooner)
        await w.embargo("lift", "b")
        lifted = w.true()
        await asyncio.sleep(6)
        await w.settle(crowd)
        assert w.bad == [] and w.true() < until
        assert set(w.late("a", sooner)) == set(w.late("b", lifted)) == set(w.edges)

    virtual(go)


def test_a_client_named_in_the_rule_sees_the_record_early_and_no_one_else_does():
    async def go(w):
        await w.embargo("add", "opening", w.true() + 60 * S, early=["early"])
        await w.write("opening")
        for n in w.edges:
            assert (await w.read(n, "opening", client="early")).rows == ["secret"]
            assert (await w.read(n, "opening", client="earl")).code == "withheld"
        assert w.bad == []

    virtual(go)


def test_a_prefix_holds_back_all_that_begins_so_whether_it_exists_or_not_in_the_same_words():
    async def go(w):
        await w.embargo("add", "opening-1", w.true() + 60 * S, prefix="opening-")
        await w.write("opening-1")
        await w.write("opening")
        ran = [len(m.log) for m in w.members.values()]
        for how in ("single", "prepared", "writes", "reads"):
            a, b = (
                await w.read("e1", "opening-1", how=how),
                await w.read("e1", "opening-2", how=how),
            )
            assert a.code == b.code == "withheld" and a.state == b.state
            assert a.text.split(" ")[:4] == b.text.split(" ")[:4]
        assert (await w.read("e1", "opening")).rows == ["secret"] and ran == [
            len(m.log) for m in w.members.values()
        ]

    virtual(go)


def test_a_refusal_costs_no_member_a_slot():
    async def go(w):
        await w.embargo("add", "opening", w.true() + 60 * S)
        asked = []
        for m in w.members.values():
            real = m.run
            m.run = lambda *a, real=real: (asked.append(a[1]), real(*a))[1]
        for how in ("single", "prepared"):
            assert (await w.read("e1", "opening", how=how)).code == "withheld"
        assert asked == []
        assert (await w.read("e1", "other")).ok and asked == ["FETCH other"]

    virtual(go)


def test_all_who_wait_are_told_different_times_after_the_moment():
    async def go(w):
        until = w.true() + 20 * S
        await w.embargo("add", "opening", until)
        at = []
        for _ in range(400):
            r = await w.read("e1", "opening")
            at.append(w.true() + int(r.text.split(" ")[-2]) * 1000 - until)
        assert min(at) > -10_000 and max(at) < 2_600_000
        assert max(sum(x // 250_000 == k for x in at) for k in range(12)) < 100

    virtual(go)


def test_without_a_majority_of_clocks_nothing_more_is_released_and_what_was_stays_released():
    async def go(w):
        first, until = await placed(w, "a", 3), await placed(w, "b", 8)
        await asyncio.sleep((first - w.true()) / S + 1)
        assert (await w.read("e1", "a")).rows == ["secret"]
        w.walls["c1"].off, w.walls["c2"].off = -20 * S, 20 * S
        await asyncio.sleep((until - w.true()) / S + 3)
        for n in w.edges:
            assert (await w.read(n, "b")).code == "withheld"
            assert (await w.read(n, "a")).rows == ["secret"]
        assert any("E332" in x[2] for x in w.net.log)
        w.walls["c1"].off = w.walls["c2"].off = 0
        await asyncio.sleep(3)
        for n in w.edges:
            assert (await w.read(n, "b")).rows == ["secret"]
        assert w.bad == []

    virtual(go)


def test_most_clocks_stepping_together_release_nothing_for_a_minute():
    async def go(w):
        until = await placed(w, "a", 40)
        await asyncio.sleep(3)
        for x in w.walls.values():
            x.off += 3600 * S
        crowd = w.crowd(["a"], 1)
        await asyncio.sleep((until - w.true()) / S)
        await w.settle(crowd)
        assert w.bad == [] and any("E334" in x[2] for x in w.net.log)

    virtual(go)


def test_a_core_whose_clock_is_off_is_named():
    async def go(w):
        await asyncio.sleep(2)
        w.walls["c2"].off = 5 * S
        await asyncio.sleep(3)
        told = [x for x in w.net.log if "E331" in x[2]]
        assert {x[1] for x in told} == {"c2"} and len(told) == 1
        r = await w.call(lambda s: s.embargoes.list())
        assert r["time"]["interval"] and abs(r["time"]["off_us"]["c2"]) > 4 * S

    virtual(go)


def test_rules_survive_every_cores_restart_and_an_edges():
    async def go(w):
        until = await placed(w, "a", 25)
        crowd = w.crowd(["a"], 1)
        for n in [*w.cores]:
            w.cores[n].kill()
        await asyncio.sleep(1)
        w.edges["e1"].kill()
        w.start_edge("e1")
        for n in w.cores:
            w.start_core(n)
        await w.until(lambda: w.edges["e1"].node.ready, 20)
        r = await w.call(lambda s: s.embargoes.list())
        assert [x["name"] for x in r["rules"]] == ["x-a"] and r["scope"] == ["g"]
        await asyncio.sleep((until - w.true()) / S + 3)
        await w.settle(crowd)
        assert w.bad == [] and set(w.late("a", until)) == set(w.edges)

    virtual(go)


def test_an_edge_that_never_heard_of_embargoes_stops_the_first_one_until_it_is_back_or_named():
    async def go(w):
        w.net.cut(["e3"], list(w.cores), 12 * S)
        await asyncio.sleep(1)
        m = w.configuration(embargoing=["g"])
        with pytest.raises(AssertionError):
            await w.call(lambda s: s.apply(m, by="op"), 1)
        for c in w.cores.values():
            with pytest.raises(Fault) as e:
                await c.node.embargoes.change(
                    {
                        "do": "add",
                        "name": "n",
                        "group": "g",
                        "thing": "a",
                        "until": "2199-01-01T00:00:00Z",
                    }
                )
            assert e.value.code == "not-ready" and e.value.details["edges"] == ["e3"]
        assert (await w.read("e3", "a")).ok
        r = await w.cores["c2"].node.embargoes.change(
            {
                "do": "add",
                "name": "n",
                "group": "g",
                "thing": "a",
                "until": "2199-01-01T00:00:00Z",
                "gone": ["e3"],
            }
        )
        assert r["do"] == "add"
        await asyncio.sleep(14)
        r = await w.call(
            lambda s: s.embargoes.change(
                {
                    "do": "add",
                    "name": "m",
                    "group": "g",
                    "thing": "b",
                    "until": "2199-01-01T00:00:00Z",
                }
            )
        )
        assert r["do"] == "add" and (await w.read("e3", "a")).code == "withheld"

    virtual(go, embargoing=[])


def test_why_and_list_tell_what_holds_a_record_back():
    async def go(w):
        await w.embargo("add", "opening", w.true() + 60 * S, early=["ed"])
        ask = {"group": "g", "thing": "opening"}
        r = await w.call(lambda s: s.embargoes.explain(ask))
        assert (
            r["withheld"]
            and r["by"] == "x-opening"
            and r["embargoed_group"]
            and len(r["rules"]) == 1
        )
        assert not (await w.call(lambda s: s.embargoes.explain({**ask, "visitor": "ed"})))[
            "withheld"
        ]
        assert not (await w.call(lambda s: s.embargoes.explain({**ask, "thing": "x"})))["withheld"]
        r = await w.call(lambda s: s.embargoes.list())
        assert r["past"][0]["by"] == "op" and any(
            "E330" in x[2] and "by=op" in x[2] for x in w.net.log
        )
        await w.read("e1", "opening")
        assert any("E430" in x[2] and "client=u" in x[2] for x in w.net.log)
        assert w.edges["e1"].node.status()["embargo"]["count"]["embargo"] == 1

    virtual(go)


async def storm(w, seed):
    """Rules added, moved and lifted amid cuts, crashes, freezes and clock steps on one core; then all is calm."""
    r = random.Random(seed)
    now = w.true()
    ends, ops = {}, []

    async def operate(i):
        t = f"r{i}"
        await asyncio.sleep(r.uniform(0, 6))
        ends[t] = w.true() + r.randrange(4 * S, 14 * S)
        await w.embargo("add", t, ends[t])
        await w.write(t)
        for _ in range(r.randrange(3)):
            await asyncio.sleep(r.uniform(0, 3))
            until = max(w.true() + S, ends[t] + r.randrange(-4 * S, 5 * S))
            await w.embargo("move", t, until)
            ends[t] = until

    async def trouble():
        bad = w.walls[r.choice(sorted(w.cores))]
        while w.true() < now + 16 * S:
            await asyncio.sleep(r.uniform(0.1, 1.5))
            k = r.randrange(7)
            if k == 0:
                bad.off = r.choice((-5 * S, 5 * S, 0, r.randrange(-5 * S, 5 * S)))
            elif k == 1:
                w.net.cut(
                    [r.choice(sorted(w.edges))],
                    r.sample(sorted(w.cores), r.randint(1, 3)),
                    r.randrange(S // 5, 4 * S),
                    r.random() < 0.6,
                )
            elif k == 2:
                n = r.choice(sorted(w.cores))
                if all(c.up for c in w.cores.values()):
                    w.cores[n].kill(r.random() < 0.3)
                    w.loop.call_later(r.uniform(0.5, 3), w.start_core, n)
            elif k == 3:
                n = r.choice(sorted(w.edges))
                w.edges[n].kill()
                w.start_edge(n)
            elif k == 4:
                w.edges[r.choice(sorted(w.edges))].freeze(r.randrange(S // 5, 3 * S))
            elif k == 5:
                w.cores[r.choice(sorted(w.cores))].freeze(r.randrange(S // 5, 2 * S))
            else:
                w.members[r.choice(("m2", "m3"))].lag = r.choice((0.01, 0.5, 3))

    crowd = w.crowd([f"r{i}" for i in range(3)], 1)
    ops = [asyncio.ensure_future(operate(i)) for i in range(3)]
    await trouble()
    await asyncio.gather(*ops)
    await asyncio.sleep(max(0, (max(ends.values()) - w.true()) / S) + 12)
    await w.settle(crowd)
    missing = {t: set(w.edges) - set(w.late(t, ends[t])) for t in ends}
    assert not any(missing.values()), missing
    return w.bad


@pytest.mark.parametrize("seed", range(24))
def test_storms(seed):
    assert virtual(lambda w: storm(w, seed), seed) == []


def test_switched_off_again_an_edge_is_as_if_it_had_never_heard_of_it():
    async def go(w):
        await w.embargo("add", "opening", w.true() + 60 * S)
        with pytest.raises(Fault) as e:
            await w.call(lambda s: s.apply(w.configuration(embargoing=[]), by="op"))
        assert e.value.code == "invalid" and "lift" in str(e.value.details)
        await w.embargo("lift", "opening")
        m = w.configuration(embargoing=[])
        await w.call(lambda s: s.apply(m, by="op"))
        await w.until(
            lambda: all(
                e.node.embargo is None and e.node.core_connection.true_time is None
                for e in w.edges.values()
            ),
            5,
        )
        w.net.cut(["e1"], list(w.cores), 5 * S)
        await asyncio.sleep(2)
        assert (await w.read("e1", "opening")).ok and "embargo" not in w.edges["e1"].node.status()

    virtual(go)
