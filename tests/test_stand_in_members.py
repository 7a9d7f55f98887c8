"""The stand-in of a member: its wire, its log, its beats, and the platform that promotes it."""

import asyncio

import aiohttp
import pytest
from stand_in.cloud import Cloud
from stand_in.history import History
from stand_in.judge import judge
from stand_in.member import Member
from stand_in.operator import Operator
from stand_in.refusal import Refusal
from stand_in.session import Session
from stand_in.until import until
from stand_in_members import (
    NET,
    ControlStub,
    ask_all,
    assert_connection_lost,
    dial,
    members,
    run_with_members,
)
from virtual_io import run_in_virtual_time


def test_a_member_speaks_the_wire():
    async def go(g, p, r, _):
        s = await dial(p, p.id)
        assert (s.state, s.position) == ("I", "1.0")
        assert await ask_all(
            s,
            "PUT a one",
            "FETCH a",
            "FETCH none",
            "BEGIN",
            "PUT a two words",
            "FETCH a",
            "ROLLBACK",
            "FETCH a",
            "BEGIN FETCH",
            "PUT a x",
            "FETCH a",
            "COMMIT",
        ) == [
            ((), "I"),
            (("one",), "I"),
            ((), "I"),
            ((), "T"),
            ((), "T"),
            (("two words",), "T"),
            ((), "I"),
            (("one",), "I"),
            ((), "T"),
            ("READONLY", "E"),
            ("MALFORMED", "E"),
            ("ABORTED", "I"),
        ]
        assert s.position == "1.1"
        assert await ask_all(
            s,
            "PREPARE s FETCH q1",
            "EXECUTE s a",
            "PREPARE w PUT q2",
            "EXECUTE w a three four",
            "DEALLOC s",
            "EXECUTE s a",
            "DEALLOC s",
            "SET l x",
            "RESET",
            "EXECUTE w a b",
        ) == [
            ((), "I"),
            (("one",), "I"),
            ((), "I"),
            ((), "I"),
            ((), "I"),
            ("NOSTMT", "I"),
            ("NOSTMT", "I"),
            ((), "I"),
            ((), "I"),
            ("NOSTMT", "I"),
        ]
        assert p.data["a"] == "three four" and [r.shape for r in g.history.runs if r.shape] == [
            "q1",
            "q2",
        ]
        for bad in (
            "COMMIT",
            "ROLLBACK",
            "",
            "PUT a",
            "NONSENSE",
            "begin",
            "AFTER 1 FETCH a",
            "AFTER 1.1 SET a b",
        ):
            assert await ask_all(s, bad) == [("MALFORMED", "I")], bad
        assert await ask_all(
            s, "AFTER 1.2 FETCH a", "AFTER 1.3 FETCH a", "AFTER 1.3 BEGIN FETCH"
        ) == [
            (("three four",), "I"),
            ("LAGGING", "I"),
            ("LAGGING", "I"),
        ]
        a = await s.ask("-", "STATUS")
        assert a.rows == ("primary 1 1.2 0 0 1 1",) and a.stamp == "-"
        s.close(polite=True)
        await until(lambda: p.connections == 0)

    run_with_members(go)


def test_a_replica_reads_and_refuses_the_rest():
    async def go(g, p, r, _):
        w, s = await dial(p), await dial(r)
        await ask_all(w, "PUT a one")
        await until(lambda: r.position() == "1.1")
        assert await ask_all(
            s, "FETCH a", "PUT a x", "BEGIN", "BEGIN FETCH", "FETCH a", "COMMIT"
        ) == [
            (("one",), "I"),
            ("READONLY", "I"),
            ("READONLY", "I"),
            ((), "T"),
            (("one",), "T"),
            ((), "I"),
        ]

    run_with_members(go)


def test_received_goes_ahead_of_applied():
    async def go(g, p, r, _):
        w, s = await dial(p), await dial(r)
        await ask_all(w, "PUT a one")
        await until(lambda: r.log)
        row = (await s.ask("-", "STATUS")).rows[0].split()
        assert row[2] == "1.1" and s.position == "1.0"
        assert await ask_all(s, "FETCH a", "AFTER 1.1 FETCH a") == [((), "I"), ("LAGGING", "I")]

    run_with_members(go, lag_ms=60_000)


def test_connects_are_turned_away():
    async def go(g, p, *_):
        for fields, code in (
            ("other me", "WRONGNODE"),
            ("svc me i-9", "WRONGNODE"),
            ("svc", "MALFORMED"),
        ):
            with pytest.raises(Refusal) as e:
                await Session.open(p.address, fields)
            assert e.value.code == code
        await until(lambda: p.connections == 0)
        kept = [await dial(p), await dial(p)]
        with pytest.raises(Refusal) as e:
            await dial(p)
        assert e.value.code == "CONNLIMIT" and len(kept) == 2

    run_with_members(go, conn_limit=2)


