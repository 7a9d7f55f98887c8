"""The product's own face of a gate: what an edge believes, and what it leaves to the cores."""

import asyncio
import json
import random

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from petrelhaven.commands.diff import differences
from petrelhaven.control.interface.documents import number
from petrelhaven.control.state.control_state import Ledger
from petrelhaven.proxy.core_connection import Tie
from petrelhaven.proxy.node import ProxyNode
from petrelhaven.proxy.proxy_interface import GateFace
from petrelhaven.runtime.clock import Clock, Nest
from petrelhaven.transport.light_http import LightFace, _Request
from petrelhaven.transport.link import Link

DRAWN = settings(
    max_examples=200,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
TEXT = json.dumps(
    {
        "name": "try",
        "version": 3,
        "halls": ["a"],
        "groups": [{"name": "g1"}],
        "routes": [{"name": "main", "group": "g1", "host": "db"}],
    }
)
RECORDS = [
    {"t": "manifest", "version": 3, "text": TEXT, "by": "op"},
    {
        "t": "member",
        "name": "m1",
        "group": "g1",
        "hall": "a",
        "addr": "127.0.0.1:9",
        "role": "primary",
        "state": "ready",
        "slots": 5,
        "count": 1,
    },
    *(
        {
            "t": "office",
            "group": "g1",
            "n": n,
            "phase": p,
            "primary": "m1",
            "term": 1,
            "cause": c,
            "by": "c1",
            "stuck": False,
        }
        for n, p, c in (
            (1, "serve", "announced as primary"),
            (2, "swap", "hall a is emptied"),
            (3, "serve", "no heir"),
        )
    ),
]


class NoMembers:
    async def open(self, addr, group, member, us):
        await asyncio.get_running_loop().create_future()


def on_a_gate(fn, records=RECORDS):
    """Runs `fn(gate, face)` over a gate whose tie was told of `records`."""

    async def go():
        clock, nest = Clock(), Nest()
        tie = Tie(clock, nest, Link(clock, nest), random.Random(1), "e1", [], lambda h: 0)
        gate = ProxyNode(
            "e1", "a", clock, nest, random.Random(1), tie, NoMembers(), lambda h: 0, 1, 1
        )
        face = LightFace("127.0.0.1", 0)
        GateFace(gate, face, lambda: {"waiting": ["Zone"]})
        if records:
            led = Ledger()
            for r in records:
                led.check(r)
                led.apply(led.seq + 1, r)
            await tie._push(None, {"frame": led.frame(), "recs": [], "commit": led.seq})
        try:
            return await fn(gate, face)
        finally:
            nest.kill()

    return asyncio.run(go())


async def ask(face, path, verb="GET"):
    s, b, heads = await face.answer(_Request(verb, path, b""))
    return s, json.loads(b), dict(heads)


def test_an_edge_tells_what_it_believes_and_counts():
    async def go(gate, face):
        s, d, _ = await ask(face, "/status")
        assert (
            s == 200
            and d["role"] == "edge"
            and d["state"] == "serving"
            and d["ready"]
            and d["joined"]
        )
        assert d["settings"] == {"waiting": ["Zone"]} and d["lease_us"] == 0 and d["visits"] == 0
        assert d["epochs"]["g1"]["n"] == 3 and d["members"] == {"m1": ["g1", "ready", "primary"]}
        assert (await ask(face, "/ready"))[:2] == (200, {"ready": True})
        assert (await ask(face, "/realm"))[1]["offices"]["g1"]["primary"] == "m1"
        s, d, _ = await ask(face, "/why?group=g1&n=2")
        assert (d["epoch"]["cause"], d["replaced"]["n"], d["kept"]) == (
            "hall a is emptied",
            1,
            [1, 2, 3],
        )
        gate.leave()
        s, d, heads = await ask(face, "/ready")
        assert (
            (s, d["fault"]) == (503, "not-ready")
            and "leaving" in d["note"]
            and heads["Retry-After"] == "1"
        )

    on_a_gate(go)


def test_an_edge_hands_its_manifest_out_as_unconfirmed_only():
    async def go(gate, face):
        s, d, _ = await ask(face, "/manifest")
        assert (s, d["fault"]) == (400, "malformed")
        for q in ("", "&version=3"):
            s, b, heads = await face.answer(_Request("GET", "/manifest?unconfirmed=true" + q, b""))
            assert (s, b.decode(), dict(heads)) == (200, TEXT, {"Confirmed-By-Majority": "no"})
        assert (await ask(face, "/manifest?unconfirmed=true&version=2"))[0] == 404

    on_a_gate(go)


def test_an_edge_that_knows_nothing_yet_says_so():
    async def go(gate, face):
        assert (await ask(face, "/status"))[1]["state"] == "starting"
        assert (await ask(face, "/ready"))[0] == 503
        assert (await ask(face, "/manifest?unconfirmed=true"))[0] == 404
        assert (await ask(face, "/why?group=g1"))[0] == 404
        assert (await gate.tie._frame(None, {}))["frame"] is None

    on_a_gate(go, [])


def test_an_edge_hands_its_ledger_to_a_core_that_asks():
    async def go(gate, face):
        f = (await gate.tie._frame(None, {}))["frame"]
        assert f["seq"] == 5 and f is not gate.tie.ledger.doc

    on_a_gate(go)


def test_a_manifest_that_leaves_fields_out_is_served_with_their_defaults():
    async def go(gate, face):
        r, b = gate.route("db")
        assert (r.reads, r.timeout_us, b.connection_cap, b.sync_replicas) == (
            "strong",
            2_000_000,
            40,
            0,
        )
        assert gate.bounds().idle_txn_us == 10_000_000

    on_a_gate(go)


def test_what_only_one_of_two_nodes_can_tell_is_no_difference():
    async def go(gate, face):
        return (await ask(face, "/belief"))[1]

    a = on_a_gate(go)
    core = {**a, "name": "c1", "kith": {"c1": "alive"}, "view": {"n": 1}}
    assert differences(a, core) == []
    assert differences(a, {**core, "members": {}}) == [
        ("members.m1", ["g1", "ready", "primary"], None)
    ]


@pytest.mark.parametrize("v", ["", "-1", "1.0", " 1", "1_0", "²", "9" * 19, "0x1", "١"])
def test_what_is_no_number_is_malformed(v):
    async def go(gate, face):
        s, d, _ = await ask(face, f"/why?group=g1&n={v}")
        assert (s, d["note"]) == (400, "n must be a whole number")

    on_a_gate(go)
    assert number({}, "n") is None and number({"n": "007"}, "n") == 7


JUNK = st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=20)


def test_drawn_junk_gets_typed_answers():
    reqs = []

    @DRAWN
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", "HEAD"]),
        st.one_of(
            st.sampled_from(["/status", "/belief", "/ready", "/realm", "/why", "/manifest"]),
            JUNK.map("/{}".format),
        ),
        st.one_of(
            st.just(""),
            JUNK,
            st.builds(
                "{}={}".format,
                st.sampled_from(["n", "group", "version", "unconfirmed"]),
                st.one_of(JUNK, st.sampled_from(["g1", "true", "%", "%ff", "1"])),
            ),
        ),
        st.binary(max_size=30),
    )
    def draw(verb, path, query, body):
        reqs.append(_Request(verb, f"{path}?{query}", body))

    draw()

    async def go(gate, face):
        for q in reqs:
            s, b, _ = await face.answer(q)
            d = json.loads(b)
            typed = s in (400, 404) and set(d) >= {"fault", "note"}
            assert typed or s == 200 and q.verb == "GET", (q.verb, q.path, s, b)

    on_a_gate(go)