def test_health_is_told_on_the_same_port():
    async def go(g, p, *_):
        async with aiohttp.ClientSession() as http:
            for state, status in (("ready", 200), ("draining", 503)):
                p.state = state
                async with http.get(f"http://{p.address}/health") as answer:
                    assert (answer.status, answer.headers["X-Member-Id"]) == (status, p.id)

    run_with_members(go)


def test_slots_run_out_into_busy():
    async def go(g, p, *_):
        ss = [await dial(p) for _ in range(4)]
        asks = [asyncio.ensure_future(ask_all(s, "FETCH a")) for s in ss[:3]]
        await until(lambda: p._waiting == 2)
        assert await ask_all(ss[3], "STATUS", "FETCH a") == [("BUSY", "I"), ("BUSY", "I")]
        assert await asyncio.gather(*asks) == [[((), "I")]] * 3
        p.refuse = True
        assert await ask_all(ss[3], "BEGIN", "FETCH a", "ROLLBACK") == [
            ((), "T"),
            ("BUSY", "E"),
            ((), "I"),
        ]
        p.refuse, p.failing = False, 2
        assert await ask_all(ss[3], "FETCH a", "PUT a x", "FETCH a") == [
            ("FAILED", "I"),
            ("FAILED", "I"),
            ((), "I"),
        ]

    run_with_members(go, slots=1, queue=2, work_ms=100)


def test_a_commit_waits_for_one_replica():
    async def go(g, p, a, b):
        s = await dial(p)
        a.deaf = b.deaf = True
        assert await ask_all(s, "PUT a lone") == [("TIMEOUT", "I")]
        b.deaf = False
        g.changed.fire()
        assert await ask_all(s, "PUT a two") == [((), "I")]
        assert (len(a.log), len(b.log)) == (0, 2)
        assert [e.acked_at is not None for e in g.entries] == [False, True]

    run_with_members(go, sync_wait_ms=60)


def test_a_pause_holds_a_replica_until_resume():
    async def go(g, p, a, b):
        w, s = await dial(p), await dial(a)
        assert (await s.ask("-", "PAUSE 1")).rows[0].split()[3] == "0"
        assert (await s.ask("-", "PAUSE 2")).rows[0].split()[3] == "2"
        await ask_all(w, "PUT a one")
        assert len(b.log) == 1 and not a.log
        assert (await s.ask("-", "RESUME")).rows[0].split()[3] == "0"
        await until(lambda: a.log)

    run_with_members(go)


def test_a_promote_leads_with_what_was_received_and_cuts_the_others_back():
    async def go(g, p, a, b):
        w, old = await dial(p), await dial(p)
        await ask_all(w, "PUT a one")
        await until(lambda: b.log)
        await ask_all(old, "BEGIN")
        b.deaf = True
        await ask_all(w, "PUT a two")
        g.promote(b)
        assert (b.leads, p.role, g.term, b.position()) == (True, "replica", 2, "1.1")
        assert len(a.log) == len(p.log) == 1 and g.entries[1].cut_at is not None
        assert "LOST" in {v.rule for v in judge(g.history)}
        assert await ask_all(w, "FETCH a", "PUT a x") == [("BUSY", "I"), ("READONLY", "I")]
        assert await ask_all(old, "FETCH a", "COMMIT") == [("READONLY", "E"), ("ABORTED", "I")]
        n = await dial(b)
        assert await ask_all(n, "PUT a three") == [((), "I")] and n.position == "2.2"
        await until(lambda: a.position() == p.position() == "2.2")
        assert await ask_all(n, "AFTER 1.2 FETCH a") == [(("three",), "I")]

    run_with_members(go)


def test_an_old_primary_may_only_commit_what_wrote_nothing():
    async def go(g, p, a, b):
        reads, writes = await dial(p), await dial(p)
        await ask_all(reads, "BEGIN", "FETCH a")
        await ask_all(writes, "BEGIN", "PUT a one")
        g.promote(a)
        assert await ask_all(reads, "COMMIT") == [((), "I")]
        assert await ask_all(writes, "COMMIT") == [("READONLY", "I")]
        assert not g.entries

    run_with_members(go)


def test_stepdown_takes_the_lead_and_a_promote_gives_it():
    async def go(g, p, a, b):
        s = await dial(p)
        assert (await s.ask("-", "STEPDOWN 1")).rows[0].startswith("primary")
        assert (await s.ask("-", "STEPDOWN 2")).rows[0].startswith("replica 1")
        assert await ask_all(s, "PUT a x") == [("READONLY", "I")]
        g.promote(p)
        assert await ask_all(s, "PUT a x") == [((), "I")] and s.position == "2.1"

    run_with_members(go)


def test_a_crash_resets_and_refuses_and_the_log_comes_back():
    async def go(g, p, a, b):
        s = await dial(p)
        await ask_all(s, "PUT a one", "BEGIN", "PUT a two")
        await p.crash()
        await assert_connection_lost(s)
        with pytest.raises(OSError):
            await dial(p)
        await p.start()
        assert p.leads and await ask_all(await dial(p), "FETCH a") == [(("one",), "I")]
        await p.crash()
        g.promote(a)
        await p.start()
        assert p.role == "replica" and len(p.log) == 1

    run_with_members(go)


def test_a_dark_member_says_nothing_and_resets_when_it_is_back():
    async def go(g, p, *_):
        s = await dial(p)
        p.go_dark()
        with pytest.raises(TimeoutError):
            await s.ask("x", "PUT a one", 0.1)
        with pytest.raises(TimeoutError):
            await Session.open(p.address, "svc", "me", seconds=0.1)
        await p.go_light()
        assert (await dial(p)).position == "1.0"
        await s.ended()
        assert not g.entries

    run_with_members(go)


def test_lost_answers_ran():
    async def go(g, p, *_):
        for how, error in (("silent", TimeoutError), ("cut", ConnectionError)):
            s = await dial(p)
            p.losing, p.lost_how = 1, how
            with pytest.raises(error):
                await s.ask("x", f"PUT a {how}", 0.2)
            assert p.data["a"] == how and g.entries[-1].acked_at is None
            s.close()
        await until(lambda: p.connections == 0)

    run_with_members(go)


def test_members_beat_and_say_a_change_at_once_and_sign_off():
    async def go():
        async with ControlStub() as c, members(2, c.addresses) as (g, (p, r)):
            await until(lambda: {x[1][-3:] for x in c.got} == {"i-0", "i-1"})
            i, path, body = await until(
                lambda: next((x for x in c.got if x[0] == 1 and x[1].endswith("i-0")), None)
            )
            assert path == "/v1/Members.Heartbeat/i-0" and body.pop("CallSeq") > 0
            assert body == {
                "Service": "svc",
                "Address": p.address,
                "Zone": "hall-0",
                "Revision": "v1",
                "Capacity": 13,
                "State": "ready",
                "WarmupLeftMs": 0,
                "DbRole": "primary",
            }
            c.target = c.addresses[0]
            await until(lambda: c.got[-1][0] == 0 and c.got[-2][0] == 0)
            c.status += [503, 503]
            g.promote(r)
            await until(
                lambda: any(x[1].endswith("i-1") and x[2]["DbRole"] == "primary" for x in c.got)
            )
            done = asyncio.ensure_future(p.release(drain_ms=10))
            await done
            assert "i-0" in g.history.drained and not p.running
            assert [x[2]["State"] for x in c.got if x[1] == "/v1/Members.Deregister/i-0"] == [
                "draining"
            ]
            new = Member(g, "i-9", p.address, p.zone)
            g.replace(p, new)
            await new.start()
            assert new.log == p.log and await ask_all(await dial(new, "i-9"), "STATUS")

    run_in_virtual_time(go())


def test_the_operator_sends_again_until_an_answer_is_clear():
    async def go():
        async with ControlStub() as c:
            h = History()
            o = Operator(h, c.addresses)
            config = {"Revision": 3, "Routes": []}
            c.status += [503, 429, 200]
            order = await o.replace(config)
            assert order.acked_at and [x[2] for x in c.got] == [config] * len(c.got)
            c.status += [400]
            assert (await o.replace({"Revision": 4}, valid=False)).status == 400
            c.status += [404, 404, 404]
            n = len(c.got)
            assert await o.begin("hall-0") == 404 and len({x[1] for x in c.got[n:]}) == 1
            assert await o.begin("hall-0") == 200 and await o.finish("hall-0") == 200
            assert h.evacuations[0].finished_at and await o.fetch() == {}
            await o.close()

    run_in_virtual_time(go())


def test_failover_is_fenced_and_named():
    async def go():
        async with members() as (g, (p, a, b)), aiohttp.ClientSession() as http:
            cloud = await Cloud({"svc": g}, f"{NET}.3.1:8186", rate=10).start()

            async def post(member, fence, service="svc"):
                headers = {"X-Duty-Holder": "n1", "X-Fence-Token": str(fence)}
                async with http.post(
                    f"http://{cloud.address}/failover",
                    headers=headers,
                    json={"Service": service, "MemberId": member},
                ) as answer:
                    return answer.status

            try:
                assert await post(p.id, 5) == 200 and g.term == 1
                assert await post(a.id, 4) == 409
                assert await post("i-none", 5) == 409 and await post(a.id, 5, "none") == 404
                assert await post(a.id, "x") == 400
                await b.crash()
                assert await post(b.id, 6) == 409
                assert await post(a.id, 6) == 200
                await until(lambda: a.leads and g.term == 2)
                cloud.down = True
                with pytest.raises(aiohttp.ClientError):
                    await post(b.id, 7)
                cloud.down = False
                assert 429 in [await post(a.id, 7) for _ in range(8)]
            finally:
                await cloud.close()

    run_in_virtual_time(go())
